//! The plain values that a [`Router`](crate::Router) is asked with and answers with.
//!
//! Times are whole microseconds on one clock that only goes forward. Servers, groups and sessions are small
//! indices that the caller hands out; zones and command groups are their places in the settings.

use std::collections::BTreeMap;

pub type Micros = u64;

/// One value of the settings.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Number(f64),
    Text(String),
    Flag(bool),
}

/// Settings as dotted names, such as `command_group.0.response_target`; absent names take their defaults.
pub type Named = BTreeMap<String, Value>;

/// A command in hand.
#[derive(Clone, Debug, Default)]
pub struct Command {
    pub command_group: usize,
    pub group: usize,
    pub session: Option<usize>,
    pub arrived: Micros,
    /// When the client stops waiting for this try.
    pub client_timeout: Micros,
    /// How long before arrival the session's last write was committed, where clients bring that along.
    pub written_ago: Option<Micros>,
    /// Whose it is: a customer's place in the settings; None where it is nobody's that they name.
    pub customer: Option<usize>,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Answered,
    Errored,
    SentBack,
    TimedOut,
    Unconnected,
    Reset,
    Recalled,
    Unsent,
    Missed,
}

impl Ending {
    /// True where the ending proves that the command did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::SentBack | Ending::Unconnected | Ending::Unsent | Ending::Missed)
    }
}

#[derive(Clone, Debug)]
pub struct Dispatch {
    pub server: usize,
    /// When it was placed there.
    pub sent: Micros,
    /// When its last byte was written; None: not yet, so that it can't have run and may be called off unsent.
    pub written: Option<Micros>,
    /// None while it is out.
    pub ended: Option<Ending>,
}

impl Dispatch {
    /// One that is written whole as it is placed.
    pub fn at_once(server: usize, now: Micros) -> Self {
        Dispatch { server, sent: now, written: Some(now), ended: None }
    }
}

/// A command with its dispatches so far, as the caller keeps it.
#[derive(Clone, Debug, Default)]
pub struct Held {
    pub command: Command,
    pub dispatches: Vec<Dispatch>,
}

/// What a server says of itself, in an answer or a probe; what it leaves out is None.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Up to when the server has applied all commits.
    pub position: Option<Micros>,
    pub primary: Option<bool>,
    pub queue: Option<f64>,
    pub busy: Option<f64>,
}

/// How a dispatch ended, with what came along.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Which dispatch of the command.
    pub dispatch: usize,
    pub ending: Ending,
    pub took: Micros,
    /// True once the command has its final answer.
    pub over: bool,
    /// What the answer itself states, exact as of now. For a write that went through, `position` is its
    /// commit.
    pub stated: Report,
    /// A load report that came along, some time old.
    pub report: Option<Report>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Serving,
    Draining,
    Gone,
}

/// An entry of the server list.
#[derive(Clone, Debug)]
pub struct Listed {
    pub server: usize,
    pub group: usize,
    pub zone: usize,
    pub size: f64,
    pub standing: Standing,
    pub primary: bool,
    /// When its process last started; None: long ago.
    pub started: Option<Micros>,
}

/// What other routers say of a server, for [`Router::told`](crate::Router::told).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Hearsay {
    pub server: usize,
    /// When it was last heard to lead, where others agree that it does.
    pub leads: Option<Micros>,
    /// When others last found it to be of no use, where they agree that it is.
    pub bad: Option<Micros>,
    /// How long commands waited there of late, where it has just started: the mean of what others met, in microseconds.
    pub waiting: f64,
}

/// Where to send a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Send it there; the dispatch times out after so long.
    Dispatch {
        server: usize,
        timeout: Micros,
    },
    /// Keep it and ask again after the wait.
    NotYet,
    Never(Final),
}

/// A final answer other than the server's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// A new try does no harm, best after so long (0: no advice).
    Throttled { come_back: Micros },
    /// Promises nothing about the effect.
    Failed,
}

/// What to do after an outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum After {
    /// Ask where to send the command now.
    Ask,
    /// The command is over: call off these dispatches of it.
    Over { recall: Vec<usize> },
}

/// Draws that a caller prescribes to a [`Router`](crate::Router) in place of chance, and those that were made. It
/// serves checkers that try every pick in turn; a gateway has none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Picks {
    /// Only draws below a bound of 2 to this many are prescribed; wider ones stay with the seed.
    pub most: usize,
    /// What the draws give, in turn; those beyond give 0.
    pub told: Vec<usize>,
    /// The draws made: below what, and what they gave.
    pub drawn: Vec<(usize, usize)>,
}

impl Picks {
    pub(crate) fn next(&mut self, bound: usize) -> usize {
        let drawn = self.told.get(self.drawn.len()).map_or(0, |told| (*told).min(bound - 1));
        self.drawn.push((bound, drawn));
        drawn
    }
}

/// How long to wait, and what is due before that.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Wait {
    pub micros: Micros,
    /// Dispatches of the command to call off now: of those that are not written whole, each that may not be any
    /// more. A host asks about it again before it writes.
    pub recall: Vec<usize>,
    /// Servers to probe now.
    pub probes: Vec<usize>,
    /// Ask for the server list, and for its changes from now on.
    pub watch: bool,
}

/// What a member lacks for a command; the first of these that holds, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lack {
    /// By the list it drains or is gone.
    Serving,
    /// It is down, or refused connections of late.
    Reach,
    /// It is silent or fails much.
    Wellness,
    /// The command needs the primary, and it is not known as that.
    Role,
    /// This command has been there.
    AnotherTry,
    /// Its data is too old.
    Freshness,
    /// It is cold and gets no more.
    Warmth,
    /// It has as many commands as it answers in time, or told of a queue.
    Room,
    Nothing,
}

/// What a member lacks, from [`Router::lacks`](crate::Router::lacks).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lacking {
    pub server: usize,
    pub primary: bool,
    /// It has started of late.
    pub cold: bool,
    pub lack: Lack,
}
