//! Connection to discovery: first the whole server list, then a watch for changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::TcpStream;
use std::rc::Rc;

use calloop::{Readiness, RegistrationToken};
use tansyjunction::interface::*;
use tansyjunction_hosting::{ServerList, Timer};
use tracing::warn;

use super::discovery_timeouts::{
    DiscoveryTimeouts, LIST_TIMEOUT, MAX_REQUEST_TIMEOUT, MAX_RETRY_PAUSE, WATCH_LIST_TIMEOUT,
    WATCH_SILENCE_TIMEOUT,
};
use super::{Due, Gateway};
use crate::wire::directory::{Received, Response, ResponseState};

/// Most earlier requests that are kept open without an answer: each holds one of the reserved descriptors.
const MAX_UNANSWERED: usize = 4;

/// A request to discovery.
struct Call {
    number: u64,
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    answer: Response,
    opened: Micros,
    /// When a complete list or sign of life is due.
    whole_by: Micros,
    /// Whether more data may be readable; others get their turn first.
    more: bool,
    /// Whether any data has arrived.
    heard: bool,
}

/// State of the connection to discovery, and the last list.
pub(super) struct Watch {
    call: Option<Call>,
    /// Earlier requests for the whole list without any answer. A discovery that is slow may still answer one of them,
    /// while one that was down never does.
    unanswered: VecDeque<Call>,
    timeouts: DiscoveryTimeouts,
    /// Version from which a watch is open; `None`: the whole list is requested first.
    version: Option<u64>,
    pause: Micros,
    /// Consecutive requests for the whole list without any answer.
    silences: u32,
    /// Whether the whole list was not complete in time.
    slow: bool,
    /// When to reconnect if nothing arrives before.
    pub(super) due: Timer,
    /// The entries in force.
    listed: BTreeMap<usize, ServerListEntry>,
}

impl Watch {
    /// Creates the state before the first request.
    pub fn new(timeouts: DiscoveryTimeouts) -> Self {
        Watch {
            call: None,
            unanswered: VecDeque::new(),
            timeouts,
            version: None,
            pause: timeouts.first_pause,
            silences: 0,
            slow: false,
            due: Timer::default(),
            listed: BTreeMap::new(),
        }
    }
}

impl Gateway {
    /// Requests the whole list, or opens the watch that follows it.
    pub(super) fn ask_discovery(&mut self) {
        let now = self.clock.now();
        let version = self.watch.version.take();
        self.close_call();
        let pause = self.watch.pause;
        self.watch.pause = (pause * 2).min(self.watch.timeouts.max_pause);
        let (address, number) = (self.deployment.discovery, self.number());
        let ready = move |gateway: &mut Gateway, readiness| gateway.discovery_ready(number, readiness);
        match self.connect(address).and_then(|stream| self.watch(stream, ready)) {
            Ok((stream, token)) => {
                let (opens, whole) = match version {
                    // A watch may be silent until its first interval is over.
                    Some(_) => (WATCH_SILENCE_TIMEOUT, WATCH_LIST_TIMEOUT),
                    None if self.ready && !self.watch.slow => (self.watch.timeouts.request, LIST_TIMEOUT),
                    None if self.ready => (self.watch.timeouts.request, WATCH_LIST_TIMEOUT),
                    None => (
                        (MAX_REQUEST_TIMEOUT << self.watch.silences.min(8)).min(WATCH_SILENCE_TIMEOUT),
                        WATCH_LIST_TIMEOUT,
                    ),
                };
                let answer = Response::new(address, version);
                let whole_by = now + whole;
                let call =
                    Call { number, stream, token, answer, opened: now, whole_by, more: false, heard: false };
                (self.watch.call, self.watch.version) = (Some(call), version);
                self.set_watch_timer(now + opens);
            }
            Err(error) => {
                warn!(target: "discovery", "discovery: {error}");
                self.set_watch_timer(now + pause);
            }
        }
    }

    /// Reconnects after SIGHUP: another discovery may number its lists differently, and a watch at the same one may
    /// be silent. The last list stays in force until a new one arrives.
    pub(super) fn reconnect_discovery(&mut self) {
        self.close_discovery();
        (self.watch.pause, self.watch.silences, self.watch.slow) =
            (self.watch.timeouts.first_pause, 0, false);
        self.ask_discovery();
    }

    fn set_watch_timer(&mut self, due: Micros) {
        self.watch.due.set(&mut self.due, Due::Discovery, due);
    }

    /// Closes all connections to discovery. The next one may number lists differently, so the whole list is requested
    /// first.
    fn close_discovery(&mut self) {
        self.watch.version = None;
        self.close_call();
        self.close_unanswered(Micros::MAX);
    }

