//! State and main loop of the consensus thread.

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
use tansyjunction_fellows::seal::{DatagramSealer, Keys};
use tansyjunction_settings::ConsensusSettings as Set;
use tracing::{debug, error, info, warn};

use super::conduct::{ConductedChange, SwitchEnded};
use super::words::PendingRequest;
use super::{AgreedPlans, Facts, ProbingHolders, ThreadCommand, read_keys};
use crate::run::clock::{boottime, monotonic};

/// Most datagrams read before timers are handled.
const DATAGRAMS_PER_TURN: usize = 256;
/// Largest datagram, and largest message body in one.
const MAX_DATAGRAM_BYTES: usize = 65_536;
const MAX_BODY_BYTES: usize = 60_000;
/// Datagrams older than this are dropped. Older ones would be harmless.
const MAX_DATAGRAM_AGE: Micros = 10_000_000;
/// An iteration that is late by this fraction of an interval means that the process was paused.
const PAUSE_DIVISOR: Micros = 2;
/// A gateway whose serving thread has not reported for this many intervals is unhealthy.
const MAX_MISSED_REPORTS: Micros = 8;
const UNHEALTHY: u8 = 8;
/// Time after SIGTERM to hand over duties and leave.
const LEAVE_TIMEOUT: Micros = 3_000_000;
/// Most rounds of proposing and applying before the socket is read again.
const MAX_ROUNDS: usize = 4;

/// Parameters of the thread.
pub struct ThreadConfig {
    pub me: String,
    pub zone: String,
    pub life: u64,
    pub seed: u64,
    pub set: Set,
    pub terms: LeaseConfig,
    pub keys: Keys,
    pub key_file: PathBuf,
    pub socket: UdpSocket,
    pub told: Arc<ArcSwap<AgreedPlans>>,
    pub scouts: Arc<ArcSwap<ProbingHolders>>,
    pub facts: Arc<ArcSwap<Facts>>,
    pub agreed: Ping,
}

/// Purpose of a proposal.
pub(super) enum ProposalPurpose {
    Renewal,
    /// A step of a shard's change of primary.
    Step(u32),
    /// An operator's request, answered once it is decided.
    Request(PendingRequest),
    /// A duty released or handed over, or the final entry of a gateway that leaves.
    Parting,
    /// An entry of the lease grantor.
    Due,
    /// Creation of a group's probing duty.
    Opening(String),
}

/// State of the thread.
pub struct ConsensusThread {
    pub(super) own_name: String,
    zone: String,
    pub(super) settings: Set,
    lease_config: LeaseConfig,
    pub(super) consensus: ConsensusMember<SharedState>,
    pub(super) holder: LeaseHolder,
    pub(super) grantor: Option<LeaseGrantor>,
    seals: DatagramSealer,
    key_file: PathBuf,
    socket: UdpSocket,
    /// Addresses of the configured members, and of others as last seen.
    routes: BTreeMap<String, SocketAddr>,
    seed: u64,
    agreed_plans: Arc<ArcSwap<AgreedPlans>>,
    pub(super) probing_holders: Arc<ArcSwap<ProbingHolders>>,
    facts: Arc<ArcSwap<Facts>>,
    agreed: Ping,
    pub(super) proposals: BTreeMap<u64, ProposalPurpose>,
    pub(super) conducted_changes: BTreeMap<u32, ConductedChange>,
    pub(super) switch_results: Sender<SwitchEnded>,
    /// Probing duties proposed by this gateway, and the progress reported for each held one.
    pub(super) opened: BTreeSet<String>,
    pub(super) probes: BTreeMap<String, u64>,
    /// Held duties whose lease was logged, with their epochs.
    granted: BTreeMap<String, u64>,
    /// The [`AgreedPlans::newest`] last passed to the serving thread.
    newest: u64,
    /// The cluster of that state.
    cluster: u64,
    /// Whether a renewal is sent at once because this gateway's report has changed.
    renew_now: bool,
    last_report: BTreeMap<String, String>,
    /// Since when it leaves; whether the final entry was proposed, and decided.
    leaving_since: Option<Micros>,
    final_proposal: Option<u64>,
    left: bool,
    /// Whether the serving thread has ended this one.
    ended: bool,
    /// Why the member has stopped, if it has.
    pub(super) failure: Option<ConsensusError>,
    pub(super) refused: u64,
    pub(super) slowest: Micros,
    due: Micros,
}

