//! One member of a council: a seat or a follower.

mod seat;
mod seating;
mod wholes;
mod work;

use std::collections::{BTreeMap, BTreeSet};

use raft::StateRole;
use raft::prelude::MessageType;
use serde::Serialize;

use self::seat::Seat;
use crate::sessions::Sessions;
use crate::slips::{self, Slip};
use crate::store::Disk;
use crate::wire::{Body, Envelope, Proposal, Raft, VERSION};
use crate::{Fault, Machine, Micros, Terms};

/// A due beat missed by so many beats: the process stood still.
const PAUSED_AFTER: u64 = 3;
/// Room in a datagram for what is not payload, in bytes.
const HEAD: usize = 600;
/// Questions without an answer after which another seat is asked.
const UNANSWERED: u32 = 2;

/// A ticket with the index and outcome of its entry.
pub type Decided<O> = (u64, Result<(u64, O), Undecided>);
/// Index, entry and outcome.
pub type Applied<E, O> = (u64, E, O);

/// Why a proposal has no outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Undecided {
    #[error("not decided in time; it may still come")]
    InTime,
    #[error("the entry is larger than a message may be; it was not proposed")]
    TooLarge,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Leader,
    Candidate,
    /// Sits, and follows a leader or waits for one.
    Seat,
    /// Receives the log, and does not vote yet.
    Learner,
    /// Has a disk and no seat.
    Stranger,
    /// Has no disk.
    Follower,
}

/// How a member stands, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    pub role: Role,
    pub term: u64,
    /// Name of the leader, as far as is known.
    pub leader: Option<String>,
    /// Who sits, and whether it votes already.
    pub seats: BTreeMap<String, bool>,
    /// Which council it is; 0: none yet.
    pub council: u64,
    /// Its own disk; 0: none.
    pub disk: u64,
    /// Up to where the log is decided, and applied.
    pub decided: u64,
    pub applied: u64,
    /// First and last entry of the log, and its bytes in memory.
    pub log: (u64, u64, usize),
}

/// What happened, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    Leads {
        term: u64,
    },
    Follows {
        leader: Option<String>,
        term: u64,
    },
    Stranger,
    Seated {
        name: String,
        votes: bool,
    },
    Unseated {
        name: String,
    },
    /// The disk was replaced while it was away; it was set aside, and this member begins anew.
    Replaced,
    /// `from` belongs to another council.
    Other {
        from: String,
        council: u64,
    },
}

type Key = (String, u64, u64);

struct Pending {
    entry: Vec<u8>,
    since: Micros,
    tried: Option<Micros>,
}

/// One member of a council.
pub struct Council<M: Machine> {
    me: String,
    terms: Terms,
    seed: u64,
    life: u64,
    council: u64,
    machine: M,
    sessions: Sessions<M::Outcome>,
    seat: Option<Seat>,
    pending: BTreeMap<u64, Pending>,
    tickets: u64,
    decided: Vec<Decided<M::Outcome>>,
    applied: Vec<Applied<M::Entry, M::Outcome>>,
    news: Vec<News>,
    out: Vec<(String, Vec<u8>)>,
    /// As a seat told it: leader, term and seats.
    told: (Option<String>, u64, BTreeMap<String, bool>),
    leads: (Option<String>, u64, bool),
    others: BTreeSet<(String, u64)>,
    asked: usize,
    unanswered: u32,
    /// Its state is that of a council that is no more.
    anew: bool,
    council_heard: Micros,
    tick_due: Micros,
    ask_due: Micros,
    fault: Option<Fault>,
}

/// Mixes numbers, the same everywhere.
fn mix(parts: &[u64]) -> u64 {
    let bytes: Vec<u8> = parts.iter().flat_map(|part| part.to_le_bytes()).collect();
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..8]);
    u64::from_le_bytes(first)
}

fn post<C: Serialize>(out: &mut Vec<(String, Vec<u8>)>, council: u64, to: &str, body: Body<C>) {
    // Own types, without maps of odd keys: postcard writes all of them.
    if let Ok(bytes) = postcard::to_stdvec(&Envelope { version: VERSION, council, body }) {
        out.push((to.into(), bytes));
    }
}

