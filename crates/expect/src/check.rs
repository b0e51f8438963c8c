//! A complete check: from files to verdicts.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use tansyjunction::Router;
use tansyjunction::interface::SettingsByName;
use tansyjunction_settings::{ExpectSettings, Ini, ProgramSettings, SettingsError};

use crate::contradiction;
use crate::coverage::{self, Gap};
use crate::expectation::{self, Expectation, Suite};
use crate::explore::{self, Bounds, Counterexample, RouterFactory, SearchResult, SearchStats, named_by};
use crate::judge;
use crate::scope::Scope;
use crate::steer::CheckedRouter;
use crate::subject::Subject;

/// Files of a check: a configuration, its expectations and scenarios, and the program's settings.
pub struct Input {
    pub subject: Arc<Subject>,
    pub suite: Suite,
    pub files: Vec<Ini>,
    pub bounds: ExpectSettings,
    /// Path of the settings file; empty if none.
    pub settings_file: String,
}

impl Input {
    /// Reads all files.
    pub fn open(config: &Path, files: &[PathBuf], settings: Option<&Path>) -> Result<Input, String> {
        let said = |fault: SettingsError| fault.to_string();
        let program = ProgramSettings::open(settings).map_err(said)?;
        let subject = Subject::open(config)?;
        let files = files.iter().map(|path| Ini::open(path)).collect::<Result<Vec<_>, _>>().map_err(said)?;
        let settings_file = settings.map(|path| path.display().to_string()).unwrap_or_default();
        Input::read(subject, files, program.expect, settings_file).map_err(said)
    }

    /// Parses the given configuration and files.
    pub fn read(
        mut subject: Subject,
        files: Vec<Ini>,
        bounds: ExpectSettings,
        settings_file: String,
    ) -> Result<Input, SettingsError> {
        expectation::add_servers(&mut subject, &files)?;
        let suite = Suite::read(&files, &subject, &bounds)?;
        Ok(Input { subject: Arc::new(subject), suite, files, bounds, settings_file })
    }
}

/// Result of checking an expectation.
#[derive(Clone, Debug)]
pub enum Verdict {
    Holds,
    /// It fails without any run.
    Contradicts(SettingsError),
    /// A run violates it.
    Broken(Box<Counterexample>),
    /// No run reaches a server that some run must reach.
    NotReached {
        key: &'static str,
        why: String,
    },
    /// No violation was found, but the search was incomplete.
    Open {
        why: String,
    },
}

/// An expectation with its verdict.
#[derive(Clone, Debug)]
pub struct Checked {
    pub name: String,
    pub verdict: Verdict,
    pub tally: SearchStats,
}

/// Verdicts on all expectations.
#[derive(Clone, Debug)]
pub struct Report {
    pub config: String,
    pub checked: Vec<Checked>,
    /// Contradictions of scenarios and settings, independent of any expectation.
    pub faults: Vec<SettingsError>,
    pub gaps: Vec<Gap>,
    pub tally: SearchStats,
}

impl Report {
    /// Whether everything holds.
    pub fn holds(&self) -> bool {
        self.faults.is_empty() && self.checked.iter().all(|one| matches!(one.verdict, Verdict::Holds))
    }

    /// Whether there is a definite failure.
    pub fn fails(&self) -> bool {
        let certain = |verdict: &Verdict| !matches!(verdict, Verdict::Holds | Verdict::Open { .. });
        !self.faults.is_empty() || self.checked.iter().any(|one| certain(&one.verdict))
    }
}

/// Creates the router itself.
pub fn router(settings_by_name: &SettingsByName, seed: u64) -> Result<Router, String> {
    Router::new(settings_by_name.clone(), seed)
}

/// Checks all expectations; `stop` tells when the time is over. Unusable input is an error.
pub fn check<S: CheckedRouter>(
    input: &Input,
    stop: &dyn Fn() -> bool,
    make: RouterFactory<S>,
) -> Result<Report, String> {
    let Input { subject, suite, .. } = input;
    if suite.expectations.is_empty() {
        return Err("there is no [expectation NAME] in the files".into());
    }
    if subject.servers.is_empty() {
        return Err(format!("{}: 'known' lists no server, and no file describes one", subject.file));
    }
    let contradictions = contradiction::all(subject, suite);
    let mut report = Report {
        config: subject.file.clone(),
        checked: Vec::new(),
        faults: judge::settings_lag(subject, &input.bounds, &input.settings_file).into_iter().collect(),
        gaps: coverage::gaps(subject, suite),
        tally: SearchStats::default(),
    };
    for (place, expectation) in suite.expectations.iter().enumerate() {
        let contradicts = contradictions.iter().find(|c| c.expectation == Some(place));
        let (verdict, tally) = match contradicts {
            Some(found) => (Verdict::Contradicts(found.fault.clone()), SearchStats::default()),
            None => {
                let bounds = Bounds { runs: input.bounds.runs, stop };
                let found = explore::expectation(subject, &suite.worlds, expectation, &bounds, make)?;
                (verdict(input, expectation, &found), found.tally)
            }
        };
        report.tally.add(&tally);
        report.checked.push(Checked { name: expectation.name.clone(), verdict, tally });
    }
    let others = contradictions.into_iter().filter(|c| c.expectation.is_none());
    report.faults.extend(others.map(|c| c.fault));
    Ok(report)
}

fn verdict(input: &Input, expectation: &Expectation, found: &SearchResult) -> Verdict {
    if let Some(counterexample) = &found.counterexample {
        return Verdict::Broken(Box::new(counterexample.clone()));
    }
    let named = |scope: &Scope| named_by(&input.subject, &input.suite.worlds, expectation, scope);
    let name = |server: &usize| input.subject.servers[*server].name.as_str();
    let missing = |key: &'static str, why: String| match &found.tally.cut_short {
        // Commands that arrive together are left to the random generator, but no run was omitted.
        Some(cut) if expectation.at_once == 1 => Verdict::Open { why: format!("'{key}': {why}, but {cut}") },
        _ => Verdict::NotReached { key, why },
    };
    if let Some(scope) = &expectation.must.may {
        let mut never: Vec<usize> =
            named(scope).into_iter().filter(|s| !found.seen.any.contains(s)).collect();
        never.sort_unstable();
        if !never.is_empty() {
            let names = never.iter().map(name).collect::<Vec<_>>().join(", ");
            return missing("may", format!("no run goes to {names}"));
        }
    }
    if let Some(scope) = &expectation.must.some
        && !named(scope).iter().any(|server| found.seen.any.contains(server))
    {
        return missing("some", format!("no run goes to '{}'", scope.text));
    }
    Verdict::Holds
}
