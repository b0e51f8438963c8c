//! Tables of cases: phases by evidence, holds by their bounds, releases by their pace.

use tansyjunction::interface::Micros;
use tansyjunction_handover::{Admit, Figures, Handover, Phase, Refusal, Write};

const MS: Micros = 1_000;
const START: Micros = 1_000_000_000;

struct Bench {
    handover: Handover,
    now: Micros,
    last: u64,
}

impl Bench {
    /// Server 1 leads shard 0, servers 2 and 3 follow.
    fn new(figures: Figures) -> Self {
        let mut bench = Bench { handover: Handover::new(figures, 7), now: START, last: 0 };
        bench.claims(1);
        bench.denies(2);
        bench.denies(3);
        bench
    }

    fn calm() -> Self {
        Bench::new(Figures::default())
    }

    fn claims(&mut self, server: usize) {
        self.handover.claims(self.now, 0, server, Some(self.now));
    }

    fn denies(&mut self, server: usize) {
        self.handover.denies(self.now, 0, server, Some(self.now));
    }

    fn refuses(&mut self, server: usize) {
        // One break may be an idle connection's end.
        self.handover.lost(self.now, 0, server);
        self.handover.lost(self.now, 0, server);
    }

    fn write(&mut self) -> Write {
        self.last += 1;
        let (arrived, client_timeout) = (self.now, self.now + 2_000 * MS);
        Write { id: self.last, client: self.last, bytes: 100, arrived, client_timeout, ..Write::default() }
    }

    fn admit(&mut self, write: &Write) -> Admit {
        self.handover.admit(self.now, write)
    }

    /// A new write that is held.
    fn held(&mut self) -> u64 {
        let write = self.write();
        assert_eq!(self.admit(&write), Admit::Hold);
        write.id
    }

    fn after(&mut self, time: Micros) -> Vec<u64> {
        self.now += time;
        self.handover.due(self.now).release
    }

    fn phase(&self) -> Phase {
        self.handover.status()[0].phase
    }

    /// Releases and answers at server until nothing is held; how many went out, and how long it took.
    fn drain(&mut self, server: usize) -> (usize, Micros) {
        let (began, mut count) = (self.now, 0);
        for _ in 0..10_000 {
            let due = self.handover.due(self.now);
            for id in due.release {
                assert!(self.handover.allows(0, server, id));
                self.handover.answered(self.now, 0, server, id, Some(self.now));
                count += 1;
            }
            if self.handover.status()[0].held == 0 {
                break;
            }
            self.now = self.handover.next().clamp(self.now + 1, self.now + MS);
        }
        (count, self.now - began)
    }
}

#[test]
fn writes_pass_while_a_shard_is_steady() {
    let mut bench = Bench::calm();
    for _ in 0..3 {
        let write = bench.write();
        assert_eq!(bench.admit(&write), Admit::Pass);
        assert!(bench.handover.allows(0, 1, write.id));
    }
    assert_eq!((bench.phase(), bench.handover.status()[0].out), (Phase::Steady, 3));
}

#[test]
fn a_planned_change_holds_confirms_and_releases() {
    let mut bench = Bench::calm();
    let out = bench.write();
    bench.admit(&out);
    bench.handover.allows(0, 1, out.id);
    assert_eq!(bench.handover.plan(bench.now, 0, 2), Ok(()));
    assert_eq!(bench.phase(), Phase::Announced);
    bench.after(MS);
    assert_eq!(bench.phase(), Phase::Draining);
    let held: Vec<u64> = (0..5).map(|_| bench.held()).collect();
    bench.now += 20 * MS;
    bench.handover.answered(bench.now, 0, 1, out.id, Some(bench.now));
    assert_eq!(bench.phase(), Phase::Electing);
    // The old primary still claims it; nothing is released to it.
    bench.claims(1);
    assert_eq!(bench.after(50 * MS), Vec::<u64>::new());
    bench.claims(2);
    assert_eq!(bench.phase(), Phase::Confirmed);
    assert_eq!(bench.after(0), held[..1]);
    let status = &bench.handover.status()[0];
    assert_eq!((status.primary, status.term, &status.fenced[..]), (Some(2), 1, &[1][..]));
    assert!(!bench.handover.allows(0, 1, held[0]) && bench.handover.allows(0, 2, held[0]));
    bench.handover.answered(bench.now, 0, 2, held[0], Some(bench.now));
    assert_eq!(bench.drain(2).0, 4);
    assert_eq!(bench.phase(), Phase::Steady);
    // The old primary hears that it follows: it may lead again one day.
    bench.denies(1);
    assert_eq!(bench.handover.status()[0].fenced, []);
}

