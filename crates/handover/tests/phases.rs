//! Table-driven tests of phases, holding limits and release pacing.

use tansyjunction::interface::Micros;
use tansyjunction_handover::{Admission, Handover, HandoverConfig, Phase, RequestError, Write};

const MS: Micros = 1_000;
const START: Micros = 1_000_000_000;

struct Bench {
    handover: Handover,
    now: Micros,
    last: u64,
}

impl Bench {
    /// Server 1 is the primary of shard 0; servers 2 and 3 follow.
    fn new(figures: HandoverConfig) -> Self {
        let mut bench = Bench { handover: Handover::new(figures, 7), now: START, last: 0 };
        bench.claims(1);
        bench.denies(2);
        bench.denies(3);
        bench
    }

    fn calm() -> Self {
        Bench::new(HandoverConfig::default())
    }

    fn claims(&mut self, server: usize) {
        self.handover.on_primary_claim(self.now, 0, server, Some(self.now));
    }

    fn denies(&mut self, server: usize) {
        self.handover.on_primary_denial(self.now, 0, server, Some(self.now));
    }

    fn refuses(&mut self, server: usize) {
        // A single failure may be an idle connection that ended.
        self.handover.on_failure(self.now, 0, server);
        self.handover.on_failure(self.now, 0, server);
    }

    fn write(&mut self) -> Write {
        self.last += 1;
        let (arrived, client_timeout) = (self.now, self.now + 2_000 * MS);
        Write { id: self.last, client: self.last, bytes: 100, arrived, client_timeout, ..Write::default() }
    }

    fn admit(&mut self, write: &Write) -> Admission {
        self.handover.admit(self.now, write)
    }

    /// Adds a new write that is held.
    fn held(&mut self) -> u64 {
        let write = self.write();
        assert_eq!(self.admit(&write), Admission::Hold);
        write.id
    }

    fn after(&mut self, time: Micros) -> Vec<u64> {
        self.now += time;
        self.handover.due(self.now).release
    }

    fn phase(&self) -> Phase {
        self.handover.all_status()[0].phase
    }

    /// Releases and answers writes at `server` until none is held; returns their number and the time it took.
    fn drain(&mut self, server: usize) -> (usize, Micros) {
        let (began, mut count) = (self.now, 0);
        for _ in 0..10_000 {
            let due = self.handover.due(self.now);
            for id in due.release {
                assert!(self.handover.may_write_to(0, server, id));
                self.handover.on_write_answered(self.now, 0, server, id, Some(self.now));
                count += 1;
            }
            if self.handover.all_status()[0].held == 0 {
                break;
            }
            self.now = self.handover.next_due().clamp(self.now + 1, self.now + MS);
        }
        (count, self.now - began)
    }
}

#[test]
fn writes_pass_while_a_shard_is_steady() {
    let mut bench = Bench::calm();
    for _ in 0..3 {
        let write = bench.write();
        assert_eq!(bench.admit(&write), Admission::Pass);
        assert!(bench.handover.may_write_to(0, 1, write.id));
    }
    assert_eq!((bench.phase(), bench.handover.all_status()[0].in_flight), (Phase::Steady, 3));
}

#[test]
fn a_planned_change_holds_confirms_and_releases() {
    let mut bench = Bench::calm();
    let out = bench.write();
    bench.admit(&out);
    bench.handover.may_write_to(0, 1, out.id);
    assert_eq!(bench.handover.plan_change(bench.now, 0, 2), Ok(()));
    assert_eq!(bench.phase(), Phase::Announced);
    bench.after(MS);
    assert_eq!(bench.phase(), Phase::Draining);
    let held: Vec<u64> = (0..5).map(|_| bench.held()).collect();
    bench.now += 20 * MS;
    bench.handover.on_write_answered(bench.now, 0, 1, out.id, Some(bench.now));
    assert_eq!(bench.phase(), Phase::Electing);
    // The old primary still claims the role; nothing is released to it.
    bench.claims(1);
    assert_eq!(bench.after(50 * MS), Vec::<u64>::new());
    bench.claims(2);
    assert_eq!(bench.phase(), Phase::Confirmed);
    assert_eq!(bench.after(0), held[..1]);
    let status = &bench.handover.all_status()[0];
    assert_eq!((status.primary, status.term, &status.fenced[..]), (Some(2), 1, &[1][..]));
    assert!(!bench.handover.may_write_to(0, 1, held[0]) && bench.handover.may_write_to(0, 2, held[0]));
    bench.handover.on_write_answered(bench.now, 0, 2, held[0], Some(bench.now));
    assert_eq!(bench.drain(2).0, 4);
    assert_eq!(bench.phase(), Phase::Steady);
    // The old primary learns that it follows, so it may become primary again.
    bench.denies(1);
    assert_eq!(bench.handover.all_status()[0].fenced, []);
}

