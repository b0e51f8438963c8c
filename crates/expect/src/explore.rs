//! The search: every pick of chance and every outcome that an expectation asks for, from every world of its states,
//! the runs with the fewest faults first.
//!
//! A run goes from one dispatch of the command that is looked at to the next. There the world is forked, once for each
//! outcome. Between two dispatches only chance is open: the stretch is run again from the last fork with the next
//! pick. Worlds that were met before with as many faults left are dropped.

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use rustc_hash::{FxHashMap, FxHashSet, FxHasher};
use tansyjunction::interface::*;

use crate::expectation::{Expectation, Must};
use crate::judge::{self, Broken};
use crate::state::{self, Described, State};
use crate::steer::Steer;
use crate::subject::Subject;
use crate::truth::Happens;
use crate::world::{Coming, End, Start, Step, Stop, World};

/// Picks among up to so many are all tried; wider draws stay with the seeds.
const PICKS_MOST: usize = 64;

/// Bounds that the caller sets.
pub struct Bounds<'a> {
    /// Runs of one expectation.
    pub runs: u64,
    /// Tells when the time is over.
    pub stop: &'a dyn Fn() -> bool,
}

/// What was looked at, and whether that was all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Worlds begun, one for each seed; runs to their end; forks; worlds dropped since they had been met.
    pub worlds: u64,
    pub runs: u64,
    pub forks: u64,
    pub met: u64,
    /// Calls on the router.
    pub calls: u64,
    pub seeds: u64,
    /// Faults in one run at most.
    pub faults: usize,
    /// Why the search was not exhaustive within its faults; None: it was.
    pub cut_short: Option<String>,
}

impl Tally {
    pub fn add(&mut self, other: &Tally) {
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

/// What was decided at one fork: the picks on the way there, and what became of the dispatch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    pub picks: Vec<usize>,
    /// None: what the world had in store, or the run's end.
    pub happens: Option<Happens>,
}

/// One beginning, fully told: what is needed to run it again.
#[derive(Clone, Debug)]
pub struct Setting {
    pub command: usize,
    pub shard: usize,
    pub zone: usize,
    pub state: State,
    /// Which world of the state.
    pub place: usize,
    pub seed: u64,
}

/// A run that breaks an expectation.
#[derive(Clone, Debug)]
pub struct Counterexample {
    pub setting: Setting,
    pub world: String,
    pub choices: Vec<Choice>,
    pub broken: Broken,
    pub trail: Vec<Step>,
    pub faults: usize,
    pub dispatches: usize,
}

/// What commands of one setting did, over all runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    pub first: std::collections::BTreeSet<usize>,
    pub any: std::collections::BTreeSet<usize>,
    pub tries: usize,
    /// The latest of each kind of end, in microseconds after the arrival: answered, throttled, failed.
    pub latest: [Option<Micros>; 3],
    pub held: Micros,
}

#[derive(Clone, Debug, Default)]
pub struct Found {
    pub tally: Tally,
    pub counterexample: Option<Counterexample>,
    pub seen: Seen,
}

/// Makes a router from settings and a seed.
pub type Make<'a, S> = &'a dyn Fn(&SettingsByName, u64) -> Result<S, String>;

/// A subject as it looks from another zone.
pub fn from_zone(subject: &Arc<Subject>, zone: usize) -> Arc<Subject> {
    if subject.own_zone == zone {
        return subject.clone();
    }
    let mut other = Subject::clone(subject);
    other.own_zone = zone;
    other.settings_by_name.insert("zone".into(), Value::Number(zone as f64));
    Arc::new(other)
}

/// What comes to the gateway for an expectation: the command that is looked at last, others before it.
pub fn coming(
    subject: &Subject,
    expectation: &Expectation,
    command: usize,
    shard: usize,
) -> Arc<Vec<Coming>> {
    let session = expectation.session.then_some(1);
    let one = |after: Micros, command_group: usize, written_ago: Option<Micros>| Coming {
        after,
        command_group,
        shard,
        session,
        written_ago,
    };
    let mut all = Vec::new();
    // Where clients bring no mark along, the session's write has to pass through the gateway first.
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

/// Worlds met, and with how many faults left at most. Chance is no part of them, so that seeds share it.
type Met = FxHashMap<u64, usize>;

struct Search<'a> {
    must: &'a Must,
    faults: &'a [Happens],
    each_once: bool,
    bounds: &'a Bounds<'a>,
    setting: Setting,
    name: String,
    found: Found,
    met: &'a mut Met,
    path: Vec<Choice>,
    left: u64,
}

