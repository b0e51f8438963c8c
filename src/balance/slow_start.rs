//! Slow start: the share of the commands that a cold member gets.

use super::*;

/// Share of the load allowed on a cold server that is used; the rest absorbs random variation.
const SLOW_START_SHARE: f64 = 0.9;
/// Share of it that a router may send at once: what follows within the overload window adds to it.
const SLOW_START_BURST_SHARE: f64 = 0.6;
/// Share of its allowance that a cold member gets while a queue there is known.
const SLOW_START_QUEUED_SHARE: f64 = 2.0 / 3.0;
/// How long writes are assumed to have been held for a new primary: a usual election.
const FAILOVER_HOLD_TIME: Micros = 2 * SECOND;
/// The allowance shrinks once the share of arriving commands that is answered is below this: some retries by
/// clients are normal.
const ANSWERED_SHARE_SLACK: f64 = 0.75;
/// Number of commands that the initial assumption counts for (all are answered, all groups get the same).
const PRIOR_COMMAND_COUNT: f64 = 10.0;

impl Router {
    /// Slow start: a cold member is sent a share of an average member's commands, drawn at random per command.
    /// Without the random draw, hundreds of new or low-traffic routers would either starve the member or each send
    /// a command that seems harmless alone.
    pub(super) fn slow_start_admits(
        &self,
        now: Micros,
        command: &Command,
        server: usize,
        command_group: &CommandGroup,
    ) -> bool {
        let member = &self.members[&server];
        let part = self.warm_up_share(now, member);
        if part >= 1.0 {
            return true;
        }
        let allowed = self.number("rules.fall_multiple", 1.0) * part;
        let warmth = allowed * SLOW_START_SHARE;
        // Full allowance without a known queue. Many routers have had no answer from a cold member yet; only a
        // known queue reduces its share, not the lack of evidence, or it would starve.
        let quiet =
            self.expected_wait(now, member) < command_group.response_target as f64 * LONG_WAIT_SHARE / 2.0;
        // A single long read may take as much capacity as all other commands together.
        if self.is_long_read(command_group)
            && (warmth < 1.0 || !quiet || member.started >= Some(member.latest_answered_sent_at))
        {
            return false;
        }
        let (fleet, group) = (&self.stats.serving, &self.groups[&member.group]);
        // Arrivals beyond the answered rate, or of one group beyond the others, say nothing about capacity.
        let [asked, here] = [&self.stats.recent_arrivals, &group.recent_commands]
            .map(|sum| sum.read(now, HEDGE_BUDGET_HALF_LIFE));
        let coped = (self.stats.recent_answers.read(now, HEDGE_BUDGET_HALF_LIFE) + PRIOR_COMMAND_COUNT)
            / (asked + PRIOR_COMMAND_COUNT);
        let even = (asked / fleet.groups + PRIOR_COMMAND_COUNT) / (here + PRIOR_COMMAND_COUNT);
        let queued = if quiet { 1.0 } else { SLOW_START_QUEUED_SHARE };
        let window = self.number("rules.fall_for", 0.0).max(1.0);
        let held = (member.started.unwrap_or(0).max(group.primary_changed_at) + FAILOVER_HOLD_TIME)
            .saturating_sub(now) as f64;
        let fair = if matches!(command_group.need, Need::Write | Need::Fresh) {
            // Commands for the primary have nowhere else to go, and the average member bears as many. But hundreds
            // of routers release at once what each has held, on top of ordinary traffic.
            if warmth >= 1.0 && held <= 0.0 { f64::INFINITY } else { window / (window + held) }
        } else {
            // Reads come from one zone as long as it has members; a primary serves writes as well.
            let near = if member.zone == self.zone { fleet.zones } else { 1.0 };
            let part = if group.primary == Some(server) { near * PRIMARY_READ_SHARE } else { near };
            part * fleet.groups * member.size / fleet.size
        };
        let share = fair * warmth * queued * (coped * even / ANSWERED_SHARE_SLACK).min(1.0);
        let mut lot = SeededRng::new(self.slow_start_seed(command, server));
        lot.below(DRAW_RANGE);
        let drawn = (lot.below(DRAW_RANGE) as f64) < share * DRAW_RANGE as f64;
        // Random draws may let through too much of a burst of held commands. So no router sends more than its
        // share of the rate answered by such members, or of one core per unit of size.
        let answered = self.stats.answered_work.rate(now, WORK_HALF_LIFE) / fleet.size;
        let rate = answered.max(1.0 / self.number("routers", 1.0)) * member.size;
        drawn
            && member.sent_work.read(now, self.overload_half_life())
                <= allowed * SLOW_START_BURST_SHARE * rate * window
    }

    /// Half-life for which a steady rate sums up to the same as over the overload window of the settings.
    pub(super) fn overload_half_life(&self) -> Micros {
        (self.number("rules.fall_for", 0.0) * std::f64::consts::LN_2) as Micros
    }

    /// Seed of the slow-start draw: the same for a command and a server however often it is asked.
    pub(super) fn slow_start_seed(&self, command: &Command, server: usize) -> u64 {
        let own = self.number("router", 0.0) as u64;
        let parts = [own, command.session.unwrap_or(0) as u64, command.client_timeout, server as u64];
        parts.iter().fold(command.arrived, |lot, part| (lot ^ part).wrapping_mul(DRAW_SEED_MIX))
    }

    /// Share of its capacity that a member has while it warms up; 1 once it is warm.
    pub(super) fn warm_up_share(&self, now: Micros, member: &Member) -> f64 {
        let Some(started) = member.started else { return 1.0 };
        let (cold, from) = (self.number("rules.cold", 0.0), self.number("rules.cold_from", 1.0));
        let age = now.saturating_sub(started) as f64;
        if age >= cold { 1.0 } else { from + (1.0 - from) * age / cold }
    }
}
