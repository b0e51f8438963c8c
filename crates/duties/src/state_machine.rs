//! Implements the replicated state machine for [`SharedState`].

use tansyjunction_council::StateMachine;

use crate::entries::{Entry, Outcome};
use crate::shared_state::SharedState;
use crate::state_changes::Change;

impl StateMachine for SharedState {
    type Entry = Entry;
    type Outcome = Outcome;
    type Change = Change;

    fn apply(&mut self, index: u64, entry: &Entry) -> Outcome {
        SharedState::apply(self, index, entry)
    }

    fn complete_index(&self) -> u64 {
        self.index
    }

    fn changes(&self, since: u64, most_bytes: usize) -> Vec<Change> {
        SharedState::changes_since(self, since, most_bytes)
    }

    fn apply_change(&mut self, change: &Change) {
        SharedState::apply_change(self, change);
    }
}
