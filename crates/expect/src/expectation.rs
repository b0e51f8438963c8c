//! Parsing of expectations: which commands, in which states, and what must hold.

use std::collections::BTreeSet;

use tansyjunction::interface::Micros;
use tansyjunction_settings::{
    ExpectSettings, Ini, Section, SettingsError, duration, flag, list, one_of, unknown, whole,
};

use crate::scope::{self, Scope, Term};
use crate::state::{self, DescribedWorld, STATES, State};
use crate::subject::Subject;
use crate::truth::{DispatchFate, FAULTS};

/// Most faults in a run, and most simultaneous commands.
const MAX_FAULTS: u64 = 4;
const MAX_SIMULTANEOUS: u64 = 200;

/// When a command may end in some way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    Never,
    Always,
    /// If at all, within this time of its arrival in microseconds.
    Within(Micros),
}

/// What must hold for the commands of an expectation.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Requirements {
    pub only: Option<Scope>,
    pub never: Option<Scope>,
    /// Each of these servers must be reached by some run; any of them may be.
    pub may: Option<Scope>,
    pub some: Option<Scope>,
    /// The client's zone must not be left while a server there qualifies.
    pub own_zone_first: bool,
    /// Most dispatches of a command.
    pub tries: Option<usize>,
    /// Never sent again once it may have executed.
    pub once: bool,
    pub answered: Option<Limit>,
    pub throttled: Option<Limit>,
    pub failed: Option<Limit>,
    /// Longest time without a dispatch in microseconds.
    pub held: Option<Micros>,
    /// What the configuration must specify for the command groups: effect of repeats, longest window, and largest age
    /// of data. Times in microseconds.
    pub effect: Option<Stated>,
    pub repeat_within: Option<Micros>,
    pub bound: Option<Micros>,
}

/// An effect as named by an expectation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stated {
    Replayable,
    Keyed,
    Mutating,
}

/// Effects by name.
pub const EFFECTS: [(&str, Stated); 3] =
    [("replayable", Stated::Replayable), ("keyed", Stated::Keyed), ("mutating", Stated::Mutating)];

impl Requirements {
    /// Lags named by its scopes in microseconds, sorted and without duplicates.
    pub fn lags(&self) -> Vec<Micros> {
        let scopes = [&self.only, &self.never, &self.may, &self.some].into_iter().flatten();
        let terms = scopes.flat_map(|scope| scope.phrases.iter().flatten());
        let lags: BTreeSet<Micros> = terms.filter_map(Term::lag).collect();
        lags.into_iter().collect()
    }
}

/// An expectation.
#[derive(Clone, Debug)]
pub struct Expectation {
    pub name: String,
    pub section: Section,
    pub commands: Vec<usize>,
    pub shards: Vec<usize>,
    pub zones: Vec<usize>,
    /// Whether commands belong to a session, and the time since its last write in microseconds.
    pub session: bool,
    pub written_ago: Option<Micros>,
    pub states: Vec<State>,
    pub faults: Vec<DispatchFate>,
    /// Most of these faults in one run.
    pub fault_count: usize,
    /// Whether each of them may occur only once in a run.
    pub each_once: bool,
    pub seeds: u64,
    /// Simultaneous commands, or evenly spread over a time in microseconds; the last one is examined.
    pub at_once: usize,
    pub over: Micros,
    pub must: Requirements,
}

/// Content of all files.
#[derive(Clone, Debug, Default)]
pub struct Suite {
    pub expectations: Vec<Expectation>,
    pub worlds: Vec<DescribedWorld>,
}

/// Keys that select commands and scenarios.
const SELECTING_KEYS: [&str; 11] = [
    "commands",
    "shards",
    "zones",
    "session",
    "in",
    "faults",
    "fault_count",
    "each_fault",
    "seeds",
    "at_once",
    "over",
];

/// Keys that state what must hold.
const REQUIREMENT_KEYS: [&str; 14] = [
    "only",
    "never",
    "may",
    "some",
    "own_zone_first",
    "tries",
    "once",
    "answered",
    "throttled",
    "failed",
    "held",
    "effect",
    "repeat_within",
    "bound",
];

/// Adds the servers in sections `[server NAME]` to those of the configuration.
pub fn add_servers(subject: &mut Subject, files: &[Ini]) -> Result<(), SettingsError> {
    for section in files.iter().flat_map(|file| &file.sections) {
        let ("server", name) = section.kind() else { continue };
        section.only(&["shard", "zone", "size", "role"])?;
        if name.is_empty() {
            return Err(section.error("a server wants a name: [server NAME]"));
        }
        let shard = section.entry("shard").ok_or_else(|| section.error("'shard' is missing"))?;
        let zone = section.value("zone", |text| scope::zone(subject, text))?;
        let size = section.value("size", tansyjunction_settings::number)?.unwrap_or(1.0);
        let roles = [("primary", true), ("replica", false)];
        let primary = section.value("role", |text| one_of("role", text, &roles))?.unwrap_or(false);
        let standing = tansyjunction::interface::ServerState::Serving;
        let zone = zone.unwrap_or(subject.own_zone);
        let added = subject.add(name, &shard.value.clone(), zone, size, standing, primary);
        added.map_err(|message| section.error(message))?;
    }
    Ok(())
}

