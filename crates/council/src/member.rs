//! A member of the consensus: one with a disk, which may vote, or a follower.

mod membership;
mod raft_node;
mod ready;
mod snapshots;

use std::collections::{BTreeMap, BTreeSet};

use raft::StateRole;
use raft::prelude::MessageType;
use serde::Serialize;

use self::raft_node::RaftNode;
use crate::seeded_faults::{self, SeededFault};
use crate::sessions::Sessions;
use crate::store::Disk;
use crate::wire::{Body, Envelope, MESSAGE_VERSION, Proposal, RaftMessage};
use crate::{ConsensusConfig, ConsensusError, Micros, StateMachine};

/// Number of missed heartbeats after which the process is assumed to have been paused.
const PAUSE_HEARTBEATS: u64 = 3;
/// Bytes reserved in a datagram for headers.
const HEADER_RESERVE: usize = 600;
/// Number of unanswered requests after which another member is asked.
const MAX_UNANSWERED: u32 = 2;

/// A ticket with index and outcome of its entry.
pub type Decided<O> = (u64, Result<(u64, O), ProposalError>);
/// Log index, entry and outcome.
pub type Applied<E, O> = (u64, E, O);

/// Why a proposal has no outcome. The names appear in logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    #[error("not decided in time; it may still come")]
    InTime,
    #[error("the entry is larger than a message may be; it was not proposed")]
    TooLarge,
}

/// Role of a member. The names appear in status output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Leads the cluster.
    Leader,
    /// Stands for election.
    Candidate,
    /// Votes, and follows a leader or waits for one.
    Seat,
    /// Receives the log and does not vote yet.
    Learner,
    /// Has a disk and is not a member.
    Stranger,
    /// Has no disk.
    Follower,
}

/// State of a member, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    pub role: Role,
    pub term: u64,
    /// Name of the leader, if known.
    pub leader: Option<String>,
    /// Members, and whether each votes already.
    pub seats: BTreeMap<String, bool>,
    /// Id of the cluster; 0: none yet.
    pub council: u64,
    /// Id of its own disk; 0: none.
    pub disk: u64,
    /// Commit index and applied index.
    pub decided: u64,
    pub applied: u64,
    /// First and last index of the log, and its size in memory in bytes.
    pub log: (u64, u64, usize),
}

/// Events to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    BecameLeader {
        term: u64,
    },
    FollowsLeader {
        leader: Option<String>,
        term: u64,
    },
    NotMember,
    MemberAdded {
        name: String,
        votes: bool,
    },
    MemberRemoved {
        name: String,
    },
    /// Its disk was replaced while it was away; the content was moved aside, and it joins anew.
    DiskReplaced,
    /// `from` belongs to another cluster.
    ForeignCluster {
        from: String,
        council: u64,
    },
}

/// Origin, process run and ticket of a proposal.
type ProposalKey = (String, u64, u64);

/// An own proposal without an outcome yet.
struct PendingProposal {
    entry: Vec<u8>,
    since: Micros,
    last_sent: Option<Micros>,
}

/// A member of the consensus.
pub struct ConsensusMember<M: StateMachine> {
    own_name: String,
    config: ConsensusConfig,
    seed: u64,
    life: u64,
    cluster: u64,
    state_machine: M,
    sessions: Sessions<M::Outcome>,
    node: Option<RaftNode>,
    pending: BTreeMap<u64, PendingProposal>,
    tickets: u64,
    decided: Vec<Decided<M::Outcome>>,
    applied: Vec<Applied<M::Entry, M::Outcome>>,
    events: Vec<MemberEvent>,
    messages: Vec<(String, Vec<u8>)>,
    /// Leader, term and members as last reported to a follower.
    reported: (Option<String>, u64, BTreeMap<String, bool>),
    known_leader: (Option<String>, u64, bool),
    foreign_clusters: BTreeSet<(String, u64)>,
    queried_index: usize,
    unanswered: u32,
    /// Whether its state is that of an earlier cluster, so that the whole state must be requested.
    reset_state: bool,
    cluster_heard_at: Micros,
    tick_due: Micros,
    ask_due: Micros,
    error: Option<ConsensusError>,
}

