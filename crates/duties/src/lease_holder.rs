//! Lease holder: a gateway's own record of its renewals and of how long it may act.

use std::collections::BTreeMap;

use tansyjunction::interface::Micros;

use crate::entries::*;
use crate::lease_config::LeaseConfig;
use crate::seeded_faults::{self, SeededFault};
use crate::shared_state::SharedState;

/// Most renewals awaiting their answer; answers to older ones come too late to matter.
const MAX_PENDING_RENEWALS: usize = 32;

/// State that a gateway reports with each renewal; see [`Renewal`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GatewayReport {
    pub taken: u64,
    pub zone: String,
    pub health: u8,
    pub room: u8,
    pub says: BTreeMap<String, String>,
}

/// State of one lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Lease {
    epoch: u64,
    /// It may act before this time; 0 if no renewal of this epoch was accepted.
    until: Micros,
    /// This epoch and earlier ones are given up.
    given_up_epoch: u64,
    progress: u64,
    waits: bool,
    /// Whether its end was reported by [`LeaseHolder::ended`].
    end_reported: bool,
}

/// The end of a lease as seen by its holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseEnd {
    pub duty: String,
    pub epoch: u64,
    pub why: LeaseEndReason,
}

/// Why a lease ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseEndReason {
    /// No renewal was decided in time.
    RanOut,
    /// By the shared state this gateway is not, or no longer, the holder.
    TakenAway,
    /// It stopped voluntarily.
    Stopped,
}

/// All leases of a gateway. Not persisted: a restarted process is a new run and holds nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    own_name: String,
    life: u64,
    terms: LeaseConfig,
    last_number: u64,
    /// When each renewal was requested.
    pending: BTreeMap<u64, Micros>,
    last_requested: Option<Micros>,
    attends_until: Micros,
    leases: BTreeMap<String, Lease>,
    /// Ends not reported yet.
    ended: Vec<LeaseEnd>,
    /// Index of the newest state seen; a member that lost its disk starts from none.
    known_index: u64,
    /// Whether it has left; later answers are ignored.
    left: bool,
}

impl LeaseHolder {
    /// `life` must be larger than that of any earlier process of this name.
    pub fn new(me: &str, life: u64, terms: LeaseConfig) -> Self {
        let (asked, held) = (BTreeMap::new(), BTreeMap::new());
        let (last_asked, ended) = (None, Vec::new());
        let (me, number, attends_until, known) = (me.into(), 0, 0, 0);
        LeaseHolder {
            own_name: me,
            life,
            terms,
            last_number: number,
            pending: asked,
            last_requested: last_asked,
            attends_until,
            leases: held,
            ended,
            known_index: known,
            left: false,
        }
    }

    /// Identifies this run of the process.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// Whether to request a renewal now: it is time, or a newly granted duty needs its first one.
    pub fn due(&self, now: Micros, register: &SharedState) -> bool {
        !self.left
            && (now >= self.next_renewal() || self.has_new_grant(register) && now >= self.earliest_renewal())
    }

    /// When the next renewal is due, unless a duty is granted before.
    pub fn next_renewal(&self) -> Micros {
        self.last_requested.map_or(0, |at| at + self.terms.renew_interval)
    }

    fn earliest_renewal(&self) -> Micros {
        // A newly granted duty is renewed soon, but not in every iteration of the event loop.
        self.last_requested.map_or(0, |at| at + self.terms.renew_interval / 10)
    }

    fn has_new_grant(&self, register: &SharedState) -> bool {
        register.held_by(&self.own_name, self.life).any(|(duty, epoch)| match self.leases.get(duty) {
            None => true,
            Some(held) => epoch > held.given_up_epoch && (held.epoch < epoch || held.until == 0),
        })
    }

    /// Creates the next renewal, to be proposed at once. `now` must not be read later than this call. It names all
    /// duties that the (perhaps outdated) state assigns to this gateway and that it has not given up.
    pub fn create_renewal(&mut self, now: Micros, register: &SharedState, own: GatewayReport) -> Renewal {
        self.check_expiry(now);
        for (duty, epoch) in register.held_by(&self.own_name, self.life) {
            let held = self.leases.entry(duty.into()).or_default();
            if epoch > held.epoch {
                *held = Lease { epoch, given_up_epoch: held.given_up_epoch, ..Lease::default() };
            }
        }
        self.forget_ended(register);
        self.last_number += 1;
        self.pending.insert(self.last_number, now);
        while self.pending.len() > MAX_PENDING_RENEWALS {
            self.pending.pop_first();
        }
        self.last_requested = Some(now);
        let live = self.leases.iter().filter(|(_, held)| held.epoch > held.given_up_epoch);
        let works = live.map(|(duty, held)| Work {
            duty: duty.clone(),
            epoch: held.epoch,
            progress: held.progress,
            waits: held.waits,
        });
        let GatewayReport { taken, zone, health, room, says } = own;
        let (gateway, life, number) = (self.own_name.clone(), self.life, self.last_number);
        Renewal { gateway, life, number, taken, zone, health, room, says, duties: works.collect() }
    }

