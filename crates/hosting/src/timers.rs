//! Timers in a priority queue, the earliest first.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use tansyjunction::interface::Micros;

/// A timer that is often postponed or cleared. It keeps a single queue entry, which is renewed if it expires early.
#[derive(Default)]
pub struct Timer {
    due: Option<Micros>,
    /// Time of the queue entry that is in effect.
    queued_at: Option<Micros>,
}

impl Timer {
    /// Sets the due time.
    pub fn set<K: Ord + Copy>(&mut self, times: &mut TimerQueue<K>, what: K, due: Micros) {
        self.due = Some(due);
        if self.queued_at.is_none_or(|armed| due < armed) {
            self.queued_at = Some(due);
            times.add(due, what);
        }
    }

    /// Moves a due time later than `most` forward to `most`.
    pub fn bring_forward<K: Ord + Copy>(&mut self, times: &mut TimerQueue<K>, what: K, most: Micros) {
        if self.due.is_some_and(|due| due > most) {
            self.set(times, what, most);
        }
    }

    /// Clears the timer.
    pub fn clear(&mut self) {
        self.due = None;
    }

    /// Handles the expiry of the queue entry for `at`: returns whether the timer is due, and renews the entry if not.
    pub fn expire<K: Ord + Copy>(&mut self, times: &mut TimerQueue<K>, what: K, at: Micros) -> bool {
        if self.queued_at != Some(at) {
            return false;
        }
        self.queued_at = None;
        if let Some(due) = self.due.filter(|due| *due > at) {
            self.set(times, what, due);
        }
        self.queued_at.is_none() && self.due.is_some()
    }
}

/// Queue of due times. Entries cannot be removed: the owner knows whether one is still in effect.
pub struct TimerQueue<K> {
    heap: BinaryHeap<Reverse<(Micros, K)>>,
}

impl<K: Ord + Copy> Default for TimerQueue<K> {
    fn default() -> Self {
        TimerQueue { heap: BinaryHeap::new() }
    }
}

impl<K: Ord + Copy> TimerQueue<K> {
    /// Adds an entry.
    pub fn add(&mut self, at: Micros, what: K) {
        self.heap.push(Reverse((at, what)));
    }

    /// The earliest due time.
    pub fn next_due(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes the earliest entry if it is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<(Micros, K)> {
        if self.next_due()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(entry)| entry)
    }
}
