//! Protocols: PostgreSQL messages, discovery over HTTP, datagrams.

pub mod bytes;
pub mod client;
pub mod directory;
pub mod frames;
pub mod server;
pub mod statement;
