//! Guarantees of the gossip in a simulated network. Each seeded fault must violate a guarantee.

mod evidence;
mod membership;
mod model;
mod net;
mod seal;
mod sizes;
mod slips;
