//! What the holds cost a command when nothing changes, and with a hundred thousand held.

use std::hint::black_box;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use tansyjunction::interface::Micros;
use tansyjunction_handover::{Admit, Figures, Handover, Write};

const START: Micros = 1_000_000_000;

fn write(id: u64, shard: usize) -> Write {
    let (arrived, client_timeout) = (START, START + 2_000_000);
    Write {
        id,
        shard,
        client: id,
        session: None,
        bytes: 200,
        arrived,
        client_timeout,
        keyed: true,
        repeat_until: None,
    }
}

fn steady(figures: Figures) -> Handover {
    let mut handover = Handover::new(figures, 1);
    for shard in 0..10 {
        handover.claims(START, shard, shard * 3, Some(START));
        handover.denies(START, shard, shard * 3 + 1, Some(START));
    }
    handover
}

fn nothing_changes(criterion: &mut Criterion) {
    let mut handover = steady(Figures::default());
    let mut id = 0;
    criterion.bench_function("a command while nothing changes", |bencher| {
        bencher.iter(|| {
            id += 1;
            let shard = id as usize % 10;
            assert_eq!(handover.admit(START, &write(id, shard)), Admit::Pass);
            black_box(handover.allows(shard, shard * 3, id));
            handover.answered(START + 1, shard, shard * 3, id, Some(START + 1));
            // As a host does after each turn of its loop.
            if handover.next() <= START + 1 {
                black_box(handover.due(START + 1));
            }
        });
    });
}

/// Resident bytes of this process.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * 4_096
}

fn a_hundred_thousand(criterion: &mut Criterion) {
    let most =
        Figures { held_most: 200_000, held_bytes: 1 << 30, held_bytes_all: 1 << 30, ..Figures::default() };
    let held = || {
        let mut handover = steady(most.clone());
        handover.pause(0).expect("a shard");
        for id in 0..100_000 {
            assert_eq!(handover.admit(START, &write(id, 0)), Admit::Hold);
        }
        handover
    };
    let before = resident();
    let all = held();
    println!("memory: {} bytes a held write", resident().saturating_sub(before) / 100_000);
    drop(all);
    let mut group = criterion.benchmark_group("100,000 held");
    group.sample_size(10);
    group.bench_function("hold one more and let it go", |bencher| {
        let mut handover = held();
        let mut id = 100_000;
        bencher.iter(|| {
            id += 1;
            black_box(handover.admit(START, &write(id, 0)));
            handover.ended(START, id);
        });
    });
    group.bench_function("ask what is due", |bencher| {
        let mut handover = held();
        bencher.iter(|| black_box(handover.due(START)));
    });
    group.bench_function("give all up", |bencher| {
        bencher.iter_batched(held, |mut handover| handover.due(START + 3_000_000), BatchSize::LargeInput);
    });
    group.finish();
}

criterion_group!(benches, nothing_changes, a_hundred_thousand);
criterion_main!(benches);
