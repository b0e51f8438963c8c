//! Table-driven tests of the router: the rules, the steps of the design, and every failure found so far.

mod common;

use common::{GROUP, Store, conf};
use tansyjunction::Router;
use tansyjunction::interface::*;

const MS: Micros = 1_000;
const ANY: usize = 0;
const BOUNDED: usize = 1;
const SESSION: usize = 2;
const FRESH: usize = 3;
const MUTATING: usize = 4;
const KEYED: usize = 5;

#[test]
fn writes_and_fresh_reads_go_to_the_primary_and_reads_to_replicas() {
    for (command_group, expected) in [
        (ANY, &[1, 2][..]),
        (BOUNDED, &[1, 2]),
        (SESSION, &[1, 2]),
        (FRESH, &[0]),
        (MUTATING, &[0]),
        (KEYED, &[0]),
    ] {
        let mut store = Store::calm(&[]);
        for _ in 0..20 {
            let mut held = store.command(command_group);
            let server = store.sent(&mut held);
            assert!(expected.contains(&server), "command group {command_group} went to {server}");
            store.end(&mut held, DispatchEnd::Answered, 20 * MS);
        }
    }
}

#[test]
fn own_zone_comes_first_and_is_left_only_when_nobody_there_qualifies() {
    // Members 1 and 2 are in the own zone, 3 in another.
    for (stale, expected) in [(&[][..], &[1, 2][..]), (&[1], &[2]), (&[1, 2], &[3])] {
        let behind = [0, 1, 2, 3].map(|server| if stale.contains(&server) { 2_000 * MS } else { 0 });
        let mut store = Store::behind(&[], &behind, 3);
        for _ in 0..12 {
            let mut held = store.command(BOUNDED);
            let server = store.sent(&mut held);
            assert!(expected.contains(&server), "stale {stale:?}: went to {server}");
            store.end(&mut held, DispatchEnd::Answered, 20 * MS);
        }
    }
}

#[test]
fn the_pick_is_random_inside_the_latency_window_and_never_outside() {
    let mut store = Store::calm(&[]);
    store.list(&[(0, 0, true), (1, 0, false), (2, 0, false), (3, 0, false)]);
    for (server, ping) in [(0, 1), (1, 1), (2, 10), (3, 400)] {
        store.probe(server, ping * MS, server == 0, 0);
    }
    let seen = store.answered(ANY, 60, 20 * MS);
    assert!(seen[1] > 10 && seen[2] > 10 && seen[0] == 0 && seen[3] == 0, "{seen:?}");
}

#[test]
fn sessions_stay_until_a_reason_to_let_go() {
    // What happens between two reads of a session, and whether the session must stay on its member.
    type Happening = fn(&mut Store, usize);
    let reasons: [(&str, Happening, bool); 4] = [
        ("nothing", |_, _| (), true),
        ("the member stands still", |store, server| store.stands_still(server), false),
        ("the member stops", |store, server| store.probe_fails(server, DispatchEnd::TimedOut), false),
        ("the member drains", |store, server| store.standing(server, ServerState::Draining), false),
    ];
    for (reason, happen, keeps) in reasons {
        let mut store = Store::calm(&[]);
        let mut first = store.command(SESSION);
        let server = store.sent(&mut first);
        store.end(&mut first, DispatchEnd::Answered, 20 * MS);
        happen(&mut store, server);
        for _ in 0..10 {
            let mut held = store.command(SESSION);
            assert_eq!(store.sent(&mut held) == server, keeps, "{reason}");
            store.end(&mut held, DispatchEnd::Answered, 20 * MS);
        }
    }
}

/// Guards against a session that misses its own write whose commit is not known, or not yet (incident 20).
#[test]
fn a_session_sees_its_answered_writes_whether_their_commits_are_known_or_not() {
    // The first or second write's answer is passed on (A), or its dispatch ends (E) with a commit so many ms after the
    // start, or none. Events come 100 ms apart; then the position in ms that a replica needs for the session's read.
    const A: Option<Option<Micros>> = None;
    const E: fn(Option<Micros>) -> Option<Option<Micros>> = Some;
    for (events, needed) in [
        (vec![(0, A)], 100),
        (vec![(0, A), (0, E(None))], 100),
        (vec![(0, A), (0, E(Some(90)))], 90),
        (vec![(0, E(None))], 100),
        (vec![(0, E(Some(90)))], 90),
        // Of two writes, the commit of one tells nothing of the other's.
        (vec![(0, A), (1, A), (1, E(Some(50)))], 100),
        (vec![(0, A), (1, A), (0, E(Some(90)))], 200),
        (vec![(0, A), (1, A), (1, E(Some(50))), (0, E(Some(90)))], 90),
        (vec![(0, A), (1, A), (0, E(None)), (1, E(Some(150)))], 150),
    ] {
        for enough in [true, false] {
            let text = |text: &str| Value::Text(text.into());
            let mut store = Store::calm(&[("guards", text("none")), ("session_marks", text("remembered"))]);
            let (start, mut answered) = (store.now, [None; 2]);
            let mut writes = [store.command(MUTATING), store.command(MUTATING)];
            writes.iter_mut().for_each(|write| store.put(write, 0));
            for &(n, end) in &events {
                store.now += 100 * MS;
                let took = answered[n].unwrap_or(store.now) - start;
                let Some(commit) = end else {
                    answered[n] = Some(store.now);
                    store.router.on_answer(store.now, &writes[n]);
                    continue;
                };
                let stated = Report { position: commit.map(|at| start + at * MS), ..Report::default() };
                store.end_stating(&mut writes[n], 0, DispatchEnd::Answered, took, stated);
            }
            let reached = start + needed * MS - u64::from(!enough);
            for replica in [1, 2] {
                store.probe(replica, MS, false, store.now - reached);
            }
            let mut read = store.command(SESSION);
            assert_eq!(store.sent(&mut read) != 0, enough, "{needed} ms, enough: {enough}");
        }
    }
}

/// A session that the host has forgotten sees what it may have written; nothing is known of writes after its arrival.
#[test]
fn a_session_that_was_forgotten_sees_what_it_may_have_written() {
    for (until, enough) in [(-1_000, true), (-100, false), (1_000, false)] {
        let text = |text: &str| Value::Text(text.into());
        let settings = [("guards", text("none")), ("session_marks", text("remembered"))];
        let mut store = Store::behind(&settings, &[0, 500 * MS, 500 * MS], 0);
        let mut read = store.command(SESSION);
        read.command.forgotten_until = store.now.checked_add_signed(until * MS as i64);
        assert_eq!(store.sent(&mut read) != 0, enough, "{until} ms");
    }
}

#[test]
fn without_a_fresh_replica_the_primary_reads_after_the_most_advanced_one() {
    // How members treat a read that they are too far behind for, their lags, and the expected target.
    for (guards, behind, expected) in [
        ("none", [1_500, 3_000], 0),
        ("wait", [1_100, 3_000], 1),
        ("wait", [3_000, 1_100], 2),
        ("wait", [60_000; 2], 0),
    ] {
        let guards_named = ("guards", Value::Text(guards.into()));
        let mut store = Store::behind(&[guards_named], &[0, behind[0] * MS, behind[1] * MS], 0);
        let mut held = store.command(BOUNDED);
        assert_eq!(store.sent(&mut held), expected, "{guards}, {behind:?}");
        if guards == "wait" && expected != 0 {
            store.end(&mut held, DispatchEnd::Missed, 20 * MS);
            assert_eq!(store.sent(&mut held), 0, "after the miss");
        }
    }
}

