//! The gateway: speaks PostgreSQL's protocol to clients and database servers and asks a router where to send each
//! command.
//!
//! [`serve`] runs it on the calling thread with the configuration [`Deployment`]. It logs through `tracing` with a
//! target per part: start, clients, servers, discovery, limits, commands, fellows, council.

mod council;
mod gateway;
mod memory;
mod run;
mod wire;

pub use council::{create_cluster, recover_cluster};
pub use run::deployment::Deployment;
pub use run::serve::{serve, signals};
