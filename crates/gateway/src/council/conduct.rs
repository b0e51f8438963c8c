//! Changes of primary that this gateway conducts: what [`conduct`] says is done here.

use tansyjunction::interface::Micros;
use tansyjunction_duties::*;
use tracing::{info, warn};

use super::effect;
use super::fault::Unswitched;
use super::member::{Member, Ticket, in_mono};
use crate::run::clock::{boottime, monotonic};

/// Between two tries to tell the store.
const AGAIN: Micros = 200_000;
/// Nothing is begun in the last part of a lease.
const LEFT_PART: Micros = 10;

/// A change that this gateway conducts.
#[derive(Default)]
pub struct Work {
    epoch: u64,
    /// The document's version, and since when it stands so.
    version: u64,
    since: Micros,
    /// A step of it is proposed.
    pub proposed: bool,
    told: Option<(String, SwitchResult)>,
    telling: bool,
    /// Not told again before.
    again: Micros,
    /// When the step takes too long.
    late: Option<Micros>,
}

impl Work {
    /// When it is to be looked at.
    pub fn next(&self) -> Option<Micros> {
        let again = (!self.telling && self.again > 0).then_some(self.again);
        [again, self.late].into_iter().flatten().min()
    }
}

/// The end of an effect.
pub struct Conducted {
    switch: Switch,
    took: Micros,
    end: Result<(), Unswitched>,
}

impl Member {
    /// Whether an effect of this duty is under way.
    pub(super) fn telling(&self, duty: &str) -> bool {
        shard_of(duty).and_then(|shard| self.works.get(&shard)).is_some_and(|work| work.telling)
    }

    /// Goes on with each change that this gateway may conduct.
    pub(super) fn conduct(&mut self) {
        if self.leaves() {
            return;
        }
        let now = boottime();
        let held: Vec<(u32, u64)> =
            self.holder.duties(now).filter_map(|(duty, epoch, _)| Some((shard_of(duty)?, epoch))).collect();
        self.works.retain(|shard, work| work.telling || held.iter().any(|(held, _)| held == shard));
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
        // A gateway that has no list yet takes nobody for lost.
        let target_lost = servers.is_some_and(|all| all.get(&to).is_none_or(|server| server.leaving));
        let switch_for = self.set.step_within;
        let work = self.works.entry(shard).or_default();
        if work.epoch != epoch {
            // What is under way is of an older epoch: its answer counts for nothing here.
            *work = Work { epoch, since: now, ..Work::default() };
        }
        if work.version != version {
            (work.version, work.since) = (version, now);
        }
        work.late = Some(work.since + switch_for).filter(|at| *at > now);
        if work.proposed {
            return;
        }
        let seen = ConductorView {
            step_for: now - work.since,
            step_timeout: switch_for,
            target_lost,
            switch_result: work.told.clone(),
            switch_pending: work.telling,
        };
        match next_action(self.council.state(), shard, &self.me, epoch, &seen) {
            ConductorAction::Wait(waits) => self.holder.record_waiting(&duty, waits == WaitReason::Store),
            ConductorAction::Propose(entry) => {
                work.proposed = true;
                self.holder.record_waiting(&duty, true);
                self.propose(entry, Ticket::Step(shard));
            }
            ConductorAction::SendSwitch(switch) => {
                self.holder.record_waiting(&duty, true);
                self.tell_store(switch);
            }
            ConductorAction::Release(why) => {
                let entry = self.holder.release(now, &duty, why);
                self.part(&duty, epoch, entry, &format!("{why:?}").to_lowercase());
            }
            ConductorAction::Close(entry) => {
                self.holder.stop(now, &duty);
                self.part(&duty, epoch, Some(entry), "over");
            }
            // Its document can't be read: perhaps another gateway runs a newer program.
            ConductorAction::Nothing => {
                let entry = self.holder.release(now, &duty, GivenBack::Unable);
                self.part(&duty, epoch, entry, "unable");
            }
        }
    }

    fn part(&mut self, duty: &str, epoch: u64, entry: Option<Entry>, why: &str) {
        if let Some(entry) = entry {
            info!(target: "council", what = "released", mono = monotonic(), duty, epoch, why, "a duty is given back");
            self.propose(entry, Ticket::Parting);
        }
    }

