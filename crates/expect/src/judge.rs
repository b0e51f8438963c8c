//! Checks of a run against the five rules, which always hold, and against an expectation. Makes no routing decisions.

use tansyjunction::interface::*;
use tansyjunction_settings::{ExpectSettings, SettingsError};

use crate::expectation::{Limit, Requirements};
use crate::steer::CheckedRouter;
use crate::subject::{Effect, Guards, Subject, Within};
use crate::truth::{ActualState, Condition};
use crate::world::{End, PauseReason, World};

/// What a run violates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViolatedRule {
    /// One of the five rules of the protocol, by number.
    Rule(u8),
    /// A key of the expectation.
    Key(&'static str),
    /// A call that no router may make, such as a server of another shard.
    Protocol,
}

impl ViolatedRule {
    /// Name in reports.
    pub fn name(&self) -> String {
        match self {
            ViolatedRule::Rule(number) => {
                let names = ["final answer", "no effect twice", "drains", "cold servers", "no stale read"];
                format!("rule {number}, {}", names[(*number as usize - 1).min(4)])
            }
            ViolatedRule::Key(key) => format!("'{key}'"),
            ViolatedRule::Protocol => "protocol".into(),
        }
    }

    /// Keys of the configuration to examine first.
    pub fn look(&self) -> &'static str {
        match self {
            ViolatedRule::Rule(1) => "settings.categories.hard_limit, settings.guarantees.grace_to_answer",
            ViolatedRule::Rule(2) => "settings.categories.effect, window and dedup_scope",
            ViolatedRule::Rule(3) => "known.hosts.health, settings.guarantees.drain_grace and gone_is_advice",
            ViolatedRule::Rule(4) => {
                "known.hosts.born_ms and share, settings.guarantees.cold and fall_multiple"
            }
            ViolatedRule::Rule(_) => "settings.domain.class_bound, guards and needs_by_class",
            ViolatedRule::Key("only" | "never" | "may" | "some") => {
                "known.hosts.recovery, block, site and health, settings.domain.needs_by_class"
            }
            ViolatedRule::Key("own_zone_first") => "known.hosts.site, settings.my_zone",
            ViolatedRule::Key("tries" | "once") => "settings.limits.max_attempts, settings.categories.effect",
            ViolatedRule::Key(_) => "settings.categories.aim and hard_limit, settings.limits",
            ViolatedRule::Protocol => "known.hosts.block, settings.limits.max_attempts",
        }
    }
}

/// A violated rule with an explanation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub cause: ViolatedRule,
    pub why: String,
}

fn broken(cause: ViolatedRule, why: impl Into<String>) -> Option<Violation> {
    Some(Violation { cause, why: why.into() })
}

/// A time in a suitable unit.
pub fn time(micros: Micros) -> String {
    match micros {
        0 => "0".into(),
        m if m % 1_000_000 == 0 => format!("{} s", m / 1_000_000),
        m if m % 1_000 == 0 => format!("{} ms", m / 1_000),
        m if m < 10_000 => format!("{m} us"),
        m => format!("{:.1} ms", m as f64 / 1e3),
    }
}

/// Limits are compared in whole milliseconds, so that an end at the client timeout is within it.
fn millis(micros: Micros) -> u64 {
    micros / 1_000
}

/// Whether a dispatch may have executed according to its end; one in flight may have.
fn maybe_ran(dispatch: &Dispatch) -> bool {
    dispatch.ended.is_none_or(|ended| !ended.never_ran())
}

/// Checks a dispatch of the examined command to `server`.
pub fn sent<S: CheckedRouter>(
    must: &Requirements,
    world: &World<S>,
    dispatch: usize,
    server: usize,
) -> Option<Violation> {
    rules_at_dispatch(world, dispatch, server).or_else(|| keys_at_dispatch(must, world, dispatch, server))
}

