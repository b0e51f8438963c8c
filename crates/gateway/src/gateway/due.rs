//! Timers, and signals: shutdown and a new configuration.

use tansyjunction::interface::*;
use tracing::{error, info, warn};

use super::membership::Membership;
use super::{Due, Gateway};
use crate::run::deployment::Deployment;
use crate::wire::client::Next;
use crate::wire::server::{Job, ServerAnswer};

/// How long a new process holds its first commands for discovery's list, which comes at once in normal operation.
pub(super) const FIRST_LIST_WAIT: Micros = 200_000;
/// Delay until the list of the configuration is used if no other arrives: everything discovery has counts as notified
/// from the start. A watch that fell silent at the start would count as notified by then too, so this process knows no
/// less than those that kept running.
const CONFIGURED_LIST_DELAY: Micros = 6_000_000;
/// SIGKILL follows SIGTERM after the longest client timeout, or this if it is longer, plus a margin; all accepted
/// commands must be answered before.
const MIN_STOP_TIME: Micros = 3_000_000;
const STOP_MARGIN: Micros = 500_000;
/// No commands are accepted in this time before that; most take far less. New connections may arrive until 0.4 s after
/// SIGTERM, so the listener stays open for at least this long.
const NO_NEW_COMMANDS: Micros = 1_000_000;
const KEEP_LISTENING: Micros = 600_000;

impl Gateway {
    /// Until when the event loop may sleep.
    pub fn next_due(&self) -> Micros {
        if !self.turns.is_empty() || self.accept_more {
            return 0;
        }
        let holds = self.handover.as_ref().map(|holds| holds.handover.next_due());
        let membership = self.membership.as_ref().map(Membership::next);
        let due = [self.commands.next_due(), self.due.next_due(), holds, membership];
        due.into_iter().flatten().fold(self.router_due, Micros::min)
    }

    /// Handles everything due at `until`, a time before the sockets were last read. After a pause of the process,
    /// data that arrived meanwhile is thus handled before anything times out.
    pub fn run_due(&mut self, until: Micros) {
        for _ in 0..self.turns.len() {
            if let Some(key) = self.turns.pop_front() {
                self.serve_client(key);
            }
        }
        loop {
            if let Some(command) = self.commands.take_due(until) {
                self.place(command);
            } else if let Some((at, due)) = self.due.pop_due(until) {
                self.on_timer(at, due);
            } else {
                break;
            }
        }
        self.read_unread_answers();
        self.run_handover();
        self.run_membership();
        self.close_idle_clients();
        // The listen queue must be served again once any connection has freed its descriptor.
        if self.accept_blocked || self.accept_more {
            self.accept();
        }
        let now = self.clock.now();
        if self.router_due <= now {
            let wait = self.router.next_check(now, None);
            self.router_due = now + wait.after.max(1);
            for server in wait.probes {
                if let Some(ending) = self.probe_replacement(now, server) {
                    self.router.on_probe_result(now, server, 0, ending, None);
                    continue;
                }
                let due = now + self.deployment.connect_within;
                if let Err(ending) = self.start_job(server, Job::Probe, due) {
                    self.job_ended(server, Job::Probe, ending, ServerAnswer::default(), None);
                }
            }
        }
    }

    pub(super) fn on_timer(&mut self, at: Micros, due: Due) {
        match due {
            Due::Client(key) => {
                let Some(client) = self.clients.get(key) else { return };
                if !client.limit.expire(&mut self.due, Due::Client(key), at) {
                    return;
                }
                // If data waits to be read, a final message would not be read either.
                let over = client.is_closing() || !client.outbox.is_empty();
                if over || matches!(client.time_out(), Next::Close) {
                    self.close_client(key);
                }
                self.update_client_timeout(key);
            }
            Due::ServerConnection(key) => {
                let Some(connection) = self.servers.get(key) else { return };
                if !connection.due.expire(&mut self.due, Due::ServerConnection(key), at) {
                    return;
                }
                if connection.job.is_some() {
                    self.end_connection(key, DispatchEnd::TimedOut);
                } else {
                    self.close_connection(key);
                }
            }
            Due::Control(key) => self.control_timeout(key, at),
            Due::Council => self.consensus_timer(at),
            Due::Discovery => {
                if self.watch.due.expire(&mut self.due, Due::Discovery, at) {
                    self.discovery_due(at);
                }
            }
            Due::Known if self.ready => {}
            Due::Known if !std::mem::replace(&mut self.accepts_commands, true) => {
                self.due.add(at + CONFIGURED_LIST_DELAY - FIRST_LIST_WAIT, Due::Known);
                self.turns.extend(self.clients.keys());
            }
            Due::Known => {
                if let Some(known) = self.deployment.known.take() {
                    warn!(target: "discovery", "no server list received: using the list of the configuration");
                    // Discovery may number its lists differently, so the whole list is still requested.
                    self.apply_server_list(known);
                }
            }
            Due::Listener => {
                self.accept_all();
                self.listener = None;
                let stops = self.stop_deadline.unwrap_or(at);
                for key in self.clients.keys() {
                    self.close_for_shutdown(key);
                    self.update_client_timeout(key);
                    // Incomplete messages and unread answers may have timeouts beyond the end of this process.
                    if let Some(client) = self.clients.get(key) {
                        client.limit.bring_forward(&mut self.due, Due::Client(key), stops);
                    }
                }
            }
        }
    }

    /// Handles SIGTERM. Connections still arrive for a while, and clients use open ones. All commands that can be
    /// answered in time are served; then the listener and idle connections are closed and accepted commands are
    /// completed.
    pub fn stop(&mut self) {
        if self.stop_deadline.is_none() {
            let now = self.clock.now();
            let most = self.deployment.longest_wait.min(MIN_STOP_TIME) + STOP_MARGIN;
            let stops = now + most;
            self.stop_deadline = Some(stops);
            self.leave_membership(now);
            self.leave_consensus();
            // Clients may wait for longer than this process lasts: they get an answer too, and may ask another gateway.
            self.commands.limit_timeouts(stops);
            if let Some(holds) = &mut self.handover {
                holds.handover.limit_hold_time(now, stops);
            }
            for key in self.servers.limit_timeouts(stops) {
                if let Some(connection) = self.servers.get(key) {
                    connection.due.bring_forward(&mut self.due, Due::ServerConnection(key), stops);
                }
            }
            self.due.add(now + most.saturating_sub(NO_NEW_COMMANDS).max(KEEP_LISTENING), Due::Listener);
        }
    }

    /// Handles SIGHUP with the configuration read again. Settings that can change without loss take effect at once, all
    /// others at the next start.
    pub fn reload(&mut self, read: Result<Deployment, String>) {
        let new = match read {
            Ok(new) => new,
            Err(message) => {
                error!(target: "start", "the configuration was not reloaded: {message}");
                return;
            }
        };
        self.deployment.sockets = new.sockets;
        self.reload_membership_keys();
        self.reload_consensus_keys();
        if new.discovery != self.deployment.discovery {
            info!(target: "start", "using discovery at {}", new.discovery);
            self.deployment.discovery = new.discovery;
        }
        self.reconnect_discovery();
    }

    /// Whether the gateway has finished its shutdown.
    pub fn is_finished(&self) -> bool {
        self.listener.is_none() && self.clients.count() == 0
    }
}
