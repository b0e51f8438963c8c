//! In-memory log, as read by the crate `raft`. It holds nothing that the disk does not hold.

use std::cell::Cell;

use raft::prelude::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};

use crate::store::{StateSnapshot, StoredState};

/// The log entries after the last snapshot, and the snapshot.
pub struct RaftLog {
    hard_state: HardState,
    /// Snapshot that the entries follow; sent to members that are further behind.
    pub snapshot: StateSnapshot,
    /// Index and term of the last entry removed by compaction.
    compacted: (u64, u64),
    pub entries: Vec<Entry>,
    pub bytes: usize,
    /// Whether a member waits for a snapshot whose membership includes it.
    pub snapshot_wanted: Cell<bool>,
}

fn entry_size(entry: &Entry) -> usize {
    entry.data.len() + entry.context.len() + 32
}

/// The membership of a snapshot.
pub fn conf_state(whole: &StateSnapshot) -> ConfState {
    ConfState::from((whole.voters.clone(), whole.learners.clone()))
}

impl RaftLog {
    /// Creates the log from what the disk holds.
    pub fn new(kept: StoredState) -> RaftLog {
        let mut hard = HardState::default();
        (hard.term, hard.vote, hard.commit) = (kept.hard.term, kept.hard.vote, kept.hard.commit);
        let entries: Vec<Entry> = kept.log.into_iter().map(|record| record.entry()).collect();
        let bytes = entries.iter().map(entry_size).sum();
        RaftLog {
            hard_state: hard,
            snapshot: kept.whole,
            compacted: kept.dropped,
            entries,
            bytes,
            snapshot_wanted: Cell::new(false),
        }
    }

    /// Index of the first entry.
    pub fn first_entry(&self) -> u64 {
        self.compacted.0 + 1
    }

    /// Index of the last entry.
    pub fn last_entry(&self) -> u64 {
        self.compacted.0 + self.entries.len() as u64
    }

    /// Appends entries, replacing those from the first one's index on.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let keep = (first.index - self.first_entry()) as usize;
        self.bytes -= self.entries.drain(keep..).map(|entry| entry_size(&entry)).sum::<usize>();
        self.bytes += entries.iter().map(entry_size).sum::<usize>();
        self.entries.extend_from_slice(entries);
    }

    /// Replaces the log by a snapshot.
    pub fn restore(&mut self, whole: StateSnapshot) {
        self.compacted = (whole.index, whole.term);
        self.snapshot = whole;
        self.entries.clear();
        self.bytes = 0;
    }

    /// Removes entries up to `upto`, which the snapshot covers; returns index and term of the last one removed.
    pub fn compact_to(&mut self, upto: u64) -> (u64, u64) {
        if upto > self.compacted.0 {
            let count = (upto - self.compacted.0) as usize;
            self.compacted = (upto, self.entries[count - 1].term);
            self.bytes -= self.entries.drain(..count).map(|entry| entry_size(&entry)).sum::<usize>();
        }
        self.compacted
    }

    /// Term of an entry in the log, or of the last one removed.
    pub fn term_of(&self, index: u64) -> Option<u64> {
        if index == self.compacted.0 {
            return Some(self.compacted.1);
        }
        let place = index.checked_sub(self.first_entry())?;
        Some(self.entries.get(place as usize)?.term)
    }
}

impl Storage for RaftLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard_state.clone(), conf_state(&self.snapshot)))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low < self.first_entry() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last_entry() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let (low, high) = ((low - self.first_entry()) as usize, (high - self.first_entry()) as usize);
        let most = most.into().unwrap_or(u64::MAX);
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            bytes += entry_size(entry) as u64;
            bytes <= most || bytes == entry_size(entry) as u64
        };
        Ok(self.entries[low..high].iter().take_while(fits).cloned().collect())
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index < self.compacted.0 {
            return Err(Error::Store(StorageError::Compacted));
        }
        self.term_of(index).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.first_entry())
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last_entry())
    }

    /// A snapshot is only useful to a receiver that is a member in it; otherwise a newer one is made first.
    fn snapshot(&self, least: u64, to: u64) -> raft::Result<Snapshot> {
        let seated = self.snapshot.voters.contains(&to) || self.snapshot.learners.contains(&to);
        if !seated || self.snapshot.index < least {
            self.snapshot_wanted.set(true);
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        let mut snapshot = Snapshot::default();
        let about = snapshot.mut_metadata();
        (about.index, about.term) = (self.snapshot.index, self.snapshot.term);
        about.set_conf_state(conf_state(&self.snapshot));
        Ok(snapshot)
    }
}
