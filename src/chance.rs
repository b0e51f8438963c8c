//! A multiply-with-carry generator: the same seed gives the same draws on every machine.

use crate::interface::Picks;

#[derive(Clone, Default)]
pub(crate) struct Chance {
    state: u64,
    /// Draws told from outside, where every one of them is to be tried.
    pub picks: Option<Picks>,
}

impl Chance {
    pub fn new(seed: u64) -> Self {
        // Neither half may start at zero, or the sequence would stand still.
        Chance { state: seed ^ 0x9e37_79b9_7f4a_7c15 | 0x1_0000_0001, picks: None }
    }

    /// A whole number below `bound`; 0 where `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        self.state = (self.state & 0xffff_ffff) * 4_294_957_665 + (self.state >> 32);
        if let Some(picks) = self.picks.as_mut().filter(|picks| (2..=picks.most).contains(&bound)) {
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
        let mut chance = Chance::new(1);
        chance.picks = Some(Picks { most: 4, told: vec![2, 9], drawn: Vec::new() });
        let drawn = [4, 1, 3, 1_000_000, 2].map(|bound| chance.below(bound));
        assert_eq!((drawn[0], drawn[1], drawn[2], drawn[4]), (2, 0, 2, 0));
        assert_eq!(chance.picks.map(|picks| picks.drawn), Some(vec![(4, 2), (3, 2), (2, 0)]));
    }

    #[test]
    fn draws_repeat_stay_in_range_and_reach_every_value() {
        for (seed, bound) in [(0, 1), (1, 3), (u64::MAX, 7)] {
            let (mut one, mut two) = (Chance::new(seed), Chance::new(seed));
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
