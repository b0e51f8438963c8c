//! Gateways that know each other: which of them live, in which zone and region, and what each has seen of the
//! servers, with its age where it was seen. All is decided here without I/O, clock or threads; the host keeps the
//! socket and calls [`Fellows::heard`], [`Fellows::settle`] and [`Fellows::saw`], then sends what
//! [`Fellows::take_out`] holds.
//!
//! Evidence of others is weaker than a gateway's own answers: [`opinion`] counts it by observer and zone, and nothing
//! of it says that a server is fresh, or takes a command where a rule forbids it.

pub mod evidence;
mod fellows;
pub mod health;
mod identity;
pub mod members;
pub mod opinion;
pub mod seal;
pub mod slips;

pub use fellows::{Fellows, Terms};
pub use identity::Fellow;
