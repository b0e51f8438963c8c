//! Fault injection with many processes of the program on loopback, in three zones and two regions, with a store,
//! discovery and clients: delays, loss, duplicates, partitions per direction, kills, pauses and planned stops.
//!
//! [`Plan`] describes what happens, [`run()`] executes it, and [`judge`] finds violated rules in the logs. Plans are
//! files; a seed always gives the same plan, and failing ones are minimized by [`Plan::shrunk`].

pub mod duties;
mod fleet;
mod ground;
pub mod judge;
mod links;
pub mod page;
mod plan;
mod run;

pub use fleet::mono;
pub use ground::{Scenario, ScenarioResult};
pub use plan::{Council, Fault, FaultKind, Plan, ZONES};
pub use run::{Outcome, StepCondition, run, run_when};
