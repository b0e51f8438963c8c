//! Model check of clients, the gateway's own handover and router, two servers and a network that loses messages, over
//! all interleavings up to the limits in `Checked::bounds`.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use stateright::{Checker, Model, Property};
use tansyjunction::Router;
use tansyjunction::interface::*;
use tansyjunction_handover::{Admission, Handover, HandoverConfig, Phase, Write};

const START: Micros = 1_000_000_000;
const TICK: Micros = 250_000;
/// Clients wait for four ticks; a key is valid for three.
const TIMEOUT: Micros = 4 * TICK;
const WINDOW: Micros = 3 * TICK;
const TICKS: u8 = 6;
/// A message arrives within the next tick or never; servers remember keys for the window and this much longer.
const REMEMBERED: Micros = WINDOW + TICK;
const SERVERS: usize = 2;

/// A seeded fault that the check must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Mistake {
    None,
    /// Fencing is ignored.
    IgnoresFence,
    /// The gateway's deduplication window is longer than that of the servers.
    LongWindow,
    /// A mutating write is treated as repeatable.
    RepeatsMutating,
    /// Released writes are dropped.
    ForgetsHeld,
    /// A write that may have executed is reported as harmless to repeat.
    ThrottlesDoubt,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request { write: usize, dispatch: usize, server: usize, sent: u8 },
    Answer { write: usize, dispatch: usize, server: usize },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum End {
    Answered,
    Throttled,
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    Deliver(Message),
    Lose(Message),
    Kill,
    Elect,
    /// The old primary returns and still considers itself primary.
    Return,
    /// A server reports its role.
    Report(usize),
    Plan,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Default)]
struct Server {
    down: bool,
    /// Whether it considers itself primary, and its position when it was replaced.
    leads: bool,
    stuck: Option<Micros>,
}

/// Remaining numbers of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Left {
    kills: u8,
    losses: u8,
    elections: u8,
    returns: u8,
    reports: u8,
    plans: u8,
}

#[derive(Clone)]
struct State {
    ticks: u8,
    router: Router,
    handover: Handover,
    held: Vec<PendingCommand>,
    /// Writes to place again at the next tick.
    asked: BTreeSet<usize>,
    ends: Vec<Vec<End>>,
    servers: [Server; SERVERS],
    leader: usize,
    messages: BTreeSet<Message>,
    /// Executions of each write, and the time of the first.
    effects: BTreeMap<usize, (u8, Micros)>,
    left: Left,
    /// Whether a write was sent to a fenced server, or during a conflict of two primaries.
    crossed: bool,
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let State { ticks, ends, servers, leader, messages, effects, crossed, .. } = self;
        write!(
            f,
            "tick {ticks}: {ends:?} {effects:?}, {leader} of {servers:?}, {messages:?}, crossed {crossed}, "
        )?;
        write!(f, "{:?}, {:?}", self.held, self.handover.all_status())
    }
}

impl State {
    fn now(&self) -> Micros {
        START + Micros::from(self.ticks) * TICK
    }

    fn marks(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.router.hash_state(&mut hasher);
        self.handover.hash(&mut hasher);
        for held in &self.held {
            for d in &held.dispatches {
                (d.server, d.sent, d.ended.map(|ended| ended as u8)).hash(&mut hasher);
            }
            held.dispatches.len().hash(&mut hasher);
        }
        (self.ticks, &self.asked, &self.ends, &self.servers, self.leader).hash(&mut hasher);
        (&self.messages, &self.effects, self.left, self.crossed).hash(&mut hasher);
        hasher.finish()
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.marks().hash(state);
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.marks() == other.marks()
    }
}

struct Checked {
    mistake: Mistake,
    /// Whether each write is keyed (or else mutating).
    keyed: Vec<bool>,
    left: Left,
    /// Whether servers are probed for their role, so that no trial write is needed.
    looks: bool,
}

impl Checked {
    /// Two servers, a write for each entry of `keyed`, six ticks of 250 ms; numbers of kills, lost messages, elections,
    /// returns of an old primary, reports and plans.
    fn bounds(
        mistake: Mistake,
        keyed: &[bool],
        [kills, losses, elections, returns, reports, plans]: [u8; 6],
    ) -> Self {
        let left = Left { kills, losses, elections, returns, reports, plans };
        Checked { mistake, keyed: keyed.to_vec(), left, looks: false }
    }

