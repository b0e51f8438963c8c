//! Servers that follow a script, and a gateway between them and its clients, for tests of single failures. Errors
//! panic, since the test cannot continue.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, SockRef, Socket, Type};

use crate::client::{Client, Reply};
use crate::frames::{self, message, row};

/// Timeout of every wait in a test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Ports of programs under test: below those that systems give out by default (32,768 on).
const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u32 = 20_000;

/// Waits until the condition holds.
pub fn wait_until(what: &str, mut so: impl FnMut() -> bool) {
    let began = Instant::now();
    while !so() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "waited too long for {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// An address for a program under test. No other test of this process gets its host, nor another process its port,
/// which is below those that the system gives out. A port that was found to be free by binding it would not do: a process
/// that another thread starts meanwhile may hold it for a moment longer.
pub fn unused_address() -> SocketAddr {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let host = [127, 0, 1 + (number / 200) as u8, 1 + (number % 200) as u8];
    SocketAddr::from((host, FIRST_PORT + (std::process::id() % PORT_COUNT) as u16))
}

/// Reaction of a server to a statement.
#[derive(Clone)]
pub enum Reaction {
    Answers(Vec<u8>),
    Errs(&'static str),
    /// Closes the connection without an answer.
    Breaks,
    /// Answers after a delay.
    AnswersLate(Vec<u8>, Duration),
    Says(Vec<u8>),
    /// Answers, then closes the connection; every other new connection is closed before its startup.
    AnswersOnce(Vec<u8>),
}

/// A server that follows a script and then repeats its last step; records the statements.
pub struct ScriptedServer {
    pub address: SocketAddr,
    asked: Arc<Mutex<Vec<String>>>,
    probes: Arc<AtomicUsize>,
}

impl ScriptedServer {
    /// Starts the server.
    pub fn start(primary: bool, script: Vec<Reaction>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let asked = Arc::new(Mutex::new(Vec::new()));
        let probes = Arc::new(AtomicUsize::new(0));
        let (noted, counted) = (asked.clone(), probes.clone());
        thread::spawn(move || {
            for (place, stream) in listener.incoming().flatten().enumerate() {
                if place % 2 == 1 && matches!(script[..], [Reaction::AnswersOnce(_)]) {
                    continue;
                }
                let (noted, counted, script) = (noted.clone(), counted.clone(), script.clone());
                thread::spawn(move || ScriptedServer::talk(stream, primary, &script, &noted, &counted));
            }
        });
        ScriptedServer { address, asked, probes }
    }

    fn talk(
        mut stream: TcpStream,
        primary: bool,
        script: &[Reaction],
        asked: &Mutex<Vec<String>>,
        probes: &AtomicUsize,
    ) -> Option<()> {
        frames::read(&mut stream, false).ok()?;
        let ready = message(b'Z', b"I");
        stream.write_all(&[message(b'R', &[0; 4]), ready.clone()].concat()).ok()?;
        loop {
            let (_, body) = frames::read_statement(&mut stream).ok()?;
            let status = if primary { &b"recovery\0off\0"[..] } else { b"recovery\0on\0" };
            if body == b"SHOW health\0" {
                probes.fetch_add(1, Ordering::SeqCst);
                stream.write_all(&[row(b"x0=0"), ready.clone()].concat()).ok()?;
                continue;
            }
            let place = {
                let mut asked = asked.lock().expect("the notes");
                asked.push(String::from_utf8_lossy(&body).into());
                asked.len() - 1
            };
            let said = match script.get(place).or(script.last())? {
                Reaction::Answers(value) => row(value),
                Reaction::AnswersLate(value, after) => {
                    thread::sleep(*after);
                    row(value)
                }
                Reaction::Errs(code) => message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes()),
                Reaction::Breaks => return None,
                Reaction::Says(bytes) => bytes.clone(),
                Reaction::AnswersOnce(value) => {
                    let _ = stream.write_all(&[row(value), message(b'S', status), ready].concat());
                    return None;
                }
            };
            stream.write_all(&[said, message(b'S', status), ready.clone()].concat()).ok()?;
        }
    }

    /// Number of probes so far.
    pub fn probes(&self) -> usize {
        self.probes.load(Ordering::SeqCst)
    }

    /// Statements so far.
    pub fn asked(&self) -> Vec<String> {
        self.asked.lock().expect("the notes").clone()
    }
}

/// A statement that arrives at a gated server; its first byte was read.
pub struct Arriving<'a> {
    pub stream: &'a mut TcpStream,
    notes: &'a Mutex<ServerRecord>,
}

