//! Model check of a change of primary: two gateways conduct it in turn, the earlier one may not know that its term is
//! over; the store's answers may be lost, and an operator may abort.

use stateright::{Checker, HasDiscoveries, Model, Property};
use tansyjunction_duties::seeded_faults::{self, SeededFault};
use tansyjunction_duties::*;

const NAMES: [&str; 2] = ["n0", "n1"];

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Left {
    moves: u8,
    lates: u8,
    offs: u8,
    losses: u8,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Conductor {
    copy: SharedState,
    stopped: u64,
    /// Epoch of the following: the store's answer under it, and whether the store was told.
    epoch: u64,
    told: Option<(String, SwitchResult)>,
    telling: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    left: Left,
    agreed: SharedState,
    conductors: Vec<Conductor>,
    flying: Vec<(usize, Entry)>,
    statements: Vec<(usize, Switch)>,
    answers: Vec<(usize, Switch, SwitchResult)>,
    drained: [bool; 2],
    primary: String,
    fences: EpochFence,
    undrained: bool,
    order: Vec<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Conduct(usize, bool),
    Decide(usize),
    Fetch(usize),
    Store(usize),
    Hear(usize),
    Lose(usize),
    Say(usize),
    Move,
    CallOff,
}

struct Small {
    slip: Option<SeededFault>,
    left: Left,
}

impl World {
    fn new(left: Left) -> World {
        let (conductors, flying) = (vec![Conductor::default(); 2], Vec::new());
        let (statements, answers, order) = Default::default();
        let (agreed, fences, primary) = (SharedState::default(), EpochFence::default(), "a".to_string());
        let drained = [false; 2];
        let mut world = World {
            left,
            agreed,
            conductors,
            flying,
            statements,
            answers,
            drained,
            primary,
            fences,
            undrained: false,
            order,
        };
        (0..2).for_each(|g| world.say(g, None));
        world.apply(&Plan::announce(&world.agreed, 0, ["a", "b"], "new disks", "op").expect("no other"));
        world.apply(&Entry::Open { duty: conductor_duty_of(0), scope: Scope::Shard(0) });
        world.apply(&Entry::Grant { duty: conductor_duty_of(0), after_epoch: 0, to: "n0".into() });
        world.drained[0] = true;
        let number = world.plan().number;
        world.say(0, Some(ShardReport::Drained { number }));
        (0..2).for_each(|c| world.fetch(c));
        world
    }

    fn apply(&mut self, entry: &Entry) {
        let mut next = self.agreed.clone();
        let outcome = next.apply(next.index + 1, entry);
        // A rejected entry changes only the index, so the state is the same.
        if matches!(outcome, Outcome::Done { .. } | Outcome::Renewed(_)) {
            self.agreed = next;
        }
    }

    fn plan(&self) -> Plan {
        Plan::read(&self.agreed, 0).expect("a plan").0
    }

    fn stands(&self, steps: &[Step]) -> bool {
        steps.contains(&self.plan().step)
    }

    fn say(&mut self, g: usize, word: Option<ShardReport>) {
        let number = self.agreed.attending.get(NAMES[g]).map_or(0, |attends| attends.number) + 1;
        let says = word.iter().map(|word| word.to_entry(0)).collect();
        let (gateway, taken) = (NAMES[g].into(), self.agreed.newest);
        let renewal = Renewal { gateway, life: 1, number, taken, room: 9, says, ..Renewal::default() };
        self.apply(&Entry::Renewals(vec![renewal]));
    }

    fn fetch(&mut self, c: usize) {
        let copy = &mut self.conductors[c].copy;
        self.agreed.changes_since(copy.index, 10_000).iter().for_each(|change| copy.apply_change(change));
    }

    /// The duty goes to the other gateway; the previous holder may learn of it much later.
    fn moves(&mut self) {
        let Some(duty) = self.agreed.duties.get(&conductor_duty_of(0)).cloned() else { return };
        let Some((holder, _)) = duty.holder else { return };
        let (name, epoch) = (conductor_duty_of(0), duty.epoch);
        self.apply(&Entry::Expire { duty: name.clone(), epoch, renewal: duty.renewal });
        let to = NAMES[usize::from(holder == NAMES[0])].into();
        self.apply(&Entry::Grant { duty: name, after_epoch: epoch, to });
    }

    fn next(&self, c: usize, late: bool) -> Option<(u64, ConductorAction)> {
        let conductor = &self.conductors[c];
        let held = conductor.copy.held_by(NAMES[c], 1).next().map(|(_, epoch)| epoch);
        let epoch = held.filter(|epoch| *epoch > conductor.stopped)?;
        let mine = conductor.epoch == epoch;
        let told = conductor.told.clone().filter(|_| mine);
        let telling = conductor.telling && mine;
        let seen = ConductorView {
            step_for: u64::from(late),
            step_timeout: 1,
            target_lost: false,
            switch_result: told,
            switch_pending: telling,
        };
        Some((epoch, next_action(&conductor.copy, 0, NAMES[c], epoch, &seen)))
    }

    fn conduct(&mut self, c: usize, late: bool) -> Option<()> {
        let (epoch, next) = self.next(c, late)?;
        let conductor = &mut self.conductors[c];
        if conductor.epoch != epoch {
            (conductor.epoch, conductor.told, conductor.telling) = (epoch, None, false);
        }
        let entry = match next {
            ConductorAction::Nothing | ConductorAction::Wait(_) => return None,
            ConductorAction::Propose(entry) => entry,
            ConductorAction::SendSwitch(switch) => {
                conductor.telling = true;
                self.statements.push((c, switch));
                return Some(());
            }
            ConductorAction::Release(why) => {
                conductor.stopped = epoch;
                Entry::Release { duty: conductor_duty_of(0), epoch, why }
            }
            ConductorAction::Close(entry) => {
                conductor.stopped = epoch;
                entry
            }
        };
        // One proposal per gateway at a time.
        (self.flying.iter().all(|(by, _)| *by != c)).then(|| self.flying.push((c, entry)))
    }

    fn hear(&mut self, i: usize, lost: bool) {
        let (c, switch, answer) = self.answers.remove(i);
        let conductor = &mut self.conductors[c];
        if conductor.epoch == switch.epoch {
            let answer = if lost { SwitchResult::Unknown } else { answer };
            (conductor.told, conductor.telling) = (Some((switch.to, answer)), false);
        }
    }
}

impl Small {
    fn new(slip: Option<SeededFault>, [moves, lates, offs, losses]: [u8; 4]) -> Small {
        Small { slip, left: Left { moves, lates, offs, losses } }
    }
}

impl Model for Small {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        vec![World::new(self.left)]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        acts.extend([Act::Move, Act::CallOff]);
        acts.extend((0..world.flying.len()).map(Act::Decide));
        acts.extend((0..world.statements.len()).map(Act::Store));
        acts.extend((0..world.answers.len()).flat_map(|i| [Act::Hear(i), Act::Lose(i)]));
        for c in 0..2 {
            acts.extend([Act::Conduct(c, false), Act::Conduct(c, true), Act::Say(c)]);
            let news = world.agreed.changes_since(world.conductors[c].copy.index, 10_000).len() > 1;
            acts.extend(news.then_some(Act::Fetch(c)));
        }
    }

    fn next_state(&self, world: &World, act: Act) -> Option<World> {
        seeded_faults::with_fault(self.slip, || {
            let mut next = world.clone();
            match act {
                Act::Conduct(c, late) => {
                    if late {
                        next.left.lates = next.left.lates.checked_sub(1)?;
                    }
                    next.conduct(c, late)?;
                }
                Act::Decide(i) => {
                    let (_, entry) = next.flying.remove(i);
                    next.apply(&entry);
                }
                Act::Fetch(c) => next.fetch(c),
                Act::Store(i) => {
                    let (c, switch) = next.statements.remove(i);
                    let answer = match next.fences.check("0", switch.epoch) {
                        Ok(()) => {
                            next.undrained |= switch.to == "b" && next.drained != [true; 2];
                            next.primary.clone_from(&switch.to);
                            next.order.push(switch.epoch);
                            SwitchResult::Confirmed
                        }
                        Err(_) => SwitchResult::Fenced,
                    };
                    next.answers.push((c, switch, answer));
                }
                Act::Hear(i) => next.hear(i, false),
                Act::Lose(i) => {
                    next.left.losses = next.left.losses.checked_sub(1)?;
                    next.hear(i, true);
                }
                Act::Say(g) => {
                    let plan = next.plan();
                    let word = match plan.step {
                        Step::Announced => ShardReport::Drained { number: plan.number },
                        Step::Switched if next.primary == "b" => ShardReport::Leads { server: "b".into() },
                        _ => return None,
                    };
                    let (key, value) = word.to_entry(0);
                    // In a fixed order.
                    (g == 0 || next.agreed.attending[NAMES[0]].says.get(&key) == Some(&value))
                        .then_some(())?;
                    let said = next.agreed.attending[NAMES[g]].says.get(&key) == Some(&value);
                    (!said).then_some(())?;
                    next.drained[g] = true;
                    next.say(g, Some(word));
                }
                Act::Move => {
                    next.left.moves = next.left.moves.checked_sub(1)?;
                    next.moves();
                }
                Act::CallOff => {
                    next.left.offs = next.left.offs.checked_sub(1)?;
                    let entry = Plan::abort(&next.agreed, 0, "not today", "op")?;
                    next.flying.push((2, entry));
                }
            }
            // A vacant duty of a plan in progress is granted again.
            let vacant = |duty: &Duty| matches!(duty.standing, Standing::Vacant { .. }).then_some(duty.epoch);
            let vacant = next.agreed.duties.get(&conductor_duty_of(0)).and_then(vacant);
            if let Some(after_epoch) = vacant.filter(|_| !next.plan().is_finished()) {
                let to = NAMES[(after_epoch % 2) as usize].into();
                next.apply(&Entry::Grant { duty: conductor_duty_of(0), after_epoch, to });
            }
            Some(next)
        })
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no switch before all have drained", |_, world: &World| !world.undrained),
            Property::always("what was called off stays", |_, world: &World| {
                !world.stands(&[Step::Aborted]) || world.primary == "a"
            }),
            Property::always("what is told done is done", |_, world: &World| {
                !world.stands(&[Step::Switched, Step::Done]) || world.primary == "b"
            }),
            Property::always("the store acts in order of epochs", |_, world: &World| {
                world.order.windows(2).all(|pair| pair[0] <= pair[1])
            }),
        ]
    }
}

