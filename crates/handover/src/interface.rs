//! The plain values that a [`Handover`](crate::Handover) is asked with and answers with. Times are whole microseconds;
//! shards, servers, sessions and clients are the host's numbers.

use tansyjunction::interface::Micros;

use crate::phase::Phase;

/// Bounds and times, from the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Figures {
    /// Held writes of a shard, their bytes, and held writes of one client.
    pub held_most: usize,
    pub held_bytes: usize,
    pub held_client: usize,
    /// Bytes that all shards together may hold.
    pub held_bytes_all: usize,
    /// How long an announced change may wait for its target to catch up, and writes that are out to end.
    pub announce_for: Micros,
    pub drain_for: Micros,
    /// After so long in a planned change the target is given up.
    pub switch_for: Micros,
    /// A target is caught up that is at most so far behind.
    pub caught_up: Micros,
    /// Time that a final answer needs, before the client timeout.
    pub round: Micros,
    /// Between the first two releases of all gateways together, and the least.
    pub gap: Micros,
    pub gap_least: Micros,
    /// Gateways that release at once, this one included.
    pub gateways: u64,
    /// How long a change is taken to last before one was seen.
    pub usual: Micros,
    /// Between looks at a server while its shard's primary is sought; 0: servers can't be asked.
    pub look_every: Micros,
    /// A primary that has not been heard since a write went there so long ago is asked how it stands.
    pub suspect_after: Micros,
    /// How old what a server says of its position may be.
    pub report_age: Micros,
    /// A claim that was not renewed for so long gives way to another.
    pub doubt_for: Micros,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            held_most: 2_000,
            held_bytes: 8 << 20,
            held_client: 64,
            held_bytes_all: 16 << 20,
            announce_for: 5_000_000,
            drain_for: 1_000_000,
            switch_for: 30_000_000,
            caught_up: 1_000_000,
            round: 5_000,
            gap: 4_000,
            gap_least: 200,
            gateways: 1,
            usual: 2_000_000,
            look_every: 50_000,
            suspect_after: 250_000,
            report_age: 300_000,
            doubt_for: 1_500_000,
        }
    }
}

/// A write that is about to go to the router.
#[derive(Clone, Debug, Default, Hash, PartialEq, Eq)]
pub struct Write {
    /// The host's number; the same as long as the command is in hand.
    pub id: u64,
    pub shard: usize,
    pub client: u64,
    pub session: Option<usize>,
    pub bytes: usize,
    pub arrived: Micros,
    pub client_timeout: Micros,
    /// It may be repeated by its key for a while.
    pub keyed: bool,
    /// It may have run: until when it may be repeated. 0: never again. None: it surely did not run.
    pub repeat_until: Option<Micros>,
}

/// What to do with a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admit {
    /// Put it to the router.
    Pass,
    /// Keep it until [`Due`] names it.
    Hold,
    /// Answer it: a new try does no harm, best after so long.
    Throttle { come_back: Micros },
    /// Answer it: it may have run, and may not be repeated in time.
    Fail,
}

/// What is due now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// To be put to the router, in this order.
    pub release: Vec<u64>,
    /// To be answered: throttled with a time to come back, or failed.
    pub give_up: Vec<(u64, Option<Micros>)>,
    /// Writes whose dispatches are at a server that was replaced: to be called off, so that their keys take them on.
    pub recall: Vec<u64>,
    /// Shards whose phase or primary has changed since they were last told.
    pub turned: Vec<usize>,
    /// Servers to be asked now how they stand.
    pub looks: Vec<usize>,
}

/// Why an operator's word was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    NoSuchShard,
    NoSuchServer,
    /// It leads already.
    Leads,
    /// It is not well, draining or gone.
    NotWell,
    /// Another change is under way.
    UnderWay,
    /// There is nothing to abort, or to resume.
    Nothing,
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Refusal::NoSuchShard => "there is no such shard",
            Refusal::NoSuchServer => "the shard has no such server",
            Refusal::Leads => "it is the primary already",
            Refusal::NotWell => "it is lost, draining or gone",
            Refusal::UnderWay => "another change is under way",
            Refusal::Nothing => "nothing is under way",
        })
    }
}

/// How a shard stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    pub shard: usize,
    pub phase: Phase,
    pub since: Micros,
    pub primary: Option<usize>,
    /// How many changes of primary were seen.
    pub term: u64,
    pub held: usize,
    pub held_bytes: usize,
    pub out: usize,
    /// The target of an announced change.
    pub target: Option<usize>,
    pub paused: bool,
    pub fenced: Vec<usize>,
}
