//! Hashes of a router's plain values, so that a caller can tell states that it has met before. Every field is named, so
//! that none that is added later can be forgotten here.

use std::hash::{Hash, Hasher};

use crate::decaying::Decaying;
use crate::state::*;

impl Hash for Decaying {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let Decaying { sum, at } = self;
        (sum.to_bits(), at).hash(state);
    }
}

impl Hash for Member {
    fn hash<H: Hasher>(&self, state: &mut H) {
        #[rustfmt::skip]
        let Member {
            group, zone, size, serving, started, listed_primary, claimed, denied, position, placed, short_of, ping, probed,
            probe_out, down, shut, answered_at, proved, failures, answers, waiting, waiting_at, queue, queue_told, out,
            room, sent, usual, sent_work,
        } = self;
        (group, zone, size.to_bits(), serving, started, listed_primary, claimed, denied, position)
            .hash(state);
        (placed, short_of, ping.map(f64::to_bits), probed, probe_out, down, shut).hash(state);
        (answered_at, proved, failures, answers, waiting.to_bits(), waiting_at).hash(state);
        (queue.to_bits(), queue_told, out, room.to_bits(), sent, usual.to_bits(), sent_work).hash(state);
    }
}

impl Hash for Group {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let Group { members, primary, age, led, commands, last_command, sought, bad, outcomes, shed } = self;
        (members, primary, age, led, commands, last_command, sought, bad, outcomes, shed.to_bits())
            .hash(state);
    }
}

impl Hash for Kind {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // The rest stands in the settings.
        #[rustfmt::skip]
        let Kind {
            need: _, effect: _, scope_all: _, scope_zone: _, repeat_within: _, response_target: _, late_benefit: _,
            prompt, mean, seen, firsts, copies,
        } = self;
        (prompt.to_bits(), mean.to_bits(), seen.to_bits(), firsts, copies).hash(state);
    }
}

impl Hash for Seen {
    fn hash<H: Hasher>(&self, state: &mut H) {
        #[rustfmt::skip]
        let Seen {
            queues_told, queue_base, queue_step, probes, probes_lost, probes_lost_most, probes_tell, asked, answered,
            work, fleet,
        } = self;
        let Fleet { size, groups, zones } = fleet;
        (queues_told, queue_base.to_bits(), queue_step.to_bits(), probes, probes_lost).hash(state);
        (probes_lost_most, probes_tell, asked, answered, work).hash(state);
        (size.to_bits(), groups.to_bits(), zones.to_bits()).hash(state);
    }
}
