//! Which gateways live. Membership is SWIM by the crate foca; here stands what it leaves open: how far this gateway
//! trusts itself, how patient it is with other regions, what it does after a pause, with two gateways under one name,
//! and when it is alone.

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

use crate::health::Health;
use crate::identity::Fellow;
use crate::slips::{self, Slip};

/// Fellows that are asked to look where one did not answer.
const INDIRECT: usize = 3;
/// An answer is awaited for this part of the time between two probes before others are asked to look.
const ANSWER_PART: f64 = 0.4;
/// How often one change is passed on by each: enough for thousands.
const TOLD: u8 = 10;
/// After this many periods without a word from anybody, the likeliest to be broken is this gateway's own network.
const DEAF_AFTER: Micros = 4;
/// A due time missed by so many periods: the process stood still.
const PAUSED_AFTER: Micros = 2;
/// Times that a living rival under the own name is outbid before one of the two yields.
const OUTBID: u32 = 2;
/// Those that are asked at once where this gateway is alone.
const ASKED: usize = 3;
/// Changes that wait to be passed on for each further round of gossip, and the most of these at a time.
const WAITING: usize = 16;
const HASTE: usize = 2;
/// So many that came to be known within this time make it ask for more; and how it walks through those that live.
const CURIOUS_FROM: u32 = 4;
const CURIOUS_FOR: Micros = 5_000_000;
const CURIOUS_STEP: usize = 7_919;
/// Periods between questions to some that are taken to be down, so that a healed cut is noticed.
const DOWN_EVERY: u32 = 3;

/// Figures of the installation. Times are microseconds.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Between two probes.
    pub period: Micros,
    /// From suspicion to death, for one of the own region.
    pub suspect_for: Micros,
    /// So many times longer for one of another region.
    pub far: u32,
    /// Between two rounds of gossip, and how many hear of each.
    pub gossip: Micros,
    pub fanout: usize,
    /// Longest body of a datagram.
    pub most: usize,
    /// Where others are reached from here, by name, if not where they say that they are.
    pub routes: BTreeMap<String, SocketAddr>,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            period: 500_000,
            suspect_for: 2_000_000,
            far: 3,
            gossip: 200_000,
            fanout: 3,
            most: 190,
            routes: BTreeMap::new(),
        }
    }
}

/// How another gateway stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    Alive,
    Suspect,
    Down,
}

/// What is known of another gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    pub fellow: Fellow,
    pub standing: Standing,
    /// The incarnation in which it stands so; it raises that itself when it contradicts a suspicion.
    pub incarnation: u16,
    /// Since when it stands so.
    pub since: Micros,
    /// Who told of suspecting it since it last was well, this gateway's own name included.
    pub suspected_by: BTreeSet<String>,
}

/// What happened, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    Up(Fellow),
    Down(Fellow),
    /// This gateway was taken for dead, or met an earlier life of its own, and goes on as another life.
    Renewed(u64),
    Paused(Micros),
    /// It hears nobody, and accuses nobody for as long.
    Deaf,
    Hears,
    /// Another one lives under its name and keeps it; this one keeps silent from now on.
    Yields(SocketAddr),
}

type Swim = Foca<Fellow, PostcardCodec, Xoshiro256PlusPlus, foca::NoCustomBroadcast>;

pub struct Members {
    swim: Swim,
    figures: Figures,
    health: Health,
    timers: BTreeMap<(Micros, u64), (Timer<Fellow>, Micros)>,
    count: u64,
    seen: BTreeMap<String, Seen>,
    seeds: BTreeMap<String, SocketAddr>,
    asked: usize,
    join_due: Micros,
    deaf: bool,
    /// Since when it counts those that came to be known, how many did since, and in the time before.
    learned: (Micros, u32, u32),
    outbid: u32,
    rival: Option<u64>,
    yields: bool,
    out: Vec<(SocketAddr, Vec<u8>)>,
    news: Vec<News>,
}