#[test]
fn a_miss_keeps_the_next_reads_away() {
    // Without it, read after read goes to a replica that has just shown how far it is behind.
    let mut store = Store::behind(&[], &[0, 950 * MS, 950 * MS], 0);
    store.now += 60 * MS;
    for _ in 0..2 {
        let mut held = store.command(BOUNDED);
        assert_ne!(store.sent(&mut held), 0);
        store.end(&mut held, DispatchEnd::Missed, 20 * MS);
    }
    let mut held = store.command(BOUNDED);
    assert_eq!(store.sent(&mut held), 0);
}

#[test]
fn long_reads_leave_the_fresh_replicas_alone() {
    // Long reads on every replica would keep all of them from applying the log.
    let mut store = Store::behind(&[], &[0, 50 * MS, 700 * MS], 0);
    store.answered(ANY, 10, 700 * MS);
    for _ in 0..6 {
        let mut held = store.command(ANY);
        assert_eq!(store.sent(&mut held), 2);
        store.end(&mut held, DispatchEnd::Answered, 700 * MS);
    }
}

#[test]
fn the_most_advanced_replica_takes_no_long_reads() {
    // Long reads must not spill over to the last replica that can serve bounded reads, nor wait while the primary is
    // idle: it takes a few, after the replica.
    let mut store = Store::behind(&[], &[0, 50 * MS, 700 * MS], 0);
    store.answered(ANY, 10, 700 * MS);
    store.now += 10 * MS;
    let mut taken = Vec::new();
    while let Placement::Dispatch { server, .. } = store.router.place(store.now, &store.command(ANY)) {
        taken.push(server);
    }
    let spilled = taken.iter().filter(|server| **server == 0).count();
    assert!(spilled > 0 && 2 * spilled <= taken.len() && !taken.contains(&1), "{taken:?}");
    assert!(taken.is_sorted_by(|a, b| a >= b), "{taken:?}");
}

#[test]
fn the_newest_evidence_names_the_primary() {
    let mut store = Store::calm(&[]);
    let mut held = store.command(MUTATING);
    assert_eq!(store.sent(&mut held), 0);
    store.end(&mut held, DispatchEnd::Missed, MS);
    // Others are tried in turn, each once; then the router waits before the next round.
    let mut tried = vec![store.sent(&mut held)];
    store.end(&mut held, DispatchEnd::Missed, MS);
    tried.push(store.sent(&mut held));
    store.end(&mut held, DispatchEnd::Missed, MS);
    tried.sort_unstable();
    assert_eq!(tried, [1, 2]);
    assert_eq!(store.place(&held), Placement::Hold);
    store.probe(2, MS, true, 0);
    assert_eq!(store.sent(&mut held), 2);
}

#[test]
fn what_may_have_run_is_dispatched_or_throttled_only_where_that_is_harmless() {
    let keyed = |scope: &str| vec![("command_group.5.scope", Value::Text(scope.into()))];
    let throttled = Placement::Abandon(FinalAnswer::Throttled { retry_after: 0 });
    let failed = Placement::Abandon(FinalAnswer::Failed);
    // Command group, settings, end of the only dispatch, time since then, and the final answer (`None`: a retry).
    for (command_group, named, ending, after, expected) in [
        (MUTATING, vec![], DispatchEnd::TimedOut, 100, Some(failed)),
        (MUTATING, vec![], DispatchEnd::Reset, 100, Some(failed)),
        (MUTATING, vec![], DispatchEnd::Errored, 100, Some(failed)),
        (MUTATING, vec![], DispatchEnd::Recalled, 100, Some(failed)),
        (MUTATING, vec![], DispatchEnd::SentBack, 100, None),
        (MUTATING, vec![], DispatchEnd::SentBack, 1_995, Some(throttled)),
        (KEYED, keyed("group"), DispatchEnd::Errored, 100, None),
        (KEYED, keyed("group"), DispatchEnd::Errored, 1_500, Some(failed)),
        (KEYED, keyed("all"), DispatchEnd::Errored, 1_500, Some(throttled)),
        (ANY, vec![], DispatchEnd::Errored, 100, None),
        (ANY, vec![], DispatchEnd::Errored, 1_995, Some(throttled)),
    ] {
        let mut store = Store::calm(&named);
        let mut held = store.command(command_group);
        store.sent(&mut held);
        store.end(&mut held, ending, after * MS);
        match expected {
            Some(answer) => assert_eq!(store.place(&held), answer, "{command_group}, {ending:?}"),
            None => {
                assert!(
                    matches!(store.place(&held), Placement::Dispatch { .. }),
                    "{command_group}, {ending:?}"
                )
            }
        }
    }
}

#[test]
fn a_mutating_command_in_flight_is_left_alone() {
    let mut store = Store::calm(&[]);
    let mut held = store.command(MUTATING);
    store.sent(&mut held);
    for _ in 0..15 {
        store.now += 100 * MS;
        assert_eq!(store.place(&held), Placement::Hold);
        assert!(store.router.next_check(store.now, Some(&held)).cancel.is_empty());
    }
}

#[test]
fn what_waits_to_be_written_is_called_off_once_it_may_not_go() {
    // A dispatch that waits for its connection must not be written once it may no longer be sent. One waits for member
    // 1, or for member 0 if it needs the primary; then the given event happens and the given time passes.
    type Happening = fn(&mut Store, usize);
    let nothing: Happening = |_, _| ();
    let drains: Happening = |store, server| store.standing(server, ServerState::Draining);
    let gone: Happening = |store, server| store.standing(server, ServerState::Gone);
    let left_out: Happening = |store, _| store.list(&[(0, 0, true), (2, 0, false)]);
    let leads: Happening = |store, _| {
        store.now += MS;
        store.probe(2, MS, true, 0);
        store.probe(0, MS, false, 0);
    };
    let advice = ("rules.gone_is_advice", Value::Flag(true));
    let unchecked = ("guards", Value::Text("none".into()));
    for (what, command_group, changed, happens, after, off) in [
        ("nothing", ANY, vec![], nothing, 0, false),
        ("nothing for long", MUTATING, vec![], nothing, 1_990, false),
        ("its time is over", MUTATING, vec![], nothing, 1_995, true),
        ("its time is over", ANY, vec![], nothing, 1_995, true),
        ("its member drains", ANY, vec![], drains, 0, true),
        ("its member drains", MUTATING, vec![], drains, 0, true),
        ("its member is gone", BOUNDED, vec![], gone, 0, true),
        ("its member was left out", ANY, vec![], left_out, 0, true),
        ("gone is advice", ANY, vec![advice.clone()], gone, 0, false),
        ("draining is none", ANY, vec![advice], drains, 0, true),
        ("the data is too old", BOUNDED, vec![unchecked.clone()], nothing, 1_001, true),
        ("the data is young", BOUNDED, vec![unchecked.clone()], nothing, 999, false),
        ("the session's write is there", SESSION, vec![unchecked.clone()], nothing, 1_500, false),
        ("servers check", BOUNDED, vec![], nothing, 1_500, false),
        ("another one leads", FRESH, vec![unchecked.clone()], leads, 0, true),
        ("the same one leads", FRESH, vec![unchecked.clone()], nothing, 1_500, false),
        ("another leads, and servers check", FRESH, vec![], leads, 0, false),
        ("another leads, who would not take it", MUTATING, vec![unchecked], leads, 0, false),
    ] {
        for written in [false, true] {
            let mut store = Store::calm(&changed);
            let server = usize::from(command_group < FRESH);
            let mut held = store.command(command_group);
            store.put(&mut held, server);
            held.dispatches[0].written = Some(store.now).filter(|_| written);
            happens(&mut store, server);
            store.now += after * MS;
            let recall = store.router.next_check(store.now, Some(&held)).cancel;
            assert_eq!(!recall.is_empty(), off && !written, "{what}, {command_group}, written {written}");
        }
    }
}

