//! What every host of a router keeps for it, whatever protocol it speaks. Nothing is decided here.

mod commands;
mod due;
mod list;
mod named;
mod names;

pub use commands::Commands;
pub use due::{DueTimes, Reminder};
pub use list::{Host, List, at_millis};
pub use named::named;
pub use names::Names;
