//! The configuration that is checked, in the platform's format.

use std::path::Path;

use serde_json::Value as Json;
use tansyjunction::interface::*;
use tansyjunction_hosting::{ServerList, convert_settings};

/// Freshness that a command group needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    Write,
    Fresh,
    Session,
    /// Data of at most this age in microseconds.
    Bounded(Micros),
    Any,
}

/// Effect of repeating a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Replayable,
    /// Repeats are dropped by any server, in one zone, or in the group; and for how long.
    Keyed(Within, Micros),
    Mutating,
}

/// Where repeats of a keyed command are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Within {
    All,
    Zone,
    Group,
}

/// How a server treats a read that it is too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guards {
    None,
    Refuse,
    /// It waits up to this long first.
    Wait(Micros),
}

/// Settings of a command group.
#[derive(Clone, Debug)]
pub struct CommandGroup {
    pub name: String,
    pub need: Need,
    pub effect: Effect,
    /// Times in microseconds.
    pub response_target: Micros,
    pub client_timeout: Micros,
}

impl CommandGroup {
    /// Whether its commands are writes.
    pub fn writes(&self) -> bool {
        self.need == Need::Write
    }
}

/// A server as configured.
#[derive(Clone, Debug)]
pub struct ServerFacts {
    pub name: String,
    pub shard: usize,
    pub zone: usize,
    pub size: f64,
    pub standing: ServerState,
    pub listed_primary: bool,
}

/// Settings of the deployment; times in microseconds.
#[derive(Clone, Debug)]
pub struct Figures {
    pub guards: Guards,
    /// Whether answers contain role and position; whether they contain a load report.
    pub stamped: bool,
    pub reports: bool,
    /// Whether clients send the time of their session's last write.
    pub carried: bool,
    pub routers: f64,
    pub max_dispatches: usize,
    pub second_copies: bool,
    pub gone_binds: bool,
    pub answer_grace: Micros,
    pub drain_grace: Micros,
    pub connect_within: Micros,
    pub cold: Micros,
    pub cold_from: f64,
    pub fall_multiple: f64,
    pub fall_for: Micros,
    pub round: Micros,
}

/// The configuration that is checked.
#[derive(Clone, Debug)]
pub struct Subject {
    /// Path of the file.
    pub file: String,
    pub json: Json,
    pub settings_by_name: SettingsByName,
    pub zones: Vec<String>,
    pub own_zone: usize,
    pub command_groups: Vec<CommandGroup>,
    pub shards: Vec<String>,
    pub servers: Vec<ServerFacts>,
    pub figures: Figures,
}

impl Subject {
    /// Reads a configuration file.
    pub fn open(path: &Path) -> Result<Subject, String> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| format!("{file}: {error}"))?;
        let json = serde_json::from_str(&text).map_err(|error| format!("{file}: {error}"))?;
        Subject::read(&file, json)
    }

    /// Parses a configuration; errors name the file and the key.
    pub fn read(file: &str, json: Json) -> Result<Subject, String> {
        Subject::take(file, json).map_err(|message| format!("{file}: {message}"))
    }

    fn take(file: &str, json: Json) -> Result<Subject, String> {
        let settings = json.get("settings").ok_or("'settings' is missing")?;
        let settings_by_name = convert_settings(settings);
        // The router validates the settings that it uses.
        tansyjunction::Router::new(settings_by_name.clone(), 0)
            .map_err(|message| format!("'settings': {message}"))?;
        let names = |list: &Json| -> Vec<String> {
            let each = list.as_array().map_or(&[][..], Vec::as_slice).iter();
            each.filter_map(|name| name.as_str().map(String::from)).collect()
        };
        let zones = names(&settings["localities"]);
        if zones.is_empty() {
            return Err("'settings.localities' names no zone".into());
        }
        let own_zone = match zones.iter().position(|zone| settings["my_zone"] == zone.as_str()) {
            Some(zone) => zone,
            None => return Err(format!("'settings.my_zone' {} is not in 'localities'", settings["my_zone"])),
        };
        let each = settings["categories"].as_array().map_or(&[][..], Vec::as_slice);
        let command_groups = (0..each.len()).map(|k| command_group(&settings_by_name, k, &each[k]));
        let command_groups = command_groups.collect::<Result<Vec<_>, String>>()?;
        let mut subject = Subject {
            file: file.into(),
            figures: figures(&settings_by_name, settings),
            settings_by_name,
            zones,
            own_zone,
            command_groups,
            shards: Vec::new(),
            servers: Vec::new(),
            json: Json::Null,
        };
        if let Some(list) = json.get("known").filter(|list| !list.is_null()) {
            let list = ServerList::parse_strict(list).map_err(|message| format!("'known': {message}"))?;
            for host in list.servers {
                let zone = subject.zones.iter().position(|zone| *zone == host.zone);
                let zone = zone.ok_or(format!("'known': {} is in zone '{}'", host.name, host.zone))?;
                subject.add(&host.name, &host.group, zone, host.size, host.state, host.primary)?;
            }
        }
        subject.json = json;
        Ok(subject)
    }

    /// Adds a server that is not in the list.
    pub fn add(
        &mut self,
        name: &str,
        shard: &str,
        zone: usize,
        size: f64,
        standing: ServerState,
        primary: bool,
    ) -> Result<(), String> {
        if self.servers.iter().any(|server| server.name == name) {
            return Err(format!("server '{name}' is listed twice"));
        }
        let place = self.shards.iter().position(|known| known == shard).unwrap_or_else(|| {
            self.shards.push(shard.into());
            self.shards.len() - 1
        });
        let name = name.into();
        let facts = ServerFacts { name, shard: place, zone, size, standing, listed_primary: primary };
        self.servers.push(facts);
        Ok(())
    }

    /// Servers of a shard.
    pub fn members(&self, shard: usize) -> impl Iterator<Item = usize> + '_ {
        (0..self.servers.len()).filter(move |server| self.servers[*server].shard == shard)
    }
}

