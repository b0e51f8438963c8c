//! Actual state of the servers in a scenario, as opposed to what a router knows.

use tansyjunction::interface::*;

/// Usual lag of an up-to-date replica in microseconds.
pub const CALM_LAG: Micros = 50_000;

/// How a server reacts to commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Condition {
    Well,
    /// It accepts connections and never answers.
    Hung,
    /// Its process is gone: connections are refused at once.
    Refusing,
    /// It is unreachable: connections never come up.
    Cut,
    /// It answers every command with an error.
    Erring,
    /// It rejects every command.
    Full,
}

/// Conditions by name.
pub const CONDITIONS: [(&str, Condition); 6] = [
    ("well", Condition::Well),
    ("hung", Condition::Hung),
    ("refusing", Condition::Refusing),
    ("cut", Condition::Cut),
    ("erring", Condition::Erring),
    ("full", Condition::Full),
];

/// What a server reports about its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Claim {
    Truth,
    Primary,
    Nothing,
}

/// Actual state of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ActualState {
    /// State in the list, and since when (on the simulation's clock, in microseconds).
    pub standing: ServerState,
    pub told_at: Micros,
    pub primary: bool,
    pub listed_primary: bool,
    pub claim: Claim,
    /// Whether it was primary until it was replaced, and has reported this since.
    pub was_primary: bool,
    pub told_replica: bool,
    /// Lag in microseconds; 0 for a primary.
    pub lag: Micros,
    pub condition: Condition,
    /// Whether the gateway's probes found the condition before the command arrives.
    pub noticed: bool,
    pub started: Option<Micros>,
    /// Whether a dispatch to it failed in this run.
    pub failed: bool,
}

impl ActualState {
    /// Position up to which it has applied the log.
    pub fn position(&self, now: Micros) -> Micros {
        if self.primary { now } else { now.saturating_sub(self.lag) }
    }

    /// Whether it started less than `cold` ago.
    pub fn cold(&self, now: Micros, cold: Micros) -> bool {
        self.started.is_some_and(|started| now < started + cold)
    }
}

/// Possible outcomes of a dispatch, beside that determined by the scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DispatchFate {
    Answer,
    /// An answer when most of the soft timeout is over.
    Slow,
    Miss,
    Error,
    Full,
    Silence,
    Unconnected,
    Reset,
    /// The primary changes while the command is in transit.
    Change,
}

/// Faults that expectations may request, by name.
pub const FAULTS: [(&str, DispatchFate); 8] = [
    ("slow", DispatchFate::Slow),
    ("miss", DispatchFate::Miss),
    ("error", DispatchFate::Error),
    ("full", DispatchFate::Full),
    ("silence", DispatchFate::Silence),
    ("unconnected", DispatchFate::Unconnected),
    ("reset", DispatchFate::Reset),
    ("change", DispatchFate::Change),
];

impl DispatchFate {
    /// Name in expectations.
    pub fn word(self) -> &'static str {
        FAULTS.iter().find(|(_, fault)| *fault == self).map_or("answer", |(word, _)| word)
    }

    /// The dispatch end that the router is told.
    pub fn ending(self) -> DispatchEnd {
        match self {
            DispatchFate::Answer | DispatchFate::Slow | DispatchFate::Change => DispatchEnd::Answered,
            DispatchFate::Miss => DispatchEnd::Missed,
            DispatchFate::Error => DispatchEnd::Errored,
            DispatchFate::Full => DispatchEnd::SentBack,
            DispatchFate::Silence => DispatchEnd::TimedOut,
            DispatchFate::Unconnected => DispatchEnd::Unconnected,
            DispatchFate::Reset => DispatchEnd::Reset,
        }
    }
}
