//! Writing to servers: an attempt is checked again before its bytes are written, and a server may end at any moment
//! of it. Servers record what they receive, so that no second attempt goes unnoticed.

use std::io::{Read, Write};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use tansyjunction_standin::scripted::*;
use tansyjunction_standin::{Client, Reply, message, row};

const PROGRAM: &str = env!("CARGO_BIN_EXE_tansyjunction");
const MS: Duration = Duration::from_millis(1);

/// A command group for each effect and need, one attempt at a time, and connections that may come up late.
fn settings(guards: &str, attempts: usize) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","aim":6000000000,"hard_limit":6000000000,"effect":"{effect}",
            "window":2000000000,"late_worth":0.5,"worth":1.0}}"#
        )
    };
    let classes = [("look", "pure"), ("once", "side_effect"), ("keyed", "token"), ("young", "pure")];
    let classes: Vec<String> = classes.iter().chain(&[("fresh", "pure")]).map(|(n, e)| class(n, e)).collect();
    format!(
        r#"{{"balancers":1,"me":0,"my_zone":"a","localities":["a"],"round":5000000,"categories":[{}],
        "domain":{{"needs_by_class":["eventual","mutate","mutate","lag_bound","strong"],
        "class_bound":[0,0,0,2000000000,0],"guards":"{guards}"}},
        "limits":{{"max_attempts":{attempts},"probes":false,"cancelling":false,"second_copies":false,
        "dial_timeout":4000000000,"conn_idle":15000000000}},
        "guarantees":{{"drain_grace":1000000000}},"telemetry":{{"fields":[],"how":"silent"}}}}"#,
        classes.join(",")
    )
}

/// A statement of a command group; `wait`: client timeout in milliseconds.
fn statement(class: &str, id: u32, wait: u32) -> String {
    let verb = match class {
        "once" | "keyed" => "INSERT INTO records (k, v) VALUES ('7f3a', '\\x9f03') RETURNING v",
        _ => "SELECT v FROM records WHERE k = '7f3a'",
    };
    format!("{verb} /* id={id},c={class},d={wait},k={id},cluster=2 */")
}

/// A write that does not fit into the buffers between the gateway and a narrow server.
fn long_write(id: u32) -> String {
    statement("once", id, 5_000).replace("9f03", &"9f".repeat(65_536))
}

fn value(text: &str) -> Reply {
    Reply::Value(text.as_bytes().to_vec())
}

fn failed() -> Reply {
    Reply::Error("58000".into(), None)
}

/// A server that accepts everything and identifies itself.
fn plain(primary: bool, name: &'static str) -> GatedServer {
    late(primary, name, usize::MAX)
}

/// The same, with this many connections that complete their startup at first.
fn late(primary: bool, name: &'static str, pass: usize) -> GatedServer {
    GatedServer::start(pass, move |met| {
        met.whole()?;
        met.answer(primary, name.as_bytes())?;
        Ok(true)
    })
}

/// Whether a client has unread data.
fn has_more(client: &Client) -> bool {
    client.stream.set_read_timeout(Some(MS)).expect("a bound");
    let more = client.stream.peek(&mut [0]).is_ok();
    client.stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a bound");
    more
}

/// Repeats until a server receives a command: then the list that routes it there was applied.
fn until_asked(what: &str, gateway: &Gateway, class: &str, server: &GatedServer) {
    let (mut client, mut id, before) = (gateway.client(), 1_000, server.asked().len());
    wait_until(what, || {
        id += 1;
        client.ask(&statement(class, id, 5_000));
        server.asked().len() > before
    });
}

