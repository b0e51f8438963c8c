//! Checks of duties: what gateways logged and did, the store's record and the injected faults form one history. Times
//! are the machine's monotonic clock in microseconds, which all processes share.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use serde_json::Value as Json;

/// A log line of a gateway with target `council`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LogLine {
    pub at: u64,
    pub by: usize,
    /// granted, lapsed, revoked, released, handed-on, effect-start, effect-end, effect-refused, document, leads,
    /// follows, stranger, seated, disk, and others
    pub what: String,
    pub duty: String,
    pub epoch: u64,
    /// End of the lease of the duty.
    pub until: Option<u64>,
    /// The complete line.
    pub all: Json,
}

/// What was done to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ProcessAction {
    Started,
    Killed,
    Paused,
    WentOn,
    /// SIGTERM.
    Stopped,
}

/// An action on a process, with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ActionRecord {
    pub at: u64,
    pub who: usize,
    pub act: ProcessAction,
}

/// A switch of a shard's primary in the store's record: arrival, and completion if any.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Effect {
    pub shard: usize,
    pub epoch: u64,
    pub came: u64,
    pub done: Option<u64>,
}

/// A document that was acknowledged as agreed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Agreed {
    pub name: String,
    pub version: u64,
}

/// A period in which a gateway held a duty by its own log and was able to act.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Held {
    pub duty: String,
    pub epoch: u64,
    pub by: usize,
    pub from: u64,
    pub to: u64,
    /// What ended it.
    pub end: String,
}

/// History of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct History {
    pub lines: Vec<LogLine>,
    pub acts: Vec<ActionRecord>,
    pub effects: Vec<Effect>,
    pub agreed: Vec<Agreed>,
    /// Documents with versions of each gateway running at the end.
    pub kept: KnownDocuments,
    /// End of the run.
    pub end: u64,
}

/// Documents with their versions, by gateway.
pub type KnownDocuments = BTreeMap<usize, BTreeMap<String, u64>>;

/// Acknowledged documents that are missing or older, with the gateway and its version.
pub fn missing_documents<'a>(agreed: &'a [Agreed], kept: &KnownDocuments) -> Vec<(usize, &'a Agreed, u64)> {
    let mut lacking = Vec::new();
    for (by, kept) in kept {
        for agreed in agreed {
            let there = kept.get(&agreed.name).copied().unwrap_or(0);
            if there < agreed.version {
                lacking.push((*by, agreed, there));
            }
        }
    }
    lacking
}

/// The lines of a gateway's log with target `council`.
pub fn read(by: usize, log: &str) -> Vec<LogLine> {
    let lines = log.lines().filter_map(|line| {
        let all: Json = serde_json::from_str(line).ok().filter(|all: &Json| all["target"] == "council")?;
        let (what, at) = (all["what"].as_str()?.to_string(), all["mono"].as_u64()?);
        let (duty, epoch) = (all["duty"].as_str().unwrap_or(""), all["epoch"].as_u64().unwrap_or(0));
        Some(LogLine { at, by, what, duty: duty.into(), epoch, until: all["until"].as_u64(), all })
    });
    lines.collect()
}

/// Time in µs within which a resumed process has checked its leases.
const WAKE_TIME: u64 = 100_000;
const END_EVENTS: [&str; 4] = ["lapsed", "revoked", "released", "handed-on"];

impl History {
    /// Sorts all parts by time.
    pub fn sort(&mut self) {
        self.lines.sort_by_key(|line| line.at);
        self.acts.sort_by_key(|acted| acted.at);
    }

