//! State machine of each shard: phases, fencing, holding and releasing of writes.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use fastrand::Rng;
use tansyjunction::interface::Micros;

use crate::held_writes::HeldWrites;
use crate::interface::*;
use crate::phase::{Evidence, Phase};
use crate::release_pacer::ReleasePacer;

/// Consecutive failures after which a primary counts as lost; a single one may be an idle connection that ended.
const FAILURES_UNTIL_LOST: u32 = 2;
/// Number of past changes whose duration is kept. The shortest is the least wait that a held write can expect.
const DURATION_HISTORY: usize = 8;
/// Longest time until the next call of [`Handover::due`].
const MAX_CHECK_INTERVAL: Micros = 1_000_000;

/// A planned change of primary.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Plan {
    target: usize,
    began: Micros,
}

/// A write in flight, or being placed by the router.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct InFlightWrite {
    server: Option<usize>,
    /// When it was given to the router.
    since: Micros,
    session: Option<usize>,
    keyed: bool,
}

/// State of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Shard {
    phase: Phase,
    since: Micros,
    /// When the current change began: earlier writes may have been executed.
    change_began: Micros,
    primary: Option<usize>,
    term: u64,
    /// The latest commit reported by any answer.
    commit: Micros,
    servers: BTreeMap<usize, Evidence>,
    plan: Option<Plan>,
    paused: bool,
    held: HeldWrites,
    in_flight: BTreeMap<u64, InFlightWrite>,
    /// The write with which the router searches for the next primary.
    trial_write: Option<u64>,
    pacer: ReleasePacer,
    /// Durations of recent changes.
    change_durations: Vec<Micros>,
    /// Writes in flight at a server that was replaced, which will not answer.
    cancel: Vec<u64>,
    /// Phase and primary last reported to the host.
    last_reported: (Phase, Option<usize>),
}

impl Default for Shard {
    fn default() -> Self {
        Shard {
            phase: Phase::Steady,
            since: 0,
            change_began: 0,
            primary: None,
            term: 0,
            commit: 0,
            servers: BTreeMap::new(),
            plan: None,
            paused: false,
            held: HeldWrites::default(),
            in_flight: BTreeMap::new(),
            trial_write: None,
            pacer: ReleasePacer::default(),
            change_durations: Vec::new(),
            cancel: Vec::new(),
            last_reported: (Phase::Steady, None),
        }
    }
}

/// All shards of a gateway. The random generator is ignored when two are compared.
#[derive(Clone, Debug)]
pub struct Handover {
    config: HandoverConfig,
    rng: Rng,
    shards: BTreeMap<usize, Shard>,
    /// Shard of each write that is held or in flight.
    writes: BTreeMap<u64, usize>,
    bytes: usize,
    /// When to call [`Handover::due`] next.
    next_due: Micros,
}

impl PartialEq for Handover {
    fn eq(&self, other: &Self) -> bool {
        (&self.shards, &self.writes, self.bytes) == (&other.shards, &other.writes, other.bytes)
    }
}

impl Eq for Handover {}

impl Hash for Handover {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (&self.shards, &self.writes, self.bytes).hash(state);
    }
}

impl Handover {
    /// Creates the state machine; `seed` is for the jitter of releases.
    pub fn new(figures: HandoverConfig, seed: u64) -> Self {
        Handover {
            config: figures,
            rng: Rng::with_seed(seed),
            shards: BTreeMap::new(),
            writes: BTreeMap::new(),
            bytes: 0,
            next_due: 0,
        }
    }

    // --- Questions of the host ---

