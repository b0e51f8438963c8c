//! Changes of primary without drops: which writes are held while a shard has none, which server may not get any, and
//! how fast what was held is released. No input or output, no clock, no threads.
//!
//! The host asks through three calls: [`Handover::admit`] (a write is about to go to the router: let it, keep it, or
//! refuse it), [`Handover::allows`] (the router named a server: may a write go there) and [`Handover::due`] (what is
//! released or given up now, and how long until the next question). Notices return nothing: what servers
//! claim, deny, answer, and when they are lost; what the list tells; which writes are out. Operators announce changes
//! through [`Handover::plan`], [`Handover::abort`], [`Handover::pause`] and [`Handover::resume`].
//!
//! The router still chooses the server, decides what is tried again and refuses by room. This module decides only
//! whether a write is put to the router at all. Its mechanisms:
//!
//! 1. Phases: what all evidence together says of a shard's primary, newest and strongest first.
//! 2. Fences: a server that led before, and one of two that claim to lead, gets no write until it is cleared.
//! 3. Holds: a bounded queue a shard, by time left, with sessions in order.
//! 4. Scout: while a primary is sought, one write of the shard goes to the router, which searches with it.
//! 5. Pace: what was held goes out in steps that widen with each answer, jittered over all gateways.

mod hold;
mod interface;
mod pace;
mod phase;
mod shard;

pub use interface::*;
pub use phase::Phase;
pub use shard::Handover;
