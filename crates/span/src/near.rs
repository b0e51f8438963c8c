//! Commands that the near side sent over the link and owes an answer.

use std::collections::BTreeMap;

use tansyjunction::interface::Micros;

/// How a far command ended, as the far side tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    Answered,
    /// It surely did not run.
    NeverRan,
    Failed,
}

/// The one answer that the near side gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Answer {
    Answered,
    Throttled,
    Failed,
}

/// What is to go over the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Sent {
    pub number: u64,
    /// Time left for its answer, in microseconds: a duration, since clocks differ.
    pub left: Micros,
    /// For so long it may still be dispatched if it may have run before; None: never again.
    pub repeat_left: Option<Micros>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Owed {
    deadline: Micros,
    /// Until when it may be repeated, counted from its first dispatch anywhere; None: never.
    window: Option<Micros>,
    /// It has left: it may have run.
    left: bool,
    /// It may have run where nobody remembers it: the far side began anew since.
    doubt: bool,
}

/// The near side's commands by their numbers, which only rise.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Near {
    next: u64,
    owed: BTreeMap<u64, Owed>,
    /// Commands at once, beyond which a new one is turned away.
    most: usize,
}

impl Near {
    pub fn new(most: usize) -> Self {
        Near { next: 1, owed: BTreeMap::new(), most }
    }

    /// Takes a command for the far side; None: there is no room, it is throttled here at once.
    pub fn take(&mut self, deadline: Micros, window: Option<Micros>) -> Option<u64> {
        if self.owed.len() >= self.most {
            return None;
        }
        let number = self.next;
        self.next += 1;
        self.owed.insert(number, Owed { deadline, window, left: false, doubt: false });
        Some(number)
    }

    /// What to send of a command now; None: it is over, or its time is. Once it was written it counts as having left.
    pub fn send(&mut self, now: Micros, number: u64) -> Option<Sent> {
        let owed = self.owed.get_mut(&number)?;
        // What has left before goes again only while its key holds.
        let open = owed.window.is_some_and(|window| now < window);
        if now >= owed.deadline || owed.left && !open {
            return None;
        }
        owed.left = true;
        let repeat_left = owed.window.filter(|window| now < *window).map(|window| window - now);
        Some(Sent { number, left: owed.deadline - now, repeat_left })
    }

    /// The far side has told how a command ended; None: it is not owed any more, and the news comes too late.
    pub fn told(&mut self, number: u64, outcome: Outcome) -> Option<Answer> {
        let owed = self.owed.remove(&number)?;
        Some(match outcome {
            Outcome::Answered => Answer::Answered,
            // Guards against a far side that knows only what it did itself since it began.
            Outcome::NeverRan if owed.doubt => Answer::Failed,
            Outcome::NeverRan => Answer::Throttled,
            Outcome::Failed => Answer::Failed,
        })
    }

    /// The far side began anew, and nobody knows what became of these: a keyed one goes again while its window is
    /// open, all others that have left are answered failed.
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

    /// All that have left and are owed, the oldest first.
    pub fn out(&self) -> Vec<u64> {
        self.owed.iter().filter(|(_, owed)| owed.left).map(|(number, _)| *number).collect()
    }

    /// Commands whose time is over, with their answers: throttled where nothing has left.
    pub fn due(&mut self, now: Micros) -> Vec<(u64, Answer)> {
        let over: Vec<u64> =
            self.owed.iter().filter(|(_, owed)| owed.deadline <= now).map(|(number, _)| *number).collect();
        let answer = |owed: Owed| if owed.left { Answer::Failed } else { Answer::Throttled };
        over.into_iter().filter_map(|number| Some((number, answer(self.owed.remove(&number)?)))).collect()
    }

    /// The oldest number that is still owed; all below are settled.
    pub fn settled(&self) -> u64 {
        self.owed.first_key_value().map_or(self.next - 1, |(number, _)| number - 1)
    }
}
