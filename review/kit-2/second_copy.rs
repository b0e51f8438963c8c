//! Good answers that bring a second copy right behind, when nothing else waits on the connection. Between the gateway
//! and the servers lies a network on which each piece takes 0.42 to 0.78 ms one way, in order.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::network::network;
use crate::settings::weavers;
use crate::world::*;

const LASTS: Duration = Duration::from_secs(60);
/// Commands that a client sends at once, and clients.
const AT_ONCE: usize = 4;
const CLIENTS: usize = 6;
/// One of so many answers brings a second copy.
const COPY_ONE_IN: u64 = 10;
/// One way of a piece, in microseconds.
const WAY: (u64, u64) = (420, 780);
pub fn run(case: &Case) -> Result<(), String> {
    let copies = Arc::new(AtomicUsize::new(0));
    let mut hosts = Vec::new();
    for number in 0..4_u64 {
        let primary = number == 0;
        let (record, copies, trouble) = (case.record.clone(), copies.clone(), case.trouble);
        let chance = Mutex::new(Chance::new(60 + number));
        let name = format!("s-{number}");
        let own = name.clone();
        let handler = Arc::new(move |text: &str| {
            let id = named(text, "id").unwrap_or_default().to_string();
            let work = 2 + lock(&chance).below(4);
            thread::sleep(millis(work));
            let value = format!("value-of-{id}");
            let tag = if text.starts_with("INSERT") { "INSERT 0 1" } else { "SELECT 1" };
            let answer = [row(value.as_bytes(), tag), ending(primary)].concat();
            let twice = trouble && lock(&chance).below(COPY_ONE_IN) == 0;
            record.note(&format!("{own} ran {id}"));
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
    let (answered, asked) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (address, answered, asked) = (gateway.address, answered.clone(), asked.clone());
            scope.spawn(move || {
                let mut chance = Chance::new(1_000 + client as u64);
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
                    let ids: Vec<String> = (0..AT_ONCE).map(|_| new_id()).collect();
                    let sent: Vec<u8> = ids
                        .iter()
                        .flat_map(|id| {
                            query(&match chance.below(4) {
                                0 => write_statement(id, "order-place", 2_000, 7),
                                1 => read_statement(id, "yarn-stock", 1_000, 7),
                                _ => read_statement(id, "order-board", 2_000, 7),
                            })
                        })
                        .collect();
                    case.record.note(&format!("client {client} sent {}", ids.join(" ")));
                    asked.fetch_add(ids.len(), Ordering::SeqCst);
                    if !open.write(&sent) {
                        link = None;
                        continue;
                    }
                    for id in &ids {
                        let Some(answer) = open.answer(millis(6_000)) else {
                            case.record.note(&format!("client {client}: no answer for {id}"));
                            link = None;
                            break;
                        };
                        case.record.note(&format!("client {client} got for {id}: {}", answer.told()));
                        if let Answer::Served(value) = answer {
                            answered.fetch_add(1, Ordering::SeqCst);
                            if value != format!("value-of-{id}").into_bytes() {
                                let value = String::from_utf8_lossy(&value).into_owned();
                                case.broke(&format!("command {id} was served {value}"));
                            }
                        }
                    }
                    thread::sleep(millis(20 + chance.below(60)));
                }
            });
        }
    });
    let runs = gateway.runs();
    drop(gateway);
    let (asked, answered) = (asked.load(Ordering::SeqCst), answered.load(Ordering::SeqCst));
    let copies = copies.load(Ordering::SeqCst);
    case.record.tell(&format!("{asked} commands, {answered} served, {copies} answers with a second copy"));
    if !runs {
        return Err("the gateway ended".into());
    }
    if answered * 2 < asked {
        return Err("fewer than half of the commands were served".into());
    }
    Ok(())
}
