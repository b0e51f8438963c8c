//! The connections to servers: opened, given their jobs, heard and given up. Nothing is decided here.

use calloop::Readiness;
use tansyjunction::interface::*;
use tracing::warn;

use super::{Due, Gateway, is_no_descriptor};
use crate::wire::frames;
use crate::wire::server::{Heard, Job, Line, Phase, Said};
use crate::wire::statement::{new_wait, rewritten};

/// An idle connection to a server is closed after this part of the time that the settings give it, so that the
/// server's own closing does not cross a statement.
const IDLE_PART: f64 = 0.8;

impl Gateway {
    /// Gives a job to an idle connection or a new one, and tells which; Err tells how it ended where neither is to be
    /// had.
    pub(super) fn begin(
        &mut self,
        server: usize,
        job: Job,
        now: Micros,
        due: Micros,
    ) -> Result<u64, DispatchEnd> {
        // Probes keep connections in use that commands leave alone.
        while let Some(key) = self.servers.take_idle(server, job != Job::Probe) {
            if self.servers.get(key).is_some_and(Line::is_quiet) {
                self.servers.begin(key, job, due);
                self.line_due(key, due);
                self.write_job(key);
                return Ok(key);
            }
            self.close_line(key);
        }
        let Some(address) = self.servers.address(server) else { return Err(DispatchEnd::Unsent) };
        if !self.room_for_one(false) {
            warn!(target: "limits", "no descriptor left for a connection to {}", self.servers_named.name(server));
            return Err(DispatchEnd::Unsent);
        }
        let key = self.number();
        let stream = match self.connect(address) {
            Ok(stream) => stream,
            Err(error) => {
                warn!(target: "servers", "{}: {error}", self.servers_named.name(server));
                // Guards against servers taken for ones that refuse where it is this process that has no
                // descriptor left.
                return Err(if is_no_descriptor(&error) {
                    DispatchEnd::Unsent
                } else {
                    DispatchEnd::Unconnected
                });
            }
        };
        let watched = self.watch(stream, move |gateway, readiness| gateway.line_ready(key, readiness));
        let Ok((stream, token)) = watched else { return Err(DispatchEnd::Unsent) };
        self.step_opened(server, &job);
        self.servers.add(key, Line::new(server, stream, token, now));
        self.servers.begin(key, job, due);
        self.line_due(key, due.min(now + self.deployment.connect_within));
        Ok(key)
    }

    pub(super) fn line_due(&mut self, key: u64, due: Micros) {
        if let Some(line) = self.servers.get(key) {
            line.due.set(&mut self.due, Due::Line(key), due);
        }
    }

    pub(super) fn line_ready(&mut self, key: u64, readiness: Readiness) {
        let Some(line) = self.servers.get(key) else { return };
        if line.talk.phase == Phase::Connecting {
            if let Ok(Some(error)) | Err(error) = line.stream.take_error() {
                line.reopened |= error.kind() == std::io::ErrorKind::ConnectionRefused;
                self.end_line(key, DispatchEnd::Unconnected);
                return;
            }
            if !readiness.writable || line.stream.peer_addr().is_err() {
                return;
            }
            line.talk.phase = Phase::Starting;
            if line.outbox.write(&line.stream, &[frames::START]).is_err() {
                self.end_line(key, DispatchEnd::Unconnected);
                return;
            }
        } else if readiness.writable && !line.outbox.is_empty() {
            let now = self.clock.now();
            if !self.may_write(key) {
                return;
            }
            let Some(line) = self.servers.get(key) else { return };
            if line.outbox.flush(&line.stream).is_err() {
                self.end_line(key, DispatchEnd::Reset);
                return;
            }
            if line.outbox.is_empty() && line.talk.phase == Phase::Busy {
                self.wrote(key, now);
            }
        }
        let Some(line) = self.servers.get(key) else { return };
        if readiness.readable {
            line.read();
        }
        self.hear_line(key);
    }

