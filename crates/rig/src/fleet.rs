//! Gateway processes: started, stopped, killed and paused.

use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value as Json, json};
use tansyjunction_standin::{Client, Reply};

use crate::duties::{ActionRecord, ProcessAction};
use crate::links::Links;
use crate::plan::{Plan, ZONES};

/// Timeouts of start and stop.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Key shared by the gateways of a run, in test use only.
const KEY: &str = "7a";

/// A gateway, running or not.
pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    pub peer: SocketAddr,
    /// Address for consensus datagrams.
    pub council: SocketAddr,
    pub control: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
    starts: usize,
}

/// All gateways of a run.
pub struct Fleet {
    program: PathBuf,
    pub folder: tempfile::TempDir,
    pub gateways: Vec<Gateway>,
    /// What was done to them.
    acts: Mutex<Vec<ActionRecord>>,
}

/// The machine's monotonic clock in microseconds.
pub fn mono() -> u64 {
    let now = nix::time::clock_gettime(nix::time::ClockId::CLOCK_MONOTONIC);
    now.map_or(0, |now| now.tv_sec() as u64 * 1_000_000 + now.tv_nsec() as u64 / 1_000)
}

/// Ports for gateways lie below the system's ephemeral range: a restarted gateway must find its port free although
/// others open hundreds of sockets meanwhile.
const PORT_RANGE: std::ops::Range<u16> = 10_000..30_000;
/// Ports are reserved in blocks behind the first one, which is bound for the lifetime of the process, so that another
/// process does not take the port of a gateway that is down.
const PORT_BLOCK: u16 = 200;
static RESERVED_PORTS: Mutex<(Vec<TcpListener>, std::ops::Range<u16>)> = Mutex::new((Vec::new(), 0..0));

/// A port that is free for TCP and UDP.
fn free_address() -> std::io::Result<SocketAddr> {
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let mut taken = RESERVED_PORTS.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    loop {
        if let Some(port) = taken.1.next() {
            if TcpListener::bind(at(port)).and_then(|_| UdpSocket::bind(at(port))).is_ok() {
                return Ok(at(port));
            }
            continue;
        }
        let first = PORT_RANGE
            .step_by(usize::from(PORT_BLOCK))
            .find_map(|port| Some((port, TcpListener::bind(at(port)).ok()?)));
        let (port, guard) = first.ok_or(std::io::ErrorKind::AddrInUse)?;
        taken.0.push(guard);
        taken.1 = port + 1..port + PORT_BLOCK;
    }
}

impl Fleet {
    /// Prepares folders, addresses and names; starts nothing.
    pub fn new(program: &Path, plan: &Plan) -> std::io::Result<Fleet> {
        // In memory if possible: a busy disk may take a second to sync, which is not a fault of the plan.
        let memory = Path::new("/dev/shm");
        let folder = if memory.is_dir() { tempfile::tempdir_in(memory)? } else { tempfile::tempdir()? };
        let one = |number: usize| {
            let folder = folder.path().join(format!("n{number}"));
            std::fs::create_dir(&folder)?;
            let peer = free_address()?;
            Ok(Gateway {
                name: format!("n{}", if plan.twins && number + 1 == plan.gateways { 0 } else { number }),
                address: free_address()?,
                peer,
                council: free_address()?,
                control: folder.join("control"),
                folder,
                child: None,
                starts: 0,
            })
        };
        let gateways = (0..plan.gateways).map(one).collect::<std::io::Result<Vec<_>>>()?;
        Ok(Fleet { program: program.into(), folder, gateways, acts: Mutex::default() })
    }

