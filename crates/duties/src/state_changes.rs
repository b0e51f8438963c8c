//! Incremental changes of the shared state, sent to followers.

use serde::{Deserialize, Serialize};

use crate::entries::{Attendance, Document, Duty};
use crate::shared_state::{ObjectKind, Removed, SharedState};

/// A change of the shared state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change(Part);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Part {
    /// Resets the follower's state, which is complete again from index `upto` on.
    Anew {
        upto: u64,
        floor: [u64; 3],
        forgotten: u64,
        newest: u64,
    },
    Document(String, Document),
    Attendance(String, Attendance),
    Duty(String, Duty),
    Gone(ObjectKind, String, Removed),
    /// The state is complete up to `index`; the last change of a document was at `newest`.
    Upto {
        index: u64,
        newest: u64,
    },
}

impl SharedState {
    /// The changes after index `since` (0: everything), oldest first, in at most about `most_bytes`. Changes of one
    /// index are never split, so the receiver is complete up to the [`SharedState::index`] that it then has.
    pub fn changes_since(&self, since: u64, most_bytes: usize) -> Vec<Change> {
        if since > self.index {
            return Vec::new(); // The follower is ahead of this state.
        }
        let anew = since == 0 || since < self.forgotten;
        let since = if anew { 0 } else { since };
        let mut parts: Vec<(u64, usize, Part)> = Vec::new();
        for (name, document) in self.documents.iter().filter(|(_, document)| document.index > since) {
            let size = name.len() + document.body.len() + 80;
            parts.push((document.index, size, Part::Document(name.clone(), document.clone())));
        }
        for (name, attends) in self.attending.iter().filter(|(_, attends)| attends.index > since) {
            let says: usize = attends.says.iter().map(|(key, value)| key.len() + value.len() + 4).sum();
            let size = name.len() + attends.zone.len() + says + 50;
            parts.push((attends.index, size, Part::Attendance(name.clone(), attends.clone())));
        }
        for (name, duty) in self.duties.iter().filter(|(_, duty)| duty.index > since) {
            let lost: usize = duty.lost.iter().map(|lost| lost.gateway.len() + 12).sum();
            let size = name.len() + lost + 200;
            parts.push((duty.index, size, Part::Duty(name.clone(), duty.clone())));
        }
        for ((kind, name), gone) in self.gone.iter().filter(|(_, gone)| gone.index > since) {
            parts.push((gone.index, name.len() + 30, Part::Gone(*kind, name.clone(), gone.clone())));
        }
        parts.sort_by_key(|(index, ..)| *index);
        let mut changes = Vec::new();
        if anew {
            let (upto, floor, forgotten, newest) = (self.index, self.floor, self.forgotten, self.newest);
            changes.push(Change(Part::Anew { upto, floor, forgotten, newest }));
        }
        let (mut size, mut last, mut cut) = (60 * usize::from(anew), 0, None);
        for (index, part_size, part) in parts {
            // Splits only between indices.
            if size + part_size > most_bytes && index != last && last != 0 {
                cut = Some(last);
                break;
            }
            (size, last) = (size + part_size, index);
            changes.push(Change(part));
        }
        let index = cut.unwrap_or(self.index);
        changes.push(Change(Part::Upto { index, newest: self.newest.min(index) }));
        changes
    }

    /// Applies a change sent by another member. Changes must be applied in order.
    pub fn apply_change(&mut self, change: &Change) {
        match change.0.clone() {
            Part::Anew { upto, floor, forgotten, newest: _ } => {
                *self = SharedState { whole_from: upto, floor, forgotten, ..SharedState::default() };
            }
            Part::Document(name, document) => {
                self.gone.remove(&(ObjectKind::Document, name.clone()));
                self.documents.insert(name, document);
            }
            Part::Attendance(name, attends) => {
                self.gone.remove(&(ObjectKind::Attendance, name.clone()));
                self.attending.insert(name, attends);
            }
            Part::Duty(name, duty) => {
                self.gone.remove(&(ObjectKind::Duty, name.clone()));
                self.duties.insert(name, duty);
            }
            Part::Gone(kind, name, gone) => {
                match kind {
                    ObjectKind::Document => drop(self.documents.remove(&name)),
                    ObjectKind::Attendance => drop(self.attending.remove(&name)),
                    ObjectKind::Duty => drop(self.duties.remove(&name)),
                }
                self.record_removal(kind, &name, gone);
            }
            Part::Upto { index, newest } => {
                self.index = index;
                self.newest = newest.max(self.newest);
            }
        }
    }
}