#[test]
fn what_ends_a_change_before_it_is_done() {
    // What happens once writes are held in a planned change from 1 to 2, and the phase and primary after it.
    type Happening = fn(&mut Bench);
    let cases: [(&str, Happening, Phase, Option<usize>); 6] = [
        ("abort", |b| assert_eq!(b.handover.abort(b.now, 0), Ok(())), Phase::Releasing, Some(1)),
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
        bench.handover.plan(bench.now, 0, 2).expect("it is taken");
        bench.after(MS);
        if name != "it takes too long" {
            bench.held();
        } else {
            let mut write = bench.write();
            write.client_timeout += 100_000 * MS;
            assert_eq!(bench.admit(&write), Admit::Hold);
        }
        happens(&mut bench);
        let status = bench.handover.status().remove(0);
        // The first of what is held may be on its way already, and the shard be steady with it.
        let on = status.held == 0 && matches!(status.phase, Phase::Steady | Phase::Releasing);
        assert!(status.phase == phase || on && phase == Phase::Releasing, "{name}: {:?}", status.phase);
        assert_eq!(status.primary, primary, "{name}");
        if phase != Phase::Electing {
            let server = primary.expect("one leads");
            bench.drain(server);
            assert_eq!(bench.handover.status()[0].held, 0, "{name}");
        }
    }
}

#[test]
fn an_abort_at_any_step_leaves_nothing_held() {
    for step in [Phase::Announced, Phase::Draining, Phase::Electing, Phase::Confirmed] {
        let mut bench = Bench::calm();
        let out = bench.write();
        bench.admit(&out);
        bench.handover.allows(0, 1, out.id);
        bench.handover.plan(bench.now, 0, 2).expect("it is taken");
        if step != Phase::Announced {
            bench.after(MS);
            bench.held();
            bench.held();
        }
        if step == Phase::Electing || step == Phase::Confirmed {
            bench.handover.answered(bench.now, 0, 1, out.id, Some(bench.now));
        }
        if step == Phase::Confirmed {
            bench.claims(2);
        }
        assert_eq!(bench.phase(), step);
        // Once the target leads there is nothing to take back; what is held goes there.
        let (said, leads) = if step == Phase::Confirmed { (Err(Refusal::Nothing), 2) } else { (Ok(()), 1) };
        assert_eq!(bench.handover.abort(bench.now, 0), said, "{step:?}");
        if step == Phase::Draining {
            bench.handover.answered(bench.now, 0, 1, out.id, Some(bench.now));
        }
        bench.drain(leads);
        let status = &bench.handover.status()[0];
        assert_eq!((status.held, status.primary), (0, Some(leads)), "{step:?}");
    }
}

#[test]
fn a_target_that_does_not_catch_up_holds_nothing() {
    let mut bench = Bench::calm();
    let write = bench.write();
    bench.admit(&write);
    bench.now += 10_000 * MS;
    bench.handover.answered(bench.now, 0, 1, write.id, Some(bench.now));
    bench.handover.plan(bench.now, 0, 2).expect("it is taken");
    bench.after(100 * MS);
    assert_eq!(bench.phase(), Phase::Announced);
    let write = bench.write();
    assert_eq!(bench.admit(&write), Admit::Pass);
    bench.after(6_000 * MS);
    assert_eq!((bench.phase(), bench.handover.status()[0].target), (Phase::Steady, None));
}

#[test]
fn an_unplanned_change_lets_one_write_seek_and_holds_the_others() {
    let mut bench = Bench::new(Figures { look_every: 0, ..Figures::default() });
    bench.refuses(1);
    assert_eq!(bench.phase(), Phase::Unplanned);
    let scout = bench.write();
    assert_eq!(bench.admit(&scout), Admit::Pass);
    let held = [bench.held(), bench.held()];
    // The scout finds that 2 follows, and goes on as the scout.
    assert!(bench.handover.allows(0, 2, scout.id));
    bench.denies(2);
    assert_eq!(bench.admit(&scout), Admit::Pass);
    assert_eq!(bench.after(100 * MS), Vec::<u64>::new());
    bench.claims(3);
    // The router has sent the scout there meanwhile.
    assert!(bench.handover.allows(0, 3, scout.id));
    assert_eq!(bench.phase(), Phase::Confirmed);
    let first = bench.after(0);
    assert_eq!(first, held[..1]);
    bench.handover.allows(0, 3, held[0]);
    bench.handover.answered(bench.now, 0, 3, held[0], Some(bench.now));
    assert_eq!(bench.drain(3).0, 1);
}

