//! Changes in discovery are known in time, whatever request failed before: the program on sockets with a discovery
//! that is slow, breaks off, sends invalid lists or is unreachable, under traffic.

#[path = "rig/agent.rs"]
mod agent;

use std::net::TcpStream;
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

use agent::{Agent, Rig, Spoils};
use tansyjunction_standin::scripted::*;
use tansyjunction_standin::{Client, Reply};

const PROGRAM: &str = env!("CARGO_BIN_EXE_tansyjunction");
const MS: Duration = Duration::from_millis(1);
/// Time after which reachable changes in discovery count as notified; and after SIGHUP.
const COUNTS: Duration = Duration::from_secs(6);
const SIGHUP_COUNTS: Duration = Duration::from_secs(4);
/// Time for which draining servers may still get commands.
const DRAINS: Duration = Duration::from_secs(1);
/// Time for a restarted process to be ready.
const READY: Duration = Duration::from_secs(10);
/// Pause between two bytes of a slow discovery: neither a silence, nor a complete list within a minute.
const DRIPS: Spoils = Spoils::Drips(Duration::from_millis(250));

/// Everything is invalid for a while, also on the open watch; then new requests are answered correctly. Earlier
/// requests remain as they were: a slow answer stays slow.
fn known_once_it_is_well(spoils: Spoils, lasts: Duration, bound: Duration) {
    let rig = Rig::new();
    let agent = rig.agent();
    let gateway = Gateway::start(PROGRAM, agent.address);
    agent.after_a_beat();
    agent.spoils(Some(spoils));
    let reached = rig.reads_for(&gateway, lasts);
    assert!(reached > 0, "{spoils:?}: the last list did not stay in force");
    agent.has(rig.entries("draining"));
    let since = Instant::now();
    agent.spoils(None);
    let last = rig.last_read_at_the_replica(&gateway, since, bound);
    assert!(last < bound, "{spoils:?} for {lasts:?}: {last:?}");
}

/// Single bytes are no sign of life: here the watch is slow, ...
#[test]
fn a_watch_that_is_slow_by_the_byte_is_given_up() {
    known_once_it_is_well(DRIPS, 300 * MS, COUNTS);
}

/// ... and here the whole list requested after a slow watch.
#[test]
fn a_whole_list_that_is_slow_by_the_byte_is_given_up() {
    known_once_it_is_well(DRIPS, 6_000 * MS, COUNTS);
}

/// A silence followed by a slow list counts from its beginning.
#[test]
fn a_list_that_drips_after_a_silence_is_given_up_in_time() {
    let rig = Rig::new();
    let agent = rig.agent();
    let gateway = Gateway::start(PROGRAM, agent.address);
    agent.after_a_beat();
    let (since, connections) = (Instant::now(), agent.connections());
    agent.falls_silent(0);
    agent.has(rig.entries("draining"));
    agent.spoils(Some(DRIPS));
    scope(|scope| {
        scope.spawn(|| {
            // Only the first request is slow.
            wait_until("a call", || agent.connections() > connections);
            sleep(200 * MS);
            agent.spoils(None);
        });
        let last = rig.last_read_at_the_replica(&gateway, since, COUNTS);
        assert!(last > 500 * MS && last < COUNTS, "{last:?}");
    });
}

/// Neither a reset nor an end within a list completes it.
#[test]
fn lists_that_break_off_are_not_taken_and_are_asked_for_again() {
    scope(|scope| {
        for spoils in [Spoils::Resets, Spoils::ResetsAtTheEnd, Spoils::Ends] {
            scope.spawn(move || known_once_it_is_well(spoils, 2_000 * MS, DRAINS));
        }
    });
}

#[test]
fn lists_that_cannot_be_read_or_never_end_are_asked_for_again() {
    scope(|scope| {
        for spoils in [Spoils::Malformed, Spoils::Huge] {
            scope.spawn(move || known_once_it_is_well(spoils, 2_000 * MS, 2 * DRAINS));
        }
    });
}