impl Arriving<'_> {
    /// Reads the rest of the statement and records it; returns the number of earlier ones.
    pub fn whole(&mut self) -> std::io::Result<usize> {
        let (_, body) = frames::read(self.stream, true)?;
        let mut notes = self.notes.lock().expect("the notes");
        notes.asked.push(String::from_utf8_lossy(&body).into());
        Ok(notes.asked.len() - 1)
    }

    /// The statement that arrived as this one.
    pub fn statement(&self, place: usize) -> String {
        self.notes.lock().expect("the notes").asked[place].clone()
    }

    /// Answers as an up-to-date primary or replica.
    pub fn answer(&mut self, primary: bool, value: &[u8]) -> std::io::Result<()> {
        let recovery = if primary { "off" } else { "on" };
        let now = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default().as_millis();
        let stated = [frames::status("recovery", recovery), frames::status("lsn_ms", &now.to_string())];
        self.stream.write_all(&[row(value), stated.concat(), message(b'Z', b"I")].concat())
    }
}

/// Reaction of a gated server to a statement; false: it closes the connection.
type Meets = dyn Fn(&mut Arriving) -> std::io::Result<bool> + Send + Sync;

#[derive(Default)]
struct ServerRecord {
    pass: usize,
    came: usize,
    ended: usize,
    asked: Vec<String>,
}

/// A gated server: accepts connections, but answers the startup only of those let through.
pub struct GatedServer {
    pub address: SocketAddr,
    notes: Arc<Mutex<ServerRecord>>,
}

impl GatedServer {
    /// Starts the server with a reaction to each statement.
    pub fn start(
        pass: usize,
        meets: impl Fn(&mut Arriving) -> std::io::Result<bool> + Send + Sync + 'static,
    ) -> Self {
        GatedServer::on(TcpListener::bind("127.0.0.1:0").expect("a port"), pass, meets)
    }

    /// The same with small buffers, so that most of a statement waits at its sender.
    pub fn narrow(meets: impl Fn(&mut Arriving) -> std::io::Result<bool> + Send + Sync + 'static) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        // The sender's buffer grows with the segment size.
        socket.set_tcp_mss(536).expect("a small segment");
        socket.set_recv_buffer_size(4_096).expect("a small room");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        socket.listen(64).expect("a port");
        GatedServer::on(socket.into(), usize::MAX, meets)
    }

    fn on(
        listener: TcpListener,
        pass: usize,
        meets: impl Fn(&mut Arriving) -> std::io::Result<bool> + Send + Sync + 'static,
    ) -> Self {
        let address = listener.local_addr().expect("an address");
        let notes = Arc::new(Mutex::new(ServerRecord { pass, ..ServerRecord::default() }));
        let (noted, meets): (_, Arc<Meets>) = (notes.clone(), Arc::new(meets));
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (noted, meets) = (noted.clone(), meets.clone());
                thread::spawn(move || {
                    let _ = GatedServer::talk(&mut stream, &noted, &*meets);
                    drop(stream);
                    noted.lock().expect("the notes").ended += 1;
                });
            }
        });
        GatedServer { address, notes }
    }

    fn talk(stream: &mut TcpStream, notes: &Mutex<ServerRecord>, meets: &Meets) -> std::io::Result<()> {
        frames::read(stream, false)?;
        let place = {
            let mut notes = notes.lock().expect("the notes");
            notes.came += 1;
            notes.came
        };
        while notes.lock().expect("the notes").pass < place {
            thread::sleep(Duration::from_millis(1));
        }
        stream.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat())?;
        loop {
            answer_empty_queries(stream)?;
            if stream.peek(&mut [0])? == 0 || !meets(&mut Arriving { stream, notes })? {
                return Ok(());
            }
        }
    }

    /// Lets this many connections through, the first ones first.
    pub fn pass(&self, count: usize) {
        self.notes.lock().expect("the notes").pass = count;
    }

    /// Number of connections that have sent their startup.
    pub fn came(&self) -> usize {
        self.notes.lock().expect("the notes").came
    }

    /// Number of connections that have ended.
    pub fn ended(&self) -> usize {
        self.notes.lock().expect("the notes").ended
    }

    /// Statements that arrived completely.
    pub fn asked(&self) -> Vec<String> {
        self.notes.lock().expect("the notes").asked.clone()
    }
}

