//! `tansyjunction expect`: checks, suggests, compares, explains and replays expectations.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand, ValueEnum};
use tansyjunction_expect::explore::Bounds;
use tansyjunction_expect::report::{html, json, junit, narrate, text};
use tansyjunction_expect::{Input, Report, Subject, Verdict, check, router};
use tansyjunction_expect::{compare, explain, saved, suggest};
use tansyjunction_settings::{ExpectSettings, duration};

use crate::line::{Source, print};

/// Exit codes: an expectation fails; the input is invalid.
const EXIT_FAILED: u8 = 1;
const EXIT_INVALID_INPUT: u8 = 2;

#[derive(Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct Line {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    check: Check,
}

#[derive(Subcommand)]
enum Command {
    /// Write expectations that describe the current behaviour of the router.
    Suggest {
        #[command(flatten)]
        searched: Searched,
        /// Write to this file instead of standard output.
        #[arg(long)]
        output: Option<PathBuf>,
    },
    /// Show which commands two configurations, or two server lists, route differently.
    Diff {
        old: PathBuf,
        new: PathBuf,
        /// Time limit.
        #[arg(long, default_value = "1m")]
        time_limit: String,
    },
    /// Replay a saved run.
    Replay { file: PathBuf },
}

#[derive(Args)]
struct Searched {
    #[command(flatten)]
    source: Source,
    /// Time limit of the search, such as 10s.
    #[arg(long)]
    time_limit: Option<String>,
}

#[derive(Args)]
struct Check {
    #[command(flatten)]
    searched: Searched,
    /// INI files with expectations and scenarios.
    files: Vec<PathBuf>,
    #[arg(long, value_enum, default_value = "text")]
    format: Form,
    /// Write the report to this file instead of standard output.
    #[arg(long)]
    output: Option<PathBuf>,
    /// Save each run that violates an expectation to a file in this folder.
    #[arg(long)]
    save: Option<PathBuf>,
    /// Most runs per expectation.
    #[arg(long)]
    runs: Option<u64>,
    /// Explain what would happen to a command: its command group, shard and, if not calm, the state.
    #[arg(long, value_name = "COMMAND-GROUP SHARD [STATE]")]
    explain: Option<String>,
}

#[derive(Clone, Copy, ValueEnum)]
enum Form {
    Text,
    Json,
    Junit,
    Html,
}

/// Runs the sub-command.
pub fn main(line: Line) -> ExitCode {
    let done = match line.command {
        None => line.check.run(),
        Some(Command::Suggest { searched, output }) => searched.suggest(output.as_deref()),
        Some(Command::Diff { old, new, time_limit }) => diff(&old, &new, &time_limit),
        Some(Command::Replay { file }) => replay(&file),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_FAILED),
        Err(message) => {
            eprintln!("tansyjunction: {message}");
            ExitCode::from(EXIT_INVALID_INPUT)
        }
    }
}

impl Searched {
    fn config(&self) -> Result<PathBuf, String> {
        let named = || std::env::var_os("BALANCER_CONFIG").filter(|path| !path.is_empty());
        let path = self.source.config.clone().or_else(|| named().map(PathBuf::from));
        path.ok_or_else(|| "no configuration: neither --config nor BALANCER_CONFIG is given".into())
    }

    /// The limits of the settings, with those of the command line.
    fn bounds(&self, mut bounds: ExpectSettings) -> Result<ExpectSettings, String> {
        if let Some(limit) = &self.time_limit {
            bounds.time_limit = duration(limit).map_err(|message| format!("--time-limit: {message}"))?;
        }
        Ok(bounds)
    }

    fn suggest(&self, output: Option<&Path>) -> Result<bool, String> {
        let bounds = self.bounds(self.source.program()?.expect)?;
        let subject = Arc::new(Subject::open(&self.config()?)?);
        let over = over_after(bounds.time_limit);
        let written = suggest::suggest(&subject, &Bounds { runs: bounds.runs, stop: &over }, &router)?;
        if over() {
            return Err(
                "the time limit was reached before everything was examined; increase --time-limit".into()
            );
        }
        write_output(output, &written)?;
        Ok(true)
    }
}

