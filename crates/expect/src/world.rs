//! One world in virtual time: servers as they truly stand, a router that learns of them through its calls alone, and
//! the commands in its hands. Worlds are forked at every dispatch; what is large in them is shared between forks.

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use imbl::{OrdMap, Vector};
use rustc_hash::FxHasher;
use tansyjunction::interface::*;

use crate::steer::Steer;
use crate::subject::{Guards, Need, Subject};
use crate::truth::{CALM_LAG, Claim, Condition, Happens, Truth};

/// When worlds begin: late enough that nothing lies before the clock's start.
pub const BEGIN: Micros = 1_000_000_000_000;
/// How long before the first command the router was started and has probed.
pub const WARMED: Micros = 10_000;
/// Round trips within a zone and between zones, as figures of any plausible size.
const NEAR: Micros = 500;
const FAR: Micros = 1_000;
/// The work of a command, as a part of its response target.
const WORK: Micros = 10;
/// A slow answer comes after this part of the response target: beyond any patience for it.
const SLOW: f64 = 0.7;
/// A host that was asked so often without an end is kept busy for ever.
const CALLS_MOST: u64 = 20_000;

/// Something of the world that changes by itself.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The list tells anew how this server stands.
    Told {
        server: usize,
        standing: ServerState,
        primary: bool,
        started: Option<Micros>,
    },
    /// This server becomes its shard's primary.
    Primary(usize),
    Condition(usize, Condition),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
enum Due {
    Arrives(usize),
    Ask(usize),
    Ends { command: usize, dispatch: usize, happens: Happens },
    Probe { server: usize, happens: Happens },
    Changes(usize),
    Router,
}

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Answered { server: usize },
    Throttled,
    Failed,
}

/// A command in the host's hands.
#[derive(Clone, Debug, Default)]
pub struct Hand {
    pub held: PendingCommand,
    /// The final answer and when it was given.
    pub end: Option<(Micros, End)>,
    due: Micros,
    /// How long it has been without a dispatch, at a stretch: the longest, and since when it is.
    pub idle: Micros,
    idle_since: Option<Micros>,
}

/// One line of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at: Micros,
    pub what: What,
}

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    Arrives {
        command: usize,
    },
    /// `place` was asked so many times in a row with the same answer.
    Asked {
        command: usize,
        place: Placement,
        times: usize,
    },
    Ended {
        command: usize,
        dispatch: usize,
        server: usize,
        ending: DispatchEnd,
        over: bool,
    },
    Recalled {
        command: usize,
        dispatch: usize,
    },
    Probed {
        server: usize,
        ending: DispatchEnd,
    },
    Changed(Change),
}

/// Why a world stands still.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// The command that is looked at was sent there: what becomes of it is open.
    Sent { dispatch: usize, server: usize, timeout: Micros },
    /// It has its final answer.
    Over,
    /// Its time is over, and the grace, and it has none.
    Late,
    /// The router was asked without end.
    Endless,
}

/// A command that comes to the gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Coming {
    /// After the world's beginning, in microseconds.
    pub after: Micros,
    pub command_group: usize,
    pub shard: usize,
    pub session: Option<usize>,
    pub written_ago: Option<Micros>,
}

/// How a world begins.
#[derive(Clone, Debug)]
pub struct Start {
    pub name: String,
    pub truths: Vec<Truth>,
    /// Whether the router has probed the servers.
    pub warm: bool,
    /// What changes, and when after the beginning.
    pub changes: Vec<(Micros, Change)>,
}

#[derive(Clone)]
pub struct World<S> {
    pub subject: Arc<Subject>,
    pub router: S,
    pub now: Micros,
    pub truths: Vector<Truth>,
    changes: Arc<Vec<(Micros, Change)>>,
    coming: Arc<Vec<Coming>>,
    pub hands: Vector<Hand>,
    due: OrdMap<(Micros, u32), Due>,
    serial: u32,
    pub trail: Vector<Step>,
    /// Every dispatch of any command: when, to whom, and its work.
    pub sent: Vector<(Micros, usize, Micros)>,
    /// Calls on the router so far.
    pub calls: u64,
}

