//! Execution of a plan: store, gateways and links between them, then the checks.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde_json::json;
use tansyjunction_standin::{Asked, Death, Discovery, Load, Reply, Store, StoreConfig, check_ledger};

use crate::fleet::{Fleet, mono};
use crate::ground::{lose_disk, put_disk};
use crate::judge::{self, MembershipLine};
use crate::links::{LinkState, Links};
use crate::plan::{FaultKind, Plan, SHARDS};

/// Time for all gateways to know each other, at the start and after the last fault.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest additional delay of a step that waits for a condition.
const MAX_STEP_DELAY: Duration = Duration::from_secs(30);
const MEMBERS: usize = 3;

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub plan: Plan,
    /// Violated rules; empty if none.
    pub broken: Vec<String>,
    pub history: Vec<MembershipLine>,
    /// Milliseconds until all gateways knew each other: from the start, and from the end of the last fault.
    pub joined_ms: u64,
    pub healed_ms: Option<u64>,
    /// Milliseconds from each kill to the last report of it.
    pub detected_ms: BTreeMap<usize, i64>,
    pub answered: usize,
    pub throttled: usize,
    pub failed: usize,
    /// Commands whose connection ended with their gateway.
    pub cut_off: usize,
    /// Datagrams forwarded, and dropped by faults.
    pub datagrams: (u64, u64),
    /// Commands per second: sent and answered.
    pub service: Vec<(u64, usize, usize)>,
    /// Commands in the first second after the first kill's end: sent, answered, and mean duration of these in ms.
    pub after_restart: (usize, usize, f64),
}

/// Whether all running gateways see all others alive and no dark zone. `Err` names one that does not.
fn agree(fleet: &Fleet) -> Result<(), String> {
    let all = (0..fleet.gateways.len()).map(|number| fleet.ask(number, &json!({"do": "fellows"})));
    let all = all.collect::<Result<Vec<_>, _>>()?;
    // Of two gateways with one name, one stays silent and is not a member.
    let names: BTreeSet<&str> = fleet.gateways.iter().map(|gateway| gateway.name.as_str()).collect();
    let silent = all.iter().filter(|status| status["yields"] == true).count();
    if silent + names.len() != all.len() {
        return Err(format!("{silent} keep silent of {} with {} names", all.len(), names.len()));
    }
    for (number, status) in all.iter().enumerate().filter(|(_, status)| status["yields"] != true) {
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let alive = members.iter().filter(|member| member["standing"] == "alive").count();
        if alive + 1 != names.len() {
            return Err(format!("n{number} knows {alive} of {} others to live", names.len() - 1));
        }
        if status["dark"].as_array().is_some_and(|dark| !dark.is_empty()) {
            return Err(format!("n{number} takes zones {} for dark", status["dark"]));
        }
    }
    Ok(())
}

fn until_agreed(fleet: &Fleet) -> Result<Duration, String> {
    let began = Instant::now();
    loop {
        match agree(fleet) {
            Ok(()) => return Ok(began.elapsed()),
            Err(message) if began.elapsed() > AGREEMENT_TIMEOUT => return Err(message),
            Err(_) => std::thread::sleep(POLL_INTERVAL),
        }
    }
}

/// State of a link at a time of the plan.
fn link_state(plan: &Plan, now_ms: u64, from: usize, to: usize) -> LinkState {
    let under_way = |fault: &&crate::plan::Fault| fault.at_ms <= now_ms && now_ms < fault.ends();
    let faults: Vec<&FaultKind> = plan.faults.iter().filter(under_way).map(|fault| &fault.what).collect();
    link_state_under(&faults, from, to)
}

/// State of a link under these faults.
pub(crate) fn link_state_under(faults: &[&FaultKind], from: usize, to: usize) -> LinkState {
    let mut way = LinkState::default();
    for what in faults {
        match what {
            FaultKind::Cut { from: a, to: b } => way.cut |= a.contains(&from) && b.contains(&to),
            FaultKind::Bad { from: a, to: b, lost, doubled, delay_ms }
                if a.contains(&from) && b.contains(&to) =>
            {
                way.lost = way.lost.max(*lost);
                way.doubled = way.doubled.max(*doubled);
                way.delay = way.delay.max(Duration::from_millis(*delay_ms));
            }
            _ => {}
        }
    }
    way
}

