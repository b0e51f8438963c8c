//! The decisions: phases, fences, holds and releases, shard by shard.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use fastrand::Rng;
use tansyjunction::interface::Micros;

use crate::hold::Held;
use crate::interface::*;
use crate::pace::Pace;
use crate::phase::{Evidence, Phase};

/// Breaks or silences in a row after which a primary counts as lost; one may be an idle connection's end.
const BREAKS: u32 = 2;
/// Changes remembered for how long they last; the shortest of them is what a held write can count on.
const CHANGES: usize = 8;
/// Longest pause until the next question.
const WAIT_MOST: Micros = 1_000_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Plan {
    target: usize,
    began: Micros,
}

/// A write that is out or on its way through the router.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Out {
    server: Option<usize>,
    /// Since when it is out, or on its way.
    since: Micros,
    session: Option<usize>,
    keyed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Shard {
    phase: Phase,
    since: Micros,
    /// When the change under way began: the last write before it may have got through.
    began: Micros,
    primary: Option<usize>,
    term: u64,
    /// The newest commit that any answer told.
    commit: Micros,
    servers: BTreeMap<usize, Evidence>,
    plan: Option<Plan>,
    paused: bool,
    held: Held,
    out: BTreeMap<u64, Out>,
    /// The one write that seeks the next primary through the router.
    scout: Option<u64>,
    pace: Pace,
    /// How long changes have lasted of late.
    lasted: Vec<Micros>,
    /// Writes that are out at a server which was replaced: no answer is to be hoped for.
    recall: Vec<u64>,
    /// The phase and primary that the host was told of last.
    told: (Phase, Option<usize>),
}

impl Default for Shard {
    fn default() -> Self {
        Shard {
            phase: Phase::Steady,
            since: 0,
            began: 0,
            primary: None,
            term: 0,
            commit: 0,
            servers: BTreeMap::new(),
            plan: None,
            paused: false,
            held: Held::default(),
            out: BTreeMap::new(),
            scout: None,
            pace: Pace::default(),
            lasted: Vec::new(),
            recall: Vec::new(),
            told: (Phase::Steady, None),
        }
    }
}

/// All shards of one gateway. Chance is no part of what makes two of them equal.
#[derive(Clone, Debug)]
pub struct Handover {
    figures: Figures,
    rng: Rng,
    shards: BTreeMap<usize, Shard>,
    /// Which shard a held or passed write is of.
    writes: BTreeMap<u64, usize>,
    bytes: usize,
    /// When `due` is to be asked.
    next: Micros,
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
    pub fn new(figures: Figures, seed: u64) -> Self {
        Handover {
            figures,
            rng: Rng::with_seed(seed),
            shards: BTreeMap::new(),
            writes: BTreeMap::new(),
            bytes: 0,
            next: 0,
        }
    }

    // --- Questions ---

    /// A write is about to go to the router: at its arrival, or again after a dispatch of it ended without an answer.
    pub fn admit(&mut self, now: Micros, write: &Write) -> Admit {
        let figures = &self.figures;
        let shard = self.shards.entry(write.shard).or_default();
        let again = self.writes.contains_key(&write.id);
        shard.out.remove(&write.id);
        let scout = shard.scout == Some(write.id);
        if write.repeat_until.is_some_and(|until| until <= now) {
            return self.over(write.id, Admit::Fail);
        }
        let first = !shard.held.has_session(write.session);
        let pass = match shard.phase {
            Phase::InDoubt | Phase::Draining => false,
            _ if shard.paused => false,
            phase if phase.open() => first,
            // The scout alone goes on while a primary is sought.
            phase if phase.seeking() => {
                shard.scouts(figures, now) && (scout || shard.scout.is_none() && first) && shard.free(write)
            }
            // What was released and came back goes on while the phase lasts.
            _ => again && shard.free(write),
        };
        if pass {
            if shard.phase.seeking() {
                shard.scout = Some(write.id);
            }
            let out = Out { server: None, since: now, session: write.session, keyed: write.keyed };
            shard.out.insert(write.id, out);
            self.writes.insert(write.id, write.shard);
            self.touch(now, write.shard);
            return Admit::Pass;
        }
        if scout {
            shard.scout = None;
        }
        let left = write.client_timeout.saturating_sub(figures.round);
        let known = shard.lasts_until(figures, now);
        let full = shard.held.len() >= figures.held_most
            || shard.held.bytes + write.bytes > figures.held_bytes
            || self.bytes + write.bytes > figures.held_bytes_all
            || shard.held.of_client(write.client) >= figures.held_client;
        // One that can't make it is told so when that is known.
        if full || left <= now || !shard.paused && known > left {
            let come_back = known.saturating_sub(now).max(figures.round);
            let answer = match write.repeat_until {
                Some(_) => Admit::Fail,
                None => Admit::Throttle { come_back },
            };
            return self.over(write.id, answer);
        }
        shard.held.add(write.clone(), figures.round, again);
        self.bytes += write.bytes;
        self.writes.insert(write.id, write.shard);
        self.touch(now, write.shard);
        Admit::Hold
    }