impl<S: Steer> World<S> {
    /// The last of the coming commands is the one that is looked at.
    pub fn begin(subject: Arc<Subject>, router: S, start: &Start, coming: Arc<Vec<Coming>>) -> Self {
        let mut world = World {
            subject,
            router,
            now: BEGIN - WARMED,
            truths: start.truths.iter().copied().collect(),
            changes: Arc::new(start.changes.clone()),
            coming: coming.clone(),
            hands: coming.iter().map(|_| Hand::default()).collect(),
            due: OrdMap::new(),
            serial: 0,
            trail: Vector::new(),
            sent: Vector::new(),
            calls: 0,
        };
        world.list_all();
        if start.warm {
            for server in 0..world.truths.len() {
                let happens = world.truths[server].noticed.then(|| world.probe(server).0);
                let took = 2 * world.way(server);
                world.tell_probe(server, took, happens.unwrap_or(Happens::Answer));
            }
        }
        world.now = BEGIN;
        for (place, coming) in coming.iter().enumerate() {
            world.at(BEGIN + coming.after, Due::Arrives(place));
        }
        for (place, (after, _)) in start.changes.iter().enumerate() {
            world.at(BEGIN + after, Due::Changes(place));
        }
        world
    }

    /// The command that is looked at.
    pub fn last(&self) -> &Hand {
        &self.hands[self.hands.len() - 1]
    }

    fn at(&mut self, at: Micros, due: Due) {
        self.serial += 1;
        self.due.insert((at, self.serial), due);
    }

    fn note(&mut self, what: What) {
        self.trail.push_back(Step { at: self.now, what });
    }

    fn listed(&self, server: usize) -> ServerListEntry {
        let (facts, truth) = (&self.subject.servers[server], &self.truths[server]);
        ServerListEntry {
            server,
            group: facts.shard,
            zone: facts.zone,
            size: facts.size,
            state: truth.standing,
            primary: truth.listed_primary,
            started: truth.started,
        }
    }

    /// The whole list; who is gone is told as a change after it, as discovery would.
    fn list_all(&mut self) {
        let entries: Vec<ServerListEntry> =
            (0..self.truths.len()).map(|server| self.listed(server)).collect();
        let there = |entry: &&ServerListEntry| entry.state != ServerState::Gone;
        let mut whole: Vec<ServerListEntry> = entries.clone();
        for entry in whole.iter_mut().filter(|entry| entry.state == ServerState::Gone) {
            entry.state = ServerState::Serving;
        }
        self.router.listed(self.now, &whole, true);
        let gone: Vec<ServerListEntry> = entries.iter().filter(|entry| !there(entry)).cloned().collect();
        if !gone.is_empty() {
            self.router.listed(self.now, &gone, false);
        }
        self.calls += 2;
    }

    /// Half a round trip to a server.
    fn way(&self, server: usize) -> Micros {
        if self.subject.servers[server].zone == self.subject.own_zone { NEAR } else { FAR }
    }

    /// What a probe of this server would bring, and after how long.
    fn probe(&self, server: usize) -> (Happens, Micros) {
        let (trip, dial) = (2 * self.way(server), self.subject.figures.connect_within);
        match self.truths[server].condition {
            Condition::Well | Condition::Erring | Condition::Full => (Happens::Answer, trip),
            Condition::Refusing => (Happens::Unconnected, trip),
            Condition::Hung | Condition::Cut => (Happens::Silence, dial),
        }
    }

    /// What the server says of itself.
    fn report(&self, server: usize) -> Report {
        let truth = &self.truths[server];
        let primary = match truth.claim {
            Claim::Truth => Some(truth.primary),
            Claim::Primary => Some(true),
            Claim::Nothing => None,
        };
        Report { position: Some(truth.position(self.now)), primary, ..Report::default() }
    }

    fn tell_probe(&mut self, server: usize, took: Micros, happens: Happens) {
        let ending = happens.ending();
        let report = (ending == DispatchEnd::Answered).then(|| self.report(server));
        if report.is_some_and(|report| report.primary == Some(false)) {
            self.truths[server].told_replica = true;
        }
        self.router.probed(self.now, server, took, ending, report);
        self.calls += 1;
    }

    /// Goes on until the command that is looked at was sent somewhere, or is over.
    pub fn run(&mut self) -> Stop {
        let last = self.hands.len() - 1;
        loop {
            if self.hands[last].end.is_some() {
                return Stop::Over;
            }
            if self.calls > CALLS_MOST {
                return Stop::Endless;
            }
            let Some(((at, serial), due)) = self.due.get_min().map(|(at, due)| (*at, *due)) else {
                return Stop::Late;
            };
            let command = &self.hands[last].held.command;
            if command.arrived > 0 && at > command.client_timeout + self.subject.figures.answer_grace {
                return Stop::Late;
            }
            self.due.remove(&(at, serial));
            self.now = self.now.max(at);
            if let Some(stop) = self.fell_due(at, due) {
                return stop;
            }
        }
    }

