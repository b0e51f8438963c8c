//! Interface of the checked router: the real one, or a faulty one in tests.

use std::hash::Hasher;

use rustc_hash::FxHasher;
use tansyjunction::Router;
use tansyjunction::interface::*;

/// The calls of a [`Router`], which a test may implement with faults.
pub trait CheckedRouter: Clone {
    fn update_server_list(&mut self, now: Micros, entries: &[ServerListEntry], whole: bool);
    fn on_probe_result(
        &mut self,
        now: Micros,
        server: usize,
        took: Micros,
        end: DispatchEnd,
        report: Option<Report>,
    );
    fn place(&mut self, now: Micros, held: &PendingCommand) -> Placement;
    fn on_outcome(&mut self, now: Micros, held: &PendingCommand, outcome: &Outcome) -> NextStep;
    fn next_check(&mut self, now: Micros, held: Option<&PendingCommand>) -> NextCheck;
    fn prescribe_draws(&mut self, picks: Option<PrescribedDraws>) -> Option<PrescribedDraws>;
    /// Hash of its state; equal hashes mean equal answers.
    fn state_hash(&self) -> u64;
}

impl CheckedRouter for Router {
    fn update_server_list(&mut self, now: Micros, entries: &[ServerListEntry], whole: bool) {
        Router::update_server_list(self, now, Some(entries), whole);
    }

    fn on_probe_result(
        &mut self,
        now: Micros,
        server: usize,
        took: Micros,
        end: DispatchEnd,
        report: Option<Report>,
    ) {
        Router::on_probe_result(self, now, server, took, end, report);
    }

    fn place(&mut self, now: Micros, held: &PendingCommand) -> Placement {
        Router::place(self, now, held)
    }

    fn on_outcome(&mut self, now: Micros, held: &PendingCommand, outcome: &Outcome) -> NextStep {
        Router::on_outcome(self, now, held, outcome)
    }

    fn next_check(&mut self, now: Micros, held: Option<&PendingCommand>) -> NextCheck {
        Router::next_check(self, now, held)
    }

    fn prescribe_draws(&mut self, picks: Option<PrescribedDraws>) -> Option<PrescribedDraws> {
        Router::prescribe_draws(self, picks)
    }

    fn state_hash(&self) -> u64 {
        let mut hasher = FxHasher::default();
        Router::hash_state(self, &mut hasher);
        hasher.finish()
    }
}