/// A watch must not be reopened repeatedly from the version before an invalid line.
#[test]
fn after_a_line_that_cannot_be_read_the_whole_list_is_asked_for() {
    let rig = Rig::new();
    let agent = rig.agent();
    let gateway = Gateway::start(PROGRAM, agent.address);
    agent.after_a_beat();
    let (since, connections) = (Instant::now(), agent.connections());
    agent.has_and_spoils(rig.entries("draining"), Spoils::MalformedWatch);
    let last = rig.last_read_at_the_replica(&gateway, since, DRAINS);
    assert!(last < DRAINS, "{last:?}");
    // Two requests each time, and the longest pause after a few.
    let calls = agent.connections() - connections;
    assert!(calls < 20, "{calls} calls in {:?}", since.elapsed());
}

/// A watch must not monopolise the thread.
#[test]
fn a_flood_of_lists_does_not_keep_the_traffic() {
    let rig = Rig::new();
    let agent = rig.agent();
    let gateway = Gateway::start(PROGRAM, agent.address);
    agent.spoils(Some(Spoils::Floods));
    assert!(rig.reads_for(&gateway, 2_000 * MS) > 0);
    agent.has(rig.entries("draining"));
    let since = Instant::now();
    let last = rig.last_read_at_the_replica(&gateway, since, COUNTS);
    assert!(last < COUNTS, "{last:?}");
}

/// A discovery that restarts its numbering must be heard while its watch lasts.
#[test]
fn lists_numbered_anew_from_below_are_heard() {
    let rig = Rig::new();
    let agent = rig.agent();
    let gateway = Gateway::start(PROGRAM, agent.address);
    agent.after_a_beat();
    let since = Instant::now();
    agent.numbers_anew(rig.entries("draining"));
    let last = rig.last_read_at_the_replica(&gateway, since, DRAINS);
    assert!(last < DRAINS, "{last:?}");
    // The watch continues with the new numbers.
    let connections = agent.connections();
    agent.has(rig.entries("up"));
    let before = rig.replica.asked().len();
    wait_until("a read at the replica", || rig.reads_for(&gateway, 20 * MS) > 0);
    assert!(rig.replica.asked().len() > before);
    assert_eq!(agent.connections(), connections, "the watch was opened anew");
}

/// An invalid entry must not hide the others; its own server keeps its state.
#[test]
fn one_entry_that_cannot_be_read_hides_no_other() {
    let rig = Rig::new();
    let agent = rig.agent();
    let gateway = Gateway::start(PROGRAM, agent.address);
    agent.after_a_beat();
    let odd = |entries: Vec<String>, place: usize| -> Vec<String> {
        let spoil = |(n, entry): (usize, String)| match n == place {
            true => entry.replace("127.0.0.1", "nowhere"),
            false => entry,
        };
        entries.into_iter().enumerate().map(spoil).collect()
    };
    let connections = agent.connections();
    agent.has(odd(rig.entries("up"), 1));
    assert!(rig.reads_for(&gateway, 1_000 * MS) > 0);
    let since = Instant::now();
    agent.has(odd(rig.entries("draining"), 0));
    let last = rig.last_read_at_the_replica(&gateway, since, DRAINS);
    assert!(last < DRAINS, "{last:?}");
    let mut client = gateway.client();
    assert!(matches!(client.ask(&write(1)), Reply::Value(_)), "the primary stays as it was");
    assert_eq!(agent.connections(), connections, "the watch was opened anew");
}

/// Pauses between attempts stay short: everything is known within a second after the return.
#[test]
fn a_discovery_that_refused_is_known_soon_after_its_return() {
    let rig = Rig::new();
    let agent = Agent::start_at(unused_address(), rig.entries("up"));
    let gateway = Gateway::start(PROGRAM, agent.address);
    agent.refuses(true);
    assert!(rig.reads_for(&gateway, 3_000 * MS) > 0);
    agent.has(rig.entries("draining"));
    let since = Instant::now();
    agent.refuses(false);
    let last = rig.last_read_at_the_replica(&gateway, since, DRAINS);
    assert!(last < DRAINS, "{last:?}");
}

/// A connection that does not come up is abandoned and retried: the listen queue of discovery is full.
#[test]
fn a_connection_that_does_not_come_up_is_tried_again() {
    let rig = Rig::new();
    let agent = rig.agent();
    let gateway = Gateway::start(PROGRAM, agent.address);
    agent.after_a_beat();
    let queued = agent.stalls();
    agent.falls_silent(0);
    assert!(rig.reads_for(&gateway, 5_000 * MS) > 0);
    agent.has(rig.entries("draining"));
    let since = Instant::now();
    agent.goes_on(queued);
    let last = rig.last_read_at_the_replica(&gateway, since, COUNTS);
    assert!(last < COUNTS, "{last:?}");
}

