//! Numbers for sessions. The number of a session unused for long is reused, and their count is bounded, so that memory
//! does not grow with all sessions that ever existed.

use std::collections::{BTreeSet, HashMap};

use tansyjunction::interface::Micros;

use crate::memory::name_hash::NameHash;

/// A session unused for this long is forgotten: far longer than replication lag, so that its writes are everywhere. Its
/// successor inherits its last write, so it requires newer data than necessary, never older.
const FORGET_AFTER: Micros = 120_000_000;
/// Share of the process's memory that sessions may use.
const MEMORY_DIVISOR: usize = 8;
/// Memory of one session here and in the router.
const SESSION_BYTES: usize = 256;

/// What is known of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownSession {
    pub number: usize,
    /// It may have been forgotten too early, with writes until then.
    pub forgotten_until: Option<Micros>,
}

/// A session with a number.
struct Numbered {
    name: NameHash,
    /// The latest end of any of its commands.
    used_until: Micros,
    /// The latest end of any of its writes.
    written_until: Option<Micros>,
    /// The latest end of the writes that had been forgotten too early as it got its number.
    forgotten_until: Option<Micros>,
}

/// Numbers of the known sessions. Two whose names have the same hash share a number, and require newer data than
/// necessary.
pub struct Sessions {
    max_sessions: usize,
    numbers: HashMap<NameHash, usize>,
    by_number: Vec<Numbered>,
    by_age: BTreeSet<(Micros, usize)>,
    /// The latest end of the writes of sessions that were forgotten too early.
    forgotten_until: Option<Micros>,
}

impl Sessions {
    /// No sessions, in a process that may use `memory` bytes.
    pub fn new(memory: usize) -> Self {
        Sessions {
            max_sessions: (memory / MEMORY_DIVISOR / SESSION_BYTES).max(1),
            numbers: HashMap::new(),
            by_number: Vec::new(),
            by_age: BTreeSet::new(),
            forgotten_until: None,
        }
    }

    /// The session of this name, with a command or write pending until `until` at most. A number is not reused before if there
    /// are others, so that a late answer to a write is not recorded for another session.
    pub fn find_or_add(&mut self, name: &str, now: Micros, until: Micros, writes: bool) -> KnownSession {
        let name = NameHash::of(name);
        let number = match self.numbers.get(&name) {
            Some(number) => *number,
            None => self.add(name, now),
        };
        let session = &mut self.by_number[number];
        self.by_age.remove(&(session.used_until, number));
        session.used_until = until.max(session.used_until);
        self.by_age.insert((session.used_until, number));
        if writes {
            session.written_until = session.written_until.max(Some(until));
        }
        let forgotten_until = session.forgotten_until.filter(|until| now < until + FORGET_AFTER);
        KnownSession { number, forgotten_until }
    }

    /// Gives a new session a number: that of one forgotten by now, an unused one, or that of the session unused for
    /// longest.
    fn add(&mut self, name: NameHash, now: Micros) -> usize {
        let full = self.by_number.len() >= self.max_sessions;
        let oldest = self.by_age.first().copied();
        let reused = oldest.filter(|(used_until, _)| full || used_until + FORGET_AFTER <= now);
        let number = match reused {
            Some((used_until, number)) => {
                let forgotten = &self.by_number[number];
                if now < used_until + FORGET_AFTER {
                    let writes = forgotten.written_until.max(forgotten.forgotten_until);
                    self.forgotten_until = self.forgotten_until.max(writes);
                }
                self.numbers.remove(&forgotten.name);
                self.by_age.remove(&(used_until, number));
                self.by_number[number] = self.numbered(name, used_until);
                number
            }
            None => {
                self.by_number.push(self.numbered(name, now));
                self.by_number.len() - 1
            }
        };
        self.numbers.insert(name, number);
        number
    }

    fn numbered(&self, name: NameHash, used_until: Micros) -> Numbered {
        Numbered { name, used_until, written_until: None, forgotten_until: self.forgotten_until }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Enough memory for every session of a test.
    const MEMORY: usize = 1 << 20;

    #[test]
    fn a_number_is_given_on_only_after_its_session_was_long_unmet() {
        let mut sessions = Sessions::new(MEMORY);
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
            let expected = KnownSession { number, forgotten_until: None };
            assert_eq!(sessions.find_or_add(name, now, now, true), expected, "{name} at {now}");
        }
        assert_eq!(sessions.numbers.len(), sessions.by_number.len());
    }

    /// The last write of a session must not be recorded under a number reused by another one.
    #[test]
    fn a_number_is_not_given_on_while_a_command_may_refer_to_it() {
        let mut sessions = Sessions::new(MEMORY);
        let late = 2 * FORGET_AFTER;
        let mut number_of = |name, now, until| sessions.find_or_add(name, now, until, true).number;
        assert_eq!(number_of("a", 0, late), 0);
        // A command that ends earlier does not change that.
        assert_eq!([number_of("a", 1, 2), number_of("b", late, late)], [0, 1]);
        assert_eq!(number_of("c", late + FORGET_AFTER - 1, late + FORGET_AFTER - 1), 2);
        assert_eq!(number_of("d", late + FORGET_AFTER, late + FORGET_AFTER), 0);
    }

    /// Guards against memory that grows with the names of sessions, and against a session that misses its own writes
    /// since it was forgotten for that (incident 25).
    #[test]
    fn the_number_of_sessions_is_bounded_and_a_session_forgotten_early_is_told_so() {
        const MAX: usize = 100;
        let mut sessions = Sessions::new(MAX * SESSION_BYTES * MEMORY_DIVISOR);
        let first = sessions.find_or_add("first", 1_000, 1_500, true);
        assert_eq!(first.forgotten_until, None);
        for number in 0..10 * MAX {
            let now = 2_000 + number as Micros;
            let found = sessions.find_or_add(&number.to_string(), now, now, false);
            assert!(found.number < MAX);
            assert!(sessions.numbers.len() <= MAX && sessions.by_age.len() <= MAX);
        }
        let back = sessions.find_or_add("first", 4_000, 4_000, false);
        assert_eq!(back.forgotten_until, Some(1_500));
        // It stays so for as long as its write may matter, and sessions that only read change nothing.
        let later = 1_500 + FORGET_AFTER;
        assert_eq!(sessions.find_or_add("first", later - 1, 4_000, false), back);
        assert_eq!(sessions.find_or_add("first", later, later, false).forgotten_until, None);
        assert_eq!(sessions.find_or_add("new", later, later, false).forgotten_until, None);
    }
}
