//! Exhaustive search: every random pick and every outcome requested by an expectation, from every scenario of its
//! states, runs with the fewest faults first.
//!
//! A run proceeds from one dispatch of the examined command to the next, where the simulation is forked for each
//! outcome. Between two dispatches only random picks are open: the section is repeated from the last fork with the
//! next pick. States already visited with as many faults left are dropped.

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use rustc_hash::{FxHashMap, FxHashSet, FxHasher};
use tansyjunction::interface::*;

use crate::expectation::{Expectation, Requirements};
use crate::judge::{self, Violation};
use crate::state::{self, DescribedWorld, State};
use crate::steer::CheckedRouter;
use crate::subject::Subject;
use crate::truth::DispatchFate;
use crate::world::{End, IncomingCommand, PauseReason, Start, Step, World};

/// Picks with up to this many values are all tried; others use the seeded generator.
const MAX_PRESCRIBED_BOUND: usize = 64;

/// Limits set by the caller.
pub struct Bounds<'a> {
    /// Most runs per expectation.
    pub runs: u64,
    /// Whether the time is over.
    pub stop: &'a dyn Fn() -> bool,
}

/// Statistics of a search.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SearchStats {
    /// Simulations started, one per seed; completed runs; forks; states dropped as already visited.
    pub worlds: u64,
    pub runs: u64,
    pub forks: u64,
    pub met: u64,
    /// Calls of the router.
    pub calls: u64,
    pub seeds: u64,
    /// Most faults in a run.
    pub faults: usize,
    /// Why the search was not exhaustive within its faults; `None` if it was.
    pub cut_short: Option<String>,
}

impl SearchStats {
    /// Adds the numbers of another search.
    pub fn add(&mut self, other: &SearchStats) {
        self.worlds += other.worlds;
        self.runs += other.runs;
        self.forks += other.forks;
        self.met += other.met;
        self.calls += other.calls;
        self.seeds = self.seeds.max(other.seeds);
        self.faults = self.faults.max(other.faults);
        if self.cut_short.is_none() {
            self.cut_short.clone_from(&other.cut_short);
        }
    }
}

/// Choices at a fork: the picks before it, and the outcome of the dispatch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    pub picks: Vec<usize>,
    /// `None`: what the scenario determines, or the end of the run.
    pub happens: Option<DispatchFate>,
}

/// Complete description of a start, sufficient to repeat it.
#[derive(Clone, Debug)]
pub struct Setting {
    pub command: usize,
    pub shard: usize,
    pub zone: usize,
    pub state: State,
    /// Index among the scenarios of the state.
    pub place: usize,
    pub seed: u64,
}

/// A run that violates an expectation.
#[derive(Clone, Debug)]
pub struct Counterexample {
    pub setting: Setting,
    pub world: String,
    pub choices: Vec<Choice>,
    pub broken: Violation,
    pub trail: Vec<Step>,
    pub faults: usize,
    pub dispatches: usize,
}

/// What commands of one setting did over all runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObservedBehavior {
    pub first: std::collections::BTreeSet<usize>,
    pub any: std::collections::BTreeSet<usize>,
    pub tries: usize,
    /// Latest end of each kind in microseconds after arrival: answered, throttled, failed.
    pub latest: [Option<Micros>; 3],
    pub held: Micros,
}

/// Result of a search.
#[derive(Clone, Debug, Default)]
pub struct SearchResult {
    pub tally: SearchStats,
    pub counterexample: Option<Counterexample>,
    pub seen: ObservedBehavior,
}

/// Creates a router from settings and a seed.
pub type RouterFactory<'a, S> = &'a dyn Fn(&SettingsByName, u64) -> Result<S, String>;

/// The subject as seen from another zone.
pub fn from_zone(subject: &Arc<Subject>, zone: usize) -> Arc<Subject> {
    if subject.own_zone == zone {
        return subject.clone();
    }
    let mut other = Subject::clone(subject);
    other.own_zone = zone;
    other.settings_by_name.insert("zone".into(), Value::Number(zone as f64));
    Arc::new(other)
}