    /// Drops duties that ended here and that the state no longer assigns to this gateway.
    fn forget_ended(&mut self, register: &SharedState) {
        // A follower's state may be older than the end of a lease, or incomplete. So an ended duty is remembered
        // until the state has moved past it, or an outdated state would restore it.
        let newer = register.index >= self.known_index;
        if register.is_complete() && newer {
            self.known_index = register.index;
            let passed = |duty: &str, stopped| register.duties.get(duty).is_none_or(|d| d.epoch > stopped);
            self.leases
                .retain(|duty, held| held.until > 0 || !passed(duty, held.given_up_epoch.max(held.epoch)));
        }
    }

    /// Applies the outcome of [`Entry::Renewals`]; others are ignored. Returns whether anything changed.
    pub fn on_outcome(&mut self, now: Micros, outcome: &Outcome) -> bool {
        self.check_expiry(now);
        let Outcome::Renewed(all) = outcome else { return false };
        if self.left {
            return false;
        }
        let (me, life) = (self.own_name.clone(), self.life);
        let mut changed = false;
        for renewed in all.iter().filter(|renewed| renewed.gateway == me && renewed.life == life) {
            let Some(asked) = self.pending.remove(&renewed.number) else { continue };
            // The lease starts with the request; counted from the answer it would last too long.
            let from = if seeded_faults::is_active(SeededFault::FromAnswer) { now } else { asked };
            let until = from + self.terms.lease;
            if renewed.attends.is_ok() {
                changed |= until > self.attends_until;
                self.attends_until = self.attends_until.max(until);
            }
            for (duty, epoch, held) in &renewed.duties {
                let Some(mine) = self.leases.get_mut(duty) else { continue };
                let live = *epoch > mine.given_up_epoch || seeded_faults::is_active(SeededFault::Revives);
                if mine.epoch != *epoch || !live {
                    continue;
                }
                changed = true;
                match held {
                    Ok(()) => {
                        mine.until = mine.until.max(until);
                        mine.end_reported = false;
                    }
                    // Late, or rejected because of the attendance: the duty may still be renewed.
                    Err(
                        Refused::NewerRenewal { .. } | Refused::Behind { .. } | Refused::EarlierStays { .. },
                    ) => {}
                    Err(_) if mine.until > 0 => self.end_lease(duty, LeaseEndReason::TakenAway),
                    // Requested by an outdated state: it was never the holder, or not for long.
                    Err(_) => mine.given_up_epoch = mine.given_up_epoch.max(*epoch),
                }
            }
        }
        self.check_expiry(now);
        changed
    }

    fn end_lease(&mut self, duty: &str, why: LeaseEndReason) {
        if let Some(held) = self.leases.get_mut(duty) {
            held.given_up_epoch = held.given_up_epoch.max(held.epoch);
            held.until = 0;
            if !held.end_reported {
                held.end_reported = true;
                self.ended.push(LeaseEnd { duty: duty.into(), epoch: held.epoch, why });
            }
        }
    }

    /// Records expired leases. A late answer to a renewal may restore one as long as no other gateway holds the duty,
    /// which the shared state decides.
    fn check_expiry(&mut self, now: Micros) {
        for (duty, held) in &mut self.leases {
            if held.until > 0 && now >= held.until && !held.end_reported {
                held.end_reported = true;
                self.ended.push(LeaseEnd {
                    duty: duty.clone(),
                    epoch: held.epoch,
                    why: LeaseEndReason::RanOut,
                });
            }
        }
    }

    /// The epoch under which this gateway may act now. Must be checked with a fresh clock reading immediately before
    /// each effect.
    pub fn may_act(&self, now: Micros, duty: &str) -> Option<u64> {
        let held = self.leases.get(duty)?;
        let live = now < held.until
            || (seeded_faults::is_active(SeededFault::ActsUnrenewed) && held.epoch > held.given_up_epoch);
        live.then_some(held.epoch)
    }

