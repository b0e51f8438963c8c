//! Cost of the handover per command: with no change in progress, and with a hundred thousand held writes.

use std::hint::black_box;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use tansyjunction::interface::Micros;
use tansyjunction_handover::{Admission, Handover, HandoverConfig, Write};

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

fn steady(figures: HandoverConfig) -> Handover {
    let mut handover = Handover::new(figures, 1);
    for shard in 0..10 {
        handover.on_primary_claim(START, shard, shard * 3, Some(START));
        handover.on_primary_denial(START, shard, shard * 3 + 1, Some(START));
    }
    handover
}

fn nothing_changes(criterion: &mut Criterion) {
    let mut handover = steady(HandoverConfig::default());
    let mut id = 0;
    criterion.bench_function("a command while nothing changes", |bencher| {
        bencher.iter(|| {
            id += 1;
            let shard = id as usize % 10;
            assert_eq!(handover.admit(START, &write(id, shard)), Admission::Pass);
            black_box(handover.may_write_to(shard, shard * 3, id));
            handover.on_write_answered(START + 1, shard, shard * 3, id, Some(START + 1));
            // As a host does after each iteration of its event loop.
            if handover.next_due() <= START + 1 {
                black_box(handover.due(START + 1));
            }
        });
    });
}

/// Resident memory of this process in bytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * 4_096
}

fn a_hundred_thousand(criterion: &mut Criterion) {
    let most = HandoverConfig {
        max_held_writes: 200_000,
        max_held_bytes: 1 << 30,
        max_held_bytes_total: 1 << 30,
        ..HandoverConfig::default()
    };
    let held = || {
        let mut handover = steady(most.clone());
        handover.pause(0).expect("a shard");
        for id in 0..100_000 {
            assert_eq!(handover.admit(START, &write(id, 0)), Admission::Hold);
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
            handover.on_write_finished(START, id);
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
