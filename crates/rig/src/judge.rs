//! What the processes did against what may happen, from all their logs in one history. Verdicts rest on rules: how long
//! something took is a figure beside them.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use serde_json::Value as Json;

use crate::plan::{Plan, What};

/// One thing that one gateway logged of another. Milliseconds since the faults' beginning, below zero before it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Told {
    pub at_ms: i64,
    pub by: usize,
    /// up, down, left, deaf, hears, paused, renewed, yields
    pub what: String,
    pub of: Option<usize>,
}

/// The members' lines of a gateway's log. `zero`: the machine's monotonic clock at the faults' beginning, in
/// microseconds.
pub fn read(by: usize, log: &str, zero: u64) -> Vec<Told> {
    let told = log.lines().filter_map(|line| {
        let json: Json = serde_json::from_str(line).ok()?;
        let (what, mono) = (json["what"].as_str()?, json["mono"].as_u64()?);
        let of = json["fellow"].as_str().and_then(|name| name.strip_prefix('n')?.parse().ok());
        Some(Told { at_ms: (mono as i64 - zero as i64) / 1_000, by, what: what.into(), of })
    });
    told.collect()
}

/// Whether a fault that befalls one of these is under way, or ended no longer ago than `after_ms`.
fn befalls(plan: &Plan, who: usize, at_ms: i64, after_ms: i64) -> bool {
    plan.faults.iter().any(|fault| {
        let under_way = fault.at_ms as i64 <= at_ms && at_ms <= fault.ends() as i64 + after_ms;
        under_way && fault.befalls(plan.gateways).contains(&who)
    })
}

/// Deaths that were told of gateways to which nothing had happened, by gateways to which nothing had happened: an
/// observer in trouble has then made others believe it.
pub fn false_deaths(plan: &Plan, history: &[Told], after_ms: i64) -> Vec<String> {
    let deaths = history.iter().filter(|told| told.what == "down");
    let wrong = deaths.filter(|told| {
        let Some(of) = told.of else { return false };
        !befalls(plan, of, told.at_ms, after_ms) && !befalls(plan, told.by, told.at_ms, after_ms)
    });
    let words = |told: &Told| {
        let of = told.of.unwrap_or_default();
        format!(
            "n{} told at {} ms that n{of} is down, and nothing had happened to either",
            told.by, told.at_ms
        )
    };
    wrong.map(words).collect()
}

/// Gateways that were told to stop and that others took for lost.
pub fn lost_not_left(plan: &Plan, history: &[Told]) -> Vec<String> {
    let only_stopped = |who: usize| {
        let mut own =
            plan.faults.iter().filter(|fault| fault.befalls(plan.gateways).contains(&who)).peekable();
        own.peek().is_some() && own.all(|fault| matches!(fault.what, What::Stop { .. }))
    };
    let well = |by: usize| !plan.faults.iter().any(|fault| fault.befalls(plan.gateways).contains(&by));
    let wrong = history
        .iter()
        .filter(|told| told.what == "down" && well(told.by) && told.of.is_some_and(only_stopped));
    wrong
        .map(|told| {
            format!("n{} took n{} for lost, which had said farewell", told.by, told.of.unwrap_or_default())
        })
        .collect()
}

/// For each killed gateway: milliseconds from the kill to the last word of its death by those that lived on untouched.
pub fn detection(plan: &Plan, history: &[Told]) -> BTreeMap<usize, i64> {
    let mut found = BTreeMap::new();
    for fault in &plan.faults {
        let What::Kill { who } = &fault.what else { continue };
        let untouched: BTreeSet<usize> = (0..plan.gateways)
            .filter(|by| !plan.faults.iter().any(|f| f.befalls(plan.gateways).contains(by)))
            .collect();
        for of in who {
            let begins = fault.at_ms as i64;
            let told = history.iter().filter(|told| {
                told.what == "down"
                    && told.of == Some(*of)
                    && told.at_ms >= begins
                    && untouched.contains(&told.by)
            });
            if let Some(last) = told.map(|told| told.at_ms - begins).max() {
                found.insert(*of, last);
            }
        }
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::plan::Fault;

    fn plan(what: What) -> Plan {
        Plan { gateways: 5, faults: vec![Fault { at_ms: 1_000, for_ms: 2_000, what }], ..Plan::default() }
    }

    fn down(by: usize, of: usize, at_ms: i64) -> Told {
        Told { at_ms, by, what: "down".into(), of: Some(of) }
    }

    #[test]
    fn the_judge_tells_deaths_that_nothing_explains() {
        let deaf = plan(What::Cut { from: vec![0, 1, 2, 3], to: vec![4] });
        for (told, wrong) in [
            (down(0, 4, 1_500), false),
            (down(0, 4, 500), true),
            (down(0, 4, 9_000), true),
            (down(4, 0, 1_500), false),
            (down(0, 1, 1_500), true),
        ] {
            assert_eq!(
                false_deaths(&deaf, std::slice::from_ref(&told), 1_000).len(),
                usize::from(wrong),
                "{told:?}"
            );
        }
        let stop = plan(What::Stop { who: vec![2] });
        assert_eq!(lost_not_left(&stop, &[down(0, 2, 1_200)]).len(), 1);
        assert_eq!(lost_not_left(&stop, &[Told { what: "left".into(), ..down(0, 2, 1_200) }]).len(), 0);
        let killed = plan(What::Kill { who: vec![2] });
        assert_eq!(detection(&killed, &[down(0, 2, 1_700), down(1, 2, 1_900)]), BTreeMap::from([(2, 900)]));
    }

    #[test]
    fn lines_of_a_log_are_read_and_others_passed_over() {
        let log = "nonsense\n{\"target\":\"fellows\",\"what\":\"down\",\"mono\":5000000,\"fellow\":\"n3\"}\n{\"what\":1}";
        assert_eq!(read(1, log, 4_000_000), [down(1, 3, 1_000)]);
    }
}
