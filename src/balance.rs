//! Routing decisions for commands to a replicated store.
//!
//! [`Router`] is a state machine without I/O, clock or threads. The host asks it three questions:
//! [`Router::place`] (where to send a command: now, later or not at all), [`Router::on_outcome`] (what to do
//! after a dispatch has ended) and [`Router::next_check`] (when to ask again, and which probes are due). It
//! passes on events with [`Router::update_server_list`], [`Router::on_probe_result`], [`Router::on_answer`],
//! [`Router::on_peer_observation`] and [`Router::on_client_gone`]. The types are in `interface.rs`. The host
//! keeps the timers and the commands with their dispatch history and makes no decision of its own.
//!
//! The ordinary path follows the design (`docs/design.md`). Six mechanisms supplement it:
//!
//! 1. Health checks: a member that is silent, refuses connections or fails too many commands is skipped.
//! 2. Load balancing: a member with long waits is skipped in its zone while another waits less. Long reads go
//!    to the replicas whose data is oldest, so that they do not delay the replication log on the others.
//! 3. Hedging: a read that outlasts its soft timeout, or a write that seems lost, is sent a second time within
//!    a budget.
//! 4. Concurrency limits: a member gets as many commands at once as it answers in time, and none beyond the
//!    queue it reported. Other commands are held, then throttled. Where there are many routers, each also sheds
//!    part of the commands to a late group.
//! 5. Slow start: a cold member gets a share of an average member's commands, drawn at random per command and
//!    proportional to how far it has warmed up.
//! 6. Primary search: without a healthy primary, writes and more frequent probes look for the next one.

mod diagnosis;
mod session_writes;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use self::session_writes::SessionWrites;
use crate::decaying_sum::DecayingSum;
use crate::interface::*;
use crate::rng::SeededRng;
use crate::state::*;

const MILLI: Micros = 1_000;
const SECOND: Micros = 1_000_000;

// --- Design constants ---
/// Members within this latency (µs) of the lowest average ping are equally near (default of the paper).
const LATENCY_WINDOW: f64 = 15.0 * MILLI as f64;
/// Weight of each new round trip in the average ping (initial value of the design).
const PING_WEIGHT: f64 = 0.2;
/// Interval between probes of a member while its group is in use (initial value of the design).
const PROBE_INTERVAL: Micros = SECOND;
/// Most members that a failing read tries (from the paper).
const MAX_READ_ATTEMPTS: usize = 3;
/// Delay before a write retries members that all rejected it: a fraction of the shortest election time.
const RETRY_ROUND_DELAY: Micros = 250 * MILLI;

// --- Evidence ---
/// Probes as a share of a group's commands: without it, hundreds of low-traffic routers send more probes than
/// commands. With the longest interval between two probes.
const PROBE_TRAFFIC_SHARE: f64 = 0.2;
const PROBE_INTERVAL_MAX: Micros = 60 * SECOND;
/// Interval between probes of a member that is down: a usual restart spans a few of them.
const PROBE_INTERVAL_DOWN: Micros = 4 * SECOND;
/// Half-life of the counts of probes and lost probes: a few probe intervals.
const PROBE_LOSS_HALF_LIFE: Micros = 10 * SECOND;
/// Age assumed for a role in the server list: lists arrive seconds late and must not override newer evidence.
const SERVER_LIST_AGE: Micros = 5 * SECOND;
/// Age assumed for a load report: its refresh interval plus transit time, a few tenths of a second.
const LOAD_REPORT_AGE: Micros = 300 * MILLI;
/// Factor by which a replica may catch up faster than the clock: its apply thread is rarely under half busy.
const CATCH_UP_FACTOR: Micros = 2;
/// A group without commands for this long is no longer probed. Covers several pauses of a session.
const GROUP_IDLE_AFTER: Micros = 10 * SECOND;
/// Probe interval while a command waits for a primary (a part of an election), and how long one attempt to
/// route such a command keeps the faster probing on.
const PRIMARY_SEARCH_INTERVAL: Micros = 400 * MILLI;
const PRIMARY_SEARCH_WINDOW: Micros = 50 * MILLI;

// --- Health checks ---
/// Half-life of the failure count: a few probe intervals, so that a recovered member soon gets commands again.
const FAILURE_HALF_LIFE: Micros = 3 * SECOND;
/// Failure ratio above which a member is unhealthy: it fails more often than it succeeds.
const MAX_FAILURE_RATIO: f64 = 0.5;
/// How long a member is avoided after a failed connection, and after how long it is tried anyway where there
/// is no other: a few round trips.
const REFUSED_AVOID_TIME: Micros = 2 * SECOND;
const RECONNECT_DELAY: Micros = 30 * MILLI;
/// The soft timeout of a dispatch is this many times its group's mean time; few good answers take longer.
const SOFT_TIMEOUT_FACTOR: f64 = 3.0;
/// Bounds of the soft timeout as shares of the response target: below the lower one, waiting costs little;
/// above the upper one, no time is left for another attempt.
const SOFT_TIMEOUT_MIN_SHARE: f64 = 0.25;
const SOFT_TIMEOUT_MAX_SHARE: f64 = 0.6;

// --- Load balancing ---
/// Weight of each answer's wait in a member's average: about the last ten answers count.
const WAIT_WEIGHT: f64 = 0.1;
/// Half-life of the average wait without new answers, so that a member that was avoided is tried again.
const WAIT_HALF_LIFE: Micros = 10 * SECOND;
/// Wait, as a share of the response target, above which reads leave a member's zone for another.
const LONG_WAIT_SHARE: f64 = 0.25;
/// A read without a freshness bound is long from this many times the shortest mean time of the bounded reads.
/// Smaller differences occur by chance.
const LONG_READ_FACTOR: f64 = 3.0;
/// Initial estimate of the mean time, as a share of the response target.
const INITIAL_MEAN_SHARE: f64 = 0.2;
/// Weight of each new answer in a command group's mean time: about fifty answers count.
const MEAN_TIME_WEIGHT: f64 = 0.02;
/// Number of answers that the initial mean time counts for, so that one slow answer does not replace it.
const INITIAL_MEAN_COUNT: f64 = 3.0;

// --- Hedging ---
/// Hedged reads as a share of first dispatches: covers failures and stays too small for a retry storm.
const HEDGE_BUDGET_SHARE: f64 = 0.1;
/// Hedged dispatches allowed at any time, over all routers and per router: hundreds of routers must not each
/// hedge every late read.
const HEDGE_BUDGET_MIN: f64 = 10.0;
const HEDGE_BUDGET_MIN_PER_ROUTER: f64 = 3.0;
/// Half-life over which hedged and first dispatches are compared: longer than a burst of failures.
const HEDGE_BUDGET_HALF_LIFE: Micros = 5 * SECOND;

// --- Concurrency limits ---
/// Initial concurrency limit of a member over all routers, and the most for one router: hundreds of routers
/// that turn to a new primary must not overload it. More routers than this share each member thinly.
const INITIAL_LIMIT_ALL_ROUTERS: f64 = 20.0;
const INITIAL_LIMIT_PER_ROUTER: f64 = 6.0;
/// Lowest concurrency limit. Below 1, each command is followed by a pause, since many routers share a member.
const MIN_LIMIT: f64 = 0.2;
/// Wait, as a share of the response target, that counts as slow and lowers the concurrency limit.
const SLOW_WAIT_SHARE: f64 = 0.3;
/// Concurrency that hardly causes queueing: a member that is slow below it is slow by itself, and a lower
/// limit would not help.
const UNQUEUED_CONCURRENCY: f64 = 2.0;
/// Share of the concurrency limit that a late answer takes off and that a prompt answer adds while the limit is
/// in use: an equilibrium at one late answer in three.
const LIMIT_DECREASE: f64 = 0.15;
const LIMIT_INCREASE: f64 = 0.075;
/// Steps of the share of a group's commands that is shed, after a late and after a prompt answer: a router
/// with little traffic sees few of either.
const SHED_INCREASE: f64 = 0.225;
const SHED_DECREASE: f64 = 0.15;
/// Limit above which the steps no longer grow with it: one burst of answers must not swing the limit.
const LIMIT_STEP_CAP: f64 = 4.0;
/// How long a queue report is used: it is a fraction of a second old on arrival.
const QUEUE_REPORT_LIFETIME: Micros = 500 * MILLI;
/// Initial estimates of the wait behind a reported queue, as shares of the shortest response target: a fixed
/// part and a part per queued command. The weight of a new answer in both is high, since a router with little
/// traffic meets few queues.
const INITIAL_QUEUE_WAIT_SHARE: f64 = 0.25;
const INITIAL_QUEUE_STEP_SHARE: f64 = 0.1;
const QUEUE_MODEL_WEIGHT: f64 = 0.3;
/// Share of late or lost commands above which a member's queue is probed before it gets a command. The
/// half-life covers the few outcomes that a low-traffic router sees.
const QUEUE_PROBE_BAD_RATIO: f64 = 0.2;
const OUTCOME_HALF_LIFE: Micros = 20 * SECOND;
/// Share of the response target within which a command must be answered by a member that reported a queue.
const IN_TIME_SHARE: f64 = 0.75;
/// Share of the response target for which a command may be held for lack of capacity before it is throttled.
const MAX_HOLD_SHARE: f64 = 0.25;
/// Share of the client's time spent on connecting where several members are unreachable. The rest is left to
/// the client for another try.
const MAX_CONNECT_SHARE: f64 = 0.45;
/// Share of a primary's concurrency limit that reads may use: writes have nowhere else to go.
const PRIMARY_READ_SHARE: f64 = 0.5;
/// Least interval between two placement attempts of a held command: a few rounds of the host. Later ones wait
/// for half the time held so far.
const HOLD_POLL_INTERVAL: Micros = 10 * MILLI;
/// Retry-after advice to a throttled client, as a share of the response target.
const RETRY_AFTER_SHARE: f64 = 0.5;

