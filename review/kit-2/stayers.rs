//! Clients that stop in the middle of a request and stay, by the hundred, beside usual clients.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::settings::weavers;
use crate::world::*;

/// The client timeout of the usual commands.
const WAIT: u64 = 1_000;
/// An answer up to half a second after that only earns nothing; every time limit is 50 ms longer on sockets.
const LATE: u64 = 500 + 50;
/// How long an answer is waited for at all.
const MOST: Duration = Duration::from_secs(8);
/// Clients that stop in a request: so many come at once, this often. None comes twice.
const BAD: usize = 240;
const WAVES: u64 = 3;
const BETWEEN: Duration = Duration::from_secs(6);
/// A usual client comes this often, with one command.
const USUAL_EVERY: Duration = Duration::from_millis(100);

/// Connects, begins a command and never goes on; reads whatever comes and leaves once it was answered or closed.
fn stay(case: &Case, gateway: std::net::SocketAddr, number: usize) {
    let began = Instant::now();
    let half = &query(&read_statement(&new_id(), "order-board", 2_000, 7))[..60];
    let Ok(mut stream) = TcpStream::connect_timeout(&gateway, MOST) else { return };
    let _ = stream.set_read_timeout(Some(MOST));
    if stream.write_all(&[&startup()[..], half].concat()).is_err() {
        return;
    }
    while let Some((kind, _)) = read_message(&mut stream) {
        if kind == b'E' {
            break;
        }
    }
    let _ = stream.read(&mut [0]);
    case.record.note(&format!(
        "bad client {number} was answered or closed after {:.3} s",
        began.elapsed().as_secs_f64()
    ));
}

/// Connects, sends its command right behind the startup and waits for the answer.
fn usual(case: &Case, gateway: std::net::SocketAddr, number: u64) -> Option<bool> {
    let id = new_id();
    let mut stream = TcpStream::connect_timeout(&gateway, MOST).ok()?;
    let _ = stream.set_nodelay(true);
    let statement = query(&read_statement(&id, "yarn-stock", WAIT, 7));
    stream.write_all(&[startup(), statement].concat()).ok()?;
    let sent = Instant::now();
    case.record.note(&format!("client {number} sent {id}"));
    let _ = stream.set_read_timeout(Some(MOST));
    let mut answer = None;
    while answer.is_none() {
        match read_message(&mut stream) {
            Some((b'C', _)) => answer = Some("served"),
            Some((b'E', _)) => answer = Some("refused or failed"),
            Some(_) => {}
            None => break,
        }
    }
    let took = sent.elapsed();
    let seconds = took.as_secs_f64();
    match answer {
        Some(answer) if took <= millis(WAIT + LATE) => {
            case.record.note(&format!("client {number}: {id} {answer} after {seconds:.3} s"));
            Some(true)
        }
        Some(answer) => {
            case.broke(&format!("client {number}: {id} {answer} after {seconds:.3} s"));
            Some(false)
        }
        None if took >= MOST => {
            case.broke(&format!("client {number}: {id} got no answer within {seconds:.3} s"));
            Some(false)
        }
        // It may have been shut unread, which the pages allow while the descriptors are used up.
        None => {
            case.record.note(&format!("client {number}: {id} closed after {seconds:.3} s"));
            None
        }
    }
}

pub fn run(case: &Case) -> Result<(), String> {
    let mut hosts = Vec::new();
    for number in 0..4_u64 {
        let primary = number == 0;
        let (name, record) = (format!("s-{number}"), case.record.clone());
        let own = name.clone();
        let handler = Arc::new(move |text: &str| {
            let (id, wait) = (named(text, "id").unwrap_or_default(), named(text, "d").unwrap_or_default());
            record.note(&format!("{own} ran {id}, told to take {wait} ms at most"));
            thread::sleep(millis(5));
            let tag = if text.starts_with("INSERT") { "INSERT 0 1" } else { "SELECT 1" };
            Reaction::Writes([row(b"1", tag), ending(primary)].concat())
        });
        hosts.push(Host::new(&Server::start(&name, primary, handler), "changhua", 7, primary));
    }
    let discovery = Discovery::start(hosts);
    let limits = r#"{"cores":1.0,"memory_mb":192,"sockets":256}"#;
    let mut gateway = Gateway::start(&case.temporary, 0, discovery.address, limits, &weavers(0, 3));
    gateway.wait_ready();
    let address = gateway.address;
    let (asked, in_time) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let slowest = Mutex::new(0.0_f64);
    thread::scope(|scope| {
        if case.trouble {
            scope.spawn(move || {
                thread::scope(|scope| {
                    for wave in 0..WAVES {
                        thread::sleep(millis(2_000));
                        case.record.note(&format!("wave {wave} of {BAD} clients that stop in a request"));
                        for number in 0..BAD {
                            scope.spawn(move || stay(case, address, number));
                        }
                        thread::sleep(BETWEEN - millis(2_000));
                    }
                });
            });
        }
        let began = Instant::now();
        let mut number = 0;
        while began.elapsed() < BETWEEN * WAVES as u32 {
            number += 1;
            let (asked, in_time, slowest) = (&asked, &in_time, &slowest);
            scope.spawn(move || {
                asked.fetch_add(1, Ordering::SeqCst);
                let began = Instant::now();
                if usual(case, address, number) == Some(true) {
                    in_time.fetch_add(1, Ordering::SeqCst);
                }
                let mut slowest = lock(slowest);
                *slowest = slowest.max(began.elapsed().as_secs_f64());
            });
            thread::sleep(USUAL_EVERY);
        }
    });
    let runs = gateway.runs();
    drop(gateway);
    let (asked, in_time, slowest) = (asked.into_inner(), in_time.into_inner(), *lock(&slowest));
    case.record
        .tell(&format!("{asked} commands, {in_time} answered in time, the slowest after {slowest:.3} s"));
    if !runs {
        return Err("the gateway ended".into());
    }
    if in_time * 3 < asked {
        return Err("fewer than a third of the commands were answered in time".into());
    }
    Ok(())
}