impl Suite {
    /// Parses scenarios and expectations; servers must have been added before.
    pub fn read(files: &[Ini], subject: &Subject, bounds: &ExpectSettings) -> Result<Suite, SettingsError> {
        let mut suite = Suite::default();
        let sections = || files.iter().flat_map(|file| &file.sections);
        for section in sections() {
            match section.kind().0 {
                "world" => suite.worlds.push(state::describe(section, subject)?),
                "expectation" | "server" => {}
                other => {
                    let known = ["expectation", "world", "server"].into_iter();
                    return Err(section.error(unknown("kind of section", other, known)));
                }
            }
        }
        for section in sections().filter(|section| section.kind().0 == "expectation") {
            let read = expectation(section, subject, &suite.worlds, bounds)?;
            if suite.expectations.iter().any(|other| other.name == read.name) {
                return Err(section.error("another expectation has this name"));
            }
            suite.expectations.push(read);
        }
        Ok(suite)
    }
}

/// Parses a section `[expectation NAME]`.
pub fn expectation(
    section: &Section,
    subject: &Subject,
    worlds: &[DescribedWorld],
    bounds: &ExpectSettings,
) -> Result<Expectation, SettingsError> {
    let (_, name) = section.kind();
    if name.is_empty() {
        return Err(section.error("an expectation wants a name: [expectation NAME]"));
    }
    section.only(&[&SELECTING_KEYS[..], &REQUIREMENT_KEYS].concat())?;
    if !REQUIREMENT_KEYS.iter().any(|key| section.entry(key).is_some()) {
        return Err(
            section.error(format!("nothing must hold; keys for that are {}", REQUIREMENT_KEYS.join(", ")))
        );
    }
    // A list of names, or an asterisk for all.
    let all = |key: &str, absent: &str, count: usize, read: &dyn Fn(&str) -> Result<usize, String>| {
        let text = section.entry(key).map_or(absent, |entry| entry.value.as_str());
        match text {
            "*" => Ok((0..count).collect()),
            text => list(text)
                .and_then(|names| names.iter().map(|name| read(name)).collect::<Result<Vec<_>, _>>()),
        }
        .map_err(|message| section.error_at(key, message))
    };
    if section.entry("commands").is_none() {
        return Err(section.error("'commands' is missing"));
    }
    let commands = all("commands", "*", subject.command_groups.len(), &|n| scope::command_group(subject, n))?;
    let shards = all("shards", "*", subject.shards.len(), &|name| scope::shard(subject, name))?;
    let own = subject.zones[subject.own_zone].clone();
    let zones = all("zones", &own, subject.zones.len(), &|name| scope::zone(subject, name))?;
    let states = section.value("in", |text| match text {
        "*" => Ok(STATES.iter().map(|(_, state)| state.clone()).collect()),
        text => list(text)?.iter().map(|name| state::read(name, worlds)).collect::<Result<Vec<_>, _>>(),
    })?;
    let faults = section.value("faults", |text| match text {
        "none" => Ok(Vec::new()),
        "*" => Ok(FAULTS.iter().map(|(_, fault)| *fault).collect()),
        text => list(text)?.iter().map(|name| one_of("fault", name, &FAULTS)).collect::<Result<Vec<_>, _>>(),
    })?;
    let up_to = |most: u64| {
        move |text: &str| match whole(text)? {
            n if n > most => Err(format!("{n} is more than {most}")),
            n => Ok(n as usize),
        }
    };
    let session = section.value("session", |text| match text {
        "none" => Ok((false, None)),
        "any" => Ok((true, None)),
        text => match text.strip_prefix("wrote ").and_then(|rest| rest.strip_suffix(" ago")) {
            Some(ago) => Ok((true, Some(duration(ago)?))),
            None => Err(format!("'{text}' is neither none, any nor 'wrote TIME ago'")),
        },
    })?;
    let scoped = |key: &str| section.value(key, |text| Scope::read(text, subject));
    let limit = |key: &str| {
        section.value(key, |text| match text {
            "never" => Ok(Limit::Never),
            "always" => Ok(Limit::Always),
            text => match text.strip_prefix("within ") {
                Some(time) => duration(time).map(Limit::Within),
                None => Err(format!("'{text}' is neither never, always nor 'within TIME'")),
            },
        })
    };
    let must = Requirements {
        only: scoped("only")?,
        never: scoped("never")?,
        may: scoped("may")?,
        some: scoped("some")?,
        own_zone_first: section.value("own_zone_first", flag)?.unwrap_or(false),
        tries: section.value("tries", up_to(100))?,
        once: section.value("once", flag)?.unwrap_or(false),
        answered: limit("answered")?,
        throttled: limit("throttled")?,
        failed: limit("failed")?,
        held: section.value("held", duration)?,
        effect: section.value("effect", |text| one_of("effect", text, &EFFECTS))?,
        repeat_within: section.value("repeat_within", duration)?,
        bound: section.value("bound", duration)?,
    };
    let faults = faults.unwrap_or_default();
    let fault_count = section.value("fault_count", up_to(MAX_FAULTS))?;
    let repeats = [("once", true), ("again", false)];
    let each_once = section.value("each_fault", |text| one_of("way", text, &repeats))?.unwrap_or(false);
    let seeds = section.value("seeds", |text| match whole(text)? {
        0 => Err("0 is too few".to_string()),
        n => Ok(n),
    })?;
    let (session, written_ago) = session.unwrap_or((false, None));
    Ok(Expectation {
        name: name.into(),
        section: section.clone(),
        commands,
        shards,
        zones,
        session,
        written_ago,
        states: states.unwrap_or_else(|| vec![State::Calm]),
        fault_count: fault_count.unwrap_or(if faults.is_empty() { 0 } else { bounds.faults.max(1) }),
        faults,
        each_once,
        seeds: seeds.unwrap_or(bounds.seeds),
        over: section.value("over", duration)?.unwrap_or(0),
        at_once: section.value("at_once", up_to(MAX_SIMULTANEOUS))?.unwrap_or(1).max(1),
        must,
    })
}
