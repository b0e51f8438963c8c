//! Interface of the replicated state machine.

use std::fmt::Debug;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// State that follows from entries. Must be deterministic: the same entries in the same order give the same state on
/// every machine and in every participating build.
pub trait StateMachine: Clone + Default + Serialize + DeserializeOwned {
    type Entry: Clone + Serialize + DeserializeOwned;
    type Outcome: Clone + Serialize + DeserializeOwned + Debug;
    /// A part of the current state, for followers.
    type Change: Clone + Serialize + DeserializeOwned;

    /// Applies an entry at log index `index`, which is larger than all before.
    fn apply(&mut self, index: u64, entry: &Self::Entry) -> Self::Outcome;

    /// Index up to which this state is complete: of the last entry applied, or as the last changes said.
    fn complete_index(&self) -> u64;

    /// Changes after index `since` (0: everything) in the order to apply them, in about `most_bytes`. A follower that
    /// was complete up to `since` and applies them is complete up to what [`StateMachine::complete_index`] then returns.
    /// Empty: none. newer.
    fn changes(&self, since: u64, most_bytes: usize) -> Vec<Self::Change>;

    /// Applies a change from [`StateMachine::changes`] of another member.
    fn apply_change(&mut self, change: &Self::Change);
}
