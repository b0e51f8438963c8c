//! Coverage: command groups, shards and states without any expectation.

use std::collections::BTreeSet;

use crate::expectation::Suite;
use crate::state::{self, STATES, State};
use crate::subject::Subject;

/// Shards of a command group that no expectation covers in a state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gap {
    pub command_group: String,
    pub state: String,
    /// Empty for all shards.
    pub shards: Vec<String>,
}

/// Gaps of each command group, whole states first. States that a shard cannot be in are ignored.
pub fn gaps(subject: &Subject, suite: &Suite) -> Vec<Gap> {
    let mut touched: BTreeSet<(usize, usize, usize)> = BTreeSet::new();
    let states: Vec<State> = STATES.iter().map(|(_, state)| state.clone()).collect();
    for expectation in &suite.expectations {
        for command in &expectation.commands {
            for shard in &expectation.shards {
                let places = expectation.states.iter().filter_map(|s| states.iter().position(|k| k == s));
                touched.extend(places.map(|place| (*command, place, *shard)));
            }
        }
    }
    let mut found = Vec::new();
    for (command, group) in subject.command_groups.iter().enumerate() {
        for (place, state) in states.iter().enumerate() {
            let shards = 0..subject.shards.len();
            let open = shards.filter(|shard| !touched.contains(&(command, place, *shard)));
            let open: Vec<usize> =
                open.filter(|s| !state::starts(subject, &[], state, *s).is_empty()).collect();
            if open.is_empty() {
                continue;
            }
            let whole = open.len() == subject.shards.len();
            let names = if whole { Vec::new() } else { open };
            found.push(Gap {
                command_group: group.name.clone(),
                state: state::name(state, &[]).into(),
                shards: names.into_iter().map(|shard| subject.shards[shard].clone()).collect(),
            });
        }
    }
    found.sort_by_key(|gap| !gap.shards.is_empty());
    found
}