fn search(small: Small) -> impl Checker<Small> {
    small
        .checker()
        .threads(2)
        .finish_when(HasDiscoveries::AnyFailures)
        .target_state_count(1_500_000)
        .spawn_bfs()
        .join()
}

#[test]
fn a_change_is_never_half_true_whoever_conducts_it() {
    for (name, left) in [
        ("moved", [2, 0, 0, 0]),
        ("unheard", [1, 0, 0, 1]),
        ("called off", [1, 0, 1, 0]),
        ("late", [1, 1, 0, 0]),
    ] {
        let checker = search(Small::new(None, left));
        println!("{name}: {} states, depth {}", checker.unique_state_count(), checker.max_depth());
        checker.assert_properties();
        assert!(checker.unique_state_count() > 1_000, "{name}: {}", checker.unique_state_count());
    }
}

#[test]
fn each_mistake_in_conducting_is_found() {
    for (slip, left, found) in [
        (SeededFault::Undrained, [0, 0, 0, 0], "no switch before all have drained"),
        (SeededFault::TakesForDone, [1, 0, 0, 0], "what is told done is done"),
        (SeededFault::AbortsAtOnce, [1, 0, 1, 0], "what was called off stays"),
        (SeededFault::NoFence, [1, 0, 1, 0], "the store acts in order of epochs"),
    ] {
        let checker = search(Small::new(Some(slip), left));
        let broken: Vec<&str> = checker.discoveries().into_keys().collect();
        println!("{slip:?}: {broken:?} after {} states", checker.unique_state_count());
        assert!(broken.contains(&found), "{slip:?}: {broken:?}");
    }
}
