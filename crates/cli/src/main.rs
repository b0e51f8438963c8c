//! tansyjunction: steers reads and writes in replicated stores.

mod account;
mod demo;
mod expect;
mod handover;
mod line;
mod log;

use std::process::ExitCode;

fn main() -> ExitCode {
    line::main()
}
