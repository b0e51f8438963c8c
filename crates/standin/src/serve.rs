//! Servers on sockets: a listener thread per server and a thread per connection.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::frames::{error, message, named, read, read_statement, row, status};
use crate::store::{Liveness, Shared, WriteResult, unix_millis};
use crate::switches::SwitchResult;

/// Factor by which a cold server is slower.
const COLD: f64 = 4.0;

/// Listens for a server; its address stays the same while it is down.
pub(crate) fn listen(shared: Arc<Shared>, server: usize) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut state = shared.lock();
            if state.over {
                return;
            }
            let _ = stream.set_nodelay(true);
            let found = &mut state.servers[server];
            found.in_vain += u64::from(found.being != Liveness::Up);
            if found.being == Liveness::Down {
                // Closest to a refusal without giving up the port: a reset before any answer.
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                continue;
            }
            if let Ok(copy) = stream.try_clone() {
                found.connections.push(copy);
            }
            let life = found.process;
            drop(state);
            let shared = shared.clone();
            std::thread::spawn(move || talk(&shared, server, life, stream));
        }
    });
    Ok(address)
}

/// Serves a connection until it ends.
fn talk(shared: &Shared, server: usize, life: u64, mut stream: TcpStream) -> Option<()> {
    read(&mut stream, false).ok()?;
    let ready = message(b'Z', b"I");
    let alive = || {
        let state = shared.lock();
        let found = &state.servers[server];
        (found.process == life).then_some(found.being)
    };
    if alive()? == Liveness::Hung {
        return silent(shared, server, life);
    }
    stream.write_all(&[message(b'R', &[0; 4]), ready.clone()].concat()).ok()?;
    loop {
        let (_, body) = read_statement(&mut stream).ok()?;
        if alive()? == Liveness::Hung {
            return silent(shared, server, life);
        }
        let statement = String::from_utf8_lossy(&body).into_owned();
        let said = if statement.starts_with("SHOW health") {
            let (position, leads) = stands(shared, server);
            row(format!("x0={:.3},x1={}", position as f64 / 1e3, u8::from(leads)).as_bytes())
        } else if statement.starts_with("SELECT 1") {
            row(b"1")
        } else if statement.starts_with("INSERT") {
            match insert(shared, server, life, &statement)? {
                WriteResult::Done(commit) => {
                    let bytes = [row(b"\x01"), status("lsn_ms", &commit.to_string())].concat();
                    [bytes, status("recovery", "off")].concat()
                }
                WriteResult::Miss => {
                    [error("25006", "this is no primary"), status("recovery", "on")].concat()
                }
                WriteResult::Broken => return None,
                WriteResult::Silent => return silent(shared, server, life),
            }
        } else if statement.starts_with("SELECT switch") {
            match shared.ordered(&statement) {
                Some(SwitchResult::Done | SwitchResult::Again) => row(b"done"),
                Some(SwitchResult::Fenced) => error("55000", "a higher epoch was seen"),
                Some(SwitchResult::Unfit | SwitchResult::Open) => {
                    error("22023", "the shard has no such server that runs")
                }
                None => error("42601", "shard, to and epoch are needed"),
            }
        } else {
            std::thread::sleep(shared.shape.work / 2);
            let (position, leads) = stands(shared, server);
            let role = status("recovery", if leads { "off" } else { "on" });
            let bound = shared.shape.bound.as_millis() as u64;
            let answer = match position + bound < unix_millis() {
                true => error("72000", "too far behind"),
                false => row(b"\x02"),
            };
            [answer, status("lsn_ms", &position.to_string()), role].concat()
        };
        let slow = shared.lock().slow;
        std::thread::sleep(slow);
        alive()?;
        stream.write_all(&[said, ready.clone()].concat()).ok()?;
    }
}

/// Keeps a connection open without answering until the server's process ends.
fn silent(shared: &Shared, server: usize, life: u64) -> Option<()> {
    loop {
        std::thread::sleep(Duration::from_millis(50));
        let state = shared.lock();
        if state.over || state.servers[server].process != life {
            return None;
        }
    }
}

/// Position (Unix time in ms) and role as the server itself sees them.
fn stands(shared: &Shared, server: usize) -> (u64, bool) {
    let state = shared.lock();
    let found = &state.servers[server];
    let position = match (found.replaced, found.leads) {
        (true, _) => found.stuck,
        (false, true) => unix_millis(),
        (false, false) => unix_millis().saturating_sub(found.lag.as_millis() as u64),
    };
    (position, found.leads)
}

fn insert(shared: &Shared, server: usize, life: u64, statement: &str) -> Option<WriteResult> {
    let (id, key) = (named(statement, "id")?, named(statement, "k")?);
    let work = {
        let mut state = shared.lock();
        let part = 0.5 + state.rng.f64();
        let found = &mut state.servers[server];
        if found.process != life {
            return None;
        }
        if !found.leads || found.rejecting_writes {
            return Some(WriteResult::Miss);
        }
        found.busy += 1;
        let cold = found.cold_until.is_some_and(|until| std::time::Instant::now() < until);
        shared.shape.work.mul_f64(if cold { part * COLD } else { part })
    };
    std::thread::sleep(work);
    let mut state = shared.lock();
    let written = state.commit(shared, server, life, id, key);
    shared.turned.notify_all();
    Some(written)
}