    pub(super) fn hear_line(&mut self, key: u64) {
        let now = self.clock.now();
        loop {
            let Some(line) = self.servers.get(key) else { return };
            match line.talk.hear(now) {
                Heard::Ready => {
                    let due = line.job_due;
                    self.line_due(key, due);
                    self.write_job(key);
                }
                Heard::Answer(parts) => {
                    if let Some(Job::Command { command, .. }) = line.job {
                        self.pass_on(key, command, &parts);
                    }
                }
                Heard::Done => {
                    // Guards against a statement that was turned away half written, and whose rest would go out
                    // on the resting connection while the command is on its way again.
                    let ended = line.ended || !line.outbox.is_empty();
                    self.finish_job(key, DispatchEnd::Reset);
                    if ended {
                        self.close_line(key);
                    } else {
                        self.rest_line(key);
                    }
                }
                Heard::Nothing if !line.ended => return,
                Heard::Nothing => {
                    self.end_line(key, DispatchEnd::Reset);
                    return;
                }
                Heard::Nonsense => {
                    self.spoilt(key);
                    return;
                }
            }
        }
    }

    /// What came makes no sense: the connection is of no more use, but nothing is known against its server. What was
    /// said along with it does not count, a good answer before it does. Guards against spoilt answers that shut one
    /// server after the other.
    pub(super) fn spoilt(&mut self, key: u64) {
        let Some(line) = self.servers.get(key) else { return };
        let started = matches!(line.talk.phase, Phase::Ready | Phase::Busy);
        if started && line.talk.said.ending.is_none() {
            warn!(target: "servers", "what a server said makes no sense");
            line.talk.said = Said::default();
        }
        let ending = match line.job {
            _ if !started => DispatchEnd::Reset,
            Some(Job::Probe) => DispatchEnd::Recalled,
            _ => DispatchEnd::Errored,
        };
        self.end_line(key, ending);
    }

    /// Whether a connection's job may go on to be written: its client is looked for, and the router and the holds are
    /// asked again. Guards against a statement that waited for its connection or lay half written in it, while its
    /// server began to drain, its window for repeats ran out or its data grew too old. It ends as never sent, and
    /// with it a connection that has a part of it.
    pub(super) fn may_write(&mut self, key: u64) -> bool {
        let now = self.clock.now();
        let Some(line) = self.servers.get(key).filter(|line| line.written.is_none()) else { return true };
        let Some(Job::Command { command, dispatch }) = line.job else { return true };
        let server = line.server;
        let may = self.still_waits(command)
            && self.may_go(command, server)
            && self.commands.may_write(&mut self.router, now, command, dispatch);
        if !may {
            self.call_off_unwritten(key);
        }
        may
    }

    /// The list has changed: what waits to be written is judged at once, so that it has time to go elsewhere.
    pub(super) fn judge_unwritten(&mut self) {
        for key in self.servers.unwritten(|_| true) {
            self.may_write(key);
        }
    }

    /// The statement of a connection's job is written whole.
    fn wrote(&mut self, key: u64, now: Micros) {
        let Some(line) = self.servers.get(key) else { return };
        line.written = Some(now);
        if let Some(Job::Command { command, dispatch }) = line.job {
            self.commands.on_written(command, dispatch, now);
        }
    }

    /// Writes the statement of a connection's job.
    pub(super) fn write_job(&mut self, key: u64) {
        if self.servers.get(key).is_some_and(|line| line.ended) {
            // Guards against a statement that is written to a connection that ended behind its startup, and
            // then counts as one that may have run.
            self.end_line(key, DispatchEnd::Unconnected);
            return;
        }
        if !self.may_write(key) {
            return;
        }
        let now = self.clock.now();
        let Some(line) = self.servers.get(key) else { return };
        let due = line.job_due;
        let written = match line.job {
            Some(Job::Command { command, .. }) => {
                let Some(client) = self.clients.waiting_for(command) else { return };
                let Some(in_hand) = &client.in_hand else { return };
                let message = &client.inbox.rest()[..in_hand.length];
                let wait = new_wait(message, &in_hand.wait_at, (due.saturating_sub(now) / 1_000).max(1));
                let parts = rewritten(message, &in_hand.wait_at, &wait);
                let Some(line) = self.servers.get(key) else { return };
                line.outbox.write(&line.stream, &parts)
            }
            Some(Job::Probe) => {
                let probe = if self.deployment.reports { frames::REPORT_PROBE } else { frames::PROBE };
                line.outbox.write(&line.stream, &[probe])
            }
            None => return,
        };
        let Some(line) = self.servers.get(key) else { return };
        line.talk.phase = Phase::Busy;
        if written.is_err() {
            self.end_line(key, DispatchEnd::Unconnected);
        } else if line.outbox.is_empty() {
            self.wrote(key, now);
        }
    }

