//! The thread's state and its rounds.

use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use arc_swap::ArcSwap;
use calloop::channel::{Channel, Event, Sender, channel};
use calloop::generic::Generic;
use calloop::ping::{Ping, PingSource};
use calloop::{EventLoop, Interest, Mode, PostAction};
use tansyjunction::interface::Micros;
use tansyjunction_council::{
    ConsensusConfig as Sitting, ConsensusError, ConsensusMember, MemberEvent, ProposalError, store,
};
use tansyjunction_duties::*;
use tansyjunction_fellows::seal::{Keys, Seals};
use tansyjunction_settings::Council as Set;
use tracing::{debug, error, info, warn};

use super::conduct::{Conducted, Work};
use super::words::Waiting;
use super::{Facts, Order, Scouts, Told, read_keys};
use crate::run::clock::{boottime, monotonic};

/// Datagrams that are read before what is due has its turn.
const TURN: usize = 256;
/// Longest datagram of any kind, and the part of it that is for the message itself.
const DATAGRAM: usize = 65_536;
const BODY: usize = 60_000;
/// A datagram that was on its way for longer is of no use to anybody. Nothing goes wrong by one that is old.
const OLD_AFTER: Micros = 10_000_000;
/// A round that comes later than it was to come by this part of a time means that the process stood still for that.
const PAUSE_PART: Micros = 2;
/// A gateway whose other thread has told nothing for so many beats of its own is not well.
const BEATS_MOST: Micros = 8;
const ILL: u8 = 8;
/// After SIGTERM: until when duties are handed on and the gateway has left, or not.
const LEAVES_WITHIN: Micros = 3_000_000;
/// Rounds of proposing and applying before the socket has its turn again.
const ROUNDS: usize = 4;

/// What the thread starts with.
pub struct Opening {
    pub me: String,
    pub zone: String,
    pub life: u64,
    pub seed: u64,
    pub set: Set,
    pub terms: LeaseConfig,
    pub keys: Keys,
    pub key_file: PathBuf,
    pub socket: UdpSocket,
    pub told: Arc<ArcSwap<Told>>,
    pub scouts: Arc<ArcSwap<Scouts>>,
    pub facts: Arc<ArcSwap<Facts>>,
    pub agreed: Ping,
}

/// What a proposal of this gateway was for.
pub(super) enum Ticket {
    Renewal,
    /// A step of a shard's change.
    Step(u32),
    /// Answered when decided.
    Word(Waiting),
    /// A duty given back or handed on, and the last word of a gateway that leaves.
    Parting,
    /// What a seat found due.
    Due,
    /// A duty of a group.
    Opening(String),
}

pub struct Member {
    pub(super) me: String,
    zone: String,
    pub(super) set: Set,
    terms: LeaseConfig,
    pub(super) council: ConsensusMember<SharedState>,
    pub(super) holder: LeaseHolder,
    pub(super) grantor: Option<LeaseGrantor>,
    seals: Seals,
    key_file: PathBuf,
    socket: UdpSocket,
    /// Where seats are reached, and where others were heard from last.
    routes: BTreeMap<String, SocketAddr>,
    seed: u64,
    told: Arc<ArcSwap<Told>>,
    pub(super) scouts: Arc<ArcSwap<Scouts>>,
    facts: Arc<ArcSwap<Facts>>,
    agreed: Ping,
    pub(super) tickets: BTreeMap<u64, Ticket>,
    pub(super) works: BTreeMap<u32, Work>,
    pub(super) conducted: Sender<Conducted>,
    /// Scouts' duties that were proposed from here, and how many probes each one that is held was told to have done.
    pub(super) opened: BTreeSet<String>,
    pub(super) probes: BTreeMap<String, u64>,
    /// Duties held by a lease that was told in the log, with their epochs.
    granted: BTreeMap<String, u64>,
    /// [`Told::newest`] that the other thread was told.
    newest: u64,
    /// The council that it was of.
    of: u64,
    /// Renewals are asked at once: what this gateway says has changed.
    says_anew: bool,
    said: BTreeMap<String, String>,
    /// Since when it leaves, and whether its last word is out, and decided.
    leaves: Option<Micros>,
    last_word: Option<u64>,
    left: bool,
    /// The other thread needs this one no longer.
    over: bool,
    /// Why the seat stopped, once it has.
    pub(super) broken: Option<ConsensusError>,
    pub(super) refused: u64,
    pub(super) slowest: Micros,
    due: Micros,
}

