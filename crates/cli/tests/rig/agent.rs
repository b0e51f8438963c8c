//! Discovery agent on a gateway's machine: its list, and the ways in which it withholds or corrupts it.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tansyjunction_standin::Reply;
use tansyjunction_standin::scripted::{Gateway, Reaction, ScriptedServer, entry, read, wait_until};

/// Interval between signs of life on a watch.
const BEAT: Duration = Duration::from_secs(2);

/// How it corrupts its output.
#[derive(Clone, Copy, Debug)]
pub enum Spoils {
    /// Byte by byte, with this pause between them; answers that began so continue so.
    Drips(Duration),
    /// Half of a list, then a reset.
    Resets,
    /// A list without most servers and without a length, then a reset.
    ResetsAtTheEnd,
    /// Half of a list, then the end.
    Ends,
    /// Invalid data.
    Malformed,
    /// The same, only on a watch.
    MalformedWatch,
    /// A list without an end.
    Huge,
    /// Its list repeatedly, and empty lines, only on a watch.
    Floods,
}

#[derive(Default)]
struct State {
    version: u64,
    entries: Vec<String>,
    /// Connections up to this number never receive anything more.
    mute_below: usize,
    /// Number of further connections that stay silent.
    mute_next: usize,
    mute_all: bool,
    /// Connections up to this number are closed.
    ended_below: usize,
    /// Lists are written over many lines, in pieces with this pause between them.
    indented: bool,
    pause: Option<Duration>,
    /// Corruption from now on, also on an open watch.
    spoils: Option<Spoils>,
    /// Delay before each answer.
    late: Option<Duration>,
    /// Nothing listens.
    refuses: bool,
    /// Connections are left in the queue.
    stalls: bool,
    connections: usize,
    /// When a watch last wrote anything.
    wrote: Option<Instant>,
}

pub struct Agent {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    turned: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the state")
    }
}

impl Agent {
    pub fn start(entries: Vec<String>) -> Agent {
        Agent::start_at(([127, 0, 0, 1], 0).into(), entries)
    }

    pub fn start_at(address: SocketAddr, entries: Vec<String>) -> Agent {
        let listener = TcpListener::bind(address).expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Mutex::new(State { version: 41, entries, ..State::default() });
        let agent = Arc::new(Shared { state, ..Shared::default() });
        let shared = agent.clone();
        std::thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                let accepted = match &listener {
                    Some(listener) => listener.accept(),
                    None => TcpListener::bind(address).map(|bound| listener = Some(bound)).and_then(|()| {
                        // Waiting connections are accepted in the next round.
                        Err(std::io::ErrorKind::WouldBlock.into())
                    }),
                };
                let mut state = shared.lock();
                while state.stalls {
                    state = shared.turned.wait(state).expect("the state");
                }
                if state.refuses {
                    listener = None;
                    shared.turned.notify_all();
                    while state.refuses {
                        state = shared.turned.wait(state).expect("the state");
                    }
                    continue;
                }
                let Ok((stream, _)) = accepted else { continue };
                let number = state.connections;
                state.connections += 1;
                if state.mute_next > 0 {
                    state.mute_next -= 1;
                    state.mute_below = number + 1;
                }
                drop(state);
                let shared = shared.clone();
                std::thread::spawn(move || talk(&shared, number, stream));
            }
        });
        Agent { address, shared: agent }
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.shared.lock());
        self.shared.turned.notify_all();
    }

    /// Sets the list.
    pub fn has(&self, entries: Vec<String>) {
        self.change(|state| (state.version, state.entries) = (state.version + 2, entries));
    }

    /// Silences all connections for good, and this many of the next ones.
    pub fn falls_silent(&self, next: usize) {
        self.change(|state| (state.mute_below, state.mute_next) = (state.connections, next));
    }

    /// Accepts connections and stays silent until told otherwise; connections made meanwhile stay silent.
    pub fn says_nothing(&self, nothing: bool) {
        self.change(|state| (state.mute_all, state.mute_below) = (nothing, state.connections));
    }

    /// Closes all connections.
    pub fn ends_all(&self) {
        self.change(|state| state.ended_below = state.connections);
    }

    pub fn writes_indented(&self, pause: Option<Duration>) {
        self.change(|state| (state.indented, state.pause) = (true, pause));
    }

    /// Corrupts its output from now on, until told otherwise.
    pub fn spoils(&self, how: Option<Spoils>) {
        self.change(|state| state.spoils = how);
    }

    /// Closes all connections, and changes the list at the same moment.
    pub fn has_and_ends_all(&self, entries: Vec<String>) {
        self.change(|state| {
            (state.version, state.entries) = (state.version + 2, entries);
            state.ended_below = state.connections;
        });
    }

    /// Changes the list, and corrupts its output from the same moment.
    pub fn has_and_spoils(&self, entries: Vec<String>, how: Spoils) {
        self.change(|state| {
            (state.version, state.entries, state.spoils) = (state.version + 2, entries, Some(how));
        });
    }

    /// Restarts the numbering of lists from a lower number.
    pub fn numbers_anew(&self, entries: Vec<String>) {
        self.change(|state| (state.version, state.entries) = (3, entries));
    }

    /// Delays every answer.
    pub fn answers_late(&self, late: Duration) {
        self.change(|state| state.late = Some(late));
    }

    /// Stops listening and closes all connections until told otherwise.
    pub fn refuses(&self, refuses: bool) {
        self.change(|state| (state.refuses, state.ended_below) = (refuses, state.connections));
        if refuses {
            wait_until("no listener", || TcpStream::connect(self.address).is_err());
        } else {
            wait_until("the listener", || TcpStream::connect(self.address).is_ok());
        }
    }

    /// Fills the listen queue so that no further connection comes up, until told otherwise.
    pub fn stalls(&self) -> Vec<TcpStream> {
        self.change(|state| state.stalls = true);
        let connect = || TcpStream::connect_timeout(&self.address, Duration::from_millis(300)).ok();
        std::iter::from_fn(connect).collect()
    }

    pub fn goes_on(&self, queued: Vec<TcpStream>) {
        drop(queued);
        self.change(|state| state.stalls = false);
    }

    /// Waits for the next sign of life, after which a silence lasts longest.
    pub fn after_a_beat(&self) {
        let before = self.shared.lock().wrote;
        wait_until("a beat", || self.shared.lock().wrote > before);
    }

    pub fn connections(&self) -> usize {
        self.shared.lock().connections
    }
}

