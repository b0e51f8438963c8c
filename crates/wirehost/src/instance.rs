//! One router in the simulator, with the state kept by its host.

use serde_json::{Value as Json, json};
use tansyjunction::Router;
use tansyjunction::interface::*;
use tansyjunction_hosting::{NameNumbers, PendingCommands, convert_settings};

use crate::wire::{NANOS, field, flag, number, row, text, time};

/// A router instance and its pending commands.
pub struct RouterInstance {
    number: u64,
    router: Router,
    servers: NameNumbers,
    groups: NameNumbers,
    sessions: NameNumbers,
    zones: Vec<Json>,
    command_groups: Vec<Json>,
    customers: Vec<Json>,
    fields: Vec<String>,
    zero: Micros,
    pending: PendingCommands,
    next_reminder: Option<Micros>,
}

impl RouterInstance {
    /// Creates an instance from the simulator's first event.
    pub fn new(number: u64, event: &Json) -> Result<Self, String> {
        let seed = field(event, "random_seed")?.as_u64().ok_or("'random_seed' is not a whole number")?;
        let conf = field(event, "conf")?;
        let list = |part: &Json| part.as_array().cloned().unwrap_or_default();
        let domain = &conf["domain"];
        Ok(RouterInstance {
            number,
            router: Router::new(convert_settings(conf), seed)?,
            servers: NameNumbers::default(),
            groups: NameNumbers::default(),
            sessions: NameNumbers::default(),
            zones: list(&conf["localities"]),
            command_groups: list(&conf["categories"]).iter().map(|c| c["name"].clone()).collect(),
            customers: list(&conf["realms"]).iter().map(|r| r["name"].clone()).collect(),
            fields: list(&conf["telemetry"]["fields"])
                .iter()
                .filter_map(|f| f.as_str().map(String::from))
                .collect(),
            zero: domain["zero"].as_u64().unwrap_or(0) / NANOS,
            pending: PendingCommands::default(),
            next_reminder: None,
        })
    }

    /// Handles the arrival of a command.
    pub fn on_arrival(&mut self, now: Micros, event: &Json, orders: &mut Vec<Json>) -> Result<(), String> {
        let corr = number(event, "corr")?;
        let name = field(event, "priority")?;
        let command_group = self.command_groups.iter().position(|known| known == name);
        let command = Command {
            command_group: command_group
                .ok_or_else(|| format!("'priority' {name} is not in the settings"))?,
            group: self.groups.number_of(&number(event, "group_no")?.to_string()),
            session: event["client_key"].as_str().map(|key| self.sessions.number_of(key)),
            arrived: now,
            client_timeout: time(event, "not_after")?,
            last_write_age: event["wrote_ms_ago"].as_f64().map(|ms| (ms * 1_000.0) as Micros),
            forgotten_until: None,
            customer: self.customers.iter().position(|known| *known == event["tenant"]),
        };
        self.pending.add(corr, command);
        self.place_command(now, corr, orders);
        Ok(())
    }

    /// Handles the end of a dispatch.
    pub fn on_dispatch_ended(
        &mut self,
        now: Micros,
        event: &Json,
        orders: &mut Vec<Json>,
    ) -> Result<(), String> {
        let corr = number(event, "corr")?;
        let dispatch = number(event, "go")? as usize;
        let ending = parse_end(event)?;
        let stated = self.decode_state(event["stand"].as_u64().unwrap_or(0));
        let report = self.parse_report(&event["health_info"]);
        let took = time(event, "duration")?;
        match self.pending.dispatch_count(corr) {
            None => return Ok(()),
            Some(sent) if dispatch < sent => {}
            Some(_) => return Err(format!("'go' {dispatch} was never sent for command {corr}")),
        }
        let outcome = Outcome {
            dispatch,
            ending,
            took,
            finished: flag(event, "complete"),
            answer_report: stated,
            load_report: report,
        };
        match self.pending.on_dispatch_ended(&mut self.router, now, corr, outcome) {
            Some(NextStep::PlaceAgain) => self.place_command(now, corr, orders),
            Some(NextStep::Finished { cancel: recall }) => {
                cancel_dispatches(self.number, corr, &recall, orders)
            }
            None => {}
        }
        Ok(())
    }

    /// Handles a client that has gone.
    pub fn on_client_gone(&mut self, now: Micros, event: &Json) -> Result<(), String> {
        let corr = number(event, "corr")?;
        self.pending.on_client_gone(&mut self.router, now, corr);
        Ok(())
    }

    /// Handles the result of a probe.
    pub fn on_probe_result(&mut self, now: Micros, event: &Json) -> Result<(), String> {
        let server = self.servers.number_of(text(event, "server")?);
        let report = self.parse_report(&event["health_info"]);
        self.router.on_probe_result(now, server, time(event, "duration")?, parse_end(event)?, report);
        Ok(())
    }