/// Runs until the other thread needs it no longer; `left` is told once the gateway has left.
pub fn run(opening: Opening, orders: Channel<Order>, woken: PingSource, left: &SyncSender<()>) {
    if let Err(message) = Member::begin(opening, orders, woken, left) {
        let mono = monotonic();
        error!(target: "council", what = "stopped", mono, "the council's part of this gateway has stopped: {message}");
    }
}

impl Member {
    fn begin(
        opening: Opening,
        orders: Channel<Order>,
        woken: PingSource,
        left: &SyncSender<()>,
    ) -> Result<(), String> {
        let said = |error: &dyn std::fmt::Display| error.to_string();
        let mut events: EventLoop<Member> = EventLoop::try_new().map_err(|error| said(&error))?;
        let handle = events.handle();
        let socket = opening.socket.try_clone().map_err(|error| said(&error))?;
        let source = Generic::new(socket, Interest::READ, Mode::Level);
        let ready = |_, _: &mut _, member: &mut Member| {
            member.ready();
            Ok(PostAction::Continue)
        };
        handle.insert_source(source, ready).map_err(|error| said(&error.error))?;
        let ordered = |event: Event<Order>, _: &mut (), member: &mut Member| match event {
            Event::Msg(order) => member.ordered(order),
            Event::Closed => member.over = true,
        };
        handle.insert_source(orders, ordered).map_err(|error| said(&error.error))?;
        handle.insert_source(woken, |(), _, _| {}).map_err(|error| said(&error.error))?;
        let (conducted, ends) = channel();
        let ended = |event: Event<Conducted>, _: &mut (), member: &mut Member| {
            if let Event::Msg(conducted) = event {
                member.switched(conducted);
            }
        };
        handle.insert_source(ends, ended).map_err(|error| said(&error.error))?;
        let mut member = Member::new(opening, conducted)?;
        let mut before = boottime();
        // A seat that has left votes on as long as the process lasts.
        while !member.over {
            let wait = member.due.saturating_sub(boottime());
            let round = events.dispatch(Duration::from_micros(wait), &mut member);
            round.map_err(|error| said(&error))?;
            let now = boottime();
            member.stood_still(now, now.saturating_sub(before + wait));
            member.settle();
            before = boottime();
            member.slowest = member.slowest.max(before - now);
            if std::mem::take(&mut member.left) {
                let _ = left.try_send(());
            }
        }
        Ok(())
    }