/// Whether a fault of this kind affects a gateway now.
fn held(plan: &Plan, now_ms: u64, who: usize, kind: impl Fn(&FaultKind) -> &[usize]) -> bool {
    let mut faults = plan.faults.iter().filter(|fault| fault.at_ms <= now_ms && now_ms < fault.ends());
    faults.any(|fault| kind(&fault.what).contains(&who))
}

/// What a condition of a step may examine.
pub struct StepCondition<'a> {
    fleet: &'a Fleet,
    zero: u64,
    plan: &'a Plan,
    moment: u64,
}

impl StepCondition<'_> {
    /// Membership events so far.
    pub fn history(&self) -> Vec<MembershipLine> {
        history(self.fleet, self.zero)
    }

    /// Whether all running gateways know each other.
    pub fn agreed(&self) -> bool {
        agree(self.fleet).is_ok()
    }

    /// Whether this is the start of a fault, or else its end.
    pub fn begins(&self) -> bool {
        self.plan.faults.iter().any(|fault| fault.at_ms == self.moment)
    }

    /// Whether this is the end of a fault.
    pub fn ends(&self) -> bool {
        self.plan.faults.iter().any(|fault| fault.ends() == self.moment)
    }
}

fn history(fleet: &Fleet, zero: u64) -> Vec<MembershipLine> {
    let all = 0..fleet.gateways.len();
    let mut history: Vec<MembershipLine> =
        all.flat_map(|number| judge::read(number, &fleet.log(number), zero)).collect();
    history.sort_by_key(|told| (told.at_ms, told.by));
    history
}

/// Executes a plan with the program at `program`. Errors are those of the test environment.
pub fn run(program: &Path, plan: &Plan) -> Result<Outcome, String> {
    run_when(program, plan, &|_| true)
}