#[test]
fn one_break_is_no_change_and_two_in_a_row_are() {
    let mut bench = Bench::calm();
    for (breaks, phase) in [(1, Phase::Steady), (2, Phase::Unplanned)] {
        bench.handover.lost(bench.now, 0, 1);
        assert_eq!(bench.phase(), phase, "{breaks}");
    }
    // It is back as it was.
    bench.claims(1);
    bench.after(0);
    assert_eq!((bench.phase(), bench.handover.status()[0].term), (Phase::Steady, 0));
}

#[test]
fn a_command_costs_no_look_through_all_shards_while_nothing_changes() {
    let mut bench = Bench::calm();
    bench.after(0);
    let before = bench.handover.next();
    for _ in 0..10 {
        let write = bench.write();
        bench.admit(&write);
        bench.handover.allows(0, 1, write.id);
        bench.now += MS;
        bench.handover.answered(bench.now, 0, 1, write.id, Some(bench.now));
    }
    assert!(bench.handover.next() >= before.min(bench.now + 200 * MS), "{}", bench.handover.next());
    // What is under way is asked about at once, and each turn is told once.
    bench.refuses(1);
    assert_eq!(bench.handover.next(), bench.now);
    assert_eq!(bench.handover.due(bench.now).turned, [0]);
    assert_eq!(bench.handover.due(bench.now).turned, Vec::<usize>::new());
}

#[test]
fn what_is_out_at_a_replaced_primary_is_called_off_where_its_key_takes_it_on() {
    for (keyed, recalled) in [(true, true), (false, false)] {
        let mut bench = Bench::calm();
        let write = Write { keyed, ..bench.write() };
        bench.admit(&write);
        bench.handover.allows(0, 1, write.id);
        bench.refuses(1);
        bench.claims(2);
        assert_eq!(!bench.handover.due(bench.now).recall.is_empty(), recalled, "keyed {keyed}");
    }
}

#[test]
fn a_primary_that_holds_a_write_without_a_word_is_asked() {
    // Guards against a hung primary with so little traffic that nothing else tells of it.
    for (heard, looks) in [(false, vec![1, 2, 3]), (true, vec![])] {
        let mut bench = Bench::calm();
        let write = bench.write();
        bench.admit(&write);
        bench.handover.allows(0, 1, write.id);
        bench.now += 100 * MS;
        if heard {
            bench.claims(1);
        }
        assert_eq!(bench.handover.due(bench.now).looks, Vec::<usize>::new());
        bench.now += 150 * MS;
        assert_eq!(bench.handover.due(bench.now).looks, looks, "heard {heard}");
    }
}

#[test]
fn a_target_is_asked_how_it_stands_though_no_client_sends_anything() {
    // Guards against a gateway without traffic that never knows how far the target is, and keeps all others waiting.
    let mut bench = Bench::calm();
    assert_eq!(bench.handover.due(bench.now).looks, Vec::<usize>::new());
    bench.handover.plan(bench.now, 0, 2).expect("it is taken");
    assert_eq!(bench.handover.due(bench.now).looks, vec![1, 2, 3]);
}

