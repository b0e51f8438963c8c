//! State in memory: clients, servers and their connections, sessions, ids.

pub mod buffers;
pub mod clients;
pub mod executed_ids;
pub mod name_hash;
pub mod servers;
pub mod sessions;
pub mod turns;
