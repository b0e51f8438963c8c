//! Servers with their addresses, and the connections to them. This is where a server's socket is given back.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use tansyjunction::interface::Micros;

use crate::wire::server::{Job, Line};

#[derive(Default)]
struct Server {
    address: Option<SocketAddr>,
    started: Option<Micros>,
    /// Connections without a job, the most recently used last.
    idle: Vec<u64>,
    /// How many connections there are.
    lines: usize,
    /// Since when it is gone.
    gone: Option<Micros>,
    /// Its group, as the list tells.
    shard: Option<usize>,
}

/// A server that is gone is kept so long: far longer than a list that is late may still name it.
const FORGET_AFTER: Micros = 30_000_000;

#[derive(Default)]
pub struct Servers {
    servers: BTreeMap<usize, Server>,
    /// Those that are gone, the longest first.
    gone: BTreeSet<(Micros, usize)>,
    lines: BTreeMap<u64, Line>,
    /// Which connection a dispatch is out on.
    out: BTreeMap<(u64, usize), u64>,
}

impl Servers {
    /// Takes in where a server listens and when it started; tells which connections are worth nothing now: those that
    /// are idle, and those that have not brought anything there yet.
    pub fn known(&mut self, server: usize, address: Option<SocketAddr>, started: Option<Micros>) -> Vec<u64> {
        let known = self.servers.entry(server).or_default();
        let moved = address.is_some() && known.address.is_some() && known.address != address;
        let restarted = known.started != started;
        known.address = address.or(known.address);
        known.started = started;
        if let Some(since) = known.gone.take() {
            self.gone.remove(&(since, server));
        }
        if !(moved || restarted) {
            return Vec::new();
        }
        let mut worthless = known.idle.clone();
        worthless.extend(self.unwritten(|line| line.server == server));
        worthless
    }

    /// A server is gone; tells which idle connections are worth nothing now.
    pub fn gone(&mut self, server: usize, now: Micros) -> Vec<u64> {
        let Some(known) = self.servers.get_mut(&server) else { return Vec::new() };
        let since = *known.gone.get_or_insert(now);
        self.gone.insert((since, server));
        known.idle.clone()
    }

    /// Those that are not gone.
    pub fn there(&self) -> Vec<usize> {
        let there = self.servers.iter().filter(|(_, known)| known.gone.is_none());
        there.map(|(server, _)| *server).collect()
    }

    /// Forgets a server that has been gone for long and has no connection left.
    pub fn forget(&mut self, now: Micros) -> Option<usize> {
        let long = self.gone.range(..(now.saturating_sub(FORGET_AFTER), 0));
        let unused = |server: &usize| self.servers.get(server).is_none_or(|known| known.lines == 0);
        let (since, server) = long.copied().find(|(_, server)| unused(server))?;
        self.gone.remove(&(since, server));
        self.servers.remove(&server);
        Some(server)
    }

    pub fn in_shard(&mut self, server: usize, shard: usize) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.shard = Some(shard);
        }
    }

    pub fn shard(&self, server: usize) -> Option<usize> {
        self.servers.get(&server)?.shard
    }

    pub fn address(&self, server: usize) -> Option<SocketAddr> {
        self.servers.get(&server)?.address
    }

    pub fn add(&mut self, key: u64, line: Line) {
        self.servers.entry(line.server).or_default().lines += 1;
        self.lines.insert(key, line);
    }

    pub fn get(&mut self, key: u64) -> Option<&mut Line> {
        self.lines.get_mut(&key)
    }

    pub fn count(&self) -> usize {
        self.lines.len()
    }

    /// Gives a connection its job, and until when it may take; the last one was taken from it.
    pub fn begin(&mut self, key: u64, job: Job, due: Micros) {
        let Some(line) = self.lines.get_mut(&key) else { return };
        line.job = Some(job);
        line.job_due = due;
        line.talk.said = Default::default();
        line.written = None;
        if let Job::Command { command, dispatch } = job {
            self.out.insert((command, dispatch), key);
        }
    }

    /// Takes its job from a connection.
    pub fn finish(&mut self, key: u64) -> Option<Job> {
        let job = self.lines.get_mut(&key)?.job.take();
        if let Some(Job::Command { command, dispatch }) = job {
            self.out.remove(&(command, dispatch));
        }
        job
    }

    /// No job may take longer than until then; tells which connections are at work on one that might have.
    pub fn hasten(&mut self, until: Micros) -> Vec<u64> {
        let late = self.lines.iter_mut().filter(|(_, line)| line.job.is_some() && line.job_due > until);
        late.map(|(key, line)| {
            line.job_due = until;
            *key
        })
        .collect()
    }

    /// Connections with a dispatch that is not written whole.
    pub fn unwritten(&self, of: impl Fn(&Line) -> bool) -> Vec<u64> {
        let command = |line: &Line| matches!(line.job, Some(Job::Command { .. }));
        let waits = |line: &Line| line.written.is_none() && command(line) && of(line);
        self.lines.iter().filter(|(_, line)| waits(line)).map(|(key, _)| *key).collect()
    }

    pub fn out(&self, command: u64, dispatch: usize) -> Option<u64> {
        self.out.get(&(command, dispatch)).copied()
    }

    pub fn rest(&mut self, key: u64) {
        let Some(line) = self.lines.get(&key) else { return };
        self.servers.entry(line.server).or_default().idle.push(key);
    }

    /// An idle connection to a server: the most recently used one, or the least.
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

    /// The idle connection that was used least recently, whatever its server.
    pub fn idlest(&self) -> Option<u64> {
        let oldest = self.servers.values().filter_map(|server| server.idle.first());
        oldest.copied().min_by_key(|key| self.lines.get(key).map(|line| line.rested))
    }

    pub fn remove(&mut self, key: u64) -> Option<Line> {
        self.finish(key);
        let line = self.lines.remove(&key)?;
        if let Some(server) = self.servers.get_mut(&line.server) {
            server.idle.retain(|idle| *idle != key);
            server.lines -= 1;
        }
        Some(line)
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
            servers.known(server, address, None);
        }
        servers.gone(0, 10);
        servers.gone(1, 20);
        servers.gone(0, 30);
        // It came back.
        servers.known(1, address, None);
        assert_eq!((servers.there(), servers.forget(FORGET_AFTER)), (vec![1, 2], None));
        let late = FORGET_AFTER + 1_000;
        assert_eq!([servers.forget(late), servers.forget(late)], [Some(0), None]);
        assert_eq!((servers.address(0), servers.address(1)), (None, address));
    }
}
