//! A cut between rooms: the primary is cut off, another server takes over, the links come back, and an answer that the
//! old primary had written before it gave up its role arrives with the next retransmission.

use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::settings::firma_silent;
use crate::world::*;

const SERVERS: usize = 3;
/// This server drains all the time, so that the group has a primary and one replica in use.
const DRAINS: usize = 2;
/// Rounds: a cut, and time for the cut-off server to catch up.
const ROUNDS: usize = 6;
const CUT: Duration = Duration::from_millis(6_000);
const CALM: Duration = Duration::from_millis(10_500);
/// The cut-off primary is given up after this long; another one leads after this long, and the list says so later.
const GIVEN_UP: Duration = Duration::from_millis(2_300);
const TAKES_OVER: Duration = Duration::from_millis(4_200);
const LISTED: Duration = Duration::from_millis(7_200);
/// What an answer tells is counted as known this long after it was written, in seconds.
const KNOWN: f64 = 0.1 + 0.05;
/// First wait of TCP for an acknowledgement; each further one is twice as long.
const RETRANSMIT: f64 = 0.2;

struct State {
    primary: Option<usize>,
    /// Position of each server in µs of Unix time, when it was brought up to date, and by how much it is behind.
    behind: [f64; SERVERS],
    at: Instant,
    /// The server that is cut off.
    cut: Option<usize>,
    /// The latest commit, in ms.
    commit: u64,
    /// Since when the gateway counts as told that a server which has been primary is one no longer.
    told: [Option<f64>; SERVERS],
    has_led: [bool; SERVERS],
    /// When the links to a server came back last, in seconds of the record.
    back_at: [f64; SERVERS],
}

impl State {
    /// Replicas follow 10 ms behind, one that is cut off falls behind, and one that is behind applies twice as fast.
    fn advance(&mut self) {
        let passed = self.at.elapsed().as_secs_f64();
        self.at = Instant::now();
        for server in 0..SERVERS {
            let leads = self.primary == Some(server);
            let behind = &mut self.behind[server];
            if self.cut == Some(server) && !leads {
                *behind += passed;
            } else if leads {
                *behind = 0.0;
            } else {
                *behind = (*behind - passed).max(0.01);
            }
        }
    }

    /// In ms.
    fn position(&mut self, server: usize) -> u64 {
        self.advance();
        unix_millis() - (self.behind[server] * 1e3) as u64
    }
}

type Shared = Arc<Mutex<State>>;

/// The network to a server. While it is cut off, what is written waits; it arrives with the first retransmission after
/// the cut. Connections that were begun meanwhile are reset once it is back.
struct Way {
    /// Since when it is cut, and the earlier cuts with their ends.
    cut: Mutex<Option<Instant>>,
    back: Mutex<Vec<(Instant, Instant)>>,
}

impl Way {
    fn is_cut(&self) -> bool {
        lock(&self.cut).is_some()
    }

    /// When a piece written at `written` arrives; `None`: the cut lasts.
    fn arrives(&self, written: Instant) -> Option<Instant> {
        if lock(&self.cut).is_some_and(|began| began <= written) {
            return None;
        }
        let cuts = lock(&self.back);
        let Some((_, back)) = cuts.iter().find(|(began, back)| *began <= written && written < *back) else {
            return Some(written);
        };
        let (mut at, mut wait) = (written, RETRANSMIT);
        while at < *back {
            at += Duration::from_secs_f64(wait);
            wait *= 2.0;
        }
        Some(at)
    }
}

fn network(to: SocketAddr, way: Arc<Way>) -> SocketAddr {
    let listener = listener();
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let way = way.clone();
            if way.is_cut() {
                thread::spawn(move || {
                    while way.is_cut() {
                        thread::sleep(millis(5));
                    }
                    let _ = near.shutdown(Shutdown::Both);
                });
                continue;
            }
            let Ok(far) = TcpStream::connect(to) else { continue };
            for stream in [&near, &far] {
                let _ = stream.set_nodelay(true);
            }
            let (Ok(near_2), Ok(far_2)) = (near.try_clone(), far.try_clone()) else { continue };
            path(near, far_2, way.clone());
            path(far, near_2, way);
        }
    });
    address
}

fn path(mut from: TcpStream, mut to: TcpStream, way: Arc<Way>) {
    let pieces = Arc::new(Mutex::new(VecDeque::<(Instant, Vec<u8>)>::new()));
    let queue = pieces.clone();
    let (sender, news) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let mut buffer = vec![0; 65_536];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            lock(&queue).push_back((Instant::now(), buffer[..count].to_vec()));
            if sender.send(()).is_err() || count == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        while news.recv().is_ok() {
            let Some((written, piece)) = lock(&pieces).pop_front() else { return };
            let at = loop {
                match way.arrives(written) {
                    Some(at) => break at,
                    None => thread::sleep(millis(2)),
                }
            };
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if piece.is_empty() || to.write_all(&piece).is_err() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    });
}

