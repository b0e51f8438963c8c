//! What falls due, and what signals ask for: the end, and a new configuration.

use tansyjunction::interface::*;
use tracing::{error, info, warn};

use super::company::Company;
use super::{Due, Gateway};
use crate::run::deployment::Deployment;
use crate::wire::client::Next;
use crate::wire::server::{Job, Said};

/// What a new process is asked waits so long for discovery's list, which comes at once unless discovery is out of
/// order.
pub(super) const LIST_COMES: Micros = 200_000;
/// The list that the configuration carries serves only after so long without another one: from the first moment all
/// that discovery has counts as told. By then a watch that fell silent at the start would count as told as well, so
/// that this process knows no less than those that have served on.
const KNOWN_AFTER: Micros = 6_000_000;
/// SIGKILL follows SIGTERM after the longest client timeout, or this if that is longer, and some more; by then all
/// that was taken must have been answered, with time to spare.
const STOPS_WITHIN: Micros = 3_000_000;
const STOPS_MORE: Micros = 500_000;
/// So long before that nothing more is taken: most commands take far less. Not sooner than new connections have ceased
/// to come, up to 0.4 s after SIGTERM.
const TAKES_NONE: Micros = 1_000_000;
const LISTEN_ON: Micros = 600_000;

impl Gateway {
    /// Until when the loop may sleep.
    pub fn next_due(&self) -> Micros {
        if !self.resume.is_empty() || self.queue_more {
            return 0;
        }
        let holds = self.holds.as_ref().map(|holds| holds.handover.next_due());
        let company = self.company.as_ref().map(Company::next);
        let due = [self.commands.next_due(), self.due.next_due(), holds, company];
        due.into_iter().flatten().fold(self.router_due, Micros::min)
    }

    /// Does all that was due at `until`, a time before the last look at the sockets: after a pause of the whole
    /// process, what had come in meanwhile has then been read before anything is timed out.
    pub fn settle(&mut self, until: Micros) {
        for _ in 0..self.resume.len() {
            if let Some(key) = self.resume.pop_front() {
                self.serve_client(key);
            }
        }
        loop {
            if let Some(command) = self.commands.take_due(until) {
                self.ask(command);
            } else if let Some((at, due)) = self.due.pop_due(until) {
                self.fell_due(at, due);
            } else {
                break;
            }
        }
        self.settle_holds();
        self.settle_company();
        self.part_with_resting();
        // Guards against a listen queue that is left unserved once any connection has given its descriptor back.
        if self.queue_waits || self.queue_more {
            self.accept();
        }
        let now = self.clock.now();
        if self.router_due <= now {
            let wait = self.router.next_check(now, None);
            self.router_due = now + wait.after.max(1);
            for server in wait.probes {
                if let Some(ending) = self.instead_of_probe(now, server) {
                    self.router.on_probe_result(now, server, 0, ending, None);
                    continue;
                }
                let due = now + self.deployment.connect_within;
                if let Err(ending) = self.begin(server, Job::Probe, now, due) {
                    self.job_ended(server, Job::Probe, ending, Said::default(), None);
                }
            }
        }
    }

    pub(super) fn fell_due(&mut self, at: Micros, due: Due) {
        match due {
            Due::Client(key) => {
                let Some(client) = self.clients.get(key) else { return };
                if !client.limit.expire(&mut self.due, Due::Client(key), at) {
                    return;
                }
                // Where something waits to be read, a last word would not be read either.
                let over = client.is_closing() || !client.outbox.is_empty();
                if over || matches!(client.refuse("08P01", "it did not come in whole in time"), Next::Close) {
                    self.close_client(key);
                }
                self.mind(key);
            }
            Due::Line(key) => {
                let Some(line) = self.servers.get(key) else { return };
                if !line.due.expire(&mut self.due, Due::Line(key), at) {
                    return;
                }
                if line.job.is_some() {
                    self.end_line(key, DispatchEnd::TimedOut);
                } else {
                    self.close_line(key);
                }
            }
            Due::Control(key) => self.control_late(key, at),
            Due::Council => self.council_beat(at),
            Due::Discovery => {
                if self.watch.due.expire(&mut self.due, Due::Discovery, at) {
                    self.discovery_due(at);
                }
            }
            Due::Known if self.ready => {}
            Due::Known if !std::mem::replace(&mut self.takes, true) => {
                self.due.add(at + KNOWN_AFTER - LIST_COMES, Due::Known);
                self.resume.extend(self.clients.keys());
            }
            Due::Known => {
                if let Some(known) = self.deployment.known.take() {
                    warn!(target: "discovery", "no list came: the configuration's serves until one does");
                    // Discovery may number its lists otherwise: the whole one is still asked for.
                    self.listed(known);
                }
            }
            Due::Listener => {
                self.accept();
                self.listener = None;
                let stops = self.stops.unwrap_or(at);
                for key in self.clients.keys() {
                    self.part_with(key);
                    self.mind(key);
                    // Guards against half a message, or an answer left unread, that began before and has
                    // longer than this process.
                    if let Some(client) = self.clients.get(key) {
                        client.limit.bring_forward(&mut self.due, Due::Client(key), stops);
                    }
                }
            }
        }
    }

    /// SIGTERM: connections still come for a while, and clients use those that are open, perhaps for want of another
    /// gateway. All is served as long as it can still be answered in time; then the listener and idle connections are
    /// closed, and what has been taken is brought to its end.
    pub fn stop(&mut self) {
        if self.stops.is_none() {
            let now = self.clock.now();
            let most = self.deployment.longest_wait.min(STOPS_WITHIN) + STOPS_MORE;
            let stops = now + most;
            self.stops = Some(stops);
            self.leave_company(now);
            self.leave_council();
            // Guards against commands in hand whose clients wait for longer than this process lasts: they get an
            // answer too, and may ask another gateway.
            self.commands.limit_timeouts(stops);
            if let Some(holds) = &mut self.holds {
                holds.handover.limit_hold_time(now, stops);
            }
            for key in self.servers.hasten(stops) {
                if let Some(line) = self.servers.get(key) {
                    line.due.bring_forward(&mut self.due, Due::Line(key), stops);
                }
            }
            self.due.add(now + most.saturating_sub(TAKES_NONE).max(LISTEN_ON), Due::Listener);
        }
    }

    /// SIGHUP: the configuration was read anew. What can change without a loss is taken up, at once; all else counts
    /// from the next start.
    pub fn reload(&mut self, read: Result<Deployment, String>) {
        let new = match read {
            Ok(new) => new,
            Err(message) => {
                error!(target: "start", "the configuration stays as it was: {message}");
                return;
            }
        };
        self.deployment.sockets = new.sockets;
        self.rekey_company();
        self.rekey_council();
        if new.discovery != self.deployment.discovery {
            info!(target: "start", "discovery is at {} from now on", new.discovery);
            self.deployment.discovery = new.discovery;
        }
        self.discovery_anew();
    }

    pub fn is_over(&self) -> bool {
        self.listener.is_none() && self.clients.count() == 0
    }
}
