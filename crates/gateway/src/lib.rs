//! The gateway: it speaks PostgreSQL's protocol to clients and servers and asks a router where each command goes.
//!
//! [`serve`] runs it on the calling thread; [`Deployment`] is the configuration that it reads. It logs through
//! `tracing`, each part of it under a target of its own: start, clients, servers, discovery, limits, commands,
//! fellows, council.

mod council;
mod gateway;
mod memory;
mod run;
mod wire;

pub use council::{create_cluster, recover_cluster};
pub use run::deployment::Deployment;
pub use run::serve::{serve, signals};