    fn new(opening: Opening, conducted: Sender<Conducted>) -> Result<Member, String> {
        let Opening { me, zone, life, seed, set, terms, keys, key_file, socket, .. } = opening;
        let sitting = sitting(&set);
        let mut broken = None;
        // Here, not where commands are served: a disk that syncs slowly must not keep a gateway from serving. One
        // whose store is of no use follows the others.
        let council = match set.store.as_ref().map(|dir| store::open(dir)) {
            Some(Ok((disk, aside))) => {
                if let Some((path, fault)) = aside {
                    let (path, remedy) = (path.display().to_string(), fault.remedy());
                    error!(
                        target: "council", what = "disk", mono = monotonic(), path, remedy,
                        "the store was set aside: {fault}"
                    );
                }
                ConsensusMember::seat(boottime(), &me, sitting.clone(), Box::new(disk), seed)
                    .map_err(|fault| broken = Some(fault))
                    .ok()
            }
            Some(Err(fault)) => {
                broken = Some(fault);
                None
            }
            None => None,
        };
        if let Some(fault) = &broken {
            let (mono, remedy) = (monotonic(), fault.remedy());
            error!(target: "council", what = "disk", mono, remedy, "this seat can't sit, and follows: {fault}");
        }
        let now = boottime();
        let grantor = council.as_ref().map(|_| LeaseGrantor::new(terms.clone()));
        let council = council.unwrap_or_else(|| ConsensusMember::follower(now, &me, sitting, seed));
        let seals = Seals::new(keys, &me, life, now, OLD_AFTER);
        let routes = set.addresses.iter().cloned().collect();
        info!(target: "council", what = "begins", mono = monotonic(), life, seat = grantor.is_some(), "takes part as {me}");
        Ok(Member {
            holder: LeaseHolder::new(&me, life, terms.clone()),
            me,
            zone,
            set,
            terms,
            council,
            grantor,
            seals,
            key_file,
            socket,
            routes,
            seed,
            told: opening.told,
            scouts: opening.scouts,
            facts: opening.facts,
            agreed: opening.agreed,
            tickets: BTreeMap::new(),
            works: BTreeMap::new(),
            conducted,
            opened: BTreeSet::new(),
            probes: BTreeMap::new(),
            granted: BTreeMap::new(),
            newest: 0,
            of: 0,
            says_anew: false,
            said: BTreeMap::new(),
            leaves: None,
            last_word: None,
            left: false,
            over: false,
            broken,
            refused: 0,
            slowest: 0,
            due: now,
        })
    }

    pub(super) fn leaves(&self) -> bool {
        self.leaves.is_some()
    }

    pub(super) fn register(&self) -> &SharedState {
        self.council.state()
    }

    pub(super) fn facts(&self) -> Arc<Facts> {
        self.facts.load_full()
    }

    pub(super) fn propose(&mut self, entry: Entry, ticket: Ticket) -> u64 {
        let number = self.council.propose(boottime(), entry);
        self.tickets.insert(number, ticket);
        number
    }

    // --- The socket ---

