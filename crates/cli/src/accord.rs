//! `tansyjunction accord`: compares two versions of the configuration.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use serde_json::{Value as Json, json};
use tansyjunction_accord::{Class, ConfigVersion, Difference, compare};

use crate::line::print;

#[derive(Args)]
pub struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Show field by field how a configuration differs from another one: what applies at once, and what applies only
    /// after all gateways have agreed. Exit code 0: no agreement needed; 1: agreement needed; 2: a file cannot be
    /// read.
    Diff {
        old: PathBuf,
        new: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
}

fn read(path: &Path) -> Result<ConfigVersion, String> {
    let said = |message: String| format!("{}: {message}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| said(error.to_string()))?;
    let json: Json = serde_json::from_str(&text).map_err(|error| said(error.to_string()))?;
    ConfigVersion::read(&json).map_err(said)
}

fn class_name(class: Class) -> &'static str {
    match class {
        Class::Same => "free",
        Class::Tighter => "tighter",
        Class::Looser => "looser",
        Class::Contrary => "contrary",
    }
}

/// Runs the sub-command.
pub fn main(line: &Line) -> ExitCode {
    let Command::Diff { old, new, json } = &line.command;
    let found = match read(old).and_then(|old| Ok(compare(&old, &read(new)?))) {
        Ok(found) => found,
        Err(message) => {
            eprintln!("tansyjunction: {message}");
            return ExitCode::from(2);
        }
    };
    let waits = |one: &Difference| matches!(one.class, Class::Looser | Class::Contrary);
    let text = if *json { to_json(&found) } else { to_text(&found) };
    match print(&text) {
        Ok(()) if !found.iter().any(waits) => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

fn to_json(found: &[Difference]) -> String {
    let each = found.iter().map(|one| {
        json!({
            "field": one.field, "class": class_name(one.class), "rule": format!("{:?}", one.rule).to_lowercase(),
            "old": one.old, "new": one.new, "meanwhile": one.meanwhile,
        })
    });
    format!("{}\n", Json::Array(each.collect()))
}

fn to_text(found: &[Difference]) -> String {
    let mut out = String::new();
    for (title, classes) in [
        ("binds wherever it is heard", &[Class::Tighter][..]),
        ("needs agreement", &[Class::Looser, Class::Contrary]),
        ("binds nothing", &[Class::Same]),
    ] {
        let these: Vec<&Difference> = found.iter().filter(|one| classes.contains(&one.class)).collect();
        if these.is_empty() {
            continue;
        }
        out += &format!("{title}:\n");
        for one in these {
            let (class, rule) = (class_name(one.class), format!("{:?}", one.rule).to_lowercase());
            out += &format!("  {:<9}{:<8}{}: {} -> {}\n", class, rule, one.field, one.old, one.new);
            if matches!(one.class, Class::Contrary) {
                out += &format!("                   until then {}\n", one.meanwhile);
            }
        }
    }
    if out.is_empty() { "they are the same\n".into() } else { out }
}
