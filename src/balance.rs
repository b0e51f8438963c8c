//! Where each command of a replicated store goes: all of tansyjunction's decisions.
//!
//! The module is asked, as a client library is, through three calls: [`Router::place`] (where to send this
//! command: dispatch, not yet, never), [`Router::after`] (what to do after this outcome) and [`Router::wait`]
//! (how long until the next question, and which probes are due). Notices return nothing: [`Router::listed`],
//! [`Router::probed`], [`Router::told`] and [`Router::client_gone`]. The types are in `interface.rs`. The
//! caller keeps the timers and the commands with their dispatch history and decides nothing.
//!
//! The ordinary path is the design's (`docs/design.md`). Six mechanisms stand beside it:
//!
//! 1. Wellness: a member that is silent, refuses, or fails much of what it gets does not qualify.
//! 2. Crowding: a member whose commands wait long does not qualify in its zone while another waits less;
//!    long reads gather where data is old already, so that they don't crowd out the log elsewhere.
//! 3. Copies: a read that outlasts its patience, or a write that seems lost, gets another out of a budget.
//! 4. Room: a member gets as many commands at once as it answers in time, and none beyond the queue that it
//!    told when asked; the rest is held, then throttled. Many routers turn part of a late group's away.
//! 5. Warming: a cold member gets the part of an average one's commands that its warmth allows, by lot.
//! 6. Search: without a well primary, writes and faster probes look for the next one.

mod lacks;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use crate::chance::Chance;
use crate::decaying::Decaying;
use crate::interface::*;
use crate::state::*;

const MILLI: Micros = 1_000;
const SECOND: Micros = 1_000_000;

// --- The design's figures ---
/// Acceptable latency above the lowest average ping (the source's default).
const LATENCY_WINDOW: f64 = 15.0 * MILLI as f64;
/// Part of each new round trip in the average ping (the design's start).
const PING_WEIGHT: f64 = 0.2;
/// Between probes of one member while its group is in use (the design's start).
const PROBE_EVERY: Micros = SECOND;
/// Members that a failed read tries (the source's figure).
const READ_TRIES: usize = 3;
/// Before a write is tried again on members that all missed: a fraction of the shortest election seen.
const ROUND_WAIT: Micros = 250 * MILLI;

// --- Evidence ---
/// Probes as a part of a group's commands, and the longest pause: hundreds of thin routers must not outdo it.
const PROBE_SHARE: f64 = 0.2;
const PROBE_MOST: Micros = 60 * SECOND;
/// Between probes of a member that is down: a few of them see out a usual restart.
const PROBE_DOWN: Micros = 4 * SECOND;
/// Over which time lost probes are held against all: a few periods.
const PROBES_HALF_LIFE: Micros = 10 * SECOND;
/// How old a listed role may be: lists run seconds late, and fresher evidence must not lose to them.
const LIST_LAG: Micros = 5 * SECOND;
/// How old a report may be: its refresh and its way, a few tenths of a second.
const REPORT_AGE: Micros = 300 * MILLI;
/// How much faster than the clock a replica may catch up: its apply thread is rarely under half busy.
const CATCH_UP: Micros = 2;
/// A group without commands for so long is no longer probed: several sessions' pauses.
const GROUP_IDLE: Micros = 10 * SECOND;
/// Between probes while a command waits for a primary, a part of an election; how long one question counts.
const SEARCH_EVERY: Micros = 400 * MILLI;
const SEARCH_FOR: Micros = 50 * MILLI;

// --- Wellness ---
/// Failures count half as much after this long: a few probes' time, so that a mended member soon returns.
const FAIL_HALF_LIFE: Micros = 3 * SECOND;
/// Share of failures above which a member does not qualify: more often wrong than right.
const FAIL_SHARE: f64 = 0.5;
/// After a failed connection others are preferred for so long; without one, it is tried after a few trips.
const SHUT_FOR: Micros = 2 * SECOND;
const SHUT_RETRY: Micros = 30 * MILLI;
/// Silence and patience: this many times the mean time of the command's kind; few good answers exceed it.
const PATIENCE: f64 = 3.0;
/// Patience as parts of the response target: below, tries are cheap to wait for; above, none is left in time.
const PATIENCE_LEAST: f64 = 0.25;
const PATIENCE_MOST: f64 = 0.6;

// --- Crowding ---
/// Part of each answer's waiting in a member's average: about the last ten answers count.
const WAIT_WEIGHT: f64 = 0.1;
/// An average without news halves in this time, so that an avoided member is tried again.
const WAIT_HALF_LIFE: Micros = 10 * SECOND;
/// Part of the response target that a member's waiting may take before its zone is left for another.
const CROWDED: f64 = 0.25;
/// A read of any data is long at so many times the shortest bounded read: beyond what differs by chance.
const LONG: f64 = 3.0;
/// First guess of the usual time, as a part of the response target.
const USUAL_PART: f64 = 0.2;
/// How fast the usual times of a command group follow new ones: over some fifty answers.
const USUAL_WEIGHT: f64 = 0.02;
/// So many answers' weight has the first guess of a usual time: one slow answer must not overturn it.
const USUAL_SEEN: f64 = 3.0;

// --- Copies ---
/// Further dispatches of reads as a part of first ones: enough for failures, too little for a storm.
const COPY_SHARE: f64 = 0.1;
/// Further dispatches allowed at any time, for all routers and one: hundreds must not copy each late read.
const COPY_LEAST: f64 = 10.0;
const COPY_LEAST_MOST: f64 = 3.0;
/// Over which time further and first dispatches are compared: longer than a burst of failures.
const COPY_HALF_LIFE: Micros = 5 * SECOND;

// --- Room ---
/// Room to start with, for all routers and for one: hundreds that turn to a new primary must not swamp it.
const ROOM_START: f64 = 20.0;
const ROOM_START_MOST: f64 = 6.0;
/// Room never falls below this. Under one, a command is followed by a pause: many routers share a member.
const ROOM_LEAST: f64 = 0.2;
/// Part of the response target spent waiting at a member that shrinks its room.
const ROOM_WAIT: f64 = 0.3;
/// So many commands at once hardly queue: what is slow then is a slow member, and less room won't mend it.
const ROOM_FEW: f64 = 2.0;
/// Parts of the room that a late answer takes and another adds while it is used: settles at a third late.
const ROOM_SHRINK: f64 = 0.15;
const ROOM_GROW: f64 = 0.075;
/// Parts of a group's reads that one late answer turns away and a prompt one lets in: a thin router has few.
const SHED_LATE: f64 = 0.225;
const SHED_PROMPT: f64 = 0.15;
/// Above so many commands the steps stay as they are: a roomful of answers must not swing it.
const ROOM_SMALL: f64 = 4.0;
/// A report of the queue tells of a member for so long: it is part of a second old when it comes.
const QUEUE_TELLS: Micros = 500 * MILLI;
/// First guesses of what a told queue and each command in it mean for the waiting, in shortest response
/// targets, and how fast they follow answers, over a few: a thin router meets few queues.
const QUEUE_BASE: f64 = 0.25;
const QUEUE_STEP: f64 = 0.1;
const QUEUE_WEIGHT: f64 = 0.3;
/// Share of late or lost commands from which members are asked first, over a thin router's few outcomes.
const DOUBT: f64 = 0.2;
const DOUBT_HALF_LIFE: Micros = 20 * SECOND;
/// Part of the response target that the waiting and the answer must stay within where a queue was told.
const IN_TIME: f64 = 0.75;
/// Part of the response target for which a command may be held for want of room before it is throttled.
const HELD_MOST: f64 = 0.25;
/// Part of the client's time to reach a member where several are out of reach; in the rest it may try again.
const UNSENT_MOST: f64 = 0.45;
/// Part of a primary's room that reads may fill: writes have nowhere else to go.
const READ_ROOM: f64 = 0.5;
/// Between questions about a held command: a few rounds of the caller, and half of what it has waited.
const HELD_POLL: Micros = 10 * MILLI;
/// The advice to a throttled client, as a part of the response target.
const COME_BACK: f64 = 0.5;

