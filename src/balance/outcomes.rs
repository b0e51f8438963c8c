//! Answers and ends of dispatches, and what they tell of members and command groups.

use super::*;

/// Weight of each answer's wait in a member's average: about the last ten answers count.
const WAIT_WEIGHT: f64 = 0.1;
/// Weight of each new answer in a command group's mean time: about fifty answers count.
const MEAN_TIME_WEIGHT: f64 = 0.02;
/// Number of answers that the initial mean time counts for, so that one slow answer does not replace it.
const INITIAL_MEAN_COUNT: f64 = 3.0;
/// Wait, as a share of the response target, that counts as slow and lowers the concurrency limit.
const SLOW_WAIT_SHARE: f64 = 0.3;
/// Concurrency that hardly causes queueing: a member that is slow below it is slow by itself, and a lower
/// limit would not help.
const UNQUEUED_CONCURRENCY: f64 = 2.0;
/// Steps of the share of a group's commands that is shed, after a late and after a prompt answer: a router
/// with little traffic sees few of either.
const SHED_INCREASE: f64 = 0.225;
const SHED_DECREASE: f64 = 0.15;

impl CommandGroup {
    /// Updates typical and mean time from an answer that took `took` µs.
    fn record_answer_time(&mut self, took: f64) {
        let weight = if took < self.prompt_time { 5.0 * MEAN_TIME_WEIGHT } else { MEAN_TIME_WEIGHT };
        self.prompt_time += weight * (took - self.prompt_time).clamp(-self.prompt_time, self.prompt_time);
        // A low-traffic router must not take one slow answer for the mean time.
        self.answer_count += 1.0;
        let weight = (1.0 / (self.answer_count + INITIAL_MEAN_COUNT)).max(MEAN_TIME_WEIGHT);
        self.mean_time += weight * (took - self.mean_time);
    }
}

impl Member {
    /// Updates the average wait from an answer that waited for `waited` µs.
    fn record_wait(&mut self, now: Micros, waited: f64) {
        let before = self.decayed_wait(now);
        self.average_wait = before + WAIT_WEIGHT * (waited - before);
        self.average_wait_at = now;
    }

    /// Raises the concurrency limit after a prompt answer, if the limit is in use.
    fn raise_concurrency_limit(&mut self) {
        if self.in_flight.len() as f64 + 1.0 >= self.concurrency_limit / 2.0 {
            self.concurrency_limit += LIMIT_INCREASE * self.concurrency_limit.min(LIMIT_STEP_CAP);
        }
    }
}

impl Group {
    /// Counts an outcome, and whether it was late or lost.
    fn count_outcome(&mut self, now: Micros, bad: bool) {
        self.recent_outcomes.add(now, OUTCOME_HALF_LIFE, 1.0);
        self.recent_bad_outcomes.add(now, OUTCOME_HALF_LIFE, if bad { 1.0 } else { 0.0 });
    }

    /// Moves the share of commands that is shed by a step, positive after prompt answers.
    fn adjust_shedding(&mut self, step: f64) {
        self.shed_share = 1.0 - ((1.0 - self.shed_share) * (1.0 + step)).clamp(MIN_LIMIT, 1.0);
    }
}

impl RouterStats {
    /// Corrects the estimated wait behind a reported queue by a command that waited for `waited` µs there.
    fn learn_queue_wait(&mut self, queue: f64, waited: f64) {
        let error =
            QUEUE_MODEL_WEIGHT * (waited - self.queue_base_wait - queue * self.queue_wait_per_command);
        let scale = 1.0 + (queue * INITIAL_QUEUE_STEP_SHARE).powi(2);
        self.queue_base_wait = (self.queue_base_wait + error / scale).max(0.0);
        let step = error * queue * INITIAL_QUEUE_STEP_SHARE.powi(2) / scale;
        self.queue_wait_per_command = (self.queue_wait_per_command + step).max(0.0);
    }
}