// --- Slow start ---
/// Half-life of the answered work: longer than the effect of a restart lasts.
const WORK_HALF_LIFE: Micros = 20 * SECOND;
/// Share of the load allowed on a cold server that is used; the rest absorbs random variation.
const SLOW_START_SHARE: f64 = 0.9;
/// Share of it that a router may send at once: what follows within the overload window adds to it.
const SLOW_START_BURST_SHARE: f64 = 0.6;
/// Share of its allowance that a cold member gets while a queue there is known.
const SLOW_START_QUEUED_SHARE: f64 = 2.0 / 3.0;
/// How long writes are assumed to have been held for a new primary: a usual election.
const FAILOVER_HOLD_TIME: Micros = 2 * SECOND;
/// The allowance shrinks once the share of arriving commands that is answered is below this: some retries by
/// clients are normal.
const ANSWERED_SHARE_SLACK: f64 = 0.75;
/// Number of commands that the initial assumption counts for (all are answered, all groups get the same).
const PRIOR_COMMAND_COUNT: f64 = 10.0;
/// Number of distinct values that a random draw for slow start or shedding can take (finer than any share
/// matters), and the odd multiplier that mixes the parts of its seed (golden ratio).
const DRAW_RANGE: usize = 1 << 20;
const DRAW_SEED_MIX: u64 = 0x9e37_79b9_7f4a_7c15;

impl CommandGroup {
    /// Work of one command. Capped so that time spent in queues does not count as work.
    fn work_per_command(&self) -> f64 {
        self.mean_time.min(self.response_target as f64 * INITIAL_MEAN_SHARE)
    }

    /// Whether the command may run again, given the dispatches that may have executed. Keyed commands are
    /// deduplicated by their group within a time window only; where deduplication works per zone, none is repeated.
    fn may_run_again<'a>(&self, now: Micros, ran: impl Iterator<Item = &'a Dispatch>) -> bool {
        match (self.effect, ran.map(|d| d.written.unwrap_or(d.sent)).min()) {
            (_, None) | (Effect::Replayable, _) => true,
            (Effect::Mutating, Some(_)) => false,
            (Effect::Keyed, Some(first)) => now < first + self.repeat_within && !self.deduplicated_per_zone,
        }
    }
}

impl Member {
    /// Lowers the concurrency limit after a late or rejected command.
    fn lower_concurrency_limit(&mut self) {
        self.concurrency_limit = (self.concurrency_limit
            - LIMIT_DECREASE * self.concurrency_limit.min(LIMIT_STEP_CAP))
        .max(MIN_LIMIT);
    }

    /// Average wait of recent commands in µs, decayed since the last answer.
    fn decayed_wait(&self, now: Micros) -> f64 {
        self.average_wait
            * (-(now.saturating_sub(self.average_wait_at) as f64) / WAIT_HALF_LIFE as f64).exp2()
    }

    /// The queue length that it reported at most `max_age` ago.
    fn recent_queue(&self, now: Micros, of_late: Micros) -> Option<f64> {
        self.queue_reported_at.filter(|at| *at <= now && now <= *at + of_late).map(|_| self.queue_length)
    }

    /// Records a connection that failed or broke. Only a connection refused since the last answer marks the member
    /// as unreachable, as happens with a dead server; connections that idled too long or timed out alone do not.
    fn connection_failed(&mut self, now: Micros, sent: Micros, ending: DispatchEnd) {
        self.failures.add(now, FAILURE_HALF_LIFE, 1.0);
        if ending == DispatchEnd::Unconnected && self.answered_at <= sent {
            self.refused_at = Some(now);
        }
    }

    /// Whether it rejected a read with this or an older required position and has not reported progress since.
    fn known_behind(&self, now: Micros, bound: Micros) -> bool {
        self.missed_position.is_some_and(|(at_most, at)| at_most + now.saturating_sub(at) <= bound)
    }
}

/// The dispatches that may have executed; those in flight count.
fn possibly_executed(pending: &PendingCommand) -> impl Iterator<Item = &Dispatch> {
    pending.dispatches.iter().filter(|d| d.ended.is_none_or(|e| !e.never_ran()))
}

/// Number of failed dispatches. A miss does not count: it only shows that the member does not qualify.
fn count_failed(pending: &PendingCommand) -> usize {
    pending.dispatches.iter().filter(|d| d.ended.is_some_and(|e| e != DispatchEnd::Missed)).count()
}

/// Router of one gateway. A clone continues independently from the same state.
#[derive(Clone, Default)]
pub struct Router {
    settings: Arc<SettingsByName>,
    rng: SeededRng,
    zone: usize,
    command_groups: Vec<CommandGroup>,
    members: BTreeMap<usize, Member>,
    groups: BTreeMap<usize, Group>,
    /// Replica that a session stays on, with the command group and the primary epoch of its group at that time.
    session_replicas: BTreeMap<usize, (usize, usize, u64)>,
    /// Writes of each session, where the router has to remember them.
    session_writes: BTreeMap<usize, SessionWrites>,
    list_request_due: Option<Micros>,
    /// Members whose queue is to be probed now.
    queue_probes: Vec<usize>,
    stats: RouterStats,
}

impl Router {
    /// Creates a router from the deployment's settings.
    ///
    /// # Errors
    ///
    /// Returns the name of the setting that is missing or out of range.
    pub fn new(named: SettingsByName, seed: u64) -> Result<Self, String> {
        let mut router = Router { rng: SeededRng::new(seed), settings: Arc::new(named), ..Router::default() };
        router.zone = router.number("zone", 0.0) as usize;
        router.list_request_due = (router.text("list_mode") == "ask").then_some(0);
        let count = router.number("command_groups", 0.0) as usize;
        if count == 0 {
            return Err("setting 'command_groups' names no command group".into());
        }
        router.command_groups =
            (0..count).map(|index| router.command_group(index)).collect::<Result<_, _>>()?;
        let shortest = router
            .command_groups
            .iter()
            .map(|command_group| command_group.response_target)
            .min()
            .unwrap_or(0) as f64;
        (router.stats.queue_base_wait, router.stats.queue_wait_per_command) =
            (shortest * INITIAL_QUEUE_WAIT_SHARE, shortest * INITIAL_QUEUE_STEP_SHARE);
        Ok(router)
    }

    fn command_group(&self, index: usize) -> Result<CommandGroup, String> {
        let name = |part: &str| format!("command_group.{index}.{part}");
        let positive = |part: &str| match self.number(&name(part), 0.0) {
            n if n >= 1.0 => Ok(n as Micros),
            n => Err(format!("setting '{}' is {n}, not a time above zero", name(part))),
        };
        let bound = self.number(&name("bound"), 0.0);
        if bound < 0.0 {
            return Err(format!("setting '{}' is below zero", name("bound")));
        }
        let response_target = positive("response_target")?;
        positive("client_timeout")?;
        // Unknown needs and effects are treated as the strictest ones.
        let need = match self.text(&name("need")) {
            "any" => Need::Any,
            "bounded" => Need::Bounded(bound as Micros),
            "session" => Need::Session,
            "fresh" => Need::Fresh,
            _ => Need::Write,
        };
        let effect = match self.text(&name("effect")) {
            "replayable" => Effect::Replayable,
            "keyed" => Effect::Keyed,
            _ => Effect::Mutating,
        };
        let scope = self.text(&name("scope"));
        Ok(CommandGroup {
            need,
            effect,
            deduplicated_anywhere: scope == "all",
            deduplicated_per_zone: scope == "zone",
            repeat_within: if effect == Effect::Keyed { positive("repeat_within")? } else { 0 },
            response_target,
            late_benefit: self.number(&name("late_benefit"), 0.0),
            prompt_time: response_target as f64 / 10.0,
            mean_time: response_target as f64 * INITIAL_MEAN_SHARE,
            answer_count: 0.0,
            first_dispatches: DecayingSum::default(),
            hedged_dispatches: DecayingSum::default(),
        })
    }

