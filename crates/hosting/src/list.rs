//! The list of servers in discovery's form, which configurations carry as well.

use std::net::SocketAddr;

use serde_json::Value as Json;
use tansyjunction::interface::{Micros, ServerState};

/// More servers than any deployment has. Guards against a list that keeps the traffic waiting while it is taken in.
const HOSTS_MOST: usize = 5_000;
/// The largest share that one server may have of what others take.
const SIZE_MOST: f64 = 1e6;

/// The list, or its changes, as discovery tells it.
#[derive(Debug)]
pub struct List {
    pub version: u64,
    pub whole: bool,
    pub hosts: Vec<Host>,
    /// Servers whose entries can't be read, and why: they stay as they were.
    pub unread: Vec<(String, String)>,
}

#[derive(Debug)]
pub struct Host {
    pub name: String,
    /// None where it is gone and the entry leaves the address out.
    pub dial: Option<SocketAddr>,
    pub zone: String,
    pub group: String,
    pub size: f64,
    pub standing: ServerState,
    pub primary: bool,
    pub started: Option<Micros>,
}

impl List {
    /// A list that has to be right as a whole, as in a configuration.
    pub fn read(json: &Json) -> Result<Self, String> {
        let list = List::told(json)?;
        match list.unread.first() {
            Some((_, message)) => Err(message.clone()),
            None => Ok(list),
        }
    }

    /// A list that discovery tells. Guards against one entry that can't be read and hides what all others tell, such as which
    /// servers drain: it alone is left out. One without a name might be any server's, and spoils the list; so does
    /// it if no entry can be read.
    pub fn told(json: &Json) -> Result<Self, String> {
        let hosts = json["hosts"].as_array().ok_or("'hosts' is not a list")?;
        if hosts.len() > HOSTS_MOST {
            return Err(format!("'hosts' names {} servers, more than {HOSTS_MOST}", hosts.len()));
        }
        let mut list = List {
            version: json["seq"].as_u64().ok_or("'seq' is not a whole number")?,
            whole: json["whole"].as_bool().unwrap_or(false),
            hosts: Vec::new(),
            unread: Vec::new(),
        };
        for host in hosts {
            let name = host["host"].as_str().ok_or("'host' is not text")?;
            match Host::read(name, host) {
                Ok(host) => list.hosts.push(host),
                Err(message) => list.unread.push((name.into(), message)),
            }
        }
        match list.unread.first() {
            Some((_, message)) if list.hosts.is_empty() => Err(message.clone()),
            _ => Ok(list),
        }
    }
}

impl Host {
    fn read(name: &str, json: &Json) -> Result<Self, String> {
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
        if !(0.0..=SIZE_MOST).contains(&size) {
            return Err(format!("'share' of {name} is {}", json["share"]));
        }
        Ok(Host {
            name: name.into(),
            dial,
            zone: json["site"].as_str().unwrap_or_default().into(),
            group: match &json["block"] {
                Json::String(text) => text.clone(),
                other => other.to_string(),
            },
            size,
            standing,
            primary: json["recovery"] == "off",
            started: json["born_ms"].as_u64().filter(|ms| *ms > 0).map(at_millis),
        })
    }
}

/// A Unix time in milliseconds on a clock that starts at the Unix epoch.
pub fn at_millis(millis: u64) -> Micros {
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
        let told = List::told(&list(vec![well.clone(), odd.clone(), nowhere.clone()])).expect("the rest");
        assert_eq!((told.hosts.len(), told.hosts[0].name.as_str()), (1, "s1"));
        let unread: Vec<&str> = told.unread.iter().map(|(name, _)| name.as_str()).collect();
        assert_eq!(unread, ["s2", "s3"]);
        assert!(told.unread[0].1.contains("'health' of s2 is \"so-so\""), "{:?}", told.unread);
        assert!(told.unread[1].1.contains("'dial' of s3"), "{:?}", told.unread);
        // A configuration has to be right as a whole, and a list needs one entry that can be read, and names.
        assert!(List::read(&list(vec![well.clone(), odd.clone()])).is_err());
        assert!(List::told(&list(vec![odd, nowhere])).is_err());
        assert!(List::told(&list(vec![well.clone(), serde_json::json!({"health": "up"})])).is_err());
        assert!(List::told(&list(Vec::new())).is_ok_and(|list| list.hosts.is_empty()));
        let many = List::told(&list(vec![well; HOSTS_MOST + 1]));
        assert!(many.is_err_and(|message| message.contains("5001 servers")));
    }
}
