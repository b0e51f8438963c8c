//! tansyjunction: routes reads and writes in replicated stores.

mod accord;
mod account;
mod council;
mod demo;
mod expect;
mod fellows;
mod handover;
mod line;
mod log;
mod rig;

use std::process::ExitCode;

fn main() -> ExitCode {
    line::main()
}