    /// Decides on a write that is about to go to the router: on arrival, or after a dispatch ended without an answer.
    pub fn admit(&mut self, now: Micros, write: &Write) -> Admission {
        let figures = &self.config;
        let shard = self.shards.entry(write.shard).or_default();
        let again = self.writes.contains_key(&write.id);
        shard.in_flight.remove(&write.id);
        let scout = shard.trial_write == Some(write.id);
        if write.repeat_until.is_some_and(|until| until <= now) {
            return self.finish(write.id, Admission::Fail);
        }
        let first = !shard.held.has_session(write.session);
        let pass = match shard.phase {
            Phase::Conflict | Phase::Draining => false,
            _ if shard.paused => false,
            phase if phase.accepts_writes() => first,
            // Only the trial write goes on while there is no primary.
            phase if phase.seeks_primary() => {
                shard.may_send_trial(figures, now)
                    && (scout || shard.trial_write.is_none() && first)
                    && shard.session_is_free(write)
            }
            // A released write that came back may go on in this phase.
            _ => again && shard.session_is_free(write),
        };
        if pass {
            if shard.phase.seeks_primary() {
                shard.trial_write = Some(write.id);
            }
            let out = InFlightWrite { server: None, since: now, session: write.session, keyed: write.keyed };
            shard.in_flight.insert(write.id, out);
            self.writes.insert(write.id, write.shard);
            self.schedule(now, write.shard);
            return Admission::Pass;
        }
        if scout {
            shard.trial_write = None;
        }
        let left = write.client_timeout.saturating_sub(figures.answer_reserve);
        let known = shard.earliest_end(figures, now);
        let full = shard.held.len() >= figures.max_held_writes
            || shard.held.bytes + write.bytes > figures.max_held_bytes
            || self.bytes + write.bytes > figures.max_held_bytes_total
            || shard.held.count_of_client(write.client) >= figures.max_held_per_client;
        // A write that cannot be released in time is answered as soon as that is known.
        if full || left <= now || !shard.paused && known > left {
            let come_back = known.saturating_sub(now).max(figures.answer_reserve);
            let answer = match write.repeat_until {
                Some(_) => Admission::Fail,
                None => Admission::Throttle { retry_after: come_back },
            };
            return self.finish(write.id, answer);
        }
        shard.held.add(write.clone(), figures.answer_reserve, again);
        self.bytes += write.bytes;
        self.writes.insert(write.id, write.shard);
        self.schedule(now, write.shard);
        Admission::Hold
    }

    /// Limits how long any write is held, for a gateway that shuts down.
    pub fn limit_hold_time(&mut self, now: Micros, until: Micros) {
        for shard in self.shards.values_mut() {
            shard.held.limit_deadlines(until, self.config.answer_reserve);
        }
        self.next_due = self.next_due.min(now);
    }

    /// When to call [`Handover::due`] next.
    pub fn next_due(&self) -> Micros {
        self.next_due
    }

    /// Schedules a call of [`Handover::due`] after a change in a shard. An idle shard needs only the check for a silent
    /// primary, so that not all shards are examined after each command.
    fn schedule(&mut self, now: Micros, place: usize) {
        let Some(shard) = self.shards.get(&place) else { return };
        let calm = shard.phase == Phase::Steady
            && shard.held.is_empty()
            && shard.cancel.is_empty()
            && shard.last_reported == (shard.phase, shard.primary);
        let at = if calm { now + self.config.suspect_after } else { now };
        self.next_due = self.next_due.min(at);
    }

    /// Whether a write may go to the server that the router chose. Refuses servers that claim the role of primary at
    /// the same time, and an earlier primary that has not learned that it was replaced.
    pub fn may_write_to(&mut self, shard: usize, server: usize, write: u64) -> bool {
        let Some(shard) = self.shards.get_mut(&shard) else { return true };
        let fenced = shard.servers.get(&server).is_some_and(|evidence| evidence.fenced);
        let allowed = !fenced && shard.phase != Phase::Conflict;
        if allowed && let Some(out) = shard.in_flight.get_mut(&write) {
            out.server = Some(server);
        }
        allowed
    }

    /// Returns the writes to release and to abandon now, and other actions due.
    pub fn due(&mut self, now: Micros) -> DueActions {
        let (mut due, mut next) = (DueActions::default(), now + MAX_CHECK_INTERVAL);
        let places: Vec<usize> = self.shards.keys().copied().collect();
        for place in places {
            let Some(shard) = self.shards.get_mut(&place) else { continue };
            shard.check_timeouts(&self.config, now);
            let round = self.config.answer_reserve;
            while let Some(write) = shard.held.overdue(now) {
                let (id, bytes) = (write.id, write.bytes);
                let come_back = shard.earliest_end(&self.config, now).saturating_sub(now).max(round);
                due.give_up.push((id, write.repeat_until.is_none().then_some(come_back)));
                shard.held.remove(id, round);
                self.bytes -= bytes;
                self.writes.remove(&id);
            }
            shard.release_held(&self.config, &mut self.rng, now, &mut self.bytes, &mut due.release);
            due.cancel.append(&mut shard.cancel);
            shard.collect_probes(&self.config, now, &mut due.probe);
            next = next.min(shard.next_check(&self.config, now));
            let now_told = (shard.phase, shard.primary);
            if std::mem::replace(&mut shard.last_reported, now_told) != now_told {
                due.changed_shards.push(place);
            }
        }
        self.next_due = next;
        due
    }

