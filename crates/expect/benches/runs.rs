//! Runs and router calls per second, and the cost of each server and expectation.

#[path = "../tests/common/mod.rs"]
mod common;

use std::hint::black_box;

use common::{checked, input, large};
use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use tansyjunction_expect::router;

fn runs(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("expect");
    group.sample_size(10);
    // Shards, members per shard, expectations.
    for (shards, members, expectations) in [(1, 4, 5), (5, 4, 5), (10, 6, 5), (10, 6, 40), (20, 6, 40)] {
        let (config, text) = large(shards, members, expectations);
        let input = input(config, &[&text], "").expect("it is read");
        let calls = checked(&input, &router).expect("it is checked").tally.calls;
        group.throughput(Throughput::Elements(calls));
        let name = format!("{} servers, {expectations} expectations", shards * members);
        group.bench_function(BenchmarkId::new("calls", name), |bencher| {
            bencher.iter(|| black_box(checked(&input, &router).expect("it is checked").tally.runs));
        });
    }
    group.finish();
}

criterion_group!(benches, runs);
criterion_main!(benches);
