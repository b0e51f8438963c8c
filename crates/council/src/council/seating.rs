//! Who sits: one change at a time, named by the leader, in force for each seat when its disk knows of it.

use raft::ProgressState;
use raft::prelude::{ConfChange, ConfChangeType};
use serde::{Deserialize, Serialize};

use super::*;
use crate::store::{Hard, Writes};

/// Entries that one which receives the log may lack and still be given its vote: it is as far as others are.
const NEARLY: u64 = 256;
/// Times `ask_every` for which a knock counts.
const KNOCK_FOR: u64 = 5;

/// A change of who sits.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Seating {
    Learn { disk: u64, name: String },
    Vote { disk: u64 },
    Unseat { disk: u64 },
}

impl Seat {
    fn seating(&mut self, seating: &Seating) {
        let (kind, disk) = match seating {
            Seating::Learn { disk, .. } => (ConfChangeType::AddLearnerNode, *disk),
            Seating::Vote { disk } => (ConfChangeType::AddNode, *disk),
            Seating::Unseat { disk } => (ConfChangeType::RemoveNode, *disk),
        };
        let mut change = ConfChange::default();
        change.set_change_type(kind);
        change.node_id = disk;
        if let Ok(context) = postcard::to_stdvec(seating) {
            // Dropped where another is under way: it is looked at again at the next beat.
            drop(self.raw.propose_conf_change(context, change));
        }
    }
}

impl<M: Machine> Council<M> {
    /// Notes on disk that the log is decided up to a change of seats, before anything is done under it: a seat that
    /// forgot several of them at a restart could hold a majority of those that sat before, and decide beside the
    /// others.
    pub(super) fn note(&mut self, index: u64) -> Result<(), Fault> {
        let Some(seat) = &mut self.seat else { return Ok(()) };
        if seat.hard.commit < index && !slips::is(Slip::SeatingForgotten) {
            let hard = Hard { commit: index, ..seat.hard };
            seat.disk.write(&Writes { hard: Some(hard), ..Writes::default() })?;
            seat.hard = hard;
        }
        Ok(())
    }

    pub(super) fn seated(&mut self, seating: &Seating) -> Result<(), Fault> {
        let Some(seat) = &mut self.seat else { return Ok(()) };
        let (kind, disk) = match seating {
            Seating::Learn { disk, .. } if seat.retired.contains(disk) => return Ok(()),
            Seating::Vote { disk } if !seat.roll.contains_key(disk) => return Ok(()),
            Seating::Learn { disk, name } => {
                seat.roll.insert(*disk, name.clone());
                (ConfChangeType::AddLearnerNode, *disk)
            }
            Seating::Vote { disk } => (ConfChangeType::AddNode, *disk),
            Seating::Unseat { disk } => {
                seat.retired.insert(*disk);
                (ConfChangeType::RemoveNode, *disk)
            }
        };
        let mut change = ConfChange::default();
        change.set_change_type(kind);
        change.node_id = disk;
        let seats = seat.raw.apply_conf_change(&change).map_err(consensus)?;
        (seat.voters, seat.learners) = (seats.voters, seats.learners);
        let name = seat.roll.get(&disk).cloned().unwrap_or_default();
        if let Seating::Unseat { .. } = seating {
            seat.roll.remove(&disk);
            seat.heard.remove(&disk);
            seat.sending.remove(&disk);
            seat.replaced |= disk == seat.id;
            self.news.push(News::Unseated { name });
        } else {
            self.news.push(News::Seated { name, votes: kind == ConfChangeType::AddNode });
        }
        Ok(())
    }

    /// Where this one leads: whom to give a seat, a vote, or neither. One change at a time.
    pub(super) fn choose(&mut self, now: Micros) {
        let (terms, me) = (&self.terms, &self.me);
        let Some(seat) = &mut self.seat else { return };
        seat.knocks.retain(|_, (_, at)| now < *at + KNOCK_FOR * terms.ask_every);
        if !seat.leads() {
            seat.led_since = now;
            seat.knocks.clear();
            return;
        }
        let raft = &seat.raw.raft;
        if raft.has_pending_conf() || !raft.apply_to_current_term() {
            return;
        }
        let last = raft.raft_log.last_index();
        let caught_up = seat.learners.iter().copied().find(|disk| {
            raft.prs().get(*disk).is_some_and(|progress| {
                progress.state != ProgressState::Snapshot
                    && progress.matched > 0
                    && progress.matched + NEARLY >= last
            })
        });
        if let Some(disk) = caught_up {
            return seat.seating(&Seating::Vote { disk });
        }
        let silent = |disk: &u64| {
            let heard = seat.heard.get(disk).map_or(0, |(_, at)| *at).max(seat.led_since);
            now >= heard + terms.replace_after
        };
        let unlisted = seat.roll.iter().find(|(_, name)| *name != me && !terms.seats.contains(name));
        if let Some((disk, _)) = unlisted {
            let disk = *disk;
            return seat.seating(&Seating::Unseat { disk });
        }
        for (name, (disk, _)) in &seat.knocks {
            if !terms.seats.contains(name) || seat.roll.contains_key(disk) || seat.retired.contains(disk) {
                continue;
            }
            let earlier = seat.roll.iter().find(|(_, seated)| *seated == name).map(|(disk, _)| *disk);
            let seating = match earlier {
                None => Seating::Learn { disk: *disk, name: name.clone() },
                Some(earlier) if silent(&earlier) => Seating::Unseat { disk: earlier },
                Some(_) => continue,
            };
            return seat.seating(&seating);
        }
    }
}
