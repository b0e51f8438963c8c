//! States that an expectation may name, and the scenarios that each means for a shard.

use tansyjunction::interface::*;
use tansyjunction_settings::{Section, SettingsError, duration, list, one_of, unknown};

use crate::scope;
use crate::subject::{Need, Subject};
use crate::truth::{ActualState, CALM_LAG, CONDITIONS, Claim, Condition};
use crate::world::{Change, START_TIME, Start};

/// Additional lag of a replica that is behind, beyond any bound of the settings.
const EXTRA_LAG: Micros = 2_000_000;
/// Age of a cold server.
const COLD_AGE: Micros = 500_000;
/// Delay of the server list after a change of primary, of the order seen in deployments.
const LIST_DELAY: Micros = 4_000_000;
/// When the primary changes in the state of that name, after the command's arrival.
const CHANGES_AFTER: Micros = 5_000;

/// A state that expectations may name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    Calm,
    New,
    Hung,
    Refusing,
    Cut,
    Erring,
    Full,
    Behind,
    Draining,
    Gone,
    Cold,
    NoPrimary,
    TwoPrimaries,
    LateList,
    Changing,
    /// A scenario from a file, by index.
    Named(usize),
}

/// Known states by name.
pub const STATES: [(&str, State); 15] = [
    ("calm", State::Calm),
    ("new", State::New),
    ("hung", State::Hung),
    ("refusing", State::Refusing),
    ("cut", State::Cut),
    ("erring", State::Erring),
    ("full", State::Full),
    ("behind", State::Behind),
    ("draining", State::Draining),
    ("gone", State::Gone),
    ("cold", State::Cold),
    ("no-primary", State::NoPrimary),
    ("two-primaries", State::TwoPrimaries),
    ("late-list", State::LateList),
    ("changing", State::Changing),
];

/// A scenario as described in a file.
#[derive(Clone, Debug)]
pub struct DescribedWorld {
    pub section: Section,
    pub start: Start,
    /// Allowed lag of each server in microseconds, where given.
    pub lag_allowed: Vec<(usize, Micros)>,
}

/// Calm state of all servers as configured.
pub fn calm(subject: &Subject) -> Vec<ActualState> {
    let mut truths: Vec<ActualState> = subject
        .servers
        .iter()
        .map(|facts| ActualState {
            standing: facts.standing,
            told_at: 0,
            primary: false,
            listed_primary: facts.listed_primary,
            claim: Claim::Truth,
            was_primary: false,
            told_replica: false,
            lag: CALM_LAG,
            condition: Condition::Well,
            noticed: false,
            started: None,
            failed: false,
        })
        .collect();
    for shard in 0..subject.shards.len() {
        // A shard has a primary even if the list does not name it.
        let listed = subject.members(shard).find(|server| subject.servers[*server].listed_primary);
        if let Some(server) = listed.or_else(|| subject.members(shard).next()) {
            (truths[server].primary, truths[server].lag) = (true, 0);
        }
    }
    truths
}

/// Name of a state as in expectations.
pub fn name<'a>(state: &State, described: &'a [DescribedWorld]) -> &'a str {
    match state {
        State::Named(place) => described[*place].section.kind().1,
        state => name_of(state),
    }
}

/// Parses the name of a state.
pub fn read(text: &str, described: &[DescribedWorld]) -> Result<State, String> {
    if let Some((_, state)) = STATES.iter().find(|(name, _)| *name == text) {
        return Ok(state.clone());
    }
    let place = described.iter().position(|world| world.section.kind().1 == text);
    let names = STATES.iter().map(|(name, _)| *name);
    let names = names.chain(described.iter().map(|world| world.section.kind().1));
    place.map(State::Named).ok_or_else(|| format!("'{text}': {}", unknown("state or world", text, names)))
}

/// Difference to a lag named by an expectation, at which a replica is placed on either side of it.
const LAG_MARGIN: Micros = 1_000;

