//! Lease grantor of a voting member: proposes expiries, revocations and grants. The shared state decides on them.

use std::collections::BTreeMap;

use tansyjunction::interface::Micros;

use crate::conductor;
use crate::election::{ElectionEvidence, NoCandidate, best_candidate, elect};
use crate::entries::*;
use crate::lease_config::LeaseConfig;
use crate::seeded_faults::{self, SeededFault};
use crate::shared_state::SharedState;

/// Number of full comparisons with the shared state per `retry_interval`.
const SWEEPS_PER_RETRY: u64 = 10;

/// Observations of a lease by this member's clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ObservedLease {
    epoch: u64,
    renewal: u64,
    /// When the renewal was applied here, or this member started to watch the lease.
    renewed_at: Micros,
    /// Whether a renewal was applied since then.
    renewal_seen: bool,
    progress: u64,
    /// When the holder last made progress or had no work.
    progressed_at: Micros,
    /// Since when the holder reports itself unhealthy.
    unhealthy_since: Option<Micros>,
}

/// Lease timers of a member. Not persisted: after a restart all leases are counted from the start, which is later than
/// their actual renewal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGrantor {
    terms: LeaseConfig,
    duties: BTreeMap<String, ObservedLease>,
    attending: BTreeMap<String, ObservedLease>,
    /// When each involuntary loss was seen, by duty and log index.
    losses: BTreeMap<(String, u64), Micros>,
    /// Recent proposals, not to be repeated too soon.
    proposed: Vec<(Entry, Micros)>,
    /// Why each vacant duty has no holder.
    no_candidate: BTreeMap<String, NoCandidate>,
    /// Vacant duties: epoch, and since when by this member's clock.
    vacant: BTreeMap<String, (u64, Micros)>,
    /// When the whole state was last compared.
    last_sweep: Option<Micros>,
}

impl ObservedLease {
    fn new(now: Micros, epoch: u64, renewal: u64, progress: u64) -> Self {
        ObservedLease {
            epoch,
            renewal,
            renewed_at: now,
            renewal_seen: false,
            progress,
            progressed_at: now,
            unhealthy_since: None,
        }
    }
}

impl LeaseGrantor {
    /// Creates the timers; all leases count from when they are first seen.
    pub fn new(terms: LeaseConfig) -> Self {
        let (duties, attending, lost, proposed) = Default::default();
        let (nobody, vacant, swept) = Default::default();
        LeaseGrantor {
            terms,
            duties,
            attending,
            losses: lost,
            proposed,
            no_candidate: nobody,
            vacant,
            last_sweep: swept,
        }
    }

    /// Records an applied entry. `now` must be read after it was applied; `register` is the state after it.
    pub fn on_applied(&mut self, now: Micros, register: &SharedState, entry: &Entry) {
        match entry {
            Entry::Renewals(renewals) => {
                for renewal in renewals {
                    self.observe_attendance(now, register, &renewal.gateway, true);
                    renewal.duties.iter().for_each(|work| self.observe_duty(now, register, &work.duty));
                }
            }
            Entry::Open { duty, .. }
            | Entry::Close { duty, .. }
            | Entry::Grant { duty, .. }
            | Entry::HandOn { duty, .. }
            | Entry::Release { duty, .. }
            | Entry::Revoke { duty, .. }
            | Entry::Expire { duty, .. } => self.observe_duty(now, register, duty),
            Entry::Absent { gateway, .. } => self.observe_attendance(now, register, gateway, true),
            Entry::Leave { gateway, .. } => {
                self.observe_attendance(now, register, gateway, true);
                let held: Vec<String> = self.duties.keys().cloned().collect();
                held.iter().for_each(|duty| self.observe_duty(now, register, duty));
            }
            Entry::Put { .. } => {}
        }
    }

    /// Restarts all timers after the process or the consensus was paused, so that live holders can renew.
    pub fn restart_timers(&mut self, now: Micros) {
        for seen in self.duties.values_mut().chain(self.attending.values_mut()) {
            (seen.renewed_at, seen.progressed_at, seen.unhealthy_since, seen.renewal_seen) =
                (now, now, None, false);
        }
        self.vacant.values_mut().for_each(|(_, since)| *since = now);
        self.proposed.clear();
    }

