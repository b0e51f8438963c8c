//! Client connections: accepted, read in turn, timed out and closed. Makes no decisions.

use calloop::Readiness;
use tansyjunction::interface::*;
use tansyjunction_hosting::micros_from_millis;
use tracing::warn;

use super::descriptors::SHUTDOWN_LINGER;
use super::{Due, Gateway, is_out_of_descriptors};
use crate::memory::name_hash::NameHash;
use crate::wire::client::{Client, InHand, Next};
use crate::wire::frames;
use crate::wire::statement::CommandHead;

/// Time after the deadline of all answers at which clients that still send are closed.
const FINAL_GRACE: Micros = 100_000;
/// Most messages of one client, and most new clients, handled before others get their turn.
const MESSAGES_PER_TURN: usize = 8;
const ACCEPTS_PER_TURN: usize = 64;

impl Gateway {
    /// Accepts the connections in the listen queue.
    pub fn accept(&mut self) {
        for turn in 0.. {
            self.accept_more = turn == ACCEPTS_PER_TURN;
            let full = !self.has_free_descriptor(true);
            if full && !self.accept_blocked {
                warn!(target: "limits", "no file descriptor left for a new client");
            }
            self.accept_blocked = full;
            if self.accept_blocked || self.accept_more {
                return;
            }
            let stream = match self.listener.as_ref().map(|listener| listener.next()) {
                Some(Ok(Some(stream))) => stream,
                Some(Err(error)) => {
                    warn!(target: "limits", "accept: {error}");
                    // Continues in the next iteration if idle connections can be closed; else when a descriptor
                    // becomes free.
                    self.accept_more = is_out_of_descriptors(&error) && self.lower_descriptor_limit();
                    self.accept_blocked = !self.accept_more;
                    return;
                }
                _ => return,
            };
            let key = self.number();
            let unreserved = self.buffer_limits().unreserved();
            match self.watch(stream, move |gateway, readiness| gateway.client_ready(key, readiness)) {
                Ok((stream, token)) => {
                    self.clients.add(key, Client::new(stream, token, self.clock.now(), unreserved));
                    self.update_client_timeout(key);
                }
                Err(error) => warn!(target: "clients", "a client's connection: {error}"),
            }
        }
    }

    /// Accepts all connections in the listen queue for which there are descriptors.
    pub(super) fn accept_all(&mut self) {
        self.accept();
        while self.accept_more {
            self.accept();
        }
    }

    pub(super) fn client_ready(&mut self, key: u64, readiness: Readiness) {
        let Some(client) = self.clients.get(key) else { return };
        if !client.flush() || readiness.readable && !self.client_is_connected(key) {
            self.close_client(key);
            return;
        }
        self.turns.push_back(key);
    }

    /// Reads what has arrived; false if the client has gone, even behind unread data.
    fn client_is_connected(&mut self, key: u64) -> bool {
        let now = self.clock.now();
        let Some(client) = self.clients.get(key) else { return false };
        if !client.read(now) {
            return false;
        }
        if !client.has_unread() {
            return true;
        }
        let ahead = if client.in_hand.is_some() { self.read_ahead() } else { 0 };
        self.clients.get(key).is_some_and(|client| client.check_for_end(now, ahead))
    }

    /// Whether the client of a command is still connected; closes it if not. The process may have been paused or
    /// busy, and no attempt may be made for a client that left meanwhile.
    pub(super) fn command_is_awaited(&mut self, command: u64) -> bool {
        let Some(key) = self.clients.client_of(command) else { return false };
        let stays = self.client_is_connected(key);
        if !stays {
            self.close_client(key);
        }
        stays
    }

