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
//!
//! This file has settings, placement, hedging and checks; the modules below have the rest.

mod capacity;
mod diagnosis;
mod evidence;
mod outcomes;
mod session_writes;
mod slow_start;
mod targets;

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
/// Interval between probes of a member while its group is in use (initial value of the design).
const PROBE_INTERVAL: Micros = SECOND;
/// Most members that a failing read tries (from the paper).
const MAX_READ_ATTEMPTS: usize = 3;

// --- Evidence ---
/// Probes as a share of a group's commands: without it, hundreds of low-traffic routers send more probes than
/// commands. With the longest interval between two probes.
const PROBE_TRAFFIC_SHARE: f64 = 0.2;
const PROBE_INTERVAL_MAX: Micros = 60 * SECOND;
/// Interval between probes of a member that is down: a usual restart spans a few of them.
const PROBE_INTERVAL_DOWN: Micros = 4 * SECOND;
/// Age assumed for a load report: its refresh interval plus transit time, a few tenths of a second.
const LOAD_REPORT_AGE: Micros = 300 * MILLI;
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
/// The soft timeout of a dispatch is this many times its group's mean time; few good answers take longer.
const SOFT_TIMEOUT_FACTOR: f64 = 3.0;
/// Bounds of the soft timeout as shares of the response target: below the lower one, waiting costs little;
/// above the upper one, no time is left for another attempt.
const SOFT_TIMEOUT_MIN_SHARE: f64 = 0.25;
const SOFT_TIMEOUT_MAX_SHARE: f64 = 0.6;

// --- Load balancing ---
/// Half-life of the average wait without new answers, so that a member that was avoided is tried again.
const WAIT_HALF_LIFE: Micros = 10 * SECOND;
/// Wait, as a share of the response target, above which reads leave a member's zone for another.
const LONG_WAIT_SHARE: f64 = 0.25;
/// Initial estimate of the mean time, as a share of the response target.
const INITIAL_MEAN_SHARE: f64 = 0.2;

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
/// Share of the concurrency limit that a late answer takes off and that a prompt answer adds while the limit is
/// in use: an equilibrium at one late answer in three.
const LIMIT_DECREASE: f64 = 0.15;
const LIMIT_INCREASE: f64 = 0.075;
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

    /// Notes that the client of this command has gone. Its dispatches still end one by one.
    pub fn on_client_gone(&mut self, _now: Micros, _pending: &PendingCommand) {}

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
