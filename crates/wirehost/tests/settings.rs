//! Effects of single settings in the simulator's format.

mod common;

use std::collections::BTreeSet;

use common::{MS, Wire, ZERO, conf, count, entry, forward, stand};
use serde_json::{Value as Json, json};

fn three(leader: &str) -> Vec<Json> {
    ["s0", "s1", "s2"].map(|server| entry(server, "SERVING", server == leader)).to_vec()
}

#[test]
fn a_time_to_come_back_is_named_only_where_clients_get_one() {
    // Whether clients get retry-after advice, the command group, and the advice in milliseconds.
    for (advised, class, expected) in
        [(true, "any", 200), (false, "any", 0), (true, "write", 200), (false, "write", 0)]
    {
        let conf = conf(&[("/limits/retry_after", json!(advised))]);
        // No member serves, so the command is throttled.
        let mut wire = Wire::begin(conf, &[entry("s0", "DRAINING", true)]);
        wire.arrival(class, "x");
        for _ in 0..150 {
            wire.pass(10);
        }
        let sheds: Vec<_> = wire.orders.iter().filter_map(|order| order.get("shed")).collect();
        assert_eq!(sheds.len(), 1, "{advised}, {class}");
        assert_eq!(sheds[0]["backoff"].as_u64().unwrap_or(0), expected * MS, "{advised}, {class}");
    }
}

#[test]
fn a_list_that_must_be_asked_for_is_asked_for_once_and_again_after_a_failure() {
    for (mode, asked) in [("on_request", 1), ("pushed", 0)] {
        let mut wire = Wire::begin(conf(&[("/registry_mode", json!(mode))]), &three("s0"));
        assert_eq!(count(&wire.orders, "subscribe"), asked, "{mode}: at the start");
        wire.list("all", &three("s0"));
        for _ in 0..600 {
            wire.pass(100);
        }
        assert_eq!(count(&wire.orders, "subscribe"), asked, "{mode}: while it holds");
    }
    // The watch broke and two requests fail: each is retried after a second, well before the list counts as notified.
    let mut wire = Wire::begin(conf(&[("/registry_mode", json!("on_request"))]), &three("s0"));
    wire.list("all", &three("s0"));
    for _ in 0..3 {
        let refused = json!({"members": {"i": 0, "how": "refused", "seq_no": 1, "page": 0}});
        let mut orders = wire.batch(&[refused]);
        (0..9).for_each(|_| orders.extend(wire.pass(100)));
        assert_eq!(count(&orders, "subscribe"), 0, "it was asked at once");
        let orders = [wire.pass(100), wire.pass(100)].concat();
        assert_eq!(count(&orders, "subscribe"), 1, "a second after it failed");
    }
    // Meanwhile the last known list is used, and members that drain get nothing.
    let (corr, server) = wire.sent("write", "x");
    assert_eq!(server, "s0");
    wire.resolved(corr, &server, "ok", stand(wire.now, true));
    wire.list("changes", &[entry("s0", "DRAINING", true)]);
    let (_, orders) = wire.arrival("write", "x");
    assert_ne!(forward(&orders).as_deref(), Some("s0"));
    // A new process has no watch of the previous one.
    wire.batch(&[json!({"halt": {"i": 0}})]);
    assert_eq!(count(&wire.start(&three("s0")), "subscribe"), 1);
}

/// One of many instances, so that its first commands wait for no probe.
fn one_of_many(changed: &[(&str, Json)], list: &[Json]) -> Wire {
    let mut conf = conf(changed);
    conf["balancers"] = json!(40);
    Wire::begin(conf, list)
}

/// One of three instances, with probe results of all members.
fn one_of_few(changed: &[(&str, Json)], list: &[Json]) -> Wire {
    let mut wire = Wire::begin(conf(changed), list);
    wire.warm();
    wire
}

#[test]
fn without_reports_nothing_waits_for_them_and_answers_tell_who_is_behind() {
    // How s1 ends unbounded reads, while its position stands still and soon is too old.
    for ending in ["ok", "error", "miss"] {
        let mut wire = one_of_many(&[], &three("s0"));
        let (corr, server) = wire.sent("write", "x");
        wire.resolved(corr, &server, "ok", stand(wire.now, true));
        // Immediately, though no probe has returned a report.
        let (mut corr, mut server) = wire.sent("any", "x");
        for _ in 0..40 {
            if server == "s1" {
                break;
            }
            wire.resolved(corr, &server, "ok", stand(wire.now, server == "s0"));
            (corr, server) = wire.sent("any", "x");
        }
        assert_eq!(server, "s1", "{ending}: it gets its part");
        let orders = wire.resolved(corr, "s1", ending, stand(90_000, false));
        if let Some(server) = forward(&orders) {
            wire.resolved(corr, &server, "ok", stand(wire.now, server == "s0"));
        }
        for _ in 0..40 {
            let (corr, server) = wire.sent("bounded", "x");
            assert_eq!(server, "s2", "{ending}: s1 was known to stand too far behind");
            wire.resolved(corr, &server, "ok", stand(wire.now, false));
        }
    }
}