    /// Writes the configuration files of each gateway.
    pub fn configure(
        &self,
        plan: &Plan,
        links: &Links,
        discovery: SocketAddr,
        more: impl Fn(usize) -> String,
    ) -> std::io::Result<()> {
        std::fs::write(self.folder.path().join("key"), KEY.repeat(32))?;
        for (number, gateway) in self.gateways.iter().enumerate() {
            let zones: Vec<&str> = ZONES.iter().map(|(zone, _)| *zone).collect();
            let config = json!({
                "name": gateway.name, "listen": gateway.address.to_string(), "discovery": discovery.to_string(),
                "seed": format!("{:x}", plan.seed + number as u64), "settings": settings(plan, number, &zones),
            });
            std::fs::write(gateway.folder.join("config.json"), config.to_string())?;
            let mut ini = format!(
                "[log]\nformat = json\nlevel = info\nlines_a_second = 0\n[control]\nsocket = {}\n[fellows]\n\
                 enabled = yes\nlisten = {}\nkey_file = {}\nprobe_every = {}ms\nsuspect_for = {}ms\n\
                 gossip_every = 50ms\nadvise = {}\nregion.near = a, b\nregion.far = c\n",
                gateway.control.display(),
                gateway.peer,
                self.folder.path().join("key").display(),
                plan.probe_ms,
                plan.suspect_ms,
                if plan.advise { "yes" } else { "no" },
            );
            for (other, peer) in self.gateways.iter().enumerate().filter(|(other, _)| *other != number) {
                let (name, address) = (&peer.name, links.address(number, other));
                if !plan.twins {
                    ini += &format!("peer.{name} = {address}\nroute.{name} = {address}\n");
                } else if other + 1 < plan.gateways && *name != gateway.name {
                    ini += &format!("peer.{name} = {}\n", peer.peer);
                }
            }
            std::fs::write(gateway.folder.join("settings.ini"), ini + &more(number))?;
        }
        Ok(())
    }

    fn acted(&self, who: usize, act: ProcessAction) {
        if let Ok(mut acts) = self.acts.lock() {
            acts.push(ActionRecord { at: mono(), who, act });
        }
    }

    /// What was done to the gateways so far.
    pub fn acts(&self) -> Vec<ActionRecord> {
        self.acts.lock().map_or(Vec::new(), |acts| acts.clone())
    }

    /// Starts a gateway without waiting.
    pub fn start(&mut self, number: usize) -> Result<(), String> {
        self.acted(number, ProcessAction::Started);
        let gateway = &mut self.gateways[number];
        gateway.starts += 1;
        let said = |error: std::io::Error| format!("{}: {error}", gateway.name);
        let log = File::options().create(true).append(true).open(gateway.folder.join("log")).map_err(said)?;
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--config").arg(gateway.folder.join("config.json"));
        command.arg("--settings").arg(gateway.folder.join("settings.ini")).stderr(Stdio::from(log));
        // In its own process group, so that this program handles an interrupt at the terminal.
        std::os::unix::process::CommandExt::process_group(&mut command, 0);
        gateway.child = Some(command.spawn().map_err(said)?);
        Ok(())
    }

