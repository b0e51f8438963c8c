//! What each gateway has seen of the servers, with its age where it was seen. Items merge in any order, any number of
//! times, to the same end: of one source about one thing the latest counts, and of one told twice the older age.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use tansyjunction::interface::Micros;

use crate::slips::{self, Slip};

/// What can be seen of a server. Positions and times are microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Fact {
    /// It answered, refused connections, or took commands and answered none.
    Answers,
    Refuses,
    Hangs,
    /// It said of itself that it is the primary, or that it is none.
    Leads,
    Follows,
    /// Up to where it has applied the log, by its own word.
    At(u64),
    /// The list calls it draining or gone.
    Drains,
    /// It has just started, answers, and lets commands wait for so many milliseconds.
    Waits(u16),
    /// Of a fellow: it is suspected; of itself: it leaves of its own will.
    Suspects,
    Leaves,
}

/// Facts that stand in each other's place: of one source about one server, one of each kind is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    Reach,
    Role,
    Position,
    Drain,
    Waiting,
    Fellow,
}

impl Fact {
    pub fn kind(self) -> Kind {
        match self {
            Fact::Answers | Fact::Refuses | Fact::Hangs => Kind::Reach,
            Fact::Leads | Fact::Follows => Kind::Role,
            Fact::At(_) => Kind::Position,
            Fact::Drains => Kind::Drain,
            Fact::Waits(_) => Kind::Waiting,
            Fact::Suspects | Fact::Leaves => Kind::Fellow,
        }
    }
}

/// One thing that one gateway saw, as it travels.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Item {
    pub source: String,
    pub zone: u8,
    pub life: u64,
    pub seq: u32,
    pub subject: String,
    pub fact: Fact,
    /// Milliseconds since it was seen, where it is told; rounded up.
    pub age: u32,
}

/// One thing that one gateway saw, as it is kept.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Kept {
    pub zone: u8,
    pub life: u64,
    pub seq: u32,
    pub fact: Fact,
    /// When it was seen, by this gateway's clock.
    pub at: Micros,
    /// How often it was passed on from here.
    pub told: u32,
}

/// Source, subject and kind.
type Key = (String, String, Kind);

/// All that is known of what others saw, and what this gateway saw itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Evidence {
    items: BTreeMap<Key, Kept>,
    /// By source: how many items there are.
    counts: BTreeMap<String, usize>,
    /// What is to be passed on: how often it was, the newest first, and which.
    due: BTreeSet<(u32, Reverse<Micros>, Key)>,
    keep_for: Micros,
    most: usize,
}

impl Evidence {
    /// Items are forgotten `keep_for` after they were seen; a source has `most` at a time.
    pub fn new(keep_for: Micros, most: usize) -> Self {
        Evidence { items: BTreeMap::new(), counts: BTreeMap::new(), due: BTreeSet::new(), keep_for, most }
    }

    /// Takes in an item that was on its way for `late`; true: it told something new.
    pub fn merge(&mut self, now: Micros, item: &Item, late: Micros) -> bool {
        let age = Micros::from(item.age) * 1_000 + late;
        if age > self.keep_for {
            return false;
        }
        let at = now.saturating_sub(age);
        let key = (item.source.clone(), item.subject.clone(), item.fact.kind());
        let new = Kept { zone: item.zone, life: item.life, seq: item.seq, fact: item.fact, at, told: 0 };
        if let Some(known) = self.items.get_mut(&key) {
            // Of one source's item told twice the older age is kept, and of two that contradict each other under one
            // number always the same one: the order of arrival must not matter.
            let (old, latest) = ((known.life, known.seq, known.fact), (new.life, new.seq, new.fact));
            let was = (known.told, Reverse(known.at), key.clone());
            let told_anew = match latest.cmp(&old) {
                _ if slips::is(Slip::FirstWins) => return false,
                std::cmp::Ordering::Less => return false,
                std::cmp::Ordering::Equal => {
                    let younger = slips::is(Slip::YoungerOfTwo);
                    known.at = if younger { known.at.max(at) } else { known.at.min(at) };
                    false
                }
                std::cmp::Ordering::Greater => {
                    *known = new;
                    true
                }
            };
            let is = (known.told, Reverse(known.at), key);
            if self.due.remove(&was) || told_anew {
                self.due.insert(is);
            }
            return told_anew;
        }
        // Guards against a source that tells without end: it pushes out its own oldest, never another's.
        let count = self.counts.entry(item.source.clone()).or_default();
        if *count >= self.most && !slips::is(Slip::NoBound) {
            let own = self.of(&item.source).map(|(key, kept)| (kept.at, key.clone()));
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

    fn of(&self, source: &str) -> impl Iterator<Item = (&Key, &Kept)> {
        let (source, first) = (source.to_string(), (source.to_string(), String::new(), Kind::Reach));
        self.items.range(first..).take_while(move |(key, _)| key.0 == source)
    }

    fn remove(&mut self, key: &Key) {
        let Some(kept) = self.items.remove(key) else { return };
        self.due.remove(&(kept.told, Reverse(kept.at), key.clone()));
        if let Some(count) = self.counts.get_mut(&key.0) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&key.0);
            }
        }
    }

    /// Drops what is too old.
    pub fn fade(&mut self, now: Micros) {
        let old = |kept: &Kept| kept.at + self.keep_for < now;
        let gone: Vec<Key> =
            self.items.iter().filter(|(_, kept)| old(kept)).map(|(key, _)| key.clone()).collect();
        gone.iter().for_each(|key| self.remove(key));
    }

    pub fn len(&self) -> usize {
        self.items.len()
    }

    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// What a source said last of a subject, of this kind.
    pub fn get(&self, source: &str, subject: &str, kind: Kind) -> Option<&Kept> {
        self.items.get(&(source.to_string(), subject.to_string(), kind))
    }

    /// Source, subject and what was seen, in a fixed order.
    pub fn all(&self) -> impl Iterator<Item = (&str, &str, &Kept)> {
        self.items.iter().map(|((source, subject, _), kept)| (source.as_str(), subject.as_str(), kept))
    }

    /// What a source said last of a subject, as it travels from now on.
    pub fn item(&self, now: Micros, source: &str, subject: &str, kind: Kind) -> Option<Item> {
        let kept = self.get(source, subject, kind)?;
        let since = if slips::is(Slip::AgesBeginAnew) { now } else { kept.at };
        let age = u32::try_from(now.saturating_sub(since).div_ceil(1_000)).unwrap_or(u32::MAX);
        let (zone, life, seq, fact) = (kept.zone, kept.life, kept.seq, kept.fact);
        Some(Item { source: source.into(), zone, life, seq, subject: subject.into(), fact, age })
    }

    /// What is to be passed on next, within `room` bytes: what was told least often, and of that the newest. Each item
    /// is told at most `times` by this gateway.
    pub fn next(&mut self, now: Micros, room: usize, times: u32) -> Vec<Item> {
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
                kept.told = count + 1;
                if kept.told < times {
                    self.due.insert((kept.told, at, key));
                }
            }
        }
        items
    }
}
