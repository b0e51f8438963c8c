//! `tansyjunction demo`: runs a store, two gateways and clients on loopback, and shows changes of primary.

use std::io::IsTerminal;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use clap::Args;
use serde_json::{Value as Json, json};
use tansyjunction_settings::{duration, whole};
use tansyjunction_standin::{Client, Death, Discovery, Load, Reply, Store, StoreConfig, check_ledger};

use crate::handover::ask;
use crate::line::print;

const SHARDS: usize = 3;
const MEMBERS: usize = 3;
const GATEWAYS: usize = 2;
/// Refresh interval.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);
/// Time between changes or kills.
const CHANGE_INTERVAL: Duration = Duration::from_secs(3);
/// Duration of a planned change in the store, and of detection and election after a kill.
const SWITCH_TIME: Duration = Duration::from_millis(300);
const ELECTION_TIME: Duration = Duration::from_millis(700);
const START_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Args)]
pub struct Line {
    /// Duration.
    #[arg(long, default_value = "20s", value_parser = |text: &str| duration(text).map(Duration::from_micros))]
    time: Duration,
    /// Clients per gateway.
    #[arg(long, default_value = "20", value_parser = |text: &str| whole(text))]
    clients: u64,
    /// Random seed.
    #[arg(long, default_value = "1", value_parser = |text: &str| whole(text))]
    seed: u64,
}

/// A gateway process and its control socket.
struct Gateway {
    address: SocketAddr,
    control: PathBuf,
    child: Child,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs the sub-command.
pub fn run(line: &Line) -> Result<(), String> {
    let said = |error: std::io::Error| error.to_string();
    let stop = Arc::new(AtomicBool::new(false));
    let told = stop.clone();
    ctrlc::set_handler(move || told.store(true, Ordering::SeqCst)).map_err(|error| error.to_string())?;
    let folder = tempfile::tempdir().map_err(said)?;
    let shape = StoreConfig { shards: SHARDS, members: MEMBERS, seed: line.seed, ..StoreConfig::default() };
    let store = Store::start(shape).map_err(said)?;
    let discovery = Discovery::start(&store).map_err(said)?;
    let gateways = (0..GATEWAYS).map(|number| start(number, discovery.address, folder.path()));
    let gateways = gateways.collect::<Result<Vec<_>, _>>()?;
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.address).collect();
    let load = Load::start(&addresses, line.clients as usize, SHARDS, Duration::from_millis(50));
    let (began, over) = (Instant::now(), || stop.load(Ordering::SeqCst));
    let happened = std::sync::Mutex::new("payments flow".to_string());
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut round = 0;
            while pause(CHANGE_INTERVAL, &|| over() || began.elapsed() + CHANGE_INTERVAL >= line.time) {
                change(round, &store, &discovery, &gateways, &happened);
                round += 1;
            }
        });
        let terminal = std::io::stdout().is_terminal();
        while began.elapsed() < line.time && !over() {
            let text = show_state(began.elapsed(), &load, &gateways, &happened, terminal);
            if print(&text).is_err() {
                break;
            }
            pause(REFRESH_INTERVAL, &over);
        }
        // Ends the other thread as well, at its next check.
        stop.store(true, Ordering::SeqCst);
    });
    let asked = load.stop();
    drop(gateways);
    let sum =
        check_ledger(&store, &asked).map_err(|message| format!("the ledger does not add up: {message}"))?;
    let longest = asked.iter().map(|one| one.took).max().unwrap_or_default();
    let rows = store.ledger().len();
    print(&format!(
        "\n{} payments: {} answered, {} throttled, {} failed; longest {longest:.1?}\n\
         ledger: {rows} rows, {} repeats dropped by their keys; every answer agrees with it\n",
        asked.len(),
        sum.answered,
        sum.throttled,
        sum.failed,
        store.dropped()
    ))
}

/// Sleeps in short steps; false if stopped.
fn pause(time: Duration, over: &dyn Fn() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < time {
        if over() {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20).min(time));
    }
    !over()
}

/// Makes the next change: two planned ones, then a kill, shard by shard.
fn change(
    round: usize,
    store: &Store,
    discovery: &Discovery,
    gateways: &[Gateway],
    happened: &std::sync::Mutex<String>,
) {
    let tell = |text: String| {
        if let Ok(mut happened) = happened.lock() {
            *happened = text;
        }
    };
    let shard = round % SHARDS;
    let (Some(old), Some(new)) = (store.leader(shard), store.follower(shard)) else { return };
    let (from, to) = (Store::name(old), Store::name(new));
    if round % 3 == 2 {
        tell(format!("shard {shard}: {from} is killed, having committed what it had; nobody leads"));
        store.kill(old, Death::AfterCommit);
        std::thread::sleep(ELECTION_TIME);
        store.set_primary(shard, new);
        tell(format!("shard {shard}: {to} was elected; {from} comes back as a replica"));
        std::thread::sleep(ELECTION_TIME);
        store.restart(old, false);
    } else {
        tell(format!("shard {shard}: a change from {from} to {to} is announced; writes are held"));
        let word = json!({"do": "plan", "shard": shard.to_string(), "to": to});
        let planned = gateways.iter().filter(|gateway| ask(&gateway.control, &word).is_ok()).count();
        let holds = |gateway: &Gateway| {
            let status = ask(&gateway.control, &json!({"do": "status"})).unwrap_or(Json::Null);
            let shards = status["shards"].as_array().cloned().unwrap_or_default();
            let name = shard.to_string();
            shards.iter().any(|one| one["shard"].as_str() == Some(&name) && one["phase"] == "electing")
        };
        let began = Instant::now();
        while planned == gateways.len() && !gateways.iter().all(holds) && began.elapsed() < ELECTION_TIME {
            std::thread::sleep(Duration::from_millis(5));
        }
        store.switch(shard, new, SWITCH_TIME);
        tell(format!("shard {shard}: {to} leads; what was held goes out"));
    }
    discovery.leads(new, MEMBERS);
}