    /// Replaces the random draws to come (`None`: back to the seeded generator). Returns the previous replacement.
    pub fn prescribe_draws(&mut self, picks: Option<PrescribedDraws>) -> Option<PrescribedDraws> {
        std::mem::replace(&mut self.rng.prescribed, picks)
    }

    /// Hashes all state that answers depend on beside settings and random draws: routers with equal hashes answer
    /// alike.
    pub fn hash_state(&self, into: &mut impl Hasher) {
        (&self.members, &self.groups, &self.session_replicas, &self.session_writes).hash(into);
        (&self.command_groups, self.list_request_due, &self.queue_probes, &self.stats).hash(into);
    }

    fn number(&self, name: &str, default: f64) -> f64 {
        if let Some(Value::Number(n)) = self.settings.get(name) { *n } else { default }
    }

    fn text(&self, name: &str) -> &str {
        if let Some(Value::Text(text)) = self.settings.get(name) { text } else { "" }
    }

    fn flag(&self, name: &str, default: bool) -> bool {
        if let Some(Value::Flag(flag)) = self.settings.get(name) { *flag } else { default }
    }

    /// Applies a server list or changes to it. A whole list removes servers that it omits; `None` means that the
    /// request failed.
    pub fn update_server_list(&mut self, now: Micros, entries: Option<&[ServerListEntry]>, whole: bool) {
        let Some(entries) = entries else {
            self.list_request_due = Some(now + SECOND);
            return;
        };
        // Where removal is advisory, a list may omit live servers or be empty; their answers are better evidence.
        let advice = self.flag("rules.gone_is_advice", false);
        if whole && !advice {
            for (server, member) in &mut self.members {
                member.serving &= entries.iter().any(|entry| entry.server == *server);
            }
        }
        let room =
            (INITIAL_LIMIT_ALL_ROUTERS / self.number("routers", 1.0)).clamp(1.0, INITIAL_LIMIT_PER_ROUTER);
        // Hundreds of routers would probe every member at the start. Where servers check freshness themselves,
        // ordinary answers tell as much, and the first probe is put off.
        let thin = self.servers_check_freshness() && self.number("routers", 1.0) > INITIAL_LIMIT_ALL_ROUTERS;
        for entry in entries {
            let gone = entry.state == ServerState::Gone;
            if gone && !advice {
                let known = self.members.get_mut(&entry.server);
                if let Some(member) = known.filter(|m| m.serving || !m.in_flight.is_empty()) {
                    (member.serving, member.listed_primary) = (false, entry.primary);
                } else {
                    // It was already removed and has nothing in flight: forget it, so that its number can be reused.
                    self.members.remove(&entry.server);
                    for group in self.groups.values_mut() {
                        group.members.retain(|server| *server != entry.server);
                        group.primary = group.primary.filter(|server| *server != entry.server);
                    }
                    self.session_replicas.retain(|_, tie| tie.0 != entry.server);
                }
                self.update_primary(now, entry.group);
                continue;
            }
            let group = self.groups.entry(entry.group).or_default();
            if !group.members.contains(&entry.server) {
                group.members.push(entry.server);
                group.members.sort_unstable();
            }
            let new = || Member {
                concurrency_limit: room,
                last_probe_at: thin.then_some(now),
                ..Member::default()
            };
            let member = self.members.entry(entry.server).or_insert_with(new);
            if entry.state == ServerState::Serving && entry.started != member.started {
                // A new process: the health of the previous one no longer matters.
                (member.started, member.down, member.failures) =
                    (entry.started, false, DecayingSum::default());
            }
            member.serving = entry.state == ServerState::Serving || gone && member.serving;
            if !gone {
                (member.group, member.zone, member.size) = (entry.group, entry.zone, entry.size.max(0.01));
            }
            if entry.primary && !member.listed_primary {
                member.primary_claimed_at =
                    member.primary_claimed_at.max(Some(now.saturating_sub(SERVER_LIST_AGE)));
            }
            member.listed_primary = entry.primary;
            self.update_primary(now, entry.group);
        }
        let serving = |value: fn(&Member) -> usize| {
            let members = self.members.values().filter(|m| m.serving);
            members.map(value).collect::<BTreeSet<_>>().len().max(1) as f64
        };
        let size = self.members.values().filter(|m| m.serving).map(|m| m.size).sum();
        self.stats.serving =
            ServingMembers { size, groups: serving(|m| m.group), zones: serving(|m| m.zone) };
    }

    /// Records the end of a probe that took `took` µs.
    pub fn on_probe_result(
        &mut self,
        now: Micros,
        server: usize,
        took: Micros,
        end: DispatchEnd,
        report: Option<Report>,
    ) {
        let Some(member) = self.members.get_mut(&server) else { return };
        member.probe_in_flight = false;
        // Probes may get lost while commands are answered. Where most are lost, they are no evidence.
        let (sent, seen) = (member.last_probe_at.unwrap_or(now), &mut self.stats);
        seen.recent_probes.add(now, PROBE_LOSS_HALF_LIFE, 1.0);
        seen.recent_lost_probes.add(
            now,
            PROBE_LOSS_HALF_LIFE,
            if end == DispatchEnd::TimedOut { 1.0 } else { 0.0 },
        );
        let lost = seen.recent_lost_probes.read(now, PROBE_LOSS_HALF_LIFE);
        seen.most_probes_lost = lost > MAX_FAILURE_RATIO * seen.recent_probes.read(now, PROBE_LOSS_HALF_LIFE);
        match end {
            DispatchEnd::Answered => {
                member.down = false;
                let ping = member.average_ping.unwrap_or(took as f64);
                member.average_ping = Some(ping + PING_WEIGHT * (took as f64 - ping));
            }
            DispatchEnd::Unconnected | DispatchEnd::Reset => member.connection_failed(now, sent, end),
            // A probe that was never sent, was garbled, or was lost alone does not take a member out.
            DispatchEnd::Unsent | DispatchEnd::Recalled => {}
            _ => member.down = !seen.most_probes_lost && member.answered_at <= sent,
        }
        if let Some(report) = report {
            self.stats.probes_report_role |= report.primary.is_some();
            self.apply_report(now, server, report, now.saturating_sub(LOAD_REPORT_AGE));
        }
    }

    /// Applies what other routers observed of a server, so that this router need not learn it by failures of its
    /// own. It ranks below all evidence seen here. Where servers do not check freshness themselves, a reported
    /// primary is ignored, since a wrong one could cause a stale read.
    pub fn on_peer_observation(&mut self, now: Micros, hearsay: &PeerObservation) {
        let (guarded, probes) = (self.servers_check_freshness(), self.flag("limits.probes", false));
        let Some(member) = self.members.get_mut(&hearsay.server) else { return };
        let leads = hearsay
            .leading_at
            .filter(|at| member.primary_denied_at.is_none_or(|no| no + SERVER_LIST_AGE < *at));
        member.primary_claimed_at = member.primary_claimed_at.max(leads.filter(|_| guarded));
        let heard = member.answered_at.max(member.position_reported_at);
        member.down |= probes && hearsay.unusable_at.is_some_and(|at| heard < at);
        // A longer wait seen by others lowers the load here; a shorter one does not raise it.
        if hearsay.mean_wait > member.decayed_wait(now) {
            (member.average_wait, member.average_wait_at) = (hearsay.mean_wait, now);
        }
        let group = member.group;
        self.update_primary(now, group);
    }

    /// Notes that the client of this command has gone. Its dispatches still end one by one.
    pub fn on_client_gone(&mut self, _now: Micros, _pending: &PendingCommand) {}

    /// Applies a server's report about itself, true as of `as_of` unless it states a position.
    fn apply_report(&mut self, now: Micros, server: usize, report: Report, as_of: Micros) {
        let Some(member) = self.members.get_mut(&server) else { return };
        if let Some(position) = report.position {
            // A replica that stands still reports the same position again and is then known to fall behind.
            if position > member.position {
                (member.position, member.missed_position) = (position, None);
            }
            member.position_reported_at = now;
        }
        if let Some(queue) = report.queue {
            (member.queue_length, member.queue_reported_at, self.stats.queues_reported) =
                (queue, Some(now), true);
        }
        let group = member.group;
        // Reports may arrive seconds late. A primary's position is its current time, so it tells when it led.
        let claim = Some(report.position.filter(|_| as_of < now).unwrap_or(as_of));
        match report.primary {
            Some(true) => member.primary_claimed_at = member.primary_claimed_at.max(claim),
            Some(false) => member.primary_denied_at = member.primary_denied_at.max(Some(as_of)),
            None => return,
        }
        self.update_primary(now, group);
    }