#[test]
fn what_ends_a_change_before_it_is_done() {
    // Events in a planned change from 1 to 2 while writes are held, and the phase and primary after them.
    type Happening = fn(&mut Bench);
    let cases: [(&str, Happening, Phase, Option<usize>); 6] = [
        ("abort", |b| assert_eq!(b.handover.abort_change(b.now, 0), Ok(())), Phase::Releasing, Some(1)),
        ("the target dies", |b| b.refuses(2), Phase::Releasing, Some(1)),
        ("the old primary dies", |b| b.refuses(1), Phase::Electing, Some(1)),
        (
            "the old one dies, another leads",
            |b| {
                b.refuses(1);
                b.claims(3)
            },
            Phase::Confirmed,
            Some(3),
        ),
        (
            "it goes back",
            |b| {
                b.claims(2);
                b.denies(2);
                b.denies(1);
                b.claims(1)
            },
            Phase::Confirmed,
            Some(1),
        ),
        (
            "it takes too long",
            |b| {
                b.now += 40_000 * MS;
                b.after(0);
            },
            Phase::Releasing,
            Some(1),
        ),
    ];
    for (name, happens, phase, primary) in cases {
        let mut bench = Bench::calm();
        bench.handover.plan_change(bench.now, 0, 2).expect("it is taken");
        bench.after(MS);
        if name != "it takes too long" {
            bench.held();
        } else {
            let mut write = bench.write();
            write.client_timeout += 100_000 * MS;
            assert_eq!(bench.admit(&write), Admission::Hold);
        }
        happens(&mut bench);
        let status = bench.handover.all_status().remove(0);
        // The first held write may be in flight already, with the shard steady again.
        let on = status.held == 0 && matches!(status.phase, Phase::Steady | Phase::Releasing);
        assert!(status.phase == phase || on && phase == Phase::Releasing, "{name}: {:?}", status.phase);
        assert_eq!(status.primary, primary, "{name}");
        if phase != Phase::Electing {
            let server = primary.expect("one leads");
            bench.drain(server);
            assert_eq!(bench.handover.all_status()[0].held, 0, "{name}");
        }
    }
}

#[test]
fn an_abort_at_any_step_leaves_nothing_held() {
    for step in [Phase::Announced, Phase::Draining, Phase::Electing, Phase::Confirmed] {
        let mut bench = Bench::calm();
        let out = bench.write();
        bench.admit(&out);
        bench.handover.may_write_to(0, 1, out.id);
        bench.handover.plan_change(bench.now, 0, 2).expect("it is taken");
        if step != Phase::Announced {
            bench.after(MS);
            bench.held();
            bench.held();
        }
        if step == Phase::Electing || step == Phase::Confirmed {
            bench.handover.on_write_answered(bench.now, 0, 1, out.id, Some(bench.now));
        }
        if step == Phase::Confirmed {
            bench.claims(2);
        }
        assert_eq!(bench.phase(), step);
        // Once the target is primary there is nothing to abort; held writes go there.
        let (said, leads) =
            if step == Phase::Confirmed { (Err(RequestError::NothingInProgress), 2) } else { (Ok(()), 1) };
        assert_eq!(bench.handover.abort_change(bench.now, 0), said, "{step:?}");
        if step == Phase::Draining {
            bench.handover.on_write_answered(bench.now, 0, 1, out.id, Some(bench.now));
        }
        bench.drain(leads);
        let status = &bench.handover.all_status()[0];
        assert_eq!((status.held, status.primary), (0, Some(leads)), "{step:?}");
    }
}

#[test]
fn a_target_that_does_not_catch_up_holds_nothing() {
    let mut bench = Bench::calm();
    let write = bench.write();
    bench.admit(&write);
    bench.now += 10_000 * MS;
    bench.handover.on_write_answered(bench.now, 0, 1, write.id, Some(bench.now));
    bench.handover.plan_change(bench.now, 0, 2).expect("it is taken");
    bench.after(100 * MS);
    assert_eq!(bench.phase(), Phase::Announced);
    let write = bench.write();
    assert_eq!(bench.admit(&write), Admission::Pass);
    bench.after(6_000 * MS);
    assert_eq!((bench.phase(), bench.handover.all_status()[0].target), (Phase::Steady, None));
}

