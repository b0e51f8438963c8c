//! `tansyjunction fellows`: shows how a gateway sees the others.

use std::path::PathBuf;

use clap::Args;
use serde_json::{Value as Json, json};

use crate::handover::ask;
use crate::line::print;

#[derive(Args)]
pub struct Line {
    /// Control socket of a gateway, as in its settings; may be repeated.
    #[arg(long, required = true)]
    socket: Vec<PathBuf>,
    /// Show observations of servers too, with their age.
    #[arg(long)]
    evidence: bool,
    /// Print a line of JSON per gateway.
    #[arg(long)]
    json: bool,
}

/// Runs the sub-command.
pub fn run(line: &Line) -> Result<(), String> {
    for path in &line.socket {
        let answer = ask(path, &json!({"do": "fellows"}))?;
        print(&if line.json { format!("{answer}\n") } else { view(&answer, line.evidence) })?;
    }
    Ok(())
}

fn text(value: &Json) -> String {
    value.as_str().unwrap_or("-").to_string()
}

/// A gateway's view of the others as text.
fn view(answer: &Json, evidence: bool) -> String {
    let rows = |key: &str| answer[key].as_array().cloned().unwrap_or_default();
    let names = |value: &Json| {
        let names: Vec<&str> = value.as_array().into_iter().flatten().filter_map(Json::as_str).collect();
        names.join(", ")
    };
    let mut out = format!(
        "gateway {}, zone {}, region {}, health {}{}; {} datagrams sent ({} bytes), {} heard, refused {}\n",
        text(&answer["gateway"]),
        text(&answer["zone"]),
        text(&answer["region"]),
        answer["health"],
        if answer["yields"] == true { ", SILENT: another gateway has its name" } else { "" },
        answer["sent"],
        answer["sent_bytes"],
        answer["heard"],
        answer["refused"],
    );
    let dark = names(&answer["dark"]);
    if !dark.is_empty() {
        out += &format!("  no live gateway in zones: {dark}\n");
    }
    out += &format!(
        "  {:<16}{:<10}{:<10}{:<10}{:>10}  {}\n",
        "name", "zone", "region", "stands", "for", "suspected by"
    );
    for one in rows("members") {
        out += &format!(
            "  {:<16}{:<10}{:<10}{:<10}{:>8.1} s  {}\n",
            text(&one["name"]),
            text(&one["zone"]),
            text(&one["region"]),
            text(&one["standing"]),
            one["for_ms"].as_f64().unwrap_or(0.0) / 1e3,
            names(&one["suspected_by"]),
        );
    }
    for one in rows("evidence").iter().filter(|_| evidence) {
        out += &format!(
            "  {:<16}{:<16}{:<24}{:>8.1} s ago\n",
            text(&one["source"]),
            text(&one["subject"]),
            text(&one["fact"]),
            one["age_ms"].as_f64().unwrap_or(0.0) / 1e3,
        );
    }
    out
}
