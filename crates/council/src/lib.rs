//! Consensus among gateways on a log of entries and on the state that follows from it. A few gateways are voting
//! members and keep the log on disk; all others follow the state. Consensus is Raft by the crate `raft`; this crate
//! adds storage, membership changes, forwarding of proposals to the leader, exactly-once application and state
//! transfer to followers. It has no clock, threads or sockets, and only [`store`] accesses a disk. The host calls
//! [`ConsensusMember::receive`] and [`ConsensusMember::process`], then sends [`ConsensusMember::take_messages`].
//!
//! Leadership grants no rights by itself: whoever needs a right for a time obtains it by an entry.

mod config;
mod error;
mod member;
mod raft_log;
pub mod seeded_faults;
mod sessions;
mod state_machine;
pub mod store;
mod wire;

pub use config::{ConsensusConfig, Micros};
pub use error::ConsensusError;
pub use member::{Applied, ConsensusMember, Decided, MemberEvent, MemberStatus, ProposalError, Role};
pub use state_machine::StateMachine;
pub use store::Disk;
