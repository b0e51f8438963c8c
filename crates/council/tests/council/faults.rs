//! Under any faults of network, disks and processes: one decision per index, no acknowledged entry is lost, none is
//! applied twice.

use tansyjunction_council::store::MemoryDisk;
use tansyjunction_council::{ConsensusConfig, MemberEvent, Role};

use crate::net::*;

/// Injects faults of all kinds for `seconds`, then ends all of them. `Err`: the violated guarantee.
pub fn storm(seed: u64, seats: usize, seconds: u64) -> Result<Net, Vec<Broken>> {
    let terms = ConsensusConfig { compact_after: 40, max_message_bytes: 1_500, ..terms(seats) };
    let mut net = Net::new(seed, terms, seats, 2);
    net.gathered(seats);
    (net.loss, net.doubles, net.delay) = (0.3, 0.1, (500, 30_000));
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
    let all = seats + 2;
    // In some runs one member loses its disk repeatedly and finds it again.
    let (loser, mut lost) = (rng.usize(0..seats), None);
    let losing = seed.is_multiple_of(3);
    for _ in 0..seconds * 10 {
        let (number, now) = (rng.usize(0..seats), net.now);
        match rng.u32(0..100) {
            0..4 => {
                // The leader is partitioned in one direction, from some or all.
                let leader = net.leader().unwrap_or(number);
                for other in 0..all {
                    match rng.u32(0..5) {
                        0..2 => net.cut.insert((leader, other)),
                        2..4 => net.cut.insert((other, leader)),
                        _ => false,
                    };
                }
            }
            4..6 => {
                for other in 0..all {
                    net.cut.extend([(number, other), (other, number)]);
                }
            }
            6..14 => net.cut.clear(),
            14..16 => net.nodes[number].paused = now + rng.u64(0..4 * SECOND),
            16..18 => net.kill(number, now + rng.u64(0..3 * SECOND)),
            18..26 => {
                let crash = Crash { after: rng.u64(0..4), written: rng.bool(), votes: rng.bool() };
                net.plate(number, |plate| plate.crash = Some(crash));
            }
            26 => (0..all).for_each(|number| net.kill(number, now + rng.u64(0..SECOND))),
            27..29 => net.loss = [0.0, 0.3, 0.5][rng.usize(0..3)],
            29 if losing => {
                let newer = MemoryDisk::new(1_000_000 + now);
                net.kill(loser, now + SECOND);
                let old = net.plate(loser, |plate| std::mem::replace(&mut plate.memory, newer));
                lost.get_or_insert(old);
            }
            30 if losing => {
                if let Some(old) = lost.take() {
                    net.kill(loser, now + SECOND);
                    net.plate(loser, |plate| plate.memory = old);
                }
            }
            _ => {
                net.propose(rng.usize(0..all), rng.usize(0..200));
            }
        }
        net.run_for(100_000);
        if !net.judge.broken.is_empty() {
            return Err(net.judge.broken);
        }
    }
    net.heal();
    if net.judge.broken.is_empty() { Ok(net) } else { Err(net.judge.broken) }
}

#[test]
fn storms() {
    let (mut acknowledged, mut faults) = (0, 0);
    for seed in 0..60 {
        let seats = [3, 5][seed as usize % 2];
        let net = storm(seed, seats, 30).unwrap_or_else(|broken| panic!("seed {seed}: {broken:?}"));
        acknowledged += net.judge.acknowledged.len();
        faults += net.nodes.iter().map(|node| node.faults.len()).sum::<usize>();
    }
    assert!(acknowledged > 3_000 && faults > 200, "{acknowledged} acknowledged, {faults} crashes at writes");
}

#[test]
#[ignore = "minutes"]
fn storms_for_long() {
    for seed in 1_000..3_000 {
        storm(seed, [3, 5][seed as usize % 2], 60).unwrap_or_else(|broken| panic!("seed {seed}: {broken:?}"));
    }
}

/// The same seed gives the same run, byte by byte.
#[test]
fn a_run_can_be_repeated() {
    let run = || {
        let net = storm(3, 3, 20).expect("nothing breaks");
        (net.bytes, net.judge.acknowledged, net.now)
    };
    assert_eq!(run(), run());
}

