//! Mistakes that a change could make, put in one at a time: each must break the promise that it is of.

use std::panic::{AssertUnwindSafe, catch_unwind};

use tansyjunction_fellows::slips::{Slip, with};

use crate::{evidence, membership, seal};

#[test]
fn each_seeded_mistake_is_found() {
    let found_by: [(Slip, fn()); 15] = [
        (Slip::AgesBeginAnew, evidence::AGE),
        (Slip::FirstWins, evidence::ORDER),
        (Slip::YoungerOfTwo, evidence::AGE),
        (Slip::NoBound, evidence::BOUND),
        (Slip::DoubtCounts, evidence::one_that_accuses_everybody_weighs_nothing),
        (Slip::LoudestLeads, evidence::who_leads_is_told_by_voices_not_by_the_loudest),
        (Slip::AnyTag, seal::what_is_sealed_opens_once_and_nothing_else_does),
        (Slip::NoWindow, seal::reordered_ones_count_and_old_ones_do_not),
        (Slip::OldCounts, seal::reordered_ones_count_and_old_ones_do_not),
        (Slip::EarlierCounts, seal::reordered_ones_count_and_old_ones_do_not),
        (Slip::PausedAccuses, membership::a_pause_of_five_seconds_takes_nobody_for_dead),
        (Slip::DeafAccuses, membership::one_that_hears_nobody_accuses_nobody),
        (Slip::ContradictedDies, membership::a_third_lost_doubled_and_reordered_kills_nobody),
        (Slip::FarewellUnsaid, membership::one_that_leaves_is_gone_at_once_and_no_zone_is_called_dark),
        (Slip::NobodyYields, membership::of_two_with_one_name_one_keeps_it),
    ];
    for (slip, promise) in found_by {
        let kept = with(slip, || catch_unwind(AssertUnwindSafe(promise)).is_ok());
        assert!(!kept, "{slip:?} is not found");
    }
}
