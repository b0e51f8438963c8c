//! Writes that wait for a primary that hangs, each sent behind a read on the same connection. The platform kills a gateway
//! that holds more memory than its limit.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Instant;

use crate::bench::*;

/// A small deployment in the manner of firma-milano's site.
const SETTINGS: &str = r#"{"balancers":1,"me":0,"family":"replicas","round":5000000,
"categories":[
 {"name":"stato-busta","aim":500000000,"hard_limit":2000000000,"effect":"pure","worth":1.0,"late_worth":0.2,"stream":false,"window":5000000000,"dedup_scope":"all"},
 {"name":"firma","aim":500000000,"hard_limit":5000000000,"effect":"side_effect","worth":4.0,"late_worth":0.5,"stream":false,"window":5000000000,"dedup_scope":"all"}],
"clients":{"marks_retry":false},
"domain":{"answers_stamped":true,"class_bound":[800000000,0],"guards":"await","patience":20000000,"needs_by_class":["lag_bound","mutate"],"report_x0":"position in seconds after zero","report_x1":"1 from a primary","role_listed":"trailing","synchronous":false,"write_marks":"brought","zero":0},
"guarantees":{"ask_within":10000000000,"cold":15000000000,"cold_from":0.18,"drain_grace":1000000000,"fall_multiple":3.0,"grace_to_answer":20000000,"overload_for":2000000000},
"kinds":["std-5c"],
"limits":{"cancelling":true,"conn_idle":15000000000,"dial_timeout":250000000,"max_attempts":8,"max_open":20000,"peers":false,"probes":true,"retry_after":true,"max_retry_after":1000000000,"second_copies":false,"streams_per_conn":1},
"localities":["lambrate","rogoredo","sesto"],"my_zone":"lambrate","realms":[],"registry_mode":"pushed",
"telemetry":{"fields":["x0","x1","queue"],"how":"pull"},"weight_kind":"nominal","worth_by":"request"}"#;

const MEMORY_MB: u64 = 32;
const SOCKETS: usize = 1_024;
/// Connections with commands: at most a third of the descriptors. A pair of commands from each about every 4.4 s makes
/// 150 commands a second.
const CLIENTS: usize = 330;
const CYCLE_MS: u64 = 4_400;
/// A document is 64 KiB at most.
const VALUE_BYTES: usize = 64_000;
const READ_WAIT_MS: u64 = 2_000;
const WRITE_WAIT_MS: u64 = 5_000;
/// The run, and when the primary of group 1 hangs, its successor leads, and it is back as a replica.
const RUN_MS: u64 = 20_000;
const HANG_AT_MS: u64 = 8_000;
const NEXT_LEADS_MS: u64 = HANG_AT_MS + 6_000;
const BACK_MS: u64 = HANG_AT_MS + 7_000;

#[derive(Default)]
struct Tally {
    sent: AtomicUsize,
    served: AtomicUsize,
    refused: AtomicUsize,
    failed: AtomicUsize,
    unanswered: AtomicUsize,
    over: AtomicBool,
}

impl Tally {
    fn count(&self, reply: &Reply) {
        let of = match reply {
            Reply::Served(_) | Reply::Empty => &self.served,
            Reply::Error(code, _) if code == "53300" || code == "57P03" => &self.refused,
            Reply::Error(..) => &self.failed,
            Reply::Ended(_) => &self.unanswered,
        };
        of.fetch_add(1, Ordering::Relaxed);
    }
}

