//! Simulator adapter: runs routers on event batches from standard input and writes orders to standard output.

mod host;
mod instance;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = host::Host::default();
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut line = String::new();
    for count in 1.. {
        line.clear();
        let reply = match input.read_line(&mut line) {
            Ok(0) => break,
            Ok(_) if line.trim().is_empty() => continue,
            Ok(_) => host.batch(&line),
            Err(error) => Err(error.to_string()),
        };
        let written = reply.map(|reply| writeln!(output, "{reply}").and_then(|()| output.flush()));
        match written {
            Ok(Ok(())) => {}
            Ok(Err(error)) if error.kind() == io::ErrorKind::BrokenPipe => break,
            Ok(Err(error)) => return stop(count, &error.to_string()),
            Err(message) => return stop(count, &message),
        }
    }
    ExitCode::SUCCESS
}

fn stop(line: u64, message: &str) -> ExitCode {
    eprintln!("tansyjunction-wirehost: line {line}: {message}");
    ExitCode::FAILURE
}
