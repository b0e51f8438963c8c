//! Slow start over the whole fleet: many routers in virtual time against servers that have just started. Every window
//! of the overload rule for cold servers is counted over all routers. The simulated server never crashes: it queues
//! what it cannot serve.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use common::conf;
use fastrand::Rng;
use tansyjunction::Router;
use tansyjunction::interface::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;

/// Start time of the cold server; earlier commands give routers their history.
const START: Micros = 1_000 * SECOND;
const BEFORE: Micros = 6 * SECOND;
/// How long there was no primary before the new one started.
const HEADLESS: Micros = 4 * SECOND;
const BURST_FOR: Micros = 3 * SECOND;
/// Simulated time after the start, or less if the server is warm before.
const PLAYED: Micros = 10 * SECOND;
/// Load as a share of capacity, and its increase in a burst.
const LOAD: f64 = 0.7;
const BURST: f64 = 1.5;
const GROUPS: usize = 3;
/// Load of the first group relative to the others.
const GROUP_PARTS: [f64; GROUPS] = [1.15, 1.0, 0.85];
/// Sizes and zones of a group's members; the first one is the primary.
const MEMBERS: [(usize, usize); 4] = [(2, 0), (1, 0), (2, 1), (1, 1)];
/// Number of a server that joins.
const JOINED: usize = GROUPS * MEMBERS.len();
/// Replication lag, and message delay within a zone and between zones.
const LAG: Micros = 100 * MS;
const WAY: [Micros; 2] = [MS / 2, 2 * MS];
const TRIES: usize = 4;

/// Share of the commands, work on one core, response target and client timeout of each command group of `conf`: long
/// unbounded reads, two groups of short reads, fresh reads and two groups of writes.
const KINDS: [(f64, Micros, Micros, Micros); 6] = [
    (0.04, 100 * MS, 3_000 * MS, 8_000 * MS),
    (0.50, 10 * MS, 400 * MS, 1_500 * MS),
    (0.28, 10 * MS, 400 * MS, 1_500 * MS),
    (0.04, 10 * MS, 400 * MS, 1_500 * MS),
    (0.06, 20 * MS, 2_000 * MS, 6_000 * MS),
    (0.08, 20 * MS, 2_000 * MS, 6_000 * MS),
];

fn mean_work() -> f64 {
    KINDS.iter().map(|(part, work, ..)| part * *work as f64).sum()
}

/// Number of cores of a group.
fn sizes() -> usize {
    MEMBERS.iter().map(|(size, _)| size).sum()
}

/// A deployment's settings for cold servers, and whether members check freshness and report their queue.
#[derive(Clone, Copy, Debug)]
struct Site {
    cold_from: f64,
    multiple: f64,
    window: Micros,
    cold: Micros,
    guards: &'static str,
    /// How the capacity of its servers actually grows.
    growth: Growth,
}

const SITES: [Site; 3] = [
    Site {
        cold_from: 0.1,
        multiple: 3.0,
        window: 500 * MS,
        cold: 10 * SECOND,
        guards: "wait",
        growth: Growth::Even,
    },
    Site {
        cold_from: 0.2,
        multiple: 2.0,
        window: 1_000 * MS,
        cold: 15 * SECOND,
        guards: "none",
        growth: Growth::Late,
    },
    Site {
        cold_from: 0.3,
        multiple: 1.5,
        window: 2_000 * MS,
        cold: 20 * SECOND,
        guards: "wait",
        growth: Growth::Even,
    },
];

/// How a server's capacity grows. The settings give its start and when it is warm; routers assume linear growth.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Growth {
    Even,
    /// Constant for half of the time, then linear.
    Late,
    /// One step at the end.
    Step,
}

impl Site {
    /// Share of its capacity that a server has at this age.
    fn part(&self, age: Micros, growth: Growth) -> f64 {
        let age = (age as f64 / self.cold as f64).min(1.0);
        let grown = match growth {
            Growth::Even => age,
            Growth::Late => (2.0 * age - 1.0).max(0.0),
            Growth::Step => age.floor(),
        };
        self.cold_from + (1.0 - self.cold_from) * grown
    }

