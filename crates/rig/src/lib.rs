//! Many processes of the program on loopback, three zones in two regions, with a store, discovery and clients, and
//! faults between any two of them: delay, loss, doubles, cuts in each direction, kills, pauses, planned stops.
//!
//! [`Plan`] says what happens, [`run`] plays it, [`judge`] tells from all logs what broke a rule. A plan is a file; the
//! same seed draws the same one, and a failing one is shrunk by [`Plan::shrunk`].

pub mod duties;
mod fleet;
mod ground;
pub mod judge;
mod links;
pub mod page;
mod plan;
mod run;

pub use fleet::mono;
pub use ground::{Ground, Played};
pub use plan::{Council, Fault, Plan, What, ZONES};
pub use run::{Outcome, Sight, run, run_when};