fn rules_at_dispatch<S: CheckedRouter>(
    world: &World<S>,
    dispatch: usize,
    server: usize,
) -> Option<Violation> {
    let subject = &*world.subject;
    let (figures, now) = (&subject.figures, world.now);
    let held = &world.last().held;
    let group = &subject.command_groups[held.command.command_group];
    let Some(facts) = subject.servers.get(server) else {
        return broken(ViolatedRule::Protocol, format!("server {server} was never listed"));
    };
    let (name, truth) = (&facts.name, &world.truths[server]);
    if facts.shard != held.command.group {
        let (here, there) = (&subject.shards[held.command.group], &subject.shards[facts.shard]);
        return broken(
            ViolatedRule::Protocol,
            format!("{name} is of shard {there}, the command of shard {here}"),
        );
    }
    if dispatch >= figures.max_dispatches {
        let most = figures.max_dispatches;
        return broken(ViolatedRule::Protocol, format!("dispatch {} where {most} are allowed", dispatch + 1));
    }
    let earlier = &held.dispatches[..dispatch];
    if !figures.second_copies && earlier.iter().any(|d| d.ended.is_none()) {
        return broken(ViolatedRule::Rule(2), "a second copy is out where none is allowed");
    }
    if let Some(first) = earlier.iter().find(|d| maybe_ran(d)) {
        let to = &subject.servers[first.server];
        match group.effect {
            Effect::Replayable => {}
            Effect::Mutating => {
                let why = format!("sent again to {name} while it may have run at {}", to.name);
                return broken(ViolatedRule::Rule(2), why);
            }
            Effect::Keyed(within, window) => {
                if now >= first.sent + window {
                    let since = time(now - first.sent);
                    let why =
                        format!("sent again {since} after the first try, its window being {}", time(window));
                    return broken(ViolatedRule::Rule(2), why);
                }
                if within == Within::Zone && facts.zone != to.zone {
                    let why = format!("sent again to {name}, outside the zone where repeats are dropped");
                    return broken(ViolatedRule::Rule(2), why);
                }
            }
        }
    }
    let drains =
        truth.standing == ServerState::Draining || truth.standing == ServerState::Gone && figures.gone_binds;
    if drains && now > truth.told_at + figures.drain_grace {
        let how = if truth.standing == ServerState::Gone { "is gone" } else { "drains" };
        let grace = time(figures.drain_grace);
        return broken(ViolatedRule::Rule(3), format!("{name} {how}, and was told so more than {grace} ago"));
    }
    if let Some(why) = too_much_for_cold(world, server) {
        return broken(ViolatedRule::Rule(4), why);
    }
    let answers = figures.guards == Guards::None && truth.condition == Condition::Well && !group.writes();
    let excused = truth.was_primary && !truth.told_replica;
    let needed = world.needed(world.hands.len() - 1).filter(|_| answers && !excused);
    if let Some(needed) = needed.filter(|needed| truth.position(now) < *needed) {
        let short = time(needed - truth.position(now));
        return broken(ViolatedRule::Rule(5), format!("{name} would answer from data {short} too old"));
    }
    None
}

/// Checks the overload rule of cold servers, assuming that all gateways did the same: the work in any window must not
/// exceed the multiple of the server's current capacity. One unit of size does one second of work per second.
fn too_much_for_cold<S: CheckedRouter>(world: &World<S>, server: usize) -> Option<String> {
    let figures = &world.subject.figures;
    let (facts, truth) = (&world.subject.servers[server], &world.truths[server]);
    let started = truth.started.filter(|_| truth.cold(world.now, figures.cold))?;
    let from = world.now.saturating_sub(figures.fall_for);
    let work: Micros =
        world.sent.iter().filter(|(at, to, _)| *to == server && *at >= from).map(|(_, _, work)| work).sum();
    let age = (world.now - started) as f64 / figures.cold as f64;
    let carries = facts.size * (figures.cold_from + (1.0 - figures.cold_from) * age);
    let budget = figures.fall_multiple * carries * figures.fall_for as f64;
    // A single command is no overload, however much work it is.
    let several = world.sent.iter().filter(|(_, to, _)| *to == server).count() > 1;
    let all = work as f64 * figures.routers;
    (several && figures.fall_multiple > 0.0 && all > budget).then(|| {
        let name = &facts.name;
        format!(
            "{name} is cold: {:.2} s of work from all gateways where it bears {:.2} s",
            all / 1e6,
            budget / 1e6
        )
    })
}

fn keys_at_dispatch<S: CheckedRouter>(
    must: &Requirements,
    world: &World<S>,
    dispatch: usize,
    server: usize,
) -> Option<Violation> {
    let (subject, now) = (&*world.subject, world.now);
    let (facts, truth) = (&subject.servers[server], &world.truths[server]);
    let held = &world.last().held;
    let name = &facts.name;
    if let Some(only) = must.only.as_ref().filter(|only| !only.has(subject, server, truth, now)) {
        let why = format!("sent to {name} ({}), which is not '{}'", stands(subject, truth), only.text);
        return broken(ViolatedRule::Key("only"), why);
    }
    if let Some(never) = must.never.as_ref().filter(|never| never.has(subject, server, truth, now)) {
        let why = format!("sent to {name} ({}), which is '{}'", stands(subject, truth), never.text);
        return broken(ViolatedRule::Key("never"), why);
    }
    if must.tries.is_some_and(|most| dispatch >= most) {
        return broken(ViolatedRule::Key("tries"), format!("dispatch {}, to {name}", dispatch + 1));
    }
    if must.once && held.dispatches[..dispatch].iter().any(maybe_ran) {
        let why = format!("sent again to {name} though it may have run");
        return broken(ViolatedRule::Key("once"), why);
    }
    if must.own_zone_first && facts.zone != subject.own_zone {
        let better = subject.members(held.command.group).find(|other| qualifies(world, *other));
        if let Some(other) = better {
            let other = &subject.servers[other].name;
            let why = format!("sent to {name} in another zone while {other} in the client's zone qualifies");
            return broken(ViolatedRule::Key("own_zone_first"), why);
        }
    }
    None
}

