//! Discovery over HTTP: the whole server list, and the watch for changes.

#[cfg(test)]
mod tests;

use std::net::{SocketAddr, TcpStream};

use serde_json::Value as Json;
use tansyjunction_hosting::ServerList;

use crate::wire::bytes::{Inbox, Outbox, ReadResult};

/// Longest HTTP head, and longest incomplete list.
const MAX_HEAD_BYTES: usize = 16 * 1_024;
const MAX_LIST_BYTES: usize = 4 * 1_024 * 1_024;
/// Deepest nesting of JSON; the parser's limit.
const MAX_NESTING: usize = 128;
/// Most reads of at least 16 KiB per turn, and most lists handled from them.
const READS_PER_TURN: usize = 16;
const LISTS_PER_TURN: usize = 16;

/// Framing of the response body.
enum Body {
    Head,
    /// Bytes left in this chunk including its line end; `None`: a chunk size comes next.
    Chunks(Option<usize>),
    Length(usize),
    /// Until the connection ends.
    Rest,
    Done,
}

/// State of a response after a read.
#[derive(Debug, PartialEq, Eq)]
pub enum ResponseState {
    Open,
    /// More data may be available; others get their turn first.
    More,
    Ended,
}

/// Result of a read.
#[derive(Default)]
pub struct Received {
    /// Whether any data arrived.
    pub bytes: bool,
    /// Complete lists.
    pub lists: Vec<ServerList>,
    /// A complete sign of life: a list, or an empty line between two.
    pub whole: bool,
}

/// A response of discovery: the whole list, or a watch.
pub struct Response {
    follow: bool,
    pub inbox: Inbox,
    pub outbox: Outbox,
    body: Body,
    text: Vec<u8>,
    place: ScanState,
}

impl Response {
    /// Requests the whole list, or the changes `since` a version. Written once the connection is established.
    pub fn new(address: SocketAddr, since: Option<u64>) -> Self {
        let query = since.map_or(String::new(), |since| format!("?follow=1&since={since}"));
        let close = if since.is_none() { "Connection: close\r\n" } else { "" };
        let head = format!(
            "GET /discovery/hosts{query} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n{close}\r\n"
        );
        Response {
            follow: since.is_some(),
            inbox: Inbox::default(),
            outbox: Outbox::with_bytes(head.into_bytes()),
            body: Body::Head,
            text: Vec::new(),
            place: ScanState::default(),
        }
    }

    /// Reads available data up to a turn's limit. What was complete before an error is in `came` nonetheless.
    pub fn read(&mut self, stream: &TcpStream, came: &mut Received) -> Result<ResponseState, String> {
        for _ in 0..READS_PER_TURN {
            let before = self.inbox.rest().len();
            let reading = self.inbox.read(stream, MAX_HEAD_BYTES);
            came.bytes |= self.inbox.rest().len() > before;
            self.take(came)?;
            // Data behind the end of the response would be examined forever.
            if matches!(self.body, Body::Done) {
                return self.ended(came);
            }
            if came.lists.len() >= LISTS_PER_TURN {
                return Ok(ResponseState::More);
            }
            match reading {
                ReadResult::Full => {}
                ReadResult::Drained => return Ok(ResponseState::Open),
                ReadResult::Ended => return self.ended(came),
                // After a reset the list is incomplete, and nothing of the rest is used.
                ReadResult::Reset => return Err("the connection was reset".into()),
            }
        }
        Ok(ResponseState::More)
    }

    /// Handles the end of the connection: a list must end with its body, a watch between two lists.
    fn ended(&mut self, came: &mut Received) -> Result<ResponseState, String> {
        if matches!(self.body, Body::Rest) {
            self.body = Body::Done;
            self.take(came)?;
        }
        let whole = match self.body {
            Body::Done => self.place.open.is_empty(),
            Body::Head => false,
            _ => self.follow && self.place.open.is_empty(),
        };
        if whole { Ok(ResponseState::Ended) } else { Err("it ended before the list was whole".into()) }
    }

