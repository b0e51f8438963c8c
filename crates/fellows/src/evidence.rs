//! What each gateway observed of the servers, with its age. Items merge to the same result in any order and number:
//! of one source about one subject the latest counts, and of an item received twice the older age.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use tansyjunction::interface::Micros;

use crate::seeded_faults::{self, SeededFault};

/// An observation of a server. Positions and times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Fact {
    /// It answered, refused connections, or accepted commands without answering.
    Answers,
    Refuses,
    Hangs,
    /// It reported that it is the primary, or is not.
    Leads,
    Follows,
    /// Position up to which it has applied the log, as reported by itself.
    At(u64),
    /// The server list says that it drains or is gone.
    Drains,
    /// It has just started, answers, and commands wait there for this many ms.
    Waits(u16),
    /// About a gateway: it is suspected; about the source itself: it leaves voluntarily.
    Suspects,
    Leaves,
}

/// Kinds of facts. Of each source and server, one fact of each kind is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FactKind {
    Reach,
    Role,
    Position,
    Drain,
    Waiting,
    Fellow,
}

impl Fact {
    /// The kind of this fact.
    pub fn kind(self) -> FactKind {
        match self {
            Fact::Answers | Fact::Refuses | Fact::Hangs => FactKind::Reach,
            Fact::Leads | Fact::Follows => FactKind::Role,
            Fact::At(_) => FactKind::Position,
            Fact::Drains => FactKind::Drain,
            Fact::Waits(_) => FactKind::Waiting,
            Fact::Suspects | Fact::Leaves => FactKind::Fellow,
        }
    }
}

/// An observation in transit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Item {
    pub source: String,
    pub zone: u8,
    pub life: u64,
    pub seq: u32,
    pub subject: String,
    pub fact: Fact,
    /// Milliseconds since the observation, rounded up.
    pub age: u32,
}

/// A stored observation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredItem {
    pub zone: u8,
    pub life: u64,
    pub seq: u32,
    pub fact: Fact,
    /// Time of the observation on this gateway's clock.
    pub observed_at: Micros,
    /// How often this gateway has passed it on.
    pub times_sent: u32,
}

/// Source, subject and kind.
type ItemKey = (String, String, FactKind);

/// All observations of this gateway and of others.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EvidenceStore {
    items: BTreeMap<ItemKey, StoredItem>,
    /// Number of items by source.
    counts: BTreeMap<String, usize>,
    /// Items to pass on: times passed on, newest first, and key.
    due: BTreeSet<(u32, Reverse<Micros>, ItemKey)>,
    keep_for: Micros,
    max_per_source: usize,
}

impl EvidenceStore {
    /// Items expire `keep_for` after their observation; each source may have `most`.
    pub fn new(keep_for: Micros, most: usize) -> Self {
        EvidenceStore {
            items: BTreeMap::new(),
            counts: BTreeMap::new(),
            due: BTreeSet::new(),
            keep_for,
            max_per_source: most,
        }
    }

    /// Merges an item that was in transit for `late`; returns whether it was new.
    pub fn merge(&mut self, now: Micros, item: &Item, late: Micros) -> bool {
        let age = Micros::from(item.age) * 1_000 + late;
        if age > self.keep_for {
            return false;
        }
        let at = now.saturating_sub(age);
        let key = (item.source.clone(), item.subject.clone(), item.fact.kind());
        let new = StoredItem {
            zone: item.zone,
            life: item.life,
            seq: item.seq,
            fact: item.fact,
            observed_at: at,
            times_sent: 0,
        };
        if let Some(known) = self.items.get_mut(&key) {
            // Of an item received twice the older age is kept, and of two different ones with the same number always
            // the same: the order of arrival must not matter.
            let (old, latest) = ((known.life, known.seq, known.fact), (new.life, new.seq, new.fact));
            let was = (known.times_sent, Reverse(known.observed_at), key.clone());
            let told_anew = match latest.cmp(&old) {
                _ if seeded_faults::is_active(SeededFault::FirstWins) => return false,
                std::cmp::Ordering::Less => return false,
                std::cmp::Ordering::Equal => {
                    let younger = seeded_faults::is_active(SeededFault::YoungerOfTwo);
                    known.observed_at =
                        if younger { known.observed_at.max(at) } else { known.observed_at.min(at) };
                    false
                }
                std::cmp::Ordering::Greater => {
                    *known = new;
                    true
                }
            };
            let is = (known.times_sent, Reverse(known.observed_at), key);
            if self.due.remove(&was) || told_anew {
                self.due.insert(is);
            }
            return told_anew;
        }
        // A source with too many items displaces its own oldest, never another's.
        let count = self.counts.entry(item.source.clone()).or_default();
        if *count >= self.max_per_source && !seeded_faults::is_active(SeededFault::NoBound) {
            let own = self.items_of(&item.source).map(|(key, kept)| (kept.observed_at, key.clone()));
            let Some((oldest, place)) = own.min() else { return false };
            if oldest >= at {
                return false;
            }
            self.remove(&place);
        }
        *self.counts.entry(item.source.clone()).or_default() += 1;
        self.due.insert((0, Reverse(at), key.clone()));
        self.items.insert(key, new);
        true
    }

