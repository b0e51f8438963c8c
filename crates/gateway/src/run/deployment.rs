//! Configuration: reads and validates it and fills in defaults. Error messages name the key.

use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value as Json;
use tansyjunction::Router;
use tansyjunction::interface::Micros;
use tansyjunction_hosting::{ServerList, convert_settings};

/// Nanoseconds (the unit of the settings) per microsecond.
const NANOS_PER_MICRO: f64 = 1_000.0;

/// Durations in the settings.
const DURATIONS: [&str; 8] = [
    "/round",
    "/limits/dial_timeout",
    "/limits/conn_idle",
    "/limits/max_retry_after",
    "/guarantees/cold",
    "/guarantees/drain_grace",
    "/guarantees/overload_for",
    "/domain/patience",
];
/// Durations in the settings of each command group.
const COMMAND_GROUP_DURATIONS: [&str; 3] = ["aim", "hard_limit", "window"];
/// A duration of the settings in microseconds.
fn micros(duration: &Json) -> Option<Micros> {
    duration.as_f64().map(|nanos| (nanos / NANOS_PER_MICRO) as Micros)
}

/// Longest duration in nanoseconds, about three hundred years: can be added to any time without overflow.
const MAX_DURATION_NANOS: f64 = 1e19;

/// Drain grace if the settings name none.
pub const DEFAULT_DRAIN_GRACE: Micros = 1_000_000;

/// Settings of a command group that the gateway itself needs.
pub struct CommandGroup {
    pub name: String,
    /// Whether its commands name a session, carry a key, and write.
    pub session: bool,
    pub keyed: bool,
    pub writes: bool,
    /// Whether they need the primary; how long they may be repeated by their key.
    pub primary: bool,
    pub repeat_within: Micros,
    /// For the log only.
    pub response_target: Micros,
}

/// Configuration of the gateway and of its deployment.
pub struct Deployment {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Most file descriptors of this process.
    pub sockets: usize,
    /// Most memory of this process in bytes.
    pub memory: usize,
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of all gateways by number, and this one's number.
    pub peers: Vec<SocketAddr>,
    pub number: usize,
    pub known: Option<ServerList>,
    pub zones: Vec<String>,
    /// Zone of this gateway.
    pub zone: String,
    pub command_groups: Vec<CommandGroup>,
    /// Whether a server that the list calls gone is certainly gone.
    pub removal_is_final: bool,
    /// Number of gateways, including this one.
    pub gateways: u64,
    /// Longest client timeout.
    pub longest_wait: Micros,
    /// Whether dispatches may be cancelled.
    pub may_cancel: bool,
    /// Whether servers may be probed; whether probes return a load report.
    pub probes: bool,
    pub reports: bool,
    /// Timeout of opening a connection, and of an idle one.
    pub connect_within: Micros,
    pub idle_for: Micros,
    /// For how long new commands may still go to a server after it began to drain.
    pub drain_grace: Micros,
    /// Seed of the random generator.
    pub seed: u64,
    /// The router, which validates the settings that it uses.
    pub router: Router,
}