impl Members {
    /// `seeds`: names of others and where they may be found; this gateway's own among them does no harm.
    pub fn new(
        now: Micros,
        me: Fellow,
        seeds: Vec<(String, SocketAddr)>,
        figures: Figures,
        seed: u64,
    ) -> Self {
        let micros = Duration::from_micros;
        let count = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        let config = foca::Config {
            probe_period: micros(figures.period),
            probe_rtt: micros((figures.period as f64 * ANSWER_PART) as Micros),
            num_indirect_probes: count(INDIRECT),
            max_transmissions: NonZeroU8::new(TOLD).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: micros(figures.suspect_for),
            remove_down_after: Some(Duration::from_secs(3_600)),
            max_packet_size: count(figures.most),
            notify_down_members: true,
            periodic_announce: Some(PeriodicParams {
                frequency: micros(20 * figures.period),
                num_members: count(1),
            }),
            periodic_announce_to_down_members: Some(PeriodicParams {
                frequency: micros(figures.period) * DOWN_EVERY,
                num_members: count(2),
            }),
            periodic_gossip: Some(PeriodicParams {
                frequency: micros(figures.gossip),
                num_members: count(figures.fanout),
            }),
        };
        let seeds = seeds.into_iter().filter(|(name, _)| *name != me.name).collect();
        let rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        Members {
            swim: Foca::new(me, config, rng, PostcardCodec),
            figures,
            health: Health::new(now),
            timers: BTreeMap::new(),
            count: 0,
            seen: BTreeMap::new(),
            seeds,
            asked: seed as usize,
            join_due: now,
            deaf: false,
            learned: (now, 0, 0),
            outbid: 0,
            rival: None,
            yields: false,
            out: Vec::new(),
            news: Vec::new(),
        }
    }

    pub fn me(&self) -> &Fellow {
        self.swim.identity()
    }

    /// Where another one is sent to: as the settings say, or else as it says itself.
    pub fn reach(&self, to: &Fellow) -> SocketAddr {
        self.figures.routes.get(&to.name).copied().unwrap_or(to.address)
    }

    pub fn health(&self) -> u32 {
        self.health.score()
    }

    /// It has met somebody else under its name who keeps it.
    pub fn yields(&self) -> bool {
        self.yields
    }

    /// All others that were ever met and not forgotten, by name.
    pub fn all(&self) -> impl Iterator<Item = &Seen> {
        self.seen.values()
    }

    /// Those that live, as far as is known.
    pub fn living(&self) -> impl Iterator<Item = &Seen> {
        self.seen.values().filter(|seen| seen.standing != Standing::Down)
    }