// --- Warming ---
/// Over which time a member's usual work is measured: longer than a restart takes to be forgotten.
const WORK_HALF_LIFE: Micros = 20 * SECOND;
/// Part of what the rule on cold servers allows that is used: the rest covers chance.
const WARMING_SHARE: f64 = 0.9;
/// Part of it that a router may send in one go: what follows within the rule's window comes on top.
const WARMING_BURST: f64 = 0.6;
/// Part of its share for one of which a queue is known.
const WARMING_QUEUED: f64 = 2.0 / 3.0;
/// How long writes are taken to have been held for a new primary: a usual election.
const HELD_BEFORE: Micros = 2 * SECOND;
/// The share shrinks once less than this part of what is asked is answered: some tries again are in any day.
const KNOWN_SLACK: f64 = 0.75;
/// So many commands' weight has the guess that all is answered and groups are alike, at the start.
const KNOWN_LEAST: f64 = 10.0;
/// Lots differ by so little, finer than any share matters; an odd number that spreads them (golden ratio).
const LOTS: usize = 1 << 20;
const LOT_SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

impl Kind {
    /// What one command counts as work. Guards against taking waiting in queues for work.
    fn work(&self) -> f64 {
        self.mean.min(self.response_target as f64 * USUAL_PART)
    }

    /// The once-only rule, with what may have run before, and the window of keyed commands: the group drops
    /// the repeat; where that holds for one zone alone, none is sent.
    fn may_repeat<'a>(&self, now: Micros, ran: impl Iterator<Item = &'a Dispatch>) -> bool {
        match (self.effect, ran.map(|d| d.written.unwrap_or(d.sent)).min()) {
            (_, None) | (Effect::Replayable, _) => true,
            (Effect::Mutating, Some(_)) => false,
            (Effect::Keyed, Some(first)) => now < first + self.repeat_within && !self.scope_zone,
        }
    }
}

impl Member {
    fn shrink(&mut self) {
        self.room = (self.room - ROOM_SHRINK * self.room.min(ROOM_SMALL)).max(ROOM_LEAST);
    }

    fn average_waiting(&self, now: Micros) -> f64 {
        self.waiting * (-(now.saturating_sub(self.waiting_at) as f64) / WAIT_HALF_LIFE as f64).exp2()
    }

    /// The queue that it told of late.
    fn told_queue(&self, now: Micros, of_late: Micros) -> Option<f64> {
        self.queue_told.filter(|at| *at <= now && now <= *at + of_late).map(|_| self.queue)
    }

    /// A connection to it failed or broke. Guards against shutting a member for those that idled too long or
    /// fell silent alone: only one refused since its last answer tells, as that of a dead one soon is.
    fn refused(&mut self, now: Micros, sent: Micros, ending: Ending) {
        self.failures.add(now, FAIL_HALF_LIFE, 1.0);
        if ending == Ending::Unconnected && self.answered_at <= sent {
            self.shut = Some(now);
        }
    }

    /// It sent back a read that needed no more than `bound` and has not reported progress since.
    fn fell_short(&self, now: Micros, bound: Micros) -> bool {
        self.short_of.is_some_and(|(at_most, at)| at_most + now.saturating_sub(at) <= bound)
    }
}

/// The dispatches that may have had an effect; one that is out counts.
fn maybe_ran(held: &Held) -> impl Iterator<Item = &Dispatch> {
    held.dispatches.iter().filter(|d| d.ended.is_none_or(|e| !e.never_ran()))
}

/// Dispatches that failed; a miss only told that the member does not qualify.
fn failed(held: &Held) -> usize {
    held.dispatches.iter().filter(|d| d.ended.is_some_and(|e| e != Ending::Missed)).count()
}

/// One gateway's router. A clone goes on from the same state by itself.
#[derive(Clone, Default)]
pub struct Router {
    named: Arc<Named>,
    chance: Chance,
    zone: usize,
    kinds: Vec<Kind>,
    members: BTreeMap<usize, Member>,
    groups: BTreeMap<usize, Group>,
    /// A session's member, with the command group and the age of its group when it was tied.
    ties: BTreeMap<usize, (usize, usize, u64)>,
    /// Commit of a session's last write, where the router has to remember it.
    written: BTreeMap<usize, Micros>,
    watch_due: Option<Micros>,
    /// Members to ask for their queue now.
    asked: Vec<usize>,
    seen: Seen,
}

impl Router {
    pub fn new(named: Named, seed: u64) -> Result<Self, String> {
        let mut router = Router { chance: Chance::new(seed), named: Arc::new(named), ..Router::default() };
        router.zone = router.number("zone", 0.0) as usize;
        router.watch_due = (router.text("list_mode") == "ask").then_some(0);
        let count = router.number("command_groups", 0.0) as usize;
        if count == 0 {
            return Err("setting 'command_groups' names no command group".into());
        }
        router.kinds = (0..count).map(|k| router.kind(k)).collect::<Result<_, _>>()?;
        let shortest = router.kinds.iter().map(|kind| kind.response_target).min().unwrap_or(0) as f64;
        (router.seen.queue_base, router.seen.queue_step) = (shortest * QUEUE_BASE, shortest * QUEUE_STEP);
        Ok(router)
    }

    fn kind(&self, k: usize) -> Result<Kind, String> {
        let name = |part: &str| format!("command_group.{k}.{part}");
        let positive = |part: &str| match self.number(&name(part), 0.0) {
            n if n >= 1.0 => Ok(n as Micros),
            n => Err(format!("setting '{}' is {n}, not a time above zero", name(part))),
        };
        let bound = self.number(&name("bound"), 0.0);
        if bound < 0.0 {
            return Err(format!("setting '{}' is below zero", name("bound")));
        }
        let response_target = positive("response_target")?;
        positive("client_timeout")?;
        // A need or effect that is not known here is treated as the strictest one.
        let need = match self.text(&name("need")) {
            "any" => Need::Any,
            "bounded" => Need::Bounded(bound as Micros),
            "session" => Need::Session,
            "fresh" => Need::Fresh,
            _ => Need::Write,
        };
        let effect = match self.text(&name("effect")) {
            "replayable" => Effect::Replayable,
            "keyed" => Effect::Keyed,
            _ => Effect::Mutating,
        };
        let scope = self.text(&name("scope"));
        Ok(Kind {
            need,
            effect,
            scope_all: scope == "all",
            scope_zone: scope == "zone",
            repeat_within: if effect == Effect::Keyed { positive("repeat_within")? } else { 0 },
            response_target,
            late_benefit: self.number(&name("late_benefit"), 0.0),
            prompt: response_target as f64 / 10.0,
            mean: response_target as f64 * USUAL_PART,
            seen: 0.0,
            firsts: Decaying::default(),
            copies: Decaying::default(),
        })
    }

    /// Prescribes the next draws, or with None leaves them to the seed; returns what was prescribed before.
    pub fn picks(&mut self, picks: Option<Picks>) -> Option<Picks> {
        std::mem::replace(&mut self.chance.picks, picks)
    }