impl Deployment {
    /// Reads the file at `path`, or the one named by the environment.
    ///
    /// # Errors
    ///
    /// Returns a message that names the invalid key.
    pub fn read(path: Option<&Path>) -> Result<Self, String> {
        let env = |key: &str| std::env::var(key).ok().filter(|value| !value.is_empty());
        let path = match path {
            Some(path) => path.to_path_buf(),
            None => env("BALANCER_CONFIG").ok_or("no configuration: BALANCER_CONFIG is not set")?.into(),
        };
        let text = std::fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))?;
        let json = serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))?;
        Deployment::check(&json, env)
    }

    /// Validates the configuration; `env` provides values for absent keys.
    pub fn check(json: &Json, env: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let word = |key: &str, variable: &str| match &json[key] {
            Json::String(text) => Ok(text.clone()),
            Json::Null => env(variable).ok_or(format!("'{key}' is missing")),
            other => Err(format!("'{key}' is {other}, not text")),
        };
        let address = |key: &str, text: &str| {
            text.parse::<SocketAddr>().map_err(|_| format!("'{key}' is '{text}', not an address with a port"))
        };
        let known = match &json["known"] {
            Json::Null => None,
            list => Some(ServerList::parse_strict(list).map_err(|message| format!("'known': {message}"))?),
        };
        let peers = json["peers"].as_array().map_or(&[][..], Vec::as_slice).iter();
        // Only validated: the other gateways are named in the program's own settings.
        let peers = peers.map(|peer| address("peers", peer.as_str().unwrap_or_default()));
        let settings = json.get("settings").ok_or("'settings' is missing")?;
        let list = |part: &Json| part.as_array().cloned().unwrap_or_default();
        let command_groups = list(&settings["categories"]);
        if command_groups.is_empty() {
            return Err("'settings.categories' names no command group".into());
        }
        let places = (0..command_groups.len())
            .flat_map(|k| COMMAND_GROUP_DURATIONS.map(|key| format!("/categories/{k}/{key}")));
        for path in DURATIONS.map(String::from).into_iter().chain(places) {
            let time = settings.pointer(&path).and_then(Json::as_f64);
            if let Some(nanos) = time.filter(|nanos| !(0.0..=MAX_DURATION_NANOS).contains(nanos)) {
                return Err(format!("'settings{}' is {nanos}, not a time", path.replace('/', ".")));
            }
        }
        let needs = list(&settings["domain"]["needs_by_class"]);
        // Sessions matter only for reads that must see their own writes.
        let sessions = needs.iter().any(|need| need == "causal");
        let waits = command_groups.iter().filter_map(|each| micros(&each["hard_limit"]));
        let longest_wait = waits.max().unwrap_or(0);
        let command_groups = command_groups.iter().enumerate().map(|(k, each)| {
            let name = each["name"].as_str().ok_or(format!("'settings.categories.{k}.name' is missing"))?;
            let need = needs.get(k).and_then(Json::as_str).unwrap_or_default();
            Ok(CommandGroup {
                name: name.to_string(),
                session: sessions && matches!(need, "causal" | "mutate"),
                keyed: each["effect"] == "token",
                primary: need == "mutate",
                repeat_within: match (each["effect"].as_str(), each["dedup_scope"].as_str()) {
                    (Some("token"), Some("zone")) => 0,
                    (Some("token"), _) => micros(&each["window"]).unwrap_or(0),
                    _ => 0,
                },
                writes: each["effect"] != "pure" || need == "mutate",
                response_target: micros(&each["aim"]).unwrap_or(0),
            })
        });
        let limit = |key: &str| match &settings["limits"][key] {
            Json::Null => Ok(None),
            value => match value.as_f64().filter(|nanos| *nanos >= NANOS_PER_MICRO) {
                Some(nanos) => Ok(Some((nanos / NANOS_PER_MICRO) as Micros)),
                None => Err(format!("'settings.limits.{key}' is {value}, not a time above zero")),
            },
        };
        let sockets = match &json["limits"]["sockets"] {
            Json::Null => 1_024,
            value => value
                .as_u64()
                .filter(|n| *n >= 64)
                .ok_or(format!("'limits.sockets' is {value}, not 64 or more"))? as usize,
        };
        let memory = match &json["limits"]["memory_mb"] {
            Json::Null => 128,
            value => value
                .as_u64()
                .filter(|n| (16..1 << 20).contains(n))
                .ok_or(format!("'limits.memory_mb' is {value}, not 16 or more"))?
                as usize,
        };
        let seed = match &json["seed"] {
            Json::Null => 0,
            Json::String(text) => u64::from_str_radix(text, 16)
                .map_err(|_| format!("'seed' is '{text}', not a hexadecimal number"))?,
            Json::Number(number) => number.as_u64().ok_or("'seed' is below zero")?,
            other => return Err(format!("'seed' is {other}, not a number")),
        };
        let peer_listen = match &json["peer_listen"] {
            Json::String(text) => Some(address("peer_listen", text)?),
            _ => None,
        };
        let router = Router::new(convert_settings(settings), seed)
            .map_err(|message| format!("'settings': {message}"))?;
        Ok(Deployment {
            name: word("name", "BALANCER_NAME")?,
            listen: address("listen", &word("listen", "BALANCER_LISTEN")?)?,
            discovery: address("discovery", &word("discovery", "BALANCER_DISCOVERY")?)?,
            sockets,
            memory: memory * 1_024 * 1_024,
            peer_listen,
            peers: peers.collect::<Result<_, _>>()?,
            number: settings["me"].as_u64().unwrap_or(0) as usize,
            known,
            zones: list(&settings["localities"])
                .iter()
                .filter_map(|zone| zone.as_str().map(String::from))
                .collect(),
            zone: settings["my_zone"].as_str().unwrap_or_default().into(),
            command_groups: command_groups.collect::<Result<_, String>>()?,
            removal_is_final: settings["guarantees"]["gone_is_advice"] != true,
            gateways: settings["balancers"].as_u64().unwrap_or(1).max(1),
            longest_wait,
            may_cancel: settings["limits"]["cancelling"] == true,
            probes: settings["limits"]["probes"] == true,
            reports: matches!(settings["telemetry"]["how"].as_str(), Some("piggyback" | "pull")),
            connect_within: limit("dial_timeout")?.unwrap_or(250_000),
            idle_for: limit("conn_idle")?.unwrap_or(10_000_000),
            drain_grace: micros(&settings["guarantees"]["drain_grace"]).unwrap_or(DEFAULT_DRAIN_GRACE),
            seed,
            router,
        })
    }
}

