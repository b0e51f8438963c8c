//! Discovery over HTTP: the whole list of servers, and the watch that keeps it up to date.

#[cfg(test)]
mod tests;

use std::net::{SocketAddr, TcpStream};

use serde_json::Value as Json;
use tansyjunction_hosting::ServerList;

use crate::wire::bytes::{Inbox, Outbox, Reading};

/// Longest head, and longest list kept while it comes in.
const HEAD_MOST: usize = 16 * 1_024;
const LIST_MOST: usize = 4 * 1_024 * 1_024;
/// Lists nested more deeply than the parser takes.
const DEEP_MOST: usize = 128;
/// What is read at a turn, at least 16 KiB each time, and the lists that are taken from it.
const READS_A_TURN: usize = 16;
const LISTS_A_TURN: usize = 16;

/// How the body of an answer is measured out.
enum Body {
    Head,
    /// Bytes left of this chunk, its line end included; None: a chunk's size comes next.
    Chunks(Option<usize>),
    Length(usize),
    /// Until the connection ends.
    Rest,
    Done,
}

/// How an answer stands after a read.
#[derive(Debug, PartialEq, Eq)]
pub enum Stands {
    Open,
    /// It goes on, and more may be there: the others have their turn first.
    More,
    Ended,
}

/// What a read brought.
#[derive(Default)]
pub struct Came {
    /// Anything at all.
    pub bytes: bool,
    /// Lists that are whole.
    pub lists: Vec<ServerList>,
    /// A whole sign of life: a list, or an empty line between two.
    pub whole: bool,
}

/// One answer of discovery on its connection: the whole list, or a watch.
pub struct Answer {
    follow: bool,
    pub inbox: Inbox,
    pub outbox: Outbox,
    body: Body,
    text: Vec<u8>,
    place: Place,
}

impl Answer {
    /// Asks for the whole list, or for what changes `since` a version; written once the connection is there.
    pub fn new(address: SocketAddr, since: Option<u64>) -> Self {
        let query = since.map_or(String::new(), |since| format!("?follow=1&since={since}"));
        let close = if since.is_none() { "Connection: close\r\n" } else { "" };
        let head = format!(
            "GET /discovery/hosts{query} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n{close}\r\n"
        );
        Answer {
            follow: since.is_some(),
            inbox: Inbox::default(),
            outbox: Outbox::holding(head.into_bytes()),
            body: Body::Head,
            text: Vec::new(),
            place: Place::default(),
        }
    }

    /// Reads what is there, up to a turn's share. What was whole before an error is in `came` all the same.
    pub fn read(&mut self, stream: &TcpStream, came: &mut Came) -> Result<Stands, String> {
        for _ in 0..READS_A_TURN {
            let before = self.inbox.rest().len();
            let reading = self.inbox.read(stream, HEAD_MOST);
            came.bytes |= self.inbox.rest().len() > before;
            self.take(came)?;
            // Guards against what stands behind the end, which would be looked at for ever.
            if matches!(self.body, Body::Done) {
                return self.ended(came);
            }
            if came.lists.len() >= LISTS_A_TURN {
                return Ok(Stands::More);
            }
            match reading {
                Reading::Full => {}
                Reading::Dry => return Ok(Stands::Open),
                Reading::Ended => return self.ended(came),
                // Guards against a list that a reset cut short: it is no end, and nothing of the rest is taken.
                Reading::Broken => return Err("the connection was reset".into()),
            }
        }
        Ok(Stands::More)
    }

    /// The answer has ended: a list may only end where its body does, a watch only between two lists.
    fn ended(&mut self, came: &mut Came) -> Result<Stands, String> {
        if matches!(self.body, Body::Rest) {
            self.body = Body::Done;
            self.take(came)?;
        }
        let whole = match self.body {
            Body::Done => self.place.open.is_empty(),
            Body::Head => false,
            _ => self.follow && self.place.open.is_empty(),
        };
        if whole { Ok(Stands::Ended) } else { Err("it ended before the list was whole".into()) }
    }

    fn take(&mut self, came: &mut Came) -> Result<(), String> {
        loop {
            if self.follow {
                self.lines(came)?;
                if came.lists.len() >= LISTS_A_TURN {
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
                        httparse::Status::Partial if rest.len() >= HEAD_MOST => {
                            return Err("the head is too long".into());
                        }
                        httparse::Status::Partial => return Ok(()),
                    };
                    match response.code {
                        Some(200) => {}
                        // Others come before the answer itself.
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
                    Ok(httparse::Status::Complete((_, size))) if size > LIST_MOST as u64 => {
                        return Err("a chunk is too long".into());
                    }
                    Ok(httparse::Status::Complete((head, size))) => {
                        self.inbox.consume(head);
                        self.body = Body::Chunks(Some(size as usize + 2));
                    }
                    // Guards against a line that never ends, which would be read for ever.
                    Ok(httparse::Status::Partial) if rest.len() >= HEAD_MOST => {
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
                        // The last two bytes of a chunk end its line.
                        text = if chunked { count.min(left.saturating_sub(2)) } else { count };
                        *left -= count;
                    }
                    self.text.extend_from_slice(&rest[..text]);
                    self.inbox.consume(count);
                    if self.text.len() > LIST_MOST {
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

    /// A watch brings one list after the other, empty lines between them only tell that it lives. Guards against
    /// lists that come indented, over many lines: each ends where its JSON does.
    fn lines(&mut self, came: &mut Came) -> Result<(), String> {
        let mut taken = 0;
        while came.lists.len() < LISTS_A_TURN {
            let step = self.place.step(&self.text)?;
            came.whole |= step != Step::Part;
            match step {
                Step::List => came.lists.push(parse(&self.text[taken..self.place.at])?),
                Step::Line => {}
                Step::Part => break,
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

/// How far a watch's text was looked through. Guards against a list that is read again with each piece of it: each
/// byte is looked at once, and a list is parsed when its last bracket is there.
#[derive(Default)]
struct Place {
    at: usize,
    /// The brackets that close those that are open, the innermost last.
    open: Vec<u8>,
    quoted: bool,
    escaped: bool,
}

#[derive(PartialEq, Eq)]
enum Step {
    /// A list ends here.
    List,
    /// A line ends here, between two lists.
    Line,
    Part,
}

impl Place {
    fn step(&mut self, text: &[u8]) -> Result<Step, String> {
        while let Some(byte) = text.get(self.at) {
            self.at += 1;
            match byte {
                _ if std::mem::take(&mut self.escaped) => {}
                b'\\' if self.quoted => self.escaped = true,
                b'"' if !self.open.is_empty() => self.quoted = !self.quoted,
                0..0x20 if self.quoted => return Err("not JSON: a line ends within quotes".into()),
                _ if self.quoted => {}
                b'{' => self.open.push(b'}'),
                b'\n' if self.open.is_empty() => return Ok(Step::Line),
                b' ' | b'\t' | b'\r' => {}
                _ if self.open.is_empty() => return Err("not JSON: no list begins here".into()),
                b'[' => self.open.push(b']'),
                b'}' | b']' if self.open.pop() != Some(*byte) => {
                    return Err("not JSON: a bracket does not close the one before".into());
                }
                b'}' | b']' if self.open.is_empty() => return Ok(Step::List),
                _ => {}
            }
            if self.open.len() > DEEP_MOST {
                return Err("not JSON: it is nested too deeply".into());
            }
        }
        Ok(Step::Part)
    }
}

fn parse(text: &[u8]) -> Result<ServerList, String> {
    let json: Json = serde_json::from_slice(text).map_err(|error| format!("not JSON: {error}"))?;
    ServerList::parse(&json)
}
