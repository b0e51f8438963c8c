//! State of the store: roles, keys, the ledger, and faults of its servers.

use std::collections::{BTreeMap, HashMap};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fastrand::Rng;

use crate::serve;
use crate::switches::Switches;

/// Layout and timing of a store.
#[derive(Clone, Debug)]
pub struct StoreConfig {
    pub shards: usize,
    /// Servers per shard; the first is the primary.
    pub members: usize,
    /// Mean duration of a statement; varies by up to half in both directions.
    pub work: Duration,
    /// How long keys are remembered: the window plus the longest transit time.
    pub window: Duration,
    /// How long a restarted server is cold, with four times the duration per statement.
    pub cold: Duration,
    /// Lag from which a replica rejects reads.
    pub bound: Duration,
    /// Time without a primary in a switch ordered by a statement.
    pub gap: Duration,
    pub seed: u64,
}

impl Default for StoreConfig {
    fn default() -> Self {
        let work = Duration::from_millis(4);
        let (window, cold) = (Duration::from_millis(2_500), Duration::from_millis(500));
        let (bound, gap) = (Duration::from_secs(3), Duration::from_millis(60));
        StoreConfig { shards: 2, members: 3, work, window, cold, bound, gap, seed: 1 }
    }
}

/// An effect in the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerRow {
    pub shard: usize,
    pub server: usize,
    pub id: String,
    pub key: String,
    /// Time since the store's start.
    pub at: Duration,
}

/// What a killed server does with a write in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Death {
    /// It is not committed.
    Before,
    /// It is committed, and the server dies before the answer.
    AfterCommit,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Liveness {
    Up,
    Hung,
    Down,
}

pub(crate) struct Server {
    pub shard: usize,
    pub being: Liveness,
    /// Whether it considers itself primary.
    pub leads: bool,
    /// Whether it was replaced: no replica acknowledges its commits, so its writes are never answered.
    pub replaced: bool,
    /// Number of writes in progress.
    pub busy: usize,
    /// Whether new writes are rejected because of a switch.
    pub rejecting_writes: bool,
    pub death: Option<Death>,
    /// Increases with each death; work of an earlier process ends with it.
    pub process: u64,
    /// Replication lag while it is a replica.
    pub lag: Duration,
    /// Until when it is cold.
    pub cold_until: Option<Instant>,
    /// When it hung, as Unix time in ms.
    pub stuck: u64,
    pub connections: Vec<TcpStream>,
    /// Connections that arrived while it was down or hung.
    pub in_vain: u64,
}

pub(crate) struct State {
    pub servers: Vec<Server>,
    pub rng: Rng,
    /// Recent keys by shard and key, with their last use.
    keys: HashMap<(usize, String), Instant>,
    pub ledger: Vec<LedgerRow>,
    /// Repeated writes within the window, which had no further effect.
    pub dropped: usize,
    /// When each shard's last primary was ready, and the time until its first write.
    pub ready: BTreeMap<usize, (Instant, Option<Duration>)>,
    pub gaps: Vec<Duration>,
    pub(crate) switches: Switches,
    /// Additional delay of all answers.
    pub slow: Duration,
    pub over: bool,
}

pub(crate) struct Shared {
    pub shape: StoreConfig,
    pub began: Instant,
    pub state: Mutex<State>,
    pub turned: Condvar,
}

impl Shared {
    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// A shard's primary rejects new writes, completes those in progress, and becomes a replica.
    pub fn step_down(&self, shard: usize) {
        let mut state = self.lock();
        let Some(old) = state.leader(shard) else { return };
        state.servers[old].rejecting_writes = true;
        let until = Instant::now() + Duration::from_secs(2);
        while state.servers[old].busy > 0 && Instant::now() < until {
            let waited = self.turned.wait_timeout(state, Duration::from_millis(20));
            state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
        let found = &mut state.servers[old];
        (found.leads, found.rejecting_writes) = (false, false);
    }
}

/// Current Unix time in ms.
pub(crate) fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Result of a write at a server.
pub(crate) enum WriteResult {
    Done(u64),
    /// The server is not the primary.
    Miss,
    /// There is no answer: the connection ends or stays silent.
    Broken,
    Silent,
}

impl State {
    /// Completes a write: commits it if the server still may.
    pub fn commit(&mut self, shared: &Shared, server: usize, life: u64, id: &str, key: &str) -> WriteResult {
        let found = &mut self.servers[server];
        found.busy = found.busy.saturating_sub(usize::from(found.process == life));
        let dying = found.death.take();
        if found.process != life || dying == Some(Death::Before) {
            self.die(server);
            return WriteResult::Broken;
        }
        if found.replaced {
            return WriteResult::Silent;
        }
        if !found.leads {
            return WriteResult::Miss;
        }
        let shard = found.shard;
        let now = Instant::now();
        let seen = self.keys.insert((shard, key.to_string()), now);
        if seen.is_some_and(|at| now < at + shared.shape.window) {
            self.dropped += 1;
        } else {
            let (id, key, at) = (id.into(), key.into(), shared.began.elapsed());
            self.ledger.push(LedgerRow { shard, server, id, key, at });
        }
        if let Some((ready, first)) = self.ready.get_mut(&shard)
            && first.is_none()
        {
            *first = Some(ready.elapsed());
            self.gaps.push(ready.elapsed());
        }
        if dying == Some(Death::AfterCommit) {
            self.die(server);
            return WriteResult::Broken;
        }
        WriteResult::Done(unix_millis())
    }

    fn leader(&self, shard: usize) -> Option<usize> {
        self.servers
            .iter()
            .position(|s| s.shard == shard && s.leads && !s.replaced && s.being == Liveness::Up)
    }