    /// Determines the primary of a group from the newest evidence: the latest claim not denied since.
    fn update_primary(&mut self, now: Micros, group: usize) {
        let Some(group) = self.groups.get_mut(&group) else { return };
        let claims = group.members.iter().filter_map(|server| {
            let member = &self.members[server];
            let claim =
                member.primary_claimed_at.filter(|at| member.primary_denied_at.is_none_or(|no| no < *at));
            claim.filter(|_| member.serving).map(|at| (at, *server))
        });
        let primary = claims.max().map(|(_, server)| server);
        if primary != group.primary {
            // A new epoch voids all session affinities of the group.
            (group.primary, group.primary_changed_at) = (primary, now);
            group.primary_epoch += 1;
        }
    }

    /// Decides where to send a command now. To be called on arrival, after a failed dispatch and whenever
    /// [`Router::next_check`] says so.
    pub fn place(&mut self, now: Micros, pending: &PendingCommand) -> Placement {
        let command = &pending.command;
        let Some(command_group) = self.command_groups.get(command.command_group).cloned() else {
            return Placement::Abandon(FinalAnswer::Failed);
        };
        let first = now == command.arrived && pending.dispatches.is_empty();
        let (count, mut shed) = (if first { 1.0 } else { 0.0 }, 0.0);
        self.stats.recent_arrivals.add(now, HEDGE_BUDGET_HALF_LIFE, count);
        if let Some(group) = self.groups.get_mut(&command.group) {
            (group.last_command_at, shed) = (Some(now), if first { group.shed_share } else { 0.0 });
            group.recent_commands.add(now, HEDGE_BUDGET_HALF_LIFE, count);
        }
        // With many routers, none has enough commands for a concurrency limit to take effect, and retrying
        // clients keep a late group late, whatever the cause. So part of its commands is shed at random. This
        // costs answers where only few members are late.
        if shed > 0.0 && (self.rng.below(DRAW_RANGE) as f64) < shed * DRAW_RANGE as f64 {
            return self.give_up(pending, &command_group);
        }
        let in_flight = pending.dispatches.iter().filter(|d| d.ended.is_none());
        let (in_flight, late) = in_flight.fold((0, 0), |(count, late), d| (count + 1, d.sent.max(late)));
        let read = !matches!(command_group.need, Need::Write | Need::Fresh);
        if in_flight > 0 {
            // Commands for the primary are hedged only once they seem lost: later ones were answered there.
            let proved = |d: &Dispatch| {
                self.members.get(&d.server).is_some_and(|m| m.latest_answered_sent_at > d.sent)
            };
            let lost = late + (command_group.response_target as f64 * SOFT_TIMEOUT_MAX_SHARE) as Micros
                <= now
                && pending.dispatches.iter().any(proved);
            let copy = (read && command_group.effect == Effect::Replayable
                || lost && command_group.effect != Effect::Mutating)
                && in_flight == 1
                && self.flag("limits.second_copies", false)
                && now >= late + self.soft_timeout(&command_group)
                && pending.dispatches.len() < MAX_READ_ATTEMPTS
                && now + command_group.prompt_time as Micros
                    <= command.arrived + command_group.response_target;
            if !copy || !self.within_hedging_budget(now, &command_group) {
                return Placement::Hold;
            }
        }
        // The final answer must be out before the client timeout, with one round of the host to spare.
        let left = command.client_timeout.saturating_sub(now);
        let ended = left <= self.number("round", 5_000.0) as Micros;
        if ended || !self.may_dispatch(now, pending, &command_group) {
            return if in_flight > 0 { Placement::Hold } else { self.give_up(pending, &command_group) };
        }
        let waited = now.saturating_sub(command.arrived);
        // A long read that cannot be answered before its client leaves would only take up a replica.
        let hopeless = self.is_long_read(&command_group)
            && left < self.soft_timeout(&command_group).min(command_group.mean_time as Micros);
        if in_flight == 0
            && (hopeless || command_group.late_benefit <= 0.0 && waited >= command_group.response_target)
        {
            return self.give_up(pending, &command_group);
        }
        let server = if read {
            self.read_target(now, pending, &command_group)
        } else {
            self.write_target(now, pending, &command_group)
        };
        let overdue = waited as f64 > command_group.response_target as f64 * MAX_HOLD_SHARE;
        // With a healthy primary, only capacity is missing; a read may go to any member.
        let group = self.groups.get(&command.group);
        let primary = group.and_then(|group| group.primary);
        let room =
            command_group.need != Need::Write || primary.is_some_and(|server| self.is_reachable(now, server));
        // With many routers, writes that missed at every replica and come late to a primary that was only slow
        // would overload it.
        let searched = !read && pending.dispatches.iter().any(|d| d.ended == Some(DispatchEnd::Missed));
        let old = searched
            && room
            && overdue
            && group.is_some_and(|group| group.primary_changed_at < command.arrived);
        let Some(server) =
            server.filter(|_| !old || self.number("routers", 1.0) <= INITIAL_LIMIT_ALL_ROUTERS)
        else {
            let spent = command_group.need != Need::Write && count_failed(pending) >= MAX_READ_ATTEMPTS;
            let away = |s: &&usize| self.members[*s].serving && !self.is_reachable(now, **s);
            let unsent = group.is_none_or(|group| group.members.iter().filter(away).count() > 1)
                && waited as f64
                    > command.client_timeout.saturating_sub(command.arrived) as f64 * MAX_CONNECT_SHARE
                && pending.dispatches.iter().all(|d| d.ended == Some(DispatchEnd::Unconnected));
            let over = in_flight == 0 && (spent || overdue && room || unsent);
            return if over { self.give_up(pending, &command_group) } else { Placement::Hold };
        };
        // Each of hundreds of routers learns too little about queues from its own commands.
        if in_flight == 0 && !overdue && self.needs_queue_probe(now, server, read) {
            self.queue_probes.push(server);
            return Placement::Hold;
        }
        self.record_dispatch(now, pending, &command_group, server, left)
    }

    /// Whether the member's queue is to be probed first: where members report queues and many commands were late,
    /// and it has not reported lately.
    fn needs_queue_probe(&self, now: Micros, server: usize, read: bool) -> bool {
        let member = &self.members[&server];
        let Some(group) = self.groups.get(&member.group) else { return false };
        // The added count keeps a single late answer from deciding for as long as no other arrives.
        let outcomes = group.recent_outcomes.read(now, OUTCOME_HALF_LIFE) + 2.0;
        let doubt = group.recent_bad_outcomes.read(now, OUTCOME_HALF_LIFE) > QUEUE_PROBE_BAD_RATIO * outcomes;
        // Reads that spill over to the primary must not displace writes there.
        let spilled = read && group.primary == Some(server);
        let tell =
            self.stats.queues_reported && !self.stats.most_probes_lost && self.flag("limits.probes", false);
        (doubt || spilled) && tell && member.recent_queue(now, QUEUE_REPORT_LIFETIME).is_none()
    }

    /// Checks the limit on dispatches and whether the command may run again.
    fn may_dispatch(&self, now: Micros, pending: &PendingCommand, command_group: &CommandGroup) -> bool {
        let most = self.number("limits.max_dispatches", 1.0) as usize;
        pending.dispatches.len() < most && command_group.may_run_again(now, possibly_executed(pending))
    }

    /// Whether a dispatch that is not yet completely written may still be sent. It may have waited for its
    /// connection until the member drains, the deduplication window is over or the data there is too old.
    fn may_still_write(
        &self,
        now: Micros,
        pending: &PendingCommand,
        command_group: &CommandGroup,
        server: usize,
    ) -> bool {
        let (command, others) =
            (&pending.command, possibly_executed(pending).filter(|d| d.written.is_some()));
        let leads = self.groups.get(&command.group).is_some_and(|group| group.primary == Some(server));
        let fresh = |bound| self.is_fresh_enough(now, server, bound, false);
        let known = || {
            command_group.need != Need::Fresh
                && self.required_position(now, command, command_group).is_none_or(fresh)
        };
        let serving = self.members.get(&server).is_some_and(|member| member.serving);
        serving
            && command_group.may_run_again(now, others)
            && (leads || self.servers_check_freshness() || known())
    }

    /// The final answer of an abandoned command: throttled where a retry is harmless, else failed.
    fn give_up(&self, pending: &PendingCommand, command_group: &CommandGroup) -> Placement {
        let repeatable = command_group.effect == Effect::Replayable
            || command_group.effect == Effect::Keyed && command_group.deduplicated_anywhere;
        if !repeatable && possibly_executed(pending).next().is_some() {
            return Placement::Abandon(FinalAnswer::Failed);
        }
        Placement::Abandon(self.throttled(command_group.response_target))
    }

    /// Rejects a command with advice on when to retry, where the settings allow it.
    fn throttled(&self, response_target: Micros) -> FinalAnswer {
        let advice =
            (response_target as f64 * RETRY_AFTER_SHARE).min(self.number("limits.max_come_back", 0.0));
        let allowed = self.flag("limits.come_back", false);
        FinalAnswer::Throttled { retry_after: if allowed { advice as Micros } else { 0 } }
    }