    // --- Events ---

    /// Records that a server claims to be primary, at replication position `position`.
    pub fn on_primary_claim(&mut self, now: Micros, shard: usize, server: usize, position: Option<Micros>) {
        let (figures, place) = (&self.config, shard);
        let shard = self.shards.entry(shard).or_default();
        let commit = shard.commit;
        let evidence = shard.servers.entry(server).or_default();
        evidence.record_answer(now, position);
        // An earlier primary that comes back unchanged is behind what others have committed.
        let short = position.is_some_and(|position| position + figures.max_report_age < commit);
        if evidence.fenced && position.is_none() || short && shard.primary != Some(server) {
            evidence.fenced = true;
        } else {
            evidence.claimed_at = Some(now);
            shard.on_claim(figures, now, server);
        }
        self.schedule(now, place);
    }

    /// Records that a server says it is not the primary.
    pub fn on_primary_denial(&mut self, now: Micros, shard: usize, server: usize, position: Option<Micros>) {
        let (figures, place) = (&self.config, shard);
        let shard = self.shards.entry(shard).or_default();
        let evidence = shard.servers.entry(server).or_default();
        evidence.record_answer(now, position);
        (evidence.denied_at, evidence.fenced) = (Some(now), false);
        shard.on_denial(figures, now, server);
        self.schedule(now, place);
    }

    /// Records a refused or broken connection, or a write that timed out.
    pub fn on_failure(&mut self, now: Micros, shard: usize, server: usize) {
        let (figures, place) = (&self.config, shard);
        let shard = self.shards.entry(shard).or_default();
        let evidence = shard.servers.entry(server).or_default();
        evidence.failures_in_row += 1;
        if evidence.failures_in_row >= FAILURES_UNTIL_LOST {
            evidence.lost_since = evidence.lost_since.or(Some(now));
            shard.on_server_lost(figures, now, server);
        }
        self.schedule(now, place);
    }

    /// Records the answer to a write, committed at `commit`.
    pub fn on_write_answered(
        &mut self,
        now: Micros,
        shard: usize,
        server: usize,
        write: u64,
        commit: Option<Micros>,
    ) {
        let figures = &self.config;
        let place = shard;
        let shard = self.shards.entry(place).or_default();
        shard.commit = shard.commit.max(commit.unwrap_or(0));
        let evidence = shard.servers.entry(server).or_default();
        evidence.record_answer(now, commit);
        if !evidence.fenced {
            evidence.claimed_at = Some(now);
            shard.on_claim(figures, now, server);
        }
        if shard.primary == Some(server) {
            shard.pacer.on_answer(figures.min_release_gap);
            if shard.phase == Phase::Confirmed {
                shard.enter_phase(now, Phase::Releasing);
            }
        }
        self.on_write_finished(now, write);
    }

    /// Records an entry of the server list. Lists are late, so they never override other evidence.
    pub fn on_list_entry(&mut self, now: Micros, shard: usize, server: usize, primary: bool, leaving: bool) {
        let (figures, place) = (&self.config, shard);
        let shard = self.shards.entry(shard).or_default();
        let evidence = shard.servers.entry(server).or_default();
        let was = std::mem::replace(&mut evidence.listed_primary, primary);
        let left = leaving && !evidence.leaving;
        evidence.leaving = leaving;
        let silent = evidence.claimed_at.is_none() && evidence.denied_at.is_none();
        if primary && shard.primary.is_none() && silent {
            shard.primary = Some(server);
        }
        if left && shard.primary == Some(server) && shard.phase.accepts_writes() {
            // A draining server gets no new writes: the next primary is awaited.
            shard.plan = None;
            shard.begin_change(now, Phase::Electing);
        }
        if primary && !was && shard.phase == Phase::Conflict && shard.servers[&server].is_primary() {
            // The list changed after the conflict, so the election has a result.
            shard.set_primary(figures, now, server);
        }
        self.schedule(now, place);
    }

    /// Forgets a server; its number may be reused.
    pub fn forget_server(&mut self, server: usize) {
        for shard in self.shards.values_mut() {
            shard.servers.remove(&server);
            shard.primary = shard.primary.filter(|primary| *primary != server);
        }
    }

