//! Simulated cluster in virtual time: a network that loses, duplicates, reorders and partitions, disks that crash at a
//! write, pauses and restarts, all from one seed; guarantees are checked in every step.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};
use tansyjunction_council::store::{MemoryDisk, StoredState, WriteBatch};
use tansyjunction_council::{
    ConsensusConfig, ConsensusError, ConsensusMember, Disk, Role, StateMachine, seeded_faults,
};

pub const SECOND: u64 = 1_000_000;

/// State machine that keeps every value with its index.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Book {
    pub taken: Vec<(u64, u64)>,
    pub whole: u64,
    /// Padding, so that snapshots have some size.
    pub pad: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Value(pub u64, pub Vec<u8>);

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Change(Vec<(u64, u64)>, u64);

impl StateMachine for Book {
    type Entry = Value;
    type Outcome = u64;
    type Change = Change;

    fn apply(&mut self, index: u64, entry: &Value) -> u64 {
        self.taken.push((index, entry.0));
        self.whole = index;
        self.taken.len() as u64
    }

    fn complete_index(&self) -> u64 {
        self.whole
    }

    fn changes(&self, since: u64, most_bytes: usize) -> Vec<Change> {
        let from = self.taken.partition_point(|(index, _)| *index <= since);
        let some: Vec<_> = self.taken[from..].iter().take(most_bytes / 20).copied().collect();
        some.last().map(|(index, _)| Change(some.clone(), *index)).into_iter().collect()
    }

    fn apply_change(&mut self, change: &Change) {
        self.taken.extend(&change.0);
        self.whole = change.1;
    }
}

/// When a disk fails: at this write from now on, and whether the write still takes effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Crash {
    pub after: u64,
    pub written: bool,
    /// Counts only writes that contain a vote.
    pub votes: bool,
}

pub struct Plate {
    pub memory: MemoryDisk,
    pub writes: u64,
    pub crash: Option<Crash>,
    drawn: u64,
}

/// A disk that outlives its member.
#[derive(Clone)]
pub struct Shared(pub Arc<Mutex<Plate>>);

impl Shared {
    pub fn new(memory: MemoryDisk) -> Shared {
        Shared(Arc::new(Mutex::new(Plate { memory, writes: 0, crash: None, drawn: 0 })))
    }
}

impl Disk for Shared {
    fn id(&self) -> u64 {
        self.0.lock().expect("a plate").memory.id
    }

    fn load(&mut self) -> Result<StoredState, ConsensusError> {
        self.0.lock().expect("a plate").memory.load()
    }

    fn write(&mut self, writes: &WriteBatch) -> Result<(), ConsensusError> {
        let mut plate = self.0.lock().expect("a plate");
        plate.writes += 1;
        let voted = plate.memory.kept.hard.vote;
        let votes = writes.hard.is_some_and(|hard| hard.vote != voted && hard.vote != 0);
        if let Some(crash) = plate.crash.as_mut().filter(|crash| votes || !crash.votes) {
            if crash.after > 0 {
                crash.after -= 1;
            } else {
                if crash.written {
                    plate.memory.write(writes)?;
                }
                return Err(ConsensusError::Write("crashed".into()));
            }
        }
        plate.memory.write(writes)
    }

    fn replace(&mut self) -> Result<(), ConsensusError> {
        let mut plate = self.0.lock().expect("a plate");
        plate.drawn += 1;
        let id = plate.memory.id.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(plate.drawn).max(1);
        plate.memory = MemoryDisk::new(id);
        Ok(())
    }
}

