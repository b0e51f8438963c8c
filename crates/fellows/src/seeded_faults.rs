//! Seeded faults: a test activates one at a time to show that it is detected. Not available in production builds.

use std::cell::Cell;

/// A fault that can be activated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededFault {
    AgesBeginAnew,
    FirstWins,
    YoungerOfTwo,
    NoBound,
    DoubtCounts,
    LoudestLeads,
    AnyTag,
    NoWindow,
    OldCounts,
    EarlierCounts,
    PausedAccuses,
    DeafAccuses,
    ContradictedDies,
    FarewellUnsaid,
    NobodyYields,
}

thread_local! {
    static ACTIVE: Cell<Option<SeededFault>> = const { Cell::new(None) };
}

/// Runs a closure with a fault activated on this thread.
pub fn with_fault<T>(slip: SeededFault, does: impl FnOnce() -> T) -> T {
    ACTIVE.set(Some(slip));
    let done = does();
    ACTIVE.set(None);
    done
}

/// Whether this fault is active.
pub(crate) fn is_active(slip: SeededFault) -> bool {
    cfg!(feature = "seeded-faults") && ACTIVE.get() == Some(slip)
}
