//! Server connections: opened, assigned jobs, read and closed. Makes no decisions.

use calloop::Readiness;
use tansyjunction::interface::*;
use tracing::warn;

use super::{Due, Gateway, is_out_of_descriptors};
use crate::wire::frames;
use crate::wire::server::{Event, Job, Phase, ServerAnswer, ServerConnection};

/// Idle server connections are closed after this fraction of the configured idle time, so that the server's own close
/// does not cross a statement.
const IDLE_TIME_SHARE: f64 = 0.8;

impl Gateway {
    /// Assigns a job to a connection and returns it: to an idle one, to one that synchronizes, which takes less time than
    /// opening another, or to a new one. `Err`: how the job ended if there is none.
    pub(super) fn start_job(&mut self, server: usize, job: Job, due: Micros) -> Result<u64, DispatchEnd> {
        if let Some(key) = self.start_on_idle(server, job, due) {
            return Ok(key);
        }
        if let Some(key) = self.servers.take_synchronizing(server) {
            self.begin_before_ready(key, job, due);
            return Ok(key);
        }
        self.start_on_new(server, job, due)
    }

    /// Writes a job to an idle connection, if there is one.
    fn start_on_idle(&mut self, server: usize, job: Job, due: Micros) -> Option<u64> {
        // Probes use the least recently used connections, which keeps them open.
        while let Some(key) = self.servers.take_idle(server, job != Job::Probe) {
            if self.servers.get(key).is_some_and(ServerConnection::is_quiet) {
                self.servers.begin(key, job, due);
                self.connection_timeout(key, due);
                self.write_job(key);
                return Some(key);
            }
            self.close_connection(key);
        }
        None
    }

    /// Opens a connection for a job.
    fn start_on_new(&mut self, server: usize, job: Job, due: Micros) -> Result<u64, DispatchEnd> {
        let Some(address) = self.servers.address(server) else { return Err(DispatchEnd::Unsent) };
        if !self.has_free_descriptor(false) {
            warn!(target: "limits", "no file descriptor left for a connection to {}", self.servers_named.name(server));
            return Err(DispatchEnd::Unsent);
        }
        let key = self.number();
        let stream = match self.connect(address) {
            Ok(stream) => stream,
            Err(error) => {
                warn!(target: "servers", "{}: {error}", self.servers_named.name(server));
                // A lack of descriptors is this process's problem and must not count as a refused connection.
                return Err(if is_out_of_descriptors(&error) {
                    DispatchEnd::Unsent
                } else {
                    DispatchEnd::Unconnected
                });
            }
        };
        let watched = self.watch(stream, move |gateway, readiness| gateway.connection_ready(key, readiness));
        let Ok((stream, token)) = watched else { return Err(DispatchEnd::Unsent) };
        self.step_opened(server, &job);
        let (now, unreserved) = (self.clock.now(), self.buffer_limits().unreserved());
        self.servers.add(key, ServerConnection::new(server, stream, token, now, unreserved));
        self.begin_before_ready(key, job, due);
        Ok(key)
    }

    /// Assigns a job to a connection that is being opened or synchronized; its statement is written afterwards.
    fn begin_before_ready(&mut self, key: u64, job: Job, due: Micros) {
        let now = self.clock.now();
        self.servers.begin(key, job, due);
        self.connection_timeout(key, due.min(now + self.deployment.connect_within));
    }

    pub(super) fn connection_timeout(&mut self, key: u64, due: Micros) {
        if let Some(connection) = self.servers.get(key) {
            connection.due.set(&mut self.due, Due::ServerConnection(key), due);
        }
    }

    pub(super) fn connection_ready(&mut self, key: u64, readiness: Readiness) {
        let Some(connection) = self.servers.get(key) else { return };
        if connection.protocol.phase == Phase::Connecting {
            if let Ok(Some(error)) | Err(error) = connection.stream.take_error() {
                connection.reopened |= error.kind() == std::io::ErrorKind::ConnectionRefused;
                self.end_connection(key, DispatchEnd::Unconnected);
                return;
            }
            if !readiness.writable || connection.stream.peer_addr().is_err() {
                return;
            }
            connection.protocol.phase = Phase::Starting;
            if connection.outbox.write(&connection.stream, &[frames::START]).is_err() {
                self.end_connection(key, DispatchEnd::Unconnected);
                return;
            }
        } else if readiness.writable && !connection.outbox.is_empty() {
            let now = self.clock.now();
            if !self.may_write_job(key) {
                return;
            }
            let Some(connection) = self.servers.get(key) else { return };
            if connection.outbox.flush(&connection.stream).is_err() {
                self.end_connection(key, DispatchEnd::Reset);
                return;
            }
            if connection.outbox.is_empty() && connection.protocol.phase == Phase::Busy {
                self.on_written(key, now);
            }
        }
        let Some(connection) = self.servers.get(key) else { return };
        if readiness.readable {
            connection.read();
        }
        self.read_connection(key);
    }

