//! Where probes that the router asks for meet the scout's word, and are counted. Nothing is decided here.

use std::collections::{BTreeMap, BTreeSet};

use tansyjunction::interface::*;
use tansyjunction_duties::{ProbeContext, ProbeDelegation, ProbeResult, ReportedResult};
use tansyjunction_fellows::evidence::Fact;
use tansyjunction_hosting::NameNumbers;

use super::Gateway;
use crate::council::Scouted;

/// What this gateway does of the probes.
pub struct Scouting {
    scout: ProbeDelegation,
    /// By group, how many were done here, and spared.
    done: BTreeMap<usize, (u64, u64)>,
    /// Servers to which a probe is out, with their groups.
    out: BTreeSet<(usize, usize)>,
}

impl Scouting {
    pub fn new(word_most: Micros) -> Self {
        Scouting { scout: ProbeDelegation::new(word_most), done: BTreeMap::new(), out: BTreeSet::new() }
    }

    /// By groups' names.
    pub fn done(&self, groups: &NameNumbers) -> BTreeMap<String, Scouted> {
        let told = self.done.iter().map(|(group, (probes, spared))| {
            let waits = self.out.iter().any(|(of, _)| of == group);
            (groups.name(*group).to_string(), Scouted { probes: *probes, spared: *spared, waits })
        });
        told.collect()
    }
}

fn heard((fact, age): (Fact, Micros)) -> Option<ReportedResult> {
    let found = match fact {
        Fact::Answers => ProbeResult::Answers,
        Fact::Refuses => ProbeResult::Refuses,
        Fact::Hangs => ProbeResult::Hangs,
        _ => return None,
    };
    Some(ReportedResult { result: found, age })
}

impl Gateway {
    /// How a probe ended that the scout's word stands in for. None: it is to be sent.
    pub(super) fn instead_of_probe(&mut self, now: Micros, server: usize) -> Option<DispatchEnd> {
        let group = self.servers.shard(server).filter(|_| self.scouting.is_some())?;
        let scout = self.scout_of(self.groups.name(group));
        let (company, scouting) = (self.company.as_ref()?, self.scouting.as_mut()?);
        let (me, name) = (self.deployment.name.as_str(), self.servers_named.name(server));
        let said = |by: &str| company.reach(now, by, name).and_then(heard);
        let own = said(me);
        let bad = own.is_some_and(|own| own.result != ProbeResult::Answers);
        let known = ProbeContext {
            own_name: me,
            holder: scout.as_deref(),
            own_result: own,
            reported: scout.as_deref().and_then(said),
            // Looks through all evidence, so not where it is of no use.
            holder_doubted: bad && scout.as_deref().is_some_and(|scout| company.doubts(scout)),
        };
        let counts = scouting.done.entry(group).or_default();
        match scouting.scout.replacement(now, server, &known) {
            Some(found) => {
                counts.1 += 1;
                Some(if found == ProbeResult::Hangs {
                    DispatchEnd::TimedOut
                } else {
                    DispatchEnd::Unconnected
                })
            }
            None => {
                scouting.out.insert((group, server));
                None
            }
        }
    }

    /// A probe that was sent has ended.
    pub(super) fn scout_probed(&mut self, server: usize) {
        let Some(scouting) = &mut self.scouting else { return };
        let Some(out) = scouting.out.iter().find(|(_, of)| *of == server).copied() else { return };
        scouting.out.remove(&out);
        scouting.done.entry(out.0).or_default().0 += 1;
    }

    /// Whether this gateway is the scout of a server's group.
    pub(super) fn scouts(&self, server: usize) -> bool {
        let group = self.servers.shard(server).filter(|_| self.scouting.is_some());
        let scout = group.and_then(|group| self.scout_of(self.groups.name(group)));
        scout.is_some_and(|scout| scout == self.deployment.name)
    }
}
