//! Duties among many gateways in virtual time: duration of elections and handovers, and cost of renewals. Consensus
//! is a stub that decides every proposal a round trip and a disk write later; five voting members.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use tansyjunction_duties::*;

const SEATS: usize = 5;
/// One-way delay between any two processes, its spread, and the time of a disk write, in µs.
const HOP: Micros = 2_000;
const SPREAD: Micros = 1_000;
const WRITE: Micros = 2_000;
/// Interval between a gateway's requests for changes, and between checks of the leader.
const ASK_EVERY: Micros = 100_000;
const LOOK_EVERY: Micros = 10_000;
/// Bytes of headers and authentication tag per datagram.
const HEAD: usize = 90;
const DUTY: &str = "sweep";

#[derive(Clone, Debug)]
enum Event {
    Wake(usize),
    Ask(usize),
    Look,
    AtLeader(Option<usize>, Entry),
    Flush,
    Decide(Vec<(Option<usize>, Entry)>),
    Answer(usize, Outcome),
    Changes(usize, Vec<Change>),
}

struct Gateway {
    holder: LeaseHolder,
    copy: SharedState,
    lives: bool,
}

struct Net {
    now: Micros,
    terms: LeaseConfig,
    random: fastrand::Rng,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, Event>,
    count: u64,
    gateways: Vec<Gateway>,
    register: SharedState,
    grantor: LeaseGrantor,
    /// How long the leader batches renewals into one entry; 0: no batching.
    gather: Micros,
    gathered: Vec<(Option<usize>, Entry)>,
    /// Bytes of all gateways' traffic, of the leader's replication traffic, and number of entries.
    gateway_bytes: usize,
    leader_bytes: usize,
    entries: usize,
}

fn size(of: &impl serde::Serialize) -> usize {
    postcard::to_stdvec(of).expect("it can be written").len()
}

impl Net {
    fn new(count: usize, gather: Micros, seed: u64) -> Net {
        let terms = LeaseConfig::default();
        let gateway = |g| {
            let holder = LeaseHolder::new(&format!("n{g}"), 1, terms.clone());
            Gateway { holder, copy: SharedState::default(), lives: true }
        };
        let mut net = Net {
            now: 1_000_000,
            random: fastrand::Rng::with_seed(seed),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            count: 0,
            gateways: (0..count).map(gateway).collect(),
            register: SharedState::default(),
            grantor: LeaseGrantor::new(terms.clone()),
            terms,
            gather,
            gathered: Vec::new(),
            gateway_bytes: 0,
            leader_bytes: 0,
            entries: 0,
        };
        for g in 0..count {
            let (wakes, asks) = (net.random.u64(..500_000), net.random.u64(..ASK_EVERY));
            net.after(wakes, Event::Wake(g));
            net.after(asks, Event::Ask(g));
        }
        net.after(0, Event::Look);
        net
    }

