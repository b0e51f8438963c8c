//! Implements the replicated state machine for [`SharedState`].

use tansyjunction_council::Machine;

use crate::entries::{Entry, Outcome};
use crate::shared_state::SharedState;
use crate::state_changes::Change;

impl Machine for SharedState {
    type Entry = Entry;
    type Outcome = Outcome;
    type Change = Change;

    fn apply(&mut self, index: u64, entry: &Entry) -> Outcome {
        SharedState::apply(self, index, entry)
    }

    fn whole(&self) -> u64 {
        self.index
    }

    fn changes(&self, since: u64, most_bytes: usize) -> Vec<Change> {
        SharedState::changes_since(self, since, most_bytes)
    }

    fn take(&mut self, change: &Change) {
        SharedState::apply_change(self, change);
    }
}