/// A member crashes before or after its k-th write and restarts, for each k from an empty cluster through elections,
/// membership changes, entries and compaction.
pub fn crash_at(number: usize, after: u64, written: bool, seed: u64) -> Result<bool, Vec<Broken>> {
    let terms = ConsensusConfig { compact_after: 10, ..terms(3) };
    let mut net = Net::new(seed, terms, 3, 1);
    net.plate(number, |plate| plate.crash = Some(Crash { after, written, votes: false }));
    net.loss = 0.1;
    for round in 0..30 {
        let proposer = round % 4;
        net.propose(proposer, 20);
        if round == 12 || round == 20 {
            // One-way partitions change the leader, so that votes are written too.
            if let Some(leader) = net.leader() {
                net.cut.extend((0..4).map(|other| (leader, other)));
            }
        } else if round == 16 || round == 24 {
            net.cut.clear();
        }
        net.run_for(400_000);
    }
    let crashed = !net.nodes[number].faults.is_empty();
    net.heal();
    if net.judge.broken.is_empty() { Ok(crashed) } else { Err(net.judge.broken) }
}

#[test]
fn a_crash_at_each_write_loses_nothing() {
    let mut crashes = 0;
    for number in 0..3 {
        for written in [false, true] {
            for after in 0..100 {
                let crashed = crash_at(number, after, written, after)
                    .unwrap_or_else(|broken| panic!("n{number} at {after}, {written}: {broken:?}"));
                if !crashed {
                    break; // It does not write so often.
                }
                crashes += 1;
            }
        }
    }
    assert!(crashes > 150, "{crashes} crashes");
}

/// The first member loses its disk with all its acknowledgements: it joins anew and the others continue. Its old disk,
/// put back later, never becomes a member again.
#[test]
fn a_lost_disk_comes_back_as_a_new_one() {
    for seed in 0..6 {
        let number = seed as usize % 3;
        let mut net = Net::new(seed, terms(3), 3, 1);
        net.gathered(3);
        let acknowledged = net.propose(3, 10);
        net.run_for(SECOND);
        let (old, now) = (net.copy(number), net.now);
        net.kill(number, u64::MAX);
        net.plate(number, |plate| plate.memory = MemoryDisk::new(5_000 + seed));
        net.run(now + 2 * SECOND);
        net.start(number);
        assert_eq!(net.council(number).status().role, Role::Stranger);
        net.run_for(SECOND);
        assert_eq!(
            net.council(number).status().role,
            Role::Stranger,
            "the other one has been silent for 3 s only"
        );
        net.sits(number, 3);
        assert_eq!(net.council(number).status().disk, 5_000 + seed, "seed {seed}");
        assert!(net.judge.acknowledged.contains_key(&acknowledged));

        net.kill(number, u64::MAX);
        let newer = net.copy(number);
        net.plate(number, |plate| plate.memory = old.clone());
        net.start(number);
        net.run_for(3 * SECOND);
        let council = net.nodes[number].council.as_mut().expect("it is up");
        assert!(council.take_events().contains(&MemberEvent::DiskReplaced), "seed {seed}");
        assert!(council.status().disk != old.id);
        net.sits(number, 3);
        let sits = net.council(number).status().disk;
        assert!(sits != old.id && sits != newer.id, "seed {seed}");
        net.heal();
        assert_eq!(net.judge.broken, [], "seed {seed}");
    }
}

/// On a busy machine leaders pause for some heartbeats now and then. Silence during a pause does not count, all other
/// does: a lost disk is replaced although no five seconds pass without such a pause.
/// a pause.
#[test]
fn a_lost_disk_is_replaced_by_leaders_that_stand_still_now_and_then() {
    for seed in 0..6 {
        let mut net = Net::new(seed, terms(3), 3, 1);
        net.gathered(3);
        let number = (net.leader().expect("a leader") + 1) % 3;
        net.kill(number, u64::MAX);
        net.plate(number, |plate| plate.memory = MemoryDisk::new(5_000 + seed));
        net.start(number);
        for _ in 0..16 {
            if let Some(leader) = net.leader() {
                net.nodes[leader].paused = net.now + SECOND / 2;
            }
            net.run_for(SECOND);
        }
        let status = net.council(number).status();
        assert!(matches!(status.role, Role::Seat | Role::Leader), "seed {seed}: {status:?}");
        net.heal();
        assert_eq!(net.judge.broken, [], "seed {seed}");
    }
}