    /// A step was decided, one way or the other.
    pub(super) fn stepped(&mut self, shard: u32, _index: u64, outcome: &Outcome) {
        if let Some(work) = self.works.get_mut(&shard) {
            work.proposed = false;
        }
        let duty = conductor_duty_of(shard);
        match outcome {
            Outcome::Done { .. } => self.holder.record_progress(&duty, true),
            // Another version or holder is there: the next look goes by that.
            Outcome::Overtaken { .. } | Outcome::Fenced { .. } => {}
            other => {
                warn!(target: "council", what = "refused", mono = monotonic(), duty, "a step was refused: {other:?}")
            }
        }
    }

    /// Starts to tell the store, if the lease lasts long enough.
    fn tell_store(&mut self, switch: Switch) {
        let (now, duty, within) = (boottime(), conductor_duty_of(switch.shard), self.set.effect_within);
        let Some(work) = self.works.get_mut(&switch.shard) else { return };
        if now < work.again {
            return;
        }
        work.again = now + AGAIN;
        let Some(template) = self.set.switch_statement.clone() else { return self.told_by_hand(&switch) };
        let facts = self.facts();
        let servers = facts.planned.get(&switch.shard).and_then(|planned| planned.servers.as_ref());
        let server = servers.and_then(|servers| servers.get(&switch.to));
        // What is left of the lease must do for opening a connection; the statement itself may outlast it, for the
        // server refuses it once a later epoch was told.
        let may = self.holder.may_start(now, &duty, self.set.lease / LEFT_PART) == Some(switch.epoch);
        let Some(until) = self.holder.until(&duty).filter(|_| may) else { return };
        let Some(address) = server.map(|server| server.address) else {
            let end = Err(Unswitched::NoAddress(switch.to.clone()));
            return self.switched(Conducted { switch, took: 0, end });
        };
        let (statement, conducted) = (effect::statement(&template, &switch), self.conducted.clone());
        let (told, lease_end) = (switch.clone(), in_mono(now, until));
        let tells = move || {
            let starts = |mono| {
                let (epoch, to, until) = (told.epoch, &told.to, lease_end);
                info!(target: "council", what = "effect-start", mono, duty, epoch, to, until, "a server is told to lead");
            };
            let end = effect::tell(address, &statement, until, now + within, starts);
            let _ = conducted.send(Conducted { switch: told, took: boottime() - now, end });
        };
        match std::thread::Builder::new().name("switch".into()).spawn(tells) {
            Ok(_) => {
                if let Some(work) = self.works.get_mut(&switch.shard) {
                    work.telling = true;
                }
            }
            Err(error) => {
                let end = Err(Unswitched::NotReached(error.to_string()));
                self.switched(Conducted { switch, took: 0, end });
            }
        }
    }

    /// Without a statement an operator switches the store; that it is done shows in who leads.
    fn told_by_hand(&mut self, switch: &Switch) {
        let leads = ShardReport::Leads { server: switch.to.clone() };
        let facts = self.facts();
        let word = facts.planned.get(&switch.shard).and_then(|planned| planned.word.as_ref());
        if let Some(work) = self.works.get_mut(&switch.shard).filter(|_| word == Some(&leads)) {
            work.told = Some((switch.to.clone(), SwitchResult::Confirmed));
        }
        self.holder.record_waiting(&conductor_duty_of(switch.shard), false);
    }

    /// An effect has ended.
    pub(super) fn switched(&mut self, conducted: Conducted) {
        let Conducted { switch, took, end } = conducted;
        let (mono, duty, epoch, to) =
            (monotonic(), conductor_duty_of(switch.shard), switch.epoch, &switch.to);
        let ms = took / 1_000;
        let told = match &end {
            Ok(()) => {
                info!(target: "council", what = "effect-end", mono, duty, epoch, to, ms, "the server leads");
                SwitchResult::Confirmed
            }
            Err(Unswitched::Fenced) => {
                warn!(target: "council", what = "effect-refused", mono, duty, epoch, to, ms, "it has seen a later epoch");
                SwitchResult::Fenced
            }
            Err(unswitched) => {
                let remedy = unswitched.remedy();
                warn!(target: "council", what = "effect-unknown", mono, duty, epoch, to, ms, remedy, "{unswitched}");
                SwitchResult::Unknown
            }
        };
        // An answer to an older epoch than the one that is held now says nothing of this one.
        let Some(work) = self.works.get_mut(&switch.shard).filter(|work| work.epoch == epoch) else { return };
        work.telling = false;
        work.again = boottime() + AGAIN;
        if told == SwitchResult::Confirmed {
            self.holder.record_progress(&duty, true);
        }
        work.told = Some((switch.to, told));
    }
}
