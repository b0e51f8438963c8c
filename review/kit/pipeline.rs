//! Commands sent at once on one connection while a primary hangs and the writes that wait for it fill the memory that
//! the gateway allows for messages.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Instant;

use crate::bench::*;

/// A small deployment in the manner of the weavers' site.
const SETTINGS: &str = r#"{"balancers":1,"me":0,"family":"replicas","round":5000000,
"categories":[
 {"name":"yarn-stock","aim":400000000,"hard_limit":1000000000,"effect":"pure","worth":1.0,"late_worth":0.0,"stream":false,"window":5000000000,"dedup_scope":"all"},
 {"name":"order-place","aim":750000000,"hard_limit":2000000000,"effect":"side_effect","worth":6.0,"late_worth":0.5,"stream":false,"window":5000000000,"dedup_scope":"all"}],
"clients":{"marks_retry":false},
"domain":{"answers_stamped":true,"class_bound":[0,0],"guards":"await","patience":20000000,"needs_by_class":["eventual","mutate"],"report_x0":"position in seconds after zero","report_x1":"1 from a primary","role_listed":"trailing","synchronous":false,"write_marks":"brought","zero":0},
"guarantees":{"ask_within":10000000000,"cold":18000000000,"cold_from":0.15,"drain_grace":250000000,"fall_multiple":2.5,"grace_to_answer":20000000,"overload_for":1000000000},
"kinds":["general-3"],
"limits":{"cancelling":true,"conn_idle":15000000000,"dial_timeout":250000000,"max_attempts":6,"max_open":20000,"peers":false,"probes":true,"retry_after":true,"max_retry_after":1000000000,"second_copies":true,"streams_per_conn":1},
"localities":["changhua","taichung","douliu"],"my_zone":"changhua","realms":[],"registry_mode":"pushed",
"telemetry":{"fields":["x0","x1","util","queue"],"how":"pull"},"weight_kind":"nominal","worth_by":"request"}"#;

const MEMORY_MB: usize = 32;
/// Clients that send one write at a time, the bytes of a value, and the pause between two writes of a client.
const WRITERS: usize = 110;
const VALUE_BYTES: usize = 60_000;
const PAUSE_MS: u64 = 2_600;
/// Commands that a client sends at once, bytes of each value, and its pause between two such bundles.
const BUNDLE: usize = 6;
const BUNDLE_VALUE_BYTES: usize = 8_000;
const BUNDLE_PAUSE_MS: u64 = 2_000;
/// Clients that send bundles.
const BUNDLERS: usize = 4;
const WAIT_MS: u64 = 2_000;
/// The run, and when the primary of group 1 hangs, its successor leads, and it is back as a replica.
const RUN_MS: u64 = 14_000;
const HANG_AT_MS: u64 = 3_000;
const NEXT_LEADS_MS: u64 = HANG_AT_MS + 4_000;
const BACK_MS: u64 = HANG_AT_MS + 6_000;

fn insert(id: &str, group: usize, bytes: usize) -> Vec<u8> {
    let value = "9f".repeat(bytes);
    query(&format!(
        "INSERT INTO records (k, v) VALUES ('order-{id}', '\\x{value}') RETURNING v /* id={id},c=order-place,d={WAIT_MS},cluster={group} */"
    ))
}

#[derive(Default)]
struct Tally {
    sent: AtomicUsize,
    served: AtomicUsize,
    refused: AtomicUsize,
    failed: AtomicUsize,
    lost: AtomicUsize,
    over: AtomicBool,
}

impl Tally {
    fn count(&self, reply: &Reply) {
        let of = match reply {
            Reply::Served(_) | Reply::Empty => &self.served,
            Reply::Error(code, _) if code == "53300" || code == "57P03" => &self.refused,
            Reply::Error(..) => &self.failed,
            Reply::Ended(_) => &self.lost,
        };
        of.fetch_add(1, Ordering::Relaxed);
    }

    fn over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }
}

/// Sends one write at a time, on a new connection after one has ended.
fn write_one_by_one(address: SocketAddr, number: usize, record: &Record, tally: &Tally) {
    let mut client = None;
    sleep(number as u64 * PAUSE_MS / WRITERS as u64);
    for turn in 0.. {
        if tally.over() {
            return;
        }
        if client.is_none() {
            client = Client::open(address).ok();
        }
        let Some(open) = &mut client else {
            sleep(50);
            continue;
        };
        let id = format!("w{number}n{turn}");
        tally.sent.fetch_add(1, Ordering::Relaxed);
        let whole = open.stream.write_all(&insert(&id, 1, VALUE_BYTES)).is_ok();
        let reply =
            if whole { open.reply(Instant::now() + millis(WAIT_MS + 550)) } else { Some(Reply::Ended(true)) };
        let reply = reply.unwrap_or(Reply::Ended(false));
        tally.count(&reply);
        if !matches!(reply, Reply::Served(_)) {
            record.line(&format!("writer {number}: id={id} {reply:?}"));
        }
        if matches!(reply, Reply::Ended(_) | Reply::Error(_, true)) {
            client = None;
        }
        sleep(PAUSE_MS);
    }
}

