//! Example files with the expected results in their headers. Each test program uses a part of it.
#![allow(dead_code)]

use std::path::{Path, PathBuf};

use serde_json::Value as Json;
use tansyjunction_expect::explore::RouterFactory;
use tansyjunction_expect::report::why;
use tansyjunction_expect::steer::CheckedRouter;
use tansyjunction_expect::{Input, Report, Subject, check};
use tansyjunction_settings::{Ini, ProgramSettings};

pub fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/examples/expectations")
}

/// An example file: `; key: value` in its first lines, then the expectations.
pub struct Example {
    pub name: String,
    pub text: String,
}

impl Example {
    pub fn all(kind: &str) -> Vec<Example> {
        let files = std::fs::read_dir(folder().join(kind)).expect("the folder").flatten();
        let mut all: Vec<Example> = files
            .map(|file| Example {
                name: file.file_name().to_string_lossy().into(),
                text: std::fs::read_to_string(file.path()).expect("the file"),
            })
            .collect();
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }

    pub fn head(&self, key: &str) -> Option<&str> {
        let lines = self.text.lines().map_while(|line| line.strip_prefix("; "));
        lines
            .filter_map(|line| line.split_once(": "))
            .find(|(known, _)| *known == key)
            .map(|(_, value)| value)
    }

    pub fn input(&self) -> Result<Input, String> {
        let mut config = config(self.head("config").expect("a configuration"));
        for patch in self.head("patch").into_iter().flat_map(|patches| patches.split("; ")) {
            let (path, value) = patch.split_once(" = ").expect("a patch");
            let value = serde_json::from_str(value).expect("a patch's value");
            *config.pointer_mut(path).expect("a patch's place") = value;
        }
        let settings = self.head("settings").unwrap_or("").replacen("] ", "]\n", 1);
        input(config, &[&self.text], &settings)
    }
}

pub fn config(name: &str) -> Json {
    let text = std::fs::read_to_string(folder().join(name)).expect("a configuration");
    serde_json::from_str(&text).expect("JSON")
}

pub fn input(config: Json, files: &[&str], settings: &str) -> Result<Input, String> {
    let subject = Subject::read("config.json", config)?;
    let inis = files.iter().map(|text| Ini::read("expectations.ini", text));
    let inis = inis.collect::<Result<Vec<_>, _>>().map_err(|fault| fault.to_string())?;
    let program = Ini::read("settings.ini", settings).and_then(|ini| ProgramSettings::read(&ini));
    let bounds = program.map_err(|fault| fault.to_string())?.expect;
    Input::read(subject, inis, bounds, "settings.ini".into()).map_err(|fault| fault.to_string())
}

/// Checks without a time limit, so that the result is the same on every machine.
pub fn checked<S: CheckedRouter>(input: &Input, make: RouterFactory<S>) -> Result<Report, String> {
    check(input, &|| false, make)
}

/// All failures, one line each.
pub fn failures(report: &Report) -> String {
    let each = report.checked.iter().filter_map(why);
    each.chain(report.faults.iter().map(ToString::to_string)).collect::<Vec<_>>().join("\n")
}

/// A configuration of `shards` shards with `members` servers each in two zones, and expectations for it.
pub fn large(shards: usize, members: usize, expectations: usize) -> (Json, String) {
    let mut config = config("shop.json");
    let hosts = (0..shards).flat_map(|shard| (0..members).map(move |member| (shard, member)));
    let hosts = hosts.map(|(shard, member)| {
        serde_json::json!({
            "host": format!("s{shard}-{member}"), "dial": format!("127.0.0.1:{}", 1_000 + shard * 100 + member),
            "site": if member % 2 == 0 { "metamorfosi" } else { "koropi" }, "class": "large", "block": shard,
            "health": "up", "share": 1.0, "born_ms": 0, "recovery": if member == 0 { "off" } else { "on" },
        })
    });
    config["known"]["hosts"] = hosts.collect();
    let kinds = [
        "commands = issue\nin = calm, new\nonly = primary\nanswered = always",
        "commands = lookup\nin = calm, behind\nnever = behind 3s\nmay = replica own zone",
        "commands = lookup\nin = hung, refusing\nfaults = error, miss\nanswered = always",
        "commands = issue\nin = late-list, changing\nfaults = silence, reset\nfailed = within 2s",
        "commands = report\nin = calm, draining\nnever = draining\nfaults = error",
    ];
    let each = (0..expectations).map(|n| {
        let shard = if n < kinds.len() { "*".to_string() } else { (n % shards).to_string() };
        format!("[expectation number {n}]\nshards = {shard}\n{}\n\n", kinds[n % kinds.len()])
    });
    (config, each.collect())
}
