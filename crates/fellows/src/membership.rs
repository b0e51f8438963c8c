//! Membership by SWIM, using the crate `foca`. This module adds what the crate leaves open: local health, longer
//! timeouts for other regions, pauses of the process, conflicts of names, and isolation.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use bytes::Buf;
use foca::{
    AccumulatingRuntime, Codec, Foca, Header, Message, OwnedNotification, PeriodicParams, PostcardCodec,
    Timer,
};
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;
use tansyjunction::interface::Micros;

use crate::health::LocalHealth;
use crate::identity::GatewayIdentity;
use crate::seeded_faults::{self, SeededFault};

/// Number of peers asked for an indirect probe.
const INDIRECT_PROBES: usize = 3;
/// Share of the probe interval after which indirect probes are requested.
const ANSWER_SHARE: f64 = 0.4;
/// How often each gateway passes on a change: enough for thousands.
const MAX_TRANSMISSIONS: u8 = 10;
/// Probe intervals without any message after which this gateway's own network is probably at fault.
const ISOLATED_AFTER_PERIODS: Micros = 4;
/// Missed probe intervals after which the process is assumed to have been paused.
const PAUSE_PERIODS: Micros = 2;
/// How often a live rival of the same name is outbid before one of the two yields.
const MAX_OUTBIDS: u32 = 2;
/// Number of peers contacted at once when this gateway is isolated.
const ISOLATED_CONTACTS: usize = 3;
/// Pending changes per additional gossip round, and most additional rounds at a time.
const CHANGES_PER_ROUND: usize = 16;
const MAX_EXTRA_ROUNDS: usize = 2;
/// Number of peers learned within the window that makes it ask for more; and its step through the live ones.
const LEARNED_THRESHOLD: u32 = 4;
const LEARNED_WINDOW: Micros = 5_000_000;
const CONTACT_STEP: usize = 7_919;
/// Probe intervals between contacts to peers that are down, to notice a healed partition.
const DOWN_CONTACT_PERIODS: u32 = 3;

/// Configuration. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct SwimConfig {
    /// Probe interval.
    pub probe_interval: Micros,
    /// Time from suspicion to death within the own region.
    pub suspicion_time: Micros,
    /// Factor of that time for other regions.
    pub remote_region_factor: u32,
    /// Gossip interval and fan-out.
    pub gossip_interval: Micros,
    pub fanout: usize,
    /// Largest datagram body in bytes.
    pub max_body: usize,
    /// Addresses of peers by name, where they differ from what the peers announce.
    pub routes: BTreeMap<String, SocketAddr>,
}

impl Default for SwimConfig {
    fn default() -> Self {
        SwimConfig {
            probe_interval: 500_000,
            suspicion_time: 2_000_000,
            remote_region_factor: 3,
            gossip_interval: 200_000,
            fanout: 3,
            max_body: 190,
            routes: BTreeMap::new(),
        }
    }
}

/// Status of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerStatus {
    Alive,
    Suspect,
    Down,
}

/// What is known about a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerState {
    pub identity: GatewayIdentity,
    pub standing: PeerStatus,
    /// Incarnation of that status; raised by the peer to refute a suspicion.
    pub incarnation: u16,
    /// Since when it has that status.
    pub since: Micros,
    /// Gateways that suspected it since it was last alive, including this one.
    pub suspected_by: BTreeSet<String>,
}

/// Events to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    Up(GatewayIdentity),
    Down(GatewayIdentity),
    /// This gateway was declared dead, or met an earlier incarnation of itself, and continues as a new one.
    Renewed(u64),
    Paused(Micros),
    /// It receives nothing and suspects nobody meanwhile.
    Deaf,
    Hears,
    /// Another gateway keeps the same name; this one stays silent from now on.
    Yields(SocketAddr),
}

type Swim = Foca<GatewayIdentity, PostcardCodec, Xoshiro256PlusPlus, foca::NoCustomBroadcast>;

/// State of the membership.
pub struct SwimMembership {
    swim: Swim,
    config: SwimConfig,
    health: LocalHealth,
    timers: BTreeMap<(Micros, u64), (Timer<GatewayIdentity>, Micros)>,
    count: u64,
    seen: BTreeMap<String, PeerState>,
    seeds: BTreeMap<String, SocketAddr>,
    asked: usize,
    join_due: Micros,
    isolated: bool,
    /// Start of the current window, and peers learned in it and in the previous one.
    learned: (Micros, u32, u32),
    outbid: u32,
    rival: Option<u64>,
    yields: bool,
    outgoing: Vec<(SocketAddr, Vec<u8>)>,
    events: Vec<MembershipEvent>,
}