fn consensus(cause: raft::Error) -> Fault {
    Fault::Consensus(cause.to_string())
}

impl<M: Machine> Council<M> {
    /// A member that may sit. `seed` spreads what must not fall together, and must be another one at each start.
    ///
    /// # Errors
    /// The terms contradict themselves or the disk, or the disk cannot be read.
    pub fn seat(now: Micros, me: &str, terms: Terms, store: Box<dyn Disk>, seed: u64) -> Result<Self, Fault> {
        terms.check()?;
        if !terms.seats.iter().any(|name| name == me) {
            return Err(Fault::Terms(format!("{me} has a store, but is not among the seats")));
        }
        let mut council = Council::follower(now, me, terms, seed);
        council.begin(store)?;
        // What the disk knows to be decided is applied before anything is heard.
        council.work(now)?;
        Ok(council)
    }

    /// A member without a disk.
    pub fn follower(now: Micros, me: &str, terms: Terms, seed: u64) -> Self {
        let name: Vec<u64> = me.bytes().map(u64::from).chain([seed]).collect();
        let others = terms.seats.iter().filter(|name| *name != me).count().max(1);
        Council {
            me: me.into(),
            seed,
            life: mix(&name),
            council: 0,
            machine: M::default(),
            sessions: Sessions::default(),
            seat: None,
            pending: BTreeMap::new(),
            tickets: 0,
            decided: Vec::new(),
            applied: Vec::new(),
            news: Vec::new(),
            out: Vec::new(),
            told: (None, 0, BTreeMap::new()),
            leads: (None, 0, false),
            others: BTreeSet::new(),
            asked: (seed % others as u64) as usize,
            unanswered: 0,
            anew: false,
            council_heard: now,
            // Beats of seats that start together fall apart, or two would often stand for election at once.
            tick_due: now + 1 + mix(&name) % terms.beat.max(1),
            ask_due: now,
            fault: None,
            terms,
        }
    }

    fn begin(&mut self, disk: Box<dyn Disk>) -> Result<(), Fault> {
        let (seat, council, body) = Seat::new(disk, &self.me, &self.terms)?;
        (self.machine, self.sessions) = Self::opened(&body)?;
        self.council = council;
        if !seat.sits() {
            self.news.push(News::Stranger);
        }
        self.seat = Some(seat);
        Ok(())
    }