#[test]
fn a_read_that_is_turned_away_untouched_goes_on_and_counts_against_nobody() {
    let list: Vec<Json> = (0..6).map(|n| entry(&format!("s{n}"), "SERVING", n == 0)).collect();
    // Bounded reads, and writes that no member accepts, so that all are tried up to the limit of the settings.
    let mut wire = one_of_many(&[], &list);
    for _ in 0..10 {
        let (corr, first) = wire.sent("any", "x");
        let mut servers = BTreeSet::from([first.clone()]);
        let mut server = first;
        for turn in 1..4 {
            let orders = wire.resolved(corr, &server, "miss", stand(wire.now - 10, server == "s0"));
            // Three failed attempts end a read; three rejections do not.
            server = forward(&orders).unwrap_or_else(|| panic!("not sent on after {turn}: {orders:?}"));
            assert!(servers.insert(server.clone()), "sent to {server} again");
        }
        wire.resolved(corr, &server, "ok", stand(wire.now, server == "s0"));
        wire.pass(10);
    }
    // Some forty were rejected, and every replica still gets reads.
    let mut seen = BTreeSet::new();
    for _ in 0..60 {
        let (corr, server) = wire.sent("any", "x");
        wire.resolved(corr, &server, "ok", stand(wire.now, server == "s0"));
        seen.insert(server);
    }
    assert!((1..6).all(|n| seen.contains(&format!("s{n}"))), "{seen:?}");
    assert_eq!((count(&wire.orders, "shed"), count(&wire.orders, "lose")), (0, 0));
}

#[test]
fn a_primary_that_no_list_shows_is_found_by_trying_one_member_after_the_other() {
    for second_copies in [true, false] {
        let changed =
            [("/domain/role_listed", json!("silent")), ("/limits/second_copies", json!(second_copies))];
        let mut wire = one_of_many(&changed, &three(""));
        // The primary is known only from answers.
        let (corr, mut server) = wire.sent("write", "x");
        let mut tried = BTreeSet::new();
        while server != "s2" {
            assert!(tried.insert(server.clone()), "{server} turned it away before");
            let orders = wire.resolved(corr, &server, "miss", stand(wire.now - 10, false));
            server = forward(&orders).expect("another member is tried at once");
            wire.pass(1);
        }
        wire.resolved(corr, "s2", "ok", stand(wire.now, true));
        for class in ["write", "fresh", "write"] {
            let (corr, server) = wire.sent(class, "x");
            assert_eq!(server, "s2", "{class}: its answer told that it leads");
            wire.resolved(corr, "s2", "ok", stand(wire.now, true));
        }
        // Empty lists and changed entries do not take members out.
        wire.list("all", &three(""));
        wire.list("changes", &[entry("s2", "SERVING", false)]);
        assert_eq!(wire.sent("write", "x").1, "s2");
    }
}

#[test]
fn a_primary_of_the_day_s_start_is_a_hint_that_answers_outlive() {
    let mut wire = one_of_many(
        &[("/domain/role_listed", json!("static")), ("/guarantees/gone_is_advice", json!(true))],
        &three("s0"),
    );
    let (corr, server) = wire.sent("write", "x");
    assert_eq!(server, "s0", "the list's primary is tried first");
    let orders = wire.resolved(corr, "s0", "miss", stand(wire.now - 10, false));
    let mut server = forward(&orders).expect("another one is tried at once");
    if server == "s2" {
        let orders = wire.resolved(corr, "s2", "miss", stand(wire.now - 10, false));
        server = forward(&orders).expect("another one is tried at once");
    }
    assert_eq!(server, "s1");
    wire.resolved(corr, "s1", "ok", stand(wire.now, true));
    // The repeated list entry, and the time without an answer, do not matter: it shows the state at the start.
    let lists = [
        ("all", three("s0")),
        ("changes", vec![entry("s0", "SERVING", true)]),
        ("changes", vec![entry("s0", "DELETED", true)]),
        ("changes", vec![entry("s0", "SERVING", true)]),
        ("all", vec![entry("s1", "SERVING", false)]),
        ("all", three("s0")),
    ];
    for (how, list) in lists {
        wire.now += 8_000;
        wire.list(how, &list);
        let (corr, server) = wire.sent("write", "x");
        assert_eq!(server, "s1", "after {how} {list:?}");
        wire.resolved(corr, "s1", "ok", stand(wire.now, true));
    }
}

