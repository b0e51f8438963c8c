//! Each seeded fault must violate its guarantee.

use std::panic::{AssertUnwindSafe, catch_unwind};

use tansyjunction_fellows::seeded_faults::{SeededFault, with_fault};

use crate::{evidence, membership, seal};

#[test]
fn each_seeded_mistake_is_found() {
    let found_by: [(SeededFault, fn()); 15] = [
        (SeededFault::AgesBeginAnew, evidence::AGE),
        (SeededFault::FirstWins, evidence::ORDER),
        (SeededFault::YoungerOfTwo, evidence::AGE),
        (SeededFault::NoBound, evidence::BOUND),
        (SeededFault::DoubtCounts, evidence::one_that_accuses_everybody_weighs_nothing),
        (SeededFault::LoudestLeads, evidence::who_leads_is_told_by_voices_not_by_the_loudest),
        (SeededFault::AnyTag, seal::what_is_sealed_opens_once_and_nothing_else_does),
        (SeededFault::NoWindow, seal::reordered_ones_count_and_old_ones_do_not),
        (SeededFault::OldCounts, seal::reordered_ones_count_and_old_ones_do_not),
        (SeededFault::EarlierCounts, seal::reordered_ones_count_and_old_ones_do_not),
        (SeededFault::PausedAccuses, membership::a_pause_of_five_seconds_takes_nobody_for_dead),
        (SeededFault::DeafAccuses, membership::one_that_hears_nobody_accuses_nobody),
        (SeededFault::ContradictedDies, membership::a_third_lost_doubled_and_reordered_kills_nobody),
        (SeededFault::FarewellUnsaid, membership::one_that_leaves_is_gone_at_once_and_no_zone_is_called_dark),
        (SeededFault::NobodyYields, membership::of_two_with_one_name_one_keeps_it),
    ];
    for (slip, promise) in found_by {
        let kept = with_fault(slip, || catch_unwind(AssertUnwindSafe(promise)).is_ok());
        assert!(!kept, "{slip:?} is not found");
    }
}
