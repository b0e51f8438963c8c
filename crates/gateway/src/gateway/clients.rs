//! The clients' connections: taken, read in turn, minded and given up. Nothing is decided here.

use calloop::Readiness;
use tansyjunction::interface::*;
use tansyjunction_hosting::micros_from_millis;
use tracing::warn;

use super::{Due, Gateway, is_no_descriptor};
use crate::wire::client::{Client, InHand, Next};
use crate::wire::frames;
use crate::wire::server::Phase;
use crate::wire::statement::Head;

/// Descriptors kept for what is neither a client's nor a server's: the log, the loop, the listener, signals, peers,
/// discovery, and a few that the machine may still be closing.
const RESERVE: usize = 40;
/// What is kept of them where the machine grants fewer than the configuration does, and all are taken.
const SPARE: usize = 8;
/// A client that had no command in hand for so long holds its connection for later, if at all.
const CLIENT_RESTS: Micros = 2_000_000;
/// A client that has not finished its startup after so long is hardly about to.
const CLIENT_OPENS: Micros = 500_000;
/// Clients hold at most a third of the descriptors for their commands. Beyond this part, those that rest make way for
/// new ones, all but what rests for a moment between two commands.
const CLIENTS_PART: usize = 4;
const CLIENT_PAUSES: Micros = 100_000;
/// How long any connection may linger where the whole process is to end.
const LINGER_LEAST: Micros = 50_000;
/// So long after all must be answered, a client that still sends is heard no more.
const ENDS_AFTER: Micros = 100_000;
/// Messages of one client, and new clients, that are taken before the others have their turn.
const TURN: usize = 8;
const TURN_NEW: usize = 64;
/// What inboxes may hold together before clients' bytes sent ahead wait in their sockets, as a part of the memory.
const AHEAD_PART: usize = 16;
/// What inboxes may hold together, as a part of the memory, and from which size on a client is refused for it.
const INBOX_PART: usize = 4;
const INBOX_LARGE: usize = 16 * 1_024;

impl Gateway {
    /// Takes what the listen queue holds.
    pub fn accept(&mut self) {
        for turn in 0.. {
            self.queue_more = turn == TURN_NEW;
            let full = !self.room_for_one(true);
            if full && !self.queue_waits {
                warn!(target: "limits", "no descriptor left for another client");
            }
            self.queue_waits = full;
            if self.queue_waits || self.queue_more {
                return;
            }
            let stream = match self.listener.as_ref().map(|listener| listener.next()) {
                Some(Ok(Some(stream))) => stream,
                Some(Err(error)) => {
                    warn!(target: "limits", "accept: {error}");
                    // The next turn goes on where others make way then; else whichever finds room.
                    self.queue_more = is_no_descriptor(&error) && self.found_fewer();
                    self.queue_waits = !self.queue_more;
                    return;
                }
                _ => return,
            };
            let key = self.number();
            match self.watch(stream, move |gateway, readiness| gateway.client_ready(key, readiness)) {
                Ok((stream, token)) => {
                    self.clients.add(key, Client::new(stream, token, self.clock.now()));
                    self.mind(key);
                }
                Err(error) => warn!(target: "clients", "a client's connection: {error}"),
            }
        }
    }

    /// The machine grants fewer descriptors than the configuration does: from now on some stay free. Guards
    /// against clients that fill them, and leave none to discovery and to servers. False: it is so already.
    pub(super) fn found_fewer(&mut self) -> bool {
        let most = (self.clients.count() + self.servers.count()).saturating_sub(SPARE).max(1);
        let fewer = most + RESERVE < self.deployment.sockets;
        if fewer {
            warn!(target: "limits", "fewer descriptors than 'limits.sockets': {most} connections from now on");
            self.deployment.sockets = most + RESERVE;
        }
        fewer
    }

    /// Whether one more descriptor may be held, after an idle connection made way if it has to. Clients that rest come
    /// first: some keep what they will never use again, while a server's connection is dear to open. Guards against
    /// clients without end that leave none to the servers, whose share is half.
    pub(super) fn room_for_one(&mut self, for_client: bool) -> bool {
        let most = self.deployment.sockets - RESERVE;
        while self.clients.count() + self.servers.count() >= most {
            let now = self.clock.now();
            let line = self.servers.idlest().filter(|_| !for_client || self.servers.count() > most / 2);
            let ended = self.clients.longest_closing(now - LINGER_LEAST);
            let silent = ended.or_else(|| self.clients.most_silent(now - CLIENT_OPENS));
            // Guards against one client that makes way for the next before what it sent was looked at.
            let came = if for_client { now - CLIENT_PAUSES } else { now };
            if let Some(key) = silent.or_else(|| self.clients.idlest(now - CLIENT_RESTS)) {
                self.make_way(key);
            } else if let Some(key) = line {
                self.close_line(key);
            } else if let Some(key) = self.clients.idlest(now).or_else(|| self.clients.most_silent(came)) {
                self.make_way(key);
            } else if let Some(key) = self.clients.longest_closing(now) {
                self.make_way(key);
            } else {
                return false;
            }
        }
        true
    }

