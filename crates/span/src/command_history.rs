//! The remote side's bounded record of commands, which ensures that none executes twice; it reports what it has
//! forgotten.

use std::collections::{BTreeMap, VecDeque};

use crate::local_commands::Outcome;

/// Most forgotten incarnations that are remembered, so that they are not treated as new.
const MAX_FORGOTTEN: usize = 1_024;

/// What is known about a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandState {
    /// It is new: it may execute, and is recorded as received.
    Fresh,
    Running,
    Done(Outcome),
    /// It may have been received and forgotten: it must not execute.
    Forgotten,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct IncarnationHistory {
    /// Numbers up to this one that are not among `commands` are forgotten.
    floor: u64,
    commands: BTreeMap<u64, Option<Outcome>>,
}

/// Commands by the incarnation of their sender and its increasing numbers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CommandHistory {
    most: usize,
    incarnations: usize,
    of: BTreeMap<u64, IncarnationHistory>,
    /// Incarnations in the order of their first command.
    met: VecDeque<u64>,
    /// Forgotten incarnations: any of their commands may have been received before.
    gone: Vec<u64>,
}

impl CommandHistory {
    /// `most`: finished commands kept per incarnation; `incarnations`: their number.
    pub fn new(most: usize, incarnations: usize) -> Self {
        let (of, met) = (BTreeMap::new(), VecDeque::new());
        CommandHistory { most: most.max(1), incarnations: incarnations.max(1), of, met, gone: Vec::new() }
    }

    /// Records a received command.
    pub fn receive(&mut self, incarnation: u64, number: u64) -> CommandState {
        if self.gone.contains(&incarnation) {
            return CommandState::Forgotten;
        }
        if !self.of.contains_key(&incarnation) {
            self.met.push_back(incarnation);
            if self.met.len() > self.incarnations
                && let Some(oldest) = self.met.pop_front()
            {
                self.of.remove(&oldest);
                self.gone.push(oldest);
                // An incarnation that returns after so many others would be older than any connection.
                if self.gone.len() > MAX_FORGOTTEN {
                    self.gone.remove(0);
                }
            }
        }
        let of = self.of.entry(incarnation).or_default();
        match of.commands.get(&number) {
            Some(None) => CommandState::Running,
            Some(Some(outcome)) => CommandState::Done(*outcome),
            None if number <= of.floor => CommandState::Forgotten,
            None => {
                of.commands.insert(number, None);
                CommandState::Fresh
            }
        }
    }

    /// Looks up a command for the sender. One that was never received is barred from now on: a copy still in transit
    /// must not execute.
    pub fn look_up(&mut self, incarnation: u64, number: u64) -> CommandState {
        match self.receive(incarnation, number) {
            CommandState::Fresh => {
                self.finish(incarnation, number, Outcome::NeverRan);
                CommandState::Done(Outcome::NeverRan)
            }
            known => known,
        }
    }

    /// Records the end of a command. The oldest finished ones beyond the limit are forgotten, running ones never.
    pub fn finish(&mut self, incarnation: u64, number: u64, outcome: Outcome) {
        let Some(of) = self.of.get_mut(&incarnation) else { return };
        if let Some(entry) = of.commands.get_mut(&number) {
            *entry = Some(outcome);
        }
        while of.commands.values().filter(|entry| entry.is_some()).count() > self.most {
            let oldest = of.commands.iter().find(|(_, entry)| entry.is_some()).map(|(number, _)| *number);
            let Some(oldest) = oldest else { return };
            of.commands.remove(&oldest);
            of.floor = of.floor.max(oldest);
        }
    }

    /// The sender has its answers up to this number and will not ask again.
    pub fn forget_up_to(&mut self, incarnation: u64, number: u64) {
        if let Some(of) = self.of.get_mut(&incarnation) {
            of.floor = of.floor.max(number);
            of.commands.retain(|known, entry| *known > number || entry.is_none());
        }
    }

    /// Number of commands kept.
    pub fn len(&self) -> usize {
        self.of.values().map(|of| of.commands.len()).sum()
    }

    /// Whether no command is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
