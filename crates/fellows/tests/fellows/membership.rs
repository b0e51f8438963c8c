//! Membership under each kind of failure, in a simulated network.

use crate::net::*;
use tansyjunction_fellows::GossipConfig;
use tansyjunction_fellows::evidence::Fact;
use tansyjunction_fellows::membership::{MembershipEvent, PeerStatus};

fn all(count: usize) -> Vec<usize> {
    (0..count).collect()
}

fn joined(seed: u64, count: usize) -> Net {
    let mut net = Net::with(seed, count, GossipConfig::default());
    let nodes = all(count);
    assert!(net.until(30 * SECOND, |net| net.agreed(&nodes)).is_some(), "seed {seed}: all know each other");
    net
}

/// Deaths reported by any of these gateways since the last call.
fn deaths(net: &mut Net, by: &[usize]) -> Vec<(usize, String)> {
    let mut found = Vec::new();
    for place in by {
        for news in net.nodes[*place].fellows.take_events() {
            if let MembershipEvent::Down(fellow) = news {
                found.push((*place, fellow.name));
            }
        }
    }
    found
}

#[test]
pub fn one_that_dies_is_found_by_all_and_comes_back_under_its_name() {
    for seed in 1..=5 {
        let mut net = joined(seed, 9);
        let others: Vec<usize> = all(9).into_iter().filter(|n| *n != 4).collect();
        net.nodes[4].up = false;
        let dead = |net: &Net| others.iter().all(|by| net.stands(*by, 4) == Some(PeerStatus::Down));
        assert!(net.until(30 * SECOND, dead).is_some(), "seed {seed}");
        net.start(4, "n4", 2_000);
        assert!(net.until(30 * SECOND, |net| net.agreed(&all(9))).is_some(), "seed {seed}: it is back");
    }
}

/// Nine gateways start together, three of them find each other first, and none of these is isolated afterwards.
#[test]
pub fn two_companies_that_began_apart_become_one() {
    for seed in 1..=5 {
        let mut net = Net::with(seed, 9, GossipConfig::default());
        let (near, far): (Vec<usize>, Vec<usize>) = all(9).into_iter().partition(|n| [0, 3, 4].contains(n));
        net.cut_between(&near, &far);
        net.run(20 * SECOND);
        assert!(net.agreed(&near) && net.agreed(&far), "seed {seed}");
        net.cut.clear();
        assert!(net.until(20 * SECOND, |net| net.agreed(&all(9))).is_some(), "seed {seed}");
    }
}

#[test]
pub fn a_restart_whose_clock_jumped_back_is_taken_up_as_the_newer_life() {
    let mut net = joined(7, 6);
    net.nodes[2].up = false;
    net.run(SECOND);
    net.start(2, "n2", 5);
    assert!(net.until(40 * SECOND, |net| net.agreed(&all(6))).is_some());
    assert!(net.nodes[2].fellows.members().me().life > 1_000);
}

#[test]
pub fn one_that_leaves_is_gone_at_once_and_no_zone_is_called_dark() {
    let mut net = joined(3, 9);
    // Restarts zone 1, one gateway after the other.
    for place in [1, 4, 7] {
        let now = net.now;
        net.nodes[place].fellows.leave(now);
        net.carry(place);
        net.run(SECOND / 20);
        net.nodes[place].up = false;
        net.run(3 * SECOND);
    }
    for by in [0, 3, 6, 2, 5, 8] {
        assert_eq!(net.stands(by, 1), Some(PeerStatus::Down));
        assert!(net.nodes[by].fellows.dark_zones().is_empty(), "{by}");
    }
}

#[test]
pub fn a_dark_zone_is_told_from_outside_and_accuses_nobody_it_hears_from_inside() {
    for seed in [4, 5, 6] {
        let mut net = joined(seed, 12);
        let (inside, outside): (Vec<usize>, Vec<usize>) = all(12).into_iter().partition(|n| n % 3 == 1);
        net.cut_between(&inside, &outside);
        net.run(40 * SECOND);
        assert!(net.agreed(&inside) && net.agreed(&outside), "seed {seed}");
        for by in &outside {
            assert_eq!(net.nodes[*by].fellows.dark_zones(), [(0, 1)], "seed {seed}");
        }
        for by in &inside {
            assert_eq!(net.nodes[*by].fellows.dark_zones(), [(0, 0), (1, 2)], "seed {seed}");
        }
        net.cut.clear();
        assert!(net.until(60 * SECOND, |net| net.agreed(&all(12))).is_some(), "seed {seed}: it heals");
        assert!(all(12).iter().all(|by| net.nodes[*by].fellows.dark_zones().is_empty()));
    }
}

#[test]
pub fn a_third_lost_doubled_and_reordered_kills_nobody() {
    for seed in 1..=3 {
        let mut net = joined(seed, 15);
        deaths(&mut net, &all(15));
        (net.loss, net.doubles, net.delay) = (0.3, 0.3, (500, 60_000));
        net.run(60 * SECOND);
        assert_eq!(deaths(&mut net, &all(15)), [], "seed {seed}");
        // No gateway is told that it is dead or starts another incarnation.
        let lives: Vec<u64> = net.nodes.iter().map(|node| node.fellows.members().me().life).collect();
        assert_eq!(lives, (1_000..1_015).collect::<Vec<u64>>(), "seed {seed}");
    }
}

