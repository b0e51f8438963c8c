//! The list of servers in discovery's form, which configurations carry as well.

use std::net::SocketAddr;

use serde_json::Value as Json;
use tansyjunction::interface::{Micros, Standing};

/// The list, or its changes, as discovery tells it.
#[derive(Debug)]
pub struct List {
    pub version: u64,
    pub whole: bool,
    pub hosts: Vec<Host>,
}

#[derive(Debug)]
pub struct Host {
    pub name: String,
    /// None where it is gone and the entry leaves the address out.
    pub dial: Option<SocketAddr>,
    pub zone: String,
    pub group: String,
    pub size: f64,
    pub standing: Standing,
    pub primary: bool,
    pub started: Option<Micros>,
}

impl List {
    pub fn read(json: &Json) -> Result<Self, String> {
        let hosts = json["hosts"].as_array().ok_or("'hosts' is not a list")?;
        Ok(List {
            version: json["seq"].as_u64().ok_or("'seq' is not a whole number")?,
            whole: json["whole"].as_bool().unwrap_or(false),
            hosts: hosts.iter().map(Host::read).collect::<Result<_, _>>()?,
        })
    }
}

impl Host {
    fn read(json: &Json) -> Result<Self, String> {
        let name = json["host"].as_str().ok_or("'host' is not text")?;
        let standing = match json["health"].as_str() {
            Some("up") => Standing::Serving,
            Some("draining") => Standing::Draining,
            Some("removed") => Standing::Gone,
            _ => return Err(format!("'health' of {name} is {}", json["health"])),
        };
        let dial = json["dial"].as_str().map(|dial| dial.parse());
        let dial = dial.transpose().map_err(|_| format!("'dial' of {name} is {}", json["dial"]))?;
        if dial.is_none() && standing != Standing::Gone {
            return Err(format!("'dial' of {name} is missing"));
        }
        Ok(Host {
            name: name.into(),
            dial,
            zone: json["site"].as_str().unwrap_or_default().into(),
            group: match &json["block"] {
                Json::String(text) => text.clone(),
                other => other.to_string(),
            },
            size: json["share"].as_f64().unwrap_or(1.0),
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
