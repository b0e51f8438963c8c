//! How fast held writes go out: one first, then faster with each answer, and never at once from all gateways.

use fastrand::Rng;
use tansyjunction::interface::Micros;

/// Answers after which the pause between releases is halved.
const HALVED_AFTER: u32 = 2;
/// A pause is drawn between this part of it and twice the rest, so that gateways fall out of step.
const JITTER: f64 = 0.5;

#[derive(Clone, Debug, Default, Hash, PartialEq, Eq)]
pub(crate) struct Pace {
    gap: Micros,
    next: Micros,
    answers: u32,
}

impl Pace {
    /// Begins anew: the first release now, the next ones `gap` apart for each gateway.
    pub fn begin(now: Micros, gap: Micros, gateways: u64) -> Pace {
        Pace { gap: gap * gateways.max(1), next: now, answers: 0 }
    }

    pub fn may(&self, now: Micros) -> bool {
        now >= self.next
    }

    pub fn next(&self) -> Micros {
        self.next
    }

    pub fn released(&mut self, now: Micros, rng: &mut Rng) {
        let drawn = JITTER + (1.0 - JITTER) * 2.0 * rng.f64();
        self.next = now + (self.gap as f64 * drawn) as Micros;
    }

    /// A released write was answered: the primary bears it.
    pub fn answered(&mut self, least: Micros) {
        self.answers += 1;
        if self.answers >= HALVED_AFTER {
            (self.answers, self.gap) = (0, (self.gap / 2).max(least));
        }
    }
}
