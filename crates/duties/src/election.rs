//! Election of the holder of a vacant duty among the attending gateways.

use std::collections::{BTreeMap, BTreeSet};

use crate::entries::{Attendance, Scope, Standing};
use crate::shared_state::SharedState;

/// Worst health (of 8) with which a gateway is elected.
pub(crate) const MAX_HEALTHY_SCORE: u8 = 2;
/// A gateway that lost a duty this often within `flap_window` is not elected.
const MAX_RECENT_LOSSES: u32 = 2;

/// What a member knows beside the shared state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ElectionEvidence {
    /// Whether this member is the leader, which proposes at once while others wait.
    pub is_leader: bool,
    /// Gateways that may be down: by the failure detector, or late with renewals.
    pub suspected: BTreeSet<String>,
    /// Recent involuntary losses: by duty, then gateway.
    pub recent_losses: BTreeMap<String, BTreeMap<String, u32>>,
}

/// Why no holder is elected.
#[derive(Clone, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum NoCandidate {
    #[error("there is no duty {duty}")]
    NoSuchDuty { duty: String },
    #[error("the duty {duty} is held, or its last lease has not run out")]
    NotVacant { duty: String },
    #[error("no gateway attends")]
    NoneAttends,
    #[error("none of the {attend} attending gateways is healthy")]
    NoneHealthy { attend: usize },
    #[error("all {attend} attending gateways are suspected to be down")]
    AllSuspected { attend: usize },
    #[error("none of the {attend} attending gateways has free capacity, or all are about to leave")]
    NoCapacity { attend: usize },
    #[error("every candidate for {duty} has recently lost it {MAX_RECENT_LOSSES} times")]
    AllFlapping { duty: String },
}

impl NoCandidate {
    /// What an operator can do about it.
    pub fn remedy(&self) -> &'static str {
        match self {
            NoCandidate::NoSuchDuty { .. } => "open it, or check its name",
            NoCandidate::NotVacant { .. } => "nothing: it is granted when the lease has run out",
            NoCandidate::NoneAttends => {
                "check whether gateways reach a voting member: seats, addresses and keys in [council]"
            }
            NoCandidate::NoneHealthy { .. } => "check the gateways' logs; start a healthy one",
            NoCandidate::AllSuspected { .. } => "check the network between gateways and voting members",
            NoCandidate::NoCapacity { .. } => "start a gateway, or take load away",
            NoCandidate::AllFlapping { .. } => {
                "check why its holders stall or are cut off; it is retried after flap_for"
            }
        }
    }
}

/// Elects the next holder of a vacant duty. Deterministic: candidates attend, are healthy, not suspected and have
/// free capacity; ranked by fewest recent losses, wanted zone, fewest duties, best health, then name. A held duty
/// never moves.
///
/// # Errors
///
/// Returns the first condition that no candidate meets.
pub fn elect(register: &SharedState, evidence: &ElectionEvidence, duty: &str) -> Result<String, NoCandidate> {
    let stands = register.duties.get(duty).ok_or_else(|| NoCandidate::NoSuchDuty { duty: duty.into() })?;
    if !matches!(stands.standing, Standing::Vacant { .. }) {
        return Err(NoCandidate::NotVacant { duty: duty.into() });
    }
    best_candidate(register, evidence, duty, None)
}

/// Like [`elect`], for a duty that may be held, without the given gateway.
pub(crate) fn best_candidate(
    register: &SharedState,
    evidence: &ElectionEvidence,
    duty: &str,
    without: Option<&str>,
) -> Result<String, NoCandidate> {
    let stands = register.duties.get(duty).ok_or_else(|| NoCandidate::NoSuchDuty { duty: duty.into() })?;
    let attend = register.attending.len();
    let mut fit: Vec<(&String, &Attendance)> = register.attending.iter().collect();
    fit.retain(|(name, _)| without != Some(name.as_str()));
    let mut keep = |holds: &dyn Fn(&String, &Attendance) -> bool, nobody: NoCandidate| {
        fit.retain(|(name, attends)| holds(name, attends));
        if fit.is_empty() { Err(nobody) } else { Ok(()) }
    };
    keep(&|_, _| true, NoCandidate::NoneAttends)?;
    keep(&|_, attends| attends.health <= MAX_HEALTHY_SCORE, NoCandidate::NoneHealthy { attend })?;
    keep(&|name, _| !evidence.suspected.contains(name), NoCandidate::AllSuspected { attend })?;
    keep(&|_, attends| attends.room > 0, NoCandidate::NoCapacity { attend })?;
    let none = BTreeMap::new();
    let lost = evidence.recent_losses.get(duty).unwrap_or(&none);
    let losses = |name: &String| lost.get(name).copied().unwrap_or(0);
    keep(&|name, _| losses(name) < MAX_RECENT_LOSSES, NoCandidate::AllFlapping { duty: duty.into() })?;
    let mut held: BTreeMap<&str, usize> = BTreeMap::new();
    for other in register.duties.values().filter_map(|duty| duty.holder_name()) {
        *held.entry(other).or_default() += 1;
    }
    let best = fit.into_iter().min_by_key(|(name, attends)| {
        let elsewhere = matches!(&stands.scope, Scope::Zone(zone) if *zone != attends.zone);
        let duties = held.get(name.as_str()).copied().unwrap_or(0);
        (losses(name), elsewhere, duties, attends.health, *name)
    });
    best.map(|(name, _)| name.clone()).ok_or(NoCandidate::NoneAttends)
}
