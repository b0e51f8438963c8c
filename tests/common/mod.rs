//! A store with one group, and settings for six command groups, one for each need and effect. Each test program uses
//! a part of it.
#![allow(dead_code)]

use tansyjunction::Router;
use tansyjunction::interface::*;

pub const GROUP: usize = 7;
const MS: Micros = 1_000;

pub fn conf(changed: &[(&str, Value)]) -> SettingsByName {
    let mut named = SettingsByName::new();
    let mut put = |name: &str, value: Value| named.insert(name.into(), value);
    let number = |n: f64| Value::Number(n);
    for (name, n) in [
        ("command_groups", 6.0),
        ("round", 5e3),
        ("zone", 0.0),
        ("limits.max_dispatches", 6.0),
        ("rules.cold", 17e6),
        ("rules.cold_from", 0.16),
        ("rules.fall_multiple", 3.0),
        ("rules.fall_for", 2e6),
    ] {
        put(name, number(n));
    }
    for name in ["limits.probes", "limits.recalls", "limits.second_copies"] {
        put(name, Value::Flag(true));
    }
    put("guards", Value::Text("wait".into()));
    put("session_marks", Value::Text("carried".into()));
    let each = [
        ("any", "replayable"),
        ("bounded", "replayable"),
        ("session", "replayable"),
        ("fresh", "replayable"),
        ("write", "mutating"),
        ("write", "keyed"),
    ];
    for (k, (need, effect)) in each.into_iter().enumerate() {
        let name = |part: &str| format!("command_group.{k}.{part}");
        put(&name("need"), Value::Text(need.into()));
        put(&name("effect"), Value::Text(effect.into()));
        put(&name("scope"), Value::Text("group".into()));
        for (part, n) in [
            ("bound", 1e6),
            ("response_target", 500e3),
            ("client_timeout", 2e6),
            ("repeat_within", 1e6),
            ("late_benefit", 0.5),
        ] {
            put(&name(part), number(n));
        }
    }
    for (name, value) in changed {
        put(name, value.clone());
    }
    named
}

#[derive(Clone)]
pub struct Store {
    pub router: Router,
    pub now: Micros,
    entries: Vec<ServerListEntry>,
}

impl Store {
    /// Primary 0 and replicas 1 and 2, all in the own zone, healthy and up to date.
    pub fn calm(changed: &[(&str, Value)]) -> Self {
        Store::behind(changed, &[0, 0, 0], 0)
    }

    /// Like `calm`, with the given lag of each member. Replicas from number `elsewhere` on are in another zone; with
    /// more than three members, the primary is too.
    pub fn behind(changed: &[(&str, Value)], behind: &[Micros], elsewhere: usize) -> Self {
        let router = Router::new(conf(changed), 42).expect("settings make sense");
        let mut store = Store { router, now: 100_000_000, entries: Vec::new() };
        let zone = |server| usize::from(elsewhere > 0 && (server == 0 || server >= elsewhere));
        let members: Vec<_> = (0..behind.len()).map(|server| (server, zone(server), server == 0)).collect();
        store.list(&members);
        for (server, behind) in behind.iter().enumerate() {
            store.probe(server, MS, server == 0, *behind);
        }
        store
    }

    pub fn list(&mut self, members: &[(usize, usize, bool)]) {
        let entry = |&(server, zone, primary)| ServerListEntry {
            server,
            group: GROUP,
            zone,
            size: 1.0,
            state: ServerState::Serving,
            primary,
            started: None,
        };
        self.entries = members.iter().map(entry).collect();
        self.router.update_server_list(self.now, Some(&self.entries), true);
    }

    pub fn standing(&mut self, server: usize, standing: ServerState) {
        self.entries[server].state = standing;
        self.router.update_server_list(self.now, Some(&self.entries[server..=server]), false);
    }

    pub fn restart(&mut self, server: usize) {
        self.entries[server].started = Some(self.now);
        self.router.update_server_list(self.now, Some(&self.entries[server..=server]), false);
    }

    pub fn probe(&mut self, server: usize, ping: Micros, primary: bool, behind: Micros) {
        let report =
            Report { position: Some(self.now - behind), primary: Some(primary), ..Report::default() };
        self.router.on_probe_result(self.now, server, ping, DispatchEnd::Answered, Some(report));
    }

    /// This replica applies nothing for five seconds while the others go on.
    pub fn stands_still(&mut self, server: usize) {
        self.now += 5_000 * MS;
        for other in 0..self.entries.len() {
            self.probe(other, MS, other == 0, if other == server { 5_000 * MS } else { 0 });
        }
    }

    pub fn probe_fails(&mut self, server: usize, ending: DispatchEnd) {
        self.router.on_probe_result(self.now, server, 250 * MS, ending, None);
    }

    /// A new command of session 1, whose last write was 900 ms ago.
    pub fn command(&self, command_group: usize) -> PendingCommand {
        let command = Command {
            command_group,
            group: GROUP,
            session: Some(1),
            arrived: self.now,
            client_timeout: self.now + 2_000 * MS,
            last_write_age: Some(900 * MS),
            forgotten_until: None,
            customer: None,
        };
        PendingCommand { command, dispatches: Vec::new() }
    }

    pub fn place(&mut self, held: &PendingCommand) -> Placement {
        self.router.place(self.now, held)
    }

    /// The server that the router sends the command to now.
    pub fn sent(&mut self, held: &mut PendingCommand) -> usize {
        match self.place(held) {
            Placement::Dispatch { server, .. } => {
                self.put(held, server);
                server
            }
            other => panic!("not sent: {other:?}"),
        }
    }

    /// Records a dispatch of the command to this server now.
    pub fn put(&self, held: &mut PendingCommand, server: usize) {
        held.dispatches.push(Dispatch::written_immediately(server, self.now));
    }

    /// How many of `count` new commands the router dispatches now.
    pub fn taken(&mut self, command_group: usize, count: usize) -> usize {
        let sent = (0..count).filter(|_| {
            let held = self.command(command_group);
            matches!(self.place(&held), Placement::Dispatch { .. })
        });
        sent.count()
    }

    /// Has `count` commands answered in `took` each and returns how many each member got.
    pub fn answered(&mut self, command_group: usize, count: usize, took: Micros) -> Vec<usize> {
        let mut seen = vec![0; self.entries.len()];
        for _ in 0..count {
            let mut held = self.command(command_group);
            seen[self.sent(&mut held)] += 1;
            self.end(&mut held, DispatchEnd::Answered, took);
        }
        seen
    }

    /// Ends the command's last dispatch after `took`.
    pub fn end(&mut self, held: &mut PendingCommand, ending: DispatchEnd, took: Micros) {
        self.now += took;
        self.end_one(held, held.dispatches.len() - 1, ending, took);
    }

    /// Ends one of the command's dispatches now, having taken `took`.
    pub fn end_one(&mut self, held: &mut PendingCommand, dispatch: usize, ending: DispatchEnd, took: Micros) {
        self.end_stating(held, dispatch, ending, took, Report::default());
    }

    /// The same with what the answer states.
    pub fn end_stating(
        &mut self,
        held: &mut PendingCommand,
        dispatch: usize,
        ending: DispatchEnd,
        took: Micros,
        answer_report: Report,
    ) {
        held.dispatches[dispatch].ended = Some(ending);
        let over = ending == DispatchEnd::Answered;
        let outcome = Outcome { dispatch, ending, took, finished: over, answer_report, load_report: None };
        self.router.on_outcome(self.now, held, &outcome);
    }
}
