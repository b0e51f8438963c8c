//! A network in virtual time for any number of gateways' fellows: delay, loss in each direction, doubling,
//! reordering, cuts and pauses, all from one seed.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use tansyjunction_fellows::members::Standing;
use tansyjunction_fellows::seal::Keys;
use tansyjunction_fellows::{Fellow, Fellows, Terms};

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
    pub fellows: Fellows,
    pub up: bool,
    /// Stands still until then.
    pub paused: u64,
}

pub struct Net {
    pub now: u64,
    pub nodes: Vec<Node>,
    /// On the way: when it comes, in which order it was sent, where to, and what.
    way: BTreeMap<(u64, u64), (usize, Vec<u8>)>,
    places: BTreeMap<SocketAddr, usize>,
    sent: u64,
    rng: fastrand::Rng,
    pub loss: f64,
    pub doubles: f64,
    /// Microseconds one way, and as many more by chance.
    pub delay: (u64, u64),
    /// Directions that nothing passes.
    pub cut: BTreeSet<(usize, usize)>,
    pub terms: Terms,
    pub bytes: u64,
}

impl Net {
    pub fn new(seed: u64, terms: Terms) -> Net {
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

    /// So many gateways over three zones and two regions: zones 0 and 1 in region 0, zone 2 in region 1.
    pub fn with(seed: u64, count: usize, terms: Terms) -> Net {
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

    /// Starts a gateway, or starts it anew without what it knew.
    pub fn start(&mut self, number: usize, name: &str, life: u64) {
        let (zone, region) = Net::zone(number);
        let tag = self.rng.u16(..);
        let me = Fellow { name: name.into(), address: address(number), zone, region, life, tag };
        let seeds = (0..3).map(|n| (format!("n{n}"), address(n))).collect();
        let fellows = Fellows::new(self.now, me, seeds, keys(), self.terms.clone(), self.rng.u64(..));
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

    /// Carries what a gateway has to send.
    pub fn carry(&mut self, from: usize) {
        for (to, bytes) in self.nodes[from].fellows.take_out() {
            assert!(bytes.len() <= self.terms.most, "{} bytes", bytes.len());
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
        if node.up { node.fellows.next().max(node.paused) } else { u64::MAX }
    }

    pub fn run(&mut self, time: u64) {
        let until = self.now + time;
        // When each is to be called next; kept beside the nodes, so that thousands need not be looked through.
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
                    // The kernel keeps it until the process goes on.
                    let later = node.paused;
                    self.deliver(later, place, bytes);
                } else if node.up {
                    node.fellows.heard(self.now, &bytes);
                }
                place
            } else {
                self.nodes[first].fellows.settle(self.now);
                first
            };
            self.carry(touched);
            order.remove(&(dues[touched], touched));
            dues[touched] = self.due(touched);
            order.insert((dues[touched], touched));
        }
    }

    /// How `of` stands for `by`.
    pub fn stands(&self, by: usize, of: usize) -> Option<Standing> {
        let name = self.nodes[of].fellows.members().me().name.clone();
        let seen = self.nodes[by].fellows.members().all().find(|seen| seen.fellow.name == name);
        seen.map(|seen| seen.standing)
    }

    /// Whether each of these knows each other one to be alive.
    pub fn agreed(&self, nodes: &[usize]) -> bool {
        let knows = |a: usize, b: usize| a == b || self.stands(a, b) == Some(Standing::Alive);
        nodes.iter().all(|a| nodes.iter().all(|b| knows(*a, *b)))
    }

    /// Runs until it is so; the time that took, or None where it is not within `most`.
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