#[test]
fn an_unplanned_change_lets_one_write_seek_and_holds_the_others() {
    let mut bench = Bench::new(HandoverConfig { probe_interval: 0, ..HandoverConfig::default() });
    bench.refuses(1);
    assert_eq!(bench.phase(), Phase::PrimaryLost);
    let scout = bench.write();
    assert_eq!(bench.admit(&scout), Admission::Pass);
    let held = [bench.held(), bench.held()];
    // The trial write finds that 2 follows, and remains the trial write.
    assert!(bench.handover.may_write_to(0, 2, scout.id));
    bench.denies(2);
    assert_eq!(bench.admit(&scout), Admission::Pass);
    assert_eq!(bench.after(100 * MS), Vec::<u64>::new());
    bench.claims(3);
    // The router has sent the trial write there meanwhile.
    assert!(bench.handover.may_write_to(0, 3, scout.id));
    assert_eq!(bench.phase(), Phase::Confirmed);
    let first = bench.after(0);
    assert_eq!(first, held[..1]);
    bench.handover.may_write_to(0, 3, held[0]);
    bench.handover.on_write_answered(bench.now, 0, 3, held[0], Some(bench.now));
    assert_eq!(bench.drain(3).0, 1);
}

#[test]
fn one_break_is_no_change_and_two_in_a_row_are() {
    let mut bench = Bench::calm();
    for (breaks, phase) in [(1, Phase::Steady), (2, Phase::PrimaryLost)] {
        bench.handover.on_failure(bench.now, 0, 1);
        assert_eq!(bench.phase(), phase, "{breaks}");
    }
    // It is back unchanged.
    bench.claims(1);
    bench.after(0);
    assert_eq!((bench.phase(), bench.handover.all_status()[0].term), (Phase::Steady, 0));
}

#[test]
fn a_command_costs_no_look_through_all_shards_while_nothing_changes() {
    let mut bench = Bench::calm();
    bench.after(0);
    let before = bench.handover.next_due();
    for _ in 0..10 {
        let write = bench.write();
        bench.admit(&write);
        bench.handover.may_write_to(0, 1, write.id);
        bench.now += MS;
        bench.handover.on_write_answered(bench.now, 0, 1, write.id, Some(bench.now));
    }
    assert!(bench.handover.next_due() >= before.min(bench.now + 200 * MS), "{}", bench.handover.next_due());
    // A shard in a change is probed at once, and each phase is reported once.
    bench.refuses(1);
    assert_eq!(bench.handover.next_due(), bench.now);
    assert_eq!(bench.handover.due(bench.now).changed_shards, [0]);
    assert_eq!(bench.handover.due(bench.now).changed_shards, Vec::<usize>::new());
}

#[test]
fn what_is_out_at_a_replaced_primary_is_called_off_where_its_key_takes_it_on() {
    for (keyed, recalled) in [(true, true), (false, false)] {
        let mut bench = Bench::calm();
        let write = Write { keyed, ..bench.write() };
        bench.admit(&write);
        bench.handover.may_write_to(0, 1, write.id);
        bench.refuses(1);
        bench.claims(2);
        assert_eq!(!bench.handover.due(bench.now).cancel.is_empty(), recalled, "keyed {keyed}");
    }
}

#[test]
fn a_primary_that_holds_a_write_without_a_word_is_asked() {
    // A hung primary must be noticed even with little traffic.
    for (heard, looks) in [(false, vec![1, 2, 3]), (true, vec![])] {
        let mut bench = Bench::calm();
        let write = bench.write();
        bench.admit(&write);
        bench.handover.may_write_to(0, 1, write.id);
        bench.now += 100 * MS;
        if heard {
            bench.claims(1);
        }
        assert_eq!(bench.handover.due(bench.now).probe, Vec::<usize>::new());
        bench.now += 150 * MS;
        assert_eq!(bench.handover.due(bench.now).probe, looks, "heard {heard}");
    }
}

#[test]
fn a_target_is_asked_how_it_stands_though_no_client_sends_anything() {
    // A gateway without traffic must learn how far the target is, or it would keep all others waiting.
    let mut bench = Bench::calm();
    assert_eq!(bench.handover.due(bench.now).probe, Vec::<usize>::new());
    bench.handover.plan_change(bench.now, 0, 2).expect("it is taken");
    assert_eq!(bench.handover.due(bench.now).probe, vec![1, 2, 3]);
}

