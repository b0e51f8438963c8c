//! Commands in hand with their dispatch history, and when to ask about each again.

use std::collections::BTreeMap;

use tansyjunction::Router;
use tansyjunction::interface::*;

use crate::due::DueTimes;

#[derive(Default)]
struct Entry {
    held: PendingCommand,
    over: bool,
    /// A dispatch that is called off before it is written whole.
    unsent: Option<usize>,
    /// When the router is to be asked about it again; entries for other times are void.
    due: Micros,
}

/// The commands of one router under numbers that the host hands out and never uses again.
#[derive(Default)]
pub struct Commands {
    /// Dispatches are written some time after they are placed, and the host tells when.
    written_later: bool,
    entries: BTreeMap<u64, Entry>,
    due: DueTimes<u64>,
}

impl Commands {
    /// For a host that may have to wait before it can write.
    pub fn written_later() -> Self {
        Commands { written_later: true, ..Commands::default() }
    }

    pub fn take(&mut self, id: u64, command: Command) {
        let held = PendingCommand { command, dispatches: Vec::new() };
        self.entries.insert(id, Entry { held, ..Entry::default() });
    }

    /// How many dispatches a command has had; None: it is not known.
    pub fn dispatches(&self, id: u64) -> Option<usize> {
        self.entries.get(&id).map(|entry| entry.held.dispatches.len())
    }

    /// A command with its history.
    pub fn held(&self, id: u64) -> Option<&PendingCommand> {
        self.entries.get(&id).map(|entry| &entry.held)
    }

    /// To its router a command arrives only now; before, its host has kept it.
    pub fn put_off(&mut self, id: u64, now: Micros) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.held.command.arrived = now;
        }
    }

    /// No command may go on for longer than until then, whatever its client waits.
    pub fn hasten(&mut self, until: Micros) {
        for entry in self.entries.values_mut() {
            entry.held.command.client_timeout = entry.held.command.client_timeout.min(until);
        }
    }

    /// The command is answered without its router; dispatches that are out still end one by one.
    pub fn finish(&mut self, id: u64) {
        self.over(id);
        self.forget_ended(id);
    }

    /// When a dispatch of a command was sent.
    pub fn sent(&self, id: u64, dispatch: usize) -> Option<Micros> {
        Some(self.entries.get(&id)?.held.dispatches.get(dispatch)?.sent)
    }

    /// Asks the router where to send a command now, with the dispatches to call off after that. A dispatch is
    /// noted as sent. None: the command is over.
    pub fn ask(&mut self, router: &mut Router, now: Micros, id: u64) -> Option<(Placement, Vec<usize>)> {
        let entry = self.entries.get_mut(&id).filter(|entry| !entry.over)?;
        let place = router.place(now, &entry.held);
        match place {
            Placement::Dispatch { server, .. } => {
                let written = Some(now).filter(|_| !self.written_later);
                entry.held.dispatches.push(Dispatch { server, sent: now, written, ended: None });
            }
            Placement::Hold => {}
            Placement::Abandon(_) => {
                self.over(id);
                self.forget_ended(id);
                return Some((place, Vec::new()));
            }
        }
        let wait = router.next_check(now, Some(&entry.held));
        let due = now + wait.after.max(1);
        if entry.due != due {
            entry.due = due;
            self.due.add(due, id);
        }
        Some((place, wait.cancel))
    }

    /// Whether a dispatch's next bytes may be written: the router is asked again. One that may not go out any
    /// more is called off, and since it reached nobody it is no dispatch of its command once its end is told.
    pub fn may_write(&mut self, router: &mut Router, now: Micros, id: u64, dispatch: usize) -> bool {
        let Some(entry) = self.entries.get_mut(&id) else { return false };
        let may = !entry.over && !router.next_check(now, Some(&entry.held)).cancel.contains(&dispatch);
        entry.unsent = if may { None } else { Some(dispatch) };
        may
    }

    /// A dispatch's last byte was written.
    pub fn written(&mut self, id: u64, dispatch: usize, now: Micros) {
        let found = self.entries.get_mut(&id).and_then(|entry| entry.held.dispatches.get_mut(dispatch));
        if let Some(found) = found {
            found.written = Some(now);
        }
    }

    /// The command has its final answer.
    pub fn over(&mut self, id: u64) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.over = true;
        }
    }

    /// A dispatch ended. None: it is not known.
    pub fn ended(
        &mut self,
        router: &mut Router,
        now: Micros,
        id: u64,
        mut outcome: Outcome,
    ) -> Option<NextStep> {
        let entry = self.entries.get_mut(&id)?;
        entry.held.dispatches.get_mut(outcome.dispatch)?.ended = Some(outcome.ending);
        entry.over |= outcome.finished;
        outcome.finished = entry.over;
        let after = router.on_outcome(now, &entry.held, &outcome);
        // Guards against tries used up by what never left. One with others behind it stays, as their numbers do.
        if entry.unsent.take_if(|unsent| *unsent == outcome.dispatch).is_some()
            && entry.held.dispatches.len() == outcome.dispatch + 1
        {
            entry.held.dispatches.pop();
        }
        self.forget_ended(id);
        Some(after)
    }

    /// The client has gone; dispatches that are out still end one by one.
    pub fn client_gone(&mut self, router: &mut Router, now: Micros, id: u64) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.over = true;
            router.on_client_gone(now, &entry.held);
            self.forget_ended(id);
        }
    }

    /// A command is kept until it is over and the last of its dispatches has ended.
    fn forget_ended(&mut self, id: u64) {
        let ended = |entry: &Entry| entry.over && entry.held.dispatches.iter().all(|d| d.ended.is_some());
        if self.entries.get(&id).is_some_and(ended) {
            self.entries.remove(&id);
        }
    }

    /// The next command that is to be asked about by now.
    pub fn due(&mut self, now: Micros) -> Option<u64> {
        while let Some((at, id)) = self.due.take(now) {
            if self.entries.get(&id).is_some_and(|entry| entry.due == at) {
                return Some(id);
            }
        }
        None
    }

    pub fn next_due(&self) -> Option<Micros> {
        self.due.next()
    }
}