    fn fell_due(&mut self, at: Micros, due: Due) -> Option<Stop> {
        match due {
            Due::Arrives(place) => {
                let coming = &self.coming[place];
                let (command_group, session) = (coming.command_group, coming.session);
                let timeout = self.subject.command_groups[command_group].client_timeout;
                let command = Command {
                    command_group,
                    group: coming.shard,
                    session,
                    arrived: self.now,
                    client_timeout: self.now + timeout,
                    last_write_age: coming.written_ago.filter(|_| self.subject.figures.carried),
                    customer: None,
                };
                let held = PendingCommand { command, dispatches: Vec::new() };
                self.hands[place] = Hand { held, idle_since: Some(self.now), ..Hand::default() };
                self.note(What::Arrives { command: place });
                // The host looks at what the router has due after each batch of events.
                self.at(self.now, Due::Router);
                self.ask(place)
            }
            Due::Ask(place) => {
                let hand = &self.hands[place];
                if hand.due != at || hand.end.is_some() { None } else { self.ask(place) }
            }
            Due::Ends { command, dispatch, happens } => self.ends(command, dispatch, happens.ending()),
            Due::Probe { server, happens } => {
                let took = self.probe(server).1;
                self.tell_probe(server, took, happens);
                if happens != Happens::Answer {
                    self.note(What::Probed { server, ending: happens.ending() });
                }
                self.at(self.now, Due::Router);
                None
            }
            Due::Changes(place) => {
                let change = self.changes[place].1.clone();
                self.change(change);
                self.at(self.now, Due::Router);
                None
            }
            Due::Router => {
                let wait = self.router.wait(self.now, None);
                self.calls += 1;
                for server in wait.probes {
                    let (happens, after) = self.probe(server);
                    self.at(self.now + after, Due::Probe { server, happens });
                }
                self.at(self.now + wait.after.max(1), Due::Router);
                // One such question at a time will do: earlier ones that are still to come are void.
                let later: Vec<(Micros, u32)> = self.routers_due();
                for key in later.into_iter().skip(1) {
                    self.due.remove(&key);
                }
                None
            }
        }
    }

    fn routers_due(&self) -> Vec<(Micros, u32)> {
        self.due.iter().filter(|(_, due)| **due == Due::Router).map(|(key, _)| *key).collect()
    }

    fn change(&mut self, change: Change) {
        match &change {
            Change::Told { server, standing, primary, started } => {
                let truth = &mut self.truths[*server];
                if truth.standing != *standing {
                    (truth.standing, truth.told_at) = (*standing, self.now);
                }
                (truth.listed_primary, truth.started) = (*primary, *started);
                let entry = self.listed(*server);
                self.router.listed(self.now, &[entry], false);
                self.calls += 1;
            }
            Change::Primary(server) => self.crown(*server),
            Change::Condition(server, condition) => self.truths[*server].condition = *condition,
        }
        self.note(What::Changed(change));
    }

    fn crown(&mut self, server: usize) {
        let shard = self.subject.servers[server].shard;
        let members: Vec<usize> = self.subject.members(shard).collect();
        for member in members {
            let truth = &mut self.truths[member];
            if truth.primary && member != server {
                (truth.primary, truth.was_primary, truth.lag) = (false, true, CALM_LAG);
            }
        }
        (self.truths[server].primary, self.truths[server].lag) = (true, 0);
    }

