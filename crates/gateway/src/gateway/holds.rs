//! Connects the gateway to the handover: reports events to it, and releases or answers held writes. Makes no decisions.

use tansyjunction::interface::*;
use tansyjunction_handover::{Admission, Handover, HandoverConfig, Write};
use tansyjunction_settings::ProgramSettings;
use tracing::{debug, info};

use super::Gateway;
use crate::run::deployment::Deployment;
use crate::wire::server::{Job, ServerAnswer};

/// The handover of this gateway.
pub struct WriteHolding {
    pub handover: Handover,
}

impl WriteHolding {
    /// `None` if the settings disable it.
    pub fn new(deployment: &Deployment, program: &ProgramSettings) -> Option<WriteHolding> {
        let set = &program.handover;
        if !set.enabled {
            return None;
        }
        let figures = HandoverConfig {
            max_held_writes: set.held_most,
            max_held_bytes: set.held_bytes,
            max_held_per_client: set.held_client,
            max_held_bytes_total: deployment.memory / 100 * set.held_memory,
            catch_up_timeout: set.announce_for,
            drain_timeout: set.drain_for,
            switch_timeout: set.switch_for,
            max_target_lag: set.caught_up,
            release_gap: set.gap,
            min_release_gap: set.gap_least,
            gateways: deployment.gateways,
            expected_duration: set.usual,
            probe_interval: if deployment.probes && deployment.reports { set.look_every } else { 0 },
            suspect_after: set.suspect_after,
            claim_lifetime: set.doubt_for,
            ..HandoverConfig::default()
        };
        Some(WriteHolding { handover: Handover::new(figures, deployment.seed) })
    }
}

impl Gateway {
    /// The handover's view of a command; `None` if it is not a write.
    fn as_write(&self, command: u64) -> Option<Write> {
        self.handover.as_ref()?;
        let held = self.commands.get(command)?;
        let Command { command_group, group, session, arrived, client_timeout, .. } = held.command;
        let kind = &self.deployment.command_groups[command_group];
        if !kind.primary || group == usize::MAX {
            return None;
        }
        let ran = held.dispatches.iter().find(|d| d.ended.is_none_or(|ended| !ended.never_ran()));
        let (within, keyed) = (kind.repeat_within, kind.repeat_within > 0);
        let repeat_until = ran.map(|first| if keyed { first.sent + within } else { 0 });
        let client = self.clients.client_of(command)?;
        let bytes = self.clients.peek(client)?.in_hand.as_ref()?.length;
        let (id, shard) = (command, group);
        Some(Write { id, shard, client, session, bytes, arrived, client_timeout, keyed, repeat_until })
    }

    /// Whether a command may go to the router now. Holds it, or answers it if it cannot be held.
    pub(super) fn handover_admits(&mut self, now: Micros, command: u64) -> bool {
        let out = |held: &PendingCommand| held.dispatches.iter().any(|d| d.ended.is_none());
        if self.handover.is_none() || self.commands.get(command).is_none_or(out) {
            return true;
        }
        let Some(write) = self.as_write(command) else { return true };
        let Some(holds) = &mut self.handover else { return true };
        if holds.handover.is_held(command) {
            return false;
        }
        match holds.handover.admit(now, &write) {
            Admission::Pass => true,
            Admission::Hold => {
                debug!(target: "servers", command, shard = write.shard, "a write is held");
                false
            }
            Admission::Throttle { retry_after: come_back } => {
                self.give_up(command, FinalAnswer::Throttled { retry_after: come_back });
                false
            }
            Admission::Fail => {
                self.give_up(command, FinalAnswer::Failed);
                false
            }
        }
    }

    fn give_up(&mut self, command: u64, last: FinalAnswer) {
        self.commands.finish(command);
        self.answer_finally(command, last);
    }

    /// Whether a write may go to the server that the router chose.
    pub(super) fn handover_allows(&mut self, command: u64, server: usize) -> bool {
        let Some(write) = self.as_write(command) else { return true };
        let Some(holds) = &mut self.handover else { return true };
        holds.handover.may_write_to(write.shard, server, command)
    }

    pub(super) fn handover_forget(&mut self, command: u64) {
        let now = self.clock.now();
        if let Some(holds) = &mut self.handover {
            holds.handover.on_write_finished(now, command);
        }
    }

