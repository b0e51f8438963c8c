//! Changes of primary conducted by this gateway: executes the actions of [`next_action`].

use tansyjunction::interface::Micros;
use tansyjunction_duties::*;
use tracing::{info, warn};

use super::effect;
use super::fault::SwitchError;
use super::member::{ConsensusThread, ProposalPurpose, in_mono};
use crate::run::clock::{boottime, monotonic};

/// Interval between attempts to send a switch to the store.
const SWITCH_RETRY_INTERVAL: Micros = 200_000;
/// No switch is started in the last 1/10 of a lease.
const LEASE_RESERVE_DIVISOR: Micros = 10;

/// A change conducted by this gateway.
#[derive(Default)]
pub struct ConductedChange {
    epoch: u64,
    /// Version of the document, and since when.
    version: u64,
    since: Micros,
    /// Whether a step is proposed and not decided yet.
    pub proposed: bool,
    switch_result: Option<(String, SwitchResult)>,
    switch_pending: bool,
    /// Earliest time of the next attempt.
    retry_at: Micros,
    /// When the step times out.
    timeout_at: Option<Micros>,
}

impl ConductedChange {
    /// When it needs the next check.
    pub fn next_check(&self) -> Option<Micros> {
        let again = (!self.switch_pending && self.retry_at > 0).then_some(self.retry_at);
        [again, self.timeout_at].into_iter().flatten().min()
    }
}

/// The end of a switch.
pub struct SwitchEnded {
    switch: Switch,
    took: Micros,
    end: Result<(), SwitchError>,
}

impl ConsensusThread {
    /// Whether a switch of this duty is in progress.
    pub(super) fn switch_in_progress(&self, duty: &str) -> bool {
        shard_of(duty)
            .and_then(|shard| self.conducted_changes.get(&shard))
            .is_some_and(|work| work.switch_pending)
    }

    /// Continues each change that this gateway may conduct.
    pub(super) fn conduct_changes(&mut self) {
        if self.leaves() {
            return;
        }
        let now = boottime();
        let held: Vec<(u32, u64)> =
            self.holder.duties(now).filter_map(|(duty, epoch, _)| Some((shard_of(duty)?, epoch))).collect();
        self.conducted_changes
            .retain(|shard, work| work.switch_pending || held.iter().any(|(held, _)| held == shard));
        for (shard, epoch) in held {
            self.conduct_one(shard, epoch);
        }
    }

    fn conduct_one(&mut self, shard: u32, epoch: u64) {
        let (now, duty) = (boottime(), conductor_duty_of(shard));
        let version = Plan::read(self.register(), shard).map_or(0, |(_, document)| document.version);
        let to = Plan::read(self.register(), shard).map_or(String::new(), |(plan, _)| plan.to);
        let facts = self.facts();
        let servers = facts.planned.get(&shard).and_then(|planned| planned.servers.as_ref());
        // Without a server list no target counts as lost.
        let target_lost = servers.is_some_and(|all| all.get(&to).is_none_or(|server| server.leaving));
        let switch_for = self.settings.step_within;
        let work = self.conducted_changes.entry(shard).or_default();
        if work.epoch != epoch {
            // A switch in progress is of an older epoch; its answer is ignored here.
            *work = ConductedChange { epoch, since: now, ..ConductedChange::default() };
        }
        if work.version != version {
            (work.version, work.since) = (version, now);
        }
        work.timeout_at = Some(work.since + switch_for).filter(|at| *at > now);
        if work.proposed {
            return;
        }
        let seen = ConductorView {
            step_for: now - work.since,
            step_timeout: switch_for,
            target_lost,
            switch_result: work.switch_result.clone(),
            switch_pending: work.switch_pending,
        };
        match next_action(self.consensus.state(), shard, &self.own_name, epoch, &seen) {
            ConductorAction::Wait(waits) => self.holder.record_waiting(&duty, waits == WaitReason::Store),
            ConductorAction::Propose(entry) => {
                work.proposed = true;
                self.holder.record_waiting(&duty, true);
                self.propose(entry, ProposalPurpose::Step(shard));
            }
            ConductorAction::SendSwitch(switch) => {
                self.holder.record_waiting(&duty, true);
                self.send_switch(switch);
            }
            ConductorAction::Release(why) => {
                let entry = self.holder.release(now, &duty, why);
                self.release_duty(&duty, epoch, entry, &format!("{why:?}").to_lowercase());
            }
            ConductorAction::Close(entry) => {
                self.holder.stop(now, &duty);
                self.release_duty(&duty, epoch, Some(entry), "over");
            }
            // Its document cannot be decoded: another gateway may run a newer program.
            ConductorAction::Nothing => {
                let entry = self.holder.release(now, &duty, GivenBack::Unable);
                self.release_duty(&duty, epoch, entry, "unable");
            }
        }
    }

    fn release_duty(&mut self, duty: &str, epoch: u64, entry: Option<Entry>, why: &str) {
        if let Some(entry) = entry {
            info!(target: "council", what = "released", mono = monotonic(), duty, epoch, why, "releasing a duty");
            self.propose(entry, ProposalPurpose::Parting);
        }
    }