    /// A message's body has come from a peer, proven to be genuine.
    pub fn heard(&mut self, now: Micros, from: &str, bytes: &[u8]) {
        if self.fault.is_some() || from == self.me {
            return;
        }
        let Ok(Envelope { version: VERSION, council, body }) =
            postcard::from_bytes::<Envelope<M::Change>>(bytes)
        else {
            return;
        };
        if council != 0 && council == self.council {
            self.council_heard = now;
        }
        if council != 0 && self.council != 0 && council != self.council {
            let lost = now.saturating_sub(self.council_heard) > 10 * self.terms.elect_after;
            if self.seat.is_none() && lost && matches!(body, Body::Changes { .. }) {
                // The council that it followed is no more, another one was founded: all of its state is asked for.
                (self.council, self.council_heard, self.anew, self.ask_due) = (council, now, true, now);
                return;
            } else if let Body::Fetch { since } = body {
                return self.fetched(from, since); // It decides itself whether it leaves its own.
            } else {
                if self.others.insert((from.into(), council)) {
                    self.news.push(News::Other { from: from.into(), council });
                }
                return;
            }
        }
        match body {
            Body::Raft(raft) => self.heard_raft(now, from, council, raft),
            Body::Offer { raft, whole, bytes } => self.offered(now, from, council, raft, whole, bytes),
            Body::Want { index, term, from: at } => self.wanted(now, from, index, term, at),
            Body::Part { index, term, from: at, bytes } => self.part(now, from, (index, term), at, &bytes),
            Body::Knock { disk } => {
                let Some(seat) = &mut self.seat else { return };
                if seat.retired.contains(&disk) {
                    post::<M::Change>(&mut self.out, self.council, from, Body::Replaced { disk });
                } else if seat.leads() {
                    seat.knocks.insert(from.into(), (disk, now));
                }
            }
            Body::Replaced { disk } => {
                if let Some(seat) = &mut self.seat
                    && seat.id == disk
                    && self.terms.seats.iter().any(|name| name == from)
                {
                    seat.replaced = true;
                }
            }
            Body::Carry { origin, proposals } => self.carried(now, from, &origin, proposals),
            Body::Decided { life, ticket, index, outcome } => {
                if life == self.life
                    && let Ok(outcome) = postcard::from_bytes(&outcome)
                    && self.pending.remove(&ticket).is_some()
                {
                    self.decided.push((ticket, Ok((index, outcome))));
                }
            }
            Body::Fetch { since } => self.fetched(from, since),
            Body::Changes { since, whole, term, leader, seats, changes } => {
                if self.seat.as_ref().is_some_and(Seat::sits) {
                    return;
                }
                if self.council == 0 && self.seat.is_none() {
                    self.council = council;
                }
                if leader.is_some() {
                    self.unanswered = 0;
                }
                self.told = (leader, term, seats.into_iter().collect());
                if since == 0 && self.anew {
                    (self.machine, self.anew) = (M::default(), false);
                }
                if since == self.machine.whole() {
                    changes.iter().for_each(|change| self.machine.take(change));
                    if since < self.machine.whole() && self.machine.whole() < whole {
                        self.ask_due = now;
                    }
                }
            }
        }
    }

    fn heard_raft(&mut self, now: Micros, from: &str, council: u64, raft: Raft) {
        let Some(seat) = &mut self.seat else { return };
        let Some(kind) = raft.kind() else { return };
        if raft.to != seat.id || seat.roll.get(&raft.from).is_some_and(|name| name != from) {
            return; // To or from an earlier disk under that name.
        }
        if seat.retired.contains(&raft.from) {
            let body = Body::Replaced { disk: raft.from };
            return post::<M::Change>(&mut self.out, self.council, from, body);
        }
        if self.council == 0 {
            self.council = council;
            seat.council_unsaved = true;
        }
        let votes = matches!(kind, MessageType::MsgRequestVote | MessageType::MsgRequestPreVote);
        // A stranger votes for nobody. Seats vote also for one that they don't know yet: if they were away while it was
        // seated, it may be the only one that has all.
        if votes && !seat.sits() && !slips::is(Slip::StrangerVotes) {
            return;
        }
        let ends = seat.raw.raft.raft_log.last_index();
        // The leader names only what this disk has said to hold. Others name what it has said while they led: guards
        // against an old copy that makes up a majority with whoever was cut off, and is asked for its vote before it
        // is led.
        let told = if kind == MessageType::MsgHeartbeat && raft.term >= seat.raw.raft.term {
            raft.commit
        } else {
            0
        };
        let vouched = told.max(raft.vouched);
        if vouched > ends {
            seat.old_disk = Some(Fault::OldDisk { ends, vouched });
            return;
        }
        seat.heard.insert(raft.from, (from.into(), now));
        if let Some(message) =
            raft.message().filter(|message| message.get_msg_type() != MessageType::MsgSnapshot)
        {
            drop(seat.raw.step(message)); // What it refuses is out of date.
        }
        seat.spread(self.seed);
    }