    /// Who held which duty and when: from the log of its start to the log of its end, or to the end of the logged
    /// lease.
    pub fn held(&self) -> Vec<Held> {
        let mut all = Vec::new();
        for (place, line) in self.lines.iter().enumerate().filter(|(_, line)| line.what == "granted") {
            let same = |other: &&LogLine| {
                (other.by, &other.duty, other.epoch) == (line.by, &line.duty, line.epoch)
                    && END_EVENTS.contains(&other.what.as_str())
            };
            let ended = self.lines[place..].iter().find(same);
            let (mut to, mut end) = match ended {
                Some(ended) => {
                    (ended.until.map_or(ended.at, |until| until.min(ended.at)), ended.what.clone())
                }
                None => (self.end, "end".into()),
            };
            let of = |act: ProcessAction| {
                self.acts.iter().filter(move |acted| acted.who == line.by && acted.act == act)
            };
            if let Some(killed) = of(ProcessAction::Killed).find(|killed| (line.at..to).contains(&killed.at))
            {
                // A process killed right after its resumption had no time to log that its lease expired meanwhile.
                let asleep = |woke: &&ActionRecord| {
                    (line.at..killed.at).contains(&woke.at) && killed.at < woke.at + WAKE_TIME
                };
                let woke = of(ProcessAction::WentOn).rfind(asleep).map_or(killed.at, |woke| woke.at);
                let paused = of(ProcessAction::Paused).rfind(|paused| (line.at..=woke).contains(&paused.at));
                let stood = paused
                    .filter(|paused| !of(ProcessAction::WentOn).any(|on| (paused.at..woke).contains(&on.at)));
                (to, end) = (stood.map_or(killed.at, |paused| paused.at), "killed".into());
            }
            let (duty, epoch) = (line.duty.clone(), line.epoch);
            all.push(Held { duty, epoch, by: line.by, from: line.at, to, end });
        }
        all.sort_by_key(|held| (held.from, held.epoch));
        all
    }

    /// All violations; each text begins with the name of the rule.
    pub fn violations(&self) -> Vec<String> {
        let held = self.held();
        let rules = [
            self.two_holders(&held),
            self.effects(&held),
            self.unfenced_effects(),
            self.unannounced_effects(),
        ];
        [rules.concat(), self.lost(), self.conflicting_versions()].concat()
    }

    fn two_holders(&self, held: &[Held]) -> Vec<String> {
        let mut broken = Vec::new();
        for (place, one) in held.iter().enumerate() {
            for other in held[place + 1..].iter().filter(|other| other.duty == one.duty) {
                if one.epoch == other.epoch && one.by != other.by {
                    broken.push(format!("one epoch, two holders: {one:?}, {other:?}"));
                } else if other.from < one.to && one.from < other.to && one.by != other.by {
                    broken.push(format!("two holders at once: {one:?}, {other:?}"));
                } else if other.epoch < one.epoch {
                    broken.push(format!("epochs go back: {one:?}, then {other:?}"));
                }
            }
        }
        broken
    }

    fn effects(&self, held: &[Held]) -> Vec<String> {
        let mut broken = Vec::new();
        let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
        for line in self.lines.iter().filter(|line| line.what == "effect-start") {
            let own = |held: &&Held| (held.by, &held.duty, held.epoch) == (line.by, &line.duty, line.epoch);
            let own: Vec<&Held> = held.iter().filter(own).collect();
            if !own.iter().any(|own| own.from <= line.at && line.at <= own.to) {
                broken.push(format!("effect without the duty: n{} at {}, {own:?}", line.by, line.all));
            }
            if line.until.is_some_and(|until| until < line.at) {
                broken.push(format!("effect after the lease: n{} at {}", line.by, line.all));
            }
            let newest = newest.entry(&line.duty).or_default();
            if line.epoch < *newest {
                broken
                    .push(format!("effects out of order: n{} at {} after epoch {newest}", line.by, line.all));
            }
            *newest = line.epoch.max(*newest);
        }
        broken
    }

    /// The store's record: executed switches must be in the order of epochs.
    fn unfenced_effects(&self) -> Vec<String> {
        let mut done: Vec<&Effect> = self.effects.iter().filter(|effect| effect.done.is_some()).collect();
        done.sort_by_key(|effect| effect.done);
        let mut newest: BTreeMap<usize, u64> = BTreeMap::new();
        let mut broken = Vec::new();
        for effect in done {
            let newest = newest.entry(effect.shard).or_default();
            if effect.epoch < *newest {
                broken.push(format!("done out of order: {effect:?} after epoch {newest}"));
            }
            *newest = effect.epoch.max(*newest);
        }
        broken
    }

    /// Switches in the store that no gateway logged the start of.
    fn unannounced_effects(&self) -> Vec<String> {
        let said = |effect: &&Effect| {
            self.lines.iter().any(|line| {
                let duty = line.duty == format!("conductor/{}", effect.shard);
                line.what == "effect-start" && duty && line.epoch == effect.epoch && line.at <= effect.came
            })
        };
        let unsaid = self.effects.iter().filter(|effect| !said(effect));
        unsaid.map(|effect| format!("effect that nobody began: {effect:?}")).collect()
    }