    /// Records that a write is finished, in whatever way.
    pub fn on_write_finished(&mut self, now: Micros, write: u64) {
        let Some(place) = self.writes.remove(&write) else { return };
        let Some(shard) = self.shards.get_mut(&place) else { return };
        if let Some(held) = shard.held.remove(write, self.config.answer_reserve) {
            self.bytes -= held.bytes;
        }
        shard.in_flight.remove(&write);
        if shard.trial_write == Some(write) {
            shard.trial_write = None;
        }
        shard.continue_if_drained(now);
        self.schedule(now, place);
    }

    // --- Operator requests ---

    /// Plans a change of primary.
    pub fn plan_change(&mut self, now: Micros, shard: usize, target: usize) -> Result<(), RequestError> {
        let shard = self.shards.get_mut(&shard).ok_or(RequestError::NoSuchShard)?;
        let evidence = shard.servers.get(&target).ok_or(RequestError::NoSuchServer)?;
        if shard.primary == Some(target) {
            return Err(RequestError::AlreadyPrimary);
        }
        if evidence.lost_since.is_some() || evidence.leaving || evidence.fenced {
            return Err(RequestError::TargetUnavailable);
        }
        if shard.phase != Phase::Steady {
            return Err(RequestError::ChangeInProgress);
        }
        shard.plan = Some(Plan { target, began: now });
        shard.change_began = now;
        shard.enter_phase(now, Phase::Announced);
        self.next_due = now;
        Ok(())
    }

    /// Aborts a planned change; held writes go to the current primary.
    pub fn abort_change(&mut self, now: Micros, shard: usize) -> Result<(), RequestError> {
        let shard = self.shards.get_mut(&shard).ok_or(RequestError::NoSuchShard)?;
        shard.plan.take().ok_or(RequestError::NothingInProgress)?;
        shard.return_to_primary(&self.config, now);
        self.next_due = now;
        Ok(())
    }

    /// Holds all new writes of a shard until [`Handover::resume`].
    pub fn pause(&mut self, shard: usize) -> Result<(), RequestError> {
        self.shards.get_mut(&shard).ok_or(RequestError::NoSuchShard)?.paused = true;
        Ok(())
    }

    /// Ends a pause and releases the held writes.
    pub fn resume(&mut self, now: Micros, shard: usize) -> Result<(), RequestError> {
        let shard = self.shards.get_mut(&shard).ok_or(RequestError::NoSuchShard)?;
        if !std::mem::replace(&mut shard.paused, false) {
            return Err(RequestError::NothingInProgress);
        }
        if shard.phase == Phase::Steady && !shard.held.is_empty() {
            shard.pacer = ReleasePacer::start(now, self.config.release_gap, self.config.gateways);
            shard.enter_phase(now, Phase::Releasing);
        }
        self.next_due = now;
        Ok(())
    }

    /// State of all shards.
    pub fn all_status(&self) -> Vec<ShardStatus> {
        self.shards.keys().filter_map(|place| self.shard_status(*place)).collect()
    }

    /// State of one shard.
    pub fn shard_status(&self, place: usize) -> Option<ShardStatus> {
        let shard = self.shards.get(&place)?;
        Some(ShardStatus {
            shard: place,
            phase: shard.phase,
            since: shard.since,
            primary: shard.primary,
            term: shard.term,
            held: shard.held.len(),
            held_bytes: shard.held.bytes,
            in_flight: shard.in_flight.len(),
            target: shard.plan.as_ref().map(|plan| plan.target),
            paused: shard.paused,
            fenced: shard.servers.iter().filter(|(_, e)| e.fenced).map(|(server, _)| *server).collect(),
        })
    }

    /// Whether a write is held.
    pub fn is_held(&self, write: u64) -> bool {
        self.writes.get(&write).is_some_and(|place| self.shards[place].held.contains(write))
    }

    fn finish(&mut self, write: u64, answer: Admission) -> Admission {
        if let Some(place) = self.writes.remove(&write)
            && let Some(shard) = self.shards.get_mut(&place)
        {
            shard.in_flight.remove(&write);
            if shard.trial_write == Some(write) {
                shard.trial_write = None;
            }
        }
        answer
    }
}

impl Shard {
    fn enter_phase(&mut self, now: Micros, phase: Phase) {
        (self.phase, self.since) = (phase, now);
    }

