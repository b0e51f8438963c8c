//! Timeouts of the connection to discovery. Each follows from a deadline by which what discovery has must be known.

use tansyjunction::interface::Micros;

use crate::run::deployment::DEFAULT_DRAIN_GRACE;

/// Longest time for discovery, which runs on this machine, to begin its answer with the whole list. A request made during
/// an outage may never be answered, while everything discovery has counts as notified from the end of the outage, so the
/// next one must come well within the drain grace. A process that serves nothing yet doubles the time after each
/// silence, so that a slow discovery is heard.
pub const MAX_REQUEST_TIMEOUT: Micros = 500_000;
/// Discovery writes every 2 s; 1.5 intervals without data are a silence. Changes hidden by it count as notified 6 s
/// after its beginning, so two more silent attempts must fit before.
pub const WATCH_SILENCE_TIMEOUT: Micros = 3_000_000;
/// Time for the whole list to be complete after the request. Limits a discovery that sends byte by byte.
pub const LIST_TIMEOUT: Micros = 2_500_000;
/// Time for a list or empty line on a watch to be complete after the last one, including the interval before one that
/// comes in pieces. The whole list may take as long in a process that serves nothing yet, and after one that was too
/// slow, so that a slow discovery is heard.
pub const WATCH_LIST_TIMEOUT: Micros = 5_000_000;
/// Longest first pause between attempts, and longest one at all; everything discovery has counts as notified meanwhile.
/// The pause is reset once a watch has lasted for longer than the longest one.
const FIRST_RETRY_PAUSE: Micros = 100_000;
pub const MAX_RETRY_PAUSE: Micros = 500_000;

/// Time after which everything that discovery has and could be asked counts as notified, whatever failed before; also
/// what a silent watch missed. Shorter after SIGHUP. Draining servers may get commands for the drain grace beyond it.
const NOTIFIED_AFTER: Micros = 6_000_000;
const NOTIFIED_AFTER_SIGHUP: Micros = 4_000_000;
/// Time for a local connection and the whole list if nothing is wrong.
const ANSWER_TIME: Micros = 300_000;
/// Share of the drain grace for which a request or a pause that began before discovery's return may last; the rest is
/// left to the next request.
const GRACE_DIVISOR: Micros = 2;
/// Shortest such time, for a grace near zero: within the 50 ms by which every time limit is longer on sockets.
const MIN_WAIT: Micros = 20_000;

// The longest paths to the list, each as the sum of the waits in sequence.
// A watch falls silent or is silent from the start: two silent requests, the third is answered. 4.3 s.
const _: () = assert!(WATCH_SILENCE_TIMEOUT + 2 * MAX_REQUEST_TIMEOUT + ANSWER_TIME <= NOTIFIED_AFTER);
// A watch falls silent, and the request is slow byte by byte. 5.8 s.
const _: () = assert!(WATCH_SILENCE_TIMEOUT + LIST_TIMEOUT + ANSWER_TIME <= NOTIFIED_AFTER);
// Discovery is back while an earlier request is slow byte by byte, and the next one is silent. 5.8 s.
const _: () = assert!(
    WATCH_LIST_TIMEOUT + MAX_REQUEST_TIMEOUT + ANSWER_TIME <= NOTIFIED_AFTER
        && LIST_TIMEOUT <= WATCH_LIST_TIMEOUT
);
// Or that request breaks at its last moment, and the longest pause follows. 5.8 s.
const _: () = assert!(WATCH_LIST_TIMEOUT + MAX_RETRY_PAUSE + ANSWER_TIME <= NOTIFIED_AFTER);
// Discovery is back during a pause or a silent request: within the drain grace where the settings name none. 0.8 s.
const _: () = assert!(
    MAX_RETRY_PAUSE + ANSWER_TIME <= DEFAULT_DRAIN_GRACE
        && MAX_REQUEST_TIMEOUT + ANSWER_TIME <= DEFAULT_DRAIN_GRACE
);
// After SIGHUP the first request is slow byte by byte, two more are silent. 3.8 s.
const _: () = assert!(LIST_TIMEOUT + 2 * MAX_REQUEST_TIMEOUT + ANSWER_TIME <= NOTIFIED_AFTER_SIGHUP);
// After SIGHUP the first request breaks as late as possible, then the longest pause and a silent request. 3.8 s.
const _: () =
    assert!(LIST_TIMEOUT + MAX_RETRY_PAUSE + MAX_REQUEST_TIMEOUT + ANSWER_TIME <= NOTIFIED_AFTER_SIGHUP);

/// The waits that may be under way when discovery returns from an outage. All that it has counts as notified from then
/// on, and draining servers may get commands for the grace of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryTimeouts {
    /// Until a request without any answer is followed by another one.
    pub request: Micros,
    /// First and longest pause between attempts.
    pub first_pause: Micros,
    pub max_pause: Micros,
}

impl DiscoveryTimeouts {
    /// The timeouts for this grace.
    pub fn new(drain_grace: Micros) -> Self {
        let share = (drain_grace / GRACE_DIVISOR).max(MIN_WAIT);
        DiscoveryTimeouts {
            request: share.min(MAX_REQUEST_TIMEOUT),
            first_pause: share.min(FIRST_RETRY_PAUSE),
            max_pause: share.min(MAX_RETRY_PAUSE),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// By how much every time limit is longer on sockets.
    const SOCKET_SLACK: Micros = 50_000;

    /// Guards against a wait that is longer than the grace of the settings (incident 22).
    #[test]
    fn every_wait_leaves_time_for_another_request_within_the_grace() {
        for grace in (0..3_000_000).step_by(10_000) {
            let DiscoveryTimeouts { request, first_pause, max_pause } = DiscoveryTimeouts::new(grace);
            for wait in [request, max_pause] {
                assert!(wait > 0 && first_pause <= max_pause, "grace {grace}");
                assert!(wait + (grace / 2).min(ANSWER_TIME) <= grace + SOCKET_SLACK, "grace {grace}: {wait}");
            }
        }
    }
}
