//! Pending commands with their dispatch history, and when to ask the router about each again.

use std::collections::BTreeMap;

use tansyjunction::Router;
use tansyjunction::interface::*;

use crate::timers::TimerQueue;

/// A pending command.
#[derive(Default)]
struct Entry {
    pending: PendingCommand,
    finished: bool,
    /// Index of a dispatch that was cancelled before it was completely written.
    cancelled_unsent: Option<usize>,
    /// When the router is to be asked again; queued times other than this are obsolete.
    due: Micros,
}

/// The pending commands of one router, under ids that the host assigns and never reuses.
#[derive(Default)]
pub struct PendingCommands {
    /// Whether dispatches are written some time after their placement, as reported by the host.
    deferred_writes: bool,
    entries: BTreeMap<u64, Entry>,
    due: TimerQueue<u64>,
}

impl PendingCommands {
    /// For a host that may have to wait before it can write a dispatch.
    pub fn with_deferred_writes() -> Self {
        PendingCommands { deferred_writes: true, ..PendingCommands::default() }
    }

    /// Adds a new command.
    pub fn add(&mut self, id: u64, command: Command) {
        let held = PendingCommand { command, dispatches: Vec::new() };
        self.entries.insert(id, Entry { pending: held, ..Entry::default() });
    }

    /// Number of dispatches of a command; `None` if it is unknown.
    pub fn dispatch_count(&self, id: u64) -> Option<usize> {
        self.entries.get(&id).map(|entry| entry.pending.dispatches.len())
    }

    /// A pending command with its dispatch history.
    pub fn get(&self, id: u64) -> Option<&PendingCommand> {
        self.entries.get(&id).map(|entry| &entry.pending)
    }

    /// Sets the command's arrival time to now: the host has held it back from the router until now.
    pub fn set_arrival(&mut self, id: u64, now: Micros) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.pending.command.arrived = now;
        }
    }

    /// Ends every command by `until` at the latest, even if its client would wait longer.
    pub fn limit_timeouts(&mut self, until: Micros) {
        for entry in self.entries.values_mut() {
            entry.pending.command.client_timeout = entry.pending.command.client_timeout.min(until);
        }
    }

    /// Marks a command as answered without its router. Dispatches in flight still end one by one.
    pub fn finish(&mut self, id: u64) {
        self.mark_finished(id);
        self.remove_if_done(id);
    }

    /// When a dispatch was placed.
    pub fn sent_at(&self, id: u64, dispatch: usize) -> Option<Micros> {
        Some(self.entries.get(&id)?.pending.dispatches.get(dispatch)?.sent)
    }

    /// Asks the router to place a command and records the dispatch. Returns the placement and the dispatches to cancel
    /// after it, or `None` if the command is finished.
    pub fn place(&mut self, router: &mut Router, now: Micros, id: u64) -> Option<(Placement, Vec<usize>)> {
        let entry = self.entries.get_mut(&id).filter(|entry| !entry.finished)?;
        let place = router.place(now, &entry.pending);
        match place {
            Placement::Dispatch { server, .. } => {
                let written = Some(now).filter(|_| !self.deferred_writes);
                entry.pending.dispatches.push(Dispatch { server, sent: now, written, ended: None });
            }
            Placement::Hold => {}
            Placement::Abandon(_) => {
                self.mark_finished(id);
                self.remove_if_done(id);
                return Some((place, Vec::new()));
            }
        }
        let wait = router.next_check(now, Some(&entry.pending));
        let due = now + wait.after.max(1);
        if entry.due != due {
            entry.due = due;
            self.due.add(due, id);
        }
        Some((place, wait.cancel))
    }

    /// Asks the router whether the next bytes of a dispatch may be written. If not, the dispatch is cancelled; since no
    /// server received it completely, it is removed from the history once its end is reported.
    pub fn may_write(&mut self, router: &mut Router, now: Micros, id: u64, dispatch: usize) -> bool {
        let Some(entry) = self.entries.get_mut(&id) else { return false };
        let may = !entry.finished && !router.next_check(now, Some(&entry.pending)).cancel.contains(&dispatch);
        entry.cancelled_unsent = if may { None } else { Some(dispatch) };
        may
    }

    /// Records that a dispatch was completely written.
    pub fn on_written(&mut self, id: u64, dispatch: usize, now: Micros) {
        let found = self.entries.get_mut(&id).and_then(|entry| entry.pending.dispatches.get_mut(dispatch));
        if let Some(found) = found {
            found.written = Some(now);
        }
    }

    /// Records that a server's answer goes to the client as the final one; its dispatch ends later.
    pub fn on_answer(&mut self, router: &mut Router, now: Micros, id: u64) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.finished = true;
            router.on_answer(now, &entry.pending);
        }
    }

    /// Records that the command has its final answer.
    fn mark_finished(&mut self, id: u64) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.finished = true;
        }
    }

    /// Passes the end of a dispatch to the router. `None` if the dispatch is unknown.
    pub fn on_dispatch_ended(
        &mut self,
        router: &mut Router,
        now: Micros,
        id: u64,
        mut outcome: Outcome,
    ) -> Option<NextStep> {
        let entry = self.entries.get_mut(&id)?;
        entry.pending.dispatches.get_mut(outcome.dispatch)?.ended = Some(outcome.ending);
        entry.finished |= outcome.finished;
        outcome.finished = entry.finished;
        let after = router.on_outcome(now, &entry.pending, &outcome);
        // A dispatch that was never sent does not count as an attempt. It stays if others follow it, so that their
        // indices remain valid.
        if entry.cancelled_unsent.take_if(|unsent| *unsent == outcome.dispatch).is_some()
            && entry.pending.dispatches.len() == outcome.dispatch + 1
        {
            entry.pending.dispatches.pop();
        }
        self.remove_if_done(id);
        Some(after)
    }

    /// Records that the client has gone. Dispatches in flight still end one by one.
    pub fn on_client_gone(&mut self, router: &mut Router, now: Micros, id: u64) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.finished = true;
            router.on_client_gone(now, &entry.pending);
            self.remove_if_done(id);
        }
    }

    /// Removes a command that is finished and has no dispatch in flight.
    fn remove_if_done(&mut self, id: u64) {
        let ended =
            |entry: &Entry| entry.finished && entry.pending.dispatches.iter().all(|d| d.ended.is_some());
        if self.entries.get(&id).is_some_and(ended) {
            self.entries.remove(&id);
        }
    }

    /// Takes the next command whose router query is due.
    pub fn take_due(&mut self, now: Micros) -> Option<u64> {
        while let Some((at, id)) = self.due.pop_due(now) {
            if self.entries.get(&id).is_some_and(|entry| entry.due == at) {
                return Some(id);
            }
        }
        None
    }

    /// When the next router query is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.next_due()
    }
}
