//! Pacing of released writes: one first, then faster with each answer, with jitter so that gateways do not release in
//! step.

use fastrand::Rng;
use tansyjunction::interface::Micros;

/// Number of answers after which the interval is halved.
const ANSWERS_PER_SPEEDUP: u32 = 2;
/// Each pause is drawn from this share of the interval up to the interval plus the rest, so that gateways drift apart.
const MIN_PAUSE_SHARE: f64 = 0.5;

/// Interval between releases, with the time of the next one.
#[derive(Clone, Debug, Default, Hash, PartialEq, Eq)]
pub(crate) struct ReleasePacer {
    gap: Micros,
    next_release: Micros,
    answers: u32,
}

impl ReleasePacer {
    /// Starts with a release now; further ones are `gap` apart per gateway.
    pub fn start(now: Micros, gap: Micros, gateways: u64) -> ReleasePacer {
        ReleasePacer { gap: gap * gateways.max(1), next_release: now, answers: 0 }
    }

    /// Whether a write may be released now.
    pub fn may_release(&self, now: Micros) -> bool {
        now >= self.next_release
    }

    /// When the next write may be released.
    pub fn next_release(&self) -> Micros {
        self.next_release
    }

    /// Records a release and draws the pause after it.
    pub fn on_release(&mut self, now: Micros, rng: &mut Rng) {
        let drawn = MIN_PAUSE_SHARE + (1.0 - MIN_PAUSE_SHARE) * 2.0 * rng.f64();
        self.next_release = now + (self.gap as f64 * drawn) as Micros;
    }

    /// Records an answer to a released write: the primary keeps up, so the interval is shortened.
    pub fn on_answer(&mut self, least: Micros) {
        self.answers += 1;
        if self.answers >= ANSWERS_PER_SPEEDUP {
            (self.answers, self.gap) = (0, (self.gap / 2).max(least));
        }
    }
}