#[test]
fn two_that_lead_get_nothing_until_evidence_decides() {
    type Happening = fn(&mut Bench);
    let cases: [(&str, Happening, usize); 5] = [
        ("the old one follows", |b| b.denies(1), 2),
        ("the new one follows", |b| b.denies(2), 1),
        ("the old one is lost", |b| b.refuses(1), 2),
        ("the list is told anew", |b| b.handover.on_list_entry(b.now, 0, 2, true, false), 2),
        (
            "one falls silent",
            |b| {
                for _ in 0..20 {
                    b.now += 100 * MS;
                    b.claims(2);
                    b.handover.due(b.now);
                }
            },
            2,
        ),
    ];
    for (name, happens, leads) in cases {
        let mut bench = Bench::calm();
        let out = bench.write();
        bench.admit(&out);
        bench.now += 100 * MS;
        bench.claims(2);
        assert_eq!(bench.phase(), Phase::Conflict, "{name}");
        let held = bench.held();
        assert!(![1, 2].into_iter().any(|server| bench.handover.may_write_to(0, server, out.id)), "{name}");
        assert_eq!(bench.after(100 * MS), Vec::<u64>::new(), "{name}");
        happens(&mut bench);
        let status = &bench.handover.all_status()[0];
        assert_eq!(status.primary, Some(leads), "{name}");
        let loser = 3 - leads;
        assert!(status.fenced.contains(&loser) != (name.contains("follows")), "{name}: {:?}", status.fenced);
        let released = bench.after(0);
        assert!(released == [held] || bench.handover.all_status()[0].held == 0, "{name}");
    }
}

#[test]
fn an_old_primary_that_comes_back_as_it_was_is_fenced() {
    let mut bench = Bench::calm();
    let stuck = bench.now;
    bench.refuses(1);
    bench.now += 2_000 * MS;
    bench.claims(2);
    let write = bench.write();
    bench.admit(&write);
    bench.now += 1_000 * MS;
    bench.handover.on_write_answered(bench.now, 0, 2, write.id, Some(bench.now));
    // It claims to be primary, at the position where it stopped.
    bench.handover.on_primary_claim(bench.now, 0, 1, Some(stuck));
    let status = &bench.handover.all_status()[0];
    assert_eq!((status.primary, &status.fenced[..]), (Some(2), &[1][..]));
    assert!(!bench.handover.may_write_to(0, 1, 99) && bench.handover.may_write_to(0, 2, 99));
}

#[test]
fn what_can_not_be_held_is_answered_at_once() {
    let few = HandoverConfig {
        max_held_writes: 3,
        max_held_bytes: 350,
        max_held_per_client: 2,
        max_held_bytes_total: 1_000,
        ..HandoverConfig::default()
    };
    // Clients and sizes of writes, and whether the last one is held.
    for (name, writes, kept) in [
        ("few", &[(1, 100), (2, 100)][..], true),
        ("too many", &[(1, 10), (2, 10), (3, 10), (4, 10)], false),
        ("too large", &[(1, 200), (2, 200)], false),
        ("all of one client", &[(1, 10), (1, 10), (1, 10)], false),
    ] {
        let mut bench = Bench::new(few.clone());
        bench.handover.pause(0).expect("a shard");
        let mut last = Admission::Pass;
        for (client, bytes) in writes {
            let write = Write { client: *client, bytes: *bytes, ..bench.write() };
            last = bench.admit(&write);
        }
        assert_eq!(last == Admission::Hold, kept, "{name}: {last:?}");
        assert!(
            kept || matches!(last, Admission::Throttle { retry_after } if retry_after > 0),
            "{name}: {last:?}"
        );
    }
}

#[test]
fn one_that_can_not_make_it_is_told_when_that_is_known() {
    let mut bench = Bench::calm();
    // A change that takes three seconds, then another.
    bench.refuses(1);
    bench.now += 3_000 * MS;
    bench.claims(2);
    bench.after(0);
    bench.refuses(2);
    let scout = bench.write();
    bench.admit(&scout);
    let write = bench.write();
    assert!(matches!(bench.admit(&write), Admission::Throttle { retry_after } if retry_after > 2_500 * MS));
    bench.now += 1_500 * MS;
    assert_eq!(
        {
            let w = bench.write();
            bench.admit(&w)
        },
        Admission::Hold
    );
    // It may have executed: throttled would say that a retry is harmless.
    let doubtful = Write {
        client_timeout: bench.now + 100 * MS,
        repeat_until: Some(bench.now + 50 * MS),
        ..bench.write()
    };
    assert_eq!(bench.admit(&doubtful), Admission::Fail);
}