    /// Starts an unplanned change.
    fn begin_change(&mut self, now: Micros, phase: Phase) {
        self.change_began = now;
        self.enter_phase(now, phase);
    }

    /// Whether no other write of the same session is in flight.
    fn session_is_free(&self, write: &Write) -> bool {
        write.session.is_none()
            || !self.in_flight.iter().any(|(id, out)| *id != write.id && out.session == write.session)
    }

    /// Earliest expected end of the current change: after the shortest duration of recent changes.
    fn earliest_end(&self, figures: &HandoverConfig, now: Micros) -> Micros {
        match self.change_durations.iter().min() {
            Some(shortest) if !self.phase.accepts_writes() => (self.change_began + shortest).max(now),
            None if !self.phase.accepts_writes() => (self.change_began + figures.expected_duration / 2)
                .max(now)
                .min(now + figures.expected_duration),
            _ => now,
        }
    }

    /// Evaluates a claim of the primary role.
    fn on_claim(&mut self, figures: &HandoverConfig, now: Micros, server: usize) {
        let Some(primary) = self.primary else {
            return self.set_primary(figures, now, server);
        };
        if primary == server {
            match self.phase {
                // The lost primary is back unchanged.
                Phase::PrimaryLost => self.return_to_primary(figures, now),
                // It gave up the role and claims it again: the change was reverted.
                Phase::Electing if self.plan.is_none() => self.set_primary(figures, now, server),
                _ => {}
            }
            return;
        }
        let target = self.plan.as_ref().is_some_and(|plan| plan.target == server);
        let drained = target && matches!(self.phase, Phase::Draining | Phase::Electing);
        let old = self.servers.get(&primary);
        // A claim that was not renewed, or of a server that leaves, gives way to a newer one.
        let holds = old.is_some_and(|old| old.claimed_recently(now, figures.claim_lifetime) && !old.leaving);
        if drained || !holds && self.phase != Phase::Conflict {
            self.set_primary(figures, now, server);
        } else if self.phase != Phase::Conflict {
            // Both claim it: neither gets writes until one follows, is lost, or the list changes.
            self.plan = None;
            self.begin_change(now, Phase::Conflict);
            self.trial_write = None;
        }
    }

    /// Makes a server the primary. Its predecessor is fenced until it confirms that it follows.
    fn set_primary(&mut self, figures: &HandoverConfig, now: Micros, server: usize) {
        let old = self.primary.filter(|old| *old != server);
        if let Some(evidence) = old.and_then(|old| self.servers.get_mut(&old)) {
            evidence.fenced =
                evidence.denied_at.is_none_or(|no| evidence.claimed_at.is_some_and(|yes| yes > no));
        }
        for (other, evidence) in &mut self.servers {
            // The other claimant lost the election.
            evidence.fenced |= *other != server && self.phase == Phase::Conflict && evidence.is_primary();
        }
        if let Some(evidence) = self.servers.get_mut(&server) {
            evidence.fenced = false;
        }
        if old.is_some() || self.phase == Phase::Conflict {
            self.term += 1;
        }
        self.primary = Some(server);
        self.plan = None;
        if old.is_some() {
            // Writes that may not be repeated keep waiting for their answer.
            let left = self.in_flight.iter().filter(|(_, out)| out.keyed && out.server == old);
            self.cancel.extend(left.map(|(id, _)| *id));
        }
        // A trial write at another server would hold up the others.
        let there = |id: u64| self.in_flight.get(&id).is_some_and(|out| out.server == Some(server));
        self.trial_write = self.trial_write.filter(|scout| there(*scout));
        if self.phase.accepts_writes() {
            self.enter_phase(now, Phase::Steady);
        } else {
            if self.change_durations.len() == DURATION_HISTORY {
                self.change_durations.remove(0);
            }
            self.change_durations.push(now.saturating_sub(self.change_began));
            self.pacer = ReleasePacer::start(now, figures.release_gap, figures.gateways);
            // A trial write in flight may have found the primary, and its answer confirms it. Else the first released
            // write does.
            self.enter_phase(now, Phase::Confirmed);
        }
    }

