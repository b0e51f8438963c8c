//! One gateway's part in the gossip: membership, evidence and authenticated datagrams combined.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tansyjunction::interface::Micros;

use crate::evidence::{EvidenceStore, Fact, FactKind, Item};
use crate::identity::GatewayIdentity;
use crate::membership::{MembershipEvent, PeerStatus, SwimConfig, SwimMembership};
use crate::opinion::{self, ServerSummary};
use crate::seal::{DatagramSealer, Keys, RejectReason};
use crate::seeded_faults::{self, SeededFault};

/// How often each gateway passes an item on. About e^-MAX_SENDS of the gateways are not reached by gossip, and a third
/// of the datagrams may be lost.
const MAX_SENDS: u32 = 10;
/// An unchanged own observation is sent again after this fraction of its lifetime.
const REPEAT_DIVISOR: Micros = 3;
/// Most gateways told directly that this one leaves.
const MAX_LEAVE_NOTICES: usize = 64;
/// A position is sent again after this many rounds.
const POSITION_ROUNDS: Micros = 5;
/// Interval of expiry, which examines every item.
const EXPIRY_INTERVAL: Micros = 1_000_000;

/// Content of a datagram.
#[derive(Serialize, Deserialize)]
enum Body {
    Membership(Vec<u8>),
    Evidence(Vec<Item>),
    /// Tells a sender that a later incarnation of its name is known.
    Later(GatewayIdentity),
    /// Tells a gateway that its sender suspects it: the sender, and the suspected incarnation.
    Accused(GatewayIdentity, u64, u16),
}

/// Configuration. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct GossipConfig {
    pub members: SwimConfig,
    /// Largest datagram in bytes.
    pub max_datagram: usize,
    /// Lifetime of evidence, and most items per source.
    pub keep_for: Micros,
    pub items: usize,
    /// Datagrams in transit for longer are rejected.
    pub max_transit_time: Micros,
    /// Interval of sending evidence.
    pub evidence_interval: Micros,
    /// Whether all observations are sent; else only problems and their end, as in large fleets.
    pub send_all: bool,
}

impl Default for GossipConfig {
    fn default() -> Self {
        GossipConfig {
            members: SwimConfig::default(),
            max_datagram: 256,
            keep_for: 30_000_000,
            items: 256,
            max_transit_time: 2_000_000,
            evidence_interval: 200_000,
            send_all: true,
        }
    }
}

/// Counters for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub refused: BTreeMap<RejectReason, u64>,
}

/// State of this gateway's gossip.
pub struct GossipNode {
    members: SwimMembership,
    evidence: EvidenceStore,
    seals: DatagramSealer,
    terms: GossipConfig,
    seq: u32,
    evidence_due: Micros,
    fade_due: Micros,
    later_due: Micros,
    /// State of the pseudo-random walk over live gateways that evidence is sent to.
    turn: u64,
    counts: DatagramCounts,
    out: Vec<(SocketAddr, Vec<u8>)>,
    leaves: bool,
}

impl GossipNode {
    /// Creates the node of a gateway; `seed` randomizes its choices.
    pub fn new(
        now: Micros,
        me: GatewayIdentity,
        seeds: Vec<(String, SocketAddr)>,
        keys: Keys,
        terms: GossipConfig,
        seed: u64,
    ) -> Self {
        let seals = DatagramSealer::new(keys, &me.name, me.life, now, terms.max_transit_time);
        let overhead = DatagramSealer::overhead(&me.name) + 3;
        let figures =
            SwimConfig { max_body: terms.max_datagram.saturating_sub(overhead), ..terms.members.clone() };
        GossipNode {
            members: SwimMembership::new(now, me, seeds, figures, seed),
            evidence: EvidenceStore::new(terms.keep_for, terms.items),
            seals,
            seq: 0,
            evidence_due: now + terms.evidence_interval,
            fade_due: now + EXPIRY_INTERVAL,
            later_due: now,
            turn: seed,
            counts: DatagramCounts::default(),
            out: Vec::new(),
            leaves: false,
            terms,
        }
    }

    /// The membership.
    pub fn members(&self) -> &SwimMembership {
        &self.members
    }