/// The violated guarantee.
#[derive(Clone, Debug, PartialEq)]
pub enum Broken {
    TwoDecisions {
        index: u64,
    },
    AppliedTwice {
        value: u64,
    },
    Lost {
        value: u64,
    },
    TwoLeaders {
        term: u64,
    },
    VotedTwice {
        term: u64,
        disk: u64,
    },
    /// A disk holds less than its member has acknowledged.
    Vouched,
    Stuck(&'static str),
}

pub struct Node {
    pub name: String,
    pub council: Option<ConsensusMember<Book>>,
    /// `None` for a follower.
    pub disk: Option<Shared>,
    pub paused: u64,
    /// Down until this time; `u64::MAX`: until it is started.
    pub down: u64,
    starts: u64,
    pub faults: Vec<ConsensusError>,
}

#[derive(Default)]
pub struct Judge {
    decisions: BTreeMap<u64, u64>,
    values: BTreeMap<u64, u64>,
    pub acknowledged: BTreeMap<u64, u64>,
    leaders: BTreeMap<u64, String>,
    votes: BTreeMap<(u64, u64), u64>,
    pub broken: Vec<Broken>,
}

impl Judge {
    fn applied(&mut self, index: u64, value: u64) {
        if *self.decisions.entry(index).or_insert(value) != value {
            self.broken.push(Broken::TwoDecisions { index });
        }
        if *self.values.entry(value).or_insert(index) != index {
            self.broken.push(Broken::AppliedTwice { value });
        }
    }

    fn leads(&mut self, term: u64, name: &str) {
        if self.leaders.entry(term).or_insert_with(|| name.into()) != name {
            self.broken.push(Broken::TwoLeaders { term });
        }
    }

    fn sent(&mut self, bytes: &[u8]) {
        if let Some((term, disk, to)) = seeded_faults::vote(bytes)
            && *self.votes.entry((term, disk)).or_insert(to) != to
        {
            self.broken.push(Broken::VotedTwice { term, disk });
        }
    }
}

pub struct Net {
    pub now: u64,
    pub nodes: Vec<Node>,
    way: BTreeMap<(u64, u64), (usize, usize, Vec<u8>)>,
    sent: u64,
    pub rng: fastrand::Rng,
    pub loss: f64,
    pub doubles: f64,
    pub delay: (u64, u64),
    /// Blocked directions.
    pub cut: BTreeSet<(usize, usize)>,
    pub terms: ConsensusConfig,
    pub bytes: u64,
    pub judge: Judge,
    /// Value and proposal time by node and ticket.
    proposed: BTreeMap<(usize, u64, u64), (u64, u64)>,
    values: u64,
    pub latencies: Vec<u64>,
    pub given_up: usize,
    seed: u64,
    /// Time after which a crashed member is restarted.
    pub back_after: u64,
}

pub fn terms(seats: usize) -> ConsensusConfig {
    ConsensusConfig { seats: (0..seats).map(|n| format!("n{n}")).collect(), ..ConsensusConfig::default() }
}

/// Disk id, as large as a randomly drawn one.
pub fn disk_of(number: usize) -> u64 {
    0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(number as u64 + 1)
}

impl Net {
    /// `seats` members with disks, the first of which creates the cluster, and `followers`.
    pub fn new(seed: u64, terms: ConsensusConfig, seats: usize, followers: usize) -> Net {
        let mut net = Net {
            now: 1_000 * SECOND,
            nodes: Vec::new(),
            way: BTreeMap::new(),
            sent: 0,
            rng: fastrand::Rng::with_seed(seed),
            loss: 0.0,
            doubles: 0.0,
            delay: (500, 1_000),
            cut: BTreeSet::new(),
            terms,
            bytes: 0,
            judge: Judge::default(),
            proposed: BTreeMap::new(),
            values: 0,
            latencies: Vec::new(),
            given_up: 0,
            seed,
            back_after: 2 * SECOND,
        };
        for number in 0..seats + followers {
            let name = format!("n{number}");
            let memory = match number {
                0 => MemoryDisk::founder(disk_of(0), u64::MAX / 7, &name),
                _ => MemoryDisk::new(disk_of(number)),
            };
            net.add(name, (number < seats).then(|| Shared::new(memory)));
        }
        net
    }

    fn add(&mut self, name: String, disk: Option<Shared>) {
        let (paused, down, starts) = (0, 0, 0);
        self.nodes.push(Node { name, council: None, disk, paused, down, starts, faults: Vec::new() });
        self.start(self.nodes.len() - 1);
    }

    pub fn add_follower(&mut self) {
        self.add(format!("n{}", self.nodes.len()), None);
    }

