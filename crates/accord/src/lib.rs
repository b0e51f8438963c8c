//! Versions of what gateways act on: settings and lists. Two of them are compared field by field ([`compare`]): the
//! same, tighter, looser or contrary, each by the rule that it is for. What is tighter binds wherever it is heard;
//! what is looser or contrary binds only once all agree; until then [`meanwhile`] holds, the tightest of both.
//! Nothing here does I/O or reads a clock.

mod meet;
mod rules;

pub use meet::{Class, Meet, class};
pub use rules::{Difference, GroupTerms, Guarantees, Host, Limits, Reads, Rule, Rules, compare, meanwhile};
