//! Planned change of a shard's primary, conducted by one gateway at a time. Each step is written to the shared document
//! `plan/<shard>` before and after its effect, so that the next holder can resume from the document alone.

use serde::{Deserialize, Serialize};
use tansyjunction::interface::Micros;

use crate::entries::*;
use crate::seeded_faults::{self, SeededFault};
use crate::shared_state::SharedState;

/// Content of the document `plan/<shard>`, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Plan {
    /// The next primary, and the current one.
    pub to: String,
    pub from: String,
    pub step: Step,
    /// Reason for the change, or for its abort.
    pub why: String,
    /// Identifies this plan among all plans of the shard.
    pub number: u64,
    /// Epoch under which the step was written; 0: by an operator.
    #[serde(default)]
    pub epoch: u64,
    /// Reason given by an operator who wants the change aborted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stop: Option<String>,
}

/// Steps of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Gateways hold new writes of the shard and wait for those in flight.
    Announced,
    /// The store is told to switch; it may have done so already.
    Switching,
    /// The store has confirmed the switch; gateways release writes to the new primary.
    Switched,
    /// Aborted after the store may have been told: it is told to switch back, under a newer epoch.
    Reverting,
    Done,
    Aborted,
}

/// What a gateway reports about a shard in its renewal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ShardReport {
    /// It holds new writes for the plan of this number and has none in flight.
    Drained { number: u64 },
    /// It sends writes to this server.
    Leads { server: String },
}

impl ShardReport {
    /// Key and value for [`Renewal::says`].
    pub fn to_entry(&self, shard: u32) -> (String, String) {
        let value = match self {
            ShardReport::Drained { number } => format!("drained {number}"),
            ShardReport::Leads { server } => format!("leads {server}"),
        };
        (format!("shard/{shard}"), value)
    }

    fn from_attendance(attends: &Attendance, shard: u32) -> Option<ShardReport> {
        let (kind, value) = attends.says.get(&format!("shard/{shard}"))?.split_once(' ')?;
        match kind {
            "drained" => Some(ShardReport::Drained { number: value.parse().ok()? }),
            "leads" => Some(ShardReport::Leads { server: value.into() }),
            _ => None,
        }
    }
}

/// Name of a shard's plan document.
pub fn plan_document_of(shard: u32) -> String {
    format!("plan/{shard}")
}

/// Name of a shard's conductor duty.
pub fn conductor_duty_of(shard: u32) -> String {
    format!("conductor/{shard}")
}

/// The shard of a plan document or conductor duty.
pub fn shard_of(name: &str) -> Option<u32> {
    name.strip_prefix("plan/").or_else(|| name.strip_prefix("conductor/"))?.parse().ok()
}

impl Plan {
    /// The current or last plan of a shard, and its document.
    pub fn read(register: &SharedState, shard: u32) -> Option<(Plan, &Document)> {
        let document = register.documents.get(&plan_document_of(shard))?;
        Some((serde_json::from_str(&document.body).ok()?, document))
    }

    /// Whether the plan is finished.
    pub fn is_finished(&self) -> bool {
        matches!(self.step, Step::Done | Step::Aborted)
    }

    /// Entry by which an operator starts a change. It has no effect if another one is decided first.
    ///
    /// # Errors
    ///
    /// Returns the plan in progress, if there is one.
    pub fn announce(
        register: &SharedState,
        shard: u32,
        [from, to]: [&str; 2],
        why: &str,
        by: &str,
    ) -> Result<Entry, Box<Plan>> {
        let expected = match Plan::read(register, shard) {
            Some((plan, _)) if !plan.is_finished() => return Err(Box::new(plan)),
            Some((_, document)) => document.version,
            None => register.documents.get(&plan_document_of(shard)).map_or(0, |document| document.version),
        };
        let (to, from, why) = (to.into(), from.into(), why.into());
        // The index is larger than that of any earlier plan, even if the document was removed in between.
        let number = register.index + 1;
        let plan = Plan { to, from, step: Step::Announced, why, number, epoch: 0, stop: None };
        Ok(plan.to_document(shard, expected, by, None))
    }

