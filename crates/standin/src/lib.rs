//! A stand-in for a replicated store on loopback, written from the public protocol: servers that speak PostgreSQL's
//! messages, discovery over HTTP, and clients. Threads and real time; chance comes from a seed.
//!
//! [`Store`] holds shards of one primary and replicas, remembers keys for their window and keeps a ledger of every
//! effect. Its servers can be switched, killed, hung and brought back, by calls or by a [`Script`] in INI.

mod client;
mod discovery;
mod frames;
mod load;
mod script;
pub mod scripted;
mod serve;
mod store;
mod switches;

pub use client::{Client, Reply};
pub use discovery::Discovery;
pub use frames::{START, message, row};
pub use load::{Asked, Load, Sum, adds_up, payment};
pub use script::Script;
pub use store::{Death, Row, Shape, Store};
pub use switches::{End, Ordered, Waits};
