//! Clock of the gateway: monotonic microseconds that start at the current Unix time, so that external Unix times need
//! no conversion.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use tansyjunction::interface::Micros;

/// A monotonic clock that starts at the current Unix time.
pub struct Clock {
    started: Instant,
    unix: Micros,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix: unix.as_micros() as Micros }
    }

    /// Current time.
    pub fn now(&self) -> Micros {
        self.unix + self.started.elapsed().as_micros() as Micros
    }
}

fn read(clock: ClockId) -> Micros {
    let now = clock_gettime(clock);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

/// The system's monotonic clock in µs: the same for all processes of a machine, so that their logs can be merged.
pub fn monotonic() -> Micros {
    read(ClockId::Monotonic)
}

/// The lease clock in µs: continues while the machine sleeps.
pub fn boottime() -> Micros {
    read(ClockId::Boottime)
}
