//! `tansyjunction handover`: sends operators' requests to a gateway's control socket.

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Args, Subcommand};
use serde_json::{Value as Json, json};

use crate::line::print;

/// Refresh interval of the live view, and timeout of a gateway's answer.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Args)]
pub struct Line {
    /// Control socket of a gateway, as in its settings; may be repeated.
    #[arg(long, required = true)]
    socket: Vec<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plan a change of primary: writes are held once the target has caught up, until it is the primary.
    Plan {
        shard: String,
        #[arg(long)]
        to: String,
    },
    /// Show the state of each shard.
    Status {
        /// Refresh until interrupted.
        #[arg(long)]
        watch: bool,
        /// Print a line of JSON per gateway.
        #[arg(long)]
        json: bool,
    },
    /// Abort a planned change; held writes are released.
    Abort { shard: String },
    /// Hold all new writes of a shard.
    Pause { shard: String },
    /// Release the writes of a paused shard.
    Resume { shard: String },
}

/// Runs the sub-command.
pub fn run(line: &Line) -> Result<(), String> {
    let word = match &line.command {
        Command::Plan { shard, to } => json!({"do": "plan", "shard": shard, "to": to}),
        Command::Abort { shard } => json!({"do": "abort", "shard": shard}),
        Command::Pause { shard } => json!({"do": "pause", "shard": shard}),
        Command::Resume { shard } => json!({"do": "resume", "shard": shard}),
        Command::Status { watch, json } => return status(&line.socket, *watch, *json),
    };
    // All gateways are asked even if one refuses; the message names those that did.
    let refused: Vec<String> = line.socket.iter().filter_map(|path| ask(path, &word).err()).collect();
    if refused.is_empty() { Ok(()) } else { Err(refused.join("; ")) }
}

/// Sends a request to a gateway and returns its answer.
pub fn ask(path: &Path, word: &Json) -> Result<Json, String> {
    let said = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let mut stream = UnixStream::connect(path).map_err(|error| said(&error))?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).map_err(|error| said(&error))?;
    writeln!(stream, "{word}").map_err(|error| said(&error))?;
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer).map_err(|error| said(&error))?;
    let answer: Json = serde_json::from_str(&answer)
        .map_err(|_| said(&"the gateway closed the connection without an answer"))?;
    match answer["error"].as_str() {
        Some(message) => Err(said(&message)),
        None => Ok(answer),
    }
}

fn status(paths: &[PathBuf], watch: bool, as_json: bool) -> Result<(), String> {
    loop {
        let mut out = String::new();
        for path in paths {
            let answer = ask(path, &json!({"do": "status"}))?;
            out += &if as_json { format!("{answer}\n") } else { view(&answer) };
        }
        // The live view clears the screen first.
        print(&if watch && !as_json { format!("\x1b[2J\x1b[H{out}") } else { out })?;
        if !watch {
            return Ok(());
        }
        std::thread::sleep(REFRESH_INTERVAL);
    }
}

/// State of a gateway's shards as text.
pub fn view(answer: &Json) -> String {
    let text = |value: &Json| value.as_str().unwrap_or("-").to_string();
    let mut out = format!("gateway {}\n", text(&answer["gateway"]));
    out += &format!(
        "  {:<12}{:<12}{:>9}  {:<16}{:<16}{:>5}{:>7}{:>6}  {}\n",
        "shard", "phase", "for", "primary", "target", "term", "held", "out", "notes"
    );
    for shard in answer["shards"].as_array().into_iter().flatten() {
        let fenced: Vec<&str> =
            shard["fenced"].as_array().into_iter().flatten().filter_map(Json::as_str).collect();
        let mut notes = if shard["paused"] == true { "paused ".to_string() } else { String::new() };
        if !fenced.is_empty() {
            notes += &format!("fenced: {}", fenced.join(", "));
        }
        out += &format!(
            "  {:<12}{:<12}{:>7.1} s  {:<16}{:<16}{:>5}{:>7}{:>6}  {}\n",
            text(&shard["shard"]),
            text(&shard["phase"]),
            shard["for_ms"].as_f64().unwrap_or(0.0) / 1e3,
            text(&shard["primary"]),
            text(&shard["target"]),
            shard["term"],
            shard["held"],
            shard["out"],
            notes
        );
    }
    out
}
