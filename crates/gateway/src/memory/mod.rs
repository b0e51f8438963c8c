//! State in memory: clients, servers and their connections, sessions.

pub mod buffers;
pub mod clients;
pub mod name_hash;
pub mod servers;
pub mod sessions;
pub mod turns;