    /// Handles a server's statement that it is not the primary.
    fn on_denial(&mut self, figures: &HandoverConfig, now: Micros, server: usize) {
        if self.phase == Phase::Conflict {
            return self.resolve_conflict(figures, now);
        }
        if self.primary != Some(server) {
            // The target of a plan was not primary yet.
            return;
        }
        match self.phase {
            Phase::Draining | Phase::Electing | Phase::Conflict => self.enter_phase(now, Phase::Electing),
            _ => {
                self.plan = self.plan.take().filter(|_| self.phase == Phase::Announced);
                self.begin_change(now, Phase::Electing);
            }
        }
        // Another server may have claimed the role earlier.
        let next = self.servers.iter().find(|(other, e)| **other != server && e.is_primary() && !e.fenced);
        if let Some(next) = next.map(|(next, _)| *next) {
            self.set_primary(figures, now, next);
        }
    }

    /// Ends a conflict once a single claimant is left.
    fn resolve_conflict(&mut self, figures: &HandoverConfig, now: Micros) {
        let of_late = |e: &Evidence| e.claimed_recently(now, figures.claim_lifetime) && !e.fenced;
        let mut claimants = self.servers.iter().filter(|(_, e)| of_late(e)).map(|(server, _)| *server);
        match (claimants.next(), claimants.next()) {
            (Some(one), None) => self.set_primary(figures, now, one),
            (None, _) => {
                self.primary = None;
                self.enter_phase(now, Phase::Electing);
            }
            _ => {}
        }
    }

    /// Handles the loss of a server.
    fn on_server_lost(&mut self, figures: &HandoverConfig, now: Micros, server: usize) {
        if self.phase == Phase::Conflict {
            return self.on_denial(figures, now, server);
        }
        if self.plan.as_ref().is_some_and(|plan| plan.target == server) {
            // The target of a planned change is lost: the old primary continues, if it is there.
            self.plan = None;
            self.return_to_primary(figures, now);
        } else if self.primary == Some(server) {
            match self.phase {
                Phase::Draining | Phase::Electing | Phase::PrimaryLost => {}
                _ => self.begin_change(now, Phase::PrimaryLost),
            }
        }
    }

    /// Returns to the previous primary, if it is there, and releases the held writes to it.
    fn return_to_primary(&mut self, figures: &HandoverConfig, now: Micros) {
        let leads = self.primary.and_then(|primary| self.servers.get(&primary)).map(Evidence::is_primary);
        if leads == Some(false) {
            self.enter_phase(now, Phase::Electing);
        } else if self.phase == Phase::Announced {
            self.enter_phase(now, Phase::Steady);
        } else {
            self.pacer = ReleasePacer::start(now, figures.release_gap, figures.gateways);
            self.enter_phase(now, Phase::Releasing);
        }
    }

    /// Continues a planned change once no write is in flight.
    fn continue_if_drained(&mut self, now: Micros) {
        if self.phase == Phase::Draining && self.in_flight.is_empty() {
            self.enter_phase(now, Phase::Electing);
        }
    }

    /// Handles phases that end after a time.
    fn check_timeouts(&mut self, figures: &HandoverConfig, now: Micros) {
        let lasted = now.saturating_sub(self.since);
        match (self.phase, &self.plan) {
            (Phase::Conflict, _) => self.resolve_conflict(figures, now),
            (Phase::Announced, Some(plan)) => {
                let position = self.servers.get(&plan.target).map_or(0, |evidence| evidence.position);
                if position + figures.max_target_lag >= now || position >= self.commit && position > 0 {
                    self.enter_phase(now, Phase::Draining);
                    self.continue_if_drained(now);
                } else if lasted >= figures.catch_up_timeout {
                    // The target did not catch up in time.
                    self.plan = None;
                    self.enter_phase(now, Phase::Steady);
                }
            }
            // Writes still in flight continue, but the change no longer waits for them.
            (Phase::Draining, _) if lasted >= figures.drain_timeout => self.enter_phase(now, Phase::Electing),
            (Phase::Electing, Some(plan)) if now >= plan.began + figures.switch_timeout => {
                self.plan = None;
                self.return_to_primary(figures, now);
            }
            _ => {}
        }
    }

