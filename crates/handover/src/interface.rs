//! Input and output types of [`Handover`](crate::Handover). Times are whole microseconds; shards, servers, sessions
//! and clients are numbers assigned by the host.

use tansyjunction::interface::Micros;

use crate::phase::Phase;

/// Limits and times, from the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct HandoverConfig {
    /// Most held writes of a shard, most bytes of them, and most held writes of one client.
    pub max_held_writes: usize,
    pub max_held_bytes: usize,
    pub max_held_per_client: usize,
    /// Most bytes held over all shards.
    pub max_held_bytes_total: usize,
    /// How long an announced change may wait for its target to catch up, and then for writes in flight to end.
    pub catch_up_timeout: Micros,
    pub drain_timeout: Micros,
    /// A planned change is abandoned if its target is not primary after this time.
    pub switch_timeout: Micros,
    /// Largest lag of a target that counts as caught up.
    pub max_target_lag: Micros,
    /// Time reserved for a final answer before the client timeout.
    pub answer_reserve: Micros,
    /// Interval between the first releases over all gateways together, and the shortest interval.
    pub release_gap: Micros,
    pub min_release_gap: Micros,
    /// Number of gateways that release at the same time, including this one.
    pub gateways: u64,
    /// Assumed duration of a change before one was observed.
    pub expected_duration: Micros,
    /// Interval between probes of a server while its shard has no primary; 0 if servers cannot be probed.
    pub probe_interval: Micros,
    /// A primary that has not answered for this long since a write was sent there is probed.
    pub suspect_after: Micros,
    /// Largest age of a position reported by a server.
    pub max_report_age: Micros,
    /// A claim of the primary role not renewed for this long gives way to another.
    pub claim_lifetime: Micros,
}

impl Default for HandoverConfig {
    fn default() -> Self {
        HandoverConfig {
            max_held_writes: 2_000,
            max_held_bytes: 8 << 20,
            max_held_per_client: 64,
            max_held_bytes_total: 16 << 20,
            catch_up_timeout: 5_000_000,
            drain_timeout: 1_000_000,
            switch_timeout: 30_000_000,
            max_target_lag: 1_000_000,
            answer_reserve: 5_000,
            release_gap: 4_000,
            min_release_gap: 200,
            gateways: 1,
            expected_duration: 2_000_000,
            probe_interval: 50_000,
            suspect_after: 250_000,
            max_report_age: 300_000,
            claim_lifetime: 1_500_000,
        }
    }
}

/// A write that is about to go to the router.
#[derive(Clone, Debug, Default, Hash, PartialEq, Eq)]
pub struct Write {
    /// Id assigned by the host, the same until the command is finished.
    pub id: u64,
    pub shard: usize,
    pub client: u64,
    pub session: Option<usize>,
    pub bytes: usize,
    pub arrived: Micros,
    pub client_timeout: Micros,
    /// Whether it may be repeated under its key for a limited time.
    pub keyed: bool,
    /// Until when it may be repeated, if it may have executed (0: never). `None`: it did not execute.
    pub repeat_until: Option<Micros>,
}

/// Answer of [`Handover::admit`](crate::Handover::admit).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Give it to the router.
    Pass,
    /// Hold it until [`DueActions`] names it.
    Hold,
    /// Answer it: a retry is harmless, at best after this many µs.
    Throttle { retry_after: Micros },
    /// Answer it: it may have executed and cannot be repeated in time.
    Fail,
}

/// What the host has to do now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DueActions {
    /// Writes to give to the router, in this order.
    pub release: Vec<u64>,
    /// Writes to answer: throttled with a retry-after time in µs, or failed.
    pub give_up: Vec<(u64, Option<Micros>)>,
    /// Keyed writes in flight at a server that was replaced: their dispatches are to be cancelled and repeated.
    pub cancel: Vec<u64>,
    /// Shards whose phase or primary has changed since the last call.
    pub changed_shards: Vec<usize>,
    /// Servers to probe now for their role.
    pub probe: Vec<usize>,
}

/// Why an operator's request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestError {
    /// The shard is unknown.
    NoSuchShard,
    /// The shard has no such server.
    NoSuchServer,
    /// The server is the primary already.
    AlreadyPrimary,
    /// The server is lost, draining or gone.
    TargetUnavailable,
    /// Another change is in progress.
    ChangeInProgress,
    /// There is no change to abort, or nothing to resume.
    NothingInProgress,
}

impl std::fmt::Display for RequestError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            RequestError::NoSuchShard => "there is no such shard",
            RequestError::NoSuchServer => "the shard has no such server",
            RequestError::AlreadyPrimary => "it is the primary already",
            RequestError::TargetUnavailable => "it is lost, draining or gone",
            RequestError::ChangeInProgress => "another change is under way",
            RequestError::NothingInProgress => "nothing is under way",
        })
    }
}

/// State of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardStatus {
    pub shard: usize,
    pub phase: Phase,
    pub since: Micros,
    pub primary: Option<usize>,
    /// Number of changes of primary observed.
    pub term: u64,
    pub held: usize,
    pub held_bytes: usize,
    pub in_flight: usize,
    /// Target of a planned change.
    pub target: Option<usize>,
    pub paused: bool,
    pub fenced: Vec<usize>,
}