/// Sends bundles of commands for the other group, whose servers are well.
fn write_bundles(address: SocketAddr, number: usize, record: &Record, tally: &Tally) {
    let mut client = None;
    sleep(number as u64 * BUNDLE_PAUSE_MS / BUNDLERS as u64);
    for turn in 0.. {
        if tally.over() {
            return;
        }
        if client.is_none() {
            client = Client::open(address).ok();
        }
        let Some(open) = &mut client else {
            sleep(50);
            continue;
        };
        let ids: Vec<String> = (0..BUNDLE).map(|n| format!("b{number}n{turn}c{n}")).collect();
        let bytes: Vec<u8> = ids.iter().flat_map(|id| insert(id, 2, BUNDLE_VALUE_BYTES)).collect();
        let sent = Instant::now();
        if open.stream.write_all(&bytes).is_err() {
            // Not written whole: the gateway did not take all of them.
            client = None;
            continue;
        }
        tally.sent.fetch_add(BUNDLE, Ordering::Relaxed);
        // Time spent waiting for earlier commands does not count.
        let until = sent + millis(WAIT_MS * BUNDLE as u64 + 550);
        for (place, id) in ids.iter().enumerate() {
            let reply = open.reply(until).unwrap_or(Reply::Ended(false));
            let ended = matches!(reply, Reply::Ended(_));
            if ended {
                let unread = unread_by_gateway(open);
                for id in &ids[place..] {
                    record.line(&format!(
                        "LOST: id={id} got no answer; {reply:?} after {} ms",
                        sent.elapsed().as_millis()
                    ));
                    tally.count(&reply);
                }
                record.line(&format!("unread in the gateway's socket of this connection: {unread:?} bytes"));
                client = None;
                break;
            }
            tally.count(&reply);
            let word = if let Reply::Served(_) = reply { "served".into() } else { format!("{reply:?}") };
            record.line(&format!("bundles: id={id} after {} ms {word}", sent.elapsed().as_millis()));
        }
        sleep(BUNDLE_PAUSE_MS);
    }
}

/// Bytes that lie unread in the gateway's socket of this connection, as the system shows them.
fn unread_by_gateway(client: &Client) -> Option<u64> {
    let hex = |address: SocketAddr| format!("0100007F:{:04X}", address.port());
    let (here, there) = (hex(client.stream.local_addr().ok()?), hex(client.stream.peer_addr().ok()?));
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let line = table.lines().find(|line| {
        let mut words = line.split_whitespace().skip(1);
        words.next() == Some(&there) && words.next() == Some(&here)
    })?;
    u64::from_str_radix(line.split_whitespace().nth(4)?.split(':').nth(1)?, 16).ok()
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let said = |error: std::io::Error| error.to_string();
    let store = Store::start(Shape { groups: 2, members: 3, lag: 5, work: 5 }, record).map_err(said)?;
    let sites = ["changhua", "taichung", "douliu"];
    let hosts: Vec<String> = (0..6)
        .map(|n| host(&format!("s{n}"), store.addresses[n], sites[n % 3], 1 + n / 3, n % 3 == 0))
        .collect();
    let discovery = Discovery::start(&hosts).map_err(said)?;
    let limits = format!(r#"{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":1024}}"#);
    let mut gateway = Gateway::start("n0", discovery.address, &limits, SETTINGS)?;
    record.line(&format!("the gateway serves; disruption: {trouble}"));
    let (address, writers, bundles) = (gateway.address, Tally::default(), Tally::default());
    let began = Instant::now();
    let until = |ms: u64| std::thread::sleep(millis(ms).saturating_sub(began.elapsed()));
    std::thread::scope(|scope| {
        for number in 0..WRITERS {
            let (record, writers) = (&record, &writers);
            scope.spawn(move || write_one_by_one(address, number, record, writers));
        }
        for number in 0..BUNDLERS {
            let (record, bundles) = (&record, &bundles);
            scope.spawn(move || write_bundles(address, number, record, bundles));
        }
        until(HANG_AT_MS);
        if trouble {
            record.line("s0, the primary of group 1, hangs: it takes commands and answers none");
            store.hang(0, true);
        }
        until(NEXT_LEADS_MS);
        if trouble {
            record.line("s1 takes over group 1");
            store.set_primary(0, 1);
        }
        until(BACK_MS);
        if trouble {
            record.line("s0 is back as a replica");
            store.hang(0, false);
        }
        until(RUN_MS);
        writers.over.store(true, Ordering::Relaxed);
        bundles.over.store(true, Ordering::Relaxed);
    });
    for (name, tally) in [("writers, one at a time", &writers), ("bundles", &bundles)] {
        let read = |of: &AtomicUsize| of.load(Ordering::Relaxed);
        record.line(&format!(
            "{name}: {} sent, {} served, {} refused, {} failed, {} without an answer",
            read(&tally.sent),
            read(&tally.served),
            read(&tally.refused),
            read(&tally.failed),
            read(&tally.lost)
        ));
    }
    record.line(&format!("the gateway's peak memory: {}", gateway.figure("VmHWM")));
    for line in gateway.log().lines().filter(|line| line.contains("memory")).take(3) {
        record.line(&format!("the gateway's log: {line}"));
    }
    if gateway.has_ended() {
        record.line("the gateway's process has ended by itself");
        return Ok(false);
    }
    if bundles.served.load(Ordering::Relaxed) == 0 {
        return Err("no bundle was served".into());
    }
    Ok(writers.lost.load(Ordering::Relaxed) + bundles.lost.load(Ordering::Relaxed) == 0)
}