impl SwimMembership {
    /// Starts with the names and addresses in `seeds`; this gateway's own entry is ignored.
    pub fn new(
        now: Micros,
        me: GatewayIdentity,
        seeds: Vec<(String, SocketAddr)>,
        figures: SwimConfig,
        seed: u64,
    ) -> Self {
        let micros = Duration::from_micros;
        let count = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        let config = foca::Config {
            probe_period: micros(figures.probe_interval),
            probe_rtt: micros((figures.probe_interval as f64 * ANSWER_SHARE) as Micros),
            num_indirect_probes: count(INDIRECT_PROBES),
            max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: micros(figures.suspicion_time),
            remove_down_after: Some(Duration::from_secs(3_600)),
            max_packet_size: count(figures.max_body),
            notify_down_members: true,
            periodic_announce: Some(PeriodicParams {
                frequency: micros(20 * figures.probe_interval),
                num_members: count(1),
            }),
            periodic_announce_to_down_members: Some(PeriodicParams {
                frequency: micros(figures.probe_interval) * DOWN_CONTACT_PERIODS,
                num_members: count(2),
            }),
            periodic_gossip: Some(PeriodicParams {
                frequency: micros(figures.gossip_interval),
                num_members: count(figures.fanout),
            }),
        };
        let seeds = seeds.into_iter().filter(|(name, _)| *name != me.name).collect();
        let rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        SwimMembership {
            swim: Foca::new(me, config, rng, PostcardCodec),
            config: figures,
            health: LocalHealth::new(now),
            timers: BTreeMap::new(),
            count: 0,
            seen: BTreeMap::new(),
            seeds,
            asked: seed as usize,
            join_due: now,
            isolated: false,
            learned: (now, 0, 0),
            outbid: 0,
            rival: None,
            yields: false,
            outgoing: Vec::new(),
            events: Vec::new(),
        }
    }

    /// This gateway's own identity.
    pub fn me(&self) -> &GatewayIdentity {
        self.swim.identity()
    }

    /// Address of a peer: from the settings, or as it announces.
    pub fn address_of(&self, to: &GatewayIdentity) -> SocketAddr {
        self.config.routes.get(&to.name).copied().unwrap_or(to.address)
    }

    /// This gateway's health score.
    pub fn health(&self) -> u32 {
        self.health.score()
    }

    /// Whether it yielded its name to another gateway.
    pub fn yields(&self) -> bool {
        self.yields
    }

    /// All peers that are known, by name.
    pub fn all(&self) -> impl Iterator<Item = &PeerState> {
        self.seen.values()
    }

    /// Peers that are alive, as far as is known.
    pub fn alive(&self) -> impl Iterator<Item = &PeerState> {
        self.seen.values().filter(|seen| seen.standing != PeerStatus::Down)
    }