/// Returns whether the time is over.
fn over_after(micros: u64) -> impl Fn() -> bool {
    let end = Instant::now() + Duration::from_micros(micros);
    move || Instant::now() >= end
}

impl Check {
    fn run(&self) -> Result<bool, String> {
        let files = match (&self.files[..], &self.explain) {
            ([], None) => return Err("no file of expectations is given".into()),
            (files, _) => files,
        };
        let mut input =
            Input::open(&self.searched.config()?, files, self.searched.source.settings.as_deref())?;
        input.bounds = self.searched.bounds(input.bounds)?;
        input.bounds.runs = self.runs.unwrap_or(input.bounds.runs);
        if let Some(what) = &self.explain {
            write_output(
                self.output.as_deref(),
                &explain::explain(&input.subject, &input.suite.worlds, what, &router)?,
            )?;
            return Ok(true);
        }
        let over = over_after(input.bounds.time_limit);
        let report = check(&input, &over, &router)?;
        let written = match self.format {
            Form::Text => text(&input.subject, &report),
            Form::Json => format!("{:#}\n", json(&input.subject, &report)),
            Form::Junit => junit(&input.subject, &report)?,
            Form::Html => html(&input.subject, &report)?,
        };
        if let Some(folder) = &self.save {
            save(folder, &input, &report)?;
        }
        write_output(self.output.as_deref(), &written)?;
        if report.fails() {
            return Ok(false);
        }
        if over() {
            return Err(
                "the time limit was reached before the search was complete; no failure was found".into()
            );
        }
        if !report.holds() {
            return Err("the limit on runs left something open; increase --runs".into());
        }
        Ok(true)
    }
}

/// Saves each run that violates an expectation.
fn save(folder: &Path, input: &Input, report: &Report) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    for (place, one) in report.checked.iter().enumerate() {
        if let Verdict::Broken(found) = &one.verdict {
            let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
            let name: String = one.name.chars().map(plain).collect();
            let path = folder.join(format!("{:03}-{name}.json", place + 1));
            write_output(Some(&path), &format!("{:#}\n", saved::save(input, place, found)))?;
        }
    }
    Ok(())
}

fn diff(old: &Path, new: &Path, time_limit: &str) -> Result<bool, String> {
    let limit = duration(time_limit).map_err(|message| format!("--time-limit: {message}"))?;
    let (old, new) = (Arc::new(Subject::open(old)?), Arc::new(Subject::open(new)?));
    let bounds = Bounds { runs: u64::MAX, stop: &over_after(limit) };
    let differences = compare::compare(&old, &new, &bounds, &router)?;
    let told = match differences.len() {
        0 => "nothing is routed differently\n".to_string(),
        count => format!("{}\n{count} differences\n", compare::table(&differences)),
    };
    print(&told)?;
    Ok(differences.is_empty())
}

fn replay(file: &Path) -> Result<bool, String> {
    let said = |error: &dyn std::fmt::Display| format!("{}: {error}", file.display());
    let text = std::fs::read_to_string(file).map_err(|error| said(&error))?;
    let json = serde_json::from_str(&text).map_err(|error| said(&error))?;
    let again = saved::replay(&json).map_err(|message| said(&message))?;
    let mut out = format!("{}\n", again.expectation);
    for line in narrate(&again.subject, &again.trail) {
        out += &format!("{line}\n");
    }
    out += &match &again.broken {
        Some(broken) => format!("FAILS: {}: {}\n", broken.cause.name(), broken.why),
        None => "holds: this run does not break it any more\n".into(),
    };
    print(&out)?;
    Ok(again.broken.is_none())
}

/// Writes a file atomically; without a path, to standard output.
fn write_output(path: Option<&Path>, text: &str) -> Result<(), String> {
    let Some(path) = path else { return print(text) };
    let said = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let mut file = tempfile::NamedTempFile::new_in(folder).map_err(|error| said(&error))?;
    file.write_all(text.as_bytes()).map_err(|error| said(&error))?;
    file.persist(path).map(drop).map_err(|error| said(&error))
}
