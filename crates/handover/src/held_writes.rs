//! Held writes of a shard, ordered by remaining time, with the writes of each session in order of arrival.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use tansyjunction::interface::Micros;

use crate::interface::Write;

/// Queue of held writes.
#[derive(Clone, Debug, Default, Hash, PartialEq, Eq)]
pub(crate) struct HeldWrites {
    writes: BTreeMap<u64, Write>,
    /// All writes by deadline.
    by_deadline: BTreeSet<(Micros, u64)>,
    /// Writes that may be released next by deadline: the first of each session, and all without a session.
    ready: BTreeSet<(Micros, u64)>,
    sessions: BTreeMap<usize, VecDeque<u64>>,
    clients: BTreeMap<u64, usize>,
    pub bytes: usize,
}

impl HeldWrites {
    /// Number of held writes.
    pub fn len(&self) -> usize {
        self.writes.len()
    }

    /// Whether no write is held.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }

    /// Whether a write is held.
    pub fn contains(&self, id: u64) -> bool {
        self.writes.contains_key(&id)
    }

    /// Number of held writes of a client.
    pub fn count_of_client(&self, client: u64) -> usize {
        self.clients.get(&client).copied().unwrap_or(0)
    }

    /// Whether a write of the session is held.
    pub fn has_session(&self, session: Option<usize>) -> bool {
        session.is_some_and(|session| self.sessions.contains_key(&session))
    }

    /// When a write must be released at the latest: by its client timeout or the end of its deduplication window.
    fn deadline(write: &Write, round: Micros) -> Micros {
        let most = write.client_timeout.saturating_sub(round);
        write.repeat_until.map_or(most, |until| most.min(until))
    }

    /// Adds a write. With `first` it goes ahead of its session's other writes, since it arrived before them.
    pub fn add(&mut self, write: Write, round: Micros, first: bool) {
        let (id, deadline) = (write.id, Self::deadline(&write, round));
        self.by_deadline.insert((deadline, id));
        match write.session {
            None => {
                self.ready.insert((deadline, id));
            }
            Some(session) => {
                let line = self.sessions.entry(session).or_default();
                let was = line.front().copied();
                if first {
                    line.push_front(id)
                } else {
                    line.push_back(id)
                }
                if line.front() == Some(&id) {
                    if let Some(was) = was.and_then(|was| self.writes.get(&was)) {
                        self.ready.remove(&(Self::deadline(was, round), was.id));
                    }
                    self.ready.insert((deadline, id));
                }
            }
        }
        *self.clients.entry(write.client).or_default() += 1;
        self.bytes += write.bytes;
        self.writes.insert(id, write);
    }

    /// Removes a write.
    pub fn remove(&mut self, id: u64, round: Micros) -> Option<Write> {
        let write = self.writes.remove(&id)?;
        let deadline = Self::deadline(&write, round);
        self.by_deadline.remove(&(deadline, id));
        self.ready.remove(&(deadline, id));
        self.bytes -= write.bytes;
        if let Some(count) = self.clients.get_mut(&write.client) {
            *count -= 1;
            if *count == 0 {
                self.clients.remove(&write.client);
            }
        }
        if let Some(session) = write.session
            && let Some(line) = self.sessions.get_mut(&session)
        {
            line.retain(|other| *other != id);
            match line.front().and_then(|next| self.writes.get(next)) {
                Some(next) => {
                    self.ready.insert((Self::deadline(next, round), next.id));
                }
                None => {
                    self.sessions.remove(&session);
                }
            }
        }
        Some(write)
    }

    /// Limits all deadlines to `until`.
    pub fn limit_deadlines(&mut self, until: Micros, round: Micros) {
        let mut before = std::mem::take(self);
        // Re-adds each session's writes in order of arrival.
        let mut order: Vec<u64> = before.sessions.values().flatten().copied().collect();
        order.extend(before.writes.values().filter(|write| write.session.is_none()).map(|write| write.id));
        for id in order {
            let Some(mut write) = before.writes.remove(&id) else { continue };
            write.client_timeout = write.client_timeout.min(until);
            self.add(write, round, false);
        }
    }

    /// The write with the earliest deadline that may go, where `free` says that its session has nothing in flight.
    pub fn next_ready(&self, free: impl Fn(&Write) -> bool) -> Option<u64> {
        let ready = self.ready.iter().filter_map(|(_, id)| self.writes.get(id));
        ready.into_iter().find(|write| free(write)).map(|write| write.id)
    }

    /// A write whose deadline is `by` or earlier.
    pub fn overdue(&self, by: Micros) -> Option<&Write> {
        let (deadline, id) = self.by_deadline.first()?;
        if *deadline <= by { self.writes.get(id) } else { None }
    }

    /// The earliest deadline.
    pub fn first_deadline(&self) -> Option<Micros> {
        self.by_deadline.first().map(|(deadline, _)| *deadline)
    }
}