    fn take(&mut self, came: &mut Received) -> Result<(), String> {
        loop {
            if self.follow {
                self.lines(came)?;
                if came.lists.len() >= LISTS_PER_TURN {
                    return Ok(());
                }
            }
            let rest = self.inbox.rest();
            let chunked = matches!(self.body, Body::Chunks(_));
            match &mut self.body {
                Body::Head => {
                    let mut headers = [httparse::EMPTY_HEADER; 32];
                    let mut response = httparse::Response::new(&mut headers);
                    let head = match response.parse(rest).map_err(|error| format!("no HTTP: {error}"))? {
                        httparse::Status::Complete(head) => head,
                        httparse::Status::Partial if rest.len() >= MAX_HEAD_BYTES => {
                            return Err("the head is too long".into());
                        }
                        httparse::Status::Partial => return Ok(()),
                    };
                    match response.code {
                        Some(200) => {}
                        // Interim responses precede the final one.
                        Some(100 | 102 | 103) => {
                            self.inbox.consume(head);
                            continue;
                        }
                        other => return Err(format!("status {}", other.unwrap_or(0))),
                    }
                    let value = |name: &str| {
                        let header = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
                        header.and_then(|header| std::str::from_utf8(header.value).ok())
                    };
                    self.body = match (value("transfer-encoding"), value("content-length")) {
                        (Some(coding), _) if coding.trim().eq_ignore_ascii_case("chunked") => {
                            Body::Chunks(None)
                        }
                        (None, Some(length)) => {
                            Body::Length(length.trim().parse().map_err(|_| "the length is no number")?)
                        }
                        (None, None) => Body::Rest,
                        (Some(coding), _) => return Err(format!("transfer coding {coding}")),
                    };
                    self.inbox.consume(head);
                }
                Body::Chunks(None) => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((head, 0))) => {
                        self.inbox.consume(head);
                        self.body = Body::Done;
                    }
                    Ok(httparse::Status::Complete((_, size))) if size > MAX_LIST_BYTES as u64 => {
                        return Err("a chunk is too long".into());
                    }
                    Ok(httparse::Status::Complete((head, size))) => {
                        self.inbox.consume(head);
                        self.body = Body::Chunks(Some(size as usize + 2));
                    }
                    // A line that never ends must not be read forever.
                    Ok(httparse::Status::Partial) if rest.len() >= MAX_HEAD_BYTES => {
                        return Err("a chunk's first line is too long".into());
                    }
                    Ok(httparse::Status::Partial) => return Ok(()),
                    Err(_) => return Err("no chunk size".into()),
                },
                Body::Chunks(Some(0)) => self.body = Body::Chunks(None),
                Body::Length(0) => self.body = Body::Done,
                Body::Chunks(Some(_)) | Body::Length(_) | Body::Rest => {
                    if rest.is_empty() {
                        return Ok(());
                    }
                    let mut count = rest.len();
                    let mut text = count;
                    if let Body::Chunks(Some(left)) | Body::Length(left) = &mut self.body {
                        count = count.min(*left);
                        // The last two bytes of a chunk are its line end.
                        text = if chunked { count.min(left.saturating_sub(2)) } else { count };
                        *left -= count;
                    }
                    self.text.extend_from_slice(&rest[..text]);
                    self.inbox.consume(count);
                    if self.text.len() > MAX_LIST_BYTES {
                        return Err("the list is too long".into());
                    }
                }
                Body::Done => {
                    if !self.follow {
                        came.lists.push(parse(&std::mem::take(&mut self.text))?);
                        came.whole = true;
                    }
                    return Ok(());
                }
            }
        }
    }

    /// A watch sends one list after the other; empty lines between them are signs of life. Lists may be indented over
    /// many lines: each ends where its JSON does.
    fn lines(&mut self, came: &mut Received) -> Result<(), String> {
        let mut taken = 0;
        while came.lists.len() < LISTS_PER_TURN {
            let step = self.place.step(&self.text)?;
            came.whole |= step != ScanStep::Part;
            match step {
                ScanStep::List => came.lists.push(parse(&self.text[taken..self.place.at])?),
                ScanStep::Line => {}
                ScanStep::Part => break,
            }
            taken = self.place.at;
        }
        if self.place.open.is_empty() {
            taken = self.place.at;
        }
        self.text.drain(..taken);
        self.place.at -= taken;
        if self.text.is_empty() {
            self.text = Vec::new();
        }
        Ok(())
    }
}

/// Scan position in a watch's text. Each byte is scanned once, and a list is parsed when its last bracket has
/// arrived, so that a list in many pieces is not parsed repeatedly.
#[derive(Default)]
struct ScanState {
    at: usize,
    /// Closing brackets of the open ones, the innermost last.
    open: Vec<u8>,
    quoted: bool,
    escaped: bool,
}

/// Result of scanning some bytes.
#[derive(PartialEq, Eq)]
enum ScanStep {
    /// A list ends here.
    List,
    /// A line ends here, between two lists.
    Line,
    Part,
}

impl ScanState {
    fn step(&mut self, text: &[u8]) -> Result<ScanStep, String> {
        while let Some(byte) = text.get(self.at) {
            self.at += 1;
            match byte {
                _ if std::mem::take(&mut self.escaped) => {}
                b'\\' if self.quoted => self.escaped = true,
                b'"' if !self.open.is_empty() => self.quoted = !self.quoted,
                0..0x20 if self.quoted => return Err("not JSON: a line ends within quotes".into()),
                _ if self.quoted => {}
                b'{' => self.open.push(b'}'),
                b'\n' if self.open.is_empty() => return Ok(ScanStep::Line),
                b' ' | b'\t' | b'\r' => {}
                _ if self.open.is_empty() => return Err("not JSON: no list begins here".into()),
                b'[' => self.open.push(b']'),
                b'}' | b']' if self.open.pop() != Some(*byte) => {
                    return Err("not JSON: a bracket does not close the one before".into());
                }
                b'}' | b']' if self.open.is_empty() => return Ok(ScanStep::List),
                _ => {}
            }
            if self.open.len() > MAX_NESTING {
                return Err("not JSON: it is nested too deeply".into());
            }
        }
        Ok(ScanStep::Part)
    }
}

fn parse(text: &[u8]) -> Result<ServerList, String> {
    let json: Json = serde_json::from_slice(text).map_err(|error| format!("not JSON: {error}"))?;
    ServerList::parse(&json)
}
