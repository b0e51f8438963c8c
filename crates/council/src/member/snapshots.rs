//! Snapshots: written when the log grows long, and sent in parts to members that are behind its start.
//! it reaches.

use raft::prelude::MessageType;
use raft::{ProgressState, SnapshotStatus};

use super::*;
use crate::store::{StateSnapshot, StoredHardState, WriteBatch};

/// Snapshot parts sent per request.
const PARTS_PER_REQUEST: u64 = 4;
/// A snapshot transfer is restarted after this many election timeouts.
pub(super) const TRANSFER_TIMEOUTS: u64 = 20;
/// Size of the in-memory log in bytes after which a snapshot is written even for few entries.
const MAX_LOG_BYTES: usize = 16 << 20;

/// A snapshot being sent to a member.
pub(super) struct OutgoingSnapshot {
    pub(super) raft: RaftMessage,
    pub(super) whole: StateSnapshot,
    pub(super) since: Micros,
    pub(super) at: Micros,
}

/// A snapshot being received.
pub(super) struct IncomingSnapshot {
    pub(super) from: String,
    pub(super) raft: RaftMessage,
    pub(super) whole: StateSnapshot,
    pub(super) bytes: u64,
    pub(super) parts: u64,
    pub(super) asked: Micros,
}

impl<M: StateMachine> ConsensusMember<M> {
    /// Decodes the state machine and its sessions.
    pub(super) fn decode_state(body: &[u8]) -> Result<(M, Sessions<M::Outcome>), ConsensusError> {
        if body.is_empty() {
            return Ok(Default::default());
        }
        postcard::from_bytes(body).map_err(|cause| ConsensusError::State(cause.to_string()))
    }

    /// Repeats unanswered offers and requests, and restarts transfers that take too long.
    pub(super) fn continue_transfers(&mut self, now: Micros) {
        let terms = &self.config;
        let Some(seat) = &mut self.node else { return };
        let late = TRANSFER_TIMEOUTS * terms.election_timeout;
        // The crate `raft` waits for an answer beyond the receiver's acknowledged index. After a late rejection it
        // may offer a snapshot to a member that has acknowledged more, and would wait forever.
        let waits = seat.raft.raft.prs().iter().filter(|(_, p)| p.state == ProgressState::Snapshot);
        let ends = waits.filter_map(|(disk, progress)| match progress.matched >= progress.pending_snapshot {
            true => Some((*disk, SnapshotStatus::Finish)),
            false => {
                (!seat.outgoing_snapshots.contains_key(disk)).then_some((*disk, SnapshotStatus::Failure))
            }
        });
        for (disk, status) in ends.collect::<Vec<_>>() {
            seat.raft.report_snapshot(disk, status);
        }
        for (disk, sending) in std::mem::take(&mut seat.outgoing_snapshots) {
            let progress = seat.raft.raft.prs().get(disk);
            if !seat.is_leader() || progress.is_none_or(|p| p.state != ProgressState::Snapshot) {
                continue;
            }
            if now >= sending.since + late {
                seat.raft.report_snapshot(disk, SnapshotStatus::Failure);
                continue;
            }
            if now >= sending.at + terms.retry_interval
                && let Some(name) = seat.names.get(&disk)
            {
                queue_message::<M::Change>(&mut self.messages, self.cluster, name, snapshot_offer(&sending));
            }
            seat.outgoing_snapshots.insert(disk, sending);
        }
        if seat.incoming_snapshot.as_ref().is_some_and(|taking| now >= taking.asked + late) {
            seat.incoming_snapshot = None;
        }
        if seat.incoming_snapshot.as_ref().is_some_and(|taking| now >= taking.asked + terms.retry_interval) {
            self.request_parts(now);
        }
    }

    /// Handles the offer of a snapshot.
    pub(super) fn on_snapshot_offer(
        &mut self,
        now: Micros,
        from: &str,
        council: u64,
        raft: RaftMessage,
        whole: StateSnapshot,
        bytes: u64,
    ) {
        let Some(seat) = &mut self.node else { return };
        if raft.to != seat.id || raft.message_type() != Some(MessageType::MsgSnapshot) {
            return;
        }
        if self.cluster == 0 {
            self.cluster = council;
            seat.cluster_unsaved = true;
        }
        seat.last_heard.insert(raft.from, (from.into(), now));
        if whole.index <= seat.raft.raft.raft_log.committed {
            return self.install_snapshot(raft, whole); // Already present; acknowledged to the sender.
        }
        let same = |taking: &IncomingSnapshot| {
            taking.from == from && (taking.whole.index, taking.whole.term) == (whole.index, whole.term)
        };
        if !seat.incoming_snapshot.as_ref().is_some_and(same) {
            seat.incoming_snapshot =
                Some(IncomingSnapshot { from: from.into(), raft, whole, bytes, parts: 0, asked: 0 });
            self.request_parts(now);
        }
    }