/// Counts and findings.
#[derive(Default)]
struct Seen {
    stale: AtomicUsize,
    fresh_reads: AtomicUsize,
    /// The latest commit that had been answered when a read was sent.
    needs: Mutex<BTreeMap<String, u64>>,
}

fn serve(mut stream: TcpStream, own: usize, shared: &Shared, seen: &Seen, case: &Inner) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut rest = vec![0; (u32::from_be_bytes(length) as usize).checked_sub(4)?];
    stream.read_exact(&mut rest).ok()?;
    let role = |leads: bool| parameter("recovery", if leads { "off" } else { "on" });
    let leads = lock(shared).primary == Some(own);
    let opened = case.record.now();
    stream.write_all(&[message(b'R', &[0; 4]), role(leads), ready()].concat()).ok()?;
    loop {
        let (_, body) = read_message(&mut stream)?;
        let text = String::from_utf8_lossy(body.strip_suffix(b"\0")?).into_owned();
        let id = named(&text, "id").unwrap_or_default().to_string();
        let mut state = lock(shared);
        let (position, leads) = (state.position(own), state.primary == Some(own));
        let cut = state.cut == Some(own);
        let now = case.record.now();
        let answer = if text.starts_with("SHOW health") {
            let report = format!("x0={:.3},x1={},queue=0", position as f64 / 1e3, u8::from(leads));
            [row(report.as_bytes(), "SHOW"), role(leads), ready()].concat()
        } else if text.starts_with("INSERT") && !leads {
            case.record.note(&format!("s-{own} is no primary: {id}"));
            [error("25006"), role(false), ready()].concat()
        } else if text.starts_with("INSERT") {
            let commit = unix_millis() + 1;
            state.commit = commit;
            case.record.note(&format!("s-{own} committed {id} at {commit}"));
            [row(b"1", "INSERT 0 1"), role(true), parameter("lsn_ms", &commit.to_string()), ready()].concat()
        } else if named(&text, "c") == Some("report-audit") {
            drop(state);
            case.record.note(&format!("s-{own} began the report {id}"));
            let work = 920 + lock(&case.chance).below(680);
            thread::sleep(millis(work));
            state = lock(shared);
            let leads = state.primary == Some(own);
            let what = if state.cut == Some(own) { ", while it was cut off" } else { "" };
            case.record.note(&format!("s-{own} answered the report {id}, primary: {leads}{what}"));
            [row(b"1", "SELECT 1"), role(leads), ready()].concat()
        } else {
            seen.fresh_reads.fetch_add(1, Ordering::SeqCst);
            let need = lock(&seen.needs).get(&id).copied().unwrap_or(0);
            let excused = leads || state.has_led[own] && state.told[own].is_none_or(|at| now < at + KNOWN);
            let told = state.told[own].map_or("never".into(), |at| format!("at {at:.4}"));
            let behind = need.saturating_sub(position);
            if position < need && !excused {
                seen.stale.fetch_add(1, Ordering::SeqCst);
                case.broken.fetch_add(1, Ordering::SeqCst);
                case.record.note(&format!(
                    "BROKEN: fresh read {id} at s-{own}, {behind} ms behind a commit answered before it was sent; that it is no primary it had told {told}"
                ));
            } else {
                let what = if position < need { ", stale but excused" } else { "" };
                case.record.note(&format!("fresh read {id} at s-{own}, primary: {leads}{what}"));
            }
            [row(position.to_string().as_bytes(), "SELECT 1"), role(leads), ready()].concat()
        };
        // Only an answer on a connection that was opened after the cut counts as told: of an older one the gateway may
        // have taken leave meanwhile.
        let reaches = !cut && state.cut != Some(own) && opened > state.back_at[own];
        let leads = state.primary == Some(own);
        if !leads && state.has_led[own] && reaches && state.told[own].is_none() {
            let now = case.record.now();
            state.told[own] = Some(now);
            case.record.note(&format!("s-{own} tells that it is no primary"));
        }
        drop(state);
        stream.write_all(&answer).ok()?;
    }
}

/// What the servers need of the case.
struct Inner {
    record: Arc<Record>,
    broken: Arc<AtomicUsize>,
    chance: Mutex<Chance>,
}

