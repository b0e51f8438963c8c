//! Measurements for docs/council.md: `cargo test -p tansyjunction-council figures -- --ignored --nocapture`.

use std::time::Instant;

use tansyjunction_council::{ConsensusConfig, ConsensusMember, store};

use crate::net::*;

fn middle(mut times: Vec<u64>) -> (u64, u64) {
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() * 99 / 100])
}

#[test]
#[ignore = "prints figures"]
fn figures() {
    for seats in [3, 5] {
        let mut net = Net::new(1, terms(seats), seats, 1);
        net.gathered(seats);
        // The follower does not matter here.
        net.kill(seats, u64::MAX);
        net.run_for(SECOND);
        let before = net.bytes;
        net.run_for(100 * SECOND);
        let beat = (net.bytes - before) as f64 / 1_000.0;
        println!("{seats} seats: {beat:.0} bytes a beat, heads of UDP and IP included");

        net.start(seats);
        net.run_for(SECOND);
        let leader = net.leader().expect("a leader");
        for (who, number) in [("leader", leader), ("seat", (leader + 1) % seats), ("follower", seats)] {
            net.latencies.clear();
            for _ in 0..200 {
                net.propose(number, 100);
                net.run_for(50_000 + 37);
            }
            let (half, most) = middle(net.latencies.clone());
            println!(
                "{seats} seats: decided for a {who} after {half} us, 99%: {most} us (virtual, ways of 0.5 to 1.5 ms)"
            );
        }

        let mut net = Net::new(1, terms(seats), seats, 0);
        net.gathered(seats);
        let leader = net.leader().expect("a leader");
        let start = Instant::now();
        for _ in 0..200 {
            for _ in 0..100 {
                net.propose_only(leader, 100);
            }
            net.run_for(10_000);
        }
        net.run_for(SECOND);
        let decided = net.judge.acknowledged.len();
        let rate = decided as f64 / start.elapsed().as_secs_f64();
        println!("{seats} seats: {decided} entries of 100 bytes, {rate:.0} a second, all seats on one core");
    }

    for (what, hands_over) in [("dies", false), ("hands over and ends", true)] {
        let mut times = Vec::new();
        for seed in 0..200 {
            let mut net = Net::new(seed, terms(3), 3, 1);
            net.gathered(3);
            net.run_for(SECOND + seed * 7_919);
            let leader = net.leader().expect("a leader");
            if hands_over {
                net.nodes[leader].council.as_mut().expect("it is up").transfer_leadership();
                net.run_for(10_000);
            }
            net.kill(leader, u64::MAX);
            net.latencies.clear();
            net.propose((leader + 1) % 3, 10);
            net.run_for(5 * SECOND);
            times.extend(&net.latencies);
        }
        let (half, most) = middle(times);
        println!("a leader {what}: decided again after {half} us, 99%: {most} us (virtual)");
    }

    let folder = tempfile::tempdir().expect("a folder");
    store::create_cluster(folder.path(), "n0").expect("founded");
    let terms = ConsensusConfig { compact_after: 4_096, ..terms(1) };
    let file = store::open(folder.path()).expect("opened").0;
    let mut now = 0;
    let mut council: ConsensusMember<Book> =
        ConsensusMember::seat(now, "n0", terms, Box::new(file), 1).expect("a seat");
    while !council.is_leader() {
        now = council.next_due();
        council.process(now).expect("settled");
    }
    for batch in [1, 64] {
        let (mut times, mut value) = (Vec::new(), 0);
        let rounds = 640;
        let start = Instant::now();
        for _ in 0..rounds {
            let begun = Instant::now();
            for _ in 0..batch {
                value += 1;
                council.propose(now, Value(value, vec![0; 100]));
            }
            let mut decided = 0;
            while decided < batch {
                now = now.max(council.next_due());
                council.process(now).expect("settled");
                decided += council.take_decided().len();
            }
            times.push(begun.elapsed().as_micros() as u64);
            council.take_applied();
        }
        let rate = (rounds * batch) as f64 / start.elapsed().as_secs_f64();
        let (half, most) = middle(times);
        println!(
            "redb, {batch} at a time: decided after {half} us, 99%: {most} us, {rate:.0} entries a second"
        );
    }
    let (first, last, _) = council.status().log;
    let size = std::fs::metadata(folder.path().join(store::FILE_NAME)).expect("a file").len();
    println!("redb after {last} entries, those from {first} on still there: {size} bytes");
}
