//! What is checked: the router itself, or one that a test has made to lie.

use std::hash::Hasher;

use rustc_hash::FxHasher;
use tansyjunction::Router;
use tansyjunction::interface::*;

/// The calls of a [`Router`], so that a test may put a faulty one in its place.
pub trait Steer: Clone {
    fn listed(&mut self, now: Micros, entries: &[ServerListEntry], whole: bool);
    fn probed(&mut self, now: Micros, server: usize, took: Micros, end: DispatchEnd, report: Option<Report>);
    fn place(&mut self, now: Micros, held: &PendingCommand) -> Placement;
    fn after(&mut self, now: Micros, held: &PendingCommand, outcome: &Outcome) -> NextStep;
    fn wait(&mut self, now: Micros, held: Option<&PendingCommand>) -> NextCheck;
    fn picks(&mut self, picks: Option<PrescribedDraws>) -> Option<PrescribedDraws>;
    /// Marks of its state; the same marks, the same answers.
    fn digest(&self) -> u64;
}

impl Steer for Router {
    fn listed(&mut self, now: Micros, entries: &[ServerListEntry], whole: bool) {
        Router::update_server_list(self, now, Some(entries), whole);
    }

    fn probed(&mut self, now: Micros, server: usize, took: Micros, end: DispatchEnd, report: Option<Report>) {
        Router::on_probe_result(self, now, server, took, end, report);
    }

    fn place(&mut self, now: Micros, held: &PendingCommand) -> Placement {
        Router::place(self, now, held)
    }

    fn after(&mut self, now: Micros, held: &PendingCommand, outcome: &Outcome) -> NextStep {
        Router::on_outcome(self, now, held, outcome)
    }

    fn wait(&mut self, now: Micros, held: Option<&PendingCommand>) -> NextCheck {
        Router::next_check(self, now, held)
    }

    fn picks(&mut self, picks: Option<PrescribedDraws>) -> Option<PrescribedDraws> {
        Router::prescribe_draws(self, picks)
    }

    fn digest(&self) -> u64 {
        let mut hasher = FxHasher::default();
        Router::hash_state(self, &mut hasher);
        hasher.finish()
    }
}
