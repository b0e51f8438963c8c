//! Report as text for a terminal.

use std::fmt::Write;

use crate::check::{Report, Verdict};
use crate::explore::{Counterexample, SearchStats};
use crate::report::{narrate, why};
use crate::subject::Subject;

/// Statistics of the search in one line.
pub fn tally(tally: &SearchStats) -> String {
    let SearchStats { worlds, runs, forks, met, calls, seeds, faults, cut_short } = tally;
    let end = match cut_short {
        None => format!("exhaustive up to {faults} faults"),
        Some(why) => format!("not exhaustive: {why}"),
    };
    format!(
        "{worlds} worlds, {seeds} seeds, {runs} runs, {forks} forks, {met} met before, {calls} calls; {end}"
    )
}

/// Renders the report.
pub fn text(subject: &Subject, report: &Report) -> String {
    let mut out = String::new();
    let (mut failed, mut open) = (0, 0);
    for one in &report.checked {
        match why(one) {
            None => {
                let _ = writeln!(out, "holds   {}  ({})", one.name, tally(&one.tally));
            }
            Some(why) if matches!(one.verdict, Verdict::Open { .. }) => {
                open += 1;
                let _ = writeln!(out, "open    {}\n        {why}", one.name);
            }
            Some(why) => {
                failed += 1;
                let _ = writeln!(out, "FAILS   {}\n        {why}", one.name);
            }
        }
        if let Verdict::Broken(found) = &one.verdict {
            out.push_str(&run(subject, found));
            let _ = writeln!(out, "        look at: {}", found.broken.cause.look());
            let _ = writeln!(out, "        {}", tally(&one.tally));
        }
    }
    let held = report.checked.len() - failed - open;
    for fault in &report.faults {
        failed += 1;
        let _ = writeln!(out, "FAILS   {fault}");
    }
    if !report.gaps.is_empty() {
        let _ = writeln!(out, "\nno expectation speaks of:");
        for group in gaps_by_group(report) {
            let _ = writeln!(out, "        {group}");
        }
    }
    let left = if open > 0 { format!(", {open} open") } else { String::new() };
    let _ = writeln!(out, "\n{held} hold, {failed} fail{left}; {}", tally(&report.tally));
    out
}

fn gaps_by_group(report: &Report) -> Vec<String> {
    let mut lines: Vec<(String, Vec<String>)> = Vec::new();
    for gap in &report.gaps {
        let some = match gap.shards.len() {
            0 => String::new(),
            n if n > 3 => format!(" ({n} shards)"),
            _ => format!(" (shard {})", gap.shards.join(", ")),
        };
        let state = format!("{}{some}", gap.state);
        match lines.iter_mut().find(|(group, _)| *group == gap.command_group) {
            Some((_, states)) => states.push(state),
            None => lines.push((gap.command_group.clone(), vec![state])),
        }
    }
    lines.into_iter().map(|(group, states)| format!("{group}: {}", states.join(", "))).collect()
}

/// A run that violates an expectation: its scenario and all events.
fn run(subject: &Subject, found: &Counterexample) -> String {
    let mut out = String::new();
    let setting = &found.setting;
    let _ = writeln!(
        out,
        "        {} on shard {}, client in {}, world: {}, seed {}",
        subject.command_groups[setting.command].name,
        subject.shards[setting.shard],
        subject.zones[setting.zone],
        found.world,
        setting.seed
    );
    for line in narrate(subject, &found.trail) {
        let _ = writeln!(out, "        {line}");
    }
    out
}