    /// Mean share over a window that begins at this age.
    fn mean_part(&self, age: Micros, growth: Growth) -> f64 {
        const PIECES: u64 = 20;
        let at = |piece| age + self.window * (2 * piece + 1) / (2 * PIECES);
        (0..PIECES).map(|piece| self.part(at(piece), growth)).sum::<f64>() / PIECES as f64
    }
}

/// Which servers are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Cold {
    Replica,
    /// A new server is primary, and all routers hold writes for it.
    Primary,
    /// Also a replica of its group.
    Both,
}

#[derive(Clone, Copy, Debug)]
struct Plan {
    site: Site,
    routers: usize,
    cold: Cold,
    /// Whether nine in ten routers have just restarted.
    restarted: bool,
    seed: u64,
}

struct Server {
    size: usize,
    zone: usize,
    group: usize,
    leads: bool,
    gone: bool,
    started: Option<Micros>,
    /// When each core becomes free, and when queued commands begin.
    free: Vec<Micros>,
    begins: Vec<Micros>,
    /// Arrival times since the start, and their mean work.
    got: Vec<(Micros, f64)>,
}

struct Gateway {
    router: Router,
    zone: usize,
    /// Number of earlier processes of this server.
    boot: usize,
}

struct Entry {
    held: PendingCommand,
    gateway: usize,
    over: bool,
    due: Micros,
    tries: usize,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive,
    Ask(u64),
    Reach { id: u64, dispatch: usize },
    End { id: u64, dispatch: usize, ending: DispatchEnd },
    Due(usize),
    Probed { gateway: usize, boot: usize, server: usize, sent: Micros },
    Again { gateway: usize, command: Command, tries: usize },
    Headless,
    Restart,
    Start,
}

