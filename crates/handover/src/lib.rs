//! Holds writes while a shard changes its primary, so that none are dropped: which writes are held, which servers are
//! fenced off from writes, and how fast held writes are released. A state machine without I/O, clock or threads.
//!
//! The host asks three questions: [`Handover::admit`] (whether a write goes to the router, is held or is answered),
//! [`Handover::may_write_to`] (whether a write may go to the server that the router chose) and [`Handover::due`] (which
//! held writes are released or abandoned now, and when to ask again). It passes on events: servers that claim or deny
//! the role of primary, answers, failures, server lists and writes that end. Operators plan changes with
//! [`Handover::plan_change`], [`Handover::abort_change`], [`Handover::pause`] and [`Handover::resume`].
//!
//! The router still chooses the server, decides on retries and limits concurrency. This module only decides whether a
//! write is given to the router. Its mechanisms:
//!
//! 1. Phases: the state of a shard's primary by all evidence, where newer and stronger evidence wins.
//! 2. Fencing: an earlier primary, and both of two servers that claim the role, get no writes until that is resolved.
//! 3. Holding: a bounded queue per shard, ordered by remaining time, with the writes of each session in order.
//! 4. Trial write: while no primary is known, one write of the shard goes to the router, which searches with it.
//! 5. Pacing: held writes are released at a rate that rises with each answer, with jitter across gateways.

mod held_writes;
mod interface;
mod phase;
mod release_pacer;
mod shard;

pub use interface::*;
pub use phase::Phase;
pub use shard::Handover;
