//! The connection to discovery: the whole list first, then the watch that keeps it up to date.

use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpStream;
use std::rc::Rc;

use calloop::{Readiness, RegistrationToken};
use tansyjunction::interface::*;
use tansyjunction_hosting::{ServerList, Timer};
use tracing::warn;

use super::{Due, Gateway};
use crate::wire::directory::{Answer, Came, Stands};

/// How long discovery, which listens on this machine, may take to begin with the whole list. What was connected
/// during an outage may never be answered, while all that discovery has counts from the outage's end: the next try
/// has to come well within the second that servers which drain may still be sent to. A process that serves nothing
/// yet waits for twice as much after each silence, so that one that is slow and not silent is heard.
const WATCH_OPENS: Micros = 500_000;
/// Discovery writes every 2 s. A beat and a half without a word is a silence: what it hides counts as told 6 s after
/// its beginning, by when two more attempts, silent as well, must have been given up.
const WATCH_SILENCE: Micros = 3_000_000;
/// The whole list has to be there so long after it was asked for. Guards against a discovery that is slow by the
/// byte, of which each byte would be a sign of life.
const LIST_WHOLE: Micros = 2_500_000;
/// A list or an empty line has to be whole on a watch so long after the last one, also a beat before one that comes in
/// pieces. The whole list may take as much for a process that serves nothing yet, and after one that was too slow: one
/// that is slow and lives is heard then.
const WATCH_WHOLE: Micros = 5_000_000;
/// Between attempts to reach discovery: the first pause, and the longest. What it has counts as told all the while. The
/// pauses begin anew once a watch has lived for longer than the longest of them.
const WATCH_AGAIN: Micros = 100_000;
const WATCH_AGAIN_MOST: Micros = 500_000;

/// What discovery has and can be asked for counts as told so long after, whatever failed before; so does what a watch
/// misses that fell silent. After SIGHUP it counts sooner. Where servers drain they may be sent to for a second after
/// that.
const COUNTS: Micros = 6_000_000;
const COUNTS_AFTER_SIGHUP: Micros = 4_000_000;
const DRAINS: Micros = 1_000_000;
/// What a connection on this machine and the whole list take together where nothing is wrong.
const ANSWERED: Micros = 300_000;

// The longest paths to the list, each as the sum of what is waited for in turn.
// A watch falls silent, or is mute as it is opened: two asks are mute as well, the third one is answered. 4.3 s.
const _: () = assert!(WATCH_SILENCE + 2 * WATCH_OPENS + ANSWERED <= COUNTS);
// A watch falls silent, and the ask is slow by the byte. 5.8 s.
const _: () = assert!(WATCH_SILENCE + LIST_WHOLE + ANSWERED <= COUNTS);
// Discovery is back while a call of before is slow by the byte, and the next one is mute. 5.8 s.
const _: () = assert!(WATCH_WHOLE + WATCH_OPENS + ANSWERED <= COUNTS && LIST_WHOLE <= WATCH_WHOLE);
// Or that call breaks in its last moment, and the longest pause follows. 5.8 s.
const _: () = assert!(WATCH_WHOLE + WATCH_AGAIN_MOST + ANSWERED <= COUNTS);
// Discovery is back during a pause, or while an ask is mute: within the second that draining servers are given. 0.8 s.
const _: () = assert!(WATCH_AGAIN_MOST + ANSWERED <= DRAINS && WATCH_OPENS + ANSWERED <= DRAINS);
// After SIGHUP the first ask is slow by the byte, two more are mute. 3.8 s.
const _: () = assert!(LIST_WHOLE + 2 * WATCH_OPENS + ANSWERED <= COUNTS_AFTER_SIGHUP);
// After SIGHUP the first ask breaks as late as it can, and the longest pause and a mute ask follow. 3.8 s.
const _: () = assert!(LIST_WHOLE + WATCH_AGAIN_MOST + WATCH_OPENS + ANSWERED <= COUNTS_AFTER_SIGHUP);

/// One call on discovery.
struct Call {
    stream: Rc<TcpStream>,
    token: RegistrationToken,
    answer: Answer,
    opened: Micros,
    /// When a whole list or sign of life has to be there.
    whole_by: Micros,
    /// More may be there to be read: the others had their turn first.
    more: bool,
}

