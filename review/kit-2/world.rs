//! Parts that all cases share: the record, the gateway as a separate process, and stand-ins for clients, database
//! servers and discovery as the protocol page describes them. Standard library only; every address is a loopback one.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as u64
}

pub fn lock<T>(what: &Mutex<T>) -> MutexGuard<'_, T> {
    what.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// The gateways that run, by process id.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the run as one that could not take place, and the gateways with it.
pub fn cannot_run(why: &str) -> ! {
    for id in lock(&RUNNING).drain(..) {
        let _ = Command::new("/bin/kill").args(["-KILL", &id.to_string()]).status();
    }
    eprintln!("the case could not run: {why}");
    std::process::exit(2);
}

/// A seeded generator (splitmix64).
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Self {
        Chance(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
}

/// `record.txt`, with times in seconds from the start of the case.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn open(folder: &Path) -> Arc<Self> {
        let file = File::create(folder.join("record.txt"));
        let file = file.unwrap_or_else(|error| cannot_run(&format!("record.txt: {error}")));
        Arc::new(Record { began: Instant::now(), file: Mutex::new(file) })
    }

    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let now = self.now();
        let _ = writeln!(lock(&self.file), "{now:10.4} {text}");
    }

    /// Also to the standard output.
    pub fn tell(&self, text: &str) {
        println!("{text}");
        self.note(text);
    }
}

/// A listener on a loopback address of this run alone.
pub fn listener() -> TcpListener {
    let host = Ipv4Addr::new(127, 77, (std::process::id() >> 8) as u8, std::process::id() as u8 | 1);
    TcpListener::bind((host, 0)).unwrap_or_else(|error| cannot_run(&format!("no port: {error}")))
}

/// An address that was free a moment ago, for a program that binds it itself.
pub fn free_address() -> SocketAddr {
    listener().local_addr().expect("an address")
}

// --- Messages ---

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// RowDescription, one DataRow, CommandComplete.
pub fn row(value: &[u8], tag: &str) -> Vec<u8> {
    let column = b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";
    let data = [&b"\0\x01"[..], &(value.len() as u32).to_be_bytes(), value].concat();
    [message(b'T', column), message(b'D', &data), message(b'C', &[tag.as_bytes(), b"\0"].concat())].concat()
}

pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0svc\0database\0main\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// The next message; `None` at the end of the connection.
pub fn read_message(stream: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes(head[1..].try_into().expect("four bytes")) as usize;
    let mut body = vec![0; length.checked_sub(4)?];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

/// The value of a name in the comment of a statement.
pub fn named<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = &statement[statement.rfind("/*")? + 2..statement.rfind("*/")?];
    comment.split(',').find_map(|part| {
        let (key, value) = part.split_once('=')?;
        (key.trim() == name).then_some(value.trim())
    })
}

// --- Database servers ---

/// What a server does with a statement of a client.
pub enum Reaction {
    Writes(Vec<u8>),
    /// The same, and a second copy right behind, if nothing else waits on the connection then. The function is told
    /// whether the copy was written.
    WritesTwice(Vec<u8>, Box<dyn FnOnce(bool)>),
}

type Handler = dyn Fn(&str) -> Reaction + Send + Sync;

/// A database server: welcomes everyone, answers probes at once, and passes statements of clients on to its handler.
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
}

impl Server {
    pub fn start(name: &str, primary: bool, handler: Arc<Handler>) -> Self {
        let listener = listener();
        let address = listener.local_addr().expect("an address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let handler = handler.clone();
                thread::spawn(move || serve(stream, primary, &*handler));
            }
        });
        Server { name: name.into(), address }
    }
}

