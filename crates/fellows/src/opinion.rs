//! Summary of many observers' evidence about a server. Each observer counts once, however much it sends; observers
//! whose own network seems broken do not count; a zone that accuses alone is more likely to have a problem than the
//! server.

use std::collections::{BTreeMap, BTreeSet};

use tansyjunction::interface::Micros;

use crate::evidence::{EvidenceStore, Fact, FactKind};
use crate::seeded_faults::{self, SeededFault};

/// An observer that accuses more than this share of its subjects probably has a problem itself.
const MAX_ACCUSED_SHARE: f64 = 0.5;
/// With fewer subjects, an observer cannot be judged.
const MIN_SUBJECTS: usize = 4;

/// Summary of one server. Ages are in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerSummary {
    /// Numbers of observers that it answered, refused or left without an answer, and their zones.
    pub answers: usize,
    pub refuses: usize,
    pub hangs: usize,
    pub accusing_zones: usize,
    pub answering_zones: usize,
    /// When it was last found refusing or hanging, and when it last answered anyone, on this gateway's clock.
    pub accused_at: Option<Micros>,
    pub answered_at: Option<Micros>,
    /// Age of the newest report that it is the primary, or that it follows.
    pub leads: Option<Micros>,
    pub follows: Option<Micros>,
    /// The largest reported position; positions only increase.
    pub position: Option<u64>,
    /// Observers whose server list says that it drains.
    pub drains: usize,
    /// Mean wait in ms seen by observers that met it cold.
    pub waits: Option<u32>,
}

impl ServerSummary {
    /// Whether it is bad, and since when: by at least two observers, from two zones or with none that gets answers;
    /// and by more observers than get answers, or after the last answer to anyone.
    pub fn bad_since(&self) -> Option<Micros> {
        let against = self.refuses + self.hangs;
        let since = against > self.answers || self.answered_at < self.accused_at;
        let bad = against >= 2 && since && (self.accusing_zones >= 2 || self.answering_zones == 0);
        self.accused_at.filter(|_| bad)
    }
}

/// Observers that accuse most of their subjects: their own network is probably at fault.
pub fn unreliable_observers(evidence: &EvidenceStore) -> BTreeSet<String> {
    let mut told: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for (source, _, kept) in evidence.all().filter(|(_, _, kept)| kept.fact.kind() == FactKind::Reach) {
        let (against, all) = told.entry(source).or_default();
        *against += usize::from(kept.fact != Fact::Answers);
        *all += 1;
    }
    let is_unreliable = |(against, all): &(usize, usize)| {
        !seeded_faults::is_active(SeededFault::DoubtCounts)
            && *all >= MIN_SUBJECTS
            && *against as f64 > MAX_ACCUSED_SHARE * *all as f64
    };
    told.into_iter()
        .filter(|(_, counts)| is_unreliable(counts))
        .map(|(source, _)| source.to_string())
        .collect()
}

/// Summaries of all servers, without `own` evidence, which counts separately, and without unreliable observers.
pub fn summarize(now: Micros, evidence: &EvidenceStore, own: &str) -> BTreeMap<String, ServerSummary> {
    let unreliable = unreliable_observers(evidence);
    let mut found: BTreeMap<String, ServerSummary> = BTreeMap::new();
    let mut zones: BTreeMap<(String, bool), BTreeSet<u8>> = BTreeMap::new();
    let mut waited: BTreeMap<String, (u32, u32)> = BTreeMap::new();
    for (source, subject, kept) in evidence.all() {
        if source == own || unreliable.contains(source) || kept.fact.kind() == FactKind::Fellow {
            continue;
        }
        let opinion = found.entry(subject.into()).or_default();
        let age = now.saturating_sub(kept.observed_at);
        let newest = |known: Option<Micros>| Some(known.map_or(age, |known| known.min(age)));
        match kept.fact {
            Fact::Answers => {
                opinion.answers += 1;
                opinion.answered_at = opinion.answered_at.max(Some(kept.observed_at));
            }
            Fact::Refuses | Fact::Hangs => {
                let count = if kept.fact == Fact::Hangs { &mut opinion.hangs } else { &mut opinion.refuses };
                *count += 1;
                opinion.accused_at = opinion.accused_at.max(Some(kept.observed_at));
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
        if kept.fact.kind() == FactKind::Reach {
            zones.entry((subject.into(), kept.fact == Fact::Answers)).or_default().insert(kept.zone);
        }
    }
    for ((subject, answering), zones) in zones {
        let Some(opinion) = found.get_mut(&subject) else { continue };
        *(if answering { &mut opinion.answering_zones } else { &mut opinion.accusing_zones }) = zones.len();
    }
    found
}

/// The primary of a shard by the evidence of others, and when it was last seen as such. Each observer has one vote,
/// for the member that it last saw as primary, unless someone has seen it follow since, or this observer has found it
/// gone.
pub fn agreed_primary<'a>(
    evidence: &EvidenceStore,
    own: &str,
    members: &[&'a str],
) -> Option<(&'a str, Micros)> {
    let mut last: BTreeMap<&str, (Micros, &'a str)> = BTreeMap::new();
    let mut denied: BTreeMap<&str, Micros> = BTreeMap::new();
    let unreliable = unreliable_observers(evidence);
    let counts = |source: &str| source != own && !unreliable.contains(source);
    for (source, subject, kept) in evidence.all().filter(|(source, _, _)| counts(source)) {
        let Some(member) = members.iter().find(|member| **member == subject) else { continue };
        match kept.fact {
            Fact::Leads => {
                let heard = last.entry(source).or_insert((kept.observed_at, member));
                *heard = (*heard).max((kept.observed_at, member));
            }
            Fact::Follows => {
                let heard = denied.entry(member).or_default();
                *heard = (*heard).max(kept.observed_at);
            }
            _ => {}
        }
    }
    let mut voices: BTreeMap<&str, (usize, Micros)> = BTreeMap::new();
    for (source, (at, member)) in last {
        let reach = evidence.get(source, member, FactKind::Reach);
        let gone = reach.is_some_and(|kept| kept.fact != Fact::Answers && kept.observed_at > at);
        if gone || denied.get(member).is_some_and(|denied| *denied > at) {
            continue;
        }
        let (count, newest) = voices.entry(member).or_default();
        (*count, *newest) = (*count + 1, (*newest).max(at));
    }
    let loudest = seeded_faults::is_active(SeededFault::LoudestLeads);
    let most = voices.into_iter().max_by_key(|(_, (count, at))| (if loudest { 0 } else { *count }, *at));
    most.map(|(member, (_, at))| (member, at))
}