    /// Whatever is held has until then at most: its host ends.
    pub fn hasten(&mut self, now: Micros, until: Micros) {
        for shard in self.shards.values_mut() {
            shard.held.hasten(until, self.figures.round);
        }
        self.next = self.next.min(now);
    }

    /// When `due` is to be asked next.
    pub fn next(&self) -> Micros {
        self.next
    }

    /// Something has changed in a shard. Guards against looking through all shards after each command: where nothing
    /// is under way it is enough to look for a silent primary in time.
    fn touch(&mut self, now: Micros, place: usize) {
        let Some(shard) = self.shards.get(&place) else { return };
        let calm = shard.phase == Phase::Steady
            && shard.held.is_empty()
            && shard.recall.is_empty()
            && shard.told == (shard.phase, shard.primary);
        let at = if calm { now + self.figures.suspect_after } else { now };
        self.next = self.next.min(at);
    }

    /// The router named this server for a write: whether it may go there. Guards against two that claim to lead, and
    /// against one that led before and has not heard that it does no more.
    pub fn allows(&mut self, shard: usize, server: usize, write: u64) -> bool {
        let Some(shard) = self.shards.get_mut(&shard) else { return true };
        let fenced = shard.servers.get(&server).is_some_and(|evidence| evidence.fenced);
        let allowed = !fenced && shard.phase != Phase::InDoubt;
        if allowed && let Some(out) = shard.out.get_mut(&write) {
            out.server = Some(server);
        }
        allowed
    }

    /// What is released and given up now.
    pub fn due(&mut self, now: Micros) -> Due {
        let (mut due, mut next) = (Due::default(), now + WAIT_MOST);
        let places: Vec<usize> = self.shards.keys().copied().collect();
        for place in places {
            let Some(shard) = self.shards.get_mut(&place) else { continue };
            shard.time_passes(&self.figures, now);
            let round = self.figures.round;
            while let Some(write) = shard.held.overdue(now) {
                let (id, bytes) = (write.id, write.bytes);
                let come_back = shard.lasts_until(&self.figures, now).saturating_sub(now).max(round);
                due.give_up.push((id, write.repeat_until.is_none().then_some(come_back)));
                shard.held.remove(id, round);
                self.bytes -= bytes;
                self.writes.remove(&id);
            }
            shard.release(&self.figures, &mut self.rng, now, &mut self.bytes, &mut due.release);
            due.recall.append(&mut shard.recall);
            shard.looks(&self.figures, now, &mut due.looks);
            next = next.min(shard.next(&self.figures, now));
            let now_told = (shard.phase, shard.primary);
            if std::mem::replace(&mut shard.told, now_told) != now_told {
                due.turned.push(place);
            }
        }
        self.next = next;
        due
    }

    // --- Notices ---