/// A slow discovery must be heard nonetheless: its list takes three and a half seconds, longer than the first request
/// waits.
#[test]
fn a_list_that_comes_slowly_is_heard_at_the_second_ask() {
    let rig = Rig::new();
    let agent = rig.agent();
    let gateway = Gateway::start(PROGRAM, agent.address);
    agent.after_a_beat();
    agent.writes_indented(Some(700 * MS));
    let connections = agent.connections();
    agent.has_and_ends_all(rig.entries("draining"));
    let last = rig.last_read_at_the_replica(&gateway, Instant::now(), 7_500 * MS);
    assert!(last > 500 * MS && last < 7_500 * MS, "{last:?}");
    // Two requests, and the watch.
    assert_eq!(agent.connections(), connections + 3);
}

/// SIGHUP in any state of the old discovery, while the new one does not answer its first two requests.
#[test]
fn sighup_is_followed_in_time_whatever_went_before() {
    type Turns = fn(&Agent) -> Vec<TcpStream>;
    let states: [(&str, Turns); 6] = [
        ("watching", |_| Vec::new()),
        ("silent", |agent| {
            agent.falls_silent(0);
            Vec::new()
        }),
        ("half a list", |agent| {
            agent.spoils(Some(DRIPS));
            agent.ends_all();
            Vec::new()
        }),
        ("connecting", |agent| {
            let queued = agent.stalls();
            agent.ends_all();
            queued
        }),
        ("refused", |agent| {
            agent.refuses(true);
            Vec::new()
        }),
        ("malformed", |agent| {
            agent.spoils(Some(Spoils::Malformed));
            Vec::new()
        }),
    ];
    scope(|scope| {
        for (state, turns) in states {
            scope.spawn(move || {
                let rig = Rig::new();
                let agent = Agent::start_at(unused_address(), rig.entries("up"));
                let another = Agent::start(rig.entries("draining"));
                let gateway = Gateway::start(PROGRAM, agent.address);
                let queued = turns(&agent);
                assert!(rig.reads_for(&gateway, 400 * MS) > 0);
                another.falls_silent(2);
                let since = Instant::now();
                gateway.reload(&another.address.to_string());
                let last = rig.last_read_at_the_replica(&gateway, since, SIGHUP_COUNTS);
                assert!(last > 500 * MS && last < SIGHUP_COUNTS, "{state}: {last:?}");
                drop(queued);
            });
        }
    });
}

/// A new discovery that is slow: after SIGHUP there is less time.
#[test]
fn after_sighup_a_discovery_that_is_slow_by_the_byte_is_given_up_in_time() {
    let rig = Rig::new();
    let (agent, another) = (rig.agent(), Agent::start(rig.entries("draining")));
    let gateway = Gateway::start(PROGRAM, agent.address);
    another.spoils(Some(DRIPS));
    let since = Instant::now();
    gateway.reload(&another.address.to_string());
    wait_until("a call", || another.connections() > 0);
    sleep(200 * MS);
    another.spoils(None);
    let last = rig.last_read_at_the_replica(&gateway, since, SIGHUP_COUNTS);
    assert!(last > 500 * MS && last < SIGHUP_COUNTS, "{last:?}");
}

/// A watch at the same address that has fallen silent, and two silent requests after it.
#[test]
fn sighup_with_the_same_address_asks_it_anew() {
    let rig = Rig::new();
    let agent = rig.agent();
    let gateway = Gateway::start(PROGRAM, agent.address);
    agent.after_a_beat();
    agent.falls_silent(2);
    agent.has(rig.entries("draining"));
    let since = Instant::now();
    gateway.reload(&agent.address.to_string());
    let last = rig.last_read_at_the_replica(&gateway, since, SIGHUP_COUNTS);
    assert!(last < 2_000 * MS, "{last:?}");
}

