//! The consensus thread of a gateway: its member, store and socket, lease timers, and the effect of conducted changes.
//! Makes no decisions.
//!
//! The thread that serves commands never waits for this one. It reads the agreed state from a snapshot
//! ([`AgreedPlans`]) when it is woken, and writes what it knows to another one ([`Facts`]). Operators' requests go
//! through a bounded queue.

mod conduct;
mod effect;
mod fault;
mod member;
mod scout;
mod status;
mod words;

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use calloop::channel::{SyncSender, sync_channel as calloop_sync};
use calloop::ping::{Ping, PingSource, make_ping};
use serde_json::Value as Json;
use tansyjunction::interface::Micros;
use tansyjunction_duties::{LeaseConfig, Plan, ShardReport};
use tansyjunction_fellows::seal::Keys;
use tansyjunction_settings::ConsensusSettings as Set;

pub use self::fault::{RequestError, StartError};
use self::member::ThreadConfig;
pub use self::words::error_json;

/// Most operators' requests in the queue.
const MAX_QUEUED_REQUESTS: usize = 16;
/// Time for the thread to end once it is told to.
const THREAD_JOIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Context string that derives the keys of consensus datagrams from those of the key file, so that datagrams of the
/// membership protocol are not accepted here.
const KEY_CONTEXT: &str = "tansyjunction council datagrams 1";

/// The agreed state as far as it matters for commands.
#[derive(Clone, Debug, Default)]
pub struct AgreedPlans {
    /// Index of the last change of a document.
    pub newest: u64,
    /// Each shard's current or last change of primary.
    pub plans: BTreeMap<u32, Plan>,
}

/// A server of a shard whose primary changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    pub address: SocketAddr,
    pub leaving: bool,
}

/// What this gateway knows about a shard whose primary changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlannedShard {
    pub word: Option<ShardReport>,
    /// `None`: no server list yet.
    pub servers: Option<BTreeMap<String, Server>>,
}

/// What the serving thread reports about this gateway.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// Time of the report on the lease clock.
    pub at: Micros,
    /// The [`AgreedPlans::newest`] that it acts by.
    pub adopted: u64,
    /// 0 is healthy, 8 the worst.
    pub health: u8,
    /// Tenths of the capacity that are free.
    pub room: u8,
    /// SIGTERM was received: duties are handed over, then the gateway leaves.
    pub shutting_down: bool,
    /// Gateways that the failure detector considers down.
    pub suspected: Vec<String>,
    pub planned: BTreeMap<u32, PlannedShard>,
    /// By the name of each group that may have a probing duty.
    pub probing: BTreeMap<String, GroupProbes>,
}

/// This gateway's probes of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupProbes {
    /// Probes that ended, and probes replaced by the duty holder's result.
    pub probes: u64,
    pub spared: u64,
    /// Whether probes are in flight.
    pub in_flight: bool,
}

/// Holders of the probing duties by the agreed state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProbingHolders {
    /// End of validity on the lease clock: then this gateway's attendance expires, and the state may be outdated.
    pub until: Micros,
    /// Holders by group name.
    pub by_group: BTreeMap<String, String>,
}

/// An operator's request, and where to send the answer.
pub struct OperatorRequest {
    pub request: Json,
    pub stream: UnixStream,
    /// For a change of primary: the shard's number and its primary as known by this gateway.
    pub shard: Option<(u32, String)>,
}

/// Commands to the consensus thread.
pub enum ThreadCommand {
    Answer(OperatorRequest),
    /// Read the key file again.
    Rekey,
}

/// Handle of the consensus thread, held by the serving thread.
pub struct Handle {
    agreed_plans: Arc<ArcSwap<AgreedPlans>>,
    probing_holders: Arc<ArcSwap<ProbingHolders>>,
    facts: Arc<ArcSwap<Facts>>,
    commands: SyncSender<ThreadCommand>,
    /// Wakes the consensus thread to read the facts.
    wake: Ping,
    ended: Receiver<()>,
    thread: Option<JoinHandle<()>>,
    pub beat: Micros,
}

/// Identity of the gateway.
pub struct Identity<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    /// Larger than that of any earlier process of this name: Unix time in milliseconds.
    pub life: u64,
    pub seed: u64,
}

