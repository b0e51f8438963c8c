//! Membership changes: proposed by the leader one at a time, and effective on each member once its disk holds them.

use raft::ProgressState;
use raft::prelude::{ConfChange, ConfChangeType};
use serde::{Deserialize, Serialize};

use super::*;
use crate::store::{StoredHardState, WriteBatch};

/// Most entries that a learner may lack to become a voter.
const MAX_LEARNER_LAG: u64 = 256;
/// A request to join is valid for this many times `retry_interval`.
const JOIN_REQUEST_RETRIES: u64 = 5;

/// A membership change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum MembershipChange {
    Learn { disk: u64, name: String },
    Vote { disk: u64 },
    Unseat { disk: u64 },
}

impl RaftNode {
    fn propose_change(&mut self, seating: &MembershipChange) {
        let (kind, disk) = match seating {
            MembershipChange::Learn { disk, .. } => (ConfChangeType::AddLearnerNode, *disk),
            MembershipChange::Vote { disk } => (ConfChangeType::AddNode, *disk),
            MembershipChange::Unseat { disk } => (ConfChangeType::RemoveNode, *disk),
        };
        let mut change = ConfChange::default();
        change.set_change_type(kind);
        change.node_id = disk;
        if let Ok(context) = postcard::to_stdvec(seating) {
            // Rejected if another change is in progress; retried at the next heartbeat.
            drop(self.raft.propose_conf_change(context, change));
        }
    }
}

impl<M: StateMachine> ConsensusMember<M> {
    /// Stores that the log is committed up to a membership change before it takes effect. A member that forgot
    /// several of them in a restart could form a majority of earlier members and decide independently. others.
    pub(super) fn persist_commit(&mut self, index: u64) -> Result<(), ConsensusError> {
        let Some(seat) = &mut self.node else { return Ok(()) };
        if seat.hard.commit < index && !seeded_faults::is_active(SeededFault::SeatingForgotten) {
            let hard = StoredHardState { commit: index, ..seat.hard };
            seat.disk.write(&WriteBatch { hard: Some(hard), ..WriteBatch::default() })?;
            seat.hard = hard;
        }
        Ok(())
    }

    /// Applies a committed membership change.
    pub(super) fn apply_membership_change(
        &mut self,
        seating: &MembershipChange,
    ) -> Result<(), ConsensusError> {
        let Some(seat) = &mut self.node else { return Ok(()) };
        let (kind, disk) = match seating {
            MembershipChange::Learn { disk, .. } if seat.retired.contains(disk) => return Ok(()),
            MembershipChange::Vote { disk } if !seat.names.contains_key(disk) => return Ok(()),
            MembershipChange::Learn { disk, name } => {
                seat.names.insert(*disk, name.clone());
                (ConfChangeType::AddLearnerNode, *disk)
            }
            MembershipChange::Vote { disk } => (ConfChangeType::AddNode, *disk),
            MembershipChange::Unseat { disk } => {
                seat.retired.insert(*disk);
                (ConfChangeType::RemoveNode, *disk)
            }
        };
        let mut change = ConfChange::default();
        change.set_change_type(kind);
        change.node_id = disk;
        let seats = seat.raft.apply_conf_change(&change).map_err(raft_error)?;
        (seat.voters, seat.learners) = (seats.voters, seats.learners);
        let name = seat.names.get(&disk).cloned().unwrap_or_default();
        if let MembershipChange::Unseat { .. } = seating {
            seat.names.remove(&disk);
            seat.last_heard.remove(&disk);
            seat.outgoing_snapshots.remove(&disk);
            seat.replaced |= disk == seat.id;
            self.events.push(MemberEvent::MemberRemoved { name });
        } else {
            self.events.push(MemberEvent::MemberAdded { name, votes: kind == ConfChangeType::AddNode });
        }
        Ok(())
    }

    /// On the leader: proposes the next membership change, if any. One at a time.
    pub(super) fn propose_membership_change(&mut self, now: Micros) {
        let (terms, me) = (&self.config, &self.own_name);
        let Some(seat) = &mut self.node else { return };
        seat.join_requests.retain(|_, (_, at)| now < *at + JOIN_REQUEST_RETRIES * terms.retry_interval);
        if !seat.is_leader() {
            seat.leader_since = now;
            seat.join_requests.clear();
            return;
        }
        let raft = &seat.raft.raft;
        if raft.has_pending_conf() || !raft.apply_to_current_term() {
            return;
        }
        let last = raft.raft_log.last_index();
        let caught_up = seat.learners.iter().copied().find(|disk| {
            raft.prs().get(*disk).is_some_and(|progress| {
                progress.state != ProgressState::Snapshot
                    && progress.matched > 0
                    && progress.matched + MAX_LEARNER_LAG >= last
            })
        });
        if let Some(disk) = caught_up {
            return seat.propose_change(&MembershipChange::Vote { disk });
        }
        let silent = |disk: &u64| {
            let heard = seat.last_heard.get(disk).map_or(0, |(_, at)| *at).max(seat.leader_since);
            now >= heard + terms.replace_after
        };
        let unlisted = seat.names.iter().find(|(_, name)| *name != me && !terms.seats.contains(name));
        if let Some((disk, _)) = unlisted {
            let disk = *disk;
            return seat.propose_change(&MembershipChange::Unseat { disk });
        }
        for (name, (disk, _)) in &seat.join_requests {
            if !terms.seats.contains(name) || seat.names.contains_key(disk) || seat.retired.contains(disk) {
                continue;
            }
            let earlier = seat.names.iter().find(|(_, seated)| *seated == name).map(|(disk, _)| *disk);
            let seating = match earlier {
                None => MembershipChange::Learn { disk: *disk, name: name.clone() },
                Some(earlier) if silent(&earlier) => MembershipChange::Unseat { disk: earlier },
                Some(_) => continue,
            };
            return seat.propose_change(&seating);
        }
    }
}
