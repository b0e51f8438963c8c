//! Report as JSON.

use serde_json::{Value as Json, json};

use crate::check::{Report, Verdict};
use crate::explore::{Counterexample, SearchStats};
use crate::report::{narrate, why, word};
use crate::subject::Subject;

fn tally(tally: &SearchStats) -> Json {
    json!({
        "worlds": tally.worlds, "runs": tally.runs, "forks": tally.forks, "met": tally.met,
        "calls": tally.calls, "seeds": tally.seeds, "faults": tally.faults,
        "exhaustive": tally.cut_short.is_none(), "cut_short": tally.cut_short,
    })
}

/// A run that violates an expectation.
pub fn counterexample(subject: &Subject, found: &Counterexample) -> Json {
    let setting = &found.setting;
    json!({
        "command_group": subject.command_groups[setting.command].name,
        "shard": subject.shards[setting.shard],
        "zone": subject.zones[setting.zone],
        "world": found.world,
        "seed": setting.seed,
        "faults": found.faults,
        "dispatches": found.dispatches,
        "cause": found.broken.cause.name(),
        "why": found.broken.why,
        "look_at": found.broken.cause.look(),
        "steps": narrate(subject, &found.trail),
    })
}

/// Renders the report.
pub fn json(subject: &Subject, report: &Report) -> Json {
    let checked = report.checked.iter().map(|one| {
        let run = match &one.verdict {
            Verdict::Broken(found) => counterexample(subject, found),
            _ => Json::Null,
        };
        json!({
            "name": one.name, "verdict": word(&one.verdict), "why": why(one), "run": run,
            "searched": tally(&one.tally),
        })
    });
    let gaps = report
        .gaps
        .iter()
        .map(|gap| json!({"command_group": gap.command_group, "state": gap.state, "shards": gap.shards}));
    json!({
        "config": report.config,
        "holds": report.holds(),
        "expectations": checked.collect::<Vec<_>>(),
        "faults": report.faults.iter().map(ToString::to_string).collect::<Vec<_>>(),
        "not_spoken_of": gaps.collect::<Vec<_>>(),
        "searched": tally(&report.tally),
    })
}