    /// A server says that it leads, standing at `position`.
    pub fn claims(&mut self, now: Micros, shard: usize, server: usize, position: Option<Micros>) {
        let (figures, place) = (&self.figures, shard);
        let shard = self.shards.entry(shard).or_default();
        let commit = shard.commit;
        let evidence = shard.servers.entry(server).or_default();
        evidence.heard(now, position);
        // Guards against an old primary that comes back as it was: it stands short of what others have committed.
        let short = position.is_some_and(|position| position + figures.report_age < commit);
        if evidence.fenced && position.is_none() || short && shard.primary != Some(server) {
            evidence.fenced = true;
        } else {
            evidence.claimed = Some(now);
            shard.weigh(figures, now, server);
        }
        self.touch(now, place);
    }

    /// A server says that it does not lead.
    pub fn denies(&mut self, now: Micros, shard: usize, server: usize, position: Option<Micros>) {
        let (figures, place) = (&self.figures, shard);
        let shard = self.shards.entry(shard).or_default();
        let evidence = shard.servers.entry(server).or_default();
        evidence.heard(now, position);
        (evidence.denied, evidence.fenced) = (Some(now), false);
        shard.denied(figures, now, server);
        self.touch(now, place);
    }

    /// A connection to a server was refused, or broke, or a write there timed out.
    pub fn lost(&mut self, now: Micros, shard: usize, server: usize) {
        let (figures, place) = (&self.figures, shard);
        let shard = self.shards.entry(shard).or_default();
        let evidence = shard.servers.entry(server).or_default();
        evidence.breaks += 1;
        if evidence.breaks >= BREAKS {
            evidence.lost = evidence.lost.or(Some(now));
            shard.gone(figures, now, server);
        }
        self.touch(now, place);
    }

    /// A write was answered there, committed at `commit`.
    pub fn answered(&mut self, now: Micros, shard: usize, server: usize, write: u64, commit: Option<Micros>) {
        let figures = &self.figures;
        let place = shard;
        let shard = self.shards.entry(place).or_default();
        shard.commit = shard.commit.max(commit.unwrap_or(0));
        let evidence = shard.servers.entry(server).or_default();
        evidence.heard(now, commit);
        if !evidence.fenced {
            evidence.claimed = Some(now);
            shard.weigh(figures, now, server);
        }
        if shard.primary == Some(server) {
            shard.pace.answered(figures.gap_least);
            if shard.phase == Phase::Confirmed {
                shard.turn(now, Phase::Releasing);
            }
        }
        self.ended(now, write);
    }

    /// The list tells of a server. It runs late: it starts what nothing else has told, and overrules nothing.
    pub fn listed(&mut self, now: Micros, shard: usize, server: usize, primary: bool, leaving: bool) {
        let (figures, place) = (&self.figures, shard);
        let shard = self.shards.entry(shard).or_default();
        let evidence = shard.servers.entry(server).or_default();
        let was = std::mem::replace(&mut evidence.listed_primary, primary);
        let left = leaving && !evidence.leaving;
        evidence.leaving = leaving;
        let silent = evidence.claimed.is_none() && evidence.denied.is_none();
        if primary && shard.primary.is_none() && silent {
            shard.primary = Some(server);
        }
        if left && shard.primary == Some(server) && shard.phase.open() {
            // Nothing new goes to a server that drains: the next primary is awaited.
            shard.plan = None;
            shard.begin(now, Phase::Electing);
        }
        if primary && !was && shard.phase == Phase::InDoubt && shard.servers[&server].leads() {
            // The list has changed since two claimed: it was told by what elects.
            shard.crown(figures, now, server);
        }
        self.touch(now, place);
    }

    /// A server is gone for good; its number may be given to another.
    pub fn forget(&mut self, server: usize) {
        for shard in self.shards.values_mut() {
            shard.servers.remove(&server);
            shard.primary = shard.primary.filter(|primary| *primary != server);
        }
    }

