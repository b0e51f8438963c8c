//! Reports of a check: text, JSON, JUnit XML and HTML.

mod html;
mod json;
mod junit;
mod narrate;
mod text;

pub use html::html;
pub use json::{counterexample as counterexample_json, json};
pub use junit::junit;
pub use narrate::{narrate, outcome};
pub use text::{tally, text};

use crate::check::{Checked, Verdict};

/// A verdict as one word.
pub fn word(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Holds => "holds",
        Verdict::Contradicts(_) => "contradicts",
        Verdict::Broken(_) => "broken",
        Verdict::NotReached { .. } => "not reached",
        Verdict::Open { .. } => "open",
    }
}

/// Why an expectation fails, in one line with the key to examine; `None` if it holds.
pub fn why(checked: &Checked) -> Option<String> {
    match &checked.verdict {
        Verdict::Holds => None,
        Verdict::Contradicts(fault) => Some(fault.to_string()),
        Verdict::Broken(found) => {
            Some(format!("{}: {} (world: {})", found.broken.cause.name(), found.broken.why, found.world))
        }
        Verdict::NotReached { key, why } => Some(format!("'{key}': {why}")),
        Verdict::Open { why } => Some(why.clone()),
    }
}