    /// Waits until a gateway serves.
    pub fn serves(&self, number: usize) -> Result<(), String> {
        let (gateway, began) = (&self.gateways[number], Instant::now());
        loop {
            let client = Client::connect(gateway.address, Duration::from_secs(2));
            if client.is_ok_and(|mut client| client.ask("") == Reply::Empty) {
                return Ok(());
            }
            if began.elapsed() > START_TIMEOUT {
                return Err(format!("{} does not serve: {}", gateway.name, self.log(number).trim()));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Folder of its store.
    pub fn disk(&self, number: usize) -> PathBuf {
        self.gateways[number].folder.join("council")
    }

    /// Its configuration and settings files.
    pub fn files(&self, number: usize) -> [PathBuf; 2] {
        ["config.json", "settings.ini"].map(|name| self.gateways[number].folder.join(name))
    }

    /// A gateway's log over all its processes.
    pub fn log(&self, number: usize) -> String {
        std::fs::read_to_string(self.gateways[number].folder.join("log")).unwrap_or_default()
    }

    /// Whether it was started and not ended by this program.
    pub fn is_there(&self, number: usize) -> bool {
        self.gateways[number].child.is_some()
    }

    /// Whether it runs, or else how it ended unexpectedly.
    pub fn runs(&mut self, number: usize) -> Result<bool, String> {
        let gateway = &mut self.gateways[number];
        let Some(child) = &mut gateway.child else { return Ok(false) };
        match child.try_wait() {
            Ok(None) => Ok(true),
            Ok(Some(status)) => Err(format!("{} ended by itself: {status}", gateway.name)),
            Err(error) => Err(format!("{}: {error}", gateway.name)),
        }
    }

    fn signal(&self, number: usize, signal: Signal) {
        if let Some(child) = &self.gateways[number].child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Pauses a process; returns once it has stopped.
    pub fn pause(&self, number: usize) {
        self.signal(number, Signal::SIGSTOP);
        let stands = |id: u32| {
            let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
            stat.rsplit(')').next().is_none_or(|rest| rest.trim_start().starts_with('T'))
        };
        let began = Instant::now();
        while self.gateways[number].child.as_ref().is_some_and(|child| !stands(child.id()))
            && began.elapsed() < Duration::from_secs(1)
        {
            std::thread::sleep(Duration::from_micros(200));
        }
        self.acted(number, ProcessAction::Paused);
    }

    /// Resumes a paused process.
    pub fn go_on(&self, number: usize) {
        self.acted(number, ProcessAction::WentOn);
        self.signal(number, Signal::SIGCONT);
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.gateways[number].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.acted(number, ProcessAction::Killed);
        }
    }

    /// Sends SIGTERM without waiting for the end.
    pub fn stop(&self, number: usize) {
        self.acted(number, ProcessAction::Stopped);
        self.signal(number, Signal::SIGTERM);
    }

    /// Waits for the end of a process after SIGTERM.
    pub fn stopped(&mut self, number: usize) -> Result<(), String> {
        let Some(mut child) = self.gateways[number].child.take() else { return Ok(()) };
        let began = Instant::now();
        loop {
            match child.try_wait() {
                Ok(Some(status)) if status.success() => return Ok(()),
                Ok(Some(status)) => return Err(format!("n{number} ended badly after SIGTERM: {status}")),
                Ok(None) if began.elapsed() < STOP_TIMEOUT => std::thread::sleep(Duration::from_millis(10)),
                _ => {
                    let _ = child.kill();
                    let _ = child.wait();
                    return Err(format!("n{number} did not end after SIGTERM"));
                }
            }
        }
    }

    /// Sends a request to a gateway's control socket.
    pub fn ask(&self, number: usize, word: &Json) -> Result<Json, String> {
        use std::io::{BufRead, BufReader, Write};
        let said = |error: std::io::Error| format!("n{number}: {error}");
        let mut stream =
            std::os::unix::net::UnixStream::connect(&self.gateways[number].control).map_err(said)?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).map_err(said)?;
        writeln!(stream, "{word}").map_err(said)?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer).map_err(said)?;
        serde_json::from_str(&answer).map_err(|_| format!("n{number} went away without an answer"))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for number in 0..self.gateways.len() {
            self.kill(number);
        }
    }
}

/// Settings of the deployment that match the stand-in store.
fn settings(plan: &Plan, number: usize, zones: &[&str]) -> Json {
    json!({
        "balancers": plan.gateways, "me": number, "my_zone": zones[Plan::zone(number)], "localities": zones,
        "round": 5_000_000,
        "categories": [{
            "name": "issue", "aim": 1_000_000_000_u64, "hard_limit": 2_000_000_000_u64, "effect": "token",
            "dedup_scope": "cell", "window": 2_000_000_000_u64, "worth": 4.0, "late_worth": 0.7,
        }],
        "domain": {"needs_by_class": ["mutate"], "guards": "await", "answers_stamped": true},
        "limits": {
            "max_attempts": 6, "probes": true, "cancelling": true, "second_copies": true,
            "dial_timeout": 250_000_000, "conn_idle": 15_000_000_000_u64, "retry_after": true,
            "max_retry_after": 1_000_000_000,
        },
        "guarantees": {"drain_grace": 1_000_000_000},
        "telemetry": {"fields": ["x0", "x1"], "how": "piggyback"},
    })
}
