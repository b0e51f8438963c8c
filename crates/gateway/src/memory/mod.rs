//! State in memory: clients, servers and their connections, sessions.

pub mod clients;
pub mod servers;
pub mod sessions;
pub mod turns;
