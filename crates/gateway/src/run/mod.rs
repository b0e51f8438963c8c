//! Startup and shutdown: configuration, clock, listener, signals.

pub mod clock;
pub mod deployment;
pub mod listener;
pub mod serve;