fn serve(mut stream: TcpStream, primary: bool, handler: &Handler) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut rest = vec![0; (u32::from_be_bytes(length) as usize).checked_sub(4)?];
    stream.read_exact(&mut rest).ok()?;
    let role = if primary { "off" } else { "on" };
    let welcome = [message(b'R', &[0; 4]), parameter("recovery", role), ready()].concat();
    stream.write_all(&welcome).ok()?;
    loop {
        let (kind, body) = read_message(&mut stream)?;
        if kind != b'Q' {
            return None;
        }
        let text = String::from_utf8_lossy(body.strip_suffix(b"\0")?).into_owned();
        let plain = |value: String, tag: &str| {
            [row(value.as_bytes(), tag), parameter("recovery", role), ready()].concat()
        };
        let answer = if text.trim().is_empty() {
            [message(b'I', b""), ready()].concat()
        } else if text.starts_with("SHOW health") {
            let seconds = unix_millis() as f64 / 1e3;
            plain(format!("x0={seconds:.3},x1={},util=0.2,queue=0", u8::from(primary)), "SHOW")
        } else if text.starts_with("SELECT 1") {
            plain("1".into(), "SELECT 1")
        } else {
            match handler(&text) {
                Reaction::Writes(answer) => answer,
                Reaction::WritesTwice(answer, told) => {
                    stream.write_all(&answer).ok()?;
                    let waits = something_waits(&stream);
                    if !waits {
                        stream.write_all(&answer).ok()?;
                    }
                    told(!waits);
                    continue;
                }
            }
        };
        stream.write_all(&answer).ok()?;
    }
}

/// Whether the other side has sent something that was not read yet, or has ended.
fn something_waits(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let waits = stream.peek(&mut [0]).is_ok();
    let _ = stream.set_nonblocking(false);
    waits
}

/// The usual end of an answer: role, position, ReadyForQuery.
pub fn ending(primary: bool) -> Vec<u8> {
    let role = if primary { "off" } else { "on" };
    [parameter("recovery", role), parameter("lsn_ms", &unix_millis().to_string()), ready()].concat()
}

// --- Discovery ---

/// An entry of the list.
#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    pub site: &'static str,
    pub block: u32,
    pub primary: bool,
    pub health: &'static str,
    seq: u64,
}

impl Host {
    pub fn new(server: &Server, site: &'static str, block: u32, primary: bool) -> Self {
        let (name, address) = (server.name.clone(), server.address);
        Host { name, address, site, block, primary, health: "up", seq: 1 }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"general-3","block":{},"health":"{}","share":1.0,"born_ms":0,"recovery":"{}"}}"#,
            self.name,
            self.address,
            self.site,
            self.block,
            self.health,
            if self.primary { "off" } else { "on" }
        )
    }
}

struct List {
    seq: u64,
    hosts: Vec<Host>,
    up: bool,
    /// Counts the outages: what was asked before or during one gets no answer any more.
    outages: u64,
}

/// The agent of discovery on a gateway's machine: replies at once while discovery is up, and is silent while it is down.
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
}

impl Discovery {
    pub fn start(hosts: Vec<Host>) -> Self {
        let listener = listener();
        let address = listener.local_addr().expect("an address");
        let list = Arc::new((Mutex::new(List { seq: 1, hosts, up: true, outages: 0 }), Condvar::new()));
        let shared = list.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || agent(stream, &shared));
            }
        });
        Discovery { address, list }
    }

    /// Discovery is down: the agent is silent.
    pub fn go_down(&self) {
        let mut list = lock(&self.list.0);
        (list.up, list.outages) = (false, list.outages + 1);
    }

    /// Changes the health of servers, and is up from now on.
    pub fn tell(&self, names: &[&str], health: &'static str) {
        let mut list = lock(&self.list.0);
        list.seq += 1;
        let seq = list.seq;
        for host in list.hosts.iter_mut().filter(|host| names.contains(&host.name.as_str())) {
            (host.health, host.seq) = (health, seq);
        }
        list.up = true;
        self.list.1.notify_all();
    }

    /// Names another primary.
    pub fn lead(&self, name: &str) {
        let mut list = lock(&self.list.0);
        list.seq += 1;
        let seq = list.seq;
        for host in &mut list.hosts {
            let leads = host.name == name;
            if host.primary != leads {
                (host.primary, host.seq) = (leads, seq);
            }
        }
        self.list.1.notify_all();
    }
}