/// Runs until the serving thread ends it. Sends on `left` once the gateway has left.
pub fn run(opening: ThreadConfig, orders: Channel<ThreadCommand>, woken: PingSource, left: &SyncSender<()>) {
    if let Err(message) = ConsensusThread::begin(opening, orders, woken, left) {
        let mono = monotonic();
        error!(target: "council", what = "stopped", mono, "the consensus thread has stopped: {message}");
    }
}

impl ConsensusThread {
    fn begin(
        opening: ThreadConfig,
        orders: Channel<ThreadCommand>,
        woken: PingSource,
        left: &SyncSender<()>,
    ) -> Result<(), String> {
        let said = |error: &dyn std::fmt::Display| error.to_string();
        let mut events: EventLoop<ConsensusThread> = EventLoop::try_new().map_err(|error| said(&error))?;
        let handle = events.handle();
        let socket = opening.socket.try_clone().map_err(|error| said(&error))?;
        let source = Generic::new(socket, Interest::READ, Mode::Level);
        let ready = |_, _: &mut _, member: &mut ConsensusThread| {
            member.ready();
            Ok(PostAction::Continue)
        };
        handle.insert_source(source, ready).map_err(|error| said(&error.error))?;
        let ordered = |event: Event<ThreadCommand>, _: &mut (), member: &mut ConsensusThread| match event {
            Event::Msg(order) => member.on_command(order),
            Event::Closed => member.ended = true,
        };
        handle.insert_source(orders, ordered).map_err(|error| said(&error.error))?;
        handle.insert_source(woken, |(), _, _| {}).map_err(|error| said(&error.error))?;
        let (conducted, ends) = channel();
        let ended = |event: Event<SwitchEnded>, _: &mut (), member: &mut ConsensusThread| {
            if let Event::Msg(conducted) = event {
                member.on_switch_ended(conducted);
            }
        };
        handle.insert_source(ends, ended).map_err(|error| said(&error.error))?;
        let mut member = ConsensusThread::new(opening, conducted)?;
        let mut before = boottime();
        // A member that has left the duties votes until the process ends.
        while !member.ended {
            let wait = member.due.saturating_sub(boottime());
            let round = events.dispatch(Duration::from_micros(wait), &mut member);
            round.map_err(|error| said(&error))?;
            let now = boottime();
            member.restart_timers(now, now.saturating_sub(before + wait));
            member.run_due();
            before = boottime();
            member.slowest = member.slowest.max(before - now);
            if std::mem::take(&mut member.left) {
                let _ = left.try_send(());
            }
        }
        Ok(())
    }