/// Two SIGHUPs: to an address without a listener, and back.
#[test]
fn sighup_there_and_back_again_is_followed() {
    scope(|scope| {
        for between in [Duration::ZERO, 700 * MS] {
            scope.spawn(move || {
                let rig = Rig::new();
                let agent = rig.agent();
                let gateway = Gateway::start(PROGRAM, agent.address);
                gateway.reload(&unused_address().to_string());
                if !between.is_zero() {
                    assert!(rig.reads_for(&gateway, between) > 0);
                }
                agent.has(rig.entries("draining"));
                let since = Instant::now();
                gateway.reload(&agent.address.to_string());
                let last = rig.last_read_at_the_replica(&gateway, since, SIGHUP_COUNTS);
                assert!(last < SIGHUP_COUNTS, "{between:?}: {last:?}");
            });
        }
    });
}

/// Lists of the old discovery after SIGHUP are ignored; an invalid configuration changes nothing.
#[test]
fn after_sighup_only_the_address_in_force_is_heard() {
    let rig = Rig::new();
    let (agent, another) = (rig.agent(), rig.agent());
    let gateway = Gateway::start(PROGRAM, agent.address);
    agent.after_a_beat();
    let connections = agent.connections();
    gateway.reload("nowhere");
    assert!(rig.reads_for(&gateway, 500 * MS) > 0);
    assert_eq!(agent.connections(), connections, "a faulty configuration was taken");
    another.says_nothing(true);
    gateway.reload(&another.address.to_string());
    wait_until("a call at the new address", || another.connections() > 0);
    agent.has(rig.entries("draining"));
    rig.reads_for(&gateway, 1_000 * MS);
    assert!(rig.reads_for(&gateway, 500 * MS) > 0, "the old address was heard");
    another.has(rig.entries("draining"));
    let since = Instant::now();
    another.says_nothing(false);
    let last = rig.last_read_at_the_replica(&gateway, since, DRAINS);
    assert!(last < DRAINS, "{last:?}");
}

/// SIGHUP before the first list: the list of the new discovery is the first.
#[test]
fn sighup_before_the_first_list_is_followed() {
    let rig = Rig::new();
    let (agent, another) = (rig.agent(), Agent::start(rig.entries("draining")));
    agent.says_nothing(true);
    let gateway = Gateway::launch(PROGRAM, agent.address, 64, "null");
    wait_until("the listener", || TcpStream::connect(gateway.address).is_ok());
    wait_until("a call", || agent.connections() > 0);
    let since = Instant::now();
    gateway.reload(&another.address.to_string());
    gateway.wait_ready();
    assert!(since.elapsed() < SIGHUP_COUNTS, "{:?}", since.elapsed());
    assert!(matches!(gateway.client().ask(&read(1)), Reply::Value(_)));
    assert!(rig.replica.asked().is_empty(), "sent by a list that was not there");
}

/// Restarted processes are ready in time with a discovery that is late, silent or refusing at first, or sends a wrong
/// list.
#[test]
fn restarted_processes_are_ready_in_time() {
    type Starts = fn(&Rig) -> Agent;
    let starts: [(&str, Starts); 6] = [
        ("late", |rig| {
            let agent = rig.agent();
            agent.answers_late(2_000 * MS);
            agent
        }),
        ("later", |rig| {
            let agent = rig.agent();
            agent.answers_late(2_500 * MS);
            agent
        }),
        ("empty", |_| Agent::start(Vec::new())),
        ("of others", |_| Agent::start(vec![entry("s9", unused_address(), "up", true)])),
        ("silent", |rig| {
            let agent = rig.agent();
            agent.says_nothing(true);
            agent
        }),
        ("refusing", |rig| {
            let agent = Agent::start_at(unused_address(), rig.entries("up"));
            agent.refuses(true);
            agent
        }),
    ];
    scope(|scope| {
        for (start, agent) in starts {
            scope.spawn(move || {
                let rig = Rig::new();
                let agent = agent(&rig);
                let began = Instant::now();
                let gateways = [(); 2].map(|()| Gateway::launch(PROGRAM, agent.address, 64, "null"));
                if matches!(start, "silent" | "refusing") {
                    sleep(3_000 * MS);
                    agent.says_nothing(false);
                    agent.refuses(false);
                }
                for gateway in &gateways {
                    wait_until("an answer to an empty query", || {
                        let client = Client::connect(gateway.address, WAIT_TIMEOUT);
                        client.is_ok_and(|mut client| client.ask("") == Reply::Empty)
                    });
                }
                assert!(began.elapsed() < READY, "{start}: {:?}", began.elapsed());
            });
        }
    });
}