fn talk(shared: &Shared, number: usize, mut stream: TcpStream) -> Option<()> {
    let mut request = Vec::new();
    let mut byte = [0];
    // The last byte stays unread for now: closing over it resets the connection.
    while !request.ends_with(b"\r\n\r") {
        stream.read_exact(&mut byte).ok()?;
        request.push(byte[0]);
    }
    let request = String::from_utf8_lossy(&request).into_owned();
    let late = shared.lock().late;
    std::thread::sleep(late.unwrap_or_default());
    let mute = |state: &State| state.mute_all || number < state.mute_below;
    let since = request.split("since=").nth(1).and_then(|rest| rest.split(' ').next()?.parse::<u64>().ok());
    let Some(mut told) = since else {
        let state = shared.lock();
        if mute(&state) {
            drop(state);
            return silent(stream);
        }
        let (text, pause, spoils) = (list(&state), state.pause, state.spoils);
        let part = tansyjunction_standin::scripted::list(
            state.version,
            true,
            &state.entries[..state.entries.len().min(1)],
        );
        drop(state);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        if let Some(spoils) =
            spoils.filter(|spoils| !matches!(spoils, Spoils::MalformedWatch | Spoils::Floods))
        {
            return spoil(shared, stream, spoils, &head, &text, &part);
        }
        stream.read_exact(&mut byte).ok()?;
        pieces(&mut stream, head.as_bytes(), pause)?;
        return pieces(&mut stream, text.as_bytes(), pause);
    };
    let mut beat = Instant::now();
    let mut head = false;
    loop {
        let mut state = shared.lock();
        if mute(&state) {
            drop(state);
            return silent(stream);
        }
        if number < state.ended_below {
            stream.read_exact(&mut byte).ok()?;
            return None;
        }
        if !head {
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
            head = true;
        }
        if let Some(spoils) = state.spoils {
            let text = list(&state) + "\n";
            drop(state);
            // A single chunk longer than all output.
            return spoil(shared, stream, spoils, "3fffff\r\n", &text, &text);
        }
        let news = (state.version != told).then(|| list(&state) + "\n");
        told = state.version;
        let due = beat.elapsed() >= BEAT;
        if news.is_some() || due {
            beat = Instant::now();
        }
        let pause = state.pause;
        match news {
            Some(text) => {
                drop(state);
                let (first, second) = text.split_at(text.len() / 2);
                for part in [first, second] {
                    pieces(&mut stream, format!("{:x}\r\n{part}\r\n", part.len()).as_bytes(), pause)?;
                }
            }
            None if due => {
                stream.write_all(b"1\r\n\n\r\n").ok()?;
                state.wrote = Some(Instant::now());
            }
            None => drop(shared.turned.wait_timeout(state, BEAT.saturating_sub(beat.elapsed())).ok()?),
        }
    }
}