    fn ready(&mut self) {
        let mut bytes = vec![0; DATAGRAM];
        for _ in 0..TURN {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, from)) => self.heard(from, &bytes[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                // A refused datagram of before: whoever it was for is not there.
                Err(_) => {}
            }
        }
    }

    fn heard(&mut self, from: SocketAddr, bytes: &[u8]) {
        let now = boottime();
        let opened = match self.seals.open(now, bytes) {
            Ok((head, body, _)) => addressed(body, &self.me).map(|body| (head.from, body)),
            Err(_) => None,
        };
        let Some((name, body)) = opened else {
            self.refused += 1;
            return;
        };
        if !self.set.seats.contains(&name) {
            self.routes.insert(name.clone(), from);
        }
        self.council.receive(now, &name, body);
    }

    fn send(&mut self) {
        for (to, body) in self.council.take_messages() {
            let Some(address) = self.routes.get(&to).copied() else { continue };
            let mut whole = Vec::with_capacity(to.len() + 1 + body.len());
            whole.push(to.len().min(usize::from(u8::MAX)) as u8);
            whole.extend_from_slice(to.as_bytes());
            whole.extend_from_slice(&body);
            let bytes = self.seals.seal(boottime(), &whole);
            // What the socket does not take is lost, as datagrams are.
            let _ = self.socket.send_to(&bytes, address);
        }
    }

    // --- Rounds ---

    /// This round comes so late: what was due meanwhile starts anew. Guards against seats that, as they wake, take
    /// all others for lost whose words still lie in the socket. That what ran out is not acted on needs no such care:
    /// each use of a lease looks at the clock.
    fn stood_still(&mut self, now: Micros, late: Micros) {
        if late > self.set.elect_after / PAUSE_PART {
            self.council.restart_timers(now);
        }
        if late > self.set.lease / PAUSE_PART {
            let ms = late / 1_000;
            warn!(target: "council", what = "paused", mono = monotonic(), ms, "this thread stood still");
            if let Some(grantor) = &mut self.grantor {
                grantor.restart_timers(now);
            }
            self.tell_ends();
        }
    }

    fn settle(&mut self) {
        self.tell_ends();
        if self.facts.load().leaves {
            self.leave();
        }
        for _ in 0..ROUNDS {
            self.advance();
            let proposed = self.tickets.len();
            self.renew();
            self.grant();
            self.conduct();
            self.scout();
            if self.tickets.len() == proposed {
                break;
            }
        }
        self.advance();
        self.tell_ends();
        self.leaving();
        self.send();
        self.tell_scouts();
        self.tell_agreed();
        self.due = self.next();
    }

    /// Has the council do what is due, and takes up what it decided.
    fn advance(&mut self) {
        if let Err(fault) = self.council.process(boottime()) {
            self.stop_sitting(fault);
        }
        let applied = self.council.take_applied();
        if let Some(grantor) = &mut self.grantor {
            let now = boottime();
            for (_, entry, _) in &applied {
                grantor.on_applied(now, self.council.state(), entry);
            }
        }
        for (number, outcome) in self.council.take_decided() {
            self.decided(number, outcome);
        }
        let mono = monotonic();
        for news in self.council.take_events() {
            match news {
                MemberEvent::BecameLeader { term } => {
                    info!(target: "council", what = "leads", mono, term, "this seat leads the council");
                }
                MemberEvent::FollowsLeader { leader, term } => {
                    let leader = leader.unwrap_or_default();
                    info!(target: "council", what = "follows", mono, term, leader, "this gateway follows");
                }
                MemberEvent::NotMember => {
                    warn!(target: "council", what = "stranger", mono, "this seat's store is new: it waits to be seated");
                }
                MemberEvent::MemberAdded { name, votes } => {
                    info!(target: "council", what = "seated", mono, name, votes, "a seat is taken");
                }
                MemberEvent::MemberRemoved { name } => {
                    warn!(target: "council", what = "unseated", mono, name, "a seat is given up");
                }
                MemberEvent::DiskReplaced => {
                    warn!(target: "council", what = "disk", mono, "the store was replaced while this seat was away");
                }
                MemberEvent::ForeignCluster { from, council } => {
                    error!(target: "council", what = "other", mono, from, council, "a gateway is of another council");
                }
            }
        }
    }

    /// The seat can't go on: its store is not touched again, and the gateway follows the others from now on.
    fn stop_sitting(&mut self, fault: ConsensusError) {
        let (mono, remedy) = (monotonic(), fault.remedy());
        error!(target: "council", what = "disk", mono, remedy, "this seat has stopped: {fault}");
        self.broken = Some(fault);
        self.grantor = None;
        let now = boottime();
        self.council = ConsensusMember::follower(now, &self.me, sitting(&self.set), self.seed ^ now);
        for (_, ticket) in std::mem::take(&mut self.tickets) {
            self.undecided(ticket);
        }
    }

    fn decided(&mut self, number: u64, outcome: Result<(u64, Outcome), ProposalError>) {
        if self.last_word == Some(number) {
            self.left = true;
            // Guards against an election at each planned restart of the leading seat, in which no lease is renewed.
            self.council.transfer_leadership();
        }
        match (self.tickets.remove(&number), outcome) {
            (Some(Ticket::Renewal), Ok((_, outcome))) => {
                self.holder.on_outcome(boottime(), &outcome);
                self.renewed(&outcome);
            }
            (Some(Ticket::Step(shard)), Ok((index, outcome))) => self.stepped(shard, index, &outcome),
            (Some(Ticket::Word(waiting)), outcome) => waiting.decided(self.register(), outcome),
            (Some(Ticket::Parting), Ok((index, outcome))) => {
                debug!(target: "council", what = "parted", mono = monotonic(), index, ?outcome, "decided");
            }
            (Some(ticket), Err(_)) => self.undecided(ticket),
            _ => {}
        }
    }

    fn undecided(&mut self, ticket: Ticket) {
        match ticket {
            Ticket::Step(shard) => {
                if let Some(work) = self.works.get_mut(&shard) {
                    work.proposed = false;
                }
            }
            Ticket::Word(waiting) => waiting.decided(self.register(), Err(ProposalError::Timeout)),
            Ticket::Opening(duty) => drop(self.opened.remove(&duty)),
            _ => {}
        }
    }

    // --- Leases ---

    fn renewed(&mut self, outcome: &Outcome) {
        self.tell_ends();
        let Outcome::Renewed(all) = outcome else { return };
        for renewed in all.iter().filter(|renewed| renewed.gateway == self.me) {
            if let Err(refused) = &renewed.attends {
                let (mono, remedy) = (monotonic(), refused.remedy());
                debug!(target: "council", what = "renewed-late", mono, remedy, "no attendance yet: {refused}");
            }
        }
    }

    /// Tells of leases that have ended, and gives back what was taken away.
    fn tell_ends(&mut self) {
        let now = boottime();
        for ended in self.holder.take_ended(now) {
            let (mono, duty, epoch) = (monotonic(), &ended.duty, ended.epoch);
            match ended.why {
                LeaseEndReason::RanOut => {
                    let until = self.holder.until(duty).map_or(mono, |until| in_mono(now, until));
                    warn!(target: "council", what = "lapsed", mono, duty, epoch, until, "a duty's lease has run out");
                }
                LeaseEndReason::TakenAway => {
                    warn!(target: "council", what = "revoked", mono, duty, epoch, "a duty was taken away");
                }
                LeaseEndReason::Stopped => {
                    info!(target: "council", what = "ended", mono, duty, epoch, "this gateway acts for it no more");
                }
            }
            // A renewal that comes late may bring it back at the same epoch, perhaps before this end was told.
            self.granted.remove(duty);
            if let Some(entry) = LeaseHolder::release_after(&ended) {
                self.propose(entry, Ticket::Parting);
            }
        }
        self.tell_begun();
    }

    /// Tells of leases that have begun, or have come back by a renewal that was decided late.
    fn tell_begun(&mut self) {
        let now = boottime();
        for (duty, epoch, until) in self.holder.duties(now) {
            if self.granted.get(duty) == Some(&epoch) {
                continue;
            }
            self.granted.insert(duty.into(), epoch);
            let (mono, until) = (monotonic(), in_mono(now, until));
            info!(target: "council", what = "granted", mono, duty, epoch, until, "this gateway holds a duty");
        }
    }

    /// Asks for a renewal if one is due.
    fn renew(&mut self) {
        let facts = self.facts();
        let says: BTreeMap<String, String> = facts
            .planned
            .iter()
            .filter_map(|(shard, planned)| planned.word.as_ref().map(|word| word.to_entry(*shard)))
            .collect();
        // What others wait for is told at once, not with the next beat.
        self.says_anew |= says != self.said;
        let now = boottime();
        if self.last_word.is_some() || !(self.holder.due(now, self.register()) || self.says_anew) {
            return;
        }
        let deaf = now > facts.at + BEATS_MOST * (self.set.attend_every / 2);
        self.said.clone_from(&says);
        self.says_anew = false;
        let own = GatewayReport {
            taken: facts.taken,
            zone: self.zone.clone(),
            health: if deaf { ILL } else { facts.health },
            room: if self.leaves.is_some() { 0 } else { facts.room },
            says,
        };
        let now = boottime();
        let renewal = self.holder.create_renewal(now, self.council.state(), own);
        self.propose(Entry::Renewals(vec![renewal]), Ticket::Renewal);
    }

    /// At a seat: proposes what has run out, who is next.
    fn grant(&mut self) {
        let Some(grantor) = &mut self.grantor else { return };
        let suspected: BTreeSet<String> = self.facts.load().suspected.iter().cloned().collect();
        let evidence = ElectionEvidence {
            is_leader: self.council.is_leader(),
            suspected,
            ..ElectionEvidence::default()
        };
        for entry in grantor.due_proposals(boottime(), self.council.state(), &evidence) {
            let mono = monotonic();
            match &entry {
                Entry::Expire { duty, epoch, .. } => {
                    info!(target: "council", what = "expires", mono, duty, epoch, "a lease is over by this seat's clock");
                }
                Entry::Revoke { duty, epoch, why, .. } => {
                    let why = format!("{why:?}").to_lowercase();
                    warn!(target: "council", what = "revokes", mono, duty, epoch, why, "a duty is to be taken away");
                }
                Entry::Grant { duty, after_epoch, to } => {
                    let epoch = after_epoch + 1;
                    info!(target: "council", what = "grants", mono, duty, epoch, to, "a duty is to be given");
                }
                Entry::Absent { gateway, .. } => {
                    info!(target: "council", what = "absent", mono, gateway, "a gateway is to be counted out");
                }
                _ => {}
            }
            self.propose(entry, Ticket::Due);
        }
    }

    // --- The end ---

    fn ordered(&mut self, order: Order) {
        match order {
            Order::Answer(asked) => self.asked(asked),
            Order::Rekey => match read_keys(&self.key_file) {
                Ok(keys) => self.seals.rekey(keys),
                Err(message) => error!(target: "council", "the keys stay as they were: {message}"),
            },
        }
    }

    fn leave(&mut self) {
        if self.leaves.is_none() {
            self.leaves = Some(boottime());
            info!(target: "council", what = "leaves", mono = monotonic(), "duties are handed on");
        }
    }

    /// Hands on what is held, each to the gateway that an election would choose, then says that it leaves.
    fn leaving(&mut self) {
        let Some(since) = self.leaves else { return };
        let now = boottime();
        if self.last_word.is_some() {
            return;
        }
        if now > since + LEAVES_WITHIN {
            self.last_word = Some(0);
            self.left = true;
            return;
        }
        let held: Vec<(String, u64)> =
            self.holder.duties(now).map(|(duty, epoch, _)| (duty.into(), epoch)).collect();
        for (duty, epoch) in held {
            // An effect that is under way ends first: nothing of this epoch is done once the next one holds it.
            if self.telling(&duty) {
                continue;
            }
            let next = self.next_holder(&duty);
            let entry = match &next {
                Some(to) => self.holder.hand_over(now, &duty, to),
                None => self.holder.release(now, &duty, GivenBack::Leaves),
            };
            let Some(entry) = entry else { continue };
            let (mono, to) = (monotonic(), next.unwrap_or_default());
            info!(target: "council", what = "handed-on", mono, duty, epoch, to, "a duty is handed on");
            self.propose(entry, Ticket::Parting);
        }
        self.tell_ends();
        let parting = self.tickets.values().any(|ticket| matches!(ticket, Ticket::Parting));
        let holds = self.holder.duties(now).next().is_some();
        if !parting && !holds {
            let entry = self.holder.leave(now);
            self.last_word = Some(self.propose(entry, Ticket::Parting));
        }
        if let Err(fault) = self.council.process(boottime()) {
            self.stop_sitting(fault);
        }
    }

    /// Who would be chosen if the duty were vacant and this gateway not there.
    fn next_holder(&self, duty: &str) -> Option<String> {
        let mut register = self.register().clone();
        let stands = register.duties.get_mut(duty)?;
        stands.holder = None;
        stands.standing = Standing::Vacant { since: 0, why: Vacated::New };
        register.attending.remove(&self.me);
        let suspected = self.facts().suspected.iter().cloned().collect();
        elect(&register, &ElectionEvidence { suspected, ..ElectionEvidence::default() }, duty).ok()
    }

    // --- The other thread ---

    /// Tells the other thread of documents that have changed.
    fn tell_agreed(&mut self) {
        let newest = self.register().newest;
        if newest == self.newest || !self.register().is_complete() || self.register().index == 0 {
            return;
        }
        // Never back to less, unless in another council: a gateway that lost its seat knows nothing at first.
        let council = self.council.status().council;
        if newest < self.newest && council == self.of {
            return;
        }
        self.of = council;
        let before = self.told.load_full();
        let register = self.register();
        let shards = register.documents.keys().filter(|name| name.starts_with("plan/"));
        let plans: BTreeMap<u32, Plan> = shards
            .filter_map(|name| shard_of(name))
            .filter_map(|shard| Plan::read(register, shard).map(|(plan, _)| (shard, plan)))
            .collect();
        for (shard, plan) in plans.iter().filter(|(shard, plan)| before.plans.get(shard) != Some(plan)) {
            let version =
                register.documents.get(&plan_document_of(*shard)).map_or(0, |document| document.version);
            let (mono, step, epoch, to) =
                (monotonic(), format!("{:?}", plan.step).to_lowercase(), plan.epoch, &plan.to);
            info!(
                target: "council", what = "document", mono, name = plan_document_of(*shard), version, step, to, epoch,
                number = plan.number, why = plan.why, "a change of primary goes on"
            );
        }
        self.newest = newest;
        self.told.store(Arc::new(Told { newest, plans }));
        self.agreed.ping();
    }

    fn next(&self) -> Micros {
        let now = boottime();
        let waits = self.works.values().filter_map(Work::next);
        let ends = self.holder.next_end(now);
        let grants = self.grantor.as_ref().and_then(|grantor| grantor.next_due(now));
        // What was granted and is not renewed yet is asked for a little after the last renewal.
        let granted = self.register().held_by(&self.me, self.holder.life());
        let soon = granted.into_iter().any(|(duty, epoch)| self.granted.get(duty) != Some(&epoch));
        let soon = soon.then(|| now + self.terms.renew_interval / 10);
        let leaves =
            self.leaves.filter(|_| self.last_word.is_none()).map(|_| now + self.terms.renew_interval / 10);
        let all =
            [Some(self.council.next_due()), Some(self.holder.next_renewal()), ends, grants, soon, leaves];
        all.into_iter().flatten().chain(waits).min().unwrap_or(now).max(now + 200)
    }
}

