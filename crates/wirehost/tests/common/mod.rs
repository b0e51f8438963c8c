//! Runs the adapter as a process and exchanges batches with it. Each test program uses a part of it.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

use serde_json::{Value as Json, json};

pub const MS: u64 = 1_000_000;
/// Time in ms at which positions start, as in the settings below.
pub const ZERO: u64 = 10_000;

/// Settings in the simulator's format, with one command group for each need, changed at the given paths.
pub fn conf(changed: &[(&str, Json)]) -> Json {
    let group = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "aim": 400 * MS, "hard_limit": 1_500 * MS, "worth": 1.0,
            "late_worth": 0.5, "stream": false, "dedup_scope": "cell", "window": 1_500 * MS})
    };
    let mut conf = json!({
        "balancers": 3, "me": 0, "my_zone": "a", "localities": ["a"], "registry_mode": "pushed", "round": 5 * MS,
        "categories": [group("any", "pure"), group("bounded", "pure"), group("session", "pure"),
            group("fresh", "pure"), group("write", "token")],
        "domain": {"needs_by_class": ["eventual", "lag_bound", "causal", "strong", "mutate"],
            "class_bound": [0, 1_000 * MS, 0, 0, 0], "guards": "bounce", "write_marks": "brought",
            "role_listed": "trailing", "answers_stamped": true, "patience": 0, "zero": ZERO * MS},
        "limits": {"cancelling": true, "max_attempts": 6, "max_retry_after": 500 * MS, "peers": false,
            "probes": true, "retry_after": true, "second_copies": true},
        "guarantees": {"ask_within": 10_000 * MS, "cold": 17_000 * MS, "cold_from": 0.2, "drain_grace": 1_000 * MS,
            "fall_multiple": 3.0, "grace_to_answer": 20 * MS, "overload_for": 2_000 * MS},
        "telemetry": {"fields": [], "how": "silent"}
    });
    for (place, value) in changed {
        let (parent, key) = place.rsplit_once('/').expect("a place starts with a stroke");
        conf.pointer_mut(parent).expect("the settings have it")[key] = value.clone();
    }
    conf
}

/// A server list entry in group 1 and the instance's own zone.
pub fn entry(server: &str, state: &str, leads: bool) -> Json {
    json!({"type": "t", "units": 1, "state": state, "server": server, "leads": u8::from(leads), "site": "a", "set": 1,
        "since": null})
}

/// Encodes the state in an answer: the server's position in ms, and whether it is the primary.
pub fn stand(position: u64, primary: bool) -> u64 {
    4 * (position - ZERO) + if primary { 1 } else { 2 }
}

/// A process that hosts instance 0.
pub struct Wire {
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    conf: Json,
    corr: u64,
    /// Current time in ms.
    pub now: u64,
    /// Duration of dispatches in ms.
    pub took: u64,
    /// Reports that servers answer probes with; others answer without one.
    pub reports: BTreeMap<String, Json>,
    /// Dispatches of each command so far.
    dispatches: BTreeMap<u64, u64>,
    probed: Vec<String>,
    /// All orders since the start.
    pub orders: Vec<Json>,
}

