//! Replaces probes requested by the router with the results of the probing duty's holder. Makes no decisions.

use std::collections::{BTreeMap, BTreeSet};

use tansyjunction::interface::*;
use tansyjunction_duties::{ProbeContext, ProbeDelegation, ProbeResult, ReportedResult};
use tansyjunction_fellows::evidence::Fact;
use tansyjunction_hosting::NameNumbers;

use super::Gateway;
use crate::council::GroupProbes;

/// Probes of this gateway.
pub struct SharedProbing {
    delegation: ProbeDelegation,
    /// Numbers of probes sent and spared, by group.
    counts: BTreeMap<usize, (u64, u64)>,
    /// Servers with a probe in flight, with their groups.
    in_flight: BTreeSet<(usize, usize)>,
}

impl SharedProbing {
    /// Creates the state; `word_most` is the largest age of the holder's results.
    pub fn new(word_most: Micros) -> Self {
        SharedProbing {
            delegation: ProbeDelegation::new(word_most),
            counts: BTreeMap::new(),
            in_flight: BTreeSet::new(),
        }
    }

    /// Counts by group name.
    pub fn done(&self, groups: &NameNumbers) -> BTreeMap<String, GroupProbes> {
        let told = self.counts.iter().map(|(group, (probes, spared))| {
            let waits = self.in_flight.iter().any(|(of, _)| of == group);
            (
                groups.name(*group).to_string(),
                GroupProbes { probes: *probes, spared: *spared, in_flight: waits },
            )
        });
        told.collect()
    }
}

fn to_result((fact, age): (Fact, Micros)) -> Option<ReportedResult> {
    let found = match fact {
        Fact::Answers => ProbeResult::Answers,
        Fact::Refuses => ProbeResult::Refuses,
        Fact::Hangs => ProbeResult::Hangs,
        _ => return None,
    };
    Some(ReportedResult { result: found, age })
}

impl Gateway {
    /// The result that replaces a probe; `None` if it must be sent.
    pub(super) fn probe_replacement(&mut self, now: Micros, server: usize) -> Option<DispatchEnd> {
        let group = self.servers.shard(server).filter(|_| self.probing.is_some())?;
        let scout = self.probing_holder(self.groups.name(group));
        let (membership, scouting) = (self.membership.as_ref()?, self.probing.as_mut()?);
        let (me, name) = (self.deployment.name.as_str(), self.servers_named.name(server));
        let said = |by: &str| membership.last_observation(now, by, name).and_then(to_result);
        let own = said(me);
        let bad = own.is_some_and(|own| own.result != ProbeResult::Answers);
        let known = ProbeContext {
            own_name: me,
            holder: scout.as_deref(),
            own_result: own,
            reported: scout.as_deref().and_then(said),
            // Searches all evidence, so only evaluated if needed.
            holder_doubted: bad && scout.as_deref().is_some_and(|scout| membership.accuses_most(scout)),
        };
        let counts = scouting.counts.entry(group).or_default();
        match scouting.delegation.replacement(now, server, &known) {
            Some(found) => {
                counts.1 += 1;
                Some(if found == ProbeResult::Hangs {
                    DispatchEnd::TimedOut
                } else {
                    DispatchEnd::Unconnected
                })
            }
            None => {
                scouting.in_flight.insert((group, server));
                None
            }
        }
    }

    /// Records the end of a probe.
    pub(super) fn on_shared_probe_ended(&mut self, server: usize) {
        let Some(scouting) = &mut self.probing else { return };
        let Some(out) = scouting.in_flight.iter().find(|(_, of)| *of == server).copied() else { return };
        scouting.in_flight.remove(&out);
        scouting.counts.entry(out.0).or_default().0 += 1;
    }

    /// Whether this gateway holds the probing duty of a server's group.
    pub(super) fn holds_probing_duty(&self, server: usize) -> bool {
        let group = self.servers.shard(server).filter(|_| self.probing.is_some());
        let scout = group.and_then(|group| self.probing_holder(self.groups.name(group)));
        scout.is_some_and(|scout| scout == self.deployment.name)
    }
}
