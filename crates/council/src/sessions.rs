//! What was decided of each proposer's tickets, so that a proposal which was repeated is applied once. Part of the
//! agreed state.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::slips::{self, Slip};
use crate::wire::Proposal;

/// Lives of one name that are kept: datagrams do not outlive so many restarts.
const LIVES: usize = 8;
/// Entries after which a silent proposer is forgotten. Far more than are decided while a proposal is repeated.
const FORGET_AFTER: u64 = 1_000_000;
/// How often that is looked at, in entries.
const LOOK_EVERY: u64 = 4_096;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Session<O> {
    /// Tickets below are over and never applied again.
    done: u64,
    last: u64,
    outcomes: BTreeMap<u64, (u64, O)>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Sessions<O> {
    by_name: BTreeMap<String, BTreeMap<u64, Session<O>>>,
}

impl<O> Default for Sessions<O> {
    fn default() -> Self {
        Sessions { by_name: BTreeMap::new() }
    }
}

impl<O: Clone> Sessions<O> {
    /// The index and outcome of a ticket that was decided and is not over.
    pub fn decided(&self, origin: &str, life: u64, ticket: u64) -> Option<&(u64, O)> {
        self.by_name.get(origin)?.get(&life)?.outcomes.get(&ticket)
    }

    /// Whether a ticket is over: decided, or of no more interest to its origin.
    pub fn over(&self, origin: &str, life: u64, ticket: u64) -> bool {
        let session = self.by_name.get(origin).and_then(|lives| lives.get(&life));
        session.is_some_and(|session| ticket < session.done || session.outcomes.contains_key(&ticket))
    }

    /// Whether the proposal at `index` is to be applied; if so [`Sessions::keep`] follows.
    pub fn takes(&self, origin: &str, proposal: &Proposal) -> bool {
        !self.over(origin, proposal.life, proposal.ticket) || slips::is(Slip::DuplicateApplied)
    }

    pub fn keep(&mut self, origin: &str, proposal: &Proposal, index: u64, outcome: O) {
        let lives = self.by_name.entry(origin.into()).or_default();
        let session = lives.entry(proposal.life).or_insert_with(|| Session {
            done: 0,
            last: 0,
            outcomes: BTreeMap::new(),
        });
        session.last = index;
        session.done = session.done.max(proposal.done);
        session.outcomes = session.outcomes.split_off(&session.done);
        session.outcomes.insert(proposal.ticket, (index, outcome));
        if lives.len() > LIVES
            && let Some(oldest) = lives.iter().min_by_key(|(_, session)| session.last).map(|(life, _)| *life)
        {
            lives.remove(&oldest);
        }
        if index.is_multiple_of(LOOK_EVERY) {
            for lives in self.by_name.values_mut() {
                lives.retain(|_, session| session.last + FORGET_AFTER > index);
            }
            self.by_name.retain(|_, lives| !lives.is_empty());
        }
    }
}