    /// Handles a client's messages until a command is in progress, within a limit so that other clients get their turn.
    pub(super) fn serve_client(&mut self, key: u64) {
        let (now, takes, ready) = (self.clock.now(), self.accepts_commands, self.ready);
        let over = self.stop_deadline.is_some_and(|stops| stops + FINAL_GRACE < now);
        for turn in 0.. {
            let Some(client) = self.clients.get(key) else { break };
            // A client that keeps sending must not delay the shutdown.
            if over && client.in_hand.is_none() && !client.is_closing() {
                client.shut_down();
            }
            if turn == MESSAGES_PER_TURN {
                self.turns.push_back(key);
                break;
            }
            match client.next(now, takes, ready) {
                Next::Wait => break,
                Next::NeedsMemory(request) => self.reserve_message(key, request),
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
            self.close_for_shutdown(key);
        }
        self.update_client_timeout(key);
    }

    /// Updates the timeout of what the client is in the middle of.
    pub(super) fn update_client_timeout(&mut self, key: u64) {
        let now = self.clock.now();
        let Some(client) = self.clients.get(key) else { return };
        if client.is_closing() {
            self.clients.mark_closing(key, now);
        }
        let Some(client) = self.clients.get(key) else { return };
        let most = match (&self.listener, self.stop_deadline) {
            (None, Some(stops)) => stops.max(now + SHUTDOWN_LINGER),
            _ => Micros::MAX,
        };
        match client.changed_deadline(now) {
            Some(Some(deadline)) => client.limit.set(&mut self.due, Due::Client(key), most.min(deadline)),
            Some(None) => client.limit.clear(),
            None => {}
        }
    }

    /// Reads a command's statement: the index of its group, its id, and its parameters. `Err` says what is wrong.
    fn read_command<'a>(&self, message: &'a [u8]) -> Result<(usize, NameHash, CommandHead<'a>), String> {
        let head = CommandHead::read(message)?;
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
        let id = NameHash::of(head.id);
        if self.clients.has_command_id(id) {
            return Err("'id' is that of a command in hand".into());
        }
        if group.writes && self.executed_ids.contains(id) {
            return Err("'id' is that of a command that may have run".into());
        }
        Ok((place, id, head))
    }

    /// Begins the command at the front of a client's inbox, or answers it with an error.
    pub(super) fn take_command(&mut self, key: u64, length: usize) {
        let now = self.clock.now();
        let command = self.number();
        let Some(client) = self.clients.peek(key) else { return };
        let came = client.arrived_at(length).unwrap_or(now);
        let (command_group, id, head) = match self.read_command(&client.inbox.rest()[..length]) {
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
        let client_timeout =
            (came + micros_from_millis(head.wait)).min(self.stop_deadline.unwrap_or(Micros::MAX));
        let until = client_timeout.min(now + self.deployment.longest_wait);
        let group = &self.deployment.command_groups[command_group];
        let session = group.session.then(|| self.sessions.find_or_add(head.key, now, until, group.primary));
        let taken = Command {
            command_group,
            // A group that is in no list has no members; no number is assigned to it.
            group: self.groups.find(head.group).unwrap_or(usize::MAX),
            session: session.map(|session| session.number),
            arrived: now,
            client_timeout,
            // A commit at this very moment counts too.
            last_write_age: head.after.map(|after| now.saturating_sub(micros_from_millis(after)).max(1)),
            forgotten_until: session.and_then(|session| session.forgotten_until),
            // Clients do not name customers in this protocol.
            customer: None,
        };
        let in_hand = InHand { command, id, id_at: head.id_at, length, wait_at: head.wait_at };
        self.clients.set_pending(key, in_hand);
        self.commands.add(command, taken);
        self.step_taken(command);
        // The router recognises new commands by being asked at their arrival time.
        self.place_at(now, command);
    }

    /// After the listener is closed, closes a connection without a command in progress; data in transit gets a little
    /// time.
    pub(super) fn close_for_shutdown(&mut self, key: u64) {
        let now = self.clock.now();
        let Some(client) = self.clients.get(key).filter(|client| !client.is_closing()) else { return };
        // A client that waits for a server list with an empty query must not keep its connection open.
        if client.has_waiting_message() && !self.ready {
            client.shut_down();
            return;
        }
        if !client.is_idle() {
            return;
        }
        // A command that lies unread on the connection arrived in time and must be accepted.
        if !client.read(now) {
            self.close_client(key);
        } else if client.is_idle() {
            client.shut_down();
        } else {
            self.turns.push_back(key);
        }
    }

    /// Closes a client connection; the only place that does.
    pub(super) fn close_client(&mut self, key: u64) {
        let Some((client, command)) = self.clients.remove(key) else { return };
        self.handle.remove(client.token);
        if let Some(command) = command {
            let dispatches = self.commands.dispatch_count(command).unwrap_or(0);
            self.step_left(command);
            self.commands.on_client_gone(&mut self.router, self.clock.now(), command);
            self.handover_forget(command);
            // Completely written dispatches may have executed and end by themselves.
            for dispatch in 0..dispatches {
                if let Some(connection) = self.servers.connection_of(command, dispatch) {
                    self.cancel_unwritten(connection);
                }
            }
        }
    }
}
