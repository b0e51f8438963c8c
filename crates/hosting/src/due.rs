//! Due times, the earliest first.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use tansyjunction::interface::Micros;

/// A due time that is often put off or dropped: one entry stands for it, which is renewed when it comes up too early.
#[derive(Default)]
pub struct Reminder {
    due: Option<Micros>,
    /// The earliest entry that still holds.
    armed: Option<Micros>,
}

impl Reminder {
    pub fn set<K: Ord + Copy>(&mut self, times: &mut DueTimes<K>, what: K, due: Micros) {
        self.due = Some(due);
        if self.armed.is_none_or(|armed| due < armed) {
            self.armed = Some(due);
            times.add(due, what);
        }
    }

    /// What is due by then stays as it is; what would be due later is due then.
    pub fn hasten<K: Ord + Copy>(&mut self, times: &mut DueTimes<K>, what: K, most: Micros) {
        if self.due.is_some_and(|due| due > most) {
            self.set(times, what, most);
        }
    }

    /// Nothing is due any more.
    pub fn clear(&mut self) {
        self.due = None;
    }

    /// The entry for `at` came up: true where it is due, or else it is renewed if it still holds.
    pub fn is_due<K: Ord + Copy>(&mut self, times: &mut DueTimes<K>, what: K, at: Micros) -> bool {
        if self.armed != Some(at) {
            return false;
        }
        self.armed = None;
        if let Some(due) = self.due.filter(|due| *due > at) {
            self.set(times, what, due);
        }
        self.armed.is_none() && self.due.is_some()
    }
}

/// What falls due when. An entry can't be taken back: its owner tells whether it still holds.
pub struct DueTimes<K> {
    heap: BinaryHeap<Reverse<(Micros, K)>>,
}

impl<K: Ord + Copy> Default for DueTimes<K> {
    fn default() -> Self {
        DueTimes { heap: BinaryHeap::new() }
    }
}

impl<K: Ord + Copy> DueTimes<K> {
    pub fn add(&mut self, at: Micros, what: K) {
        self.heap.push(Reverse((at, what)));
    }

    pub fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes the earliest entry that is due.
    pub fn take(&mut self, now: Micros) -> Option<(Micros, K)> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(entry)| entry)
    }
}