    /// A write is over, whatever its end; its client may have gone.
    pub fn ended(&mut self, now: Micros, write: u64) {
        let Some(place) = self.writes.remove(&write) else { return };
        let Some(shard) = self.shards.get_mut(&place) else { return };
        if let Some(held) = shard.held.remove(write, self.figures.round) {
            self.bytes -= held.bytes;
        }
        shard.out.remove(&write);
        if shard.scout == Some(write) {
            shard.scout = None;
        }
        shard.drained(now);
        self.touch(now, place);
    }

    // --- Operators ---

    /// Announces a change of primary.
    pub fn plan(&mut self, now: Micros, shard: usize, target: usize) -> Result<(), Refusal> {
        let shard = self.shards.get_mut(&shard).ok_or(Refusal::NoSuchShard)?;
        let evidence = shard.servers.get(&target).ok_or(Refusal::NoSuchServer)?;
        if shard.primary == Some(target) {
            return Err(Refusal::Leads);
        }
        if evidence.lost.is_some() || evidence.leaving || evidence.fenced {
            return Err(Refusal::NotWell);
        }
        if shard.phase != Phase::Steady {
            return Err(Refusal::UnderWay);
        }
        shard.plan = Some(Plan { target, began: now });
        shard.began = now;
        shard.turn(now, Phase::Announced);
        self.next = now;
        Ok(())
    }

    /// Takes an announced change back; what was held goes to the primary that there is.
    pub fn abort(&mut self, now: Micros, shard: usize) -> Result<(), Refusal> {
        let shard = self.shards.get_mut(&shard).ok_or(Refusal::NoSuchShard)?;
        shard.plan.take().ok_or(Refusal::Nothing)?;
        shard.back(&self.figures, now);
        self.next = now;
        Ok(())
    }

    /// Holds all new writes of a shard, until it is resumed.
    pub fn pause(&mut self, shard: usize) -> Result<(), Refusal> {
        self.shards.get_mut(&shard).ok_or(Refusal::NoSuchShard)?.paused = true;
        Ok(())
    }

    pub fn resume(&mut self, now: Micros, shard: usize) -> Result<(), Refusal> {
        let shard = self.shards.get_mut(&shard).ok_or(Refusal::NoSuchShard)?;
        if !std::mem::replace(&mut shard.paused, false) {
            return Err(Refusal::Nothing);
        }
        if shard.phase == Phase::Steady && !shard.held.is_empty() {
            shard.pace = Pace::begin(now, self.figures.gap, self.figures.gateways);
            shard.turn(now, Phase::Releasing);
        }
        self.next = now;
        Ok(())
    }

    pub fn status(&self) -> Vec<Status> {
        self.shards.keys().filter_map(|place| self.shard(*place)).collect()
    }

    /// How one shard stands.
    pub fn shard(&self, place: usize) -> Option<Status> {
        let shard = self.shards.get(&place)?;
        Some(Status {
            shard: place,
            phase: shard.phase,
            since: shard.since,
            primary: shard.primary,
            term: shard.term,
            held: shard.held.len(),
            held_bytes: shard.held.bytes,
            out: shard.out.len(),
            target: shard.plan.as_ref().map(|plan| plan.target),
            paused: shard.paused,
            fenced: shard.servers.iter().filter(|(_, e)| e.fenced).map(|(server, _)| *server).collect(),
        })
    }

    /// Whether a write is held.
    pub fn holds(&self, write: u64) -> bool {
        self.writes.get(&write).is_some_and(|place| self.shards[place].held.has(write))
    }

    fn over(&mut self, write: u64, answer: Admit) -> Admit {
        if let Some(place) = self.writes.remove(&write)
            && let Some(shard) = self.shards.get_mut(&place)
        {
            shard.out.remove(&write);
            if shard.scout == Some(write) {
                shard.scout = None;
            }
        }
        answer
    }
}

impl Shard {
    fn turn(&mut self, now: Micros, phase: Phase) {
        (self.phase, self.since) = (phase, now);
    }

    /// A change begins that nobody announced.
    fn begin(&mut self, now: Micros, phase: Phase) {
        self.began = now;
        self.turn(now, phase);
    }