#[test]
fn the_window_of_a_repeat_counts_from_last_byte_to_last_byte() {
    // A repeat must not be written after the deduplication window (1 s), nor be withheld while it is open. Cases: how
    // long the first dispatch waited to be written, and how long after that the router is asked.
    for (waited, after, open) in [(0, 999, true), (0, 1_000, false), (600, 999, true), (600, 1_000, false)] {
        let mut store = Store::calm(&[]);
        let mut held = store.command(KEYED);
        store.put(&mut held, 0);
        held.dispatches[0].written = Some(store.now + waited * MS);
        store.now += (waited + 100) * MS;
        held.dispatches[0].ended = Some(DispatchEnd::Reset);
        let mut repeat = held.clone();
        store.put(&mut repeat, 0);
        repeat.dispatches[1].written = None;
        store.now += (after - 100) * MS;
        let case = format!("{waited}, {after}");
        assert_eq!(store.router.next_check(store.now, Some(&repeat)).cancel.is_empty(), open, "{case}");
        assert_eq!(matches!(store.place(&held), Placement::Dispatch { .. }), open, "{case}");
        // A repeat that was cancelled unsent does not change the command's state.
        repeat.dispatches[1].ended = Some(DispatchEnd::Unsent);
        assert_eq!(matches!(store.place(&repeat), Placement::Dispatch { .. }), open, "{case}");
    }
}

#[test]
fn a_repeat_is_called_off_where_another_dispatch_went_out_meanwhile() {
    // Of two dispatches that wait, the later must keep to the window of the one that was written first.
    for (command_group, off) in [(MUTATING, true), (KEYED, false), (ANY, false)] {
        let mut store = Store::calm(&[]);
        let mut held = store.command(command_group);
        for server in [0, 1] {
            store.put(&mut held, server);
            held.dispatches[server].written = None;
        }
        assert_eq!(store.router.next_check(store.now, Some(&held)).cancel, [0; 0]);
        held.dispatches[1].written = Some(store.now);
        let recall = store.router.next_check(store.now, Some(&held)).cancel;
        assert_eq!(recall.contains(&0), off, "{command_group}");
        store.now += 1_000 * MS;
        let recall = store.router.next_check(store.now, Some(&held)).cancel;
        assert_eq!(recall.contains(&0), command_group != ANY, "{command_group}");
    }
}

#[test]
fn failed_reads_try_three_members_and_then_answer_at_once() {
    let mut store = Store::calm(&[]);
    store.list(&[(0, 0, true), (1, 0, false), (2, 0, false), (3, 0, false), (4, 0, false)]);
    for server in 1..5 {
        store.probe(server, MS, false, 0);
    }
    let mut held = store.command(ANY);
    for _ in 0..3 {
        store.sent(&mut held);
        store.end(&mut held, DispatchEnd::Errored, MS);
    }
    assert_eq!(store.place(&held), Placement::Abandon(FinalAnswer::Throttled { retry_after: 0 }));
}

#[test]
fn a_member_told_gone_again_is_forgotten() {
    // The router must not keep every member that ever existed, nor take a new member for an earlier one of the same
    // number. Cases: the list entries for member 1, and whether its concurrency limit starts anew.
    use ServerState::*;
    for (told, anew) in
        [(&[Gone, Serving][..], false), (&[Gone, Gone, Serving], true), (&[Gone, Gone, Gone, Serving], true)]
    {
        let mut store = Store::calm(&[]);
        for _ in 0..60 {
            let mut held = store.command(ANY);
            store.put(&mut held, 1);
            store.end(&mut held, DispatchEnd::Answered, 900 * MS);
        }
        for standing in told {
            store.standing(1, *standing);
        }
        // Among the replicas only member 1 is fresh enough.
        store.stands_still(2);
        let mut there = 0;
        for _ in 0..3 {
            let held = store.command(BOUNDED);
            there += usize::from(matches!(store.place(&held), Placement::Dispatch { server: 1, .. }));
        }
        assert_eq!(there == 3, anew, "{told:?}: {there}");
    }
}

#[test]
fn a_member_that_is_forgotten_may_still_have_dispatches() {
    // A dispatch may refer to a member that is no longer known: no panic and no late write. Cases: whether the router
    // placed it, so that the member is kept until the dispatch has ended.
    for placed in [true, false] {
        let mut store = Store::calm(&[]);
        store.list(&[(0, 0, true)]);
        let mut held = store.command(MUTATING);
        if placed {
            assert_eq!(store.sent(&mut held), 0);
        } else {
            store.put(&mut held, 0);
        }
        held.dispatches[0].written = None;
        for _ in 0..3 {
            store.standing(0, ServerState::Gone);
        }
        assert_eq!(store.router.next_check(store.now, Some(&held)).cancel, [0]);
        store.end(&mut held, DispatchEnd::Unsent, MS);
        assert_eq!(store.place(&held), Placement::Hold);
        store.standing(0, ServerState::Gone);
        store.list(&[(0, 0, true)]);
        assert_eq!(store.sent(&mut held), 0);
    }
}

#[test]
fn a_member_that_was_never_there_leaves_nothing_when_it_is_gone() {
    // A group must not keep a member that was removed under another group.
    let mut store = Store::calm(&[]);
    let entry = |server, group, standing| ServerListEntry {
        server,
        group,
        zone: 0,
        size: 1.0,
        state: standing,
        primary: true,
        started: None,
    };
    use ServerState::*;
    // A whole list omits the group, and its primary's number is reused by a server of another group.
    store.router.update_server_list(store.now, Some(&[]), true);
    for (group, standing) in [(usize::MAX, Gone), (99, Serving)] {
        store.router.update_server_list(store.now, Some(&[entry(0, group, standing)]), false);
    }
    let held = store.command(MUTATING);
    assert!(!matches!(store.place(&held), Placement::Dispatch { server: 0, .. }));
    let mut store = Store::calm(&[]);
    for (server, group, standing) in
        [(9, 99, Gone), (9, GROUP, Serving), (9, GROUP, Gone), (9, GROUP, Gone), (8, 99, Serving)]
    {
        store.router.update_server_list(store.now, Some(&[entry(server, group, standing)]), false);
        let held = store.command(MUTATING);
        assert!(matches!(store.place(&held), Placement::Dispatch { .. }));
    }
}

#[test]
fn nothing_goes_to_a_member_that_drains_or_is_gone() {
    for standing in [ServerState::Draining, ServerState::Gone] {
        let mut store = Store::calm(&[]);
        store.standing(1, standing);
        for _ in 0..10 {
            let mut held = store.command(ANY);
            assert_eq!(store.sent(&mut held), 2, "{standing:?}");
            store.end(&mut held, DispatchEnd::Answered, MS);
        }
        for server in [0, 2] {
            store.standing(server, standing);
        }
        for command_group in [ANY, BOUNDED, FRESH, MUTATING] {
            let held = store.command(command_group);
            assert_eq!(store.place(&held), Placement::Hold, "{standing:?}, {command_group}");
        }
    }
}

