//! Static checks of expectations: more lag allowed than a command group permits, contradictory expectations, and those
//! that can never apply.

use std::collections::BTreeSet;
use std::sync::Arc;

use tansyjunction_settings::SettingsError;

use crate::expectation::{EFFECTS, Expectation, Limit, Stated, Suite};
use crate::explore::{from_zone, named_by};
use crate::judge::{lag_beyond_bound, time};
use crate::scope::{Scope, Term};
use crate::state::{self, DescribedWorld};
use crate::subject::{Effect, Need, Subject};
use crate::truth::DispatchFate;
use crate::world::{START_TIME, Start};

/// Why an expectation fails without a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contradiction {
    /// Index of the expectation; `None` for a scenario or the settings.
    pub expectation: Option<usize>,
    pub fault: SettingsError,
}

/// Finds all contradictions of a suite.
pub fn all(subject: &Arc<Subject>, suite: &Suite) -> Vec<Contradiction> {
    let mut found = Vec::new();
    for (place, expectation) in suite.expectations.iter().enumerate() {
        let stated = stated(subject, expectation);
        let faults = [stated, lag(subject, expectation), vacuous(subject, &suite.worlds, expectation)];
        let faults = faults.into_iter().flatten().chain(itself(subject, &suite.worlds, expectation));
        found.extend(faults.map(|fault| Contradiction { expectation: Some(place), fault }));
    }
    for world in &suite.worlds {
        found.extend(world_lag(subject, world).map(|fault| Contradiction { expectation: None, fault }));
    }
    for (place, one) in suite.expectations.iter().enumerate() {
        for other in &suite.expectations[..place] {
            if let Some(fault) = both(subject, &suite.worlds, other, one) {
                found.push(Contradiction { expectation: Some(place), fault });
                break;
            }
        }
    }
    found
}

/// Compares the configuration of a command group with what is expected of it. Finds groups that became repeatable, or
/// whose window or bound was raised, although all runs still pass.
fn stated(subject: &Subject, expectation: &Expectation) -> Option<SettingsError> {
    let (must, section) = (&expectation.must, &expectation.section);
    expectation.commands.iter().find_map(|k| {
        let group = &subject.command_groups[*k];
        let name = &group.name;
        let (effect, window) = match group.effect {
            Effect::Replayable => (Stated::Replayable, None),
            Effect::Keyed(_, window) => (Stated::Keyed, Some(window)),
            Effect::Mutating => (Stated::Mutating, None),
        };
        let word = |effect| EFFECTS.iter().find(|(_, known)| *known == effect).map_or("", |(word, _)| *word);
        if must.effect.is_some_and(|expected| expected != effect) {
            return Some(section.error_at("effect", format!("{name} is {}", word(effect))));
        }
        if let Some(most) = must.repeat_within {
            let Some(window) = window else {
                return Some(
                    section.error_at("repeat_within", format!("{name} is {}, not keyed", word(effect))),
                );
            };
            if window > most {
                let message = format!("{name} may be repeated for {}", time(window));
                return Some(section.error_at("repeat_within", message));
            }
        }
        match (must.bound, group.need) {
            (Some(most), Need::Bounded(bound)) if bound > most => {
                Some(section.error_at("bound", format!("{name} permits data {} old", time(bound))))
            }
            (Some(_), Need::Any) => {
                Some(section.error_at("bound", format!("{name} permits data of any age")))
            }
            _ => None,
        }
    })
}

/// Scopes that allow targets.
fn allowing(expectation: &Expectation) -> impl Iterator<Item = (&'static str, &Scope)> {
    let must = &expectation.must;
    let scopes = [("only", &must.only), ("may", &must.may), ("some", &must.some)];
    scopes.into_iter().filter_map(|(key, scope)| Some((key, scope.as_ref()?)))
}

fn lag(subject: &Subject, expectation: &Expectation) -> Option<SettingsError> {
    let mut scopes = allowing(expectation);
    scopes.find_map(|(key, scope)| {
        let message = lag_beyond_bound(subject, scope.lag_allowed()?, &expectation.commands)?;
        Some(expectation.section.error_at(key, message))
    })
}

/// A scenario in which a replica may lag more than some command group that reads from replicas permits.
fn world_lag(subject: &Subject, world: &DescribedWorld) -> Option<SettingsError> {
    let all: Vec<usize> = (0..subject.command_groups.len()).collect();
    world.lag_allowed.iter().find_map(|(server, allowed)| {
        let message = lag_beyond_bound(subject, *allowed, &all)?;
        let key = format!("server.{}", subject.servers[*server].name);
        Some(world.section.error_at(&key, message))
    })
}