    /// Nothing of the write's session is out.
    fn free(&self, write: &Write) -> bool {
        write.session.is_none()
            || !self.out.iter().any(|(id, out)| *id != write.id && out.session == write.session)
    }

    /// Until when the change that is under way lasts at least, as far as can be known: as long as the shortest of late.
    fn lasts_until(&self, figures: &Figures, now: Micros) -> Micros {
        match self.lasted.iter().min() {
            Some(shortest) if !self.phase.open() => (self.began + shortest).max(now),
            None if !self.phase.open() => (self.began + figures.usual / 2).max(now).min(now + figures.usual),
            _ => now,
        }
    }

    /// A server claims to lead.
    fn weigh(&mut self, figures: &Figures, now: Micros, server: usize) {
        let Some(primary) = self.primary else {
            return self.crown(figures, now, server);
        };
        if primary == server {
            match self.phase {
                // It was lost, and is back as it was.
                Phase::Unplanned => self.back(figures, now),
                // It denied the role and claims it again: the change went back.
                Phase::Electing if self.plan.is_none() => self.crown(figures, now, server),
                _ => {}
            }
            return;
        }
        let target = self.plan.as_ref().is_some_and(|plan| plan.target == server);
        let drained = target && matches!(self.phase, Phase::Draining | Phase::Electing);
        let old = self.servers.get(&primary);
        // A claim that was not renewed gives way to a newer one, as does one of a server that is to leave.
        let holds = old.is_some_and(|old| old.leads_of_late(now, figures.doubt_for) && !old.leaving);
        if drained || !holds && self.phase != Phase::InDoubt {
            self.crown(figures, now, server);
        } else if self.phase != Phase::InDoubt {
            // Both claim it at once: neither gets a write until one is heard to follow, is lost, or is listed anew.
            self.plan = None;
            self.begin(now, Phase::InDoubt);
            self.scout = None;
        }
    }

    /// A server leads from now on; who led before is fenced until it says that it follows.
    fn crown(&mut self, figures: &Figures, now: Micros, server: usize) {
        let old = self.primary.filter(|old| *old != server);
        if let Some(evidence) = old.and_then(|old| self.servers.get_mut(&old)) {
            evidence.fenced = evidence.denied.is_none_or(|no| evidence.claimed.is_some_and(|yes| yes > no));
        }
        for (other, evidence) in &mut self.servers {
            // One of two that claimed it has lost.
            evidence.fenced |= *other != server && self.phase == Phase::InDoubt && evidence.leads();
        }
        if let Some(evidence) = self.servers.get_mut(&server) {
            evidence.fenced = false;
        }
        if old.is_some() || self.phase == Phase::InDoubt {
            self.term += 1;
        }
        self.primary = Some(server);
        self.plan = None;
        if old.is_some() {
            // What may not be repeated waits on: its answer may come yet.
            let left = self.out.iter().filter(|(_, out)| out.keyed && out.server == old);
            self.recall.extend(left.map(|(id, _)| *id));
        }
        // A scout that is out elsewhere would keep the others waiting.
        let there = |id: u64| self.out.get(&id).is_some_and(|out| out.server == Some(server));
        self.scout = self.scout.filter(|scout| there(*scout));
        if self.phase.open() {
            self.turn(now, Phase::Steady);
        } else {
            if self.lasted.len() == CHANGES {
                self.lasted.remove(0);
            }
            self.lasted.push(now.saturating_sub(self.began));
            self.pace = Pace::begin(now, figures.gap, figures.gateways);
            // A scout that is out may have found it; its answer tells. Otherwise the first that is released does.
            self.turn(now, Phase::Confirmed);
        }
    }