/// Whether a server in the client's zone actually qualifies: an untried replica that is up, listed as serving, warm and
/// fresh enough.
fn qualifies<S: CheckedRouter>(world: &World<S>, server: usize) -> bool {
    let (subject, truth) = (&*world.subject, &world.truths[server]);
    let place = world.hands.len() - 1;
    let held = &world.last().held;
    let fresh = world.needed(place).is_none_or(|needed| truth.position(world.now) >= needed);
    subject.servers[server].zone == subject.own_zone
        && !truth.primary
        && truth.condition == Condition::Well
        && truth.standing == ServerState::Serving
        && !truth.cold(world.now, subject.figures.cold)
        && fresh
        && !truth.failed
        && held.dispatches.iter().all(|d| d.server != server)
}

/// State of a server as text.
pub fn stands(subject: &Subject, truth: &ActualState) -> String {
    let mut parts = vec![if truth.primary { "primary".to_string() } else { "replica".to_string() }];
    if truth.listed_primary != truth.primary {
        parts.push(format!("listed as {}", if truth.listed_primary { "primary" } else { "replica" }));
    }
    if !truth.primary && truth.lag > 0 {
        parts.push(format!("{} behind", time(truth.lag)));
    }
    match truth.standing {
        ServerState::Serving => {}
        ServerState::Draining => parts.push("draining".into()),
        ServerState::Gone => parts.push("gone".into()),
    }
    if truth.condition != Condition::Well {
        parts.push(format!("{:?}", truth.condition).to_lowercase());
    }
    if truth.cold(crate::world::START_TIME, subject.figures.cold) {
        parts.push("cold".into());
    }
    parts.join(", ")
}

/// Checks the end of the run of the examined command.
pub fn over<S: CheckedRouter>(must: &Requirements, world: &World<S>, stop: PauseReason) -> Option<Violation> {
    let (subject, hand) = (&*world.subject, world.last());
    let command = &hand.held.command;
    let group = &subject.command_groups[command.command_group];
    let Some((at, end)) = hand.end else {
        let why = match stop {
            PauseReason::Endless => "the router was asked without end".into(),
            _ => format!("no final answer {} after its arrival", time(group.client_timeout)),
        };
        return broken(ViolatedRule::Rule(1), why);
    };
    if at > command.client_timeout + subject.figures.answer_grace {
        let late = time(at - command.client_timeout);
        return broken(
            ViolatedRule::Rule(1),
            format!("the final answer comes {late} after the client's time"),
        );
    }
    let ran = hand.held.dispatches.iter().any(maybe_ran);
    let once = match group.effect {
        Effect::Replayable | Effect::Keyed(Within::All, _) => false,
        Effect::Keyed(..) | Effect::Mutating => true,
    };
    if end == End::Throttled && ran && once {
        return broken(
            ViolatedRule::Rule(2),
            "throttled, which says that a new try does no harm, though it may have run",
        );
    }
    let took = at - command.arrived;
    for (key, limit, so) in [
        ("answered", must.answered, matches!(end, End::Answered { .. })),
        ("throttled", must.throttled, end == End::Throttled),
        ("failed", must.failed, end == End::Failed),
    ] {
        match limit {
            Some(Limit::Never) if so => {
                return broken(ViolatedRule::Key(key), format!("{} after {}", key, time(took)));
            }
            Some(Limit::Always) if !so => {
                let how = match end {
                    End::Answered { .. } => "answered",
                    End::Throttled => "throttled",
                    End::Failed => "failed",
                };
                return broken(ViolatedRule::Key(key), format!("{how} after {}", time(took)));
            }
            Some(Limit::Within(most)) if so && millis(took) > millis(most) => {
                return broken(ViolatedRule::Key(key), format!("{key} only after {}", time(took)));
            }
            _ => {}
        }
    }
    if must.held.is_some_and(|most| millis(hand.idle) > millis(most)) {
        return broken(ViolatedRule::Key("held"), format!("kept for {} without a dispatch", time(hand.idle)));
    }
    None
}

/// Finds, without a run, where a replica may lag more than a command group permits.
pub fn lag_beyond_bound(subject: &Subject, allowed: Micros, commands: &[usize]) -> Option<String> {
    let bounds = commands.iter().filter_map(|k| match subject.command_groups[*k].need {
        crate::subject::Need::Bounded(bound) => Some((bound, &subject.command_groups[*k].name)),
        _ => None,
    });
    let (bound, name) = bounds.min()?;
    (allowed > bound).then(|| {
        format!("a replica is allowed to be {} behind, but {name} permits {}", time(allowed), time(bound))
    })
}

/// The same for the program's settings.
pub fn settings_lag(subject: &Subject, bounds: &ExpectSettings, file: &str) -> Option<SettingsError> {
    let all: Vec<usize> = (0..subject.command_groups.len()).collect();
    let message = lag_beyond_bound(subject, bounds.replica_lag_allowed?, &all)?;
    let (section, key) = ("expect".to_string(), "replica_lag_allowed".to_string());
    Some(SettingsError { file: file.into(), line: 0, section, key, message })
}