/// Sends a read and a little later a write on a connection of its own, time and again.
fn client(address: SocketAddr, number: usize, record: &Record, tally: &Tally) {
    let hex = "9f".repeat(VALUE_BYTES);
    sleep(number as u64 * CYCLE_MS / CLIENTS as u64);
    for turn in 0.. {
        let began = Instant::now();
        if tally.over.load(Ordering::Relaxed) {
            return;
        }
        if let Ok(mut client) = Client::open(address) {
            let (read_id, write_id) = (format!("r{number}n{turn}"), format!("w{number}n{turn}"));
            let read = query(&format!(
                "SELECT v FROM records WHERE k = 'busta-{number}' /* id={read_id},c=stato-busta,d={READ_WAIT_MS},cluster=1 */"
            ));
            let write = query(&format!(
                "INSERT INTO records (k, v) VALUES ('firma-{number}', '\\x{hex}') RETURNING v /* id={write_id},c=firma,d={WRITE_WAIT_MS},cluster=1 */"
            ));
            let mut whole = client.stream.write_all(&read).is_ok();
            sleep(5);
            whole &= client.stream.write_all(&write).is_ok();
            tally.sent.fetch_add(2, Ordering::Relaxed);
            // The time spent waiting for the read does not count for the write.
            for (id, wait) in [(&read_id, READ_WAIT_MS), (&write_id, READ_WAIT_MS + WRITE_WAIT_MS)] {
                let until = began + millis(wait + 550);
                let reply = if whole { client.reply(until) } else { Some(Reply::Ended(true)) };
                let reply = reply.unwrap_or(Reply::Ended(false));
                tally.count(&reply);
                let word = if let Reply::Served(_) = reply { "served".into() } else { format!("{reply:?}") };
                record.line(&format!(
                    "client {number}: id={id} after {} ms: {word}",
                    began.elapsed().as_millis()
                ));
                whole &= !matches!(reply, Reply::Ended(_) | Reply::Error(_, true));
            }
        }
        std::thread::sleep(millis(CYCLE_MS).saturating_sub(began.elapsed()));
    }
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let said = |error: std::io::Error| error.to_string();
    let store = Store::start(Shape { groups: 2, members: 4, lag: 5, work: 60 }, record).map_err(said)?;
    let sites = ["lambrate", "rogoredo", "sesto"];
    let hosts: Vec<String> = (0..8)
        .map(|n| host(&format!("s{n}"), store.addresses[n], sites[n % 3], 1 + n / 4, n % 4 == 0))
        .collect();
    let discovery = Discovery::start(&hosts).map_err(said)?;
    let limits = format!(r#"{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":{SOCKETS}}}"#);
    let mut gateway = Gateway::start("n0", discovery.address, &limits, SETTINGS)?;
    record.line(&format!("the gateway serves; disruption: {trouble}"));
    let (address, tally) = (gateway.address, Tally::default());
    let began = Instant::now();
    let (mut most, mut killed, mut next_line) = (0, false, 0);
    std::thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (record, tally) = (&record, &tally);
            scope.spawn(move || client(address, number, record, tally));
        }
        let mut steps = vec![
            (HANG_AT_MS, "s0, the primary of group 1, hangs: it takes commands and answers none"),
            (NEXT_LEADS_MS, "s1 takes over group 1"),
            (BACK_MS, "s0 is back as a replica"),
        ];
        while began.elapsed() < millis(RUN_MS) {
            let at = began.elapsed().as_millis() as u64;
            if trouble && steps.first().is_some_and(|(due, _)| *due <= at) {
                let (due, text) = steps.remove(0);
                record.line(text);
                match due {
                    HANG_AT_MS => store.hang(0, true),
                    NEXT_LEADS_MS => store.set_primary(0, 1),
                    _ => store.hang(0, false),
                }
            }
            // The memory of its own alone: the program's file and libraries are not counted.
            let kb = gateway
                .figure("RssAnon:")
                .split_whitespace()
                .nth(1)
                .and_then(|kb| kb.parse().ok())
                .unwrap_or(0_u64);
            most = most.max(kb);
            if at >= next_line {
                record.line(&format!(
                    "platform: the gateway holds {kb} kB of its own (limit {} kB)",
                    MEMORY_MB * 1_024
                ));
                next_line += 500;
            }
            if !killed && kb > MEMORY_MB * 1_024 {
                killed = true;
                record.line(&format!(
                    "platform: the gateway holds {kb} kB, over its limit of {} kB: it is killed",
                    MEMORY_MB * 1_024
                ));
                gateway.kill();
                break;
            }
            sleep(10);
        }
        tally.over.store(true, Ordering::Relaxed);
        store.hang(0, false);
    });
    let read = |of: &AtomicUsize| of.load(Ordering::Relaxed);
    record.line(&format!(
        "clients: {} sent, {} served, {} refused, {} failed, {} without an answer",
        read(&tally.sent),
        read(&tally.served),
        read(&tally.refused),
        read(&tally.failed),
        read(&tally.unanswered)
    ));
    record.line(&format!("the most that it held: {most} kB of its own; limit {} kB", MEMORY_MB * 1_024));
    for line in gateway.log().lines().filter(|line| line.contains("memory")).take(3) {
        record.line(&format!("the gateway's log: {line}"));
    }
    if !killed && gateway.has_ended() {
        record.line("the gateway's process has ended by itself");
        return Ok(false);
    }
    if read(&tally.served) == 0 {
        return Err("nothing was served".into());
    }
    Ok(!killed)
}
