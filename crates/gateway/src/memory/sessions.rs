//! Sessions under small numbers. One that has not been met for long gives its number to another, so that neither the
//! gateway nor its router grows with all the sessions that there ever were.

use std::collections::{BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use tansyjunction::interface::Micros;

/// After so long a session is forgotten: far longer than replicas lag, so that its writes are everywhere by then, and
/// short enough that hundreds of new ones a second fit into the memory. Whoever gets its number inherits its last
/// write, which asks for newer data than need be, never for older.
const FORGET_AFTER: Micros = 120_000_000;

/// A session's name, which its client may make as long as a message. Guards against names that fill the
/// memory. Should two have the same mark, they share a number, and ask for newer data than need be.
type Mark = u64;

#[derive(Default)]
pub struct Sessions {
    numbers: HashMap<Mark, usize>,
    /// The mark behind each number, and until when a command of it was in hand at most.
    met: Vec<(Mark, Micros)>,
    by_age: BTreeSet<(Micros, usize)>,
}

impl Sessions {
    /// The number of a session of which a command is in hand `until` then at most. Guards against a write
    /// that is answered only after its session's number was given on.
    pub fn of(&mut self, name: &str, now: Micros, until: Micros) -> usize {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        let mark = hasher.finish();
        let number = match self.numbers.get(&mark) {
            Some(number) => *number,
            None => {
                let oldest = self.by_age.first().filter(|(met, _)| met + FORGET_AFTER <= now);
                let number = oldest.map_or(self.met.len(), |(_, number)| *number);
                match self.met.get_mut(number) {
                    Some((old, _)) => {
                        self.numbers.remove(old);
                        *old = mark;
                    }
                    None => self.met.push((mark, now)),
                }
                self.numbers.insert(mark, number);
                number
            }
        };
        let met = &mut self.met[number].1;
        self.by_age.remove(&(*met, number));
        *met = until.max(*met);
        self.by_age.insert((*met, number));
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
            assert_eq!(sessions.of(name, now, now), number, "{name} at {now}");
        }
        assert_eq!(sessions.numbers.len(), sessions.met.len());
    }

    /// Guards against a session whose last write is noted under a number that another one has by then.
    #[test]
    fn a_number_is_not_given_on_while_a_command_may_refer_to_it() {
        let mut sessions = Sessions::default();
        let late = 2 * FORGET_AFTER;
        assert_eq!(sessions.of("a", 0, late), 0);
        // A command that ends sooner changes nothing of that.
        assert_eq!([sessions.of("a", 1, 2), sessions.of("b", late, late)], [0, 1]);
        assert_eq!(sessions.of("c", late + FORGET_AFTER - 1, late + FORGET_AFTER - 1), 2);
        assert_eq!(sessions.of("d", late + FORGET_AFTER, late + FORGET_AFTER), 0);
    }
}
