//! One gateway among its fellows: membership, evidence and seals put together.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tansyjunction::interface::Micros;

use crate::evidence::{Evidence, Fact, Item, Kind};
use crate::identity::Fellow;
use crate::members::{Figures, Members, News, Standing};
use crate::opinion::{self, Opinion};
use crate::seal::{Keys, Refused, Seals};
use crate::slips::{self, Slip};

/// How often each gateway passes an item on: of those that it does not reach about e to the minus this are left, and a
/// third of the datagrams may be lost.
const TELLS: u32 = 10;
/// An own observation that has not changed is told anew after this part of the time for which it is kept.
const ANEW: Micros = 3;
/// So many are told directly that this gateway leaves.
const FAREWELLS: usize = 64;
/// A position is told anew after so many rounds.
const POSITIONS: Micros = 5;
/// Fading looks at every item, so not at each turn.
const FADE_EVERY: Micros = 1_000_000;

/// What a datagram holds.
#[derive(Serialize, Deserialize)]
enum Body {
    Membership(Vec<u8>),
    Evidence(Vec<Item>),
    /// To one that goes by a name of which a later life is known: that life.
    Later(Fellow),
    /// To one that its sender suspects: the sender, and the life and incarnation that it suspects.
    Accused(Fellow, u64, u16),
}

/// What an installation sets. Times are microseconds.
#[derive(Clone, Debug)]
pub struct Terms {
    pub members: Figures,
    /// Longest datagram.
    pub most: usize,
    /// Evidence is forgotten after so long, and each source has so many items at a time.
    pub keep_for: Micros,
    pub items: usize,
    /// A datagram that was on its way for longer counts for nothing.
    pub old_after: Micros,
    /// Evidence goes out so often.
    pub tell_every: Micros,
    /// Whether all that is seen is told; else only trouble and its end, as among hundreds.
    pub tell_all: bool,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            members: Figures::default(),
            most: 256,
            keep_for: 30_000_000,
            items: 256,
            old_after: 2_000_000,
            tell_every: 200_000,
            tell_all: true,
        }
    }
}

/// Counts for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub heard: u64,
    pub refused: BTreeMap<Refused, u64>,
}

pub struct Fellows {
    members: Members,
    evidence: Evidence,
    seals: Seals,
    terms: Terms,
    seq: u32,
    tell_due: Micros,
    fade_due: Micros,
    later_due: Micros,
    /// Whom evidence goes to next: a walk through all that live, in an order of this gateway's own.
    turn: u64,
    counts: Counts,
    out: Vec<(SocketAddr, Vec<u8>)>,
    leaves: bool,
}