fn sitting(set: &Set) -> Sitting {
    Sitting {
        seats: set.seats.clone(),
        heartbeat_interval: set.beat,
        election_timeout: set.elect_after,
        retry_interval: set.ask_every,
        proposal_timeout: 2 * set.lease,
        compact_after: set.compact_after,
        max_message_bytes: BODY,
        ..Sitting::default()
    }
}

/// The message in what is for this gateway; None: it is for another one. Guards against what is sealed for one seat and
/// played to another.
fn addressed<'a>(whole: &'a [u8], me: &str) -> Option<&'a [u8]> {
    let (length, rest) = whole.split_first()?;
    let (to, body) = rest.split_at_checked(usize::from(*length))?;
    (to == me.as_bytes()).then_some(body)
}

/// A time of the clock of leases as one of the log's clock.
pub(super) fn in_mono(now: Micros, at: Micros) -> Micros {
    (monotonic() + at).saturating_sub(now)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_for_another_gateway_or_cut_short_is_not_heard() {
        assert_eq!(addressed(b"\x02n1body", "n1"), Some(&b"body"[..]));
        assert_eq!(addressed(b"\x02n1", "n1"), Some(&b""[..]));
        for (whole, me) in [(&b"\x02n1body"[..], "n2"), (b"", "n1"), (b"\x09n1", "n1"), (b"\x01n1", "n1")] {
            assert_eq!(addressed(whole, me), None);
        }
    }
}