    /// Gives up a connection without a command for its descriptor, which is needed at once, unless something has
    /// come. Guards against a command that lies unread on a connection that is closed, and against the reset that a
    /// close over unread bytes brings, which would overtake the last answer.
    fn make_way(&mut self, key: u64) {
        let now = self.clock.now();
        let Some(client) = self.clients.get(key) else { return };
        let stays = client.read(now);
        if stays && !client.is_closing() && !client.is_idle() && !client.is_silent() {
            self.resume.push_back(key);
            return;
        }
        if stays && !client.is_closing() {
            client.close_gently();
        }
        client.read(now);
        self.close_client(key);
    }

    /// Closes clients that rest while many others are open. Guards against clients that ask once, keep the connection
    /// for good and so use up what clients may hold together: those that have something to ask find none.
    pub(super) fn part_with_resting(&mut self) {
        let most = self.deployment.sockets / CLIENTS_PART;
        while self.clients.open() > most
            && let Some(key) = self.clients.idlest(self.clock.now() - CLIENT_PAUSES)
        {
            self.part_with(key);
            self.mind(key);
        }
    }

    pub(super) fn client_ready(&mut self, key: u64, readiness: Readiness) {
        let Some(client) = self.clients.get(key) else { return };
        if !client.flush() || readiness.readable && !self.stays(key) {
            self.close_client(key);
            return;
        }
        let Some(client) = self.clients.get(key) else { return };
        // Guards against many clients with long messages at once, which would fill the memory.
        if client.in_hand.is_none()
            && client.inbox.kept() > INBOX_LARGE
            && self.clients.kept() > self.deployment.memory / INBOX_PART
            && let Some(client) = self.clients.get(key)
        {
            warn!(target: "limits", "no memory left for a client's message");
            client.refuse("53200", "no memory left for the message");
        }
        self.resume.push_back(key);
    }

    /// Reads what is there; false: the client has gone, be it behind what is left unread.
    fn stays(&mut self, key: u64) -> bool {
        let now = self.clock.now();
        let Some(client) = self.clients.get(key) else { return false };
        if !client.read(now) {
            return false;
        }
        if !client.leaves_unread() {
            return true;
        }
        let room = self.clients.kept() < self.deployment.memory / AHEAD_PART;
        self.clients.get(key).is_some_and(|client| client.looks_ahead(now, room))
    }

    /// Whether the client of a command is there at this moment; one that has gone is given up. Guards against an
    /// attempt for a client that left unnoticed: the process may have stood still, or been busy with others.
    pub(super) fn still_waits(&mut self, command: u64) -> bool {
        let Some(key) = self.clients.client_of(command) else { return false };
        let stays = self.stays(key);
        if !stays {
            self.close_client(key);
        }
        stays
    }

    /// Calls off a dispatch that is not written whole, for a command that is over: it has not run. Guards against a
    /// statement whose rest is written, and so is run, for a client that has gone.
    pub(super) fn call_off_unwritten(&mut self, key: u64) {
        let Some(line) = self.servers.get(key) else { return };
        if line.job.is_none() || line.written.is_some() {
            return;
        }
        if line.talk.phase == Phase::Ready {
            self.finish_job(key, DispatchEnd::Unsent);
            self.rest_line(key);
        } else {
            self.end_line(key, DispatchEnd::Unsent);
        }
    }

    /// Takes a client's next messages until one is in hand. Guards against a client that sends without end and keeps
    /// the others waiting.
    pub(super) fn serve_client(&mut self, key: u64) {
        let (now, takes, ready) = (self.clock.now(), self.takes, self.ready);
        let over = self.stops.is_some_and(|stops| stops + ENDS_AFTER < now);
        for turn in 0.. {
            let Some(client) = self.clients.get(key) else { break };
            // Guards against a client that sends without end and keeps a process that is to end.
            if over && client.in_hand.is_none() && !client.is_closing() {
                client.close_gently();
            }
            if turn == TURN {
                self.resume.push_back(key);
                break;
            }
            match client.next(now, takes, ready) {
                Next::Wait => break,
                Next::Answered => {}
                Next::Opened => self.clients.opened(key),
                Next::Query(length) => self.take_command(key, length),
                Next::Close => {
                    self.close_client(key);
                    return;
                }
            }
        }
        if self.listener.is_none() {
            self.part_with(key);
        }
        self.mind(key);
    }