#[test]
fn where_gone_is_advice_a_list_of_gone_members_changes_nothing() {
    // A list may call live servers gone, or be empty, for a while. Cases: whether removal is advisory, the state in the
    // list (`None`: an empty list), and whether a read is still dispatched.
    for (advice, standing, sent) in [
        (true, Some(ServerState::Gone), true),
        (true, None, true),
        (true, Some(ServerState::Draining), false),
        (false, Some(ServerState::Gone), false),
        (false, None, false),
    ] {
        let mut store = Store::calm(&[("rules.gone_is_advice", Value::Flag(advice))]);
        match standing {
            Some(standing) => (0..3).for_each(|server| store.standing(server, standing)),
            None => store.router.update_server_list(store.now, Some(&[]), true),
        }
        let held = store.command(ANY);
        assert_eq!(matches!(store.place(&held), Placement::Dispatch { .. }), sent, "{advice}, {standing:?}");
    }
}

/// How many of 300 new routers with one command each dispatch it to member 0, which started `age` ago.
fn sent_to_a_cold_member(command_group: usize, primary: bool, age: Micros) -> usize {
    let sent = (0..300).filter(|router| {
        let numbers = [("routers", Value::Number(300.0)), ("router", Value::Number(*router as f64))];
        let mut store = Store::calm(&numbers);
        store.list(&[(0, 0, primary), (1, 0, !primary)]);
        store.restart(0);
        store.now += age;
        for server in 0..2 {
            store.probe(server, MS, (server == 0) == primary, 0);
        }
        let held = store.command(command_group);
        matches!(store.place(&held), Placement::Dispatch { server: 0, .. })
    });
    sent.count()
}

#[test]
fn a_cold_member_gets_its_part_from_routers_that_know_nothing() {
    // Hundreds of new low-traffic routers must neither starve a cold member nor, each taking one command for harmless,
    // overload it: at 16 % of its capacity, 144 of 300 commands are three times what it bears.
    for (age, least, most) in [(0, 45, 135), (8_000 * MS, 200, 300), (17_000 * MS, 300, 300)] {
        let writes = sent_to_a_cold_member(KEYED, true, age);
        assert!((least..=most).contains(&writes), "{age}: {writes} writes");
    }
    for (age, least, most) in [(0, 45, 90), (8_000 * MS, 190, 285), (17_000 * MS, 300, 300)] {
        let reads = sent_to_a_cold_member(BOUNDED, false, age);
        assert!((least..=most).contains(&reads), "{age}: {reads} reads");
    }
}

#[test]
fn a_cold_member_gets_no_long_read_without_evidence() {
    // Many routers would each send a long read first to the replica that came back furthest behind.
    for (target, least) in [(500e3, 1), (7_500e3, 0)] {
        let named =
            [("routers", Value::Number(20.0)), ("command_group.0.response_target", Value::Number(target))];
        let mut store = Store::behind(&named, &[0, 50 * MS, 5_000 * MS], 0);
        store.restart(2);
        store.now += 4_000 * MS;
        store.probe(2, MS, false, 5_000 * MS);
        let mut seen = 0;
        for _ in 0..400 {
            let mut held = store.command(ANY);
            store.now += 10 * MS;
            if let Placement::Dispatch { server, .. } = store.place(&held) {
                seen = seen.max(usize::from(server == 2));
                store.put(&mut held, server);
                store.end(&mut held, DispatchEnd::Answered, 20 * MS);
            }
        }
        assert_eq!(seen, least, "response target {target}");
    }
}

#[test]
fn work_that_was_not_answered_raises_no_cold_budget() {
    // While clients retry, arrivals exceed capacity: only answers show what members bear.
    let taken = [DispatchEnd::SentBack, DispatchEnd::Unconnected, DispatchEnd::Answered].map(|ending| {
        let mut store = Store::calm(&[]);
        for _ in 0..200 {
            let mut held = store.command(MUTATING);
            store.place(&held);
            store.put(&mut held, 1);
            store.end(&mut held, ending, 100 * MS);
        }
        store.restart(0);
        store.now += 6_000 * MS;
        store.probe(0, MS, true, 0);
        let sent = (0..200).filter(|_| {
            store.now += MS / 10;
            let mut held = store.command(MUTATING);
            let sent = matches!(store.place(&held), Placement::Dispatch { .. });
            store.put(&mut held, 0);
            store.end(&mut held, DispatchEnd::Recalled, 0);
            sent
        });
        sent.count()
    });
    assert!(3 * taken[0] < taken[2] && 3 * taken[1] < taken[2] && taken[0] > 0, "{taken:?}");
}

#[test]
fn every_held_command_is_answered_before_its_client_timeout() {
    // A command that reached no server must not be held until its client timeout: the client could have retried.
    let (unsent, sent) = ([None, Some(DispatchEnd::Unconnected)], [Some(DispatchEnd::Missed)]);
    for before in unsent.into_iter().chain(sent) {
        for command_group in [ANY, BOUNDED, SESSION, FRESH, MUTATING, KEYED] {
            let mut store = Store::calm(&[]);
            for server in 0..3 {
                store.probe_fails(server, DispatchEnd::TimedOut);
            }
            let mut held = store.command(command_group);
            if let Some(ending) = before {
                store.put(&mut held, 0);
                held.dispatches[0].ended = Some(ending);
            }
            let end = loop {
                match store.place(&held) {
                    Placement::Hold => {
                        store.now += store.router.next_check(store.now, Some(&held)).after.max(1)
                    }
                    Placement::Abandon(_) => break store.now,
                    Placement::Dispatch { server, .. } => panic!("sent to {server}, which is down"),
                }
            };
            let half = (held.command.arrived + held.command.client_timeout) / 2;
            let case = format!("command group {command_group} after {before:?}");
            assert!(end < held.command.client_timeout, "{case}");
            assert_eq!(end > half, command_group >= MUTATING && sent.contains(&before), "{case}");
        }
    }
}

#[test]
fn a_silent_member_is_left_and_its_reads_get_another_try() {
    // A hung replica may still answer probes.
    for copies in [true, false] {
        let mut store = Store::calm(&[("limits.second_copies", Value::Flag(copies))]);
        let mut held = store.command(ANY);
        let server = store.sent(&mut held);
        store.now += 301 * MS;
        if copies {
            assert_ne!(store.sent(&mut held), server);
        } else {
            assert_eq!(store.place(&held), Placement::Hold);
            assert_eq!(store.router.next_check(store.now, Some(&held)).cancel, [0]);
        }
        let mut other = store.command(ANY);
        assert_ne!(store.sent(&mut other), server);
    }
}

#[test]
fn many_routers_start_with_little_room_each() {
    // Many routers may all turn to a new primary at once.
    for (routers, expected) in [(1.0, 6), (5.0, 4), (40.0, 1)] {
        let mut store = Store::calm(&[("routers", Value::Number(routers))]);
        let taken = store.taken(MUTATING, 10);
        assert_eq!(taken, expected, "{routers} routers");
    }
}

#[test]
fn a_lost_answer_costs_no_room_and_a_keyed_write_gets_a_copy() {
    // A link loses answers: every third command never returns, later ones are answered.
    let mut store = Store::calm(&[]);
    for _ in 0..20 {
        let mut lost = store.command(KEYED);
        store.sent(&mut lost);
        store.now += MS;
        for _ in 0..2 {
            let mut held = store.command(ANY);
            store.put(&mut held, 0);
            store.end(&mut held, DispatchEnd::Answered, 20 * MS);
        }
        assert_eq!(store.place(&lost), Placement::Hold, "too early for a copy");
        store.now += 300 * MS;
        assert_eq!(store.sent(&mut lost), 0);
        store.end(&mut lost, DispatchEnd::TimedOut, 200 * MS);
        store.end_one(&mut lost, 0, DispatchEnd::TimedOut, 600 * MS);
        store.probe(0, MS, true, 0);
        store.now += 5_000 * MS;
    }
    let taken = store.taken(KEYED, 8);
    assert!(taken >= 4);
}