    /// The final answer to a command that the host could not read for lack of memory, so that its command group is not
    /// known and nothing was sent for it.
    pub fn reject_unread(&self) -> FinalAnswer {
        let targets = self.command_groups.iter().map(|command_group| command_group.response_target);
        self.throttled(targets.max().unwrap_or(0))
    }

    /// Records a dispatch and returns it as the placement.
    fn record_dispatch(
        &mut self,
        now: Micros,
        pending: &PendingCommand,
        command_group: &CommandGroup,
        server: usize,
        left: Micros,
    ) -> Placement {
        let command = &pending.command;
        if let Some(own) = self.command_groups.get_mut(command.command_group) {
            if pending.dispatches.is_empty() {
                own.first_dispatches.add(now, HEDGE_BUDGET_HALF_LIFE, 1.0);
            } else if pending.dispatches.iter().any(|d| matches!(d.ended, None | Some(DispatchEnd::Recalled)))
            {
                own.hedged_dispatches.add(now, HEDGE_BUDGET_HALF_LIFE, 1.0);
            }
        }
        if let Some(session) = command.session.filter(|_| command_group.need == Need::Session) {
            let age = self.groups.get(&command.group).map_or(0, |group| group.primary_epoch);
            self.session_replicas.insert(session, (server, command.command_group, age));
        }
        let window = self.overload_half_life();
        if let Some(member) = self.members.get_mut(&server) {
            member.in_flight.push((now, command.command_group));
            (member.last_sent_at, member.last_sent_mean_time) = (now, command_group.mean_time);
            member.sent_work.add(now, window, command_group.work_per_command());
        }
        Placement::Dispatch { server, timeout: left }
    }

    /// Time after which a dispatch counts as overdue: its read may be hedged, and its member counts as silent.
    fn soft_timeout(&self, command_group: &CommandGroup) -> Micros {
        let target = command_group.response_target as f64;
        // Long reads vary widely, and a hedge sent too early delays replication on a second replica.
        if self.is_long_read(command_group) {
            return (target * SOFT_TIMEOUT_MAX_SHARE) as Micros;
        }
        (command_group.mean_time * SOFT_TIMEOUT_FACTOR)
            .clamp(target * SOFT_TIMEOUT_MIN_SHARE, target * SOFT_TIMEOUT_MAX_SHARE) as Micros
    }

    /// Whether the hedging budget of the command group allows another dispatch. Each group pays for itself, so that
    /// a small group of long reads cannot spend the budget of all others.
    fn within_hedging_budget(&self, now: Micros, command_group: &CommandGroup) -> bool {
        let least = (HEDGE_BUDGET_MIN / self.number("routers", 1.0)).min(HEDGE_BUDGET_MIN_PER_ROUTER);
        let firsts = command_group.first_dispatches.read(now, HEDGE_BUDGET_HALF_LIFE);
        command_group.hedged_dispatches.read(now, HEDGE_BUDGET_HALF_LIFE)
            < firsts * HEDGE_BUDGET_SHARE + least
    }

    /// Target of writes and fresh reads: the known primary, or else the members in turn, with a delay after each
    /// round.
    fn write_target(
        &mut self,
        now: Micros,
        pending: &PendingCommand,
        command_group: &CommandGroup,
    ) -> Option<usize> {
        let group = self.groups.get(&pending.command.group)?;
        let max = self.number("limits.max_dispatches", 1.0) as usize;
        // Where the primary refuses connections, the last dispatch is reserved for a new primary.
        let again = |s: usize| pending.dispatches.len() + 1 < max && self.only_refused_connections(now, s);
        if let Some(primary) = group.primary.filter(|s| self.is_reachable(now, *s) || again(*s)) {
            return self.has_capacity(now, &pending.command, primary, command_group, 1.0).then_some(primary);
        }
        // A member that does not check its role would answer a fresh read with the data that it has.
        if command_group.need == Need::Fresh && !self.servers_check_freshness() {
            return None;
        }
        self.groups.get_mut(&pending.command.group)?.primary_sought_at = Some(now);
        let group = &self.groups[&pending.command.group];
        // The last dispatches are reserved for a new primary.
        if pending.dispatches.len() >= (max / 2).max(1) {
            return None;
        }
        let may_lead = |server: &usize| {
            let member = &self.members[server];
            group.primary != Some(*server)
                && member.primary_denied_at.is_none_or(|at| at + RETRY_ROUND_DELAY <= now)
                && self.is_healthy(now, *server)
                && self.has_capacity(now, &pending.command, *server, command_group, 1.0)
        };
        let untried: Vec<usize> = group.members.iter().copied().filter(may_lead).collect();
        untried.get(self.rng.below(untried.len())).copied()
    }

    /// Whether servers check by themselves if they are fresh enough for a read.
    fn servers_check_freshness(&self) -> bool {
        matches!(self.text("guards"), "wait" | "refuse")
    }

    /// The replication position that a read requires; `None` if any will do.
    fn required_position(
        &self,
        now: Micros,
        command: &Command,
        command_group: &CommandGroup,
    ) -> Option<Micros> {
        match command_group.need {
            Need::Bounded(bound) => Some(now.saturating_sub(bound)),
            Need::Session if self.text("session_marks") == "carried" => {
                command.last_write_age.filter(|ago| *ago > 0).map(|ago| command.arrived.saturating_sub(ago))
            }
            Need::Session => command
                .session
                .and_then(|session| self.session_writes.get(&session))
                .map(SessionWrites::position),
            _ => None,
        }
    }

    /// Target of a read without a need for the primary.
    fn read_target(
        &mut self,
        now: Micros,
        pending: &PendingCommand,
        command_group: &CommandGroup,
    ) -> Option<usize> {
        let command = &pending.command;
        let group = self.groups.get(&command.group)?;
        let waited = now.saturating_sub(command.arrived);
        // A new router waits for the first probe results, up to the response target.
        let heard = |m: &Member| m.average_ping.is_some() || m.last_probe_at.is_some() && !m.probe_in_flight;
        let unheard = !group.members.iter().any(|server| heard(&self.members[server]));
        let expected = self.flag("limits.probes", false) && unheard && waited < command_group.response_target;
        if expected || count_failed(pending) >= MAX_READ_ATTEMPTS {
            return None;
        }
        let tried = |server: usize| pending.dispatches.iter().any(|d| d.server == server);
        let guarded = self.servers_check_freshness();
        let bound = self.required_position(now, command, command_group);
        let usable = |server: &usize| !tried(*server) && self.is_healthy(now, *server);
        let replicas: Vec<usize> =
            group.members.iter().copied().filter(|s| group.primary != Some(*s)).filter(usable).collect();
        let fresh = |s: &usize| bound.is_none_or(|b| self.is_fresh_enough(now, *s, b, guarded));
        let fresh: Vec<usize> = replicas.iter().copied().filter(fresh).collect();
        let room = |s: &usize| self.has_capacity(now, command, *s, command_group, 1.0);
        let tie = command.session.and_then(|session| self.session_replicas.get(&session)).copied();
        if let Some((server, tied_group, epoch)) = tie
            && (tied_group, epoch) == (command.command_group, group.primary_epoch)
            && fresh.contains(&server)
            && room(&server)
        {
            return Some(server);
        }
        let (crowded, many) = (
            command_group.response_target as f64 * LONG_WAIT_SHARE,
            self.number("routers", 1.0) > INITIAL_LIMIT_ALL_ROUTERS,
        );
        // Reads that many low-traffic routers spill over must not go to a primary that is late with its writes.
        let primary = group
            .primary
            .filter(|s| usable(s) && self.has_capacity(now, command, *s, command_group, PRIMARY_READ_SHARE));
        let wait = |s: &usize| self.expected_wait(now, &self.members[s]);
        let primary = primary.filter(|s| !many || group.shed_share <= 0.0 && wait(s) < crowded);
        // A long read may stop its replica from applying the log, so the one furthest behind with capacity
        // gets it.
        if self.is_long_read(command_group) {
            let spare = |s: &usize| room(s) && wait(s) < crowded;
            // The most advanced replica is left to reads with a bound, if there is another. The rank is the lag
            // last reported, then the list order, so that many routers choose the same replicas.
            let by = |member: &Member| {
                member.position_reported_at.saturating_sub(member.position) / LOAD_REPORT_AGE
            };
            let lag = |s: &usize| (by(&self.members[s]), Reverse(*s));
            let ahead = fresh.iter().copied().min_by_key(lag);
            let only = fresh.len() < 2;
            let behind = fresh.iter().copied().filter(|s| only || ahead != Some(*s)).filter(spare);
            let behind = behind.max_by_key(lag);
            // Rather than reject long reads while the primary idles, it takes a few; bounded reads need it more.
            let quiet = |s: usize| {
                self.has_capacity(now, command, s, command_group, PRIMARY_READ_SHARE / 2.0) && spare(&s)
            };
            // A lone replica that served long reads would never apply the log nor serve a read with a bound.
            let lead = primary.filter(|s| fresh.is_empty() || quiet(*s));
            return if only { lead.or(behind) } else { behind.or(lead) };
        }
        let roomy: Vec<usize> = fresh.iter().copied().filter(room).collect();
        if !roomy.is_empty() {
            // Where all replicas have long waits and the primary has not, the primary takes the read.
            let least = roomy.iter().map(wait).fold(f64::INFINITY, f64::min);
            if let Some(primary) = primary.filter(|s| wait(s) + crowded < least) {
                return Some(primary);
            }
            return self.nearest(now, &roomy, command_group);
        }
        // A low-traffic router may know of no fresh replica and would send all reads to the primary. Where
        // servers do not check freshness, the nearest candidate is probed once for its position instead.
        if let Some(bound) =
            bound.filter(|_| !guarded && self.stats.probes_report_role && waited as f64 <= crowded)
        {
            let asked =
                replicas.iter().map(|s| &self.members[s]).find(|m| m.last_probe_at >= Some(command.arrived));
            let out = asked.map(|member| member.probe_in_flight);
            let may = |s: &usize| {
                self.is_fresh_enough(now, *s, bound, true)
                    && self.has_capacity(now, command, *s, command_group, 1.0)
            };
            let may: Vec<usize> = replicas.iter().copied().filter(|s| out.is_none() && may(s)).collect();
            let ask = self.nearest(now, &may, command_group);
            self.queue_probes.extend(ask);
            if ask.is_some() || out == Some(true) {
                return None;
            }
        }
        // No replica is left: the primary takes the read. Where servers check the bound, the most advanced
        // replica is tried first.
        if guarded
            && fresh.is_empty()
            && !pending.dispatches.iter().any(|d| d.ended == Some(DispatchEnd::Missed))
        {
            let hopeless = |s: &usize| bound.is_some_and(|b| self.cannot_be_fresh(now, *s, b));
            let may = |s: &usize| self.has_capacity(now, command, *s, command_group, 1.0) && !hopeless(s);
            let advanced = replicas.iter().copied().filter(may);
            return advanced.max_by_key(|s| (self.members[s].position, *s)).or(primary);
        }
        primary
    }