fn all_fit(
    subject: &Arc<Subject>,
    worlds: &[DescribedWorld],
    expectation: &Expectation,
    scope: &Scope,
) -> bool {
    let lags = expectation.must.lags();
    expectation.zones.iter().all(|zone| {
        let subject = from_zone(subject, *zone);
        expectation.shards.iter().all(|shard| {
            expectation.states.iter().all(|state| {
                let starts = state::starts_with(&subject, worlds, state, *shard, &lags);
                starts.iter().all(|start| {
                    subject.members(*shard).all(|s| scope.has(&subject, s, &start.truths[s], START_TIME))
                })
            })
        })
    })
}

/// An expectation that no run can violate or fulfil.
fn vacuous(
    subject: &Arc<Subject>,
    worlds: &[DescribedWorld],
    expectation: &Expectation,
) -> Option<SettingsError> {
    let section = &expectation.section;
    let mut any = false;
    for zone in &expectation.zones {
        let subject = from_zone(subject, *zone);
        for shard in &expectation.shards {
            for state in &expectation.states {
                let starts = state::starts(&subject, worlds, state, *shard);
                any |= !starts.is_empty();
                if starts.is_empty() && expectation.states.len() == 1 && expectation.shards.len() == 1 {
                    let (state, shard) = (state::name(state, worlds), &subject.shards[*shard]);
                    return Some(section.error_at("in", format!("shard {shard} has no world '{state}'")));
                }
            }
        }
    }
    if !any {
        return Some(section.error("it never applies: there is no server, or no world of its states"));
    }
    let must = &expectation.must;
    for (key, scope) in
        [("only", &must.only), ("never", &must.never), ("may", &must.may), ("some", &must.some)]
    {
        let Some(scope) = scope else { continue };
        if !may_arise(scope, expectation) && named_by(subject, worlds, expectation, scope).is_empty() {
            let message = format!("it never applies: no server is '{}' in any of its worlds", scope.text);
            return Some(section.error_at(key, message));
        }
    }
    // An `only` that every server meets in every scenario says nothing about targets.
    if let Some(scope) = &must.only
        && !may_arise(scope, expectation)
        && all_fit(subject, worlds, expectation, scope)
    {
        let message = format!("no world could fail it: every server is '{}' in all of them", scope.text);
        return Some(section.error_at("only", message));
    }
    let groups = || expectation.commands.iter().map(|k| &subject.command_groups[*k]);
    if must.own_zone_first && groups().all(|group| matches!(group.need, Need::Write | Need::Fresh)) {
        return Some(
            section.error_at("own_zone_first", "it never applies: these commands go to the primary"),
        );
    }
    if must.once && groups().all(|group| group.effect == Effect::Replayable) {
        return Some(section.error_at("once", "it never applies: these commands may be repeated freely"));
    }
    let more = subject.figures.max_dispatches;
    if must.tries.is_some_and(|tries| tries >= more) {
        return Some(
            section.error_at("tries", format!("it never applies: no command has more than {more} tries")),
        );
    }
    let longest =
        groups().map(|group| group.client_timeout).max().unwrap_or(0) + subject.figures.answer_grace;
    for (key, limit) in [("answered", must.answered), ("throttled", must.throttled), ("failed", must.failed)]
    {
        if let Some(Limit::Within(time)) = limit
            && time > longest
        {
            let message = "it never applies: clients do not wait that long";
            return Some(section.error_at(key, message));
        }
    }
    (must.held.is_some_and(|held| held > longest))
        .then(|| section.error_at("held", "it never applies: clients do not wait that long"))
}

/// Whether roles may change during a run, so that a scope may apply that did not at the start.
fn may_arise(scope: &Scope, expectation: &Expectation) -> bool {
    let changing = expectation.faults.contains(&DispatchFate::Change);
    let role = |term: &Term| matches!(term, Term::Primary | Term::Replica);
    changing && scope.phrases.iter().flatten().any(role)
}

/// An expectation that contradicts itself.
fn itself(
    subject: &Arc<Subject>,
    worlds: &[DescribedWorld],
    expectation: &Expectation,
) -> Option<SettingsError> {
    both(subject, worlds, expectation, expectation)
}

