//! The processes of the program: started, told to stop, killed, made to stand still.

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

use crate::duties::{Act, Acted};
use crate::links::Links;
use crate::plan::{Plan, ZONES};

/// No gateway takes longer to start, or to stop.
const STARTS_WITHIN: Duration = Duration::from_secs(20);
const STOPS_WITHIN: Duration = Duration::from_secs(10);
/// The key of a rig's gateways; it proves nothing to anybody else.
const KEY: &str = "7a";

/// One gateway, running or not.
pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    pub peer: SocketAddr,
    /// Where it takes what the council sends.
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
    acts: Mutex<Vec<Acted>>,
}

/// This machine's monotonic clock, in microseconds.
pub fn mono() -> u64 {
    let now = nix::time::clock_gettime(nix::time::ClockId::CLOCK_MONOTONIC);
    now.map_or(0, |now| now.tv_sec() as u64 * 1_000_000 + now.tv_nsec() as u64 / 1_000)
}

/// Ports for gateways lie below those that the system hands out by itself: a gateway that is started anew must find
/// its own free, though other rigs open sockets by the hundred meanwhile.
const PORTS: std::ops::Range<u16> = 10_000..30_000;
/// So many are taken at a time, behind the first one, which is held as long as the process lasts. Guards against
/// another process's rig that takes a port whose gateway is down just then.
const BLOCK: u16 = 200;
static TAKEN: Mutex<(Vec<TcpListener>, std::ops::Range<u16>)> = Mutex::new((Vec::new(), 0..0));

/// A port that nobody uses now, by TCP and UDP.
fn free() -> std::io::Result<SocketAddr> {
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let mut taken = TAKEN.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    loop {
        if let Some(port) = taken.1.next() {
            if TcpListener::bind(at(port)).and_then(|_| UdpSocket::bind(at(port))).is_ok() {
                return Ok(at(port));
            }
            continue;
        }
        let first = PORTS
            .step_by(usize::from(BLOCK))
            .find_map(|port| Some((port, TcpListener::bind(at(port)).ok()?)));
        let (port, guard) = first.ok_or(std::io::ErrorKind::AddrInUse)?;
        taken.0.push(guard);
        taken.1 = port + 1..port + BLOCK;
    }
}

impl Fleet {
    /// Lays out folders, addresses and names; nothing runs yet.
    pub fn new(program: &Path, plan: &Plan) -> std::io::Result<Fleet> {
        // In memory where there is such a folder: a disk that others keep busy takes a second to sync, and is no
        // fault of the plan.
        let memory = Path::new("/dev/shm");
        let folder = if memory.is_dir() { tempfile::tempdir_in(memory)? } else { tempfile::tempdir()? };
        let one = |number: usize| {
            let folder = folder.path().join(format!("n{number}"));
            std::fs::create_dir(&folder)?;
            let peer = free()?;
            Ok(Gateway {
                name: format!("n{}", if plan.twins && number + 1 == plan.gateways { 0 } else { number }),
                address: free()?,
                peer,
                council: free()?,
                control: folder.join("control"),
                folder,
                child: None,
                starts: 0,
            })
        };
        let gateways = (0..plan.gateways).map(one).collect::<std::io::Result<Vec<_>>>()?;
        Ok(Fleet { program: program.into(), folder, gateways, acts: Mutex::default() })
    }

    /// Writes what each gateway reads at its start.
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

    fn acted(&self, who: usize, act: Act) {
        if let Ok(mut acts) = self.acts.lock() {
            acts.push(Acted { at: mono(), who, act });
        }
    }

    /// What was done to the gateways so far.
    pub fn acts(&self) -> Vec<Acted> {
        self.acts.lock().map_or(Vec::new(), |acts| acts.clone())
    }

    /// Starts a gateway without waiting for it.
    pub fn start(&mut self, number: usize) -> Result<(), String> {
        self.acted(number, Act::Started);
        let gateway = &mut self.gateways[number];
        gateway.starts += 1;
        let said = |error: std::io::Error| format!("{}: {error}", gateway.name);
        let log = File::options().create(true).append(true).open(gateway.folder.join("log")).map_err(said)?;
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--config").arg(gateway.folder.join("config.json"));
        command.arg("--settings").arg(gateway.folder.join("settings.ini")).stderr(Stdio::from(log));
        // A group of its own: an interrupt at the terminal is the rig's to hand on.
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
            if began.elapsed() > STARTS_WITHIN {
                return Err(format!("{} does not serve: {}", gateway.name, self.log(number).trim()));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Where it keeps what it must not forget.
    pub fn disk(&self, number: usize) -> PathBuf {
        self.gateways[number].folder.join("council")
    }

    /// What it reads at its start: configuration and settings.
    pub fn files(&self, number: usize) -> [PathBuf; 2] {
        ["config.json", "settings.ini"].map(|name| self.gateways[number].folder.join(name))
    }

    /// A gateway's log of all its lives.
    pub fn log(&self, number: usize) -> String {
        std::fs::read_to_string(self.gateways[number].folder.join("log")).unwrap_or_default()
    }

    /// Whether it was started and not ended by the rig.
    pub fn is_there(&self, number: usize) -> bool {
        self.gateways[number].child.is_some()
    }

    /// Whether it runs, or else how it ended without being told to.
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

    /// Returns once it stands still.
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
        self.acted(number, Act::Paused);
    }

    pub fn go_on(&self, number: usize) {
        self.acted(number, Act::WentOn);
        self.signal(number, Signal::SIGCONT);
    }

    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.gateways[number].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.acted(number, Act::Killed);
        }
    }

    /// SIGTERM, without waiting for the end.
    pub fn stop(&self, number: usize) {
        self.acted(number, Act::Stopped);
        self.signal(number, Signal::SIGTERM);
    }

    /// Waits for the end of one that was told to stop.
    pub fn stopped(&mut self, number: usize) -> Result<(), String> {
        let Some(mut child) = self.gateways[number].child.take() else { return Ok(()) };
        let began = Instant::now();
        loop {
            match child.try_wait() {
                Ok(Some(status)) if status.success() => return Ok(()),
                Ok(Some(status)) => return Err(format!("n{number} ended badly after SIGTERM: {status}")),
                Ok(None) if began.elapsed() < STOPS_WITHIN => std::thread::sleep(Duration::from_millis(10)),
                _ => {
                    let _ = child.kill();
                    let _ = child.wait();
                    return Err(format!("n{number} did not end after SIGTERM"));
                }
            }
        }
    }

    /// Says a word on a gateway's control socket.
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

/// The deployment's settings as the stand-in store needs them.
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
