//! Checks of the membership: the logs of all processes form one history. Verdicts are based on rules; durations are
//! only reported.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use serde_json::Value as Json;

use crate::plan::{FaultKind, Plan};

/// A log line of a gateway about another one. Times in milliseconds since the first fault, negative before it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MembershipLine {
    pub at_ms: i64,
    pub by: usize,
    /// up, down, left, deaf, hears, paused, renewed, yields
    pub what: String,
    pub of: Option<usize>,
}

/// The membership lines of a gateway's log. `zero` is the monotonic clock in µs at the first fault.
pub fn read(by: usize, log: &str, zero: u64) -> Vec<MembershipLine> {
    let told = log.lines().filter_map(|line| {
        let json: Json = serde_json::from_str(line).ok()?;
        let (what, mono) = (json["what"].as_str()?, json["mono"].as_u64()?);
        let of = json["fellow"].as_str().and_then(|name| name.strip_prefix('n')?.parse().ok());
        Some(MembershipLine { at_ms: (mono as i64 - zero as i64) / 1_000, by, what: what.into(), of })
    });
    told.collect()
}

/// Whether a fault affects this gateway, or ended at most `after_ms` ago.
fn is_affected(plan: &Plan, who: usize, at_ms: i64, after_ms: i64) -> bool {
    plan.faults.iter().any(|fault| {
        let under_way = fault.at_ms as i64 <= at_ms && at_ms <= fault.ends() as i64 + after_ms;
        under_way && fault.affected(plan.gateways).contains(&who)
    })
}

/// Deaths reported of unaffected gateways by unaffected gateways: an observer in trouble has convinced others.
pub fn false_deaths(plan: &Plan, history: &[MembershipLine], after_ms: i64) -> Vec<String> {
    let deaths = history.iter().filter(|told| told.what == "down");
    let wrong = deaths.filter(|told| {
        let Some(of) = told.of else { return false };
        !is_affected(plan, of, told.at_ms, after_ms) && !is_affected(plan, told.by, told.at_ms, after_ms)
    });
    let words = |told: &MembershipLine| {
        let of = told.of.unwrap_or_default();
        format!(
            "n{} told at {} ms that n{of} is down, and nothing had happened to either",
            told.by, told.at_ms
        )
    };
    wrong.map(words).collect()
}

/// Gateways that were stopped in order and that others considered failed.
pub fn lost_not_left(plan: &Plan, history: &[MembershipLine]) -> Vec<String> {
    let only_stopped = |who: usize| {
        let mut own =
            plan.faults.iter().filter(|fault| fault.affected(plan.gateways).contains(&who)).peekable();
        own.peek().is_some() && own.all(|fault| matches!(fault.what, FaultKind::Stop { .. }))
    };
    let well = |by: usize| !plan.faults.iter().any(|fault| fault.affected(plan.gateways).contains(&by));
    let wrong = history
        .iter()
        .filter(|told| told.what == "down" && well(told.by) && told.of.is_some_and(only_stopped));
    wrong
        .map(|told| {
            format!("n{} took n{} for lost, which had said farewell", told.by, told.of.unwrap_or_default())
        })
        .collect()
}

/// For each killed gateway: milliseconds from the kill to the last report of it by unaffected gateways.
pub fn detection(plan: &Plan, history: &[MembershipLine]) -> BTreeMap<usize, i64> {
    let mut found = BTreeMap::new();
    for fault in &plan.faults {
        let FaultKind::Kill { who } = &fault.what else { continue };
        let untouched: BTreeSet<usize> = (0..plan.gateways)
            .filter(|by| !plan.faults.iter().any(|f| f.affected(plan.gateways).contains(by)))
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

    fn plan(what: FaultKind) -> Plan {
        Plan { gateways: 5, faults: vec![Fault { at_ms: 1_000, for_ms: 2_000, what }], ..Plan::default() }
    }

    fn down(by: usize, of: usize, at_ms: i64) -> MembershipLine {
        MembershipLine { at_ms, by, what: "down".into(), of: Some(of) }
    }

    #[test]
    fn the_judge_tells_deaths_that_nothing_explains() {
        let deaf = plan(FaultKind::Cut { from: vec![0, 1, 2, 3], to: vec![4] });
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
        let stop = plan(FaultKind::Stop { who: vec![2] });
        assert_eq!(lost_not_left(&stop, &[down(0, 2, 1_200)]).len(), 1);
        assert_eq!(
            lost_not_left(&stop, &[MembershipLine { what: "left".into(), ..down(0, 2, 1_200) }]).len(),
            0
        );
        let killed = plan(FaultKind::Kill { who: vec![2] });
        assert_eq!(detection(&killed, &[down(0, 2, 1_700), down(1, 2, 1_900)]), BTreeMap::from([(2, 900)]));
    }

    #[test]
    fn lines_of_a_log_are_read_and_others_passed_over() {
        let log = "nonsense\n{\"target\":\"fellows\",\"what\":\"down\",\"mono\":5000000,\"fellow\":\"n3\"}\n{\"what\":1}";
        assert_eq!(read(1, log, 4_000_000), [down(1, 3, 1_000)]);
    }
}
