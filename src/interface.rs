//! Input and output types of a [`Router`](crate::Router).
//!
//! Times are whole microseconds of one monotonic clock. Servers, groups and sessions are small numbers assigned by
//! the host; zones and command groups are indices into the settings.

use std::collections::BTreeMap;

/// A time or duration in microseconds.
pub type Micros = u64;

/// Value of a setting.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Number(f64),
    Text(String),
    Flag(bool),
}

/// Settings by dotted name, such as `command_group.0.response_target`. Absent names take their defaults.
pub type SettingsByName = BTreeMap<String, Value>;

/// A command that has no final answer yet.
#[derive(Clone, Debug, Default)]
pub struct Command {
    pub command_group: usize,
    pub group: usize,
    pub session: Option<usize>,
    pub arrived: Micros,
    /// When the client gives up on this attempt.
    pub client_timeout: Micros,
    /// Age of the session's last write at arrival, where clients send it along.
    pub last_write_age: Option<Micros>,
    /// Until when the session may have written, where the host has forgotten it since.
    pub forgotten_until: Option<Micros>,
    /// Index of the customer in the settings; `None` where it belongs to none of them.
    pub customer: Option<usize>,
}

/// How a dispatch ended. The names appear in logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchEnd {
    /// The server answered.
    Answered,
    /// The server answered with an error.
    Errored,
    /// The server rejected the command without running it, for example because it was overloaded.
    SentBack,
    /// No answer within the timeout.
    TimedOut,
    /// No connection came up.
    Unconnected,
    /// The connection broke after the command was sent.
    Reset,
    /// The router had it cancelled.
    Recalled,
    /// It was cancelled before it was written completely.
    Unsent,
    /// The member did not qualify: not the primary, or not fresh enough.
    Missed,
}

impl DispatchEnd {
    /// Whether this proves that the command did not execute.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            DispatchEnd::SentBack | DispatchEnd::Unconnected | DispatchEnd::Unsent | DispatchEnd::Missed
        )
    }
}

/// One attempt to run a command on a server.
#[derive(Clone, Debug)]
pub struct Dispatch {
    pub server: usize,
    /// When the router chose the server.
    pub sent: Micros,
    /// When its last byte was written. `None`: not yet, so it cannot have executed and may be cancelled.
    pub written: Option<Micros>,
    /// `None` while it is in flight.
    pub ended: Option<DispatchEnd>,
}

impl Dispatch {
    /// A dispatch that was written completely when it was placed.
    pub fn written_immediately(server: usize, now: Micros) -> Self {
        Dispatch { server, sent: now, written: Some(now), ended: None }
    }
}

/// A command with its dispatches so far, as kept by the host.
#[derive(Clone, Debug, Default)]
pub struct PendingCommand {
    pub command: Command,
    pub dispatches: Vec<Dispatch>,
}

/// What a server reports about itself in an answer or a probe; `None` where it says nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Commit time up to which the server has applied the log.
    pub position: Option<Micros>,
    pub primary: Option<bool>,
    pub queue: Option<f64>,
    pub busy: Option<f64>,
}

/// The end of a dispatch, with the reports that came along.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Index among the command's dispatches.
    pub dispatch: usize,
    pub ending: DispatchEnd,
    pub took: Micros,
    /// Whether the command has its final answer.
    pub finished: bool,
    /// What the answer itself states, true at this moment. For a successful write, `position` is its commit.
    pub answer_report: Report,
    /// A load report sent with the answer, some time old.
    pub load_report: Option<Report>,
}

/// Lifecycle state of a server in the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    Serving,
    Draining,
    Gone,
}

/// An entry of the server list.
#[derive(Clone, Debug)]
pub struct ServerListEntry {
    pub server: usize,
    pub group: usize,
    pub zone: usize,
    pub size: f64,
    pub state: ServerState,
    pub primary: bool,
    /// When its process started; `None` if long ago.
    pub started: Option<Micros>,
}

/// What other routers observed of a server, for [`Router::on_peer_observation`](crate::Router::on_peer_observation).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerObservation {
    pub server: usize,
    /// When it was last seen as primary, where other routers agree on it.
    pub leading_at: Option<Micros>,
    /// When it was last found unusable, where other routers agree on it.
    pub unusable_at: Option<Micros>,
    /// Mean recent wait in µs that others saw at a server that has just started.
    pub mean_wait: f64,
}

/// Answer of [`Router::place`](crate::Router::place).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Send it to this server with this timeout in µs.
    Dispatch { server: usize, timeout: Micros },
    /// Hold it and ask again at the next check.
    Hold,
    /// Abandon it with this final answer.
    Abandon(FinalAnswer),
}

/// A final answer that does not come from a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// A retry is harmless, at best after this many µs (0: no advice).
    Throttled { retry_after: Micros },
    /// The command may or may not have taken effect.
    Failed,
}

/// What to do after a dispatch has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Ask for another placement of the command.
    PlaceAgain,
    /// The command is finished: cancel these dispatches of it.
    Finished { cancel: Vec<usize> },
}

/// Replaces a [`Router`](crate::Router)'s random draws with prescribed values and records the draws made. Used by
/// model checkers that try every value; gateways do not use it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrescribedDraws {
    /// Only draws with a bound from 2 to this are prescribed; others come from the seeded generator.
    pub max_bound: usize,
    /// Values of the draws in turn; further draws give 0.
    pub values: Vec<usize>,
    /// The draws made: bound and value.
    pub drawn: Vec<(usize, usize)>,
}

impl PrescribedDraws {
    pub(crate) fn next(&mut self, bound: usize) -> usize {
        let drawn = self.values.get(self.drawn.len()).map_or(0, |told| (*told).min(bound - 1));
        self.drawn.push((bound, drawn));
        drawn
    }
}

/// When to ask the router again, and what to do before that.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NextCheck {
    /// Time until the next check.
    pub after: Micros,
    /// Dispatches of the command to cancel now, among them those not yet completely written that may no longer be
    /// sent. The host asks again before it writes.
    pub cancel: Vec<usize>,
    /// Servers to probe now.
    pub probes: Vec<usize>,
    /// Whether to request the server list and subscribe to its changes.
    pub request_list: bool,
}

/// The first condition in this order that a member fails for a command. The names appear in logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MissingRequirement {
    /// The server list says that it drains or is gone.
    Serving,
    /// It is down or recently refused connections.
    Reach,
    /// It is silent or fails too many commands.
    Wellness,
    /// The command needs the primary, and this member is not known to be it.
    Role,
    /// It was already tried for this command.
    AnotherTry,
    /// Its data is too old for the read.
    Freshness,
    /// It is warming up and gets no more commands now.
    Warmth,
    /// Its concurrency limit is reached, or it reported a queue.
    Room,
    /// It qualifies.
    Nothing,
}

/// A member's diagnosis, from [`Router::diagnose`](crate::Router::diagnose).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberDiagnosis {
    pub server: usize,
    pub primary: bool,
    /// It has started recently and is warming up.
    pub cold: bool,
    pub missing: MissingRequirement,
}