impl Router {
    pub(super) fn is_write(&self, command: &Command) -> bool {
        let command_group = self.command_groups.get(command.command_group);
        command_group.is_some_and(|command_group| command_group.need == Need::Write)
    }

    /// Notes that the answer to this command goes to its client now, before its dispatch has ended. Not needed where
    /// both happen at once.
    pub fn on_answer(&mut self, now: Micros, pending: &PendingCommand) {
        if let Some(session) = pending.command.session.filter(|_| self.is_write(&pending.command)) {
            self.session_writes.entry(session).or_default().on_answer(now);
        }
    }

    /// Records the end of a dispatch and says whether the command is finished.
    pub fn on_outcome(&mut self, now: Micros, pending: &PendingCommand, outcome: &Outcome) -> NextStep {
        let Some(dispatch) = pending.dispatches.get(outcome.dispatch) else { return NextStep::PlaceAgain };
        self.record_outcome(now, pending, dispatch, outcome);
        let write = self.is_write(&pending.command);
        let stated = if write && outcome.ending == DispatchEnd::Answered {
            let commit = outcome.answer_report.position;
            if let Some(session) = pending.command.session {
                let writes = self.session_writes.entry(session).or_default();
                writes.on_dispatch_ended(now, dispatch.sent + outcome.took, commit);
            }
            Report { position: None, ..outcome.answer_report }
        } else if write && outcome.ending == DispatchEnd::Missed {
            // Only the primary accepts a write, so a miss shows that the member is not the primary.
            Report { primary: Some(false), ..outcome.answer_report }
        } else {
            outcome.answer_report
        };
        self.apply_report(now, dispatch.server, stated, now);
        if let Some(report) = outcome.load_report {
            self.apply_report(now, dispatch.server, report, now.saturating_sub(LOAD_REPORT_AGE));
        }
        let broke = matches!(outcome.ending, DispatchEnd::Reset | DispatchEnd::Unconnected);
        if let Some(session) = pending.command.session.filter(|_| broke) {
            self.session_replicas.remove(&session);
        }
        if !outcome.finished {
            return NextStep::PlaceAgain;
        }
        let out = pending.dispatches.iter().enumerate().filter(|(_, d)| d.ended.is_none()).map(|(n, _)| n);
        NextStep::Finished {
            cancel: if self.flag("limits.recalls", false) { out.collect() } else { Vec::new() },
        }
    }

