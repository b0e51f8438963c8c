//! Load of clients that send payments, and a check of their answers against the ledger.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fastrand::Rng;

use crate::client::{Client, Reply};
use crate::store::Store;

/// Timeout of a client for its connection or an answer: longer than its command's timeout.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(4);

/// A command of a client and its answer.
#[derive(Clone, Debug)]
pub struct Asked {
    pub shard: usize,
    pub key: String,
    /// Time since the start of the load, and duration until the answer.
    pub began: Duration,
    pub took: Duration,
    pub reply: Reply,
}

/// Numbers of answered, throttled and failed commands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounts {
    pub answered: usize,
    pub throttled: usize,
    pub failed: usize,
}

/// Clients that send payments one after the other until stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    asked: Arc<Mutex<Vec<Asked>>>,
    threads: Vec<JoinHandle<()>>,
}

static NUMBER: AtomicU64 = AtomicU64::new(1);

/// A write of the command group `issue` with a timeout of 2 s.
pub fn payment(key: &str, shard: usize) -> String {
    let values = format!("INSERT INTO records (k, v) VALUES ('{key}', '\\x9f03') RETURNING v");
    format!("{values} /* id={key},c=issue,d=2000,k={key},cluster={shard} */")
}

impl Load {
    /// Starts `clients` connections to each gateway, with about `pause` between a client's commands.
    pub fn start(gateways: &[SocketAddr], clients: usize, shards: usize, pause: Duration) -> Load {
        let (stop, asked) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let began = Instant::now();
        let places = (0..clients).flat_map(|client| gateways.iter().map(move |address| (client, *address)));
        let threads = places.map(|(client, address)| {
            let (stop, asked) = (stop.clone(), asked.clone());
            let rng = Rng::with_seed(client as u64 * 7 + u64::from(address.port()));
            std::thread::spawn(move || send(address, rng, shards, pause, began, &stop, &asked))
        });
        Load { threads: threads.collect(), stop, asked }
    }

    /// Commands so far.
    pub fn asked(&self) -> Vec<Asked> {
        self.asked.lock().map_or(Vec::new(), |asked| asked.clone())
    }

    /// Stops all clients after their current answers.
    pub fn stop(self) -> Vec<Asked> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.asked.lock().map_or(Vec::new(), |mut asked| std::mem::take(&mut *asked))
    }
}

fn send(
    address: SocketAddr,
    mut rng: Rng,
    shards: usize,
    pause: Duration,
    began: Instant,
    stop: &AtomicBool,
    asked: &Mutex<Vec<Asked>>,
) {
    let mut connection = None;
    while !stop.load(Ordering::SeqCst) {
        if connection.is_none() {
            connection = Client::connect(address, CLIENT_TIMEOUT).ok();
        }
        let Some(client) = &mut connection else {
            std::thread::sleep(Duration::from_millis(10));
            continue;
        };
        let shard = rng.usize(..shards);
        let key = format!("{:x}", NUMBER.fetch_add(1, Ordering::SeqCst));
        let at = began.elapsed();
        let reply = client.ask(&payment(&key, shard));
        if reply == Reply::Ended {
            connection = None;
        }
        if let Ok(mut asked) = asked.lock() {
            asked.push(Asked { shard, key, began: at, took: began.elapsed() - at, reply });
        }
        std::thread::sleep(pause.mul_f64(0.5 + rng.f64()));
    }
}

/// Checks each answer against the ledger: an answered command is there once, a throttled one is not, and none is there
/// twice. `Err` names the first violation.
pub fn check_ledger(store: &Store, asked: &[Asked]) -> Result<AnswerCounts, String> {
    let mut rows: HashMap<(usize, String), usize> = HashMap::new();
    for row in store.ledger() {
        *rows.entry((row.shard, row.key)).or_default() += 1;
    }
    let mut sum = AnswerCounts::default();
    for one in asked {
        let count = rows.get(&(one.shard, one.key.clone())).copied().unwrap_or(0);
        let agrees = match &one.reply {
            Reply::Value(_) => {
                sum.answered += 1;
                count == 1
            }
            throttled if throttled.throttled() => {
                sum.throttled += 1;
                count == 0
            }
            Reply::Error(..) => {
                sum.failed += 1;
                count <= 1
            }
            Reply::Ready | Reply::Empty | Reply::Ended => false,
        };
        if !agrees {
            return Err(format!("{one:?} stands {count} times in the ledger"));
        }
    }
    match rows.iter().find(|(_, count)| **count > 1) {
        Some((key, count)) => Err(format!("{key:?} stands {count} times in the ledger")),
        None => Ok(sum),
    }
}
