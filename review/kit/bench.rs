//! Discovery, database servers, clients and the gateway's process.

use std::collections::HashMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn sleep(ms: u64) {
    std::thread::sleep(millis(ms));
}

/// Unix time in ms.
pub fn unix() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

// --- The record ---

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Record {
        let path = PathBuf::from(folder).join("record.txt");
        let file = File::create(&path).unwrap_or_else(|error| {
            eprintln!("{}: {error}", path.display());
            std::process::exit(2);
        });
        Record { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:9.4} {text}\n");
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

// --- Messages of the PostgreSQL protocol ---

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

pub fn startup() -> Vec<u8> {
    b"\0\0\0\x20\0\x03\0\0user\0svc\0database\0main\0\0".to_vec()
}

fn row(value: &[u8], tag: &str) -> Vec<u8> {
    let column = b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";
    let data = [&b"\0\x01"[..], &(value.len() as u32).to_be_bytes(), value].concat();
    let tag = [tag.as_bytes(), b"\0"].concat();
    [message(b'T', column), message(b'D', &data), message(b'C', &tag)].concat()
}

fn status(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes())
}

fn field<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = &statement[statement.rfind("/*")? + 2..statement.rfind("*/")?];
    comment.split(',').find_map(|part| part.trim().strip_prefix(name)?.strip_prefix('=')).map(str::trim)
}

fn quoted(statement: &str) -> &str {
    statement.split('\'').nth(1).unwrap_or_default()
}

/// Reads a message; `None` at the end of the connection.
pub fn read_message(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes(head[1..].try_into().ok()?) as usize;
    let mut body = vec![0; length.checked_sub(4)?];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}

// --- The store: one group with a primary and replicas ---

struct State {
    /// Commits: time in ms, key, value.
    log: Vec<(u64, String, String)>,
    /// The connection that carries this id is reset right after CommandComplete.
    reset_after: Vec<String>,
    /// The primary of each group, and the servers that take all and answer nothing.
    primaries: Vec<usize>,
    hung: Vec<bool>,
}

pub struct Store {
    pub addresses: Vec<SocketAddr>,
    state: Arc<Mutex<State>>,
}

#[derive(Clone, Copy)]
pub struct Shape {
    pub groups: usize,
    /// Servers of each group.
    pub members: usize,
    /// How far the replicas are behind, and how long a statement takes.
    pub lag: u64,
    pub work: u64,
}

impl Store {
    /// The first server of each group is the primary.
    pub fn start(shape: Shape, record: &Record) -> std::io::Result<Store> {
        let servers = shape.groups * shape.members;
        let state = Arc::new(Mutex::new(State {
            log: Vec::new(),
            reset_after: Vec::new(),
            primaries: (0..shape.groups).map(|group| group * shape.members).collect(),
            hung: vec![false; servers],
        }));
        let mut addresses = Vec::new();
        for server in 0..servers {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            let (state, record) = (state.clone(), record.clone());
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (state, record) = (state.clone(), record.clone());
                    std::thread::spawn(move || serve(server, shape, &state, &record, stream));
                }
            });
        }
        Ok(Store { addresses, state })
    }

    pub fn hang(&self, server: usize, hung: bool) {
        self.state.lock().unwrap().hung[server] = hung;
    }

    pub fn set_primary(&self, group: usize, server: usize) {
        self.state.lock().unwrap().primaries[group] = server;
    }

    pub fn reset_after(&self, id: &str) {
        self.state.lock().unwrap().reset_after.push(id.into());
    }
}

/// Whether a server is the primary of its group, and up to when it has applied the log.
fn stands(server: usize, shape: Shape, state: &Mutex<State>) -> (bool, u64) {
    let leads = state.lock().unwrap().primaries[server / shape.members] == server;
    (leads, if leads { unix() } else { unix().saturating_sub(shape.lag) })
}

/// Waits while the server hangs; true if it did.
fn wait_while_hung(server: usize, state: &Mutex<State>) -> bool {
    let mut hung = false;
    while state.lock().unwrap().hung[server] {
        hung = true;
        sleep(5);
    }
    hung
}

