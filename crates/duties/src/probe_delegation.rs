//! Shared probing: one gateway per group probes members that are down, and the others use its results instead of
//! sending probes of their own. Results are only evidence: they may be late, repeated, or come from two gateways at
//! once, so no fencing is needed. A result only replaces probes of members that this gateway found bad itself; a
//! wrong one may delay the return of a member but never takes one out.

use std::collections::BTreeMap;

use tansyjunction::interface::Micros;

use crate::entries::{Entry, Scope};

const DUTY_PREFIX: &str = "scout/";
/// A repeated request for the same probe within this time is urgent, as in the search for a primary: routine probes
/// of a member are at least a second apart.
const URGENT_REPEAT: Micros = 500_000;

/// Name of a group's probing duty.
pub fn probing_duty_of(group: &str) -> String {
    format!("{DUTY_PREFIX}{group}")
}

/// The group of a probing duty.
pub fn probed_group(duty: &str) -> Option<&str> {
    duty.strip_prefix(DUTY_PREFIX)
}

/// Entry that creates the probing duty of a group; harmless if several gateways propose it.
pub fn open_probing_duty(group: &str) -> Entry {
    let scope = group.parse().map_or(Scope::Fleet, Scope::Shard);
    Entry::Open { duty: probing_duty_of(group), scope }
}

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProbeResult {
    Answers,
    Refuses,
    Hangs,
}

/// Last result that a gateway reported for a server, and its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReportedResult {
    pub result: ProbeResult,
    pub age: Micros,
}

/// State at the time of a probe request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ProbeContext<'a> {
    pub own_name: &'a str,
    /// Holder of the duty by the shared state. `None`: nobody, or the state may be outdated since this gateway's own
    /// attendance has expired.
    pub holder: Option<&'a str>,
    /// This gateway's own last result. `None`: none, or it is too old.
    pub own_result: Option<ReportedResult>,
    /// The result reported by the holder.
    pub reported: Option<ReportedResult>,
    /// The holder reports most servers as down, so its own network is probably at fault.
    pub holder_doubted: bool,
}

/// Decides which probes a gateway may skip.
#[derive(Clone, Debug)]
pub struct ProbeDelegation {
    /// Older results are ignored.
    max_report_age: Micros,
    /// When a probe of each server was last requested.
    last_requested: BTreeMap<usize, Micros>,
}

impl ProbeDelegation {
    /// `word_most` must exceed the router's longest probe interval of a member that is down plus the delay of the
    /// report, or probes are sent in between.
    pub fn new(word_most: Micros) -> Self {
        ProbeDelegation { max_report_age: word_most, last_requested: BTreeMap::new() }
    }

    /// The holder's result to use in place of the probe that the router requests now; `None` if the probe must be sent.
    pub fn replacement(&mut self, now: Micros, server: usize, known: &ProbeContext) -> Option<ProbeResult> {
        self.last_requested.retain(|_, at| now < *at + URGENT_REPEAT);
        let hurried = self.last_requested.insert(server, now).is_some();
        let scout = known.holder.filter(|scout| *scout != known.own_name);
        let own_bad = known.own_result.is_some_and(|own| own.result != ProbeResult::Answers);
        if hurried || scout.is_none() || !own_bad || known.holder_doubted {
            return None;
        }
        let word = known.reported.filter(|word| word.age <= self.max_report_age)?;
        (word.result != ProbeResult::Answers).then_some(word.result)
    }

