//! Evidence merges to the same result in any order, and a single wrong observer counts once.

use proptest::prelude::*;
use tansyjunction_fellows::evidence::{EvidenceStore, Fact, Item};
use tansyjunction_fellows::opinion::{agreed_primary, summarize, unreliable_observers};

const NOW: u64 = 100_000_000;
const KEEP: u64 = 30_000_000;

fn item(source: &str, zone: u8, seq: u32, subject: &str, fact: Fact, age: u32) -> Item {
    Item { source: source.into(), zone, life: 1, seq, subject: subject.into(), fact, age }
}

fn some() -> impl Strategy<Value = Item> {
    let fact = prop_oneof![
        Just(Fact::Answers),
        Just(Fact::Refuses),
        Just(Fact::Hangs),
        Just(Fact::Leads),
        Just(Fact::Follows),
        (0u64..4).prop_map(Fact::At),
        Just(Fact::Drains),
        (0u16..3).prop_map(Fact::Waits),
    ];
    (0u8..3, 1u64..3, 0u32..3, 0u8..3, fact, 0u32..40_000).prop_map(
        |(source, life, seq, subject, fact, age)| Item {
            source: format!("n{source}"),
            zone: source,
            life,
            seq,
            subject: format!("s{subject}"),
            fact,
            age,
        },
    )
}

fn merged<'a>(items: impl Iterator<Item = &'a Item>) -> Vec<(String, String, Fact, u64, u32, u64)> {
    let mut evidence = EvidenceStore::new(KEEP, 64);
    items.for_each(|item| {
        evidence.merge(NOW, item, 0);
    });
    let all = evidence.all();
    all.map(|(source, subject, kept)| {
        (source.into(), subject.into(), kept.fact, kept.life, kept.seq, kept.observed_at)
    })
    .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: proptest::test_runner::RngSeed::Fixed(25), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_order_and_any_repetition_ends_the_same(items in prop::collection::vec(some(), 0..14), order in any::<u64>()) {
        let mut shuffled = items.clone();
        fastrand::Rng::with_seed(order).shuffle(&mut shuffled);
        shuffled.extend(items.iter().take(items.len() / 2).cloned());
        prop_assert_eq!(merged(items.iter()), merged(shuffled.iter()));
    }

    #[test]
    fn nothing_is_kept_that_is_too_old_and_nothing_grows_younger(items in prop::collection::vec(some(), 0..14), late in 0u64..40_000_000) {
        let mut evidence = EvidenceStore::new(KEEP, 64);
        for item in &items {
            evidence.merge(NOW, item, late);
        }
        for (_, _, kept) in evidence.all() {
            prop_assert!(kept.observed_at + KEEP >= NOW && kept.observed_at + late <= NOW);
        }
        let before: Vec<_> = evidence.all().map(|(_, _, kept)| kept.observed_at).collect();
        // An item repeated as if it had just been observed changes nothing.
        for item in evidence.clone().next_items(NOW, usize::MAX, 1) {
            evidence.merge(NOW, &Item { age: 0, ..item }, 0);
        }
        let again: Vec<_> = evidence.all().map(|(_, _, kept)| kept.observed_at).collect();
        prop_assert_eq!(&again, &before);
        let items = evidence.next_items(NOW + 1, usize::MAX, 1);
        let mut second = EvidenceStore::new(KEEP, 64);
        items.iter().for_each(|item| { second.merge(NOW + 1, item, 0); });
        let after: Vec<_> = second.all().map(|(_, _, kept)| kept.observed_at).collect();
        // In transit an item's age grows by at most a millisecond too much, and never shrinks.
        prop_assert!(after.iter().zip(&before).all(|(after, before)| after <= before && before - after <= 1_000));
    }

    #[test]
    fn a_source_is_bounded_and_pushes_out_only_its_own(count in 1usize..200) {
        let mut evidence = EvidenceStore::new(KEEP, 16);
        evidence.merge(NOW, &item("quiet", 0, 1, "s", Fact::Answers, 20_000), 0);
        for n in 0..count {
            evidence.merge(NOW, &item("loud", 1, n as u32, &format!("s{n}"), Fact::Refuses, 100), 0);
        }
        prop_assert_eq!(evidence.len(), 1 + count.min(16));
        prop_assert!(evidence.all().any(|(source, _, _)| source == "quiet"));
    }
}

