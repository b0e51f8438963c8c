//! A primary whose queue is full turns commands away, and one answer in ten brings a second copy right behind. The
//! commands must never run twice.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::network::network;
use crate::settings::weavers;
use crate::world::*;

const LASTS: Duration = Duration::from_secs(100);
const CLIENTS: usize = 12;
/// Commands that the primary runs or queues; what comes beyond is turned away.
const QUEUE: usize = 5;
/// One of so many answers brings a second copy.
const COPY_ONE_IN: u64 = 10;
/// One way of a piece, in microseconds.
const WAY: (u64, u64) = (420, 780);

pub fn run(case: &Case) -> Result<(), String> {
    let (copies, turned) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    // How often each command ran.
    let ran: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
    let mut hosts = Vec::new();
    for number in 0..4_u64 {
        let primary = number == 0;
        let (record, copies, turned, ran) =
            (case.record.clone(), copies.clone(), turned.clone(), ran.clone());
        let trouble = case.trouble;
        let (chance, held) = (Mutex::new(Chance::new(80 + number)), Arc::new(AtomicUsize::new(0)));
        let name = format!("s-{number}");
        let own = name.clone();
        let handler = Arc::new(move |text: &str| {
            let id = named(text, "id").unwrap_or_default().to_string();
            let write = text.starts_with("INSERT");
            let twice = trouble && lock(&chance).below(COPY_ONE_IN) == 0;
            let answer = if write && !primary {
                record.note(&format!("{own} is no primary: {id}"));
                [error("25006"), parameter("recovery", "on"), ready()].concat()
            } else if held.fetch_add(1, Ordering::SeqCst) >= QUEUE {
                held.fetch_sub(1, Ordering::SeqCst);
                turned.fetch_add(1, Ordering::SeqCst);
                record.note(&format!("{own} turned {id} away"));
                [error("53300"), ready()].concat()
            } else {
                *lock(&ran).entry(id.clone()).or_default() += 1;
                record.note(&format!("{own} ran {id}"));
                let work = 4 + lock(&chance).below(8);
                thread::sleep(millis(work));
                held.fetch_sub(1, Ordering::SeqCst);
                let tag = if write { "INSERT 0 1" } else { "SELECT 1" };
                [row(format!("value-of-{id}").as_bytes(), tag), ending(primary)].concat()
            };
            if !twice {
                return Reaction::Writes(answer);
            }
            let (record, copies, own) = (record.clone(), copies.clone(), own.clone());
            let told = move |wrote: bool| {
                copies.fetch_add(usize::from(wrote), Ordering::SeqCst);
                let what =
                    if wrote { "wrote a second copy of" } else { "has the next command, no second copy of" };
                record.note(&format!("{own} {what} the answer to {id}"));
            };
            Reaction::WritesTwice(answer, Box::new(told))
        });
        let server = Server::start(&name, primary, handler);
        let mut host = Host::new(&server, "taichung", 7, primary);
        host.address = network(server.address, WAY, number);
        hosts.push(host);
    }
    let discovery = Discovery::start(hosts);
    let limits = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;
    let mut gateway = Gateway::start(&case.temporary, 0, discovery.address, limits, &weavers(0, 3));
    gateway.wait_ready();
    let (asked, served) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let answers: Arc<Mutex<BTreeMap<String, Answer>>> = Arc::default();
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (address, asked, served, answers) =
                (gateway.address, asked.clone(), served.clone(), answers.clone());
            scope.spawn(move || {
                let mut chance = Chance::new(2_000 + client as u64);
                let began = Instant::now();
                let mut link: Option<Client> = None;
                while began.elapsed() < LASTS {
                    if link.is_none() {
                        link = Client::connect(address);
                    }
                    let Some(open) = &mut link else {
                        thread::sleep(millis(20));
                        continue;
                    };
                    let id = new_id();
                    case.record.note(&format!("client {client} sent {id}"));
                    asked.fetch_add(1, Ordering::SeqCst);
                    let sent = open.write(&query(&write_statement(&id, "order-place", 2_000, 7)));
                    match if sent { open.answer(millis(4_000)) } else { None } {
                        Some(answer) => {
                            case.record.note(&format!("client {client} got for {id}: {}", answer.told()));
                            served.fetch_add(
                                usize::from(matches!(answer, Answer::Served(_))),
                                Ordering::SeqCst,
                            );
                            lock(&answers).insert(id, answer);
                        }
                        None => link = None,
                    }
                    thread::sleep(millis(chance.below(20)));
                }
            });
        }
    });
    let runs = gateway.runs();
    drop(gateway);
    for (id, count) in lock(&ran).iter() {
        if *count > 1 {
            case.broke(&format!("{id}, of a command group that must never run twice, ran {count} times"));
        }
        if let Some(Answer::Refused(code)) = lock(&answers).get(id) {
            case.broke(&format!("{id} ran and was throttled with {code}"));
        }
    }
    let (asked, served) = (asked.load(Ordering::SeqCst), served.load(Ordering::SeqCst));
    let (copies, turned) = (copies.load(Ordering::SeqCst), turned.load(Ordering::SeqCst));
    case.record.tell(&format!(
        "{asked} commands, {served} served, {turned} times turned away, {copies} second copies"
    ));
    if !runs {
        return Err("the gateway ended".into());
    }
    if served * 2 < asked {
        return Err("fewer than half of the commands were served".into());
    }
    Ok(())
}
