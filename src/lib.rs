//! Routes reads and writes in replicated stores.
//!
//! [`Router`] makes every decision; [`interface`] has its input and output types.

mod balance;
mod decaying_sum;
pub mod interface;
mod rng;
mod state;
mod state_hash;

pub use balance::Router;