fn number(settings_by_name: &SettingsByName, name: &str, default: f64) -> f64 {
    if let Some(Value::Number(number)) = settings_by_name.get(name) { *number } else { default }
}

fn text<'a>(settings_by_name: &'a SettingsByName, name: &str) -> &'a str {
    if let Some(Value::Text(text)) = settings_by_name.get(name) { text } else { "" }
}

fn flag(settings_by_name: &SettingsByName, name: &str) -> bool {
    settings_by_name.get(name) == Some(&Value::Flag(true))
}

fn command_group(settings_by_name: &SettingsByName, k: usize, json: &Json) -> Result<CommandGroup, String> {
    let name = json["name"].as_str().ok_or(format!("'settings.categories.{k}.name' is missing"))?;
    let part = |part: &str| format!("command_group.{k}.{part}");
    let time = |key: &str| number(settings_by_name, &part(key), 0.0) as Micros;
    let need = match text(settings_by_name, &part("need")) {
        "any" => Need::Any,
        "bounded" => Need::Bounded(time("bound")),
        "session" => Need::Session,
        "fresh" => Need::Fresh,
        _ => Need::Write,
    };
    let within = match text(settings_by_name, &part("scope")) {
        "all" => Within::All,
        "zone" => Within::Zone,
        _ => Within::Group,
    };
    let effect = match text(settings_by_name, &part("effect")) {
        "replayable" => Effect::Replayable,
        "keyed" => Effect::Keyed(within, time("repeat_within")),
        _ => Effect::Mutating,
    };
    let (response_target, client_timeout) = (time("response_target"), time("client_timeout"));
    Ok(CommandGroup { name: name.into(), need, effect, response_target, client_timeout })
}

fn figures(settings_by_name: &SettingsByName, settings: &Json) -> Figures {
    let time = |name: &str| number(settings_by_name, name, 0.0) as Micros;
    let dial = settings["limits"]["dial_timeout"].as_f64().map(|nanos| (nanos / 1_000.0) as Micros);
    Figures {
        guards: match text(settings_by_name, "guards") {
            "wait" => Guards::Wait(time("guard_wait")),
            "refuse" => Guards::Refuse,
            _ => Guards::None,
        },
        stamped: settings["domain"]["answers_stamped"] == true,
        reports: settings["telemetry"]["how"] == "piggyback",
        carried: text(settings_by_name, "session_marks") == "carried",
        routers: number(settings_by_name, "routers", 1.0).max(1.0),
        max_dispatches: number(settings_by_name, "limits.max_dispatches", 1.0) as usize,
        second_copies: flag(settings_by_name, "limits.second_copies"),
        gone_binds: !flag(settings_by_name, "rules.gone_is_advice"),
        answer_grace: time("rules.answer_grace"),
        drain_grace: time("rules.drain_grace"),
        connect_within: dial.unwrap_or(250_000),
        cold: time("rules.cold"),
        cold_from: number(settings_by_name, "rules.cold_from", 1.0),
        fall_multiple: number(settings_by_name, "rules.fall_multiple", 0.0),
        fall_for: time("rules.fall_for"),
        round: number(settings_by_name, "round", 5_000.0) as Micros,
    }
}