    /// Acknowledged documents that are missing or older at a gateway running at the end.
    fn lost(&self) -> Vec<String> {
        let lacking = missing_documents(&self.agreed, &self.kept).into_iter();
        let told = |(by, agreed, there)| format!("acknowledged and lost: {agreed:?} is {there} at n{by}");
        let mut broken: Vec<String> = lacking.map(told).collect();
        let mut seen = BTreeSet::new();
        for agreed in &self.agreed {
            if !seen.insert((&agreed.name, agreed.version)) {
                broken.push(format!("acknowledged twice: {agreed:?}"));
            }
        }
        broken
    }

    /// Versions of a document with different content.
    fn conflicting_versions(&self) -> Vec<String> {
        let mut seen: BTreeMap<(String, u64), (usize, Json)> = BTreeMap::new();
        let mut broken = Vec::new();
        for line in self.lines.iter().filter(|line| line.what == "document") {
            let (Some(name), Some(version)) = (line.all["name"].as_str(), line.all["version"].as_u64())
            else {
                continue;
            };
            let tells = Json::from(
                ["step", "to", "epoch", "number", "why"].map(|key| line.all[key].clone()).to_vec(),
            );
            let first = seen.entry((name.into(), version)).or_insert((line.by, tells.clone()));
            if first.1 != tells {
                broken.push(format!(
                    "two decisions: {name} {version} is {} to n{} and {tells} to n{}",
                    first.1, first.0, line.by
                ));
            }
        }
        broken
    }

