//! Link between gateways of two sites: state machines without I/O, clock or threads.
//!
//! [`Link`] numbers frames and keeps them until the other side has acknowledged them, and resumes after a disconnect.
//! [`CommandHistory`] is the remote side's bounded record of received commands and their outcomes.
//! [`LocalCommands`] is the local side's record of commands that it owes an answer, whatever happens to the link.
//!
//! Together they execute a command at most once over the link. Sockets and routing are not built on them yet.

mod command_history;
mod link;
mod local_commands;

pub use command_history::{CommandHistory, CommandState};
pub use link::{Hello, Link, ProtocolError, Received, Resumed};
pub use local_commands::{Answer, LocalCommands, Outcome, Sent};