    /// Marks of what answers depend on beside settings and chance: routers with the same marks answer alike.
    pub fn digest(&self, into: &mut impl Hasher) {
        (&self.members, &self.groups, &self.ties, &self.written).hash(into);
        (&self.kinds, self.watch_due, &self.asked, &self.seen).hash(into);
    }

    fn number(&self, name: &str, default: f64) -> f64 {
        if let Some(Value::Number(n)) = self.named.get(name) { *n } else { default }
    }

    fn text(&self, name: &str) -> &str {
        if let Some(Value::Text(text)) = self.named.get(name) { text } else { "" }
    }

    fn flag(&self, name: &str, default: bool) -> bool {
        if let Some(Value::Flag(flag)) = self.named.get(name) { *flag } else { default }
    }

    /// The server list, or changes to it; a whole list drops what it leaves out. None: the call failed.
    pub fn listed(&mut self, now: Micros, entries: Option<&[Listed]>, whole: bool) {
        let Some(entries) = entries else {
            self.watch_due = Some(now + SECOND);
            return;
        };
        // Where gone is advice only, a list may call live servers gone, or be empty: answers tell more.
        let advice = self.flag("rules.gone_is_advice", false);
        if whole && !advice {
            for (server, member) in &mut self.members {
                member.serving &= entries.iter().any(|entry| entry.server == *server);
            }
        }
        let room = (ROOM_START / self.number("routers", 1.0)).clamp(1.0, ROOM_START_MOST);
        // Guards against hundreds of routers that probe all first: where servers check, answers tell as much.
        let thin = self.guarded() && self.number("routers", 1.0) > ROOM_START;
        for entry in entries {
            let gone = entry.standing == Standing::Gone;
            if gone && !advice {
                let known = self.members.get_mut(&entry.server);
                if let Some(member) = known.filter(|m| m.serving || !m.out.is_empty()) {
                    (member.serving, member.listed_primary) = (false, entry.primary);
                } else {
                    // It served no more, and nothing is out there: it is forgotten, and its number free.
                    self.members.remove(&entry.server);
                    for group in self.groups.values_mut() {
                        group.members.retain(|server| *server != entry.server);
                        group.primary = group.primary.filter(|server| *server != entry.server);
                    }
                    self.ties.retain(|_, tie| tie.0 != entry.server);
                }
                self.note_primary(now, entry.group);
                continue;
            }
            let group = self.groups.entry(entry.group).or_default();
            if !group.members.contains(&entry.server) {
                group.members.push(entry.server);
                group.members.sort_unstable();
            }
            let new = || Member { room, probed: thin.then_some(now), ..Member::default() };
            let member = self.members.entry(entry.server).or_insert_with(new);
            if entry.standing == Standing::Serving && entry.started != member.started {
                // A new process: what was known of the old one's health no longer tells anything.
                (member.started, member.down, member.failures) = (entry.started, false, Decaying::default());
            }
            member.serving = entry.standing == Standing::Serving || gone && member.serving;
            if !gone {
                (member.group, member.zone, member.size) = (entry.group, entry.zone, entry.size.max(0.01));
            }
            if entry.primary && !member.listed_primary {
                member.claimed = member.claimed.max(Some(now.saturating_sub(LIST_LAG)));
            }
            member.listed_primary = entry.primary;
            self.note_primary(now, entry.group);
        }
        let serving = |value: fn(&Member) -> usize| {
            let members = self.members.values().filter(|m| m.serving);
            members.map(value).collect::<BTreeSet<_>>().len().max(1) as f64
        };
        let size = self.members.values().filter(|m| m.serving).map(|m| m.size).sum();
        self.seen.fleet = Fleet { size, groups: serving(|m| m.group), zones: serving(|m| m.zone) };
    }

    /// A probe ended so after `took`.
    pub fn probed(&mut self, now: Micros, server: usize, took: Micros, end: Ending, report: Option<Report>) {
        let Some(member) = self.members.get_mut(&server) else { return };
        member.probe_out = false;
        // Guards against probes that get lost while commands are answered: where most do, they tell nothing.
        let (sent, seen) = (member.probed.unwrap_or(now), &mut self.seen);
        seen.probes.add(now, PROBES_HALF_LIFE, 1.0);
        seen.probes_lost.add(now, PROBES_HALF_LIFE, if end == Ending::TimedOut { 1.0 } else { 0.0 });
        let lost = seen.probes_lost.read(now, PROBES_HALF_LIFE);
        seen.probes_lost_most = lost > FAIL_SHARE * seen.probes.read(now, PROBES_HALF_LIFE);
        match end {
            Ending::Answered => {
                member.down = false;
                let ping = member.ping.unwrap_or(took as f64);
                member.ping = Some(ping + PING_WEIGHT * (took as f64 - ping));
            }
            Ending::Unconnected | Ending::Reset => member.refused(now, sent, end),
            // Guards against a probe that never left, brought nonsense or alone was lost taking a member out.
            Ending::Unsent | Ending::Recalled => {}
            _ => member.down = !seen.probes_lost_most && member.answered_at <= sent,
        }
        if let Some(report) = report {
            self.seen.probes_tell |= report.primary.is_some();
            self.note(now, server, report, now.saturating_sub(REPORT_AGE));
        }
    }

    /// What other routers saw of a server: weaker than all heard here. Guards against routers that learn by
    /// failures what others know. Where servers do not check, who leads by hearsay could make a read stale.
    pub fn told(&mut self, now: Micros, hearsay: &Hearsay) {
        let (guarded, probes) = (self.guarded(), self.flag("limits.probes", false));
        let Some(member) = self.members.get_mut(&hearsay.server) else { return };
        let leads = hearsay.leads.filter(|at| member.denied.is_none_or(|no| no + LIST_LAG < *at));
        member.claimed = member.claimed.max(leads.filter(|_| guarded));
        let heard = member.answered_at.max(member.placed);
        member.down |= probes && hearsay.bad.is_some_and(|at| heard < at);
        // A queue there that others met keeps more away; that they met none lets no more in.
        if hearsay.waiting > member.average_waiting(now) {
            (member.waiting, member.waiting_at) = (hearsay.waiting, now);
        }
        let group = member.group;
        self.note_primary(now, group);
    }

    /// The client of this command has gone; its dispatches still end one by one.
    pub fn client_gone(&mut self, _now: Micros, _held: &Held) {}

    /// Takes in what a server said of itself, known to hold at `as_of` where it does not tell.
    fn note(&mut self, now: Micros, server: usize, report: Report, as_of: Micros) {
        let Some(member) = self.members.get_mut(&server) else { return };
        if let Some(position) = report.position {
            // A replica that stands still tells the same position again: it is then known to fall behind.
            if position > member.position {
                (member.position, member.short_of) = (position, None);
            }
            member.placed = now;
        }
        if let Some(queue) = report.queue {
            (member.queue, member.queue_told, self.seen.queues_told) = (queue, Some(now), true);
        }
        let group = member.group;
        // Guards against a report that comes seconds late: a primary stands at the present, so it led then.
        let claim = Some(report.position.filter(|_| as_of < now).unwrap_or(as_of));
        match report.primary {
            Some(true) => member.claimed = member.claimed.max(claim),
            Some(false) => member.denied = member.denied.max(Some(as_of)),
            None => return,
        }
        self.note_primary(now, group);
    }