    fn new(opening: ThreadConfig, conducted: Sender<SwitchEnded>) -> Result<ConsensusThread, String> {
        let ThreadConfig { me, zone, life, seed, set, terms, keys, key_file, socket, .. } = opening;
        let sitting = consensus_config(&set);
        let mut broken = None;
        // Opened here, not in the serving thread: a slow disk must not keep the gateway from serving. A gateway with an
        // unusable store is a follower.
        let council = match set.store.as_ref().map(|dir| store::open(dir)) {
            Some(Ok((disk, aside))) => {
                if let Some((path, fault)) = aside {
                    let (path, remedy) = (path.display().to_string(), fault.remedy());
                    error!(
                        target: "council", what = "disk", mono = monotonic(), path, remedy,
                        "the consensus store was moved aside: {fault}"
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
            error!(target: "council", what = "disk", mono, remedy, "this gateway cannot be a voting member and continues as a follower: {fault}");
        }
        let now = boottime();
        let grantor = council.as_ref().map(|_| LeaseGrantor::new(terms.clone()));
        let council = council.unwrap_or_else(|| ConsensusMember::follower(now, &me, sitting, seed));
        let seals = DatagramSealer::new(keys, &me, life, now, MAX_DATAGRAM_AGE);
        let routes = set.addresses.iter().cloned().collect();
        info!(target: "council", what = "begins", mono = monotonic(), life, seat = grantor.is_some(), "consensus started as {me}");
        Ok(ConsensusThread {
            holder: LeaseHolder::new(&me, life, terms.clone()),
            own_name: me,
            zone,
            settings: set,
            lease_config: terms,
            consensus: council,
            grantor,
            seals,
            key_file,
            socket,
            routes,
            seed,
            agreed_plans: opening.told,
            probing_holders: opening.scouts,
            facts: opening.facts,
            agreed: opening.agreed,
            proposals: BTreeMap::new(),
            conducted_changes: BTreeMap::new(),
            switch_results: conducted,
            opened: BTreeSet::new(),
            probes: BTreeMap::new(),
            granted: BTreeMap::new(),
            newest: 0,
            cluster: 0,
            renew_now: false,
            last_report: BTreeMap::new(),
            leaving_since: None,
            final_proposal: None,
            left: false,
            ended: false,
            failure: broken,
            refused: 0,
            slowest: 0,
            due: now,
        })
    }

    pub(super) fn leaves(&self) -> bool {
        self.leaving_since.is_some()
    }

    pub(super) fn register(&self) -> &SharedState {
        self.consensus.state()
    }

    pub(super) fn facts(&self) -> Arc<Facts> {
        self.facts.load_full()
    }

    pub(super) fn propose(&mut self, entry: Entry, ticket: ProposalPurpose) -> u64 {
        let number = self.consensus.propose(boottime(), entry);
        self.proposals.insert(number, ticket);
        number
    }

    // --- The socket ---

    fn ready(&mut self) {
        let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
        for _ in 0..DATAGRAMS_PER_TURN {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, from)) => self.on_datagram(from, &bytes[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                // An earlier datagram was refused: its receiver is not there.
                Err(_) => {}
            }
        }
    }

    fn on_datagram(&mut self, from: SocketAddr, bytes: &[u8]) {
        let now = boottime();
        let opened = match self.seals.open(now, bytes) {
            Ok((head, body, _)) => addressed_message(body, &self.own_name).map(|body| (head.from, body)),
            Err(_) => None,
        };
        let Some((name, body)) = opened else {
            self.refused += 1;
            return;
        };
        if !self.settings.seats.contains(&name) {
            self.routes.insert(name.clone(), from);
        }
        self.consensus.receive(now, &name, body);
    }

    fn send(&mut self) {
        for (to, body) in self.consensus.take_messages() {
            let Some(address) = self.routes.get(&to).copied() else { continue };
            let mut whole = Vec::with_capacity(to.len() + 1 + body.len());
            whole.push(to.len().min(usize::from(u8::MAX)) as u8);
            whole.extend_from_slice(to.as_bytes());
            whole.extend_from_slice(&body);
            let bytes = self.seals.seal(boottime(), &whole);
            // Datagrams that the socket does not accept are lost.
            let _ = self.socket.send_to(&bytes, address);
        }
    }

    // --- Main loop ---

    /// Restarts timers if this iteration is late by `late`. Otherwise members that wake up would consider all others
    /// dead whose messages are still in the socket. Expired leases need no such care: each use of a lease reads the
    /// clock.
    fn restart_timers(&mut self, now: Micros, late: Micros) {
        if late > self.settings.elect_after / PAUSE_DIVISOR {
            self.consensus.restart_timers(now);
        }
        if late > self.settings.lease / PAUSE_DIVISOR {
            let ms = late / 1_000;
            warn!(target: "council", what = "paused", mono = monotonic(), ms, "the consensus thread was paused");
            if let Some(grantor) = &mut self.grantor {
                grantor.restart_timers(now);
            }
            self.log_ended_leases();
        }
    }

    fn run_due(&mut self) {
        self.log_ended_leases();
        if self.facts.load().shutting_down {
            self.leave();
        }
        for _ in 0..MAX_ROUNDS {
            self.run_consensus();
            let proposed = self.proposals.len();
            self.renew();
            self.propose_due();
            self.conduct_changes();
            self.scout();
            if self.proposals.len() == proposed {
                break;
            }
        }
        self.run_consensus();
        self.log_ended_leases();
        self.continue_leaving();
        self.send();
        self.publish_probing_holders();
        self.publish_agreed();
        self.due = self.next_due();
    }

    /// Runs the consensus member and handles its decisions and events.
    fn run_consensus(&mut self) {
        if let Err(fault) = self.consensus.process(boottime()) {
            self.become_follower(fault);
        }
        let applied = self.consensus.take_applied();
        if let Some(grantor) = &mut self.grantor {
            let now = boottime();
            for (_, entry, _) in &applied {
                grantor.on_applied(now, self.consensus.state(), entry);
            }
        }
        for (number, outcome) in self.consensus.take_decided() {
            self.decided(number, outcome);
        }
        let mono = monotonic();
        for news in self.consensus.take_events() {
            match news {
                MemberEvent::BecameLeader { term } => {
                    info!(target: "council", what = "leads", mono, term, "this gateway is now the leader");
                }
                MemberEvent::FollowsLeader { leader, term } => {
                    let leader = leader.unwrap_or_default();
                    info!(target: "council", what = "follows", mono, term, leader, "this gateway follows another leader, or none is known");
                }
                MemberEvent::NotMember => {
                    warn!(target: "council", what = "stranger", mono, "the store is not a member yet; waiting to join");
                }
                MemberEvent::MemberAdded { name, votes } => {
                    info!(target: "council", what = "seated", mono, name, votes, "a member was added");
                }
                MemberEvent::MemberRemoved { name } => {
                    warn!(target: "council", what = "unseated", mono, name, "a member was removed");
                }
                MemberEvent::DiskReplaced => {
                    warn!(target: "council", what = "disk", mono, "the store was replaced while this gateway was away");
                }
                MemberEvent::ForeignCluster { from, council } => {
                    error!(target: "council", what = "other", mono, from, council, "a gateway belongs to another cluster");
                }
            }
        }
    }

    /// The member cannot continue: its store is no longer used, and the gateway becomes a follower.
    fn become_follower(&mut self, fault: ConsensusError) {
        let (mono, remedy) = (monotonic(), fault.remedy());
        error!(target: "council", what = "disk", mono, remedy, "this member has stopped: {fault}");
        self.failure = Some(fault);
        self.grantor = None;
        let now = boottime();
        self.consensus =
            ConsensusMember::follower(now, &self.own_name, consensus_config(&self.settings), self.seed ^ now);
        for (_, ticket) in std::mem::take(&mut self.proposals) {
            self.undecided(ticket);
        }
    }

    fn decided(&mut self, number: u64, outcome: Result<(u64, Outcome), ProposalError>) {
        if self.final_proposal == Some(number) {
            self.left = true;
            // Avoids an election at each planned restart of the leader, during which no lease is renewed.
            self.consensus.transfer_leadership();
        }
        match (self.proposals.remove(&number), outcome) {
            (Some(ProposalPurpose::Renewal), Ok((_, outcome))) => {
                self.holder.on_outcome(boottime(), &outcome);
                self.renewed(&outcome);
            }
            (Some(ProposalPurpose::Step(shard)), Ok((index, outcome))) => {
                self.on_step_decided(shard, index, &outcome)
            }
            (Some(ProposalPurpose::Request(waiting)), outcome) => waiting.decided(self.register(), outcome),
            (Some(ProposalPurpose::Parting), Ok((index, outcome))) => {
                debug!(target: "council", what = "parted", mono = monotonic(), index, ?outcome, "decided");
            }
            (Some(ticket), Err(_)) => self.undecided(ticket),
            _ => {}
        }
    }

    fn undecided(&mut self, ticket: ProposalPurpose) {
        match ticket {
            ProposalPurpose::Step(shard) => {
                if let Some(work) = self.conducted_changes.get_mut(&shard) {
                    work.proposed = false;
                }
            }
            ProposalPurpose::Request(waiting) => waiting.decided(self.register(), Err(ProposalError::InTime)),
            ProposalPurpose::Opening(duty) => drop(self.opened.remove(&duty)),
            _ => {}
        }
    }

    // --- Leases ---

    fn renewed(&mut self, outcome: &Outcome) {
        self.log_ended_leases();
        let Outcome::Renewed(all) = outcome else { return };
        for renewed in all.iter().filter(|renewed| renewed.gateway == self.own_name) {
            if let Err(refused) = &renewed.attends {
                let (mono, remedy) = (monotonic(), refused.remedy());
                debug!(target: "council", what = "renewed-late", mono, remedy, "attendance was not renewed: {refused}");
            }
        }
    }

    /// Logs leases that have ended, and releases revoked duties.
    fn log_ended_leases(&mut self) {
        let now = boottime();
        for ended in self.holder.take_ended(now) {
            let (mono, duty, epoch) = (monotonic(), &ended.duty, ended.epoch);
            match ended.why {
                LeaseEndReason::RanOut => {
                    let until = self.holder.until(duty).map_or(mono, |until| in_mono(now, until));
                    warn!(target: "council", what = "lapsed", mono, duty, epoch, until, "the lease of a duty has expired");
                }
                LeaseEndReason::TakenAway => {
                    warn!(target: "council", what = "revoked", mono, duty, epoch, "a duty was revoked");
                }
                LeaseEndReason::Stopped => {
                    info!(target: "council", what = "ended", mono, duty, epoch, "this gateway has stopped performing a duty");
                }
            }
            // A late renewal may restore it at the same epoch, perhaps before its end was logged.
            self.granted.remove(duty);
            if let Some(entry) = LeaseHolder::release_after(&ended) {
                self.propose(entry, ProposalPurpose::Parting);
            }
        }
        self.log_granted_leases();
    }

    /// Logs leases that have begun, or were restored by a late renewal.
    fn log_granted_leases(&mut self) {
        let now = boottime();
        for (duty, epoch, until) in self.holder.duties(now) {
            if self.granted.get(duty) == Some(&epoch) {
                continue;
            }
            self.granted.insert(duty.into(), epoch);
            let (mono, until) = (monotonic(), in_mono(now, until));
            info!(target: "council", what = "granted", mono, duty, epoch, until, "a duty was granted to this gateway");
        }
    }

    /// Proposes a renewal if one is due.
    fn renew(&mut self) {
        let facts = self.facts();
        let says: BTreeMap<String, String> = facts
            .planned
            .iter()
            .filter_map(|(shard, planned)| planned.word.as_ref().map(|word| word.to_entry(*shard)))
            .collect();
        // A changed report is sent at once, since others wait for it.
        self.renew_now |= says != self.last_report;
        let now = boottime();
        if self.final_proposal.is_some() || !(self.holder.due(now, self.register()) || self.renew_now) {
            return;
        }
        let deaf = now > facts.at + MAX_MISSED_REPORTS * (self.settings.attend_every / 2);
        self.last_report.clone_from(&says);
        self.renew_now = false;
        let own = GatewayReport {
            taken: facts.adopted,
            zone: self.zone.clone(),
            health: if deaf { UNHEALTHY } else { facts.health },
            room: if self.leaving_since.is_some() { 0 } else { facts.room },
            says,
        };
        let now = boottime();
        let renewal = self.holder.create_renewal(now, self.consensus.state(), own);
        self.propose(Entry::Renewals(vec![renewal]), ProposalPurpose::Renewal);
    }

    /// On voting members: proposes expiries, revocations and grants.
    fn propose_due(&mut self) {
        let Some(grantor) = &mut self.grantor else { return };
        let suspected: BTreeSet<String> = self.facts.load().suspected.iter().cloned().collect();
        let evidence = ElectionEvidence {
            is_leader: self.consensus.is_leader(),
            suspected,
            ..ElectionEvidence::default()
        };
        for entry in grantor.due_proposals(boottime(), self.consensus.state(), &evidence) {
            let mono = monotonic();
            match &entry {
                Entry::Expire { duty, epoch, .. } => {
                    info!(target: "council", what = "expires", mono, duty, epoch, "proposing to expire a lease");
                }
                Entry::Revoke { duty, epoch, why, .. } => {
                    let why = format!("{why:?}").to_lowercase();
                    warn!(target: "council", what = "revokes", mono, duty, epoch, why, "proposing to revoke a duty");
                }
                Entry::Grant { duty, after_epoch, to } => {
                    let epoch = after_epoch + 1;
                    info!(target: "council", what = "grants", mono, duty, epoch, to, "proposing to grant a duty");
                }
                Entry::Absent { gateway, .. } => {
                    info!(target: "council", what = "absent", mono, gateway, "proposing to end a gateway's attendance");
                }
                _ => {}
            }
            self.propose(entry, ProposalPurpose::Due);
        }
    }

    // --- Shutdown ---

    fn on_command(&mut self, order: ThreadCommand) {
        match order {
            ThreadCommand::Answer(asked) => self.asked(asked),
            ThreadCommand::Rekey => match read_keys(&self.key_file) {
                Ok(keys) => self.seals.set_keys(keys),
                Err(message) => error!(target: "council", "the key file was not reloaded: {message}"),
            },
        }
    }

    fn leave(&mut self) {
        if self.leaving_since.is_none() {
            self.leaving_since = Some(boottime());
            info!(target: "council", what = "leaves", mono = monotonic(), "shutting down: handing over duties");
        }
    }

    /// Hands over held duties to the gateways that an election would choose, then leaves.
    fn continue_leaving(&mut self) {
        let Some(since) = self.leaving_since else { return };
        let now = boottime();
        if self.final_proposal.is_some() {
            return;
        }
        if now > since + LEAVE_TIMEOUT {
            self.final_proposal = Some(0);
            self.left = true;
            return;
        }
        let held: Vec<(String, u64)> =
            self.holder.duties(now).map(|(duty, epoch, _)| (duty.into(), epoch)).collect();
        for (duty, epoch) in held {
            // A switch in progress ends first: nothing may be done under this epoch once the next one is held.
            if self.switch_in_progress(&duty) {
                continue;
            }
            let next = self.next_holder(&duty);
            let entry = match &next {
                Some(to) => self.holder.hand_over(now, &duty, to),
                None => self.holder.release(now, &duty, GivenBack::Leaves),
            };
            let Some(entry) = entry else { continue };
            let (mono, to) = (monotonic(), next.unwrap_or_default());
            info!(target: "council", what = "handed-on", mono, duty, epoch, to, "proposing to hand over a duty");
            self.propose(entry, ProposalPurpose::Parting);
        }
        self.log_ended_leases();
        let parting = self.proposals.values().any(|ticket| matches!(ticket, ProposalPurpose::Parting));
        let holds = self.holder.duties(now).next().is_some();
        if !parting && !holds {
            let entry = self.holder.leave(now);
            self.final_proposal = Some(self.propose(entry, ProposalPurpose::Parting));
        }
        if let Err(fault) = self.consensus.process(boottime()) {
            self.become_follower(fault);
        }
    }

    /// The gateway that would be elected if the duty were vacant and this gateway absent.
    fn next_holder(&self, duty: &str) -> Option<String> {
        let mut register = self.register().clone();
        let stands = register.duties.get_mut(duty)?;
        stands.holder = None;
        stands.standing = Standing::Vacant { since: 0, why: Vacated::New };
        register.attending.remove(&self.own_name);
        let suspected = self.facts().suspected.iter().cloned().collect();
        elect(&register, &ElectionEvidence { suspected, ..ElectionEvidence::default() }, duty).ok()
    }

    // --- Serving thread ---

    /// Passes changed documents to the serving thread.
    fn publish_agreed(&mut self) {
        let newest = self.register().newest;
        if newest == self.newest || !self.register().is_complete() || self.register().index == 0 {
            return;
        }
        // Never goes back to an older state, unless in another cluster: a gateway that lost its store starts from none.
        let council = self.consensus.status().council;
        if newest < self.newest && council == self.cluster {
            return;
        }
        self.cluster = council;
        let before = self.agreed_plans.load_full();
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
                number = plan.number, why = plan.why, "the plan of a change of primary was updated"
            );
        }
        self.newest = newest;
        self.agreed_plans.store(Arc::new(AgreedPlans { newest, plans }));
        self.agreed.ping();
    }

