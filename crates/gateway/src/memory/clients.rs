//! Client connections and the commands that they wait for. Owns the clients' sockets.

use std::collections::{BTreeMap, BTreeSet};

use tansyjunction::interface::Micros;

use crate::memory::buffers::BufferUse;
use crate::memory::name_hash::NameHash;
use crate::wire::client::{Client, InHand};

/// All client connections by number.
#[derive(Default)]
pub struct Clients {
    connections: BTreeMap<u64, Client>,
    /// Connection that waits for each command.
    waiting: BTreeMap<u64, u64>,
    /// The `id` of each pending command.
    ids: BTreeSet<NameHash>,
    /// Connections that have not finished their startup, by arrival time.
    silent: BTreeSet<(Micros, u64)>,
    /// Other connections without a command, by the time of their last one or of their arrival.
    resting: BTreeSet<(Micros, u64)>,
    /// Connections shut down here that wait for the client's end, by the time of the shutdown.
    closing: BTreeSet<(Micros, u64)>,
}

impl Clients {
    /// Adds a new connection.
    pub fn add(&mut self, key: u64, client: Client) {
        self.silent.insert((client.last_used, key));
        self.connections.insert(key, client);
    }

    /// Records that a connection has finished its startup.
    pub fn opened(&mut self, key: u64) {
        let Some(client) = self.connections.get(&key) else { return };
        if self.silent.remove(&(client.last_used, key)) {
            self.resting.insert((client.last_used, key));
        }
    }

    /// Records that a connection was shut down here, so that it no longer counts as idle.
    pub fn mark_closing(&mut self, key: u64, now: Micros) {
        let Some(client) = self.connections.get_mut(&key) else { return };
        let at = (client.last_used, key);
        if !self.closing.contains(&at) {
            self.silent.remove(&at);
            self.resting.remove(&at);
            client.last_used = now;
            self.closing.insert((now, key));
        }
    }

    /// Number of connections that have finished their startup and were not shut down.
    pub fn open_count(&self) -> usize {
        self.connections.len() - self.silent.len() - self.closing.len()
    }

    /// The oldest connection without a complete startup that arrived before `before`.
    pub fn oldest_without_startup(&self, before: Micros) -> Option<u64> {
        let mut silent = self.silent.range(..=(before, u64::MAX)).map(|(_, key)| *key);
        silent.find(|key| self.connections.get(key).is_some_and(Client::lacks_startup))
    }

    /// A connection with a message that has been incomplete since `before` or longer.
    pub fn incomplete_since(&self, before: Micros) -> Option<u64> {
        let mut others = self.resting.iter().map(|(_, key)| *key);
        others.find(|key| self.connections.get(key).is_some_and(|client| client.lacks_rest_since(before)))
    }

    /// The connection shut down first, before `before`, that has been sent its last answer.
    pub fn longest_closing(&self, before: Micros) -> Option<u64> {
        let mut closing = self.closing.range(..=(before, u64::MAX)).map(|(_, key)| *key);
        closing.find(|key| self.connections.get(key).is_some_and(Client::is_idle))
    }

    /// Mutable access to a connection.
    pub fn get(&mut self, key: u64) -> Option<&mut Client> {
        self.connections.get_mut(&key)
    }

    /// Shared access to a connection.
    pub fn peek(&self, key: u64) -> Option<&Client> {
        self.connections.get(&key)
    }

    /// Number of connections.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Numbers of all connections.
    pub fn keys(&self) -> Vec<u64> {
        self.connections.keys().copied().collect()
    }

    /// Whether a command with this `id` is pending.
    pub fn has_command_id(&self, id: NameHash) -> bool {
        self.ids.contains(&id)
    }

    /// Memory used by the buffers of all connections; answers count as other bytes.
    pub fn buffer_use(&self) -> BufferUse {
        let mut used = BufferUse::default();
        for client in self.connections.values() {
            used.messages += client.message_memory();
            used.other += client.outbox.memory();
        }
        used
    }

    /// Records that a connection waits for a command.
    pub fn set_pending(&mut self, key: u64, in_hand: InHand) {
        let Some(client) = self.connections.get_mut(&key) else { return };
        self.resting.remove(&(client.last_used, key));
        self.ids.insert(in_hand.id);
        self.waiting.insert(in_hand.command, key);
        client.in_hand = Some(in_hand);
    }

    /// Ends the wait for a command that is answered now, and returns the connection.
    pub fn take_pending(&mut self, command: u64, now: Micros) -> Option<u64> {
        let key = self.waiting.remove(&command)?;
        let client = self.connections.get_mut(&key)?;
        if let Some(in_hand) = client.answered() {
            self.ids.remove(&in_hand.id);
        }
        client.last_used = now;
        self.resting.insert((now, key));
        Some(key)
    }

    /// Number of the connection that waits for a command.
    pub fn client_of(&self, command: u64) -> Option<u64> {
        self.waiting.get(&command).copied()
    }

    /// The connection that waits for a command.
    pub fn waiting_for(&mut self, command: u64) -> Option<&mut Client> {
        let key = self.waiting.get(&command)?;
        self.connections.get_mut(key)
    }

    /// The least recently used idle connection that was last used before `before`.
    pub fn least_recently_used(&self, before: Micros) -> Option<u64> {
        let rested = self.resting.range(..=(before, u64::MAX)).map(|(_, key)| *key);
        rested.into_iter().find(|key| self.connections.get(key).is_some_and(Client::is_idle))
    }

    /// Removes a connection, and returns the command that it waited for.
    pub fn remove(&mut self, key: u64) -> Option<(Client, Option<u64>)> {
        let client = self.connections.remove(&key)?;
        self.silent.remove(&(client.last_used, key));
        self.resting.remove(&(client.last_used, key));
        self.closing.remove(&(client.last_used, key));
        let in_hand = client.in_hand.as_ref();
        if let Some(in_hand) = in_hand {
            self.waiting.remove(&in_hand.command);
            self.ids.remove(&in_hand.id);
        }
        let command = in_hand.map(|in_hand| in_hand.command);
        Some((client, command))
    }
}
