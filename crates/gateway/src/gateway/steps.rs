//! Logs each step of each command, target `commands` at level debug, for `tansyjunction account`. While disabled,
//! which is the default, it costs only the check of a flag.

use tansyjunction::interface::*;
use tracing::debug;

use super::Gateway;
use crate::wire::server::Job;

/// Whether the log level enables it; read once at the start.
pub fn is_enabled() -> bool {
    tracing::enabled!(target: "commands", tracing::Level::DEBUG)
}

/// Describes the diagnosis of each member, for example `primary:Room cold:Warmth Freshness`.
fn describe(lacking: &[MemberDiagnosis]) -> String {
    let word = |one: &MemberDiagnosis| {
        let cold = if one.cold { "cold:" } else { "" };
        format!("{}{cold}{:?}", if one.primary { "primary:" } else { "" }, one.missing)
    };
    let mut words: Vec<String> = lacking.iter().map(word).collect();
    words.sort();
    words.dedup();
    words.join(" ")
}

impl Gateway {
    pub(super) fn step_taken(&self, command: u64) {
        let Some(held) = self.commands.get(command).filter(|_| self.log_steps) else { return };
        let Some(in_hand) = self.in_hand(command) else { return };
        let (cmd, kind) = (&held.command, &self.deployment.command_groups[held.command.command_group]);
        let (wait, target) = (cmd.client_timeout.saturating_sub(cmd.arrived), kind.response_target);
        debug!(target: "commands", step = "taken", command, id = %in_hand, at = cmd.arrived, group = %kind.name, wait, target_us = target);
    }

    fn in_hand(&self, command: u64) -> Option<String> {
        let client = self.clients.peek(self.clients.client_of(command)?)?;
        let id = &client.inbox.rest()[client.in_hand.as_ref()?.id_at.clone()];
        Some(String::from_utf8_lossy(id).into_owned())
    }

    /// Records the diagnosis of the members before a command is placed, in case it is abandoned or dispatched.
    pub(super) fn step_asked(&mut self, now: Micros, command: u64) {
        let Some(held) = self.commands.get(command).filter(|_| self.log_steps) else { return };
        self.diagnosis = self.router.diagnose(now, held);
    }

    pub(super) fn step_placed(&self, command: u64, place: &Placement) {
        let Placement::Dispatch { server, .. } = place else { return };
        if !self.log_steps {
            return;
        }
        let found = self.diagnosis.iter().find(|one| one.server == *server);
        let (primary, cold) = found.map_or((false, false), |one| (one.primary, one.cold));
        let (at, name) = (self.clock.now(), self.servers_named.name(*server));
        debug!(target: "commands", step = "sent", command, at, server = name, primary, cold);
    }

    /// Logs a new connection for a command or a probe.
    pub(super) fn step_opened(&self, server: usize, job: &Job) {
        if self.log_steps {
            let (at, server, probe) = (self.clock.now(), self.servers_named.name(server), *job == Job::Probe);
            debug!(target: "commands", step = "opened", at, server, probe);
        }
    }

    pub(super) fn step_ended(&self, at: Micros, command: u64, dispatch: usize, ending: DispatchEnd) {
        if self.log_steps {
            debug!(target: "commands", step = "ended", command, at, dispatch, ending = ?ending);
        }
    }

    pub(super) fn step_given_up(&self, command: u64, last: FinalAnswer) {
        if self.log_steps {
            let what = if last == FinalAnswer::Failed { "failed" } else { "throttled" };
            let (at, lacks) = (self.clock.now(), describe(&self.diagnosis));
            debug!(target: "commands", step = "over", command, at, what, lacks);
        }
    }

    /// Logs the answer to a command; abandoned commands are logged elsewhere.
    pub(super) fn step_over(&self, at: Micros, command: u64) {
        if self.log_steps {
            debug!(target: "commands", step = "over", command, at, what = "answered");
        }
    }

    pub(super) fn step_left(&self, command: u64) {
        if self.log_steps {
            debug!(target: "commands", step = "over", command, at = self.clock.now(), what = "left");
        }
    }
}