    /// A server says that it follows.
    fn denied(&mut self, figures: &Figures, now: Micros, server: usize) {
        if self.phase == Phase::InDoubt {
            return self.decide(figures, now);
        }
        if self.primary != Some(server) {
            // The target of a plan was never more than that.
            return;
        }
        match self.phase {
            Phase::Draining | Phase::Electing | Phase::InDoubt => self.turn(now, Phase::Electing),
            _ => {
                self.plan = self.plan.take().filter(|_| self.phase == Phase::Announced);
                self.begin(now, Phase::Electing);
            }
        }
        // Somebody else may have claimed it before.
        let next = self.servers.iter().find(|(other, e)| **other != server && e.leads() && !e.fenced);
        if let Some(next) = next.map(|(next, _)| *next) {
            self.crown(figures, now, next);
        }
    }

    /// In doubt: as soon as one claimant alone is left it leads.
    fn decide(&mut self, figures: &Figures, now: Micros) {
        let of_late = |e: &Evidence| e.leads_of_late(now, figures.doubt_for) && !e.fenced;
        let mut claimants = self.servers.iter().filter(|(_, e)| of_late(e)).map(|(server, _)| *server);
        match (claimants.next(), claimants.next()) {
            (Some(one), None) => self.crown(figures, now, one),
            (None, _) => {
                self.primary = None;
                self.turn(now, Phase::Electing);
            }
            _ => {}
        }
    }

    /// A server is lost.
    fn gone(&mut self, figures: &Figures, now: Micros, server: usize) {
        if self.phase == Phase::InDoubt {
            return self.denied(figures, now, server);
        }
        if self.plan.as_ref().is_some_and(|plan| plan.target == server) {
            // The target of a planned change died: the old primary goes on, if it is there.
            self.plan = None;
            self.back(figures, now);
        } else if self.primary == Some(server) {
            match self.phase {
                Phase::Draining | Phase::Electing | Phase::Unplanned => {}
                _ => self.begin(now, Phase::Unplanned),
            }
        }
    }

    /// No change after all: what was held goes to the primary that there was, if it is there.
    fn back(&mut self, figures: &Figures, now: Micros) {
        let leads = self.primary.and_then(|primary| self.servers.get(&primary)).map(Evidence::leads);
        if leads == Some(false) {
            self.turn(now, Phase::Electing);
        } else if self.phase == Phase::Announced {
            self.turn(now, Phase::Steady);
        } else {
            self.pace = Pace::begin(now, figures.gap, figures.gateways);
            self.turn(now, Phase::Releasing);
        }
    }

    /// A write has ended: the last one that was out lets a planned change go on.
    fn drained(&mut self, now: Micros) {
        if self.phase == Phase::Draining && self.out.is_empty() {
            self.turn(now, Phase::Electing);
        }
    }

    /// Phases that end by time.
    fn time_passes(&mut self, figures: &Figures, now: Micros) {
        let lasted = now.saturating_sub(self.since);
        match (self.phase, &self.plan) {
            (Phase::InDoubt, _) => self.decide(figures, now),
            (Phase::Announced, Some(plan)) => {
                let position = self.servers.get(&plan.target).map_or(0, |evidence| evidence.position);
                if position + figures.caught_up >= now || position >= self.commit && position > 0 {
                    self.turn(now, Phase::Draining);
                    self.drained(now);
                } else if lasted >= figures.announce_for {
                    // The target does not catch up.
                    self.plan = None;
                    self.turn(now, Phase::Steady);
                }
            }
            // What is still out goes on as it may; the change does not wait for it any longer.
            (Phase::Draining, _) if lasted >= figures.drain_for => self.turn(now, Phase::Electing),
            (Phase::Electing, Some(plan)) if now >= plan.began + figures.switch_for => {
                self.plan = None;
                self.back(figures, now);
            }
            _ => {}
        }
    }

