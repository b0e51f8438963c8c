//! Start and stop: configuration, clock, listener, signals.

pub mod clock;
pub mod deployment;
pub mod listener;
pub mod serve;