fn serve(
    server: usize,
    shape: Shape,
    state: &Mutex<State>,
    record: &Record,
    mut stream: TcpStream,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut rest = vec![0; (u32::from_be_bytes(length) as usize).checked_sub(4)?];
    stream.read_exact(&mut rest).ok()?;
    wait_while_hung(server, state);
    let ready = message(b'Z', b"I");
    stream.write_all(&[message(b'R', &[0; 4]), ready.clone()].concat()).ok()?;
    loop {
        let (kind, body) = read_message(&mut stream)?;
        if kind != b'Q' {
            return None;
        }
        let text = String::from_utf8_lossy(body.strip_suffix(b"\0").unwrap_or(&body)).into_owned();
        let write = text.starts_with("INSERT");
        if !text.starts_with("SHOW health") && !text.starts_with("SELECT 1") {
            sleep(shape.work);
        }
        let hung = wait_while_hung(server, state);
        let (leads, at) = stands(server, shape, state);
        let role = status("recovery", if leads { "off" } else { "on" });
        if text.starts_with("SHOW health") {
            let report = format!("x0={:.3},x1={},util=0.1,queue=0", at as f64 / 1e3, u8::from(leads));
            stream.write_all(&[row(report.as_bytes(), "SHOW"), role, ready.clone()].concat()).ok()?;
            continue;
        }
        if text.starts_with("SELECT 1") {
            stream.write_all(&[row(b"1", "SELECT 1"), role, ready.clone()].concat()).ok()?;
            continue;
        }
        let Some(id) = field(&text, "id").map(String::from) else {
            stream.write_all(&[error("08P01", "no such statement"), ready.clone()].concat()).ok()?;
            continue;
        };
        let key = quoted(&text).to_string();
        if write && !leads {
            // A write that a primary held when it hung ends in an error.
            let code = if hung { "XX000" } else { "25006" };
            record.line(&format!("s{server} answers id={id} with {code}"));
            stream.write_all(&[error(code, "this is no primary"), role, ready.clone()].concat()).ok()?;
            continue;
        }
        let mut state_now = state.lock().unwrap();
        let (answer, said) = if write {
            let value =
                text.split("'\\x").nth(1).and_then(|rest| rest.split('\'').next()).unwrap_or_default();
            let value = value[..value.len().min(16)].to_string();
            let commit = unix() + 1; // Commits are rounded up.
            state_now.log.push((commit, key.clone(), value.clone()));
            record.line(&format!("s{server} ran id={id}: wrote {key} = {value}, committed at {commit}"));
            (row(value.as_bytes(), "INSERT 0 1"), commit)
        } else {
            let found = state_now.log.iter().rev().find(|(commit, of, _)| *commit <= at && *of == key);
            let value = found.map_or("none".into(), |(_, _, value)| value.clone());
            record.line(&format!("s{server} ran id={id}: read {key} = {value} as of {at}"));
            (row(value.as_bytes(), "SELECT 1"), at)
        };
        let reset = state_now.reset_after.contains(&id);
        drop(state_now);
        if reset {
            stream.write_all(&answer).ok()?;
            sleep(20);
            record.line(&format!("the connection of id={id} to s{server} is reset behind CommandComplete"));
            return reset_connection(stream);
        }
        stream
            .write_all(&[answer, status("lsn_ms", &said.to_string()), role, ready.clone()].concat())
            .ok()?;
    }
}

/// Resets a connection, as the system does for a process that dies.
pub fn reset_connection(stream: TcpStream) -> Option<()> {
    use std::os::fd::AsRawFd;
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    let linger = Linger { on: 1, seconds: 0 };
    // SOL_SOCKET and SO_LINGER on Linux.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &raw const linger, size_of::<Linger>() as u32) };
    None
}

// --- Discovery ---

pub struct Discovery {
    pub address: SocketAddr,
}

pub fn host(name: &str, address: SocketAddr, site: &str, group: usize, primary: bool) -> String {
    let recovery = if primary { "off" } else { "on" };
    format!(
        r#"{{"host":"{name}","dial":"{address}","site":"{site}","class":"general-3","block":{group},"health":"up","share":1.0,"born_ms":0,"recovery":"{recovery}"}}"#
    )
}

impl Discovery {
    /// Serves this list, which does not change, in one version.
    pub fn start(hosts: &[String]) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let list = format!(r#"{{"seq":1,"whole":true,"hosts":[{}]}}"#, hosts.join(","));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = list.clone();
                std::thread::spawn(move || tell(&list, stream));
            }
        });
        Ok(Discovery { address })
    }
}

fn tell(list: &str, mut stream: TcpStream) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let (mut head, mut byte) = (Vec::new(), [0; 1]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    if !String::from_utf8_lossy(&head).contains("since=") {
        let length = list.len();
        let head =
            format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n");
        return stream.write_all((head + list).as_bytes()).ok();
    }
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).ok()?;
    loop {
        stream.write_all(b"1\r\n\n\r\n").ok()?;
        sleep(2_000);
    }
}

// --- The gateway ---

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

pub struct Gateway {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
}