    fn carried(&mut self, now: Micros, from: &str, origin: &str, proposals: Vec<Proposal>) {
        let Some(seat) = &mut self.seat else { return };
        if !seat.sits() {
            return;
        }
        let mut onward = Vec::new();
        for proposal in proposals {
            let key = (origin.to_string(), proposal.life, proposal.ticket);
            if let Some((index, outcome)) = self.sessions.decided(origin, proposal.life, proposal.ticket) {
                if let Ok(outcome) = postcard::to_stdvec(outcome)
                    && from == origin
                {
                    let (life, ticket, index) = (proposal.life, proposal.ticket, *index);
                    let body = Body::Decided { life, ticket, index, outcome };
                    post::<M::Change>(&mut self.out, self.council, from, body);
                }
                if !slips::is(Slip::DuplicateApplied) {
                    continue;
                }
            }
            if from == origin && !seat.roll.values().any(|name| name == from) {
                seat.waiting.insert(key.clone(), now);
            }
            if seat.leads() {
                seat.queue.push((origin.into(), proposal));
            } else if from == origin {
                onward.push(proposal);
            }
        }
        if let Some(leader) = seat.leader().filter(|leader| *leader != from && **leader != self.me)
            && !onward.is_empty()
        {
            let body = Body::Carry { origin: origin.into(), proposals: onward };
            post::<M::Change>(&mut self.out, self.council, leader, body);
        }
    }

    fn fetched(&mut self, from: &str, since: u64) {
        let Some(seat) = &self.seat else { return };
        if !seat.sits() {
            return;
        }
        let (term, leader) = (seat.raw.raft.term, seat.leader().cloned());
        let seats = seat.seats().into_iter().collect();
        let changes = self.machine.changes(since, self.terms.datagram - 2 * HEAD);
        let body = Body::Changes { since, whole: self.machine.whole(), term, leader, seats, changes };
        post(&mut self.out, self.council, from, body);
    }

    /// Does what is due. Nothing leaves before the disk holds what it promises.
    ///
    /// # Errors
    /// The seat cannot go on; it sends nothing more.
    pub fn settle(&mut self, now: Micros) -> Result<(), Fault> {
        if let Some(fault) = &self.fault {
            return Err(fault.clone());
        }
        let done = self.settles(now);
        if let Err(fault) = &done {
            self.fault = Some(fault.clone());
        }
        done
    }

    fn settles(&mut self, now: Micros) -> Result<(), Fault> {
        if let Some(fault) = self.seat.as_mut().and_then(|seat| seat.old_disk.take()) {
            return Err(fault);
        }
        if let Some(mut seat) = self.seat.take_if(|seat| seat.replaced) {
            seat.disk.renew()?;
            self.news.push(News::Replaced);
            // What it knows of the agreed state stays true; from now on it follows.
            let known = std::mem::take(&mut self.machine);
            self.begin(seat.disk)?;
            self.machine = known;
        }
        if now >= self.tick_due {
            if now > self.tick_due + PAUSED_AFTER * self.terms.beat {
                self.moved(now);
            }
            self.tick_due = (self.tick_due + self.terms.beat).max(now + 1);
            if let Some(seat) = &mut self.seat {
                seat.ticks += 1;
                seat.raw.tick();
                seat.spread(self.seed);
            }
            self.choose(now);
        }
        self.carry(now);
        self.work(now)?;
        self.compact()?;
        if now >= self.ask_due {
            self.ask_due = now + self.terms.ask_every;
            self.ask(now);
        }
        self.tell(now);
        Ok(())
    }

    /// Takes own proposals to the leader, or gives them up.
    fn carry(&mut self, now: Micros) {
        let (give_up, again) = (self.terms.give_up, self.terms.ask_every);
        let late: Vec<u64> =
            self.pending.iter().filter(|(_, p)| now >= p.since + give_up).map(|(t, _)| *t).collect();
        for ticket in late {
            self.pending.remove(&ticket);
            self.decided.push((ticket, Err(Undecided::InTime)));
        }
        let done = self.pending.keys().next().copied().unwrap_or(self.tickets + 1);
        let Some(to) = self.carries_to() else { return };
        let (mut size, mut proposals) = (0, Vec::new());
        for (ticket, pending) in &mut self.pending {
            if pending.tried.is_some_and(|tried| now < tried + again) {
                continue;
            }
            pending.tried = Some(now);
            let proposal = Proposal { life: self.life, ticket: *ticket, done, entry: pending.entry.clone() };
            if let Some(seat) = self.seat.as_mut().filter(|seat| seat.leads()) {
                seat.queue.push((self.me.clone(), proposal));
                continue;
            }
            let more = proposal.entry.len() + 40;
            if size + more > self.terms.datagram - HEAD && !proposals.is_empty() {
                let body = Body::Carry { origin: self.me.clone(), proposals: std::mem::take(&mut proposals) };
                post::<M::Change>(&mut self.out, self.council, &to, body);
                size = 0;
            }
            size += more;
            proposals.push(proposal);
        }
        if !proposals.is_empty() {
            let body = Body::Carry { origin: self.me.clone(), proposals };
            post::<M::Change>(&mut self.out, self.council, &to, body);
        }
    }

