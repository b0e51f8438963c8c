//! A multiply-with-carry generator: the same seed gives the same draws on every machine.

#[derive(Default)]
pub(crate) struct Chance {
    state: u64,
}

impl Chance {
    pub fn new(seed: u64) -> Self {
        // Neither half may start at zero, or the sequence would stand still.
        Chance { state: seed ^ 0x9e37_79b9_7f4a_7c15 | 0x1_0000_0001 }
    }

    /// A whole number below `bound`; 0 where `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        self.state = (self.state & 0xffff_ffff) * 4_294_957_665 + (self.state >> 32);
        (((self.state & 0xffff_ffff) * bound as u64) >> 32) as usize
    }
}

#[cfg(test)]
mod tests {
    use super::Chance;

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