    /// The evidence.
    pub fn evidence(&self) -> &EvidenceStore {
        &self.evidence
    }

    /// Counters of datagrams.
    pub fn counts(&self) -> &DatagramCounts {
        &self.counts
    }

    /// Summary of each server from the evidence of others.
    pub fn opinions(&self, now: Micros) -> BTreeMap<String, ServerSummary> {
        opinion::summarize(now, &self.evidence, &self.members.me().name)
    }

    /// Replaces the keys.
    pub fn set_keys(&mut self, keys: Keys) {
        self.seals.set_keys(keys);
    }

    /// Handles a datagram. One that cannot be verified is only counted.
    pub fn receive(&mut self, now: Micros, bytes: &[u8]) {
        let opened = if bytes.len() > self.terms.max_datagram {
            Err(RejectReason::Unsealed)
        } else {
            self.seals.open(now, bytes)
        };
        let (_, body, late) = match opened {
            Ok(opened) => opened,
            Err(refused) => {
                *self.counts.refused.entry(refused).or_default() += 1;
                if refused == RejectReason::Earlier {
                    self.notify_later_incarnation(now, bytes);
                }
                return;
            }
        };
        self.counts.received += 1;
        match postcard::from_bytes(body) {
            Ok(Body::Membership(body)) => self.members.receive(now, &body),
            Ok(Body::Evidence(items)) => {
                for item in &items {
                    // This gateway's own observations are known here; none of an earlier incarnation is restored.
                    if item.source != self.members.me().name {
                        self.evidence.merge(now, item, late);
                    }
                }
            }
            Ok(Body::Accused(by, life, incarnation)) => {
                self.members.on_accusation(now, &by, life, incarnation)
            }
            Ok(Body::Later(fellow)) => self.members.on_later_incarnation(now, &fellow),
            Err(_) => *self.counts.refused.entry(RejectReason::Unsealed).or_default() += 1,
        }
        self.flush(now);
    }

    /// Tells a sender, with limited frequency, that a later incarnation of its name is known. Otherwise, of two
    /// gateways with one name, one would be ignored by all and never learn why.
    fn notify_later_incarnation(&mut self, now: Micros, bytes: &[u8]) {
        let Some(Ok(Body::Membership(body))) = DatagramSealer::body(bytes).map(postcard::from_bytes) else {
            return;
        };
        let Some(from) = SwimMembership::sender(&body) else { return };
        let known = self.members.all().find(|seen| seen.identity.name == from.name);
        let Some(known) = known.map(|seen| seen.identity.clone()) else { return };
        if known.life > from.life && now >= self.later_due {
            self.later_due = now + self.terms.members.probe_interval;
            // Sent to the address that it claims; its name would lead to the other gateway.
            self.send(now, from.address, &Body::Later(known));
        }
    }

    /// Records an own observation of a server. Unchanged ones are sent again only occasionally, and so are positions
    /// and waits, which always change.
    pub fn observe(&mut self, now: Micros, subject: &str, fact: Fact) {
        self.record_observation(now, subject, fact, self.terms.keep_for / REPEAT_DIVISOR);
    }

    /// The same for an observation that others rely on: sent again as often as a position.
    pub fn observe_as_reference(&mut self, now: Micros, subject: &str, fact: Fact) {
        self.record_observation(now, subject, fact, self.terms.evidence_interval * POSITION_ROUNDS);
    }

