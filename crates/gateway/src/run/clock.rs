//! The one clock: whole microseconds that only go forward and start at the Unix time of the start, so that Unix
//! times from outside need no further mapping.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use tansyjunction::interface::Micros;

pub struct Clock {
    started: Instant,
    unix: Micros,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix: unix.as_micros() as Micros }
    }

    pub fn now(&self) -> Micros {
        self.unix + self.started.elapsed().as_micros() as Micros
    }
}