    /// Releases as many as the pace allows, those with the least time left first.
    fn release(
        &mut self,
        figures: &Figures,
        rng: &mut Rng,
        now: Micros,
        bytes: &mut usize,
        released: &mut Vec<u64>,
    ) {
        if self.paused {
            return;
        }
        if self.held.is_empty() {
            return self.released(now);
        }
        let mut sessions: BTreeSet<usize> = self.out.values().filter_map(|out| out.session).collect();
        loop {
            let may = match self.phase {
                phase if phase.open() => true,
                // One at a time is on its way through the router: what finds no room there is throttled.
                Phase::Releasing => self.pace.may(now) && self.out.values().all(|out| out.server.is_some()),
                phase if phase.seeking() => self.scout.is_none() && self.scouts(figures, now),
                _ => false,
            };
            let free = |write: &Write| write.session.is_none_or(|session| !sessions.contains(&session));
            let Some(id) = self.held.next(free).filter(|_| may) else { break };
            let Some(write) = self.held.remove(id, figures.round) else { break };
            *bytes -= write.bytes;
            sessions.extend(write.session);
            self.out.insert(id, Out { server: None, since: now, session: write.session, keyed: write.keyed });
            match self.phase {
                phase if phase.seeking() => self.scout = Some(id),
                Phase::Releasing => self.pace.released(now, rng),
                _ => {}
            }
            released.push(id);
        }
        self.released(now);
    }

    /// Once nothing is held any more, a change is over.
    fn released(&mut self, now: Micros) {
        let led = matches!(self.phase, Phase::Releasing | Phase::Confirmed);
        if led && self.held.is_empty() && self.scout.is_none() {
            self.turn(now, Phase::Steady);
        }
    }

    /// Whether a write may show the way to the next primary. Where servers can be asked they are: a write would use up its
    /// dispatches on those that are gone, and in a planned change the old primary would still take it. Guards against
    /// servers that tell no role: after a while a write goes all the same.
    fn scouts(&self, figures: &Figures, now: Micros) -> bool {
        let asked = figures.look_every > 0 && now < self.began + figures.usual;
        self.phase == Phase::Confirmed || !asked && (self.plan.is_none() || figures.look_every == 0)
    }

    /// Since when the oldest write is out at a primary that was not heard since. Guards against a primary that hangs while
    /// there is so little traffic that nothing else tells.
    fn suspect(&self) -> Option<Micros> {
        let (_, out) = self.out.first_key_value()?;
        let server = out.server.filter(|server| self.primary == Some(*server))?;
        (self.servers.get(&server)?.heard_at <= out.since).then_some(out.since)
    }

    /// Servers to ask how they stand: while a primary is sought or two claim to be it, and while a target catches up. Guards
    /// there against a gateway whose clients send nothing to the shard: it would never know how far the target is, and all
    /// gateways would wait for it.
    fn looks(&mut self, figures: &Figures, now: Micros, looks: &mut Vec<usize>) {
        if figures.look_every == 0 {
            return;
        }
        let calm = self.phase == Phase::Steady || self.phase == Phase::Releasing;
        if calm && self.suspect().is_none_or(|since| now < since + figures.suspect_after) {
            return;
        }
        let every = if calm { figures.suspect_after } else { figures.look_every };
        for (server, evidence) in &mut self.servers {
            if evidence.looked + every <= now {
                evidence.looked = now;
                looks.push(*server);
            }
        }
    }

    /// When something may be due here next.
    fn next(&self, figures: &Figures, now: Micros) -> Micros {
        let mut at = now + WAIT_MOST;
        if let Some(deadline) = self.held.first_deadline() {
            at = at.min(deadline);
        }
        match self.phase {
            Phase::Releasing if !self.held.is_empty() => at = at.min(self.pace.next()),
            Phase::Announced => at = at.min(self.since + figures.announce_for).min(now + figures.round),
            Phase::Draining => at = at.min(self.since + figures.drain_for),
            _ => {}
        }
        if let Some(since) = self.suspect().filter(|_| figures.look_every > 0) {
            at = at.min((since + figures.suspect_after).max(now + figures.look_every));
        }
        if !self.phase.open() && self.phase != Phase::Releasing && figures.look_every > 0 {
            let next = self.servers.values().map(|evidence| evidence.looked + figures.look_every).min();
            at = at.min(next.unwrap_or(at));
        }
        at.max(now + 1)
    }
}
