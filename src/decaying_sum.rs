//! Exponentially decaying sum: each addition counts half as much after every half-life.

use crate::interface::Micros;

/// A decaying sum with the time of its last update. The half-life is passed to each call and must be the same.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    pub(crate) sum: f64,
    pub(crate) at: Micros,
}

impl DecayingSum {
    /// Decays the sum to `now` and adds `amount`.
    pub fn add(&mut self, now: Micros, half_life: Micros, amount: f64) {
        self.sum = self.read(now, half_life) + amount;
        self.at = now;
    }

    /// The sum decayed to `now`.
    pub fn read(&self, now: Micros, half_life: Micros) -> f64 {
        self.sum * (-(now.saturating_sub(self.at) as f64) / half_life as f64).exp2()
    }

    /// Recent rate of additions per microsecond.
    pub fn rate(&self, now: Micros, half_life: Micros) -> f64 {
        self.read(now, half_life) * std::f64::consts::LN_2 / half_life as f64
    }
}

#[cfg(test)]
mod tests {
    use super::DecayingSum;

    #[test]
    fn halves_with_each_half_life() {
        let mut sum = DecayingSum::default();
        sum.add(1_000, 100, 8.0);
        for (now, expected) in [(1_000, 8.0), (1_100, 4.0), (1_300, 1.0)] {
            assert!((sum.read(now, 100) - expected).abs() < 1e-9);
        }
        sum.add(1_100, 100, 1.0);
        assert!((sum.read(1_200, 100) - 2.5).abs() < 1e-9);
        assert!((sum.rate(1_200, 100) - 0.025 * std::f64::consts::LN_2).abs() < 1e-9);
    }
}
