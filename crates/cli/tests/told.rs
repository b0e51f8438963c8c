//! Notification deadlines and obligations at the end: the program on sockets with a discovery that falls silent.

#[path = "rig/agent.rs"]
mod agent;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use agent::{Agent, Rig};
use tansyjunction_standin::scripted::*;
use tansyjunction_standin::{Client, Reply, START, message};

const PROGRAM: &str = env!("CARGO_BIN_EXE_tansyjunction");
const MS: Duration = Duration::from_millis(1);
/// Time after which changes hidden by a silence count as notified; and after SIGHUP.
const SILENCE_COUNTS: Duration = Duration::from_secs(6);
const SIGHUP_COUNTS: Duration = Duration::from_secs(4);
/// By how much every time limit is longer on sockets.
const SOCKET_SLACK: Duration = Duration::from_millis(50);

/// A silent watch must be noticed before its missed changes count as notified, here right after a sign of
/// life.
#[test]
fn what_a_silent_watch_misses_is_known_before_it_counts() {
    let rig = Rig::new();
    let agent = rig.agent();
    let gateway = Gateway::start(PROGRAM, agent.address);
    agent.after_a_beat();
    let since = Instant::now();
    agent.falls_silent(0);
    agent.has(rig.entries("draining"));
    let last = rig.last_read_at_the_replica(&gateway, since, SILENCE_COUNTS);
    assert!(last > 500 * MS && last < SILENCE_COUNTS, "{last:?}");
}

/// A discovery that accepts connections and sends nothing must not get the time of an established watch.
#[test]
fn two_silences_in_a_row_are_both_noticed_in_time() {
    let rig = Rig::new();
    let agent = rig.agent();
    let gateway = Gateway::start(PROGRAM, agent.address);
    agent.after_a_beat();
    let since = Instant::now();
    agent.falls_silent(1);
    agent.has(rig.entries("draining"));
    let last = rig.last_read_at_the_replica(&gateway, since, SILENCE_COUNTS);
    assert!(last < SILENCE_COUNTS, "{last:?}");
}

/// Connections made during a long outage may never be answered: everything in discovery counts from the end of the
/// outage, and draining servers may get commands for one more second.
#[test]
fn after_a_long_outage_what_discovery_has_is_known_within_a_second() {
    let rig = Rig::new();
    let agent = rig.agent();
    let gateway = Gateway::start(PROGRAM, agent.address);
    agent.says_nothing(true);
    std::thread::sleep(6_700 * MS);
    agent.has(rig.entries("draining"));
    let since = Instant::now();
    agent.says_nothing(false);
    let last = rig.last_read_at_the_replica(&gateway, since, 1_000 * MS);
    assert!(last < 1_000 * MS, "{last:?}");
}

