//! A large configuration, and incomplete searches.

mod common;

use std::cell::Cell;
use std::time::{Duration, Instant};

use common::{checked, config, failures, input, large};
use tansyjunction_expect::{check, router};

#[test]
fn sixty_servers_and_forty_expectations_take_seconds() {
    let (config, text) = large(10, 6, 40);
    let began = Instant::now();
    let report = checked(&input(config, &[&text], "").expect("it is read"), &router).expect("it is checked");
    let took = began.elapsed();
    println!("60 servers, 10 shards, 40 expectations: {took:?}, {} calls", report.tally.calls);
    assert!(report.holds(), "{}", failures(&report));
    assert_eq!(report.tally.cut_short, None);
    assert!(took < Duration::from_secs(10), "{took:?}");
}

/// A search must not run forever, nor be cut short silently.
#[test]
fn a_search_that_is_cut_short_says_so() {
    let text = "[expectation e]\ncommands = *\nin = *\nfaults = *\nfault_count = 4\nanswered = within 15s\n";
    let few = input(config("shop.json"), &[text], "[expect]\nruns = 50").expect("it is read");
    let report = checked(&few, &router).expect("it is checked");
    assert_eq!(report.tally.cut_short.as_deref(), Some("the bound on runs was met"));
    assert!((50..200).contains(&report.tally.runs), "{}", report.tally.runs);
    let looks = Cell::new(0);
    let stop = || {
        looks.set(looks.get() + 1);
        looks.get() > 200
    };
    let all = input(config("shop.json"), &[text], "").expect("it is read");
    let report = check(&all, &stop, &router).expect("it is checked");
    assert_eq!(report.tally.cut_short.as_deref(), Some("the time was over"));
}

#[test]
fn the_same_files_give_the_same_report() {
    let (config, text) = large(2, 4, 5);
    let tell = || {
        let input = input(config.clone(), &[&text], "").expect("it is read");
        let report = checked(&input, &router).expect("it is checked");
        tansyjunction_expect::report::json(&input.subject, &report).to_string()
    };
    assert_eq!(tell(), tell());
}
