//! Database servers that began to drain while discovery was down: what the agent gets at its return counts as told at
//! once, and nothing new may go there after the grace of the settings.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::settings::weavers;
use crate::world::*;

/// Grace of the settings, and by how much every time limit is longer on sockets, in seconds.
const GRACE: f64 = 0.25;
const SLACK: f64 = 0.05;
/// Gateways, each with an agent of its own.
const GATEWAYS: usize = 3;
const SETS: u32 = 3;
/// How long discovery is down, and what begins to drain meanwhile, one outage after the other.
const DOWN: Duration = Duration::from_millis(5_000);
const OUTAGES: [[&str; 2]; 3] = [["s-1-1", "s-2-1"], ["s-3-1", "s-1-2"], ["s-2-2", "s-3-2"]];
const BETWEEN: Duration = Duration::from_millis(7_300);

pub fn run(case: &Case) -> Result<(), String> {
    // Gateway and server, and when it was told that the server drains.
    let told: Arc<Mutex<BTreeMap<(usize, String), f64>>> = Arc::default();
    let (asked, answered, late) =
        (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let mut hosts = Vec::new();
    for set in 1..=SETS {
        for number in 0..4 {
            let primary = number == 0;
            let name = format!("s-{set}-{number}");
            let (record, told, own) = (case.record.clone(), told.clone(), name.clone());
            let (broken, late) = (case.broken.clone(), late.clone());
            let handler = Arc::new(move |text: &str| {
                let id = named(text, "id").unwrap_or_default().to_string();
                // The key of a command names its gateway.
                let gateway = text.split("'g").nth(1).and_then(|rest| rest.split('-').next()?.parse().ok());
                let now = record.now();
                let since =
                    gateway.and_then(|gateway: usize| lock(&told).get(&(gateway, own.clone())).copied());
                match since {
                    Some(at) if now > at + GRACE + SLACK => {
                        late.fetch_add(1, Ordering::SeqCst);
                        broken.fetch_add(1, Ordering::SeqCst);
                        let after = now - at;
                        let which = gateway.unwrap_or_default();
                        record.note(&format!(
                            "BROKEN: {own} ran {id}, {after:.3} s after gateway n{which} was told that it drains"
                        ));
                    }
                    Some(at) => {
                        record.note(&format!("{own} ran {id}, {:.3} s after the drain was told", now - at))
                    }
                    None => record.note(&format!("{own} ran {id}")),
                }
                thread::sleep(millis(8));
                let tag = if text.starts_with("INSERT") { "INSERT 0 1" } else { "SELECT 1" };
                Reaction::Writes([row(b"1", tag), ending(primary)].concat())
            });
            let server = Server::start(&name, primary, handler);
            let site = ["changhua", "taichung", "douliu"][(set as usize + number) % 3];
            hosts.push(Host::new(&server, site, set, primary));
        }
    }
    let agents: Vec<Discovery> = (0..GATEWAYS).map(|_| Discovery::start(hosts.clone())).collect();
    let limits = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;
    let mut gateways: Vec<Gateway> = agents
        .iter()
        .enumerate()
        .map(|(me, agent)| Gateway::start(&case.temporary, me, agent.address, limits, &weavers(me, GATEWAYS)))
        .collect();
    gateways.iter_mut().for_each(Gateway::wait_ready);
    let over = Arc::new(AtomicBool::new(false));
    thread::scope(|scope| {
        for (me, gateway) in gateways.iter().enumerate() {
            for client in 0..8_u64 {
                let (address, over) = (gateway.address, over.clone());
                let (asked, answered) = (asked.clone(), answered.clone());
                scope.spawn(move || {
                    let mut chance = Chance::new(100 * me as u64 + client);
                    let mut link: Option<Client> = None;
                    while !over.load(Ordering::SeqCst) {
                        if link.is_none() {
                            link = Client::connect(address);
                        }
                        let Some(open) = &mut link else {
                            thread::sleep(millis(20));
                            continue;
                        };
                        let (id, set) = (new_id(), 1 + chance.below(u64::from(SETS)) as u32);
                        let statement = match chance.below(8) {
                            0 => write_statement(&id, "order-place", 2_000, set),
                            1 | 2 | 3 => read_statement(&id, "yarn-stock", 1_000, set),
                            _ => read_statement(&id, "order-board", 2_000, set),
                        };
                        let statement = statement.replacen(&format!("'{id}'"), &format!("'g{me}-{id}'"), 1);
                        case.record.note(&format!("n{me} is sent {id} for set {set}"));
                        asked.fetch_add(1, Ordering::SeqCst);
                        let answer =
                            if open.write(&query(&statement)) { open.answer(millis(4_000)) } else { None };
                        match answer {
                            Some(answer) => {
                                case.record.note(&format!("n{me} answered {id}: {}", answer.told()));
                                let served = matches!(answer, Answer::Served(_));
                                answered.fetch_add(usize::from(served), Ordering::SeqCst);
                            }
                            None => link = None,
                        }
                        thread::sleep(millis(30 + chance.below(60)));
                    }
                });
            }
        }
        thread::sleep(millis(4_000));
        for names in OUTAGES {
            if case.trouble {
                case.record.note("discovery is down");
                agents.iter().for_each(Discovery::go_down);
            }
            thread::sleep(DOWN);
            for (me, agent) in agents.iter().enumerate() {
                // Noted before it is told: an early note could only excuse what is late.
                let now = case.record.now();
                let mut told = lock(&told);
                agent.tell(&names, "draining");
                let now = now.max(case.record.now());
                for name in names {
                    told.insert((me, name.to_string()), now);
                }
                drop(told);
                case.record.note(&format!("discovery of n{me} has it that {} drain", names.join(" and ")));
            }
            thread::sleep(BETWEEN);
        }
        over.store(true, Ordering::SeqCst);
    });
    let run = gateways.iter_mut().all(Gateway::runs);
    drop(gateways);
    let (asked, answered) = (asked.load(Ordering::SeqCst), answered.load(Ordering::SeqCst));
    let late = late.load(Ordering::SeqCst);
    case.record
        .tell(&format!("{asked} commands, {answered} served, {late} sent to a draining server too late"));
    if !run {
        return Err("a gateway ended".into());
    }
    if answered * 2 < asked {
        return Err("fewer than half of the commands were served".into());
    }
    Ok(())
}