    /// Entry by which an operator aborts a change; `None` if there is none in progress.
    pub fn abort(register: &SharedState, shard: u32, why: &str, by: &str) -> Option<Entry> {
        let (plan, document) = Plan::read(register, shard).filter(|(plan, _)| !plan.is_finished())?;
        let plan = Plan { stop: Some(why.into()), ..plan };
        Some(plan.to_document(shard, document.version, by, None))
    }

    fn to_document(&self, shard: u32, expected: u64, by: &str, fence: Option<Fence>) -> Entry {
        let body = serde_json::to_string(self).ok();
        Entry::Put { name: plan_document_of(shard), expected, body, by: by.into(), fence }
    }
}

/// Command to the store to make a server the primary of a shard. The store must reject epochs lower than one already
/// seen for the shard, and accept the same one repeatedly.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Switch {
    pub shard: u32,
    pub to: String,
    pub epoch: u64,
}

/// Answer of the store to a [`Switch`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SwitchResult {
    /// The server is primary.
    Confirmed,
    /// Rejected: the store has seen a later epoch.
    Fenced,
    /// Another error or no answer: it may or may not have happened.
    Unknown,
}

/// Observations of the conductor since it holds the duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ConductorView {
    /// Time in µs that the plan has been in its current step, by this gateway's clock, since it holds the duty.
    pub step_for: Micros,
    /// Timeout of a step: [`LeaseConfig::step_timeout`](crate::LeaseConfig::step_timeout).
    pub step_timeout: Micros,
    /// Whether the target is gone from the server list or certainly down.
    pub target_lost: bool,
    /// Target and answer of the last [`Switch`] of this epoch.
    pub switch_result: Option<(String, SwitchResult)>,
    /// Whether a [`Switch`] of this epoch awaits its answer.
    pub switch_pending: bool,
}

/// What the conductor waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum WaitReason {
    /// Gateways that have not drained.
    Drain(Vec<String>),
    /// The store's answer.
    Store,
    /// Gateways that do not send to the new primary yet.
    Release(Vec<String>),
    /// The complete state at this follower.
    CompleteState,
}

/// The next action of the conductor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ConductorAction {
    /// There is no plan, or its document is invalid.
    Nothing,
    Wait(WaitReason),
    /// Propose this entry, and ask again once it is decided.
    Propose(Entry),
    /// Send this to the store, if [`LeaseHolder::may_start`](crate::LeaseHolder::may_start) allows it.
    SendSwitch(Switch),
    /// Release the duty ([`LeaseHolder::release`](crate::LeaseHolder::release)): a newer epoch is needed, or exists.
    Release(GivenBack),
    /// The plan is finished: stop ([`LeaseHolder::stop`](crate::LeaseHolder::stop)), then propose this.
    Close(Entry),
}