    fn observe_attendance(&mut self, now: Micros, register: &SharedState, gateway: &str, heard: bool) {
        let Some(attends) = register.attending.get(gateway) else {
            self.attending.remove(gateway);
            return;
        };
        let (life, renewal) = (attends.life, attends.renewal);
        match self.attending.get_mut(gateway) {
            Some(seen) if (seen.epoch, seen.renewal) == (life, renewal) => {}
            Some(seen) => {
                *seen = ObservedLease { renewal_seen: true, ..ObservedLease::new(now, life, renewal, 0) }
            }
            None => {
                let seen = ObservedLease { renewal_seen: heard, ..ObservedLease::new(now, life, renewal, 0) };
                self.attending.insert(gateway.into(), seen);
            }
        }
    }

    fn observe_duty(&mut self, now: Micros, register: &SharedState, name: &str) {
        let Some(duty) = register.duties.get(name) else {
            self.duties.remove(name);
            self.vacant.remove(name);
            self.losses.retain(|(of, _), _| of != name);
            return;
        };
        for lost in &duty.lost {
            self.losses.entry((name.into(), lost.index)).or_insert(now);
        }
        if duty.holder.is_none() {
            self.duties.remove(name);
            let (epoch, since) = self.vacant.entry(name.into()).or_insert((duty.epoch, now));
            if *epoch != duty.epoch {
                (*epoch, *since) = (duty.epoch, now);
            }
            return;
        }
        self.vacant.remove(name);
        let new = ObservedLease::new(now, duty.epoch, duty.renewal, duty.progress);
        let seen = self.duties.entry(name.into()).or_insert_with(|| new.clone());
        if seen.epoch != duty.epoch {
            *seen = new;
            return;
        }
        if seen.renewal != duty.renewal {
            (seen.renewal, seen.renewal_seen) = (duty.renewal, true);
            if !seeded_faults::is_active(SeededFault::FromFirst) {
                seen.renewed_at = now;
            }
        }
        if seen.progress != duty.progress || !duty.waits {
            (seen.progress, seen.progressed_at) = (duty.progress, now);
        }
    }

    /// Entries to propose now. To be called in each iteration of the event loop, and when [`LeaseGrantor::next_due`] is
    /// due. Proposals are not repeated within `retry_interval`.
    pub fn due_proposals(
        &mut self,
        now: Micros,
        register: &SharedState,
        evidence: &ElectionEvidence,
    ) -> Vec<Entry> {
        // Changes that came by a snapshot are counted from now, which is later than they happened.
        if self.last_sweep.is_none_or(|at| now >= at + self.terms.retry_interval / SWEEPS_PER_RETRY) {
            self.compare_all(now, register);
        }
        let flap_for = self.terms.flap_window;
        self.losses.retain(|_, at| now < *at + flap_for);
        let mut wanted = Vec::new();
        let waits = if evidence.is_leader { 0 } else { self.terms.standby_delay };
        self.propose_expiries(now, waits, &mut wanted);
        let evidence = self.combined_evidence(now, register, evidence);
        self.propose_revocations(now, waits, register, &evidence, &mut wanted);
        self.propose_grants(now, waits, register, &evidence, &mut wanted);
        wanted.extend(conductor::duty_upkeep(register).into_iter().filter(|_| evidence.is_leader));
        let again = self.terms.retry_interval;
        self.proposed.retain(|(_, at)| now < *at + again);
        wanted.retain(|entry| self.proposed.iter().all(|(proposed, _)| proposed != entry));
        self.proposed.extend(wanted.iter().map(|entry| (entry.clone(), now)));
        wanted
    }

    fn compare_all(&mut self, now: Micros, register: &SharedState) {
        self.last_sweep = Some(now);
        let duties = register.duties.keys().chain(self.duties.keys()).chain(self.vacant.keys());
        let duties: Vec<String> = duties.cloned().collect();
        duties.iter().for_each(|name| self.observe_duty(now, register, name));
        let attending: Vec<String> =
            register.attending.keys().chain(self.attending.keys()).cloned().collect();
        attending.iter().for_each(|name| self.observe_attendance(now, register, name, false));
    }

    fn expires_after(&self) -> Micros {
        if seeded_faults::is_active(SeededFault::NoDrift) {
            self.terms.lease
        } else {
            self.terms.expires_after()
        }
    }

    fn propose_expiries(&self, now: Micros, waits: Micros, wanted: &mut Vec<Entry>) {
        let after = self.expires_after() + waits;
        let is_out = |seen: &ObservedLease| now >= seen.renewed_at + after;
        for (duty, seen) in self.duties.iter().filter(|(_, seen)| is_out(seen)) {
            wanted.push(Entry::Expire { duty: duty.clone(), epoch: seen.epoch, renewal: seen.renewal });
        }
        for (gateway, seen) in self.attending.iter().filter(|(_, seen)| is_out(seen)) {
            wanted.push(Entry::Absent { gateway: gateway.clone(), renewal: seen.renewal });
        }
    }