    /// Keeps the time by which a client must have ended what it is in the middle of.
    pub(super) fn mind(&mut self, key: u64) {
        let now = self.clock.now();
        let Some(client) = self.clients.get(key) else { return };
        if client.is_closing() {
            self.clients.closes(key, now);
        }
        let Some(client) = self.clients.get(key) else { return };
        let most = match (&self.listener, self.stops) {
            (None, Some(stops)) => stops.max(now + LINGER_LEAST),
            _ => Micros::MAX,
        };
        match client.mind() {
            Some(Some(within)) => client.limit.set(&mut self.due, Due::Client(key), most.min(now + within)),
            Some(None) => client.limit.clear(),
            None => {}
        }
    }

    pub(super) fn take_command(&mut self, key: u64, length: usize) {
        let now = self.clock.now();
        let command = self.number();
        let Some(client) = self.clients.see(key) else { return };
        let came = client.came(length).unwrap_or(now);
        let read = Head::read(&client.inbox.rest()[..length]).and_then(|head| {
            let mut known = self.deployment.command_groups.iter();
            let place = known.position(|group| group.name == head.command_group);
            let place = place.ok_or("'c' is not in the settings")?;
            let group = &self.deployment.command_groups[place];
            if group.keyed && !head.keyed {
                return Err("'k' is missing".into());
            }
            if head.writes && !group.writes {
                return Err("'c' is of commands that write nothing".into());
            }
            if self.clients.has(head.id) {
                return Err("'id' is that of a command in hand".into());
            }
            Ok((place, head))
        });
        let (command_group, head) = match read {
            Ok(read) => read,
            Err(message) => {
                let error = frames::error("ERROR", "42601", &message, None);
                let Some(client) = self.clients.get(key) else { return };
                client.consume(length);
                if let Next::Close = client.answer(&[&error, frames::READY]) {
                    self.close_client(key);
                }
                return;
            }
        };
        let client_timeout = (came + micros_from_millis(head.wait)).min(self.stops.unwrap_or(Micros::MAX));
        let until = client_timeout.min(now + self.deployment.longest_wait);
        let session = self.deployment.command_groups[command_group].session;
        let session = session.then(|| self.sessions.of(head.key, now, until));
        let taken = Command {
            command_group,
            // A group that no list has named has no members; its number must not be kept for whoever asks.
            group: self.groups.find(head.group).unwrap_or(usize::MAX),
            session,
            arrived: now,
            client_timeout,
            // A commit of this very moment still counts as one.
            last_write_age: head.after.map(|after| now.saturating_sub(micros_from_millis(after)).max(1)),
            // Clients here do not say.
            customer: None,
        };
        let in_hand = InHand { command, id: head.id.into(), length, wait_at: head.wait_at };
        self.clients.waits(key, in_hand);
        self.commands.add(command, taken);
        self.step_taken(command);
        // Guards against a first question that is not asked at the arrival: the router tells new commands by that.
        self.ask_at(now, command);
    }

    /// Once the listener is closed, a connection without a command in hand is closed too; what is on its way in gets
    /// a moment more.
    pub(super) fn part_with(&mut self, key: u64) {
        let now = self.clock.now();
        let Some(client) = self.clients.get(key).filter(|client| !client.is_closing()) else { return };
        // Guards against a client that asks whether this process serves, which waits for a list, and keeps it
        // for good.
        if client.is_kept() && !self.ready {
            client.refuse("57P03", "this gateway ends");
            return;
        }
        if !client.is_idle() {
            return;
        }
        // Guards against a command that lies unread on a connection that is ended: it came in time to be taken.
        if !client.read(now) {
            self.close_client(key);
        } else if client.is_idle() {
            client.close_gently();
        } else {
            self.resume.push_back(key);
        }
    }

    /// A client's connection has ended or is of no more use; the one place that gives it up.
    pub(super) fn close_client(&mut self, key: u64) {
        let Some((client, command)) = self.clients.remove(key) else { return };
        self.handle.remove(client.token);
        if let Some(command) = command {
            let dispatches = self.commands.dispatch_count(command).unwrap_or(0);
            self.step_left(command);
            self.commands.on_client_gone(&mut self.router, self.clock.now(), command);
            self.no_longer_held(command);
            // What is written whole may have run and ends by itself.
            for dispatch in 0..dispatches {
                if let Some(line) = self.servers.out(command, dispatch) {
                    self.call_off_unwritten(line);
                }
            }
        }
    }
}