/// An older copy of a member's disk is detected before it promises anything a second time.
#[test]
fn an_older_copy_of_a_disk_is_found_out() {
    let mut net = Net::new(9, terms(3), 3, 0);
    net.gathered(3);
    let number = (net.leader().expect("a leader") + 1) % 3;
    let old = net.copy(number);
    for _ in 0..5 {
        net.propose(0, 10);
        net.run_for(SECOND);
    }
    net.kill(number, u64::MAX);
    net.plate(number, |plate| plate.memory = old);
    net.start(number);
    net.run_for(2 * SECOND);
    assert_eq!(net.judge.broken, [Broken::Vouched]);
}

#[test]
fn all_restarted_at_once() {
    for seed in 0..4 {
        let mut net = Net::new(seed, terms(5), 5, 1);
        net.gathered(5);
        for turn in 0..5 {
            let value = net.propose(turn, 10);
            net.run_for(SECOND);
            assert!(net.judge.acknowledged.contains_key(&value));
            let now = net.now;
            (0..6).for_each(|number| net.kill(number, now + 100_000 * (number as u64 + turn as u64)));
            net.run_for(4 * SECOND);
            assert!(net.leader().is_some(), "seed {seed}");
        }
        net.heal();
        assert_eq!(net.judge.broken, [], "seed {seed}");
    }
}

/// The leader receives from all but reaches none, or the reverse: another one is elected within a few seconds.
#[test]
fn a_leader_cut_off_one_way_is_followed_by_another() {
    for (seed, deaf) in [(1, false), (2, true), (3, false), (4, true)] {
        let mut net = Net::new(seed, terms(3), 3, 1);
        net.gathered(3);
        let leader = net.leader().expect("a leader");
        let way = |other| if deaf { (other, leader) } else { (leader, other) };
        net.cut.extend((0..4).map(way));
        net.until(5 * SECOND, "no other leader", move |net| net.leader().is_some_and(|now| now != leader));
        let value = net.propose((leader + 1) % 3, 10);
        net.run_for(SECOND);
        assert!(net.judge.acknowledged.contains_key(&value), "seed {seed}");
        assert!(!net.council(leader).is_leader(), "it has noticed");
        net.heal();
        assert_eq!(net.judge.broken, [], "seed {seed}");
    }
}

/// A proposal that cannot be decided is abandoned and reported.
#[test]
fn without_a_majority_nothing_is_decided() {
    let mut net = Net::new(1, terms(3), 3, 1);
    net.gathered(3);
    let leader = net.leader().expect("a leader");
    let (one, other) = ((leader + 1) % 3, (leader + 2) % 3);
    net.kill(one, u64::MAX);
    net.kill(other, u64::MAX);
    let from = [net.propose(leader, 10), net.propose(3, 10)];
    net.run_for(6 * SECOND);
    assert!(from.iter().all(|value| !net.judge.acknowledged.contains_key(value)));
    assert!(!net.council(leader).is_leader());
    assert_eq!(net.given_up, 2);
    net.heal();
    assert_eq!(net.judge.broken, []);
}

/// The log is bounded; a member that is behind its start receives a snapshot in parts.
#[test]
fn compaction_bounds_the_log_and_who_is_far_behind_catches_up() {
    let terms = ConsensusConfig { compact_after: 50, max_message_bytes: 2_000, ..terms(3) };
    let mut net = Net::new(4, terms, 3, 1);
    net.gathered(3);
    net.run_for(SECOND);
    let leader = net.leader().expect("a leader");
    let behind = (leader + 1) % 3;
    net.kill(behind, u64::MAX);
    for _ in 0..200 {
        for _ in 0..5 {
            net.propose(leader, 100);
        }
        net.run_for(50_000);
    }
    let (first, last, bytes) = net.council(leader).status().log;
    assert!(last > 1_000 && last - first < 70 && bytes < 20_000, "{first} to {last}, {bytes} bytes");
    net.plate(leader, |plate| assert!(plate.memory.kept.log.len() < 70));
    net.loss = 0.3;
    net.start(behind);
    net.until(20 * SECOND, "not caught up", move |net| {
        net.council(behind).state().taken.len() == net.council(leader).state().taken.len()
    });
    net.heal();
    assert_eq!(net.judge.broken, []);
}

