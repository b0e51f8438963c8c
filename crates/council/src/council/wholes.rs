//! States in one piece: written where the log grows long, and handed in parts to a seat that is further behind than
//! it reaches.

use raft::prelude::MessageType;
use raft::{ProgressState, SnapshotStatus};

use super::*;
use crate::store::{Hard, Whole, Writes};

/// Parts of a whole state that are sent for one question.
const PARTS: u64 = 4;
/// Times `elect_after` after which handing over a whole state is given up and begun anew.
pub(super) const OFFER_FOR: u64 = 20;
/// Log in memory, in bytes, after which the state is written in one piece even where entries are few.
const MOST_LOG: usize = 16 << 20;

/// A whole state on its way to another seat.
pub(super) struct Sending {
    pub(super) raft: Raft,
    pub(super) whole: Whole,
    pub(super) since: Micros,
    pub(super) at: Micros,
}

/// A whole state on its way here.
pub(super) struct Taking {
    pub(super) from: String,
    pub(super) raft: Raft,
    pub(super) whole: Whole,
    pub(super) bytes: u64,
    pub(super) parts: u64,
    pub(super) asked: Micros,
}

impl<M: Machine> Council<M> {
    pub(super) fn opened(body: &[u8]) -> Result<(M, Sessions<M::Outcome>), Fault> {
        if body.is_empty() {
            return Ok(Default::default());
        }
        postcard::from_bytes(body).map_err(|cause| Fault::State(cause.to_string()))
    }

    /// Offers and asks again what has gone unanswered; a hand-over that takes too long begins anew.
    pub(super) fn hand_on(&mut self, now: Micros) {
        let terms = &self.terms;
        let Some(seat) = &mut self.seat else { return };
        let late = OFFER_FOR * terms.elect_after;
        // raft waits for an answer beyond what the receiver has confirmed. A late refusal can make it offer a whole
        // state to one that has confirmed more, and then it would wait for good.
        let waits = seat.raw.raft.prs().iter().filter(|(_, p)| p.state == ProgressState::Snapshot);
        let ends = waits.filter_map(|(disk, progress)| match progress.matched >= progress.pending_snapshot {
            true => Some((*disk, SnapshotStatus::Finish)),
            false => (!seat.sending.contains_key(disk)).then_some((*disk, SnapshotStatus::Failure)),
        });
        for (disk, status) in ends.collect::<Vec<_>>() {
            seat.raw.report_snapshot(disk, status);
        }
        for (disk, sending) in std::mem::take(&mut seat.sending) {
            let progress = seat.raw.raft.prs().get(disk);
            if !seat.leads() || progress.is_none_or(|p| p.state != ProgressState::Snapshot) {
                continue;
            }
            if now >= sending.since + late {
                seat.raw.report_snapshot(disk, SnapshotStatus::Failure);
                continue;
            }
            if now >= sending.at + terms.ask_every
                && let Some(name) = seat.roll.get(&disk)
            {
                post::<M::Change>(&mut self.out, self.council, name, offer(&sending));
            }
            seat.sending.insert(disk, sending);
        }
        if seat.taking.as_ref().is_some_and(|taking| now >= taking.asked + late) {
            seat.taking = None;
        }
        if seat.taking.as_ref().is_some_and(|taking| now >= taking.asked + terms.ask_every) {
            self.want(now);
        }
    }

    pub(super) fn offered(
        &mut self,
        now: Micros,
        from: &str,
        council: u64,
        raft: Raft,
        whole: Whole,
        bytes: u64,
    ) {
        let Some(seat) = &mut self.seat else { return };
        if raft.to != seat.id || raft.kind() != Some(MessageType::MsgSnapshot) {
            return;
        }
        if self.council == 0 {
            self.council = council;
            seat.council_unsaved = true;
        }
        seat.heard.insert(raft.from, (from.into(), now));
        if whole.index <= seat.raw.raft.raft_log.committed {
            return self.whole_came(raft, whole); // It has that already, and says so.
        }
        let same = |taking: &Taking| {
            taking.from == from && (taking.whole.index, taking.whole.term) == (whole.index, whole.term)
        };
        if !seat.taking.as_ref().is_some_and(same) {
            seat.taking = Some(Taking { from: from.into(), raft, whole, bytes, parts: 0, asked: 0 });
            self.want(now);
        }
    }

