//! Servers that send more than an answer: what follows behind ReadyForQuery must not be read as the next answer.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fastrand::Rng;
use tansyjunction_standin::scripted::*;
use tansyjunction_standin::{Reply, message, named, relay, row};

const PROGRAM: &str = env!("CARGO_BIN_EXE_tansyjunction");
const SEED: u64 = 6;
/// Time from an answer to its second copy at the server.
const COPY_AFTER: Duration = Duration::from_micros(200);
/// One way from a server to the gateway, in microseconds.
const ONE_WAY: std::ops::Range<u64> = 1_000..4_000;
/// Commands that the client sends at once, and how often it does.
const AT_ONCE: u32 = 4;
const ROUNDS: u32 = 80;

/// How often each write ran.
type Runs = Arc<Mutex<BTreeMap<String, usize>>>;

/// A server that answers with the id of the command, refuses one command in four without running it, and sends a
/// second copy of one answer in three, also to probes.
fn copying_server(primary: bool, seed: u64, runs: &Runs) -> GatedServer {
    let (rng, runs) = (Mutex::new(Rng::with_seed(seed)), runs.clone());
    GatedServer::start(usize::MAX, move |met| {
        let place = met.whole()?;
        let statement = met.statement(place);
        let probe = statement.starts_with("SHOW health");
        let (refuses, copies) = {
            let mut rng = rng.lock().expect("the generator");
            (rng.u8(..4) == 0, rng.u8(..3) == 0)
        };
        let said = if probe {
            row(b"x0=0")
        } else if refuses {
            message(b'E', b"SERROR\0C53300\0Mno\0\0")
        } else {
            let id = named(&statement, "id").unwrap_or_default();
            if statement.starts_with("INSERT") {
                *runs.lock().expect("the runs").entry(id.to_string()).or_default() += 1;
            }
            row(id.as_bytes())
        };
        let recovery: &[u8] = if primary { b"recovery\0off\0" } else { b"recovery\0on\0" };
        let answer = [said, message(b'S', recovery), message(b'Z', b"I")].concat();
        met.stream.write_all(&answer)?;
        if copies {
            std::thread::sleep(COPY_AFTER);
            if !something_waits(met.stream)? {
                met.stream.write_all(&answer)?;
            }
        }
        Ok(true)
    })
}

fn something_waits(stream: &TcpStream) -> std::io::Result<bool> {
    stream.set_nonblocking(true)?;
    let waits = stream.peek(&mut [0]).is_ok();
    stream.set_nonblocking(false)?;
    Ok(waits)
}

/// Guards against a command that is served the second copy of another command's answer, and against a write that runs
/// twice since the copy of a refusal was taken for its own (incident 21).
#[test]
fn a_second_copy_behind_an_answer_is_never_read_as_the_next_one() {
    let runs = Runs::default();
    let primary = copying_server(true, SEED, &runs);
    let replica = copying_server(false, SEED + 1, &runs);
    let far = |server: &GatedServer, seed| relay(server.address, ONE_WAY, seed).expect("a relay");
    let entries =
        [entry("s1", far(&primary, SEED), "up", true), entry("s2", far(&replica, SEED + 1_000), "up", false)];
    let (discovery, _changes) = discovery(list(1, true, &entries));
    let gateway = Gateway::with_sockets(PROGRAM, discovery, 256);
    let mut client = gateway.client();
    let (mut served, mut rng) = (0, Rng::with_seed(SEED));
    for round in 0..ROUNDS {
        let ids: Vec<u32> = (0..AT_ONCE).map(|place| 1 + round * AT_ONCE + place).collect();
        for id in &ids {
            client.send(&if rng.bool() { read(*id) } else { write(*id) });
        }
        for id in ids {
            match client.reply() {
                Reply::Value(value) => {
                    assert_eq!(String::from_utf8_lossy(&value), id.to_string(), "the value of command {id}");
                    served += 1;
                }
                other => assert!(other.throttled(), "command {id}: {other:?}"),
            }
        }
    }
    let runs = runs.lock().expect("the runs");
    let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "writes that ran more than once: {twice:?}");
    assert!(served > ROUNDS * AT_ONCE / 2, "{served} commands were served");
}
