//! Simulation in virtual time: the actual state of the servers, a router that learns of it only through its calls,
//! and the commands of its host. It is forked at every dispatch; forks share large parts.

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use imbl::{OrdMap, Vector};
use rustc_hash::FxHasher;
use tansyjunction::interface::*;

use crate::steer::CheckedRouter;
use crate::subject::{Guards, Need, Subject};
use crate::truth::{ActualState, CALM_LAG, Claim, Condition, DispatchFate};

/// Start time: large enough that no time lies before zero.
pub const START_TIME: Micros = 1_000_000_000_000;
/// How long before the first command a warm router was started and has probed.
pub const WARM_UP_TIME: Micros = 10_000;
/// Round trips within a zone and between zones.
const SAME_ZONE_ROUND_TRIP: Micros = 500;
const CROSS_ZONE_ROUND_TRIP: Micros = 1_000;
/// Work of a command as a fraction of its response target.
const WORK_DIVISOR: Micros = 10;
/// A slow answer comes after this share of the response target: beyond any soft timeout.
const SLOW_ANSWER_SHARE: f64 = 0.7;
/// Calls of the router without an end after which it counts as a busy loop.
const MAX_CALLS: u64 = 20_000;

/// A change that happens by itself.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The list shows a new state of this server.
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
    Ends { command: usize, dispatch: usize, happens: DispatchFate },
    Probe { server: usize, happens: DispatchFate },
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

/// A command of the host.
#[derive(Clone, Debug, Default)]
pub struct HostedCommand {
    pub held: PendingCommand,
    /// Time and kind of the final answer.
    pub end: Option<(Micros, End)>,
    due: Micros,
    /// Longest time without a dispatch, and since when there is none.
    pub idle: Micros,
    idle_since: Option<Micros>,
}

/// A line of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub at: Micros,
    pub what: What,
}

/// An event of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    Arrives {
        command: usize,
    },
    /// `place` was called this many times in a row with the same answer.
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

/// Why a simulation pauses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PauseReason {
    /// The examined command was dispatched; its outcome is to be chosen.
    Sent { dispatch: usize, server: usize, timeout: Micros },
    /// It has its final answer.
    Over,
    /// Its timeout and the grace are over without a final answer.
    Late,
    /// The router was called without end.
    Endless,
}

/// A command that arrives at the gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct IncomingCommand {
    /// Time after the start in microseconds.
    pub after: Micros,
    pub command_group: usize,
    pub shard: usize,
    pub session: Option<usize>,
    pub written_ago: Option<Micros>,
}

/// How a simulation starts.
#[derive(Clone, Debug)]
pub struct Start {
    pub name: String,
    pub truths: Vec<ActualState>,
    /// Whether the router has probed the servers.
    pub warm: bool,
    /// Changes and their times after the start.
    pub changes: Vec<(Micros, Change)>,
}

/// A simulation with its router.
#[derive(Clone)]
pub struct World<S> {
    pub subject: Arc<Subject>,
    pub router: S,
    pub now: Micros,
    pub truths: Vector<ActualState>,
    changes: Arc<Vec<(Micros, Change)>>,
    coming: Arc<Vec<IncomingCommand>>,
    pub hands: Vector<HostedCommand>,
    due: OrdMap<(Micros, u32), Due>,
    serial: u32,
    pub trail: Vector<Step>,
    /// Every dispatch of any command: time, server, and its work.
    pub sent: Vector<(Micros, usize, Micros)>,
    /// Calls of the router so far.
    pub calls: u64,
}

