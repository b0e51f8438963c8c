//! Which changes apply at once and which need agreement, field by field; what applies meanwhile is no looser than
//! either version.

use proptest::prelude::*;
use serde_json::{Value as Json, json};
use tansyjunction_accord::{Class, ConfigVersion, Rule, Tighten, classify, compare, meanwhile};

fn config() -> Json {
    json!({
        "settings": {
            "balancers": 3, "localities": ["a", "b"],
            "categories": [
                {"name": "look", "aim": 4e8, "hard_limit": 1.5e9, "effect": "pure", "worth": 1.0},
                {"name": "pay", "aim": 1e9, "hard_limit": 2e9, "effect": "token", "dedup_scope": "cell", "window": 2e9},
            ],
            "domain": {"needs_by_class": ["lag_bound", "mutate"], "class_bound": [3e9, 0.0], "guards": "await",
                       "answers_stamped": true, "write_marks": "brought", "role_listed": "trailing"},
            "limits": {"max_attempts": 6, "second_copies": true, "cancelling": true, "probes": true, "dial_timeout": 2.5e8},
            "guarantees": {"cold": 1.7e10, "cold_from": 0.16, "drain_grace": 1e9, "fall_multiple": 3.0, "overload_for": 2e9},
        },
        "known": {"seq": 1, "whole": true, "hosts": [
            {"host": "s0", "dial": "127.0.0.1:1", "site": "a", "block": 1, "health": "up", "share": 1.0, "recovery": "off"},
            {"host": "s1", "dial": "127.0.0.1:2", "site": "b", "block": 1, "health": "up", "share": 1.0, "recovery": "on"},
        ]},
    })
}

fn changed(changes: &[(&str, Json)]) -> ConfigVersion {
    let mut config = config();
    for (path, value) in changes {
        let (parent, key) = path.rsplit_once('/').expect("a path");
        let parent = config.pointer_mut(parent).expect(path);
        match (parent, key.parse::<usize>()) {
            (Json::Array(list), Ok(place)) if place < list.len() => list[place] = value.clone(),
            (Json::Object(map), _) => drop(map.insert(key.into(), value.clone())),
            (other, _) => panic!("{path}: {other}"),
        }
    }
    ConfigVersion::read(&config).expect("a configuration")
}

#[test]
fn each_change_has_its_class_and_rule() {
    use Class::*;
    let primary =
        |s0: &str, s1: &str| [("/known/hosts/0/recovery", json!(s0)), ("/known/hosts/1/recovery", json!(s1))];
    for (changes, field, class, rule) in [
        (
            vec![("/settings/categories/0/effect", json!("token"))],
            "command group look.effect",
            Tighter,
            Rule::Once,
        ),
        (
            vec![("/settings/categories/1/effect", json!("pure"))],
            "command group pay.effect",
            Looser,
            Rule::Once,
        ),
        (
            vec![("/settings/categories/1/effect", json!("side_effect"))],
            "command group pay.effect",
            Tighter,
            Rule::Once,
        ),
        (
            vec![("/settings/categories/1/window", json!(1e9))],
            "command group pay.window",
            Tighter,
            Rule::Once,
        ),
        (vec![("/settings/categories/1/window", json!(9e9))], "command group pay.window", Looser, Rule::Once),
        (
            vec![("/settings/categories/1/dedup_scope", json!("all"))],
            "command group pay.dropped",
            Looser,
            Rule::Once,
        ),
        (
            vec![("/settings/categories/0/hard_limit", json!(1e9))],
            "command group look.client_timeout",
            Tighter,
            Rule::Answer,
        ),
        (vec![("/settings/categories/0/worth", json!(5.0))], "command group look.worth", Same, Rule::None),
        (
            vec![("/settings/domain/class_bound/0", json!(4e9))],
            "command group look.bound",
            Looser,
            Rule::Fresh,
        ),
        (
            vec![("/settings/domain/class_bound/0", json!(2e9))],
            "command group look.bound",
            Tighter,
            Rule::Fresh,
        ),
        (
            vec![("/settings/domain/needs_by_class/0", json!("strong"))],
            "command group look.need",
            Tighter,
            Rule::Fresh,
        ),
        (vec![("/settings/domain/guards", json!("silent"))], "reads.guards", Tighter, Rule::Fresh),
        (vec![("/settings/domain/write_marks", json!("kept"))], "reads.session_marks", Contrary, Rule::Fresh),
        (vec![("/settings/limits/max_attempts", json!(9))], "limits.dispatches", Looser, Rule::Once),
        (vec![("/settings/limits/second_copies", json!(false))], "limits.second_copies", Tighter, Rule::Once),
        (
            vec![("/settings/guarantees/drain_grace", json!(3e9))],
            "guarantees.drain_grace",
            Looser,
            Rule::Drain,
        ),
        (
            vec![("/settings/guarantees/gone_is_advice", json!(true))],
            "guarantees.gone_is_advice",
            Looser,
            Rule::Drain,
        ),
        (
            vec![("/settings/guarantees/fall_multiple", json!(2.0))],
            "guarantees.fall_multiple",
            Tighter,
            Rule::Cold,
        ),
        (vec![("/settings/guarantees/cold", json!(9e9))], "guarantees.cold_for", Looser, Rule::Cold),
        (vec![("/settings/balancers", json!(2))], "guarantees.gateways", Looser, Rule::Cold),
        (vec![("/settings/localities", json!(["b", "a"]))], "zones", Contrary, Rule::Place),
        (vec![("/settings/later", json!({"of": "a newer program"}))], "setting later", Looser, Rule::None),
        (vec![("/known/hosts/1/health", json!("draining"))], "server s1.standing", Tighter, Rule::Drain),
        (vec![("/known/hosts/1/block", json!(2))], "server s1.shard", Contrary, Rule::Place),
        (vec![("/known/hosts/1/dial", json!("127.0.0.1:9"))], "server s1.address", Same, Rule::None),
        (primary("on", "off").to_vec(), "primary of shard 1", Contrary, Rule::Place),
        (primary("on", "on").to_vec(), "primary of shard 1", Tighter, Rule::Place),
        (vec![("/known/hosts", json!([]))], "server s0", Tighter, Rule::Drain),
    ] {
        let found = compare(&changed(&[]), &changed(&changes));
        let one = found.iter().find(|one| one.field == field);
        let one = one.unwrap_or_else(|| panic!("{field}: {found:?}"));
        assert_eq!((one.class, one.rule), (class, rule), "{one:?}");
        // The reverse change has the reverse class.
        let back = compare(&changed(&changes), &changed(&[]));
        let back = back.iter().find(|one| one.field == field).expect(field).class;
        let turned = match class {
            Tighter => Looser,
            Looser => Tighter,
            same => same,
        };
        assert_eq!(back, turned, "{field}");
    }
    assert_eq!(compare(&changed(&[]), &changed(&[])), []);
}

