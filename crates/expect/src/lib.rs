//! Routing expectations: what must hold of where commands go, checked against the router itself in virtual time.
//!
//! A [`Subject`] is a configuration; a [`Suite`] holds the worlds and expectations of the files beside it. [`check`]
//! looks for contradictions and then for runs that break an expectation. No socket is opened, no clock read: the
//! caller tells when the time is over.

pub mod check;
pub mod compare;
pub mod contradiction;
pub mod coverage;
pub mod expectation;
pub mod explain;
pub mod explore;
pub mod judge;
pub mod report;
pub mod saved;
pub mod scope;
pub mod state;
pub mod steer;
pub mod subject;
pub mod suggest;
pub mod truth;
pub mod world;

pub use check::{Checked, Input, Report, Verdict, check, router};
pub use expectation::Suite;
pub use subject::Subject;