#[test]
fn probes_that_are_lost_everywhere_take_no_member_out() {
    // Lost, unsent or garbled probes are no sign of stopped servers if they fail everywhere. Cases: whose probes fail
    // and how, and whether member 1 still gets reads.
    for (failing, ending, reads) in [
        (&[1][..], DispatchEnd::TimedOut, false),
        (&[0, 1, 2], DispatchEnd::TimedOut, true),
        (&[1], DispatchEnd::Unsent, true),
        (&[1], DispatchEnd::Recalled, true),
        (&[1], DispatchEnd::Errored, false),
    ] {
        let mut store = Store::calm(&[]);
        for _ in 0..4 {
            for server in 0..3 {
                if failing.contains(&server) {
                    store.probe_fails(server, ending);
                } else {
                    store.probe(server, MS, server == 0, 0);
                }
            }
            store.now += 1_000 * MS;
        }
        let mut seen = [0; 3];
        for _ in 0..20 {
            let mut held = store.command(ANY);
            if let Placement::Dispatch { server, .. } = store.place(&held) {
                seen[server] += 1;
                store.put(&mut held, server);
                store.end(&mut held, DispatchEnd::Answered, 20 * MS);
            }
        }
        assert_eq!(seen[1] > 0, reads, "{failing:?} {ending:?}: {seen:?}");
    }
}

#[test]
fn a_refused_connection_shuts_a_member_and_broken_ones_do_not() {
    // A connection that idled too long and broke must not take its member out. Cases: what happens at replica 1, where
    // the reads would otherwise go, and whether it still gets reads.
    use DispatchEnd::*;
    for (endings, reads) in [
        (&[Reset][..], true),
        (&[Reset, Answered, Reset, Answered, Reset], true),
        (&[Reset, Reset, Reset], true),
        (&[Answered, Unconnected], false),
    ] {
        let mut store = Store::calm(&[]);
        store.answered(ANY, 100, 20 * MS);
        for ending in endings {
            let mut held = store.command(ANY);
            store.put(&mut held, 1);
            store.end(&mut held, *ending, 20 * MS);
        }
        let seen = store.answered(ANY, 20, 20 * MS);
        assert_eq!(seen[1] > 0, reads, "{endings:?}: {seen:?}");
    }
}

#[test]
fn what_was_lost_while_others_were_answered_takes_no_member_out() {
    // Connections may fall silent one by one. Cases: whether replica 1 answers another command meanwhile, and whether
    // it still gets reads after a connection never came up or a probe was lost.
    for (answers, reads) in [(true, true), (false, false)] {
        for probe in [false, true] {
            let mut store = Store::calm(&[]);
            store.answered(ANY, 20, 20 * MS);
            store.router.next_check(store.now, None);
            let (mut lost, mut other) = (store.command(ANY), store.command(ANY));
            store.put(&mut lost, 1);
            store.put(&mut other, 1);
            store.now += 20 * MS;
            if answers {
                store.end_one(&mut other, 0, DispatchEnd::Answered, 20 * MS);
            }
            store.now += 230 * MS;
            if probe {
                store.probe_fails(1, DispatchEnd::TimedOut);
            } else {
                store.end_one(&mut lost, 0, DispatchEnd::Unconnected, 250 * MS);
            }
            let seen = store.answered(ANY, 20, 20 * MS);
            assert_eq!(seen[1] > 0, reads, "answers {answers}, probe {probe}: {seen:?}");
        }
    }
}

#[test]
fn room_that_shrank_grows_back_from_one_command() {
    // Commands must not be throttled long after a slow period: the last answered command counts as in flight.
    let mut store = Store::calm(&[]);
    for (took, count) in [(900, 60), (20, 120)] {
        for _ in 0..count {
            let mut held = store.command(MUTATING);
            while !matches!(store.place(&held), Placement::Dispatch { .. }) {
                store.now += 100 * MS;
                held = store.command(MUTATING);
            }
            store.put(&mut held, 0);
            store.end(&mut held, DispatchEnd::Answered, took * MS);
        }
    }
    let taken = store.taken(MUTATING, 8);
    assert!(taken >= 2);
}

#[test]
fn a_slow_member_alone_with_a_command_is_not_held_back() {
    // Commands that a slow member answers in time must not be throttled. Cases: its answer time, and whether the next
    // command goes there as soon as the last one was answered.
    for (took, at_once) in [(250, true), (490, false)] {
        let mut store = Store::calm(&[]);
        store.answered(MUTATING, 20, 20 * MS);
        let mut held_back = 0;
        for _ in 0..60 {
            let mut held = store.command(MUTATING);
            while !matches!(store.place(&held), Placement::Dispatch { .. }) {
                held_back += 1;
                store.now += 100 * MS;
                held = store.command(MUTATING);
            }
            store.put(&mut held, 0);
            store.end(&mut held, DispatchEnd::Answered, took * MS);
        }
        assert_eq!(held_back == 0, at_once, "{took}: {held_back}");
    }
}

#[test]
fn hundreds_of_routers_do_not_probe_every_member_first() {
    // A fleet must not probe and connect to every member before any command goes there. Where servers do not check
    // freshness themselves, only a probe can tell their position.
    for (routers, guards, first) in [(300.0, "wait", 0), (2.0, "wait", 3), (300.0, "none", 3)] {
        let settings = [("routers", Value::Number(routers)), ("guards", Value::Text(guards.into()))];
        let mut store = Store::behind(&settings, &[], 0);
        store.list(&[(0, 0, true), (1, 0, false), (2, 0, false)]);
        let read = store.command(BOUNDED);
        let sent = matches!(store.place(&read), Placement::Dispatch { .. });
        let probes = store.router.next_check(store.now, None).probes.len();
        assert_eq!((probes, sent), (first, first == 0), "{routers} routers, {guards}");
        // Every member is probed within a minute.
        store.now += 60_000 * MS;
        let next = store.command(BOUNDED);
        store.place(&next);
        for server in store.router.next_check(store.now, None).probes {
            store.probe(server, MS, server == 0, 0);
        }
        assert!(store.router.next_check(store.now + MS, None).probes.is_empty());
    }
}

#[test]
fn a_cold_member_with_a_queue_gets_less() {
    // A cold member must not starve where nothing reports a queue or its answers show that there is none, and must get
    // less where there is one.
    let sent = [None, Some(5), Some(400)].map(|took| {
        let mut store = Store::calm(&[]);
        store.restart(0);
        store.now += 10 * MS;
        for took in std::iter::repeat_n(took, 5).flatten() {
            let mut held = store.command(MUTATING);
            held.command.arrived -= 1;
            store.put(&mut held, 0);
            store.end_one(&mut held, 0, DispatchEnd::Answered, took * MS);
        }
        let router = store.router.clone();
        let sent = (0..1_000).filter(|_| {
            (store.router, store.now) = (router.clone(), store.now + 10);
            let held = store.command(MUTATING);
            matches!(store.place(&held), Placement::Dispatch { .. })
        });
        sent.count()
    });
    assert!(sent[1] >= sent[0] && sent[0] > sent[2] + sent[2] / 4 && sent[2] > 0, "{sent:?}");
}

