//! One client that sends small or invalid requests on one connection at full speed: the others get their answers in time,
//! and memory stays bounded, also under names that are always new.

use std::io::{Read, Write};
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tansyjunction_standin::scripted::*;
use tansyjunction_standin::{EMPTY_QUERY, Reply, message, query};

const PROGRAM: &str = env!("CARGO_BIN_EXE_tansyjunction");
const MEMORY_MB: usize = 16;
/// How long a flood lasts, and one of new names, which may be remembered.
const LASTS: Duration = Duration::from_secs(1);
const NEW_NAMES_LAST: Duration = Duration::from_secs(6);
/// Response target of the others' reads in the settings.
const TARGET: Duration = Duration::from_millis(400);
/// Requests of a flood that are written at once.
const AT_ONCE: u64 = 64;

/// What a flood sends, by the number of the request, and for how long.
type Form = (&'static str, Duration, fn(u64) -> Vec<u8>);

fn request(number: u64, class: &str, wait: u32, group: u32) -> Vec<u8> {
    let name = format!("{class}-{group}-{number}");
    let comment = format!("id={name},c={class},d={wait},k={name},cluster={group}");
    query(&match class {
        "once" | "keyed" => {
            format!("INSERT INTO records (k, v) VALUES ('{name}', '\\x9f03') RETURNING v /* {comment} */")
        }
        _ => format!("SELECT v FROM records WHERE k = '{name}' /* {comment} */"),
    })
}

const FORMS: [Form; 11] = [
    ("empty queries", LASTS, |_| EMPTY_QUERY.to_vec()),
    ("the extended protocol", LASTS, |_| [message(b'P', b"\0\0\0\0"), message(b'S', b"")].concat()),
    ("no statements", LASTS, |number| query(&format!("x{number}"))),
    ("statements without an id", LASTS, |_| query("SELECT v FROM records WHERE k = '1' /* c=look,d=9 */")),
    ("unknown classes", LASTS, |number| request(number, &format!("class{number}"), 100, 2)),
    ("unknown groups", NEW_NAMES_LAST, |number| request(number, "look", 1, 1_000_000 + number as u32)),
    ("writes to unknown groups", NEW_NAMES_LAST, |number| {
        request(number, "once", 1, 1_000_000 + number as u32)
    }),
    ("reads of new sessions", NEW_NAMES_LAST, |number| request(number, "look", 100, 2)),
    ("writes of new sessions", NEW_NAMES_LAST, |number| request(number, "once", 100, 2)),
    ("keyed writes of new sessions", NEW_NAMES_LAST, |number| request(number, "keyed", 100, 2)),
    ("overlong messages", LASTS, |_| [&b"Q\0\x02\x10\0"[..], &vec![b'x'; 0x2_0ffc]].concat()),
];

/// Sends a form until told to stop, and reads all answers. Returns the number of requests.
fn flood(gateway: &Gateway, form: fn(u64) -> Vec<u8>, over: &AtomicBool) -> u64 {
    let mut stream = gateway.client().stream;
    let mut answers = stream.try_clone().expect("a clone");
    let reading = std::thread::spawn(move || {
        let mut bytes = vec![0; 65_536];
        while answers.read(&mut bytes).is_ok_and(|count| count > 0) {}
    });
    let mut sent = 0;
    while !over.load(Ordering::SeqCst) {
        let bundle: Vec<u8> = (sent..sent + AT_ONCE).flat_map(form).collect();
        if stream.write_all(&bundle).is_err() {
            break;
        }
        sent += AT_ONCE;
    }
    let _ = stream.shutdown(Shutdown::Both);
    reading.join().expect("it ends");
    sent
}

/// Guards against one client that keeps the others waiting or fills the memory (operators' picture b).
#[test]
fn one_client_at_full_speed_costs_the_others_nothing() {
    let value = || vec![Reaction::Answers(b"1".to_vec())];
    let (primary, replica) = (ScriptedServer::start(true, value()), ScriptedServer::start(false, value()));
    let entries = [entry("s1", primary.address, "up", true), entry("s2", replica.address, "up", false)];
    let (discovery, _changes) = discovery(list(1, true, &entries));
    let gateway = Gateway::launch_as(PROGRAM, discovery, 1_024, None, |usual| {
        let memory = format!(r#""sockets":1024,"memory_mb":{MEMORY_MB}"#);
        let kept = usual.replace(r#"["eventual","mutate""#, r#"["causal","mutate""#);
        kept.replace(r#""sockets":1024"#, &memory)
            .replace(r#""guards":"await""#, r#""guards":"await","write_marks":"kept""#)
    });
    gateway.wait_ready();
    let mut client = gateway.client();
    let mut id = 0;
    for (what, lasts, form) in FORMS {
        let over = AtomicBool::new(false);
        let (slowest, sent) = std::thread::scope(|scope| {
            let flooding = scope.spawn(|| flood(&gateway, form, &over));
            let (began, mut slowest) = (Instant::now(), Duration::ZERO);
            while began.elapsed() < lasts {
                id += 1;
                let asked = Instant::now();
                assert_eq!(client.ask(&read(id)), Reply::Value(b"1".to_vec()), "{what}");
                slowest = slowest.max(asked.elapsed());
                std::thread::sleep(Duration::from_millis(5));
            }
            over.store(true, Ordering::SeqCst);
            (slowest, flooding.join().expect("it ends"))
        });
        let memory = gateway.peak_own_memory_kib(1);
        println!("{what}: {sent} requests, the slowest answer to another client {slowest:?}, {memory} KiB");
        assert!(slowest < TARGET, "{what}: {slowest:?}");
        assert!(memory < MEMORY_MB * 1_024, "{what}: {memory} KiB");
    }
}
