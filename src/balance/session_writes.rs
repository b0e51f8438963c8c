//! Positions that the reads of a session must see, where the router has to remember the session's writes.

use crate::interface::Micros;

/// Answered writes of one session.
#[derive(Clone, Debug, Default, Hash)]
pub(super) struct SessionWrites {
    /// Latest commit, or an upper bound of it.
    committed: Micros,
    /// Times at which answers were passed on whose dispatch has not ended, so that their commits are not known yet.
    answered: Vec<Micros>,
}

impl SessionWrites {
    /// The position that covers all of them. A write has committed before its answer arrives.
    pub fn position(&self) -> Micros {
        self.answered.iter().copied().fold(self.committed, Micros::max)
    }

    /// Records that the answer to a write was passed on.
    pub fn on_answer(&mut self, now: Micros) {
        self.answered.push(now);
    }

    /// Records the end of the dispatch of a write that was answered at `answered_at`, with its commit if the server
    /// stated it.
    pub fn on_dispatch_ended(&mut self, now: Micros, answered_at: Micros, commit: Option<Micros>) {
        let noted = self.answered.iter().position(|at| *at == answered_at);
        let latest = noted.map_or(now, |place| self.answered.swap_remove(place));
        // A hedged write's answer may report an earlier commit after that of the next write.
        self.committed = self.committed.max(commit.unwrap_or(latest));
    }
}