/// Commands that arrive for an expectation: earlier ones, then the examined one.
pub fn incoming_commands(
    subject: &Subject,
    expectation: &Expectation,
    command: usize,
    shard: usize,
) -> Arc<Vec<IncomingCommand>> {
    let session = expectation.session.then_some(1);
    let one = |after: Micros, command_group: usize, written_ago: Option<Micros>| IncomingCommand {
        after,
        command_group,
        shard,
        session,
        written_ago,
    };
    let mut all = Vec::new();
    // Where clients send no position along, the session's write must pass through the gateway first.
    let write = subject.command_groups.iter().position(|group| group.writes());
    let before = expectation.written_ago.filter(|_| !subject.figures.carried);
    if let (Some(ago), Some(write)) = (before, write) {
        all.push(one(0, write, None));
        all.push(one(ago, command, expectation.written_ago));
        return Arc::new(all);
    }
    let every = expectation.over / expectation.at_once as Micros;
    let comes = (0..expectation.at_once as Micros).map(|place| place * every);
    all.extend(comes.map(|after| one(after, command, expectation.written_ago)));
    Arc::new(all)
}

/// Visited states with the most faults left. Random numbers are excluded, so that seeds share it.
type VisitedStates = FxHashMap<u64, usize>;

struct Search<'a> {
    must: &'a Requirements,
    faults: &'a [DispatchFate],
    each_once: bool,
    bounds: &'a Bounds<'a>,
    setting: Setting,
    name: String,
    found: SearchResult,
    met: &'a mut VisitedStates,
    path: Vec<Choice>,
    left: u64,
}

/// Searches all scenarios of an expectation. Ends with the fewest faults that violate it.
pub fn expectation<S: CheckedRouter>(
    subject: &Arc<Subject>,
    worlds: &[DescribedWorld],
    expectation: &Expectation,
    bounds: &Bounds,
    make: RouterFactory<S>,
) -> Result<SearchResult, String> {
    let mut total = SearchResult::default();
    for level in 0..=expectation.fault_count {
        let mut found = SearchResult::default();
        let mut met = VisitedStates::default();
        every(subject, worlds, expectation, &mut |subject, start, setting, coming| {
            if setting.seed == 0 {
                met.clear();
            }
            let met = &mut met;
            let one = setting_search(subject, start, setting, coming, expectation, level, bounds, make, met)?;
            found.tally.add(&one.tally);
            found.seen.add(&one.seen);
            let shorter = |old: &Counterexample| match &one.counterexample {
                Some(new) => (new.dispatches, new.trail.len()) < (old.dispatches, old.trail.len()),
                None => false,
            };
            if found.counterexample.as_ref().is_none_or(shorter) && one.counterexample.is_some() {
                found.counterexample = one.counterexample;
            }
            let over = found.tally.runs >= bounds.runs || (bounds.stop)();
            if over && found.tally.cut_short.is_none() {
                let runs = found.tally.runs >= bounds.runs;
                let why = if runs { "the bound on runs was met" } else { "the time was over" };
                found.tally.cut_short = Some(why.into());
            }
            Ok(!over)
        })?;
        (found.tally.seeds, found.tally.faults) = (expectation.seeds, level);
        if expectation.at_once > 1 {
            let why = "the picks of the commands that come with it are left to the seeds";
            found.tally.cut_short.get_or_insert(why.into());
        }
        total = found;
        if total.counterexample.is_some() {
            if level < expectation.fault_count {
                let why = format!("a run with {level} faults breaks it; more were not looked for");
                total.tally.cut_short.get_or_insert(why);
            }
            break;
        }
        if total.tally.runs >= bounds.runs || (bounds.stop)() {
            break;
        }
    }
    Ok(total)
}

type Each<'a> =
    dyn FnMut(&Arc<Subject>, &Start, Setting, Arc<Vec<IncomingCommand>>) -> Result<bool, String> + 'a;

/// Visits all starts of an expectation until `each` returns that it is enough.
fn every(
    subject: &Arc<Subject>,
    worlds: &[DescribedWorld],
    expectation: &Expectation,
    each: &mut Each,
) -> Result<(), String> {
    let lags = expectation.must.lags();
    for zone in &expectation.zones {
        let subject = from_zone(subject, *zone);
        for shard in &expectation.shards {
            for state in &expectation.states {
                let starts = state::starts_with(&subject, worlds, state, *shard, &lags);
                for (place, start) in starts.iter().enumerate() {
                    for command in &expectation.commands {
                        for seed in 0..expectation.seeds {
                            let (command, shard, zone, state) = (*command, *shard, *zone, state.clone());
                            let coming = incoming_commands(&subject, expectation, command, shard);
                            let setting = Setting { command, shard, zone, state, place, seed };
                            if !each(&subject, start, setting, coming)? {
                                return Ok(());
                            }
                        }
                    }
                }
            }
        }
    }
    Ok(())
}