    /// Whether the group's reads need no fresh data and take so long that reads with a bound are delayed by them.
    fn is_long_read(&self, command_group: &CommandGroup) -> bool {
        let bounded =
            self.command_groups.iter().filter(|k| matches!(k.need, Need::Bounded(_) | Need::Session));
        command_group.need == Need::Any
            && command_group.mean_time
                > bounded.map(|k| k.mean_time).fold(f64::INFINITY, f64::min) * LONG_READ_FACTOR
    }

    /// Picks at random among the members near the lowest ping, in the own zone if possible.
    fn nearest(&mut self, now: Micros, servers: &[usize], command_group: &CommandGroup) -> Option<usize> {
        let cost = |server: &usize| {
            let member = &self.members[server];
            member.average_ping.unwrap_or(0.0) + self.expected_wait(now, member)
        };
        let crowded = command_group.response_target as f64 * LONG_WAIT_SHARE;
        let own = |server: &&usize| self.members[*server].zone == self.zone;
        let lowest = servers.iter().map(cost).fold(f64::INFINITY, f64::min);
        let near: Vec<usize> =
            servers.iter().filter(own).copied().filter(|s| cost(s) < lowest + crowded).collect();
        let pool = if near.is_empty() { servers.to_vec() } else { near };
        let lowest = pool.iter().map(cost).fold(f64::INFINITY, f64::min);
        // Waits vary by about the time of one command; pings do not.
        let window = LATENCY_WINDOW + command_group.prompt_time;
        let pool: Vec<usize> = pool.into_iter().filter(|s| cost(s) <= lowest + window).collect();
        pool.get(self.rng.below(pool.len())).copied()
    }

    /// Whether a replica has reached the position `bound`: it is known to, or, where it checks by itself, is not
    /// known to be behind.
    fn is_fresh_enough(&self, now: Micros, server: usize, bound: Micros, guarded: bool) -> bool {
        let member = &self.members[&server];
        if !guarded || member.position >= bound {
            return member.position >= bound;
        }
        // Between reports its lag is assumed constant. After a miss it is assumed no smaller than the miss showed.
        let likely = member.position + now.saturating_sub(member.position_reported_at);
        !member.known_behind(now, bound) && (member.position == 0 || likely >= bound)
    }

    /// Whether a replica cannot have reached `bound` even if it caught up fast, so that a read there would miss.
    fn cannot_be_fresh(&self, now: Micros, server: usize, bound: Micros) -> bool {
        let member = &self.members[&server];
        let gained = now.saturating_sub(member.position_reported_at) + LOAD_REPORT_AGE;
        member.position > 0 && member.position + CATCH_UP_FACTOR * gained < bound
            || member.known_behind(now, bound)
    }

    /// Whether the member serves and is neither down, silent, failing nor refusing connections.
    fn is_healthy(&self, now: Micros, server: usize) -> bool {
        let Some(member) = self.members.get(&server) else { return false };
        // A member that has commands in flight and answers none is silent, whatever its probes say.
        let late = |sent: Micros, k: usize| now > sent + self.soft_timeout(&self.command_groups[k]);
        let silent = member.in_flight.iter().any(|(sent, k)| *sent > member.answered_at && late(*sent, *k));
        let failures = member.failures.read(now, FAILURE_HALF_LIFE);
        let answers = member.answers.read(now, FAILURE_HALF_LIFE);
        let failing = failures > MAX_FAILURE_RATIO * (failures + answers + 1.0);
        let shut = member.refused_at.is_some_and(|at| now < at + REFUSED_AVOID_TIME);
        member.serving && !member.down && !silent && !failing && !shut
    }

    /// Whether the member is healthy, or is silent only because of a queue that it reported.
    fn is_reachable(&self, now: Micros, server: usize) -> bool {
        let told =
            |m: &Member| m.recent_queue(now, 2 * QUEUE_REPORT_LIFETIME).is_some_and(|queue| queue >= 1.0);
        self.is_healthy(now, server) || self.members.get(&server).is_some_and(|m| m.serving && told(m))
    }

    /// Whether only failed connections make the member unhealthy. They may be this router's own problem, so a
    /// primary is retried soon.
    fn only_refused_connections(&self, now: Micros, server: usize) -> bool {
        let shut = |m: &Member| m.refused_at.is_some_and(|at| at + RECONNECT_DELAY <= now);
        self.members.get(&server).is_some_and(|m| m.serving && !m.down && shut(m))
    }

    /// Expected wait in µs: the average, or how long commands in flight exceed their mean time, if that is more.
    fn expected_wait(&self, now: Micros, member: &Member) -> f64 {
        let usual = |k: usize| {
            if self.is_long_read(&self.command_groups[k]) {
                f64::INFINITY
            } else {
                self.command_groups[k].mean_time
            }
        };
        let in_flight = member.in_flight.iter().map(|(sent, k)| now.saturating_sub(*sent) as f64 - usual(*k));
        in_flight.fold(member.decayed_wait(now), f64::max).max(self.reported_queue_wait(now, member))
    }

    /// Wait in µs behind the queue last reported; 0 without a recent report.
    fn reported_queue_wait(&self, now: Micros, member: &Member) -> f64 {
        let queue = member.recent_queue(now, QUEUE_REPORT_LIFETIME).filter(|queue| *queue >= 0.5);
        queue.map_or(0.0, |queue| self.stats.queue_base_wait + queue * self.stats.queue_wait_per_command)
    }

    /// Whether `share` of the member's concurrency limit leaves room for the command, and slow start admits it.
    fn has_capacity(
        &self,
        now: Micros,
        command: &Command,
        server: usize,
        command_group: &CommandGroup,
        share: f64,
    ) -> bool {
        let member = &self.members[&server];
        let room = member.concurrency_limit * share;
        let pause = (member.last_sent_mean_time * (1.0 / room - 1.0).max(0.0)) as Micros;
        let open = (member.in_flight.len() as f64) < room.max(1.0) && now >= member.last_sent_at + pause;
        let queued = self.reported_queue_wait(now, member);
        let in_time = queued <= 0.0
            || queued + command_group.prompt_time < command_group.response_target as f64 * IN_TIME_SHARE;
        open && in_time && self.slow_start_admits(now, command, server, command_group)
    }

