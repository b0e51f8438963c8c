//! Simulated network in virtual time: delay, loss per direction, duplication, reordering, partitions and pauses, all
//! from one seed.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use tansyjunction_fellows::membership::PeerStatus;
use tansyjunction_fellows::seal::Keys;
use tansyjunction_fellows::{GatewayIdentity, GossipConfig, GossipNode};

pub const SECOND: u64 = 1_000_000;

pub fn keys() -> Keys {
    Keys::read(&"5a".repeat(32)).expect("a key")
}

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from((
        [127, (number >> 14) as u8, (number >> 7 & 127) as u8, (number & 127) as u8 + 1],
        7_000,
    ))
}

pub struct Node {
    pub fellows: GossipNode,
    pub up: bool,
    /// Paused until this time.
    pub paused: u64,
}

pub struct Net {
    pub now: u64,
    pub nodes: Vec<Node>,
    /// Messages in transit: arrival time, sequence, target and content.
    way: BTreeMap<(u64, u64), (usize, Vec<u8>)>,
    places: BTreeMap<SocketAddr, usize>,
    sent: u64,
    rng: fastrand::Rng,
    pub loss: f64,
    pub doubles: f64,
    /// One-way delay in µs; a random delay of up to the same is added.
    pub delay: (u64, u64),
    /// Blocked directions.
    pub cut: BTreeSet<(usize, usize)>,
    pub terms: GossipConfig,
    pub bytes: u64,
}

impl Net {
    pub fn new(seed: u64, terms: GossipConfig) -> Net {
        Net {
            now: 1_000 * SECOND,
            nodes: Vec::new(),
            way: BTreeMap::new(),
            places: BTreeMap::new(),
            sent: 0,
            rng: fastrand::Rng::with_seed(seed),
            loss: 0.0,
            doubles: 0.0,
            delay: (500, 1_000),
            cut: BTreeSet::new(),
            terms,
            bytes: 0,
        }
    }

    /// Creates gateways in three zones and two regions: zones 0 and 1 in region 0, zone 2 in region 1.
    pub fn with(seed: u64, count: usize, terms: GossipConfig) -> Net {
        let mut net = Net::new(seed, terms);
        for number in 0..count {
            net.start(number, &format!("n{number}"), 1_000 + number as u64);
        }
        net
    }

    pub fn zone(number: usize) -> (u8, u8) {
        let zone = (number % 3) as u8;
        (zone, zone / 2)
    }

    /// Starts a gateway, or restarts it without state.
    pub fn start(&mut self, number: usize, name: &str, life: u64) {
        let (zone, region) = Net::zone(number);
        let tag = self.rng.u16(..);
        let me = GatewayIdentity { name: name.into(), address: address(number), zone, region, life, tag };
        let seeds = (0..3).map(|n| (format!("n{n}"), address(n))).collect();
        let fellows = GossipNode::new(self.now, me, seeds, keys(), self.terms.clone(), self.rng.u64(..));
        let node = Node { fellows, up: true, paused: 0 };
        if number < self.nodes.len() {
            self.nodes[number] = node;
        } else {
            self.nodes.push(node);
        }
        self.places.insert(address(number), number);
    }

    pub fn cut_between(&mut self, a: &[usize], b: &[usize]) {
        for one in a {
            for other in b {
                self.cut.insert((*one, *other));
                self.cut.insert((*other, *one));
            }
        }
    }

    /// Sends a gateway's outgoing messages.
    pub fn carry(&mut self, from: usize) {
        for (to, bytes) in self.nodes[from].fellows.take_datagrams() {
            assert!(bytes.len() <= self.terms.max_datagram, "{} bytes", bytes.len());
            self.bytes += bytes.len() as u64;
            let Some(&place) = self.places.get(&to) else { continue };
            if self.cut.contains(&(from, place)) {
                continue;
            }
            let copies = if self.rng.f64() < self.doubles { 2 } else { 1 };
            for _ in 0..copies {
                if self.rng.f64() < self.loss {
                    continue;
                }
                self.sent += 1;
                let at = self.now + self.delay.0 + self.rng.u64(0..=self.delay.1);
                self.way.insert((at, self.sent), (place, bytes.clone()));
            }
        }
    }

    pub fn deliver(&mut self, at: u64, place: usize, bytes: Vec<u8>) {
        self.sent += 1;
        self.way.insert((at, self.sent), (place, bytes));
    }

    fn due(&self, place: usize) -> u64 {
        let node = &self.nodes[place];
        if node.up { node.fellows.next_due().max(node.paused) } else { u64::MAX }
    }

    pub fn run(&mut self, time: u64) {
        let until = self.now + time;
        // Next call of each node; kept separately so that not thousands of nodes are searched.
        let mut dues: Vec<u64> = (0..self.nodes.len()).map(|place| self.due(place)).collect();
        let mut order: BTreeSet<(u64, usize)> = dues.iter().copied().zip(0..).collect();
        loop {
            let arrives = self.way.keys().next().map_or(u64::MAX, |(at, _)| *at);
            let (at, first) = order.first().copied().unwrap_or((u64::MAX, 0));
            let next = arrives.min(at);
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            let touched = if arrives <= at {
                let Some((_, (place, bytes))) = self.way.pop_first() else { return };
                let node = &mut self.nodes[place];
                if node.paused > self.now {
                    // The kernel buffers it until the process continues.
                    let later = node.paused;
                    self.deliver(later, place, bytes);
                } else if node.up {
                    node.fellows.receive(self.now, &bytes);
                }
                place
            } else {
                self.nodes[first].fellows.run_due(self.now);
                first
            };
            self.carry(touched);
            order.remove(&(dues[touched], touched));
            dues[touched] = self.due(touched);
            order.insert((dues[touched], touched));
        }
    }

    /// Status of `of` as seen by `by`.
    pub fn stands(&self, by: usize, of: usize) -> Option<PeerStatus> {
        let name = self.nodes[of].fellows.members().me().name.clone();
        let seen = self.nodes[by].fellows.members().all().find(|seen| seen.identity.name == name);
        seen.map(|seen| seen.standing)
    }

    /// Whether each of these considers all others alive.
    pub fn agreed(&self, nodes: &[usize]) -> bool {
        let knows = |a: usize, b: usize| a == b || self.stands(a, b) == Some(PeerStatus::Alive);
        nodes.iter().all(|a| nodes.iter().all(|b| knows(*a, *b)))
    }

    /// Runs until the condition holds; returns the time that took, or `None` if longer than `most`.
    pub fn until(&mut self, most: u64, so: impl Fn(&Net) -> bool) -> Option<u64> {
        let began = self.now;
        while !so(self) {
            if self.now >= began + most {
                return None;
            }
            self.run(SECOND / 10);
        }
        Some(self.now - began)
    }
}