    /// Asks for the next parts of the state that is on its way here.
    pub(super) fn want(&mut self, now: Micros) {
        let Some(taking) = self.seat.as_mut().and_then(|seat| seat.taking.as_mut()) else { return };
        (taking.asked, taking.parts) = (now, 0);
        let (index, term) = (taking.whole.index, taking.whole.term);
        let body = Body::Want { index, term, from: taking.whole.body.len() as u64 };
        post::<M::Change>(&mut self.out, self.council, &taking.from, body);
    }

    pub(super) fn wanted(&mut self, now: Micros, from: &str, index: u64, term: u64, at: u64) {
        let Some(seat) = &mut self.seat else { return };
        for (disk, sending) in &mut seat.sending {
            let asks = seat.roll.get(disk).is_some_and(|name| name == from);
            if !asks || (sending.whole.index, sending.whole.term) != (index, term) {
                continue;
            }
            sending.at = now;
            let size = self.terms.datagram - HEAD;
            let rest = sending.whole.body.get(at as usize..).unwrap_or_default();
            for (place, bytes) in rest.chunks(size).take(PARTS as usize).enumerate() {
                let from_byte = at + (place * size) as u64;
                let body = Body::Part { index, term, from: from_byte, bytes: bytes.into() };
                post::<M::Change>(&mut self.out, self.council, from, body);
            }
        }
    }

    pub(super) fn part(&mut self, now: Micros, from: &str, whole: (u64, u64), at: u64, bytes: &[u8]) {
        let Some(seat) = &mut self.seat else { return };
        let Some(taking) = &mut seat.taking else { return };
        let next = taking.whole.body.len() as u64;
        if taking.from != from || (taking.whole.index, taking.whole.term) != whole || at != next {
            return;
        }
        taking.whole.body.extend_from_slice(bytes);
        taking.parts += 1;
        if taking.whole.body.len() as u64 >= taking.bytes {
            if let Some(taking) = seat.taking.take() {
                self.whole_came(taking.raft, taking.whole);
            }
        } else if taking.parts == PARTS {
            self.want(now);
        }
    }

    pub(super) fn whole_came(&mut self, raft: Raft, whole: Whole) {
        let Some(seat) = &mut self.seat else { return };
        let (Some(mut message), Ok(data)) = (raft.message(), postcard::to_stdvec(&whole)) else { return };
        let snapshot = message.mut_snapshot();
        snapshot.data = data.into();
        let about = snapshot.mut_metadata();
        (about.index, about.term) = (whole.index, whole.term);
        about.set_conf_state(crate::log::seats(&whole));
        drop(seat.raw.step(message));
        seat.spread(self.seed);
    }

    /// Writes the state in one piece where that is due, and drops the entries that it stands for.
    pub(super) fn compact(&mut self) -> Result<(), Fault> {
        let every = self.terms.compact_after;
        let Some(seat) = &mut self.seat else { return Ok(()) };
        let log = seat.raw.store();
        let since = seat.applied - log.whole.index;
        let due = since >= every || since > 0 && (log.wanted.get() || log.bytes > MOST_LOG);
        let Some(term) = log.term_of(seat.applied).filter(|_| due) else { return Ok(()) };
        let body = postcard::to_stdvec(&(&self.machine, &self.sessions))
            .map_err(|cause| Fault::State(cause.to_string()))?;
        let whole = Whole {
            index: seat.applied,
            term,
            voters: seat.voters.clone(),
            learners: seat.learners.clone(),
            roll: seat.roll.clone(),
            retired: seat.retired.clone(),
            body,
        };
        let tail = if log.bytes > MOST_LOG { 0 } else { every / 4 };
        let upto = seat.applied.saturating_sub(tail).max(log.first() - 1);
        let dropped = (upto, log.term_of(upto).unwrap_or(term));
        let commit = seat.raw.raft.raft_log.committed.max(seat.applied);
        let hard = Hard { commit, ..seat.hard };
        let writes = Writes {
            hard: Some(hard),
            whole: Some(whole.clone()),
            dropped: Some(dropped),
            ..Writes::default()
        };
        seat.disk.write(&writes)?;
        seat.hard = hard;
        let log = seat.raw.mut_store();
        log.whole = whole;
        log.wanted.set(false);
        log.drop_to(upto);
        Ok(())
    }
}

/// The state without its body, which is asked for in parts.
pub(super) fn offer<C>(sending: &Sending) -> Body<C> {
    let whole = Whole { body: Vec::new(), ..sending.whole.clone() };
    Body::Offer { raft: sending.raft.clone(), whole, bytes: sending.whole.body.len() as u64 }
}
