//! Status of the consensus for operators.

use serde_json::{Value as Json, json};
use tansyjunction_duties::*;

use super::member::ConsensusThread;
use crate::run::clock::boottime;

impl ConsensusThread {
    /// Members, documents, attending gateways, and holders of duties.
    pub(super) fn status(&self) -> Json {
        let (now, register, stands) = (boottime(), self.register(), self.consensus.status());
        let documents = register.documents.iter().map(|(name, document)| {
            json!({
                "name": name, "version": document.version, "by": document.by, "bytes": document.body.len(),
                "binds": register.is_binding(name, document.version), "waits_for": register.lagging_gateways(name),
            })
        });
        let attending = register.attending.iter().map(|(name, attends)| {
            json!({
                "name": name, "zone": attends.zone, "health": attends.health, "room": attends.room,
                "life": attends.life, "taken": attends.taken, "says": attends.says,
            })
        });
        let nobody = self.grantor.as_ref().map(|grantor| grantor.without_candidate());
        let duties = register.duties.iter().map(|(name, duty)| {
            let nobody = nobody.and_then(|nobody| nobody.get(name));
            let standing = match duty.standing {
                Standing::Held => "held".to_string(),
                Standing::Revoked { why } => format!("revoked: {why:?}"),
                Standing::Vacant { why, .. } => format!("vacant: {why:?}"),
            };
            json!({
                "name": name, "epoch": duty.epoch, "holder": duty.holder_name(), "standing": standing,
                "progress": duty.progress, "waits": duty.waits, "lost": duty.lost.len(),
                "nobody": nobody.map(|nobody| format!("{nobody}; {}", nobody.remedy())),
            })
        });
        let plans = register.documents.keys().filter_map(|name| {
            let shard = shard_of(name).filter(|_| name.starts_with("plan/"))?;
            let (plan, document) = Plan::read(register, shard)?;
            Some(json!({
                "shard": shard, "step": plan.step, "from": plan.from, "to": plan.to, "why": plan.why,
                "stop": plan.stop, "number": plan.number, "epoch": plan.epoch, "by": document.by,
            }))
        });
        let held = self.holder.duties(now).map(|(duty, epoch, until)| {
            json!({ "duty": duty, "epoch": epoch, "for_ms": until.saturating_sub(now) / 1_000 })
        });
        let scouted = self.facts().probing.clone().into_iter().map(|(group, done)| {
            let scout = register.duties.get(&probing_duty_of(&group)).and_then(|duty| duty.holder_name());
            json!({ "group": group, "scout": scout, "probes": done.probes, "spared": done.spared })
        });
        json!({
            "gateway": self.own_name, "role": format!("{:?}", stands.role).to_lowercase(), "term": stands.term,
            "leader": stands.leader, "seats": stands.seats, "council": format!("{:016x}", stands.council),
            "decided": stands.decided, "applied": stands.applied, "index": register.index,
            "log": { "first": stands.log.0, "last": stands.log.1, "bytes": stands.log.2 },
            "whole": register.is_complete() && register.index > 0,
            "attends_for_ms": self.holder.attends_until().saturating_sub(now) / 1_000,
            "fault": self.failure.as_ref().map(|fault| format!("{fault}; {}", fault.remedy())),
            "refused": self.refused, "slowest_ms": self.slowest / 1_000,
            "documents": documents.collect::<Vec<_>>(), "attending": attending.collect::<Vec<_>>(),
            "duties": duties.collect::<Vec<_>>(), "plans": plans.collect::<Vec<_>>(),
            "held": held.collect::<Vec<_>>(), "scouted": scouted.collect::<Vec<_>>(),
        })
    }
}
