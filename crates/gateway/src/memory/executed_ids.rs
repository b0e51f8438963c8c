//! Ids of commands with an effect that may have run, so that none runs once more under the same id.

use std::collections::HashSet;

use crate::memory::name_hash::NameHash;

/// Share of the process's memory that the ids may use.
const MEMORY_DIVISOR: usize = 32;
/// Memory of one id in a hash set, with the free places of the set.
const ID_BYTES: usize = 16;

/// The latest ids, in two sets: when the newer one is full, it takes the place of the older one.
pub struct ExecutedIds {
    max_per_set: usize,
    newer: HashSet<NameHash>,
    older: HashSet<NameHash>,
}

impl ExecutedIds {
    /// An empty memory within its share of `memory` bytes.
    pub fn new(memory: usize) -> Self {
        let max_per_set = (memory / MEMORY_DIVISOR / ID_BYTES / 2).max(1);
        ExecutedIds { max_per_set, newer: HashSet::new(), older: HashSet::new() }
    }

    /// Remembers an id, and forgets the oldest ones if there are too many.
    pub fn insert(&mut self, id: NameHash) {
        if self.newer.len() >= self.max_per_set {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(id);
    }

    /// Forgets an id whose command did not run.
    pub fn remove(&mut self, id: NameHash) {
        self.newer.remove(&id);
        self.older.remove(&id);
    }

    /// Whether a command with this id may have run.
    pub fn contains(&self, id: NameHash) -> bool {
        self.newer.contains(&id) || self.older.contains(&id)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_latest_ids_are_remembered_and_their_number_is_bounded() {
        let id = |number: usize| NameHash::of(&number.to_string());
        let max_per_set = 100;
        let mut ids = ExecutedIds::new(2 * max_per_set * ID_BYTES * MEMORY_DIVISOR);
        for number in 0..10 * max_per_set {
            ids.insert(id(number));
            assert!(ids.newer.len() + ids.older.len() <= 2 * max_per_set);
            let latest = number.saturating_sub(max_per_set - 1)..=number;
            assert!(latest.into_iter().all(|number| ids.contains(id(number))), "after {number}");
        }
        assert!(!ids.contains(id(0)));
        let last = id(10 * max_per_set - 1);
        ids.remove(last);
        assert!(!ids.contains(last));
    }
}
