//! How far a gateway trusts its own ears. One that misses answers doubts itself before others (as Lifeguard does): it
//! waits for longer before it suspects anybody; one that hears nothing at all accuses nobody.

use tansyjunction::interface::Micros;

/// Worst score; all waits are stretched to so many times and once more at it.
const WORST: u32 = 8;
/// Score for a pause of the process: it has missed all that came meanwhile.
const PAUSED: u32 = 3;

/// The health of an observer: 0 is well.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Health {
    score: u32,
    /// When it last heard anybody.
    heard: Micros,
}

impl Health {
    pub fn new(now: Micros) -> Self {
        Health { score: 0, heard: now }
    }

    /// A datagram that counts has come.
    pub fn hears(&mut self, now: Micros) {
        self.heard = self.heard.max(now);
    }

    /// A probe of its own was answered in time, or not.
    pub fn probe(&mut self, answered: bool) {
        self.score = if answered { self.score.saturating_sub(1) } else { (self.score + 1).min(WORST) };
    }

    /// Others suspect it: they do not hear it, so it may not hear them.
    pub fn suspected(&mut self) {
        self.score = (self.score + 1).min(WORST);
    }

    /// The process stood still.
    pub fn paused(&mut self) {
        self.score = (self.score + PAUSED).min(WORST);
    }

    pub fn score(&self) -> u32 {
        self.score
    }

    /// How long to wait in place of `usual`.
    pub fn stretched(&self, usual: Micros) -> Micros {
        usual * Micros::from(1 + self.score)
    }

    /// It has heard nobody for so long that its own network is the likeliest to be broken.
    pub fn deaf(&self, now: Micros, silence: Micros) -> bool {
        now.saturating_sub(self.heard) > silence
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn missed_answers_stretch_its_waits_and_answers_bring_them_back() {
        let mut health = Health::new(0);
        (0..20).for_each(|_| health.probe(false));
        assert_eq!((health.score(), health.stretched(100)), (8, 900));
        (0..7).for_each(|_| health.probe(true));
        assert_eq!(health.stretched(100), 200);
        health.paused();
        assert_eq!(health.score(), 4);
        health.hears(50);
        assert_eq!([health.deaf(100, 50), health.deaf(101, 50)], [false, true]);
    }
}
