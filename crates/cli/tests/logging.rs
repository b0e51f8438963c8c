//! What `serve` logs, as its settings say.

use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const CONFIG: &str = r#"{"name":"n0","listen":"LISTEN","discovery":"127.0.0.2:9","settings":{"my_zone":"a",
    "localities":["a"],"categories":[{"name":"look","aim":400000000,"hard_limit":1500000000,"effect":"pure"}]}}"#;

/// Starts the program, has it serve for a moment, stops it, and gives what it logged.
fn logged(settings: &str) -> String {
    let folder = tempfile::tempdir().expect("a folder");
    let listen = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port");
    let (config, ini) = (folder.path().join("config.json"), folder.path().join("tansyjunction.ini"));
    std::fs::write(&config, CONFIG.replace("LISTEN", &listen.to_string())).expect("a file");
    std::fs::write(&ini, settings).expect("a file");
    let mut child = Command::new(env!("CARGO_BIN_EXE_tansyjunction"))
        .arg("serve")
        .args(["--config".as_ref(), config.as_os_str(), "--settings".as_ref(), ini.as_os_str()])
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let began = Instant::now();
    while TcpStream::connect(listen).is_err() {
        assert!(began.elapsed() < Duration::from_secs(20), "it does not listen");
        std::thread::sleep(Duration::from_millis(2));
    }
    // Discovery is not there, which is logged again and again.
    std::thread::sleep(Duration::from_millis(300));
    let kill = Command::new("sh").arg("-c").arg(format!("kill -TERM {}", child.id())).status();
    assert!(kill.expect("a shell").success());
    let mut text = String::new();
    std::io::Read::read_to_string(&mut child.stderr.take().expect("its log"), &mut text).expect("its log");
    assert!(child.wait().expect("its end").success(), "{text}");
    text
}

#[test]
fn text_json_and_levels_are_as_the_settings_say() {
    let text = logged("");
    assert!(text.starts_with("tansyjunction: n0 serves on 127.0.0.1:"), "{text}");
    assert!(text.contains("\ntansyjunction: discovery: ") && text.ends_with("n0 has stopped\n"), "{text}");
    let json = logged("[log]\nformat = json\nlevel.discovery = error");
    let lines: Vec<serde_json::Value> =
        json.lines().map(|line| serde_json::from_str(line).unwrap_or_else(|_| panic!("{line}"))).collect();
    assert!(lines.iter().all(|line| line["target"] == "start" && line["level"] == "INFO"), "{json}");
    assert_eq!(lines.len(), 2, "{json}");
    let bounded = logged("[log]\nlines_a_second = 1");
    assert!(bounded.contains(" lines left out)"), "{bounded}");
    assert_eq!(logged("[log]\nlevel = off"), "");
}
