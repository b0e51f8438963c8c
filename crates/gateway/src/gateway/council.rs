//! Consensus in the serving thread: passes agreed plans to the handover, and this gateway's knowledge to the consensus
//! thread. Makes no decisions, and no command waits for that thread.

use std::collections::BTreeMap;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value as Json, json};
use tansyjunction::interface::*;
use tansyjunction_duties::{Plan, ShardReport, Step};
use tansyjunction_fellows::membership::PeerStatus as Seen;
use tansyjunction_handover::Phase;
use tansyjunction_settings::ProgramSettings;
use tracing::info;

use super::scout::SharedProbing;
use super::{Due, Gateway};
use crate::council::{
    self, AgreedPlans, Facts, Handle, Identity, OperatorRequest, PlannedShard, RequestError, Server,
    ThreadCommand,
};
use crate::run::clock::boottime;

/// Time for the consensus thread to hand over duties after the last command.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);
const TENTHS: usize = 10;

/// The serving thread's side of the consensus.
pub struct Consensus {
    handle: Handle,
    agreed_plans: Arc<AgreedPlans>,
    /// Changes passed to the handover, by shard: number of the plan and its target.
    plans_in_handover: BTreeMap<u32, (u64, String)>,
    /// Shard of each listed server, and whether it drains or is gone. `None`: no list yet.
    listed: Option<BTreeMap<usize, (usize, bool)>>,
    /// Whether the names of the membership are those of the consensus.
    same_names: bool,
}

impl Gateway {
    /// Starts the consensus thread if the settings enable it.
    pub fn open_consensus(&mut self, program: &ProgramSettings) -> Result<(), String> {
        let set = &program.council;
        if !set.enabled {
            return Ok(());
        }
        let now = self.clock.now();
        let who = Identity {
            name: &self.deployment.name,
            zone: &self.deployment.zone,
            life: now / 1_000,
            seed: self.deployment.seed ^ now,
        };
        let opened = council::open(set, &who).map_err(|fault| format!("{fault}; {}", fault.remedy()))?;
        let (handle, woken) = opened;
        let told = |(), _: &mut (), gateway: &mut Gateway| gateway.on_agreed();
        self.handle.insert_source(woken, told).map_err(|error| format!("'council': {error}"))?;
        self.due.add(now + handle.beat, Due::Council);
        let same_names = program.fellows.enabled && !program.fellows.peers.is_empty();
        let (told, holding) = (handle.agreed(), BTreeMap::new());
        // A list in the configuration may have been applied before.
        let known = self.servers.present();
        let shards = known.iter().filter_map(|server| Some((*server, (self.servers.shard(*server)?, false))));
        let listed = (!known.is_empty()).then(|| shards.collect());
        self.probing = set.scout.then(|| SharedProbing::new(set.scout_word));
        self.consensus =
            Some(Consensus { handle, agreed_plans: told, plans_in_handover: holding, listed, same_names });
        self.report_facts(true);
        Ok(())
    }

    /// Handles newly agreed state.
    fn on_agreed(&mut self) {
        let Some(agreeing) = &mut self.consensus else { return };
        agreeing.agreed_plans = agreeing.handle.agreed();
        self.apply_plans();
        self.report_facts(true);
    }

    /// Reports facts periodically even if unchanged, and retries plans that could not be applied.
    pub(super) fn consensus_timer(&mut self, at: Micros) {
        let Some(agreeing) = &self.consensus else { return };
        let beat = agreeing.handle.beat;
        self.apply_plans();
        self.report_facts(false);
        self.due.add(self.clock.now().max(at) + beat, Due::Council);
    }

    /// Handles a change of phase or primary in a shard.
    pub(super) fn consensus_on_phase(&mut self) {
        if self
            .consensus
            .as_ref()
            .is_some_and(|agreeing| agreeing.agreed_plans.plans.values().any(|plan| !plan.is_finished()))
        {
            self.apply_plans();
            self.report_facts(true);
        }
    }

    /// Applies the agreed plans to the handover. Rejected ones are retried periodically.
    fn apply_plans(&mut self) {
        let now = self.clock.now();
        let Some(agreeing) = &mut self.consensus else { return };
        let Some(holds) = &mut self.handover else { return };
        for (shard, plan) in &agreeing.agreed_plans.plans {
            let name = shard.to_string();
            let Some(place) = self.groups.find(&name) else { continue };
            let held =
                agreeing.plans_in_handover.get(shard).is_some_and(|(number, _)| *number == plan.number);
            let holds_for = agreeing.plans_in_handover.get(shard).map(|(_, to)| to.clone());
            if !held && let Some(to) = holds_for {
                // Another plan follows it.
                agreeing.plans_in_handover.remove(shard);
                abort(holds, now, place, self.servers_named.find(&to));
            }
            match plan.step {
                Step::Announced | Step::Switching if !held && plan.stop.is_none() => {
                    let Some(target) = self.servers_named.find(&plan.to) else { continue };
                    if holds.handover.plan_change(now, place, target).is_ok() {
                        agreeing.plans_in_handover.insert(*shard, (plan.number, plan.to.clone()));
                        info!(target: "servers", "starting the agreed change of shard {name} to {}", plan.to);
                    }
                }
                Step::Done | Step::Aborted if held => {
                    agreeing.plans_in_handover.remove(shard);
                    abort(holds, now, place, self.servers_named.find(&plan.to));
                }
                _ => {}
            }
        }
    }

    /// Holder of a group's probing duty, unless the agreed state may be outdated.
    pub(super) fn probing_holder(&self, group: &str) -> Option<String> {
        let agreeing = self.consensus.as_ref().filter(|agreeing| agreeing.same_names)?;
        let scouts = agreeing.handle.probing_holders();
        scouts.by_group.get(group).filter(|_| boottime() < scouts.until).cloned()
    }

