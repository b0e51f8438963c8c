//! Links between gateways: one UDP socket per pair forwards datagrams, with partitions, loss, duplicates and delays per
//! direction.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use fastrand::Rng;
use polling::{Event, Events, Poller};

/// State of a link in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    pub cut: bool,
    pub lost: f64,
    pub doubled: f64,
    pub delay: Duration,
}

struct Shared {
    /// By sender, then receiver.
    ways: Mutex<Vec<Vec<LinkState>>>,
    over: AtomicBool,
    passed: AtomicU64,
    dropped: AtomicU64,
}

/// All links between the gateways.
pub struct Links {
    shared: Arc<Shared>,
    addresses: Vec<Vec<SocketAddr>>,
    thread: Option<JoinHandle<()>>,
}

impl Links {
    /// `real`: the datagram addresses of the gateways.
    pub fn start(real: Vec<SocketAddr>, seed: u64) -> std::io::Result<Links> {
        let count = real.len();
        let mut sockets = Vec::new();
        let mut addresses = vec![Vec::new(); count];
        let poller = Poller::new()?;
        for from in &mut addresses {
            for _ in 0..count {
                let socket = UdpSocket::bind("127.0.0.1:0")?;
                socket.set_nonblocking(true)?;
                from.push(socket.local_addr()?);
                // SAFETY: the sockets live in the thread below for as long as the poller.
                unsafe { poller.add(&socket, Event::readable(sockets.len()))? };
                sockets.push(socket);
            }
        }
        let shared = Shared {
            ways: Mutex::new(vec![vec![LinkState::default(); count]; count]),
            over: AtomicBool::new(false),
            passed: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        };
        let shared = Arc::new(shared);
        let thread = Some(std::thread::spawn({
            let shared = shared.clone();
            move || forward(&shared, &poller, &sockets, &real, Rng::with_seed(seed))
        }));
        Ok(Links { shared, addresses, thread })
    }

    /// Address to which `from` sends datagrams for `to`.
    pub fn address(&self, from: usize, to: usize) -> SocketAddr {
        self.addresses[from][to]
    }

    /// Sets the state of all links.
    pub fn set(&self, way: impl Fn(usize, usize) -> LinkState) {
        let Ok(mut ways) = self.shared.ways.lock() else { return };
        for (from, row) in ways.iter_mut().enumerate() {
            for (to, one) in row.iter_mut().enumerate() {
                *one = way(from, to);
            }
        }
    }

    /// Numbers of forwarded and of dropped datagrams.
    pub fn counts(&self) -> (u64, u64) {
        (self.shared.passed.load(Ordering::Relaxed), self.shared.dropped.load(Ordering::Relaxed))
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A datagram in transit: arrival time, sequence, reverse link, content.
type Waiting = (Instant, u64, usize, Vec<u8>);

fn forward(shared: &Shared, poller: &Poller, sockets: &[UdpSocket], real: &[SocketAddr], mut rng: Rng) {
    let count = real.len();
    let mut events = Events::new();
    let mut waiting: BinaryHeap<Reverse<Waiting>> = BinaryHeap::new();
    let (mut number, mut bytes) = (0, vec![0; 65_536]);
    while !shared.over.load(Ordering::SeqCst) {
        let now = Instant::now();
        while let Some(Reverse((at, ..))) = waiting.peek()
            && *at <= now
            && let Some(Reverse((_, _, way, bytes))) = waiting.pop()
        {
            // Datagrams to a receiver that is down are lost.
            let _ = sockets[way].send_to(&bytes, real[way / count]);
        }
        let next =
            waiting.peek().map_or(Duration::MAX, |Reverse((at, ..))| at.saturating_duration_since(now));
        events.clear();
        if poller.wait(&mut events, Some(next.min(Duration::from_millis(20)))).is_err() {
            return;
        }
        for event in events.iter() {
            let (from, to) = (event.key / count, event.key % count);
            while let Ok((length, _)) = sockets[event.key].recv_from(&mut bytes) {
                let way = shared.ways.lock().map_or(LinkState::default(), |ways| ways[from][to]);
                if way.cut || rng.f64() < way.lost {
                    shared.dropped.fetch_add(1, Ordering::Relaxed);
                    continue;
                }
                shared.passed.fetch_add(1, Ordering::Relaxed);
                let copies = if rng.f64() < way.doubled { 2 } else { 1 };
                for _ in 0..copies {
                    number += 1;
                    let at = Instant::now() + way.delay.mul_f64(rng.f64());
                    // Sent from the reverse link's socket, so that replies to the source address use that link.
                    waiting.push(Reverse((at, number, to * count + from, bytes[..length].to_vec())));
                }
            }
            let _ = poller.modify(&sockets[event.key], Event::readable(event.key));
        }
    }
}