    /// Reports the end of a dispatch as evidence of its server's role.
    pub(super) fn observe_role(
        &mut self,
        now: Micros,
        command: u64,
        dispatch: usize,
        ending: DispatchEnd,
        said: &ServerAnswer,
    ) {
        let Some(held) = self.commands.get(command).filter(|_| self.handover.is_some()) else { return };
        let (shard, kind) = (held.command.group, held.command.command_group);
        let Some(server) = held.dispatches.get(dispatch).map(|d| d.server) else { return };
        let write = self.deployment.command_groups[kind].primary;
        let Some(holds) = &mut self.handover else { return };
        let (stated, handover) = (said.stated, &mut holds.handover);
        match ending {
            DispatchEnd::Answered if write => {
                handover.on_write_answered(now, shard, server, command, stated.position)
            }
            DispatchEnd::Missed if write => handover.on_primary_denial(now, shard, server, None),
            DispatchEnd::Unconnected | DispatchEnd::Reset | DispatchEnd::TimedOut => {
                handover.on_failure(now, shard, server);
            }
            DispatchEnd::Unsent | DispatchEnd::Recalled => {}
            _ => self.report_role(now, shard, server, stated),
        }
    }

    fn report_role(&mut self, now: Micros, shard: usize, server: usize, report: Report) {
        let Some(holds) = &mut self.handover else { return };
        match report.primary {
            Some(true) => holds.handover.on_primary_claim(now, shard, server, report.position),
            Some(false) => holds.handover.on_primary_denial(now, shard, server, report.position),
            None => {}
        }
    }

    pub(super) fn observe_role_by_probe(
        &mut self,
        now: Micros,
        server: usize,
        ending: DispatchEnd,
        report: Option<Report>,
        stated: Report,
    ) {
        let Some(shard) = self.servers.shard(server).filter(|_| self.handover.is_some()) else { return };
        if let Some(holds) = &mut self.handover
            && matches!(ending, DispatchEnd::Unconnected | DispatchEnd::Reset | DispatchEnd::TimedOut)
        {
            holds.handover.on_failure(now, shard, server);
            return;
        }
        // The state in the answer itself is newer than the load report.
        let newest = if stated.primary.is_some() { Some(stated) } else { report };
        if let Some(report) = newest {
            self.report_role(now, shard, server, report);
        }
    }

    pub(super) fn handover_on_list(&mut self, now: Micros, entries: &[ServerListEntry]) {
        let gone_binds = self.deployment.removal_is_final;
        for entry in entries {
            self.servers.set_shard(entry.server, entry.group);
            let Some(holds) = &mut self.handover else { continue };
            let leaving = match entry.state {
                ServerState::Serving => false,
                ServerState::Draining => true,
                ServerState::Gone => gone_binds,
            };
            holds.handover.on_list_entry(now, entry.group, entry.server, entry.primary, leaving);
        }
    }

    /// Releases and answers writes that are due.
    pub(super) fn run_handover(&mut self) {
        let now = self.clock.now();
        // Released writes may end at once and make others due; after a few rounds the rest waits for the next
        // iteration.
        for _ in 0..4 {
            let Some(holds) = self.handover.as_mut().filter(|h| h.handover.next_due() <= now) else { return };
            let due = holds.handover.due(now);
            self.log_phases(&due.changed_shards);
            if !due.changed_shards.is_empty() {
                self.consensus_on_phase();
            }
            for (command, come_back) in due.give_up {
                let last = come_back.map_or(FinalAnswer::Failed, |come_back| FinalAnswer::Throttled {
                    retry_after: come_back,
                });
                self.give_up(command, last);
            }
            for server in due.probe {
                let until = now + self.deployment.connect_within;
                if let Err(ending) = self.start_job(server, Job::Probe, until) {
                    self.job_ended(server, Job::Probe, ending, ServerAnswer::default(), None);
                }
            }
            for command in due.cancel {
                self.cancel_dispatches(command);
            }
            for command in due.release {
                // Restarts the hold time at the router, so that a released write that finds no capacity is not
                // throttled at once.
                self.commands.set_arrival(command, now);
                self.place_with_router(now, command);
            }
        }
    }

    /// Cancels the dispatches of a command, if the settings allow it.
    fn cancel_dispatches(&mut self, command: u64) {
        let Some(held) = self.commands.get(command).filter(|_| self.deployment.may_cancel) else { return };
        let out = held.dispatches.iter().enumerate().filter(|(_, d)| d.ended.is_none());
        for dispatch in out.map(|(place, _)| place).collect::<Vec<_>>() {
            self.cancel_dispatch(command, dispatch);
        }
    }

    fn log_phases(&self, turned: &[usize]) {
        let Some(holds) = self.handover.as_ref().filter(|_| !turned.is_empty()) else { return };
        for status in holds.handover.all_status().iter().filter(|status| turned.contains(&status.shard)) {
            let shard = self.groups.name(status.shard);
            let primary = status.primary.map_or("nobody", |server| self.servers_named.name(server));
            let (phase, held, term) = (status.phase.name(), status.held, status.term);
            info!(target: "servers", "shard {shard} is {phase}, led by {primary}: {held} held, term {term}");
        }
    }
}