#[test]
fn in_doubt_within_its_window_it_waits_and_beyond_it_fails() {
    // A keyed write with a window of two seconds, the time since it was sent, and the expected result.
    for (ago, repeat, expected) in [
        (1_900, 2_000, Admission::Hold),
        (2_000, 2_000, Admission::Fail),
        (2_100, 2_000, Admission::Fail),
        (0, 0, Admission::Fail),
    ] {
        let mut bench = Bench::calm();
        bench.handover.pause(0).expect("a shard");
        let until = bench.now - ago * MS + repeat * MS;
        let until = if repeat == 0 { 0 } else { until };
        let write =
            Write { repeat_until: Some(until), client_timeout: bench.now + 3_000 * MS, ..bench.write() };
        assert_eq!(bench.admit(&write), expected, "{ago} ms ago");
        if expected == Admission::Hold {
            bench.now += 101 * MS;
            let due = bench.handover.due(bench.now);
            assert_eq!((due.release, due.give_up), (vec![], vec![(write.id, None)]));
        }
    }
}

#[test]
fn a_sessions_writes_keep_their_order_and_others_go_by_time_left() {
    let mut bench = Bench::calm();
    bench.handover.pause(0).expect("a shard");
    let mut add = |session: Option<usize>, left: Micros| {
        let write = Write { session, client_timeout: bench.now + left * MS, ..bench.write() };
        assert_eq!(bench.admit(&write), Admission::Hold);
        write.id
    };
    let (first, second) = (add(Some(5), 1_900), add(Some(5), 500));
    let (late, soon) = (add(None, 1_500), add(None, 300));
    bench.handover.resume(bench.now, 0).expect("it was paused");
    let mut order = Vec::new();
    for _ in 0..200 {
        for id in bench.after(MS) {
            order.push(id);
            bench.handover.on_write_answered(bench.now, 0, 1, id, Some(bench.now));
        }
    }
    let place = |id: u64| order.iter().position(|other| *other == id).expect("it was released");
    assert!(place(first) < place(second) && place(soon) < place(late), "{order:?}");
    assert_eq!(place(soon), 0);
}

/// Clients of held writes may wait longer than their gateway runs: they must be answered before it ends.
#[test]
fn where_the_host_ends_all_that_is_held_is_answered_before() {
    let mut bench = Bench::calm();
    bench.handover.pause(0).expect("a shard");
    let mut add = |session: Option<usize>, left: Micros| {
        let write = Write { session, client_timeout: bench.now + left * MS, ..bench.write() };
        assert_eq!(bench.admit(&write), Admission::Hold);
        write.id
    };
    let ids = [add(Some(5), 9_000), add(Some(5), 900), add(None, 9_000), add(None, 300)];
    bench.handover.limit_hold_time(bench.now, bench.now + 1_000 * MS);
    assert_eq!(bench.handover.all_status()[0].held, 4);
    let mut given_up = Vec::new();
    for _ in 0..10 {
        bench.now += 100 * MS;
        given_up.extend(bench.handover.due(bench.now).give_up.into_iter().map(|(id, _)| id));
    }
    given_up.sort_unstable();
    assert_eq!(given_up, ids);
    assert_eq!((bench.handover.all_status()[0].held, bench.handover.all_status()[0].held_bytes), (0, 0));
    // Within a session the order is kept, whatever time is left.
    let mut bench = Bench::calm();
    bench.handover.pause(0).expect("a shard");
    let mut add = |left: Micros| {
        let write = Write { session: Some(5), client_timeout: bench.now + left * MS, ..bench.write() };
        assert_eq!(bench.admit(&write), Admission::Hold);
        write.id
    };
    let order = [add(9_000), add(2_000), add(8_000)];
    bench.handover.limit_hold_time(bench.now, bench.now + 3_000 * MS);
    bench.handover.resume(bench.now, 0).expect("it was paused");
    let mut released = Vec::new();
    for _ in 0..200 {
        for id in bench.after(MS) {
            released.push(id);
            bench.handover.on_write_answered(bench.now, 0, 1, id, Some(bench.now));
        }
    }
    assert_eq!(released, order);
}

