//! Processing of Raft's ready state: proposals to the log, the log to disk, then to the state machine and to others.

use raft::prelude::{Entry, EntryType, Message, MessageType};

use super::snapshots::{OutgoingSnapshot, snapshot_offer};
use super::*;
use crate::store::{LogRecord, StateSnapshot, StoredHardState, WriteBatch};

/// Committed entries by which the stored commit index may lag; after a restart it is learned again from others.
const MAX_STORED_COMMIT_LAG: u64 = 256;

impl<M: StateMachine> ConsensusMember<M> {
    /// Appends queued proposals and processes Raft's ready states until there are none.
    pub(super) fn process_ready_states(&mut self, now: Micros) -> Result<(), ConsensusError> {
        loop {
            self.append_proposals();
            let Some(seat) = &mut self.node else { return Ok(()) };
            if !seat.raft.has_ready() {
                return Ok(());
            }
            self.process_ready(now)?;
        }
    }

    /// Appends queued proposals to the leader's log.
    pub(super) fn append_proposals(&mut self) {
        let Some(seat) = &mut self.node else { return };
        let queue = std::mem::take(&mut seat.queue);
        if !seat.is_leader() {
            seat.appended.clear();
            return; // Their origins repeat them.
        }
        let (mut entries, mut keys) = (Vec::new(), Vec::new());
        for (origin, proposal) in queue {
            let key = (origin, proposal.life, proposal.ticket);
            let known = self.sessions.is_finished(&key.0, key.1, key.2) || !seat.appended.insert(key.clone());
            if known && !seeded_faults::is_active(SeededFault::DuplicateApplied) {
                continue;
            }
            let mut entry = Entry::default();
            if let Ok(data) = postcard::to_stdvec(&(&key.0, &proposal)) {
                entry.data = data.into();
                entries.push(entry);
                keys.push((key, proposal));
            }
        }
        if entries.is_empty() {
            return;
        }
        let mut message = Message::default();
        message.set_msg_type(MessageType::MsgPropose);
        message.from = seat.id;
        message.set_entries(entries.into());
        if seat.raft.raft.step(message).is_err() {
            seat.appended.retain(|flying| keys.iter().all(|(key, _)| key != flying));
        } else if seeded_faults::is_active(SeededFault::AcknowledgedBeforeCommit) {
            let mut index = seat.raft.raft.raft_log.last_index() - keys.len() as u64;
            for (key, proposal) in keys {
                index += 1;
                if let Ok(entry) = postcard::from_bytes::<M::Entry>(&proposal.entry) {
                    let outcome = self.state_machine.clone().apply(index, &entry);
                    self.report_outcome(&key, index, &outcome);
                }
            }
        }
    }

    /// Processes one ready state: writes to disk first, then applies entries and sends messages.
    pub(super) fn process_ready(&mut self, now: Micros) -> Result<(), ConsensusError> {
        let Some(seat) = &mut self.node else { return Ok(()) };
        let mut ready = seat.raft.ready();
        let mut writes = WriteBatch::default();
        let mut came = None;
        if !ready.snapshot().is_empty() {
            let whole: StateSnapshot = postcard::from_bytes(&ready.snapshot().data)
                .map_err(|cause| ConsensusError::State(cause.to_string()))?;
            (writes.dropped, writes.from) = (Some((whole.index, whole.term)), Some(0));
            writes.whole = Some(whole.clone());
            came = Some(whole);
        }
        let entries = ready.take_entries();
        if let Some(first) = entries.first() {
            writes.from = writes.from.or(Some(first.index));
            if !seeded_faults::is_active(SeededFault::EntriesUnsynced) {
                writes.entries = entries.iter().map(LogRecord::of).collect();
            }
        }
        let mut hard = seat.hard;
        if let Some(now) = ready.hs() {
            hard = StoredHardState { term: now.term, vote: now.vote, commit: now.commit };
        }
        let promised = (hard.term, hard.vote) != (seat.hard.term, seat.hard.vote);
        let lags = hard.commit > seat.hard.commit + MAX_STORED_COMMIT_LAG;
        let any = came.is_some() || !entries.is_empty() || promised || lags;
        let mut messages = ready.take_messages();
        messages.extend(ready.take_persisted_messages());
        let early = messages.iter().any(|message| {
            let votes = message.get_msg_type() == MessageType::MsgRequestVoteResponse;
            let slip = if votes { SeededFault::VoteBeforeSync } else { SeededFault::MessageBeforeSync };
            seeded_faults::is_active(slip)
        });
        if early {
            self.send_raft_messages(now, std::mem::take(&mut messages));
        }
        let Some(seat) = &mut self.node else { return Ok(()) };
        if any {
            writes.hard = Some(hard);
            writes.council = seat.cluster_unsaved.then_some(self.cluster);
            seat.disk.write(&writes)?;
            (seat.hard, seat.cluster_unsaved) = (hard, false);
        }
        if let Some(whole) = came {
            (self.state_machine, self.sessions) = Self::decode_state(&whole.body)?;
            seat.applied = whole.index;
            (seat.voters, seat.learners) = (whole.voters.clone(), whole.learners.clone());
            (seat.names, seat.retired) = (whole.roll.clone(), whole.retired.clone());
            seat.raft.mut_store().restore(whole);
            self.events.push(MemberEvent::MemberAdded {
                name: self.own_name.clone(),
                votes: seat.voters.contains(&seat.id),
            });
            self.report_snapshot_outcomes();
        }
        let Some(seat) = &mut self.node else { return Ok(()) };
        seat.raft.mut_store().append(&entries);
        self.send_raft_messages(now, messages);
        self.apply_entries(ready.take_committed_entries())?;
        let Some(seat) = &mut self.node else { return Ok(()) };
        let mut light = seat.raft.advance_append(ready);
        self.send_raft_messages(now, light.take_messages());
        self.apply_entries(light.take_committed_entries())?;
        let Some(seat) = &mut self.node else { return Ok(()) };
        seat.raft.advance_apply();
        seat.randomize_election_timeout(self.seed);
        Ok(())
    }

