//! Responses of discovery, valid and invalid, in pieces.

use std::io::Write;
use std::net::TcpListener;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use super::*;
use tansyjunction::interface::ServerState;

const ENTRY: &str = r#"{"host":"s1","dial":"127.0.0.1:9","site":"a","class":"t","block":3,"health":"up","share":1.5,
    "born_ms":1767225600123,"recovery":"off"}"#;

const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn list(version: u64) -> String {
    format!(r#"{{"seq":{version},"whole":true,"hosts":[{}]}}"#, ENTRY.replace('\n', ""))
}

fn versions(came: &Received) -> Vec<u64> {
    came.lists.iter().map(|list| list.version).collect()
}

/// Both ends of a connection; the gateway's end is non-blocking.
fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let ours = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    ours.set_nonblocking(true).expect("a socket");
    (ours, listener.accept().expect("a connection").0)
}

/// Reads to the end of the response within a limit: fails if reading never ends.
fn read_out(since: Option<u64>, stream: TcpStream) -> (Result<ResponseState, String>, Received) {
    let (done, over) = mpsc::channel();
    std::thread::spawn(move || {
        let mut answer = Response::new(([127, 0, 0, 1], 9).into(), since);
        let mut all = Received::default();
        loop {
            let mut came = Received::default();
            let read = answer.read(&stream, &mut came);
            assert!(came.lists.len() <= LISTS_PER_TURN, "too much at a turn");
            all.lists.extend(came.lists);
            all.whole |= came.whole;
            match read {
                Ok(ResponseState::Open) => std::thread::sleep(Duration::from_millis(1)),
                Ok(ResponseState::More) => {}
                read => return drop(done.send((read, all))),
            }
        }
    });
    over.recv_timeout(Duration::from_secs(20)).expect("it ends")
}

/// An incomplete response must not be used: neither a reset nor an end within a list completes it.
#[test]
fn what_breaks_off_is_not_taken() {
    let list = list(41);
    let half = &list[..list.len() / 2];
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let length =
        |more: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len() + more);
    let watch = format!("{CHUNKED}{}", chunk(&format!("{list}\n")));
    for (since, bytes, reset, well, taken) in [
        (None, format!("{HEAD}{list}"), false, true, 1),
        (None, format!("{HEAD}{list}"), true, false, 0),
        (None, format!("{HEAD}{half}"), false, false, 0),
        (None, length(0), false, true, 1),
        // It was complete before.
        (None, length(0), true, true, 1),
        (None, length(1), false, false, 0),
        (None, length(1), true, false, 0),
        (None, format!("{CHUNKED}{}0\r\n\r\n", chunk(&list)), false, true, 1),
        (None, format!("{CHUNKED}{}", chunk(&list)), false, false, 0),
        (None, format!("{CHUNKED}{}", chunk(&list)), true, false, 0),
        (None, "HTTP/1.1 20".into(), false, false, 0),
        (Some(40), watch.clone(), false, true, 1),
        (Some(40), watch.clone(), true, false, 1),
        (Some(40), format!("{watch}{}", chunk(half)), false, false, 1),
        (Some(40), format!("{watch}{}", chunk(half)), true, false, 1),
        (Some(40), format!("{HEAD}{list}\n"), false, true, 1),
        (Some(40), format!("{HEAD}{list}{half}"), true, false, 1),
        (Some(40), format!("{CHUNKED}{}0\r\n\r\n", chunk(half)), false, false, 0),
    ] {
        let (mut ours, mut theirs) = connection();
        if reset {
            // Closing with unread data resets the connection.
            ours.write_all(b"?").expect("a connection");
            theirs.peek(&mut [0]).expect("a byte");
        }
        theirs.write_all(bytes.as_bytes()).expect("a connection");
        drop(theirs);
        let (read, came) = read_out(since, ours);
        assert_eq!((read.is_ok(), came.lists.len()), (well, taken), "{since:?} {bytes} {read:?}");
    }
}

