//! `tansyjunction rig`: fault injection with many processes of this program on loopback.

use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use tansyjunction_rig::{Outcome, Plan, page, run as play};

use crate::line::print;

/// Most runs while minimizing a failing plan.
const MAX_MINIMIZE_RUNS: usize = 40;

#[derive(Args)]
pub struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Generate plans from seeds and run them one after the other; failing ones are saved and minimized.
    Run {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of plans from this seed on.
        #[arg(long, default_value_t = 1)]
        plans: u64,
        #[arg(long, default_value_t = 9, value_parser = clap::value_parser!(u64).range(2..=100))]
        gateways: u64,
        /// Faults per plan.
        #[arg(long, default_value_t = 4)]
        faults: usize,
        /// Clients per gateway.
        #[arg(long, default_value_t = 1)]
        clients: usize,
        /// Folder for a report of each run, and for failing plans.
        #[arg(long, default_value = ".")]
        out: PathBuf,
        /// Minimize a failing plan.
        #[arg(long)]
        shrink: bool,
    },
    /// Run a saved plan.
    Replay {
        plan: PathBuf,
        /// Path of the report.
        #[arg(long)]
        page: Option<PathBuf>,
    },
    /// Print the plan of a seed without running it.
    Show {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 9, value_parser = clap::value_parser!(u64).range(2..=100))]
        gateways: u64,
        #[arg(long, default_value_t = 4)]
        faults: usize,
    },
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}

fn json(plan: &Plan) -> Result<String, String> {
    serde_json::to_string_pretty(plan).map_err(|error| error.to_string())
}

/// Summary of a run.
fn summary(outcome: &Outcome) -> String {
    let Outcome { plan, broken, joined_ms, healed_ms, answered, throttled, failed, cut_off, .. } = outcome;
    let healed = healed_ms.map_or("never".into(), |ms| format!("after {ms} ms"));
    let slowest =
        outcome.detected_ms.values().max().map_or(String::new(), |ms| format!(", deaths known by {ms} ms"));
    let mut text = format!(
        "seed {}, {} gateways, {} faults: joined after {joined_ms} ms, healed {healed}{slowest}; {answered} answered, \
         {throttled} throttled, {failed} failed, {cut_off} cut off\n",
        plan.seed,
        plan.gateways,
        plan.faults.len()
    );
    let (asked, in_time, mean) = outcome.after_restart;
    if asked > 0 {
        text += &format!(
            "  in the second after the restart: {in_time} of {asked} answered, in {mean:.0} ms on average\n"
        );
    }
    broken.iter().for_each(|line| text += &format!("  BROKEN {line}\n"));
    text
}

/// Runs the sub-command.
pub fn run(line: &Line) -> Result<(), String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    match &line.command {
        Command::Show { seed, gateways, faults } => {
            print(&(json(&Plan::drawn(*seed, *gateways as usize, *faults))? + "\n"))
        }
        Command::Replay { plan, page } => {
            let text =
                std::fs::read_to_string(plan).map_err(|error| format!("{}: {error}", plan.display()))?;
            let plan = Plan::read(&text)?;
            let outcome = play(&program, &plan)?;
            if let Some(path) = page {
                write(path, &page::html(&outcome)?)?;
            }
            print(&summary(&outcome))?;
            if outcome.broken.is_empty() { Ok(()) } else { Err("a rule was violated".into()) }
        }
        Command::Run { seed, plans, gateways, faults, clients, out, shrink } => {
            let mut failed = 0;
            for seed in *seed..seed + plans {
                let drawn = Plan::drawn(seed, *gateways as usize, *faults);
                let plan = Plan { clients: *clients, ..drawn };
                let outcome = play(&program, &plan)?;
                print(&summary(&outcome))?;
                write(&out.join(format!("run-{seed}.html")), &page::html(&outcome)?)?;
                if outcome.broken.is_empty() {
                    continue;
                }
                failed += 1;
                write(&out.join(format!("plan-{seed}.json")), &json(&plan)?)?;
                if *shrink {
                    let fails =
                        |plan: &Plan| play(&program, plan).is_ok_and(|outcome| !outcome.broken.is_empty());
                    write(
                        &out.join(format!("plan-{seed}-small.json")),
                        &json(&plan.shrunk(MAX_MINIMIZE_RUNS, fails))?,
                    )?;
                }
            }
            if failed == 0 { Ok(()) } else { Err(format!("{failed} of {plans} plans violated a rule")) }
        }
    }
}