/// Shows the current state.
fn show_state(
    since: Duration,
    load: &Load,
    gateways: &[Gateway],
    happened: &std::sync::Mutex<String>,
    terminal: bool,
) -> String {
    let asked = load.asked();
    let answered = asked.iter().filter(|one| matches!(one.reply, Reply::Value(_))).count();
    let others = asked.len() - answered;
    let late: Vec<_> =
        asked.iter().filter(|one| one.began + one.took + REFRESH_INTERVAL * 2 > since).collect();
    let longest = late.iter().map(|one| one.took).max().unwrap_or_default();
    let rate = late.len() as f64 / (REFRESH_INTERVAL * 2).as_secs_f64();
    let happened = happened.lock().map_or(String::new(), |happened| happened.clone());
    let mut out = format!(
        "{:5.1} s  {rate:4.0} payments a second, longest of late {longest:.0?}; {answered} answered, {others} not  |  \
         {happened}\n",
        since.as_secs_f64()
    );
    let views = gateways.iter().filter_map(|gateway| ask(&gateway.control, &json!({"do": "status"})).ok());
    if terminal {
        views.for_each(|status| out += &crate::handover::view(&status));
        return format!("\x1b[2J\x1b[H{out}");
    }
    for status in views {
        for shard in status["shards"].as_array().into_iter().flatten().filter(|one| one["phase"] != "steady")
        {
            out += &format!(
                "           {}: shard {} is {}, {} held\n",
                status["gateway"].as_str().unwrap_or("-"),
                shard["shard"].as_str().unwrap_or("-"),
                shard["phase"].as_str().unwrap_or("-"),
                shard["held"]
            );
        }
    }
    out
}

/// Starts a gateway with this executable and waits until it serves.
fn start(number: usize, discovery: SocketAddr, folder: &Path) -> Result<Gateway, String> {
    let said = |error: std::io::Error| error.to_string();
    let address =
        TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).map_err(said)?;
    let place = |name: &str| folder.join(format!("n{number}-{name}"));
    let (config, settings, control) = (place("config.json"), place("settings.ini"), place("control"));
    let json = json!({
        "name": format!("n{number}"), "listen": address.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{:x}", number + 1),
        "settings": {
            "balancers": GATEWAYS, "me": number, "my_zone": "a", "localities": ["a"], "round": 5_000_000,
            "categories": [{
                "name": "issue", "aim": 1_000_000_000_u64, "hard_limit": 2_000_000_000_u64, "effect": "token",
                "dedup_scope": "cell", "window": 2_000_000_000_u64, "worth": 1.0, "late_worth": 0.5,
            }],
            "domain": {"needs_by_class": ["mutate"], "guards": "await", "answers_stamped": true},
            "limits": {"max_attempts": 6, "probes": true, "retry_after": true, "max_retry_after": 1_000_000_000},
            "telemetry": {"fields": ["x0", "x1"], "how": "piggyback"},
        },
    });
    std::fs::write(&config, json.to_string()).map_err(said)?;
    let ini = format!("[log]\nlevel = warn\n[handover]\nenabled = yes\ncontrol = {}\n", control.display());
    std::fs::write(&settings, ini).map_err(said)?;
    let log = std::fs::File::create(place("log")).map_err(said)?;
    let program = std::env::current_exe().map_err(said)?;
    let mut command = Command::new(program);
    command
        .arg("serve")
        .arg("--config")
        .arg(&config)
        .arg("--settings")
        .arg(&settings)
        .stderr(Stdio::from(log));
    // In its own process group, a gateway survives Ctrl-C until its clients have their answers.
    std::os::unix::process::CommandExt::process_group(&mut command, 0);
    let gateway = Gateway { address, control, child: command.spawn().map_err(said)? };
    let began = Instant::now();
    let serves = || {
        let client = Client::connect(address, Duration::from_secs(2));
        client.is_ok_and(|mut client| client.ask("") == Reply::Empty)
    };
    while !serves() {
        if began.elapsed() > START_TIMEOUT {
            let log = std::fs::read_to_string(place("log")).unwrap_or_default();
            return Err(format!("gateway n{number} does not serve: {}", log.trim()));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(gateway)
}
