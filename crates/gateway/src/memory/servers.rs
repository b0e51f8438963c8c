//! Servers with their addresses and connections. Owns the servers' sockets.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use tansyjunction::interface::Micros;

use crate::wire::server::{Job, ServerConnection};

/// A database server.
#[derive(Default)]
struct Server {
    address: Option<SocketAddr>,
    started: Option<Micros>,
    /// Idle connections, the most recently used last.
    idle: Vec<u64>,
    /// Connections that synchronize behind an answer and have no job yet, the earliest first.
    synchronizing: Vec<u64>,
    /// Number of connections.
    connection_count: usize,
    /// Since when it is gone.
    gone_since: Option<Micros>,
    /// Its group in the server list.
    shard: Option<usize>,
}

impl Server {
    /// Connections without a job.
    fn unused(&self) -> Vec<u64> {
        [&self.idle[..], &self.synchronizing[..]].concat()
    }
}

/// Time for which a server that is gone is remembered: far longer than late lists may still name it.
const FORGET_AFTER: Micros = 30_000_000;

/// All servers and their connections.
#[derive(Default)]
pub struct Servers {
    servers: BTreeMap<usize, Server>,
    /// Servers that are gone, the longest first.
    gone: BTreeSet<(Micros, usize)>,
    connections: BTreeMap<u64, ServerConnection>,
    /// Connection of each dispatch in flight.
    by_dispatch: BTreeMap<(u64, usize), u64>,
}

impl Servers {
    /// Updates address and start time of a server. Returns the connections that are now useless: those without a
    /// job, and those that have not received anything yet.
    pub fn update(
        &mut self,
        server: usize,
        address: Option<SocketAddr>,
        started: Option<Micros>,
    ) -> Vec<u64> {
        let known = self.servers.entry(server).or_default();
        let moved = address.is_some() && known.address.is_some() && known.address != address;
        let restarted = known.started != started;
        known.address = address.or(known.address);
        known.started = started;
        if let Some(since) = known.gone_since.take() {
            self.gone.remove(&(since, server));
        }
        if !(moved || restarted) {
            return Vec::new();
        }
        let mut worthless = known.unused();
        worthless.extend(self.unwritten(|connection| connection.server == server));
        worthless
    }

    /// Marks a server as gone; returns its connections without a job, which are now useless.
    pub fn mark_gone(&mut self, server: usize, now: Micros) -> Vec<u64> {
        let Some(known) = self.servers.get_mut(&server) else { return Vec::new() };
        let since = *known.gone_since.get_or_insert(now);
        self.gone.insert((since, server));
        known.unused()
    }

    /// Servers that are not gone.
    pub fn present(&self) -> Vec<usize> {
        let there = self.servers.iter().filter(|(_, known)| known.gone_since.is_none());
        there.map(|(server, _)| *server).collect()
    }

    /// Removes a server that has been gone for long and has no connection.
    pub fn forget(&mut self, now: Micros) -> Option<usize> {
        let long = self.gone.range(..(now.saturating_sub(FORGET_AFTER), 0));
        let unused =
            |server: &usize| self.servers.get(server).is_none_or(|known| known.connection_count == 0);
        let (since, server) = long.copied().find(|(_, server)| unused(server))?;
        self.gone.remove(&(since, server));
        self.servers.remove(&server);
        Some(server)
    }

