//! Where commands meet what was agreed: plans of changes of primary are handed to the holds, and what this gateway
//! knows of them is told to the council's thread. Nothing is decided here, and no command waits for that thread.

use std::collections::BTreeMap;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value as Json, json};
use tansyjunction::interface::*;
use tansyjunction_duties::{Plan, ShardReport, Step};
use tansyjunction_fellows::members::Standing as Seen;
use tansyjunction_handover::Phase;
use tansyjunction_settings::Program;
use tracing::info;

use super::scout::Scouting;
use super::{Due, Gateway};
use crate::council::{self, Asked, Facts, Handle, Order, Planned, Server, Told, Unable, Who};
use crate::run::clock::boottime;

/// How long the council's thread may take to hand on duties after the last command.
const LEAVES_WITHIN: Duration = Duration::from_millis(500);
const TENTHS: usize = 10;

/// What this gateway has of the council.
pub struct Agreeing {
    handle: Handle,
    told: Arc<Told>,
    /// Changes that the holds were told of, by shard: the number of the plan and its target.
    holding: BTreeMap<u32, (u64, String)>,
    /// Of each listed server: its shard, and whether it drains or is gone. None: no list has come yet.
    listed: Option<BTreeMap<usize, (usize, bool)>>,
    /// Names of gateways among the fellows are those of the council.
    same_names: bool,
}

impl Gateway {
    /// Takes part in the council as the settings say; leaves all as it is where they do not.
    pub fn open_council(&mut self, program: &Program) -> Result<(), String> {
        let set = &program.council;
        if !set.enabled {
            return Ok(());
        }
        let now = self.clock.now();
        let who = Who {
            name: &self.deployment.name,
            zone: &self.deployment.zone,
            life: now / 1_000,
            seed: self.deployment.seed ^ now,
        };
        let opened = council::open(set, &who).map_err(|fault| format!("{fault}; {}", fault.remedy()))?;
        let (handle, woken) = opened;
        let told = |(), _: &mut (), gateway: &mut Gateway| gateway.council_told();
        self.handle.insert_source(woken, told).map_err(|error| format!("'council': {error}"))?;
        self.due.add(now + handle.beat, Due::Council);
        let same_names = program.fellows.enabled && !program.fellows.peers.is_empty();
        let (told, holding) = (handle.told(), BTreeMap::new());
        // A list may have come with the configuration, before there was a council.
        let known = self.servers.there();
        let shards = known.iter().filter_map(|server| Some((*server, (self.servers.shard(*server)?, false))));
        let listed = (!known.is_empty()).then(|| shards.collect());
        self.scouting = set.scout.then(|| Scouting::new(set.scout_word));
        self.agreeing = Some(Agreeing { handle, told, holding, listed, same_names });
        self.tell_council(true);
        Ok(())
    }

    /// Something was agreed.
    fn council_told(&mut self) {
        let Some(agreeing) = &mut self.agreeing else { return };
        agreeing.told = agreeing.handle.told();
        self.follow_plans();
        self.tell_council(true);
    }

    /// The beat: facts are told though nothing has changed, and plans that could not be taken up are tried again.
    pub(super) fn council_beat(&mut self, at: Micros) {
        let Some(agreeing) = &self.agreeing else { return };
        let beat = agreeing.handle.beat;
        self.follow_plans();
        self.tell_council(false);
        self.due.add(self.clock.now().max(at) + beat, Due::Council);
    }

    /// A shard has turned to another phase or primary.
    pub(super) fn turned_council(&mut self) {
        if self
            .agreeing
            .as_ref()
            .is_some_and(|agreeing| agreeing.told.plans.values().any(|plan| !plan.is_finished()))
        {
            self.follow_plans();
            self.tell_council(true);
        }
    }

    /// Has the holds do as the agreed plans say. One that is not taken is tried again with the next beat.
    fn follow_plans(&mut self) {
        let now = self.clock.now();
        let Some(agreeing) = &mut self.agreeing else { return };
        let Some(holds) = &mut self.holds else { return };
        for (shard, plan) in &agreeing.told.plans {
            let name = shard.to_string();
            let Some(place) = self.groups.find(&name) else { continue };
            let held = agreeing.holding.get(shard).is_some_and(|(number, _)| *number == plan.number);
            let holds_for = agreeing.holding.get(shard).map(|(_, to)| to.clone());
            if !held && let Some(to) = holds_for {
                // Another plan has come after it.
                agreeing.holding.remove(shard);
                abort(holds, now, place, self.servers_named.find(&to));
            }
            match plan.step {
                Step::Announced | Step::Switching if !held && plan.stop.is_none() => {
                    let Some(target) = self.servers_named.find(&plan.to) else { continue };
                    if holds.handover.plan_change(now, place, target).is_ok() {
                        agreeing.holding.insert(*shard, (plan.number, plan.to.clone()));
                        info!(target: "servers", "shard {name} is to be led by {} as agreed", plan.to);
                    }
                }
                Step::Done | Step::Aborted if held => {
                    agreeing.holding.remove(shard);
                    abort(holds, now, place, self.servers_named.find(&plan.to));
                }
                _ => {}
            }
        }
    }

    /// Who scouts a group, other than by an agreed state that may be old.
    pub(super) fn scout_of(&self, group: &str) -> Option<String> {
        let agreeing = self.agreeing.as_ref().filter(|agreeing| agreeing.same_names)?;
        let scouts = agreeing.handle.scouts();
        scouts.of.get(group).filter(|_| boottime() < scouts.until).cloned()
    }

