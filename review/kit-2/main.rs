//! The cases 6 to 10 of the review: `rig CASE FOLDER`, started by the `run.sh` of each case from the root of the
//! repository. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cut;
mod drain;
mod network;
mod refusal_copy;
mod second_copy;
mod settings;
mod stayers;
mod world;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use world::{Case, Record, cannot_run};

/// The longest run: what takes longer could not run.
const MOST_SECONDS: u64 = 115;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else { cannot_run("usage: rig CASE FOLDER") };
    let folder = PathBuf::from(folder);
    let temporary = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&temporary) {
        cannot_run(&format!("the temporary folder: {error}"));
    }
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::open(&folder);
    record.note(&format!("case {name}, trouble {trouble}"));
    let case = Case {
        temporary: temporary.clone(),
        trouble,
        record: record.clone(),
        broken: Arc::new(AtomicUsize::new(0)),
    };
    let (sender, done) = std::sync::mpsc::channel();
    let broken = case.broken.clone();
    let name = name.clone();
    std::thread::spawn(move || {
        let ran = match name.as_str() {
            "second-copy" => second_copy::run(&case),
            "cut" => cut::run(&case),
            "drain" => drain::run(&case),
            "refusal-copy" => refusal_copy::run(&case),
            "stayers" => stayers::run(&case),

            _ => cannot_run("no such case"),
        };
        let _ = sender.send(ran);
    });
    let ran = done.recv_timeout(std::time::Duration::from_secs(MOST_SECONDS));
    let _ = std::fs::remove_dir_all(&temporary);
    let count = broken.load(Ordering::SeqCst);
    match ran {
        Ok(Ok(())) if count == 0 => record.tell("HELD"),
        Ok(Ok(())) => {
            record.tell(&format!("BROKEN {count} times"));
            std::process::exit(1);
        }
        Ok(Err(why)) => cannot_run(&why),
        Err(_) => cannot_run("it took too long or ended by itself"),
    }
}