/// Answers the empty queries at the front of what a connection receives; leaves any other message unread.
fn answer_empty_queries(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut front = [0; frames::EMPTY_QUERY.len()];
    loop {
        let came = stream.peek(&mut front)?;
        if came == 0 || front[..came] != frames::EMPTY_QUERY[..came] {
            return Ok(());
        }
        if came == front.len() {
            stream.read_exact(&mut front)?;
            stream.write_all(&frames::empty_answer())?;
        } else {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// A connection with small buffers, so that most of what is sent to it waits at the sender.
pub fn narrow_stream(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    // The sender's buffer grows with the segment size.
    socket.set_tcp_mss(536).and_then(|()| socket.set_recv_buffer_size(4_096)).expect("options");
    socket.connect(&address.into()).expect("it listens");
    socket.into()
}

/// Makes closing a connection send a reset.
pub fn resets(stream: &TcpStream) {
    SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("an option");
}

/// How far a held server proceeds with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// Accepts connections and sends nothing.
    Mute,
    /// Answers the startup, and reads only the first bytes of a statement.
    Welcomes,
    /// Reads statements without answering.
    Reads,
    /// Rejects each statement.
    Throttles,
    /// Answers each statement.
    Answers,
}

/// How much of a statement a held server has read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementProgress {
    /// Its first bytes.
    First,
    Whole(String),
    /// Its connection ended before it was complete.
    Torn,
}

struct HeldState {
    goes: Progress,
    connected: usize,
    welcomed: usize,
    begun: Vec<StatementProgress>,
}

/// A server that proceeds as far as its test allows, and records each statement from its first bytes.
pub struct HeldServer {
    pub address: SocketAddr,
    hold: Arc<(Mutex<HeldState>, Condvar)>,
}

impl HeldServer {
    /// Starts the server, which proceeds as far as `goes`.
    pub fn start(primary: bool, goes: Progress) -> Self {
        HeldServer::listen(TcpListener::bind("127.0.0.1:0").expect("a port"), primary, goes)
    }

    /// The same with small buffers: long statements are written in parts.
    pub fn narrow(primary: bool, goes: Progress) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let socket = socket2::SockRef::from(&listener);
        socket.set_recv_buffer_size(4_096).and_then(|()| socket.set_tcp_mss(536)).expect("options");
        HeldServer::listen(listener, primary, goes)
    }

    fn listen(listener: TcpListener, primary: bool, goes: Progress) -> Self {
        let address = listener.local_addr().expect("an address");
        let hold = HeldState { goes, connected: 0, welcomed: 0, begun: Vec::new() };
        let hold = Arc::new((Mutex::new(hold), Condvar::new()));
        let shared = hold.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let hold = shared.clone();
                thread::spawn(move || HeldServer::talk(stream, primary, &hold));
            }
        });
        HeldServer { address, hold }
    }

    fn talk(mut stream: TcpStream, primary: bool, hold: &(Mutex<HeldState>, Condvar)) -> Option<()> {
        frames::read(&mut stream, false).ok()?;
        let locked = || hold.0.lock().expect("the hold");
        let wait = |goes: Progress| -> MutexGuard<HeldState> {
            hold.1.wait_while(locked(), |hold| hold.goes < goes).expect("the hold")
        };
        locked().connected += 1;
        drop(wait(Progress::Welcomes));
        let ready = message(b'Z', b"I");
        stream.write_all(&[message(b'R', &[0; 4]), ready.clone()].concat()).ok()?;
        locked().welcomed += 1;
        loop {
            answer_empty_queries(&mut stream).ok()?;
            let mut first = [0; 5];
            stream.read_exact(&mut first).ok()?;
            let place = {
                let mut hold = locked();
                hold.begun.push(StatementProgress::First);
                hold.begun.len() - 1
            };
            drop(wait(Progress::Reads));
            let Ok((_, body)) = frames::read(&mut (&first[..]).chain(&mut stream), true) else {
                locked().begun[place] = StatementProgress::Torn;
                return None;
            };
            locked().begun[place] = StatementProgress::Whole(String::from_utf8_lossy(&body).into());
            let answers = wait(Progress::Throttles).goes == Progress::Answers;
            let status = if primary { &b"recovery\0off\0"[..] } else { b"recovery\0on\0" };
            let said = if answers { row(b"held") } else { frames::error("53300", "full") };
            stream.write_all(&[said, message(b'S', status), ready.clone()].concat()).ok()?;
        }
    }

    fn look<T>(&self, at: impl FnOnce(&mut HeldState) -> T) -> T {
        at(&mut self.hold.0.lock().expect("the hold"))
    }

    /// Changes how far it proceeds.
    pub fn lets(&self, goes: Progress) {
        self.look(|hold| hold.goes = goes);
        self.hold.1.notify_all();
    }

    /// Number of connections that have sent their startup, and of those that were answered.
    pub fn connected(&self) -> usize {
        self.look(|hold| hold.connected)
    }

    /// Number of connections whose startup was answered.
    pub fn welcomed(&self) -> usize {
        self.look(|hold| hold.welcomed)
    }

    /// Statements begun so far.
    pub fn begun(&self) -> Vec<StatementProgress> {
        self.look(|hold| hold.begun.clone())
    }
}

