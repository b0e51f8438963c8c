//! Gateways between a stand-in store and clients, for tests of changes of primary.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value as Json, json};
use tansyjunction_standin::scripted::unused_address;
use tansyjunction_standin::{Client, Discovery, Reply, Store};

pub const MS: Duration = Duration::from_millis(1);

/// A gateway process.
pub struct Gateway {
    pub address: SocketAddr,
    pub control: PathBuf,
    child: Child,
    folder: tempfile::TempDir,
}

impl Gateway {
    pub fn start(number: usize, of: usize, discovery: SocketAddr, holds: bool) -> Gateway {
        let folder = tempfile::tempdir().expect("a folder");
        let address = unused_address();
        let control = folder.path().join("control");
        let config = json!({
            "name": format!("n{number}"), "listen": address.to_string(), "discovery": discovery.to_string(),
            "seed": format!("{}", number + 1), "limits": {"sockets": 1024, "memory_mb": 128},
            "settings": {
                "balancers": of, "me": number, "my_zone": "a", "localities": ["a"], "round": 5_000_000,
                "categories": [
                    {"name": "issue", "aim": 1_000_000_000_u64, "hard_limit": 2_000_000_000_u64, "effect": "token",
                     "dedup_scope": "cell", "window": 2_000_000_000_u64, "worth": 4.0, "late_worth": 0.7},
                    {"name": "lookup", "aim": 400_000_000, "hard_limit": 1_500_000_000, "effect": "pure"},
                ],
                "domain": {"needs_by_class": ["mutate", "lag_bound"], "class_bound": [0, 3_000_000_000_u64],
                           "guards": "await", "patience": 20_000_000, "answers_stamped": true},
                "limits": {"max_attempts": 6, "probes": true, "cancelling": true, "second_copies": true,
                           "dial_timeout": 250_000_000, "conn_idle": 15_000_000_000_u64, "retry_after": true,
                           "max_retry_after": 1_000_000_000},
                "guarantees": {"drain_grace": 1_000_000_000, "grace_to_answer": 20_000_000},
                "telemetry": {"fields": ["x0", "x1"], "how": "piggyback"},
            },
        });
        let settings = match holds {
            true => format!("[handover]\nenabled = yes\ncontrol = {}\n", control.display()),
            false => String::new(),
        };
        let (path, ini) = (folder.path().join("config.json"), folder.path().join("tansyjunction.ini"));
        std::fs::write(&path, config.to_string()).expect("a file");
        std::fs::write(&ini, settings).expect("a file");
        let log = std::fs::File::create(folder.path().join("log")).expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_tansyjunction"))
            .arg("serve")
            .args(["--config".as_ref(), path.as_os_str(), "--settings".as_ref(), ini.as_os_str()])
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program starts");
        let gateway = Gateway { address, control, child, folder };
        gateway.wait_until("it answers", || {
            let client = Client::connect(address, Duration::from_secs(3));
            client.is_ok_and(|mut client| client.ask("") == Reply::Empty)
        });
        gateway
    }

    pub fn wait_until(&self, what: &str, mut so: impl FnMut() -> bool) {
        let began = Instant::now();
        while !so() {
            assert!(began.elapsed() < Duration::from_secs(20), "{what}: {}", self.log());
            std::thread::sleep(MS);
        }
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap_or_default()
    }

    /// Sends a line to the control socket and returns the answer.
    pub fn control(&self, line: &str) -> String {
        let mut stream = UnixStream::connect(&self.control).expect("the socket");
        stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a bound");
        let _ = writeln!(stream, "{line}");
        let mut answer = String::new();
        let _ = BufReader::new(stream).read_line(&mut answer);
        answer
    }

    pub fn say(&self, word: Json) -> Json {
        serde_json::from_str(&self.control(&word.to_string())).expect("JSON")
    }

    /// State of a shard.
    pub fn shard(&self, shard: usize) -> Json {
        let status = self.say(json!({"do": "status"}));
        let shards = status["shards"].as_array().cloned().unwrap_or_default();
        shards.into_iter().find(|one| one["shard"].as_str() == Some(&shard.to_string())).unwrap_or(Json::Null)
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
        assert!(sent.expect("a shell").success());
    }

    pub fn ended(&mut self) -> bool {
        self.child.wait().is_ok_and(|status| status.success())
    }

    /// Resident memory in bytes.
    pub fn memory(&self) -> usize {
        let text = std::fs::read_to_string(format!("/proc/{}/statm", self.child.id())).unwrap_or_default();
        text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * 4_096
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn discovery(store: &Store) -> Discovery {
    Discovery::start(store).expect("discovery")
}
