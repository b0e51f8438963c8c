//! What a router keeps of members, groups and command groups: plain values, filled and read by `balance.rs`.

use crate::decaying::Decaying;
use crate::interface::Micros;

/// One member of a group, as this router sees it.
#[derive(Clone, Default)]
pub(crate) struct Member {
    pub group: usize,
    pub zone: usize,
    pub size: f64,
    pub serving: bool,
    pub started: Option<Micros>,
    pub listed_primary: bool,
    /// Latest evidence for and against its being the primary.
    pub claimed: Option<Micros>,
    pub denied: Option<Micros>,
    /// Known position, and when it was last told.
    pub position: Micros,
    pub placed: Micros,
    /// Where and when a read was missed: it stood short of this then.
    pub short_of: Option<(Micros, Micros)>,
    pub ping: Option<f64>,
    pub probed: Option<Micros>,
    pub probe_out: bool,
    pub down: bool,
    /// When a connection to it last failed.
    pub shut: Option<Micros>,
    pub answered_at: Micros,
    /// When the latest of the answered dispatches was sent.
    pub proved: Micros,
    pub failures: Decaying,
    pub answers: Decaying,
    pub waiting: f64,
    pub waiting_at: Micros,
    /// Commands waiting there, as last reported, and when.
    pub queue: f64,
    pub queue_told: Option<Micros>,
    /// Sent time and command group of each dispatch that is out.
    pub out: Vec<(Micros, usize)>,
    pub room: f64,
    /// When the last command was sent there, and the mean time of its kind.
    pub sent: Micros,
    pub usual: f64,
    /// Work sent within the window of the cold rule.
    pub sent_work: Decaying,
}

/// A group of one primary and its replicas.
#[derive(Clone, Default)]
pub(crate) struct Group {
    pub members: Vec<usize>,
    pub primary: Option<usize>,
    /// Rises with each change of primary; ties of an older age are void.
    pub age: u64,
    /// When it last changed.
    pub led: Micros,
    /// Commands of late, for the probes' share of the work.
    pub commands: Decaying,
    pub last_command: Option<Micros>,
    /// When a command last waited here for a primary.
    pub sought: Option<Micros>,
    /// Outcomes of late: late or lost ones, and all.
    pub bad: Decaying,
    pub outcomes: Decaying,
    /// Part of its reads that is turned away, where the rooms of many routers cannot bind.
    pub shed: f64,
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Need {
    Write,
    Fresh,
    Session,
    Bounded(Micros),
    Any,
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Effect {
    Replayable,
    Keyed,
    Mutating,
}

/// What the settings and the answers so far tell of a command group.
#[derive(Clone)]
pub(crate) struct Kind {
    pub need: Need,
    pub effect: Effect,
    /// Keyed: repeats are dropped by any server, in its zone, or in its group; and for how long.
    pub scope_all: bool,
    pub scope_zone: bool,
    pub repeat_within: Micros,
    pub response_target: Micros,
    pub late_benefit: f64,
    /// Usual time of a prompt answer, and of any answer.
    pub prompt: f64,
    pub mean: f64,
    /// Answers that the mean rests on.
    pub seen: f64,
    /// First dispatches of late, and further ones beside or after them.
    pub firsts: Decaying,
    pub copies: Decaying,
}

/// What a router has seen of all servers together.
#[derive(Clone, Default)]
pub(crate) struct Seen {
    /// Some server told its queue; what a told queue means for the waiting, and what each command in it adds.
    pub queues_told: bool,
    pub queue_base: f64,
    pub queue_step: f64,
    /// Probes of late, those that timed out, and whether most do.
    pub probes: Decaying,
    pub probes_lost: Decaying,
    pub probes_lost_most: bool,
    /// A probe told a role.
    pub probes_tell: bool,
    /// Commands that came of late, and those that were answered.
    pub asked: Decaying,
    pub answered: Decaying,
    /// Work answered, for its usual rate.
    pub work: Decaying,
    pub fleet: Fleet,
}

/// The members that serve, by the list: their sizes together, their groups and zones.
#[derive(Clone, Default)]
pub(crate) struct Fleet {
    pub size: f64,
    pub groups: f64,
    pub zones: f64,
}