    /// Handles the decision on a step.
    pub(super) fn on_step_decided(&mut self, shard: u32, _index: u64, outcome: &Outcome) {
        if let Some(work) = self.conducted_changes.get_mut(&shard) {
            work.proposed = false;
        }
        let duty = conductor_duty_of(shard);
        match outcome {
            Outcome::Done { .. } => self.holder.record_progress(&duty, true),
            // The document has another version or holder: the next check continues from that.
            Outcome::Overtaken { .. } | Outcome::Fenced { .. } => {}
            other => {
                warn!(target: "council", what = "refused", mono = monotonic(), duty, "a step of the change was rejected: {other:?}")
            }
        }
    }

    /// Sends a switch to the store if the lease lasts long enough.
    fn send_switch(&mut self, switch: Switch) {
        let (now, duty, within) = (boottime(), conductor_duty_of(switch.shard), self.settings.effect_within);
        let Some(work) = self.conducted_changes.get_mut(&switch.shard) else { return };
        if now < work.retry_at {
            return;
        }
        work.retry_at = now + SWITCH_RETRY_INTERVAL;
        let Some(template) = self.settings.switch_statement.clone() else {
            return self.switched_by_operator(&switch);
        };
        let facts = self.facts();
        let servers = facts.planned.get(&switch.shard).and_then(|planned| planned.servers.as_ref());
        let server = servers.and_then(|servers| servers.get(&switch.to));
        // The rest of the lease must cover opening a connection. The statement itself may outlast it, since the server
        // rejects it once it has seen a later epoch.
        let may = self.holder.may_start(now, &duty, self.settings.lease / LEASE_RESERVE_DIVISOR)
            == Some(switch.epoch);
        let Some(until) = self.holder.until(&duty).filter(|_| may) else { return };
        let Some(address) = server.map(|server| server.address) else {
            let end = Err(SwitchError::NoAddress(switch.to.clone()));
            return self.on_switch_ended(SwitchEnded { switch, took: 0, end });
        };
        let (statement, conducted) = (effect::statement(&template, &switch), self.switch_results.clone());
        let (told, lease_end) = (switch.clone(), in_mono(now, until));
        let tells = move || {
            let starts = |mono| {
                let (epoch, to, until) = (told.epoch, &told.to, lease_end);
                info!(target: "council", what = "effect-start", mono, duty, epoch, to, until, "sending the switch to the new primary");
            };
            let end = effect::send_switch(address, &statement, until, now + within, starts);
            let _ = conducted.send(SwitchEnded { switch: told, took: boottime() - now, end });
        };
        match std::thread::Builder::new().name("switch".into()).spawn(tells) {
            Ok(_) => {
                if let Some(work) = self.conducted_changes.get_mut(&switch.shard) {
                    work.switch_pending = true;
                }
            }
            Err(error) => {
                let end = Err(SwitchError::NotReached(error.to_string()));
                self.on_switch_ended(SwitchEnded { switch, took: 0, end });
            }
        }
    }

    /// Without a configured statement an operator switches the store; the new primary shows that it is done.
    fn switched_by_operator(&mut self, switch: &Switch) {
        let leads = ShardReport::Leads { server: switch.to.clone() };
        let facts = self.facts();
        let word = facts.planned.get(&switch.shard).and_then(|planned| planned.word.as_ref());
        if let Some(work) = self.conducted_changes.get_mut(&switch.shard).filter(|_| word == Some(&leads)) {
            work.switch_result = Some((switch.to.clone(), SwitchResult::Confirmed));
        }
        self.holder.record_waiting(&conductor_duty_of(switch.shard), false);
    }

    /// Handles the end of a switch.
    pub(super) fn on_switch_ended(&mut self, conducted: SwitchEnded) {
        let SwitchEnded { switch, took, end } = conducted;
        let (mono, duty, epoch, to) =
            (monotonic(), conductor_duty_of(switch.shard), switch.epoch, &switch.to);
        let ms = took / 1_000;
        let told = match &end {
            Ok(()) => {
                info!(target: "council", what = "effect-end", mono, duty, epoch, to, ms, "the server confirmed that it is the primary");
                SwitchResult::Confirmed
            }
            Err(SwitchError::Fenced) => {
                warn!(target: "council", what = "effect-refused", mono, duty, epoch, to, ms, "it has seen a later epoch");
                SwitchResult::Fenced
            }
            Err(unswitched) => {
                let remedy = unswitched.remedy();
                warn!(target: "council", what = "effect-unknown", mono, duty, epoch, to, ms, remedy, "{unswitched}");
                SwitchResult::Unknown
            }
        };
        // An answer to an older epoch says nothing about the current one.
        let Some(work) = self.conducted_changes.get_mut(&switch.shard).filter(|work| work.epoch == epoch)
        else {
            return;
        };
        work.switch_pending = false;
        work.retry_at = boottime() + SWITCH_RETRY_INTERVAL;
        if told == SwitchResult::Confirmed {
            self.holder.record_progress(&duty, true);
        }
        work.switch_result = Some((switch.to, told));
    }
}
