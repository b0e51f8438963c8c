//! Explanation of one command: state of the servers, each question to the router and its answer.

use std::fmt::Write;
use std::sync::Arc;

use crate::explore::RouterFactory;
use crate::judge::{stands, time};
use crate::report::narrate;
use crate::scope;
use crate::state::{self, DescribedWorld, State};
use crate::steer::CheckedRouter;
use crate::subject::{Need, Subject};
use crate::world::{IncomingCommand, PauseReason, START_TIME, World};

/// What to explain, such as `lookup 4 hung`: command group, shard and, if not calm, the state.
pub fn explain<S: CheckedRouter>(
    subject: &Arc<Subject>,
    worlds: &[DescribedWorld],
    what: &str,
    make: RouterFactory<S>,
) -> Result<String, String> {
    let words: Vec<&str> = what.split_whitespace().collect();
    let (command, shard, state) = match words[..] {
        [command, shard] => (command, shard, State::Calm),
        [command, shard, ..] => (command, shard, state::read(&words[2..].join(" "), worlds)?),
        _ => return Err(format!("'{what}' is not 'COMMAND-GROUP SHARD [STATE]'")),
    };
    let command_group = scope::command_group(subject, command)?;
    let place = scope::shard(subject, shard)?;
    let mut out = String::new();
    let starts = state::starts(subject, worlds, &state, place);
    if starts.is_empty() {
        return Err(format!("shard {shard} has no world '{}'", state::name(&state, worlds)));
    }
    let group = &subject.command_groups[command_group];
    let need = match group.need {
        Need::Write => "a write: only the primary takes it".to_string(),
        Need::Fresh => "a fresh read: it must see every commit before it".into(),
        Need::Session => "a read that must see its session's writes".into(),
        Need::Bounded(bound) => format!("a read of data not older than {}", time(bound)),
        Need::Any => "a read of any data".into(),
    };
    let (target, timeout) = (time(group.response_target), time(group.client_timeout));
    let _ = writeln!(out, "{command}: {need}; response target {target}, client timeout {timeout}");
    for start in &starts {
        let _ = writeln!(out, "\nworld: {}", start.name);
        for server in subject.members(place) {
            let (facts, truth) = (&subject.servers[server], &start.truths[server]);
            let own = if facts.zone == subject.own_zone { ", the client's" } else { "" };
            let zone = &subject.zones[facts.zone];
            let _ = writeln!(out, "  {}: zone {zone}{own}; {}", facts.name, stands(subject, truth));
        }
        let session = (group.need == Need::Session).then_some(1);
        let coming = IncomingCommand { after: 0, command_group, shard: place, session, written_ago: None };
        let router = make(&subject.settings_by_name, 0)?;
        let mut world = World::begin(subject.clone(), router, start, Arc::new(vec![coming]));
        while let PauseReason::Sent { dispatch, server, timeout } = world.run() {
            world.happens(0, dispatch, server, timeout, None);
        }
        let trail: Vec<_> = world.trail.iter().cloned().collect();
        for line in narrate(subject, &trail) {
            let _ = writeln!(out, "{line}");
        }
        if let Some((at, end)) = world.last().end {
            let _ = writeln!(out, "  -> {end:?} after {}", time(at - START_TIME));
        }
    }
    Ok(out)
}
