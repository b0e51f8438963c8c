//! Steers reads and writes in replicated stores.
//!
//! [`Router`] makes every decision; [`interface`] holds the plain values that go in and come out.

mod balance;
mod chance;
mod decaying;
pub mod interface;
mod marks;
mod state;

pub use balance::Router;
