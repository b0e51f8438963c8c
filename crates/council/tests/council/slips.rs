//! Each seeded fault is detected, with the guarantee that it violates.

use std::panic::{AssertUnwindSafe, catch_unwind};

use tansyjunction_council::seeded_faults::{self, SeededFault};

use crate::faults::{crash_at, elections, storm};
use crate::net::Broken;

/// The first violation in many randomized runs; the crate `raft` panics if a log contradicts itself.
fn found(slip: SeededFault) -> Option<String> {
    let run = |does: &dyn Fn() -> Result<(), Vec<Broken>>| {
        let done = catch_unwind(AssertUnwindSafe(|| seeded_faults::with_fault(slip, does)));
        done.map_or(Some("Panic".into()), |done| done.err().map(|broken| format!("{:?}", broken[0])))
    };
    (0..60).find_map(|seed| {
        let number = seed as usize % 3;
        let crash = run(&|| crash_at(number, seed / 3, false, seed).map(drop));
        crash.or_else(|| run(&|| storm(seed, 3, 30).map(drop))).or_else(|| run(&|| elections(seed).map(drop)))
    })
}

fn finds(slip: SeededFault, by: &[&str]) {
    let found = found(slip).unwrap_or_else(|| panic!("{slip:?} is not found"));
    assert!(by.iter().any(|by| found.starts_with(by)), "{slip:?} is found by {found}");
}

#[test]
fn vote_before_sync() {
    finds(SeededFault::VoteBeforeSync, &["VotedTwice", "TwoLeaders"]);
}

#[test]
fn message_before_sync() {
    finds(SeededFault::MessageBeforeSync, &["Vouched", "Lost", "TwoDecisions", "VotedTwice"]);
}

#[test]
fn entries_unsynced() {
    finds(SeededFault::EntriesUnsynced, &["Vouched", "Lost", "TwoDecisions", "Panic"]);
}

#[test]
fn stranger_votes() {
    finds(SeededFault::StrangerVotes, &["VotedTwice", "TwoLeaders", "Vouched", "Lost", "TwoDecisions"]);
}

#[test]
fn acknowledged_before_commit() {
    finds(SeededFault::AcknowledgedBeforeCommit, &["Lost"]);
}

#[test]
fn duplicate_applied() {
    finds(SeededFault::DuplicateApplied, &["AppliedTwice"]);
}

#[test]
fn seating_forgotten() {
    finds(SeededFault::SeatingForgotten, &["TwoDecisions", "TwoLeaders", "Lost", "VotedTwice"]);
}
