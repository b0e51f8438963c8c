//! The examples for operators: valid ones hold, invalid ones fail for the stated reason.

mod common;

use common::{Example, checked, failures};
use tansyjunction_expect::saved;
use tansyjunction_expect::{Verdict, router};

#[test]
fn right_examples_hold() {
    let all = Example::all("right");
    assert!(all.len() >= 12, "{} examples", all.len());
    for example in all {
        let report = example.input().and_then(|input| checked(&input, &router));
        let report = report.unwrap_or_else(|error| panic!("{}: {error}", example.name));
        assert!(report.holds(), "{}: {}", example.name, failures(&report));
    }
}

#[test]
fn wrong_examples_fail_for_their_own_reasons() {
    let all = Example::all("wrong");
    assert!(all.len() >= 30, "{} examples", all.len());
    for example in all {
        let reason = example.head("fails").expect("a reason");
        let report = example.input().and_then(|input| checked(&input, &router));
        let (said, exit) = match &report {
            Ok(report) => (failures(report), if report.holds() { "0" } else { "1" }),
            Err(message) => (message.clone(), "2"),
        };
        assert_eq!(Some(exit), example.head("exit"), "{}: {said}", example.name);
        assert!(said.contains(reason), "{}: {said}", example.name);
        if let (Some(faults), Ok(report)) = (example.head("faults"), &report) {
            let Verdict::Broken(found) = &report.checked[0].verdict else {
                panic!("{} is broken", example.name)
            };
            assert_eq!(found.faults.to_string(), faults, "{}", example.name);
        }
    }
}

/// Each counterexample must be repeatable from its file alone.
#[test]
fn every_counterexample_runs_again_from_its_file() {
    let mut ran = 0;
    for example in Example::all("wrong") {
        let Ok(input) = example.input() else { continue };
        let Ok(report) = checked(&input, &router) else { continue };
        for (place, one) in report.checked.iter().enumerate() {
            let Verdict::Broken(found) = &one.verdict else { continue };
            let file = saved::save(&input, place, found).to_string();
            let read = serde_json::from_str(&file).expect("JSON");
            let again = saved::replay(&read).unwrap_or_else(|error| panic!("{}: {error}", example.name));
            assert_eq!(again.broken.as_ref(), Some(&found.broken), "{}", example.name);
            assert_eq!(again.trail, found.trail, "{}", example.name);
            ran += 1;
        }
    }
    assert!(ran >= 12, "{ran} runs");
}

#[test]
fn a_saved_run_that_was_torn_is_told_and_not_run() {
    let example = Example::all("wrong").into_iter().find(|one| one.name.starts_with("05")).expect("it");
    let input = example.input().expect("it is read");
    let report = checked(&input, &router).expect("it is checked");
    let Verdict::Broken(found) = &report.checked[0].verdict else { panic!("it is broken") };
    let whole = saved::save(&input, 0, found);
    for (pointer, value, part) in [
        ("/tansyjunction_run", "9", "no saved run"),
        ("/expectation", "\"other\"", "no expectation 'other'"),
        ("/setting/shard", "77", "'setting'"),
        ("/setting/place", "77", "no such world"),
        ("/setting/state", "\"clam\"", "nearest is 'calm'"),
        ("/choices/0/happens", "\"luck\"", "'luck' is no fault"),
        ("/choices", "{}", "'choices'"),
        ("/config/json", "{}", "'settings' is missing"),
        ("/files/0/text", "\"[\"", "not a section header"),
    ] {
        let mut torn = whole.clone();
        *torn.pointer_mut(pointer).expect(pointer) = serde_json::from_str(value).expect("JSON");
        let said = saved::replay(&torn).map(|again| again.expectation).expect_err(pointer);
        assert!(said.contains(part), "{pointer}: {said}");
    }
}