/// Why two expectations about the same commands and scenarios cannot both hold.
fn both(
    subject: &Arc<Subject>,
    worlds: &[DescribedWorld],
    one: &Expectation,
    other: &Expectation,
) -> Option<SettingsError> {
    let common = |a: &[usize], b: &[usize]| a.iter().copied().filter(|x| b.contains(x)).collect::<Vec<_>>();
    let (shards, zones) = (common(&one.shards, &other.shards), common(&one.zones, &other.zones));
    let commands = common(&one.commands, &other.commands);
    if commands.is_empty() || (one.session, one.written_ago) != (other.session, other.written_ago) {
        return None;
    }
    let said = |key: &str, message: String| {
        let same = std::ptr::eq(one, other);
        let with = if same { "itself".into() } else { format!("[{}]", one.section.name) };
        Some(other.section.error_at(key, format!("{message}; it can't hold together with {with}")))
    };
    let mut worlds_of_both: Vec<(Arc<Subject>, usize, Start)> = Vec::new();
    for state in one.states.iter().filter(|state| other.states.contains(state)) {
        for shard in &shards {
            for zone in &zones {
                let subject = from_zone(subject, *zone);
                let lags = [one.must.lags(), other.must.lags()].concat();
                let starts = state::starts_with(&subject, worlds, state, *shard, &lags);
                worlds_of_both.extend(starts.into_iter().map(|start| (subject.clone(), *shard, start)));
            }
        }
    }
    for (a, b) in [(one, other), (other, one)] {
        if let Some((key, message)) = disjoint(&worlds_of_both, a, b) {
            return said(key, message);
        }
    }
    let ends = [
        ("answered", one.must.answered, other.must.answered),
        ("throttled", one.must.throttled, other.must.throttled),
        ("failed", one.must.failed, other.must.failed),
    ];
    let shared =
        !shards.is_empty() && !zones.is_empty() && one.states.iter().any(|s| other.states.contains(s));
    for (key, a, b) in ends {
        let never = |limit: Option<Limit>| limit == Some(Limit::Never);
        if shared && (never(a) && b == Some(Limit::Always) || never(b) && a == Some(Limit::Always)) {
            return said(key, "always and never".into());
        }
    }
    let always = |expectation: &Expectation| {
        let must = &expectation.must;
        let all = [("answered", must.answered), ("throttled", must.throttled), ("failed", must.failed)];
        all.into_iter().find(|(_, limit)| *limit == Some(Limit::Always)).map(|(key, _)| key)
    };
    match (always(one), always(other)) {
        (Some(a), Some(b)) if a != b && shared => said(b, format!("always {a} and always {b}")),
        _ => None,
    }
}

/// What one expectation demands and the other forbids in every common scenario.
fn disjoint(
    worlds: &[(Arc<Subject>, usize, Start)],
    one: &Expectation,
    other: &Expectation,
) -> Option<(&'static str, String)> {
    // Servers of a scope, and those of them that the other expectation permits in some scenario.
    let left = |scope: &Scope| {
        let (mut named, mut left) = (BTreeSet::new(), BTreeSet::new());
        for (subject, shard, start) in worlds {
            let fits =
                |scope: &Scope, server: usize| scope.has(subject, server, &start.truths[server], START_TIME);
            let must = &other.must;
            for server in subject.members(*shard).filter(|server| fits(scope, *server)) {
                named.insert(server);
                let barred = must.only.as_ref().is_some_and(|only| !fits(only, server))
                    || must.never.as_ref().is_some_and(|never| fits(never, server));
                if !barred {
                    left.insert(server);
                }
            }
        }
        (named, left)
    };
    let within = |a: &[usize], b: &[usize]| a.iter().all(|x| b.contains(x));
    if let Some(only) = &one.must.only {
        let (named, left) = left(only);
        if !named.is_empty() && left.is_empty() {
            return Some(("only", format!("no server is left of '{}'", only.text)));
        }
    }
    // Servers that must be reached may be reached in scenarios that the other one does not cover.
    let all = one.states.iter().all(|state| other.states.contains(state))
        && within(&one.shards, &other.shards)
        && within(&one.zones, &other.zones)
        && within(&one.commands, &other.commands);
    for (key, scope) in [("may", &one.must.may), ("some", &one.must.some)] {
        let Some(scope) = scope.as_ref().filter(|_| all) else { continue };
        let (named, left) = left(scope);
        let barred = named.difference(&left).next().filter(|_| key == "may" || left.is_empty());
        if let Some(server) = barred {
            let name = &worlds.first()?.0.servers[*server].name;
            return Some((key, format!("{name} must be reached and must not")));
        }
    }
    None
}
