//! Model check of frame numbers, resumption and command history: disconnects, lost frames, and a remote side that
//! restarts without state. At most one execution, one answer, bounded memory. Also tables of peers' protocol
//! violations.

use std::collections::{BTreeMap, VecDeque};

use stateright::{Checker, Model, Property};
use tansyjunction::interface::Micros;
use tansyjunction_span::{
    Answer, CommandHistory, CommandState, Hello, Link, LocalCommands, Outcome, ProtocolError, Received,
    Resumed, Sent,
};

const TICK: Micros = 250_000;
const DEADLINE: Micros = 4 * TICK;
const WINDOW: Micros = 3 * TICK;
const TICKS: u8 = 5;
/// Keys are remembered for the window plus the longest transit time.
const REMEMBERED: Micros = WINDOW + TICK;
const REMEMBERS: usize = 1;
const NEAR: u64 = 7;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mistake {
    None,
    /// The local side's deduplication window is longer than that of the servers.
    LongWindow,
    /// Commands in flight at a restarted remote side are sent again even without a key.
    ForgetsDoubt,
    /// Commands that executed at a restarted remote side are throttled, since the next one reports that they did not.
    DropsDoubt,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Body {
    Do(Sent),
    Ask(u64),
    Told(u64, Outcome),
}

type Frames = VecDeque<(u64, Body, u64)>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    ticks: u8,
    near: LocalCommands,
    link: Link<Body>,
    far: Link<Body>,
    memory: CommandHistory,
    /// Running remote commands, with the latest time of their start.
    at_work: BTreeMap<u64, Micros>,
    up: bool,
    out: Frames,
    back: Frames,
    effects: BTreeMap<u64, (u8, Micros)>,
    answers: BTreeMap<u64, Vec<Answer>>,
    cuts: u8,
    restarts: u8,
}

struct Checked {
    mistake: Mistake,
    /// Whether it is keyed, or else mutating.
    keyed: Vec<bool>,
    cuts: u8,
    restarts: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    Connect,
    Cut,
    Restart,
    Out,
    Back,
    /// Ends a running command.
    Ends(u64),
}

impl Checked {
    fn now(state: &State) -> Micros {
        Micros::from(state.ticks) * TICK
    }

    fn answer(state: &mut State, number: u64, answer: Answer) {
        state.answers.entry(number).or_default().push(answer);
    }

    /// Sends frames if the connection is up; unacknowledged ones wait for the next connection.
    fn out(state: &mut State, body: Body) {
        if let Ok(number) = state.link.send(body)
            && state.up
        {
            let received = state.link.received();
            state.out.push_back((number, body, received));
        }
    }

    fn back(state: &mut State, body: Body) {
        if let Ok(number) = state.far.send(body)
            && state.up
        {
            let received = state.far.received();
            state.back.push_back((number, body, received));
        }
    }

    fn send(state: &mut State, number: u64) {
        let now = Self::now(state);
        if let Some(sent) = state.near.send(now, number) {
            Self::out(state, Body::Do(sent));
        }
    }

    fn connect(&self, state: &mut State) -> Option<()> {
        state.up = true;
        let (near, far): (Hello, Hello) = (state.link.hello(), state.far.hello());
        let now = Self::now(state);
        match state.link.resume(far).ok()? {
            Resumed::Same => {
                let owed = &mut state.near;
                let renewed = state.link.unacknowledged(|body| match body {
                    // Not sent again as a command unless its key is still valid; otherwise its outcome is requested.
                    Body::Do(sent) => owed.send(now, sent.number).map_or(Body::Ask(sent.number), Body::Do),
                    other => *other,
                });
                let received = state.link.received();
                state.out.extend(renewed.into_iter().map(|(number, body)| (number, body, received)));
                // The outcomes of received commands without a report are requested.
                for number in state.near.sent_numbers() {
                    Self::out(state, Body::Ask(number));
                }
            }
            Resumed::New { .. } => {
                let numbers = state.near.sent_numbers();
                let (mut again, over) = state.near.in_doubt(now, &numbers);
                for (number, answer) in over {
                    match self.mistake == Mistake::ForgetsDoubt {
                        true => again.push(number),
                        false => Self::answer(state, number, answer),
                    }
                }
                for number in again {
                    match self.mistake == Mistake::ForgetsDoubt {
                        true => {
                            Self::out(state, Body::Do(Sent { number, left: DEADLINE, repeat_left: None }))
                        }
                        false => Self::send(state, number),
                    }
                }
            }
        }
        match state.far.resume(near).ok()? {
            Resumed::Same => {
                let received = state.far.received();
                let again = state.far.unacknowledged(|body| *body);
                state.back.extend(again.into_iter().map(|(number, body)| (number, body, received)));
            }
            Resumed::New { .. } => {}
        }
        Some(())
    }