    /// Who takes proposals now: itself where it leads, the leader where one is known, and for one without a seat any
    /// seat if the leader has not answered.
    fn carries_to(&self) -> Option<String> {
        match &self.seat {
            Some(seat) if seat.leads() => Some(self.me.clone()),
            Some(seat) if seat.sits() => seat.leader().cloned(),
            _ => {
                let again = self.pending.values().any(|pending| pending.tried.is_some());
                let leader = self.told.0.as_ref().filter(|name| !again && **name != self.me);
                leader.or_else(|| self.asks()).cloned()
            }
        }
    }

    /// The seat that one without a seat asks.
    fn asks(&self) -> Option<&String> {
        let others: Vec<&String> = self.terms.seats.iter().filter(|name| **name != self.me).collect();
        others.get(self.asked % others.len().max(1)).copied()
    }

    /// What is asked or said again and again.
    fn ask(&mut self, now: Micros) {
        let terms = &self.terms;
        if let Some(seat) = &mut self.seat {
            seat.waiting.retain(|_, since| now < *since + terms.give_up);
        }
        self.hand_on(now);
        if self.seat.as_ref().is_some_and(Seat::sits) {
            return;
        }
        if let Some(seat) = &self.seat {
            for name in self.terms.seats.iter().filter(|name| **name != self.me) {
                post::<M::Change>(&mut self.out, self.council, name, Body::Knock { disk: seat.id });
            }
        }
        self.unanswered += 1;
        if self.unanswered > UNANSWERED {
            (self.unanswered, self.asked) = (0, self.asked + 1);
        }
        if let Some(to) = self.asks().cloned() {
            let body = Body::Fetch { since: if self.anew { 0 } else { self.machine.whole() } };
            post::<M::Change>(&mut self.out, self.council, &to, body);
        }
    }

    /// Notes whom it follows now.
    fn tell(&mut self, now: Micros) {
        let Some(seat) = &mut self.seat else { return };
        let leads = (seat.leader().cloned(), seat.raw.raft.term, seat.leads());
        if leads == self.leads || !seat.sits() {
            return;
        }
        let term = leads.1;
        if leads.2 {
            seat.led_since = now;
            self.news.push(News::Leads { term });
        } else if leads.0 != self.leads.0 || self.leads.2 {
            self.news.push(News::Follows { leader: leads.0.clone(), term });
        }
        self.leads = leads;
    }

    /// When [`Council::settle`] is to be called at the latest.
    pub fn next(&self) -> Micros {
        if self.fault.is_some() {
            return Micros::MAX;
        }
        let work = self.seat.as_ref().is_some_and(|seat| {
            seat.raw.has_ready() || !seat.queue.is_empty() || seat.replaced || seat.old_disk.is_some()
        });
        let untried = self.pending.values().any(|pending| pending.tried.is_none());
        if work || untried && self.carries_to().is_some() { 0 } else { self.tick_due.min(self.ask_due) }
    }