/// Looks at one expectation in every world that it names. The search ends with the fewest faults that break it.
pub fn expectation<S: Steer>(
    subject: &Arc<Subject>,
    worlds: &[Described],
    expectation: &Expectation,
    bounds: &Bounds,
    make: Make<S>,
) -> Result<Found, String> {
    let mut total = Found::default();
    for level in 0..=expectation.fault_count {
        let mut found = Found::default();
        let mut met = Met::default();
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

type Each<'a> = dyn FnMut(&Arc<Subject>, &Start, Setting, Arc<Vec<Coming>>) -> Result<bool, String> + 'a;

/// Goes through all beginnings of an expectation, until `each` says that it is enough.
fn every(
    subject: &Arc<Subject>,
    worlds: &[Described],
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
                            let coming = coming(&subject, expectation, command, shard);
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
fn setting_search<S: Steer>(
    subject: &Arc<Subject>,
    start: &Start,
    setting: Setting,
    coming: Arc<Vec<Coming>>,
    expectation: &Expectation,
    faults: usize,
    bounds: &Bounds,
    make: Make<S>,
    met: &mut Met,
) -> Result<Found, String> {
    let router = make(&subject.settings_by_name, setting.seed)?;
    let world = World::begin(subject.clone(), router, start, coming);
    let mut search = Search {
        must: &expectation.must,
        faults: &expectation.faults,
        each_once: expectation.each_once,
        bounds,
        setting,
        name: start.name.clone(),
        found: Found::default(),
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
    /// Tries all that may follow from a world, with so many faults left.
    fn from<S: Steer>(&mut self, anchor: World<S>, faults: usize) {
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
            world.router.picks(Some(PrescribedDraws {
                max_bound: PICKS_MOST,
                values: told.clone(),
                drawn: Vec::new(),
            }));
            let before = world.calls;
            let stop = world.run();
            let drawn = world.router.picks(None).map_or(Vec::new(), |picks| picks.drawn);
            self.found.tally.calls += world.calls - before;
            let picks: Vec<usize> = drawn.iter().map(|(_, drawn)| *drawn).collect();
            self.stretch(world, stop, picks, faults);
            match next_picks(&drawn) {
                Some(next) => told = next,
                None => return,
            }
        }
    }

    /// Marks of a world, and where each fault comes once only, of those that were met on the way.
    fn marks<S: Steer>(&self, world: &World<S>) -> u64 {
        let mut hasher = FxHasher::default();
        world.digest().hash(&mut hasher);
        if self.each_once {
            let mut faults: Vec<Happens> = self.path.iter().filter_map(|choice| choice.happens).collect();
            faults.sort_unstable();
            faults.hash(&mut hasher);
        }
        hasher.finish()
    }

    fn stretch<S: Steer>(&mut self, world: World<S>, stop: Stop, picks: Vec<usize>, faults: usize) {
        self.path.push(Choice { picks, happens: None });
        match stop {
            Stop::Sent { dispatch, server, timeout } => {
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

    fn fork<S: Steer>(
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
            let met = |fault: &Happens| self.path.iter().any(|choice| choice.happens == Some(*fault));
            let open = |fault: &&Happens| **fault != in_store && !(self.each_once && met(fault));
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

    /// Keeps the shortest run that breaks what must hold.
    fn broke<S: Steer>(&mut self, world: &World<S>, broken: Broken) {
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

/// The picks after these: the last that can go up does, and those behind it start anew.
fn next_picks(drawn: &[(usize, usize)]) -> Option<Vec<usize>> {
    let last = drawn.iter().rposition(|(bound, drawn)| drawn + 1 < *bound)?;
    let kept = drawn[..last].iter().map(|(_, drawn)| *drawn);
    Some(kept.chain([drawn[last].1 + 1]).collect())
}

impl Seen {
    fn sent(&mut self, dispatch: usize, server: usize) {
        if dispatch == 0 {
            self.first.insert(server);
        }
        self.any.insert(server);
        self.tries = self.tries.max(dispatch + 1);
    }

    fn over<S: Steer>(&mut self, world: &World<S>) {
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

    pub fn add(&mut self, other: &Seen) {
        self.first.extend(&other.first);
        self.any.extend(&other.any);
        self.tries = self.tries.max(other.tries);
        self.held = self.held.max(other.held);
        for (latest, other) in self.latest.iter_mut().zip(other.latest) {
            *latest = (*latest).max(other);
        }
    }
}

/// Runs one saved run again: the same beginning, the same choices. None: it ends before it breaks anything.
pub fn again<S: Steer>(
    subject: &Arc<Subject>,
    worlds: &[Described],
    expectation: &Expectation,
    setting: &Setting,
    choices: &[Choice],
    make: Make<S>,
) -> Result<(Vec<Step>, Option<Broken>), String> {
    let subject = from_zone(subject, setting.zone);
    let lags = expectation.must.lags();
    let starts = state::starts_with(&subject, worlds, &setting.state, setting.shard, &lags);
    let start = starts.get(setting.place).ok_or("the state has no such world any more")?;
    let coming = coming(&subject, expectation, setting.command, setting.shard);
    let mut world =
        World::begin(subject.clone(), make(&subject.settings_by_name, setting.seed)?, start, coming);
    for choice in choices {
        world.router.picks(Some(PrescribedDraws {
            max_bound: PICKS_MOST,
            values: choice.picks.clone(),
            drawn: Vec::new(),
        }));
        let stop = world.run();
        let Stop::Sent { dispatch, server, timeout } = stop else {
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

/// Servers that an expectation names for some run, by how they stand in its worlds, and whether any run reached them.
pub fn named_by(
    subject: &Arc<Subject>,
    worlds: &[Described],
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
                        scope.has(&subject, *server, &start.truths[*server], crate::world::BEGIN)
                    };
                    named.extend(subject.members(*shard).filter(fits));
                }
            }
        }
    }
    named
}