#[test]
fn remembered_writes_bind_the_reads_of_their_session_that_went_through_here() {
    // Whether clients send their last write along, which session wrote, whether the instance was restarted since, and
    // whether s1, which is behind that write, is excluded for a read of session x. Servers do not check freshness here.
    for (marks, writer, died, barred) in [
        ("kept", "x", false, true),
        ("kept", "y", false, false),
        ("kept", "x", true, false),
        ("brought", "x", false, false),
    ] {
        let changed = [("/domain/guards", json!("silent")), ("/domain/write_marks", json!(marks))];
        let mut wire = one_of_few(&changed, &three("s0"));
        let before = wire.now;
        let (corr, server) = wire.sent("write", writer);
        wire.resolved(corr, &server, "ok", stand(wire.now, true));
        if died {
            wire.batch(&[json!({"halt": {"i": 0}})]);
            wire.start(&three("s0"));
            wire.warm();
        }
        let mut seen = BTreeSet::new();
        for _ in 0..40 {
            let (corr, server) = wire.sent("session", "x");
            let position = if server == "s0" { wire.now } else { before };
            wire.resolved(corr, &server, "ok", stand(position, server == "s0"));
            seen.insert(server);
        }
        assert_eq!(seen == BTreeSet::from(["s0".to_string()]), barred, "{marks}, {writer}, {died}: {seen:?}");
    }
}

#[test]
fn an_earlier_write_that_is_told_later_takes_nothing_back() {
    // A hedged write's answer reports an earlier commit after that of the session's next write.
    let changed = [("/domain/guards", json!("silent")), ("/domain/write_marks", json!("kept"))];
    let mut wire = one_of_few(&changed, &three("s0"));
    let begun = wire.now;
    let (first, _) = wire.sent("write", "x");
    wire.now += 40;
    let (second, _) = wire.sent("write", "x");
    wire.resolved(second, "s0", "ok", stand(begun + 50, true));
    // A replica reports that it has applied only the first.
    let (corr, server) = wire.sent("any", "y");
    wire.resolved(corr, &server, "ok", stand(begun + 30, server == "s0"));
    wire.resolved(first, "s0", "ok", stand(begun + 20, true));
    for _ in 0..10 {
        let (corr, server) = wire.sent("session", "x");
        assert_eq!(server, "s0", "no replica is known to have the second write");
        wire.resolved(corr, "s0", "ok", stand(wire.now, true));
    }
}

#[test]
fn what_a_cold_server_gets_follows_the_multiple_of_its_rule() {
    // Number of new instances with one read each, and how many send it to s1, which is cold.
    let sent = |multiple: f64| {
        let list =
            [entry("s0", "SERVING", true), entry("s1", "SERVING", false), entry("s2", "SERVING", false)];
        let of = |me: u64| {
            let changed = [("/guarantees/fall_multiple", json!(multiple)), ("/me", json!(me))];
            let mut wire = one_of_many(&changed, &list);
            let mut started = list[1].clone();
            started["since"] = json!(wire.now * MS);
            wire.list("changes", &[started]);
            wire.now += 100;
            let sent = (0..4).filter(|_| {
                let (_, orders) = wire.arrival("any", "x");
                wire.now += 100;
                forward(&orders).as_deref() == Some("s1")
            });
            sent.count()
        };
        (0..80).map(of).sum::<usize>()
    };
    let (two, four) = (sent(2.0), sent(4.0));
    assert!(two > 10, "it must warm: {two} of 320");
    // Twice the multiple gives twice the share, within random variation.
    assert!(four as f64 > 1.5 * two as f64 && (four as f64) < 2.6 * two as f64, "{two}, {four}");
}

#[test]
fn where_only_draining_binds_being_gone_or_left_out_does_not() {
    // Whether removal is advisory, the successive states of s1 in the list (empty: a whole list without it), and
    // whether reads still go there.
    for (advice, told, sent) in [
        (Some(true), &["DELETED"][..], true),
        (Some(true), &[""], true),
        (Some(true), &["DELETED", "", "SERVING"], true),
        (Some(true), &["DRAINING"], false),
        (Some(true), &["DRAINING", "DELETED"], false),
        (Some(true), &["DELETED", "DRAINING"], false),
        (Some(true), &["DRAINING", ""], false),
        (None, &["DELETED"], false),
        (None, &[""], false),
        (None, &["DRAINING"], false),
    ] {
        let changed: &[_] = &[("/guarantees/gone_is_advice", json!(advice))];
        let mut wire = one_of_many(if advice.is_some() { changed } else { &[] }, &three("s0"));
        for state in told {
            match *state {
                "" => wire.list("all", &[entry("s0", "SERVING", true), entry("s2", "SERVING", false)]),
                state => wire.list("changes", &[entry("s1", state, false)]),
            };
        }
        let mut seen = BTreeSet::new();
        for _ in 0..40 {
            let (corr, server) = wire.sent("any", "x");
            wire.resolved(corr, &server, "ok", stand(wire.now, server == "s0"));
            seen.insert(server);
        }
        assert_eq!(seen.contains("s1"), sent, "{advice:?}, {told:?}: {seen:?}");
    }
}