    fn ask(&mut self, place: usize) -> Option<Stop> {
        let last = self.hands.len() - 1;
        // Picks are tried in turn for the command that is looked at alone; for others the seed draws.
        let picks = if place == last { None } else { self.router.picks(None) };
        let placed = self.router.place(self.now, &self.hands[place].held);
        if picks.is_some() {
            self.router.picks(picks);
        }
        self.calls += 1;
        let same = match self.trail.back() {
            Some(Step { what: What::Asked { command, place: before, times }, .. }) => {
                (*command == place && *before == placed && placed == Placement::Hold).then_some(*times)
            }
            _ => None,
        };
        match (same, self.trail.back_mut()) {
            (Some(times), Some(step)) => {
                step.what = What::Asked { command: place, place: placed, times: times + 1 };
            }
            _ => self.note(What::Asked { command: place, place: placed, times: 1 }),
        }
        let mut stop = None;
        match placed {
            Placement::Dispatch { server, timeout } => {
                let now = self.now;
                let hand = &mut self.hands[place];
                let dispatch = hand.held.dispatches.len();
                hand.held.dispatches.push(Dispatch::written_immediately(server, now));
                hand.idle_over(now);
                let work = self.work(hand_group(&self.hands[place]));
                self.sent.push_back((now, server, work));
                if place == last {
                    stop = Some(Stop::Sent { dispatch, server, timeout });
                } else {
                    self.happens(place, dispatch, server, timeout, None);
                }
            }
            Placement::Hold => {}
            Placement::Abandon(how) => {
                let end = match how {
                    FinalAnswer::Throttled { .. } => End::Throttled,
                    FinalAnswer::Failed => End::Failed,
                };
                self.end(place, end);
                return None;
            }
        }
        let wait = self.router.wait(self.now, Some(&self.hands[place].held));
        self.calls += 1;
        let due = self.now + wait.after.max(1);
        if self.hands[place].due != due {
            self.hands[place].due = due;
            self.at(due, Due::Ask(place));
        }
        for dispatch in wait.cancel {
            // What was called off may be sent elsewhere at once.
            stop = self.recall(place, dispatch).or(stop);
        }
        stop
    }

    fn recall(&mut self, command: usize, dispatch: usize) -> Option<Stop> {
        let out = self.hands[command].held.dispatches.get(dispatch).is_some_and(|d| d.ended.is_none());
        if !out {
            return None;
        }
        self.note(What::Recalled { command, dispatch });
        self.ends(command, dispatch, DispatchEnd::Recalled)
    }

    fn end(&mut self, place: usize, end: End) {
        let now = self.now;
        let hand = &mut self.hands[place];
        hand.idle_over(now);
        hand.end = Some((now, end));
    }

    /// The time that a command of this group takes a server.
    pub fn work(&self, command_group: usize) -> Micros {
        self.subject.command_groups[command_group].response_target / WORK
    }

    /// What the world has in store for a command that is sent there now.
    pub fn in_store(&self, place: usize, server: usize) -> Happens {
        let Some(truth) = self.truths.get(server) else { return Happens::Unconnected };
        match truth.condition {
            Condition::Hung => return Happens::Silence,
            Condition::Refusing | Condition::Cut => return Happens::Unconnected,
            Condition::Erring => return Happens::Error,
            Condition::Full => return Happens::Full,
            Condition::Well => {}
        }
        if truth.standing == ServerState::Draining {
            return Happens::Full;
        }
        if truth.standing == ServerState::Gone && self.subject.figures.gone_binds {
            return Happens::Unconnected;
        }
        let need = self.subject.command_groups[hand_group(&self.hands[place])].need;
        if need == Need::Write {
            return if truth.primary { Happens::Answer } else { Happens::Miss };
        }
        match self.subject.figures.guards {
            Guards::None => Happens::Answer,
            _ if self.needed(place).is_some_and(|needed| truth.position(self.now) < needed) => Happens::Miss,
            _ => Happens::Answer,
        }
    }

    /// The data that a command must see if it is sent now, as a position; None: any will do.
    pub fn needed(&self, place: usize) -> Option<Micros> {
        let command = &self.hands[place].held.command;
        match self.subject.command_groups[command.command_group].need {
            Need::Bounded(bound) => Some(self.now.saturating_sub(bound)),
            Need::Fresh => Some(command.arrived),
            Need::Session => {
                let ago = self.coming[place].written_ago?;
                Some(command.arrived.saturating_sub(ago))
            }
            Need::Write | Need::Any => None,
        }
    }

    /// Decides what becomes of a dispatch; None: what the world has in store.
    pub fn happens(
        &mut self,
        command: usize,
        dispatch: usize,
        server: usize,
        timeout: Micros,
        happens: Option<Happens>,
    ) {
        let happens = match happens {
            Some(Happens::Change) => {
                let shard = self.hands[command].held.command.group;
                let next = self.subject.members(shard).find(|member| !self.truths[*member].primary);
                if let Some(next) = next {
                    self.change(Change::Primary(next));
                }
                self.in_store(command, server)
            }
            Some(happens) => happens,
            None => self.in_store(command, server),
        };
        let trip = if server < self.truths.len() { 2 * self.way(server) } else { NEAR };
        let command_group = hand_group(&self.hands[command]);
        let target = self.subject.command_groups[command_group].response_target;
        let after = match happens {
            // What may have run has taken its time first.
            Happens::Answer | Happens::Change | Happens::Error | Happens::Reset => {
                trip + self.work(command_group)
            }
            Happens::Slow => trip + (target as f64 * SLOW) as Micros,
            Happens::Miss => match self.subject.figures.guards {
                Guards::Wait(patience) if !self.subject.command_groups[command_group].writes() => {
                    trip + patience
                }
                _ => trip,
            },
            Happens::Silence => timeout,
            Happens::Unconnected
                if self.truths.get(server).is_some_and(|t| t.condition == Condition::Cut) =>
            {
                self.subject.figures.connect_within
            }
            _ => trip,
        };
        let happens = if after >= timeout { Happens::Silence } else { happens };
        self.at(self.now + after.min(timeout), Due::Ends { command, dispatch, happens });
    }