#[test]
fn what_is_no_version_names_its_key() {
    for (path, value, part) in [
        ("/settings", Json::Null, ""),
        ("/settings/categories/1/name", json!("look"), "a second time"),
        ("/settings/categories/1/name", json!(5), "'settings.categories.1.name'"),
        ("/known/seq", json!(-1), "'known'"),
    ] {
        let mut config = config();
        *config.pointer_mut(path).expect(path) = value;
        let read = ConfigVersion::read(&config);
        assert!(part.is_empty() || read.is_err_and(|message| message.contains(part)), "{path}");
    }
    assert!(ConfigVersion::read(&json!({})).is_err());
}

/// Generates versions by changing values in many places.
fn some() -> impl Strategy<Value = ConfigVersion> {
    let change = |path: &'static str, values: Vec<Json>| {
        prop::option::of(prop::sample::select(values)).prop_map(move |value| value.map(|value| (path, value)))
    };
    let all = vec![
        change("/settings/categories/0/effect", vec![json!("pure"), json!("token"), json!("side_effect")]),
        change("/settings/categories/1/effect", vec![json!("pure"), json!("token"), json!("side_effect")]),
        change("/settings/categories/1/window", vec![json!(1e9), json!(5e9)]),
        change("/settings/categories/1/dedup_scope", vec![json!("all"), json!("zone")]),
        change("/settings/categories/0/name", vec![json!("look"), json!("see")]),
        change("/settings/domain/class_bound/0", vec![json!(1e9), json!(5e9)]),
        change(
            "/settings/domain/needs_by_class/0",
            vec![json!("eventual"), json!("causal"), json!("strong")],
        ),
        change("/settings/domain/guards", vec![json!("bounce"), json!("silent")]),
        change("/settings/domain/write_marks", vec![json!("kept"), json!("brought")]),
        change("/settings/limits/second_copies", vec![json!(true), json!(false)]),
        change("/settings/guarantees/cold_from", vec![json!(0.1), json!(0.5)]),
        change("/settings/guarantees/gone_is_advice", vec![json!(true), json!(false)]),
        change("/settings/later", vec![json!(1), json!(2)]),
        change("/known/hosts/0/recovery", vec![json!("on"), json!("off")]),
        change("/known/hosts/1/recovery", vec![json!("on"), json!("off")]),
        change("/known/hosts/1/health", vec![json!("draining"), json!("up")]),
        change("/known/hosts/1/block", vec![json!(1), json!(2)]),
        change("/known/hosts/1/host", vec![json!("s1"), json!("s2")]),
    ];
    all.prop_map(|changes| changed(&changes.into_iter().flatten().collect::<Vec<_>>()))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: proptest::test_runner::RngSeed::Fixed(26), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_binds_meanwhile_is_no_looser_than_either(a in some(), b in some(), c in some()) {
        let both = meanwhile(&a, &b);
        for one in [&a, &b] {
            let found = compare(one, &both);
            let looser = found.iter().find(|one| matches!(one.class, Class::Looser | Class::Contrary));
            prop_assert!(looser.is_none(), "{:?}", looser);
        }
        // Order and number of received versions do not matter.
        prop_assert_eq!(&both, &meanwhile(&b, &a));
        prop_assert_eq!(&meanwhile(&both, &a), &both);
        prop_assert_eq!(meanwhile(&both, &c), meanwhile(&a, &meanwhile(&b, &c)));
        // A version that is tighter in all fields applies as it is.
        if compare(&a, &b).iter().all(|one| matches!(one.class, Class::Same | Class::Tighter)) {
            prop_assert_eq!(&both, &b);
        }
    }

    #[test]
    fn a_class_turned_round_is_the_other(a in some(), b in some()) {
        for (old, new) in [(&a, &b), (&b, &a)] {
            let limits = (classify(&old.limits, &new.limits), old.limits.meet(&new.limits));
            prop_assert_eq!(limits.0 == Class::Tighter, limits.1 == new.limits && old.limits != new.limits);
        }
        let fields = |found: Vec<tansyjunction_accord::Difference>| found.into_iter().map(|one| one.field).collect::<Vec<_>>();
        prop_assert_eq!(fields(compare(&a, &b)), fields(compare(&b, &a)));
    }
}