struct Fleet {
    plan: Plan,
    rng: Rng,
    now: Micros,
    gateways: Vec<Gateway>,
    /// Each router's share of the traffic.
    shares: Vec<f64>,
    servers: Vec<Server>,
    entries: BTreeMap<u64, Entry>,
    next_id: u64,
    events: BinaryHeap<Reverse<(Micros, u64)>>,
    what: BTreeMap<u64, Event>,
    next_event: u64,
    /// Numbers of final answers and of arrived commands.
    answered: usize,
    asked: usize,
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let mut rng = Rng::with_seed(plan.seed);
        let gateways: Vec<_> = (0..plan.routers).map(|number| gateway(&plan, number, 0)).collect();
        // One router in five has several times the mean traffic.
        let share = |number: usize| if number % 5 == 1 { 5.0 } else { 0.2 + rng.f64() };
        let shares = (0..plan.routers).map(share).collect();
        let all = (0..GROUPS).flat_map(|group| {
            MEMBERS
                .iter()
                .enumerate()
                .map(move |(place, (size, zone))| server(group, *size, *zone, place == 0))
        });
        Fleet {
            plan,
            rng,
            now: START - BEFORE,
            gateways,
            shares,
            servers: all.collect(),
            entries: BTreeMap::new(),
            next_id: 0,
            events: BinaryHeap::new(),
            what: BTreeMap::new(),
            next_event: 0,
            answered: 0,
            asked: 0,
        }
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.events.push(Reverse((at, self.next_event)));
        self.what.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn played(plan: Plan) -> Self {
        let mut fleet = Fleet::new(plan);
        let now = fleet.now;
        for number in 0..fleet.gateways.len() {
            fleet.tell(number);
            let later = fleet.rng.u64(0..SECOND);
            fleet.at(now + later, Event::Due(number));
        }
        fleet.at(now, Event::Arrive);
        let headless = plan.cold != Cold::Replica;
        if headless {
            fleet.at(START - HEADLESS, Event::Headless);
        }
        if plan.restarted {
            // Routers that hold writes for the new primary have no history either.
            fleet.at(START - if headless { HEADLESS - 1 } else { 1 }, Event::Restart);
        }
        fleet.at(START, Event::Start);
        while let Some(Reverse((at, number))) = fleet.events.pop() {
            if at > START + PLAYED.min(plan.site.cold) {
                break;
            }
            fleet.now = at;
            let event = fleet.what.remove(&number).expect("each event comes once");
            fleet.happen(event);
        }
        fleet
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Ask(id) => {
                if self.entries.get(&id).is_some_and(|entry| entry.due == self.now) {
                    self.ask(id);
                }
            }
            Event::Reach { id, dispatch } => self.reach(id, dispatch),
            Event::End { id, dispatch, ending } => self.end(id, dispatch, ending),
            Event::Due(gateway) => {
                let wait = self.due(gateway);
                self.at(self.now + wait.clamp(MS, SECOND), Event::Due(gateway));
            }
            Event::Probed { gateway, boot, server, sent } => {
                let report = self.report(server);
                let gone = self.servers[server].gone;
                let (ending, report) = if gone {
                    (DispatchEnd::Unconnected, None)
                } else {
                    (DispatchEnd::Answered, Some(report))
                };
                let gateway = &mut self.gateways[gateway];
                if gateway.boot == boot {
                    gateway.router.on_probe_result(self.now, server, self.now - sent, ending, report);
                }
            }
            Event::Again { gateway, command, tries } => self.take(gateway, command, tries),
            Event::Headless => {
                self.servers[0].gone = true;
                let out: Vec<_> = self.out_at(0);
                for (id, dispatch) in out {
                    self.end(id, dispatch, DispatchEnd::Reset);
                }
                (0..self.gateways.len()).for_each(|number| self.tell(number));
            }
            Event::Restart => self.restart(),
            Event::Start => self.start(),
        }
    }

    /// Dispatches in flight at a server.
    fn out_at(&self, server: usize) -> Vec<(u64, usize)> {
        let out = |(id, entry): (&u64, &Entry)| {
            let dispatches = entry.held.dispatches.iter().enumerate();
            let out = dispatches.filter(|(_, d)| d.server == server && d.ended.is_none());
            out.map(|(dispatch, _)| (*id, dispatch)).collect::<Vec<_>>()
        };
        self.entries.iter().flat_map(out).collect()
    }

    /// Restarts nine in ten routers; clients of their pending commands retry soon.
    fn restart(&mut self) {
        for number in (0..self.gateways.len()).filter(|number| number % 10 != 3) {
            self.gateways[number] = gateway(&self.plan, number, self.gateways[number].boot + 1);
            self.tell(number);
        }
        let lost = |entry: &Entry| entry.gateway % 10 != 3;
        let lost: Vec<_> = self.entries.iter().filter(|(_, entry)| lost(entry)).map(|(id, _)| *id).collect();
        for id in lost {
            let entry = self.entries.remove(&id).expect("it is in hand");
            self.again(&entry, 0);
        }
    }

    fn start(&mut self) {
        if self.plan.cold == Cold::Primary || self.plan.cold == Cold::Both {
            self.servers.push(server(0, MEMBERS[0].0, MEMBERS[0].1, true));
            self.servers[JOINED].started = Some(START);
        }
        if self.plan.cold == Cold::Replica || self.plan.cold == Cold::Both {
            // Sizes and zones differ.
            let replica = 1 + self.plan.seed as usize % 2;
            self.servers[replica].started = Some(START);
            for (id, dispatch) in self.out_at(replica) {
                self.end(id, dispatch, DispatchEnd::Reset);
            }
            let cores = self.servers[replica].size;
            self.servers[replica].free = vec![START; cores];
        }
        (0..self.gateways.len()).for_each(|number| self.tell(number));
    }

    /// Sends a router the current server list.
    fn tell(&mut self, number: usize) {
        let entry = |(number, server): (usize, &Server)| ServerListEntry {
            server: number,
            group: server.group,
            zone: server.zone,
            size: server.size as f64,
            state: if server.gone { ServerState::Gone } else { ServerState::Serving },
            primary: server.leads && !server.gone,
            started: server.started,
        };
        let entries: Vec<_> = self.servers.iter().enumerate().map(entry).collect();
        self.gateways[number].router.update_server_list(self.now, Some(&entries), true);
    }

    fn arrive(&mut self) {
        let burst = (START..START + BURST_FOR).contains(&self.now);
        let rate = LOAD * (GROUPS * sizes()) as f64 / mean_work() * if burst { BURST } else { 1.0 };
        let pause = (-(1.0 - self.rng.f64()).ln() / rate) as Micros;
        self.at(self.now + pause.max(1), Event::Arrive);
        let gateway = drawn(&mut self.rng, self.shares.iter().copied());
        let command_group = drawn(&mut self.rng, KINDS.iter().map(|(part, ..)| *part));
        let command = Command {
            command_group,
            group: drawn(&mut self.rng, GROUP_PARTS.into_iter()),
            session: Some(self.rng.usize(0..100_000)),
            arrived: self.now,
            client_timeout: self.now + KINDS[command_group].3,
            last_write_age: (command_group == 2).then_some(SECOND),
            forgotten_until: None,
            customer: None,
        };
        self.take(gateway, command, 1);
    }

    fn take(&mut self, gateway: usize, mut command: Command, tries: usize) {
        command.arrived = self.now;
        let held = PendingCommand { command, dispatches: Vec::new() };
        let id = self.next_id;
        self.next_id += 1;
        self.asked += 1;
        self.entries.insert(id, Entry { held, gateway, over: false, due: 0, tries });
        self.ask(id);
    }

    /// The client retries after its answer, or at once without one, until its time is over.
    fn again(&mut self, entry: &Entry, come_back: Micros) {
        let at = self.now + come_back.max(10 * MS) + self.rng.u64(0..100 * MS);
        if entry.tries < TRIES && at < entry.held.command.client_timeout && !entry.over {
            // The retry may reach another gateway.
            let gateway = drawn(&mut self.rng, self.shares.iter().copied());
            let command = entry.held.command.clone();
            self.at(at, Event::Again { gateway, command, tries: entry.tries + 1 });
        }
    }

    fn ask(&mut self, id: u64) {
        let Some(entry) = self.entries.get_mut(&id).filter(|entry| !entry.over) else { return };
        let number = entry.gateway;
        let gateway = &mut self.gateways[number];
        let place = gateway.router.place(self.now, &entry.held);
        match place {
            Placement::Dispatch { server, timeout } => {
                let dispatch = entry.held.dispatches.len();
                entry.held.dispatches.push(Dispatch::written_immediately(server, self.now));
                let way = WAY[usize::from(gateway.zone != self.servers[server].zone)];
                let (reach, late) = (self.now + way, self.now + timeout);
                self.at(reach, Event::Reach { id, dispatch });
                self.at(late, Event::End { id, dispatch, ending: DispatchEnd::TimedOut });
            }
            Placement::Hold => {}
            Placement::Abandon(last) => {
                let entry = self.entries.remove(&id).expect("it is in hand");
                let reads = !matches!(entry.held.command.command_group, 4 | 5);
                match last {
                    FinalAnswer::Throttled { retry_after: come_back } => self.again(&entry, come_back),
                    FinalAnswer::Failed if reads => self.again(&entry, 0),
                    FinalAnswer::Failed => {}
                }
                return;
            }
        }
        let (now, entry) = (self.now, self.entries.get_mut(&id).expect("it is in hand"));
        let wait = self.gateways[number].router.next_check(now, Some(&entry.held));
        let due = now + wait.after.max(1);
        if entry.due != due {
            entry.due = due;
            self.at(due, Event::Ask(id));
        }
        for dispatch in wait.cancel {
            self.end(id, dispatch, DispatchEnd::Recalled);
        }
        if place == Placement::Hold {
            self.due(number);
        }
    }

    /// Runs the router's periodic check; returns the time until the next one.
    fn due(&mut self, number: usize) -> Micros {
        let gateway = &mut self.gateways[number];
        let (zone, boot) = (gateway.zone, gateway.boot);
        let wait = gateway.router.next_check(self.now, None);
        for server in wait.probes {
            let trip = 2 * WAY[usize::from(zone != self.servers[server].zone)];
            let probed = Event::Probed { gateway: number, boot, server, sent: self.now };
            self.at(self.now + trip, probed);
        }
        wait.after
    }

    /// A dispatch arrives at its server, whether or not its client still waits.
    fn reach(&mut self, id: u64, dispatch: usize) {
        // Dispatches of a router that ended are lost with it.
        let Some(entry) = self.entries.get(&id) else { return };
        let sent = &entry.held.dispatches[dispatch];
        let k = entry.held.command.command_group;
        let gateway = &self.gateways[entry.gateway];
        let way = WAY[usize::from(gateway.zone != self.servers[sent.server].zone)];
        let (place, plan) = (sent.server, self.plan);
        let at = &mut self.servers[place];
        if at.gone {
            return self.end(id, dispatch, DispatchEnd::Unconnected);
        }
        if at.started.is_some() {
            at.got.push((self.now, KINDS[k].1 as f64));
        }
        if !at.leads && k >= 3 {
            return self.at(self.now + way, Event::End { id, dispatch, ending: DispatchEnd::Missed });
        }
        // Work varies by half in both directions; cold cores take longer.
        let part = at.started.map_or(1.0, |started| plan.site.part(self.now - started, plan.site.growth));
        let work = KINDS[k].1 as f64 * (0.5 + self.rng.f64()) / part;
        let core = (0..at.size).min_by_key(|core| at.free[*core]).expect("it has one");
        let begin = at.free[core].max(self.now);
        at.free[core] = begin + work as Micros;
        at.begins.push(begin);
        let end = at.free[core] + way;
        self.at(end, Event::End { id, dispatch, ending: DispatchEnd::Answered });
    }

    fn report(&mut self, server: usize) -> Report {
        let (now, at) = (self.now, &mut self.servers[server]);
        at.begins.retain(|begin| *begin > now);
        // Members that do not check freshness report no queue here.
        let queue = (self.plan.site.guards != "none").then_some(at.begins.len() as f64);
        let position = Some(if at.leads { now } else { now - LAG });
        Report { position, primary: Some(at.leads), queue, ..Report::default() }
    }

    fn end(&mut self, id: u64, dispatch: usize, ending: DispatchEnd) {
        let Some(entry) = self.entries.get(&id) else { return };
        let sent = &entry.held.dispatches[dispatch];
        if sent.ended.is_some() {
            return;
        }
        let (place, took) = (sent.server, self.now - sent.sent);
        let heard = matches!(ending, DispatchEnd::Answered | DispatchEnd::Missed);
        let report = if heard { Some(self.report(place)) } else { None };
        let stated = report.map_or(Report::default(), |report| Report { queue: None, ..report });
        let entry = self.entries.get_mut(&id).expect("it is in hand");
        entry.held.dispatches[dispatch].ended = Some(ending);
        self.answered += usize::from(ending == DispatchEnd::Answered && !entry.over);
        entry.over |= ending == DispatchEnd::Answered;
        let outcome = Outcome {
            dispatch,
            ending,
            took,
            finished: entry.over,
            answer_report: stated,
            load_report: report,
        };
        let after = self.gateways[entry.gateway].router.on_outcome(self.now, &entry.held, &outcome);
        if entry.over && entry.held.dispatches.iter().all(|d| d.ended.is_some()) {
            self.entries.remove(&id);
        }
        match after {
            NextStep::PlaceAgain => self.ask(id),
            NextStep::Finished { cancel: recall } => {
                for dispatch in recall {
                    self.end(id, dispatch, DispatchEnd::Recalled);
                }
            }
        }
    }

    /// The window with the greatest use of the budget, for a growth of capacity.
    fn worst(&self, growth: Growth) -> Use {
        let cold = self.servers.iter().filter(|server| server.started.is_some());
        cold.flat_map(|server| windows(&self.plan.site, server, growth))
            .max_by(|a, b| a.part.total_cmp(&b.part))
            .unwrap_or_default()
    }

    /// The least share that a cold server got in the first half of its warm-up: of the budget, or of an average
    /// member's commands if that is less.
    fn least(&self) -> f64 {
        let site = &self.plan.site;
        let half = site.cold / 2;
        let part = site.multiple * (site.part(0, Growth::Even) + site.part(half, Growth::Even)) / 2.0;
        let share = |kinds: &[usize]| {
            let work = kinds.iter().map(|k| KINDS[*k].0 * KINDS[*k].1 as f64).sum::<f64>();
            LOAD * work / mean_work()
        };
        let got = |server: &Server| {
            let got =
                server.got.iter().filter(|(at, _)| *at < START + half).map(|(_, work)| work).sum::<f64>();
            let there = if server.leads {
                share(&[3, 4, 5]) * sizes() as f64
            } else {
                share(&[1, 2]) * server.size as f64
            };
            got / ((part * server.size as f64).min(there) * half as f64)
        };
        self.servers.iter().filter(|s| s.started.is_some()).map(got).fold(f64::INFINITY, f64::min)
    }
}