    /// Hands a whole answer to the client that waits for it.
    pub(super) fn pass_on(&mut self, key: u64, command: u64, parts: &[std::ops::Range<usize>]) {
        let Gateway { clients, servers, .. } = self;
        let (Some(line), Some(client)) = (servers.get(key), clients.waiting_for(command)) else { return };
        let rest = line.talk.inbox.rest();
        let mut bytes: Vec<&[u8]> = parts.iter().map(|part| &rest[part.clone()]).collect();
        bytes.push(frames::READY);
        let written = client.answer(&bytes);
        self.commands.mark_finished(command);
        self.answered(command, written);
    }

    /// Tells the router how the job of a connection ended: as the server said, or else by `ending`.
    pub(super) fn finish_job(&mut self, key: u64, ending: DispatchEnd) {
        let Some(line) = self.servers.get(key) else { return };
        let said = std::mem::take(&mut line.talk.said);
        let (server, written) = (line.server, line.written);
        let ending = said.ending_by(line.job == Some(Job::Probe), written.is_some(), ending);
        if let Some(job) = self.servers.finish(key) {
            self.job_ended(server, job, ending, said, written);
        }
    }

    pub(super) fn job_ended(
        &mut self,
        server: usize,
        job: Job,
        ending: DispatchEnd,
        said: Said,
        written: Option<Micros>,
    ) {
        match job {
            Job::Command { command, dispatch } => self.dispatch_ended(command, dispatch, ending, said),
            Job::Probe => {
                let now = self.clock.now();
                let took = said.at.unwrap_or(now).saturating_sub(written.unwrap_or(now));
                self.heard_by_probe(now, server, ending, said.row.or(said.report), said.stated);
                self.scout_probed(server);
                self.saw_probe(now, server, ending, said.row.or(said.report).unwrap_or(said.stated));
                self.router.on_probe_result(now, server, took, ending, said.row.or(said.report));
                self.router_due = now;
            }
        }
    }

    /// A connection without a job waits for the next.
    pub(super) fn rest_line(&mut self, key: u64) {
        let now = self.clock.now();
        if let Some(line) = self.servers.get(key) {
            line.rested = now;
        }
        self.line_due(key, now + (self.deployment.idle_for as f64 * IDLE_PART) as Micros);
        self.servers.rest(key);
    }

    /// A connection has ended, and so has its job, unless another one takes it over.
    pub(super) fn end_line(&mut self, key: u64, ending: DispatchEnd) {
        if !self.reopen(key, ending) {
            self.finish_job(key, ending);
            self.close_line(key);
        }
    }

    /// A connection that was taken and broke before its statement is opened once more. Guards against taking a server
    /// that resets some new connections for one that is gone, which refuses them.
    pub(super) fn reopen(&mut self, key: u64, ending: DispatchEnd) -> bool {
        let Some(line) = self.servers.get(key) else { return false };
        let broke = matches!(ending, DispatchEnd::Unconnected | DispatchEnd::Reset)
            && line.talk.said.ending.is_none();
        let new = matches!(line.talk.phase, Phase::Connecting | Phase::Starting | Phase::Ready);
        if !broke || !new || line.reopened {
            return false;
        }
        let (server, due) = (line.server, line.job_due);
        let Some(job) = self.servers.finish(key) else { return false };
        self.close_line(key);
        match self.begin(server, job, self.clock.now(), due) {
            Ok(key) => {
                if let Some(line) = self.servers.get(key) {
                    line.reopened = true;
                }
            }
            Err(ending) => self.job_ended(server, job, ending, Said::default(), None),
        }
        true
    }

    /// The one place that gives up a connection to a server.
    pub(super) fn close_line(&mut self, key: u64) {
        if let Some(line) = self.servers.remove(key) {
            self.handle.remove(line.token);
        }
    }
}
