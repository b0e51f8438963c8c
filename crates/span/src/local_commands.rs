//! Commands that the local side sent over the link and must answer.

use std::collections::BTreeMap;

use tansyjunction::interface::Micros;

/// Outcome of a command as reported by the remote side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    Answered,
    /// It certainly did not execute.
    NeverRan,
    Failed,
}

/// Final answer of the local side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Answer {
    Answered,
    Throttled,
    Failed,
}

/// A command to send over the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Sent {
    pub number: u64,
    /// Time left for the answer in µs: a duration, since clocks differ.
    pub left: Micros,
    /// Time for which it may be dispatched even if it has executed before; `None`: never.
    pub repeat_left: Option<Micros>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingCommand {
    deadline: Micros,
    /// End of its deduplication window, counted from the first dispatch anywhere; `None` if it may not be repeated.
    window: Option<Micros>,
    /// It was sent, so it may have executed.
    left: bool,
    /// It may have executed at a remote side that has since restarted.
    doubt: bool,
}

/// Local commands by increasing number.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LocalCommands {
    next: u64,
    owed: BTreeMap<u64, PendingCommand>,
    /// Most commands at once; further ones are throttled.
    most: usize,
}

impl LocalCommands {
    /// `most`: limit of commands at once.
    pub fn new(most: usize) -> Self {
        LocalCommands { next: 1, owed: BTreeMap::new(), most }
    }

    /// Adds a command for the remote side; `None` if the limit is reached.
    pub fn add(&mut self, deadline: Micros, window: Option<Micros>) -> Option<u64> {
        if self.owed.len() >= self.most {
            return None;
        }
        let number = self.next;
        self.next += 1;
        self.owed.insert(number, PendingCommand { deadline, window, left: false, doubt: false });
        Some(number)
    }

    /// What to send for a command now; `None` if it is finished or out of time. Once written, it counts as sent.
    pub fn send(&mut self, now: Micros, number: u64) -> Option<Sent> {
        let owed = self.owed.get_mut(&number)?;
        // A command that was sent is sent again only within its deduplication window.
        let open = owed.window.is_some_and(|window| now < window);
        if now >= owed.deadline || owed.left && !open {
            return None;
        }
        owed.left = true;
        let repeat_left = owed.window.filter(|window| now < *window).map(|window| window - now);
        Some(Sent { number, left: owed.deadline - now, repeat_left })
    }

    /// Handles a reported outcome; `None` if the command no longer awaits one.
    pub fn on_outcome(&mut self, number: u64, outcome: Outcome) -> Option<Answer> {
        let owed = self.owed.remove(&number)?;
        Some(match outcome {
            Outcome::Answered => Answer::Answered,
            // A restarted remote side knows only what it did since its start.
            Outcome::NeverRan if owed.doubt => Answer::Failed,
            Outcome::NeverRan => Answer::Throttled,
            Outcome::Failed => Answer::Failed,
        })
    }

    /// Handles a restart of the remote side: keyed commands within their window are sent again, all others that were
    /// sent fail.
    pub fn in_doubt(&mut self, now: Micros, numbers: &[u64]) -> (Vec<u64>, Vec<(u64, Answer)>) {
        let (mut again, mut over) = (Vec::new(), Vec::new());
        for number in numbers {
            let Some(owed) = self.owed.get_mut(number) else { continue };
            owed.doubt |= owed.left;
            if !owed.left || owed.window.is_some_and(|window| now < window) && now < owed.deadline {
                again.push(*number);
            } else {
                self.owed.remove(number);
                over.push((*number, Answer::Failed));
            }
        }
        (again, over)
    }

    /// Numbers of all commands that were sent and await an answer, oldest first.
    pub fn sent_numbers(&self) -> Vec<u64> {
        self.owed.iter().filter(|(_, owed)| owed.left).map(|(number, _)| *number).collect()
    }

    /// Answers commands that are out of time: throttled if never sent.
    pub fn expire(&mut self, now: Micros) -> Vec<(u64, Answer)> {
        let over: Vec<u64> =
            self.owed.iter().filter(|(_, owed)| owed.deadline <= now).map(|(number, _)| *number).collect();
        let answer = |owed: PendingCommand| if owed.left { Answer::Failed } else { Answer::Throttled };
        over.into_iter().filter_map(|number| Some((number, answer(self.owed.remove(&number)?)))).collect()
    }

    /// The oldest number awaiting an answer; all lower ones are finished.
    pub fn oldest_pending(&self) -> u64 {
        self.owed.first_key_value().map_or(self.next - 1, |(number, _)| number - 1)
    }
}
