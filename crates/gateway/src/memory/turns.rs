//! Round-robin queue.

use std::collections::{BTreeSet, VecDeque};

/// Connections that wait for their turn, each at most once, so that one that is added repeatedly gets no extra turns.
#[derive(Default)]
pub struct RoundRobin {
    queue: VecDeque<u64>,
    waiting: BTreeSet<u64>,
}

impl RoundRobin {
    /// Adds a connection unless it waits already.
    pub fn push_back(&mut self, key: u64) {
        if self.waiting.insert(key) {
            self.queue.push_back(key);
        }
    }

    /// Takes the next connection.
    pub fn pop_front(&mut self) -> Option<u64> {
        let key = self.queue.pop_front()?;
        self.waiting.remove(&key);
        Some(key)
    }

    /// Number of waiting connections.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}

impl Extend<u64> for RoundRobin {
    fn extend<T: IntoIterator<Item = u64>>(&mut self, keys: T) {
        keys.into_iter().for_each(|key| self.push_back(key));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn whoever_is_named_often_has_one_turn() {
        let mut turns = RoundRobin::default();
        turns.extend([3, 1, 3, 3, 2, 1]);
        turns.push_back(3);
        assert_eq!((turns.len(), turns.is_empty()), (3, false));
        assert_eq!([turns.pop_front(), turns.pop_front()], [Some(3), Some(1)]);
        // After its turn it may be added again.
        turns.push_back(3);
        assert_eq!([turns.pop_front(), turns.pop_front(), turns.pop_front()], [Some(2), Some(3), None]);
        assert!(turns.is_empty());
    }
}
