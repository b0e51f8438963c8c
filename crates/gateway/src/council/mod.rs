//! The agreed part of a gateway on a thread of its own: the council's member, its store and its socket, the clocks of
//! leases, and the conductor's effect. Nothing is decided here.
//!
//! The thread that serves commands never waits for this one: it reads what was agreed from a snapshot ([`Told`]) when
//! it is woken, and puts what it knows into another ([`Facts`]). Operators' words pass through a bounded queue.

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
use tansyjunction_settings::Council as Set;

pub use self::fault::{Start, Unable};
use self::member::Opening;
pub use self::words::unable;

/// Words of operators that may wait at once.
const WORDS_MOST: usize = 16;
/// How long the thread may take to end once it is told to.
const ENDS_WITHIN: Duration = Duration::from_millis(500);
/// Keys for the council's datagrams come from those of the file by this: what is sealed for the fellows opens for no
/// seat.
const USE: &str = "tansyjunction council datagrams 1";

/// What was agreed, as far as commands mind it.
#[derive(Clone, Debug, Default)]
pub struct Told {
    /// Index of the last change of a document in it.
    pub newest: u64,
    /// Each shard's change of primary, under way or the last one.
    pub plans: BTreeMap<u32, Plan>,
}

/// A member of a shard with a change of primary under way.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    pub address: SocketAddr,
    pub leaving: bool,
}

/// What this gateway knows of a shard with a change of primary under way.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Planned {
    pub word: Option<ShardReport>,
    /// None: no list of servers has come yet.
    pub servers: Option<BTreeMap<String, Server>>,
}

/// What the thread that serves commands tells of this gateway.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// When it was told, by the clock of leases.
    pub at: Micros,
    /// [`Told::newest`] of what it acts by.
    pub taken: u64,
    /// 0 is well, 8 the worst.
    pub health: u8,
    /// Tenths of its room.
    pub room: u8,
    /// SIGTERM has come: duties are handed on, then the gateway leaves.
    pub leaves: bool,
    /// Gateways that the fellows take for lost.
    pub suspected: Vec<String>,
    pub planned: BTreeMap<u32, Planned>,
    /// By the name of each group that may have a scout.
    pub scouted: BTreeMap<String, Scouted>,
}

/// What this gateway did of a group's probes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Scouted {
    /// Probes that ended, and those that the scout's word stood in for.
    pub probes: u64,
    pub spared: u64,
    /// Some are out.
    pub waits: bool,
}

/// Who scouts which group, as agreed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scouts {
    /// What is agreed may be newer from then on, since this gateway's attendance has run out; by the clock of leases.
    pub until: Micros,
    /// Holders by groups' names.
    pub of: BTreeMap<String, String>,
}

/// An operator's word, and where the answer goes.
pub struct Asked {
    pub word: Json,
    pub stream: UnixStream,
    /// Of a change of primary, what the gateway knows: the shard's number and its primary.
    pub shard: Option<(u32, String)>,
}

pub enum Order {
    Answer(Asked),
    /// The key file is to be read again.
    Rekey,
}

/// The other thread, as the one that serves commands has it.
pub struct Handle {
    told: Arc<ArcSwap<Told>>,
    scouts: Arc<ArcSwap<Scouts>>,
    facts: Arc<ArcSwap<Facts>>,
    orders: SyncSender<Order>,
    /// Wakes the other thread; it reads the facts.
    wake: Ping,
    over: Receiver<()>,
    thread: Option<JoinHandle<()>>,
    pub beat: Micros,
}

/// Who opens, for the messages.
pub struct Who<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    /// Larger than that of any earlier process under this name: Unix time in milliseconds.
    pub life: u64,
    pub seed: u64,
}

/// Starts the thread. The second value wakes the thread that serves commands when something was agreed.
///
/// # Errors
///
/// What is wrong with the settings, the store, the socket or the keys.
pub fn open(set: &Set, who: &Who) -> Result<(Handle, PingSource), Start> {
    let seat = set.seats.iter().any(|seat| seat == who.name);
    let name = || who.name.to_string();
    match (&set.store, seat) {
        (None, true) => return Err(Start::NoStore { name: name() }),
        (Some(_), false) => return Err(Start::NoSeat { name: name() }),
        _ => {}
    }
    let key_file = set.key_file.clone().unwrap_or_default();
    let keys = read_keys(&key_file).map_err(|cause| Start::Keys { path: key_file.clone(), cause })?;
    let address = set.listen.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let said = |error: std::io::Error| Start::Listen { address, cause: error.to_string() };
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
    let thread_fault = |error: &dyn std::fmt::Display| Start::Thread(error.to_string());
    let (agreed, woken) = make_ping().map_err(|error| thread_fault(&error))?;
    let (wake, woken_here) = make_ping().map_err(|error| thread_fault(&error))?;
    let (orders, taken) = calloop_sync(WORDS_MOST);
    let (told, facts) = <(Arc<ArcSwap<Told>>, Arc<ArcSwap<Facts>>)>::default();
    let scouts = Arc::<ArcSwap<Scouts>>::default();
    let (ended, over) = sync_channel(1);
    let opening = Opening {
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
    Ok((Handle { told, scouts, facts, orders, wake, over, thread, beat }, woken))
}

fn read_keys(path: &std::path::Path) -> Result<Keys, String> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    Ok(Keys::read(&text)?.for_use(USE))
}

impl Handle {
    pub fn told(&self) -> Arc<Told> {
        self.told.load_full()
    }

    pub fn scouts(&self) -> Arc<Scouts> {
        self.scouts.load_full()
    }

    pub fn tell(&self, facts: Facts, at_once: bool) {
        self.facts.store(Arc::new(facts));
        if at_once {
            self.wake.ping();
        }
    }

    /// False: the other thread is gone, or has more orders than it takes.
    pub fn order(&self, order: Order) -> bool {
        self.orders.try_send(order).is_ok()
    }

    /// Ends the thread: after [`Facts::leaves`] it has so long to hand on duties. A disk that does not answer keeps
    /// nobody.
    pub fn join(mut self, most: Duration) {
        let _ = self.over.recv_timeout(most);
        drop(self.orders);
        let ended = self.over.recv_timeout(ENDS_WITHIN) == Err(RecvTimeoutError::Disconnected);
        if ended && let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

pub use tansyjunction_council::store::{create_cluster, recover_cluster};