    pub fn start(&mut self, number: usize) {
        let (now, terms) = (self.now, self.terms.clone());
        let node = &mut self.nodes[number];
        node.starts += 1;
        node.down = 0;
        let seed = self.seed * 1_000_003 + node.starts * 1_009 + number as u64;
        node.council = match &node.disk {
            None => Some(ConsensusMember::follower(now, &node.name, terms, seed)),
            Some(disk) => {
                disk.0.lock().expect("a plate").crash = None;
                match ConsensusMember::seat(now, &node.name, terms, Box::new(disk.clone()), seed) {
                    Ok(council) => Some(council),
                    Err(fault) => {
                        node.faults.push(fault);
                        None
                    }
                }
            }
        };
        self.gather(number);
    }

    /// Kills a member; it restarts at `until`.
    pub fn kill(&mut self, number: usize, until: u64) {
        self.nodes[number].council = None;
        self.nodes[number].down = until;
        self.proposed.retain(|(node, ..), _| *node != number);
    }

    /// Content of the disk, to be restored later.
    pub fn copy(&self, number: usize) -> MemoryDisk {
        self.plate(number, |plate| plate.memory.clone())
    }

    pub fn plate<T>(&self, number: usize, does: impl FnOnce(&mut Plate) -> T) -> T {
        let disk = self.nodes[number].disk.as_ref().expect("a seat");
        does(&mut disk.0.lock().expect("a plate"))
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| self.nodes[*n].council.as_ref().is_some_and(ConsensusMember::is_leader);
        let term = |n: &usize| self.nodes[*n].council.as_ref().map_or(0, |council| council.status().term);
        (0..self.nodes.len()).filter(leads).max_by_key(term)
    }

    pub fn council(&self, number: usize) -> &ConsensusMember<Book> {
        self.nodes[number].council.as_ref().expect("it is up")
    }

    /// Proposes a new value at a member; returns the value.
    pub fn propose(&mut self, number: usize, size: usize) -> u64 {
        let value = self.propose_only(number, size);
        if self.nodes[number].paused <= self.now {
            self.settle(number);
        }
        value
    }

    /// The same, processed together with the next messages.
    pub fn propose_only(&mut self, number: usize, size: usize) -> u64 {
        self.values += 1;
        let (now, value) = (self.now, self.values);
        if let Some(council) = &mut self.nodes[number].council {
            let ticket = council.propose(now, Value(value, vec![0; size]));
            let starts = self.nodes[number].starts;
            self.proposed.insert((number, starts, ticket), (value, now));
        }
        value
    }

    fn settle(&mut self, number: usize) {
        let now = self.now;
        let Some(council) = &mut self.nodes[number].council else { return };
        let done = council.process(now);
        self.gather(number);
        if let Err(fault) = done {
            if matches!(fault, ConsensusError::OutdatedDisk { .. }) {
                self.judge.broken.push(Broken::Vouched);
            }
            self.nodes[number].faults.push(fault);
            self.kill(number, now + self.back_after);
        }
    }

    /// Passes a member's output to the network and to the checks.
    fn gather(&mut self, number: usize) {
        let (now, starts) = (self.now, self.nodes[number].starts);
        let node = &mut self.nodes[number];
        let Some(council) = &mut node.council else { return };
        for (index, value, _) in council.take_applied() {
            self.judge.applied(index, value.0);
        }
        for (ticket, decided) in council.take_decided() {
            let Some((value, at)) = self.proposed.remove(&(number, starts, ticket)) else { continue };
            match decided {
                Ok((index, _)) => {
                    self.judge.acknowledged.insert(value, index);
                    self.latencies.push(now - at);
                }
                Err(_) => self.given_up += 1,
            }
        }
        if council.is_leader() {
            let term = council.status().term;
            self.judge.leads(term, &node.name);
        }
        for (to, bytes) in council.take_messages() {
            self.judge.sent(&bytes);
            self.bytes += bytes.len() as u64 + 28;
            assert!(bytes.len() <= self.terms.max_message_bytes, "a message of {} bytes", bytes.len());
            let Some(to) = self.nodes.iter().position(|node| node.name == to) else { continue };
            let copies = 1 + usize::from(self.rng.f64() < self.doubles);
            for _ in 0..copies {
                if self.rng.f64() < self.loss || self.cut.contains(&(number, to)) {
                    continue;
                }
                let due = now + self.delay.0 + self.rng.u64(0..self.delay.1);
                self.sent += 1;
                self.way.insert((due, self.sent), (number, to, bytes.clone()));
            }
        }
    }