/// Hashes numbers, the same on every machine.
fn hash_numbers(parts: &[u64]) -> u64 {
    let bytes: Vec<u8> = parts.iter().flat_map(|part| part.to_le_bytes()).collect();
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Queues a message.
fn queue_message<C: Serialize>(out: &mut Vec<(String, Vec<u8>)>, council: u64, to: &str, body: Body<C>) {
    // Encoding cannot fail: postcard supports all types used here.
    if let Ok(bytes) = postcard::to_stdvec(&Envelope { version: MESSAGE_VERSION, council, body }) {
        out.push((to.into(), bytes));
    }
}

fn raft_error(cause: raft::Error) -> ConsensusError {
    ConsensusError::Consensus(cause.to_string())
}

impl<M: StateMachine> ConsensusMember<M> {
    /// Creates a member with a disk, which may vote. `seed` randomizes timers and must differ between starts.
    ///
    /// # Errors
    /// The settings are contradictory or do not match the disk, or the disk cannot be read.
    pub fn seat(
        now: Micros,
        me: &str,
        terms: ConsensusConfig,
        store: Box<dyn Disk>,
        seed: u64,
    ) -> Result<Self, ConsensusError> {
        terms.check()?;
        if !terms.seats.iter().any(|name| name == me) {
            return Err(ConsensusError::Settings(format!("{me} has a store, but is not among the seats")));
        }
        let mut council = ConsensusMember::follower(now, me, terms, seed);
        council.begin(store)?;
        // Entries known to be committed are applied before any message is handled.
        council.process_ready_states(now)?;
        Ok(council)
    }

    /// Creates a follower, which has no disk.
    pub fn follower(now: Micros, me: &str, terms: ConsensusConfig, seed: u64) -> Self {
        let name: Vec<u64> = me.bytes().map(u64::from).chain([seed]).collect();
        let others = terms.seats.iter().filter(|name| *name != me).count().max(1);
        ConsensusMember {
            own_name: me.into(),
            seed,
            life: hash_numbers(&name),
            cluster: 0,
            state_machine: M::default(),
            sessions: Sessions::default(),
            node: None,
            pending: BTreeMap::new(),
            tickets: 0,
            decided: Vec::new(),
            applied: Vec::new(),
            events: Vec::new(),
            messages: Vec::new(),
            reported: (None, 0, BTreeMap::new()),
            known_leader: (None, 0, false),
            foreign_clusters: BTreeSet::new(),
            queried_index: (seed % others as u64) as usize,
            unanswered: 0,
            reset_state: false,
            cluster_heard_at: now,
            // Spreads the timers of members that start together; otherwise they would often start elections at once.
            tick_due: now + 1 + hash_numbers(&name) % terms.heartbeat_interval.max(1),
            ask_due: now,
            error: None,
            config: terms,
        }
    }

    /// Starts with the content of a disk.
    fn begin(&mut self, disk: Box<dyn Disk>) -> Result<(), ConsensusError> {
        let (seat, council, body) = RaftNode::new(disk, &self.own_name, &self.config)?;
        (self.state_machine, self.sessions) = Self::decode_state(&body)?;
        self.cluster = council;
        if !seat.is_member() {
            self.events.push(MemberEvent::NotMember);
        }
        self.node = Some(seat);
        Ok(())
    }

    /// Handles a message from a peer, which must be authenticated.
    pub fn receive(&mut self, now: Micros, from: &str, bytes: &[u8]) {
        if self.error.is_some() || from == self.own_name {
            return;
        }
        let Ok(Envelope { version: MESSAGE_VERSION, council, body }) =
            postcard::from_bytes::<Envelope<M::Change>>(bytes)
        else {
            return;
        };
        if council != 0 && council == self.cluster {
            self.cluster_heard_at = now;
        }
        if council != 0 && self.cluster != 0 && council != self.cluster {
            let lost = now.saturating_sub(self.cluster_heard_at) > 10 * self.config.election_timeout;
            if self.node.is_none() && lost && matches!(body, Body::Changes { .. }) {
                // The cluster that it followed is gone and another one was founded: request its whole state.
                (self.cluster, self.cluster_heard_at, self.reset_state, self.ask_due) =
                    (council, now, true, now);
                return;
            } else if let Body::Fetch { since } = body {
                return self.send_changes(from, since); // The requester decides whether to leave its cluster.
            } else {
                if self.foreign_clusters.insert((from.into(), council)) {
                    self.events.push(MemberEvent::ForeignCluster { from: from.into(), council });
                }
                return;
            }
        }
        match body {
            Body::Raft(raft) => self.on_raft_message(now, from, council, raft),
            Body::Offer { raft, whole, bytes } => {
                self.on_snapshot_offer(now, from, council, raft, whole, bytes)
            }
            Body::Want { index, term, from: at } => self.send_parts(now, from, index, term, at),
            Body::Part { index, term, from: at, bytes } => {
                self.on_snapshot_part(now, from, (index, term), at, &bytes)
            }
            Body::Knock { disk } => {
                let Some(seat) = &mut self.node else { return };
                if seat.retired.contains(&disk) {
                    queue_message::<M::Change>(
                        &mut self.messages,
                        self.cluster,
                        from,
                        Body::Replaced { disk },
                    );
                } else if seat.is_leader() {
                    seat.join_requests.insert(from.into(), (disk, now));
                }
            }
            Body::Replaced { disk } => {
                if let Some(seat) = &mut self.node
                    && seat.id == disk
                    && self.config.seats.iter().any(|name| name == from)
                {
                    seat.replaced = true;
                }
            }
            Body::Carry { origin, proposals } => self.on_proposals(now, from, &origin, proposals),
            Body::Decided { life, ticket, index, outcome } => {
                if life == self.life
                    && let Ok(outcome) = postcard::from_bytes(&outcome)
                    && self.pending.remove(&ticket).is_some()
                {
                    self.decided.push((ticket, Ok((index, outcome))));
                }
            }
            Body::Fetch { since } => self.send_changes(from, since),
            Body::Changes { since, whole, term, leader, seats, changes } => {
                if self.node.as_ref().is_some_and(RaftNode::is_member) {
                    return;
                }
                if self.cluster == 0 && self.node.is_none() {
                    self.cluster = council;
                }
                if leader.is_some() {
                    self.unanswered = 0;
                }
                self.reported = (leader, term, seats.into_iter().collect());
                if since == 0 && self.reset_state {
                    (self.state_machine, self.reset_state) = (M::default(), false);
                }
                if since == self.state_machine.complete_index() {
                    changes.iter().for_each(|change| self.state_machine.apply_change(change));
                    if since < self.state_machine.complete_index()
                        && self.state_machine.complete_index() < whole
                    {
                        self.ask_due = now;
                    }
                }
            }
        }
    }

    fn on_raft_message(&mut self, now: Micros, from: &str, council: u64, raft: RaftMessage) {
        let Some(seat) = &mut self.node else { return };
        let Some(kind) = raft.message_type() else { return };
        if raft.to != seat.id || seat.names.get(&raft.from).is_some_and(|name| name != from) {
            return; // To or from an earlier disk of that name.
        }
        if seat.retired.contains(&raft.from) {
            let body = Body::Replaced { disk: raft.from };
            return queue_message::<M::Change>(&mut self.messages, self.cluster, from, body);
        }
        if self.cluster == 0 {
            self.cluster = council;
            seat.cluster_unsaved = true;
        }
        let votes = matches!(kind, MessageType::MsgRequestVote | MessageType::MsgRequestPreVote);
        // Only members vote. They also vote for a candidate that they do not know yet: if it was added while they
        // were away, it may be the only one with the complete log.
        if votes && !seat.is_member() && !seeded_faults::is_active(SeededFault::StrangerVotes) {
            return;
        }
        let ends = seat.raft.raft.raft_log.last_index();
        // A leader only names entries that this disk has acknowledged; other members name what it acknowledged while
        // they led. Detects an old copy of a disk that would form a majority with a partitioned member and is asked
        // for its vote before it has a leader.
        let told = if kind == MessageType::MsgHeartbeat && raft.term >= seat.raft.raft.term {
            raft.commit
        } else {
            0
        };
        let vouched = told.max(raft.vouched);
        if vouched > ends {
            seat.outdated_disk = Some(ConsensusError::OutdatedDisk { ends, vouched });
            return;
        }
        seat.last_heard.insert(raft.from, (from.into(), now));
        if let Some(message) =
            raft.into_message().filter(|message| message.get_msg_type() != MessageType::MsgSnapshot)
        {
            drop(seat.raft.step(message)); // Rejected messages are outdated.
        }
        seat.randomize_election_timeout(self.seed);
    }

    /// Handles forwarded proposals: answers those already decided, queues them on the leader, or forwards them to it.
    fn on_proposals(&mut self, now: Micros, from: &str, origin: &str, proposals: Vec<Proposal>) {
        let Some(seat) = &mut self.node else { return };
        if !seat.is_member() {
            return;
        }
        let mut onward = Vec::new();
        for proposal in proposals {
            let key = (origin.to_string(), proposal.life, proposal.ticket);
            if let Some((index, outcome)) = self.sessions.outcome_of(origin, proposal.life, proposal.ticket) {
                if let Ok(outcome) = postcard::to_stdvec(outcome)
                    && from == origin
                {
                    let (life, ticket, index) = (proposal.life, proposal.ticket, *index);
                    let body = Body::Decided { life, ticket, index, outcome };
                    queue_message::<M::Change>(&mut self.messages, self.cluster, from, body);
                }
                if !seeded_faults::is_active(SeededFault::DuplicateApplied) {
                    continue;
                }
            }
            if from == origin && !seat.names.values().any(|name| name == from) {
                seat.waiting_origins.insert(key.clone(), now);
            }
            if seat.is_leader() {
                seat.queue.push((origin.into(), proposal));
            } else if from == origin {
                onward.push(proposal);
            }
        }
        if let Some(leader) = seat.leader_name().filter(|leader| *leader != from && **leader != self.own_name)
            && !onward.is_empty()
        {
            let body = Body::Carry { origin: origin.into(), proposals: onward };
            queue_message::<M::Change>(&mut self.messages, self.cluster, leader, body);
        }
    }

    /// Sends a follower the changes that it requested.
    fn send_changes(&mut self, from: &str, since: u64) {
        let Some(seat) = &self.node else { return };
        if !seat.is_member() {
            return;
        }
        let (term, leader) = (seat.raft.raft.term, seat.leader_name().cloned());
        let seats = seat.members().into_iter().collect();
        let changes = self.state_machine.changes(since, self.config.max_message_bytes - 2 * HEADER_RESERVE);
        let body =
            Body::Changes { since, whole: self.state_machine.complete_index(), term, leader, seats, changes };
        queue_message(&mut self.messages, self.cluster, from, body);
    }

    /// Runs timers and processes all pending work. Messages are only queued once the disk holds what they promise.
    ///
    /// # Errors
    /// The member cannot continue and sends nothing more.
    pub fn process(&mut self, now: Micros) -> Result<(), ConsensusError> {
        if let Some(fault) = &self.error {
            return Err(fault.clone());
        }
        let done = self.process_due(now);
        if let Err(fault) = &done {
            self.error = Some(fault.clone());
        }
        done
    }

    fn process_due(&mut self, now: Micros) -> Result<(), ConsensusError> {
        if let Some(fault) = self.node.as_mut().and_then(|seat| seat.outdated_disk.take()) {
            return Err(fault);
        }
        if let Some(mut seat) = self.node.take_if(|seat| seat.replaced) {
            seat.disk.replace()?;
            self.events.push(MemberEvent::DiskReplaced);
            // Its copy of the replicated state remains valid; from now on it is a follower.
            let known = std::mem::take(&mut self.state_machine);
            self.begin(seat.disk)?;
            self.state_machine = known;
        }
        if now >= self.tick_due {
            if now > self.tick_due + PAUSE_HEARTBEATS * self.config.heartbeat_interval {
                self.restart_timers(now);
            }
            self.tick_due = (self.tick_due + self.config.heartbeat_interval).max(now + 1);
            if let Some(seat) = &mut self.node {
                seat.ticks += 1;
                seat.raft.tick();
                seat.randomize_election_timeout(self.seed);
            }
            self.propose_membership_change(now);
        }
        self.send_proposals(now);
        self.process_ready_states(now)?;
        self.compact()?;
        if now >= self.ask_due {
            self.ask_due = now + self.config.retry_interval;
            self.send_requests(now);
        }
        self.record_leader_change(now);
        Ok(())
    }

    /// Sends own proposals to the leader, or abandons them.
    fn send_proposals(&mut self, now: Micros) {
        let (give_up, again) = (self.config.proposal_timeout, self.config.retry_interval);
        let late: Vec<u64> =
            self.pending.iter().filter(|(_, p)| now >= p.since + give_up).map(|(t, _)| *t).collect();
        for ticket in late {
            self.pending.remove(&ticket);
            self.decided.push((ticket, Err(ProposalError::InTime)));
        }
        let done = self.pending.keys().next().copied().unwrap_or(self.tickets + 1);
        let Some(to) = self.proposal_target() else { return };
        let (mut size, mut proposals) = (0, Vec::new());
        for (ticket, pending) in &mut self.pending {
            if pending.last_sent.is_some_and(|tried| now < tried + again) {
                continue;
            }
            pending.last_sent = Some(now);
            let proposal = Proposal { life: self.life, ticket: *ticket, done, entry: pending.entry.clone() };
            if let Some(seat) = self.node.as_mut().filter(|seat| seat.is_leader()) {
                seat.queue.push((self.own_name.clone(), proposal));
                continue;
            }
            let more = proposal.entry.len() + 40;
            if size + more > self.config.max_message_bytes - HEADER_RESERVE && !proposals.is_empty() {
                let body =
                    Body::Carry { origin: self.own_name.clone(), proposals: std::mem::take(&mut proposals) };
                queue_message::<M::Change>(&mut self.messages, self.cluster, &to, body);
                size = 0;
            }
            size += more;
            proposals.push(proposal);
        }
        if !proposals.is_empty() {
            let body = Body::Carry { origin: self.own_name.clone(), proposals };
            queue_message::<M::Change>(&mut self.messages, self.cluster, &to, body);
        }
    }

    /// Where to send proposals: to itself if it is the leader, or to the leader. A follower sends them to any member
    /// if the leader has not answered.
    fn proposal_target(&self) -> Option<String> {
        match &self.node {
            Some(seat) if seat.is_leader() => Some(self.own_name.clone()),
            Some(seat) if seat.is_member() => seat.leader_name().cloned(),
            _ => {
                let again = self.pending.values().any(|pending| pending.last_sent.is_some());
                let leader = self.reported.0.as_ref().filter(|name| !again && **name != self.own_name);
                leader.or_else(|| self.query_target()).cloned()
            }
        }
    }

    /// The member that a follower sends its requests to.
    fn query_target(&self) -> Option<&String> {
        let others: Vec<&String> = self.config.seats.iter().filter(|name| **name != self.own_name).collect();
        others.get(self.queried_index % others.len().max(1)).copied()
    }

    /// Sends periodic requests.
    fn send_requests(&mut self, now: Micros) {
        let terms = &self.config;
        if let Some(seat) = &mut self.node {
            seat.waiting_origins.retain(|_, since| now < *since + terms.proposal_timeout);
        }
        self.continue_transfers(now);
        if self.node.as_ref().is_some_and(RaftNode::is_member) {
            return;
        }
        if let Some(seat) = &self.node {
            for name in self.config.seats.iter().filter(|name| **name != self.own_name) {
                queue_message::<M::Change>(
                    &mut self.messages,
                    self.cluster,
                    name,
                    Body::Knock { disk: seat.id },
                );
            }
        }
        self.unanswered += 1;
        if self.unanswered > MAX_UNANSWERED {
            (self.unanswered, self.queried_index) = (0, self.queried_index + 1);
        }
        if let Some(to) = self.query_target().cloned() {
            let body =
                Body::Fetch { since: if self.reset_state { 0 } else { self.state_machine.complete_index() } };
            queue_message::<M::Change>(&mut self.messages, self.cluster, &to, body);
        }
    }

    /// Records changes of the leader.
    fn record_leader_change(&mut self, now: Micros) {
        let Some(seat) = &mut self.node else { return };
        let leads = (seat.leader_name().cloned(), seat.raft.raft.term, seat.is_leader());
        if leads == self.known_leader || !seat.is_member() {
            return;
        }
        let term = leads.1;
        if leads.2 {
            seat.leader_since = now;
            self.events.push(MemberEvent::BecameLeader { term });
        } else if leads.0 != self.known_leader.0 || self.known_leader.2 {
            self.events.push(MemberEvent::FollowsLeader { leader: leads.0.clone(), term });
        }
        self.known_leader = leads;
    }

    /// When [`ConsensusMember::process`] must be called at the latest.
    pub fn next_due(&self) -> Micros {
        if self.error.is_some() {
            return Micros::MAX;
        }
        let work = self.node.as_ref().is_some_and(|seat| {
            seat.raft.has_ready() || !seat.queue.is_empty() || seat.replaced || seat.outdated_disk.is_some()
        });
        let untried = self.pending.values().any(|pending| pending.last_sent.is_none());
        if work || untried && self.proposal_target().is_some() { 0 } else { self.tick_due.min(self.ask_due) }
    }

    /// Takes the queued messages: receiver and body.
    pub fn take_messages(&mut self) -> Vec<(String, Vec<u8>)> {
        std::mem::take(&mut self.messages)
    }

    /// Proposes an entry and returns its ticket. It is sent to the leader repeatedly until it is decided or abandoned.
    /// up.
    pub fn propose(&mut self, now: Micros, entry: M::Entry) -> u64 {
        self.tickets += 1;
        let ticket = self.tickets;
        match postcard::to_stdvec(&entry) {
            Ok(entry) if entry.len() + HEADER_RESERVE <= self.config.max_message_bytes / 2 => {
                self.pending.insert(ticket, PendingProposal { entry, since: now, last_sent: None });
            }
            _ => self.decided.push((ticket, Err(ProposalError::TooLarge))),
        }
        ticket
    }

    /// Takes the tickets that are decided or abandoned.
    pub fn take_decided(&mut self) -> Vec<Decided<M::Outcome>> {
        std::mem::take(&mut self.decided)
    }

    /// Takes the entries applied since the last call, in order; members only. After a restart, entries after the last
    /// snapshot on disk are returned again; entries contained in a snapshot are not returned.
    pub fn take_applied(&mut self) -> Vec<Applied<M::Entry, M::Outcome>> {
        std::mem::take(&mut self.applied)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// The replicated state as far as it is known here. It may go back to an earlier index after a restart, and
    /// briefly when a disk becomes a member.
    pub fn state(&self) -> &M {
        &self.state_machine
    }

    /// Index up to which [`ConsensusMember::state`] is complete.
    pub fn index(&self) -> u64 {
        match &self.node {
            Some(seat) if seat.is_member() => seat.applied,
            _ => self.state_machine.complete_index(),
        }
    }

    /// Whether it is the leader as far as it knows; grants no rights.
    pub fn is_leader(&self) -> bool {
        self.node.as_ref().is_some_and(RaftNode::is_leader)
    }

    /// State for operators.
    pub fn status(&self) -> MemberStatus {
        let (leader, term, seats) = self.reported.clone();
        let mut status = MemberStatus {
            role: Role::Follower,
            term,
            leader,
            seats,
            council: self.cluster,
            disk: 0,
            decided: self.index(),
            applied: self.index(),
            log: (0, 0, 0),
        };
        let Some(seat) = &self.node else { return status };
        (status.role, status.disk) = (Role::Stranger, seat.id);
        if seat.is_member() {
            let raft = &seat.raft.raft;
            status.role = match raft.state {
                StateRole::Leader => Role::Leader,
                StateRole::Candidate | StateRole::PreCandidate => Role::Candidate,
                StateRole::Follower if seat.learners.contains(&seat.id) => Role::Learner,
                StateRole::Follower => Role::Seat,
            };
            (status.term, status.leader, status.seats) =
                (raft.term, seat.leader_name().cloned(), seat.members());
            status.decided = raft.raft_log.committed;
            let log = seat.raft.store();
            status.log = (log.first_entry(), log.last_entry(), log.bytes);
        }
        status
    }

    /// Transfers leadership to the most up-to-date member before a shutdown, so that no election timeout has to pass.
    /// Proposals are decided again once the new leader has taken over, after a few round trips.
    /// ways later.
    pub fn transfer_leadership(&mut self) {
        let Some(seat) = self.node.as_mut().filter(|seat| seat.is_leader()) else { return };
        let raft = &seat.raft.raft;
        let others = seat.voters.iter().filter(|disk| **disk != seat.id);
        let most = others.filter_map(|disk| Some((raft.prs().get(*disk)?, *disk)));
        let next = most.max_by_key(|(progress, _)| (progress.recent_active, progress.matched));
        if let Some(next) = next.map(|(_, disk)| disk) {
            seat.raft.transfer_leader(next);
        }
    }

    /// Restarts timers after a pause of the process. Silence of others during the pause does not count, silence
    /// before it does: a lost disk must be replaced even if leaders pause for some heartbeats every few seconds.
    /// beats every few seconds.
    pub fn restart_timers(&mut self, now: Micros) {
        let meantime = now.saturating_sub(self.tick_due);
        (self.tick_due, self.ask_due, self.cluster_heard_at) =
            (now + self.config.heartbeat_interval, now, now);
        self.pending.values_mut().for_each(|pending| pending.last_sent = None);
        if let Some(seat) = &mut self.node {
            let later = |at: Micros| (at + meantime).min(now);
            seat.last_heard.values_mut().for_each(|(_, at)| *at = later(*at));
            seat.leader_since = later(seat.leader_since);
            seat.join_requests.clear();
        }
    }
}