    fn ends(&mut self, place: usize, dispatch: usize, ending: DispatchEnd) -> Option<Stop> {
        let now = self.now;
        let hand = &mut self.hands[place];
        let (sent, server) = match hand.held.dispatches.get_mut(dispatch) {
            Some(found) if found.ended.is_none() => {
                found.ended = Some(ending);
                (found.sent, found.server)
            }
            _ => return None,
        };
        let was_over = hand.end.is_some();
        let over = was_over || ending == DispatchEnd::Answered;
        if over && !was_over {
            self.end(place, End::Answered { server });
        } else if !over && self.hands[place].held.dispatches.iter().all(|d| d.ended.is_some()) {
            self.hands[place].idle_since = Some(now);
        }
        let known = server < self.truths.len();
        let report = known.then(|| self.report(server));
        let figures = &self.subject.figures;
        let telling = matches!(
            ending,
            DispatchEnd::Answered | DispatchEnd::Missed | DispatchEnd::SentBack | DispatchEnd::Errored
        );
        let stated = report.filter(|_| telling && figures.stamped).unwrap_or_default();
        let report = report.filter(|_| telling && figures.reports);
        if known {
            let told = stated.primary == Some(false) || report.is_some_and(|r| r.primary == Some(false));
            let write = self.subject.command_groups[hand_group(&self.hands[place])].writes();
            let truth = &mut self.truths[server];
            truth.told_replica |= told || write && ending == DispatchEnd::Missed;
            truth.failed |= ending != DispatchEnd::Answered;
        }
        let outcome = Outcome {
            dispatch,
            ending,
            took: now - sent,
            finished: over,
            answer_report: stated,
            load_report: report,
        };
        let after = self.router.after(now, &self.hands[place].held, &outcome);
        self.calls += 1;
        self.note(What::Ended { command: place, dispatch, server, ending, over });
        self.at(now, Due::Router);
        match after {
            NextStep::PlaceAgain if !over => {
                // On a machine time goes on between an outcome and the next question.
                self.now += 1;
                self.ask(place)
            }
            NextStep::PlaceAgain => None,
            NextStep::Finished { cancel: recall } => {
                for dispatch in recall {
                    self.recall(place, dispatch);
                }
                None
            }
        }
    }

    /// Marks of all that the rest of a run depends on; the way here does not count.
    pub fn digest(&self) -> u64 {
        let mut hasher = FxHasher::default();
        (self.router.digest(), self.now).hash(&mut hasher);
        for truth in &self.truths {
            let Truth {
                standing, told_at, primary, listed_primary, claim, was_primary, told_replica, ..
            } = truth;
            (*standing as u8, told_at, primary, listed_primary, claim, was_primary, told_replica)
                .hash(&mut hasher);
            let Truth { lag, condition, started, failed, .. } = truth;
            (lag, condition, started, failed).hash(&mut hasher);
        }
        for ((at, _), due) in &self.due {
            (at, due).hash(&mut hasher);
        }
        // The rule on cold servers looks back at all that was sent.
        for sent in &self.sent {
            sent.hash(&mut hasher);
        }
        for hand in &self.hands {
            (hand.end.map(|(at, _)| at), hand.due, hand.idle, hand.idle_since).hash(&mut hasher);
            for dispatch in &hand.held.dispatches {
                let ended = dispatch.ended.map(|ended| ended as u8);
                (dispatch.server, dispatch.sent, ended).hash(&mut hasher);
            }
        }
        hasher.finish()
    }
}

impl Hand {
    fn idle_over(&mut self, now: Micros) {
        if let Some(since) = self.idle_since.take() {
            self.idle = self.idle.max(now - since);
        }
    }
}

fn hand_group(hand: &Hand) -> usize {
    hand.held.command.command_group
}