    fn after(&mut self, wait: Micros, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((self.now + wait, self.count)));
        self.events.insert(self.count, event);
    }

    /// One-way delay to or from the leader through a gateway's member.
    fn way(&mut self, g: usize) -> Micros {
        let hops = if g.is_multiple_of(SEATS) { 1 } else { 2 };
        (0..hops).map(|_| HOP + self.random.u64(..SPREAD)).sum()
    }

    fn propose(&mut self, g: usize, entry: Entry) {
        self.gateway_bytes += HEAD + size(&entry);
        let wait = self.way(g);
        self.after(wait, Event::AtLeader(Some(g), entry));
    }

    fn wake(&mut self, g: usize) {
        let gateway = &mut self.gateways[g];
        if !gateway.lives || !gateway.holder.due(self.now, &gateway.copy) {
            return;
        }
        let zone = format!("z{}", g % 3);
        let own = GatewayReport { taken: gateway.copy.newest, zone, room: 9, ..GatewayReport::default() };
        let renewal = gateway.holder.create_renewal(self.now, &gateway.copy, own);
        let wait = gateway.holder.next_renewal() - self.now;
        self.propose(g, Entry::Renewals(vec![renewal]));
        self.after(wait, Event::Wake(g));
    }

    fn decide(&mut self, all: Vec<(Option<usize>, Entry)>) {
        let (mut renewals, mut from, mut others) = (Vec::new(), Vec::new(), Vec::new());
        for (g, entry) in all {
            match entry {
                Entry::Renewals(some) => {
                    renewals.extend(some);
                    from.push(g);
                }
                other => others.push((g, other)),
            }
        }
        if !renewals.is_empty() {
            let outcome = self.apply(&Entry::Renewals(renewals));
            let Outcome::Renewed(each) = outcome else { panic!("{outcome:?}") };
            for (g, renewed) in from.into_iter().zip(each) {
                self.answer(g, Outcome::Renewed(vec![renewed]));
            }
        }
        for (g, entry) in others {
            let outcome = self.apply(&entry);
            self.answer(g, outcome);
        }
    }

    fn apply(&mut self, entry: &Entry) -> Outcome {
        self.entries += 1;
        self.leader_bytes += (SEATS - 1) * (2 * HEAD + size(entry));
        let outcome = self.register.apply(self.register.index + 1, entry);
        self.grantor.on_applied(self.now, &self.register, entry);
        outcome
    }

    fn answer(&mut self, g: Option<usize>, outcome: Outcome) {
        let Some(g) = g else { return };
        self.gateway_bytes += HEAD + size(&outcome);
        let wait = self.way(g);
        self.after(wait, Event::Answer(g, outcome));
    }

    fn step(&mut self) {
        let Some(Reverse((at, number))) = self.queue.pop() else { return };
        self.now = at;
        match self.events.remove(&number).expect("an event") {
            Event::Wake(g) => self.wake(g),
            Event::Ask(g) => {
                // Each gateway asks its own member, which is one hop behind the leader.
                let changes = self.register.changes_since(self.gateways[g].copy.index, 60_000);
                self.gateway_bytes += 2 * HEAD + 16 + size(&changes);
                let lives = self.gateways[g].lives;
                self.after(2 * HOP, Event::Changes(g, changes));
                if lives {
                    self.after(ASK_EVERY, Event::Ask(g));
                }
            }
            Event::Changes(g, changes) => {
                changes.iter().for_each(|change| self.gateways[g].copy.apply_change(change));
                self.wake(g);
            }
            Event::Look => {
                let evidence = ElectionEvidence { is_leader: true, ..ElectionEvidence::default() };
                for entry in self.grantor.due_proposals(self.now, &self.register, &evidence) {
                    self.after(0, Event::AtLeader(None, entry));
                }
                self.after(LOOK_EVERY, Event::Look);
            }
            Event::AtLeader(g, entry) => {
                if self.gathered.is_empty() {
                    let gather = self.gather;
                    self.after(gather, Event::Flush);
                }
                self.gathered.push((g, entry));
            }
            Event::Flush => {
                let all = std::mem::take(&mut self.gathered);
                let wait = 2 * HOP + WRITE;
                self.after(wait, Event::Decide(all));
            }
            Event::Decide(all) => self.decide(all),
            Event::Answer(g, outcome) => {
                let now = self.now;
                self.gateways[g].holder.on_outcome(now, &outcome);
            }
        }
        let acts = self.gateways.iter().filter(|g| g.lives && g.holder.may_act(self.now, DUTY).is_some());
        assert!(self.register.duties.is_empty() || acts.count() < 2, "two act at {}", self.now);
    }

    /// Runs until a gateway other than `not` may act; returns the time that took.
    fn until_acts(&mut self, not: Option<usize>) -> (usize, Micros) {
        let from = self.now;
        loop {
            self.step();
            let acts = |gateway: &Gateway| gateway.lives && gateway.holder.may_act(self.now, DUTY).is_some();
            if let Some(g) = self.gateways.iter().position(acts).filter(|g| Some(*g) != not) {
                return (g, self.now - from);
            }
            assert!(self.now < from + 60_000_000, "nobody acts: {:?}", self.grantor.without_candidate());
        }
    }

    fn run(&mut self, wait: Micros) {
        let until = self.now + wait;
        while self.now < until {
            self.step();
        }
    }
}

/// Milliseconds until the next holder may act after the duty's creation, the loss of its holder and its handover; then
/// bytes per second of a gateway and of the leader's replication, and entries per second.
fn measured(count: usize, gather: Micros, seed: u64) -> [u64; 6] {
    let mut net = Net::new(count, gather, seed);
    net.run(5_000_000);
    assert_eq!(net.register.attending.len(), count);
    net.after(0, Event::AtLeader(None, Entry::Open { duty: DUTY.into(), scope: Scope::Fleet }));
    let (first, opened) = net.until_acts(None);
    let wait = net.random.u64(3_000_000..4_000_000);
    net.run(wait);
    net.gateways[first].lives = false;
    let (second, lost) = net.until_acts(Some(first));
    assert!(lost < net.terms.vacancy_bound(2 * 2 * (HOP + SPREAD) + WRITE + gather) + ASK_EVERY, "{lost}");
    net.run(3_000_000);
    (net.gateway_bytes, net.leader_bytes, net.entries) = (0, 0, 0);
    net.run(5_000_000);
    let costs = [net.gateway_bytes / count, net.leader_bytes, net.entries].map(|sum| sum as u64 / 5);
    let to = format!("n{}", (0..count).find(|g| *g != first && *g != second).expect("a third"));
    let now = net.now;
    let entry = net.gateways[second].holder.hand_over(now, DUTY, &to).expect("it holds it");
    net.propose(second, entry);
    let (_, handed) = net.until_acts(Some(second));
    [opened / 1_000, lost / 1_000, handed / 1_000, costs[0], costs[1], costs[2]]
}

fn table(counts: &[usize], seeds: u64) {
    println!(
        "| gateways | gathered | opened, ms | lost, ms | handed on, ms | B/s each | leader, B/s | entries/s |"
    );
    for count in counts {
        for gather in [0, 20_000] {
            let all: Vec<[u64; 6]> = (0..seeds).map(|seed| measured(*count, gather, seed)).collect();
            let range = |of: usize| {
                let values = all.iter().map(|one| one[of]);
                format!("{} to {}", values.clone().min().unwrap_or(0), values.max().unwrap_or(0))
            };
            let mean = |of: usize| all.iter().map(|one| one[of]).sum::<u64>() / seeds;
            let times = [range(0), range(1), range(2)].join(" | ");
            let costs = [mean(3), mean(4), mean(5)].map(|mean| mean.to_string()).join(" | ");
            println!("| {count} | {} | {times} | {costs} |", gather / 1_000);
        }
    }
}

#[test]
fn the_next_acts_within_the_bound_and_two_never_do() {
    table(&[10, 100], 3);
}

#[test]
#[ignore]
fn measured_among_many() {
    table(&[10, 100, 300, 1_000], 5);
}