/// Arrivals in a window: commands of mean work, the budget N, and the share of N + 2 root N + 2 that arrived.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    came: f64,
    budget: f64,
    part: f64,
    at: Micros,
}

/// All windows that begin with the arrival of a command.
fn windows(site: &Site, server: &Server, growth: Growth) -> Vec<Use> {
    let (mut until, mut came) = (0, 0.0);
    let window = |from: usize| {
        let at = server.got[from].0;
        while until < server.got.len() && server.got[until].0 < at + site.window {
            came += server.got[until].1 / mean_work();
            until += 1;
        }
        let bears = site.multiple * site.mean_part(at - START, growth) * server.size as f64;
        let budget = bears * site.window as f64 / mean_work();
        let part = came / (budget + 2.0 * budget.sqrt() + 2.0);
        let found = Use { came, budget, part, at: at - START };
        came -= server.got[from].1 / mean_work();
        found
    };
    (0..server.got.len()).map(window).collect()
}

/// Draws an index with these weights.
fn drawn(rng: &mut Rng, parts: impl Iterator<Item = f64> + Clone) -> usize {
    let mut at = rng.f64() * parts.clone().sum::<f64>();
    let found = parts.clone().position(|part| {
        at -= part;
        at < 0.0
    });
    found.unwrap_or(parts.count() - 1)
}

