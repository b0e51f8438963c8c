//! What many observers together say of a server. One observer weighs one, however much it tells; those whose own
//! network seems broken weigh nothing; a zone that accuses by itself is a zone in trouble before the server is.

use std::collections::{BTreeMap, BTreeSet};

use tansyjunction::interface::Micros;

use crate::evidence::{Evidence, Fact, Kind};
use crate::slips::{self, Slip};

/// An accuser of more than this part of what it tells of is taken to be in trouble itself.
const ACCUSES_MOST: f64 = 0.5;
/// Fewer things told of say nothing about their teller.
const ACCUSES_LEAST: usize = 4;

/// What is said of one server. Ages are microseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Opinion {
    /// Observers that it answered, refused or let hang, and the zones that they stand in.
    pub answers: usize,
    pub refuses: usize,
    pub hangs: usize,
    pub accusing_zones: usize,
    pub answering_zones: usize,
    /// When it was last found to refuse or to hang, and when it last answered anybody, by this gateway's clock.
    pub accused_at: Option<Micros>,
    pub answered_at: Option<Micros>,
    /// The age of the newest word that it leads, or that it follows.
    pub leads: Option<Micros>,
    pub follows: Option<Micros>,
    /// The furthest position that anybody heard of; positions only grow.
    pub position: Option<u64>,
    /// Observers whom the list told that it drains.
    pub drains: usize,
    /// The mean of what commands waited there, by those that met it cold, in milliseconds.
    pub waits: Option<u32>,
}

impl Opinion {
    /// Known bad, and since when it was last found so: by two observers at least, from two zones or where none gets
    /// answers; and by more than those whom it answers, or after the last answer that anybody got.
    pub fn bad(&self) -> Option<Micros> {
        let against = self.refuses + self.hangs;
        let since = against > self.answers || self.answered_at < self.accused_at;
        let bad = against >= 2 && since && (self.accusing_zones >= 2 || self.answering_zones == 0);
        self.accused_at.filter(|_| bad)
    }
}

/// Observers that accuse most of what they tell of: their own network is the likelier to be broken.
pub fn doubtful(evidence: &Evidence) -> BTreeSet<String> {
    let mut told: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for (source, _, kept) in evidence.all().filter(|(_, _, kept)| kept.fact.kind() == Kind::Reach) {
        let (against, all) = told.entry(source).or_default();
        *against += usize::from(kept.fact != Fact::Answers);
        *all += 1;
    }
    let doubtful = |(against, all): &(usize, usize)| {
        !slips::is(Slip::DoubtCounts) && *all >= ACCUSES_LEAST && *against as f64 > ACCUSES_MOST * *all as f64
    };
    told.into_iter().filter(|(_, counts)| doubtful(counts)).map(|(source, _)| source.to_string()).collect()
}

/// What is said of each server by all but `own`, whose answers count for themselves, and but those in doubt.
pub fn opinions(now: Micros, evidence: &Evidence, own: &str) -> BTreeMap<String, Opinion> {
    let doubtful = doubtful(evidence);
    let mut found: BTreeMap<String, Opinion> = BTreeMap::new();
    let mut zones: BTreeMap<(String, bool), BTreeSet<u8>> = BTreeMap::new();
    let mut waited: BTreeMap<String, (u32, u32)> = BTreeMap::new();
    for (source, subject, kept) in evidence.all() {
        if source == own || doubtful.contains(source) || kept.fact.kind() == Kind::Fellow {
            continue;
        }
        let opinion = found.entry(subject.into()).or_default();
        let age = now.saturating_sub(kept.at);
        let newest = |known: Option<Micros>| Some(known.map_or(age, |known| known.min(age)));
        match kept.fact {
            Fact::Answers => {
                opinion.answers += 1;
                opinion.answered_at = opinion.answered_at.max(Some(kept.at));
            }
            Fact::Refuses | Fact::Hangs => {
                let count = if kept.fact == Fact::Hangs { &mut opinion.hangs } else { &mut opinion.refuses };
                *count += 1;
                opinion.accused_at = opinion.accused_at.max(Some(kept.at));
            }
            Fact::Leads => opinion.leads = newest(opinion.leads),
            Fact::Follows => opinion.follows = newest(opinion.follows),
            Fact::At(position) => opinion.position = opinion.position.max(Some(position)),
            Fact::Drains => opinion.drains += 1,
            Fact::Waits(waits) => {
                let (sum, count) = waited.entry(subject.into()).or_default();
                (*sum, *count) = (*sum + u32::from(waits), *count + 1);
                opinion.waits = Some(*sum / *count);
            }
            Fact::Suspects | Fact::Leaves => {}
        }
        if kept.fact.kind() == Kind::Reach {
            zones.entry((subject.into(), kept.fact == Fact::Answers)).or_default().insert(kept.zone);
        }
    }
    for ((subject, answering), zones) in zones {
        let Some(opinion) = found.get_mut(&subject) else { continue };
        *(if answering { &mut opinion.answering_zones } else { &mut opinion.accusing_zones }) = zones.len();
    }
    found
}

/// The member of a shard that leads by what others heard, and when the newest word of it was heard. Each observer has
/// one voice, for the member that it last heard to lead, unless somebody has since heard that one to follow, or this
/// observer found it gone since. Guards against one observer that is wrong, or lies: it has one voice.
pub fn leader<'a>(evidence: &Evidence, own: &str, members: &[&'a str]) -> Option<(&'a str, Micros)> {
    let mut last: BTreeMap<&str, (Micros, &'a str)> = BTreeMap::new();
    let mut denied: BTreeMap<&str, Micros> = BTreeMap::new();
    let doubtful = doubtful(evidence);
    let counts = |source: &str| source != own && !doubtful.contains(source);
    for (source, subject, kept) in evidence.all().filter(|(source, _, _)| counts(source)) {
        let Some(member) = members.iter().find(|member| **member == subject) else { continue };
        match kept.fact {
            Fact::Leads => {
                let heard = last.entry(source).or_insert((kept.at, member));
                *heard = (*heard).max((kept.at, member));
            }
            Fact::Follows => {
                let heard = denied.entry(member).or_default();
                *heard = (*heard).max(kept.at);
            }
            _ => {}
        }
    }
    let mut voices: BTreeMap<&str, (usize, Micros)> = BTreeMap::new();
    for (source, (at, member)) in last {
        let reach = evidence.get(source, member, Kind::Reach);
        let gone = reach.is_some_and(|kept| kept.fact != Fact::Answers && kept.at > at);
        if gone || denied.get(member).is_some_and(|denied| *denied > at) {
            continue;
        }
        let (count, newest) = voices.entry(member).or_default();
        (*count, *newest) = (*count + 1, (*newest).max(at));
    }
    let loudest = slips::is(Slip::LoudestLeads);
    let most = voices.into_iter().max_by_key(|(_, (count, at))| (if loudest { 0 } else { *count }, *at));
    most.map(|(member, (_, at))| (member, at))
}