    fn close_call(&mut self) {
        if let Some(call) = self.watch.call.take() {
            self.handle.remove(call.token);
        }
    }

    /// Closes the requests without an answer that were made at `until` or before.
    fn close_unanswered(&mut self, until: Micros) {
        while let Some(call) = self.watch.unanswered.pop_front_if(|call| call.opened <= until) {
            self.handle.remove(call.token);
        }
    }

    /// Keeps the current request open, without an answer so far, beside the next one. The earlier ones have precedence,
    /// since a slow discovery answers them first.
    fn keep_unanswered(&mut self, now: Micros) {
        self.close_unanswered(now.saturating_sub(MAX_REQUEST_TIMEOUT));
        if self.watch.unanswered.len() < MAX_UNANSWERED {
            self.watch.unanswered.extend(self.watch.call.take());
        } else {
            self.close_call();
        }
    }

    /// Handles an event of an earlier request: an answer to it takes the place of the current request.
    fn on_unanswered_ready(&mut self, number: u64, readiness: Readiness) {
        let Some(place) = self.watch.unanswered.iter().position(|call| call.number == number) else { return };
        let call = &mut self.watch.unanswered[place];
        let written = !readiness.writable || call.answer.outbox.flush(&call.stream).is_ok();
        let answered = match call.stream.peek(&mut [0]) {
            Ok(count) => Some(count > 0),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => None,
            Err(_) => Some(false),
        };
        if answered.is_none() && written {
            return;
        }
        let Some(call) = self.watch.unanswered.remove(place) else { return };
        if answered == Some(true) {
            self.close_discovery();
            self.watch.call = Some(call);
            self.discovery_ready(number, readiness);
        } else {
            self.handle.remove(call.token);
        }
    }

    /// Handles the timer: reads on, reconnects, or gives up the request.
    pub(super) fn discovery_due(&mut self, at: Micros) {
        if let Some(call) = &mut self.watch.call {
            if std::mem::take(&mut call.more) {
                let (number, whole_by) = (call.number, call.whole_by);
                self.set_watch_timer((self.clock.now() + WATCH_SILENCE_TIMEOUT).min(whole_by));
                self.discovery_ready(number, Readiness { readable: true, writable: false, error: false });
                return;
            }
            let slow = call.whole_by <= at;
            let unanswered = !call.heard && !slow && self.watch.version.is_none();
            if self.watch.version.is_none() {
                self.watch.slow |= slow;
                // The whole list should come at once; a watch might wait for its interval.
                self.watch.silences += u32::from(!slow);
            }
            match slow {
                true => {
                    warn!(target: "discovery", "discovery is too slow: its list was not complete in time")
                }
                false => warn!(target: "discovery", "discovery has stopped sending"),
            }
            if unanswered {
                self.keep_unanswered(at);
            } else {
                self.close_discovery();
            }
        }
        self.ask_discovery();
    }

    fn discovery_ready(&mut self, number: u64, readiness: Readiness) {
        let Some(call) = self.watch.call.as_mut().filter(|call| call.number == number) else {
            return self.on_unanswered_ready(number, readiness);
        };
        let mut came = Received::default();
        let reached = match call.stream.take_error() {
            Ok(None) if readiness.writable => call.answer.outbox.flush(&call.stream),
            Ok(None) => Ok(()),
            Ok(Some(error)) | Err(error) => Err(error),
        };
        let read = reached.map_err(|error| error.to_string()).and_then(|()| match readiness.readable {
            true => call.answer.read(&call.stream, &mut came),
            false => Ok(ResponseState::Open),
        });
        let now = self.clock.now();
        if came.whole {
            call.whole_by = now + WATCH_LIST_TIMEOUT;
            self.watch.slow = false;
            if self.watch.version.is_some() && now >= call.opened + MAX_RETRY_PAUSE {
                self.watch.pause = self.watch.timeouts.first_pause;
            }
        }
        // Only received data is a sign of life: a discovery may accept a connection and send nothing.
        if came.bytes {
            call.heard = true;
            let due = (now + WATCH_SILENCE_TIMEOUT).min(call.whole_by);
            self.watch.silences = 0;
            self.set_watch_timer(due);
            self.close_unanswered(Micros::MAX);
        }
        let asked = self.watch.version.is_none();
        let fresh = !came.lists.is_empty();
        for list in came.lists {
            // If discovery restarts its numbering, its lists would be ignored as old ones for as long as the watch
            // lasts.
            if let Some(last) = self.watch.version.filter(|last| list.version < *last) {
                return self.discovery_failed(&format!("list {} came after {last}", list.version));
            }
            self.watch.version = Some(list.version);
            self.apply_server_list(list);
        }
        match read {
            Ok(ResponseState::Open) => {}
            Ok(ResponseState::More) => {
                if let Some(call) = &mut self.watch.call {
                    call.more = true;
                }
                self.set_watch_timer(now);
            }
            // The whole list is followed by a watch from its version.
            Ok(ResponseState::Ended) if fresh && asked => self.ask_discovery(),
            Ok(ResponseState::Ended) => self.retry_discovery(),
            Err(message) => self.discovery_failed(&message),
        }
    }

