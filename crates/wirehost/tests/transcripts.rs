//! Short exchanges with the adapter's executable.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const BEGIN: &str = r#"{"begin":{"i":0,"random_seed":9,"conf":{"balancers":1,"me":0,"my_zone":"a","localities":["a"],
"categories":[{"name":"look","aim":400000000,"hard_limit":1500000000,"effect":"pure","worth":1.0,"new_key":[1]}],
"domain":{"needs_by_class":["eventual"],"class_bound":[0],"guards":"await","zero":0},"another":null,
"limits":{"max_attempts":3,"probes":false},"guarantees":{},"telemetry":{"fields":["x0"]}}}}"#;
const LIST: &str = r#"{"page":{"page":0,"elements":[{"type":"t","units":1,"state":"SERVING","server":"s1","leads":0,
"site":"a","set":1,"since":null}]}},{"members":{"i":0,"how":"remembered","seq_no":1,"page":0}}"#;
const ARRIVAL: &str = r#"{"arrival":{"i":0,"corr":5,"priority":"look","group_no":1,"not_after":3000000000}}"#;

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tansyjunction-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("its input is piped");
    for line in lines {
        // It may have exited at an earlier line.
        let _ = writeln!(input, "{}", line.replace('\n', ""));
    }
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

fn batch(time: u64, events: &[&str]) -> String {
    format!(r#"{{"time":{time},"input":[{}]}}"#, events.join(","))
}

#[test]
fn legal_input_is_answered_line_by_line() {
    let forward = r#"{"forward":{"corr":5,"i":0,"server":"s1","timeout":2000000000}}"#;
    let ended =
        r#"{"resolved":{"i":0,"corr":5,"go":0,"server":"s1","reason":"ok","duration":9,"complete":true}}"#;
    let gone = r#"{"dropped":{"i":0,"corr":5}}"#;
    let halt = r#"{"halt":{"i":0}}"#;
    let empty_list =
        r#"{"page":{"page":0,"elements":[]}},{"members":{"i":0,"how":"all","seq_no":2,"page":0}}"#;
    // A batch, and texts that its reply must or must not contain.
    for (what, events, expected, times) in [
        ("an empty batch", vec![], "forward", 0),
        ("a command", vec![BEGIN, LIST, ARRIVAL], forward, 1),
        (
            "an outcome and a client gone after the end",
            vec![BEGIN, LIST, ARRIVAL, ended, gone, gone],
            forward,
            1,
        ),
        ("a timer no longer wanted", vec![BEGIN, r#"{"deadline_hit":{"i":0,"nonce":77}}"#], "forward", 0),
        ("a restart in a batch", vec![BEGIN, LIST, ARRIVAL, halt, BEGIN, LIST, ARRIVAL], forward, 2),
        ("a list without entries", vec![BEGIN, LIST, empty_list, ARRIVAL], "forward", 0),
        (
            "a report without values",
            vec![
                BEGIN,
                LIST,
                r#"{"pong":{"i":0,"server":"s1","reason":"ok","duration":5,"health_info":[]}}"#,
                ARRIVAL,
            ],
            forward,
            1,
        ),
        ("events after a halt", vec![BEGIN, halt, ARRIVAL], "forward", 0),
    ] {
        let output = run(&[batch(1_000_000_000, &events), batch(1_005_000_000, &[])]);
        let text = String::from_utf8(output.stdout).expect("replies are UTF-8");
        assert!(output.status.success(), "{what}: {}", String::from_utf8_lossy(&output.stderr));
        assert_eq!(text.lines().count(), 2, "{what}: {text}");
        assert_eq!(text.matches(expected).count(), times, "{what}: {text}");
    }
}

#[test]
fn malformed_input_stops_it_with_one_message() {
    let senseless = BEGIN.replace(r#""aim":400000000"#, r#""aim":0"#);
    for (line, expected) in [
        ("{".to_string(), "line 2: not JSON"),
        ("{}".into(), "line 2: 'time' is missing"),
        (r#"{"time":1}"#.into(), "line 2: 'input' is missing"),
        (r#"{"time":1,"input":7}"#.into(), "line 2: 'input' is not an array"),
        (batch(1, &["3"]), "line 2: event 0: not an object"),
        (batch(1, &[r#"{"arrival":{"corr":1}}"#]), "line 2: event 0, arrival: 'i' is missing"),
        (batch(1, &[ARRIVAL]), "line 2: event 0, arrival: instance 0 was never begun"),
        (batch(1, &[BEGIN, r#"{"arrival":{"i":0}}"#]), "line 2: event 1, arrival: 'corr' is missing"),
        (batch(1, &[&senseless]), "line 2: event 0, begin: setting 'command_group.0.response_target' is 0"),
    ] {
        let output = run(&[batch(0, &[]), line.clone()]);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{line}");
        assert_eq!(error.lines().count(), 1, "{line}: {error}");
        assert!(error.contains(expected), "{line}: {error}");
        assert_eq!(String::from_utf8_lossy(&output.stdout).lines().count(), 1, "{line}");
    }
}
