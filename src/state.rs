//! State that a router keeps of members, groups and command groups: plain values used by `balance.rs`.

use crate::decaying_sum::DecayingSum;
use crate::interface::Micros;

/// A member of a group, as seen by this router.
#[derive(Clone, Default)]
pub(crate) struct Member {
    pub group: usize,
    pub zone: usize,
    pub size: f64,
    pub serving: bool,
    pub started: Option<Micros>,
    pub listed_primary: bool,
    /// Time of the latest evidence that it is, or is not, the primary.
    pub primary_claimed_at: Option<Micros>,
    pub primary_denied_at: Option<Micros>,
    /// Last known position, and when it was reported.
    pub position: Micros,
    pub position_reported_at: Micros,
    /// Position required by the last read that it could not serve, and when that was.
    pub missed_position: Option<(Micros, Micros)>,
    pub average_ping: Option<f64>,
    pub last_probe_at: Option<Micros>,
    pub probe_in_flight: bool,
    pub down: bool,
    /// When a connection to it was last refused.
    pub refused_at: Option<Micros>,
    pub answered_at: Micros,
    /// Send time of the latest dispatch that was answered.
    pub latest_answered_sent_at: Micros,
    pub failures: DecayingSum,
    pub answers: DecayingSum,
    /// Average wait of recent commands in µs, and when it was updated.
    pub average_wait: f64,
    pub average_wait_at: Micros,
    /// Queue length as last reported, and when.
    pub queue_length: f64,
    pub queue_reported_at: Option<Micros>,
    /// Send time and command group of each dispatch in flight.
    pub in_flight: Vec<(Micros, usize)>,
    /// Number of commands that may be in flight at once; below 1, commands are spaced out.
    pub concurrency_limit: f64,
    /// When the last command was sent there, and the mean time of its command group in µs.
    pub last_sent_at: Micros,
    pub last_sent_mean_time: f64,
    /// Work sent within the overload window of the settings.
    pub sent_work: DecayingSum,
}

/// A group of one primary and its replicas.
#[derive(Clone, Default)]
pub(crate) struct Group {
    pub members: Vec<usize>,
    pub primary: Option<usize>,
    /// Number of changes of primary so far; session affinities of an earlier epoch are void.
    pub primary_epoch: u64,
    /// When the primary last changed.
    pub primary_changed_at: Micros,
    /// Recent commands; probes are limited to a share of them.
    pub recent_commands: DecayingSum,
    pub last_command_at: Option<Micros>,
    /// When a command last waited for a primary of this group.
    pub primary_sought_at: Option<Micros>,
    /// Recent outcomes: late or lost ones, and all.
    pub recent_bad_outcomes: DecayingSum,
    pub recent_outcomes: DecayingSum,
    /// Share of its commands that is shed, where many routers' concurrency limits have no effect.
    pub shed_share: f64,
}

/// Freshness that the commands of a group need.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Need {
    Write,
    Fresh,
    Session,
    Bounded(Micros),
    Any,
}

/// Whether a command may run more than once.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Effect {
    /// Any number of times.
    Replayable,
    /// Repeats within a time window are dropped by their key.
    Keyed,
    /// Once at most.
    Mutating,
}

/// Settings and statistics of a command group.
#[derive(Clone)]
pub(crate) struct CommandGroup {
    pub need: Need,
    pub effect: Effect,
    /// For keyed commands, repeats are dropped by any server, by servers of the same zone, or else by servers of the
    /// same group; and for how long.
    pub deduplicated_anywhere: bool,
    pub deduplicated_per_zone: bool,
    pub repeat_within: Micros,
    pub response_target: Micros,
    pub late_benefit: f64,
    /// Typical time in µs of an answer without waiting, and mean time of all answers.
    pub prompt_time: f64,
    pub mean_time: f64,
    /// Number of answers in the mean.
    pub answer_count: f64,
    /// Recent first dispatches, and hedged dispatches.
    pub first_dispatches: DecayingSum,
    pub hedged_dispatches: DecayingSum,
}

/// Statistics over all servers.
#[derive(Clone, Default)]
pub(crate) struct RouterStats {
    /// Whether any server reported a queue; the estimated wait in µs behind a queue, and the wait added by each
    /// queued command.
    pub queues_reported: bool,
    pub queue_base_wait: f64,
    pub queue_wait_per_command: f64,
    /// Recent probes, those that timed out, and whether most did.
    pub recent_probes: DecayingSum,
    pub recent_lost_probes: DecayingSum,
    pub most_probes_lost: bool,
    /// Whether any probe reported a role.
    pub probes_report_role: bool,
    /// Recent arrivals, and recent answers.
    pub recent_arrivals: DecayingSum,
    pub recent_answers: DecayingSum,
    /// Work answered, as a recent rate.
    pub answered_work: DecayingSum,
    pub serving: ServingMembers,
}

/// The serving members of the server list: sum of their sizes, number of groups and of zones.
#[derive(Clone, Default)]
pub(crate) struct ServingMembers {
    pub size: f64,
    pub groups: f64,
    pub zones: f64,
}
