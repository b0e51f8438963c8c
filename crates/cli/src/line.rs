//! Command line.

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use tansyjunction_gateway::{Deployment, serve, signals};
use tansyjunction_settings::ProgramSettings;

use crate::{accord, account, council, demo, expect, fellows, handover, log, rig};

#[derive(Parser)]
#[command(name = "tansyjunction", version, about = "Steers reads and writes in replicated stores")]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve clients until SIGTERM; SIGHUP reloads the configuration.
    Serve(Source),
    /// Validate the configuration and the settings as `serve` does, and report errors.
    Check(Source),
    /// Check expectations of where commands go, without sending any.
    Expect(Box<expect::Line>),
    /// Run a demonstration on loopback: a store, two gateways and clients, with changes of primary.
    Demo(demo::Line),
    /// Compare two versions of the configuration.
    Accord(accord::Line),
    /// Report from gateways' logs what happened to the commands, and why some were not answered in time.
    Account(account::Line),
    /// Show how gateways see each other, and what they observed of the servers.
    Fellows(fellows::Line),
    /// Test many gateways on loopback with injected faults, and check the rules.
    Rig(rig::Line),
    /// Plan or abort a change of primary at single gateways, or show its state.
    Handover(handover::Line),
    /// Manage agreed documents and changes of primary, and show holders of duties.
    Council(council::Line),
    /// Print shell completions.
    Completions { shell: Shell },
    /// Print the manual page.
    Man,
    /// Print the version.
    Version,
}

#[derive(Args)]
pub struct Source {
    /// Configuration file in JSON; default: the file named by BALANCER_CONFIG.
    #[arg(long)]
    pub config: Option<PathBuf>,
    /// Settings file in INI; default: all settings have their defaults.
    #[arg(long)]
    pub settings: Option<PathBuf>,
}

impl Source {
    /// Reads the settings file.
    pub fn program(&self) -> Result<ProgramSettings, String> {
        ProgramSettings::open(self.settings.as_deref()).map_err(|fault| fault.to_string())
    }
}

/// Parses the command line and runs the sub-command.
pub fn main() -> ExitCode {
    let done = match Line::parse().command {
        Command::Expect(line) => return expect::main(*line),
        Command::Accord(line) => return accord::main(&line),
        Command::Account(line) => account::run(&line),
        Command::Fellows(line) => fellows::run(&line),
        Command::Rig(line) => rig::run(&line),
        Command::Demo(line) => demo::run(&line),
        Command::Handover(line) => handover::run(&line),
        Command::Council(line) => council::run(&line),
        Command::Serve(source) => signals().and_then(|signals| {
            let program = source.program()?;
            log::start(&program.log)?;
            serve(signals, source.config, &program)
        }),
        Command::Check(source) => source.program().and_then(|_| {
            let deployment = Deployment::read(source.config.as_deref())?;
            print(&format!("{deployment}\n"))
        }),
        Command::Completions { shell } => {
            let mut out = Vec::new();
            clap_complete::generate(shell, &mut Line::command(), "tansyjunction", &mut out);
            print(&String::from_utf8_lossy(&out))
        }
        Command::Man => {
            let mut out = Vec::new();
            let rendered = clap_mangen::Man::new(Line::command()).render(&mut out);
            rendered.map_err(|error| error.to_string()).and_then(|()| print(&String::from_utf8_lossy(&out)))
        }
        Command::Version => print(&format!("tansyjunction {}\n", env!("CARGO_PKG_VERSION"))),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("tansyjunction: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Writes to standard output; an error instead of a panic if the reader is gone.
pub fn print(text: &str) -> Result<(), String> {
    let mut out = std::io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(error) if error.kind() != std::io::ErrorKind::BrokenPipe => Err(error.to_string()),
        _ => Ok(()),
    }
}