    /// Releases held writes as fast as the pacing allows, those with the earliest deadline first.
    fn release_held(
        &mut self,
        figures: &HandoverConfig,
        rng: &mut Rng,
        now: Micros,
        bytes: &mut usize,
        released: &mut Vec<u64>,
    ) {
        if self.paused {
            return;
        }
        if self.held.is_empty() {
            return self.finish_if_empty(now);
        }
        let mut sessions: BTreeSet<usize> = self.in_flight.values().filter_map(|out| out.session).collect();
        loop {
            let may = match self.phase {
                phase if phase.accepts_writes() => true,
                // Only one write at a time is with the router: those that find no capacity there are throttled.
                Phase::Releasing => {
                    self.pacer.may_release(now) && self.in_flight.values().all(|out| out.server.is_some())
                }
                phase if phase.seeks_primary() => {
                    self.trial_write.is_none() && self.may_send_trial(figures, now)
                }
                _ => false,
            };
            let free = |write: &Write| write.session.is_none_or(|session| !sessions.contains(&session));
            let Some(id) = self.held.next_ready(free).filter(|_| may) else { break };
            let Some(write) = self.held.remove(id, figures.answer_reserve) else { break };
            *bytes -= write.bytes;
            sessions.extend(write.session);
            self.in_flight.insert(
                id,
                InFlightWrite { server: None, since: now, session: write.session, keyed: write.keyed },
            );
            match self.phase {
                phase if phase.seeks_primary() => self.trial_write = Some(id),
                Phase::Releasing => self.pacer.on_release(now, rng),
                _ => {}
            }
            released.push(id);
        }
        self.finish_if_empty(now);
    }

    /// Ends the change once no write is held.
    fn finish_if_empty(&mut self, now: Micros) {
        let led = matches!(self.phase, Phase::Releasing | Phase::Confirmed);
        if led && self.held.is_empty() && self.trial_write.is_none() {
            self.enter_phase(now, Phase::Steady);
        }
    }

    /// Whether a trial write may search for the next primary. Where servers can be probed, they are: a write would use
    /// up its dispatches on servers that are gone, and in a planned change the old primary would still accept it. After
    /// a while one is sent anyway, since some servers do not report their role.
    fn may_send_trial(&self, figures: &HandoverConfig, now: Micros) -> bool {
        let asked = figures.probe_interval > 0 && now < self.change_began + figures.expected_duration;
        self.phase == Phase::Confirmed || !asked && (self.plan.is_none() || figures.probe_interval == 0)
    }

    /// Since when the oldest write is in flight at a primary that has not answered since. Detects a primary that hangs
    /// while there is little other traffic.
    fn unanswered_since(&self) -> Option<Micros> {
        let (_, out) = self.in_flight.first_key_value()?;
        let server = out.server.filter(|server| self.primary == Some(*server))?;
        (self.servers.get(&server)?.answered_at <= out.since).then_some(out.since)
    }

    /// Collects the servers to probe: while there is no primary or a conflict, and while a target catches up. A
    /// gateway whose clients send nothing to the shard would otherwise never learn how far the target is, and all
    /// gateways would wait for it.
    fn collect_probes(&mut self, figures: &HandoverConfig, now: Micros, looks: &mut Vec<usize>) {
        if figures.probe_interval == 0 {
            return;
        }
        let calm = self.phase == Phase::Steady || self.phase == Phase::Releasing;
        if calm && self.unanswered_since().is_none_or(|since| now < since + figures.suspect_after) {
            return;
        }
        let every = if calm { figures.suspect_after } else { figures.probe_interval };
        for (server, evidence) in &mut self.servers {
            if evidence.probed_at + every <= now {
                evidence.probed_at = now;
                looks.push(*server);
            }
        }
    }

    /// When the shard needs its next check.
    fn next_check(&self, figures: &HandoverConfig, now: Micros) -> Micros {
        let mut at = now + MAX_CHECK_INTERVAL;
        if let Some(deadline) = self.held.first_deadline() {
            at = at.min(deadline);
        }
        match self.phase {
            Phase::Releasing if !self.held.is_empty() => at = at.min(self.pacer.next_release()),
            Phase::Announced => {
                at = at.min(self.since + figures.catch_up_timeout).min(now + figures.answer_reserve)
            }
            Phase::Draining => at = at.min(self.since + figures.drain_timeout),
            _ => {}
        }
        if let Some(since) = self.unanswered_since().filter(|_| figures.probe_interval > 0) {
            at = at.min((since + figures.suspect_after).max(now + figures.probe_interval));
        }
        if !self.phase.accepts_writes() && self.phase != Phase::Releasing && figures.probe_interval > 0 {
            let next =
                self.servers.values().map(|evidence| evidence.probed_at + figures.probe_interval).min();
            at = at.min(next.unwrap_or(at));
        }
        at.max(now + 1)
    }
}