#[test]
fn probes_follow_the_commands() {
    // Hundreds of routers must not send more probes than commands, nor search for a primary without need. Cases:
    // seconds between two commands, whether the primary is down, and the most probes in a minute.
    for (gap, down, most) in [(30, false, 6), (30, true, 20), (1, false, 30)] {
        let mut store = Store::calm(&[]);
        let mut probes = 0;
        for _ in 0..60 / gap {
            if down {
                store.probe_fails(0, DispatchEnd::TimedOut);
            }
            let mut held = store.command(ANY);
            store.sent(&mut held);
            store.end(&mut held, DispatchEnd::Answered, 20 * MS);
            for _ in 0..gap {
                store.now += 1_000 * MS;
                for server in store.router.next_check(store.now, None).probes {
                    probes += 1;
                    if server == 0 && down {
                        store.probe_fails(0, DispatchEnd::TimedOut);
                    } else {
                        store.probe(server, MS, server == 0, 0);
                    }
                }
            }
        }
        assert!(probes <= most, "{gap} s, down {down}: {probes}");
    }
}

#[test]
fn a_member_that_started_anew_is_not_down_any_more() {
    // A server that was down and is listed with a new start must not wait for its next probe, which may be a minute
    // off.
    let mut store = Store::calm(&[]);
    store.probe_fails(0, DispatchEnd::TimedOut);
    let held = store.command(MUTATING);
    assert!(!matches!(store.place(&held), Placement::Dispatch { server: 0, .. }));
    store.restart(0);
    store.now += 17_000 * MS;
    let mut held = store.command(MUTATING);
    assert_eq!(store.sent(&mut held), 0);
}

#[test]
fn many_routers_copy_little_each() {
    // Each of hundreds of routers is late now and then; together their hedges would be a storm.
    for (routers, expected) in [(1.0, 3), (400.0, 1)] {
        let mut store = Store::calm(&[("routers", Value::Number(routers))]);
        let mut copies = 0;
        // Late answers also shed some reads; throttled commands do not matter here.
        let mut sent = 0;
        while sent < 5 {
            let mut held = store.command(ANY);
            let Placement::Dispatch { server, .. } = store.place(&held) else { continue };
            store.put(&mut held, server);
            sent += 1;
            store.now += 301 * MS;
            if let Placement::Dispatch { server, .. } = store.place(&held) {
                store.put(&mut held, server);
                store.end_one(&mut held, 1, DispatchEnd::Answered, MS);
                copies += 1;
            }
            store.end_one(&mut held, 0, DispatchEnd::Answered, 301 * MS);
        }
        assert!(copies >= expected && copies <= expected + 1, "{routers} routers: {copies}");
    }
}

#[test]
fn copies_of_one_command_group_are_not_paid_for_by_another() {
    // A few long reads must not all be hedged at the expense of many short ones.
    let mut store = Store::calm(&[]);
    store.answered(BOUNDED, 100, MS);
    let mut copies = 0;
    for _ in 0..8 {
        let mut held = store.command(ANY);
        store.sent(&mut held);
        store.now += 301 * MS;
        if let Placement::Dispatch { server, .. } = store.place(&held) {
            store.put(&mut held, server);
            store.end_one(&mut held, 1, DispatchEnd::Answered, MS);
            copies += 1;
        }
        store.end_one(&mut held, 0, DispatchEnd::Answered, 301 * MS);
    }
    assert!((3..=5).contains(&copies), "{copies} copies of 8");
}

#[test]
fn a_long_read_whose_client_leaves_before_its_usual_time_is_not_begun() {
    // Clients that leave early and retry would fill replicas with long reads and delay the log there.
    let mut store = Store::behind(&[], &[0, 50 * MS, 700 * MS], 0);
    store.answered(ANY, 10, 700 * MS);
    let mut held = store.command(ANY);
    held.command.client_timeout = store.now + 250 * MS;
    assert!(matches!(store.place(&held), Placement::Abandon(FinalAnswer::Throttled { .. })));
    let mut patient = store.command(ANY);
    store.sent(&mut patient);
    // A short read is still dispatched.
    let mut short = store.command(BOUNDED);
    short.command.client_timeout = store.now + 50 * MS;
    store.sent(&mut short);
}

#[test]
fn a_client_that_leaves_early_takes_no_member_out() {
    // Some clients wait only for a fraction of the mean time; low-traffic routers must not take their members for
    // stopped. With few routers, each hears enough of a member to judge a time-out.
    for (routers, took, out) in [(300.0, 20 * MS, false), (300.0, 400 * MS, true), (1.0, 20 * MS, true)] {
        let mut store = Store::calm(&[("routers", Value::Number(routers))]);
        let mut held = store.command(KEYED);
        held.command.client_timeout = store.now + took + 10 * MS;
        assert_eq!(store.sent(&mut held), 0);
        store.end(&mut held, DispatchEnd::TimedOut, took);
        let next = store.command(KEYED);
        assert_eq!(
            store.place(&next) != Placement::Dispatch { server: 0, timeout: 2_000 * MS },
            out,
            "{routers}, {took}"
        );
    }
}

#[test]
fn reads_do_not_spill_to_a_primary_that_is_late() {
    // Hundreds of routers must not send reads that replicas are too stale for to a primary that is late with its
    // writes. With few routers there is no such load: with no replica left, the primary takes the read.
    for (routers, took, spills) in [(300.0, 20 * MS, true), (300.0, 320 * MS, false), (1.0, 320 * MS, true)] {
        let patient =
            [("command_group.5.response_target", Value::Number(1e6)), ("routers", Value::Number(routers))];
        let mut store = Store::behind(&patient, &[0, 30_000 * MS, 30_000 * MS], 0);
        store.answered(KEYED, 15, took);
        for server in 0..3 {
            store.probe(server, MS, server == 0, if server == 0 { 0 } else { 30_000 * MS });
        }
        let taken = store.taken(BOUNDED, 1);
        assert_eq!(taken == 1, spills, "{routers}, {took}");
    }
}

#[test]
fn reads_of_a_late_group_are_not_sent_on_to_its_primary() {
    // Reads of hundreds of routers that find no fresh replica would take the capacity that a late group's primary needs
    // for writes. The late answers are those of a replica; the primary's own are prompt.
    for (routers, took, sent) in [(300.0, 20, true), (300.0, 400, false), (3.0, 400, true)] {
        let mut store =
            Store::behind(&[("routers", Value::Number(routers))], &[0, 30_000 * MS, 30_000 * MS], 0);
        for _ in 0..20 {
            store.now += 500 * MS;
            let mut held = store.command(ANY);
            store.put(&mut held, 1);
            store.end(&mut held, DispatchEnd::Answered, took * MS);
        }
        for server in 0..3 {
            store.probe(server, MS, server == 0, if server == 0 { 0 } else { 30_000 * MS });
        }
        let sent_on = store.taken(BOUNDED, 200);
        assert_eq!(sent_on > 0, sent, "{routers} routers, {took} ms: {sent_on}");
    }
}

