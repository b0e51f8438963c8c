//! `tansyjunction expect`: expectations checked, written, compared, explained and run again.

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
use tansyjunction_settings::{Expecting, duration};

use crate::line::{Source, print};

/// Exit codes: all hold, one fails, input that can't be used.
const FAILS: u8 = 1;
const UNUSABLE: u8 = 2;

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
    /// Write expectations from what the router does now.
    Suggest {
        #[command(flatten)]
        searched: Searched,
        /// Write them there and not to standard output.
        #[arg(long)]
        output: Option<PathBuf>,
    },
    /// Tell what two configurations, or two lists of servers, route differently.
    Diff {
        old: PathBuf,
        new: PathBuf,
        /// Stop after so long.
        #[arg(long, default_value = "1m")]
        time_limit: String,
    },
    /// Run a saved run again.
    Replay { file: PathBuf },
}

#[derive(Args)]
struct Searched {
    #[command(flatten)]
    source: Source,
    /// Stop searching after so long, such as 10s.
    #[arg(long)]
    time_limit: Option<String>,
}

#[derive(Args)]
struct Check {
    #[command(flatten)]
    searched: Searched,
    /// Files of expectations and worlds, as INI.
    files: Vec<PathBuf>,
    #[arg(long, value_enum, default_value = "text")]
    format: Form,
    /// Write the report there and not to standard output.
    #[arg(long)]
    output: Option<PathBuf>,
    /// Save the run that breaks an expectation in this folder, one file each.
    #[arg(long)]
    save: Option<PathBuf>,
    /// Runs of one expectation at most.
    #[arg(long)]
    runs: Option<u64>,
    /// Tell what would happen to one command and why: its command group, shard and, if it is not calm, the state.
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

pub fn main(line: Line) -> ExitCode {
    let done = match line.command {
        None => line.check.run(),
        Some(Command::Suggest { searched, output }) => searched.suggest(output.as_deref()),
        Some(Command::Diff { old, new, time_limit }) => diff(&old, &new, &time_limit),
        Some(Command::Replay { file }) => replay(&file),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(FAILS),
        Err(message) => {
            eprintln!("tansyjunction: {message}");
            ExitCode::from(UNUSABLE)
        }
    }
}

impl Searched {
    fn config(&self) -> Result<PathBuf, String> {
        let named = || std::env::var_os("BALANCER_CONFIG").filter(|path| !path.is_empty());
        let path = self.source.config.clone().or_else(|| named().map(PathBuf::from));
        path.ok_or_else(|| "no configuration: neither --config nor BALANCER_CONFIG is given".into())
    }

    /// The bounds of the settings, changed by the command line.
    fn bounds(&self, mut bounds: Expecting) -> Result<Expecting, String> {
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
            return Err("the time was over before all was looked at; --time-limit gives more".into());
        }
        put(output, &written)?;
        Ok(true)
    }
}

/// Tells when the time is over.
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
            put(
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
        put(self.output.as_deref(), &written)?;
        if report.fails() {
            return Ok(false);
        }
        if over() {
            return Err("the time was over before all was searched; nothing that was found fails".into());
        }
        if !report.holds() {
            return Err("the bound on runs left something open; --runs gives more".into());
        }
        Ok(true)
    }
}

/// Saves each run that breaks an expectation.
fn save(folder: &Path, input: &Input, report: &Report) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    for (place, one) in report.checked.iter().enumerate() {
        if let Verdict::Broken(found) = &one.verdict {
            let plain = |c: char| if c.is_ascii_alphanumeric() { c } else { '-' };
            let name: String = one.name.chars().map(plain).collect();
            let path = folder.join(format!("{:03}-{name}.json", place + 1));
            put(Some(&path), &format!("{:#}\n", saved::save(input, place, found)))?;
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

/// Writes a whole file or none; without a path, to standard output.
fn put(path: Option<&Path>, text: &str) -> Result<(), String> {
    let Some(path) = path else { return print(text) };
    let said = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
    let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let mut file = tempfile::NamedTempFile::new_in(folder).map_err(|error| said(&error))?;
    file.write_all(text.as_bytes()).map_err(|error| said(&error))?;
    file.persist(path).map(drop).map_err(|error| said(&error))
}