    /// Runs until this time.
    pub fn run(&mut self, until: u64) {
        while self.judge.broken.is_empty() {
            let due = self.nodes.iter().enumerate().map(|(number, node)| {
                let next = node.council.as_ref().map(|council| council.next_due().max(node.paused));
                (next.unwrap_or(if node.down == 0 { u64::MAX } else { node.down }), number)
            });
            let (node_at, number) = due.min().expect("nodes");
            let way_at = self.way.first_key_value().map_or(u64::MAX, |((at, _), _)| *at);
            let at = node_at.min(way_at).max(self.now);
            if at > until {
                break;
            }
            self.now = at;
            if way_at <= at {
                let Some((_, (from, to, bytes))) = self.way.pop_first() else { continue };
                let from = self.nodes[from].name.clone();
                let node = &mut self.nodes[to];
                if node.paused > at {
                    // It waits in the socket's buffer.
                    self.sent += 1;
                    let from = self.nodes.iter().position(|node| node.name == from).expect("a sender");
                    self.way.insert((self.nodes[to].paused, self.sent), (from, to, bytes));
                } else if let Some(council) = &mut node.council {
                    council.receive(at, &from, &bytes);
                    self.settle(to);
                }
            } else if self.nodes[number].council.is_some() {
                self.settle(number);
            } else {
                self.start(number);
            }
        }
        self.now = self.now.max(until);
    }

    pub fn run_for(&mut self, time: u64) {
        self.run(self.now + time);
    }

    /// Runs until the condition holds, for a limited time.
    pub fn until(&mut self, most: u64, what: &'static str, holds: impl Fn(&Net) -> bool) {
        let end = self.now + most;
        while self.judge.broken.is_empty() && !holds(self) {
            if self.now >= end {
                return self.judge.broken.push(Broken::Stuck(what));
            }
            self.run_for(10_000);
        }
    }

    /// Ends all faults; all members must reach the same state without losing acknowledged entries.
    pub fn heal(&mut self) {
        (self.loss, self.doubles) = (0.0, 0.0);
        self.cut.clear();
        for number in 0..self.nodes.len() {
            self.nodes[number].paused = 0;
            if self.nodes[number].council.is_none() {
                self.start(number);
            }
            if self.nodes[number].disk.is_some() {
                self.plate(number, |plate| plate.crash = None);
            }
        }
        self.until(60 * SECOND, "no leader", |net| net.leader().is_some());
        if let Some(leader) = self.leader() {
            let last = self.propose(leader, 8);
            let has = move |node: &Node| {
                let taken = node.council.as_ref().map(|council| &council.state().taken);
                taken.is_some_and(|taken| taken.iter().any(|(_, value)| *value == last))
            };
            self.until(60 * SECOND, "not whole", move |net| net.nodes.iter().all(has));
            // Earlier proposals are decided or abandoned by then.
            self.run_for(self.terms.proposal_timeout + SECOND);
        }
        for node in &self.nodes {
            let Some(council) = &node.council else { continue };
            let taken: BTreeMap<u64, u64> = council.state().taken.iter().map(|(i, v)| (*v, *i)).collect();
            if taken.len() != council.state().taken.len() {
                self.judge.broken.push(Broken::AppliedTwice { value: 0 });
            }
            for (value, index) in &self.judge.acknowledged {
                if taken.get(value) != Some(index) {
                    self.judge.broken.push(Broken::Lost { value: *value });
                }
            }
            for (value, index) in taken {
                if *self.judge.decisions.entry(index).or_insert(value) != value {
                    self.judge.broken.push(Broken::TwoDecisions { index });
                }
            }
        }
    }

    /// Whether a disk is a member again, and all others are.
    pub fn sits(&mut self, number: usize, seats: usize) {
        self.until(30 * SECOND, "does not sit", move |net| {
            matches!(net.council(number).status().role, Role::Seat | Role::Leader)
        });
        self.gathered(seats);
    }

    /// Whether all of `seats` vote.
    pub fn gathered(&mut self, seats: usize) {
        self.until(60 * SECOND, "not all seated", move |net| {
            net.leader().is_some_and(|leader| {
                let status = net.council(leader).status();
                status.seats.len() == seats && status.seats.values().all(|votes| *votes)
            })
        });
    }
}