/// An entry of the server list.
pub fn entry(host: &str, address: SocketAddr, health: &str, primary: bool) -> String {
    let recovery = if primary { "off" } else { "on" };
    format!(
        r#"{{"host":"{host}","dial":"{address}","site":"a","class":"t","block":2,"health":"{health}",
        "share":1.0,"born_ms":0,"recovery":"{recovery}"}}"#
    )
}

/// A server list in discovery's format.
pub fn list(version: u64, whole: bool, entries: &[String]) -> String {
    format!(r#"{{"seq":{version},"whole":{whole},"hosts":[{}]}}"#, entries.join(",")).replace('\n', "")
}

/// A discovery service: serves the given list, then each change in a watch, in chunks split anywhere.
pub fn discovery(whole: String) -> (SocketAddr, mpsc::Sender<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (sender, changes) = mpsc::channel::<String>();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = Vec::new();
            let mut byte = [0];
            while !request.ends_with(b"\r\n\r\n") && matches!(stream.read(&mut byte), Ok(1)) {
                request.push(byte[0]);
            }
            if !String::from_utf8_lossy(&request).contains("follow=1") {
                let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len());
                continue;
            }
            let _ = write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
            while let Ok(change) = changes.recv() {
                let line = change + "\n";
                let (first, second) = line.split_at(line.len() / 2);
                for part in [first, second] {
                    if write!(stream, "{:x}\r\n{part}\r\n", part.len()).is_err() {
                        break;
                    }
                }
            }
        }
    });
    (address, sender)
}

/// A gateway process.
pub struct Gateway {
    pub address: SocketAddr,
    child: Child,
    config: PathBuf,
    sockets: usize,
}

impl Gateway {
    /// Starts the program as `run` would, on a port that was free just before, and waits until it serves.
    pub fn start(program: &str, discovery: SocketAddr) -> Self {
        Gateway::with_sockets(program, discovery, 64)
    }

    /// The same with this limit of descriptors.
    pub fn with_sockets(program: &str, discovery: SocketAddr, sockets: usize) -> Self {
        let gateway = Gateway::launch(program, discovery, sockets, "null");
        gateway.wait_ready();
        gateway
    }

    /// Starts it with its last known list, without waiting. Each gateway has an address of its own, so that no other
    /// test takes the port meanwhile.
    pub fn launch(program: &str, discovery: SocketAddr, sockets: usize, known: &str) -> Self {
        Gateway::run(program, sockets, None, |own| {
            Gateway::config(own, &discovery.to_string(), sockets, known, SETTINGS)
        })
    }

    /// The same with the test's own settings, until it reloads.
    pub fn with_settings(program: &str, discovery: SocketAddr, settings: &str) -> Self {
        let gateway = Gateway::run(program, 256, None, |own| {
            Gateway::config(own, &discovery.to_string(), 256, "null", settings)
        });
        gateway.wait_ready();
        gateway
    }

    /// The same with a configuration modified by `change`, and where the system grants fewer descriptors.
    pub fn launch_as(
        program: &str,
        discovery: SocketAddr,
        sockets: usize,
        granted: Option<usize>,
        change: impl FnOnce(String) -> String,
    ) -> Self {
        Gateway::run(program, sockets, granted, |own| {
            change(Gateway::config(own, &discovery.to_string(), sockets, "null", SETTINGS))
        })
    }

    /// The same with these settings, without waiting.
    pub fn launch_set(
        program: &str,
        discovery: SocketAddr,
        sockets: usize,
        known: &str,
        settings: &str,
    ) -> Self {
        Gateway::run(program, sockets, None, |own| {
            Gateway::config(own, &discovery.to_string(), sockets, known, settings)
        })
    }

