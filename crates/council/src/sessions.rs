//! Outcomes of proposals by proposer and ticket, so that a repeated proposal is applied only once. Part of the
//! replicated state.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::seeded_faults::{self, SeededFault};
use crate::wire::Proposal;

/// Process runs kept per name: no datagram survives this many restarts.
const MAX_RUNS_PER_NAME: usize = 8;
/// Number of entries after which an idle proposer is forgotten: far more than are decided while a proposal is repeated.
const FORGET_AFTER: u64 = 1_000_000;
/// Interval of that check, in entries.
const EXPIRY_CHECK_INTERVAL: u64 = 4_096;

/// Outcomes of one run of a proposer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Session<O> {
    /// Lower tickets are finished and never applied again.
    done: u64,
    last: u64,
    outcomes: BTreeMap<u64, (u64, O)>,
}

/// Sessions of all proposers, by name and process run.
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
    /// Index and outcome of a decided ticket that is not finished yet.
    pub fn outcome_of(&self, origin: &str, life: u64, ticket: u64) -> Option<&(u64, O)> {
        self.by_name.get(origin)?.get(&life)?.outcomes.get(&ticket)
    }

    /// Whether a ticket is decided or its proposer no longer waits for it.
    pub fn is_finished(&self, origin: &str, life: u64, ticket: u64) -> bool {
        let session = self.by_name.get(origin).and_then(|lives| lives.get(&life));
        session.is_some_and(|session| ticket < session.done || session.outcomes.contains_key(&ticket))
    }

    /// Whether a decided proposal is to be applied; if so, call [`Sessions::record_outcome`] after it.
    pub fn should_apply(&self, origin: &str, proposal: &Proposal) -> bool {
        !self.is_finished(origin, proposal.life, proposal.ticket)
            || seeded_faults::is_active(SeededFault::DuplicateApplied)
    }

    /// Records the outcome of an applied proposal.
    pub fn record_outcome(&mut self, origin: &str, proposal: &Proposal, index: u64, outcome: O) {
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
        if lives.len() > MAX_RUNS_PER_NAME
            && let Some(oldest) = lives.iter().min_by_key(|(_, session)| session.last).map(|(life, _)| *life)
        {
            lives.remove(&oldest);
        }
        if index.is_multiple_of(EXPIRY_CHECK_INTERVAL) {
            for lives in self.by_name.values_mut() {
                lives.retain(|_, session| session.last + FORGET_AFTER > index);
            }
            self.by_name.retain(|_, lives| !lives.is_empty());
        }
    }
}
