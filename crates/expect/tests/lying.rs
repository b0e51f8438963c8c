//! Routers that each violate one rule: every violation must be found, and none in the real router.

mod common;

use common::{checked, config, failures, input};
use tansyjunction::Router;
use tansyjunction::interface::*;
use tansyjunction_expect::router;
use tansyjunction_expect::steer::CheckedRouter;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Lie {
    /// Never abandons a command nor dispatches it.
    NoAnswer,
    /// Repeats a mutating command that may have executed.
    Resends,
    /// Repeats a keyed command after its window.
    ResendsLate,
    /// Throttles a command that may have executed.
    Throttles,
    /// Ignores draining.
    IgnoresDrains,
    /// Treats a cold server as warm.
    IgnoresCold,
    /// Treats every replica as up to date.
    IgnoresLag,
    /// Sends writes to a replica.
    WritesToReplica,
}

#[derive(Clone)]
struct Liar {
    router: Router,
    lie: Lie,
    primaries: Vec<usize>,
}

impl CheckedRouter for Liar {
    fn update_server_list(&mut self, now: Micros, entries: &[ServerListEntry], whole: bool) {
        let mut entries = entries.to_vec();
        for entry in &mut entries {
            match self.lie {
                Lie::IgnoresDrains => entry.state = ServerState::Serving,
                Lie::IgnoresCold => entry.started = None,
                _ => {}
            }
            if entry.primary {
                self.primaries.push(entry.server);
            }
        }
        self.router.update_server_list(now, Some(&entries), whole);
    }

    fn on_probe_result(
        &mut self,
        now: Micros,
        server: usize,
        took: Micros,
        end: DispatchEnd,
        report: Option<Report>,
    ) {
        let report = report.map(|report| match self.lie {
            Lie::IgnoresLag => Report { position: Some(now), ..report },
            _ => report,
        });
        self.router.on_probe_result(now, server, took, end, report);
    }

    fn place(&mut self, now: Micros, held: &PendingCommand) -> Placement {
        let last = held.dispatches.last();
        let ran = last.is_some_and(|d| d.ended.is_some_and(|ended| !ended.never_ran()));
        let left = held.command.client_timeout.saturating_sub(now);
        match (self.lie, last) {
            (Lie::NoAnswer, _) => return Placement::Hold,
            (Lie::Resends, Some(last)) if ran && left > 0 => {
                return Placement::Dispatch { server: last.server, timeout: left };
            }
            (Lie::ResendsLate, Some(last)) if ran && now >= last.sent + 500_000 && left > 0 => {
                return Placement::Dispatch { server: last.server, timeout: left };
            }
            (Lie::ResendsLate, Some(_)) if ran && left > 0 => return Placement::Hold,
            (Lie::Throttles, Some(_)) if ran => {
                return Placement::Abandon(FinalAnswer::Throttled { retry_after: 0 });
            }
            _ => {}
        }
        match self.router.place(now, held) {
            Placement::Dispatch { server, timeout } if self.lie == Lie::WritesToReplica => {
                let server = if self.primaries.contains(&server) { server + 1 } else { server };
                Placement::Dispatch { server, timeout }
            }
            other => other,
        }
    }

    fn on_outcome(&mut self, now: Micros, held: &PendingCommand, outcome: &Outcome) -> NextStep {
        let mut outcome = outcome.clone();
        if self.lie == Lie::IgnoresLag {
            outcome.answer_report.position = outcome.answer_report.position.map(|_| now);
        }
        self.router.on_outcome(now, held, &outcome)
    }

    fn next_check(&mut self, now: Micros, held: Option<&PendingCommand>) -> NextCheck {
        let wait = self.router.next_check(now, held);
        // It must be asked soon enough for its own answers.
        NextCheck {
            after: if held.is_some() { wait.after.clamp(1_000, 100_000) } else { wait.after },
            ..wait
        }
    }

    fn prescribe_draws(&mut self, picks: Option<PrescribedDraws>) -> Option<PrescribedDraws> {
        self.router.prescribe_draws(picks)
    }

    fn state_hash(&self) -> u64 {
        CheckedRouter::state_hash(&self.router)
    }
}

/// Expectations of an operator about these commands; the rules are checked implicitly.
const EXPECTED: &str = "
[expectation orders]
commands = order
faults = silence, reset, error
in = calm, behind, draining, gone, cold
tries = 3

[expectation reads]
commands = basket, balance
session = wrote 1s ago
faults = reset, error
in = calm, behind, draining, gone
tries = 3

[expectation crowd]
commands = basket
in = cold
at_once = 100
over = 2s
tries = 3

[expectation orders at the primary]
commands = order
only = primary
";

#[test]
fn every_lie_is_caught_by_its_rule_and_the_router_is_not() {
    let mut config = config("orders.json");
    config["settings"]["limits"]["max_attempts"] = 4.into();
    // A violated window needs a keyed command group whose clients wait longer than the window.
    let mut keyed = config.clone();
    let order = &mut keyed["settings"]["categories"][1];
    (order["effect"], order["window"], order["dedup_scope"]) =
        ("token".into(), 400_000_000.into(), "cell".into());
    let report = checked(&input(config.clone(), &[EXPECTED], "").expect("it is read"), &router);
    let report = report.expect("it is checked");
    assert!(report.holds(), "{}", failures(&report));
    for (lie, config, rule) in [
        (Lie::NoAnswer, &config, "rule 1"),
        (Lie::Resends, &config, "rule 2"),
        (Lie::ResendsLate, &keyed, "rule 2"),
        (Lie::Throttles, &config, "rule 2"),
        (Lie::IgnoresDrains, &config, "rule 3"),
        (Lie::IgnoresCold, &config, "rule 4"),
        (Lie::IgnoresLag, &config, "rule 5"),
        (Lie::WritesToReplica, &config, "'only'"),
    ] {
        let make = |named: &SettingsByName, seed: u64| {
            Ok(Liar { router: Router::new(named.clone(), seed)?, lie, primaries: Vec::new() })
        };
        let report = checked(&input(config.clone(), &[EXPECTED], "").expect("it is read"), &make);
        let said = failures(&report.expect("it is checked"));
        assert!(said.contains(rule), "{lie:?} is not caught by {rule}: {said}");
    }
}