/// Writes a list, or begins to, and ends it as corrupted. Only a client that uses data cut off by a reset learns of
/// `part`.
fn spoil(
    shared: &Shared,
    mut stream: TcpStream,
    spoils: Spoils,
    head: &str,
    text: &str,
    part: &str,
) -> Option<()> {
    let half = [head, &text[..text.len() / 2]].concat();
    match spoils {
        Spoils::Drips(pause) => {
            for byte in [head, text].concat().bytes() {
                stream.write_all(&[byte]).ok()?;
                std::thread::sleep(pause);
            }
            return silent(stream);
        }
        Spoils::Resets => stream.write_all(half.as_bytes()).ok()?,
        Spoils::ResetsAtTheEnd => {
            let head = if head.starts_with("HTTP") { "HTTP/1.1 200 OK\r\n\r\n" } else { head };
            stream.write_all([head, &part[..part.len() - 1]].concat().as_bytes()).ok()?;
            if head.starts_with("HTTP") {
                stream.write_all(b"}").ok()?;
            }
        }
        Spoils::Ends => {
            stream.read_exact(&mut [0]).ok()?;
            stream.write_all(half.as_bytes()).ok()?;
        }
        Spoils::Malformed | Spoils::MalformedWatch => {
            let broken = text.replace("]}", "}]");
            stream.write_all([head, &broken].concat().as_bytes()).ok()?;
            return silent(stream);
        }
        Spoils::Huge => {
            let begin = if head.starts_with("HTTP") { "HTTP/1.1 200 OK\r\n\r\n" } else { head };
            stream.write_all([begin, "{\"seq\":41,\"more\":[0"].concat().as_bytes()).ok()?;
            let more = ",0".repeat(30_000);
            loop {
                stream.write_all(more.as_bytes()).ok()?;
            }
        }
        Spoils::Floods => loop {
            let state = shared.lock();
            state.spoils?;
            let text = format!("{}{}", list(&state), "\n".repeat(4_000)).repeat(20);
            drop(state);
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).ok()?;
        },
    }
    // Pending data has to be read before the reset.
    std::thread::sleep(Duration::from_millis(50));
    None
}

fn pieces(stream: &mut TcpStream, bytes: &[u8], pause: Option<Duration>) -> Option<()> {
    let Some(pause) = pause else { return stream.write_all(bytes).ok() };
    for part in bytes.chunks(bytes.len().div_ceil(3)) {
        stream.write_all(part).ok()?;
        std::thread::sleep(pause);
    }
    Some(())
}

/// Keeps a connection open silently until the other side closes it.
fn silent(mut stream: TcpStream) -> Option<()> {
    while matches!(stream.read(&mut [0]), Ok(1)) {}
    None
}

fn list(state: &State) -> String {
    let text = tansyjunction_standin::scripted::list(state.version, true, &state.entries);
    match state.indented {
        true => {
            let json: serde_json::Value = serde_json::from_str(&text).expect("JSON");
            serde_json::to_string_pretty(&json).expect("JSON")
        }
        false => text,
    }
}

/// A primary, and a replica that the list later calls draining: reads that reach it then show an unknown change.
pub struct Rig {
    pub primary: ScriptedServer,
    pub replica: ScriptedServer,
}

impl Rig {
    pub fn new() -> Rig {
        let value = || vec![Reaction::Answers(b"\x9f\0\x03".to_vec())];
        Rig { primary: ScriptedServer::start(true, value()), replica: ScriptedServer::start(false, value()) }
    }

    pub fn entries(&self, replica: &str) -> Vec<String> {
        vec![entry("s1", self.primary.address, "up", true), entry("s2", self.replica.address, replica, false)]
    }

    pub fn agent(&self) -> Agent {
        Agent::start(self.entries("up"))
    }

    /// Sends reads for this long, each answered; returns how many reached the replica.
    pub fn reads_for(&self, gateway: &Gateway, time: Duration) -> usize {
        let (mut client, began, before) = (gateway.client(), Instant::now(), self.replica.asked().len());
        for id in 1.. {
            let reply = client.ask(&read(id));
            assert!(matches!(reply, Reply::Value(_)), "{reply:?} after {:?}", began.elapsed());
            if began.elapsed() > time {
                break;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.replica.asked().len() - before
    }

    /// Sends reads until a second after the deadline; returns when the last one reached the replica.
    pub fn last_read_at_the_replica(&self, gateway: &Gateway, since: Instant, bound: Duration) -> Duration {
        let mut client = gateway.client();
        let mut last = Duration::ZERO;
        for id in 10_000.. {
            if since.elapsed() > bound + Duration::from_secs(1) {
                break;
            }
            let (before, asked) = (self.replica.asked().len(), since.elapsed());
            assert!(matches!(client.ask(&read(id)), Reply::Value(_)));
            if self.replica.asked().len() > before {
                last = asked;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        last
    }
}