/// A follower is updated by changes, split into parts, whatever messages are lost.
#[test]
fn a_follower_catches_up_from_changes() {
    let terms = ConsensusConfig { max_message_bytes: 1_500, ..terms(3) };
    let mut net = Net::new(4, terms, 3, 0);
    net.gathered(3);
    for _ in 0..500 {
        net.propose(0, 10);
    }
    net.run_for(2 * SECOND);
    net.add_follower();
    net.loss = 0.3;
    net.until(20 * SECOND, "not caught up", |net| net.council(3).state().taken.len() == 500);
    assert_eq!(net.council(3).state().taken, net.council(0).state().taken);
    net.heal();
    assert_eq!(net.judge.broken, []);
}

/// Elections rarely complete because members crash at many of their votes and restart at once.
pub fn elections(seed: u64) -> Result<usize, Vec<Broken>> {
    let mut net = Net::new(seed, terms(5), 5, 0);
    net.gathered(5);
    net.back_after = 50_000;
    (net.loss, net.delay) = (0.5, (500, 100_000));
    for _ in 0..100 {
        if let Some(leader) = net.leader() {
            net.kill(leader, net.now + 3 * SECOND);
        }
        for number in 0..5 {
            let crash = Crash { after: 0, written: net.rng.bool(), votes: true };
            net.plate(number, |plate| plate.crash = Some(crash));
        }
        net.run_for(SECOND);
    }
    let faults = net.nodes.iter().map(|node| node.faults.len()).sum();
    net.heal();
    if net.judge.broken.is_empty() { Ok(faults) } else { Err(net.judge.broken) }
}

#[test]
fn a_crash_at_a_vote_gives_no_second_one() {
    for seed in 0..8 {
        let crashes = elections(seed).unwrap_or_else(|broken| panic!("seed {seed}: {broken:?}"));
        assert!(crashes > 20, "{crashes} crashes");
    }
}

/// A leader that shuts down transfers its leadership, and no election timeout passes.
#[test]
fn a_lead_is_handed_over() {
    for seed in 0..6 {
        let mut net = Net::new(seed, terms(3), 3, 1);
        net.gathered(3);
        net.run_for(SECOND);
        let leader = net.leader().expect("a leader");
        net.nodes[leader].council.as_mut().expect("it is up").transfer_leadership();
        net.run_for(20_000);
        assert!(net.leader().is_some_and(|now| now != leader), "seed {seed}");
        net.kill(leader, u64::MAX);
        let value = net.propose((leader + 1) % 3, 10);
        net.run_for(20_000);
        assert!(net.judge.acknowledged.contains_key(&value), "seed {seed}");
        net.heal();
        assert_eq!(net.judge.broken, [], "seed {seed}");
    }
}

/// The only member with the complete log joined while another one was away, whose vote it needs.
#[test]
fn one_that_was_away_votes_for_a_seat_that_it_does_not_know() {
    let mut net = Net::new(6, terms(5), 5, 0);
    net.gathered(5);
    let first = net.leader().expect("a leader");
    let [second, third, away, lost] = [1, 2, 3, 4].map(|step| (first + step) % 5);
    net.cut.extend((0..5).flat_map(|other| [(away, other), (other, away)]));
    net.kill(lost, net.now + SECOND);
    net.plate(lost, |plate| plate.memory = MemoryDisk::new(4_711));
    net.until(30 * SECOND, "not seated", move |net| {
        net.nodes[lost].council.as_ref().is_some_and(|council| council.status().role == Role::Seat)
    });
    net.run_for(SECOND);
    // The third member falls behind; entries decided now are only on the first two and the new one.
    net.cut.extend((0..5).flat_map(|other| [(third, other), (other, third)]));
    let value = net.propose(first, 10);
    net.run_for(SECOND / 5);
    assert!(net.judge.acknowledged.contains_key(&value));
    net.kill(first, u64::MAX);
    net.kill(second, u64::MAX);
    net.cut.clear();
    net.until(30 * SECOND, "no leader", |net| net.leader().is_some());
    assert_eq!(net.leader(), Some(lost));
    net.heal();
    assert_eq!(net.judge.broken, []);
}