    /// Longest additional delay in µs until this gateway notices that a member is back. A holder that hangs, dies, is
    /// cut off or reports one wrong result: until the report is too old. One that keeps reporting wrong results:
    /// until this gateway's own result is too old (`keep_for`) and it probes again.
    pub fn max_delay(&self, keep_for: Micros, lies_on: bool) -> Micros {
        if lies_on { keep_for } else { self.max_report_age.min(keep_for) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = 1_000_000;
    const MOST: Micros = 6 * SECOND;

    fn heard(found: ProbeResult, age: Micros) -> Option<ReportedResult> {
        Some(ReportedResult { result: found, age })
    }

    fn known() -> ProbeContext<'static> {
        let (own, word) = (heard(ProbeResult::Refuses, 20 * SECOND), heard(ProbeResult::Hangs, SECOND));
        ProbeContext {
            own_name: "n1",
            holder: Some("n0"),
            own_result: own,
            reported: word,
            holder_doubted: false,
        }
    }

    #[test]
    fn a_fresh_bad_word_of_the_scout_stands_in_for_a_probe_and_nothing_else_does() {
        use ProbeResult::*;
        let base = known();
        let cases = [
            ("bad and fresh", base, Some(Hangs)),
            ("refuses", ProbeContext { reported: heard(Refuses, SECOND), ..base }, Some(Refuses)),
            ("just fresh", ProbeContext { reported: heard(Hangs, MOST), ..base }, Some(Hangs)),
            ("too old", ProbeContext { reported: heard(Hangs, MOST + 1), ..base }, None),
            ("it answers the scout", ProbeContext { reported: heard(Answers, 0), ..base }, None),
            ("no word", ProbeContext { reported: None, ..base }, None),
            ("no scout, or its lease ran out", ProbeContext { holder: None, ..base }, None),
            ("this gateway is the scout", ProbeContext { holder: Some("n1"), ..base }, None),
            ("the scout's network is broken", ProbeContext { holder_doubted: true, ..base }, None),
            // A wrong report takes out no member that answers here.
            ("it answers here", ProbeContext { own_result: heard(Answers, 0), ..base }, None),
            ("own sight forgotten", ProbeContext { own_result: None, ..base }, None),
        ];
        for (case, known, instead) in cases {
            assert_eq!(ProbeDelegation::new(MOST).replacement(100 * SECOND, 3, &known), instead, "{case}");
        }
    }

    #[test]
    fn a_router_in_a_hurry_has_its_probes_sent() {
        let mut scout = ProbeDelegation::new(MOST);
        let known = known();
        let mut asks = |at, server| scout.replacement(at, server, &known).is_some();
        assert!(asks(10 * SECOND, 3) && asks(11 * SECOND, 3));
        assert!(!asks(11 * SECOND + 50_000, 3), "sought");
        assert!(asks(11 * SECOND + 60_000, 4), "another server");
        assert!(!asks(11 * SECOND + 100_000, 3), "sought still");
        assert!(asks(12 * SECOND, 3), "no longer");
    }

    /// A member is back at 10 s and is requested once a second: it is found within the bound.
    #[test]
    fn a_wrong_scout_delays_a_return_by_no_more_than_the_bound() {
        const KEEP: Micros = 30 * SECOND;
        for lies_on in [false, true] {
            let mut scout = ProbeDelegation::new(MOST);
            let found = (10..100).map(|second| second * SECOND).find(|now| {
                let since = now - 10 * SECOND;
                let own =
                    (since <= KEEP).then_some(ReportedResult { result: ProbeResult::Refuses, age: since });
                let word = heard(ProbeResult::Refuses, if lies_on { 0 } else { since });
                scout
                    .replacement(*now, 3, &ProbeContext { own_result: own, reported: word, ..known() })
                    .is_none()
            });
            let late = found.expect("it is seen") - 10 * SECOND;
            let most = scout.max_delay(KEEP, lies_on);
            assert!(late > 0 && late <= most + SECOND, "{late} {most}");
        }
    }

    #[test]
    fn duties_go_by_their_groups() {
        assert_eq!(probed_group(&probing_duty_of("7")), Some("7"));
        assert_eq!(probed_group("conductor/7"), None);
        let open = |group| match open_probing_duty(group) {
            Entry::Open { duty, scope } => (duty, scope),
            other => panic!("{other:?}"),
        };
        assert_eq!(open("7"), ("scout/7".into(), Scope::Shard(7)));
        assert_eq!(open("orders"), ("scout/orders".into(), Scope::Fleet));
    }
}
