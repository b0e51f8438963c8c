//! A store of one group, with the settings of six command groups, one for each need and effect; and stand-ins for
//! what a gateway meets on sockets. Each test program uses its part.
#![allow(dead_code)]

use tansyjunction::Router;
use tansyjunction::interface::*;

pub const GROUP: usize = 7;
const MS: Micros = 1_000;

pub fn conf(changed: &[(&str, Value)]) -> Named {
    let mut named = Named::new();
    let mut put = |name: &str, value: Value| named.insert(name.into(), value);
    let number = |n: f64| Value::Number(n);
    for (name, n) in [
        ("command_groups", 6.0),
        ("round", 5e3),
        ("zone", 0.0),
        ("limits.max_dispatches", 6.0),
        ("rules.cold", 17e6),
        ("rules.cold_from", 0.16),
        ("rules.fall_multiple", 3.0),
        ("rules.fall_for", 2e6),
    ] {
        put(name, number(n));
    }
    for name in ["limits.probes", "limits.recalls", "limits.second_copies"] {
        put(name, Value::Flag(true));
    }
    put("guards", Value::Text("wait".into()));
    put("session_marks", Value::Text("carried".into()));
    let each = [
        ("any", "replayable"),
        ("bounded", "replayable"),
        ("session", "replayable"),
        ("fresh", "replayable"),
        ("write", "mutating"),
        ("write", "keyed"),
    ];
    for (k, (need, effect)) in each.into_iter().enumerate() {
        let name = |part: &str| format!("command_group.{k}.{part}");
        put(&name("need"), Value::Text(need.into()));
        put(&name("effect"), Value::Text(effect.into()));
        put(&name("scope"), Value::Text("group".into()));
        for (part, n) in [
            ("bound", 1e6),
            ("response_target", 500e3),
            ("client_timeout", 2e6),
            ("repeat_within", 1e6),
            ("late_benefit", 0.5),
        ] {
            put(&name(part), number(n));
        }
    }
    for (name, value) in changed {
        put(name, value.clone());
    }
    named
}

pub struct Store {
    pub router: Router,
    pub now: Micros,
    entries: Vec<Listed>,
}

impl Store {
    /// Primary 0 and replicas 1 and 2, all in the own zone, well and up to date.
    pub fn calm(changed: &[(&str, Value)]) -> Self {
        Store::behind(changed, &[0, 0, 0], 0)
    }

    /// The same with members that stand so far behind; replicas from `elsewhere` on and the primary, where there
    /// are more than three, are in another zone.
    pub fn behind(changed: &[(&str, Value)], behind: &[Micros], elsewhere: usize) -> Self {
        let router = Router::new(conf(changed), 42).expect("settings make sense");
        let mut store = Store { router, now: 100_000_000, entries: Vec::new() };
        let zone = |server| usize::from(elsewhere > 0 && (server == 0 || server >= elsewhere));
        let members: Vec<_> = (0..behind.len()).map(|server| (server, zone(server), server == 0)).collect();
        store.list(&members);
        for (server, behind) in behind.iter().enumerate() {
            store.probe(server, MS, server == 0, *behind);
        }
        store
    }

    pub fn list(&mut self, members: &[(usize, usize, bool)]) {
        let entry = |&(server, zone, primary)| Listed {
            server,
            group: GROUP,
            zone,
            size: 1.0,
            standing: Standing::Serving,
            primary,
            started: None,
        };
        self.entries = members.iter().map(entry).collect();
        self.router.listed(self.now, Some(&self.entries), true);
    }

    pub fn standing(&mut self, server: usize, standing: Standing) {
        self.entries[server].standing = standing;
        self.router.listed(self.now, Some(&self.entries[server..=server]), false);
    }

    pub fn restart(&mut self, server: usize) {
        self.entries[server].started = Some(self.now);
        self.router.listed(self.now, Some(&self.entries[server..=server]), false);
    }

    pub fn probe(&mut self, server: usize, ping: Micros, primary: bool, behind: Micros) {
        let report =
            Report { position: Some(self.now - behind), primary: Some(primary), ..Report::default() };
        self.router.probed(self.now, server, ping, Ending::Answered, Some(report));
    }

    /// For five seconds this replica applies nothing while the others go on.
    pub fn stands_still(&mut self, server: usize) {
        self.now += 5_000 * MS;
        for other in 0..self.entries.len() {
            self.probe(other, MS, other == 0, if other == server { 5_000 * MS } else { 0 });
        }
    }

