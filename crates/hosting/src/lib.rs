//! State that every host of a router keeps on its behalf, whatever protocol it speaks. Makes no decisions.

mod name_numbers;
mod pending_commands;
mod server_list;
mod settings;
mod timers;

pub use name_numbers::NameNumbers;
pub use pending_commands::PendingCommands;
pub use server_list::{ServerEntry, ServerList, micros_from_millis};
pub use settings::convert_settings;
pub use timers::{Timer, TimerQueue};