    fn named(&self) -> SettingsByName {
        let mut named = SettingsByName::new();
        let mut put = |name: &str, value: Value| named.insert(name.into(), value);
        put("command_groups", Value::Number(2.0));
        put("limits.max_dispatches", Value::Number(4.0));
        put("limits.probes", Value::Flag(true));
        put("guards", Value::Text("wait".into()));
        for (k, effect) in ["keyed", "mutating"].into_iter().enumerate() {
            let effect = match (self.mistake, effect) {
                (Mistake::RepeatsMutating, "mutating") => "replayable",
                (_, effect) => effect,
            };
            let window = if self.mistake == Mistake::LongWindow { 2 * TIMEOUT } else { WINDOW };
            for (part, value) in [
                ("need", Value::Text("write".into())),
                ("effect", Value::Text(effect.into())),
                ("scope", Value::Text("group".into())),
                ("response_target", Value::Number(TIMEOUT as f64)),
                ("client_timeout", Value::Number(TIMEOUT as f64)),
                ("repeat_within", Value::Number(window as f64)),
                ("late_benefit", Value::Number(1.0)),
            ] {
                put(&format!("command_group.{k}.{part}"), value);
            }
        }
        named
    }

    /// Until when a write may be repeated, if it may have executed.
    fn repeat_until(&self, state: &State, write: usize) -> Option<Micros> {
        let ran = state.held[write].dispatches.iter().find(|d| d.ended.is_none_or(|e| !e.never_ran()))?;
        let window = if self.mistake == Mistake::LongWindow { 2 * TIMEOUT } else { WINDOW };
        let repeats = self.keyed[write] || self.mistake == Mistake::RepeatsMutating;
        Some(if repeats { ran.sent + window } else { 0 })
    }

    /// Handles a write as the host does: handover first, then the router, then the fencing check.
    fn ask(&self, state: &mut State, write: usize) {
        let now = state.now();
        let out = state.held[write].dispatches.iter().any(|d| d.ended.is_none());
        if !state.ends[write].is_empty() || out {
            return;
        }
        let command = &state.held[write].command;
        let asked = Write {
            id: write as u64,
            client: write as u64,
            bytes: 1,
            arrived: command.arrived,
            client_timeout: command.client_timeout,
            keyed: self.keyed[write],
            repeat_until: self.repeat_until(state, write),
            ..Write::default()
        };
        match state.handover.admit(now, &asked) {
            Admission::Pass => self.place(state, write),
            Admission::Hold => {
                state.asked.remove(&write);
            }
            Admission::Throttle { .. } => self.end(state, write, End::Throttled),
            Admission::Fail if self.mistake == Mistake::ThrottlesDoubt => {
                self.end(state, write, End::Throttled)
            }
            Admission::Fail => self.end(state, write, End::Failed),
        }
    }

    fn place(&self, state: &mut State, write: usize) {
        let now = state.now();
        let out = state.held[write].dispatches.iter().any(|d| d.ended.is_none());
        if !state.ends[write].is_empty() || out {
            return;
        }
        match state.router.place(now, &state.held[write]) {
            Placement::Dispatch { server, .. } => {
                let dispatch = state.held[write].dispatches.len();
                state.held[write].dispatches.push(Dispatch::written_immediately(server, now));
                let barred = {
                    let status = &state.handover.all_status()[0];
                    status.fenced.contains(&server) || status.phase == Phase::Conflict
                };
                if state.handover.may_write_to(0, server, write as u64)
                    || self.mistake == Mistake::IgnoresFence
                {
                    state.crossed |= barred;
                    let sent = state.ticks;
                    state.messages.insert(Message::Request { write, dispatch, server, sent });
                    state.asked.remove(&write);
                } else {
                    self.outcome(state, write, dispatch, DispatchEnd::Unsent, false);
                    state.asked.insert(write);
                }
            }
            Placement::Hold => {
                state.asked.insert(write);
            }
            Placement::Abandon(FinalAnswer::Failed) => self.end(state, write, End::Failed),
            Placement::Abandon(FinalAnswer::Throttled { .. }) => self.end(state, write, End::Throttled),
        }
    }

