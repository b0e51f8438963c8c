//! What is agreed on.

use std::fmt::Debug;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// A state that follows from entries. It is deterministic: the same entries in the same order give the same state, on
/// every machine and in every build that takes part.
pub trait Machine: Clone + Default + Serialize + DeserializeOwned {
    type Entry: Clone + Serialize + DeserializeOwned;
    type Outcome: Clone + Serialize + DeserializeOwned + Debug;
    /// A part of the state as it is now, for followers.
    type Change: Clone + Serialize + DeserializeOwned;

    /// Takes an entry; `index` is its place in the log and larger than that of any before.
    fn apply(&mut self, index: u64, entry: &Self::Entry) -> Self::Outcome;

    /// Index up to which this state is whole: of the last entry applied, or as the last changes taken said.
    fn whole(&self) -> u64;

    /// What changed after `since` (an index; 0: everything), in the order to be taken, in about `most_bytes`. Whoever
    /// was whole up to `since` and takes them is whole up to what [`Machine::whole`] then says there. Empty: nothing
    /// newer.
    fn changes(&self, since: u64, most_bytes: usize) -> Vec<Self::Change>;

    /// Takes what [`Machine::changes`] gave elsewhere.
    fn take(&mut self, change: &Self::Change);
}
