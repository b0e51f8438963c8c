//! Logging of `serve` according to the settings.

use std::net::TcpStream;
use std::process::Command;
use std::time::{Duration, Instant};

use tansyjunction_standin::scripted::unused_address;

const CONFIG: &str = r#"{"name":"n0","listen":"LISTEN","discovery":"127.0.0.2:9","settings":{"my_zone":"a",
    "localities":["a"],"categories":[{"name":"look","aim":400000000,"hard_limit":1500000000,"effect":"pure"}]}}"#;

/// Runs the program until it has logged `line` or, without one, for a moment; returns the log.
fn logged(settings: &str, line: Option<&str>) -> String {
    let folder = tempfile::tempdir().expect("a folder");
    let listen = unused_address();
    let (config, ini) = (folder.path().join("config.json"), folder.path().join("tansyjunction.ini"));
    std::fs::write(&config, CONFIG.replace("LISTEN", &listen.to_string())).expect("a file");
    std::fs::write(&ini, settings).expect("a file");
    let log = folder.path().join("log");
    let mut child = Command::new(env!("CARGO_BIN_EXE_tansyjunction"))
        .arg("serve")
        .args(["--config".as_ref(), config.as_os_str(), "--settings".as_ref(), ini.as_os_str()])
        .stderr(std::fs::File::create(&log).expect("a log"))
        .spawn()
        .expect("the program starts");
    let began = Instant::now();
    let mut until = |what: &str, so: &dyn Fn() -> bool| {
        while !so() {
            let text = std::fs::read_to_string(&log).unwrap_or_default();
            if began.elapsed() > Duration::from_secs(20) || matches!(child.try_wait(), Ok(Some(_))) {
                let _ = child.kill();
                panic!("{what}: {text}");
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    };
    until("it does not listen", &|| TcpStream::connect(listen).is_ok());
    // Discovery is unreachable, which is logged repeatedly.
    match line {
        Some(line) => until(line, &|| std::fs::read_to_string(&log).is_ok_and(|text| text.contains(line))),
        // The absence of lines cannot be waited for; a longer run would not find more.
        None => std::thread::sleep(Duration::from_millis(300)),
    }
    let kill = Command::new("sh").arg("-c").arg(format!("kill -TERM {}", child.id())).status();
    assert!(kill.expect("a shell").success());
    let ended = child.wait().expect("its end").success();
    let text = std::fs::read_to_string(&log).expect("its log");
    assert!(ended, "{text}");
    text
}

#[test]
fn text_json_and_levels_are_as_the_settings_say() {
    let text = logged("", Some("\ntansyjunction: discovery: "));
    assert!(text.starts_with("tansyjunction: n0 serves on 127.0.1.1:"), "{text}");
    assert!(text.contains("\ntansyjunction: discovery: ") && text.ends_with("n0 has stopped\n"), "{text}");
    let json = logged("[log]\nformat = json\nlevel.discovery = error", None);
    let lines: Vec<serde_json::Value> =
        json.lines().map(|line| serde_json::from_str(line).unwrap_or_else(|_| panic!("{line}"))).collect();
    assert!(lines.iter().all(|line| line["target"] == "start" && line["level"] == "INFO"), "{json}");
    assert_eq!(lines.len(), 2, "{json}");
    let bounded = logged("[log]\nlines_a_second = 1", Some(" lines suppressed)"));
    assert!(bounded.contains(" lines suppressed)"), "{bounded}");
    assert_eq!(logged("[log]\nlevel = off", None), "");
}