fn object(seq: u64, whole: bool, hosts: &[&Host]) -> String {
    let hosts: Vec<String> = hosts.iter().map(|host| host.json()).collect();
    format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[{}]}}", hosts.join(","))
}

fn agent(mut stream: TcpStream, shared: &(Mutex<List>, Condvar)) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let list = lock(&shared.0);
    let outages = list.outages;
    if !list.up {
        drop(list);
        // Asked while discovery is down: silent, until the other side closes.
        let _ = stream.read(&mut [0]);
        return None;
    }
    let since: Option<u64> = head
        .split("since=")
        .nth(1)
        .and_then(|rest| rest.split(|c: char| !c.is_ascii_digit()).next())
        .and_then(|digits| digits.parse().ok());
    let Some(mut since) = since else {
        let body = object(list.seq, true, &list.hosts.iter().collect::<Vec<_>>());
        drop(list);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).ok()?;
        return None;
    };
    drop(list);
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len()).into_bytes();
    let opening = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(opening.as_bytes()).ok()?;
    loop {
        let mut list = lock(&shared.0);
        let line = loop {
            if list.up && list.outages == outages {
                let changed: Vec<&Host> = list.hosts.iter().filter(|host| host.seq > since).collect();
                if !changed.is_empty() {
                    let line = object(list.seq, false, &changed) + "\n";
                    since = list.seq;
                    break line;
                }
            }
            let (next, waited) = shared.1.wait_timeout(list, millis(2_000)).expect("the list");
            list = next;
            if waited.timed_out() && list.up && list.outages == outages {
                break "\n".to_string();
            }
            if list.outages != outages {
                drop(list);
                // The watch fell silent with an outage of some seconds; the other side closes it.
                let _ = stream.read(&mut [0]);
                return None;
            }
        };
        drop(list);
        stream.write_all(&chunk(&line)).ok()?;
    }
}

// --- The gateway ---

/// A gateway, started with the command of the deploy file.
pub struct Gateway {
    pub address: SocketAddr,
    child: Child,
}

/// The command of the key in `deploy/balancer.toml`.
fn deploy_command(key: &str) -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml")
        .unwrap_or_else(|error| cannot_run(&format!("deploy/balancer.toml: {error}")));
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("{key} = \"")));
    let command = line.and_then(|rest| rest.split('"').next());
    command.unwrap_or_else(|| cannot_run("the deploy file has no such command")).to_string()
}

impl Gateway {
    /// Starts a gateway; its files lie in `folder`. `settings` is the object of the simulator's first message.
    pub fn start(folder: &Path, number: usize, discovery: SocketAddr, limits: &str, settings: &str) -> Self {
        let address = free_address();
        let config = folder.join(format!("n{number}.json"));
        let text = format!(
            r#"{{"name":"n{number}","listen":"{address}","discovery":"{discovery}","seed":"{:x}","limits":{limits},"settings":{settings}}}"#,
            51 + number
        );
        let written = std::fs::write(&config, text);
        written.unwrap_or_else(|error| cannot_run(&format!("the configuration: {error}")));
        let log = File::create(folder.join(format!("n{number}.log")));
        let log = log.unwrap_or_else(|error| cannot_run(&format!("the log: {error}")));
        let child = Command::new("/bin/sh")
            .args(["-c", &deploy_command("run")])
            .env("BALANCER_CONFIG", &config)
            .env("BALANCER_NAME", format!("n{number}"))
            .env("BALANCER_LISTEN", address.to_string())
            .env("BALANCER_DISCOVERY", discovery.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .process_group(0)
            .spawn();
        let child = child.unwrap_or_else(|error| cannot_run(&format!("the gateway: {error}")));
        lock(&RUNNING).push(child.id());
        Gateway { address, child }
    }

    /// Waits until it answers an empty query, as the front does.
    pub fn wait_ready(&mut self) {
        let began = Instant::now();
        while began.elapsed() < millis(10_000) {
            if let Ok(Some(status)) = self.child.try_wait() {
                cannot_run(&format!("the gateway ended at its start: {status}"));
            }
            if let Some(mut client) = Client::connect(self.address)
                && client.write(&query(""))
                && client.answer(millis(2_000)).is_some()
            {
                return;
            }
            thread::sleep(millis(20));
        }
        cannot_run("the gateway was not ready within 10 s");
    }

    /// Whether it still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        lock(&RUNNING).retain(|id| *id != self.child.id());
    }
}

