//! Guarantees of duties: over all interleavings of small models, by properties, and in virtual time. Each seeded
//! fault must violate a guarantee.

mod conductor;
mod leases;
mod net;
mod register;