    /// Proposes to revoke duties of holders that make no progress or report themselves unhealthy.
    fn propose_revocations(
        &mut self,
        now: Micros,
        waits: Micros,
        register: &SharedState,
        evidence: &ElectionEvidence,
        wanted: &mut Vec<Entry>,
    ) {
        for (name, seen) in &mut self.duties {
            let Some(duty) = register.duties.get(name).filter(|duty| duty.standing == Standing::Held) else {
                continue;
            };
            let holder = duty.holder_name().and_then(|holder| register.attending.get(holder));
            let ill = holder.is_some_and(|attends| {
                attends.room == 0 || attends.health > crate::election::MAX_HEALTHY_SCORE
            });
            seen.unhealthy_since = if ill { seen.unhealthy_since.or(Some(now)) } else { None };
            let since_ill =
                seen.unhealthy_since.is_some_and(|since| now >= since + self.terms.unhealthy_timeout + waits);
            let stalled = duty.waits
                && now >= seen.progressed_at + self.terms.stall_timeout + waits
                && !seeded_faults::is_active(SeededFault::Patient);
            let why = match (stalled, since_ill) {
                (true, _) => Revoked::Stalled,
                (false, true) => Revoked::Unwell,
                (false, false) => continue,
            };
            // There is no better candidate.
            if best_candidate(register, evidence, name, duty.holder_name()).is_err() {
                continue;
            }
            let (duty, epoch, progress) = (name.clone(), duty.epoch, duty.progress);
            wanted.push(Entry::Revoke { duty, epoch, progress, why });
        }
    }

    fn propose_grants(
        &mut self,
        now: Micros,
        waits: Micros,
        register: &SharedState,
        evidence: &ElectionEvidence,
        wanted: &mut Vec<Entry>,
    ) {
        self.no_candidate.clear();
        for (name, (epoch, _)) in self.vacant.iter().filter(|(_, (_, since))| now >= since + waits) {
            if conductor::has_no_open_plan(register, name) {
                continue;
            }
            match elect(register, evidence, name) {
                Ok(to) => wanted.push(Entry::Grant { duty: name.clone(), after_epoch: *epoch, to }),
                Err(nobody) => drop(self.no_candidate.insert(name.clone(), nobody)),
            }
        }
    }

    /// Combines the given evidence with this member's own observations.
    fn combined_evidence(
        &self,
        now: Micros,
        register: &SharedState,
        told: &ElectionEvidence,
    ) -> ElectionEvidence {
        let mut evidence = told.clone();
        evidence.suspected.extend(self.late_gateways(now).map(Into::into));
        for (name, duty) in &register.duties {
            for lost in &duty.lost {
                if self.losses.contains_key(&(name.clone(), lost.index)) {
                    let of = evidence.recent_losses.entry(name.clone()).or_default();
                    *of.entry(lost.gateway.clone()).or_default() += 1;
                }
            }
        }
        evidence
    }

    /// Attending gateways that are late with renewals, or did not renew since this member started to watch.
    pub fn late_gateways(&self, now: Micros) -> impl Iterator<Item = &str> {
        let patience = 2 * self.terms.renew_interval;
        let late = move |seen: &ObservedLease| !seen.renewal_seen || now > seen.renewed_at + patience;
        self.attending.iter().filter(move |(_, seen)| late(seen)).map(|(name, _)| name.as_str())
    }

    /// Why vacant duties have no holder, as of the last [`LeaseGrantor::due_proposals`].
    pub fn without_candidate(&self) -> &BTreeMap<String, NoCandidate> {
        &self.no_candidate
    }

    /// When something may be due next; within `retry_interval` while a duty is vacant or a proposal is open.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let after = self.expires_after();
        let ends = self.duties.values().chain(self.attending.values()).map(|seen| seen.renewed_at + after);
        let stalls = self.duties.values().map(|seen| {
            let ill = seen.unhealthy_since.map_or(Micros::MAX, |since| since + self.terms.unhealthy_timeout);
            ill.min(seen.progressed_at + self.terms.stall_timeout)
        });
        let soon =
            (!self.vacant.is_empty() || !self.proposed.is_empty()).then_some(now + self.terms.retry_interval);
        ends.chain(stalls).chain(soon).map(|at| at.max(now + 1_000)).min()
    }
}
