//! The settings and the server list as far as gateways act on them. Each field states what makes it tighter and the
//! rule that it serves; the macro `terms!` requires both.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value as Json;
use tansyjunction::interface::ServerState;
use tansyjunction_hosting::ServerList;

use crate::tighten::{Agreed, Class, Free, Least, Most, Permits, Strictest, Tighten, classify};

/// The rule that a field serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer per command, in time.
    Answer,
    /// No effect twice.
    Once,
    /// No new commands after the drain grace.
    Drain,
    /// A cold server is never overloaded.
    Cold,
    /// No stale read.
    Fresh,
    /// Writes go to one primary of a shard at a time; commands go to members of their shard.
    Place,
    /// None of them.
    None,
}

/// A field that differs between two versions.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    pub field: String,
    pub class: Class,
    pub rule: Rule,
    pub old: String,
    pub new: String,
    /// The value that applies until all have agreed.
    pub meanwhile: String,
}

/// Defines a struct whose fields each have a type and a rule; implements [`Tighten`] and the list of differences over
/// all of them.
macro_rules! terms {
    ($(#[$doc:meta])* $name:ident { $($(#[$field_doc:meta])* $field:ident: $kind:ty => $rule:ident,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq)]
        pub struct $name { $($(#[$field_doc])* pub $field: $kind,)* }

        impl Tighten for $name {
            fn meet(&self, other: &Self) -> Self {
                $name { $($field: self.$field.meet(&other.$field),)* }
            }
        }

        impl $name {
            fn differences(&self, new: &Self, path: &str, found: &mut Vec<Difference>) {
                $(differ(&format!("{path}.{}", stringify!($field)), Rule::$rule, &self.$field, &new.$field, found);)*
            }
        }
    };
}

fn differ<T: Tighten + std::fmt::Debug>(
    field: &str,
    rule: Rule,
    old: &T,
    new: &T,
    found: &mut Vec<Difference>,
) {
    let class = classify(old, new);
    let (said_old, said_new) = (format!("{old:?}"), format!("{new:?}"));
    if class != Class::Same || said_old != said_new {
        let meanwhile = format!("{:?}", old.meet(new));
        found.push(Difference { field: field.into(), class, rule, old: said_old, new: said_new, meanwhile });
    }
}

/// Effect of repeating a command, the least dangerous first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RepeatEffect {
    Replayable,
    Keyed,
    Mutating,
}

/// Where repeats of a keyed command are dropped, the widest scope first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DedupScope {
    All,
    Zone,
    Group,
    Nowhere,
}

/// Freshness that a command needs, the least first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Need {
    Any,
    Bounded,
    Session,
    Fresh,
    Write,
}

/// How servers treat a read that they are too far behind for, the most helpful first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StaleReadPolicy {
    Wait,
    Refuse,
    None,
}

terms! {
    /// Settings of a command group. Times in nanoseconds, as in the settings.
    GroupTerms {
        /// A command that may not run twice by one version may not.
        effect: Strictest<RepeatEffect> => Once,
        dropped: Strictest<DedupScope> => Once,
        /// A repeat outside either version's window is forbidden.
        window: Least => Once,
        need: Strictest<Need> => Fresh,
        bound: Least => Fresh,
        /// An answer before the earlier timeout is in time by both versions.
        client_timeout: Least => Answer,
        response_target: Free<f64> => None,
        worth: Free<f64> => None,
        late_worth: Free<f64> => None,
    }
}

terms! {
    Limits {
        dispatches: Least => Once,
        second_copies: Permits => Once,
        recalls: Permits => None,
        probes: Permits => None,
        peers: Permits => None,
        come_back: Permits => None,
        come_back_most: Least => None,
        connect_within: Least => Answer,
        idle_for: Least => None,
    }
}

terms! {
    Guarantees {
        answer_grace: Least => Answer,
        drain_grace: Least => Drain,
        /// Tighter: removal is final.
        gone_is_advice: Permits => Drain,
        cold_for: Most => Cold,
        cold_from: Least => Cold,
        fall_multiple: Least => Cold,
        fall_for: Least => Cold,
        /// More gateways share a cold server's budget.
        gateways: Most => Cold,
    }
}