    fn discovery_failed(&mut self, message: &str) {
        warn!(target: "discovery", "discovery: {message}; requesting the whole list");
        self.retry_discovery();
    }

    /// Requests the whole list after a pause.
    fn retry_discovery(&mut self) {
        self.close_discovery();
        let due = self.clock.now() + self.watch.pause;
        self.set_watch_timer(due);
    }

    /// Applies a server list or its changes. Of duplicate entries the last one counts.
    pub(super) fn apply_server_list(&mut self, list: ServerList) {
        let now = self.clock.now();
        if !std::mem::replace(&mut self.ready, true) {
            self.accepts_commands = true;
            self.deployment.known = None;
            self.turns.extend(self.clients.keys());
        }
        let (mut entries, mut worthless) = (Vec::new(), Vec::new());
        let mut left_out =
            if list.whole { BTreeSet::from_iter(self.servers.present()) } else { BTreeSet::new() };
        for (name, message) in &list.invalid {
            warn!(target: "discovery", "discovery: {message}; the entry of {name} is unchanged");
            let known = self.servers_named.find(name).and_then(|server| self.watch.listed.get(&server));
            if let Some(known) = known {
                left_out.remove(&known.server);
                entries.push(known.clone());
            }
        }
        for host in &list.servers {
            let gone = host.state == ServerState::Gone;
            if gone && self.servers_named.find(&host.name).is_none() {
                continue;
            }
            let server = self.servers_named.number_of(&host.name);
            left_out.remove(&server);
            let zones = &self.deployment.zones;
            let entry = ServerListEntry {
                server,
                group: self.groups.number_of(&host.group),
                zone: zones.iter().position(|zone| *zone == host.zone).unwrap_or(zones.len()),
                size: host.size,
                state: host.state,
                primary: host.primary,
                started: host.started,
            };
            if gone {
                left_out.insert(server);
            } else {
                self.watch.listed.insert(server, entry.clone());
                worthless.extend(self.servers.update(server, host.address, host.started));
            }
            entries.push(entry);
        }
        for server in &left_out {
            self.watch.listed.remove(server);
        }
        let mut last = BTreeSet::new();
        entries.reverse();
        entries.retain(|entry| last.insert(entry.server));
        entries.reverse();
        self.router.update_server_list(now, Some(&entries), list.whole);
        self.router_due = now;
        self.handover_on_list(now, &entries);
        self.membership_on_list(now, &entries);
        self.consensus_on_list(&entries, list.whole);
        if self.deployment.removal_is_final {
            self.forget_gone(&left_out);
        }
        // Commands that wait for a process that is gone are placed again, since the new one is cold. All idle
        // connections are closed first, so that none of them is written to one, and then would count as never sent.
        let (waiting, idle): (Vec<u64>, Vec<u64>) = worthless
            .into_iter()
            .partition(|key| self.servers.get(*key).is_some_and(|line| line.job.is_some()));
        idle.into_iter().for_each(|key| self.close_connection(key));
        waiting.into_iter().for_each(|key| self.cancel_unwritten(key));
        self.recheck_unwritten();
    }

    /// Records which servers are gone, and forgets those that have been for long, so that memory does not grow with all
    /// servers that ever existed.
    fn forget_gone(&mut self, gone: &BTreeSet<usize>) {
        let now = self.clock.now();
        for server in gone {
            for key in self.servers.mark_gone(*server, now) {
                self.close_connection(key);
            }
        }
        while let Some(server) = self.servers.forget(now) {
            let (group, zone, size) = (usize::MAX, 0, 0.0);
            let standing = ServerState::Gone;
            let gone =
                ServerListEntry { server, group, zone, size, state: standing, primary: false, started: None };
            self.router.update_server_list(now, Some(&[gone]), false);
            if let Some(holds) = &mut self.handover {
                holds.handover.forget_server(server);
            }
            self.servers_named.forget(server);
        }
    }
}
