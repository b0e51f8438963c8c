//! Sets of servers as text, such as `replica within 3s, primary`: alternatives separated by commas, each with words
//! that must all apply.

use tansyjunction::interface::{Micros, ServerState};
use tansyjunction_settings::{duration, list, unknown};

use crate::subject::Subject;
use crate::truth::{ActualState, CONDITIONS, Condition};

/// A word of a scope.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Term {
    Any,
    Primary,
    Replica,
    /// In the client's zone.
    OwnZone,
    Zone(usize),
    Server(usize),
    /// Lag of at most this many microseconds; more than this.
    Within(Micros),
    Behind(Micros),
    Draining,
    Gone,
    Cold,
    Condition(Condition),
    /// Listed as the primary, whether or not it is.
    Listed,
}

/// A set of servers, with its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scope {
    pub text: String,
    pub phrases: Vec<Vec<Term>>,
}

/// Words of a scope, for error messages.
const WORDS: [&str; 15] = [
    "any", "primary", "replica", "own", "zone", "server", "within", "behind", "draining", "gone", "cold",
    "listed", "hung", "refusing", "well",
];

impl Scope {
    /// Parses a scope.
    pub fn read(text: &str, subject: &Subject) -> Result<Scope, String> {
        let phrases = list(text)?;
        let phrases = phrases.iter().map(|phrase| read_phrase(phrase, subject));
        Ok(Scope { text: text.into(), phrases: phrases.collect::<Result<_, String>>()? })
    }

    /// Whether the set contains a server in this state.
    pub fn has(&self, subject: &Subject, server: usize, truth: &ActualState, now: Micros) -> bool {
        let fits = |term: &Term| term.fits(subject, server, truth, now);
        self.phrases.iter().any(|phrase| phrase.iter().all(fits))
    }

    /// The largest lag that any alternative allows for replicas, if any.
    pub fn lag_allowed(&self) -> Option<Micros> {
        let replicas = |phrase: &&Vec<Term>| !phrase.contains(&Term::Primary);
        let lags = self.phrases.iter().filter(replicas).flatten().filter_map(|term| match term {
            Term::Within(lag) => Some(*lag),
            _ => None,
        });
        lags.max()
    }
}

impl Term {
    /// The lag that it names in microseconds.
    pub fn lag(&self) -> Option<Micros> {
        match self {
            Term::Within(lag) | Term::Behind(lag) => Some(*lag),
            _ => None,
        }
    }

    fn fits(&self, subject: &Subject, server: usize, truth: &ActualState, now: Micros) -> bool {
        let facts = &subject.servers[server];
        match self {
            Term::Any => true,
            Term::Primary => truth.primary,
            Term::Replica => !truth.primary,
            Term::OwnZone => facts.zone == subject.own_zone,
            Term::Zone(zone) => facts.zone == *zone,
            Term::Server(named) => server == *named,
            Term::Within(lag) => truth.primary || truth.lag <= *lag,
            Term::Behind(lag) => !truth.primary && truth.lag > *lag,
            Term::Draining => truth.standing == ServerState::Draining,
            Term::Gone => truth.standing == ServerState::Gone,
            Term::Cold => truth.cold(now, subject.figures.cold),
            Term::Condition(condition) => truth.condition == *condition,
            Term::Listed => truth.listed_primary,
        }
    }
}

fn read_phrase(phrase: &str, subject: &Subject) -> Result<Vec<Term>, String> {
    let mut words = phrase.split_whitespace();
    let mut terms = Vec::new();
    while let Some(word) = words.next() {
        let mut next = |what: &str| words.next().ok_or(format!("'{word}' wants {what} after it"));
        terms.push(match word {
            "any" => Term::Any,
            "primary" => Term::Primary,
            "replica" => Term::Replica,
            "listed" => Term::Listed,
            "draining" => Term::Draining,
            "gone" => Term::Gone,
            "cold" => Term::Cold,
            "within" => Term::Within(duration(next("a time")?)?),
            "behind" => Term::Behind(duration(next("a time")?)?),
            "own" => match next("'zone'")? {
                "zone" => Term::OwnZone,
                other => return Err(format!("'own {other}' is not 'own zone'")),
            },
            "zone" => Term::Zone(zone(subject, next("a zone")?)?),
            "server" => Term::Server(server(subject, next("a server")?)?),
            word => match CONDITIONS.iter().find(|(name, _)| *name == word) {
                Some((_, condition)) => Term::Condition(*condition),
                None => return Err(format!("'{word}': {}", unknown("word", word, WORDS.into_iter()))),
            },
        });
    }
    Ok(terms)
}

/// Index of a zone by name.
pub fn zone(subject: &Subject, name: &str) -> Result<usize, String> {
    let found = subject.zones.iter().position(|zone| zone == name);
    found.ok_or_else(|| {
        format!("'{name}': {}", unknown("zone", name, subject.zones.iter().map(String::as_str)))
    })
}

/// Index of a server by name.
pub fn server(subject: &Subject, name: &str) -> Result<usize, String> {
    let found = subject.servers.iter().position(|server| server.name == name);
    let names = subject.servers.iter().map(|server| server.name.as_str());
    found.ok_or_else(|| format!("'{name}': {}", unknown("server", name, names)))
}

/// Index of a shard by name.
pub fn shard(subject: &Subject, name: &str) -> Result<usize, String> {
    let found = subject.shards.iter().position(|shard| shard == name);
    found.ok_or_else(|| {
        format!("'{name}': {}", unknown("shard", name, subject.shards.iter().map(String::as_str)))
    })
}

/// Index of a command group by name.
pub fn command_group(subject: &Subject, name: &str) -> Result<usize, String> {
    let names = || subject.command_groups.iter().map(|group| group.name.as_str());
    let found = names().position(|group| group == name);
    found.ok_or_else(|| format!("'{name}': {}", unknown("command group", name, names())))
}