    /// Newest evidence first: the latest claim that was not denied since.
    fn note_primary(&mut self, now: Micros, group: usize) {
        let Some(group) = self.groups.get_mut(&group) else { return };
        let claims = group.members.iter().filter_map(|server| {
            let member = &self.members[server];
            let claim = member.claimed.filter(|at| member.denied.is_none_or(|no| no < *at));
            claim.filter(|_| member.serving).map(|at| (at, *server))
        });
        let primary = claims.max().map(|(_, server)| server);
        if primary != group.primary {
            // A change of primary clears all ties of its group.
            (group.primary, group.led) = (primary, now);
            group.age += 1;
        }
    }

    pub fn place(&mut self, now: Micros, held: &Held) -> Place {
        let cmd = &held.command;
        let Some(kind) = self.kinds.get(cmd.command_group).cloned() else {
            return Place::Never(Final::Failed);
        };
        let first = now == cmd.arrived && held.dispatches.is_empty();
        let (count, mut shed) = (if first { 1.0 } else { 0.0 }, 0.0);
        self.seen.asked.add(now, COPY_HALF_LIFE, count);
        if let Some(group) = self.groups.get_mut(&cmd.group) {
            (group.last_command, shed) = (Some(now), if first { group.shed } else { 0.0 });
            group.commands.add(now, COPY_HALF_LIFE, count);
        }
        // Guards against many routers, none with commands enough for a room to bind, that send on to a late
        // group, whatever the cause: clients that try again keep it late. It hurts if few members are late.
        if shed > 0.0 && (self.chance.below(LOTS) as f64) < shed * LOTS as f64 {
            return self.give_up(held, &kind);
        }
        let out = held.dispatches.iter().filter(|d| d.ended.is_none());
        let (out, late) = out.fold((0, 0), |(count, late), d| (count + 1, d.sent.max(late)));
        let read = !matches!(kind.need, Need::Write | Need::Fresh);
        if out > 0 {
            // What only the primary takes gets a copy once it seems lost: later dispatches were answered.
            let proved = |d: &Dispatch| self.members.get(&d.server).is_some_and(|m| m.proved > d.sent);
            let lost = late + (kind.response_target as f64 * PATIENCE_MOST) as Micros <= now
                && held.dispatches.iter().any(proved);
            let copy = (read && kind.effect == Effect::Replayable || lost && kind.effect != Effect::Mutating)
                && out == 1
                && self.flag("limits.second_copies", false)
                && now >= late + self.patience(&kind)
                && held.dispatches.len() < READ_TRIES
                && now + kind.prompt as Micros <= cmd.arrived + kind.response_target;
            if !copy || !self.may_copy(now, &kind) {
                return Place::NotYet;
            }
        }
        // A final answer must be out before the client timeout, with a round of the caller to spare.
        let left = cmd.client_timeout.saturating_sub(now);
        let ended = left <= self.number("round", 5_000.0) as Micros;
        if ended || !self.may_dispatch(now, held, &kind) {
            return if out > 0 { Place::NotYet } else { self.give_up(held, &kind) };
        }
        let waited = now.saturating_sub(cmd.arrived);
        // Guards against long reads that fill replicas and can't be answered before their clients leave.
        let hopeless = self.long(&kind) && left < self.patience(&kind).min(kind.mean as Micros);
        if out == 0 && (hopeless || kind.late_benefit <= 0.0 && waited >= kind.response_target) {
            return self.give_up(held, &kind);
        }
        let server =
            if read { self.read_target(now, held, &kind) } else { self.write_target(now, held, &kind) };
        let overdue = waited as f64 > kind.response_target as f64 * HELD_MOST;
        // Only room is missing where there is a well primary; a read may go to any member.
        let group = self.groups.get(&cmd.group);
        let primary = group.and_then(|group| group.primary);
        let room = kind.need != Need::Write || primary.is_some_and(|server| self.there(now, server));
        // Guards against many routers' writes that searched in vain and come late to one that was only slow.
        let searched = !read && held.dispatches.iter().any(|d| d.ended == Some(Ending::Missed));
        let old = searched && room && overdue && group.is_some_and(|group| group.led < cmd.arrived);
        let Some(server) = server.filter(|_| !old || self.number("routers", 1.0) <= ROOM_START) else {
            let spent = kind.need != Need::Write && failed(held) >= READ_TRIES;
            let away = |s: &&usize| self.members[*s].serving && !self.there(now, **s);
            let unsent = group.is_none_or(|group| group.members.iter().filter(away).count() > 1)
                && waited as f64 > cmd.client_timeout.saturating_sub(cmd.arrived) as f64 * UNSENT_MOST
                && held.dispatches.iter().all(|d| d.ended == Some(Ending::Unconnected));
            let over = out == 0 && (spent || overdue && room || unsent);
            return if over { self.give_up(held, &kind) } else { Place::NotYet };
        };
        // Guards against hundreds of routers that each learn too little from their own commands of a queue.
        if out == 0 && !overdue && self.doubtful(now, server, read) {
            self.asked.push(server);
            return Place::NotYet;
        }
        self.send(now, held, &kind, server, left)
    }

    /// Where members tell their queue and many commands were late, one is asked unless it told of late.
    fn doubtful(&self, now: Micros, server: usize, read: bool) -> bool {
        let member = &self.members[&server];
        let Some(group) = self.groups.get(&member.group) else { return false };
        // A few outcomes more, or one late answer would tell for as long as no other comes.
        let outcomes = group.outcomes.read(now, DOUBT_HALF_LIFE) + 2.0;
        let doubt = group.bad.read(now, DOUBT_HALF_LIFE) > DOUBT * outcomes;
        // A read that spills to its primary must not crowd out the writes there.
        let spilled = read && group.primary == Some(server);
        let tell = self.seen.queues_told && !self.seen.probes_lost_most && self.flag("limits.probes", false);
        (doubt || spilled) && tell && member.told_queue(now, QUEUE_TELLS).is_none()
    }

    /// The dispatch limit and the once-only rule.
    fn may_dispatch(&self, now: Micros, held: &Held, kind: &Kind) -> bool {
        let most = self.number("limits.max_dispatches", 1.0) as usize;
        held.dispatches.len() < most && kind.may_repeat(now, maybe_ran(held))
    }

    /// Whether a dispatch that is not written whole may go on. Guards against one that waited for its
    /// connection and comes late: to a member that drains, after its window, or for data that is too old.
    fn may_write(&self, now: Micros, held: &Held, kind: &Kind, server: usize) -> bool {
        let (cmd, others) = (&held.command, maybe_ran(held).filter(|d| d.written.is_some()));
        let leads = self.groups.get(&cmd.group).is_some_and(|group| group.primary == Some(server));
        let fresh = |bound| self.fresh(now, server, bound, false);
        let known = || kind.need != Need::Fresh && self.bound(now, cmd, kind).is_none_or(fresh);
        let serving = self.members.get(&server).is_some_and(|member| member.serving);
        serving && kind.may_repeat(now, others) && (leads || self.guarded() || known())
    }

    /// Having given up, the command is answered at once: throttled where a new try surely does no harm.
    fn give_up(&self, held: &Held, kind: &Kind) -> Place {
        let repeatable = kind.effect == Effect::Replayable || kind.effect == Effect::Keyed && kind.scope_all;
        if !repeatable && maybe_ran(held).next().is_some() {
            return Place::Never(Final::Failed);
        }
        let advice = (kind.response_target as f64 * COME_BACK).min(self.number("limits.max_come_back", 0.0));
        let come_back = if self.flag("limits.come_back", false) { advice as Micros } else { 0 };
        Place::Never(Final::Throttled { come_back })
    }