/// The settings with another drain grace in milliseconds.
fn settings_with_grace(grace: u32) -> String {
    let (old, new) = (r#""drain_grace":1000000000"#, format!(r#""drain_grace":{grace}000000"#));
    assert!(SETTINGS.contains(old));
    SETTINGS.replace(old, &new)
}

/// Guards against commands that go to a draining server after the grace of the settings, where that is shorter than a
/// wait for discovery (incident 22). The outages end at different moments of such a wait.
#[test]
fn after_a_long_outage_what_discovery_has_is_known_within_the_grace_of_the_settings() {
    std::thread::scope(|scope| {
        for (grace, later) in [(250, 0), (250, 170), (250, 340), (100, 0), (100, 170), (100, 340)] {
            scope.spawn(move || {
                let rig = Rig::new();
                let agent = rig.agent();
                let settings = settings_with_grace(grace);
                let gateway = Gateway::with_settings(PROGRAM, agent.address, &settings);
                agent.says_nothing(true);
                std::thread::sleep((5_000 + later) * MS);
                agent.has(rig.entries("draining"));
                let since = Instant::now();
                agent.says_nothing(false);
                let bound = grace * MS + SOCKET_SLACK;
                let last = rig.last_read_at_the_replica(&gateway, since, bound);
                assert!(last < bound, "grace {grace} ms, {later} ms later: {last:?}");
            });
        }
    });
}

/// A discovery that is slower than the time after which it is asked again is heard nevertheless.
#[test]
fn a_discovery_slower_than_a_share_of_the_grace_is_heard() {
    let rig = Rig::new();
    let agent = rig.agent();
    let gateway = Gateway::with_settings(PROGRAM, agent.address, &settings_with_grace(100));
    agent.answers_late(400 * MS);
    agent.has_and_ends_all(rig.entries("draining"));
    let bound = 1_500 * MS;
    let last = rig.last_read_at_the_replica(&gateway, Instant::now(), bound);
    assert!(last < bound, "{last:?}");
}

/// A watch that ends is reopened at once: changes meanwhile count whether or not a watch is open.
#[test]
fn a_watch_that_ends_is_opened_anew_at_once() {
    let rig = Rig::new();
    let agent = rig.agent();
    let gateway = Gateway::start(PROGRAM, agent.address);
    agent.after_a_beat();
    let since = Instant::now();
    agent.ends_all();
    agent.has(rig.entries("draining"));
    let last = rig.last_read_at_the_replica(&gateway, since, 1_000 * MS);
    assert!(last < 600 * MS, "{last:?}");
}

/// The same after SIGHUP if the first connections to the new address get no answer; the last list stays in force until
/// then.
#[test]
fn after_sighup_a_silent_discovery_is_asked_again_in_time() {
    let rig = Rig::new();
    let (agent, another) = (rig.agent(), Agent::start(rig.entries("draining")));
    let gateway = Gateway::start(PROGRAM, agent.address);
    another.falls_silent(2);
    let since = Instant::now();
    gateway.reload(&another.address.to_string());
    let last = rig.last_read_at_the_replica(&gateway, since, SIGHUP_COUNTS);
    assert!(last > 500 * MS && last < SIGHUP_COUNTS, "{last:?}");
}

/// Pauses between attempts must not grow beyond the time left: the new address refuses connections at
/// first.
#[test]
fn after_sighup_a_discovery_that_refuses_is_tried_again_in_time() {
    let rig = Rig::new();
    let agent = rig.agent();
    let gateway = Gateway::start(PROGRAM, agent.address);
    let free = unused_address();
    let since = Instant::now();
    gateway.reload(&free.to_string());
    let entries = rig.entries("draining");
    let starts = std::thread::spawn(move || {
        std::thread::sleep(3_250 * MS);
        Agent::start_at(free, entries)
    });
    let last = rig.last_read_at_the_replica(&gateway, since, SIGHUP_COUNTS);
    assert!(last > 3_000 * MS && last < SIGHUP_COUNTS, "{last:?}");
    drop(starts.join());
}

/// SIGHUP while the watch is silent, to another address or to the same one.
#[test]
fn sighup_during_a_silence_is_followed_in_time() {
    std::thread::scope(|scope| {
        for same in [true, false] {
            scope.spawn(move || {
                let rig = Rig::new();
                let (agent, another) = (rig.agent(), Agent::start(rig.entries("draining")));
                let gateway = Gateway::start(PROGRAM, agent.address);
                agent.after_a_beat();
                agent.falls_silent(0);
                agent.has(rig.entries("draining"));
                std::thread::sleep(100 * MS);
                let since = Instant::now();
                gateway.reload(&if same { agent.address } else { another.address }.to_string());
                let last = rig.last_read_at_the_replica(&gateway, since, SIGHUP_COUNTS);
                assert!(last < SIGHUP_COUNTS, "same address {same}: {last:?}");
            });
        }
    });
}

/// Lists may be indented over many lines, and pieces with pauses are no silence.
#[test]
fn lists_that_come_indented_or_in_pieces_are_taken() {
    std::thread::scope(|scope| {
        for pause in [None, Some(700 * MS)] {
            scope.spawn(move || {
                let rig = Rig::new();
                let agent = rig.agent();
                agent.writes_indented(pause);
                let gateway = Gateway::start(PROGRAM, agent.address);
                assert!(matches!(gateway.client().ask(&read(1)), Reply::Value(_)));
                let connections = agent.connections();
                agent.has(rig.entries("draining"));
                let bound = pause.map_or(300 * MS, |pause| 8 * pause);
                let last = rig.last_read_at_the_replica(&gateway, Instant::now(), bound);
                assert!(last < bound, "{pause:?}: {last:?}");
                assert_eq!(agent.connections(), connections, "the watch was opened anew");
            });
        }
    });
}

/// A new process must not use the list of its configuration while discovery's list is on its way: that one counts
/// from the start.
#[test]
fn a_new_process_sends_nothing_by_an_old_list() {
    std::thread::scope(|scope| {
        for (pieces, out_of_order) in [(Some(400 * MS), false), (None, true), (None, false)] {
            scope.spawn(move || {
                let rig = Rig::new();
                let agent = Agent::start(rig.entries("draining"));
                if pieces.is_some() {
                    agent.writes_indented(pieces);
                }
                agent.says_nothing(out_of_order);
                let known = list(40, true, &rig.entries("up"));
                let gateway = Gateway::launch(PROGRAM, agent.address, 64, &known);
                wait_until("the listener", || TcpStream::connect(gateway.address).is_ok());
                let began = Instant::now();
                let mut client = gateway.client();
                let (mut served, mut silent) = (0, out_of_order);
                let bound = if out_of_order || pieces.is_some() { 4_500 * MS } else { 1_000 * MS };
                for id in 0.. {
                    if began.elapsed() > bound {
                        break;
                    }
                    if began.elapsed() > 1_500 * MS && std::mem::take(&mut silent) {
                        agent.says_nothing(false);
                    }
                    let reply = client.ask(&read(id));
                    assert!(matches!(reply, Reply::Value(_)) || reply.throttled(), "{reply:?}");
                    served += usize::from(matches!(reply, Reply::Value(_)));
                    // The first commands wait for the list, a fifth of a second at most.
                    let waited = served > 0 || began.elapsed() > 200 * MS;
                    assert!(id > 0 || pieces.is_some() || out_of_order || waited, "{reply:?}");
                    std::thread::sleep(20 * MS);
                }
                assert!(served > 0 && rig.replica.asked().is_empty(), "{served} served");
                assert_eq!(client.ask(""), Reply::Empty);
            });
        }
    });
}

/// A discovery that stays silent does not keep a new process from serving forever.
#[test]
fn without_any_list_the_last_one_known_serves_after_a_while() {
    let rig = Rig::new();
    let agent = rig.agent();
    agent.says_nothing(true);
    let known = list(900, true, &rig.entries("up"));
    let began = Instant::now();
    let gateway = Gateway::launch(PROGRAM, agent.address, 64, &known);
    gateway.wait_ready();
    assert!(began.elapsed() > 5_000 * MS && began.elapsed() < 10_000 * MS, "{:?}", began.elapsed());
    assert!(matches!(gateway.client().ask(&read(1)), Reply::Value(_)));
    // A list from discovery then takes precedence, whatever its number.
    agent.has(rig.entries("draining"));
    let since = Instant::now();
    agent.says_nothing(false);
    let last = rig.last_read_at_the_replica(&gateway, since, 3_500 * MS);
    assert!(last < 3_500 * MS, "{last:?}");
}

/// Data from discovery is handled before commands that arrived with it, also after a pause of the process.
#[test]
fn a_list_that_waits_in_the_socket_goes_before_commands() {
    let rig = Rig::new();
    let agent = rig.agent();
    let gateway = Gateway::start(PROGRAM, agent.address);
    let mut clients: Vec<Client> = (0..16).map(|_| gateway.client()).collect();
    for (id, client) in clients.iter_mut().enumerate() {
        assert!(matches!(client.ask(&read(id as u32)), Reply::Value(_)));
    }
    let before = rig.replica.asked().len();
    gateway.signal("STOP");
    // It is paused only after its turn.
    std::thread::sleep(300 * MS);
    for (id, client) in clients.iter_mut().enumerate() {
        client.send(&read(100 + id as u32));
    }
    agent.has(rig.entries("draining"));
    std::thread::sleep(300 * MS);
    gateway.signal("CONT");
    for client in &mut clients {
        let reply = client.reply();
        assert!(matches!(reply, Reply::Value(_)) || reply.throttled(), "{reply:?}");
    }
    assert_eq!((before > 0, rig.replica.asked().len()), (true, before));
}

/// Clients send on each open connection up to SIGKILL; they must not be accepted until a moment at which nothing can be
/// answered any more. Every command is served, or is not forwarded because its connection
/// ended.
#[test]
fn after_sigterm_all_that_can_be_served_is_served() {
    let late = || vec![Reaction::AnswersLate(b"late".to_vec(), 40 * MS)];
    let rig =
        Rig { primary: ScriptedServer::start(true, late()), replica: ScriptedServer::start(false, late()) };
    let agent = rig.agent();
    let mut gateway = Gateway::with_sockets(PROGRAM, agent.address, 256);
    // A router that knows nothing about its servers sends them few commands at first.
    let (began, warm) = (Instant::now(), 700 * MS);
    let asking = (0..32).map(|n| {
        let mut client = gateway.client();
        std::thread::spawn(move || {
            let mut served = 0;
            for id in 1_000 * (n + 1).. {
                let sent = began.elapsed();
                match client.ask(&if n % 2 == 0 { read(id) } else { write(id) }) {
                    Reply::Value(_) => served += 1,
                    Reply::Ended => return (served, sent, id),
                    other => {
                        assert!(other.throttled() && sent < warm, "{other:?} to what was sent at {sent:?}")
                    }
                }
            }
            unreachable!("it ends");
        })
    });
    let asking: Vec<_> = asking.collect();
    std::thread::sleep(warm.saturating_sub(began.elapsed()));
    gateway.signal("TERM");
    let (since, told) = (Instant::now(), began.elapsed());
    let asked = |id: u32| {
        let statements = [rig.primary.asked(), rig.replica.asked()].concat();
        statements.iter().any(|statement| statement.contains(&format!("id={id},")))
    };
    for client in asking {
        let (served, sent, id) = client.join().expect("only answers and the end");
        assert!(served >= 10 && !asked(id), "{served} served");
        let sent = sent.saturating_sub(told);
        assert!(sent > 800 * MS && sent < 1_400 * MS, "ended at {sent:?}");
    }
    // SIGKILL comes 0.7 s after the longest client timeout at the earliest.
    assert!(gateway.ended() && since.elapsed() < 2_200 * MS, "{:?}", since.elapsed());
}

/// New connections must not be closed with their first command unread: idle or silent ones are closed
/// instead.
#[test]
fn no_new_connection_is_closed_without_an_answer_where_descriptors_are_scarce() {
    let rig = Rig::new();
    let agent = rig.agent();
    let gateway = Gateway::with_sockets(PROGRAM, agent.address, 128);
    let resting: Vec<Client> = (0..10).map(|_| gateway.client()).collect();
    let asking = (0..12_u32).map(|n| {
        let address = gateway.address;
        std::thread::spawn(move || {
            let mut unanswered = 0;
            for id in 0..100 {
                // Others connect and stay silent.
                let silent = TcpStream::connect(address).expect("the kernel accepts");
                let mut stream = TcpStream::connect(address).expect("the kernel accepts");
                stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a bound");
                let query = message(b'Q', format!("{}\0", read(1_000 * (n + 1) + id)).as_bytes());
                let _ = stream.write_all(&[START, &query].concat());
                let mut client = Client { stream };
                let replies = [client.reply(), client.reply()];
                unanswered += u32::from(!matches!(replies, [Reply::Ready, Reply::Value(_)]));
                drop(silent);
            }
            unanswered
        })
    });
    let asking: Vec<_> = asking.collect();
    let unanswered: u32 = asking.into_iter().map(|thread| thread.join().expect("answers")).sum();
    assert!(unanswered <= 1_200 / 200, "{unanswered} of 1200");
    drop(resting);
}

/// As many processes as a small machine bears, started at once; the specification has ten times as many.
#[test]
fn thirty_processes_started_at_once_are_ready_in_time() {
    let rig = Rig::new();
    let agent = rig.agent();
    let known = list(40, true, &rig.entries("up"));
    let began = Instant::now();
    let gateways: Vec<Gateway> =
        (0..30).map(|_| Gateway::launch(PROGRAM, agent.address, 64, &known)).collect();
    for gateway in &gateways {
        gateway.wait_ready();
    }
    assert!(began.elapsed() < 30_000 * MS, "{:?}", began.elapsed());
}