    /// Handles a server list, changes to it, or a failed request for it.
    pub fn on_server_list(
        &mut self,
        now: Micros,
        event: &Json,
        page: Option<&Vec<Json>>,
    ) -> Result<(), String> {
        let how = text(event, "how")?;
        if how == "refused" {
            self.router.update_server_list(now, None, false);
            return Ok(());
        }
        let page = page.ok_or("'page' names a list that was never given")?;
        let entries = page.iter().map(|entry| self.parse_entry(entry)).collect::<Result<Vec<_>, _>>()?;
        self.router.update_server_list(now, Some(&entries), how != "changes");
        Ok(())
    }

    fn parse_entry(&mut self, entry: &Json) -> Result<ServerListEntry, String> {
        Ok(ServerListEntry {
            server: self.servers.number_of(text(entry, "server")?),
            group: self.groups.number_of(&number(entry, "set")?.to_string()),
            zone: self.zones.iter().position(|zone| *zone == entry["site"]).unwrap_or(self.zones.len()),
            size: entry["units"].as_f64().unwrap_or(1.0),
            state: match text(entry, "state")? {
                "SERVING" => ServerState::Serving,
                "DRAINING" => ServerState::Draining,
                _ => ServerState::Gone,
            },
            primary: entry["leads"].as_f64() == Some(1.0),
            started: entry["since"].as_u64().filter(|ns| *ns > 0).map(|ns| ns / NANOS),
        })
    }

    /// Decodes the state in an answer: 4 x position in ms + role.
    fn decode_state(&self, stand: u64) -> Report {
        let primary = match stand % 4 {
            1 => Some(true),
            2 => Some(false),
            _ => None,
        };
        let position = Some(stand / 4).filter(|ms| *ms > 0).map(|ms| self.zero + ms * 1_000);
        Report { position, primary, ..Report::default() }
    }

    fn parse_report(&self, values: &Json) -> Option<Report> {
        let values = row(values)?;
        let value = |name: &str| {
            let place = self.fields.iter().position(|field| field == name)?;
            values.get(place)?.as_f64()
        };
        Some(Report {
            position: value("x0").map(|seconds| self.zero + (seconds.max(0.0) * 1e6) as Micros),
            primary: value("x1").map(|role| role == 1.0),
            queue: value("pending"),
            busy: value("cpu_share"),
        })
    }

    fn place_command(&mut self, now: Micros, corr: u64, orders: &mut Vec<Json>) {
        let i = self.number;
        let Some((place, recall)) = self.pending.place(&mut self.router, now, corr) else { return };
        match place {
            Placement::Dispatch { server, timeout } => {
                let name = self.servers.name(server);
                let timeout = timeout * NANOS;
                orders.push(json!({"forward": {"i": i, "corr": corr, "timeout": timeout, "server": name}}));
            }
            Placement::Hold => {}
            Placement::Abandon(FinalAnswer::Throttled { retry_after: come_back }) => {
                orders.push(json!({"shed": {"i": i, "corr": corr, "backoff": come_back * NANOS}}));
            }
            Placement::Abandon(FinalAnswer::Failed) => orders.push(json!({"lose": {"i": i, "corr": corr}})),
        }
        cancel_dispatches(i, corr, &recall, orders);
    }

    /// Runs the queries that are due after a batch, then the router's periodic check.
    pub fn run_due(&mut self, now: Micros, orders: &mut Vec<Json>) {
        while let Some(corr) = self.pending.take_due(now) {
            self.place_command(now, corr, orders);
        }
        let i = self.number;
        let wait = self.router.next_check(now, None);
        for server in wait.probes {
            orders.push(json!({"ask_load": {"i": i, "server": self.servers.name(server)}}));
        }
        if wait.request_list {
            orders.push(json!({"subscribe": {"i": i, "enable": true}}));
        }
        let own = now + wait.after.max(1);
        let next = self.pending.next_due().map_or(own, |due| own.min(due));
        // A timer cannot be removed; an earlier one serves as well.
        if self.next_reminder.is_none_or(|at| at <= now || next < at) {
            orders.push(json!({"remind": {"i": i, "in": (next - now) * NANOS, "nonce": 0}}));
            self.next_reminder = Some(next);
        }
    }
}

/// Orders these dispatches of a command to be cancelled.
fn cancel_dispatches(i: u64, corr: u64, dispatches: &[usize], orders: &mut Vec<Json>) {
    for go in dispatches {
        orders.push(json!({"recall": {"i": i, "corr": corr, "go": go}}));
    }
}

/// Decodes how a dispatch or a probe ended.
fn parse_end(event: &Json) -> Result<DispatchEnd, String> {
    Ok(match text(event, "reason")? {
        "ok" => DispatchEnd::Answered,
        "error" => DispatchEnd::Errored,
        "full" => DispatchEnd::SentBack,
        "timeout" => DispatchEnd::TimedOut,
        "connect_failed" => DispatchEnd::Unconnected,
        "reset" => DispatchEnd::Reset,
        "cancelled" => DispatchEnd::Recalled,
        "moot" => DispatchEnd::Unsent,
        "miss" => DispatchEnd::Missed,
        other => return Err(format!("'reason' {other} is not known")),
    })
}
