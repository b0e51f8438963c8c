//! What gateways that know each other promise, in a virtual network, and that each seeded mistake breaks a promise.

mod evidence;
mod membership;
mod model;
mod net;
mod seal;
mod sizes;
mod slips;