    /// Datagrams' bodies to be sent, and where to.
    pub fn take_out(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    pub fn take_news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    /// When [`Members::settle`] is to be called at the latest.
    pub fn next(&self) -> Micros {
        let first = self.timers.keys().next().map_or(Micros::MAX, |(at, _)| *at);
        if self.yields { Micros::MAX } else { first.min(self.join_due) }
    }

    /// The body of a datagram that counts has come.
    pub fn heard(&mut self, now: Micros, body: &[u8]) {
        if self.yields {
            return;
        }
        self.health.hears(now);
        if std::mem::take(&mut self.deaf) {
            self.news.push(News::Hears);
        }
        self.look(now, body);
        if !self.yields {
            self.with(now, |swim, runtime| swim.handle_data(body, runtime));
        }
    }

    /// Sees what a message tells beside what foca makes of it: answers to own probes, who suspects whom, rivals.
    fn look(&mut self, now: Micros, mut body: &[u8]) {
        let mut codec = PostcardCodec;
        let Ok(Header { src, src_incarnation, message, .. }) =
            Codec::<Fellow>::decode_header(&mut codec, &mut body)
        else {
            return;
        };
        if matches!(message, Message::Ack(_) | Message::ForwardedAck { .. }) {
            self.health.probe(true);
        }
        self.rival(now, &src, true);
        self.said_of(now, &src, src_incarnation, foca::State::Alive, "");
        if body.remaining() < 2 {
            return;
        }
        for _ in 0..body.get_u16() {
            let Ok(member) = Codec::<Fellow>::decode_member(&mut codec, &mut body) else { return };
            if member.id().name == self.me().name {
                if *member.id() == *self.me() && member.state() == foca::State::Suspect {
                    self.health.suspected();
                }
                self.rival(now, member.id(), member.state() != foca::State::Down);
            } else {
                self.said_of(now, member.id(), member.incarnation(), member.state(), &src.name);
            }
        }
    }

    /// Keeps who suspects whom beside foca's own state. What is told of an earlier incarnation is over.
    fn said_of(&mut self, now: Micros, of: &Fellow, incarnation: u16, state: foca::State, by: &str) {
        let Some(seen) = self.seen.get_mut(&of.name) else { return };
        if seen.fellow != *of || seen.standing == Standing::Down || incarnation < seen.incarnation {
            return;
        }
        match state {
            foca::State::Suspect => {
                if seen.standing == Standing::Alive {
                    (seen.standing, seen.since) = (Standing::Suspect, now);
                }
                seen.incarnation = incarnation;
                seen.suspected_by.insert(by.into());
            }
            foca::State::Alive if incarnation > seen.incarnation => {
                if seen.standing == Standing::Suspect {
                    (seen.standing, seen.since) = (Standing::Alive, now);
                }
                seen.incarnation = incarnation;
                seen.suspected_by.clear();
            }
            _ => {}
        }
    }

    /// Who wrote the body of a message.
    pub fn sender(mut body: &[u8]) -> Option<Fellow> {
        Codec::<Fellow>::decode_header(&mut PostcardCodec, &mut body).ok().map(|head| head.src)
    }

    /// Another one knows a later life under this gateway's name.
    pub fn later(&mut self, now: Micros, other: &Fellow) {
        if !self.yields {
            self.rival(now, other, true);
        }
    }

    /// Somebody goes by this gateway's name. An earlier life of its own is outbid, even where the clock has jumped
    /// back; so is a stranger's, once. One that bids more again lives: then the higher tag keeps the name.
    fn rival(&mut self, now: Micros, other: &Fellow, lives: bool) {
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
        if self.outbid > OUTBID && other.tag > me.tag && !slips::is(Slip::NobodyYields) {
            self.yields = true;
            self.news.push(News::Yields(other.address));
            return;
        }
        if other.life >= me.life {
            let life = other.life + 1;
            let next = Fellow { life, ..me };
            self.with(now, |swim, runtime| swim.change_identity(next, runtime));
            self.news.push(News::Renewed(life));
        }
    }

    /// Does what is due.
    pub fn settle(&mut self, now: Micros) {
        if self.yields {
            return;
        }
        let overdue = self.timers.keys().next().map_or(0, |(at, _)| now.saturating_sub(*at));
        let paused = overdue > PAUSED_AFTER * self.figures.period && !slips::is(Slip::PausedAccuses);
        if paused {
            self.health.paused();
            self.news.push(News::Paused(overdue));
        }
        let alone = self.living().next().is_none();
        let deaf = !alone
            && !slips::is(Slip::DeafAccuses)
            && self.health.deaf(now, DEAF_AFTER * self.figures.period);
        if deaf && !std::mem::replace(&mut self.deaf, true) {
            self.news.push(News::Deaf);
        }
        let due: Vec<(Micros, u64)> = self.timers.range(..=(now, u64::MAX)).map(|(key, _)| *key).collect();
        let mut taken: Vec<(Timer<Fellow>, Micros)> =
            due.iter().filter_map(|key| self.timers.remove(key)).collect();
        taken.sort_by(|a, b| a.0.cmp(&b.0));
        for (timer, delay) in taken {
            let accuses = matches!(
                timer,
                Timer::ProbeRandomMember(_)
                    | Timer::SendIndirectProbe { .. }
                    | Timer::ChangeSuspectToDown { .. }
            );
            // Guards against a gateway that stood still, or whose own network is broken, and that takes all others for
            // dead: what would accuse them waits anew, and what they say comes first.
            if accuses && (paused || deaf) {
                self.remind(now, timer, delay);
            } else if !self.contradicted(&timer) {
                self.with(now, |swim, runtime| swim.handle_timer(timer, runtime));
            }
        }
        if self.join_due <= now {
            self.join_due = now + self.figures.period;
            if alone || deaf {
                self.join(now, ASKED);
            } else {
                self.meet(now);
            }
        }
    }

    /// Whether one whose time is up has contradicted its suspicion. Guards against what the crate does then: it changes
    /// nothing, and all the same tells that one that it is dead, which then begins another life.
    fn contradicted(&self, timer: &Timer<Fellow>) -> bool {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return false };
        if slips::is(Slip::ContradictedDies) {
            return false;
        }
        let mut known = self.swim.iter_membership_state();
        !known.any(|member| member.id() == member_id && member.incarnation() == *incarnation)
    }