    /// Makes a server the primary; its predecessor does not learn of it.
    pub fn set_primary(&mut self, shard: usize, to: usize) {
        for (place, server) in self.servers.iter_mut().enumerate().filter(|(_, s)| s.shard == shard) {
            if place != to && server.leads {
                server.replaced = true;
            }
        }
        let server = &mut self.servers[to];
        (server.leads, server.replaced) = (true, false);
        self.ready.insert(shard, (Instant::now(), None));
    }

    fn die(&mut self, server: usize) {
        let found = &mut self.servers[server];
        if found.being == Liveness::Down {
            return;
        }
        (found.being, found.busy, found.rejecting_writes, found.death) = (Liveness::Down, 0, false, None);
        (found.process, found.stuck) = (found.process + 1, unix_millis());
        for stream in found.connections.drain(..) {
            // The kernel resets the connections of a dead process.
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// A store with its servers on loopback.
pub struct Store {
    pub(crate) shared: Arc<Shared>,
    pub addresses: Vec<SocketAddr>,
}

impl Store {
    /// Starts all servers.
    pub fn start(shape: StoreConfig) -> std::io::Result<Store> {
        let count = shape.shards * shape.members;
        let servers = (0..count).map(|server| Server {
            shard: server / shape.members,
            being: Liveness::Up,
            leads: server % shape.members == 0,
            replaced: false,
            busy: 0,
            rejecting_writes: false,
            death: None,
            process: 0,
            lag: Duration::ZERO,
            cold_until: None,
            stuck: 0,
            connections: Vec::new(),
            in_vain: 0,
        });
        let state = State {
            servers: servers.collect(),
            rng: Rng::with_seed(shape.seed),
            keys: HashMap::new(),
            ledger: Vec::new(),
            dropped: 0,
            ready: BTreeMap::new(),
            gaps: Vec::new(),
            switches: Switches::default(),
            slow: Duration::ZERO,
            over: false,
        };
        let shared =
            Shared { shape, began: Instant::now(), state: Mutex::new(state), turned: Condvar::new() };
        let shared = Arc::new(shared);
        let addresses = (0..count).map(|server| serve::listen(shared.clone(), server));
        Ok(Store { addresses: addresses.collect::<Result<_, _>>()?, shared })
    }

    /// Name of a server.
    pub fn name(server: usize) -> String {
        format!("s{server}")
    }

    /// The actual primary of a shard.
    pub fn leader(&self, shard: usize) -> Option<usize> {
        self.shared.lock().leader(shard)
    }

    /// A running replica of the shard.
    pub fn follower(&self, shard: usize) -> Option<usize> {
        let state = self.shared.lock();
        state.servers.iter().position(|s| s.shard == shard && !s.leads && s.being == Liveness::Up)
    }

    /// Planned switch: the old primary rejects new writes and completes its own, and after `gap` the new one is
    /// primary.
    pub fn switch(&self, shard: usize, to: usize, gap: Duration) {
        self.shared.step_down(shard);
        std::thread::sleep(gap);
        self.set_primary(shard, to);
    }

    /// Makes a server the primary. A previous primary that is down or hung does not learn of it.
    pub fn set_primary(&self, shard: usize, to: usize) {
        self.shared.lock().set_primary(shard, to);
    }

    /// Delays all answers by this much.
    pub fn slow(&self, by: Duration) {
        self.shared.lock().slow = by;
    }

    /// Time since the start, as used in its records.
    pub fn age(&self) -> Duration {
        self.shared.began.elapsed()
    }

    /// Kills a server. A write in progress is committed or not according to `death`.
    pub fn kill(&self, server: usize, death: Death) {
        let mut state = self.shared.lock();
        if state.servers[server].busy > 0 && death == Death::AfterCommit {
            state.servers[server].death = Some(death);
        } else {
            state.die(server);
        }
    }

    /// Sets the lag of a replica.
    pub fn lag(&self, server: usize, lag: Duration) {
        self.shared.lock().servers[server].lag = lag;
    }

    /// Makes a server hang: connections stay silent.
    pub fn hang(&self, server: usize) {
        let mut state = self.shared.lock();
        (state.servers[server].being, state.servers[server].stuck) = (Liveness::Hung, unix_millis());
    }

    /// Restarts a server: as a replica, or unchanged, still considering itself primary.
    pub fn restart(&self, server: usize, as_it_was: bool) {
        let mut state = self.shared.lock();
        let found = &mut state.servers[server];
        if found.being == Liveness::Down {
            found.cold_until = Some(Instant::now() + self.shared.shape.cold);
        }
        found.being = Liveness::Up;
        if !as_it_was && found.replaced || !found.leads {
            (found.leads, found.replaced) = (false, false);
        }
    }

    /// Connections to a server while it was down or hung.
    pub fn in_vain(&self, server: usize) -> u64 {
        self.shared.lock().servers[server].in_vain
    }

    /// All effects so far.
    pub fn ledger(&self) -> Vec<LedgerRow> {
        self.shared.lock().ledger.clone()
    }

    /// Repeated writes within the window, which had no further effect.
    pub fn dropped(&self) -> usize {
        self.shared.lock().dropped
    }

    /// Times from each new primary's readiness to its first write.
    pub fn gaps(&self) -> Vec<Duration> {
        self.shared.lock().gaps.clone()
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.over = true;
        for server in 0..state.servers.len() {
            state.die(server);
        }
        drop(state);
        for address in &self.addresses {
            // Wakes the listener so that it ends.
            let _ = TcpStream::connect_timeout(address, Duration::from_millis(100));
        }
    }
}
