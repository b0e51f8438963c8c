//! `tansyjunction council`: agreed documents, holders of duties, and planned changes of primary.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Subcommand};
use serde_json::{Value as Json, json};
use tansyjunction_gateway::{Deployment, create_cluster, recover_cluster};

use crate::handover::ask;
use crate::line::{Source, print};

/// Refresh interval of the live view.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Args)]
pub struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Args)]
struct Socket {
    /// Control socket of any gateway, as in its settings.
    #[arg(long)]
    socket: PathBuf,
}

#[derive(Subcommand)]
enum Command {
    /// Create the store of the first voting gateway, once, before any gateway starts. The others start with an empty
    /// folder and are added by the running ones.
    Found {
        #[command(flatten)]
        source: Source,
        /// Create a new cluster from this gateway's store, after most stores were lost for good. Data held only by the
        /// lost ones is lost.
        #[arg(long)]
        again: bool,
    },
    /// Show voting members, attending gateways, holders of duties, and changes of primary.
    Status {
        #[command(flatten)]
        at: Socket,
        /// Refresh until interrupted.
        #[arg(long)]
        watch: bool,
        /// Print a line of JSON.
        #[arg(long)]
        json: bool,
    },
    /// Print an agreed document.
    Show {
        #[command(flatten)]
        at: Socket,
        name: String,
    },
    /// Propose a document: the text of a file under a name.
    Propose {
        #[command(flatten)]
        at: Socket,
        name: String,
        file: PathBuf,
        /// Version that it replaces; default: the one known to the gateway.
        #[arg(long)]
        expected: Option<u64>,
    },
    /// Remove a document.
    Withdraw {
        #[command(flatten)]
        at: Socket,
        name: String,
    },
    /// Plan a change of primary, once, at any gateway; one of them conducts it.
    Plan {
        #[command(flatten)]
        at: Socket,
        shard: String,
        #[arg(long)]
        to: String,
        /// Reason, stored in the document.
        #[arg(long)]
        why: Option<String>,
    },
    /// Abort a change of primary in any step.
    Abort {
        #[command(flatten)]
        at: Socket,
        shard: String,
        #[arg(long)]
        why: Option<String>,
    },
}

/// Runs the sub-command.
pub fn run(line: &Line) -> Result<(), String> {
    let (at, word) = match &line.command {
        Command::Found { source, again } => return found_at(source, *again),
        Command::Status { at, watch, json } => return status(at, *watch, *json),
        Command::Show { at, name } => {
            let shown = ask(&at.socket, &json!({"do": "council", "what": "show", "name": name}))?;
            return print(shown["body"].as_str().unwrap_or_default());
        }
        Command::Propose { at, name, file, expected } => {
            let said = |error: std::io::Error| format!("{}: {error}", file.display());
            let body = std::fs::read_to_string(file).map_err(said)?;
            (at, json!({"what": "propose", "name": name, "body": body, "expected": expected}))
        }
        Command::Withdraw { at, name } => (at, json!({"what": "withdraw", "name": name})),
        Command::Plan { at, shard, to, why } => {
            (at, json!({"what": "plan", "shard": shard, "to": to, "why": why}))
        }
        Command::Abort { at, shard, why } => (at, json!({"what": "abort", "shard": shard, "why": why})),
    };
    let mut word = word;
    word["do"] = json!("council");
    let answer = ask(&at.socket, &word)?;
    print(&format!("agreed: version {}\n", answer["version"]))
}

fn found_at(source: &Source, again: bool) -> Result<(), String> {
    let (program, deployment) = (source.program()?, Deployment::read(source.config.as_deref())?);
    let name = &deployment.name;
    let dir = program.council.store.as_ref().ok_or("'council.store' is missing")?;
    if !program.council.seats.contains(name) {
        return Err(format!("'council.seats' does not name {name}"));
    }
    let said = |error: std::io::Error| format!("'council.store' {}: {error}", dir.display());
    std::fs::create_dir_all(dir).map_err(said)?;
    let made = if again { recover_cluster(dir, name) } else { create_cluster(dir, name) };
    made.map_err(|fault| format!("{fault}; {}", fault.remedy()))?;
    print(&format!("founded by {name} in {}\n", dir.display()))
}

fn status(at: &Socket, watch: bool, as_json: bool) -> Result<(), String> {
    loop {
        let answer = ask(&at.socket, &json!({"do": "council", "what": "status"}))?;
        let out = if as_json { format!("{answer}\n") } else { view(&answer) };
        // The live view clears the screen first.
        print(&if watch && !as_json { format!("\x1b[2J\x1b[H{out}") } else { out })?;
        if !watch {
            return Ok(());
        }
        std::thread::sleep(REFRESH_INTERVAL);
    }
}

/// Status as text.
fn view(answer: &Json) -> String {
    let text = |value: &Json| value.as_str().unwrap_or("-").to_string();
    let rows = |key: &str| answer[key].as_array().cloned().unwrap_or_default();
    let names = |value: &Json| {
        let names: Vec<&str> = value.as_array().into_iter().flatten().filter_map(Json::as_str).collect();
        names.join(", ")
    };
    let seats = answer["seats"].as_object().cloned().unwrap_or_default();
    let seats = seats.iter().map(|(name, votes)| match votes == true {
        true => name.clone(),
        false => format!("{name} (no vote yet)"),
    });
    let mut out = format!(
        "gateway {}, {}, term {}, led by {}; seats: {}; decided up to {}, log of {} bytes\n",
        text(&answer["gateway"]),
        text(&answer["role"]),
        answer["term"],
        text(&answer["leader"]),
        seats.collect::<Vec<_>>().join(", "),
        answer["decided"],
        answer["log"]["bytes"],
    );
    if answer["whole"] != true {
        out += "  the agreed documents have not been received yet\n";
    }
    if let Some(fault) = answer["fault"].as_str() {
        out += &format!("  THIS MEMBER HAS STOPPED: {fault}\n");
    }
    for one in rows("duties") {
        out += &format!(
            "  duty {:<22} epoch {:>4}  {:<16}{}{}\n",
            text(&one["name"]),
            one["epoch"],
            text(&one["holder"]),
            text(&one["standing"]),
            one["nobody"].as_str().map_or(String::new(), |nobody| format!(": {nobody}")),
        );
    }
    for one in rows("plans") {
        out += &format!(
            "  shard {:<5} {:<12} from {} to {}: {}{}\n",
            one["shard"].to_string(),
            text(&one["step"]),
            text(&one["from"]),
            text(&one["to"]),
            text(&one["why"]),
            one["stop"].as_str().map_or(String::new(), |stop| format!("; to be aborted: {stop}")),
        );
    }
    for one in rows("documents") {
        let waits = names(&one["waits_for"]);
        let binds = match (one["binds"] == true, waits.is_empty()) {
            (true, _) => "binds".to_string(),
            (false, true) => "not in force yet".to_string(),
            (false, false) => format!("waits for {waits}"),
        };
        out += &format!(
            "  document {:<18} version {:>4}, by {}, {}\n",
            text(&one["name"]),
            one["version"],
            text(&one["by"]),
            binds
        );
    }
    for one in rows("attending") {
        let says = one["says"].as_object().cloned().unwrap_or_default();
        let says = says.iter().map(|(key, value)| format!("{key}: {}", text(value))).collect::<Vec<_>>();
        out += &format!(
            "  attends {:<16}zone {:<8} health {} room {:<3} {}\n",
            text(&one["name"]),
            text(&one["zone"]),
            one["health"],
            one["room"],
            says.join(", "),
        );
    }
    out
}