    fn far_takes(&self, state: &mut State, body: Body) {
        let now = Self::now(state);
        let known = match body {
            Body::Do(sent) => {
                let known = state.memory.receive(NEAR, sent.number);
                if known == CommandState::Fresh {
                    state
                        .at_work
                        .insert(sent.number, now + sent.repeat_left.unwrap_or(sent.left).min(sent.left));
                    return;
                }
                (sent.number, known)
            }
            Body::Ask(number) => (number, state.memory.look_up(NEAR, number)),
            Body::Told(..) => return,
        };
        match known {
            (number, CommandState::Done(outcome)) => Self::back(state, Body::Told(number, outcome)),
            (number, CommandState::Forgotten) => Self::back(state, Body::Told(number, Outcome::Failed)),
            _ => {}
        }
    }

    fn ends(&self, state: &mut State, number: u64, until: Micros) {
        let now = Self::now(state);
        let outcome = if now > until {
            Outcome::NeverRan
        } else {
            let keyed = self.keyed[number as usize - 1];
            let (count, first) = state.effects.get(&number).copied().unwrap_or((0, now));
            if !(keyed && count > 0 && now < first + REMEMBERED) {
                state.effects.insert(number, (count + 1, first));
            }
            Outcome::Answered
        };
        state.at_work.remove(&number);
        state.memory.finish(NEAR, number, outcome);
        Self::back(state, Body::Told(number, outcome));
    }
}

impl Model for Checked {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut state = State {
            ticks: 0,
            near: LocalCommands::new(8),
            link: Link::new(NEAR, 16),
            far: Link::new(100, 16),
            memory: CommandHistory::new(REMEMBERS, 2),
            at_work: BTreeMap::new(),
            up: false,
            out: Frames::new(),
            back: Frames::new(),
            effects: BTreeMap::new(),
            answers: BTreeMap::new(),
            cuts: self.cuts,
            restarts: self.restarts,
        };
        self.connect(&mut state);
        for keyed in &self.keyed {
            let window = if self.mistake == Mistake::LongWindow { 3 * WINDOW } else { WINDOW };
            let deadline = if self.mistake == Mistake::LongWindow { 3 * DEADLINE } else { DEADLINE };
            let number = state.near.add(deadline, keyed.then_some(window)).expect("there is room");
            Self::send(&mut state, number);
        }
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.ticks < TICKS {
            actions.push(Action::Tick);
        }
        if !state.up {
            actions.push(Action::Connect);
        }
        if state.up && state.cuts > 0 {
            actions.push(Action::Cut);
        }
        if state.restarts > 0 {
            actions.push(Action::Restart);
        }
        if !state.out.is_empty() {
            actions.push(Action::Out);
        }
        if !state.back.is_empty() {
            actions.push(Action::Back);
        }
        actions.extend(state.at_work.keys().map(|number| Action::Ends(*number)));
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Tick => {
                state.ticks += 1;
                // A frame arrives within a tick, or the connection is given up.
                if !state.out.is_empty() || !state.back.is_empty() {
                    (state.up, state.out, state.back) = (false, Frames::new(), Frames::new());
                }
                let now = Self::now(&state);
                for (number, answer) in state.near.expire(now) {
                    Self::answer(&mut state, number, answer);
                }
            }
            Action::Connect => self.connect(&mut state)?,
            Action::Cut => {
                (state.up, state.cuts) = (false, state.cuts - 1);
                state.out.clear();
                state.back.clear();
            }
            Action::Restart => {
                state.restarts -= 1;
                (state.up, state.out, state.back) = (false, Frames::new(), Frames::new());
                (state.far, state.memory) = (Link::new(101, 16), CommandHistory::new(REMEMBERS, 2));
                // A running command may still end at its server, without a report.
                let keyed = |number: &u64| self.keyed[*number as usize - 1];
                let now = Self::now(&state);
                for number in state.at_work.keys().copied().collect::<Vec<_>>() {
                    let (count, first) = state.effects.get(&number).copied().unwrap_or((0, now));
                    if !(keyed(&number) && count > 0 && now < first + REMEMBERED) {
                        state.effects.insert(number, (count + 1, first));
                    }
                }
                state.at_work.clear();
            }
            Action::Out => {
                let (number, body, acked) = state.out.pop_front()?;
                state.far.acknowledge(acked).ok()?;
                match state.far.receive(number, body).ok()? {
                    Received::New(body) => self.far_takes(&mut state, body),
                    Received::Again => {}
                }
            }
            Action::Back => {
                let (number, body, acked) = state.back.pop_front()?;
                state.link.acknowledge(acked).ok()?;
                if let Received::New(Body::Told(number, outcome)) = state.link.receive(number, body).ok()?
                    && let Some(answer) = state.near.on_outcome(number, outcome)
                {
                    let drops = self.mistake == Mistake::DropsDoubt && outcome == Outcome::NeverRan;
                    Self::answer(&mut state, number, if drops { Answer::Throttled } else { answer });
                }
            }
            Action::Ends(number) => {
                let until = state.at_work[&number];
                self.ends(&mut state, number, until);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one answer", |model: &Checked, state: &State| {
                let over = state.ticks == TICKS;
                let count = |number: u64| state.answers.get(&number).map_or(0, Vec::len);
                (1..=model.keyed.len() as u64).all(|n| count(n) <= 1 && (!over || count(n) == 1))
            }),
            Property::always("at most once", |_, state: &State| {
                state.effects.values().all(|(count, _)| *count <= 1)
            }),
            Property::always("throttled did not run", |_, state: &State| {
                let throttled =
                    |n: &u64| state.answers.get(n).is_some_and(|a| a.contains(&Answer::Throttled));
                !state.effects.keys().any(throttled)
            }),
            Property::always("answered is done", |_, state: &State| {
                let answered = state.answers.iter().filter(|(_, a)| a.contains(&Answer::Answered));
                answered.into_iter().all(|(number, _)| state.effects.contains_key(number))
            }),
            Property::always("memory is bounded", |_, state: &State| {
                state.memory.len() <= REMEMBERS + state.at_work.len()
                    && state.link.unacknowledged_count() <= 16
            }),
        ]
    }
}