    /// Time in µs from when a holder could no longer act to when the next one could, by the next one's epoch.
    pub fn without(&self, duty: &str) -> BTreeMap<u64, u64> {
        let held: Vec<Held> = self.held().into_iter().filter(|held| held.duty == duty).collect();
        let pairs = held.windows(2).filter(|pair| pair[0].epoch < pair[1].epoch);
        pairs.map(|pair| (pair[1].epoch, pair[1].from.saturating_sub(pair[0].to))).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const DUTY: &str = "conductor/0";

    fn line(at: u64, by: usize, what: &str, epoch: u64) -> LogLine {
        LogLine { at, by, what: what.into(), duty: DUTY.into(), epoch, until: None, all: Json::Null }
    }

    fn of(lines: Vec<LogLine>) -> History {
        let mut history = History { lines, end: 1_000, ..History::default() };
        history.sort();
        history
    }

    /// n1 holds it and is paused, n2 takes over, n1 resumes and logs that its lease had expired long ago.
    fn right() -> History {
        let effect = |epoch, came, done| Effect { shard: 0, epoch, came, done };
        let mut history = of(vec![
            line(100, 1, "granted", 1),
            line(110, 1, "effect-start", 1),
            line(300, 2, "granted", 2),
            line(310, 2, "effect-start", 2),
            line(330, 2, "effect-end", 2),
            LogLine { until: Some(250), ..line(400, 1, "lapsed", 1) },
            line(500, 2, "released", 2),
        ]);
        history.effects = vec![effect(1, 112, None), effect(2, 312, Some(325))];
        history.agreed = vec![Agreed { name: "plan/0".into(), version: 2 }];
        history.kept = BTreeMap::from([(2, BTreeMap::from([("plan/0".to_string(), 3)]))]);
        history
    }

    #[test]
    fn a_history_that_is_right_is_found_so_and_measured() {
        let history = right();
        assert_eq!(history.violations(), Vec::<String>::new());
        assert_eq!(history.without(DUTY), BTreeMap::from([(2, 50)]));
    }

    /// A killed gateway holds a duty until its death; one killed while paused, until the pause.
    #[test]
    fn who_is_killed_holds_nothing_any_more() {
        let at = |at, act| ActionRecord { at, who: 1, act };
        for (acts, to) in [
            (vec![at(250, ProcessAction::Killed)], 250),
            (vec![at(120, ProcessAction::Paused), at(250, ProcessAction::Killed)], 120),
            (
                vec![
                    at(120, ProcessAction::Paused),
                    at(240, ProcessAction::WentOn),
                    at(250, ProcessAction::Killed),
                ],
                120,
            ),
            (
                vec![
                    at(120, ProcessAction::Paused),
                    at(130, ProcessAction::WentOn),
                    at(500_000, ProcessAction::Killed),
                ],
                500_000,
            ),
        ] {
            let granted = vec![line(100, 1, "granted", 1)];
            let history = History { acts, ..History { end: 900_000, ..of(granted) } };
            assert_eq!(history.held()[0].to, to, "{:?}", history.acts);
        }
    }

    #[test]
    fn each_wrong_history_is_found_by_its_name() {
        type Wrong = (&'static str, fn(&mut History));
        let wrong: [Wrong; 12] = [
            ("two holders at once", |history| history.lines[5].until = None),
            ("one epoch, two holders", |history| history.lines.push(line(600, 3, "granted", 2))),
            ("epochs go back", |history| history.lines.push(line(600, 3, "granted", 1))),
            ("effect without the duty", |history| history.lines.push(line(392, 1, "effect-start", 1))),
            ("effect without the duty", |history| history.lines.push(line(510, 2, "effect-start", 2))),
            ("effect without the duty", |history| history.lines.push(line(105, 3, "effect-start", 9))),
            ("effects out of order", |history| history.lines.push(line(320, 1, "effect-start", 1))),
            ("effect after the lease", |history| {
                history.lines.push(LogLine { until: Some(319), ..line(320, 2, "effect-start", 2) });
            }),
            ("done out of order", |history| {
                // As by a store without fencing.
                history.effects[0].done = Some(395);
            }),
            ("effect that nobody began", |history| history.lines.retain(|line| line.at != 310)),
            ("acknowledged and lost", |history| history.agreed[0].version = 4),
            ("acknowledged twice", |history| history.agreed.push(history.agreed[0].clone())),
        ];
        for (name, change) in wrong {
            let mut history = right();
            change(&mut history);
            history.sort();
            let broken = history.violations();
            assert!(broken.iter().any(|said| said.starts_with(name)), "{name}: {broken:?}");
        }
    }

    /// A follower receives acknowledged documents a heartbeat or two later and lacks them until then. One that never
    /// receives them has lost them, however long the wait.
    #[test]
    fn what_comes_late_is_lacked_until_it_is_there_and_what_never_comes_is_lost() {
        let mut history = right();
        history.kept.insert(3, BTreeMap::from([("plan/0".to_string(), 1)]));
        for (version, lacks) in [(1, true), (2, false), (3, false)] {
            history.kept.insert(4, BTreeMap::from([("plan/0".to_string(), version)]));
            let lacking: Vec<_> = missing_documents(&history.agreed, &history.kept)
                .iter()
                .map(|(by, _, there)| (*by, *there))
                .collect();
            assert_eq!(lacking, if lacks { vec![(3, 1), (4, 1)] } else { vec![(3, 1)] }, "{version}");
        }
        history.kept.insert(5, BTreeMap::new());
        let lost = |there, by| {
            format!("acknowledged and lost: Agreed {{ name: \"plan/0\", version: 2 }} is {there} at n{by}")
        };
        assert_eq!(history.violations(), [lost(1, 3), lost(0, 5)]);
    }

    #[test]
    fn two_decisions_of_one_version_are_found_and_a_lease_ends_when_it_said() {
        let document = |by, number: u64| LogLine {
            all: serde_json::json!({"name": "plan/0", "version": 1, "number": number}),
            ..line(10, by, "document", 0)
        };
        assert_eq!(of(vec![document(1, 7), document(2, 7)]).violations(), Vec::<String>::new());
        assert!(of(vec![document(1, 7), document(2, 8)]).violations()[0].starts_with("two decisions"));
        let lapsed = LogLine { until: Some(200), ..line(290, 1, "lapsed", 1) };
        let late = of(vec![line(100, 1, "granted", 1), lapsed, line(210, 2, "granted", 2)]);
        assert_eq!((late.violations(), late.without(DUTY)), (vec![], BTreeMap::from([(2, 10)])));
    }

    #[test]
    fn lines_of_a_log_are_read_and_others_passed_over() {
        let log = "x\n{\"target\":\"council\",\"what\":\"granted\",\"mono\":7,\"duty\":\"conductor/0\",\"epoch\":3}\n\
                   {\"target\":\"fellows\",\"what\":\"up\",\"mono\":5}";
        let read = read(1, log);
        assert_eq!((read.len(), read[0].at, read[0].epoch, read[0].duty.as_str()), (1, 7, 3, DUTY));
    }
}