/// The next action of the holder of a shard's conductor duty. Depends only on the shared state and its own
/// observations, so that a new holder can resume in any step.
pub fn next_action(
    register: &SharedState,
    shard: u32,
    me: &str,
    epoch: u64,
    seen: &ConductorView,
) -> ConductorAction {
    if !register.is_complete() {
        return ConductorAction::Wait(WaitReason::CompleteState);
    }
    let duty = conductor_duty_of(shard);
    let Some((plan, document)) = Plan::read(register, shard) else { return ConductorAction::Nothing };
    let write = |step: Step, why: &str| {
        let why = if why.is_empty() { plan.why.clone() } else { why.into() };
        let next = Plan { step, why, epoch, ..plan.clone() };
        let fence = Some(Fence { duty: duty.clone(), epoch });
        ConductorAction::Propose(next.to_document(shard, document.version, me, fence))
    };
    let tell = |to: &str| match &seen.switch_result {
        _ if seen.switch_pending => ConductorAction::Wait(WaitReason::Store),
        Some((_, SwitchResult::Fenced)) => ConductorAction::Release(GivenBack::NewEpoch),
        _ => ConductorAction::SendSwitch(Switch { shard, to: to.into(), epoch }),
    };
    let told = |to: &str| seen.switch_result == Some((to.into(), SwitchResult::Confirmed));
    let late = seen.step_for >= seen.step_timeout;
    let lacks = |said: &dyn Fn(Option<ShardReport>) -> bool| -> Vec<String> {
        let lack = register
            .attending
            .iter()
            .filter(|(_, attends)| !said(ShardReport::from_attendance(attends, shard)));
        lack.map(|(name, _)| name.clone()).collect()
    };
    let off = match &plan.stop {
        Some(why) => Some(format!("called off: {why}")),
        None if seen.target_lost => Some("the target is lost".into()),
        None => None,
    };
    match plan.step {
        Step::Announced => {
            let drained = |word| word == Some(ShardReport::Drained { number: plan.number });
            let lack = lacks(&drained);
            match off {
                Some(why) => write(Step::Aborted, &why),
                None if lack.is_empty() || seeded_faults::is_active(SeededFault::Undrained) => {
                    write(Step::Switching, "")
                }
                None if late => write(Step::Aborted, &format!("not drained in time: {}", lack.join(", "))),
                None => ConductorAction::Wait(WaitReason::Drain(lack)),
            }
        }
        Step::Switching if told(&plan.to) => write(Step::Switched, ""),
        Step::Switching if seeded_faults::is_active(SeededFault::TakesForDone) && plan.epoch != epoch => {
            write(Step::Switched, "")
        }
        // A command already sent may still take effect; only a newer epoch rules that out.
        Step::Switching if off.is_some() || late => {
            let why = off.unwrap_or_else(|| "the store did not switch in time".into());
            let step = if seeded_faults::is_active(SeededFault::AbortsAtOnce) {
                Step::Aborted
            } else {
                Step::Reverting
            };
            write(step, &why)
        }
        Step::Switching => tell(&plan.to),
        Step::Reverting if seen.switch_pending => ConductorAction::Wait(WaitReason::Store),
        Step::Reverting if plan.epoch == epoch => ConductorAction::Release(GivenBack::NewEpoch),
        Step::Reverting if told(&plan.from) => write(Step::Aborted, ""),
        Step::Reverting => tell(&plan.from),
        Step::Switched => {
            let lack = lacks(&|word| word == Some(ShardReport::Leads { server: plan.to.clone() }));
            match lack.is_empty() {
                true => write(Step::Done, ""),
                false if late => {
                    write(Step::Done, &format!("{}; not seen to follow: {}", plan.why, lack.join(", ")))
                }
                false => ConductorAction::Wait(WaitReason::Release(lack)),
            }
        }
        Step::Done | Step::Aborted => ConductorAction::Close(Entry::Close { duty, epoch }),
    }
}

/// Whether a conductor duty has no plan in progress, so that it is removed instead of granted.
pub(crate) fn has_no_open_plan(register: &SharedState, duty: &str) -> bool {
    let Some(shard) = duty.strip_prefix("conductor/").and_then(|_| shard_of(duty)) else { return false };
    Plan::read(register, shard).is_none_or(|(plan, _)| plan.is_finished())
}

/// Entries that create duties for plans in progress and remove vacant duties without one.
pub(crate) fn duty_upkeep(register: &SharedState) -> Vec<Entry> {
    let shards = register.documents.keys().filter(|name| name.starts_with("plan/"));
    let open = shards.filter_map(|name| shard_of(name)).filter(|shard| {
        !register.duties.contains_key(&conductor_duty_of(*shard))
            && !has_no_open_plan(register, &conductor_duty_of(*shard))
    });
    let open = open.map(|shard| Entry::Open { duty: conductor_duty_of(shard), scope: Scope::Shard(shard) });
    let close = register
        .duties
        .iter()
        .filter(|(name, duty)| duty.holder.is_none() && has_no_open_plan(register, name));
    let close = close.map(|(name, duty)| Entry::Close { duty: name.clone(), epoch: duty.epoch });
    open.chain(close).collect()
}