/// Bytes that are scanned repeatedly and never consumed would block all traffic.
#[test]
fn what_never_ends_is_not_read_for_ever() {
    let junk = "x".repeat(4 * MAX_HEAD_BYTES);
    let list = list(41);
    let length = list.len();
    for (bytes, well) in [
        (format!("{CHUNKED}1;{junk}"), false),
        (format!("HTTP/1.1 200 OK\r\nA: {junk}"), false),
        (format!("{CHUNKED}{length:x}\r\n{list}\r\n0\r\n{junk}"), true),
        (format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{list}{junk}"), true),
    ] {
        let (ours, mut theirs) = connection();
        theirs.write_all(bytes.as_bytes()).expect("a connection");
        let (read, came) = read_out(None, ours);
        assert_eq!((read.is_ok(), came.lists.len()), (well, usize::from(well)), "{}", &bytes[..60]);
    }
}

/// A flood must not monopolise the thread; the rest is handled in later turns, in order.
#[test]
fn each_turn_has_its_bound() {
    let (ours, mut theirs) = connection();
    std::thread::spawn(move || {
        let _ = theirs.write_all(HEAD.as_bytes());
        for version in 41..1_041 {
            let _ = theirs.write_all(format!("\n{}", list(version)).as_bytes());
        }
    });
    let (read, came) = read_out(Some(40), ours);
    assert_eq!((read, versions(&came)), (Ok(ResponseState::Ended), (41..1_041).collect()));
    let (ours, mut theirs) = connection();
    let flood = std::thread::spawn(move || {
        let _ = theirs.write_all(HEAD.as_bytes());
        // It ends when nobody reads on.
        while theirs.write_all(&[b'\n'; 65_536]).is_ok() {}
    });
    let mut answer = Response::new(([127, 0, 0, 1], 9).into(), Some(40));
    let mut turns = 0;
    while turns < 3 {
        let mut came = Received::default();
        match answer.read(&ours, &mut came) {
            Ok(ResponseState::Open) => {}
            Ok(ResponseState::More) => turns += 1,
            other => panic!("{other:?}"),
        }
    }
    drop(ours);
    flood.join().expect("it ends");
}

/// A list parsed again with each piece would take quadratic time.
#[test]
fn a_long_list_in_many_pieces_is_parsed_once() {
    let hosts = vec![ENTRY.replace('\n', "\n\n"); 4_000].join(",\n");
    let text = format!("{{\"seq\":41,\"whole\":true,\"hosts\":[{hosts}]}}\n");
    let began = Instant::now();
    let mut answer = Response::new(([127, 0, 0, 1], 9).into(), Some(40));
    let mut came = Received::default();
    answer.inbox.append(HEAD.as_bytes());
    for part in text.as_bytes().split_inclusive(|byte| *byte == b'\n') {
        answer.inbox.append(part);
        answer.take(&mut came).expect("it parses");
    }
    assert_eq!((came.lists.len(), came.lists[0].servers.len()), (1, 4_000));
    assert!(began.elapsed() < Duration::from_secs(20), "{:?}", began.elapsed());
}

/// Brackets and quotes in strings do not end a list; invalid text is reported at once.
#[test]
fn a_watch_finds_where_its_lists_end() {
    let name = r#""s1\\\"]}{[\\""#;
    let text = list(41).replace("\"s1\"", name);
    let mut answer = Response::new(([127, 0, 0, 1], 9).into(), Some(40));
    let mut came = Received::default();
    answer.inbox.append(format!("{HEAD}{text}{text} \r\n{text}").as_bytes());
    answer.take(&mut came).expect("it parses");
    assert_eq!((came.lists.len(), came.lists[2].servers[0].name.as_str()), (3, "s1\\\"]}{[\\"));
    for (part, signs) in
        [("", false), (" ", false), ("\n", true), ("\r\n", true), ("{", false), ("{\n\n", false)]
    {
        let mut answer = Response::new(([127, 0, 0, 1], 9).into(), Some(40));
        let mut came = Received::default();
        answer.inbox.append(format!("{HEAD}{part}").as_bytes());
        answer.take(&mut came).expect("it may go on");
        assert_eq!(came.whole, signs, "{part:?}");
    }
    for broken in ["x", "4", "\"", "]", "[", "{\"a", "{]", "{\"hosts\":[}", "{\"a\n", &"{\"a\":[".repeat(100)]
    {
        let mut answer = Response::new(([127, 0, 0, 1], 9).into(), Some(40));
        answer.inbox.append(format!("{HEAD}{broken}").as_bytes());
        let told = answer.take(&mut Received::default()).is_err();
        assert_eq!(told, broken != "{\"a", "{broken}");
    }
}

#[test]
fn a_watch_is_read_the_same_however_it_is_split() {
    let list =
        |version: u64| format!(r#"{{"seq":{version},"whole":false,"hosts":[{}]}}"#, ENTRY.replace('\n', ""));
    let body = format!("\n{}\n\n{}\n", list(41), list(42));
    let (first, second) = body.split_at(100);
    let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
    let bytes =
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n{}{}", chunk(first), chunk(second));
    for split in 0..bytes.len() {
        let mut answer = Response::new(([127, 0, 0, 1], 9).into(), Some(40));
        let mut came = Received::default();
        for part in [&bytes[..split], &bytes[split..]] {
            answer.inbox.append(part.as_bytes());
            answer.take(&mut came).expect("it parses");
        }
        let lists = came.lists;
        assert_eq!(lists.iter().map(|list| list.version).collect::<Vec<_>>(), [41, 42], "split at {split}");
        let host = &lists[1].servers[0];
        assert_eq!((host.group.as_str(), host.size, host.primary), ("3", 1.5, true));
        assert_eq!((host.started, host.state), (Some(1_767_225_600_123_000), ServerState::Serving));
    }
}

/// A line of an indented list is not a whole list.
#[test]
fn an_indented_list_is_read_the_same_however_it_is_split() {
    let text = format!(r#"{{"seq":41,"whole":false,"hosts":[{ENTRY}]}}"#);
    let json: Json = serde_json::from_str(&text).expect("JSON");
    let body = format!("\n{:#}\n\n{json}\n", json).repeat(2);
    let bytes = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
    for split in 0..bytes.len() {
        let mut answer = Response::new(([127, 0, 0, 1], 9).into(), Some(40));
        let mut came = Received::default();
        for part in [&bytes[..split], &bytes[split..]] {
            answer.inbox.append(part.as_bytes());
            answer.take(&mut came).expect("it parses");
        }
        let lists = came.lists;
        assert_eq!((lists.len(), lists[3].servers[0].size), (4, 1.5), "split at {split}");
        assert!(answer.text.is_empty());
    }
    for broken in ["{\"seq\":41,\n\"whole\"\n}\n", "nothing\n", "{}\n"] {
        let mut answer = Response::new(([127, 0, 0, 1], 9).into(), Some(40));
        answer.inbox.append(format!("HTTP/1.1 200 OK\r\n\r\n{broken}").as_bytes());
        assert!(answer.take(&mut Received::default()).is_err(), "{broken}");
    }
}

#[test]
fn what_does_not_parse_is_told() {
    let with =
        |old: &str, new: &str| format!(r#"{{"seq":1,"whole":true,"hosts":[{}]}}"#, ENTRY.replace(old, new));
    let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    for (bytes, part) in [
        (answer(&with("", "")), ""),
        (answer("{}"), "'hosts'"),
        (answer(&with("up", "well")), "'health'"),
        (answer(&with("127.0.0.1:9", "nowhere")), "'dial'"),
        (answer("[["), "JSON"),
        (answer(""), "JSON"),
        (answer(&with("1.5", "-1")), "'share'"),
        (answer(&with("1.5", "1e300")), "'share'"),
        (answer(&with("\"s1\"", "7")), "'host'"),
        (answer(&with("", "").replace("\"seq\":1", "\"seq\":-1")), "'seq'"),
        (answer(&with("", "").replace("\"seq\":1", "\"seq\":1.5")), "'seq'"),
        (answer(&with("", "").replace("\"seq\":1", "\"seq\":18446744073709551616")), "'seq'"),
        (answer(&with("", "").replace("\"seq\":1", "\"seq\":18446744073709551615")), ""),
        (answer(&with("", "").replace("\"seq\":1,", "")), "'seq'"),
        (answer(&with("", "").replace("\"seq\":1", "\"seq\":9,\"seq\":1")), ""),
        (answer(&format!("{}{}", "[".repeat(1_000_000), "]".repeat(1_000_000))), "recursion"),
        (answer(&format!("{} {}", with("", ""), with("", ""))), "JSON"),
        (format!("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n{}", answer(&with("", ""))), ""),
        ("HTTP/1.1 101 Other\r\n\r\n".into(), "101"),
        ("HTTP/1.1 301 There\r\nLocation: /x\r\n\r\n".into(), "301"),
        ("HTTP/1.1 500 No\r\n\r\n".into(), "500"),
        ("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n".into(), "length"),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n".into(), "gzip"),
        (format!("HTTP/1.1 200 OK\r\nA: {}", "x".repeat(MAX_HEAD_BYTES)), "head is too long"),
        (format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(MAX_LIST_BYTES + 1)), "list is too long"),
        (format!("{}1;{}", CHUNKED, "x".repeat(MAX_HEAD_BYTES)), "first line is too long"),
        (format!("{CHUNKED}400001\r\n"), "chunk is too long"),
        (format!("{CHUNKED}11111111111111111\r\n"), "chunk size"),
        ("HTTP/1.1 503 No\r\n\r\n".into(), "503"),
        ("SSH-2.0\r\n\r\n".into(), "HTTP"),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n".into(), "chunk"),
    ] {
        let mut reading = Response::new(([127, 0, 0, 1], 9).into(), None);
        reading.inbox.append(bytes.as_bytes());
        let mut came = Received::default();
        let said = reading.take(&mut came).err().unwrap_or_default();
        assert!(said.contains(part) && (part.is_empty() == (came.lists.len() == 1)), "{bytes}: {said}");
    }
}
