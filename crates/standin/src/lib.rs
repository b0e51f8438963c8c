//! Stand-in for a replicated store on loopback, written from the public protocol: servers that speak PostgreSQL,
//! discovery over HTTP, and clients. Uses threads and real time; random numbers are seeded.
//!
//! [`Store`] has shards of one primary and replicas, remembers keys for their window and records every effect in a
//! ledger. Its servers can be switched, killed, hung and restarted, by calls or by a [`Script`] in INI.

mod client;
mod discovery;
mod frames;
mod load;
mod relay;
mod script;
pub mod scripted;
mod serve;
mod store;
mod switches;

pub use client::{Client, Reply};
pub use discovery::Discovery;
pub use frames::{EMPTY_QUERY, START, empty_answer, message, named, query, read_statement, row};
pub use load::{AnswerCounts, Asked, Load, check_ledger, payment};
pub use relay::relay;
pub use script::Script;
pub use store::{Death, LedgerRow, Store, StoreConfig};
pub use switches::{HoldPoint, Ordered, SwitchResult};
