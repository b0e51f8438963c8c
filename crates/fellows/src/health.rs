//! Local health awareness as in Lifeguard: a gateway that misses answers doubts itself before others and waits longer
//! before it suspects anybody; one that hears nothing suspects nobody.

use tansyjunction::interface::Micros;

/// Worst score; all timeouts are then multiplied by this plus one.
const MAX_SCORE: u32 = 8;
/// Added to the score after a pause of the process, during which it missed all messages.
const PAUSE_SCORE: u32 = 3;

/// Health of an observer; 0 is healthy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth {
    score: u32,
    /// When it last received a datagram.
    last_heard: Micros,
}

impl LocalHealth {
    /// Starts healthy.
    pub fn new(now: Micros) -> Self {
        LocalHealth { score: 0, last_heard: now }
    }

    /// Records a valid datagram.
    pub fn on_datagram(&mut self, now: Micros) {
        self.last_heard = self.last_heard.max(now);
    }

    /// Records whether an own probe was answered in time.
    pub fn on_probe(&mut self, answered: bool) {
        self.score = if answered { self.score.saturating_sub(1) } else { (self.score + 1).min(MAX_SCORE) };
    }

    /// Records that others suspect this gateway: they do not hear it, so it may not hear them.
    pub fn on_suspected(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }

    /// Records a pause of the process.
    pub fn on_pause(&mut self) {
        self.score = (self.score + PAUSE_SCORE).min(MAX_SCORE);
    }

    /// The score, from 0 (healthy) to the worst.
    pub fn score(&self) -> u32 {
        self.score
    }

    /// Scales a timeout by the score.
    pub fn scale(&self, usual: Micros) -> Micros {
        usual * Micros::from(1 + self.score)
    }

    /// Whether nothing was received for so long that this gateway's own network is probably at fault.
    pub fn hears_nothing(&self, now: Micros, silence: Micros) -> bool {
        now.saturating_sub(self.last_heard) > silence
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn missed_answers_stretch_its_waits_and_answers_bring_them_back() {
        let mut health = LocalHealth::new(0);
        (0..20).for_each(|_| health.on_probe(false));
        assert_eq!((health.score(), health.scale(100)), (8, 900));
        (0..7).for_each(|_| health.on_probe(true));
        assert_eq!(health.scale(100), 200);
        health.on_pause();
        assert_eq!(health.score(), 4);
        health.on_datagram(50);
        assert_eq!([health.hears_nothing(100, 50), health.hears_nothing(101, 50)], [false, true]);
    }
}