    fn record_observation(&mut self, now: Micros, subject: &str, fact: Fact, same_after: Micros) {
        if !self.terms.send_all && !self.always_sent(subject, fact) {
            return;
        }
        let me = self.members.me();
        if let Some(kept) = self.evidence.get(&me.name, subject, fact.kind()) {
            let moves =
                matches!((kept.fact, fact), (Fact::At(_), Fact::At(_)) | (Fact::Waits(_), Fact::Waits(_)));
            let anew = if moves { self.terms.evidence_interval * POSITION_ROUNDS } else { same_after };
            if (kept.fact == fact || moves) && now < kept.observed_at + anew {
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

    /// Whether an observation is always sent: problems, their end, and rare facts such as starts, drains and gateways.
    fn always_sent(&self, subject: &str, fact: Fact) -> bool {
        match fact.kind() {
            FactKind::Reach if fact == Fact::Answers => self
                .evidence
                .all()
                .any(|(_, of, kept)| of == subject && matches!(kept.fact, Fact::Refuses | Fact::Hangs)),
            FactKind::Role | FactKind::Position => false,
            _ => true,
        }
    }

    /// When [`GossipNode::run_due`] must be called at the latest.
    pub fn next_due(&self) -> Micros {
        self.members.next_due().min(self.evidence_due).min(self.fade_due)
    }

    /// Runs everything that is due.
    pub fn run_due(&mut self, now: Micros) {
        self.members.run_due(now);
        if self.fade_due <= now {
            self.fade_due = now + EXPIRY_INTERVAL;
            self.evidence.expire(now);
        }
        if self.evidence_due <= now {
            self.evidence_due = now + self.terms.evidence_interval;
            if !self.leaves && !self.members.yields() {
                self.send_evidence(now);
                self.members.gossip_faster(now);
                for (fellow, incarnation) in self.members.suspected_peers() {
                    let (to, by) = (self.members.address_of(&fellow), self.members.me().clone());
                    self.send(now, to, &Body::Accused(by, fellow.life, incarnation));
                }
            }
        }
        self.flush(now);
    }

    /// Sends evidence to a live gateway.
    fn send_evidence(&mut self, now: Micros) {
        let living: Vec<SocketAddr> =
            self.members.alive().map(|seen| self.members.address_of(&seen.identity)).collect();
        if living.is_empty() {
            return;
        }
        // Each gateway has its own sequence, so that not all send to the same one at the same time.
        self.turn = self.turn.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let to = living[(self.turn >> 33) as usize % living.len()];
        let room = self.terms.max_datagram - DatagramSealer::overhead(&self.members.me().name) - 3;
        let items = self.evidence.next_items(now, room, MAX_SENDS);
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
        self.seals.start_incarnation(self.members.me().life);
        for (to, body) in self.members.take_datagrams() {
            self.send(now, to, &Body::Membership(body));
        }
    }

    /// Announces that this gateway leaves.
    pub fn leave(&mut self, now: Micros) {
        let me = self.members.me().name.clone();
        if !seeded_faults::is_active(SeededFault::FarewellUnsaid) {
            self.observe(now, &me, Fact::Leaves);
        }
        let living: Vec<SocketAddr> =
            self.members.alive().map(|seen| self.members.address_of(&seen.identity)).collect();
        let own: Vec<Item> = self
            .evidence
            .next_items(now, self.terms.max_datagram / 2, u32::MAX)
            .into_iter()
            .take(1)
            .collect();
        // Sent to all at once, so that the announcement is not overtaken by a failure notice through gossip.
        for to in living.into_iter().take(MAX_LEAVE_NOTICES) {
            self.send(now, to, &Body::Evidence(own.clone()));
        }
        self.members.leave(now);
        self.leaves = true;
        self.flush(now);
    }

    /// Whether a gateway that is down has left voluntarily.
    pub fn has_left(&self, name: &str) -> bool {
        let life = self.members.all().find(|seen| seen.identity.name == name).map(|seen| seen.identity.life);
        let told = self.evidence.get(name, name, FactKind::Fellow);
        told.is_some_and(|kept| kept.fact == Fact::Leaves && Some(kept.life) == life)
    }

    /// Zones whose known gateways are all down, and not all of them left voluntarily.
    pub fn dark_zones(&self) -> Vec<(u8, u8)> {
        let mut zones: BTreeMap<(u8, u8), (bool, bool)> = BTreeMap::new();
        for seen in self.members.all() {
            let (lives, lost) = zones.entry((seen.identity.region, seen.identity.zone)).or_default();
            *lives |= seen.standing != PeerStatus::Down;
            *lost |= seen.standing == PeerStatus::Down && !self.has_left(&seen.identity.name);
        }
        zones.into_iter().filter(|(_, (lives, lost))| !lives && *lost).map(|(zone, _)| zone).collect()
    }

    /// Takes the datagrams to send, with their targets.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        self.members.take_events()
    }
}