    fn report_facts(&self, at_once: bool) {
        let Some(agreeing) = &self.consensus else { return };
        let under_way = agreeing.agreed_plans.plans.iter().filter(|(_, plan)| !plan.is_finished());
        let planned: BTreeMap<u32, PlannedShard> =
            under_way.map(|(shard, plan)| (*shard, self.planned_shard(agreeing, *shard, plan))).collect();
        let members = self.membership.as_ref().map(|membership| membership.members());
        let health = members.map_or(0, |members| members.health().min(u32::from(u8::MAX)) as u8);
        let suspected = members.into_iter().filter(|_| agreeing.same_names).flat_map(|members| {
            members.all().filter(|seen| seen.standing != Seen::Alive).map(|seen| seen.identity.name.clone())
        });
        let held = self.clients.count() + self.servers.count();
        let free = self.deployment.sockets.saturating_sub(held) * TENTHS / self.deployment.sockets;
        let facts = Facts {
            at: boottime(),
            adopted: agreeing.agreed_plans.newest,
            health,
            room: if self.stop_deadline.is_some() { 0 } else { free.max(1) as u8 },
            shutting_down: self.stop_deadline.is_some(),
            suspected: suspected.collect(),
            planned,
            probing: self.probing.as_ref().map_or(BTreeMap::new(), |scouting| scouting.done(&self.groups)),
        };
        agreeing.handle.report(facts, at_once);
    }

    /// What this gateway knows about a shard whose primary is to change.
    fn planned_shard(&self, agreeing: &Consensus, shard: u32, plan: &Plan) -> PlannedShard {
        let Some(place) = self.groups.find(&shard.to_string()) else { return PlannedShard::default() };
        let status = self.handover.as_ref().and_then(|holds| holds.handover.shard_status(place));
        let word = status.and_then(|status| {
            let target = self.servers_named.find(&plan.to);
            let held =
                agreeing.plans_in_handover.get(&shard).is_some_and(|(number, _)| *number == plan.number);
            if held && status.phase == Phase::Electing && status.target.is_some() && status.target == target {
                return Some(ShardReport::Drained { number: plan.number });
            }
            // A gateway that holds writes sends none to any server.
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
        PlannedShard { word, servers }
    }

    pub(super) fn consensus_on_list(&mut self, entries: &[ServerListEntry], whole: bool) {
        let Some(agreeing) = &mut self.consensus else { return };
        let listed = agreeing.listed.get_or_insert_default();
        if whole {
            listed.clear();
        }
        for entry in entries {
            listed.insert(entry.server, (entry.group, entry.state != ServerState::Serving));
        }
        self.report_facts(false);
    }

    /// Passes an operator's request to the consensus thread, which answers it.
    pub(super) fn consensus_request(&self, word: &Json, stream: &UnixStream) -> Result<(), Json> {
        let error = |why: RequestError| council::error_json(&why);
        let agreeing = self.consensus.as_ref().ok_or(RequestError::Off).map_err(error)?;
        let shard = self.request_shard(word).map_err(error)?;
        let stream = stream.try_clone().map_err(|error| json!({ "error": error.to_string() }))?;
        let asked = OperatorRequest { request: word.clone(), stream, shard };
        match agreeing.handle.send(ThreadCommand::Answer(asked)) {
            true => Ok(()),
            false => Err(error(RequestError::Silent)),
        }
    }

    /// Checks the shard and target named by a request; returns the shard and its primary.
    fn request_shard(&self, word: &Json) -> Result<Option<(u32, String)>, RequestError> {
        let Some(name) = word["shard"].as_str() else { return Ok(None) };
        let number = name.parse::<u32>().map_err(|_| RequestError::NoNumber(name.into()))?;
        if word["what"] != "plan" {
            return Ok(Some((number, String::new())));
        }
        let to = word["to"].as_str().ok_or(RequestError::Missing("to"))?;
        let place = self.groups.find(name).ok_or_else(|| RequestError::NoShard(name.into()))?;
        let target = self.servers_named.find(to).filter(|server| self.servers.shard(*server) == Some(place));
        let target =
            target.ok_or_else(|| RequestError::NoServer { server: to.into(), shard: name.into() })?;
        let status = self.handover.as_ref().and_then(|holds| holds.handover.shard_status(place));
        let primary = status.and_then(|status| status.primary);
        let primary = primary.ok_or_else(|| RequestError::NoPrimary(name.into()))?;
        if primary == target {
            return Err(RequestError::Leads { server: to.into(), shard: name.into() });
        }
        Ok(Some((number, self.servers_named.name(primary).into())))
    }

    /// Reports SIGTERM.
    pub(super) fn leave_consensus(&self) {
        self.report_facts(true);
    }

    /// Reads the keys again after SIGHUP.
    pub(super) fn reload_consensus_keys(&self) {
        if let Some(agreeing) = &self.consensus {
            agreeing.handle.send(ThreadCommand::Rekey);
        }
    }

    /// Ends the consensus thread once all commands are answered.
    pub fn end_consensus(&mut self) {
        if let Some(agreeing) = self.consensus.take() {
            agreeing.handle.join(LEAVE_TIMEOUT);
        }
    }
}

/// Aborts a change started by an agreed plan, unless it has passed that point or an operator has planned another one.
fn abort(holds: &mut super::holds::WriteHolding, now: Micros, place: usize, target: Option<usize>) {
    let status = holds.handover.shard_status(place);
    if target.is_some() && status.and_then(|status| status.target) == target {
        // Rejected only if no change is in progress.
        let _ = holds.handover.abort_change(now, place);
    }
}