impl Fellows {
    pub fn new(
        now: Micros,
        me: Fellow,
        seeds: Vec<(String, SocketAddr)>,
        keys: Keys,
        terms: Terms,
        seed: u64,
    ) -> Self {
        let seals = Seals::new(keys, &me.name, me.life, now, terms.old_after);
        let overhead = Seals::overhead(&me.name) + 3;
        let figures = Figures { most: terms.most.saturating_sub(overhead), ..terms.members.clone() };
        Fellows {
            members: Members::new(now, me, seeds, figures, seed),
            evidence: Evidence::new(terms.keep_for, terms.items),
            seals,
            seq: 0,
            tell_due: now + terms.tell_every,
            fade_due: now + FADE_EVERY,
            later_due: now,
            turn: seed,
            counts: Counts::default(),
            out: Vec::new(),
            leaves: false,
            terms,
        }
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// What others say of each server.
    pub fn opinions(&self, now: Micros) -> BTreeMap<String, Opinion> {
        opinion::opinions(now, &self.evidence, &self.members.me().name)
    }

    /// Other keys from now on.
    pub fn rekey(&mut self, keys: Keys) {
        self.seals.rekey(keys);
    }

    /// A datagram has come. What does not verify changes nothing but a count.
    pub fn heard(&mut self, now: Micros, bytes: &[u8]) {
        let opened =
            if bytes.len() > self.terms.most { Err(Refused::Unsealed) } else { self.seals.open(now, bytes) };
        let (_, body, late) = match opened {
            Ok(opened) => opened,
            Err(refused) => {
                *self.counts.refused.entry(refused).or_default() += 1;
                if refused == Refused::Earlier {
                    self.tell_of_later(now, bytes);
                }
                return;
            }
        };
        self.counts.heard += 1;
        match postcard::from_bytes(body) {
            Ok(Body::Membership(body)) => self.members.heard(now, &body),
            Ok(Body::Evidence(items)) => {
                for item in &items {
                    // What this gateway saw it knows itself; of an earlier life of its own nothing is taken back.
                    if item.source != self.members.me().name {
                        self.evidence.merge(now, item, late);
                    }
                }
            }
            Ok(Body::Accused(by, life, incarnation)) => self.members.accused_by(now, &by, life, incarnation),
            Ok(Body::Later(fellow)) => self.members.later(now, &fellow),
            Err(_) => *self.counts.refused.entry(Refused::Unsealed).or_default() += 1,
        }
        self.flush(now);
    }

    /// Tells one that speaks under a name of which a later life is known, at most now and then. Guards against two
    /// gateways with one name, of which the one is heard by nobody and never learns why.
    fn tell_of_later(&mut self, now: Micros, bytes: &[u8]) {
        let Some(Ok(Body::Membership(body))) = Seals::body(bytes).map(postcard::from_bytes) else { return };
        let Some(from) = Members::sender(&body) else { return };
        let known = self.members.all().find(|seen| seen.fellow.name == from.name);
        let Some(known) = known.map(|seen| seen.fellow.clone()) else { return };
        if known.life > from.life && now >= self.later_due {
            self.later_due = now + self.terms.members.period;
            // To where it says that it is: by its name alone another one would be reached.
            self.send(now, from.address, &Body::Later(known));
        }
    }

    /// This gateway saw something of a server. The same again is told anew only now and then, and so are a position
    /// and a waiting, which always move.
    pub fn saw(&mut self, now: Micros, subject: &str, fact: Fact) {
        self.seen(now, subject, fact, self.terms.keep_for / ANEW);
    }

    /// Likewise, by one whose word the others go by: the same again is told anew as often as a position.
    pub fn confirmed(&mut self, now: Micros, subject: &str, fact: Fact) {
        self.seen(now, subject, fact, self.terms.tell_every * POSITIONS);
    }

    fn seen(&mut self, now: Micros, subject: &str, fact: Fact, same_after: Micros) {
        if !self.terms.tell_all && !self.worth_telling(subject, fact) {
            return;
        }
        let me = self.members.me();
        if let Some(kept) = self.evidence.get(&me.name, subject, fact.kind()) {
            let moves =
                matches!((kept.fact, fact), (Fact::At(_), Fact::At(_)) | (Fact::Waits(_), Fact::Waits(_)));
            let anew = if moves { self.terms.tell_every * POSITIONS } else { same_after };
            if (kept.fact == fact || moves) && now < kept.at + anew {
                return;
            }
        }
        self.seq += 1;
        let item = Item {
            source: me.name.clone(),
            zone: me.zone,
            life: me.life,
            seq: self.seq,
            subject: subject.into(),
            fact,
            age: 0,
        };
        self.evidence.merge(now, &item, 0);
    }

    /// Trouble, its end, and what only single servers have: one that just started, a drain, a fellow.
    fn worth_telling(&self, subject: &str, fact: Fact) -> bool {
        match fact.kind() {
            Kind::Reach if fact == Fact::Answers => self
                .evidence
                .all()
                .any(|(_, of, kept)| of == subject && matches!(kept.fact, Fact::Refuses | Fact::Hangs)),
            Kind::Role | Kind::Position => false,
            _ => true,
        }
    }

    /// When [`Fellows::settle`] is to be called at the latest.
    pub fn next(&self) -> Micros {
        self.members.next().min(self.tell_due).min(self.fade_due)
    }

    /// Does what is due.
    pub fn settle(&mut self, now: Micros) {
        self.members.settle(now);
        if self.fade_due <= now {
            self.fade_due = now + FADE_EVERY;
            self.evidence.fade(now);
        }
        if self.tell_due <= now {
            self.tell_due = now + self.terms.tell_every;
            if !self.leaves && !self.members.yields() {
                self.tell(now);
                self.members.hasten(now);
                for (fellow, incarnation) in self.members.accused() {
                    let (to, by) = (self.members.reach(&fellow), self.members.me().clone());
                    self.send(now, to, &Body::Accused(by, fellow.life, incarnation));
                }
            }
        }
        self.flush(now);
    }

    /// Passes evidence on to one that lives.
    fn tell(&mut self, now: Micros) {
        let living: Vec<SocketAddr> =
            self.members.living().map(|seen| self.members.reach(&seen.fellow)).collect();
        if living.is_empty() {
            return;
        }
        // A step of its own for each gateway, so that not all tell the same one at the same time.
        self.turn = self.turn.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let to = living[(self.turn >> 33) as usize % living.len()];
        let room = self.terms.most - Seals::overhead(&self.members.me().name) - 3;
        let items = self.evidence.next(now, room, TELLS);
        if !items.is_empty() {
            self.send(now, to, &Body::Evidence(items));
        }
    }

    fn send(&mut self, now: Micros, to: SocketAddr, body: &Body) {
        let Ok(body) = postcard::to_stdvec(body) else { return };
        let sealed = self.seals.seal(now, &body);
        self.counts.sent += 1;
        self.counts.sent_bytes += sealed.len() as u64;
        self.out.push((to, sealed));
    }

    fn flush(&mut self, now: Micros) {
        self.seals.renew(self.members.me().life);
        for (to, body) in self.members.take_out() {
            self.send(now, to, &Body::Membership(body));
        }
    }

    /// Says farewell: this gateway goes of its own will.
    pub fn leave(&mut self, now: Micros) {
        let me = self.members.me().name.clone();
        if !slips::is(Slip::FarewellUnsaid) {
            self.saw(now, &me, Fact::Leaves);
        }
        let living: Vec<SocketAddr> =
            self.members.living().map(|seen| self.members.reach(&seen.fellow)).collect();
        let own: Vec<Item> =
            self.evidence.next(now, self.terms.most / 2, u32::MAX).into_iter().take(1).collect();
        // Guards against a death that is heard of before the farewell: this goes to all at once, that goes round.
        for to in living.into_iter().take(FAREWELLS) {
            self.send(now, to, &Body::Evidence(own.clone()));
        }
        self.members.leave(now);
        self.leaves = true;
        self.flush(now);
    }

    /// Whether one that is down went of its own will, as it told.
    pub fn left(&self, name: &str) -> bool {
        let life = self.members.all().find(|seen| seen.fellow.name == name).map(|seen| seen.fellow.life);
        let told = self.evidence.get(name, name, Kind::Fellow);
        told.is_some_and(|kept| kept.fact == Fact::Leaves && Some(kept.life) == life)
    }

    /// Zones none of whose gateways lives though some were met there, and not all left of their own will.
    pub fn dark_zones(&self) -> Vec<(u8, u8)> {
        let mut zones: BTreeMap<(u8, u8), (bool, bool)> = BTreeMap::new();
        for seen in self.members.all() {
            let (lives, lost) = zones.entry((seen.fellow.region, seen.fellow.zone)).or_default();
            *lives |= seen.standing != Standing::Down;
            *lost |= seen.standing == Standing::Down && !self.left(&seen.fellow.name);
        }
        zones.into_iter().filter(|(_, (lives, lost))| !lives && *lost).map(|(zone, _)| zone).collect()
    }

    /// Datagrams to be sent, and where to.
    pub fn take_out(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    pub fn take_news(&mut self) -> Vec<News> {
        self.members.take_news()
    }
}