    fn run(
        program: &str,
        sockets: usize,
        granted: Option<usize>,
        config: impl FnOnce(SocketAddr) -> String,
    ) -> Self {
        let own = unused_address();
        let name = format!("tansyjunction-{}-{}.json", std::process::id(), own.ip());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, config(own)).expect("a file");
        let mut command = Command::new(program);
        if let Some(granted) = granted {
            command = Command::new("sh");
            command.args(["-c", &format!("ulimit -n {granted}; exec \"$0\" \"$@\""), program]);
        }
        let child = command
            .args(["serve", "--config"])
            .arg(&path)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        Gateway { address: own, child, config: path, sockets }
    }

    /// Its process id.
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Waits until it answers empty queries.
    pub fn wait_ready(&self) {
        // On a busy machine, one without a list closes its connections.
        wait_until("an answer", || {
            let client = Client::connect(self.address, WAIT_TIMEOUT);
            client.is_ok_and(|mut client| client.ask("") == Reply::Empty)
        });
    }

    fn config(listen: SocketAddr, discovery: &str, sockets: usize, known: &str, settings: &str) -> String {
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"2a","known":{known},
            "limits":{{"sockets":{sockets}}},"settings":{settings}}}"#
        )
    }

    /// Sets another discovery address in the configuration and reloads it.
    pub fn reload(&self, discovery: &str) {
        let config = Gateway::config(self.address, discovery, self.sockets, "null", SETTINGS);
        std::fs::write(&self.config, config).expect("a file");
        self.signal("HUP");
    }

    /// Connects a client.
    pub fn client(&self) -> Client {
        Client::connect(self.address, WAIT_TIMEOUT).expect("the gateway listens")
    }

    /// Its resident memory in bytes.
    pub fn memory(&self) -> usize {
        self.memory_kib() * 1_024
    }

    /// Its resident memory in KiB.
    pub fn memory_kib(&self) -> usize {
        self.status_kib("VmRSS:")
    }

    /// Most memory of its own, without the program's file, in so many samples 10 ms apart.
    pub fn peak_own_memory_kib(&self, samples: usize) -> usize {
        let sample = |_| {
            thread::sleep(Duration::from_millis(10));
            self.status_kib("RssAnon:")
        };
        (0..samples).map(sample).max().unwrap_or(0)
    }

    /// A figure of the process's status in KiB.
    fn status_kib(&self, name: &str) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("its status");
        let line = status.lines().find_map(|line| line.strip_prefix(name)).expect("the figure");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
        assert!(sent.expect("a shell").success());
    }

    /// Pauses the process and waits until it has stopped.
    pub fn pause(&self) {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        wait_until("the gateway to stand still", || {
            let stat = std::fs::read_to_string(&stat).expect("its state");
            stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
        });
    }

    /// Waits for its end; returns whether it exited successfully.
    pub fn ended(&mut self) -> bool {
        let mut ended = None;
        wait_until("the end of the gateway", || {
            ended = self.child.try_wait().expect("its state");
            ended.is_some()
        });
        ended.is_some_and(|status| status.success())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Settings of the deployment for [`Gateway`].
pub const SETTINGS: &str = r#"{"balancers":1,"me":0,"my_zone":"a","localities":["a"],"round":5000000,"categories":[
    {"name":"look","aim":400000000,"hard_limit":1500000000,"effect":"pure","worth":1.0},
    {"name":"once","aim":400000000,"hard_limit":1500000000,"effect":"side_effect","worth":1.0},
    {"name":"keyed","aim":400000000,"hard_limit":1500000000,"effect":"token","window":1000000000}],
    "domain":{"needs_by_class":["eventual","mutate","mutate"],"class_bound":[0,0,0],"guards":"await"},
    "limits":{"max_attempts":4,"probes":true,"cancelling":true,"second_copies":true,"dial_timeout":250000000,
    "conn_idle":15000000000,"retry_after":true,"max_retry_after":1000000000},
    "guarantees":{"drain_grace":1000000000},"telemetry":{"fields":["x0"],"how":"piggyback"}}"#;

/// A read with this id.
pub fn read(id: u32) -> String {
    format!("SELECT v FROM records WHERE k = '7f3a' /* id={id},c=look,d=1500,cluster=2 */")
}

/// A write with this id.
pub fn write(id: u32) -> String {
    let values = "INSERT INTO records (k, v) VALUES ('7f3a', '\\x9f03') RETURNING v";
    format!("{values} /* id={id},c=once,d=1500,cluster=2 */")
}