    fn tell_council(&self, at_once: bool) {
        let Some(agreeing) = &self.agreeing else { return };
        let under_way = agreeing.told.plans.iter().filter(|(_, plan)| !plan.is_finished());
        let planned: BTreeMap<u32, Planned> =
            under_way.map(|(shard, plan)| (*shard, self.planned(agreeing, *shard, plan))).collect();
        let company = self.company.as_ref().map(|company| company.members());
        let health = company.map_or(0, |members| members.health().min(u32::from(u8::MAX)) as u8);
        let suspected = company.into_iter().filter(|_| agreeing.same_names).flat_map(|members| {
            members.all().filter(|seen| seen.standing != Seen::Alive).map(|seen| seen.fellow.name.clone())
        });
        let held = self.clients.count() + self.servers.count();
        let free = self.deployment.sockets.saturating_sub(held) * TENTHS / self.deployment.sockets;
        let facts = Facts {
            at: boottime(),
            taken: agreeing.told.newest,
            health,
            room: if self.stops.is_some() { 0 } else { free.max(1) as u8 },
            leaves: self.stops.is_some(),
            suspected: suspected.collect(),
            planned,
            scouted: self.scouting.as_ref().map_or(BTreeMap::new(), |scouting| scouting.done(&self.groups)),
        };
        agreeing.handle.tell(facts, at_once);
    }

    /// What is known here of a shard whose primary is to change.
    fn planned(&self, agreeing: &Agreeing, shard: u32, plan: &Plan) -> Planned {
        let Some(place) = self.groups.find(&shard.to_string()) else { return Planned::default() };
        let status = self.holds.as_ref().and_then(|holds| holds.handover.shard_status(place));
        let word = status.and_then(|status| {
            let target = self.servers_named.find(&plan.to);
            let held = agreeing.holding.get(&shard).is_some_and(|(number, _)| *number == plan.number);
            if held && status.phase == Phase::Electing && status.target.is_some() && status.target == target {
                return Some(ShardReport::Drained { number: plan.number });
            }
            // Who holds writes sends none to anybody.
            let sends = status.phase.accepts_writes() || status.phase == Phase::Releasing;
            let primary = status.primary.filter(|_| sends)?;
            Some(ShardReport::Leads { server: self.servers_named.name(primary).into() })
        });
        let servers = agreeing.listed.as_ref().map(|listed| {
            let members = listed.iter().filter(|(_, (of, _))| *of == place);
            let known = members.filter_map(|(server, (_, leaving))| {
                let address = self.servers.address(*server)?;
                let name = self.servers_named.name(*server).to_string();
                Some((name, Server { address, leaving: *leaving }))
            });
            known.collect()
        });
        Planned { word, servers }
    }

    pub(super) fn list_tells_council(&mut self, entries: &[ServerListEntry], whole: bool) {
        let Some(agreeing) = &mut self.agreeing else { return };
        let listed = agreeing.listed.get_or_insert_default();
        if whole {
            listed.clear();
        }
        for entry in entries {
            listed.insert(entry.server, (entry.group, entry.state != ServerState::Serving));
        }
        self.tell_council(false);
    }

    /// An operator's word for the council: Ok where the other thread answers it.
    pub(super) fn council_asked(&self, word: &Json, stream: &UnixStream) -> Result<(), Json> {
        let error = |why: Unable| council::unable(&why);
        let agreeing = self.agreeing.as_ref().ok_or(Unable::Off).map_err(error)?;
        let shard = self.council_shard(word).map_err(error)?;
        let stream = stream.try_clone().map_err(|error| json!({ "error": error.to_string() }))?;
        let asked = Asked { word: word.clone(), stream, shard };
        match agreeing.handle.order(Order::Answer(asked)) {
            true => Ok(()),
            false => Err(error(Unable::Silent)),
        }
    }

    /// The shard that a word names, its primary, and whether its target is fit.
    fn council_shard(&self, word: &Json) -> Result<Option<(u32, String)>, Unable> {
        let Some(name) = word["shard"].as_str() else { return Ok(None) };
        let number = name.parse::<u32>().map_err(|_| Unable::NoNumber(name.into()))?;
        if word["what"] != "plan" {
            return Ok(Some((number, String::new())));
        }
        let to = word["to"].as_str().ok_or(Unable::Missing("to"))?;
        let place = self.groups.find(name).ok_or_else(|| Unable::NoShard(name.into()))?;
        let target = self.servers_named.find(to).filter(|server| self.servers.shard(*server) == Some(place));
        let target = target.ok_or_else(|| Unable::NoServer { server: to.into(), shard: name.into() })?;
        let status = self.holds.as_ref().and_then(|holds| holds.handover.shard_status(place));
        let primary = status.and_then(|status| status.primary);
        let primary = primary.ok_or_else(|| Unable::NoPrimary(name.into()))?;
        if primary == target {
            return Err(Unable::Leads { server: to.into(), shard: name.into() });
        }
        Ok(Some((number, self.servers_named.name(primary).into())))
    }

    /// SIGTERM has come.
    pub(super) fn leave_council(&self) {
        self.tell_council(true);
    }

    /// SIGHUP has come: the keys may have changed.
    pub(super) fn rekey_council(&self) {
        if let Some(agreeing) = &self.agreeing {
            agreeing.handle.order(Order::Rekey);
        }
    }

    /// All is answered: the council's thread ends.
    pub fn end_council(&mut self) {
        if let Some(agreeing) = self.agreeing.take() {
            agreeing.handle.join(LEAVES_WITHIN);
        }
    }
}

/// Takes back what an agreed plan had the holds do, unless they are past it or an operator has other plans.
fn abort(holds: &mut super::holds::Holds, now: Micros, place: usize, target: Option<usize>) {
    let status = holds.handover.shard_status(place);
    if target.is_some() && status.and_then(|status| status.target) == target {
        // Refused only where nothing is under way any more.
        let _ = holds.handover.abort_change(now, place);
    }
}