terms! {
    Reads {
        guards: Strictest<StaleReadPolicy> => Fresh,
        /// A position that is not reported by one version is not relied on.
        stamped: Permits => Fresh,
        session_marks: Agreed<String> => Fresh,
        role_listed: Agreed<String> => Place,
        synchronous: Permits => Fresh,
        patience: Free<f64> => None,
    }
}

terms! {
    /// A server of the list.
    Host {
        standing: Strictest<ListedState> => Drain,
        shard: Agreed<String> => Place,
        zone: Free<String> => None,
        /// The smaller size: it limits the budget of a cold server.
        size: Least => Cold,
        /// The later start: the server may be colder.
        started: Most => Cold,
        /// Its address on this gateway's network; may differ between gateways.
        address: Free<String> => None,
    }
}

/// State in the list, the least restrictive first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListedState {
    Serving,
    Draining,
    Gone,
}

/// Content of a version. A command group or server missing from one version gets no commands.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigVersion {
    pub groups: BTreeMap<String, GroupTerms>,
    pub limits: Limits,
    pub guarantees: Guarantees,
    pub reads: Reads,
    pub zones: Agreed<Vec<String>>,
    pub hosts: BTreeMap<String, Host>,
    /// Primary of each shard.
    pub primaries: BTreeMap<String, Agreed<String>>,
    /// Unknown settings. They contradict where they differ, since their effect is unknown.
    pub others: BTreeMap<String, Agreed<String>>,
}

/// Keys of the settings that are read above, or have no effect on any rule.
const KNOWN_KEYS: [&str; 28] = [
    "balancers",
    "categories",
    "clients",
    "costs",
    "domain",
    "family",
    "goal",
    "guarantees",
    "kinds",
    "layers",
    "limits",
    "localities",
    "me",
    "my_zone",
    "over_share_worth",
    "realms",
    "registry_mode",
    "round",
    "telemetry",
    "tier",
    "weight_kind",
    "worth_by",
    "name",
    "seed",
    "listen",
    "discovery",
    "peer_listen",
    "peers",
];