    fn end(&self, state: &mut State, write: usize, end: End) {
        state.ends[write].push(end);
        state.asked.remove(&write);
        let now = state.now();
        state.handover.on_write_finished(now, write as u64);
    }

    /// Ends a dispatch.
    fn outcome(&self, state: &mut State, write: usize, dispatch: usize, ending: DispatchEnd, told: bool) {
        let now = state.now();
        let Some(found) = state.held[write].dispatches.get_mut(dispatch) else { return };
        if found.ended.is_some() {
            return;
        }
        found.ended = Some(ending);
        let (server, sent) = (found.server, found.sent);
        let over = !state.ends[write].is_empty() || ending == DispatchEnd::Answered;
        let leads = state.servers[server].leads;
        let stated =
            Report { primary: told.then_some(leads), position: told.then_some(now), ..Report::default() };
        let outcome = Outcome {
            dispatch,
            ending,
            took: now - sent,
            finished: over,
            answer_report: stated,
            load_report: None,
        };
        state.router.on_outcome(now, &state.held[write], &outcome);
        match ending {
            DispatchEnd::Answered => {
                state.handover.on_write_answered(now, 0, server, write as u64, Some(now));
                if state.ends[write].is_empty() {
                    self.end(state, write, End::Answered);
                }
                return;
            }
            DispatchEnd::Missed => state.handover.on_primary_denial(now, 0, server, Some(now)),
            DispatchEnd::Unconnected | DispatchEnd::Reset | DispatchEnd::TimedOut => {
                state.handover.on_failure(now, 0, server)
            }
            _ => return,
        }
        if state.ends[write].is_empty() {
            self.ask(state, write);
        }
    }

    /// A server handles a request. Returns its immediate answer, or `None` if it answers later or never.
    fn serve(&self, state: &mut State, write: usize, dispatch: usize, server: usize) -> Option<DispatchEnd> {
        let now = state.now();
        let there = state.servers[server];
        if there.down {
            return Some(DispatchEnd::Unconnected);
        }
        if !there.leads {
            return Some(DispatchEnd::Missed);
        }
        if there.stuck.is_some() {
            // No replica acknowledges the commit of an old primary, so it never answers.
            return None;
        }
        let keyed = self.keyed[write];
        let (count, first) = state.effects.get(&write).copied().unwrap_or((0, now));
        if !(keyed && count > 0 && now < first + REMEMBERED) {
            state.effects.insert(write, (count + 1, first));
        }
        state.messages.insert(Message::Answer { write, dispatch, server });
        None
    }

    fn settle(&self, state: &mut State) {
        let now = state.now();
        let due = state.handover.due(now);
        for (write, come_back) in due.give_up {
            let end = match come_back {
                Some(_) => End::Throttled,
                None if self.mistake == Mistake::ThrottlesDoubt => End::Throttled,
                None => End::Failed,
            };
            self.end(state, write as usize, end);
        }
        for write in due.release {
            if self.mistake != Mistake::ForgetsHeld {
                self.place(state, write as usize);
            }
        }
    }

    fn report(&self, state: &mut State, server: usize) {
        let now = state.now();
        let there = state.servers[server];
        let position = there.stuck.unwrap_or(now);
        let report = Report { primary: Some(there.leads), position: Some(position), ..Report::default() };
        state.router.on_probe_result(now, server, 1_000, DispatchEnd::Answered, Some(report));
        match there.leads {
            true => state.handover.on_primary_claim(now, 0, server, Some(position)),
            false => state.handover.on_primary_denial(now, 0, server, Some(position)),
        }
    }
}