impl<S: CheckedRouter> World<S> {
    /// The last of the incoming commands is the examined one.
    pub fn begin(subject: Arc<Subject>, router: S, start: &Start, coming: Arc<Vec<IncomingCommand>>) -> Self {
        let mut world = World {
            subject,
            router,
            now: START_TIME - WARM_UP_TIME,
            truths: start.truths.iter().copied().collect(),
            changes: Arc::new(start.changes.clone()),
            coming: coming.clone(),
            hands: coming.iter().map(|_| HostedCommand::default()).collect(),
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
                world.tell_probe(server, took, happens.unwrap_or(DispatchFate::Answer));
            }
        }
        world.now = START_TIME;
        for (place, coming) in coming.iter().enumerate() {
            world.at(START_TIME + coming.after, Due::Arrives(place));
        }
        for (place, (after, _)) in start.changes.iter().enumerate() {
            world.at(START_TIME + after, Due::Changes(place));
        }
        world
    }

    /// The examined command.
    pub fn last(&self) -> &HostedCommand {
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

    /// Sends the whole list; removed servers follow as a change, as from discovery.
    fn list_all(&mut self) {
        let entries: Vec<ServerListEntry> =
            (0..self.truths.len()).map(|server| self.listed(server)).collect();
        let there = |entry: &&ServerListEntry| entry.state != ServerState::Gone;
        let mut whole: Vec<ServerListEntry> = entries.clone();
        for entry in whole.iter_mut().filter(|entry| entry.state == ServerState::Gone) {
            entry.state = ServerState::Serving;
        }
        self.router.update_server_list(self.now, &whole, true);
        let gone: Vec<ServerListEntry> = entries.iter().filter(|entry| !there(entry)).cloned().collect();
        if !gone.is_empty() {
            self.router.update_server_list(self.now, &gone, false);
        }
        self.calls += 2;
    }

    /// Half a round trip to a server.
    fn way(&self, server: usize) -> Micros {
        if self.subject.servers[server].zone == self.subject.own_zone {
            SAME_ZONE_ROUND_TRIP
        } else {
            CROSS_ZONE_ROUND_TRIP
        }
    }

    /// The result of a probe of this server, and its duration.
    fn probe(&self, server: usize) -> (DispatchFate, Micros) {
        let (trip, dial) = (2 * self.way(server), self.subject.figures.connect_within);
        match self.truths[server].condition {
            Condition::Well | Condition::Erring | Condition::Full => (DispatchFate::Answer, trip),
            Condition::Refusing => (DispatchFate::Unconnected, trip),
            Condition::Hung | Condition::Cut => (DispatchFate::Silence, dial),
        }
    }

    /// The server's report about itself.
    fn report(&self, server: usize) -> Report {
        let truth = &self.truths[server];
        let primary = match truth.claim {
            Claim::Truth => Some(truth.primary),
            Claim::Primary => Some(true),
            Claim::Nothing => None,
        };
        Report { position: Some(truth.position(self.now)), primary, ..Report::default() }
    }

    fn tell_probe(&mut self, server: usize, took: Micros, happens: DispatchFate) {
        let ending = happens.ending();
        let report = (ending == DispatchEnd::Answered).then(|| self.report(server));
        if report.is_some_and(|report| report.primary == Some(false)) {
            self.truths[server].told_replica = true;
        }
        self.router.on_probe_result(self.now, server, took, ending, report);
        self.calls += 1;
    }

    /// Runs until the examined command is dispatched or finished.
    pub fn run(&mut self) -> PauseReason {
        let last = self.hands.len() - 1;
        loop {
            if self.hands[last].end.is_some() {
                return PauseReason::Over;
            }
            if self.calls > MAX_CALLS {
                return PauseReason::Endless;
            }
            let Some(((at, serial), due)) = self.due.get_min().map(|(at, due)| (*at, *due)) else {
                return PauseReason::Late;
            };
            let command = &self.hands[last].held.command;
            if command.arrived > 0 && at > command.client_timeout + self.subject.figures.answer_grace {
                return PauseReason::Late;
            }
            self.due.remove(&(at, serial));
            self.now = self.now.max(at);
            if let Some(stop) = self.on_due(at, due) {
                return stop;
            }
        }
    }

    fn on_due(&mut self, at: Micros, due: Due) -> Option<PauseReason> {
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
                    forgotten_until: None,
                    customer: None,
                };
                let held = PendingCommand { command, dispatches: Vec::new() };
                self.hands[place] =
                    HostedCommand { held, idle_since: Some(self.now), ..HostedCommand::default() };
                self.note(What::Arrives { command: place });
                // The host runs the router's periodic check after each batch of events.
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
                if happens != DispatchFate::Answer {
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
                let wait = self.router.next_check(self.now, None);
                self.calls += 1;
                for server in wait.probes {
                    let (happens, after) = self.probe(server);
                    self.at(self.now + after, Due::Probe { server, happens });
                }
                self.at(self.now + wait.after.max(1), Due::Router);
                // One pending check at a time is enough: earlier ones are void.
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
                self.router.update_server_list(self.now, &[entry], false);
                self.calls += 1;
            }
            Change::Primary(server) => self.set_primary(*server),
            Change::Condition(server, condition) => self.truths[*server].condition = *condition,
        }
        self.note(What::Changed(change));
    }

    fn set_primary(&mut self, server: usize) {
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

    fn ask(&mut self, place: usize) -> Option<PauseReason> {
        let last = self.hands.len() - 1;
        // Picks are tried exhaustively only for the examined command; others use the seed.
        let picks = if place == last { None } else { self.router.prescribe_draws(None) };
        let placed = self.router.place(self.now, &self.hands[place].held);
        if picks.is_some() {
            self.router.prescribe_draws(picks);
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
                    stop = Some(PauseReason::Sent { dispatch, server, timeout });
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
        let wait = self.router.next_check(self.now, Some(&self.hands[place].held));
        self.calls += 1;
        let due = self.now + wait.after.max(1);
        if self.hands[place].due != due {
            self.hands[place].due = due;
            self.at(due, Due::Ask(place));
        }
        for dispatch in wait.cancel {
            // A cancelled command may be dispatched elsewhere at once.
            stop = self.cancel(place, dispatch).or(stop);
        }
        stop
    }

    fn cancel(&mut self, command: usize, dispatch: usize) -> Option<PauseReason> {
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

    /// Duration of a command of this group at a server.
    pub fn work(&self, command_group: usize) -> Micros {
        self.subject.command_groups[command_group].response_target / WORK_DIVISOR
    }

    /// The outcome that the scenario determines for a command dispatched there now.
    pub fn in_store(&self, place: usize, server: usize) -> DispatchFate {
        let Some(truth) = self.truths.get(server) else { return DispatchFate::Unconnected };
        match truth.condition {
            Condition::Hung => return DispatchFate::Silence,
            Condition::Refusing | Condition::Cut => return DispatchFate::Unconnected,
            Condition::Erring => return DispatchFate::Error,
            Condition::Full => return DispatchFate::Full,
            Condition::Well => {}
        }
        if truth.standing == ServerState::Draining {
            return DispatchFate::Full;
        }
        if truth.standing == ServerState::Gone && self.subject.figures.gone_binds {
            return DispatchFate::Unconnected;
        }
        let need = self.subject.command_groups[hand_group(&self.hands[place])].need;
        if need == Need::Write {
            return if truth.primary { DispatchFate::Answer } else { DispatchFate::Miss };
        }
        match self.subject.figures.guards {
            Guards::None => DispatchFate::Answer,
            _ if self.needed(place).is_some_and(|needed| truth.position(self.now) < needed) => {
                DispatchFate::Miss
            }
            _ => DispatchFate::Answer,
        }
    }

    /// The position that a command must see if dispatched now; `None` if any.
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

    /// Chooses the outcome of a dispatch; `None`: that determined by the scenario.
    pub fn happens(
        &mut self,
        command: usize,
        dispatch: usize,
        server: usize,
        timeout: Micros,
        happens: Option<DispatchFate>,
    ) {
        let happens = match happens {
            Some(DispatchFate::Change) => {
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
        let trip = if server < self.truths.len() { 2 * self.way(server) } else { SAME_ZONE_ROUND_TRIP };
        let command_group = hand_group(&self.hands[command]);
        let target = self.subject.command_groups[command_group].response_target;
        let after = match happens {
            // A command that may have executed took its time first.
            DispatchFate::Answer | DispatchFate::Change | DispatchFate::Error | DispatchFate::Reset => {
                trip + self.work(command_group)
            }
            DispatchFate::Slow => trip + (target as f64 * SLOW_ANSWER_SHARE) as Micros,
            DispatchFate::Miss => match self.subject.figures.guards {
                Guards::Wait(patience) if !self.subject.command_groups[command_group].writes() => {
                    trip + patience
                }
                _ => trip,
            },
            DispatchFate::Silence => timeout,
            DispatchFate::Unconnected
                if self.truths.get(server).is_some_and(|t| t.condition == Condition::Cut) =>
            {
                self.subject.figures.connect_within
            }
            _ => trip,
        };
        let happens = if after >= timeout { DispatchFate::Silence } else { happens };
        self.at(self.now + after.min(timeout), Due::Ends { command, dispatch, happens });
    }

    fn ends(&mut self, place: usize, dispatch: usize, ending: DispatchEnd) -> Option<PauseReason> {
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
        let after = self.router.on_outcome(now, &self.hands[place].held, &outcome);
        self.calls += 1;
        self.note(What::Ended { command: place, dispatch, server, ending, over });
        self.at(now, Due::Router);
        match after {
            NextStep::PlaceAgain if !over => {
                // On a real machine time passes between an outcome and the next question.
                self.now += 1;
                self.ask(place)
            }
            NextStep::PlaceAgain => None,
            NextStep::Finished { cancel: recall } => {
                for dispatch in recall {
                    self.cancel(place, dispatch);
                }
                None
            }
        }
    }

    /// Hash of everything that the rest of a run depends on; its past does not count.
    pub fn digest(&self) -> u64 {
        let mut hasher = FxHasher::default();
        (self.router.state_hash(), self.now).hash(&mut hasher);
        for truth in &self.truths {
            let ActualState {
                standing,
                told_at,
                primary,
                listed_primary,
                claim,
                was_primary,
                told_replica,
                ..
            } = truth;
            (*standing as u8, told_at, primary, listed_primary, claim, was_primary, told_replica)
                .hash(&mut hasher);
            let ActualState { lag, condition, started, failed, .. } = truth;
            (lag, condition, started, failed).hash(&mut hasher);
        }
        for ((at, _), due) in &self.due {
            (at, due).hash(&mut hasher);
        }
        // The overload rule of cold servers considers all earlier dispatches.
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

impl HostedCommand {
    fn idle_over(&mut self, now: Micros) {
        if let Some(since) = self.idle_since.take() {
            self.idle = self.idle.max(now - since);
        }
    }
}

fn hand_group(hand: &HostedCommand) -> usize {
    hand.held.command.command_group
}
