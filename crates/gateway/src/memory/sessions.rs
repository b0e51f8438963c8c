//! Sessions under small numbers. One that has not been met for long gives its number to another, so that neither the
//! gateway nor its router grows with all the sessions that there ever were.

use std::collections::{BTreeSet, HashMap};

use tansyjunction::interface::Micros;

/// After so long a session is forgotten: far longer than replicas lag, so that its writes are everywhere by then, and
/// short enough that hundreds of new ones a second fit into the memory. Whoever gets its number inherits its last write,
/// which asks for newer data than need be, never for older.
const FORGET_AFTER: Micros = 120_000_000;

#[derive(Default)]
pub struct Sessions {
    numbers: HashMap<String, usize>,
    /// The name behind each number, and when it was last met.
    met: Vec<(String, Micros)>,
    by_age: BTreeSet<(Micros, usize)>,
}

impl Sessions {
    pub fn of(&mut self, name: &str, now: Micros) -> usize {
        let number = match self.numbers.get(name) {
            Some(number) => *number,
            None => {
                let oldest = self.by_age.first().filter(|(met, _)| met + FORGET_AFTER <= now);
                let number = oldest.map_or(self.met.len(), |(_, number)| *number);
                match self.met.get_mut(number) {
                    Some((old, _)) => {
                        self.numbers.remove(old.as_str());
                        *old = name.into();
                    }
                    None => self.met.push((name.into(), now)),
                }
                self.numbers.insert(name.into(), number);
                number
            }
        };
        let met = &mut self.met[number].1;
        self.by_age.remove(&(*met, number));
        *met = now;
        self.by_age.insert((now, number));
        number
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_number_is_given_on_only_after_its_session_was_long_unmet() {
        let mut sessions = Sessions::default();
        let hour = FORGET_AFTER;
        // Who comes when, and the number that it gets.
        for (name, now, number) in [
            ("a", 0, 0),
            ("b", 1, 1),
            ("a", 2, 0),
            ("c", hour, 2),
            ("d", hour + 1, 1),
            ("e", hour + 1, 3),
            ("f", hour + 2, 0),
            ("a", hour + 3, 4),
            ("d", hour + 4, 1),
        ] {
            assert_eq!(sessions.of(name, now), number, "{name} at {now}");
        }
        assert_eq!(sessions.numbers.len(), sessions.met.len());
    }
}
