//! Cost of duties: of the check before each effect at a gateway, and of each entry at a member.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use tansyjunction_duties::*;

fn renewal(gateway: usize, number: u64) -> Renewal {
    let duties = Vec::new();
    let (gateway, zone, room) = (format!("n{gateway}"), "a".to_string(), 9);
    Renewal { gateway, life: 1, number, taken: 0, zone, health: 0, room, says: Default::default(), duties }
}

fn some(criterion: &mut Criterion) {
    let mut register = SharedState::default();
    register.apply(1, &Entry::Renewals((0..1_000).map(|gateway| renewal(gateway, 1)).collect()));
    let mut holder = LeaseHolder::new("n7", 1, LeaseConfig::default());
    for shard in 0..16 {
        let duty = conductor_duty_of(shard);
        register.apply(2, &Entry::Open { duty: duty.clone(), scope: Scope::Shard(shard) });
        register.apply(3, &Entry::Grant { duty, after_epoch: 0, to: "n7".into() });
    }
    let mut asked = holder.create_renewal(10, &register, GatewayReport::default());
    asked.number = 2;
    holder.create_renewal(10, &register, GatewayReport::default());
    let outcome = register.apply(4, &Entry::Renewals(vec![asked]));
    holder.on_outcome(20, &outcome);
    assert_eq!(holder.may_act(30, "conductor/7"), Some(1));
    criterion.bench_function("may_act, of 16 duties", |bench| {
        bench.iter(|| holder.may_act(black_box(30), black_box("conductor/7")));
    });
    let (mut index, mut number) = (10, 10);
    criterion.bench_function("apply a renewal, of 1,000 gateways", |bench| {
        bench.iter(|| {
            (index, number) = (index + 1, number + 1);
            register.apply(index, &Entry::Renewals(vec![renewal(number as usize % 1_000, number)]))
        });
    });
    let batch = |number| Entry::Renewals((0..1_000).map(|gateway| renewal(gateway, number)).collect());
    criterion.bench_function("apply 1,000 renewals in one entry", |bench| {
        bench.iter_batched(
            || (register.clone(), batch(1 << 40)),
            |(mut register, entry)| register.apply(1 << 40, &entry),
            criterion::BatchSize::SmallInput,
        );
    });
    let mut grantor = LeaseGrantor::new(LeaseConfig::default());
    let mut now = 0;
    criterion.bench_function("what a seat proposes, of 1,000 gateways", |bench| {
        bench.iter(|| {
            now += 1_000;
            grantor.due_proposals(
                now % 500_000,
                &register,
                &ElectionEvidence { is_leader: true, ..ElectionEvidence::default() },
            )
        });
    });
}

criterion_group!(benches, some);
criterion_main!(benches);
