//! State that a fleet of gateways agrees on: versioned documents, the gateways that attend, and duties. A duty is a
//! task that one gateway performs at a time, under a lease; its epoch is the fencing token. Everything here is a
//! state machine without I/O, clock or threads.
//!
//! 1. [`SharedState`] is the replicated state. Each [`Entry`] is decided by consensus and applied everywhere in the
//!    same order.
//! 2. [`LeaseHolder`] runs on each gateway: it requests renewals and tells whether the gateway may act
//!    ([`LeaseHolder::may_act`]).
//! 3. [`LeaseGrantor`] runs on each voting member: it proposes what is due, such as expired leases, stalled holders and
//!    the next holder ([`elect`]).
//! 4. [`EpochFence`] runs where effects are executed, and rejects epochs older than one already seen.
//! 5. [`next_action`] tells the holder of a shard's conductor duty its next step in a change of primary, from the
//!    shared state alone.
//! 6. [`ProbeDelegation`] tells a gateway which probes it need not send because another one is responsible for them.
//!
//! No wall clock is used. Times are whole microseconds of each process's own clock, which may run faster or slower than
//! true time by at most [`LeaseConfig::drift`]. `docs/duties.md` shows why no two gateways act at once.
mod conductor;
mod election;
mod entries;
mod epoch_fence;
mod lease_config;
mod lease_grantor;
mod lease_holder;
mod probe_delegation;
pub mod seeded_faults;
mod shared_state;
mod state_changes;
mod state_machine;

pub use conductor::{
    ConductorAction, ConductorView, Plan, ShardReport, Step, Switch, SwitchResult, WaitReason,
    conductor_duty_of, next_action, plan_document_of, shard_of,
};
pub use election::{ElectionEvidence, NoCandidate, elect};
pub use entries::*;
pub use epoch_fence::{EpochFence, StaleEpoch};
pub use lease_config::{ConfigError, LeaseConfig};
pub use lease_grantor::LeaseGrantor;
pub use lease_holder::{GatewayReport, LeaseEnd, LeaseEndReason, LeaseHolder};
pub use probe_delegation::{
    ProbeContext, ProbeDelegation, ProbeResult, ReportedResult, open_probing_duty, probed_group,
    probing_duty_of,
};
pub use shared_state::SharedState;
pub use state_changes::Change;

/// A time or duration in microseconds.
pub use tansyjunction::interface::Micros;