fn server(group: usize, size: usize, zone: usize, leads: bool) -> Server {
    Server {
        size,
        zone,
        group,
        leads,
        gone: false,
        started: None,
        free: vec![0; size],
        begins: Vec::new(),
        got: Vec::new(),
    }
}

fn gateway(plan: &Plan, number: usize, boot: usize) -> Gateway {
    let site = &plan.site;
    let zone = number % 2;
    let mut changed: Vec<(String, Value)> = [
        ("routers", plan.routers as f64),
        ("router", number as f64),
        ("zone", zone as f64),
        ("limits.max_come_back", SECOND as f64),
        ("rules.cold", site.cold as f64),
        ("rules.cold_from", site.cold_from),
        ("rules.fall_multiple", site.multiple),
        ("rules.fall_for", site.window as f64),
    ]
    .map(|(name, value)| (name.into(), Value::Number(value)))
    .into();
    changed.push(("limits.come_back".into(), Value::Flag(true)));
    changed.push(("guards".into(), Value::Text(site.guards.into())));
    for (k, (_, _, target, timeout)) in KINDS.iter().enumerate() {
        let name = |part: &str| format!("command_group.{k}.{part}");
        changed.push((name("response_target"), Value::Number(*target as f64)));
        changed.push((name("client_timeout"), Value::Number(*timeout as f64)));
        changed.push((name("bound"), Value::Number(3e6)));
    }
    let changed: Vec<_> = changed.iter().map(|(name, value)| (name.as_str(), value.clone())).collect();
    let seed = plan.seed << 32 | (boot * 1_000 + number) as u64;
    Gateway { router: Router::new(conf(&changed), seed).expect("settings make sense"), zone, boot }
}