    pub fn probe_fails(&mut self, server: usize, ending: Ending) {
        self.router.probed(self.now, server, 250 * MS, ending, None);
    }

    /// A command of session 1 that has just arrived; the session wrote 900 ms ago.
    pub fn command(&self, command_group: usize) -> Held {
        let command = Command {
            command_group,
            group: GROUP,
            session: Some(1),
            arrived: self.now,
            client_timeout: self.now + 2_000 * MS,
            written_ago: Some(900 * MS),
        };
        Held { command, dispatches: Vec::new() }
    }

    pub fn place(&mut self, held: &Held) -> Place {
        self.router.place(self.now, held)
    }

    /// The server that the command is sent to now.
    pub fn sent(&mut self, held: &mut Held) -> usize {
        match self.place(held) {
            Place::Dispatch { server, .. } => {
                self.put(held, server);
                server
            }
            other => panic!("not sent: {other:?}"),
        }
    }

    /// Notes in the command's history that it went to this server now.
    pub fn put(&self, held: &mut Held, server: usize) {
        held.dispatches.push(Dispatch { server, sent: self.now, ended: None });
    }

    /// How many of so many new commands are sent now.
    pub fn taken(&mut self, command_group: usize, count: usize) -> usize {
        let sent = (0..count).filter(|_| {
            let held = self.command(command_group);
            matches!(self.place(&held), Place::Dispatch { .. })
        });
        sent.count()
    }

    /// So many commands of this group are answered in so long each: how many each member got.
    pub fn answered(&mut self, command_group: usize, count: usize, took: Micros) -> Vec<usize> {
        let mut seen = vec![0; self.entries.len()];
        for _ in 0..count {
            let mut held = self.command(command_group);
            seen[self.sent(&mut held)] += 1;
            self.end(&mut held, Ending::Answered, took);
        }
        seen
    }

    /// The command's last dispatch ends so, after `took`.
    pub fn end(&mut self, held: &mut Held, ending: Ending, took: Micros) {
        self.now += took;
        self.end_one(held, held.dispatches.len() - 1, ending, took);
    }

    /// One of its dispatches ends so now, having taken `took`.
    pub fn end_one(&mut self, held: &mut Held, dispatch: usize, ending: Ending, took: Micros) {
        held.dispatches[dispatch].ended = Some(ending);
        let over = ending == Ending::Answered;
        let outcome = Outcome { dispatch, ending, took, over, stated: Report::default(), report: None };
        self.router.after(self.now, held, &outcome);
    }
}

/// Stand-ins for servers, discovery and clients, written from the public protocols, and a gateway between them.
pub mod sockets {
    use std::io::{Read, Write};
    use std::net::{SocketAddr, TcpListener, TcpStream};
    use std::path::PathBuf;
    use std::process::{Child, Command, Stdio};
    use std::sync::atomic::{AtomicUsize, Ordering};
    use std::sync::{Arc, Mutex, mpsc};
    use std::thread;
    use std::time::{Duration, Instant};

    /// No wait of a test is longer.
    pub const BOUND: Duration = Duration::from_secs(20);

