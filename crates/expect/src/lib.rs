//! Routing expectations: statements on where commands go, checked against the router itself in virtual time.
//!
//! A [`Subject`] is a configuration; a [`Suite`] has the scenarios and expectations of its files. [`check::check`] looks for
//! contradictions, then for runs that violate an expectation. No sockets and no clock: the caller tells when the time
//! is over.

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