    /// Requests the next parts of the snapshot being received.
    pub(super) fn request_parts(&mut self, now: Micros) {
        let Some(taking) = self.node.as_mut().and_then(|seat| seat.incoming_snapshot.as_mut()) else {
            return;
        };
        (taking.asked, taking.parts) = (now, 0);
        let (index, term) = (taking.whole.index, taking.whole.term);
        let body = Body::Want { index, term, from: taking.whole.body.len() as u64 };
        queue_message::<M::Change>(&mut self.messages, self.cluster, &taking.from, body);
    }

    /// Sends the requested parts of a snapshot.
    pub(super) fn send_parts(&mut self, now: Micros, from: &str, index: u64, term: u64, at: u64) {
        let Some(seat) = &mut self.node else { return };
        for (disk, sending) in &mut seat.outgoing_snapshots {
            let asks = seat.names.get(disk).is_some_and(|name| name == from);
            if !asks || (sending.whole.index, sending.whole.term) != (index, term) {
                continue;
            }
            sending.at = now;
            let size = self.config.max_message_bytes - HEADER_RESERVE;
            let rest = sending.whole.body.get(at as usize..).unwrap_or_default();
            for (place, bytes) in rest.chunks(size).take(PARTS_PER_REQUEST as usize).enumerate() {
                let from_byte = at + (place * size) as u64;
                let body = Body::Part { index, term, from: from_byte, bytes: bytes.into() };
                queue_message::<M::Change>(&mut self.messages, self.cluster, from, body);
            }
        }
    }

    /// Handles a part of a snapshot.
    pub(super) fn on_snapshot_part(
        &mut self,
        now: Micros,
        from: &str,
        whole: (u64, u64),
        at: u64,
        bytes: &[u8],
    ) {
        let Some(seat) = &mut self.node else { return };
        let Some(taking) = &mut seat.incoming_snapshot else { return };
        let next = taking.whole.body.len() as u64;
        if taking.from != from || (taking.whole.index, taking.whole.term) != whole || at != next {
            return;
        }
        taking.whole.body.extend_from_slice(bytes);
        taking.parts += 1;
        if taking.whole.body.len() as u64 >= taking.bytes {
            if let Some(taking) = seat.incoming_snapshot.take() {
                self.install_snapshot(taking.raft, taking.whole);
            }
        } else if taking.parts == PARTS_PER_REQUEST {
            self.request_parts(now);
        }
    }

    /// Passes a complete snapshot to Raft.
    pub(super) fn install_snapshot(&mut self, raft: RaftMessage, whole: StateSnapshot) {
        let Some(seat) = &mut self.node else { return };
        let (Some(mut message), Ok(data)) = (raft.into_message(), postcard::to_stdvec(&whole)) else {
            return;
        };
        let snapshot = message.mut_snapshot();
        snapshot.data = data.into();
        let about = snapshot.mut_metadata();
        (about.index, about.term) = (whole.index, whole.term);
        about.set_conf_state(crate::raft_log::conf_state(&whole));
        drop(seat.raft.step(message));
        seat.randomize_election_timeout(self.seed);
    }

    /// Writes a snapshot if it is due, and removes the entries that it covers.
    pub(super) fn compact(&mut self) -> Result<(), ConsensusError> {
        let every = self.config.compact_after;
        let Some(seat) = &mut self.node else { return Ok(()) };
        let log = seat.raft.store();
        let since = seat.applied - log.snapshot.index;
        let due = since >= every || since > 0 && (log.snapshot_wanted.get() || log.bytes > MAX_LOG_BYTES);
        let Some(term) = log.term_of(seat.applied).filter(|_| due) else { return Ok(()) };
        let body = postcard::to_stdvec(&(&self.state_machine, &self.sessions))
            .map_err(|cause| ConsensusError::State(cause.to_string()))?;
        let whole = StateSnapshot {
            index: seat.applied,
            term,
            voters: seat.voters.clone(),
            learners: seat.learners.clone(),
            roll: seat.names.clone(),
            retired: seat.retired.clone(),
            body,
        };
        let tail = if log.bytes > MAX_LOG_BYTES { 0 } else { every / 4 };
        let upto = seat.applied.saturating_sub(tail).max(log.first_entry() - 1);
        let dropped = (upto, log.term_of(upto).unwrap_or(term));
        let commit = seat.raft.raft.raft_log.committed.max(seat.applied);
        let hard = StoredHardState { commit, ..seat.hard };
        let writes = WriteBatch {
            hard: Some(hard),
            whole: Some(whole.clone()),
            dropped: Some(dropped),
            ..WriteBatch::default()
        };
        seat.disk.write(&writes)?;
        seat.hard = hard;
        let log = seat.raft.mut_store();
        log.snapshot = whole;
        log.snapshot_wanted.set(false);
        log.compact_to(upto);
        Ok(())
    }
}

/// The offer of a snapshot, without its body.
pub(super) fn snapshot_offer<C>(sending: &OutgoingSnapshot) -> Body<C> {
    let whole = StateSnapshot { body: Vec::new(), ..sending.whole.clone() };
    Body::Offer { raft: sending.raft.clone(), whole, bytes: sending.whole.body.len() as u64 }
}
