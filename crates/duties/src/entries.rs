//! Entries of the replicated log, the objects they change, and their outcomes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Most bytes in the name of a document, gateway, zone or duty.
pub const MAX_NAME_BYTES: usize = 128;
/// Most bytes in a document's body: an entry must fit into a datagram.
pub const MAX_BODY_BYTES: usize = 48 << 10;
/// Most bytes of keys and values that a gateway reports in a renewal.
pub const MAX_REPORT_BYTES: usize = 4 << 10;
/// Most documents, duties and attendances each: the state is kept in memory and sent whole to new members.
pub const MAX_OBJECTS: usize = 4_096;

/// A versioned document that all gateways agree on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Document {
    /// Increases with each replacement, from 1; never starts over under the same name.
    pub version: u64,
    pub body: String,
    /// The gateway that proposed it.
    pub by: String,
    pub fence: Option<Fence>,
    /// Log index of its decision.
    pub index: u64,
}

/// The duty and epoch under which a document or effect is written; a fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fence {
    pub duty: String,
    pub epoch: u64,
}

/// A gateway's registration, kept alive by renewals like a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attendance {
    /// Identifies the run of the process; later runs have larger numbers.
    pub life: u64,
    /// Number of the last accepted renewal of this run. Followers may have an older one.
    pub number: u64,
    /// Changes with each accepted renewal; compared by [`Entry::Absent`]. Followers may have an older one.
    pub renewal: u64,
    /// It has adopted the documents up to this index.
    pub taken: u64,
    pub zone: String,
    /// Health reported by itself: 0 is healthy, 8 the worst.
    pub health: u8,
    /// Tenths of its capacity that are free; 0: none, or it is about to leave.
    pub room: u8,
    pub says: BTreeMap<String, String>,
    /// Log index of its last change other than of counters.
    pub index: u64,
}

/// What a duty applies to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Scope {
    #[default]
    Fleet,
    /// A zone; a holder in it is preferred.
    Zone(String),
    Shard(u32),
}

/// State of a duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Standing {
    Held,
    /// Renewals are no longer accepted; vacant once the lease has expired or the holder has released it.
    Revoked {
        why: Revoked,
    },
    Vacant {
        /// Log index since which it is vacant.
        since: u64,
        why: Vacated,
    },
}

/// Why a duty is revoked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Revoked {
    /// The holder renews and has work, but makes no progress.
    Stalled,
    /// The holder reports that it is unhealthy or about to leave.
    Unwell,
    /// An operator requested it.
    Operator,
}

/// Why a duty has no holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Vacated {
    /// It was never granted.
    New,
    /// The lease expired without a renewal.
    RanOut,
    /// It was revoked, and the lease expired or was released.
    Revoked(Revoked),
    /// The holder released it.
    GivenBack(GivenBack),
}

/// Why a holder releases a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum GivenBack {
    /// It shuts down.
    Leaves,
    /// The duty was revoked.
    Revoked,
    /// It needs a newer epoch, so that no effect of the current one can still arrive.
    NewEpoch,
    /// It cannot perform the duty.
    Unable,
}

/// A task that one gateway performs at a time, under a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Duty {
    pub scope: Scope,
    /// Increases by one with each holder; never starts over under the same name.
    pub epoch: u64,
    /// The holder and the run of its process; `None` if vacant.
    pub holder: Option<(String, u64)>,
    /// Number of renewals accepted in this epoch; compared by [`Entry::Expire`]. Followers may have an older one.
    pub renewal: u64,
    pub standing: Standing,
    /// Work done, as counted by the holder, and whether more work waits. Followers may have older values.
    pub progress: u64,
    pub waits: bool,
    /// Gateways that lost it involuntarily, newest last; at most [`MAX_LOSSES`].
    pub lost: Vec<Lost>,
    /// Log index of its last change other than of counters.
    pub index: u64,
}

/// Most losses of a duty that are recorded.
pub const MAX_LOSSES: usize = 8;

/// An involuntary loss of a duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lost {
    pub gateway: String,
    pub epoch: u64,
    pub index: u64,
}

/// A proposal to the replicated log. It takes effect only if the values it names still match when it is applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// Replaces the document of version `expected` (0: there must be none). Without a body the document is removed.
    Put {
        name: String,
        expected: u64,
        body: Option<String>,
        by: String,
        fence: Option<Fence>,
    },
    /// Renews attendance and held duties. May contain renewals of several gateways.
    Renewals(Vec<Renewal>),
    /// The gateway leaves and has stopped all its duties ([`LeaseHolder::leave`](crate::LeaseHolder::leave)): its
    /// attendance ends at once and its duties become vacant.
    Leave {
        gateway: String,
        life: u64,
    },
    Open {
        duty: String,
        scope: Scope,
    },
    /// Removes the duty if its epoch matches. If it is held, the holder has stopped before it proposes this.
    Close {
        duty: String,
        epoch: u64,
    },
    /// Grants the duty to `to` at the next epoch; only if it is vacant at exactly `after_epoch`.
    Grant {
        duty: String,
        after_epoch: u64,
        to: String,
    },
    /// Proposed by the holder, which has stopped before: `to` holds the next epoch at once; vacant if `to` does not
    /// attend.
    HandOn {
        duty: String,
        epoch: u64,
        to: String,
    },
    /// Proposed by the holder, which has stopped before.
    Release {
        duty: String,
        epoch: u64,
        why: GivenBack,
    },
    /// Stops accepting renewals. [`Revoked::Stalled`] takes effect only if there was no progress beyond `progress`.
    Revoke {
        duty: String,
        epoch: u64,
        progress: u64,
        why: Revoked,
    },
    /// Ends the lease if this was its last renewal.
    Expire {
        duty: String,
        epoch: u64,
        renewal: u64,
    },
    /// Ends the attendance if this was its last renewal.
    Absent {
        gateway: String,
        renewal: u64,
    },
}

