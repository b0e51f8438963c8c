//! Report as a self-contained HTML page.

use minijinja::{Environment, context};

use crate::check::{Report, Verdict};
use crate::report::{narrate, tally, why, word};
use crate::subject::Subject;

const PAGE: &str = include_str!("page.html");

/// Renders the report.
pub fn html(subject: &Subject, report: &Report) -> Result<String, String> {
    let mut environment = Environment::new();
    environment.add_template("page.html", PAGE).map_err(|error| error.to_string())?;
    let checked = report.checked.iter().map(|one| {
        let steps = match &one.verdict {
            Verdict::Broken(found) => narrate(subject, &found.trail),
            _ => Vec::new(),
        };
        let holds = matches!(one.verdict, Verdict::Holds);
        context! {
            name => &one.name, holds, word => word(&one.verdict), why => why(one), steps,
            tally => tally(&one.tally),
        }
    });
    let states: Vec<&str> = crate::state::STATES.iter().map(|(name, _)| *name).collect();
    let coverage: Vec<_> = subject
        .command_groups
        .iter()
        .map(|group| {
            let cells = states.iter().map(|state| {
                let gap = report.gaps.iter().find(|g| g.command_group == group.name && g.state == *state);
                match gap {
                    None => "all".to_string(),
                    Some(gap) if gap.shards.is_empty() => "none".into(),
                    Some(gap) => format!("not {}", gap.shards.join(", ")),
                }
            });
            context! { name => &group.name, cells => cells.collect::<Vec<_>>() }
        })
        .collect();
    let page = environment.get_template("page.html").map_err(|error| error.to_string())?;
    let faults: Vec<String> = report.faults.iter().map(ToString::to_string).collect();
    let rendered = page.render(context! {
        config => &report.config,
        holds => report.holds(),
        checked => checked.collect::<Vec<_>>(),
        faults,
        states => &states,
        coverage,
        tally => tally(&report.tally),
    });
    rendered.map_err(|error| error.to_string())
}