    fn send(&mut self, now: Micros, held: &Held, kind: &Kind, server: usize, left: Micros) -> Place {
        let cmd = &held.command;
        if let Some(own) = self.kinds.get_mut(cmd.command_group) {
            if held.dispatches.is_empty() {
                own.firsts.add(now, COPY_HALF_LIFE, 1.0);
            } else if held.dispatches.iter().any(|d| matches!(d.ended, None | Some(Ending::Recalled))) {
                own.copies.add(now, COPY_HALF_LIFE, 1.0);
            }
        }
        if let Some(session) = cmd.session.filter(|_| kind.need == Need::Session) {
            let age = self.groups.get(&cmd.group).map_or(0, |group| group.age);
            self.ties.insert(session, (server, cmd.command_group, age));
        }
        let window = self.fall_half_life();
        if let Some(member) = self.members.get_mut(&server) {
            member.out.push((now, cmd.command_group));
            (member.sent, member.usual) = (now, kind.mean);
            member.sent_work.add(now, window, kind.work());
        }
        Place::Dispatch { server, timeout: left }
    }

    fn patience(&self, kind: &Kind) -> Micros {
        let target = kind.response_target as f64;
        // Long reads differ much, and a hasty copy of one holds up the log on another replica.
        if self.long(kind) {
            return (target * PATIENCE_MOST) as Micros;
        }
        (kind.mean * PATIENCE).clamp(target * PATIENCE_LEAST, target * PATIENCE_MOST) as Micros
    }

    /// Guards against a kind of little traffic that spends all others' budget on copies of long reads.
    fn may_copy(&self, now: Micros, kind: &Kind) -> bool {
        let least = (COPY_LEAST / self.number("routers", 1.0)).min(COPY_LEAST_MOST);
        let firsts = kind.firsts.read(now, COPY_HALF_LIFE);
        kind.copies.read(now, COPY_HALF_LIFE) < firsts * COPY_SHARE + least
    }

    /// Writes and fresh reads: the known primary; without one, members in turn, waiting after a round.
    fn write_target(&mut self, now: Micros, held: &Held, kind: &Kind) -> Option<usize> {
        let group = self.groups.get(&held.command.group)?;
        let max = self.number("limits.max_dispatches", 1.0) as usize;
        // Where it refuses connections, the last dispatch is kept for a primary that shows up.
        let again = |s: usize| held.dispatches.len() + 1 < max && self.only_shut(now, s);
        if let Some(primary) = group.primary.filter(|s| self.there(now, *s) || again(*s)) {
            return self.has_room(now, &held.command, primary, kind, 1.0).then_some(primary);
        }
        // A member that does not check would answer a fresh read from what it has.
        if kind.need == Need::Fresh && !self.guarded() {
            return None;
        }
        self.groups.get_mut(&held.command.group)?.sought = Some(now);
        let group = &self.groups[&held.command.group];
        // The last dispatches are kept for a primary that shows up.
        if held.dispatches.len() >= (max / 2).max(1) {
            return None;
        }
        let may_lead = |server: &usize| {
            let member = &self.members[server];
            group.primary != Some(*server)
                && member.denied.is_none_or(|at| at + ROUND_WAIT <= now)
                && self.well(now, *server)
                && self.has_room(now, &held.command, *server, kind, 1.0)
        };
        let untried: Vec<usize> = group.members.iter().copied().filter(may_lead).collect();
        untried.get(self.chance.below(untried.len())).copied()
    }

    /// Where servers check themselves whether they are fresh enough for a read.
    fn guarded(&self) -> bool {
        matches!(self.text("guards"), "wait" | "refuse")
    }

    /// The data a read needs, as a position; None: any will do.
    fn bound(&self, now: Micros, cmd: &Command, kind: &Kind) -> Option<Micros> {
        match kind.need {
            Need::Bounded(bound) => Some(now.saturating_sub(bound)),
            Need::Session if self.text("session_marks") == "carried" => {
                cmd.written_ago.filter(|ago| *ago > 0).map(|ago| cmd.arrived.saturating_sub(ago))
            }
            Need::Session => cmd.session.and_then(|session| self.written.get(&session).copied()),
            _ => None,
        }
    }

    fn read_target(&mut self, now: Micros, held: &Held, kind: &Kind) -> Option<usize> {
        let cmd = &held.command;
        let group = self.groups.get(&cmd.group)?;
        let waited = now.saturating_sub(cmd.arrived);
        // A new router waits for the first probe answers, up to the response target.
        let heard = |m: &Member| m.ping.is_some() || m.probed.is_some() && !m.probe_out;
        let unheard = !group.members.iter().any(|server| heard(&self.members[server]));
        let expected = self.flag("limits.probes", false) && unheard && waited < kind.response_target;
        if expected || failed(held) >= READ_TRIES {
            return None;
        }
        let tried = |server: usize| held.dispatches.iter().any(|d| d.server == server);
        let guarded = self.guarded();
        let bound = self.bound(now, cmd, kind);
        let usable = |server: &usize| !tried(*server) && self.well(now, *server);
        let replicas: Vec<usize> =
            group.members.iter().copied().filter(|s| group.primary != Some(*s)).filter(usable).collect();
        let fresh = |s: &usize| bound.is_none_or(|b| self.fresh(now, *s, b, guarded));
        let fresh: Vec<usize> = replicas.iter().copied().filter(fresh).collect();
        let room = |s: &usize| self.has_room(now, cmd, *s, kind, 1.0);
        let tie = cmd.session.and_then(|session| self.ties.get(&session)).copied();
        if let Some((server, command_group, age)) = tie
            && (command_group, age) == (cmd.command_group, group.age)
            && fresh.contains(&server)
            && room(&server)
        {
            return Some(server);
        }
        let (crowded, many) =
            (kind.response_target as f64 * CROWDED, self.number("routers", 1.0) > ROOM_START);
        // Guards against reads that many thin routers send on to a primary that is late with its writes.
        let primary = group.primary.filter(|s| usable(s) && self.has_room(now, cmd, *s, kind, READ_ROOM));
        let wait = |s: &usize| self.waiting(now, &self.members[s]);
        let primary = primary.filter(|s| !many || group.shed <= 0.0 && wait(s) < crowded);
        // A long read may keep its replica from applying the log: the one furthest behind with room gets it.
        if self.long(kind) {
            let spare = |s: &usize| room(s) && wait(s) < crowded;
            // The most advanced stays free for reads with a bound, if there is another. Guards against
            // routers that gather theirs elsewhere: how far behind it last said to be counts, then the list.
            let by = |member: &Member| member.placed.saturating_sub(member.position) / REPORT_AGE;
            let lag = |s: &usize| (by(&self.members[s]), Reverse(*s));
            let ahead = fresh.iter().copied().min_by_key(lag);
            let only = fresh.len() < 2;
            let behind = fresh.iter().copied().filter(|s| only || ahead != Some(*s)).filter(spare);
            let behind = behind.max_by_key(lag);
            // Guards against long reads thrown away while the primary idles; a few, as lookups need it more.
            let quiet = |s: usize| self.has_room(now, cmd, s, kind, READ_ROOM / 2.0) && spare(&s);
            // Guards against a lone replica that never applies the log, and so serves no read with a bound.
            let lead = primary.filter(|s| fresh.is_empty() || quiet(*s));
            return if only { lead.or(behind) } else { behind.or(lead) };
        }
        let roomy: Vec<usize> = fresh.iter().copied().filter(room).collect();
        if !roomy.is_empty() {
            // Where all replicas are crowded and the primary is not, none is left for the read.
            let least = roomy.iter().map(wait).fold(f64::INFINITY, f64::min);
            if let Some(primary) = primary.filter(|s| wait(s) + crowded < least) {
                return Some(primary);
            }
            return self.nearest(now, &roomy, kind);
        }
        // Guards against reads that crowd a primary since a thin router knows no replica to be fresh: where
        // servers do not check, the nearest that may be is asked, once, as its report tells where it stands.
        if let Some(bound) = bound.filter(|_| !guarded && self.seen.probes_tell && waited as f64 <= crowded) {
            let asked = replicas.iter().map(|s| &self.members[s]).find(|m| m.probed >= Some(cmd.arrived));
            let out = asked.map(|member| member.probe_out);
            let may = |s: &usize| self.fresh(now, *s, bound, true) && self.has_room(now, cmd, *s, kind, 1.0);
            let may: Vec<usize> = replicas.iter().copied().filter(|s| out.is_none() && may(s)).collect();
            let ask = self.nearest(now, &may, kind);
            self.asked.extend(ask);
            if ask.is_some() || out == Some(true) {
                return None;
            }
        }
        // No replica left: the primary; where servers check the bound, the most advanced replica first.
        if guarded && fresh.is_empty() && !held.dispatches.iter().any(|d| d.ended == Some(Ending::Missed)) {
            let hopeless = |s: &usize| bound.is_some_and(|b| self.hopeless(now, *s, b));
            let may = |s: &usize| self.has_room(now, cmd, *s, kind, 1.0) && !hopeless(s);
            let advanced = replicas.iter().copied().filter(may);
            return advanced.max_by_key(|s| (self.members[s].position, *s)).or(primary);
        }
        primary
    }