/// A gateway's heartbeat, which renews its attendance and its leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Renewal {
    pub gateway: String,
    pub life: u64,
    /// Increases with each renewal of a run; older ones are rejected after newer ones.
    pub number: u64,
    /// It has adopted the documents up to this index.
    pub taken: u64,
    pub zone: String,
    /// 0 is healthy, 8 the worst.
    pub health: u8,
    /// Tenths of the capacity that are free; 0: none, or about to leave.
    pub room: u8,
    pub says: BTreeMap<String, String>,
    pub duties: Vec<Work>,
}

/// The renewal of one duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Work {
    pub duty: String,
    pub epoch: u64,
    /// Increases with each piece of work done.
    pub progress: u64,
    /// Whether work waits.
    pub waits: bool,
}

/// Outcome of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Applied; `at` is the version of a document, the epoch of a duty, or else the index.
    Done {
        at: u64,
    },
    /// Another entry was decided first.
    Overtaken {
        by: By,
    },
    /// The duty has another epoch or holder, or was revoked: this epoch is over.
    Fenced {
        epoch: u64,
        holder: Option<String>,
    },
    Refused(Refused),
    /// Results of the renewals, in order.
    Renewed(Vec<Renewed>),
}

/// The current value that the entry did not match.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum By {
    /// Version of the document and the gateway that wrote it; 0 and an empty name if there is none.
    Version { version: u64, by: String },
    /// Epoch and holder of the duty.
    Epoch { epoch: u64, holder: Option<String> },
    /// Count of the last renewal.
    Renewal { renewal: u64 },
    /// Progress of the holder.
    Progress { progress: u64 },
    /// Another run of the gateway.
    Life { life: u64 },
}

/// Result of one gateway's renewal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Renewed {
    pub gateway: String,
    pub life: u64,
    pub number: u64,
    /// Whether its attendance was renewed.
    pub attends: Result<(), Refused>,
    /// Each requested duty and epoch, in order, and whether its lease was renewed.
    pub duties: Vec<(String, u64, Result<(), Refused>)>,
}

/// Why an entry is invalid, whatever was decided before it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Refused {
    #[error("there is no duty {duty}")]
    NoSuchDuty { duty: String },
    #[error("the duty {duty} is open with another scope")]
    OtherScope { duty: String },
    #[error("the gateway {gateway} does not attend")]
    NotAttending { gateway: String },
    #[error("the duty {duty} is at epoch {epoch}, which this process does not hold")]
    NotHolder { duty: String, epoch: u64 },
    #[error("the duty {duty} was revoked: {why:?}")]
    TakenAway { duty: String, why: Revoked },
    #[error("the earlier process {known} of this gateway attends until its attendance expires")]
    EarlierStays { known: u64 },
    #[error("a later process {known} of this gateway is known")]
    LaterLife { known: u64 },
    #[error("renewal {known} of this gateway is newer")]
    NewerRenewal { known: u64 },
    #[error("documents up to index {newest} must be adopted before a gateway attends")]
    Behind { newest: u64 },
    #[error("{what} is longer than {most} bytes")]
    TooLong { what: String, most: usize },
    #[error("there are {most} {what} already")]
    Full { what: String, most: usize },
}

impl Refused {
    /// What an operator can do about it.
    pub fn remedy(&self) -> &'static str {
        match self {
            Refused::NoSuchDuty { .. } => {
                "nothing, if it was closed just now; else open it, or check its name"
            }
            Refused::OtherScope { .. } => "close it first, or open one under another name",
            Refused::NotAttending { .. } => "check the log of that gateway and the network to it",
            Refused::NotHolder { .. } => "nothing: another holds it, and this gateway has stopped",
            Refused::TakenAway { .. } => {
                "check in the log of this gateway why it made no progress or was unhealthy"
            }
            Refused::EarlierStays { .. } => {
                "nothing: it attends within the lease; if not, two gateways use one name"
            }
            Refused::LaterLife { .. } => "stop the older of two processes of one name, or correct its clock",
            Refused::NewerRenewal { .. } => "nothing: a message came late",
            Refused::Behind { .. } => {
                "nothing: it asks again; if it stays so, see why documents do not reach it"
            }
            Refused::TooLong { .. } => "shorten it, or divide it into several documents",
            Refused::Full { .. } => "take away what is no longer needed",
        }
    }
}