#[test]
fn a_client_that_leaves_leaves_nothing_behind() {
    let mut bench = Bench::calm();
    bench.handover.pause(0).expect("a shard");
    let ids = [bench.held(), bench.held(), bench.held()];
    for id in ids {
        bench.handover.on_write_finished(bench.now, id);
    }
    let status = &bench.handover.all_status()[0];
    assert_eq!((status.held, status.held_bytes, status.in_flight), (0, 0, 0));
    bench.handover.resume(bench.now, 0).expect("it was paused");
    assert_eq!(bench.after(MS), Vec::<u64>::new());
}

#[test]
fn releases_widen_with_answers_and_are_spread_over_gateways() {
    let took = |gateways: u64| {
        let mut bench = Bench::new(HandoverConfig { gateways, ..HandoverConfig::default() });
        bench.refuses(1);
        let scout = bench.write();
        bench.admit(&scout);
        for _ in 0..200 {
            bench.held();
        }
        bench.now += 500 * MS;
        bench.handover.on_write_finished(bench.now, scout.id);
        bench.claims(2);
        let (count, took) = bench.drain(2);
        assert_eq!(count, 200);
        took
    };
    let (one, twenty) = (took(1), took(20));
    assert!(one < 300 * MS && twenty > one + 50 * MS && twenty < 1_500 * MS, "{one} {twenty}");
}

#[test]
fn a_release_stops_where_the_new_primary_is_none() {
    let mut bench = Bench::calm();
    bench.refuses(1);
    let scout = bench.write();
    bench.admit(&scout);
    let held: Vec<u64> = (0..10).map(|_| bench.held()).collect();
    bench.claims(2);
    bench.handover.on_write_finished(bench.now, scout.id);
    let first = bench.after(0);
    assert_eq!(first, held[..1]);
    // It rejects the write, so it follows.
    bench.handover.may_write_to(0, 2, first[0]);
    bench.denies(2);
    assert_eq!(bench.phase(), Phase::Electing);
    let back = Write {
        id: first[0],
        client: first[0],
        bytes: 100,
        arrived: START,
        client_timeout: START + 2_000 * MS,
        ..Write::default()
    };
    bench.admit(&back);
    assert!(bench.after(50 * MS).len() <= 1);
    assert!(bench.handover.all_status()[0].held >= 9);
    bench.claims(3);
    bench.handover.on_write_finished(bench.now, back.id);
    assert!(bench.drain(3).0 >= 9);
}

#[test]
fn all_shards_at_once_stay_within_the_bound_on_memory() {
    let figures = HandoverConfig { max_held_bytes_total: 100_000, ..HandoverConfig::default() };
    let mut handover = Handover::new(figures, 1);
    let (mut held, mut throttled) = (0, 0);
    for shard in 0..10 {
        handover.on_primary_claim(START, shard, 1, Some(START));
        handover.on_failure(START, shard, 1);
        handover.on_failure(START, shard, 1);
        for n in 0..200 {
            let id = (shard * 1_000 + n) as u64;
            let write = Write {
                id,
                shard,
                client: id,
                bytes: 100,
                arrived: START,
                client_timeout: START + 2_000 * MS,
                ..Write::default()
            };
            match handover.admit(START, &write) {
                Admission::Hold => held += 1,
                Admission::Throttle { .. } => throttled += 1,
                Admission::Pass => {}
                Admission::Fail => panic!("none may have run"),
            }
        }
    }
    assert_eq!((held, throttled), (1_000, 1_000));
    let due = handover.due(START + 2_000 * MS);
    assert_eq!(due.give_up.len() + due.release.len(), 1_000);
    assert!(handover.all_status().iter().all(|status| status.held == 0));
}

#[test]
fn words_that_can_not_be_taken_are_refused() {
    let mut bench = Bench::calm();
    bench.refuses(3);
    for (shard, target, refusal) in [
        (9, 2, RequestError::NoSuchShard),
        (0, 9, RequestError::NoSuchServer),
        (0, 1, RequestError::AlreadyPrimary),
        (0, 3, RequestError::TargetUnavailable),
    ] {
        assert_eq!(bench.handover.plan_change(bench.now, shard, target), Err(refusal));
    }
    assert_eq!(bench.handover.abort_change(bench.now, 0), Err(RequestError::NothingInProgress));
    assert_eq!(bench.handover.resume(bench.now, 0), Err(RequestError::NothingInProgress));
    bench.handover.plan_change(bench.now, 0, 2).expect("it is taken");
    assert_eq!(bench.handover.plan_change(bench.now, 0, 2), Err(RequestError::ChangeInProgress));
}