    /// Asks some to be let in: those that were met, and those that the settings name, in turn.
    fn join(&mut self, now: Micros, most: usize) {
        let met = self.seen.values().map(|seen| (seen.fellow.name.clone(), seen.fellow.address));
        let mut known = self.seeds.clone();
        known.extend(met);
        for _ in 0..most.min(known.len()) {
            self.asked = self.asked.wrapping_add(1);
            let Some((name, address)) = known.iter().nth(self.asked % known.len()) else { return };
            self.announce(now, name.clone(), *address);
        }
    }

    /// Those that this gateway suspects and will take for dead, each with the incarnation that it suspects.
    pub fn accused(&self) -> Vec<(Fellow, u16)> {
        let accused = self.timers.values().filter_map(|(timer, _)| match timer {
            Timer::ChangeSuspectToDown { member_id, incarnation, .. } => {
                Some((member_id.clone(), *incarnation))
            }
            _ => None,
        });
        let suspected = |(fellow, incarnation): &(Fellow, u16)| {
            let seen = self.seen.get(&fellow.name);
            seen.is_some_and(|seen| seen.fellow == *fellow && seen.incarnation <= *incarnation)
        };
        accused.filter(suspected).collect()
    }

    /// Another one says to this gateway's face that it suspects it: it speaks up at once, to that one first. Guards
    /// against a death by hearsay where the word of the suspicion, or that against it, gets lost on its way round.
    pub fn accused_by(&mut self, now: Micros, accuser: &Fellow, life: u64, incarnation: u16) {
        if self.yields || life != self.me().life {
            return;
        }
        let suspected = foca::Member::new(self.me().clone(), incarnation, foca::State::Suspect);
        self.with(now, |swim, runtime| swim.apply_many(std::iter::once(suspected), true, runtime));
        let accuser = accuser.clone();
        self.with(now, |swim, runtime| swim.announce(accuser, runtime));
    }

    /// Asks one that the settings name and that is not known to live. Guards against two companies that began apart,
    /// each of several, of which none is alone and none knows any of the other.
    fn meet(&mut self, now: Micros) {
        let lives = |name: &str| self.seen.get(name).is_some_and(|seen| seen.standing != Standing::Down);
        let missing: Vec<_> = self.seeds.iter().filter(|(name, _)| !lives(name)).collect();
        if missing.is_empty() {
            return;
        }
        self.asked = self.asked.wrapping_add(1);
        let (name, address) = missing[self.asked % missing.len()];
        let (name, address) = (name.clone(), *address);
        self.announce(now, name, address);
    }

    /// An announcement is taken by whoever goes by the name, whatever its life.
    fn announce(&mut self, now: Micros, name: String, address: SocketAddr) {
        let to = Fellow { name, address, zone: 0, region: 0, life: 0, tag: 0 };
        self.with(now, |swim, runtime| swim.announce(to, runtime));
    }

