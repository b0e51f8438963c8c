//! Expectations generated from the router's current behaviour: a starting point, and a safety net for changes.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::Arc;

use tansyjunction::interface::Micros;

use crate::expectation::{Expectation, Requirements};
use crate::explore::{self, Bounds, ObservedBehavior, RouterFactory};
use crate::scope::Scope;
use crate::state::{self, STATES, State};
use crate::steer::CheckedRouter;
use crate::subject::{Effect, Need, Subject};

/// States covered by suggestions; the others differ only in which server is affected.
const SUGGESTED_STATES: [State; 6] =
    [State::Calm, State::New, State::Behind, State::Draining, State::LateList, State::Changing];
/// Times are rounded up to this, so that small changes do not violate a suggestion.
const ROUNDING: Micros = 100_000;

/// Behaviour of commands of a group on a shard in a state, without additional faults.
pub fn observe<S: CheckedRouter>(
    subject: &Arc<Subject>,
    command: usize,
    shard: usize,
    state: &State,
    bounds: &Bounds,
    make: RouterFactory<S>,
) -> Result<ObservedBehavior, String> {
    let section = tansyjunction_settings::Section {
        file: "observed".into(),
        name: "expectation observed".into(),
        line: 0,
        entries: Vec::new(),
    };
    let expectation = Expectation {
        name: "observed".into(),
        section,
        commands: vec![command],
        shards: vec![shard],
        zones: vec![subject.own_zone],
        session: subject.command_groups[command].need == Need::Session,
        written_ago: None,
        states: vec![state.clone()],
        faults: Vec::new(),
        fault_count: 0,
        each_once: false,
        seeds: 2,
        at_once: 1,
        over: 0,
        must: Requirements::default(),
    };
    Ok(explore::expectation(subject, &[], &expectation, bounds, make)?.seen)
}

/// Suggestions for all command groups as a file. What all shards have in common is written once.
pub fn suggest<S: CheckedRouter>(
    subject: &Arc<Subject>,
    bounds: &Bounds,
    make: RouterFactory<S>,
) -> Result<String, String> {
    let mut out =
        String::from("; Written by `tansyjunction expect suggest` from what the router does now.\n");
    for (command, group) in subject.command_groups.iter().enumerate() {
        for state in &SUGGESTED_STATES {
            let mut by_text: Vec<(String, Vec<usize>)> = Vec::new();
            for shard in 0..subject.shards.len() {
                if state::starts(subject, &[], state, shard).is_empty() {
                    continue;
                }
                let seen = observe(subject, command, shard, state, bounds, make)?;
                let text = suggestion(subject, command, shard, state, &seen);
                match by_text.iter_mut().find(|(known, _)| *known == text) {
                    Some((_, shards)) => shards.push(shard),
                    None => by_text.push((text, vec![shard])),
                }
            }
            let state = STATES.iter().find(|(_, known)| known == state).map_or("", |(name, _)| name);
            for (text, shards) in by_text {
                let all = shards.len() == subject.shards.len();
                let names: Vec<&str> = shards.iter().map(|shard| subject.shards[*shard].as_str()).collect();
                let (name, shards) = match all {
                    true => (format!("{} {state}", group.name), "*".to_string()),
                    false => (format!("{} {state} {}", group.name, names.join(" ")), names.join(", ")),
                };
                let _ = writeln!(out, "\n[expectation {name}]\ncommands = {}\nshards = {shards}", group.name);
                let _ = write!(out, "in = {state}\n{text}");
            }
        }
    }
    Ok(out)
}

fn suggestion(
    subject: &Subject,
    command: usize,
    shard: usize,
    state: &State,
    seen: &ObservedBehavior,
) -> String {
    let mut out = String::new();
    let group = &subject.command_groups[command];
    let starts = state::starts(subject, &[], state, shard);
    // The narrowest words that cover everything observed in all scenarios of the state.
    let words = ["primary", "replica own zone", "replica", "own zone"];
    let within = |text: &str| {
        let Ok(scope) = Scope::read(text, subject) else { return false };
        let fits = |server: &usize| {
            starts
                .iter()
                .all(|start| scope.has(subject, *server, &start.truths[*server], crate::world::START_TIME))
        };
        !seen.any.is_empty() && seen.any.iter().all(fits)
    };
    if let Some(word) = words.into_iter().find(|word| within(word)) {
        let _ = writeln!(out, "only = {word}");
    }
    if *state == State::Draining {
        out.push_str("never = draining\n");
    }
    if *state == State::Behind && matches!(group.need, Need::Bounded(_)) {
        let bound = if let Need::Bounded(bound) = group.need { bound } else { 0 };
        let _ = writeln!(out, "never = behind {}us", bound);
    }
    let _ = writeln!(out, "tries = {}", seen.tries.max(1));
    if group.effect == Effect::Mutating {
        out.push_str("once = yes\n");
    }
    for (key, latest) in ["answered", "throttled", "failed"].into_iter().zip(seen.latest) {
        match latest {
            None => {
                let _ = writeln!(out, "{key} = never");
            }
            Some(latest) => {
                let _ = writeln!(out, "{key} = within {}ms", latest.div_ceil(ROUNDING) * ROUNDING / 1_000);
            }
        }
    }
    out
}

/// Names of servers, sorted.
pub fn names(subject: &Subject, servers: &BTreeSet<usize>) -> BTreeSet<String> {
    servers.iter().map(|server| subject.servers[*server].name.clone()).collect()
}