/// Scenarios of a state for a shard and the lags named by an expectation: those of the state, and, in calm states and
/// states about freshness, a replica on each side of each lag. Otherwise an expectation might hold whatever the
/// configuration permits, since no scenario comes near its lag.
pub fn starts_with(
    subject: &Subject,
    described: &[DescribedWorld],
    state: &State,
    shard: usize,
    lags: &[Micros],
) -> Vec<Start> {
    let mut found = starts(subject, described, state, shard);
    if !matches!(state, State::Calm | State::Behind) {
        return found;
    }
    let base = calm(subject);
    let replicas: Vec<usize> = subject
        .members(shard)
        .filter(|s| !base[*s].primary && base[*s].standing == ServerState::Serving)
        .collect();
    for lag in lags.iter().flat_map(|lag| [*lag, *lag + LAG_MARGIN]) {
        for replica in &replicas {
            let mut truths = base.clone();
            truths[*replica].lag = lag;
            let (ms, name) = (lag / 1_000, &subject.servers[*replica].name);
            let name = format!("{}, {name} {ms} ms behind", name_of(state));
            found.push(Start { name, truths, warm: true, changes: Vec::new() });
        }
    }
    found
}

fn name_of(state: &State) -> &'static str {
    STATES.iter().find(|(_, known)| known == state).map_or("", |(name, _)| name)
}

/// Scenarios of a state for a shard: one for each server that may be affected.
pub fn starts(subject: &Subject, described: &[DescribedWorld], state: &State, shard: usize) -> Vec<Start> {
    if let State::Named(place) = state {
        return vec![described[*place].start.clone()];
    }
    let base = calm(subject);
    let members: Vec<usize> = subject.members(shard).collect();
    let there = |server: &usize| base[*server].standing == ServerState::Serving;
    let primary = members.iter().copied().find(|server| base[*server].primary);
    let replicas: Vec<usize> = members.iter().copied().filter(|s| Some(*s) != primary && there(s)).collect();
    let start =
        |name: String, truths: Vec<ActualState>| Start { name, truths, warm: true, changes: Vec::new() };
    let server = |place: usize| subject.servers[place].name.as_str();
    let one = |name: &str, among: &[usize], alter: &dyn Fn(&mut ActualState)| -> Vec<Start> {
        let each = among.iter().filter(|s| there(s)).map(|victim| {
            let mut truths = base.clone();
            alter(&mut truths[*victim]);
            start(format!("{name} {}", server(*victim)), truths)
        });
        each.collect()
    };
    // Once before the gateway has noticed, and once after its probes have.
    let trouble = |name: &str, condition: Condition| -> Vec<Start> {
        let mut found = one(name, &members, &|truth| truth.condition = condition);
        found.extend(one(&format!("{name}, noticed:"), &members, &|truth| {
            (truth.condition, truth.noticed) = (condition, true);
        }));
        found
    };
    match state {
        State::Calm => vec![start("calm".into(), base.clone())],
        State::New => vec![Start { warm: false, ..start("new".into(), base.clone()) }],
        State::Hung => trouble("hung", Condition::Hung),
        State::Refusing => trouble("refusing", Condition::Refusing),
        State::Erring => one("erring", &members, &|truth| truth.condition = Condition::Erring),
        State::Full => one("full", &members, &|truth| truth.condition = Condition::Full),
        State::Cut => cut(subject, &base, &members, &start),
        State::Behind => {
            let bounds = subject.command_groups.iter().filter_map(|group| match group.need {
                Need::Bounded(bound) => Some(bound),
                _ => None,
            });
            let lag = bounds.max().unwrap_or(0) + EXTRA_LAG;
            let mut found = one("behind", &replicas, &|truth| truth.lag = lag);
            if replicas.len() > 1 {
                let mut truths = base.clone();
                replicas.iter().for_each(|server| truths[*server].lag = lag);
                found.push(start("behind, all replicas".into(), truths));
            }
            found
        }
        State::Draining => one("draining", &members, &|truth| truth.standing = ServerState::Draining),
        State::Gone => one("gone", &members, &|truth| truth.standing = ServerState::Gone),
        State::Cold => one("cold", &members, &|truth| truth.started = Some(START_TIME - COLD_AGE)),
        State::NoPrimary => {
            let mut truths = base.clone();
            for server in &members {
                (truths[*server].primary, truths[*server].listed_primary) = (false, false);
            }
            vec![start("no-primary".into(), truths)]
        }
        State::TwoPrimaries => one("two-primaries", &replicas, &|truth| {
            (truth.claim, truth.listed_primary) = (Claim::Primary, true);
        }),
        State::LateList => replicas
            .iter()
            .map(|new| {
                let truths = replaced(&base, primary, *new);
                let changes = told(primary, *new, &truths, LIST_DELAY);
                Start { changes, ..start(format!("late-list, {} leads", server(*new)), truths) }
            })
            .collect(),
        State::Changing => replicas
            .iter()
            .map(|new| {
                let mut changes = vec![(CHANGES_AFTER, Change::Primary(*new))];
                changes.extend(told(primary, *new, &base, CHANGES_AFTER + LIST_DELAY));
                Start { changes, ..start(format!("changing to {}", server(*new)), base.clone()) }
            })
            .collect(),
        State::Named(_) => Vec::new(),
    }
}

