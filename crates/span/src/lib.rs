//! Between two sites: the decisions of a link between gateways, without I/O, clock or threads.
//!
//! [`Link`] numbers and keeps what one side sends until the other has acknowledged it, and resumes after a break.
//! [`Memory`] is the far side's: which commands it has taken, and how they ended, bounded and never wrong.
//! [`Near`] is the near side's: commands that it owes an answer, whatever the link does.
//!
//! The three make a command run at most once over the link. Sockets, frames and routes are not built on them yet.

mod link;
mod memory;
mod near;

pub use link::{Broken, Hello, Link, Resumed, Taken};
pub use memory::{Known, Memory};
pub use near::{Answer, Near, Outcome, Sent};