/// A free port on loopback.
pub fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Gateway {
    /// Starts the program by the line `run` of the deploy file and waits until it answers an empty query.
    pub fn start(name: &str, discovery: SocketAddr, limits: &str, settings: &str) -> Result<Gateway, String> {
        let said = |error: std::io::Error| error.to_string();
        let deploy = std::fs::read_to_string("deploy/balancer.toml").map_err(said)?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.ok_or("the deploy file has no line 'run'")?;
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(said)?;
        let address = free_address().map_err(said)?;
        let config = format!(
            r#"{{"name":"{name}","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{limits},"settings":{settings}}}"#
        );
        let path = folder.join("config.json");
        std::fs::write(&path, config).map_err(said)?;
        let log = File::create(folder.join("log.txt")).map_err(said)?;
        let mut command = Command::new("/bin/sh");
        // The gateway ends with this process, however that ends: PR_SET_PDEATHSIG with SIGKILL.
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9);
                Ok(())
            });
        }
        let child = command
            .args(["-c", run])
            .env("BALANCER_NAME", name)
            .env("BALANCER_LISTEN", address.to_string())
            .env("BALANCER_DISCOVERY", discovery.to_string())
            .env("BALANCER_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(said)?;
        let mut gateway = Gateway { child, address, folder };
        let until = Instant::now() + millis(10_000);
        while Instant::now() < until {
            if let Ok(Some(status)) = gateway.child.try_wait() {
                return Err(format!("the gateway ended at its start: {status}: {}", gateway.log()));
            }
            if let Ok(mut client) = Client::open(address)
                && client.stream.write_all(&query("")).is_ok()
                && client.reply(Instant::now() + millis(2_000)).is_some_and(|reply| reply == Reply::Empty)
            {
                return Ok(gateway);
            }
            sleep(50);
        }
        Err("the gateway was not ready in 10 s".into())
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default()
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process, as the platform does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// A line of the system's figures of the process, such as its peak memory.
    pub fn figure(&self, name: &str) -> String {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        status.lines().find(|line| line.starts_with(name)).unwrap_or_default().into()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

// --- Clients ---

#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Empty,
    Served(String),
    /// SQLSTATE; whether it was fatal.
    Error(String, bool),
    /// The connection ended, or was reset.
    Ended(bool),
}

pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    /// Connects and completes the startup.
    pub fn open(address: SocketAddr) -> std::io::Result<Client> {
        let mut stream = TcpStream::connect_timeout(&address, millis(2_000))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(millis(3_000)))?;
        stream.set_write_timeout(Some(millis(3_000)))?;
        stream.write_all(&startup())?;
        loop {
            match read_message(&mut stream) {
                Some((b'Z', _)) => return Ok(Client { stream }),
                Some((b'E', _)) | None => return Err(ErrorKind::ConnectionAborted.into()),
                _ => {}
            }
        }
    }

    fn bytes(&mut self, count: usize, until: Instant) -> Result<Option<Vec<u8>>, bool> {
        let mut bytes = vec![0; count];
        let mut got = 0;
        while got < count {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(None);
            }
            let _ = self.stream.set_read_timeout(Some(left));
            match self.stream.read(&mut bytes[got..]) {
                Ok(0) => return Err(false),
                Ok(more) => got += more,
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(true),
            }
        }
        Ok(Some(bytes))
    }

    /// The next whole answer up to ReadyForQuery, or to a fatal error; `None` if none came until `until`.
    pub fn reply(&mut self, until: Instant) -> Option<Reply> {
        let (mut value, mut reply) = (String::new(), None);
        loop {
            let head = match self.bytes(5, until) {
                Ok(head) => head?,
                Err(reset) => return Some(Reply::Ended(reset)),
            };
            let length = u32::from_be_bytes(head[1..].try_into().unwrap()) as usize - 4;
            let body = match self.bytes(length, until) {
                Ok(body) => body?,
                Err(reset) => return Some(Reply::Ended(reset)),
            };
            match head[0] {
                b'I' => reply = Some(Reply::Empty),
                b'D' => value = String::from_utf8_lossy(&body[6..]).into_owned(),
                b'C' => reply = Some(Reply::Served(std::mem::take(&mut value))),
                b'E' => {
                    let fields: HashMap<u8, String> = body
                        .split(|byte| *byte == 0)
                        .filter(|part| !part.is_empty())
                        .map(|part| (part[0], String::from_utf8_lossy(&part[1..]).into_owned()))
                        .collect();
                    let code = fields.get(&b'C').cloned().unwrap_or_default();
                    let fatal = fields.get(&b'S').is_some_and(|word| word == "FATAL");
                    reply = Some(Reply::Error(code, fatal));
                    if fatal {
                        return reply;
                    }
                }
                b'Z' => return reply,
                _ => {}
            }
        }
    }

    /// Sends a statement and waits for its answer until half a second after its time.
    pub fn ask(&mut self, statement: &str, wait: u64) -> Option<Reply> {
        self.stream.write_all(&query(statement)).ok()?;
        self.reply(Instant::now() + millis(wait + 550))
    }
}