#[test]
fn where_servers_do_not_check_the_nearest_replica_is_asked_before_a_read_goes_to_the_primary() {
    // A low-traffic router knows no fresh replica and would send all bounded reads to the primary. Cases: what the
    // probed replica reports, and whether the read goes to it. It is probed once, and the read waits for a quarter of
    // the response target at most.
    let unchecked = [("guards", Value::Text("none".into())), ("routers", Value::Number(300.0))];
    let asked = |store: &mut Store| {
        let probes = store.router.next_check(store.now, None).probes;
        probes.into_iter().filter(|server| *server != 0).collect::<Vec<_>>()
    };
    for (tells, goes) in
        [(Some(Some(0)), true), (Some(Some(5_000 * MS)), false), (Some(None), false), (None, false)]
    {
        let mut store = Store::calm(&unchecked);
        // The periodic probes have been answered.
        store.answered(ANY, 1, MS);
        for server in store.router.next_check(store.now, None).probes {
            store.probe(server, MS, server == 0, 0);
        }
        store.now += 3_000 * MS;
        let read = store.command(BOUNDED);
        assert_eq!(store.place(&read), Placement::Hold, "nobody is known to be fresh");
        let servers = asked(&mut store);
        assert_eq!(servers.len(), 1, "{servers:?}");
        store.now += 5 * MS;
        assert_eq!(store.place(&read), Placement::Hold, "its answer is on its way");
        match tells {
            Some(Some(behind)) => store.probe(servers[0], MS, false, behind),
            Some(None) => {
                store.probe_fails(servers[0], DispatchEnd::TimedOut);
                // A replica that is down is not waited for: the other one is probed.
                assert_eq!(store.place(&read), Placement::Hold);
                assert_eq!(asked(&mut store), [3 - servers[0]]);
                store.now += 125 * MS;
            }
            None => store.now += 125 * MS,
        }
        let expected = if goes { servers[0] } else { 0 };
        let placed = store.place(&read);
        assert!(
            matches!(placed, Placement::Dispatch { server, .. } if server == expected),
            "{tells:?}: {placed:?}"
        );
        assert_eq!(asked(&mut store), Vec::<usize>::new());
    }
    // Replicas known to be too far behind are not probed, nor is any where probes report no position.
    let mut behind = Store::behind(&unchecked, &[0, 5_000 * MS, 5_000 * MS], 0);
    let mut silent = Store::behind(&unchecked, &[], 0);
    silent.list(&[(0, 0, true), (1, 0, false), (2, 0, false)]);
    for server in 0..3 {
        silent.router.on_probe_result(silent.now, server, MS, DispatchEnd::Answered, None);
    }
    for store in [&mut behind, &mut silent] {
        let mut read = store.command(BOUNDED);
        assert_eq!(store.sent(&mut read), 0);
    }
}

#[test]
fn a_write_that_searched_in_vain_comes_late_to_no_primary_that_was_only_slow() {
    // Writes that missed at the replicas of a busy primary reach it with little time left, time out there and delay
    // others. To a primary that is new since their arrival they go at any time.
    for (routers, new, goes) in [(300.0, None, None), (2.0, None, Some(0)), (300.0, Some(2), Some(2))] {
        let mut store = Store::calm(&[("routers", Value::Number(routers))]);
        let mut slow = store.command(MUTATING);
        assert_eq!(store.sent(&mut slow), 0);
        store.now += 400 * MS;
        let mut write = store.command(MUTATING);
        for _ in 0..2 {
            assert_ne!(store.sent(&mut write), 0, "a silent primary is left for others");
            store.end(&mut write, DispatchEnd::Missed, MS);
        }
        store.now += 150 * MS;
        store.end_one(&mut slow, 0, DispatchEnd::Answered, 552 * MS);
        if let Some(server) = new {
            store.now += MS;
            store.probe(server, MS, true, 0);
        }
        store.now += 50 * MS;
        match (store.place(&write), goes) {
            (Placement::Dispatch { server, .. }, Some(expected)) => assert_eq!(server, expected),
            (Placement::Abandon(FinalAnswer::Throttled { .. }), None) => {}
            (other, _) => panic!("{routers} routers, {new:?}: {other:?}"),
        }
    }
}

#[test]
fn a_group_that_was_late_is_asked_for_its_queues() {
    // A low-traffic router has no evidence of long queues. Cases: the queues reported by members 1 and 2, and who may
    // get the read: none where both are too long. The primary's queue is as long.
    for (queues, expected) in [([0.0, 30.0], Some(1)), ([30.0, 0.0], Some(2)), ([30.0, 30.0], None)] {
        let mut store = Store::calm(&[]);
        let tell = |store: &mut Store, server: usize, queue: f64| {
            let report = Report { queue: Some(queue), ..Report::default() };
            store.router.on_probe_result(store.now, server, MS, DispatchEnd::Answered, Some(report));
        };
        tell(&mut store, 0, 30.0);
        let mut late = store.command(ANY);
        store.sent(&mut late);
        store.end(&mut late, DispatchEnd::Answered, 900 * MS);
        let held = store.command(ANY);
        let mut asked = Vec::new();
        let place = loop {
            match store.place(&held) {
                Placement::Hold => store.now += 10 * MS,
                other => break other,
            }
            for server in store.router.next_check(store.now, None).probes {
                asked.push(server);
                tell(&mut store, server, [30.0, queues[0], queues[1]][server]);
            }
        };
        match expected {
            Some(server) => assert!(
                matches!(place, Placement::Dispatch { server: s, .. } if s == server),
                "{queues:?}: {place:?}, asked {asked:?}"
            ),
            None => assert_eq!(place, Placement::Abandon(FinalAnswer::Throttled { retry_after: 0 })),
        }
        assert!(!asked.is_empty());
    }
}

#[test]
fn an_overloaded_primary_is_not_taken_for_a_stopped_one() {
    // Writes must not be tried at replicas while their primary has a queue. Cases: what the primary reported in a
    // probe, and whether the next write is held.
    for (queue, held_back) in [(Some(50.0), true), (None, false)] {
        let mut store = Store::calm(&[]);
        let mut slow = store.command(MUTATING);
        store.sent(&mut slow);
        store.now += 600 * MS;
        let report = Report { queue, ..Report::default() };
        store.router.on_probe_result(store.now, 0, MS, DispatchEnd::Answered, Some(report));
        let write = store.command(MUTATING);
        assert_eq!(store.place(&write) == Placement::Hold, held_back, "queue {queue:?}");
    }
}

#[test]
fn one_slow_answer_makes_no_read_long() {
    // A low-traffic router must not send all unbounded reads to the replica with the oldest data after one slow answer.
    let mut store = Store::behind(&[], &[0, 50 * MS, 700 * MS], 0);
    let mut first = store.command(ANY);
    store.sent(&mut first);
    store.end(&mut first, DispatchEnd::Answered, 700 * MS);
    store.now += 30_000 * MS;
    let seen = store.answered(ANY, 20, 20 * MS);
    assert!(seen[1] > 0 && seen[2] > 0, "{seen:?}");
}

#[test]
fn a_command_that_fails_anywhere_is_no_members_fault() {
    // Commands that fail wherever they go must not take every member out. Cases: at how many members each command
    // fails, and whether member 1 is avoided then.
    for (members, left) in [(1, true), (2, false)] {
        let mut store = Store::calm(&[]);
        for _ in 0..6 {
            let mut held = store.command(ANY);
            for server in 1..=members {
                store.put(&mut held, server);
                store.end(&mut held, DispatchEnd::Errored, MS);
            }
        }
        let seen = store.answered(ANY, 20, 20 * MS);
        assert_eq!(seen[1] == 0, left, "{members} members: {seen:?}");
    }
}

#[test]
fn a_primary_that_refuses_connections_is_tried_again_and_a_silent_one_is_not() {
    // A primary may refuse only this router's connections, and the replicas would reject each write.
    for (ending, again) in
        [(DispatchEnd::Unconnected, true), (DispatchEnd::Reset, true), (DispatchEnd::TimedOut, false)]
    {
        let mut store = Store::calm(&[]);
        let mut held = store.command(KEYED);
        store.sent(&mut held);
        store.end(&mut held, ending, 300 * MS);
        store.now += 40 * MS;
        assert_eq!(matches!(store.place(&held), Placement::Dispatch { server: 0, .. }), again, "{ending:?}");
    }
}