/// Plays all sites and some seeds at each size; no window may exceed N + 2 root N + 2, and no cold server may starve.
fn kept(cold: Cold, restarted: bool) {
    let mut broken = Vec::new();
    for routers in [1, 5, 20, 30, 300] {
        // Where routers have enough commands to know the load, seeds differ little.
        let seeds = if routers < 300 { 1 } else { 2 };
        // Other growths are informative only: routers are not told how capacity grows.
        let mut worst = [Growth::Even, Growth::Late, Growth::Step].map(|_| Use::default());
        let mut most_of_n = 0.0f64;
        let (mut least, mut answered) = (f64::INFINITY, f64::INFINITY);
        for (place, site) in SITES.into_iter().enumerate() {
            for seed in 0..seeds {
                let seed = seed + 10 * place as u64 + 1;
                let plan = Plan { site, routers, cold, restarted, seed };
                let fleet = Fleet::played(plan);
                for (worst, growth) in worst.iter_mut().zip([Growth::Even, Growth::Late, Growth::Step]) {
                    let found = fleet.worst(growth);
                    if growth == Growth::Even {
                        most_of_n = most_of_n.max(found.came / found.budget);
                        if found.part > 1.0 {
                            broken.push(format!("{routers} routers, seed {seed}: {found:.2?}"));
                        }
                    }
                    if found.part > worst.part {
                        *worst = found;
                    }
                }
                let got = fleet.least();
                if got < 0.1 {
                    broken.push(format!(
                        "{routers} routers, seed {seed}: a cold server got {got:.2} of its share"
                    ));
                }
                least = least.min(got);
                answered = answered.min(fleet.answered as f64 / fleet.asked as f64);
            }
        }
        let [even, late, step] = worst;
        println!(
            "{cold:?}, restarted {restarted}, {routers} routers: at most {most_of_n:.2} N, {:.2} of \
             N + 2 root N + 2 ({:.0} came, N {:.0}, at {} ms); if capacity grows late {:.2}, at the end \
             {:.2}; over the first half at least {least:.2} of its share; {answered:.2} answered",
            even.part,
            even.came,
            even.budget,
            even.at / MS,
            late.part,
            step.part
        );
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn no_window_is_above_the_budget_at_a_cold_replica() {
    kept(Cold::Replica, false);
}

#[test]
fn no_window_is_above_the_budget_at_a_cold_replica_of_routers_that_have_just_restarted() {
    kept(Cold::Replica, true);
}

#[test]
fn no_window_is_above_the_budget_at_a_cold_primary_that_all_hold_writes_for() {
    kept(Cold::Primary, false);
}

#[test]
fn no_window_is_above_the_budget_at_a_cold_primary_of_routers_that_have_just_restarted() {
    kept(Cold::Primary, true);
}

#[test]
fn no_window_is_above_the_budget_where_a_primary_and_a_replica_are_cold() {
    kept(Cold::Both, false);
}

#[test]
fn no_window_is_above_the_budget_where_a_primary_and_a_replica_are_cold_and_routers_have_just_restarted() {
    kept(Cold::Both, true);
}
