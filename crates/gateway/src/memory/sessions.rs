//! Numbers for sessions. The number of a session unused for long is reused, so that memory does not grow with all
//! sessions that ever existed.

use std::collections::{BTreeSet, HashMap};

use tansyjunction::interface::Micros;

use crate::memory::name_hash::NameHash;

/// A session unused for this long is forgotten: far longer than replication lag, so that its writes are everywhere, and
/// short enough that hundreds of new sessions per second fit into memory. Its successor inherits its last write, so it
/// requires newer data than necessary, never older.
const FORGET_AFTER: Micros = 120_000_000;

/// Numbers of the known sessions. Two whose names have the same hash share a number, and require newer data than
/// necessary.
#[derive(Default)]
pub struct Sessions {
    numbers: HashMap<NameHash, usize>,
    /// Hash behind each number, and the latest end of any of its commands.
    by_number: Vec<(NameHash, Micros)>,
    by_age: BTreeSet<(Micros, usize)>,
}

impl Sessions {
    /// The number of a session with a command pending until `until` at most. A number is not reused before, so that a
    /// late answer to a write is not recorded for another session.
    pub fn number_of(&mut self, name: &str, now: Micros, until: Micros) -> usize {
        let mark = NameHash::of(name);
        let number = match self.numbers.get(&mark) {
            Some(number) => *number,
            None => {
                let oldest = self.by_age.first().filter(|(met, _)| met + FORGET_AFTER <= now);
                let number = oldest.map_or(self.by_number.len(), |(_, number)| *number);
                match self.by_number.get_mut(number) {
                    Some((old, _)) => {
                        self.numbers.remove(old);
                        *old = mark;
                    }
                    None => self.by_number.push((mark, now)),
                }
                self.numbers.insert(mark, number);
                number
            }
        };
        let met = &mut self.by_number[number].1;
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
        // Name of the session, time, and expected number.
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
            assert_eq!(sessions.number_of(name, now, now), number, "{name} at {now}");
        }
        assert_eq!(sessions.numbers.len(), sessions.by_number.len());
    }

    /// The last write of a session must not be recorded under a number reused by another one.
    #[test]
    fn a_number_is_not_given_on_while_a_command_may_refer_to_it() {
        let mut sessions = Sessions::default();
        let late = 2 * FORGET_AFTER;
        assert_eq!(sessions.number_of("a", 0, late), 0);
        // A command that ends earlier does not change that.
        assert_eq!([sessions.number_of("a", 1, 2), sessions.number_of("b", late, late)], [0, 1]);
        assert_eq!(sessions.number_of("c", late + FORGET_AFTER - 1, late + FORGET_AFTER - 1), 2);
        assert_eq!(sessions.number_of("d", late + FORGET_AFTER, late + FORGET_AFTER), 0);
    }
}