impl Model for Checked {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut router = Router::new(self.named(), 7).expect("settings make sense");
        let entry = |server: usize| ServerListEntry {
            server,
            group: 0,
            zone: 0,
            size: 1.0,
            state: ServerState::Serving,
            primary: server == 0,
            started: None,
        };
        router.update_server_list(START - 2, Some(&[entry(0), entry(1)]), true);
        let look_every = if self.looks { TICK } else { 0 };
        let figures = HandoverConfig {
            probe_interval: look_every,
            expected_duration: 2 * TICK,
            release_gap: 1_000,
            ..HandoverConfig::default()
        };
        let mut servers = [Server::default(); SERVERS];
        servers[0].leads = true;
        let mut state = State {
            ticks: 0,
            router,
            handover: Handover::new(figures, 7),
            held: Vec::new(),
            asked: BTreeSet::new(),
            ends: vec![Vec::new(); self.keyed.len()],
            servers,
            leader: 0,
            messages: BTreeSet::new(),
            effects: BTreeMap::new(),
            left: self.left,
            crossed: false,
        };
        (0..SERVERS).for_each(|server| self.report(&mut state, server));
        for (write, keyed) in self.keyed.iter().enumerate() {
            let command = Command {
                command_group: usize::from(!keyed),
                arrived: START,
                client_timeout: START + TIMEOUT,
                ..Command::default()
            };
            state.held.push(PendingCommand { command, dispatches: Vec::new() });
            self.ask(&mut state, write);
        }
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.ticks < TICKS {
            actions.push(Action::Tick);
        }
        for message in &state.messages {
            actions.push(Action::Deliver(*message));
            if state.left.losses > 0 {
                actions.push(Action::Lose(*message));
            }
        }
        let leader = state.servers[state.leader];
        if state.left.kills > 0 && !leader.down {
            actions.push(Action::Kill);
        }
        if state.left.elections > 0 {
            actions.push(Action::Elect);
        }
        let old = state.servers[1 - state.leader];
        if state.left.returns > 0 && old.down {
            actions.push(Action::Return);
        }
        if state.left.reports > 0 {
            actions.extend((0..SERVERS).filter(|s| !state.servers[*s].down).map(Action::Report));
        }
        if state.left.plans > 0 {
            actions.push(Action::Plan);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Tick => {
                state.ticks += 1;
                let tick = state.ticks;
                let late = |m: &Message| matches!(m, Message::Request { sent, .. } if tick > sent + 1);
                state.messages.retain(|message| !late(message));
                let now = state.now();
                // Dispatches end at the client timeout; messages in transit may still arrive and execute.
                for write in 0..self.keyed.len() {
                    for dispatch in 0..state.held[write].dispatches.len() {
                        let out = state.held[write].dispatches[dispatch].ended.is_none();
                        if out && now >= state.held[write].command.client_timeout {
                            self.outcome(&mut state, write, dispatch, DispatchEnd::TimedOut, false);
                        }
                    }
                }
                for write in state.asked.clone() {
                    self.ask(&mut state, write);
                }
            }
            Action::Deliver(message) => {
                state.messages.remove(&message);
                match message {
                    Message::Request { write, dispatch, server, .. } => {
                        if let Some(ending) = self.serve(&mut state, write, dispatch, server) {
                            self.outcome(&mut state, write, dispatch, ending, ending == DispatchEnd::Missed);
                        }
                    }
                    Message::Answer { write, dispatch, .. } => {
                        self.outcome(&mut state, write, dispatch, DispatchEnd::Answered, true);
                    }
                }
            }
            Action::Lose(message) => {
                state.left.losses -= 1;
                state.messages.remove(&message);
                // Its connection breaks.
                let (Message::Request { write, dispatch, .. } | Message::Answer { write, dispatch, .. }) =
                    message;
                self.outcome(&mut state, write, dispatch, DispatchEnd::Reset, false);
            }
            Action::Kill => {
                state.left.kills -= 1;
                state.servers[state.leader].down = true;
            }
            Action::Elect => {
                state.left.elections -= 1;
                let (old, new) = (state.leader, 1 - state.leader);
                if state.servers[new].down {
                    return None;
                }
                (state.leader, state.servers[new].leads) = (new, true);
                state.servers[new].stuck = None;
                // A running server steps down; one that is down does not notice.
                if state.servers[old].down {
                    state.servers[old].stuck = Some(state.now());
                } else {
                    state.servers[old].leads = false;
                }
            }
            Action::Return => {
                state.left.returns -= 1;
                state.servers[1 - state.leader].down = false;
            }
            Action::Report(server) => {
                state.left.reports -= 1;
                self.report(&mut state, server);
            }
            Action::Plan => {
                state.left.plans -= 1;
                let now = state.now();
                state.handover.plan_change(now, 0, 1 - state.leader).ok()?;
            }
        }
        self.settle(&mut state);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one final answer", |model: &Checked, state: &State| {
                let over = state.ticks == TICKS;
                state.ends.iter().all(|ends| ends.len() <= 1 && (!over || ends.len() == 1))
                    && state.ends.len() == model.keyed.len()
            }),
            Property::always("no effect twice", |_, state: &State| {
                state.effects.values().all(|(count, _)| *count <= 1)
            }),
            Property::always("answered is done", |_, state: &State| {
                let done = |write: usize| state.effects.contains_key(&write);
                state.ends.iter().enumerate().all(|(w, ends)| !ends.contains(&End::Answered) || done(w))
            }),
            Property::always("throttled did not run", |_, state: &State| {
                let ran = |write: usize| state.effects.contains_key(&write);
                state.ends.iter().enumerate().all(|(w, ends)| !ends.contains(&End::Throttled) || !ran(w))
            }),
            Property::always("no write to a fenced primary", |_, state: &State| !state.crossed),
            Property::always("nothing is held in the end", |_, state: &State| {
                state.ticks < TICKS || state.handover.all_status().iter().all(|status| status.held == 0)
            }),
        ]
    }
}

