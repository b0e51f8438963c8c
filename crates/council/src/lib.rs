//! Gateways that agree on one log of entries, and on the state that follows from it. A few of them sit in the council
//! and keep the log on disk; all others follow the state. Consensus is Raft by the crate raft; here stand its
//! storage, who sits, how entries are carried to the leader and applied once, and how followers catch up. There is no
//! clock, thread or socket; only [`store`] touches a disk. The host calls [`Council::heard`] and [`Council::settle`],
//! then sends what [`Council::take_out`] holds.
//!
//! To lead grants nothing by itself: whoever needs a right for a time gets it by an entry.

mod council;
mod fault;
mod log;
mod machine;
mod sessions;
pub mod slips;
pub mod store;
mod terms;
mod wire;

pub use council::{Applied, Council, Decided, News, Role, Status, Undecided};
pub use fault::Fault;
pub use machine::Machine;
pub use store::Disk;
pub use terms::{Micros, Terms};