impl ConfigVersion {
    /// Reads a configuration with its `settings` and its server list. Errors name the key.
    pub fn read(config: &Json) -> Result<ConfigVersion, String> {
        let settings = config.get("settings").ok_or("'settings' is missing")?;
        let list = match &config["known"] {
            Json::Null => None,
            list => Some(ServerList::parse_strict(list).map_err(|message| format!("'known': {message}"))?),
        };
        let number = |part: &Json, key: &str, absent: f64| part[key].as_f64().unwrap_or(absent);
        let flag = |part: &Json, key: &str| part[key] == true;
        let word = |part: &Json, key: &str| part[key].as_str().unwrap_or_default().to_string();
        let (domain, limits) = (&settings["domain"], &settings["limits"]);
        let guarantees = &settings["guarantees"];
        let mut groups = BTreeMap::new();
        for (k, one) in settings["categories"].as_array().into_iter().flatten().enumerate() {
            let name = one["name"].as_str().ok_or(format!("'settings.categories.{k}.name' is missing"))?;
            // Unknown values are treated as the strictest.
            let effect = match one["effect"].as_str() {
                Some("pure") => RepeatEffect::Replayable,
                Some("token") => RepeatEffect::Keyed,
                _ => RepeatEffect::Mutating,
            };
            let dropped = match (effect, one["dedup_scope"].as_str()) {
                (RepeatEffect::Replayable, _) | (_, Some("all")) => DedupScope::All,
                (_, Some("zone")) => DedupScope::Zone,
                (RepeatEffect::Keyed, _) => DedupScope::Group,
                (RepeatEffect::Mutating, _) => DedupScope::Nowhere,
            };
            let need = match domain["needs_by_class"][k].as_str() {
                Some("eventual") => Need::Any,
                Some("lag_bound") => Need::Bounded,
                Some("causal") => Need::Session,
                Some("strong") => Need::Fresh,
                _ => Need::Write,
            };
            let bound = domain["class_bound"][k].as_f64().filter(|_| need == Need::Bounded);
            let terms = GroupTerms {
                effect: Strictest(effect),
                dropped: Strictest(dropped),
                window: Least(if effect == RepeatEffect::Keyed {
                    number(one, "window", 0.0)
                } else {
                    f64::INFINITY
                }),
                need: Strictest(need),
                bound: Least(bound.unwrap_or(f64::INFINITY)),
                client_timeout: Least(number(one, "hard_limit", 0.0)),
                response_target: Free(number(one, "aim", 0.0)),
                worth: Free(number(one, "worth", 0.0)),
                late_worth: Free(number(one, "late_worth", 0.0)),
            };
            if groups.insert(name.to_string(), terms).is_some() {
                return Err(format!("'settings.categories.{k}.name' is '{name}' a second time"));
            }
        }
        let mut rules = ConfigVersion {
            groups,
            limits: Limits {
                dispatches: Least(number(limits, "max_attempts", 1.0)),
                second_copies: Permits(flag(limits, "second_copies")),
                recalls: Permits(flag(limits, "cancelling")),
                probes: Permits(flag(limits, "probes")),
                peers: Permits(flag(limits, "peers")),
                come_back: Permits(flag(limits, "retry_after")),
                come_back_most: Least(number(limits, "max_retry_after", 0.0)),
                connect_within: Least(number(limits, "dial_timeout", 0.0)),
                idle_for: Least(number(limits, "conn_idle", 0.0)),
            },
            guarantees: Guarantees {
                answer_grace: Least(number(guarantees, "grace_to_answer", 0.0)),
                drain_grace: Least(number(guarantees, "drain_grace", 0.0)),
                gone_is_advice: Permits(flag(guarantees, "gone_is_advice")),
                cold_for: Most(number(guarantees, "cold", 0.0)),
                cold_from: Least(number(guarantees, "cold_from", 1.0)),
                fall_multiple: Least(number(guarantees, "fall_multiple", 1.0)),
                fall_for: Least(number(guarantees, "overload_for", 0.0)),
                gateways: Most(number(settings, "balancers", 1.0)),
            },
            reads: Reads {
                guards: Strictest(match domain["guards"].as_str() {
                    Some("await") => StaleReadPolicy::Wait,
                    Some("bounce") => StaleReadPolicy::Refuse,
                    _ => StaleReadPolicy::None,
                }),
                stamped: Permits(flag(domain, "answers_stamped")),
                session_marks: Agreed(Some(word(domain, "write_marks"))),
                role_listed: Agreed(Some(word(domain, "role_listed"))),
                synchronous: Permits(flag(domain, "synchronous")),
                patience: Free(number(domain, "patience", 0.0)),
            },
            zones: Agreed(Some(
                settings["localities"]
                    .as_array()
                    .into_iter()
                    .flatten()
                    .map(|zone| zone.to_string())
                    .collect(),
            )),
            hosts: BTreeMap::new(),
            primaries: BTreeMap::new(),
            others: BTreeMap::new(),
        };
        for (key, value) in settings.as_object().into_iter().flatten() {
            if !KNOWN_KEYS.contains(&key.as_str()) {
                rules.others.insert(key.clone(), Agreed(Some(value.to_string())));
            }
        }
        for host in list.into_iter().flat_map(|list| list.servers) {
            if host.primary && host.state == ServerState::Serving {
                let leads = Agreed(Some(host.name.clone()));
                // Two listed primaries of one shard: none may be assumed.
                let known = rules.primaries.get(&host.group).map(|known| known.meet(&leads));
                rules.primaries.insert(host.group.clone(), known.unwrap_or(leads));
            }
            let stands = match host.state {
                ServerState::Serving => ListedState::Serving,
                ServerState::Draining => ListedState::Draining,
                ServerState::Gone => ListedState::Gone,
            };
            let one = Host {
                standing: Strictest(stands),
                shard: Agreed(Some(host.group)),
                zone: Free(host.zone),
                size: Least(host.size),
                started: Most(host.started.unwrap_or(0) as f64),
                address: Free(host.address.map(|dial| dial.to_string()).unwrap_or_default()),
            };
            rules.hosts.insert(host.name, one);
        }
        rules.primaries.retain(|_, leads| leads.0.is_some());
        Ok(rules)
    }
}