#[test]
fn two_that_lead_get_nothing_until_evidence_decides() {
    type Happening = fn(&mut Bench);
    let cases: [(&str, Happening, usize); 5] = [
        ("the old one follows", |b| b.denies(1), 2),
        ("the new one follows", |b| b.denies(2), 1),
        ("the old one is lost", |b| b.refuses(1), 2),
        ("the list is told anew", |b| b.handover.listed(b.now, 0, 2, true, false), 2),
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
        assert_eq!(bench.phase(), Phase::InDoubt, "{name}");
        let held = bench.held();
        assert!(![1, 2].into_iter().any(|server| bench.handover.allows(0, server, out.id)), "{name}");
        assert_eq!(bench.after(100 * MS), Vec::<u64>::new(), "{name}");
        happens(&mut bench);
        let status = &bench.handover.status()[0];
        assert_eq!(status.primary, Some(leads), "{name}");
        let loser = 3 - leads;
        assert!(status.fenced.contains(&loser) != (name.contains("follows")), "{name}: {:?}", status.fenced);
        let released = bench.after(0);
        assert!(released == [held] || bench.handover.status()[0].held == 0, "{name}");
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
    bench.handover.answered(bench.now, 0, 2, write.id, Some(bench.now));
    // It claims to lead, at the position where it stopped.
    bench.handover.claims(bench.now, 0, 1, Some(stuck));
    let status = &bench.handover.status()[0];
    assert_eq!((status.primary, &status.fenced[..]), (Some(2), &[1][..]));
    assert!(!bench.handover.allows(0, 1, 99) && bench.handover.allows(0, 2, 99));
}

#[test]
fn what_can_not_be_held_is_answered_at_once() {
    let few = Figures {
        held_most: 3,
        held_bytes: 350,
        held_client: 2,
        held_bytes_all: 1_000,
        ..Figures::default()
    };
    // Writes of these clients and sizes, and whether the last is kept.
    for (name, writes, kept) in [
        ("few", &[(1, 100), (2, 100)][..], true),
        ("too many", &[(1, 10), (2, 10), (3, 10), (4, 10)], false),
        ("too large", &[(1, 200), (2, 200)], false),
        ("all of one client", &[(1, 10), (1, 10), (1, 10)], false),
    ] {
        let mut bench = Bench::new(few.clone());
        bench.handover.pause(0).expect("a shard");
        let mut last = Admit::Pass;
        for (client, bytes) in writes {
            let write = Write { client: *client, bytes: *bytes, ..bench.write() };
            last = bench.admit(&write);
        }
        assert_eq!(last == Admit::Hold, kept, "{name}: {last:?}");
        assert!(kept || matches!(last, Admit::Throttle { come_back } if come_back > 0), "{name}: {last:?}");
    }
}

#[test]
fn one_that_can_not_make_it_is_told_when_that_is_known() {
    let mut bench = Bench::calm();
    // A change that lasts three seconds, then another.
    bench.refuses(1);
    bench.now += 3_000 * MS;
    bench.claims(2);
    bench.after(0);
    bench.refuses(2);
    let scout = bench.write();
    bench.admit(&scout);
    let write = bench.write();
    assert!(matches!(bench.admit(&write), Admit::Throttle { come_back } if come_back > 2_500 * MS));
    bench.now += 1_500 * MS;
    assert_eq!(
        {
            let w = bench.write();
            bench.admit(&w)
        },
        Admit::Hold
    );
    // It may have run: throttled would say that a new try does no harm.
    let doubtful = Write {
        client_timeout: bench.now + 100 * MS,
        repeat_until: Some(bench.now + 50 * MS),
        ..bench.write()
    };
    assert_eq!(bench.admit(&doubtful), Admit::Fail);
}

#[test]
fn in_doubt_within_its_window_it_waits_and_beyond_it_fails() {
    // A keyed write that was sent two seconds' window ago, so long before now, and what becomes of it.
    for (ago, repeat, expected) in [
        (1_900, 2_000, Admit::Hold),
        (2_000, 2_000, Admit::Fail),
        (2_100, 2_000, Admit::Fail),
        (0, 0, Admit::Fail),
    ] {
        let mut bench = Bench::calm();
        bench.handover.pause(0).expect("a shard");
        let until = bench.now - ago * MS + repeat * MS;
        let until = if repeat == 0 { 0 } else { until };
        let write =
            Write { repeat_until: Some(until), client_timeout: bench.now + 3_000 * MS, ..bench.write() };
        assert_eq!(bench.admit(&write), expected, "{ago} ms ago");
        if expected == Admit::Hold {
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
        assert_eq!(bench.admit(&write), Admit::Hold);
        write.id
    };
    let (first, second) = (add(Some(5), 1_900), add(Some(5), 500));
    let (late, soon) = (add(None, 1_500), add(None, 300));
    bench.handover.resume(bench.now, 0).expect("it was paused");
    let mut order = Vec::new();
    for _ in 0..200 {
        for id in bench.after(MS) {
            order.push(id);
            bench.handover.answered(bench.now, 0, 1, id, Some(bench.now));
        }
    }
    let place = |id: u64| order.iter().position(|other| *other == id).expect("it was released");
    assert!(place(first) < place(second) && place(soon) < place(late), "{order:?}");
    assert_eq!(place(soon), 0);
}

/// Guards against held writes whose clients wait for longer than their gateway lasts: they would never be
/// answered.
#[test]
fn where_the_host_ends_all_that_is_held_is_answered_before() {
    let mut bench = Bench::calm();
    bench.handover.pause(0).expect("a shard");
    let mut add = |session: Option<usize>, left: Micros| {
        let write = Write { session, client_timeout: bench.now + left * MS, ..bench.write() };
        assert_eq!(bench.admit(&write), Admit::Hold);
        write.id
    };
    let ids = [add(Some(5), 9_000), add(Some(5), 900), add(None, 9_000), add(None, 300)];
    bench.handover.hasten(bench.now, bench.now + 1_000 * MS);
    assert_eq!(bench.handover.status()[0].held, 4);
    let mut given_up = Vec::new();
    for _ in 0..10 {
        bench.now += 100 * MS;
        given_up.extend(bench.handover.due(bench.now).give_up.into_iter().map(|(id, _)| id));
    }
    given_up.sort_unstable();
    assert_eq!(given_up, ids);
    assert_eq!((bench.handover.status()[0].held, bench.handover.status()[0].held_bytes), (0, 0));
    // In a session each goes after the one before it still, whatever time is left.
    let mut bench = Bench::calm();
    bench.handover.pause(0).expect("a shard");
    let mut add = |left: Micros| {
        let write = Write { session: Some(5), client_timeout: bench.now + left * MS, ..bench.write() };
        assert_eq!(bench.admit(&write), Admit::Hold);
        write.id
    };
    let order = [add(9_000), add(2_000), add(8_000)];
    bench.handover.hasten(bench.now, bench.now + 3_000 * MS);
    bench.handover.resume(bench.now, 0).expect("it was paused");
    let mut released = Vec::new();
    for _ in 0..200 {
        for id in bench.after(MS) {
            released.push(id);
            bench.handover.answered(bench.now, 0, 1, id, Some(bench.now));
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
        bench.handover.ended(bench.now, id);
    }
    let status = &bench.handover.status()[0];
    assert_eq!((status.held, status.held_bytes, status.out), (0, 0, 0));
    bench.handover.resume(bench.now, 0).expect("it was paused");
    assert_eq!(bench.after(MS), Vec::<u64>::new());
}

#[test]
fn releases_widen_with_answers_and_are_spread_over_gateways() {
    let took = |gateways: u64| {
        let mut bench = Bench::new(Figures { gateways, ..Figures::default() });
        bench.refuses(1);
        let scout = bench.write();
        bench.admit(&scout);
        for _ in 0..200 {
            bench.held();
        }
        bench.now += 500 * MS;
        bench.handover.ended(bench.now, scout.id);
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
    bench.handover.ended(bench.now, scout.id);
    let first = bench.after(0);
    assert_eq!(first, held[..1]);
    // It sends the write back: it follows.
    bench.handover.allows(0, 2, first[0]);
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
    assert!(bench.handover.status()[0].held >= 9);
    bench.claims(3);
    bench.handover.ended(bench.now, back.id);
    assert!(bench.drain(3).0 >= 9);
}

#[test]
fn all_shards_at_once_stay_within_the_bound_on_memory() {
    let figures = Figures { held_bytes_all: 100_000, ..Figures::default() };
    let mut handover = Handover::new(figures, 1);
    let (mut held, mut throttled) = (0, 0);
    for shard in 0..10 {
        handover.claims(START, shard, 1, Some(START));
        handover.lost(START, shard, 1);
        handover.lost(START, shard, 1);
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
                Admit::Hold => held += 1,
                Admit::Throttle { .. } => throttled += 1,
                Admit::Pass => {}
                Admit::Fail => panic!("none may have run"),
            }
        }
    }
    assert_eq!((held, throttled), (1_000, 1_000));
    let due = handover.due(START + 2_000 * MS);
    assert_eq!(due.give_up.len() + due.release.len(), 1_000);
    assert!(handover.status().iter().all(|status| status.held == 0));
}

#[test]
fn words_that_can_not_be_taken_are_refused() {
    let mut bench = Bench::calm();
    bench.refuses(3);
    for (shard, target, refusal) in [
        (9, 2, Refusal::NoSuchShard),
        (0, 9, Refusal::NoSuchServer),
        (0, 1, Refusal::Leads),
        (0, 3, Refusal::NotWell),
    ] {
        assert_eq!(bench.handover.plan(bench.now, shard, target), Err(refusal));
    }
    assert_eq!(bench.handover.abort(bench.now, 0), Err(Refusal::Nothing));
    assert_eq!(bench.handover.resume(bench.now, 0), Err(Refusal::Nothing));
    bench.handover.plan(bench.now, 0, 2).expect("it is taken");
    assert_eq!(bench.handover.plan(bench.now, 0, 2), Err(Refusal::UnderWay));
}
