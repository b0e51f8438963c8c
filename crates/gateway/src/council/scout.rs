//! Scouts' duties: opened for groups that have none, their work told with renewals, and their holders told to the
//! other thread.

use std::sync::Arc;

use tansyjunction_duties::*;

use super::Scouts;
use super::member::{Member, Ticket};
use crate::run::clock::boottime;

impl Member {
    /// Opens what is missing, and counts what was done.
    pub(super) fn scout(&mut self) {
        let (now, facts) = (boottime(), self.facts());
        let fit = now < self.holder.attends_until() && self.register().is_complete() && !self.leaves();
        for group in facts.scouted.keys().filter(|_| fit) {
            let duty = probing_duty_of(group);
            if !self.register().duties.contains_key(&duty) && self.opened.insert(duty.clone()) {
                self.propose(open_probing_duty(group), Ticket::Opening(duty));
            }
        }
        let held: Vec<String> = self.holder.duties(now).map(|(duty, _, _)| duty.into()).collect();
        self.probes.retain(|duty, _| held.contains(duty));
        for duty in held {
            let Some(done) = probed_group(&duty).and_then(|group| facts.scouted.get(group)) else { continue };
            let told = self.probes.insert(duty.clone(), done.probes);
            match told.is_some_and(|told| told != done.probes) {
                true => self.holder.record_progress(&duty, done.waits),
                false => self.holder.record_waiting(&duty, done.waits),
            }
        }
    }

    /// Tells the other thread who scouts, and until when it may go by that.
    pub(super) fn tell_scouts(&self) {
        let register = self.register();
        let held = register.duties.iter().filter(|(_, duty)| duty.standing == Standing::Held);
        let of =
            held.filter_map(|(name, duty)| Some((probed_group(name)?.into(), duty.holder_name()?.into())));
        let until = if register.is_complete() { self.holder.attends_until() } else { 0 };
        let scouts = Scouts { until, of: of.collect() };
        if **self.scouts.load() != scouts {
            self.scouts.store(Arc::new(scouts));
        }
    }
}