    /// A read that takes any data but so much time that reads with a bound feel it.
    fn long(&self, kind: &Kind) -> bool {
        let bounded = self.kinds.iter().filter(|k| matches!(k.need, Need::Bounded(_) | Need::Session));
        kind.need == Need::Any && kind.mean > bounded.map(|k| k.mean).fold(f64::INFINITY, f64::min) * LONG
    }

    /// Own zone first, then wider; there the members near the lowest ping, one of them at random.
    fn nearest(&mut self, now: Micros, servers: &[usize], kind: &Kind) -> Option<usize> {
        let cost = |server: &usize| {
            let member = &self.members[server];
            member.ping.unwrap_or(0.0) + self.waiting(now, member)
        };
        let crowded = kind.response_target as f64 * CROWDED;
        let own = |server: &&usize| self.members[*server].zone == self.zone;
        let lowest = servers.iter().map(cost).fold(f64::INFINITY, f64::min);
        let near: Vec<usize> =
            servers.iter().filter(own).copied().filter(|s| cost(s) < lowest + crowded).collect();
        let pool = if near.is_empty() { servers.to_vec() } else { near };
        let lowest = pool.iter().map(cost).fold(f64::INFINITY, f64::min);
        // Waiting times are noisy by about one command's work, pings are not.
        let window = LATENCY_WINDOW + kind.prompt;
        let pool: Vec<usize> = pool.into_iter().filter(|s| cost(s) <= lowest + window).collect();
        pool.get(self.chance.below(pool.len())).copied()
    }

    /// Whether a replica reaches `bound`: known to, or where it checks itself, not known to fall short.
    fn fresh(&self, now: Micros, server: usize, bound: Micros, guarded: bool) -> bool {
        let member = &self.members[&server];
        if !guarded || member.position >= bound {
            return member.position >= bound;
        }
        // Between reports it is taken to stand as far behind as it did; after a miss, no nearer than that.
        let likely = member.position + now.saturating_sub(member.placed);
        !member.fell_short(now, bound) && (member.position == 0 || likely >= bound)
    }

    /// Guards against a round trip that must miss: even catching up fast it can't have reached `bound` yet.
    fn hopeless(&self, now: Micros, server: usize, bound: Micros) -> bool {
        let member = &self.members[&server];
        let gained = now.saturating_sub(member.placed) + REPORT_AGE;
        member.position > 0 && member.position + CATCH_UP * gained < bound || member.fell_short(now, bound)
    }

    fn well(&self, now: Micros, server: usize) -> bool {
        let Some(member) = self.members.get(&server) else { return false };
        // A member that took commands and answers none is silent, whatever its probes say.
        let late = |sent: Micros, k: usize| now > sent + self.patience(&self.kinds[k]);
        let silent = member.out.iter().any(|(sent, k)| *sent > member.answered_at && late(*sent, *k));
        let failures = member.failures.read(now, FAIL_HALF_LIFE);
        let answers = member.answers.read(now, FAIL_HALF_LIFE);
        let failing = failures > FAIL_SHARE * (failures + answers + 1.0);
        let shut = member.shut.is_some_and(|at| now < at + SHUT_FOR);
        member.serving && !member.down && !silent && !failing && !shut
    }

    /// Well, or silent for its queue alone, of which it told. Guards against taking a busy one as stopped.
    fn there(&self, now: Micros, server: usize) -> bool {
        let told = |m: &Member| m.told_queue(now, 2 * QUEUE_TELLS).is_some_and(|queue| queue >= 1.0);
        self.well(now, server) || self.members.get(&server).is_some_and(|m| m.serving && told(m))
    }

    /// Not well for failed connections alone, perhaps this router's trouble: a primary is worth a try soon.
    fn only_shut(&self, now: Micros, server: usize) -> bool {
        let shut = |m: &Member| m.shut.is_some_and(|at| at + SHUT_RETRY <= now);
        self.members.get(&server).is_some_and(|m| m.serving && !m.down && shut(m))
    }

    /// The average waiting, or what the commands that are out already wait beyond the usual, if that is more.
    fn waiting(&self, now: Micros, member: &Member) -> f64 {
        let usual = |k: usize| if self.long(&self.kinds[k]) { f64::INFINITY } else { self.kinds[k].mean };
        let out = member.out.iter().map(|(sent, k)| now.saturating_sub(*sent) as f64 - usual(*k));
        out.fold(member.average_waiting(now), f64::max).max(self.queued(now, member))
    }

    /// The waiting that its latest report means; 0 without one.
    fn queued(&self, now: Micros, member: &Member) -> f64 {
        let queue = member.told_queue(now, QUEUE_TELLS).filter(|queue| *queue >= 0.5);
        queue.map_or(0.0, |queue| self.seen.queue_base + queue * self.seen.queue_step)
    }

    fn has_room(&self, now: Micros, cmd: &Command, server: usize, kind: &Kind, share: f64) -> bool {
        let member = &self.members[&server];
        let room = member.room * share;
        let pause = (member.usual * (1.0 / room - 1.0).max(0.0)) as Micros;
        let open = (member.out.len() as f64) < room.max(1.0) && now >= member.sent + pause;
        let queued = self.queued(now, member);
        let in_time = queued <= 0.0 || queued + kind.prompt < kind.response_target as f64 * IN_TIME;
        open && in_time && self.warm_enough(now, cmd, server, kind)
    }