    /// Passes changes on sooner while many wait for it. Guards against hundreds that start at once and know each
    /// other only after half a minute, since a datagram names a few.
    pub fn hasten(&mut self, now: Micros) {
        if self.yields {
            return;
        }
        for _ in 0..(self.swim.updates_backlog() / WAITING).min(HASTE) {
            self.with(now, |swim, runtime| swim.gossip(runtime));
        }
        // Each change is passed on a few times only, at first to the few that are known. Whoever hears of many new
        // ones asks those that live whom they know.
        let since = now.saturating_sub(self.learned.0);
        if since > 2 * CURIOUS_FOR || self.learned.1.max(self.learned.2) < CURIOUS_FROM {
            return;
        }
        for _ in 0..2 {
            self.asked = self.asked.wrapping_add(1);
            let count = self.living().count().max(1);
            let Some(one) = self.living().nth(self.asked.wrapping_mul(CURIOUS_STEP) % count) else { return };
            let one = one.fellow.clone();
            self.with(now, |swim, runtime| swim.announce(one, runtime));
        }
    }

    /// Says farewell.
    pub fn leave(&mut self, now: Micros) {
        if !self.yields {
            self.with(now, |swim, runtime| swim.leave_cluster(runtime));
        }
    }

    /// Calls foca and takes in all that it asks for. Its errors tell of what others sent, or of timers out of turn, and
    /// change nothing.
    fn with(
        &mut self,
        now: Micros,
        call: impl FnOnce(&mut Swim, &mut AccumulatingRuntime<Fellow>) -> Result<(), foca::Error>,
    ) {
        let mut runtime = AccumulatingRuntime::new();
        let _ = call(&mut self.swim, &mut runtime);
        while let Some((to, body)) = runtime.to_send() {
            self.out.push((self.reach(&to), body.to_vec()));
        }
        while let Some((delay, timer)) = runtime.to_schedule() {
            if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
                self.health.probe(false);
                let me = self.me().name.clone();
                self.said_of(now, member_id, *incarnation, foca::State::Suspect, &me);
            }
            self.remind(now, timer, delay.as_micros() as Micros);
        }
        while let Some(news) = runtime.to_notify() {
            self.noted(now, news);
        }
    }

    /// Keeps a timer. In bad health all that accuses is slower, and with other regions there is more patience.
    fn remind(&mut self, now: Micros, timer: Timer<Fellow>, delay: Micros) {
        let stretched = match &timer {
            Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => self.health.stretched(delay),
            Timer::ChangeSuspectToDown { member_id, .. } => {
                let far =
                    if member_id.region == self.me().region { 1 } else { Micros::from(self.figures.far) };
                self.health.stretched(delay * far)
            }
            _ => delay,
        };
        self.count += 1;
        self.timers.insert((now + stretched.max(1), self.count), (timer, delay));
    }

    fn noted(&mut self, now: Micros, news: OwnedNotification<Fellow>) {
        let mut stands = |fellow: &Fellow, standing| {
            let seen = Seen {
                fellow: fellow.clone(),
                standing,
                incarnation: 0,
                since: now,
                suspected_by: BTreeSet::new(),
            };
            self.seen.insert(fellow.name.clone(), seen);
        };
        match news {
            OwnedNotification::MemberUp(fellow) => {
                stands(&fellow, Standing::Alive);
                if now > self.learned.0 + CURIOUS_FOR {
                    self.learned = (now, 0, self.learned.1);
                }
                self.learned.1 += 1;
                self.news.push(News::Up(fellow));
            }
            OwnedNotification::MemberDown(fellow) => {
                stands(&fellow, Standing::Down);
                self.news.push(News::Down(fellow));
            }
            OwnedNotification::Rename(_, fellow) => {
                if let Some(seen) = self.seen.get_mut(&fellow.name) {
                    // Whether that life is down is told apart; what was suspected of the one before is over.
                    (seen.fellow, seen.incarnation) = (fellow, 0);
                    seen.suspected_by.clear();
                    if seen.standing == Standing::Suspect {
                        (seen.standing, seen.since) = (Standing::Alive, now);
                    }
                }
            }
            OwnedNotification::Rejoin(fellow) => self.news.push(News::Renewed(fellow.life)),
            _ => {}
        }
    }
}