    /// Takes the datagram bodies to send, with their targets.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.events)
    }

    /// When [`SwimMembership::run_due`] must be called at the latest.
    pub fn next_due(&self) -> Micros {
        let first = self.timers.keys().next().map_or(Micros::MAX, |(at, _)| *at);
        if self.yields { Micros::MAX } else { first.min(self.join_due) }
    }

    /// Handles the body of a verified datagram.
    pub fn receive(&mut self, now: Micros, body: &[u8]) {
        if self.yields {
            return;
        }
        self.health.on_datagram(now);
        if std::mem::take(&mut self.isolated) {
            self.events.push(MembershipEvent::Hears);
        }
        self.inspect(now, body);
        if !self.yields {
            self.call_foca(now, |swim, runtime| swim.handle_data(body, runtime));
        }
    }

    /// Reads what `foca` does not report: answers to own probes, suspicions, and rivals of the name.
    fn inspect(&mut self, now: Micros, mut body: &[u8]) {
        let mut codec = PostcardCodec;
        let Ok(Header { src, src_incarnation, message, .. }) =
            Codec::<GatewayIdentity>::decode_header(&mut codec, &mut body)
        else {
            return;
        };
        if matches!(message, Message::Ack(_) | Message::ForwardedAck { .. }) {
            self.health.on_probe(true);
        }
        self.on_name_conflict(now, &src, true);
        self.record_suspicion(now, &src, src_incarnation, foca::State::Alive, "");
        if body.remaining() < 2 {
            return;
        }
        for _ in 0..body.get_u16() {
            let Ok(member) = Codec::<GatewayIdentity>::decode_member(&mut codec, &mut body) else { return };
            if member.id().name == self.me().name {
                if *member.id() == *self.me() && member.state() == foca::State::Suspect {
                    self.health.on_suspected();
                }
                self.on_name_conflict(now, member.id(), member.state() != foca::State::Down);
            } else {
                self.record_suspicion(now, member.id(), member.incarnation(), member.state(), &src.name);
            }
        }
    }

    /// Records who suspects whom. Statements about earlier incarnations are ignored.
    fn record_suspicion(
        &mut self,
        now: Micros,
        of: &GatewayIdentity,
        incarnation: u16,
        state: foca::State,
        by: &str,
    ) {
        let Some(seen) = self.seen.get_mut(&of.name) else { return };
        if seen.identity != *of || seen.standing == PeerStatus::Down || incarnation < seen.incarnation {
            return;
        }
        match state {
            foca::State::Suspect => {
                if seen.standing == PeerStatus::Alive {
                    (seen.standing, seen.since) = (PeerStatus::Suspect, now);
                }
                seen.incarnation = incarnation;
                seen.suspected_by.insert(by.into());
            }
            foca::State::Alive if incarnation > seen.incarnation => {
                if seen.standing == PeerStatus::Suspect {
                    (seen.standing, seen.since) = (PeerStatus::Alive, now);
                }
                seen.incarnation = incarnation;
                seen.suspected_by.clear();
            }
            _ => {}
        }
    }

    /// The sender of a message body.
    pub fn sender(mut body: &[u8]) -> Option<GatewayIdentity> {
        Codec::<GatewayIdentity>::decode_header(&mut PostcardCodec, &mut body).ok().map(|head| head.src)
    }

    /// Handles a peer's notice of a later incarnation of this gateway's name.
    pub fn on_later_incarnation(&mut self, now: Micros, other: &GatewayIdentity) {
        if !self.yields {
            self.on_name_conflict(now, other, true);
        }
    }

    /// Handles another gateway with this name. An earlier incarnation of its own is outbid, even if the clock was set
    /// back; so is a foreign one, once. If that bids again it is alive, and the one with the higher tag keeps the
    /// name.
    fn on_name_conflict(&mut self, now: Micros, other: &GatewayIdentity, lives: bool) {
        let me = self.me().clone();
        let own = other.address == me.address && other.tag == me.tag;
        if other.name != me.name || *other == me || own && other.life <= me.life || !lives {
            return;
        }
        if other.address != me.address
            && self.rival.is_none_or(|life| life < other.life)
            && other.life > me.life
        {
            self.outbid += 1;
            self.rival = Some(other.life);
        }
        if self.outbid > MAX_OUTBIDS
            && other.tag > me.tag
            && !seeded_faults::is_active(SeededFault::NobodyYields)
        {
            self.yields = true;
            self.events.push(MembershipEvent::Yields(other.address));
            return;
        }
        if other.life >= me.life {
            let life = other.life + 1;
            let next = GatewayIdentity { life, ..me };
            self.call_foca(now, |swim, runtime| swim.change_identity(next, runtime));
            self.events.push(MembershipEvent::Renewed(life));
        }
    }

    /// Runs everything that is due.
    pub fn run_due(&mut self, now: Micros) {
        if self.yields {
            return;
        }
        let overdue = self.timers.keys().next().map_or(0, |(at, _)| now.saturating_sub(*at));
        let paused = overdue > PAUSE_PERIODS * self.config.probe_interval
            && !seeded_faults::is_active(SeededFault::PausedAccuses);
        if paused {
            self.health.on_pause();
            self.events.push(MembershipEvent::Paused(overdue));
        }
        let alone = self.alive().next().is_none();
        let deaf = !alone
            && !seeded_faults::is_active(SeededFault::DeafAccuses)
            && self.health.hears_nothing(now, ISOLATED_AFTER_PERIODS * self.config.probe_interval);
        if deaf && !std::mem::replace(&mut self.isolated, true) {
            self.events.push(MembershipEvent::Deaf);
        }
        let due: Vec<(Micros, u64)> = self.timers.range(..=(now, u64::MAX)).map(|(key, _)| *key).collect();
        let mut taken: Vec<(Timer<GatewayIdentity>, Micros)> =
            due.iter().filter_map(|key| self.timers.remove(key)).collect();
        taken.sort_by(|a, b| a.0.cmp(&b.0));
        for (timer, delay) in taken {
            let accuses = matches!(
                timer,
                Timer::ProbeRandomMember(_)
                    | Timer::SendIndirectProbe { .. }
                    | Timer::ChangeSuspectToDown { .. }
            );
            // A gateway that was paused, or whose own network is broken, must not declare all others dead: suspicion
            // timers are restarted, and received messages are handled first.
            if accuses && (paused || deaf) {
                self.schedule_timer(now, timer, delay);
            } else if !self.suspicion_refuted(&timer) {
                self.call_foca(now, |swim, runtime| swim.handle_timer(timer, runtime));
            }
        }
        if self.join_due <= now {
            self.join_due = now + self.config.probe_interval;
            if alone || deaf {
                self.request_join(now, ISOLATED_CONTACTS);
            } else {
                self.contact_unknown_peer(now);
            }
        }
    }

    /// Whether a suspect has refuted its suspicion. The crate would otherwise tell it that it is dead, and make it
    /// start a new incarnation, although nothing changed.
    fn suspicion_refuted(&self, timer: &Timer<GatewayIdentity>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return false };
        if seeded_faults::is_active(SeededFault::ContradictedDies) {
            return false;
        }
        let mut known = self.swim.iter_membership_state();
        !known.any(|member| member.id() == member_id && member.incarnation() == *incarnation)
    }

    /// Asks known peers and those in the settings, in turn, to let this gateway join.
    fn request_join(&mut self, now: Micros, most: usize) {
        let met = self.seen.values().map(|seen| (seen.identity.name.clone(), seen.identity.address));
        let mut known = self.seeds.clone();
        known.extend(met);
        for _ in 0..most.min(known.len()) {
            self.asked = self.asked.wrapping_add(1);
            let Some((name, address)) = known.iter().nth(self.asked % known.len()) else { return };
            self.announce(now, name.clone(), *address);
        }
    }

    /// Peers that this gateway suspects and will declare dead, with the suspected incarnation.
    pub fn suspected_peers(&self) -> Vec<(GatewayIdentity, u16)> {
        let accused = self.timers.values().filter_map(|(timer, _)| match timer {
            Timer::ChangeSuspectToDown { member_id, incarnation, .. } => {
                Some((member_id.clone(), *incarnation))
            }
            _ => None,
        });
        let suspected = |(fellow, incarnation): &(GatewayIdentity, u16)| {
            let seen = self.seen.get(&fellow.name);
            seen.is_some_and(|seen| seen.identity == *fellow && seen.incarnation <= *incarnation)
        };
        accused.filter(suspected).collect()
    }

    /// Handles a direct accusation: refutes it at once, to the accuser first. Without it, a lost gossip message could
    /// cause a wrong death.
    pub fn on_accusation(&mut self, now: Micros, accuser: &GatewayIdentity, life: u64, incarnation: u16) {
        if self.yields || life != self.me().life {
            return;
        }
        let suspected = foca::Member::new(self.me().clone(), incarnation, foca::State::Suspect);
        self.call_foca(now, |swim, runtime| swim.apply_many(std::iter::once(suspected), true, runtime));
        let accuser = accuser.clone();
        self.call_foca(now, |swim, runtime| swim.announce(accuser, runtime));
    }

    /// Contacts a peer in the settings that is not known to be alive. Joins two groups that started separately, none
    /// of whose gateways is isolated.
    fn contact_unknown_peer(&mut self, now: Micros) {
        let lives = |name: &str| self.seen.get(name).is_some_and(|seen| seen.standing != PeerStatus::Down);
        let missing: Vec<_> = self.seeds.iter().filter(|(name, _)| !lives(name)).collect();
        if missing.is_empty() {
            return;
        }
        self.asked = self.asked.wrapping_add(1);
        let (name, address) = missing[self.asked % missing.len()];
        let (name, address) = (name.clone(), *address);
        self.announce(now, name, address);
    }

    /// An announcement is accepted by any incarnation of the name.
    fn announce(&mut self, now: Micros, name: String, address: SocketAddr) {
        let to = GatewayIdentity { name, address, zone: 0, region: 0, life: 0, tag: 0 };
        self.call_foca(now, |swim, runtime| swim.announce(to, runtime));
    }

    /// Gossips faster while many changes are pending. Otherwise hundreds of gateways that start together would need
    /// half a minute to know each other, since a datagram names only a few.
    pub fn gossip_faster(&mut self, now: Micros) {
        if self.yields {
            return;
        }
        for _ in 0..(self.swim.updates_backlog() / CHANGES_PER_ROUND).min(MAX_EXTRA_ROUNDS) {
            self.call_foca(now, |swim, runtime| swim.gossip(runtime));
        }
        // Each change is passed on only a few times, at first to the few known peers. So a gateway that learns of
        // many new ones asks live peers whom they know.
        let since = now.saturating_sub(self.learned.0);
        if since > 2 * LEARNED_WINDOW || self.learned.1.max(self.learned.2) < LEARNED_THRESHOLD {
            return;
        }
        for _ in 0..2 {
            self.asked = self.asked.wrapping_add(1);
            let count = self.alive().count().max(1);
            let Some(one) = self.alive().nth(self.asked.wrapping_mul(CONTACT_STEP) % count) else { return };
            let one = one.identity.clone();
            self.call_foca(now, |swim, runtime| swim.announce(one, runtime));
        }
    }

    /// Announces that this gateway leaves.
    pub fn leave(&mut self, now: Micros) {
        if !self.yields {
            self.call_foca(now, |swim, runtime| swim.leave_cluster(runtime));
        }
    }

    /// Calls `foca` and applies its output. Its errors concern invalid input or obsolete timers and change nothing.
    fn call_foca(
        &mut self,
        now: Micros,
        call: impl FnOnce(&mut Swim, &mut AccumulatingRuntime<GatewayIdentity>) -> Result<(), foca::Error>,
    ) {
        let mut runtime = AccumulatingRuntime::new();
        let _ = call(&mut self.swim, &mut runtime);
        while let Some((to, body)) = runtime.to_send() {
            self.outgoing.push((self.address_of(&to), body.to_vec()));
        }
        while let Some((delay, timer)) = runtime.to_schedule() {
            if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
                self.health.on_probe(false);
                let me = self.me().name.clone();
                self.record_suspicion(now, member_id, *incarnation, foca::State::Suspect, &me);
            }
            self.schedule_timer(now, timer, delay.as_micros() as Micros);
        }
        while let Some(news) = runtime.to_notify() {
            self.on_notification(now, news);
        }
    }

    /// Schedules a timer. Suspicion timers are longer in bad health and for other regions.
    fn schedule_timer(&mut self, now: Micros, timer: Timer<GatewayIdentity>, delay: Micros) {
        let stretched = match &timer {
            Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => self.health.scale(delay),
            Timer::ChangeSuspectToDown { member_id, .. } => {
                let far = if member_id.region == self.me().region {
                    1
                } else {
                    Micros::from(self.config.remote_region_factor)
                };
                self.health.scale(delay * far)
            }
            _ => delay,
        };
        self.count += 1;
        self.timers.insert((now + stretched.max(1), self.count), (timer, delay));
    }

    fn on_notification(&mut self, now: Micros, news: OwnedNotification<GatewayIdentity>) {
        let mut stands = |fellow: &GatewayIdentity, standing| {
            let seen = PeerState {
                identity: fellow.clone(),
                standing,
                incarnation: 0,
                since: now,
                suspected_by: BTreeSet::new(),
            };
            self.seen.insert(fellow.name.clone(), seen);
        };
        match news {
            OwnedNotification::MemberUp(fellow) => {
                stands(&fellow, PeerStatus::Alive);
                if now > self.learned.0 + LEARNED_WINDOW {
                    self.learned = (now, 0, self.learned.1);
                }
                self.learned.1 += 1;
                self.events.push(MembershipEvent::Up(fellow));
            }
            OwnedNotification::MemberDown(fellow) => {
                stands(&fellow, PeerStatus::Down);
                self.events.push(MembershipEvent::Down(fellow));
            }
            OwnedNotification::Rename(_, fellow) => {
                if let Some(seen) = self.seen.get_mut(&fellow.name) {
                    // Whether that incarnation is down is reported separately; suspicions of the previous one are void.
                    (seen.identity, seen.incarnation) = (fellow, 0);
                    seen.suspected_by.clear();
                    if seen.standing == PeerStatus::Suspect {
                        (seen.standing, seen.since) = (PeerStatus::Alive, now);
                    }
                }
            }
            OwnedNotification::Rejoin(fellow) => self.events.push(MembershipEvent::Renewed(fellow.life)),
            _ => {}
        }
    }
}