/// Each zone in turn is unreachable, except the client's.
fn cut(
    subject: &Subject,
    base: &[ActualState],
    members: &[usize],
    start: &dyn Fn(String, Vec<ActualState>) -> Start,
) -> Vec<Start> {
    let mut found = Vec::new();
    for zone in (0..subject.zones.len()).filter(|zone| *zone != subject.own_zone) {
        if !members.iter().any(|server| subject.servers[*server].zone == zone) {
            continue;
        }
        for noticed in [false, true] {
            let mut truths = base.to_vec();
            for (server, truth) in truths.iter_mut().enumerate() {
                if subject.servers[server].zone == zone {
                    (truth.condition, truth.noticed) = (Condition::Cut, noticed);
                }
            }
            let told = if noticed { ", noticed" } else { "" };
            found.push(start(format!("zone {} cut off{told}", subject.zones[zone]), truths));
        }
    }
    found
}

/// The old primary was replaced; neither it nor the list shows it yet.
fn replaced(base: &[ActualState], old: Option<usize>, new: usize) -> Vec<ActualState> {
    let mut truths = base.to_vec();
    if let Some(old) = old {
        let truth = &mut truths[old];
        (truth.primary, truth.was_primary, truth.claim) = (false, true, Claim::Nothing);
    }
    // Nor has the new one reported its role.
    (truths[new].primary, truths[new].lag, truths[new].claim) = (true, 0, Claim::Nothing);
    truths
}

fn told(old: Option<usize>, new: usize, truths: &[ActualState], after: Micros) -> Vec<(Micros, Change)> {
    let tell = |server: usize, primary: bool| {
        let (standing, started) = (truths[server].standing, truths[server].started);
        (after, Change::Told { server, standing, primary, started })
    };
    old.map(|old| tell(old, false)).into_iter().chain([tell(new, true)]).collect()
}

/// Parses a section `[world NAME]`. Keys: `server.NAME` (words separated by commas), `gateway = new`, and for changes
/// `after TIME = ...`.
pub fn describe(section: &Section, subject: &Subject) -> Result<DescribedWorld, SettingsError> {
    let (_, name) = section.kind();
    if name.is_empty() {
        return Err(section.error("a world wants a name: [world NAME]"));
    }
    if STATES.iter().any(|(known, _)| *known == name) {
        return Err(section.error(format!("'{name}' is a state that the program knows already")));
    }
    section.only(&["server.", "gateway", "after "])?;
    let warm = section.value("gateway", |text| one_of("gateway", text, &[("new", false), ("warm", true)]))?;
    let mut start = Start {
        name: format!("world {name}"),
        truths: calm(subject),
        warm: warm.unwrap_or(true),
        changes: Vec::new(),
    };
    let mut lag_allowed = Vec::new();
    for entry in &section.entries {
        let fault = |message: String| section.error_at(&entry.key, message);
        if let Some(named) = entry.key.strip_prefix("server.") {
            let server = scope::server(subject, named).map_err(fault)?;
            if let Some(lag) = stand(&entry.value, &mut start.truths[server]).map_err(fault)? {
                lag_allowed.push((server, lag));
            }
        } else if let Some(after) = entry.key.strip_prefix("after ") {
            let after = duration(after).map_err(fault)?;
            for change in changes(&entry.value, subject, &start.truths).map_err(fault)? {
                start.changes.push((after, change));
            }
        }
    }
    contradicts(section, subject, &start.truths)?;
    Ok(DescribedWorld { section: section.clone(), start, lag_allowed })
}

