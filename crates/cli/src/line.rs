//! The command line.

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use tansyjunction_gateway::{Deployment, serve, signals};
use tansyjunction_settings::Program;

use crate::{accord, account, council, demo, expect, fellows, handover, log, rig};

#[derive(Parser)]
#[command(name = "tansyjunction", version, about = "Steers reads and writes in replicated stores")]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve clients until told to stop by SIGTERM; SIGHUP has the configuration read anew.
    Serve(Source),
    /// Read the configuration and the settings as `serve` does, and say what is wrong with them.
    Check(Source),
    /// Check what is expected of where commands go, without sending any.
    Expect(Box<expect::Line>),
    /// Show it at work: a store, two gateways and clients on loopback, with changes of primary.
    Demo(demo::Line),
    /// Hold two versions of what gateways act on against each other.
    Accord(accord::Line),
    /// Say from gateways' logs what became of the commands, and why some were not answered in time.
    Account(account::Line),
    /// Show how gateways see each other, and what they saw of the servers.
    Fellows(fellows::Line),
    /// Start many gateways on loopback, put faults between them and judge what they did.
    Rig(rig::Line),
    /// Announce a change of primary to gateways, take it back, or see how it goes.
    Handover(handover::Line),
    /// Agree on documents and changes of primary, and see who holds which duty.
    Council(council::Line),
    /// Write a shell's completions to standard output.
    Completions { shell: Shell },
    /// Write the manual page to standard output.
    Man,
    /// Tell the version.
    Version,
}

#[derive(Args)]
pub struct Source {
    /// The configuration, as JSON; without it, the file that BALANCER_CONFIG names.
    #[arg(long)]
    pub config: Option<PathBuf>,
    /// The program's own settings, as INI; without them all have their defaults.
    #[arg(long)]
    pub settings: Option<PathBuf>,
}

impl Source {
    pub fn program(&self) -> Result<Program, String> {
        Program::open(self.settings.as_deref()).map_err(|fault| fault.to_string())
    }
}

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

/// Writes to standard output. Guards against a panic where whoever reads it has gone.
pub fn print(text: &str) -> Result<(), String> {
    let mut out = std::io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(error) if error.kind() != std::io::ErrorKind::BrokenPipe => Err(error.to_string()),
        _ => Ok(()),
    }
}
