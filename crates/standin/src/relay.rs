//! A relay in front of a server, in place of a network: each piece that the server sends takes a time of its own.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;

const CHUNK_BYTES: usize = 16_384;

/// Starts a relay and returns its address. What the server sends is delivered in order, each piece after a time from
/// `delay` in microseconds; what it is sent arrives at once.
pub fn relay(server: SocketAddr, delay: Range<u64>, seed: u64) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for (place, client) in listener.incoming().flatten().enumerate() {
            // Without its server, the connection ends here.
            let _ = connect(client, server, delay.clone(), Rng::with_seed(seed + place as u64));
        }
    });
    Ok(address)
}

fn connect(client: TcpStream, server: SocketAddr, delay: Range<u64>, rng: Rng) -> std::io::Result<()> {
    let server = TcpStream::connect(server)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (mut from, mut to) = (client.try_clone()?, server.try_clone()?);
    thread::spawn(move || {
        let _ = std::io::copy(&mut from, &mut to);
        let _ = to.shutdown(Shutdown::Write);
    });
    deliver_late(server, client, delay, rng);
    Ok(())
}

fn deliver_late(mut from: TcpStream, mut to: TcpStream, delay: Range<u64>, mut rng: Rng) {
    let (sender, pieces) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut bytes = [0; CHUNK_BYTES];
        while let Ok(count @ 1..) = from.read(&mut bytes) {
            let at = Instant::now() + Duration::from_micros(rng.u64(delay.clone()));
            if sender.send((at, bytes[..count].to_vec())).is_err() {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (at, piece) in pieces {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if to.write_all(&piece).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}