pub fn run(case: &Case) -> Result<(), String> {
    let shared: Shared = Arc::new(Mutex::new(State {
        primary: Some(0),
        behind: [0.01; SERVERS],
        at: Instant::now(),
        cut: None,
        commit: 0,
        told: [None; SERVERS],
        has_led: [true, false, false],
        back_at: [0.0; SERVERS],
    }));
    let seen = Arc::new(Seen::default());
    let inner = Arc::new(Inner {
        record: case.record.clone(),
        broken: case.broken.clone(),
        chance: Mutex::new(Chance::new(110)),
    });
    let (mut hosts, mut ways) = (Vec::new(), Vec::new());
    for own in 0..SERVERS {
        let listener = listener();
        let address = listener.local_addr().expect("an address");
        let (shared, seen, inner) = (shared.clone(), seen.clone(), inner.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, seen, inner) = (shared.clone(), seen.clone(), inner.clone());
                thread::spawn(move || serve(stream, own, &shared, &seen, &inner));
            }
        });
        let way = Arc::new(Way { cut: Mutex::new(None), back: Mutex::new(Vec::new()) });
        let site = ["rogoredo", "sesto", "lambrate"][own];
        let server = Server { name: format!("s-{own}"), address: network(address, way.clone()) };
        let mut host = Host::new(&server, site, 7, own == 0);
        if own == DRAINS {
            host.health = "draining";
        }
        hosts.push(host);
        ways.push(way);
    }
    let discovery = Discovery::start(hosts);
    let limits = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;
    let mut gateway = Gateway::start(&case.temporary, 0, discovery.address, limits, &firma_silent(0, 3));
    gateway.wait_ready();
    let address = gateway.address;
    let over = AtomicBool::new(false);
    let (asked, served) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        // (class, clients, pause between two commands in ms)
        for (class, clients, pause) in [("report-audit", 2, 20), ("firma", 2, 300), ("controllo", 4, 250)] {
            for client in 0..clients {
                let (over, asked, served, seen) = (&over, &asked, &served, &seen);
                let shared = &shared;
                scope.spawn(move || {
                    let mut chance = Chance::new(pause * 10 + client);
                    let mut link: Option<Client> = None;
                    while !over.load(Ordering::SeqCst) {
                        if link.is_none() {
                            link = Client::connect(address);
                        }
                        let Some(open) = &mut link else {
                            thread::sleep(millis(20));
                            continue;
                        };
                        let id = new_id();
                        let statement = match class {
                            "firma" => write_statement(&id, class, 5_000, 7),
                            "controllo" => read_statement(&id, class, 2_000, 7),
                            _ => read_statement(&id, class, 12_000, 7),
                        };
                        if class == "controllo" {
                            // Commits whose answers were written before this read is sent.
                            let commit = lock(shared).commit;
                            let commit = if commit + 30 < unix_millis() { commit } else { 0 };
                            lock(&seen.needs).insert(id.clone(), commit);
                        }
                        asked.fetch_add(1, Ordering::SeqCst);
                        match if open.write(&query(&statement)) { open.answer(millis(14_000)) } else { None }
                        {
                            Some(answer) => {
                                case.record.note(&format!("{class} {id}: {}", answer.told()));
                                served.fetch_add(
                                    usize::from(matches!(answer, Answer::Served(_))),
                                    Ordering::SeqCst,
                                );
                            }
                            None => link = None,
                        }
                        thread::sleep(millis(pause / 2 + chance.below(pause)));
                    }
                });
            }
        }
        thread::sleep(millis(3_000));
        for _ in 0..ROUNDS {
            if !case.trouble {
                thread::sleep(CUT + CALM);
                continue;
            }
            let began = Instant::now();
            let old = lock(&shared).primary.unwrap_or(0);
            let new = 1 - old;
            case.record.note(&format!("s-{old}, the primary, is cut off"));
            *lock(&ways[old].cut) = Some(began);
            {
                let mut state = lock(&shared);
                state.advance();
                state.cut = Some(old);
            }
            thread::sleep(GIVEN_UP.saturating_sub(began.elapsed()));
            {
                let mut state = lock(&shared);
                state.advance();
                state.primary = None;
                state.behind[old] = began.elapsed().as_secs_f64();
                state.told[old] = None;
            }
            case.record.note(&format!("s-{old} is given up"));
            thread::sleep(TAKES_OVER.saturating_sub(began.elapsed()));
            {
                let mut state = lock(&shared);
                state.advance();
                (state.primary, state.has_led[new], state.told[new]) = (Some(new), true, None);
            }
            case.record.note(&format!("s-{new} leads"));
            thread::sleep(CUT.saturating_sub(began.elapsed()));
            {
                let mut state = lock(&shared);
                state.advance();
                state.cut = None;
                state.back_at[old] = case.record.now();
            }
            lock(&ways[old].back).push((began, Instant::now()));
            *lock(&ways[old].cut) = None;
            case.record.note(&format!("s-{old} is back"));
            thread::sleep(LISTED.saturating_sub(began.elapsed()));
            discovery.lead(&format!("s-{new}"));
            thread::sleep((CUT + CALM).saturating_sub(began.elapsed()));
        }
        over.store(true, Ordering::SeqCst);
    });
    let runs = gateway.runs();
    drop(gateway);
    let (asked, served) = (asked.into_inner(), served.into_inner());
    let (reads, stale) = (seen.fresh_reads.load(Ordering::SeqCst), seen.stale.load(Ordering::SeqCst));
    case.record.tell(&format!(
        "{asked} commands, {served} served; {reads} fresh reads at servers, {stale} stale and not excused"
    ));
    if !runs {
        return Err("the gateway ended".into());
    }
    if served * 3 < asked {
        return Err("fewer than a third of the commands were served".into());
    }
    Ok(())
}