#[test]
fn the_last_moments_of_a_command_keep_no_host_busy() {
    // A wait of 0 while a dispatch is in flight makes the host ask thousands of times in one round.
    for command_group in [ANY, FRESH, KEYED] {
        let mut store = Store::calm(&[]);
        let mut held = store.command(command_group);
        store.sent(&mut held);
        for left in [6 * MS, 5 * MS, MS, 0] {
            store.now = held.command.client_timeout - left;
            let wait = store.router.next_check(store.now, Some(&held));
            assert!(wait.after >= 5 * MS, "{left} us left: {} us", wait.after);
        }
    }
}

#[test]
fn same_questions_same_answers() {
    let run = || {
        let mut store = Store::calm(&[]);
        let mut order = Vec::new();
        for _ in 0..50 {
            let mut held = store.command(ANY);
            order.push(store.sent(&mut held));
            store.end(&mut held, DispatchEnd::Answered, MS);
        }
        order
    };
    assert_eq!(run(), run());
}

#[test]
fn senseless_settings_are_named() {
    for (name, value) in [
        ("command_groups", 0.0),
        ("command_group.1.bound", -1.0),
        ("command_group.0.response_target", 0.0),
        ("command_group.2.client_timeout", -5.0),
        ("command_group.5.repeat_within", 0.0),
    ] {
        let error = Router::new(conf(&[(name, Value::Number(value))]), 1).err();
        assert!(error.as_ref().is_some_and(|error| error.contains(name)), "{name}: {error:?}");
    }
}

#[test]
fn unknown_needs_and_effects_are_the_strictest() {
    let mut store = Store::calm(&[
        ("command_group.0.need", Value::Text("something new".into())),
        ("command_group.0.effect", Value::Text("something new".into())),
    ]);
    let mut held = store.command(ANY);
    assert_eq!(store.sent(&mut held), 0);
    store.end(&mut held, DispatchEnd::TimedOut, 100 * MS);
    assert_eq!(store.place(&held), Placement::Abandon(FinalAnswer::Failed));
    let missing = Command { group: GROUP + 1, ..store.command(ANY).command };
    assert_eq!(store.place(&PendingCommand { command: missing, dispatches: vec![] }), Placement::Hold);
}

#[test]
fn what_others_saw_is_weaker_than_own_answers() {
    // Routers that start together must not each learn by failures what the others know, nor believe one that is
    // wrong. Cases: the observation, whether servers check freshness themselves, the evidence seen here, and where a
    // write goes. An observation older than the last answer here does not take the member out.
    let told = |server, leads, bad: bool| PeerObservation {
        server,
        leading_at: leads,
        unusable_at: bad.then_some(1),
        mean_wait: 0.0,
    };
    for (guards, denied, hearsay, goes) in [
        ("wait", false, None, 0),
        ("wait", false, Some(told(1, Some(1), false)), 1),
        ("silent", false, Some(told(1, Some(1), false)), 0),
        ("wait", true, Some(told(1, Some(1), false)), 0),
        ("wait", false, Some(told(0, None, true)), 0),
    ] {
        let mut store = Store::calm(&[("guards", Value::Text(guards.into()))]);
        store.now += 10_000 * MS;
        for server in 0..2 {
            store.probe(server, MS, server == 0, 0);
        }
        store.now += 6_000 * MS;
        if denied {
            store.probe(1, MS, false, 0);
        }
        if let Some(hearsay) = hearsay {
            // Observed just now, after all evidence seen here.
            let leads = hearsay.leading_at.map(|_| store.now);
            store.router.on_peer_observation(store.now, &PeerObservation { leading_at: leads, ..hearsay });
        }
        let mut held = store.command(MUTATING);
        assert_eq!(store.sent(&mut held), goes, "{guards}, {denied}, {hearsay:?}");
    }
}

#[test]
fn a_queue_that_others_met_keeps_more_away_from_a_cold_member() {
    // No router has seen the queue itself, and an observation that there is none must not raise the load.
    let sent = [0.0, 200e3].map(|waiting| {
        let mut store = Store::calm(&[]);
        store.restart(0);
        store.now += 10 * MS;
        store.router.on_peer_observation(
            store.now,
            &PeerObservation { mean_wait: waiting, ..PeerObservation::default() },
        );
        let router = store.router.clone();
        let sent = (0..1_000).filter(|_| {
            (store.router, store.now) = (router.clone(), store.now + 10);
            let held = store.command(MUTATING);
            matches!(store.place(&held), Placement::Dispatch { .. })
        });
        sent.count()
    });
    assert!(sent[0] > sent[1] + sent[1] / 4 && sent[1] > 0, "{sent:?}");
}

#[test]
fn many_routers_let_fewer_commands_through_while_answers_are_late() {
    // Hundreds of routers have too few commands each for a concurrency limit to take effect and would keep all members
    // late. Writes are shed too: a primary that is full of them answers none in time.
    for (routers, fewer, command_group) in
        [(300.0, true, BOUNDED), (3.0, false, BOUNDED), (300.0, true, MUTATING), (3.0, false, MUTATING)]
    {
        let mut store = Store::calm(&[("routers", Value::Number(routers))]);
        let throttled = |store: &mut Store| {
            (0..200)
                .filter(|_| matches!(store.place(&store.command(command_group)), Placement::Abandon(_)))
                .count()
        };
        for (took, late) in [(400, true), (20, false)] {
            for _ in 0..40 {
                store.now += 500 * MS;
                let mut held = store.command(BOUNDED);
                store.put(&mut held, 1);
                store.end(&mut held, DispatchEnd::Answered, took * MS);
            }
            let expected = if late && fewer { 120..=180 } else { 0..=0 };
            let seen = throttled(&mut store.clone());
            assert!(expected.contains(&seen), "{routers} routers, {took} ms: {seen}");
        }
    }
}

#[test]
fn long_reads_gather_where_data_is_old_and_not_where_nothing_was_heard_of_late() {
    // To a router with little traffic, any member that it has not heard of seems furthest behind.
    let mut store = Store::behind(&[], &[0, 0, 700 * MS], 0);
    store.answered(ANY, 10, 700 * MS);
    store.now += 3_000 * MS;
    store.probe(2, MS, false, 700 * MS);
    for _ in 0..6 {
        let mut held = store.command(ANY);
        assert_eq!(store.sent(&mut held), 2);
        store.end(&mut held, DispatchEnd::Answered, 700 * MS);
    }
}

#[test]
fn no_primary_is_sought_by_probes_that_tell_no_role() {
    // Hundreds of routers must not probe all members again and again for a role that no probe reports.
    for tells in [true, false] {
        let mut store = Store::calm(&[]);
        store.router = Router::new(conf(&[]), 42).expect("settings make sense");
        store.list(&[(0, 0, false), (1, 0, false), (2, 0, false)]);
        let report = tells.then(|| Report { primary: Some(false), ..Report::default() });
        (0..3).for_each(|server| {
            store.router.on_probe_result(store.now, server, MS, DispatchEnd::Answered, report)
        });
        let held = store.command(MUTATING);
        store.place(&held);
        store.router.next_check(store.now, None);
        (0..3).for_each(|server| {
            store.router.on_probe_result(store.now, server, MS, DispatchEnd::Answered, report)
        });
        store.now += 500 * MS;
        store.place(&held);
        let sought = !store.router.next_check(store.now, None).probes.is_empty();
        assert_eq!(sought, tells);
    }
}

#[test]
fn a_lone_replica_is_left_to_reads_with_a_bound() {
    // Long reads would keep the only replica of a group from applying the log: an idle primary takes some first.
    let mut store = Store::calm(&[]);
    store.answered(ANY, 10, 700 * MS);
    store.standing(2, ServerState::Draining);
    store.now += 100 * MS;
    let mut held = store.command(ANY);
    assert_eq!(store.sent(&mut held), 0);
}