/// Number of states visited, and the properties that some state violates.
fn explored(model: Checked) -> (usize, Vec<&'static str>) {
    let checker = model.checker().threads(4).target_state_count(3_000_000).spawn_bfs().join();
    let mut broken: Vec<&'static str> = checker.discoveries().into_keys().collect();
    broken.sort_unstable();
    (checker.unique_state_count(), broken)
}

#[test]
fn nothing_breaks_in_any_interleaving() {
    // Keyed or mutating writes; numbers of kills, losses, elections, returns, reports and plans.
    for (keyed, bounds) in [
        (&[true][..], [1, 1, 1, 0, 1, 0]),
        (&[false], [1, 1, 1, 0, 1, 0]),
        (&[true], [1, 0, 1, 1, 2, 0]),
        (&[true], [1, 0, 1, 0, 1, 1]),
        (&[true, false], [1, 0, 1, 0, 1, 0]),
    ] {
        for looks in [false, true] {
            let model = Checked { looks, ..Checked::bounds(Mistake::None, keyed, bounds) };
            let (states, broken) = explored(model);
            println!("{keyed:?} {bounds:?}, looks {looks}: {states} states");
            assert_eq!(broken, Vec::<&str>::new(), "{keyed:?} {bounds:?}, looks {looks}");
            assert!(states > 1_000, "{states}");
        }
    }
}

#[test]
#[ignore = "the long form: larger bounds, some minutes and gigabytes"]
fn nothing_breaks_in_any_interleaving_of_larger_bounds() {
    for (keyed, bounds) in [
        (&[true][..], [1, 1, 1, 1, 2, 1]),
        (&[true, true], [1, 0, 1, 0, 1, 0]),
        (&[true, false], [1, 1, 1, 0, 0, 0]),
    ] {
        let (states, broken) = explored(Checked::bounds(Mistake::None, keyed, bounds));
        println!("{keyed:?} {bounds:?}: {states} states");
        assert_eq!(broken, Vec::<&str>::new(), "{keyed:?} {bounds:?}");
    }
}

#[test]
fn every_seeded_mistake_is_found() {
    for (mistake, keyed, bounds, property) in [
        (Mistake::IgnoresFence, &[true, true][..], [1, 0, 1, 1, 3, 0], "no write to a fenced primary"),
        (Mistake::LongWindow, &[true], [0, 1, 1, 0, 1, 0], "no effect twice"),
        (Mistake::RepeatsMutating, &[false], [0, 1, 0, 0, 1, 0], "no effect twice"),
        (Mistake::ForgetsHeld, &[true, true], [1, 0, 1, 0, 1, 0], "one final answer"),
        (Mistake::ThrottlesDoubt, &[false], [0, 1, 0, 0, 0, 0], "throttled did not run"),
    ] {
        let (_, broken) = explored(Checked::bounds(mistake, keyed, bounds));
        assert!(broken.contains(&property), "{mistake:?}: {broken:?}");
    }
}