/// Parses the state of a server; returns its allowed lag.
fn stand(text: &str, truth: &mut ActualState) -> Result<Option<Micros>, String> {
    let mut allowed = None;
    let mut seen: Vec<&str> = Vec::new();
    let parts = list(text)?;
    for part in &parts {
        let mut words = part.split_whitespace();
        let word = words.next().unwrap_or_default();
        let rest = words.collect::<Vec<_>>().join(" ");
        let kind = match word {
            "primary" | "replica" => "role",
            "serving" | "draining" | "gone" => "standing",
            "listed" => "listed",
            "claims" => "claim",
            "behind" => "lag",
            "allowed" => "allowed",
            "cold" => "cold",
            "noticed" => "noticed",
            _ => "condition",
        };
        if seen.contains(&kind) {
            return Err(format!("'{part}' contradicts what stands before it"));
        }
        seen.push(kind);
        match (word, rest.as_str()) {
            ("primary", "") => (truth.primary, truth.lag) = (true, 0),
            ("replica", "") => truth.primary = false,
            ("serving", "") => truth.standing = ServerState::Serving,
            ("draining", "") => truth.standing = ServerState::Draining,
            ("gone", "") => truth.standing = ServerState::Gone,
            ("listed", "primary") => truth.listed_primary = true,
            ("listed", "replica") => truth.listed_primary = false,
            ("claims", "primary") => truth.claim = Claim::Primary,
            ("claims", "nothing") => truth.claim = Claim::Nothing,
            ("behind", time) => truth.lag = duration(time)?,
            ("allowed", lag) => allowed = Some(duration(lag.strip_prefix("behind ").unwrap_or(lag))?),
            ("cold", "") => truth.started = Some(START_TIME - COLD_AGE),
            ("cold", ago) => truth.started = Some(START_TIME.saturating_sub(duration(ago)?)),
            ("noticed", "") => truth.noticed = true,
            (word, "") => truth.condition = one_of("condition", word, &CONDITIONS)?,
            _ => return Err(format!("'{part}' is not understood")),
        }
    }
    if truth.primary && truth.lag > 0 {
        return Err("a primary is never behind".into());
    }
    Ok(allowed)
}

/// Parses changes: `SERVER leads`, `SERVER hung` and other conditions, `list SERVER draining`, `list SERVER leads`.
fn changes(text: &str, subject: &Subject, truths: &[ActualState]) -> Result<Vec<Change>, String> {
    let read = |part: &String| {
        let words: Vec<&str> = part.split_whitespace().collect();
        match words[..] {
            ["list", name, what] => {
                let server = scope::server(subject, name)?;
                let truth = &truths[server];
                let (mut standing, mut primary, mut started) =
                    (truth.standing, truth.listed_primary, truth.started);
                match what {
                    "leads" => primary = true,
                    "follows" => primary = false,
                    "serving" => standing = ServerState::Serving,
                    "draining" => standing = ServerState::Draining,
                    "gone" => standing = ServerState::Gone,
                    "restarted" => started = Some(START_TIME),
                    _ => return Err(format!("'{part}' is not understood")),
                }
                Ok(Change::Told { server, standing, primary, started })
            }
            [name, "leads"] => Ok(Change::Primary(scope::server(subject, name)?)),
            [name, condition] => {
                let condition = one_of("condition", condition, &CONDITIONS)?;
                Ok(Change::Condition(scope::server(subject, name)?, condition))
            }
            _ => Err(format!("'{part}' is not understood")),
        }
    };
    list(text)?.iter().map(read).collect()
}

/// An impossible scenario: two actual primaries in a shard.
fn contradicts(section: &Section, subject: &Subject, truths: &[ActualState]) -> Result<(), SettingsError> {
    for shard in 0..subject.shards.len() {
        let primaries: Vec<usize> = subject.members(shard).filter(|server| truths[*server].primary).collect();
        if let [first, second, ..] = primaries[..] {
            let (first, second) = (&subject.servers[first].name, &subject.servers[second].name);
            return Err(section.error(format!(
                "{first} and {second} are both primary of shard {}; 'claims primary' is for one that only says so",
                subject.shards[shard]
            )));
        }
    }
    Ok(())
}
