//! What is checked: the router itself, or one that a test has made to lie.

use std::hash::Hasher;

use rustc_hash::FxHasher;
use tansyjunction::Router;
use tansyjunction::interface::*;

/// The calls of a [`Router`], so that a test may put a faulty one in its place.
pub trait Steer: Clone {
    fn listed(&mut self, now: Micros, entries: &[Listed], whole: bool);
    fn probed(&mut self, now: Micros, server: usize, took: Micros, end: Ending, report: Option<Report>);
    fn place(&mut self, now: Micros, held: &Held) -> Place;
    fn after(&mut self, now: Micros, held: &Held, outcome: &Outcome) -> After;
    fn wait(&mut self, now: Micros, held: Option<&Held>) -> Wait;
    fn picks(&mut self, picks: Option<Picks>) -> Option<Picks>;
    /// Marks of its state; the same marks, the same answers.
    fn digest(&self) -> u64;
}

impl Steer for Router {
    fn listed(&mut self, now: Micros, entries: &[Listed], whole: bool) {
        Router::listed(self, now, Some(entries), whole);
    }

    fn probed(&mut self, now: Micros, server: usize, took: Micros, end: Ending, report: Option<Report>) {
        Router::probed(self, now, server, took, end, report);
    }

    fn place(&mut self, now: Micros, held: &Held) -> Place {
        Router::place(self, now, held)
    }

    fn after(&mut self, now: Micros, held: &Held, outcome: &Outcome) -> After {
        Router::after(self, now, held, outcome)
    }

    fn wait(&mut self, now: Micros, held: Option<&Held>) -> Wait {
        Router::wait(self, now, held)
    }

    fn picks(&mut self, picks: Option<Picks>) -> Option<Picks> {
        Router::picks(self, picks)
    }

    fn digest(&self) -> u64 {
        let mut hasher = FxHasher::default();
        Router::digest(self, &mut hasher);
        hasher.finish()
    }
}