/// Keys of both maps, each once.
fn all_keys<'a, T>(a: &'a BTreeMap<String, T>, b: &'a BTreeMap<String, T>) -> BTreeSet<&'a String> {
    a.keys().chain(b.keys()).collect()
}

/// What applies while gateways may act on either version: the tighter value of each field. A command group or server
/// missing from one version gets no commands; a shard with different primaries gets no writes.
pub fn meanwhile(old: &ConfigVersion, new: &ConfigVersion) -> ConfigVersion {
    // Every field is named, so that a new one cannot be forgotten here.
    let ConfigVersion { groups, limits, guarantees, reads, zones, hosts, primaries, others } = old;
    let meets = |a: &BTreeMap<String, Agreed<String>>, b: &BTreeMap<String, Agreed<String>>| {
        let absent = Agreed(None);
        let meet = |key: &String| a.get(key).unwrap_or(&absent).meet(b.get(key).unwrap_or(&absent));
        let met = all_keys(a, b).into_iter().map(|key| (key.clone(), meet(key)));
        // A shard without agreement is treated as one without a primary.
        met.filter(|(_, met)| *met != absent).collect()
    };
    let both =
        |(name, terms): (&String, &GroupTerms)| Some((name.clone(), terms.meet(new.groups.get(name)?)));
    let there = |(name, host): (&String, &Host)| Some((name.clone(), host.meet(new.hosts.get(name)?)));
    ConfigVersion {
        groups: groups.iter().filter_map(both).collect(),
        limits: limits.meet(&new.limits),
        guarantees: guarantees.meet(&new.guarantees),
        reads: reads.meet(&new.reads),
        zones: zones.meet(&new.zones),
        hosts: hosts.iter().filter_map(there).collect(),
        primaries: meets(primaries, &new.primaries),
        others: meets(others, &new.others),
    }
}

/// All fields that differ, with class and rule, in a fixed order.
pub fn compare(old: &ConfigVersion, new: &ConfigVersion) -> Vec<Difference> {
    let ConfigVersion { groups, limits, guarantees, reads, zones, hosts, primaries, others } = old;
    let mut found = Vec::new();
    // A missing entry gets no commands: removing one is tighter, adding one is looser.
    let only_one = |field: String, there: bool, rule: Rule| {
        let (class, old, new) =
            if there { (Class::Tighter, "there", "-") } else { (Class::Looser, "-", "there") };
        Difference { field, class, rule, old: old.into(), new: new.into(), meanwhile: "-".into() }
    };
    for name in all_keys(groups, &new.groups) {
        let path = format!("command group {name}");
        match (groups.get(name), new.groups.get(name)) {
            (Some(old), Some(new)) => old.differences(new, &path, &mut found),
            (old, _) => found.push(only_one(path, old.is_some(), Rule::Answer)),
        }
    }
    limits.differences(&new.limits, "limits", &mut found);
    guarantees.differences(&new.guarantees, "guarantees", &mut found);
    reads.differences(&new.reads, "reads", &mut found);
    differ("zones", Rule::Place, zones, &new.zones, &mut found);
    for name in all_keys(hosts, &new.hosts) {
        let path = format!("server {name}");
        match (hosts.get(name), new.hosts.get(name)) {
            (Some(old), Some(new)) => old.differences(new, &path, &mut found),
            (old, _) => found.push(only_one(path, old.is_some(), Rule::Drain)),
        }
    }
    let absent = Agreed(None);
    for (kind, rule, old, new) in [
        ("primary of shard", Rule::Place, primaries, &new.primaries),
        ("setting", Rule::None, others, &new.others),
    ] {
        for name in all_keys(old, new) {
            let (old, new) = (old.get(name).unwrap_or(&absent), new.get(name).unwrap_or(&absent));
            differ(&format!("{kind} {name}"), rule, old, new, &mut found);
        }
    }
    found
}