    /// Names of receivers, and messages' bodies for them.
    pub fn take_out(&mut self) -> Vec<(String, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// Proposes an entry and gives its ticket. It is carried to the leader, and repeated until it is decided or given
    /// up.
    pub fn propose(&mut self, now: Micros, entry: M::Entry) -> u64 {
        self.tickets += 1;
        let ticket = self.tickets;
        match postcard::to_stdvec(&entry) {
            Ok(entry) if entry.len() + HEAD <= self.terms.datagram / 2 => {
                self.pending.insert(ticket, Pending { entry, since: now, tried: None });
            }
            _ => self.decided.push((ticket, Err(Undecided::TooLarge))),
        }
        ticket
    }

    /// Tickets that are over.
    pub fn take_decided(&mut self) -> Vec<Decided<M::Outcome>> {
        std::mem::take(&mut self.decided)
    }

    /// On seats: entries applied since, in order. After a start those that the disk holds beyond its last whole state
    /// come again; those before, and those that came to a seat far behind as one whole state, do not.
    pub fn take_applied(&mut self) -> Vec<Applied<M::Entry, M::Outcome>> {
        std::mem::take(&mut self.applied)
    }

    pub fn take_news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    /// The agreed state, as far as it is known here. It is that of an earlier index again after a restart, and for a
    /// moment when a stranger is seated.
    pub fn state(&self) -> &M {
        &self.machine
    }

    /// The index up to which [`Council::state`] is whole.
    pub fn index(&self) -> u64 {
        match &self.seat {
            Some(seat) if seat.sits() => seat.applied,
            _ => self.machine.whole(),
        }
    }

    /// Whether it leads, as far as it knows. That grants nothing.
    pub fn leads(&self) -> bool {
        self.seat.as_ref().is_some_and(Seat::leads)
    }

    pub fn status(&self) -> Status {
        let (leader, term, seats) = self.told.clone();
        let mut status = Status {
            role: Role::Follower,
            term,
            leader,
            seats,
            council: self.council,
            disk: 0,
            decided: self.index(),
            applied: self.index(),
            log: (0, 0, 0),
        };
        let Some(seat) = &self.seat else { return status };
        (status.role, status.disk) = (Role::Stranger, seat.id);
        if seat.sits() {
            let raft = &seat.raw.raft;
            status.role = match raft.state {
                StateRole::Leader => Role::Leader,
                StateRole::Candidate | StateRole::PreCandidate => Role::Candidate,
                StateRole::Follower if seat.learners.contains(&seat.id) => Role::Learner,
                StateRole::Follower => Role::Seat,
            };
            (status.term, status.leader, status.seats) = (raft.term, seat.leader().cloned(), seat.seats());
            status.decided = raft.raft_log.committed;
            let log = seat.raw.store();
            status.log = (log.first(), log.last(), log.bytes);
        }
        status
    }

    /// Leaves the lead to the seat that has most of the log, where this one has it: for one that is about to end, so
    /// that the others need not wait for an election. Proposals are decided again as soon as that one leads, a few
    /// ways later.
    pub fn hand_over(&mut self) {
        let Some(seat) = self.seat.as_mut().filter(|seat| seat.leads()) else { return };
        let raft = &seat.raw.raft;
        let others = seat.voters.iter().filter(|disk| **disk != seat.id);
        let most = others.filter_map(|disk| Some((raft.prs().get(*disk)?, *disk)));
        let next = most.max_by_key(|(progress, _)| (progress.recent_active, progress.matched));
        if let Some(next) = next.map(|(_, disk)| disk) {
            seat.raw.transfer_leader(next);
        }
    }

    /// The process stood still: what was due starts anew, and nobody's silence in the meantime counts. What was
    /// silent before does. Guards against a disk that is gone and never replaced, where leaders stand still for some
    /// beats every few seconds.
    pub fn moved(&mut self, now: Micros) {
        let meantime = now.saturating_sub(self.tick_due);
        (self.tick_due, self.ask_due, self.council_heard) = (now + self.terms.beat, now, now);
        self.pending.values_mut().for_each(|pending| pending.tried = None);
        if let Some(seat) = &mut self.seat {
            let later = |at: Micros| (at + meantime).min(now);
            seat.heard.values_mut().for_each(|(_, at)| *at = later(*at));
            seat.led_since = later(seat.led_since);
            seat.knocks.clear();
        }
    }
}