    /// Slow start: a cold member is sent a share of an average member's commands, drawn at random per command.
    /// Without the random draw, hundreds of new or low-traffic routers would either starve the member or each send
    /// a command that seems harmless alone.
    fn slow_start_admits(
        &self,
        now: Micros,
        command: &Command,
        server: usize,
        command_group: &CommandGroup,
    ) -> bool {
        let member = &self.members[&server];
        let part = self.warm_up_share(now, member);
        if part >= 1.0 {
            return true;
        }
        let allowed = self.number("rules.fall_multiple", 1.0) * part;
        let warmth = allowed * SLOW_START_SHARE;
        // Full allowance without a known queue. Many routers have had no answer from a cold member yet; only a
        // known queue reduces its share, not the lack of evidence, or it would starve.
        let quiet =
            self.expected_wait(now, member) < command_group.response_target as f64 * LONG_WAIT_SHARE / 2.0;
        // A single long read may take as much capacity as all other commands together.
        if self.is_long_read(command_group)
            && (warmth < 1.0 || !quiet || member.started >= Some(member.latest_answered_sent_at))
        {
            return false;
        }
        let (fleet, group) = (&self.stats.serving, &self.groups[&member.group]);
        // Arrivals beyond the answered rate, or of one group beyond the others, say nothing about capacity.
        let [asked, here] = [&self.stats.recent_arrivals, &group.recent_commands]
            .map(|sum| sum.read(now, HEDGE_BUDGET_HALF_LIFE));
        let coped = (self.stats.recent_answers.read(now, HEDGE_BUDGET_HALF_LIFE) + PRIOR_COMMAND_COUNT)
            / (asked + PRIOR_COMMAND_COUNT);
        let even = (asked / fleet.groups + PRIOR_COMMAND_COUNT) / (here + PRIOR_COMMAND_COUNT);
        let queued = if quiet { 1.0 } else { SLOW_START_QUEUED_SHARE };
        let window = self.number("rules.fall_for", 0.0).max(1.0);
        let held = (member.started.unwrap_or(0).max(group.primary_changed_at) + FAILOVER_HOLD_TIME)
            .saturating_sub(now) as f64;
        let fair = if matches!(command_group.need, Need::Write | Need::Fresh) {
            // Commands for the primary have nowhere else to go, and the average member bears as many. But hundreds
            // of routers release at once what each has held, on top of ordinary traffic.
            if warmth >= 1.0 && held <= 0.0 { f64::INFINITY } else { window / (window + held) }
        } else {
            // Reads come from one zone as long as it has members; a primary serves writes as well.
            let near = if member.zone == self.zone { fleet.zones } else { 1.0 };
            let part = if group.primary == Some(server) { near * PRIMARY_READ_SHARE } else { near };
            part * fleet.groups * member.size / fleet.size
        };
        let share = fair * warmth * queued * (coped * even / ANSWERED_SHARE_SLACK).min(1.0);
        let mut lot = SeededRng::new(self.slow_start_seed(command, server));
        lot.below(DRAW_RANGE);
        let drawn = (lot.below(DRAW_RANGE) as f64) < share * DRAW_RANGE as f64;
        // Random draws may let through too much of a burst of held commands. So no router sends more than its
        // share of the rate answered by such members, or of one core per unit of size.
        let answered = self.stats.answered_work.rate(now, WORK_HALF_LIFE) / fleet.size;
        let rate = answered.max(1.0 / self.number("routers", 1.0)) * member.size;
        drawn
            && member.sent_work.read(now, self.overload_half_life())
                <= allowed * SLOW_START_BURST_SHARE * rate * window
    }

    /// Half-life for which a steady rate sums up to the same as over the overload window of the settings.
    fn overload_half_life(&self) -> Micros {
        (self.number("rules.fall_for", 0.0) * std::f64::consts::LN_2) as Micros
    }

    /// Seed of the slow-start draw: the same for a command and a server however often it is asked.
    fn slow_start_seed(&self, command: &Command, server: usize) -> u64 {
        let own = self.number("router", 0.0) as u64;
        let parts = [own, command.session.unwrap_or(0) as u64, command.client_timeout, server as u64];
        parts.iter().fold(command.arrived, |lot, part| (lot ^ part).wrapping_mul(DRAW_SEED_MIX))
    }

    /// Share of its capacity that a member has while it warms up; 1 once it is warm.
    fn warm_up_share(&self, now: Micros, member: &Member) -> f64 {
        let Some(started) = member.started else { return 1.0 };
        let (cold, from) = (self.number("rules.cold", 0.0), self.number("rules.cold_from", 1.0));
        let age = now.saturating_sub(started) as f64;
        if age >= cold { 1.0 } else { from + (1.0 - from) * age / cold }
    }

    fn is_write(&self, command: &Command) -> bool {
        let command_group = self.command_groups.get(command.command_group);
        command_group.is_some_and(|command_group| command_group.need == Need::Write)
    }

    /// Notes that the answer to this command goes to its client now, before its dispatch has ended. Not needed where
    /// both happen at once.
    pub fn on_answer(&mut self, now: Micros, pending: &PendingCommand) {
        if let Some(session) = pending.command.session.filter(|_| self.is_write(&pending.command)) {
            self.session_writes.entry(session).or_default().on_answer(now);
        }
    }

    /// Records the end of a dispatch and says whether the command is finished.
    pub fn on_outcome(&mut self, now: Micros, pending: &PendingCommand, outcome: &Outcome) -> NextStep {
        let Some(dispatch) = pending.dispatches.get(outcome.dispatch) else { return NextStep::PlaceAgain };
        self.record_outcome(now, pending, dispatch, outcome);
        let write = self.is_write(&pending.command);
        let stated = if write && outcome.ending == DispatchEnd::Answered {
            let commit = outcome.answer_report.position;
            if let Some(session) = pending.command.session {
                let writes = self.session_writes.entry(session).or_default();
                writes.on_dispatch_ended(now, dispatch.sent + outcome.took, commit);
            }
            Report { position: None, ..outcome.answer_report }
        } else if write && outcome.ending == DispatchEnd::Missed {
            // Only the primary accepts a write, so a miss shows that the member is not the primary.
            Report { primary: Some(false), ..outcome.answer_report }
        } else {
            outcome.answer_report
        };
        self.apply_report(now, dispatch.server, stated, now);
        if let Some(report) = outcome.load_report {
            self.apply_report(now, dispatch.server, report, now.saturating_sub(LOAD_REPORT_AGE));
        }
        let broke = matches!(outcome.ending, DispatchEnd::Reset | DispatchEnd::Unconnected);
        if let Some(session) = pending.command.session.filter(|_| broke) {
            self.session_replicas.remove(&session);
        }
        if !outcome.finished {
            return NextStep::PlaceAgain;
        }
        let out = pending.dispatches.iter().enumerate().filter(|(_, d)| d.ended.is_none()).map(|(n, _)| n);
        NextStep::Finished {
            cancel: if self.flag("limits.recalls", false) { out.collect() } else { Vec::new() },
        }
    }

