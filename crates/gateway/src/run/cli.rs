//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};

use crate::run::deployment::Deployment;
use crate::run::serve::serve;

#[derive(Parser)]
#[command(name = "tansyjunction", about = "Steers reads and writes in replicated stores")]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve clients until told to stop by SIGTERM; SIGHUP has the configuration read anew.
    Serve(Source),
    /// Read the configuration as `serve` does, and say what is wrong with it.
    Check(Source),
    /// Tell the version.
    Version,
}

#[derive(Args)]
struct Source {
    /// The configuration, as JSON; without it, the file that BALANCER_CONFIG names.
    #[arg(long)]
    config: Option<PathBuf>,
}

pub fn main() -> ExitCode {
    let done = match Line::parse().command {
        Command::Serve(source) => serve(source.config),
        Command::Check(source) => Deployment::read(source.config.as_deref()).map(|deployment| {
            println!(
                "{}: listens on {}, {} command groups, {} servers known",
                deployment.name,
                deployment.listen,
                deployment.command_groups.len(),
                deployment.known.as_ref().map_or(0, |list| list.hosts.len())
            );
        }),
        Command::Version => {
            println!("tansyjunction {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("tansyjunction: {message}");
            ExitCode::FAILURE
        }
    }
}
