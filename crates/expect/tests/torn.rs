//! Truncated or corrupted files: each ends with a verdict or one clear error, never with a panic.

mod common;

use std::cell::Cell;

use common::{Example, folder, input};
use fastrand::Rng;
use tansyjunction_expect::{check, router};

/// Removes, duplicates, swaps or corrupts a part of a text.
fn garbled(text: &str, rng: &mut Rng) -> String {
    let mut lines: Vec<String> = text.lines().map(String::from).collect();
    for _ in 0..rng.usize(1..4) {
        let place = rng.usize(..lines.len().max(1));
        let Some(line) = lines.get(place).cloned() else { continue };
        match rng.usize(..5) {
            0 => drop(lines.remove(place)),
            1 => lines.insert(place, line),
            2 => {
                let other = rng.usize(..lines.len());
                lines.swap(place, other);
            }
            3 => lines[place] = line.chars().take(rng.usize(..line.len() + 1)).collect(),
            _ => {
                let at = rng.usize(..line.chars().count() + 1);
                let put = *rng
                    .choice(["0", "-", "=", "[", "99999999999999999999", "\u{e9}", ",", "\""].iter())
                    .expect("one");
                lines[place] =
                    line.chars().take(at).chain(put.chars()).chain(line.chars().skip(at)).collect();
            }
        }
    }
    lines.join("\n")
}

#[test]
fn no_file_makes_it_panic() {
    let examples: Vec<Example> = Example::all("right").into_iter().chain(Example::all("wrong")).collect();
    let configs =
        ["shop.json", "orders.json"].map(|name| std::fs::read_to_string(folder().join(name)).expect(name));
    let (mut told, mut checked) = (0, 0);
    for seed in 0..600 {
        let mut rng = Rng::with_seed(seed);
        let example = &examples[rng.usize(..examples.len())];
        let config = &configs[usize::from(example.head("config") == Some("orders.json"))];
        let (text, config) = match rng.bool() {
            true => (garbled(&example.text, &mut rng), config.clone()),
            false => (example.text.clone(), garbled(config, &mut rng)),
        };
        let Ok(json) = serde_json::from_str(&config) else { continue };
        match input(json, &[&text], "") {
            Err(message) => {
                assert_eq!(message.lines().count(), 1, "seed {seed}: {message}");
                told += 1;
            }
            Ok(input) => {
                let looks = Cell::new(0);
                let stop = || looks.replace(looks.get() + 1) > 300;
                checked += usize::from(check(&input, &stop, &router).is_ok());
            }
        }
    }
    assert!(told > 100 && checked > 100, "{told} told, {checked} checked");
}