    /// The same for an effect that takes `takes` µs, which must end within the lease.
    pub fn may_start(&self, now: Micros, duty: &str, takes: Micros) -> Option<u64> {
        self.may_act(now.saturating_add(takes), duty)
    }

    /// End of the lease, if there is one.
    pub fn until(&self, duty: &str) -> Option<Micros> {
        self.leases.get(duty).map(|held| held.until).filter(|until| *until > 0)
    }

    /// Whether this gateway attends. If not, it acts by the strictest of all documents that may be in force.
    pub fn attends(&self, now: Micros) -> bool {
        now < self.attends_until
    }

    /// End of the attendance.
    pub fn attends_until(&self) -> Micros {
        self.attends_until
    }

    /// Duties for which it may act now, with epoch and end of the lease.
    pub fn duties(&self, now: Micros) -> impl Iterator<Item = (&str, u64, Micros)> {
        let live = self.leases.iter().filter(move |(_, held)| now < held.until);
        live.map(|(duty, held)| (duty.as_str(), held.epoch, held.until))
    }

    /// When the next lease or the attendance expires.
    pub fn next_end(&self, now: Micros) -> Option<Micros> {
        let ends = self.leases.values().map(|held| held.until).chain([self.attends_until]);
        ends.filter(|until| *until > now).min()
    }

    /// Records progress in a duty. `waits`: more work remains.
    pub fn record_progress(&mut self, duty: &str, waits: bool) {
        if let Some(held) = self.leases.get_mut(duty) {
            (held.progress, held.waits) = (held.progress + 1, waits);
        }
    }

    /// Records whether work waits for a duty.
    pub fn record_waiting(&mut self, duty: &str, waits: bool) {
        if let Some(held) = self.leases.get_mut(duty) {
            held.waits = waits;
        }
    }

    /// Gives up the current epoch for good and returns it.
    pub fn stop(&mut self, now: Micros, duty: &str) -> Option<u64> {
        self.check_expiry(now);
        let held = self.leases.get(duty).filter(|held| held.epoch > held.given_up_epoch)?;
        let epoch = held.epoch;
        self.end_lease(duty, LeaseEndReason::Stopped);
        Some(epoch)
    }

    /// Stops and returns the entry that hands the duty to `to`. All effects must have ended or been cancelled.
    pub fn hand_over(&mut self, now: Micros, duty: &str, to: &str) -> Option<Entry> {
        let acts =
            self.leases.get(duty).filter(|held| held.epoch > held.given_up_epoch).map(|held| held.epoch);
        let epoch =
            if seeded_faults::is_active(SeededFault::HandsOnActing) { acts } else { self.stop(now, duty) };
        epoch.map(|epoch| Entry::HandOn { duty: duty.into(), epoch, to: to.into() })
    }

    /// Stops and returns the entry that releases the duty.
    pub fn release(&mut self, now: Micros, duty: &str, why: GivenBack) -> Option<Entry> {
        self.stop(now, duty).map(|epoch| Entry::Release { duty: duty.into(), epoch, why })
    }

    /// Stops all duties and ends the attendance; returns the entry to propose. From now on this gateway acts by the
    /// strictest of all documents that may be in force, since others may assume that it left before it learns of it.
    pub fn leave(&mut self, now: Micros) -> Entry {
        if !seeded_faults::is_active(SeededFault::LeavesActing) {
            let duties: Vec<String> = self.leases.keys().cloned().collect();
            for duty in duties {
                self.stop(now, &duty);
            }
            (self.left, self.attends_until) = (true, 0);
        }
        Entry::Leave { gateway: self.own_name.clone(), life: self.life }
    }

    /// Leases that ended since the last call, for the log and for [`LeaseHolder::release_after`].
    pub fn take_ended(&mut self, now: Micros) -> Vec<LeaseEnd> {
        self.check_expiry(now);
        std::mem::take(&mut self.ended)
    }

    /// The entry that releases a revoked duty at once, so that the next holder need not wait for the lease to expire.
    pub fn release_after(ended: &LeaseEnd) -> Option<Entry> {
        (ended.why == LeaseEndReason::TakenAway).then(|| Entry::Release {
            duty: ended.duty.clone(),
            epoch: ended.epoch,
            why: GivenBack::Revoked,
        })
    }
}
