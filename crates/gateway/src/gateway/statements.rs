//! Jobs of server connections: their statements are checked again and written, and their answers and ends passed on.
//! Makes no decisions.

use tansyjunction::interface::*;

use super::Gateway;
use crate::wire::frames;
use crate::wire::server::{Job, Phase, ServerAnswer};
use crate::wire::statement::{new_wait, rewritten};

impl Gateway {
    /// Whether a connection's job may still be written: its client must be connected, and router and handover are
    /// asked again. While the statement waited or was half written, its server may have begun to drain, its
    /// deduplication window may have ended, or the server's data may be too old. The job then ends as never sent, and
    /// a connection with a part of it closes.
    pub(super) fn may_write_job(&mut self, key: u64) -> bool {
        let now = self.clock.now();
        let Some(connection) = self.servers.get(key).filter(|connection| connection.written.is_none()) else {
            return true;
        };
        let Some(Job::Command { command, dispatch }) = connection.job else { return true };
        let server = connection.server;
        let may = self.command_is_awaited(command)
            && self.handover_allows(command, server)
            && self.commands.may_write(&mut self.router, now, command, dispatch);
        if !may {
            self.cancel_unwritten(key);
        }
        may
    }

    /// After a list change, checks all unwritten statements at once, so that they have time to go elsewhere.
    pub(super) fn recheck_unwritten(&mut self) {
        for key in self.servers.unwritten(|_| true) {
            self.may_write_job(key);
        }
    }

    /// Records that a statement was completely written.
    pub(super) fn on_written(&mut self, key: u64, now: Micros) {
        let Some(connection) = self.servers.get(key) else { return };
        connection.written = Some(now);
        if let Some(Job::Command { command, dispatch }) = connection.job {
            self.commands.on_written(command, dispatch, now);
            self.remember_id(command);
        }
    }

    /// Remembers the id of a command with an effect, which may run from now on.
    fn remember_id(&mut self, command: u64) {
        let Some(pending) = self.commands.get(command) else { return };
        if !self.deployment.command_groups[pending.command.command_group].writes {
            return;
        }
        let in_hand = self.clients.waiting_for(command).and_then(|client| client.in_hand.as_ref());
        if let Some(in_hand) = in_hand {
            self.executed_ids.insert(in_hand.id);
        }
    }

    /// Writes the statement of a connection's job.
    pub(super) fn write_job(&mut self, key: u64) {
        if self.servers.get(key).is_some_and(|connection| connection.ended) {
            // Written to a connection that ended after its startup, a statement would count as possibly executed.
            self.end_connection(key, DispatchEnd::Unconnected);
            return;
        }
        if !self.may_write_job(key) {
            return;
        }
        let now = self.clock.now();
        let Some(connection) = self.servers.get(key) else { return };
        let due = connection.job_due;
        let written = match connection.job {
            Some(Job::Command { command, .. }) => {
                let Some(client) = self.clients.waiting_for(command) else { return };
                let Some(in_hand) = &client.in_hand else { return };
                let message = &client.inbox.rest()[..in_hand.length];
                let wait = new_wait(message, &in_hand.wait_at, (due.saturating_sub(now) / 1_000).max(1));
                let parts = rewritten(message, &in_hand.wait_at, &wait);
                let Some(connection) = self.servers.get(key) else { return };
                connection.outbox.write(&connection.stream, &parts)
            }
            Some(Job::Probe) => {
                let probe = if self.deployment.reports { frames::REPORT_PROBE } else { frames::PROBE };
                connection.outbox.write(&connection.stream, &[probe])
            }
            None => return,
        };
        let Some(connection) = self.servers.get(key) else { return };
        connection.protocol.phase = Phase::Busy;
        if written.is_err() {
            self.end_connection(key, DispatchEnd::Unconnected);
        } else if connection.outbox.is_empty() {
            self.on_written(key, now);
        } else if !self.may_keep_unwritten() {
            self.end_connection(key, DispatchEnd::Unsent);
        }
    }

    /// Sends a complete answer to the client that waits for it.
    pub(super) fn forward_answer(&mut self, key: u64, command: u64, parts: &[std::ops::Range<usize>]) {
        let Gateway { clients, servers, .. } = self;
        let (Some(connection), Some(client)) = (servers.get(key), clients.waiting_for(command)) else {
            return;
        };
        let rest = connection.protocol.inbox.rest();
        let mut bytes: Vec<&[u8]> = parts.iter().map(|part| &rest[part.clone()]).collect();
        bytes.push(frames::READY);
        let written = client.answer(&bytes);
        self.on_answered(command, written);
    }

    /// Reports the end of a connection's job to the router: as the server answered, or else `ending`.
    pub(super) fn finish_job(&mut self, key: u64, ending: DispatchEnd) {
        let Some(connection) = self.servers.get(key) else { return };
        let said = std::mem::take(&mut connection.protocol.server_answer);
        let (server, written) = (connection.server, connection.written);
        let ending = said.ending_by(connection.job == Some(Job::Probe), written.is_some(), ending);
        if let Some(job) = self.servers.finish(key) {
            self.job_ended(server, job, ending, said, written);
        }
    }

    pub(super) fn job_ended(
        &mut self,
        server: usize,
        job: Job,
        ending: DispatchEnd,
        said: ServerAnswer,
        written: Option<Micros>,
    ) {
        match job {
            Job::Command { command, dispatch } => self.dispatch_ended(command, dispatch, ending, said),
            Job::Probe => {
                let now = self.clock.now();
                let took = said.at.unwrap_or(now).saturating_sub(written.unwrap_or(now));
                self.observe_role_by_probe(now, server, ending, said.row.or(said.report), said.stated);
                self.on_shared_probe_ended(server);
                self.observe_probe(now, server, ending, said.row.or(said.report).unwrap_or(said.stated));
                self.router.on_probe_result(now, server, took, ending, said.row.or(said.report));
                self.router_due = now;
            }
        }
    }

    /// Cancels a dispatch of a finished command that is not completely written, so it has not executed. Otherwise the
    /// rest would be written, and executed, for a client that has gone.
    pub(super) fn cancel_unwritten(&mut self, key: u64) {
        let Some(connection) = self.servers.get(key) else { return };
        if connection.job.is_none() || connection.written.is_some() {
            return;
        }
        match connection.protocol.phase {
            Phase::Ready => {
                self.finish_job(key, DispatchEnd::Unsent);
                self.set_idle(key);
            }
            Phase::Synchronizing => {
                self.finish_job(key, DispatchEnd::Unsent);
                self.servers.set_synchronizing(key);
            }
            Phase::Connecting | Phase::Starting | Phase::Busy => {
                self.end_connection(key, DispatchEnd::Unsent);
            }
        }
    }
}