/// The same, where each step also waits until `ready` holds: on a busy machine the effect of a fault may take longer
/// than planned. Later steps are delayed accordingly, also in the resulting plan.
pub fn run_when(
    program: &Path,
    plan: &Plan,
    ready: &dyn Fn(&StepCondition) -> bool,
) -> Result<Outcome, String> {
    let plan = &mut plan.clone();
    let said = |error: std::io::Error| error.to_string();
    let shape = StoreConfig { shards: SHARDS, members: MEMBERS, seed: plan.seed, ..StoreConfig::default() };
    let store = Store::start(shape).map_err(said)?;
    let discovery = Discovery::start(&store).map_err(said)?;
    let mut fleet = Fleet::new(program, plan).map_err(said)?;
    let real = fleet.gateways.iter().map(|gateway| gateway.peer).collect();
    let links = Links::start(real, plan.seed).map_err(said)?;
    fleet.configure(plan, &links, discovery.address, |_| String::new()).map_err(said)?;
    for number in 0..plan.gateways {
        fleet.start(number)?;
    }
    for number in 0..plan.gateways {
        fleet.serves(number)?;
    }
    let mut broken = Vec::new();
    let joined = until_agreed(&fleet).unwrap_or_else(|message| {
        broken.push(format!("at the start {message}"));
        AGREEMENT_TIMEOUT
    });
    let addresses: Vec<_> = fleet.gateways.iter().map(|gateway| gateway.address).collect();
    let load = Load::start(&addresses, plan.clients, SHARDS, Duration::from_millis(40));
    let zero = mono();
    let list = |new: usize| discovery.leads(new, MEMBERS);
    broken.extend(play(&mut fleet, &[&links], &store, list, |_, _, _| {}, plan, ready)?);
    let plan = &*plan;
    let healed = until_agreed(&fleet).map_err(|message| broken.push(format!("in the end {message}"))).ok();
    let asked = load.stop();
    for number in 0..plan.gateways {
        broken.extend(fleet.runs(number).err());
    }
    let history = history(&fleet, zero);
    // A suspicion at the very end of a fault expires this much later, in another region and in bad health.
    let after_ms = (plan.suspect_ms * 3 * 9) as i64;
    broken.extend(judge::false_deaths(plan, &history, after_ms));
    broken.extend(judge::lost_not_left(plan, &history));
    for number in 0..plan.gateways {
        if let Some(line) = fleet.log(number).lines().find(|line| line.contains("panicked")) {
            broken.push(format!("n{number}: {line}"));
        }
    }
    let ended = |one: &&Asked| one.reply == Reply::Ended;
    let cut_off = asked.iter().filter(ended).count();
    // A stopping gateway may close a connection that a command is in transit on; accepted commands are answered.
    let dies = |what: &FaultKind| matches!(what, FaultKind::Kill { .. } | FaultKind::Pause { .. });
    if !plan.faults.iter().any(|fault| dies(&fault.what)) {
        let ran: Vec<String> = store.ledger().into_iter().map(|row| row.key).collect();
        let taken = asked.iter().filter(ended).filter(|one| ran.contains(&one.key));
        broken.extend(taken.map(|one| format!("the command {} ran and got no answer", one.key)));
    }
    let rest: Vec<Asked> = asked.iter().filter(|one| !ended(one)).cloned().collect();
    let sum = check_ledger(&store, &rest).unwrap_or_else(|message| {
        broken.push(message);
        Default::default()
    });
    let mut service: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
    for one in &asked {
        let row = service.entry(one.began.as_secs()).or_default();
        row.0 += 1;
        row.1 += usize::from(matches!(one.reply, Reply::Value(_)));
    }
    let restart = plan
        .faults
        .iter()
        .find(|fault| matches!(fault.what, FaultKind::Kill { .. }))
        .map(|fault| fault.ends());
    let first = |one: &&Asked| {
        let at = one.began.as_millis() as u64;
        restart.is_some_and(|restart| (restart..restart + 1_000).contains(&at))
    };
    let early: Vec<&Asked> = asked.iter().filter(first).collect();
    let answers: Vec<f64> = early
        .iter()
        .filter(|one| matches!(one.reply, Reply::Value(_)))
        .map(|one| one.took.as_secs_f64() * 1e3)
        .collect();
    let mean = answers.iter().sum::<f64>() / answers.len().max(1) as f64;
    Ok(Outcome {
        after_restart: (early.len(), answers.len(), mean),
        plan: plan.clone(),
        detected_ms: judge::detection(plan, &history),
        history,
        joined_ms: joined.as_millis() as u64,
        healed_ms: healed.map(|time| time.as_millis() as u64),
        answered: sum.answered,
        throttled: sum.throttled,
        failed: sum.failed,
        cut_off,
        datagrams: links.counts(),
        service: service.into_iter().map(|(second, (asked, answered))| (second, asked, answered)).collect(),
        broken,
    })
}

fn of_kill(what: &FaultKind) -> &[usize] {
    what.kills()
}

fn of_stop(what: &FaultKind) -> &[usize] {
    if let FaultKind::Stop { who } = what { who } else { &[] }
}

fn of_pause(what: &FaultKind) -> &[usize] {
    if let FaultKind::Pause { who } = what { who } else { &[] }
}

