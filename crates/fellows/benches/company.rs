//! Cost of gossip for a gateway: handling a datagram, and a round among thousands.

use std::hint::black_box;
use std::net::SocketAddr;

use criterion::{Criterion, criterion_group, criterion_main};
use tansyjunction_fellows::evidence::{EvidenceStore, Fact, Item};
use tansyjunction_fellows::opinion::summarize;
use tansyjunction_fellows::seal::Keys;
use tansyjunction_fellows::{GatewayIdentity, GossipConfig, GossipNode};

fn fellow(number: u16) -> GatewayIdentity {
    let address = SocketAddr::from(([127, 0, (number >> 8) as u8, number as u8], 7_000));
    GatewayIdentity {
        name: format!("n{number}"),
        address,
        zone: (number % 3) as u8,
        region: 0,
        life: 1,
        tag: number,
    }
}

fn item(source: u32, subject: u32, seq: u32) -> Item {
    let (source, subject) = (format!("n{source}"), format!("s{subject}"));
    Item { source, zone: 0, life: 1, seq, subject, fact: Fact::Answers, age: 5 }
}

fn some(criterion: &mut Criterion) {
    let keys = || Keys::read(&"5a".repeat(32)).expect("a key");
    let start = |number| {
        GossipNode::new(
            0,
            fellow(number),
            vec![("n0".into(), fellow(0).address)],
            keys(),
            GossipConfig::default(),
            1,
        )
    };
    criterion.bench_function("a datagram of evidence, sealed, opened and merged", |bench| {
        let (mut from, mut to, mut now) = (start(1), start(0), 0);
        // They join, so that there are peers to send evidence to.
        for _ in 0..100 {
            now += 50_000;
            for (one, other) in [(0, 1), (1, 0)] {
                let sender = if one == 0 { &mut from } else { &mut to };
                sender.run_due(now);
                let out = sender.take_datagrams();
                let receiver = if other == 0 { &mut from } else { &mut to };
                out.iter().for_each(|(_, bytes)| receiver.receive(now, bytes));
            }
        }
        let mut server = 0;
        bench.iter(|| {
            now += 250_000;
            for _ in 0..8 {
                server = (server + 1) % 100;
                from.observe(
                    now,
                    &format!("s{server}"),
                    if now % 2 == 0 { Fact::Answers } else { Fact::Refuses },
                );
            }
            from.run_due(now);
            let out = from.take_datagrams();
            out.iter().for_each(|(_, bytes)| to.receive(now, black_box(bytes)));
            to.run_due(now);
            to.take_datagrams();
        });
    });
    let mut evidence = EvidenceStore::new(30_000_000, 256);
    for source in 0..2_000 {
        (0..10).for_each(|subject| {
            evidence.merge(1_000_000, &item(source, subject, 1), 0);
        });
    }
    criterion.bench_function("the next items to be told, of 2,000 instances", |bench| {
        bench.iter(|| black_box(evidence.next_items(2_000_000, 200, u32::MAX)));
    });
    criterion.bench_function("opinions of 10 servers by 2,000 instances", |bench| {
        bench.iter(|| black_box(summarize(2_000_000, &evidence, "n0")));
    });
}

criterion_group!(benches, some);
criterion_main!(benches);