#[allow(clippy::too_many_arguments)]
fn setting_search<S: CheckedRouter>(
    subject: &Arc<Subject>,
    start: &Start,
    setting: Setting,
    coming: Arc<Vec<IncomingCommand>>,
    expectation: &Expectation,
    faults: usize,
    bounds: &Bounds,
    make: RouterFactory<S>,
    met: &mut VisitedStates,
) -> Result<SearchResult, String> {
    let router = make(&subject.settings_by_name, setting.seed)?;
    let world = World::begin(subject.clone(), router, start, coming);
    let mut search = Search {
        must: &expectation.must,
        faults: &expectation.faults,
        each_once: expectation.each_once,
        bounds,
        setting,
        name: start.name.clone(),
        found: SearchResult::default(),
        met,
        path: Vec::new(),
        left: bounds.runs,
    };
    search.found.tally.worlds = 1;
    search.found.tally.calls = world.calls;
    search.from(world, faults);
    Ok(search.found)
}

impl Search<'_> {
    /// Tries everything that may follow from a state, with this many faults left.
    fn from<S: CheckedRouter>(&mut self, anchor: World<S>, faults: usize) {
        let marks = self.marks(&anchor);
        match self.met.get(&marks) {
            Some(left) if *left >= faults => {
                self.found.tally.met += 1;
                return;
            }
            _ => self.met.insert(marks, faults),
        };
        let mut told = Vec::new();
        loop {
            if self.left == 0 || (self.bounds.stop)() {
                let why = if self.left == 0 { "the bound on runs was met" } else { "the time was over" };
                self.found.tally.cut_short.get_or_insert(why.into());
                return;
            }
            let mut world = anchor.clone();
            world.router.prescribe_draws(Some(PrescribedDraws {
                max_bound: MAX_PRESCRIBED_BOUND,
                values: told.clone(),
                drawn: Vec::new(),
            }));
            let before = world.calls;
            let stop = world.run();
            let drawn = world.router.prescribe_draws(None).map_or(Vec::new(), |picks| picks.drawn);
            self.found.tally.calls += world.calls - before;
            let picks: Vec<usize> = drawn.iter().map(|(_, drawn)| *drawn).collect();
            self.stretch(world, stop, picks, faults);
            match next_picks(&drawn) {
                Some(next) => told = next,
                None => return,
            }
        }
    }

    /// Hash of a state, and, where each fault occurs only once, of those that have occurred.
    fn marks<S: CheckedRouter>(&self, world: &World<S>) -> u64 {
        let mut hasher = FxHasher::default();
        world.digest().hash(&mut hasher);
        if self.each_once {
            let mut faults: Vec<DispatchFate> =
                self.path.iter().filter_map(|choice| choice.happens).collect();
            faults.sort_unstable();
            faults.hash(&mut hasher);
        }
        hasher.finish()
    }

    fn stretch<S: CheckedRouter>(
        &mut self,
        world: World<S>,
        stop: PauseReason,
        picks: Vec<usize>,
        faults: usize,
    ) {
        self.path.push(Choice { picks, happens: None });
        match stop {
            PauseReason::Sent { dispatch, server, timeout } => {
                self.found.seen.sent(dispatch, server);
                match judge::sent(self.must, &world, dispatch, server) {
                    Some(broken) => self.broke(&world, broken),
                    None => self.fork(&world, dispatch, server, timeout, faults),
                }
            }
            stop => {
                self.left -= 1;
                self.found.tally.runs += 1;
                self.found.seen.over(&world);
                if let Some(broken) = judge::over(self.must, &world, stop) {
                    self.broke(&world, broken);
                }
            }
        }
        self.path.pop();
    }

    fn fork<S: CheckedRouter>(
        &mut self,
        world: &World<S>,
        dispatch: usize,
        server: usize,
        timeout: Micros,
        faults: usize,
    ) {
        let command = world.hands.len() - 1;
        let in_store = world.in_store(command, server);
        let mut outcomes = vec![None];
        if faults > 0 {
            let met = |fault: &DispatchFate| self.path.iter().any(|choice| choice.happens == Some(*fault));
            let open = |fault: &&DispatchFate| **fault != in_store && !(self.each_once && met(fault));
            outcomes.extend(self.faults.iter().filter(open).copied().map(Some));
        }
        for happens in outcomes {
            let mut fork = world.clone();
            fork.happens(command, dispatch, server, timeout, happens);
            self.found.tally.forks += 1;
            if let Some(choice) = self.path.last_mut() {
                choice.happens = happens;
            }
            self.from(fork, faults - usize::from(happens.is_some()));
        }
    }

    /// Keeps the shortest run that violates the expectation.
    fn broke<S: CheckedRouter>(&mut self, world: &World<S>, broken: Violation) {
        let faults = self.path.iter().filter(|choice| choice.happens.is_some()).count();
        let dispatches = world.last().held.dispatches.len();
        let size = (faults, dispatches, world.trail.len());
        let old = self.found.counterexample.as_ref();
        if old.is_none_or(|old| size < (old.faults, old.dispatches, old.trail.len())) {
            self.found.counterexample = Some(Counterexample {
                setting: self.setting.clone(),
                world: self.name.clone(),
                choices: self.path.clone(),
                broken,
                trail: world.trail.iter().cloned().collect(),
                faults,
                dispatches,
            });
        }
    }
}

