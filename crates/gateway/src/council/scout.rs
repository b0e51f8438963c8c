//! Probing duties: created for groups without one, their progress reported in renewals, and their holders passed to the
//! serving thread.

use std::sync::Arc;

use tansyjunction_duties::*;

use super::ProbingHolders;
use super::member::{ConsensusThread, ProposalPurpose};
use crate::run::clock::boottime;

impl ConsensusThread {
    /// Creates missing duties and records progress.
    pub(super) fn scout(&mut self) {
        let (now, facts) = (boottime(), self.facts());
        let fit = now < self.holder.attends_until() && self.register().is_complete() && !self.leaves();
        for group in facts.probing.keys().filter(|_| fit) {
            let duty = probing_duty_of(group);
            if !self.register().duties.contains_key(&duty) && self.opened.insert(duty.clone()) {
                self.propose(open_probing_duty(group), ProposalPurpose::Opening(duty));
            }
        }
        let held: Vec<String> = self.holder.duties(now).map(|(duty, _, _)| duty.into()).collect();
        self.probes.retain(|duty, _| held.contains(duty));
        for duty in held {
            let Some(done) = probed_group(&duty).and_then(|group| facts.probing.get(group)) else { continue };
            let told = self.probes.insert(duty.clone(), done.probes);
            match told.is_some_and(|told| told != done.probes) {
                true => self.holder.record_progress(&duty, done.in_flight),
                false => self.holder.record_waiting(&duty, done.in_flight),
            }
        }
    }

    /// Passes the holders to the serving thread, with the time until which they are valid.
    pub(super) fn publish_probing_holders(&self) {
        let register = self.register();
        let held = register.duties.iter().filter(|(_, duty)| duty.standing == Standing::Held);
        let of =
            held.filter_map(|(name, duty)| Some((probed_group(name)?.into(), duty.holder_name()?.into())));
        let until = if register.is_complete() { self.holder.attends_until() } else { 0 };
        let scouts = ProbingHolders { until, by_group: of.collect() };
        if **self.probing_holders.load() != scouts {
            self.probing_holders.store(Arc::new(scouts));
        }
    }
}