    /// Sets the group of a server.
    pub fn set_shard(&mut self, server: usize, shard: usize) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.shard = Some(shard);
        }
    }

    /// The group of a server.
    pub fn shard(&self, server: usize) -> Option<usize> {
        self.servers.get(&server)?.shard
    }

    /// The address of a server.
    pub fn address(&self, server: usize) -> Option<SocketAddr> {
        self.servers.get(&server)?.address
    }

    /// Adds a connection.
    pub fn add(&mut self, key: u64, connection: ServerConnection) {
        self.servers.entry(connection.server).or_default().connection_count += 1;
        self.connections.insert(key, connection);
    }

    /// Access to a connection.
    pub fn get(&mut self, key: u64) -> Option<&mut ServerConnection> {
        self.connections.get_mut(&key)
    }

    /// Memory used by the buffers of all connections in bytes.
    pub fn buffer_bytes(&self) -> usize {
        self.connections.values().map(ServerConnection::memory).sum()
    }

    /// Number of connections.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Assigns a job to a connection, with its timeout; it must have none. The job may be moved once to another connection.
    pub fn begin(&mut self, key: u64, job: Job, due: Micros) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        connection.job = Some(job);
        connection.job_due = due;
        connection.protocol.server_answer = Default::default();
        connection.written = None;
        connection.reopened = false;
        if let Job::Command { command, dispatch } = job {
            self.by_dispatch.insert((command, dispatch), key);
        }
    }

    /// Takes the job from a connection.
    pub fn finish(&mut self, key: u64) -> Option<Job> {
        let job = self.connections.get_mut(&key)?.job.take();
        if let Some(Job::Command { command, dispatch }) = job {
            self.by_dispatch.remove(&(command, dispatch));
        }
        job
    }

    /// Limits the timeout of all jobs; returns the connections whose job had a later one.
    pub fn limit_timeouts(&mut self, until: Micros) -> Vec<u64> {
        let late = self
            .connections
            .iter_mut()
            .filter(|(_, connection)| connection.job.is_some() && connection.job_due > until);
        late.map(|(key, connection)| {
            connection.job_due = until;
            *key
        })
        .collect()
    }

    /// Connections whose statement is not completely written.
    pub fn unwritten(&self, of: impl Fn(&ServerConnection) -> bool) -> Vec<u64> {
        let command = |connection: &ServerConnection| matches!(connection.job, Some(Job::Command { .. }));
        let waits = |connection: &ServerConnection| {
            connection.written.is_none() && command(connection) && of(connection)
        };
        self.connections.iter().filter(|(_, connection)| waits(connection)).map(|(key, _)| *key).collect()
    }

    /// Connection of a dispatch in flight.
    pub fn connection_of(&self, command: u64, dispatch: usize) -> Option<u64> {
        self.by_dispatch.get(&(command, dispatch)).copied()
    }

    /// Makes a connection idle.
    pub fn set_idle(&mut self, key: u64) {
        let Some(connection) = self.connections.get(&key) else { return };
        let server = self.servers.entry(connection.server).or_default();
        server.synchronizing.retain(|other| *other != key);
        server.idle.push(key);
    }

    /// Records that a connection without a job synchronizes.
    pub fn set_synchronizing(&mut self, key: u64) {
        let Some(connection) = self.connections.get(&key) else { return };
        self.servers.entry(connection.server).or_default().synchronizing.push(key);
    }

    /// Takes the connection to a server that will be synchronized first.
    pub fn take_synchronizing(&mut self, server: usize) -> Option<u64> {
        let waiting = &mut self.servers.get_mut(&server)?.synchronizing;
        (!waiting.is_empty()).then(|| waiting.remove(0))
    }

    /// Takes an idle connection to a server: the most recently used one, or the least.
    pub fn take_idle(&mut self, server: usize, most_recent: bool) -> Option<u64> {
        let idle = &mut self.servers.get_mut(&server)?.idle;
        if most_recent {
            idle.pop()
        } else if idle.is_empty() {
            None
        } else {
            Some(idle.remove(0))
        }
    }

    /// The least recently used connection without a job of any server; of those of one server, an idle one.
    pub fn least_recently_used(&self) -> Option<u64> {
        let unused = |server: &'_ Server| server.idle.first().or(server.synchronizing.first()).copied();
        let oldest = self.servers.values().filter_map(unused);
        oldest.min_by_key(|key| self.connections.get(key).map(|connection| connection.idle_since))
    }

    /// Removes a connection.
    pub fn remove(&mut self, key: u64) -> Option<ServerConnection> {
        self.finish(key);
        let connection = self.connections.remove(&key)?;
        if let Some(server) = self.servers.get_mut(&connection.server) {
            server.idle.retain(|idle| *idle != key);
            server.synchronizing.retain(|other| *other != key);
            server.connection_count -= 1;
        }
        Some(connection)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_server_is_forgotten_only_long_after_it_is_gone() {
        let mut servers = Servers::default();
        let address = "127.0.0.1:9".parse().ok();
        for server in 0..3 {
            servers.update(server, address, None);
        }
        servers.mark_gone(0, 10);
        servers.mark_gone(1, 20);
        servers.mark_gone(0, 30);
        // It is back.
        servers.update(1, address, None);
        assert_eq!((servers.present(), servers.forget(FORGET_AFTER)), (vec![1, 2], None));
        let late = FORGET_AFTER + 1_000;
        assert_eq!([servers.forget(late), servers.forget(late)], [Some(0), None]);
        assert_eq!((servers.address(0), servers.address(1)), (None, address));
    }
}
