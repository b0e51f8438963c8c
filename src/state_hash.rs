//! Hashes of a router's state, so that a model checker can recognise states. Each `impl` destructures every field, so
//! that a new field does not compile until it is hashed or excluded here.

use std::hash::{Hash, Hasher};

use crate::decaying_sum::DecayingSum;
use crate::state::*;

impl Hash for DecayingSum {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let DecayingSum { sum, at } = self;
        (sum.to_bits(), at).hash(state);
    }
}

impl Hash for Member {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let Member {
            group,
            zone,
            size,
            serving,
            started,
            listed_primary,
            primary_claimed_at,
            primary_denied_at,
            position,
            position_reported_at,
            missed_position,
            average_ping,
            last_probe_at,
            probe_in_flight,
            down,
            refused_at,
            answered_at,
            latest_answered_sent_at,
            failures,
            answers,
            average_wait,
            average_wait_at,
            queue_length,
            queue_reported_at,
            in_flight,
            concurrency_limit,
            last_sent_at,
            last_sent_mean_time,
            sent_work,
        } = self;
        (
            group,
            zone,
            size.to_bits(),
            serving,
            started,
            listed_primary,
            primary_claimed_at,
            primary_denied_at,
            position,
        )
            .hash(state);
        (
            position_reported_at,
            missed_position,
            average_ping.map(f64::to_bits),
            last_probe_at,
            probe_in_flight,
            down,
            refused_at,
        )
            .hash(state);
        (answered_at, latest_answered_sent_at, failures, answers, average_wait.to_bits(), average_wait_at)
            .hash(state);
        (
            queue_length.to_bits(),
            queue_reported_at,
            in_flight,
            concurrency_limit.to_bits(),
            last_sent_at,
            last_sent_mean_time.to_bits(),
            sent_work,
        )
            .hash(state);
    }
}

impl Hash for Group {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let Group {
            members,
            primary,
            primary_epoch,
            primary_changed_at,
            recent_commands,
            last_command_at,
            primary_sought_at,
            recent_bad_outcomes,
            recent_outcomes,
            shed_share,
        } = self;
        (
            members,
            primary,
            primary_epoch,
            primary_changed_at,
            recent_commands,
            last_command_at,
            primary_sought_at,
            recent_bad_outcomes,
            recent_outcomes,
            shed_share.to_bits(),
        )
            .hash(state);
    }
}

impl Hash for CommandGroup {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // The other fields come from the settings and do not change.
        let CommandGroup {
            need: _,
            effect: _,
            deduplicated_anywhere: _,
            deduplicated_per_zone: _,
            repeat_within: _,
            response_target: _,
            late_benefit: _,
            prompt_time,
            mean_time,
            answer_count,
            first_dispatches,
            hedged_dispatches,
        } = self;
        (
            prompt_time.to_bits(),
            mean_time.to_bits(),
            answer_count.to_bits(),
            first_dispatches,
            hedged_dispatches,
        )
            .hash(state);
    }
}

impl Hash for RouterStats {
    fn hash<H: Hasher>(&self, state: &mut H) {
        let RouterStats {
            queues_reported,
            queue_base_wait,
            queue_wait_per_command,
            recent_probes,
            recent_lost_probes,
            most_probes_lost,
            probes_report_role,
            recent_arrivals,
            recent_answers,
            answered_work,
            serving,
        } = self;
        let ServingMembers { size, groups, zones } = serving;
        (
            queues_reported,
            queue_base_wait.to_bits(),
            queue_wait_per_command.to_bits(),
            recent_probes,
            recent_lost_probes,
        )
            .hash(state);
        (most_probes_lost, probes_report_role, recent_arrivals, recent_answers, answered_work).hash(state);
        (size.to_bits(), groups.to_bits(), zones.to_bits()).hash(state);
    }
}