/// Guards against a session that misses its own write, whose connection breaks behind the answer or tells no commit
/// for a while (incident 20).
#[test]
fn a_session_sees_its_write_whose_connection_breaks_or_stalls_behind_the_answer() {
    for breaks in [true, false] {
        let primary = GatedServer::start(usize::MAX, move |met| {
            let place = met.whole()?;
            if met.statement(place).starts_with("SELECT") {
                return met.answer(true, b"new").map(|()| true);
            }
            met.stream.write_all(&row(b"new"))?;
            std::thread::sleep(if breaks { 100 * MS } else { 2_000 * MS });
            resets(met.stream);
            Ok(false)
        });
        let replica = plain(false, "old");
        let entries = [entry("s1", primary.address, "up", true), entry("s2", replica.address, "up", false)];
        let (discovery, _changes) = discovery(list(1, true, &entries));
        let kept =
            settings("silent", 4).replace(r#""needs_by_class":["eventual""#, r#""needs_by_class":["causal""#);
        let kept = kept.replace(r#""guards":"silent""#, r#""guards":"silent","write_marks":"kept""#);
        let gateway = Gateway::with_settings(PROGRAM, discovery, &kept);
        let mut client = gateway.client();
        assert_eq!(client.ask(&statement("look", 1, 5_000)), value("old"), "breaks: {breaks}");
        assert_eq!(client.ask(&statement("once", 2, 5_000)), value("new"), "breaks: {breaks}");
        std::thread::sleep(300 * MS);
        assert_eq!(client.ask(&statement("look", 3, 5_000)), value("new"), "breaks: {breaks}");
    }
}

/// Guards against a session that misses its own write since so many others came that it was forgotten (incident 25).
#[test]
fn a_session_forgotten_among_many_others_sees_its_write() {
    /// More than a gateway with the least memory remembers, which is a session for each 2 KiB.
    const OTHERS: u32 = 9_000;
    const AFTER_THE_WRITE: Duration = Duration::from_millis(5_500);
    let primary = plain(true, "new");
    // The replica says truly how far it is: nowhere near the write.
    let replica = GatedServer::start(usize::MAX, |met| {
        met.whole()?;
        let stated = [message(b'S', b"recovery\0on\0"), message(b'S', b"lsn_ms\x001767225600000\0")].concat();
        met.stream.write_all(&[row(b"old"), stated, message(b'Z', b"I")].concat()).map(|()| true)
    });
    let entries = [entry("s1", primary.address, "up", true), entry("s2", replica.address, "up", false)];
    let (discovery, _changes) = discovery(list(1, true, &entries));
    let kept = settings("silent", 4)
        .replace(r#""needs_by_class":["eventual""#, r#""needs_by_class":["causal""#)
        .replace(r#""guards":"silent""#, r#""answers_stamped":true,"guards":"silent","write_marks":"kept""#);
    let gateway = Gateway::launch_as(PROGRAM, discovery, 256, None, |usual| {
        usual.replace(SETTINGS, &kept).replace(r#""sockets":256"#, r#""sockets":256,"memory_mb":16"#)
    });
    gateway.wait_ready();
    let mut client = gateway.client();
    assert_eq!(client.ask(&statement("once", 1, 5_000)), value("new"));
    for id in 2..OTHERS {
        let other = statement("look", id, 5_000).replace("7f3a", &format!("other{id}"));
        assert!(matches!(client.ask(&other), Reply::Value(_)), "{id}");
    }
    // Also once the time of the write's client is over.
    for (id, pause) in [(OTHERS, Duration::ZERO), (OTHERS + 1, AFTER_THE_WRITE)] {
        std::thread::sleep(pause);
        assert_eq!(client.ask(&statement("look", id, 5_000)), value("new"));
    }
}

/// A command that waits for its connection while its server is listed as draining or gone goes elsewhere, without
/// using up an attempt: only one is allowed here.
#[test]
fn a_server_that_drains_gets_nothing_that_waited_for_its_connection() {
    for health in ["draining", "removed"] {
        let (primary, leaving) = (plain(true, "primary"), late(false, "leaving", 0));
        let other = plain(false, "other");
        let entries = [entry("s1", primary.address, "up", true), entry("s2", leaving.address, "up", false)];
        let (discovery, changes) = discovery(list(1, true, &entries));
        let gateway = Gateway::with_settings(PROGRAM, discovery, &settings("await", 1));
        let mut client = gateway.client();
        client.send(&statement("look", 1, 5_000));
        wait_until("a connection that waits", || leaving.came() == 1);
        let change = [entry("s2", leaving.address, health, false), entry("s3", other.address, "up", false)];
        changes.send(list(2, false, &change)).expect("a watch");
        until_asked("the list", &gateway, "look", &other);
        leaving.pass(usize::MAX);
        assert!(matches!(client.reply(), Reply::Value(_)), "{health}");
        wait_until("the end of what waited", || {
            leaving.ended() >= leaving.came() || !leaving.asked().is_empty()
        });
        assert_eq!(leaving.asked(), [""; 0], "{health}");
    }
}

/// A command that waits for a connection to a process that is gone is placed again: at the server's new address, or
/// at the new process, which may not qualify for it.
#[test]
fn what_waits_for_a_process_that_is_no_more_is_placed_anew() {
    for moved in [true, false] {
        let (before, now) = (late(true, "before", 0), plain(true, "now"));
        let (replica, other) = (plain(false, "replica"), plain(false, "other"));
        let entries = [entry("s1", before.address, "up", true), entry("s2", replica.address, "up", false)];
        let (discovery, changes) = discovery(list(1, true, &entries));
        let gateway = Gateway::with_settings(PROGRAM, discovery, &settings("await", 4));
        let mut client = gateway.client();
        client.send(&statement("once", 1, 5_000));
        wait_until("a connection that waits", || before.came() == 1);
        let own = entry("s1", if moved { now.address } else { before.address }, "up", true);
        let own = if moved { own } else { own.replace(r#""born_ms":0"#, r#""born_ms":1767225600000"#) };
        changes.send(list(2, false, &[own, entry("s3", other.address, "up", false)])).expect("a watch");
        until_asked("the list", &gateway, "look", &other);
        if !moved {
            wait_until("another connection", || before.came() == 2);
            before.pass(usize::MAX);
        }
        assert_eq!(client.reply(), value(if moved { "now" } else { "before" }), "moved: {moved}");
        let asked = [before.asked(), now.asked()].concat();
        assert_eq!(asked.iter().filter(|asked| asked.contains("id=1,")).count(), 1, "moved: {moved}");
    }
}

/// A command that is placed again must not be written to an old connection of another process that is gone, which
/// closes right after and would count it as never sent.
#[test]
fn what_is_placed_anew_as_several_servers_restart_is_written_once() {
    let (held, free) = (late(false, "held", 0), plain(false, "free"));
    let primary = plain(true, "primary");
    let listed = |version, whole, born: &str| {
        let entries = [
            entry("s1", held.address, "up", false).replace(r#""born_ms":0"#, born),
            entry("s2", free.address, "up", false).replace(r#""born_ms":0"#, born),
            entry("s3", primary.address, "up", true),
        ];
        list(version, whole, &entries)
    };
    let (discovery, changes) = discovery(listed(1, true, r#""born_ms":0"#));
    let gateway = Gateway::with_settings(PROGRAM, discovery, &settings("await", 4));
    let mut clients: Vec<Client> = (0..16).map(|_| gateway.client()).collect();
    for (id, client) in clients.iter_mut().enumerate() {
        client.send(&statement("look", id as u32 + 1, 5_000));
        wait_until("the read at a server", || held.came() + free.asked().len() == id + 1);
    }
    assert!(held.came() > 1 && free.came() > 0, "{} wait, {} were served", held.came(), free.asked().len());
    changes.send(listed(2, false, r#""born_ms":1767225600000"#)).expect("a watch");
    wait_until("another connection", || free.asked().len() + held.came() > 16);
    held.pass(usize::MAX);
    for client in &mut clients {
        assert!(matches!(client.reply(), Reply::Value(_)));
    }
    let asked = [held.asked(), free.asked(), primary.asked()].concat();
    for id in 1..=16 {
        let count = asked.iter().filter(|asked| asked.contains(&format!("id={id},"))).count();
        assert_eq!(count, 1, "of {id}");
    }
}

/// A command that reached a server before it was listed as draining or gone is completed there.
#[test]
fn an_answer_of_a_server_that_leaves_still_counts() {
    for health in ["draining", "removed"] {
        let (go, goes) = mpsc::channel::<()>();
        let goes = std::sync::Mutex::new(goes);
        let leaving = GatedServer::start(usize::MAX, move |met| {
            met.whole()?;
            let _ = goes.lock().expect("one at a time").recv_timeout(WAIT_TIMEOUT);
            met.answer(true, b"leaving")?;
            Ok(true)
        });
        let (replica, other) = (plain(false, "replica"), plain(false, "other"));
        let entries = [entry("s1", leaving.address, "up", true), entry("s2", replica.address, "up", false)];
        let (discovery, changes) = discovery(list(1, true, &entries));
        let gateway = Gateway::with_settings(PROGRAM, discovery, &settings("await", 4));
        let mut client = gateway.client();
        client.send(&statement("once", 1, 5_000));
        wait_until("the write at its server", || leaving.asked().len() == 1);
        let change = [entry("s1", leaving.address, health, false), entry("s3", other.address, "up", false)];
        changes.send(list(2, false, &change)).expect("a watch");
        until_asked("the list", &gateway, "look", &other);
        go.send(()).expect("it waits");
        assert_eq!(client.reply(), value("leaving"), "{health}");
        assert_eq!(leaving.asked().len(), 1, "{health}");
    }
}

/// A server that vanished accepts no more connections: nothing counts as sent, the client is told in time that a
/// retry is harmless, and the server gets nothing after its return.
#[test]
fn a_server_that_vanished_gets_nothing_when_it_is_back() {
    let primary = late(true, "late", 0);
    let (discovery, _changes) = discovery(list(1, true, &[entry("s1", primary.address, "up", true)]));
    let settings = settings("await", 4).replace("\"dial_timeout\":4000000000", "\"dial_timeout\":300000000");
    let gateway = Gateway::with_settings(PROGRAM, discovery, &settings);
    let mut client = gateway.client();
    assert!(client.ask(&statement("once", 1, 1_200)).throttled());
    assert!(primary.came() >= 2);
    primary.pass(usize::MAX);
    wait_until("the end of all that came", || primary.ended() >= primary.came());
    assert_eq!(primary.asked(), [""; 0]);
}

/// A repeat whose window ended while its connection came up is not written; one in time is.
#[test]
fn a_repeat_that_waited_for_its_connection_beyond_its_window_is_not_written() {
    for (window, pause, reply, reached) in
        [(5_000, Duration::ZERO, value("second"), 2), (500, 700 * MS, failed(), 1)]
    {
        let settings = settings("await", 4).replace("window\":2000", &format!("window\":{window}"));
        let primary = GatedServer::start(1, |met| {
            let first = met.whole()? == 0;
            if !first {
                met.answer(true, b"second")?;
            }
            Ok(!first)
        });
        let (discovery, _changes) = discovery(list(1, true, &[entry("s1", primary.address, "up", true)]));
        let gateway = Gateway::with_settings(PROGRAM, discovery, &settings);
        let mut client = gateway.client();
        client.send(&statement("keyed", 1, 5_000));
        // On a paused machine the window may be over before.
        wait_until("the connection for the repeat", || primary.came() == 2 || has_more(&client));
        std::thread::sleep(pause);
        primary.pass(usize::MAX);
        assert_eq!((client.reply(), primary.asked().len()), (reply, reached), "{pause:?}");
    }
}

/// Where servers do not check freshness, the age of data counts when the read is written, not when it was placed.
#[test]
fn a_read_that_waited_until_its_data_was_too_old_goes_elsewhere() {
    let primary = plain(true, "primary");
    let replica = GatedServer::start(1, |met| {
        met.whole()?;
        met.answer(false, b"replica")?;
        Ok(false)
    });
    let entries = [entry("s1", primary.address, "up", true), entry("s2", replica.address, "up", false)];
    let (discovery, _changes) = discovery(list(1, true, &entries));
    let gateway = Gateway::with_settings(PROGRAM, discovery, &settings("silent", 4));
    let mut client = gateway.client();
    let mut id = 0;
    // If the machine is paused until the data is too old, the read goes to the primary at once: then once more.
    wait_until("a read that waits for its connection to the replica", || {
        id += 2;
        // The answer shows the replica's position.
        replica.pass(replica.came() + 1);
        assert_eq!(client.ask(&statement("look", id - 1, 5_000)), value("replica"));
        wait_until("the end of its connection", || replica.ended() == replica.came());
        let before = replica.came();
        client.send(&statement("young", id, 5_000));
        wait_until("another connection, or an answer", || replica.came() > before || has_more(&client));
        let waits = replica.came() > before;
        assert!(waits || client.reply() == value("primary"));
        waits
    });
    std::thread::sleep(2_200 * MS);
    replica.pass(usize::MAX);
    assert_eq!(client.reply(), value("primary"));
    assert!(!replica.asked().iter().any(|asked| asked.contains("c=young")), "{:?}", replica.asked());
}

/// A fresh read is not written to a server that is no longer primary, if that would answer with the data it has.
#[test]
fn a_fresh_read_that_waited_is_not_written_to_a_primary_of_before() {
    let (before, now) = (late(false, "before", 0), plain(true, "now"));
    let list_of = |version, first| {
        let entries = [entry("s1", before.address, "up", first), entry("s2", now.address, "up", !first)];
        list(version, version == 1, &entries)
    };
    let (discovery, changes) = discovery(list_of(1, true));
    let gateway = Gateway::with_settings(PROGRAM, discovery, &settings("silent", 4));
    let mut client = gateway.client();
    client.send(&statement("fresh", 1, 5_000));
    wait_until("a connection that waits", || before.came() == 1);
    changes.send(list_of(2, false)).expect("a watch");
    until_asked("the list", &gateway, "fresh", &now);
    before.pass(usize::MAX);
    assert_eq!(client.reply(), value("now"));
    assert_eq!(before.asked(), [""; 0]);
}

/// The server is told the time left to its client when the statement is written, and gets nothing if none is left.
#[test]
fn a_server_is_told_the_time_that_is_left_when_its_statement_is_written() {
    let primary = late(true, "late", 0);
    let (discovery, _changes) = discovery(list(1, true, &[entry("s1", primary.address, "up", true)]));
    let gateway = Gateway::with_settings(PROGRAM, discovery, &settings("await", 4));
    let (mut client, mut short) = (gateway.client(), gateway.client());
    client.send(&statement("once", 1, 5_000));
    short.send(&statement("once", 2, 300));
    wait_until("connections that wait", || primary.came() == 2);
    let began = Instant::now();
    assert!(short.reply().throttled());
    let waited = began.elapsed();
    primary.pass(usize::MAX);
    assert_eq!(client.reply(), value("late"));
    let asked = primary.asked();
    let told = asked[0].split(",d=").nth(1).and_then(|rest| rest.split(',').next());
    let told: u128 = told.expect("a wait").parse().expect("a number");
    assert!(told <= 5_000 - waited.as_millis(), "{told} ms after {waited:?}");
    assert_eq!(asked.len(), 1, "{asked:?}");
}

/// A half-written statement is not continued once its server drains: the server must not get the rest.
#[test]
fn a_statement_half_written_to_a_server_that_drains_is_not_finished() {
    let (began, begun) = mpsc::channel();
    let (go, goes) = mpsc::channel::<()>();
    let goes = std::sync::Mutex::new(goes);
    let leaving = GatedServer::narrow(move |met| {
        let _ = began.send(());
        let _ = goes.lock().expect("one at a time").recv_timeout(WAIT_TIMEOUT);
        met.whole()?;
        met.answer(true, b"leaving")?;
        Ok(true)
    });
    let (next, other) = (plain(true, "next"), plain(false, "other"));
    let entries = [entry("s1", leaving.address, "up", true), entry("s2", next.address, "up", false)];
    let (discovery, changes) = discovery(list(1, true, &entries));
    let gateway = Gateway::with_settings(PROGRAM, discovery, &settings("await", 1));
    let mut client = gateway.client();
    client.send(&long_write(1));
    begun.recv_timeout(WAIT_TIMEOUT).expect("a statement begins to come");
    let change = [
        entry("s1", leaving.address, "draining", false),
        entry("s2", next.address, "up", true),
        entry("s3", other.address, "up", false),
    ];
    changes.send(list(2, false, &change)).expect("a watch");
    until_asked("the list", &gateway, "look", &other);
    go.send(()).expect("it waits");
    assert_eq!(client.reply(), value("next"));
    wait_until("the end of what was begun", || leaving.ended() == 1);
    assert_eq!(leaving.asked(), [""; 0]);
}

/// The same if the window of a repeat ends meanwhile, which only the write itself can notice.
#[test]
fn a_repeat_half_written_as_its_window_ends_is_not_finished() {
    let (began, begun) = mpsc::channel();
    let (go, goes) = mpsc::channel::<()>();
    let goes = std::sync::Mutex::new(goes);
    let count = AtomicBool::new(false);
    let primary = GatedServer::narrow(move |met| {
        if !count.swap(true, Ordering::SeqCst) {
            met.whole()?;
            return Ok(false);
        }
        let _ = began.send(());
        let _ = goes.lock().expect("one at a time").recv_timeout(WAIT_TIMEOUT);
        met.whole()?;
        met.answer(true, b"late")?;
        Ok(true)
    });
    let (discovery, _changes) = discovery(list(1, true, &[entry("s1", primary.address, "up", true)]));
    let gateway = Gateway::with_settings(PROGRAM, discovery, &settings("await", 4));
    let mut client = gateway.client();
    client.send(&long_write(1).replace("c=once", "c=keyed"));
    begun.recv_timeout(WAIT_TIMEOUT).expect("the repeat begins to come");
    std::thread::sleep(2_200 * MS);
    go.send(()).expect("it waits");
    assert_eq!(client.reply(), failed());
    wait_until("the end of the repeat", || primary.ended() == 2);
    assert_eq!(primary.asked().len(), 1);
}

/// A server may reject a statement before it has received all of it. The rest must not reach it on the idle
/// connection while the command is placed again.
#[test]
fn what_was_turned_away_half_written_is_not_finished_later() {
    let (go, goes) = mpsc::channel::<()>();
    let goes = std::sync::Mutex::new(goes);
    let turned_away = AtomicBool::new(false);
    let primary = GatedServer::narrow(move |met| {
        if !turned_away.swap(true, Ordering::SeqCst) {
            let error = message(b'E', b"SERROR\0C53300\0Mno\0\0");
            met.stream.write_all(&[error, message(b'Z', b"I")].concat())?;
            let _ = goes.lock().expect("one at a time").recv_timeout(WAIT_TIMEOUT);
        }
        met.whole()?;
        met.answer(true, b"again")?;
        Ok(true)
    });
    let (discovery, _changes) = discovery(list(1, true, &[entry("s1", primary.address, "up", true)]));
    let gateway = Gateway::with_settings(PROGRAM, discovery, &settings("await", 4));
    let mut client = gateway.client();
    client.send(&long_write(1));
    // It is sent again on another connection.
    wait_until("the write that was sent again", || primary.asked().len() == 1);
    assert_eq!(client.reply(), value("again"));
    go.send(()).expect("it waits");
    wait_until("the end of what was turned away", || primary.ended() == 1);
    assert_eq!(primary.asked().len(), 1);
}

/// A connection that ends right after its startup has accepted no statement: a command that may not be repeated is
/// sent on another one.
#[test]
fn a_connection_that_ends_behind_its_startup_takes_no_statement() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (came, comes) = mpsc::channel();
    let (go, goes) = mpsc::channel::<()>();
    let (over, done) = mpsc::channel();
    std::thread::spawn(move || {
        let welcome = [message(b'R', &[0; 4]), message(b'Z', b"I")].concat();
        for (place, mut stream) in listener.incoming().flatten().enumerate() {
            let mut bytes = [0; 1_024];
            let _ = stream.read(&mut bytes);
            if place == 0 {
                let _ = came.send(());
                let _ = goes.recv_timeout(WAIT_TIMEOUT);
                let _ = stream.write_all(&welcome);
                let _ = stream.shutdown(std::net::Shutdown::Write);
                let _ = over.send(());
                // Nothing but its end may arrive on it.
                assert_eq!(stream.read(&mut bytes).unwrap_or(0), 0);
                continue;
            }
            let _ = stream.write_all(&welcome);
            while stream.read(&mut bytes).is_ok_and(|count| count > 0) {
                let _ = stream.write_all(&[row(b"another"), message(b'Z', b"I")].concat());
            }
        }
    });
    let (discovery, _changes) = discovery(list(1, true, &[entry("s1", address, "up", true)]));
    let gateway = Gateway::with_settings(PROGRAM, discovery, &settings("await", 4));
    let mut client = gateway.client();
    client.send(&statement("once", 1, 5_000));
    comes.recv_timeout(WAIT_TIMEOUT).expect("a connection");
    // Once it continues, both are there at once.
    gateway.pause();
    go.send(()).expect("it waits");
    done.recv_timeout(WAIT_TIMEOUT).expect("it has ended");
    gateway.signal("CONT");
    assert_eq!(client.reply(), value("another"));
}

/// A server that executes `bad` with the next statement if requested, and closes the connection; counts the statements
/// begun.
struct AtTimes {
    server: GatedServer,
    wanted: Arc<AtomicBool>,
    begun: Arc<AtomicUsize>,
}

impl AtTimes {
    fn start(
        primary: bool,
        bad: impl Fn(&mut Arriving, usize) -> std::io::Result<()> + Send + Sync + 'static,
    ) -> Self {
        let (wanted, begun) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let (asked, counted, turn) = (wanted.clone(), begun.clone(), AtomicUsize::new(0));
        let server = GatedServer::start(usize::MAX, move |met| {
            counted.fetch_add(1, Ordering::SeqCst);
            if asked.swap(false, Ordering::SeqCst) {
                bad(met, turn.fetch_add(1, Ordering::SeqCst))?;
                return Ok(false);
            }
            met.whole()?;
            met.answer(primary, b"good")?;
            Ok(true)
        });
        AtTimes { server, wanted, begun }
    }

    /// Three good statements of a command group, so that the server stays healthy, then the bad one: its answer, and
    /// the number of statements it took.
    fn after_good_ones(&self, client: &mut Client, class: &str, id: u32) -> (Reply, usize) {
        for n in 1..4 {
            assert_eq!(client.ask(&statement(class, id + n, 5_000)), value("good"), "{class} {id}");
        }
        let before = self.begun.load(Ordering::SeqCst);
        self.wanted.store(true, Ordering::SeqCst);
        let reply = client.ask(&statement(class, id, 5_000));
        (reply, self.begun.load(Ordering::SeqCst) - before)
    }
}

/// A server resets the connection at each byte of a completely written statement, and after it at once or later: a
/// command that may not be repeated gets one attempt and fails; one that its key allows gets another.
#[test]
fn a_reset_at_any_byte_of_an_attempt_brings_no_second_one_that_may_not_be() {
    for (class, reply, attempts) in [("once", failed(), 1), ("keyed", value("good"), 2)] {
        let length = statement(class, 1_000, 5_000).len() + 6;
        let times = AtTimes::start(true, move |met, turn| {
            // Its first byte has arrived, so all of it was written: it is in one segment.
            met.stream.read_exact(&mut vec![0; turn.min(length)])?;
            if turn > length {
                std::thread::sleep(300 * MS);
            }
            resets(met.stream);
            Ok(())
        });
        let entries = [entry("s1", times.server.address, "up", true)];
        let (discovery, _changes) = discovery(list(1, true, &entries));
        let gateway = Gateway::with_settings(PROGRAM, discovery, &settings("await", 4));
        let mut client = gateway.client();
        for turn in 0..length + 2 {
            let id = 1_000 + 4 * turn as u32;
            let found = times.after_good_ones(&mut client, class, id);
            assert_eq!(found, (reply.clone(), attempts), "{class} at byte {turn}");
        }
    }
}

/// A server ends in the middle of its answer, at each byte, or hangs there: no part of it is forwarded, and a command
/// that may not be repeated is not. A complete answer counts, whatever happens to the connection.
#[test]
fn an_answer_that_is_cut_anywhere_is_no_answer() {
    let whole = row(b"cut");
    let length = whole.len();
    for (class, cut) in [("once", failed()), ("look", value("other"))] {
        let parts = whole.clone();
        let times = AtTimes::start(class == "once", move |met, turn| {
            met.whole()?;
            met.stream.write_all(&parts[..turn])
        });
        let other = plain(true, "other");
        let own = entry("s1", times.server.address, "up", class == "once");
        let mut entries = vec![own];
        if class == "look" {
            entries.push(entry("s2", other.address, "up", true));
        }
        let (discovery, _changes) = discovery(list(1, true, &entries));
        let gateway = Gateway::with_settings(PROGRAM, discovery, &settings("await", 4));
        let mut client = gateway.client();
        for turn in 0..length + 1 {
            let found = times.after_good_ones(&mut client, class, 1_000 + 4 * turn as u32);
            let reply = if turn < length { cut.clone() } else { value("cut") };
            assert_eq!(found, (reply, 1), "{class} at byte {turn}");
        }
    }
    // It hangs there: the client is answered in time, and later data is not forwarded.
    let (half, rest) = (whole[..length / 2].to_vec(), whole[length / 2..].to_vec());
    let (go, goes) = mpsc::channel::<()>();
    let goes = std::sync::Mutex::new(goes);
    let server = GatedServer::start(usize::MAX, move |met| {
        met.whole()?;
        met.stream.write_all(&half)?;
        let _ = goes.lock().expect("one at a time").recv_timeout(WAIT_TIMEOUT);
        met.stream.write_all(&[rest.clone(), message(b'Z', b"I")].concat())?;
        Ok(true)
    });
    let (discovery, _changes) = discovery(list(1, true, &[entry("s1", server.address, "up", true)]));
    let gateway = Gateway::with_settings(PROGRAM, discovery, &settings("await", 4));
    let mut client = gateway.client();
    assert_eq!(client.ask(&statement("once", 1, 400)), failed());
    go.send(()).expect("it waits");
    wait_until("the end of its connection", || server.ended() == 1);
    assert_eq!(client.ask(""), Reply::Empty);
    assert_eq!(server.asked().len(), 1);
}

/// An answer that arrived while the process was paused takes precedence over the time-out that became due meanwhile.
#[test]
fn an_answer_in_the_turn_of_its_time_out_counts() {
    let (go, goes) = mpsc::channel::<()>();
    let (said, says) = mpsc::channel();
    let goes = std::sync::Mutex::new(goes);
    let server = GatedServer::start(usize::MAX, move |met| {
        met.whole()?;
        let _ = goes.lock().expect("one at a time").recv_timeout(WAIT_TIMEOUT);
        met.answer(true, b"in time")?;
        let _ = said.send(());
        Ok(true)
    });
    let (discovery, _changes) = discovery(list(1, true, &[entry("s1", server.address, "up", true)]));
    let gateway = Gateway::with_settings(PROGRAM, discovery, &settings("await", 4));
    let mut client = gateway.client();
    let began = Instant::now();
    client.send(&statement("once", 1, 2_000));
    wait_until("the write at the server", || server.asked().len() == 1);
    gateway.pause();
    go.send(()).expect("it waits");
    says.recv_timeout(WAIT_TIMEOUT).expect("it has answered");
    std::thread::sleep((2_200 * MS).saturating_sub(began.elapsed()));
    gateway.signal("CONT");
    assert_eq!(client.reply(), value("in time"));
    assert_eq!(server.asked().len(), 1);
}

/// A server closes an idle connection when the next statement comes: its end is noticed before the first byte, and the
/// statement goes out on another connection.
#[test]
fn the_end_of_an_idle_connection_that_crosses_its_reuse_costs_nothing() {
    let (go, goes) = mpsc::channel::<()>();
    let goes = std::sync::Mutex::new(goes);
    let server = GatedServer::start(usize::MAX, move |met| {
        let first = met.whole()? == 0;
        met.answer(true, b"well")?;
        if first {
            let _ = goes.lock().expect("one at a time").recv_timeout(WAIT_TIMEOUT);
        }
        Ok(!first)
    });
    let (discovery, _changes) = discovery(list(1, true, &[entry("s1", server.address, "up", true)]));
    let gateway = Gateway::with_settings(PROGRAM, discovery, &settings("await", 4));
    let mut client = gateway.client();
    assert_eq!(client.ask(&statement("once", 1, 5_000)), value("well"));
    gateway.pause();
    client.send(&statement("once", 2, 5_000));
    go.send(()).expect("it waits");
    wait_until("the end of the idle connection", || server.ended() == 1);
    gateway.signal("CONT");
    assert_eq!(client.reply(), value("well"));
    assert_eq!([server.asked().len(), server.came()], [2, 2]);
}

/// The same if the end is behind another event of the same turn, by which the idle connection gets its statement:
/// only a check of the connection right before the first byte notices it.
#[test]
fn the_end_of_an_idle_connection_is_seen_before_the_first_byte() {
    let (turn, turns) = mpsc::channel::<()>();
    let (end, ends) = mpsc::channel::<()>();
    let (turned, away) = mpsc::channel();
    let (turns, ends) = (std::sync::Mutex::new(turns), std::sync::Mutex::new(ends));
    let server = GatedServer::start(usize::MAX, move |met| match met.whole()? {
        0 => {
            let _ = turns.lock().expect("one at a time").recv_timeout(WAIT_TIMEOUT);
            let error = message(b'E', b"SERROR\0C53300\0Mno\0\0");
            met.stream.write_all(&[error, message(b'Z', b"I")].concat())?;
            let _ = turned.send(());
            Ok(true)
        }
        1 => {
            met.answer(true, b"well")?;
            let _ = ends.lock().expect("one at a time").recv_timeout(WAIT_TIMEOUT);
            Ok(false)
        }
        _ => met.answer(true, b"again").map(|()| true),
    });
    let (discovery, _changes) = discovery(list(1, true, &[entry("s1", server.address, "up", true)]));
    let gateway = Gateway::with_settings(PROGRAM, discovery, &settings("await", 4));
    let (mut first, mut second) = (gateway.client(), gateway.client());
    first.send(&statement("once", 1, 5_000));
    wait_until("the first write", || server.asked().len() == 1);
    assert_eq!(second.ask(&statement("once", 2, 5_000)), value("well"));
    gateway.pause();
    turn.send(()).expect("it waits");
    away.recv_timeout(WAIT_TIMEOUT).expect("it was turned away");
    end.send(()).expect("it waits");
    wait_until("the end of the idle connection", || server.ended() == 1);
    gateway.signal("CONT");
    assert_eq!(first.reply(), value("again"));
    assert_eq!([server.asked().len(), server.came()], [3, 3]);
}

/// A client leaves and another one reuses its `id` for a read while the first attempt is in flight: each answer belongs to
/// its own attempt. Writes: `a_write_that_may_have_run_does_not_run_again_under_its_id`.
#[test]
fn an_id_that_is_taken_again_gets_its_own_answer() {
    let (go, goes) = mpsc::channel::<()>();
    let goes = std::sync::Mutex::new(goes);
    let server = GatedServer::start(usize::MAX, move |met| {
        let first = met.whole()? == 0;
        if first {
            let _ = goes.lock().expect("one at a time").recv_timeout(WAIT_TIMEOUT);
        }
        met.answer(true, if first { b"the first's" } else { b"the second's" })?;
        Ok(true)
    });
    let (discovery, _changes) = discovery(list(1, true, &[entry("s1", server.address, "up", true)]));
    let gateway = Gateway::with_settings(PROGRAM, discovery, &settings("await", 4));
    let mut leaving = gateway.client();
    leaving.send(&statement("look", 1, 5_000));
    wait_until("the first one's read", || server.asked().len() == 1);
    drop(leaving);
    let mut client = gateway.client();
    let mut reply = client.ask(&statement("look", 1, 5_000));
    // Until its end was noticed the id belongs to the first one.
    wait_until("the first one's end", || {
        if reply == Reply::Error("42601".into(), None) {
            reply = client.ask(&statement("look", 1, 5_000));
        }
        matches!(reply, Reply::Value(_))
    });
    assert_eq!(reply, value("the second's"));
    go.send(()).expect("it waits");
    assert_eq!(client.ask(&statement("once", 2, 5_000)), value("the second's"));
    assert_eq!(server.asked().len(), 3);
}
