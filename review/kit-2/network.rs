//! A network path to a server: forwards what comes, in order, each piece after a time of its own.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::world::*;

/// The address of a path to `to`, on which a piece takes a time from `way` (µs) in each direction.
pub fn network(to: SocketAddr, way: (u64, u64), seed: u64) -> SocketAddr {
    let listener = listener();
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for (place, near) in listener.incoming().flatten().enumerate() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            for stream in [&near, &far] {
                let _ = stream.set_nodelay(true);
            }
            let (Ok(near_2), Ok(far_2)) = (near.try_clone(), far.try_clone()) else { continue };
            let seed = seed * 1_000_000 + 2 * place as u64;
            path(near, far_2, way, seed);
            path(far, near_2, way, seed + 1);
        }
    });
    address
}

/// One direction: a thread reads, another writes when the time of a piece has come.
fn path(mut from: TcpStream, mut to: TcpStream, way: (u64, u64), seed: u64) {
    let pieces = Arc::new((Mutex::new(VecDeque::<(Instant, Vec<u8>)>::new()), Condvar::new()));
    let queue = pieces.clone();
    thread::spawn(move || {
        let mut chance = Chance::new(seed);
        let mut buffer = vec![0; 65_536];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            let way = Duration::from_micros(way.0 + chance.below(way.1 - way.0));
            lock(&queue.0).push_back((Instant::now() + way, buffer[..count].to_vec()));
            queue.1.notify_one();
            if count == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        loop {
            let mut queue = lock(&pieces.0);
            let (at, piece) = loop {
                if let Some(next) = queue.pop_front() {
                    break next;
                }
                queue = pieces.1.wait(queue).unwrap_or_else(|poisoned| poisoned.into_inner());
            };
            drop(queue);
            let left = at.saturating_duration_since(Instant::now());
            if !left.is_zero() {
                thread::sleep(left);
            }
            if piece.is_empty() || to.write_all(&piece).is_err() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    });
}