    fn next_due(&self) -> Micros {
        let now = boottime();
        let waits = self.conducted_changes.values().filter_map(ConductedChange::next_check);
        let ends = self.holder.next_end(now);
        let grants = self.grantor.as_ref().and_then(|grantor| grantor.next_due(now));
        // A newly granted duty gets its first renewal shortly after the last one.
        let granted = self.register().held_by(&self.own_name, self.holder.life());
        let soon = granted.into_iter().any(|(duty, epoch)| self.granted.get(duty) != Some(&epoch));
        let soon = soon.then(|| now + self.lease_config.renew_interval / 10);
        let leaves = self
            .leaving_since
            .filter(|_| self.final_proposal.is_none())
            .map(|_| now + self.lease_config.renew_interval / 10);
        let all =
            [Some(self.consensus.next_due()), Some(self.holder.next_renewal()), ends, grants, soon, leaves];
        all.into_iter().flatten().chain(waits).min().unwrap_or(now).max(now + 200)
    }
}

fn consensus_config(set: &Set) -> Sitting {
    Sitting {
        seats: set.seats.clone(),
        heartbeat_interval: set.beat,
        election_timeout: set.elect_after,
        retry_interval: set.ask_every,
        proposal_timeout: 2 * set.lease,
        compact_after: set.compact_after,
        max_message_bytes: MAX_BODY_BYTES,
        ..Sitting::default()
    }
}

/// The message in a datagram addressed to this gateway; `None` if it is for another one. Prevents replay of a message
/// sealed for another member.
fn addressed_message<'a>(whole: &'a [u8], me: &str) -> Option<&'a [u8]> {
    let (length, rest) = whole.split_first()?;
    let (to, body) = rest.split_at_checked(usize::from(*length))?;
    (to == me.as_bytes()).then_some(body)
}

/// Converts a time of the lease clock to the log's clock.
pub(super) fn in_mono(now: Micros, at: Micros) -> Micros {
    (monotonic() + at).saturating_sub(now)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_for_another_gateway_or_cut_short_is_not_heard() {
        assert_eq!(addressed_message(b"\x02n1body", "n1"), Some(&b"body"[..]));
        assert_eq!(addressed_message(b"\x02n1", "n1"), Some(&b""[..]));
        for (whole, me) in [(&b"\x02n1body"[..], "n2"), (b"", "n1"), (b"\x09n1", "n1"), (b"\x01n1", "n1")] {
            assert_eq!(addressed_message(whole, me), None);
        }
    }
}