// --- Clients ---

/// What a client got for a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    /// 53300 or 57P03.
    Refused(String),
    Failed(String),
    Empty,
}

impl Answer {
    pub fn told(&self) -> String {
        match self {
            Answer::Served(value) => format!("served {}", String::from_utf8_lossy(value)),
            Answer::Refused(code) => format!("refused {code}"),
            Answer::Failed(code) => format!("failed {code}"),
            Answer::Empty => "empty".into(),
        }
    }
}

pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    /// Connects and waits for the welcome.
    pub fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, millis(2_000)).ok()?;
        let _ = stream.set_nodelay(true);
        let mut client = Client { stream };
        if !client.write(&startup()) {
            return None;
        }
        let _ = client.stream.set_read_timeout(Some(millis(5_000)));
        loop {
            match read_message(&mut client.stream)?.0 {
                b'Z' => return Some(client),
                b'E' => return None,
                _ => {}
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// The answer to the oldest command; `None` if the connection ends or nothing comes within the time.
    pub fn answer(&mut self, within: Duration) -> Option<Answer> {
        let _ = self.stream.set_read_timeout(Some(within));
        let mut answer = None;
        loop {
            let (kind, body) = read_message(&mut self.stream)?;
            match kind {
                b'D' => answer = Some(Answer::Served(body.get(6..)?.to_vec())),
                b'I' => answer = Some(Answer::Empty),
                b'E' => {
                    let code = body.split(|byte| *byte == 0).find_map(|field| field.strip_prefix(b"C"));
                    let code = String::from_utf8_lossy(code?).into_owned();
                    let refused = matches!(code.as_str(), "53300" | "57P03");
                    answer = Some(if refused { Answer::Refused(code) } else { Answer::Failed(code) });
                }
                b'Z' => return answer,
                _ => {}
            }
        }
    }
}

static NUMBER: AtomicU64 = AtomicU64::new(1);

/// A new id.
pub fn new_id() -> String {
    format!("{:016x}", NUMBER.fetch_add(1, Ordering::SeqCst) | 0x5100_0000_0000_0000)
}

pub fn read_statement(id: &str, class: &str, wait: u64, cluster: u32) -> String {
    format!("SELECT v FROM records WHERE k = '{id}' /* id={id},c={class},d={wait},cluster={cluster} */")
}

pub fn write_statement(id: &str, class: &str, wait: u64, cluster: u32) -> String {
    format!(
        "INSERT INTO records (k, v) VALUES ('{id}', '\\x9f03') RETURNING v /* id={id},c={class},d={wait},cluster={cluster} */"
    )
}

// --- The case ---

/// What a case is started with.
pub struct Case {
    pub temporary: PathBuf,
    pub trouble: bool,
    pub record: Arc<Record>,
    pub broken: Arc<AtomicUsize>,
}

impl Case {
    /// Counts a broken rule.
    pub fn broke(&self, text: &str) {
        self.broken.fetch_add(1, Ordering::SeqCst);
        self.record.note(&format!("BROKEN: {text}"));
    }
}