fn explored(model: Checked) -> (usize, Vec<&'static str>) {
    let checker = model.checker().threads(4).spawn_bfs().join();
    let mut broken: Vec<&'static str> = checker.discoveries().into_keys().collect();
    broken.sort_unstable();
    (checker.unique_state_count(), broken)
}

#[test]
fn at_most_once_whatever_the_link_does() {
    for (keyed, cuts, restarts) in
        [(&[true][..], 2, 1), (&[false], 2, 1), (&[true, false], 1, 0), (&[true, false], 0, 1)]
    {
        let (states, broken) =
            explored(Checked { mistake: Mistake::None, keyed: keyed.to_vec(), cuts, restarts });
        println!("{keyed:?}, {cuts} cuts, {restarts} restarts: {states} states");
        assert_eq!(broken, Vec::<&str>::new(), "{keyed:?}");
    }
}

#[test]
fn every_seeded_mistake_is_found() {
    for (mistake, keyed, cuts, restarts) in [
        (Mistake::LongWindow, &[true][..], 0, 1),
        (Mistake::ForgetsDoubt, &[false], 0, 1),
        (Mistake::DropsDoubt, &[true], 1, 1),
    ] {
        let (_, broken) = explored(Checked { mistake, keyed: keyed.to_vec(), cuts, restarts });
        println!("{mistake:?}: {broken:?}");
        assert!(!broken.is_empty(), "{mistake:?}");
    }
}

#[test]
fn what_no_honest_peer_does_is_told() {
    let mut link: Link<u8> = Link::new(1, 2);
    assert_eq!(
        link.resume(Hello { incarnation: 2, peer: None, received: 0 }),
        Ok(Resumed::New { in_doubt: vec![] })
    );
    assert_eq!((link.send(1), link.send(2), link.send(3)), (Ok(1), Ok(2), Err(ProtocolError::Full)));
    assert_eq!(link.acknowledge(3), Err(ProtocolError::Ack));
    assert_eq!((link.acknowledge(2), link.acknowledge(1)), (Ok(()), Err(ProtocolError::Ack)));
    assert_eq!(link.receive(2, 0), Err(ProtocolError::Gap));
    assert_eq!((link.receive(1, 9), link.receive(1, 9)), (Ok(Received::New(9)), Ok(Received::Again)));
    // A hello that acknowledges frames that were never sent.
    assert_eq!(link.resume(Hello { incarnation: 2, peer: Some(1), received: 9 }), Err(ProtocolError::Ack));
    assert_eq!(link.resume(Hello { incarnation: 2, peer: Some(1), received: 2 }), Ok(Resumed::Same));
}