    /// Updates member, command group and router statistics from the end of a dispatch.
    pub(super) fn record_outcome(
        &mut self,
        now: Micros,
        pending: &PendingCommand,
        dispatch: &Dispatch,
        outcome: &Outcome,
    ) {
        let index = pending.command.command_group;
        // The position that a missed read required when it was sent: the server had not reached it.
        let bound = self
            .command_groups
            .get(index)
            .and_then(|command_group| self.required_position(dispatch.sent, &pending.command, command_group));
        let long =
            self.command_groups.get(index).is_some_and(|command_group| self.is_long_read(command_group));
        let patience =
            self.command_groups.get(index).map_or(0, |command_group| self.soft_timeout(command_group));
        let routers = self.number("routers", 1.0);
        let known = (self.members.get_mut(&dispatch.server), self.command_groups.get_mut(index));
        let (Some(member), Some(command_group)) = known else { return };
        if let Some(place) = member.in_flight.iter().position(|o| *o == (dispatch.sent, index)) {
            member.in_flight.swap_remove(place);
        }
        let target = command_group.response_target as f64;
        if let Some(group) = self.groups.get_mut(&member.group) {
            let missed = outcome.ending == DispatchEnd::Missed && command_group.need != Need::Write;
            let lost = matches!(outcome.ending, DispatchEnd::SentBack | DispatchEnd::TimedOut);
            group.count_outcome(now, missed || lost || outcome.took as f64 > target);
        }
        let lasted = matches!(outcome.ending, DispatchEnd::Answered | DispatchEnd::TimedOut) && !long;
        if let Some(queue) =
            member.recent_queue(dispatch.sent, QUEUE_REPORT_LIFETIME).filter(|q| lasted && *q >= 0.5)
        {
            let waited = (outcome.took as f64 - command_group.prompt_time).max(0.0);
            self.stats.learn_queue_wait(queue, waited);
        }
        let (mut step, slow) = (0.0, outcome.took as f64 > target * SLOW_WAIT_SHARE);
        match outcome.ending {
            DispatchEnd::Answered => {
                let took = outcome.took as f64;
                command_group.record_answer_time(took);
                self.stats.recent_answers.add(now, HEDGE_BUDGET_HALF_LIFE, 1.0);
                self.stats.answered_work.add(now, WORK_HALF_LIFE, command_group.work_per_command());
                let waited = (took - command_group.prompt_time).max(0.0);
                // Long reads vary too much in their work to show how long others wait.
                if !long {
                    member.record_wait(now, waited);
                }
                let few = (UNQUEUED_CONCURRENCY / (member.concurrency_limit * routers)).sqrt();
                let late = waited > target * (IN_TIME_SHARE * few).clamp(SLOW_WAIT_SHARE, IN_TIME_SHARE);
                step = if long { 0.0 } else { [SHED_DECREASE, -SHED_INCREASE][usize::from(late)] };
                if late {
                    member.lower_concurrency_limit();
                } else {
                    member.raise_concurrency_limit();
                }
                member.answers.add(now, FAILURE_HALF_LIFE, 1.0);
                (member.answered_at, member.down) = (now, false);
                member.latest_answered_sent_at = member.latest_answered_sent_at.max(dispatch.sent);
            }
            DispatchEnd::Missed => {
                (member.answered_at, member.down) = (now, false);
                member.missed_position = bound.map(|bound| (bound, now)).or(member.missed_position);
            }
            DispatchEnd::SentBack => {
                (member.answered_at, step) = (now, -SHED_INCREASE);
                member.lower_concurrency_limit();
            }
            DispatchEnd::Errored => {
                member.answered_at = now;
                // Some commands fail on any member. So the first error counts against its member only until
                // another member fails the same command.
                let erred =
                    |d: &&Dispatch| d.ended == Some(DispatchEnd::Errored) && d.server != dispatch.server;
                let mut others = pending.dispatches.iter().filter(erred);
                match (others.next(), others.next()) {
                    (None, _) => member.failures.add(now, FAILURE_HALF_LIFE, 1.0),
                    (Some(first), None) => {
                        if let Some(member) = self.members.get_mut(&first.server) {
                            member.failures.add(now, FAILURE_HALF_LIFE, -1.0);
                        }
                    }
                    _ => {}
                }
            }
            // With many low-traffic routers, a client that left early would otherwise take a member out.
            DispatchEnd::TimedOut if outcome.took < patience && routers > INITIAL_LIMIT_ALL_ROUTERS => {}
            DispatchEnd::TimedOut if member.answered_at < dispatch.sent => {
                // No answer since it was sent: considered down until a probe or an answer arrives.
                member.failures.add(now, FAILURE_HALF_LIFE, 1.0);
                member.down = true;
            }
            DispatchEnd::Unconnected | DispatchEnd::Reset => {
                member.connection_failed(now, dispatch.sent, outcome.ending)
            }
            // A lost answer is no sign of a queue: where later commands were answered, the limit stays.
            DispatchEnd::TimedOut | DispatchEnd::Recalled
                if slow && member.latest_answered_sent_at <= dispatch.sent =>
            {
                member.lower_concurrency_limit()
            }
            DispatchEnd::TimedOut | DispatchEnd::Recalled | DispatchEnd::Unsent => {}
        }
        if let Some(group) =
            self.groups.get_mut(&pending.command.group).filter(|_| routers > INITIAL_LIMIT_ALL_ROUTERS)
        {
            group.adjust_shedding(step);
        }
    }
}
