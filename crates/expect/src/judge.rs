//! Whether a run is right: against the five rules, which always hold, and against what an expectation says must hold.
//! It looks at worlds and decides no route.

use tansyjunction::interface::*;
use tansyjunction_settings::{ExpectSettings, SettingsError};

use crate::expectation::{Limit, Must};
use crate::steer::Steer;
use crate::subject::{Effect, Guards, Subject, Within};
use crate::truth::{Condition, Truth};
use crate::world::{End, Stop, World};

/// What a run breaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// One of the five rules of the protocol, by its number.
    Rule(u8),
    /// What the expectation says under this key.
    Key(&'static str),
    /// A call that no router may make, such as a server of another shard.
    Protocol,
}

impl Cause {
    pub fn name(&self) -> String {
        match self {
            Cause::Rule(number) => {
                let names = ["final answer", "no effect twice", "drains", "cold servers", "no stale read"];
                format!("rule {number}, {}", names[(*number as usize - 1).min(4)])
            }
            Cause::Key(key) => format!("'{key}'"),
            Cause::Protocol => "protocol".into(),
        }
    }

    /// The keys of the configuration that decide this, to be looked at first.
    pub fn look(&self) -> &'static str {
        match self {
            Cause::Rule(1) => "settings.categories.hard_limit, settings.guarantees.grace_to_answer",
            Cause::Rule(2) => "settings.categories.effect, window and dedup_scope",
            Cause::Rule(3) => "known.hosts.health, settings.guarantees.drain_grace and gone_is_advice",
            Cause::Rule(4) => "known.hosts.born_ms and share, settings.guarantees.cold and fall_multiple",
            Cause::Rule(_) => "settings.domain.class_bound, guards and needs_by_class",
            Cause::Key("only" | "never" | "may" | "some") => {
                "known.hosts.recovery, block, site and health, settings.domain.needs_by_class"
            }
            Cause::Key("own_zone_first") => "known.hosts.site, settings.my_zone",
            Cause::Key("tries" | "once") => "settings.limits.max_attempts, settings.categories.effect",
            Cause::Key(_) => "settings.categories.aim and hard_limit, settings.limits",
            Cause::Protocol => "known.hosts.block, settings.limits.max_attempts",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    pub cause: Cause,
    pub why: String,
}

fn broken(cause: Cause, why: impl Into<String>) -> Option<Broken> {
    Some(Broken { cause, why: why.into() })
}

/// A time in the unit that people would use for it.
pub fn time(micros: Micros) -> String {
    match micros {
        0 => "0".into(),
        m if m % 1_000_000 == 0 => format!("{} s", m / 1_000_000),
        m if m % 1_000 == 0 => format!("{} ms", m / 1_000),
        m if m < 10_000 => format!("{m} us"),
        m => format!("{:.1} ms", m as f64 / 1e3),
    }
}

/// Limits count in whole milliseconds: what ends with the client's time is within it.
fn millis(micros: Micros) -> u64 {
    micros / 1_000
}

/// Whether a dispatch may have run, as far as its ending tells; one that is out may.
fn maybe_ran(dispatch: &Dispatch) -> bool {
    dispatch.ended.is_none_or(|ended| !ended.never_ran())
}

/// The command that is looked at was just sent to `server`, as its dispatch of this number.
pub fn sent<S: Steer>(must: &Must, world: &World<S>, dispatch: usize, server: usize) -> Option<Broken> {
    rules_at_dispatch(world, dispatch, server).or_else(|| keys_at_dispatch(must, world, dispatch, server))
}

fn rules_at_dispatch<S: Steer>(world: &World<S>, dispatch: usize, server: usize) -> Option<Broken> {
    let subject = &*world.subject;
    let (figures, now) = (&subject.figures, world.now);
    let held = &world.last().held;
    let group = &subject.command_groups[held.command.command_group];
    let Some(facts) = subject.servers.get(server) else {
        return broken(Cause::Protocol, format!("server {server} was never listed"));
    };
    let (name, truth) = (&facts.name, &world.truths[server]);
    if facts.shard != held.command.group {
        let (here, there) = (&subject.shards[held.command.group], &subject.shards[facts.shard]);
        return broken(Cause::Protocol, format!("{name} is of shard {there}, the command of shard {here}"));
    }
    if dispatch >= figures.max_dispatches {
        let most = figures.max_dispatches;
        return broken(Cause::Protocol, format!("dispatch {} where {most} are allowed", dispatch + 1));
    }
    let earlier = &held.dispatches[..dispatch];
    if !figures.second_copies && earlier.iter().any(|d| d.ended.is_none()) {
        return broken(Cause::Rule(2), "a second copy is out where none is allowed");
    }
    if let Some(first) = earlier.iter().find(|d| maybe_ran(d)) {
        let to = &subject.servers[first.server];
        match group.effect {
            Effect::Replayable => {}
            Effect::Mutating => {
                let why = format!("sent again to {name} while it may have run at {}", to.name);
                return broken(Cause::Rule(2), why);
            }
            Effect::Keyed(within, window) => {
                if now >= first.sent + window {
                    let since = time(now - first.sent);
                    let why =
                        format!("sent again {since} after the first try, its window being {}", time(window));
                    return broken(Cause::Rule(2), why);
                }
                if within == Within::Zone && facts.zone != to.zone {
                    let why = format!("sent again to {name}, outside the zone where repeats are dropped");
                    return broken(Cause::Rule(2), why);
                }
            }
        }
    }
    let drains =
        truth.standing == ServerState::Draining || truth.standing == ServerState::Gone && figures.gone_binds;
    if drains && now > truth.told_at + figures.drain_grace {
        let how = if truth.standing == ServerState::Gone { "is gone" } else { "drains" };
        let grace = time(figures.drain_grace);
        return broken(Cause::Rule(3), format!("{name} {how}, and was told so more than {grace} ago"));
    }
    if let Some(why) = too_much_for_cold(world, server) {
        return broken(Cause::Rule(4), why);
    }
    let answers = figures.guards == Guards::None && truth.condition == Condition::Well && !group.writes();
    let excused = truth.was_primary && !truth.told_replica;
    let needed = world.needed(world.hands.len() - 1).filter(|_| answers && !excused);
    if let Some(needed) = needed.filter(|needed| truth.position(now) < *needed) {
        let short = time(needed - truth.position(now));
        return broken(Cause::Rule(5), format!("{name} would answer from data {short} too old"));
    }
    None
}

/// More work than the rule on cold servers allows, if all gateways did the same: in some window of its length, more
/// than the multiple of what the server carries now. One unit of size carries one second of work in a second.
fn too_much_for_cold<S: Steer>(world: &World<S>, server: usize) -> Option<String> {
    let figures = &world.subject.figures;
    let (facts, truth) = (&world.subject.servers[server], &world.truths[server]);
    let started = truth.started.filter(|_| truth.cold(world.now, figures.cold))?;
    let from = world.now.saturating_sub(figures.fall_for);
    let work: Micros =
        world.sent.iter().filter(|(at, to, _)| *to == server && *at >= from).map(|(_, _, work)| work).sum();
    let age = (world.now - started) as f64 / figures.cold as f64;
    let carries = facts.size * (figures.cold_from + (1.0 - figures.cold_from) * age);
    let budget = figures.fall_multiple * carries * figures.fall_for as f64;
    // A single command is no burst, whatever its work.
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

fn keys_at_dispatch<S: Steer>(
    must: &Must,
    world: &World<S>,
    dispatch: usize,
    server: usize,
) -> Option<Broken> {
    let (subject, now) = (&*world.subject, world.now);
    let (facts, truth) = (&subject.servers[server], &world.truths[server]);
    let held = &world.last().held;
    let name = &facts.name;
    if let Some(only) = must.only.as_ref().filter(|only| !only.has(subject, server, truth, now)) {
        let why = format!("sent to {name} ({}), which is not '{}'", stands(subject, truth), only.text);
        return broken(Cause::Key("only"), why);
    }
    if let Some(never) = must.never.as_ref().filter(|never| never.has(subject, server, truth, now)) {
        let why = format!("sent to {name} ({}), which is '{}'", stands(subject, truth), never.text);
        return broken(Cause::Key("never"), why);
    }
    if must.tries.is_some_and(|most| dispatch >= most) {
        return broken(Cause::Key("tries"), format!("dispatch {}, to {name}", dispatch + 1));
    }
    if must.once && held.dispatches[..dispatch].iter().any(maybe_ran) {
        let why = format!("sent again to {name} though it may have run");
        return broken(Cause::Key("once"), why);
    }
    if must.own_zone_first && facts.zone != subject.own_zone {
        let better = subject.members(held.command.group).find(|other| qualifies(world, *other));
        if let Some(other) = better {
            let other = &subject.servers[other].name;
            let why = format!("sent to {name} in another zone while {other} in the client's zone qualifies");
            return broken(Cause::Key("own_zone_first"), why);
        }
    }
    None
}

/// A server of the client's zone that may take the command, as the world truly is: a replica that is up, told as
/// serving, warm, fresh enough and not tried yet.
fn qualifies<S: Steer>(world: &World<S>, server: usize) -> bool {
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

/// How a server stands, in words.
pub fn stands(subject: &Subject, truth: &Truth) -> String {
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
    if truth.cold(crate::world::BEGIN, subject.figures.cold) {
        parts.push("cold".into());
    }
    parts.join(", ")
}

/// The run of the command that is looked at is over.
pub fn over<S: Steer>(must: &Must, world: &World<S>, stop: Stop) -> Option<Broken> {
    let (subject, hand) = (&*world.subject, world.last());
    let command = &hand.held.command;
    let group = &subject.command_groups[command.command_group];
    let Some((at, end)) = hand.end else {
        let why = match stop {
            Stop::Endless => "the router was asked without end".into(),
            _ => format!("no final answer {} after its arrival", time(group.client_timeout)),
        };
        return broken(Cause::Rule(1), why);
    };
    if at > command.client_timeout + subject.figures.answer_grace {
        let late = time(at - command.client_timeout);
        return broken(Cause::Rule(1), format!("the final answer comes {late} after the client's time"));
    }
    let ran = hand.held.dispatches.iter().any(maybe_ran);
    let once = match group.effect {
        Effect::Replayable | Effect::Keyed(Within::All, _) => false,
        Effect::Keyed(..) | Effect::Mutating => true,
    };
    if end == End::Throttled && ran && once {
        return broken(
            Cause::Rule(2),
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
                return broken(Cause::Key(key), format!("{} after {}", key, time(took)));
            }
            Some(Limit::Always) if !so => {
                let how = match end {
                    End::Answered { .. } => "answered",
                    End::Throttled => "throttled",
                    End::Failed => "failed",
                };
                return broken(Cause::Key(key), format!("{how} after {}", time(took)));
            }
            Some(Limit::Within(most)) if so && millis(took) > millis(most) => {
                return broken(Cause::Key(key), format!("{key} only after {}", time(took)));
            }
            _ => {}
        }
    }
    if must.held.is_some_and(|most| millis(hand.idle) > millis(most)) {
        return broken(Cause::Key("held"), format!("kept for {} without a dispatch", time(hand.idle)));
    }
    None
}

/// A place in the files where more lag is allowed to a replica than a command group permits, found without a run.
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
