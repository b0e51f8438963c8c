//! What the far side remembers of commands, so that none runs twice: bounded, and where it has forgotten, it says so.

use std::collections::{BTreeMap, VecDeque};

use crate::near::Outcome;

/// Forgotten incarnations whose names are kept, so that they are not taken for new ones.
const GONE_MOST: usize = 1_024;

/// What the far side knows of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Known {
    /// It has never come: it may run now, and counts as taken.
    Fresh,
    Running,
    Done(Outcome),
    /// It may have come and been forgotten: it must not run.
    Forgotten,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Of {
    /// All numbers up to this one that are not among `commands` are forgotten.
    floor: u64,
    commands: BTreeMap<u64, Option<Outcome>>,
}

/// Commands by the incarnation of the near side that sent them, and by its numbers, which only rise.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Memory {
    most: usize,
    incarnations: usize,
    of: BTreeMap<u64, Of>,
    /// Incarnations in the order in which they were met.
    met: VecDeque<u64>,
    /// Incarnations that were forgotten: whatever comes of them may have come before.
    gone: Vec<u64>,
}

impl Memory {
    /// `most`: commands remembered of an incarnation that are done; `incarnations`: of how many.
    pub fn new(most: usize, incarnations: usize) -> Self {
        let (of, met) = (BTreeMap::new(), VecDeque::new());
        Memory { most: most.max(1), incarnations: incarnations.max(1), of, met, gone: Vec::new() }
    }

    /// A command came over the link.
    pub fn take(&mut self, incarnation: u64, number: u64) -> Known {
        if self.gone.contains(&incarnation) {
            return Known::Forgotten;
        }
        if !self.of.contains_key(&incarnation) {
            self.met.push_back(incarnation);
            if self.met.len() > self.incarnations
                && let Some(oldest) = self.met.pop_front()
            {
                self.of.remove(&oldest);
                self.gone.push(oldest);
                // One that comes back after so many others would have to be older than any connection.
                if self.gone.len() > GONE_MOST {
                    self.gone.remove(0);
                }
            }
        }
        let of = self.of.entry(incarnation).or_default();
        match of.commands.get(&number) {
            Some(None) => Known::Running,
            Some(Some(outcome)) => Known::Done(*outcome),
            None if number <= of.floor => Known::Forgotten,
            None => {
                of.commands.insert(number, None);
                Known::Fresh
            }
        }
    }

    /// The near side asks what became of a command. One that never came is barred from now on: whatever still is on
    /// its way must not run it.
    pub fn asked(&mut self, incarnation: u64, number: u64) -> Known {
        match self.take(incarnation, number) {
            Known::Fresh => {
                self.done(incarnation, number, Outcome::NeverRan);
                Known::Done(Outcome::NeverRan)
            }
            known => known,
        }
    }

    /// A command that runs here has ended. The oldest that are done are forgotten beyond the bound; one that runs is
    /// never.
    pub fn done(&mut self, incarnation: u64, number: u64, outcome: Outcome) {
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

    /// The near side has its answers up to this number and asks for none of them again.
    pub fn settled(&mut self, incarnation: u64, number: u64) {
        if let Some(of) = self.of.get_mut(&incarnation) {
            of.floor = of.floor.max(number);
            of.commands.retain(|known, entry| *known > number || entry.is_none());
        }
    }

    /// How many commands are remembered.
    pub fn len(&self) -> usize {
        self.of.values().map(|of| of.commands.len()).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