    /// Asks until it is so.
    pub fn until(what: &str, mut so: impl FnMut() -> bool) {
        let began = Instant::now();
        while !so() {
            assert!(began.elapsed() < BOUND, "waited too long for {what}");
            thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
        let mut out = vec![kind];
        out.extend((body.len() as u32 + 4).to_be_bytes());
        out.extend(body);
        out
    }

    /// An answer of one row.
    pub fn answer(value: &[u8]) -> Vec<u8> {
        let column = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat();
        let columns = b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";
        [message(b'T', columns), message(b'D', &column), message(b'C', b"SELECT 1\0")].concat()
    }

    fn read_message(stream: &mut TcpStream, with_kind: bool) -> Option<(u8, Vec<u8>)> {
        let mut head = vec![0; if with_kind { 5 } else { 4 }];
        stream.read_exact(&mut head).ok()?;
        let length = u32::from_be_bytes(head[head.len() - 4..].try_into().ok()?) as usize;
        let mut body = vec![0; length.checked_sub(4)?];
        stream.read_exact(&mut body).ok()?;
        Some((head[0], body))
    }

    /// What a server does with a statement.
    #[derive(Clone)]
    pub enum Does {
        Answers(Vec<u8>),
        Errs(&'static str),
        /// Ends the connection without a word.
        Breaks,
        /// Answers after a while.
        AnswersLate(Vec<u8>, Duration),
        Says(Vec<u8>),
        /// Answers, then ends the connection; every other new one is ended before its startup.
        AnswersOnce(Vec<u8>),
    }

    /// A server with what it was asked so far; it keeps to its script and then repeats the last line of it.
    pub struct Server {
        pub address: SocketAddr,
        asked: Arc<Mutex<Vec<String>>>,
        probes: Arc<AtomicUsize>,
    }

    impl Server {
        pub fn start(primary: bool, script: Vec<Does>) -> Self {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("an address");
            let asked = Arc::new(Mutex::new(Vec::new()));
            let probes = Arc::new(AtomicUsize::new(0));
            let (noted, counted) = (asked.clone(), probes.clone());
            thread::spawn(move || {
                for (place, stream) in listener.incoming().flatten().enumerate() {
                    if place % 2 == 1 && matches!(script[..], [Does::AnswersOnce(_)]) {
                        continue;
                    }
                    let (noted, counted, script) = (noted.clone(), counted.clone(), script.clone());
                    thread::spawn(move || Server::talk(stream, primary, &script, &noted, &counted));
                }
            });
            Server { address, asked, probes }
        }

        fn talk(
            mut stream: TcpStream,
            primary: bool,
            script: &[Does],
            asked: &Mutex<Vec<String>>,
            probes: &AtomicUsize,
        ) -> Option<()> {
            read_message(&mut stream, false)?;
            let ready = message(b'Z', b"I");
            stream.write_all(&[message(b'R', &[0; 4]), ready.clone()].concat()).ok()?;
            loop {
                let (_, body) = read_message(&mut stream, true)?;
                let status = if primary { &b"recovery\0off\0"[..] } else { b"recovery\0on\0" };
                if body == b"SHOW health\0" {
                    probes.fetch_add(1, Ordering::SeqCst);
                    stream.write_all(&[answer(b"x0=0"), ready.clone()].concat()).ok()?;
                    continue;
                }
                let place = {
                    let mut asked = asked.lock().expect("the notes");
                    asked.push(String::from_utf8_lossy(&body).into());
                    asked.len() - 1
                };
                let said = match script.get(place).or(script.last())? {
                    Does::Answers(value) => answer(value),
                    Does::AnswersLate(value, after) => {
                        thread::sleep(*after);
                        answer(value)
                    }
                    Does::Errs(code) => message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes()),
                    Does::Breaks => return None,
                    Does::Says(bytes) => bytes.clone(),
                    Does::AnswersOnce(value) => {
                        let _ = stream.write_all(&[answer(value), message(b'S', status), ready].concat());
                        return None;
                    }
                };
                stream.write_all(&[said, message(b'S', status), ready.clone()].concat()).ok()?;
            }
        }

        pub fn probes(&self) -> usize {
            self.probes.load(Ordering::SeqCst)
        }

        pub fn asked(&self) -> Vec<String> {
            self.asked.lock().expect("the notes").clone()
        }
    }

    pub fn entry(host: &str, address: SocketAddr, health: &str, primary: bool) -> String {
        let recovery = if primary { "off" } else { "on" };
        format!(
            r#"{{"host":"{host}","dial":"{address}","site":"a","class":"t","block":2,"health":"{health}",
            "share":1.0,"born_ms":0,"recovery":"{recovery}"}}"#
        )
    }

    pub fn list(version: u64, whole: bool, entries: &[String]) -> String {
        format!(r#"{{"seq":{version},"whole":{whole},"hosts":[{}]}}"#, entries.join(",")).replace('\n', "")
    }

    /// Discovery: tells the list that it was given, then each change in a watch, in chunks split anywhere.
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
                    let _ =
                        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len());
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

    pub struct Gateway {
        pub address: SocketAddr,
        child: Child,
        config: PathBuf,
    }

    impl Gateway {
        /// Starts the program as `run` would, on a port that was free a moment ago, and waits until it serves.
        pub fn start(program: &str, discovery: SocketAddr) -> Self {
            let free = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port");
            let path = std::env::temp_dir().join(format!("tansyjunction-{}.json", free.port()));
            std::fs::write(&path, Gateway::config(free, &discovery.to_string())).expect("a file");
            let child = Command::new(program)
                .args(["serve", "--config"])
                .arg(&path)
                .stderr(Stdio::null())
                .spawn()
                .expect("the program starts");
            until("the listener", || TcpStream::connect(free).is_ok());
            let gateway = Gateway { address: free, child, config: path };
            let mut client = gateway.client();
            assert_eq!(client.query(""), Reply::Empty);
            gateway
        }

        fn config(listen: SocketAddr, discovery: &str) -> String {
            format!(
                r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"2a",
                "limits":{{"sockets":64}},"settings":{SETTINGS}}}"#
            )
        }

        /// Names another discovery in the configuration and has it read anew.
        pub fn reload(&self, discovery: &str) {
            std::fs::write(&self.config, Gateway::config(self.address, discovery)).expect("a file");
            self.signal("HUP");
        }

        pub fn client(&self) -> Client {
            let mut stream = TcpStream::connect(self.address).expect("the gateway listens");
            stream.set_read_timeout(Some(BOUND)).expect("a bound");
            stream.write_all(START).expect("the startup message");
            let mut client = Client { stream };
            assert_eq!(client.reply(), Reply::Ready);
            client
        }

        pub fn signal(&self, name: &str) {
            let sent = Command::new("sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
            assert!(sent.expect("a shell").success());
        }

        /// Waits for its end; true: it ended well.
        pub fn ended(&mut self) -> bool {
            let mut ended = None;
            until("the end of the gateway", || {
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

    const START: &[u8] = b"\0\0\0\x20\0\x03\0\0user\0svc\0database\0main\0\0";

    const SETTINGS: &str = r#"{"balancers":1,"me":0,"my_zone":"a","localities":["a"],"round":5000000,"categories":[
        {"name":"look","aim":400000000,"hard_limit":1500000000,"effect":"pure","worth":1.0},
        {"name":"once","aim":400000000,"hard_limit":1500000000,"effect":"side_effect","worth":1.0},
        {"name":"keyed","aim":400000000,"hard_limit":1500000000,"effect":"token","window":1000000000}],
        "domain":{"needs_by_class":["eventual","mutate","mutate"],"class_bound":[0,0,0],"guards":"await"},
        "limits":{"max_attempts":4,"probes":true,"cancelling":true,"second_copies":true,"dial_timeout":250000000,
        "conn_idle":15000000000,"retry_after":true,"max_retry_after":1000000000},
        "guarantees":{"drain_grace":1000000000},"telemetry":{"fields":["x0"],"how":"piggyback"}}"#;

    #[derive(Debug, PartialEq)]
    pub enum Reply {
        Ready,
        Empty,
        Value(Vec<u8>),
        /// An error's code, and its field D.
        Error(String, Option<String>),
        /// The connection ended before ReadyForQuery.
        Ended,
    }

    pub struct Client {
        pub stream: TcpStream,
    }

    impl Client {
        pub fn send(&mut self, statement: &str) {
            let _ = self.stream.write_all(&message(b'Q', format!("{statement}\0").as_bytes()));
        }

        pub fn query(&mut self, statement: &str) -> Reply {
            self.send(statement);
            self.reply()
        }

        /// Reads up to the next ReadyForQuery.
        pub fn reply(&mut self) -> Reply {
            let mut reply = Reply::Ready;
            loop {
                let Some((kind, body)) = read_message(&mut self.stream, true) else {
                    return if let Reply::Error(..) = reply { reply } else { Reply::Ended };
                };
                match kind {
                    b'Z' => return reply,
                    b'I' => reply = Reply::Empty,
                    b'D' => reply = Reply::Value(body[6..].to_vec()),
                    b'E' => {
                        let fields: Vec<String> =
                            body.split(|b| *b == 0).map(|f| String::from_utf8_lossy(f).into()).collect();
                        let field =
                            |name: char| fields.iter().find_map(|f| f.strip_prefix(name)).map(String::from);
                        reply = Reply::Error(field('C').unwrap_or_default(), field('D'));
                    }
                    _ => {}
                }
            }
        }
    }

    pub fn read(id: u32) -> String {
        format!("SELECT v FROM records WHERE k = '7f3a' /* id={id},c=look,d=1500,cluster=2 */")
    }

    pub fn write(id: u32) -> String {
        let values = "INSERT INTO records (k, v) VALUES ('7f3a', '\\x9f03') RETURNING v";
        format!("{values} /* id={id},c=once,d=1500,cluster=2 */")
    }
}