/// Starts the thread. The second value wakes the serving thread when something was decided.
///
/// # Errors
///
/// Names what is wrong with the settings, the store, the socket or the keys.
pub fn open(set: &Set, who: &Identity) -> Result<(Handle, PingSource), StartError> {
    let seat = set.seats.iter().any(|seat| seat == who.name);
    let name = || who.name.to_string();
    match (&set.store, seat) {
        (None, true) => return Err(StartError::NoStore { name: name() }),
        (Some(_), false) => return Err(StartError::NoSeat { name: name() }),
        _ => {}
    }
    let key_file = set.key_file.clone().unwrap_or_default();
    let keys = read_keys(&key_file).map_err(|cause| StartError::Keys { path: key_file.clone(), cause })?;
    let address = set.listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let said = |error: std::io::Error| StartError::Listen { address, cause: error.to_string() };
    let socket = UdpSocket::bind(address).map_err(said)?;
    socket.set_nonblocking(true).map_err(said)?;
    let terms = LeaseConfig {
        lease: set.lease,
        drift: set.drift * 10_000,
        renew_interval: set.attend_every,
        stall_timeout: set.stall_for,
        flap_window: set.flap_for,
        step_timeout: set.step_within,
        ..LeaseConfig::default()
    };
    terms.check()?;
    let thread_fault = |error: &dyn std::fmt::Display| StartError::Thread(error.to_string());
    let (agreed, woken) = make_ping().map_err(|error| thread_fault(&error))?;
    let (wake, woken_here) = make_ping().map_err(|error| thread_fault(&error))?;
    let (orders, taken) = calloop_sync(MAX_QUEUED_REQUESTS);
    let (told, facts) = <(Arc<ArcSwap<AgreedPlans>>, Arc<ArcSwap<Facts>>)>::default();
    let scouts = Arc::<ArcSwap<ProbingHolders>>::default();
    let (ended, over) = sync_channel(1);
    let opening = ThreadConfig {
        me: name(),
        zone: who.zone.into(),
        life: who.life,
        seed: who.seed,
        set: set.clone(),
        terms,
        keys,
        key_file,
        socket,
        told: told.clone(),
        scouts: scouts.clone(),
        facts: facts.clone(),
        agreed,
    };
    let run = move || member::run(opening, taken, woken_here, &ended);
    let named = std::thread::Builder::new().name("council".into());
    let thread = Some(named.spawn(run).map_err(|error| thread_fault(&error))?);
    let beat = set.attend_every / 2;
    Ok((
        Handle {
            agreed_plans: told,
            probing_holders: scouts,
            facts,
            commands: orders,
            wake,
            ended: over,
            thread,
            beat,
        },
        woken,
    ))
}

fn read_keys(path: &std::path::Path) -> Result<Keys, String> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    Ok(Keys::read(&text)?.for_use(KEY_CONTEXT))
}

impl Handle {
    /// The last agreed plans.
    pub fn agreed(&self) -> Arc<AgreedPlans> {
        self.agreed_plans.load_full()
    }

    /// The last holders of probing duties.
    pub fn probing_holders(&self) -> Arc<ProbingHolders> {
        self.probing_holders.load_full()
    }

    /// Updates the facts; wakes the thread if `at_once`.
    pub fn report(&self, facts: Facts, at_once: bool) {
        self.facts.store(Arc::new(facts));
        if at_once {
            self.wake.ping();
        }
    }

    /// Queues a command; false if the thread is gone or its queue is full.
    pub fn send(&self, order: ThreadCommand) -> bool {
        self.commands.try_send(order).is_ok()
    }

    /// Ends the thread. After [`Facts::shutting_down`] it may take up to `most` to hand over duties; a disk that does not
    /// respond does not delay the process.
    pub fn join(mut self, most: Duration) {
        let _ = self.ended.recv_timeout(most);
        drop(self.commands);
        let ended = self.ended.recv_timeout(THREAD_JOIN_TIMEOUT) == Err(RecvTimeoutError::Disconnected);
        if ended && let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

pub use tansyjunction_council::store::{create_cluster, recover_cluster};