    /// A cold member gets of an average one's share what its warmth allows, by a lot for each command: guards
    /// against hundreds of thin or new routers that starve it, or each think one command harmless.
    fn warm_enough(&self, now: Micros, cmd: &Command, server: usize, kind: &Kind) -> bool {
        let member = &self.members[&server];
        let part = self.cold_part(now, member);
        if part >= 1.0 {
            return true;
        }
        let allowed = self.number("rules.fall_multiple", 1.0) * part;
        let warmth = allowed * WARMING_SHARE;
        // One without a queue bears more than it gets. Guards against a cold member that starves since many
        // routers have had no answer of it: a queue tells against it, and not that nothing is known.
        let quiet = self.waiting(now, member) < kind.response_target as f64 * CROWDED / 2.0;
        // One long read may take as much as all else together.
        if self.long(kind) && (warmth < 1.0 || !quiet || member.started >= Some(member.proved)) {
            return false;
        }
        let (fleet, group) = (&self.seen.fleet, &self.groups[&member.group]);
        // What was asked beyond what was answered, or of one group beyond others, is not what a member bears.
        let [asked, here] = [&self.seen.asked, &group.commands].map(|sum| sum.read(now, COPY_HALF_LIFE));
        let coped = (self.seen.answered.read(now, COPY_HALF_LIFE) + KNOWN_LEAST) / (asked + KNOWN_LEAST);
        let even = (asked / fleet.groups + KNOWN_LEAST) / (here + KNOWN_LEAST);
        let queued = if quiet { 1.0 } else { WARMING_QUEUED };
        let window = self.number("rules.fall_for", 0.0).max(1.0);
        let held = (member.started.unwrap_or(0).max(group.led) + HELD_BEFORE).saturating_sub(now) as f64;
        let fair = if matches!(kind.need, Need::Write | Need::Fresh) {
            // What only the primary takes is what one member bears, and has nowhere else to go. Guards
            // against hundreds of routers that let go at once what each held, beside what comes anyway.
            if warmth >= 1.0 && held <= 0.0 { f64::INFINITY } else { window / (window + held) }
        } else {
            // Reads come from their zone alone as long as it has members; a primary has writes beside them.
            let near = if member.zone == self.zone { fleet.zones } else { 1.0 };
            let part = if group.primary == Some(server) { near * READ_ROOM } else { near };
            part * fleet.groups * member.size / fleet.size
        };
        let share = fair * warmth * queued * (coped * even / KNOWN_SLACK).min(1.0);
        let mut lot = Chance::new(self.lot(cmd, server));
        lot.below(LOTS);
        let drawn = (lot.below(LOTS) as f64) < share * LOTS as f64;
        // Guards against a burst of what was held, of which lots let too much through: no router sends beyond
        // its part of what it has answered by such members, or of one core for each unit of size.
        let answered = self.seen.work.rate(now, WORK_HALF_LIFE) / fleet.size;
        let rate = answered.max(1.0 / self.number("routers", 1.0)) * member.size;
        drawn && member.sent_work.read(now, self.fall_half_life()) <= allowed * WARMING_BURST * rate * window
    }

    /// A steady rate adds up over the window of the cold rule to as much as decays with this half-life.
    fn fall_half_life(&self) -> Micros {
        (self.number("rules.fall_for", 0.0) * std::f64::consts::LN_2) as Micros
    }

    /// The same for a command and a server however often it is asked about.
    fn lot(&self, cmd: &Command, server: usize) -> u64 {
        let own = self.number("router", 0.0) as u64;
        let parts = [own, cmd.session.unwrap_or(0) as u64, cmd.client_timeout, server as u64];
        parts.iter().fold(cmd.arrived, |lot, part| (lot ^ part).wrapping_mul(LOT_SPREAD))
    }

    fn cold_part(&self, now: Micros, member: &Member) -> f64 {
        let Some(started) = member.started else { return 1.0 };
        let (cold, from) = (self.number("rules.cold", 0.0), self.number("rules.cold_from", 1.0));
        let age = now.saturating_sub(started) as f64;
        if age >= cold { 1.0 } else { from + (1.0 - from) * age / cold }
    }

    pub fn after(&mut self, now: Micros, held: &Held, outcome: &Outcome) -> After {
        let Some(dispatch) = held.dispatches.get(outcome.dispatch) else { return After::Ask };
        let k = held.command.command_group;
        self.learn(now, held, dispatch, outcome);
        let commit = outcome.stated.position.filter(|_| outcome.ending == Ending::Answered);
        let write = self.kinds.get(k).is_some_and(|kind| kind.need == Need::Write);
        let stated = if write && commit.is_some() {
            if let (Some(session), Some(commit)) = (held.command.session, commit) {
                // Guards against a copy's answer, which tells an earlier commit after that of the next write.
                let last = self.written.entry(session).or_default();
                *last = commit.max(*last);
            }
            Report { position: None, ..outcome.stated }
        } else if write && outcome.ending == Ending::Missed {
            // Only the primary takes a write: a miss tells the role, whatever came along.
            Report { primary: Some(false), ..outcome.stated }
        } else {
            outcome.stated
        };
        self.note(now, dispatch.server, stated, now);
        if let Some(report) = outcome.report {
            self.note(now, dispatch.server, report, now.saturating_sub(REPORT_AGE));
        }
        let broke = matches!(outcome.ending, Ending::Reset | Ending::Unconnected);
        if let Some(session) = held.command.session.filter(|_| broke) {
            self.ties.remove(&session);
        }
        if !outcome.over {
            return After::Ask;
        }
        let out = held.dispatches.iter().enumerate().filter(|(_, d)| d.ended.is_none()).map(|(n, _)| n);
        After::Over { recall: if self.flag("limits.recalls", false) { out.collect() } else { Vec::new() } }
    }

