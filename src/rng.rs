//! Multiply-with-carry random number generator: the same seed gives the same draws on every machine.

use crate::interface::PrescribedDraws;

/// A seeded generator whose draws can be prescribed.
#[derive(Clone, Default)]
pub(crate) struct SeededRng {
    state: u64,
    /// Draws prescribed by the host, for tests that try every value.
    pub prescribed: Option<PrescribedDraws>,
}

impl SeededRng {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        // Neither half may start at zero, or the generator would only return zeros.
        SeededRng { state: seed ^ 0x9e37_79b9_7f4a_7c15 | 0x1_0000_0001, prescribed: None }
    }

    /// Draws an integer below `bound`; 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        self.state = (self.state & 0xffff_ffff) * 4_294_957_665 + (self.state >> 32);
        if let Some(picks) = self.prescribed.as_mut().filter(|picks| (2..=picks.max_bound).contains(&bound)) {
            return picks.next(bound);
        }
        (((self.state & 0xffff_ffff) * bound as u64) >> 32) as usize
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn told_draws_are_taken_in_turn_and_wide_ones_left_to_chance() {
        let mut chance = SeededRng::new(1);
        chance.prescribed = Some(PrescribedDraws { max_bound: 4, values: vec![2, 9], drawn: Vec::new() });
        let drawn = [4, 1, 3, 1_000_000, 2].map(|bound| chance.below(bound));
        assert_eq!((drawn[0], drawn[1], drawn[2], drawn[4]), (2, 0, 2, 0));
        assert_eq!(chance.prescribed.map(|picks| picks.drawn), Some(vec![(4, 2), (3, 2), (2, 0)]));
    }

    #[test]
    fn draws_repeat_stay_in_range_and_reach_every_value() {
        for (seed, bound) in [(0, 1), (1, 3), (u64::MAX, 7)] {
            let (mut one, mut two) = (SeededRng::new(seed), SeededRng::new(seed));
            let mut seen = vec![0; bound];
            for _ in 0..200 {
                let drawn = one.below(bound);
                assert_eq!(drawn, two.below(bound));
                seen[drawn] += 1;
            }
            assert!(seen.iter().all(|&n| n > 0), "seed {seed}: {seen:?}");
        }
    }
}