/// The connection to discovery and what it has brought.
pub(super) struct Watch {
    call: Option<Call>,
    /// The last list's, while a watch from there is open; None: the whole list is asked for first.
    version: Option<u64>,
    pause: Micros,
    /// How often in a row the whole list was asked for and nothing came.
    silences: u32,
    /// The whole list was not whole in time.
    slow: bool,
    /// When it is asked anew if nothing comes before.
    pub(super) due: Timer,
    /// The entries in force.
    listed: BTreeMap<usize, ServerListEntry>,
}

impl Default for Watch {
    fn default() -> Self {
        let (due, listed) = (Timer::default(), BTreeMap::new());
        Watch { call: None, version: None, pause: WATCH_AGAIN, silences: 0, slow: false, due, listed }
    }
}

impl Gateway {
    /// Asks for the whole list, or opens the watch that follows it.
    pub(super) fn ask_discovery(&mut self) {
        let now = self.clock.now();
        let version = self.watch.version;
        self.leave_discovery();
        let pause = self.watch.pause;
        self.watch.pause = (pause * 2).min(WATCH_AGAIN_MOST);
        let address = self.deployment.discovery;
        match self.connect(address).and_then(|stream| self.watch(stream, Gateway::discovery_ready)) {
            Ok((stream, token)) => {
                let (opens, whole) = match version {
                    // A watch may say nothing before its first beat.
                    Some(_) => (WATCH_SILENCE, WATCH_WHOLE),
                    None if self.ready && !self.watch.slow => (WATCH_OPENS, LIST_WHOLE),
                    None if self.ready => (WATCH_OPENS, WATCH_WHOLE),
                    None => ((WATCH_OPENS << self.watch.silences.min(8)).min(WATCH_SILENCE), WATCH_WHOLE),
                };
                let answer = Answer::new(address, version);
                let call = Call { stream, token, answer, opened: now, whole_by: now + whole, more: false };
                (self.watch.call, self.watch.version) = (Some(call), version);
                self.watch_due(now + opens);
            }
            Err(error) => {
                warn!(target: "discovery", "discovery: {error}");
                self.watch_due(now + pause);
            }
        }
    }

    /// SIGHUP: another address may number its lists otherwise, and a watch at the same one may be silent; what is
    /// there counts from here on either way. Until it tells its own list, the last one stays in force.
    pub(super) fn discovery_anew(&mut self) {
        self.leave_discovery();
        (self.watch.pause, self.watch.silences, self.watch.slow) = (WATCH_AGAIN, 0, false);
        self.ask_discovery();
    }

    fn watch_due(&mut self, due: Micros) {
        self.watch.due.set(&mut self.due, Due::Discovery, due);
    }

    /// The one place that gives up the connection to discovery. Whoever is asked next may number the lists otherwise:
    /// the whole one comes first then.
    fn leave_discovery(&mut self) {
        self.watch.version = None;
        if let Some(call) = self.watch.call.take() {
            self.handle.remove(call.token);
        }
    }

    /// It is time to read on, to ask anew, or to give up what was asked.
    pub(super) fn discovery_due(&mut self, at: Micros) {
        if let Some(call) = &mut self.watch.call {
            if std::mem::take(&mut call.more) {
                let due = (self.clock.now() + WATCH_SILENCE).min(call.whole_by);
                self.watch_due(due);
                self.discovery_ready(Readiness { readable: true, writable: false, error: false });
                return;
            }
            let slow = call.whole_by <= at;
            if self.watch.version.is_none() {
                self.watch.slow |= slow;
                // The whole list comes at once, or this one is silent too: a watch might wait for its beat.
                self.watch.silences += u32::from(!slow);
            }
            match slow {
                true => warn!(target: "discovery", "discovery is too slow: its list was not whole in time"),
                false => warn!(target: "discovery", "discovery has fallen silent"),
            }
            self.leave_discovery();
        }
        self.ask_discovery();
    }