    fn learn(&mut self, now: Micros, held: &Held, dispatch: &Dispatch, outcome: &Outcome) {
        let k = held.command.command_group;
        // What a missed read needed when it was sent, and the server lacked until it sent it back.
        let bound = self.kinds.get(k).and_then(|kind| self.bound(dispatch.sent, &held.command, kind));
        let long = self.kinds.get(k).is_some_and(|kind| self.long(kind));
        let patience = self.kinds.get(k).map_or(0, |kind| self.patience(kind));
        let routers = self.number("routers", 1.0);
        let known = (self.members.get_mut(&dispatch.server), self.kinds.get_mut(k));
        let (Some(member), Some(kind)) = known else { return };
        if let Some(place) = member.out.iter().position(|o| *o == (dispatch.sent, k)) {
            member.out.swap_remove(place);
        }
        let target = kind.response_target as f64;
        if let Some(group) = self.groups.get_mut(&member.group) {
            group.outcomes.add(now, DOUBT_HALF_LIFE, 1.0);
            let missed = outcome.ending == Ending::Missed && kind.need != Need::Write;
            let lost = matches!(outcome.ending, Ending::SentBack | Ending::TimedOut);
            let bad = missed || lost || outcome.took as f64 > target;
            group.bad.add(now, DOUBT_HALF_LIFE, if bad { 1.0 } else { 0.0 });
        }
        let lasted = matches!(outcome.ending, Ending::Answered | Ending::TimedOut) && !long;
        if let Some(queue) = member.told_queue(dispatch.sent, QUEUE_TELLS).filter(|q| lasted && *q >= 0.5) {
            let seen = &mut self.seen;
            let waited = (outcome.took as f64 - kind.prompt).max(0.0);
            let off = QUEUE_WEIGHT * (waited - seen.queue_base - queue * seen.queue_step);
            let scale = 1.0 + (queue * QUEUE_STEP).powi(2);
            seen.queue_base = (seen.queue_base + off / scale).max(0.0);
            seen.queue_step = (seen.queue_step + off * queue * QUEUE_STEP.powi(2) / scale).max(0.0);
        }
        let (mut step, slow) = (0.0, outcome.took as f64 > target * ROOM_WAIT);
        match outcome.ending {
            Ending::Answered => {
                let took = outcome.took as f64;
                let weight = if took < kind.prompt { 5.0 * USUAL_WEIGHT } else { USUAL_WEIGHT };
                kind.prompt += weight * (took - kind.prompt).clamp(-kind.prompt, kind.prompt);
                // Guards against a router with thin traffic that takes one slow answer for the usual.
                kind.seen += 1.0;
                kind.mean += (1.0 / (kind.seen + USUAL_SEEN)).max(USUAL_WEIGHT) * (took - kind.mean);
                self.seen.answered.add(now, COPY_HALF_LIFE, 1.0);
                self.seen.work.add(now, WORK_HALF_LIFE, kind.work());
                let waited = (took - kind.prompt).max(0.0);
                // Long reads differ too much in their work to tell how long others wait.
                if !long {
                    let before = member.average_waiting(now);
                    member.waiting = before + WAIT_WEIGHT * (waited - before);
                    member.waiting_at = now;
                }
                let few = (ROOM_FEW / (member.room * routers)).sqrt();
                let late = waited > target * (IN_TIME * few).clamp(ROOM_WAIT, IN_TIME);
                step = if long { 0.0 } else { [SHED_PROMPT, -SHED_LATE][usize::from(late)] };
                if late {
                    member.shrink();
                } else if member.out.len() as f64 + 1.0 >= member.room / 2.0 {
                    member.room += ROOM_GROW * member.room.min(ROOM_SMALL);
                }
                member.answers.add(now, FAIL_HALF_LIFE, 1.0);
                (member.answered_at, member.down) = (now, false);
                member.proved = member.proved.max(dispatch.sent);
            }
            Ending::Missed => {
                (member.answered_at, member.down) = (now, false);
                member.short_of = bound.map(|bound| (bound, now)).or(member.short_of);
            }
            Ending::SentBack => {
                (member.answered_at, step) = (now, -SHED_LATE);
                member.shrink();
            }
            Ending::Errored => {
                member.answered_at = now;
                // Guards against commands that fail anywhere and are no member's fault: the first error
                // counts against its member until another member errs on the same command.
                let erred = |d: &&Dispatch| d.ended == Some(Ending::Errored) && d.server != dispatch.server;
                let mut others = held.dispatches.iter().filter(erred);
                match (others.next(), others.next()) {
                    (None, _) => member.failures.add(now, FAIL_HALF_LIFE, 1.0),
                    (Some(first), None) => {
                        if let Some(member) = self.members.get_mut(&first.server) {
                            member.failures.add(now, FAIL_HALF_LIFE, -1.0);
                        }
                    }
                    _ => {}
                }
            }
            // Guards against many thin routers that take a client that left early for a member that is down.
            Ending::TimedOut if outcome.took < patience && routers > ROOM_START => {}
            Ending::TimedOut if member.answered_at < dispatch.sent => {
                // Nothing came since it was sent: as good as down until a probe or an answer says otherwise.
                member.failures.add(now, FAIL_HALF_LIFE, 1.0);
                member.down = true;
            }
            Ending::Unconnected | Ending::Reset => member.refused(now, dispatch.sent, outcome.ending),
            // Guards against taking lost answers for a queue: where later ones were answered, room stays.
            Ending::TimedOut | Ending::Recalled if slow && member.proved <= dispatch.sent => member.shrink(),
            Ending::TimedOut | Ending::Recalled | Ending::Unsent => {}
        }
        if let Some(group) = self.groups.get_mut(&held.command.group).filter(|_| routers > ROOM_START) {
            group.shed = 1.0 - ((1.0 - group.shed) * (1.0 + step)).clamp(ROOM_LEAST, 1.0);
        }
    }

    /// With a command: until `place` is to be asked about it again. Without: until the next call.
    pub fn wait(&mut self, now: Micros, held: Option<&Held>) -> Wait {
        if let Some(held) = held { self.held_wait(now, held) } else { self.due(now) }
    }

    fn held_wait(&self, now: Micros, held: &Held) -> Wait {
        let cmd = &held.command;
        let round = self.number("round", 5_000.0) as Micros;
        let left = cmd.client_timeout.saturating_sub(now + round);
        let mut wait = Wait { micros: left, ..Wait::default() };
        let Some(kind) = self.kinds.get(cmd.command_group) else { return wait };
        let out = held.dispatches.iter().enumerate().filter(|(_, d)| d.ended.is_none());
        let no_more = |d: &Dispatch| left == 0 || !self.may_write(now, held, kind, d.server);
        let unsent = out.clone().filter(|(_, d)| d.written.is_none() && no_more(d)).map(|(n, _)| n);
        wait.recall.extend(unsent);
        let Some((last, sent)) = out.map(|(n, d)| (n, d.sent)).max() else {
            wait.micros = (now.saturating_sub(cmd.arrived) / 2).clamp(HELD_POLL, SEARCH_FOR / 2).min(left);
            return wait;
        };
        let patience = self.patience(kind);
        // Guards against a host that is kept busy asking in the last moments before the client timeout.
        let later = patience.min(left).max(round);
        wait.micros = if now < sent + patience { sent + patience - now } else { later };
        // Where no second copy may run, a read at a member that fell silent is called off for another try.
        let alone = !self.flag("limits.second_copies", false) && self.flag("limits.recalls", false);
        let read = kind.effect == Effect::Replayable && kind.need != Need::Write;
        let again = held.dispatches.len() < READ_TRIES && self.may_copy(now, kind);
        if alone && read && again && now >= sent + patience && !self.there(now, held.dispatches[last].server)
        {
            wait.recall.push(last);
        }
        wait
    }

    fn due(&mut self, now: Micros) -> Wait {
        let mut wait = Wait { micros: SECOND, ..Wait::default() };
        wait.watch = self.watch_due.is_some_and(|due| due <= now);
        self.watch_due = self.watch_due.filter(|due| *due > now);
        if !self.flag("limits.probes", false) {
            return wait;
        }
        for server in std::mem::take(&mut self.asked) {
            let Some(member) = self.members.get_mut(&server).filter(|m| !m.probe_out) else { continue };
            (member.probed, member.probe_out) = (Some(now), true);
            wait.probes.push(server);
        }
        for group in self.groups.values() {
            if group.last_command.is_none_or(|at| at + GROUP_IDLE < now) {
                continue;
            }
            // Guards against a search by probes that tell no role: they may cost as much as the commands.
            let sought = self.seen.probes_tell && group.sought.is_some_and(|at| now <= at + SEARCH_FOR);
            // Guards against routers with little traffic that cost more in probes than in commands.
            let commands = group.commands.rate(now, COPY_HALF_LIFE);
            let least = if self.seen.probes_lost_most { PROBE_MOST } else { PROBE_EVERY };
            let paced = group.members.len() as f64 / (PROBE_SHARE * commands);
            let paced = (paced as Micros).clamp(least, PROBE_MOST);
            for server in &group.members {
                let member = self.members.get_mut(server).filter(|m| m.serving && !m.probe_out);
                let Some(member) = member else { continue };
                let every = if sought { SEARCH_EVERY } else { paced };
                let every = every.min(if member.down { PROBE_DOWN } else { PROBE_MOST });
                let next = member.probed.map_or(now, |at| at + every);
                if next <= now {
                    (member.probed, member.probe_out) = (Some(now), true);
                    wait.probes.push(*server);
                } else {
                    wait.micros = wait.micros.min(next - now);
                }
            }
        }
        wait
    }
}