    pub(super) fn read_connection(&mut self, key: u64) {
        let now = self.clock.now();
        loop {
            let Some(connection) = self.servers.get(key) else { return };
            match connection.protocol.next_event(now) {
                Event::Ready => self.on_connection_ready(key),
                Event::Answer(parts) => {
                    if let Some(Job::Command { command, .. }) = connection.job {
                        self.commands.on_answer(&mut self.router, now, command);
                        self.forward_answer(key, command, &parts);
                    }
                }
                Event::Done => {
                    // After a rejection of a half-written statement, the rest must not be written to the idle
                    // connection while the command is placed again.
                    let ended = connection.ended || !connection.outbox.is_empty();
                    self.finish_job(key, DispatchEnd::Reset);
                    if ended {
                        self.close_connection(key);
                    } else {
                        self.synchronize(key);
                    }
                }
                Event::NeedsMemory(bytes) => {
                    if !self.reserve_answer(key, bytes) {
                        return;
                    }
                }
                Event::Nothing if connection.more => connection.read(),
                Event::Nothing if !connection.ended => return,
                Event::Nothing => {
                    self.end_connection(key, DispatchEnd::Reset);
                    return;
                }
                Event::Invalid => {
                    self.close_invalid(key);
                    return;
                }
            }
        }
    }

    /// Uses a connection whose startup or synchronization is complete for the job that waits for it, if any.
    fn on_connection_ready(&mut self, key: u64) {
        let Some(connection) = self.servers.get(key) else { return };
        if !connection.protocol.inbox.rest().is_empty() {
            // What follows the last answer would be read as that of the next statement.
            self.end_connection(key, DispatchEnd::Unconnected);
            return;
        }
        if connection.job.is_none() {
            self.set_idle(key);
            return;
        }
        let due = connection.job_due;
        self.connection_timeout(key, due);
        self.write_job(key);
    }

    /// Sends an empty query behind an answer. ReadyForQuery does not prove that nothing more of the answer follows, such
    /// as a second copy; the answer to the next query does, since a connection keeps the order.
    fn synchronize(&mut self, key: u64) {
        let now = self.clock.now();
        let Some(connection) = self.servers.get(key) else { return };
        connection.idle_since = now;
        connection.protocol.synchronize();
        let written = connection.outbox.write(&connection.stream, &[frames::SYNC_QUERY]);
        if written.is_err() || !connection.outbox.is_empty() {
            self.close_connection(key);
            return;
        }
        self.servers.set_synchronizing(key);
        self.connection_timeout(key, now + self.deployment.connect_within);
    }

    /// Closes a connection after invalid data, which is no evidence against its server. The job's result is discarded
    /// with it; an earlier complete answer stays. Invalid answers must not take out one server after the other.
    pub(super) fn close_invalid(&mut self, key: u64) {
        let Some(connection) = self.servers.get(key) else { return };
        let started = matches!(connection.protocol.phase, Phase::Ready | Phase::Busy);
        if started && connection.protocol.server_answer.ending.is_none() {
            warn!(target: "servers", "invalid data from a server");
            connection.protocol.server_answer = ServerAnswer::default();
        }
        let ending = match connection.job {
            _ if !started => DispatchEnd::Reset,
            Some(Job::Probe) => DispatchEnd::Recalled,
            _ => DispatchEnd::Errored,
        };
        self.end_connection(key, ending);
    }

    /// Makes a connection idle.
    pub(super) fn set_idle(&mut self, key: u64) {
        let now = self.clock.now();
        if let Some(connection) = self.servers.get(key) {
            connection.idle_since = now;
        }
        self.connection_timeout(key, now + (self.deployment.idle_for as f64 * IDLE_TIME_SHARE) as Micros);
        self.servers.set_idle(key);
    }

    /// Handles the end of a connection, and of its job unless another connection takes it over.
    pub(super) fn end_connection(&mut self, key: u64, ending: DispatchEnd) {
        if !self.reopen(key, ending) {
            self.finish_job(key, ending);
            self.close_connection(key);
        }
    }

    /// Uses another connection once for a job whose own broke before its statement was written. A server may reset some
    /// new connections; one that is gone refuses them.
    pub(super) fn reopen(&mut self, key: u64, ending: DispatchEnd) -> bool {
        let Some(connection) = self.servers.get(key) else { return false };
        let broke = matches!(ending, DispatchEnd::Unconnected | DispatchEnd::Reset)
            && connection.protocol.server_answer.ending.is_none();
        let new = connection.protocol.phase != Phase::Busy;
        if !broke || !new || connection.reopened {
            return false;
        }
        let (server, due) = (connection.server, connection.job_due);
        let Some(job) = self.servers.finish(key) else { return false };
        self.close_connection(key);
        let idle = self.start_on_idle(server, job, due);
        match idle.map_or_else(|| self.start_on_new(server, job, due), Ok) {
            Ok(key) => {
                if let Some(connection) = self.servers.get(key) {
                    connection.reopened = true;
                }
            }
            Err(ending) => self.job_ended(server, job, ending, ServerAnswer::default(), None),
        }
        true
    }

    /// Closes a server connection; the only place that does.
    pub(super) fn close_connection(&mut self, key: u64) {
        if let Some(connection) = self.servers.remove(key) {
            self.handle.remove(connection.token);
        }
    }
}
