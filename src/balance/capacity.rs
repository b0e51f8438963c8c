//! Health and capacity of a member: whether it answers, how long commands wait there, and how many more it may get.

use super::*;

/// How long a member is avoided after a failed connection, and after how long it is tried anyway where there
/// is no other: a few round trips.
const REFUSED_AVOID_TIME: Micros = 2 * SECOND;
const RECONNECT_DELAY: Micros = 30 * MILLI;

impl Member {
    /// Whether it refused a connection so recently that it is avoided.
    pub(super) fn recently_refused(&self, now: Micros) -> bool {
        self.refused_at.is_some_and(|at| now < at + REFUSED_AVOID_TIME)
    }
}

impl Router {
    /// Whether the member serves and is neither down, silent, failing nor refusing connections.
    pub(super) fn is_healthy(&self, now: Micros, server: usize) -> bool {
        let Some(member) = self.members.get(&server) else { return false };
        // A member that has commands in flight and answers none is silent, whatever its probes say.
        let late = |sent: Micros, k: usize| now > sent + self.soft_timeout(&self.command_groups[k]);
        let silent = member.in_flight.iter().any(|(sent, k)| *sent > member.answered_at && late(*sent, *k));
        let failures = member.failures.read(now, FAILURE_HALF_LIFE);
        let answers = member.answers.read(now, FAILURE_HALF_LIFE);
        let failing = failures > MAX_FAILURE_RATIO * (failures + answers + 1.0);
        member.serving && !member.down && !silent && !failing && !member.recently_refused(now)
    }

    /// Whether the member is healthy, or is silent only because of a queue that it reported.
    pub(super) fn is_reachable(&self, now: Micros, server: usize) -> bool {
        let told =
            |m: &Member| m.recent_queue(now, 2 * QUEUE_REPORT_LIFETIME).is_some_and(|queue| queue >= 1.0);
        self.is_healthy(now, server) || self.members.get(&server).is_some_and(|m| m.serving && told(m))
    }

    /// Whether only failed connections make the member unhealthy. They may be this router's own problem, so a
    /// primary is retried soon.
    pub(super) fn only_refused_connections(&self, now: Micros, server: usize) -> bool {
        let shut = |m: &Member| m.refused_at.is_some_and(|at| at + RECONNECT_DELAY <= now);
        self.members.get(&server).is_some_and(|m| m.serving && !m.down && shut(m))
    }

    /// Expected wait in µs: the average, or how long commands in flight exceed their mean time, if that is more.
    pub(super) fn expected_wait(&self, now: Micros, member: &Member) -> f64 {
        let usual = |k: usize| {
            if self.is_long_read(&self.command_groups[k]) {
                f64::INFINITY
            } else {
                self.command_groups[k].mean_time
            }
        };
        let in_flight = member.in_flight.iter().map(|(sent, k)| now.saturating_sub(*sent) as f64 - usual(*k));
        in_flight.fold(member.decayed_wait(now), f64::max).max(self.reported_queue_wait(now, member))
    }

    /// Wait in µs behind the queue last reported; 0 without a recent report.
    pub(super) fn reported_queue_wait(&self, now: Micros, member: &Member) -> f64 {
        let queue = member.recent_queue(now, QUEUE_REPORT_LIFETIME).filter(|queue| *queue >= 0.5);
        queue.map_or(0.0, |queue| self.stats.queue_base_wait + queue * self.stats.queue_wait_per_command)
    }

    /// Whether `share` of the member's concurrency limit leaves room for the command, and slow start admits it.
    pub(super) fn has_capacity(
        &self,
        now: Micros,
        command: &Command,
        server: usize,
        command_group: &CommandGroup,
        share: f64,
    ) -> bool {
        let member = &self.members[&server];
        let room = member.concurrency_limit * share;
        let pause = (member.last_sent_mean_time * (1.0 / room - 1.0).max(0.0)) as Micros;
        let open = (member.in_flight.len() as f64) < room.max(1.0) && now >= member.last_sent_at + pause;
        let queued = self.reported_queue_wait(now, member);
        let in_time = queued <= 0.0
            || queued + command_group.prompt_time < command_group.response_target as f64 * IN_TIME_SHARE;
        open && in_time && self.slow_start_admits(now, command, server, command_group)
    }
}