impl Wire {
    /// Starts an instance with this list and answers its probes.
    pub fn begin(conf: Json, list: &[Json]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_tansyjunction-wirehost"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the adapter starts");
        let input = child.stdin.take().expect("its input is piped");
        let output = BufReader::new(child.stdout.take().expect("its output is piped"));
        let (orders, reports) = (Vec::new(), BTreeMap::new());
        let (dispatches, probed) = (BTreeMap::new(), Vec::new());
        let (now, corr, took) = (100_000, 0, 20);
        let mut wire =
            Wire { child, input, output, conf, corr, now, took, reports, dispatches, probed, orders };
        wire.start(list);
        wire
    }

    /// Starts or restarts the instance with the last known list.
    pub fn start(&mut self, list: &[Json]) -> Vec<Json> {
        let begin = json!({"begin": {"i": 0, "random_seed": 9, "conf": self.conf.clone()}});
        let mut events = vec![begin];
        events.extend(members("remembered", list));
        let orders = self.batch(&events);
        self.pass(1);
        orders
    }

    pub fn batch(&mut self, events: &[Json]) -> Vec<Json> {
        let line = json!({"time": self.now * MS, "input": events});
        writeln!(self.input, "{line}").expect("the adapter reads");
        let mut reply = String::new();
        self.output.read_line(&mut reply).expect("the adapter replies");
        let reply: Json = serde_json::from_str(&reply).expect("a reply is JSON");
        let orders = reply["orders"].as_array().expect("a reply has orders").clone();
        for order in &orders {
            // An order that the settings do not permit ends the simulation.
            for (name, permit) in [("ask_load", "probes"), ("share", "peers"), ("recall", "cancelling")] {
                let permitted = self.conf["limits"][permit] == true;
                assert!(permitted || order.get(name).is_none(), "not permitted: {order}");
            }
            if let Some(server) = order["ask_load"]["server"].as_str() {
                self.probed.push(server.into());
            }
            if let Some(corr) = order["forward"]["corr"].as_u64() {
                *self.dispatches.entry(corr).or_default() += 1;
            }
        }
        self.orders.extend_from_slice(&orders);
        orders
    }

    /// Advances time by this many ms; then probes are answered and a timer expires.
    pub fn pass(&mut self, ms: u64) -> Vec<Json> {
        self.now += ms;
        let mut events: Vec<Json> = std::mem::take(&mut self.probed)
            .into_iter()
            .map(|server| {
                let report = self.reports.get(&server).cloned();
                json!({"pong": {"i": 0, "server": server, "reason": "ok", "duration": MS, "health_info": report}})
            })
            .collect();
        events.push(json!({"deadline_hit": {"i": 0, "nonce": 0}}));
        self.batch(&events)
    }

    pub fn list(&mut self, how: &str, list: &[Json]) -> Vec<Json> {
        self.batch(&members(how, list))
    }

    /// A command arrives; returns its number and the orders.
    pub fn arrival(&mut self, class: &str, session: &str) -> (u64, Vec<Json>) {
        self.corr += 1;
        let not_after = (self.now + 1_500) * MS;
        let event = json!({"arrival": {"i": 0, "corr": self.corr, "priority": class, "client_key": session,
            "not_after": not_after, "group_no": 1, "mutates": class == "write"}});
        (self.corr, self.batch(&[event]))
    }

    /// A command arrives and is dispatched at once; returns its number and the server.
    pub fn sent(&mut self, class: &str, session: &str) -> (u64, String) {
        let (corr, orders) = self.arrival(class, session);
        (corr, forward(&orders).unwrap_or_else(|| panic!("{class} is not sent at once: {orders:?}")))
    }

    /// Sends a first read, which waits for probe results, so that later ones need not wait.
    pub fn warm(&mut self) {
        let (corr, mut orders) = self.arrival("any", "first");
        while forward(&orders).is_none() {
            orders = self.pass(1);
        }
        let server = forward(&orders).unwrap_or_default();
        self.resolved(corr, &server, "ok", 0);
    }

    /// Ends the last dispatch of a command, with a state from [`stand`].
    pub fn resolved(&mut self, corr: u64, server: &str, reason: &str, stand: u64) -> Vec<Json> {
        let go = self.dispatches[&corr] - 1;
        self.now += self.took;
        self.ended(corr, go, server, reason, stand, Json::Null)
    }

    pub fn ended(
        &mut self,
        corr: u64,
        go: u64,
        server: &str,
        reason: &str,
        stand: u64,
        report: Json,
    ) -> Vec<Json> {
        let event = json!({"resolved": {"i": 0, "corr": corr, "go": go, "server": server, "reason": reason,
            "duration": self.took * MS, "complete": reason == "ok", "stand": stand, "health_info": report}});
        self.batch(&[event])
    }
}

impl Drop for Wire {
    fn drop(&mut self) {
        // It may have exited by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn members(how: &str, list: &[Json]) -> Vec<Json> {
    let page = json!({"page": {"page": 0, "elements": list}});
    vec![page, json!({"members": {"i": 0, "how": how, "seq_no": 1, "page": 0}})]
}

/// The server of the first dispatch in these orders.
pub fn forward(orders: &[Json]) -> Option<String> {
    orders.iter().find_map(|order| order["forward"]["server"].as_str().map(String::from))
}

/// Number of orders with this name.
pub fn count(orders: &[Json], name: &str) -> usize {
    orders.iter().filter(|order| order.get(name).is_some()).count()
}