#[test]
pub fn one_that_hears_nobody_accuses_nobody() {
    let mut net = joined(2, 9);
    let others: Vec<usize> = all(9).into_iter().filter(|n| *n != 3).collect();
    deaths(&mut net, &all(9));
    // Its messages get out, but none gets in.
    net.cut.extend(others.iter().map(|other| (*other, 3)));
    net.run(60 * SECOND);
    assert_eq!(deaths(&mut net, &[3]), []);
    let told = deaths(&mut net, &others);
    assert!(told.iter().all(|(_, name)| name == "n3"), "{told:?}");
    net.cut.clear();
    assert!(net.until(30 * SECOND, |net| net.agreed(&all(9))).is_some());
}

#[test]
pub fn a_pause_of_five_seconds_takes_nobody_for_dead() {
    for seed in 1..=5 {
        let mut net = joined(seed, 9);
        deaths(&mut net, &all(9));
        // When it is paused it suspects a peer that was silent for a moment, and that timer expires meanwhile.
        net.cut.extend((0..9).filter(|other| *other != 5).map(|other| (other, 5)));
        net.run(3 * SECOND / 2);
        net.nodes[5].paused = net.now + 5 * SECOND;
        // Its socket holds only a part of the messages sent meanwhile.
        let some = [(0, 5), (1, 5), (2, 5), (3, 5)];
        net.cut.retain(|way| !some.contains(way));
        net.run(SECOND / 2);
        net.cut.extend(some);
        net.run(5 * SECOND - SECOND / 2 - 1);
        net.cut.clear();
        net.run(15 * SECOND);
        let news = net.nodes[5].fellows.take_events();
        assert!(!news.iter().any(|news| matches!(news, MembershipEvent::Down(_))), "seed {seed}: {news:?}");
        // It notices the pause, and its health score is worse.
        assert!(news.iter().any(|news| matches!(news, MembershipEvent::Paused(_))), "seed {seed}: {news:?}");
        assert!(net.until(30 * SECOND, |net| net.agreed(&all(9))).is_some(), "seed {seed}");
    }
}

#[test]
pub fn of_two_with_one_name_one_keeps_it() {
    for seed in 1..=4 {
        let mut net = joined(seed, 6);
        net.start(6, "n2", 3_000);
        net.run(60 * SECOND);
        let yields: Vec<bool> = [2, 6].iter().map(|n| net.nodes[*n].fellows.members().yields()).collect();
        let lives: Vec<u64> = [2, 6].iter().map(|n| net.nodes[*n].fellows.members().me().life).collect();
        assert_eq!(yields.iter().filter(|yields| **yields).count(), 1, "seed {seed}: {yields:?}, {lives:?}");
        let stays = if yields[0] { 6 } else { 2 };
        let six = [0, 1, 3, 4, 5, stays];
        assert!(net.until(30 * SECOND, |net| net.agreed(&six)).is_some(), "seed {seed}");
    }
}

#[test]
pub fn seven_in_ten_killed_in_one_second_are_found_and_come_back() {
    let mut net = joined(9, 30);
    let (killed, left): (Vec<usize>, Vec<usize>) = all(30).into_iter().partition(|n| n % 10 < 7);
    killed.iter().for_each(|place| net.nodes[*place].up = false);
    let found = |net: &Net| {
        left.iter().all(|by| killed.iter().all(|of| net.stands(*by, *of) == Some(PeerStatus::Down)))
    };
    assert!(net.until(90 * SECOND, found).is_some());
    for place in &killed {
        net.start(*place, &format!("n{place}"), 9_000);
    }
    assert!(net.until(60 * SECOND, |net| net.agreed(&all(30))).is_some());
}

#[test]
pub fn what_one_saw_reaches_all_with_its_age_and_fades() {
    let mut net = joined(8, 15);
    let now = net.now;
    net.nodes[0].fellows.observe(now, "s1", Fact::Refuses);
    let told =
        |net: &Net, n: usize| net.nodes[n].fellows.evidence().all().any(|(_, subject, _)| subject == "s1");
    let took = net.until(15 * SECOND, |net| all(15).iter().all(|n| told(net, *n)));
    assert!(took.is_some());
    for node in &net.nodes {
        let (_, _, kept) =
            node.fellows.evidence().all().find(|(_, subject, _)| *subject == "s1").expect("told");
        // Ages are correct within some ms per hop by each gateway's own clock, and never too young by more.
        let off = kept.observed_at.abs_diff(now);
        assert!(off < 50_000, "{off}");
    }
    net.run(35 * SECOND);
    assert!(all(15).iter().all(|n| !told(&net, *n)));
}

#[test]
pub fn datagrams_that_lay_for_long_or_are_not_sealed_change_nothing() {
    let mut net = joined(6, 6);
    let now = net.now;
    net.nodes[1].fellows.observe(now, "s9", Fact::Hangs);
    net.nodes[1].fellows.run_due(now + SECOND / 5);
    let caught = net.nodes[1].fellows.take_datagrams();
    net.run(10 * SECOND);
    for (_, bytes) in &caught {
        let at = net.now;
        net.deliver(at, 0, bytes.clone());
        let mut bent = bytes.clone();
        bent[4] ^= 9;
        net.deliver(at, 0, bent);
    }
    let before = net.nodes[0].fellows.counts().received;
    let evidence = net.nodes[0].fellows.evidence().clone();
    let standing = net.nodes[0].fellows.members().alive().count();
    let at = net.now;
    net.run(1_000);
    assert!(!caught.is_empty() && net.now == at + 1_000);
    assert_eq!(net.nodes[0].fellows.members().alive().count(), standing);
    let fresh = net.nodes[0].fellows.counts().received - before;
    assert!(fresh <= 2, "{fresh} of the network's own");
    assert_eq!(net.nodes[0].fellows.evidence().len(), evidence.len());
    assert!(net.nodes[0].fellows.counts().refused.values().sum::<u64>() >= 2 * caught.len() as u64);
}
