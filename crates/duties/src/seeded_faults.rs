//! Seeded faults: a test activates one at a time to show that it is detected. Not available in production builds.

use std::cell::Cell;

/// A fault that can be activated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SeededFault {
    /// The holder counts its lease from the answer instead of the request.
    FromAnswer,
    /// The holder acts by the shared state without a renewal of its own.
    ActsUnrenewed,
    /// Members ignore clock drift when a lease expires.
    NoDrift,
    /// Members count from when they last looked, not from when the renewal was applied.
    FromFirst,
    /// A lease is expired in spite of a later renewal.
    AnyRenewal,
    /// A held duty is granted.
    GrantsHeld,
    /// A grant does not increase the epoch.
    SameEpoch,
    /// A renewal is accepted after the duty was revoked.
    RenewsRevoked,
    /// A renewal of an older epoch is accepted.
    OldEpoch,
    /// A holder hands over a duty and continues to act.
    HandsOnActing,
    /// A gateway that announced its leave continues to act.
    LeavesActing,
    /// A late renewal restores a duty that was given up.
    Revives,
    /// Effects of any epoch are executed.
    NoFence,
    /// Documents are accepted from earlier holders.
    AnyWriter,
    /// A document is replaced without a check of its version.
    AnyVersion,
    /// A duty that was removed starts over at epoch 0.
    EpochsAnew,
    /// A duty can be removed and granted anew while its holder acts.
    ClosesHeld,
    /// An earlier run of a gateway is treated as the later one.
    AnyLife,
    /// A stalled holder is not revoked.
    Patient,
    /// A gateway attends without having adopted the documents.
    AttendsBehind,
    /// Values of an older renewal replace newer ones.
    OlderWords,
    /// The switch is made before all gateways have drained.
    Undrained,
    /// A new holder assumes that a step that was begun is complete.
    TakesForDone,
    /// A change is aborted while its effect may still happen.
    AbortsAtOnce,
}

thread_local! {
    static ACTIVE: Cell<Option<SeededFault>> = const { Cell::new(None) };
}

/// Runs a closure with a fault activated on this thread.
pub fn with_fault<T>(slip: Option<SeededFault>, does: impl FnOnce() -> T) -> T {
    let before = ACTIVE.replace(slip);
    let done = does();
    ACTIVE.set(before);
    done
}

/// Whether this fault is active.
pub(crate) fn is_active(slip: SeededFault) -> bool {
    cfg!(feature = "seeded-faults") && ACTIVE.get() == Some(slip)
}