#[test]
fn a_command_is_never_out_twice_where_that_is_not_allowed() {
    for (allowed, class) in [(true, "any"), (false, "any"), (true, "write"), (false, "write")] {
        let mut wire = one_of_few(&[("/limits/second_copies", json!(allowed))], &three("s0"));
        wire.pass(10);
        // One answer is lost; later ones arrive.
        let (lost, at) = wire.sent(class, "x");
        let again = |orders: &[Json]| orders.iter().filter(|o| o["forward"]["corr"] == lost).count();
        let mut orders = Vec::new();
        for _ in 0..40 {
            orders.extend(wire.pass(10));
            if class == "write" {
                let (corr, more) = wire.arrival(class, "y");
                orders.extend(wire.resolved(
                    corr,
                    &forward(&more).expect("sent"),
                    "ok",
                    stand(wire.now, true),
                ));
            }
        }
        assert_eq!(again(&orders) > 0, allowed, "{class}, {allowed}");
        if !allowed && class == "any" {
            let recalls = orders.iter().filter(|o| o["recall"]["corr"] == lost);
            assert!(recalls.count() > 0, "the silent one is called off");
            let orders = wire.ended(lost, 0, &at, "cancelled", 0, Json::Null);
            assert_eq!(again(&orders), 1, "and sent again once that is told");
        }
    }
}

#[test]
fn messages_of_others_are_neither_needed_nor_harmful() {
    // With and without permission for hedges, the same commands go to the same servers; no hedge is sent.
    let run = |peers: bool| {
        let mut wire = one_of_many(&[("/limits/peers", json!(peers))], &three("s0"));
        for n in 0..20 {
            if peers {
                let body = ["", "hi 7", "\u{0}\u{7f}", "{"][n % 4];
                wire.batch(&[json!({"datagram": {"i": 0, "src": n, "body": body}})]);
            }
            let (corr, server) = wire.sent(["any", "write"][n % 2], "x");
            wire.resolved(corr, &server, "ok", stand(wire.now, server == "s0"));
        }
        assert_eq!(count(&wire.orders, "share"), 0);
        wire.orders
            .iter()
            .filter_map(|o| o["forward"]["server"].as_str().map(String::from))
            .collect::<Vec<_>>()
    };
    assert_eq!(run(true), run(false));
}

#[test]
fn a_late_report_of_a_former_primary_does_not_unsay_what_answers_told() {
    // Load reports may arrive seconds late. A primary's position is its current time, so it tells when it was primary.
    // Cases: whether servers check reads (where not, a fresh read at a replica is stale), the age of a report of s0 in
    // milliseconds, and whether s0 is then considered primary again. It rejected a write a second ago, which another
    // member accepted.
    for (guards, age, leads) in [
        ("bounce", 4_000, false),
        ("silent", 4_000, false),
        ("bounce", 1_100, false),
        ("silent", 1_100, false),
        ("bounce", 100, true),
        ("silent", 100, true),
    ] {
        let changed = [
            ("/domain/guards", json!(guards)),
            ("/telemetry/fields", json!(["x0", "x1"])),
            ("/telemetry/how", json!("piggyback")),
        ];
        let mut wire = one_of_few(&changed, &three("s0"));
        let (corr, server) = wire.sent("write", "x");
        assert_eq!(server, "s0");
        let orders = wire.resolved(corr, "s0", "miss", stand(wire.now, false));
        let new = forward(&orders).expect("another one is tried at once");
        wire.resolved(corr, &new, "ok", stand(wire.now, true));
        wire.now += 1_000;
        let x0 = (wire.now - age - ZERO) as f64 / 1e3;
        let pong = json!({"i": 0, "server": "s0", "reason": "ok", "duration": MS, "health_info": [x0, 1]});
        wire.batch(&[json!({"pong": pong})]);
        let expected = if leads { "s0" } else { &new };
        assert_eq!(wire.sent("fresh", "x").1, expected, "{guards}, {age}");
    }
}
