//! A run as text: each question to the router with its answer, and each event.

use tansyjunction::interface::*;

use crate::judge::time;
use crate::subject::Subject;
use crate::world::{Change, START_TIME, Step, What};

/// The end of a dispatch as text.
pub fn outcome(ending: DispatchEnd) -> &'static str {
    match ending {
        DispatchEnd::Answered => "answered",
        DispatchEnd::Errored => "an error; it may have run",
        DispatchEnd::SentBack => "sent back, never run",
        DispatchEnd::TimedOut => "no answer in time; it may have run",
        DispatchEnd::Unconnected => "no connection, never run",
        DispatchEnd::Reset => "the connection broke; it may have run",
        DispatchEnd::Recalled => "called off; it may have run",
        DispatchEnd::Unsent => "never sent",
        DispatchEnd::Missed => "a miss, never run",
    }
}

/// One line per step, with the time since the start.
pub fn narrate(subject: &Subject, trail: &[Step]) -> Vec<String> {
    let several = trail.iter().filter(|step| matches!(step.what, What::Arrives { .. })).count() > 1;
    trail.iter().map(|step| line(subject, step, several)).collect()
}

fn line(subject: &Subject, step: &Step, several: bool) -> String {
    let at = step.at.saturating_sub(START_TIME) as f64 / 1e3;
    let name = |server: usize| subject.servers.get(server).map_or("an unknown server", |s| s.name.as_str());
    let of = |command: usize| if several { format!("command {}: ", command + 1) } else { String::new() };
    let told = match &step.what {
        What::Arrives { command } => format!("{}arrives", of(*command)),
        What::Asked { command, place, times } => {
            let asked = match times {
                1 => "where to?".to_string(),
                n => format!("where to? (asked {n} times)"),
            };
            let answer = match place {
                Placement::Dispatch { server, timeout } => {
                    format!("to {}, for {} at most", name(*server), time(*timeout))
                }
                Placement::Hold => "not yet".into(),
                Placement::Abandon(FinalAnswer::Throttled { retry_after: 0 }) => "throttled".into(),
                Placement::Abandon(FinalAnswer::Throttled { retry_after: come_back }) => {
                    format!("throttled, to come back after {}", time(*come_back))
                }
                Placement::Abandon(FinalAnswer::Failed) => "failed".into(),
            };
            format!("{}{asked} -> {answer}", of(*command))
        }
        What::Ended { command, dispatch, server, ending, over } => {
            let over = if *over { "; the command is over" } else { "" };
            let number = dispatch + 1;
            format!("{}dispatch {number} at {}: {}{over}", of(*command), name(*server), outcome(*ending))
        }
        What::Recalled { command, dispatch } => {
            format!("{}dispatch {} is called off", of(*command), dispatch + 1)
        }
        What::Probed { server, ending } => format!("probe of {}: {}", name(*server), outcome(*ending)),
        What::Changed(change) => match change {
            Change::Told { server, standing, primary, started } => {
                let role = if *primary { "primary" } else { "replica" };
                let started = if started.is_some() { ", started of late" } else { "" };
                let standing = format!("{standing:?}").to_lowercase();
                format!("the list tells: {} is {standing}, {role}{started}", name(*server))
            }
            Change::Primary(server) => format!("{} becomes the primary", name(*server)),
            Change::Condition(server, condition) => {
                format!("{} is {} from now on", name(*server), format!("{condition:?}").to_lowercase())
            }
        },
    };
    format!("{at:>9.1} ms  {told}")
}