/// The guarantees above by name, for the test of seeded faults.
pub const ORDER: fn() = any_order_and_any_repetition_ends_the_same;
pub const AGE: fn() = nothing_is_kept_that_is_too_old_and_nothing_grows_younger;
pub const BOUND: fn() = a_source_is_bounded_and_pushes_out_only_its_own;

fn told(items: &[Item]) -> EvidenceStore {
    let mut evidence = EvidenceStore::new(KEEP, 64);
    items.iter().for_each(|item| {
        evidence.merge(NOW, item, 0);
    });
    evidence
}

#[test]
pub fn a_server_is_known_bad_by_several_observers_of_several_zones_alone() {
    use Fact::*;
    for (said, bad) in [
        (vec![("a", 0, Refuses)], false),
        (vec![("a", 0, Refuses), ("b", 0, Hangs)], true),
        (vec![("a", 0, Refuses), ("b", 0, Hangs), ("c", 1, Answers)], false),
        (vec![("a", 0, Refuses), ("b", 1, Hangs), ("c", 1, Answers)], true),
        (vec![("a", 0, Refuses), ("b", 1, Refuses), ("c", 1, Answers), ("d", 2, Answers)], false),
        (vec![("a", 0, Hangs), ("b", 1, Hangs), ("old", 1, Answers), ("older", 2, Answers)], true),
        (vec![("own", 0, Refuses), ("a", 1, Refuses)], false),
    ] {
        let items: Vec<Item> = said
            .iter()
            .map(|(s, zone, fact)| item(s, *zone, 1, "x", *fact, if s.starts_with("old") { 900 } else { 5 }))
            .collect();
        let found = summarize(NOW, &told(&items), "own");
        assert_eq!(found.get("x").is_some_and(|opinion| opinion.bad_since().is_some()), bad, "{said:?}");
    }
}

#[test]
pub fn one_that_accuses_everybody_weighs_nothing() {
    let mut items: Vec<Item> =
        (0..6).map(|n| item("broken", 0, n, &format!("s{n}"), Fact::Refuses, 5)).collect();
    items.push(item("well", 1, 1, "s0", Fact::Refuses, 5));
    items.extend((1..6).map(|n| item("well", 1, n + 1, &format!("s{n}"), Fact::Answers, 5)));
    let evidence = told(&items);
    assert_eq!(unreliable_observers(&evidence).into_iter().collect::<Vec<_>>(), ["broken"]);
    assert!(summarize(NOW, &evidence, "own").values().all(|opinion| opinion.bad_since().is_none()));
}

#[test]
pub fn who_leads_is_told_by_voices_not_by_the_loudest() {
    use Fact::*;
    let names = ["p", "q", "r"];
    for (said, leads) in [
        (vec![("a", 1, "p", Leads, 900)], Some("p")),
        // A change of primary: one observer has seen the new one, and another that the old one follows.
        (
            vec![
                ("a", 1, "p", Leads, 900),
                ("b", 1, "p", Leads, 800),
                ("c", 1, "p", Follows, 100),
                ("c", 2, "q", Leads, 90),
            ],
            Some("q"),
        ),
        // The old primary died: observers that found it gone do not vote for it.
        (vec![("a", 1, "p", Leads, 900), ("a", 2, "p", Refuses, 50), ("b", 1, "q", Leads, 400)], Some("q")),
        // A lying observer has the newest item and one vote.
        (vec![("a", 1, "p", Leads, 900), ("b", 1, "p", Leads, 800), ("liar", 1, "r", Leads, 0)], Some("p")),
        (vec![("a", 1, "p", Leads, 900), ("b", 1, "p", Follows, 100)], None),
        (vec![("own", 1, "p", Leads, 1)], None),
    ] {
        let items: Vec<Item> =
            said.iter().map(|(s, seq, of, fact, age)| item(s, 0, *seq, of, *fact, *age)).collect();
        assert_eq!(agreed_primary(&told(&items), "own", &names).map(|found| found.0), leads, "{said:?}");
    }
}