/// The next combination of picks: increments the last one possible and resets those after it.
fn next_picks(drawn: &[(usize, usize)]) -> Option<Vec<usize>> {
    let last = drawn.iter().rposition(|(bound, drawn)| drawn + 1 < *bound)?;
    let kept = drawn[..last].iter().map(|(_, drawn)| *drawn);
    Some(kept.chain([drawn[last].1 + 1]).collect())
}

impl ObservedBehavior {
    fn sent(&mut self, dispatch: usize, server: usize) {
        if dispatch == 0 {
            self.first.insert(server);
        }
        self.any.insert(server);
        self.tries = self.tries.max(dispatch + 1);
    }

    fn over<S: CheckedRouter>(&mut self, world: &World<S>) {
        let hand = world.last();
        self.held = self.held.max(hand.idle);
        let Some((at, end)) = hand.end else { return };
        let place = match end {
            End::Answered { .. } => 0,
            End::Throttled => 1,
            End::Failed => 2,
        };
        self.latest[place] = self.latest[place].max(Some(at - hand.held.command.arrived));
    }

    /// Merges other observations.
    pub fn add(&mut self, other: &ObservedBehavior) {
        self.first.extend(&other.first);
        self.any.extend(&other.any);
        self.tries = self.tries.max(other.tries);
        self.held = self.held.max(other.held);
        for (latest, other) in self.latest.iter_mut().zip(other.latest) {
            *latest = (*latest).max(other);
        }
    }
}

/// Repeats a saved run with the same start and choices. `None`: it violates nothing.
pub fn replay_run<S: CheckedRouter>(
    subject: &Arc<Subject>,
    worlds: &[DescribedWorld],
    expectation: &Expectation,
    setting: &Setting,
    choices: &[Choice],
    make: RouterFactory<S>,
) -> Result<(Vec<Step>, Option<Violation>), String> {
    let subject = from_zone(subject, setting.zone);
    let lags = expectation.must.lags();
    let starts = state::starts_with(&subject, worlds, &setting.state, setting.shard, &lags);
    let start = starts.get(setting.place).ok_or("the state has no such world any more")?;
    let coming = incoming_commands(&subject, expectation, setting.command, setting.shard);
    let mut world =
        World::begin(subject.clone(), make(&subject.settings_by_name, setting.seed)?, start, coming);
    for choice in choices {
        world.router.prescribe_draws(Some(PrescribedDraws {
            max_bound: MAX_PRESCRIBED_BOUND,
            values: choice.picks.clone(),
            drawn: Vec::new(),
        }));
        let stop = world.run();
        let PauseReason::Sent { dispatch, server, timeout } = stop else {
            let broken = judge::over(&expectation.must, &world, stop);
            return Ok((world.trail.iter().cloned().collect(), broken));
        };
        if let Some(broken) = judge::sent(&expectation.must, &world, dispatch, server) {
            return Ok((world.trail.iter().cloned().collect(), Some(broken)));
        }
        let command = world.hands.len() - 1;
        world.happens(command, dispatch, server, timeout, choice.happens);
    }
    Ok((world.trail.iter().cloned().collect(), None))
}

/// Servers that an expectation names for some run, by their state in its scenarios, and whether any run reached them.
pub fn named_by(
    subject: &Arc<Subject>,
    worlds: &[DescribedWorld],
    expectation: &Expectation,
    scope: &crate::scope::Scope,
) -> FxHashSet<usize> {
    let mut named = FxHashSet::default();
    let lags = expectation.must.lags();
    for zone in &expectation.zones {
        let subject = from_zone(subject, *zone);
        for shard in &expectation.shards {
            for state in &expectation.states {
                for start in state::starts_with(&subject, worlds, state, *shard, &lags) {
                    let fits = |server: &usize| {
                        scope.has(&subject, *server, &start.truths[*server], crate::world::START_TIME)
                    };
                    named.extend(subject.members(*shard).filter(fits));
                }
            }
        }
    }
    named
}