    /// Updates member, command group and router statistics from the end of a dispatch.
    fn record_outcome(
        &mut self,
        now: Micros,
        pending: &PendingCommand,
        dispatch: &Dispatch,
        outcome: &Outcome,
    ) {
        let index = pending.command.command_group;
        // The position that a missed read required when it was sent: the server had not reached it.
        let bound = self
            .command_groups
            .get(index)
            .and_then(|command_group| self.required_position(dispatch.sent, &pending.command, command_group));
        let long =
            self.command_groups.get(index).is_some_and(|command_group| self.is_long_read(command_group));
        let patience =
            self.command_groups.get(index).map_or(0, |command_group| self.soft_timeout(command_group));
        let routers = self.number("routers", 1.0);
        let known = (self.members.get_mut(&dispatch.server), self.command_groups.get_mut(index));
        let (Some(member), Some(command_group)) = known else { return };
        if let Some(place) = member.in_flight.iter().position(|o| *o == (dispatch.sent, index)) {
            member.in_flight.swap_remove(place);
        }
        let target = command_group.response_target as f64;
        if let Some(group) = self.groups.get_mut(&member.group) {
            group.recent_outcomes.add(now, OUTCOME_HALF_LIFE, 1.0);
            let missed = outcome.ending == DispatchEnd::Missed && command_group.need != Need::Write;
            let lost = matches!(outcome.ending, DispatchEnd::SentBack | DispatchEnd::TimedOut);
            let bad = missed || lost || outcome.took as f64 > target;
            group.recent_bad_outcomes.add(now, OUTCOME_HALF_LIFE, if bad { 1.0 } else { 0.0 });
        }
        let lasted = matches!(outcome.ending, DispatchEnd::Answered | DispatchEnd::TimedOut) && !long;
        if let Some(queue) =
            member.recent_queue(dispatch.sent, QUEUE_REPORT_LIFETIME).filter(|q| lasted && *q >= 0.5)
        {
            let seen = &mut self.stats;
            let waited = (outcome.took as f64 - command_group.prompt_time).max(0.0);
            let off =
                QUEUE_MODEL_WEIGHT * (waited - seen.queue_base_wait - queue * seen.queue_wait_per_command);
            let scale = 1.0 + (queue * INITIAL_QUEUE_STEP_SHARE).powi(2);
            seen.queue_base_wait = (seen.queue_base_wait + off / scale).max(0.0);
            seen.queue_wait_per_command = (seen.queue_wait_per_command
                + off * queue * INITIAL_QUEUE_STEP_SHARE.powi(2) / scale)
                .max(0.0);
        }
        let (mut step, slow) = (0.0, outcome.took as f64 > target * SLOW_WAIT_SHARE);
        match outcome.ending {
            DispatchEnd::Answered => {
                let took = outcome.took as f64;
                let weight =
                    if took < command_group.prompt_time { 5.0 * MEAN_TIME_WEIGHT } else { MEAN_TIME_WEIGHT };
                command_group.prompt_time += weight
                    * (took - command_group.prompt_time)
                        .clamp(-command_group.prompt_time, command_group.prompt_time);
                // A low-traffic router must not take one slow answer for the mean time.
                command_group.answer_count += 1.0;
                command_group.mean_time += (1.0 / (command_group.answer_count + INITIAL_MEAN_COUNT))
                    .max(MEAN_TIME_WEIGHT)
                    * (took - command_group.mean_time);
                self.stats.recent_answers.add(now, HEDGE_BUDGET_HALF_LIFE, 1.0);
                self.stats.answered_work.add(now, WORK_HALF_LIFE, command_group.work_per_command());
                let waited = (took - command_group.prompt_time).max(0.0);
                // Long reads vary too much in their work to show how long others wait.
                if !long {
                    let before = member.decayed_wait(now);
                    member.average_wait = before + WAIT_WEIGHT * (waited - before);
                    member.average_wait_at = now;
                }
                let few = (UNQUEUED_CONCURRENCY / (member.concurrency_limit * routers)).sqrt();
                let late = waited > target * (IN_TIME_SHARE * few).clamp(SLOW_WAIT_SHARE, IN_TIME_SHARE);
                step = if long { 0.0 } else { [SHED_DECREASE, -SHED_INCREASE][usize::from(late)] };
                if late {
                    member.lower_concurrency_limit();
                } else if member.in_flight.len() as f64 + 1.0 >= member.concurrency_limit / 2.0 {
                    member.concurrency_limit += LIMIT_INCREASE * member.concurrency_limit.min(LIMIT_STEP_CAP);
                }
                member.answers.add(now, FAILURE_HALF_LIFE, 1.0);
                (member.answered_at, member.down) = (now, false);
                member.latest_answered_sent_at = member.latest_answered_sent_at.max(dispatch.sent);
            }
            DispatchEnd::Missed => {
                (member.answered_at, member.down) = (now, false);
                member.missed_position = bound.map(|bound| (bound, now)).or(member.missed_position);
            }
            DispatchEnd::SentBack => {
                (member.answered_at, step) = (now, -SHED_INCREASE);
                member.lower_concurrency_limit();
            }
            DispatchEnd::Errored => {
                member.answered_at = now;
                // Some commands fail on any member. So the first error counts against its member only until
                // another member fails the same command.
                let erred =
                    |d: &&Dispatch| d.ended == Some(DispatchEnd::Errored) && d.server != dispatch.server;
                let mut others = pending.dispatches.iter().filter(erred);
                match (others.next(), others.next()) {
                    (None, _) => member.failures.add(now, FAILURE_HALF_LIFE, 1.0),
                    (Some(first), None) => {
                        if let Some(member) = self.members.get_mut(&first.server) {
                            member.failures.add(now, FAILURE_HALF_LIFE, -1.0);
                        }
                    }
                    _ => {}
                }
            }
            // With many low-traffic routers, a client that left early would otherwise take a member out.
            DispatchEnd::TimedOut if outcome.took < patience && routers > INITIAL_LIMIT_ALL_ROUTERS => {}
            DispatchEnd::TimedOut if member.answered_at < dispatch.sent => {
                // No answer since it was sent: considered down until a probe or an answer arrives.
                member.failures.add(now, FAILURE_HALF_LIFE, 1.0);
                member.down = true;
            }
            DispatchEnd::Unconnected | DispatchEnd::Reset => {
                member.connection_failed(now, dispatch.sent, outcome.ending)
            }
            // A lost answer is no sign of a queue: where later commands were answered, the limit stays.
            DispatchEnd::TimedOut | DispatchEnd::Recalled
                if slow && member.latest_answered_sent_at <= dispatch.sent =>
            {
                member.lower_concurrency_limit()
            }
            DispatchEnd::TimedOut | DispatchEnd::Recalled | DispatchEnd::Unsent => {}
        }
        if let Some(group) =
            self.groups.get_mut(&pending.command.group).filter(|_| routers > INITIAL_LIMIT_ALL_ROUTERS)
        {
            group.shed_share = 1.0 - ((1.0 - group.shed_share) * (1.0 + step)).clamp(MIN_LIMIT, 1.0);
        }
    }

    /// With a command: when to call [`Router::place`] for it again. Without: when to call this again, and which
    /// probes and list requests are due.
    pub fn next_check(&mut self, now: Micros, pending: Option<&PendingCommand>) -> NextCheck {
        if let Some(pending) = pending { self.command_check(now, pending) } else { self.periodic_check(now) }
    }

    fn command_check(&self, now: Micros, pending: &PendingCommand) -> NextCheck {
        let command = &pending.command;
        let round = self.number("round", 5_000.0) as Micros;
        let left = command.client_timeout.saturating_sub(now + round);
        let mut wait = NextCheck { after: left, ..NextCheck::default() };
        let Some(command_group) = self.command_groups.get(command.command_group) else { return wait };
        let out = pending.dispatches.iter().enumerate().filter(|(_, d)| d.ended.is_none());
        let no_more =
            |d: &Dispatch| left == 0 || !self.may_still_write(now, pending, command_group, d.server);
        let unsent = out.clone().filter(|(_, d)| d.written.is_none() && no_more(d)).map(|(n, _)| n);
        wait.cancel.extend(unsent);
        let Some((last, sent)) = out.map(|(n, d)| (n, d.sent)).max() else {
            wait.after = (now.saturating_sub(command.arrived) / 2)
                .clamp(HOLD_POLL_INTERVAL, PRIMARY_SEARCH_WINDOW / 2)
                .min(left);
            return wait;
        };
        let patience = self.soft_timeout(command_group);
        // Avoids a busy loop of the host in the last moments before the client timeout.
        let later = patience.min(left).max(round);
        wait.after = if now < sent + patience { sent + patience - now } else { later };
        // Where hedging is not allowed, a read at a silent member is cancelled and tried elsewhere.
        let alone = !self.flag("limits.second_copies", false) && self.flag("limits.recalls", false);
        let read = command_group.effect == Effect::Replayable && command_group.need != Need::Write;
        let again =
            pending.dispatches.len() < MAX_READ_ATTEMPTS && self.within_hedging_budget(now, command_group);
        if alone
            && read
            && again
            && now >= sent + patience
            && !self.is_reachable(now, pending.dispatches[last].server)
        {
            wait.cancel.push(last);
        }
        wait
    }

    fn periodic_check(&mut self, now: Micros) -> NextCheck {
        let mut wait = NextCheck { after: SECOND, ..NextCheck::default() };
        wait.request_list = self.list_request_due.is_some_and(|due| due <= now);
        self.list_request_due = self.list_request_due.filter(|due| *due > now);
        if !self.flag("limits.probes", false) {
            return wait;
        }
        for server in std::mem::take(&mut self.queue_probes) {
            let Some(member) = self.members.get_mut(&server).filter(|m| !m.probe_in_flight) else { continue };
            (member.last_probe_at, member.probe_in_flight) = (Some(now), true);
            wait.probes.push(server);
        }
        for group in self.groups.values() {
            if group.last_command_at.is_none_or(|at| at + GROUP_IDLE_AFTER < now) {
                continue;
            }
            // Probes that report no role cannot find a primary, and frequent ones cost as much as commands.
            let sought = self.stats.probes_report_role
                && group.primary_sought_at.is_some_and(|at| now <= at + PRIMARY_SEARCH_WINDOW);
            // A router with little traffic must not spend more on probes than on commands.
            let commands = group.recent_commands.rate(now, HEDGE_BUDGET_HALF_LIFE);
            let least = if self.stats.most_probes_lost { PROBE_INTERVAL_MAX } else { PROBE_INTERVAL };
            let paced = group.members.len() as f64 / (PROBE_TRAFFIC_SHARE * commands);
            let paced = (paced as Micros).clamp(least, PROBE_INTERVAL_MAX);
            for server in &group.members {
                let member = self.members.get_mut(server).filter(|m| m.serving && !m.probe_in_flight);
                let Some(member) = member else { continue };
                let every = if sought { PRIMARY_SEARCH_INTERVAL } else { paced };
                let every = every.min(if member.down { PROBE_INTERVAL_DOWN } else { PROBE_INTERVAL_MAX });
                let next = member.last_probe_at.map_or(now, |at| at + every);
                if next <= now {
                    (member.last_probe_at, member.probe_in_flight) = (Some(now), true);
                    wait.probes.push(*server);
                } else {
                    wait.after = wait.after.min(next - now);
                }
            }
        }
        wait
    }
}
