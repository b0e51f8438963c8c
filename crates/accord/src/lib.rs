//! Comparison of two versions of the configuration that gateways act on: settings and server lists. [`compare`]
//! classifies each field as equal, tighter, looser or contradictory, with the rule that it serves. A tighter value
//! applies wherever it is known; a looser or contradictory one only once all gateways agree, and until then
//! [`meanwhile`] applies, the tighter of both. No I/O and no clock.

mod rules;
mod tighten;

pub use rules::{
    ConfigVersion, Difference, GroupTerms, Guarantees, Host, Limits, Reads, Rule, compare, meanwhile,
};
pub use tighten::{Class, Tighten, classify};
