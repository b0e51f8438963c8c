//! Server list in the format of the discovery service, which configuration files use as well.

use std::net::SocketAddr;

use serde_json::Value as Json;
use tansyjunction::interface::{Micros, ServerState};

/// Most servers in a list. Limits the time that parsing a list may block traffic; above the size of any deployment.
const MAX_SERVERS: usize = 5_000;
/// Largest size of one server relative to others.
const MAX_SIZE: f64 = 1e6;

/// A server list, or changes to it, from the discovery service.
#[derive(Debug)]
pub struct ServerList {
    pub version: u64,
    pub whole: bool,
    pub servers: Vec<ServerEntry>,
    /// Names of servers whose entries are invalid, with the reason. Their earlier entries remain in effect.
    pub invalid: Vec<(String, String)>,
}

/// An entry of the server list.
#[derive(Debug)]
pub struct ServerEntry {
    pub name: String,
    /// `None` if the server is gone and its entry has no address.
    pub address: Option<SocketAddr>,
    pub zone: String,
    pub group: String,
    pub size: f64,
    pub state: ServerState,
    pub primary: bool,
    pub started: Option<Micros>,
}

impl ServerList {
    /// Parses a list that must be valid as a whole, as in a configuration file.
    ///
    /// # Errors
    ///
    /// Returns a message that names the first invalid key.
    pub fn parse_strict(json: &Json) -> Result<Self, String> {
        let list = ServerList::parse(json)?;
        match list.invalid.first() {
            Some((_, message)) => Err(message.clone()),
            None => Ok(list),
        }
    }

    /// Parses a list from discovery. An invalid entry is skipped, so that it does not hide the other entries, such as
    /// servers that drain.
    ///
    /// # Errors
    ///
    /// Fails if an entry has no name, since it could be any server's, or if no entry is valid.
    pub fn parse(json: &Json) -> Result<Self, String> {
        let hosts = json["hosts"].as_array().ok_or("'hosts' is not a list")?;
        if hosts.len() > MAX_SERVERS {
            return Err(format!("'hosts' names {} servers, more than {MAX_SERVERS}", hosts.len()));
        }
        let mut list = ServerList {
            version: json["seq"].as_u64().ok_or("'seq' is not a whole number")?,
            whole: json["whole"].as_bool().unwrap_or(false),
            servers: Vec::new(),
            invalid: Vec::new(),
        };
        for host in hosts {
            let name = host["host"].as_str().ok_or("'host' is not text")?;
            match ServerEntry::parse(name, host) {
                Ok(host) => list.servers.push(host),
                Err(message) => list.invalid.push((name.into(), message)),
            }
        }
        match list.invalid.first() {
            Some((_, message)) if list.servers.is_empty() => Err(message.clone()),
            _ => Ok(list),
        }
    }
}

impl ServerEntry {
    fn parse(name: &str, json: &Json) -> Result<Self, String> {
        let standing = match json["health"].as_str() {
            Some("up") => ServerState::Serving,
            Some("draining") => ServerState::Draining,
            Some("removed") => ServerState::Gone,
            _ => return Err(format!("'health' of {name} is {}", json["health"])),
        };
        let dial = json["dial"].as_str().map(|dial| dial.parse());
        let dial = dial.transpose().map_err(|_| format!("'dial' of {name} is {}", json["dial"]))?;
        if dial.is_none() && standing != ServerState::Gone {
            return Err(format!("'dial' of {name} is missing"));
        }
        let size = json["share"].as_f64().unwrap_or(1.0);
        if !(0.0..=MAX_SIZE).contains(&size) {
            return Err(format!("'share' of {name} is {}", json["share"]));
        }
        Ok(ServerEntry {
            name: name.into(),
            address: dial,
            zone: json["site"].as_str().unwrap_or_default().into(),
            group: match &json["block"] {
                Json::String(text) => text.clone(),
                other => other.to_string(),
            },
            size,
            state: standing,
            primary: json["recovery"] == "off",
            started: json["born_ms"].as_u64().filter(|ms| *ms > 0).map(micros_from_millis),
        })
    }
}

/// Converts a Unix time in milliseconds to microseconds.
pub fn micros_from_millis(millis: u64) -> Micros {
    millis.saturating_mul(1_000)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_entry_that_cannot_be_read_is_left_out_and_named() {
        let entry = |host: &str, health: &str, dial: &str| serde_json::json!({"host": host, "health": health, "dial": dial, "block": 1, "share": 1.0});
        let list = |hosts: Vec<Json>| serde_json::json!({"seq": 1, "whole": true, "hosts": hosts});
        let (well, odd) = (entry("s1", "draining", "127.0.0.1:9"), entry("s2", "so-so", "127.0.0.1:9"));
        let nowhere = entry("s3", "up", "nowhere");
        let told =
            ServerList::parse(&list(vec![well.clone(), odd.clone(), nowhere.clone()])).expect("the rest");
        assert_eq!((told.servers.len(), told.servers[0].name.as_str()), (1, "s1"));
        let unread: Vec<&str> = told.invalid.iter().map(|(name, _)| name.as_str()).collect();
        assert_eq!(unread, ["s2", "s3"]);
        assert!(told.invalid[0].1.contains("'health' of s2 is \"so-so\""), "{:?}", told.invalid);
        assert!(told.invalid[1].1.contains("'dial' of s3"), "{:?}", told.invalid);
        // A configuration must be valid as a whole; a list needs names and at least one valid entry.
        assert!(ServerList::parse_strict(&list(vec![well.clone(), odd.clone()])).is_err());
        assert!(ServerList::parse(&list(vec![odd, nowhere])).is_err());
        assert!(ServerList::parse(&list(vec![well.clone(), serde_json::json!({"health": "up"})])).is_err());
        assert!(ServerList::parse(&list(Vec::new())).is_ok_and(|list| list.servers.is_empty()));
        let many = ServerList::parse(&list(vec![well; MAX_SERVERS + 1]));
        assert!(many.is_err_and(|message| message.contains("5001 servers")));
    }
}
