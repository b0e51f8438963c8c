//! The command line without sockets: exit codes, reports, saved runs.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_tansyjunction");

fn deploy() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy")
}

fn run(parts: &[&str]) -> (i32, String, String) {
    let Output { status, stdout, stderr } = Command::new(PROGRAM)
        .args(parts)
        .env_remove("BALANCER_CONFIG")
        .current_dir(deploy())
        .output()
        .expect("the program starts");
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    (status.code().unwrap_or(-1), text(stdout), text(stderr))
}

const SHOP: &str = "examples/expectations/shop.json";
const WRONG: &str = "examples/expectations/wrong/04-lookups-at-primary.ini";

#[test]
fn exit_codes_tell_what_holds_what_fails_and_what_cannot_be_used() {
    for (parts, code, part) in [
        (
            &["expect", "expectations.ini", "--config", SHOP, "--settings", "tansyjunction.ini"][..],
            0,
            "0 fail",
        ),
        (
            &["expect", "--config", SHOP, "examples/expectations/right/02-near-lookups.ini"],
            0,
            "1 hold, 0 fail",
        ),
        (&["expect", "--config", SHOP, WRONG], 1, "'only': sent to"),
        (&["expect", "--config", SHOP], 2, "no file of expectations"),
        (&["expect", WRONG], 2, "no configuration"),
        (&["expect", "--config", "none.json", WRONG], 2, "none.json"),
        (&["expect", "--config", WRONG, WRONG], 2, "expected value"),
        (&["expect", "--config", SHOP, "none.ini"], 2, "none.ini"),
        (&["expect", "--config", SHOP, WRONG, "--settings", WRONG], 2, "no such section"),
        (&["expect", "--config", SHOP, WRONG, "--time-limit", "soon"], 2, "'soon' is not a time"),
        (&["expect", "--config", SHOP, "expectations.ini", "--time-limit", "1ms"], 2, "the time was over"),
        (&["expect", "--config", SHOP, "--explain", "lookup 1 hung"], 0, "kri-2"),
        (&["expect", "--config", SHOP, "--explain", "lokup 1"], 2, "nearest is 'lookup'"),
        (&["expect", "--config", SHOP, "--explain", "lookup 99"], 2, "no such shard"),
        (&["expect", "--config", SHOP, "--explain", "lookup"], 2, "is not 'COMMAND-GROUP SHARD [STATE]'"),
        (&["expect", "diff", SHOP, SHOP], 0, "nothing is routed differently"),
        (&["expect", "diff", SHOP, "examples/expectations/orders.json"], 1, "basket"),
        (&["expect", "replay", SHOP], 2, "no saved run"),
        (&["check", "--config", SHOP, "--settings", "tansyjunction.ini"], 0, "13 servers known"),
        (&["check", "--config", SHOP, "--settings", SHOP], 1, "shop.json"),
        (&["completions", "bash"], 0, "tansyjunction"),
        (&["man"], 0, "tansyjunction"),
    ] {
        let (exit, out, err) = run(parts);
        assert_eq!(exit, code, "{parts:?}: {out}{err}");
        assert!((out.clone() + &err).contains(part), "{parts:?}: {out}{err}");
        assert!(!err.contains("panicked") && (exit != 2 || err.lines().count() == 1), "{parts:?}: {err}");
    }
}

#[test]
fn reports_of_every_form_tell_the_same_verdict_and_are_whole() {
    let folder = tempfile::tempdir().expect("a folder");
    for (form, parts) in [
        ("json", &[r#""holds": false"#, r#""cause": "'only'""#][..]),
        ("junit", &["<testsuite ", "failures=\"1\"", "type=\"broken\""]),
        ("html", &["not all hold", "</html>", "where to?"]),
        ("text", &["FAILS", "arrives"]),
    ] {
        let file = folder.path().join(form);
        let path = file.display().to_string();
        let (exit, out, err) = run(&["expect", "--config", SHOP, WRONG, "--format", form, "--output", &path]);
        assert_eq!((exit, out.as_str()), (1, ""), "{form}: {err}");
        let text = std::fs::read_to_string(file).expect("the report");
        assert!(parts.iter().all(|part| text.contains(part)), "{form}: {text}");
    }
    // A report must not be half written, nor written where nothing could be checked.
    let there = std::fs::read_dir(folder.path()).expect("the folder").count();
    let path = folder.path().join("none").display().to_string();
    let (exit, ..) = run(&["expect", "--config", "none.json", WRONG, "--output", &path]);
    assert_eq!((exit, std::fs::read_dir(folder.path()).expect("the folder").count()), (2, there));
}

#[test]
fn a_saved_run_is_run_again_and_a_suggestion_holds() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().display().to_string();
    assert_eq!(run(&["expect", "--config", SHOP, WRONG, "--save", &path]).0, 1);
    let saved = std::fs::read_dir(folder.path()).expect("the folder").flatten().next().expect("a saved run");
    let (exit, out, err) = run(&["expect", "replay", &saved.path().display().to_string()]);
    assert_eq!(exit, 1, "{err}");
    assert!(out.contains("FAILS: 'only'"), "{out}");
    let file = folder.path().join("suggested.ini").display().to_string();
    for config in [SHOP, "examples/expectations/orders.json"] {
        let (exit, _, err) = run(&["expect", "suggest", "--config", config, "--output", &file]);
        assert_eq!(exit, 0, "{err}");
        let (exit, out, err) = run(&["expect", "--config", config, &file]);
        assert_eq!(exit, 0, "{config}: {out}{err}");
    }
}
