//! The clients' connections and the commands that they wait for. This is where a client's socket is given back.

use std::collections::{BTreeMap, BTreeSet};

use tansyjunction::interface::Micros;

use crate::wire::client::{Client, InHand};

#[derive(Default)]
pub struct Clients {
    connections: BTreeMap<u64, Client>,
    /// Which connection waits for a command.
    waiting: BTreeMap<u64, u64>,
    /// The `id` of each command in hand.
    ids: BTreeSet<String>,
    /// Connections whose startup is not over, by when they came.
    silent: BTreeSet<(Micros, u64)>,
    /// Others without a command in hand, by when they last had one or came.
    resting: BTreeSet<(Micros, u64)>,
    /// Connections that were ended here and wait for the other side's end, by when they were.
    closing: BTreeSet<(Micros, u64)>,
}

impl Clients {
    pub fn add(&mut self, key: u64, client: Client) {
        self.silent.insert((client.used, key));
        self.connections.insert(key, client);
    }

    /// The startup of a connection is over.
    pub fn opened(&mut self, key: u64) {
        let Some(client) = self.connections.get(&key) else { return };
        if self.silent.remove(&(client.used, key)) {
            self.resting.insert((client.used, key));
        }
    }

    /// A connection was ended here. Guards against one that only waits for the other side's end and is taken for one
    /// that rests.
    pub fn closes(&mut self, key: u64, now: Micros) {
        let Some(client) = self.connections.get_mut(&key) else { return };
        let at = (client.used, key);
        if !self.closing.contains(&at) {
            self.silent.remove(&at);
            self.resting.remove(&at);
            client.used = now;
            self.closing.insert((now, key));
        }
    }

    /// Connections whose startup is over and that were not ended here.
    pub fn open(&self) -> usize {
        self.connections.len() - self.silent.len() - self.closing.len()
    }

    /// The connection that came first of those whose startup has not come in whole, and not since `before`.
    pub fn most_silent(&self, before: Micros) -> Option<u64> {
        let mut silent = self.silent.range(..=(before, u64::MAX)).map(|(_, key)| *key);
        silent.find(|key| self.connections.get(key).is_some_and(Client::is_silent))
    }

    /// The connection that was ended here first, not since `before`, and has its last answer.
    pub fn longest_closing(&self, before: Micros) -> Option<u64> {
        let mut closing = self.closing.range(..=(before, u64::MAX)).map(|(_, key)| *key);
        closing.find(|key| self.connections.get(key).is_some_and(Client::is_idle))
    }

    pub fn get(&mut self, key: u64) -> Option<&mut Client> {
        self.connections.get_mut(&key)
    }

    pub fn see(&self, key: u64) -> Option<&Client> {
        self.connections.get(&key)
    }

    pub fn count(&self) -> usize {
        self.connections.len()
    }

    pub fn keys(&self) -> Vec<u64> {
        self.connections.keys().copied().collect()
    }

    /// Whether a command of this `id` is in hand.
    pub fn has(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// How much memory the inboxes hold.
    pub fn kept(&self) -> usize {
        self.connections.values().map(|client| client.inbox.kept()).sum()
    }

    pub fn waits(&mut self, key: u64, in_hand: InHand) {
        let Some(client) = self.connections.get_mut(&key) else { return };
        self.resting.remove(&(client.used, key));
        self.ids.insert(in_hand.id.clone());
        self.waiting.insert(in_hand.command, key);
        client.in_hand = Some(in_hand);
    }

    /// The connection that waits for a command, which is answered now.
    pub fn answering(&mut self, command: u64, now: Micros) -> Option<u64> {
        let key = self.waiting.remove(&command)?;
        let client = self.connections.get_mut(&key)?;
        if let Some(in_hand) = client.answered() {
            self.ids.remove(&in_hand.id);
        }
        client.used = now;
        self.resting.insert((now, key));
        Some(key)
    }

    /// The number of the connection that waits for a command.
    pub fn client_of(&self, command: u64) -> Option<u64> {
        self.waiting.get(&command).copied()
    }

    /// The connection that waits for a command.
    pub fn waiting_for(&mut self, command: u64) -> Option<&mut Client> {
        let key = self.waiting.get(&command)?;
        self.connections.get_mut(key)
    }

    /// The idle connection that was used least recently, and not since `before`.
    pub fn idlest(&self, before: Micros) -> Option<u64> {
        let rested = self.resting.range(..=(before, u64::MAX)).map(|(_, key)| *key);
        rested.into_iter().find(|key| self.connections.get(key).is_some_and(Client::is_idle))
    }

    /// Gives a connection up, with the command that it waited for.
    pub fn remove(&mut self, key: u64) -> Option<(Client, Option<u64>)> {
        let client = self.connections.remove(&key)?;
        self.silent.remove(&(client.used, key));
        self.resting.remove(&(client.used, key));
        self.closing.remove(&(client.used, key));
        let in_hand = client.in_hand.as_ref();
        if let Some(in_hand) = in_hand {
            self.waiting.remove(&in_hand.command);
            self.ids.remove(&in_hand.id);
        }
        let command = in_hand.map(|in_hand| in_hand.command);
        Some((client, command))
    }
}