    fn discovery_ready(&mut self, readiness: Readiness) {
        let Some(call) = &mut self.watch.call else { return };
        let mut came = Came::default();
        let reached = match call.stream.take_error() {
            Ok(None) if readiness.writable => call.answer.outbox.flush(&call.stream),
            Ok(None) => Ok(()),
            Ok(Some(error)) | Err(error) => Err(error),
        };
        let read = reached.map_err(|error| error.to_string()).and_then(|()| match readiness.readable {
            true => call.answer.read(&call.stream, &mut came),
            false => Ok(Stands::Open),
        });
        let now = self.clock.now();
        if came.whole {
            call.whole_by = now + WATCH_WHOLE;
            self.watch.slow = false;
            if self.watch.version.is_some() && now >= call.opened + WATCH_AGAIN_MOST {
                self.watch.pause = WATCH_AGAIN;
            }
        }
        // Guards against a discovery that accepts and says nothing: only what it says counts as a sign of life.
        if came.bytes {
            let due = (now + WATCH_SILENCE).min(call.whole_by);
            self.watch.silences = 0;
            self.watch_due(due);
        }
        let asked = self.watch.version.is_none();
        let fresh = !came.lists.is_empty();
        for list in came.lists {
            // Guards against an agent that numbers anew: its lists would be taken for old ones as long as its watch
            // lives.
            if let Some(last) = self.watch.version.filter(|last| list.version < *last) {
                return self.discovery_failed(&format!("list {} came after {last}", list.version));
            }
            self.watch.version = Some(list.version);
            self.listed(list);
        }
        match read {
            Ok(Stands::Open) => {}
            Ok(Stands::More) => {
                if let Some(call) = &mut self.watch.call {
                    call.more = true;
                }
                self.watch_due(now);
            }
            // The whole list is followed by a watch from its version.
            Ok(Stands::Ended) if fresh && asked => self.ask_discovery(),
            Ok(Stands::Ended) => self.discovery_again(),
            Err(message) => self.discovery_failed(&message),
        }
    }

    fn discovery_failed(&mut self, message: &str) {
        warn!(target: "discovery", "discovery: {message}; its whole list is asked for");
        self.discovery_again();
    }

    /// Asks for the whole list after a pause.
    fn discovery_again(&mut self) {
        self.leave_discovery();
        let due = self.clock.now() + self.watch.pause;
        self.watch_due(due);
    }

    /// Takes in a list of servers, or its changes. Of a server that it names twice the last entry counts.
    pub(super) fn listed(&mut self, list: ServerList) {
        let now = self.clock.now();
        if !std::mem::replace(&mut self.ready, true) {
            self.takes = true;
            self.deployment.known = None;
            self.resume.extend(self.clients.keys());
        }
        let (mut entries, mut worthless) = (Vec::new(), Vec::new());
        let mut left_out =
            if list.whole { BTreeSet::from_iter(self.servers.there()) } else { BTreeSet::new() };
        for (name, message) in &list.invalid {
            warn!(target: "discovery", "discovery: {message}; {name} stays as it was");
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
                worthless.extend(self.servers.known(server, host.address, host.started));
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
        self.list_tells(now, &entries);
        self.list_tells_company(now, &entries);
        self.list_tells_council(&entries, list.whole);
        if self.deployment.gone_binds {
            self.forget_gone(&left_out);
        }
        // Guards against what waits for a process that is no more: at the new one, which is cold, it is placed anew.
        // Idle connections go first, all of them: what is placed anew must not be written to one, and then count as
        // never sent.
        let (waiting, idle): (Vec<u64>, Vec<u64>) = worthless
            .into_iter()
            .partition(|key| self.servers.get(*key).is_some_and(|line| line.job.is_some()));
        idle.into_iter().for_each(|key| self.close_line(key));
        waiting.into_iter().for_each(|key| self.call_off_unwritten(key));
        self.judge_unwritten();
    }

    /// Notes which servers are gone, and forgets those that have been for long. Guards against a gateway and router
    /// that grow with all the servers that there ever were.
    fn forget_gone(&mut self, gone: &BTreeSet<usize>) {
        let now = self.clock.now();
        for server in gone {
            for key in self.servers.gone(*server, now) {
                self.close_line(key);
            }
        }
        while let Some(server) = self.servers.forget(now) {
            let (group, zone, size) = (usize::MAX, 0, 0.0);
            let standing = ServerState::Gone;
            let gone =
                ServerListEntry { server, group, zone, size, state: standing, primary: false, started: None };
            self.router.update_server_list(now, Some(&[gone]), false);
            if let Some(holds) = &mut self.holds {
                holds.handover.forget_server(server);
            }
            self.servers_named.forget(server);
        }
    }
}