impl std::fmt::Display for Deployment {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (name, listen, groups) = (&self.name, self.listen, self.command_groups.len());
        let known = self.known.as_ref().map_or(0, |list| list.servers.len());
        write!(f, "{name}: listens on {listen}, {groups} command groups, {known} servers known")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_wrong_is_named_by_its_key() {
        let well = r#"{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"2a",
            "peers":["127.0.0.1:3"],"known":{"seq":1,"whole":true,"hosts":[]},"other":1,"limits":{"sockets":100},
            "settings":{"categories":[{"name":"look","aim":400000000,"hard_limit":1500000000}],
            "limits":{"conn_idle":15000000000}}}"#;
        for (old, new, part) in [
            ("", "", ""),
            (r#""name":"n0","#, "", "'name'"),
            (r#""discovery":"127.0.0.1:2","#, "", "'discovery'"),
            ("127.0.0.1:1", "localhost", "'listen'"),
            ("127.0.0.1:3", "3", "'peers'"),
            (r#""2a""#, r#""2x""#, "'seed'"),
            (r#""seq":1"#, r#""seq":-1"#, "'known'"),
            (r#""sockets":100"#, r#""sockets":10"#, "'limits.sockets'"),
            (r#""sockets":100"#, r#""memory_mb":2"#, "'limits.memory_mb'"),
            ("15000000000", "0", "'settings.limits.conn_idle'"),
            (r#""name":"look","#, "", "'settings.categories.0.name'"),
            (r#""aim":400000000,"#, "", "command_group.0.response_target"),
            ("1500000000", "1e300", "'settings.categories.0.hard_limit'"),
            ("400000000", "-1", "'settings.categories.0.aim'"),
            ("15000000000", "1e300", "'settings.limits.conn_idle'"),
            (r#""categories""#, r#""others""#, "'settings.categories'"),
            (r#""settings""#, r#""others""#, "'settings'"),
        ] {
            let json = serde_json::from_str(&well.replacen(old, new, 1)).expect("JSON");
            let said = Deployment::check(&json, |_| None).err().unwrap_or_default();
            assert!(said.contains(part) && said.is_empty() == part.is_empty(), "{new}: {said}");
        }
        let json = serde_json::from_str(&well.replace(r#""name":"n0","#, "")).expect("JSON");
        let env = |key: &str| (key == "BALANCER_NAME").then(|| "n7".into());
        assert_eq!(Deployment::check(&json, env).map(|found| found.name).ok().as_deref(), Some("n7"));
    }
}