    fn items_of(&self, source: &str) -> impl Iterator<Item = (&ItemKey, &StoredItem)> {
        let (source, first) = (source.to_string(), (source.to_string(), String::new(), FactKind::Reach));
        self.items.range(first..).take_while(move |(key, _)| key.0 == source)
    }

    fn remove(&mut self, key: &ItemKey) {
        let Some(kept) = self.items.remove(key) else { return };
        self.due.remove(&(kept.times_sent, Reverse(kept.observed_at), key.clone()));
        if let Some(count) = self.counts.get_mut(&key.0) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&key.0);
            }
        }
    }

    /// Removes expired items.
    pub fn expire(&mut self, now: Micros) {
        let old = |kept: &StoredItem| kept.observed_at + self.keep_for < now;
        let gone: Vec<ItemKey> =
            self.items.iter().filter(|(_, kept)| old(kept)).map(|(key, _)| key.clone()).collect();
        gone.iter().for_each(|key| self.remove(key));
    }

    /// Number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The last fact of this kind from a source about a subject.
    pub fn get(&self, source: &str, subject: &str, kind: FactKind) -> Option<&StoredItem> {
        self.items.get(&(source.to_string(), subject.to_string(), kind))
    }

    /// All items with source and subject, in a fixed order.
    pub fn all(&self) -> impl Iterator<Item = (&str, &str, &StoredItem)> {
        self.items.iter().map(|((source, subject, _), kept)| (source.as_str(), subject.as_str(), kept))
    }

    /// The same as an item to be sent now.
    pub fn item(&self, now: Micros, source: &str, subject: &str, kind: FactKind) -> Option<Item> {
        let kept = self.get(source, subject, kind)?;
        let since = if seeded_faults::is_active(SeededFault::AgesBeginAnew) { now } else { kept.observed_at };
        let age = u32::try_from(now.saturating_sub(since).div_ceil(1_000)).unwrap_or(u32::MAX);
        let (zone, life, seq, fact) = (kept.zone, kept.life, kept.seq, kept.fact);
        Some(Item { source: source.into(), zone, life, seq, subject: subject.into(), fact, age })
    }

    /// Takes the items to pass on next, within `room` bytes: those passed on least often, and of these the newest.
    /// Each item is passed on at most `times` by this gateway.
    pub fn next_items(&mut self, now: Micros, room: usize, times: u32) -> Vec<Item> {
        let (mut items, mut used, mut told) = (Vec::new(), 2_usize, Vec::new());
        for due in &self.due {
            let (_, _, (source, subject, kind)) = due;
            let Some(item) = self.item(now, source, subject, *kind) else { continue };
            let size = postcard::to_stdvec(&item).map_or(usize::MAX, |bytes| bytes.len());
            if used.saturating_add(size) > room {
                break;
            }
            used += size;
            items.push(item);
            told.push(due.clone());
        }
        for due in told {
            self.due.remove(&due);
            let (count, at, key) = due;
            if let Some(kept) = self.items.get_mut(&key) {
                kept.times_sent = count + 1;
                if kept.times_sent < times {
                    self.due.insert((kept.times_sent, at, key));
                }
            }
        }
        items
    }
}
