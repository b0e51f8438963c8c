//! Stand-ins and runner for the cases of this review: discovery, database servers, clients, and the start of the gateway
//! by the deploy file's command. Standard library only; every address is on 127.0.0.1.
//!
//! usage: case NAME FOLDER    (from the repository's root; TROUBLE=0 leaves the disruption out)

mod bench;
mod memory;
mod pipeline;
mod session;

fn main() {
    let mut args = std::env::args().skip(1);
    let (name, folder) = (args.next().unwrap_or_default(), args.next().unwrap_or_else(|| ".".into()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = bench::Record::create(&folder);
    // No case takes so long; the gateway ends with this process.
    std::thread::spawn(|| {
        std::thread::sleep(bench::millis(110_000));
        println!("RESULT: the case could not run: it took too long");
        std::process::exit(2);
    });
    let result = match name.as_str() {
        "memory" => memory::run(&record, trouble),
        "pipeline" => pipeline::run(&record, trouble),
        "session" => session::run(&record, trouble),
        other => Err(format!("there is no case '{other}'")),
    };
    let code = match result {
        Ok(true) => {
            record.line("RESULT: the rule held");
            0
        }
        Ok(false) => {
            record.line("RESULT: the rule was broken");
            1
        }
        Err(message) => {
            record.line(&format!("RESULT: the case could not run: {message}"));
            2
        }
    };
    std::process::exit(code);
}
