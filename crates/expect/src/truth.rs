//! How servers truly stand in a world, as opposed to what a router has been told of them.

use tansyjunction::interface::*;

/// A replica that is up to date stands about so far behind.
pub const CALM_LAG: Micros = 50_000;

/// What a server does with what reaches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Condition {
    Well,
    /// It takes connections and answers nothing.
    Hung,
    /// Its process is gone: connections are refused at once.
    Refusing,
    /// Nothing reaches it: connections never come up.
    Cut,
    /// It answers every command with an error.
    Erring,
    /// It sends every command back.
    Full,
}

pub const CONDITIONS: [(&str, Condition); 6] = [
    ("well", Condition::Well),
    ("hung", Condition::Hung),
    ("refusing", Condition::Refusing),
    ("cut", Condition::Cut),
    ("erring", Condition::Erring),
    ("full", Condition::Full),
];

/// What a server says of its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Claim {
    Truth,
    Primary,
    Nothing,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Truth {
    /// As the list tells it, and since when (on the world's clock, in microseconds).
    pub standing: ServerState,
    pub told_at: Micros,
    pub primary: bool,
    pub listed_primary: bool,
    pub claim: Claim,
    /// It was primary until it was replaced, and whether it has told the gateway so since.
    pub was_primary: bool,
    pub told_replica: bool,
    /// How far it is behind, in microseconds; 0 for a primary.
    pub lag: Micros,
    pub condition: Condition,
    /// Whether the gateway's probes have found the condition before the command comes.
    pub noticed: bool,
    pub started: Option<Micros>,
    /// A dispatch to it failed in this run.
    pub failed: bool,
}

impl Truth {
    /// Up to when it has applied all commits.
    pub fn position(&self, now: Micros) -> Micros {
        if self.primary { now } else { now.saturating_sub(self.lag) }
    }

    pub fn cold(&self, now: Micros, cold: Micros) -> bool {
        self.started.is_some_and(|started| now < started + cold)
    }
}

/// What may become of a dispatch, beside what the world has in store for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Happens {
    Answer,
    /// An answer that comes when most of the patience is over.
    Slow,
    Miss,
    Error,
    Full,
    Silence,
    Unconnected,
    Reset,
    /// The primary changes as the command is on its way.
    Change,
}

/// Those that expectations may ask for, by the words that they use.
pub const FAULTS: [(&str, Happens); 8] = [
    ("slow", Happens::Slow),
    ("miss", Happens::Miss),
    ("error", Happens::Error),
    ("full", Happens::Full),
    ("silence", Happens::Silence),
    ("unconnected", Happens::Unconnected),
    ("reset", Happens::Reset),
    ("change", Happens::Change),
];

impl Happens {
    pub fn word(self) -> &'static str {
        FAULTS.iter().find(|(_, fault)| *fault == self).map_or("answer", |(word, _)| word)
    }

    pub fn ending(self) -> DispatchEnd {
        match self {
            Happens::Answer | Happens::Slow | Happens::Change => DispatchEnd::Answered,
            Happens::Miss => DispatchEnd::Missed,
            Happens::Error => DispatchEnd::Errored,
            Happens::Full => DispatchEnd::SentBack,
            Happens::Silence => DispatchEnd::TimedOut,
            Happens::Unconnected => DispatchEnd::Unconnected,
            Happens::Reset => DispatchEnd::Reset,
        }
    }
}
