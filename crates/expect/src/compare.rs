//! Differences between the routes of two configurations, or of two server lists.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::explore::{Bounds, ObservedBehavior, RouterFactory};
use crate::judge::time;
use crate::state::{self, STATES};
use crate::steer::CheckedRouter;
use crate::subject::Subject;
use crate::suggest::{names, observe};

/// A difference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    pub command_group: String,
    pub shard: String,
    pub state: String,
    pub what: &'static str,
    pub old: String,
    pub new: String,
}

/// Compares the targets of commands of each group on each shard in each common state.
pub fn compare<S: CheckedRouter>(
    old: &Arc<Subject>,
    new: &Arc<Subject>,
    bounds: &Bounds,
    make: RouterFactory<S>,
) -> Result<Vec<Difference>, String> {
    let mut found = Vec::new();
    let names = |subject: &Subject| subject.command_groups.iter().map(|group| group.name.clone()).collect();
    let groups: BTreeSet<String> =
        [names(old), names(new)].into_iter().flat_map(|names: Vec<_>| names).collect();
    let shards: BTreeSet<String> = old.shards.iter().chain(&new.shards).cloned().collect();
    for group in &groups {
        let place = |subject: &Subject| subject.command_groups.iter().position(|known| known.name == *group);
        let (Some(a), Some(b)) = (place(old), place(new)) else {
            found.push(there(group, "*", "*", "command group", place(old).is_some()));
            continue;
        };
        for shard in &shards {
            let place = |subject: &Subject| subject.shards.iter().position(|known| known == shard);
            let (Some(at), Some(to)) = (place(old), place(new)) else {
                found.push(there(group, shard, "*", "shard", place(old).is_some()));
                continue;
            };
            for (name, state) in &STATES {
                let has = |subject: &Subject, shard| !state::starts(subject, &[], state, shard).is_empty();
                match (has(old, at), has(new, to)) {
                    (false, false) => {}
                    (true, true) => {
                        let before = observe(old, a, at, state, bounds, make)?;
                        let after = observe(new, b, to, state, bounds, make)?;
                        let told = differs((old, &before), (new, &after));
                        found.extend(told.into_iter().map(|(what, old, new)| Difference {
                            command_group: group.clone(),
                            shard: shard.clone(),
                            state: name.to_string(),
                            what,
                            old,
                            new,
                        }));
                    }
                    (was, _) => found.push(there(group, shard, name, "state", was)),
                }
                if (bounds.stop)() {
                    return Err("the time was over before all was compared".into());
                }
            }
        }
    }
    Ok(found)
}

fn there(group: &str, shard: &str, state: &str, what: &'static str, was: bool) -> Difference {
    let word = |there: bool| if there { "there" } else { "not there" }.to_string();
    Difference {
        command_group: group.into(),
        shard: shard.into(),
        state: state.into(),
        what,
        old: word(was),
        new: word(!was),
    }
}

fn differs(
    old: (&Subject, &ObservedBehavior),
    new: (&Subject, &ObservedBehavior),
) -> Vec<(&'static str, String, String)> {
    let each =
        |told: &dyn Fn(&Subject, &ObservedBehavior) -> String| (told(old.0, old.1), told(new.0, new.1));
    let list = |subject: &Subject, servers: &BTreeSet<usize>| match servers.is_empty() {
        true => "nowhere".to_string(),
        false => names(subject, servers).into_iter().collect::<Vec<_>>().join(", "),
    };
    let ends = |seen: &ObservedBehavior| {
        let each = ["answered", "throttled", "failed"].into_iter().zip(seen.latest);
        let told = each.filter_map(|(word, at)| Some(format!("{word} by {}", time(at?))));
        told.collect::<Vec<_>>().join(", ")
    };
    [
        ("first dispatch", each(&|subject, seen| list(subject, &seen.first))),
        ("any dispatch", each(&|subject, seen| list(subject, &seen.any))),
        ("tries at most", each(&|_, seen| seen.tries.to_string())),
        ("ends", each(&|_, seen| ends(seen))),
    ]
    .into_iter()
    .filter(|(_, (old, new))| old != new)
    .map(|(what, (old, new))| (what, old, new))
    .collect()
}

/// The differences as a table; empty if there are none.
pub fn table(differences: &[Difference]) -> String {
    if differences.is_empty() {
        return String::new();
    }
    let mut table = comfy_table::Table::new();
    table.load_style(comfy_table::presets::UTF8_FULL_CONDENSED);
    table.set_header(["command group", "shard", "state", "what", "old", "new"]);
    for one in differences {
        let Difference { command_group, shard, state, what, old, new } = one;
        table.add_row([command_group.as_str(), shard, state, what, old, new]);
    }
    table.to_string()
}
