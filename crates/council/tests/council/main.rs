//! Guarantees of the consensus, in a simulated network in virtual time. Each seeded fault must violate a guarantee.

mod calm;
mod disk;
mod faults;

mod figures;
mod net;
mod slips;
