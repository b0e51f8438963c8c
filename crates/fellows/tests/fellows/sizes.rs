//! Behaviour and cost at sizes that cannot be tested with sockets, in virtual time. The long form prints the table of
//! docs/fellows.md.

use std::time::Instant;

use tansyjunction_fellows::GossipConfig;
use tansyjunction_fellows::evidence::Fact;
use tansyjunction_fellows::membership::{MembershipEvent, PeerStatus};

use crate::net::*;

/// Results for one size as text: join, idle cost, one death, one item, false deaths under loss.
fn row(count: usize, loss: f64) -> String {
    let mut net = Net::with(5, count, GossipConfig::default());
    let wall = Instant::now();
    let joined = net.until(120 * SECOND, |net| {
        net.nodes.iter().all(|node| node.fellows.members().alive().count() == count - 1)
    });
    net.loss = loss;
    let before = net.bytes;
    net.run(10 * SECOND);
    let bytes = (net.bytes - before) as f64 / 10.0 / count as f64;
    // Seconds until half and all gateways know.
    let spread = |net: &mut Net, knows: &dyn Fn(&Net, usize) -> bool| {
        let began = net.now;
        let mut half = None;
        loop {
            let knowing = (0..count).filter(|n| net.nodes[*n].up && knows(net, *n)).count();
            let time = (net.now - began) as f64 / SECOND as f64;
            if knowing * 2 >= count {
                half.get_or_insert(time);
            }
            if knowing * 100 >= count * 99 - 100 || time > 120.0 {
                return (half.unwrap_or(f64::NAN), time);
            }
            net.run(SECOND / 10);
        }
    };
    let now = net.now;
    net.nodes[1].fellows.observe(now, "s1", Fact::Refuses);
    let told = spread(&mut net, &|net, n| net.nodes[n].fellows.evidence().all().any(|(_, s, _)| s == "s1"));
    net.nodes.iter_mut().for_each(|node| drop(node.fellows.take_events()));
    net.nodes[2].up = false;
    let death = spread(&mut net, &|net, n| net.stands(n, 2) == Some(PeerStatus::Down));
    let wrong = net.nodes.iter_mut().map(|node| {
        let news = node.fellows.take_events().into_iter();
        news.filter(|news| matches!(news, MembershipEvent::Down(fellow) if fellow.name != "n2")).count()
    });
    let wrong: usize = wrong.sum();
    format!(
        "| {count} | {:.0}% | {:.1} | {bytes:.0} | {:.1} / {:.1} | {:.1} / {:.1} | {wrong} | {:.0} |",
        loss * 100.0,
        joined.map_or(f64::NAN, |time| time as f64 / SECOND as f64),
        told.0,
        told.1,
        death.0,
        death.1,
        wall.elapsed().as_secs_f64()
    )
}

#[test]
fn a_hundred_join_and_hear_of_a_death_and_a_word() {
    let row = row(100, 0.0);
    let cells: Vec<&str> = row.split('|').map(str::trim).collect();
    assert!(cells[3].parse::<f64>().is_ok_and(|joined| joined < 30.0), "{row}");
    let last = |cell: &str| cell.split(" / ").nth(1).and_then(|time| time.parse::<f64>().ok());
    assert!(
        last(cells[5]).is_some_and(|told| told < 20.0) && last(cells[6]).is_some_and(|dead| dead < 30.0),
        "{row}"
    );
    assert_eq!(cells[7], "0", "{row}");
}

/// `cargo test --release -p tansyjunction-fellows -- --ignored --nocapture sizes`
#[test]
#[ignore = "minutes, in a release build"]
fn sizes() {
    println!(
        "| instances | loss | joined s | bytes/s each | word: half / 99% s | death: half / 99% s | false deaths | wall s |"
    );
    for (count, loss) in
        [(10, 0.0), (10, 0.3), (100, 0.0), (100, 0.1), (100, 0.3), (300, 0.0), (300, 0.3), (1_000, 0.0)]
    {
        println!("{}", row(count, loss));
    }
}