    /// Sends Raft messages.
    pub(super) fn send_raft_messages(&mut self, now: Micros, messages: Vec<Message>) {
        let Some(seat) = &mut self.node else { return };
        for message in messages {
            // A disk that is about to join knows the leader only from messages.
            let heard = seat.last_heard.get(&message.to).map(|(name, _)| name);
            let Some(name) = seat.names.get(&message.to).or(heard) else { continue };
            let Some(mut raft) = RaftMessage::from_message(&message) else { continue };
            let vouched = seat.acknowledged.entry(message.to).or_default();
            if seat.raft.raft.state == StateRole::Leader
                && let Some(progress) = seat.raft.raft.prs().get(message.to)
            {
                *vouched = progress.matched.min(seat.raft.raft.raft_log.committed).max(*vouched);
            }
            raft.vouched = *vouched;
            if message.get_msg_type() == MessageType::MsgSnapshot {
                let whole = seat.raft.store().snapshot.clone();
                let sending = OutgoingSnapshot { raft, whole, since: now, at: now };
                queue_message::<M::Change>(&mut self.messages, self.cluster, name, snapshot_offer(&sending));
                seat.outgoing_snapshots.insert(message.to, sending);
            } else {
                queue_message::<M::Change>(&mut self.messages, self.cluster, name, Body::Raft(raft));
            }
        }
    }

    /// Applies committed entries.
    pub(super) fn apply_entries(&mut self, entries: Vec<Entry>) -> Result<(), ConsensusError> {
        for entry in entries {
            let index = entry.index;
            let unread = |cause: postcard::Error| ConsensusError::Entry { index, cause: cause.to_string() };
            if entry.get_entry_type() != EntryType::EntryNormal {
                let seating = postcard::from_bytes(&entry.context).map_err(unread)?;
                self.persist_commit(index)?;
                self.apply_membership_change(&seating)?;
            } else if !entry.data.is_empty() {
                let (origin, proposal): (String, Proposal) =
                    postcard::from_bytes(&entry.data).map_err(unread)?;
                let key = (origin, proposal.life, proposal.ticket);
                if self.sessions.should_apply(&key.0, &proposal) {
                    let taken: M::Entry = postcard::from_bytes(&proposal.entry).map_err(unread)?;
                    let outcome = self.state_machine.apply(index, &taken);
                    self.sessions.record_outcome(&key.0, &proposal, index, outcome.clone());
                    self.applied.push((index, taken, outcome));
                }
                if let Some(seat) = &mut self.node {
                    seat.appended.remove(&key);
                }
                if let Some((index, outcome)) = self.sessions.outcome_of(&key.0, key.1, key.2).cloned() {
                    self.report_outcome(&key, index, &outcome);
                }
            }
            if let Some(seat) = &mut self.node {
                seat.applied = index;
            }
        }
        Ok(())
    }

    /// Reports the outcome of a ticket to its waiting origin.
    pub(super) fn report_outcome(&mut self, key: &ProposalKey, index: u64, outcome: &M::Outcome) {
        let (origin, life, ticket) = key;
        if *origin == self.own_name && *life == self.life && self.pending.remove(ticket).is_some() {
            self.decided.push((*ticket, Ok((index, outcome.clone()))));
        }
        if let Some(seat) = &mut self.node
            && seat.waiting_origins.remove(key).is_some()
            && let Ok(outcome) = postcard::to_stdvec(outcome)
        {
            let body = Body::Decided { life: *life, ticket: *ticket, index, outcome };
            queue_message::<M::Change>(&mut self.messages, self.cluster, origin, body);
        }
    }

    /// After a snapshot: reports the outcomes that it contains to waiting origins.
    pub(super) fn report_snapshot_outcomes(&mut self) {
        let waiting = self.node.iter().flat_map(|seat| seat.waiting_origins.keys().cloned());
        let own = self.pending.keys().map(|ticket| (self.own_name.clone(), self.life, *ticket));
        for key in waiting.chain(own).collect::<Vec<ProposalKey>>() {
            if let Some((index, outcome)) = self.sessions.outcome_of(&key.0, key.1, key.2).cloned() {
                self.report_outcome(&key, index, &outcome);
            }
        }
    }
}