/// Executes each fault at its time, or once `ready` holds after that, and ends it likewise. Calls `change` for a shard
/// whose primary an operator changes, with a healthy gateway, and `list` for a new primary. Returns process errors.
pub(crate) fn play(
    fleet: &mut Fleet,
    links: &[&Links],
    store: &Store,
    list: impl Fn(usize),
    mut change: impl FnMut(&Fleet, usize, usize),
    plan: &mut Plan,
    ready: &dyn Fn(&StepCondition) -> bool,
) -> Result<Vec<String>, String> {
    #[derive(Clone, Copy, PartialEq)]
    enum State {
        Up,
        Killed,
        Stopping,
        Paused,
    }
    let mut states = vec![State::Up; plan.gateways];
    let mut broken = Vec::new();
    let crowned = |fault: &crate::plan::Fault| match fault.what {
        FaultKind::Elect { after_ms, .. } => Some(fault.at_ms + after_ms),
        _ => None,
    };
    let after = |plan: &Plan, last: Option<u64>| {
        let moments =
            plan.faults.iter().flat_map(|fault| [Some(fault.at_ms), crowned(fault), Some(fault.ends())]);
        moments.flatten().filter(|moment| Some(*moment) > last).min()
    };
    // By shard: the server that died, and its successor.
    let mut elected: BTreeMap<usize, (usize, usize)> = BTreeMap::new();
    let (began, zero, mut last) = (Instant::now(), mono(), None);
    while let Some(mut moment) = after(plan, last) {
        let due = began + Duration::from_millis(moment);
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let waited = Instant::now();
        while !ready(&StepCondition { fleet, zero, plan, moment }) && waited.elapsed() < MAX_STEP_DELAY {
            std::thread::sleep(POLL_INTERVAL);
            let late = began.elapsed().as_millis() as u64 - moment;
            plan.delay(moment, late);
            moment += late;
        }
        last = Some(moment);
        links.iter().for_each(|links| links.set(|from, to| link_state(plan, moment, from, to)));
        let slow = plan.faults.iter().filter(|fault| fault.at_ms <= moment && moment < fault.ends());
        let slow =
            slow.filter_map(
                |fault| if let FaultKind::SlowStore { by_ms } = fault.what { Some(by_ms) } else { None },
            );
        store.slow(Duration::from_millis(slow.max().unwrap_or(0)));
        for fault in &plan.faults {
            if let (FaultKind::Change { shard }, true) = (&fault.what, fault.at_ms == moment)
                && let Some(well) = states.iter().position(|state| *state == State::Up)
            {
                change(fleet, well, *shard);
            }
        }
        for fault in &plan.faults {
            let FaultKind::Elect { shard, .. } = fault.what else { continue };
            if fault.at_ms == moment
                && let (Some(old), Some(new)) = (store.leader(shard), store.follower(shard))
            {
                store.kill(old, Death::Before);
                elected.insert(shard, (old, new));
            }
            if crowned(fault) == Some(moment)
                && let Some((_, new)) = elected.get(&shard)
            {
                store.set_primary(shard, *new);
            }
            if fault.ends() == moment
                && let Some((old, new)) = elected.remove(&shard)
            {
                store.restart(old, false);
                list(new);
            }
        }
        let mut started = Vec::new();
        for (number, state) in states.iter_mut().enumerate() {
            let (dead, stopped) = (held(plan, moment, number, of_kill), held(plan, moment, number, of_stop));
            let paused = held(plan, moment, number, of_pause);
            let wanted = match () {
                () if dead => State::Killed,
                () if stopped => State::Stopping,
                () if paused => State::Paused,
                () => State::Up,
            };
            if wanted == *state {
                continue;
            }
            if *state == State::Paused {
                fleet.go_on(number);
            }
            match (*state, wanted) {
                (State::Killed | State::Stopping, State::Up | State::Paused) => {
                    if *state == State::Stopping {
                        broken.extend(fleet.stopped(number).err());
                    }
                    let ended = |fault: &&crate::plan::Fault| {
                        fault.ends() == moment && fault.what.kills().contains(&number)
                    };
                    for fault in plan.faults.iter().filter(ended) {
                        match &fault.what {
                            FaultKind::LoseDisk { .. } => lose_disk(fleet, number)?,
                            FaultKind::OldDisk { .. } => put_disk(fleet, number)?,
                            _ => {}
                        }
                    }
                    fleet.start(number)?;
                    started.push(number);
                }
                (_, State::Killed) => fleet.kill(number),
                (_, State::Stopping) => fleet.stop(number),
                _ => {}
            }
            if wanted == State::Paused {
                fleet.pause(number);
            }
            *state = wanted;
        }
        for number in started.into_iter().filter(|number| states[*number] == State::Up) {
            fleet.serves(number)?;
        }
    }
    links.iter().for_each(|links| links.set(|_, _| LinkState::default()));
    store.slow(Duration::ZERO);
    Ok(broken)
}
