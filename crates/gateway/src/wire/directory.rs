//! Discovery over HTTP: the whole list of servers, and the watch that keeps it up to date.

use std::net::{SocketAddr, TcpStream};

use serde_json::Value as Json;
use tansyjunction_hosting::List;

use crate::wire::bytes::{Inbox, Outbox, Reading};

/// Longest head, and longest list kept while it comes in.
const HEAD_MOST: usize = 16 * 1_024;
const LIST_MOST: usize = 8 * 1_024 * 1_024;

/// How the body of an answer is measured out.
enum Body {
    Head,
    /// Bytes left of this chunk, its line end included; None: a chunk's size comes next.
    Chunks(Option<usize>),
    Length(usize),
    Done,
}

/// One answer of discovery on its connection: the whole list, or a watch.
pub struct Answer {
    follow: bool,
    pub inbox: Inbox,
    pub outbox: Outbox,
    body: Body,
    text: Vec<u8>,
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
        }
    }

    /// Reads what came. Lists that are whole go to `lists`; true: the answer goes on.
    pub fn read(&mut self, stream: &TcpStream, lists: &mut Vec<List>) -> Result<bool, String> {
        loop {
            let reading = self.inbox.read(stream, HEAD_MOST);
            self.take(lists)?;
            match reading {
                Reading::Full => {}
                Reading::Dry => return Ok(!matches!(self.body, Body::Done)),
                Reading::Ended | Reading::Broken => {
                    if matches!(self.body, Body::Length(usize::MAX)) {
                        self.body = Body::Done;
                        self.take(lists)?;
                    }
                    return Ok(false);
                }
            }
        }
    }

    fn take(&mut self, lists: &mut Vec<List>) -> Result<(), String> {
        loop {
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
                    if response.code != Some(200) {
                        return Err(format!("status {}", response.code.unwrap_or(0)));
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
                        // Until the end of the connection.
                        (None, None) => Body::Length(usize::MAX),
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
                    Ok(httparse::Status::Partial) => return Ok(()),
                    Err(_) => return Err("no chunk size".into()),
                },
                Body::Chunks(Some(left)) | Body::Length(left) if *left > 0 => {
                    if rest.is_empty() {
                        return Ok(());
                    }
                    let count = rest.len().min(*left);
                    // The last two bytes of a chunk end its line.
                    let text = if chunked { count.min(left.saturating_sub(2)) } else { count };
                    self.text.extend_from_slice(&rest[..text]);
                    if *left != usize::MAX {
                        *left -= count;
                    }
                    self.inbox.consume(count);
                    if self.text.len() > LIST_MOST {
                        return Err("the list is too long".into());
                    }
                    self.lines(lists)?;
                }
                Body::Chunks(Some(_)) => self.body = Body::Chunks(None),
                Body::Length(_) => self.body = Body::Done,
                Body::Done => {
                    if !self.text.is_empty() && !self.follow {
                        lists.push(parse(&std::mem::take(&mut self.text))?);
                    }
                    return Ok(());
                }
            }
        }
    }

    /// A watch brings one list after the other, empty lines between them only tell that it lives. Guards against lists that
    /// come indented, over many lines: each ends where its JSON does.
    fn lines(&mut self, lists: &mut Vec<List>) -> Result<(), String> {
        // A list that goes on is not read again with each piece of it, or hardly ever.
        if !self.follow || !self.text.trim_ascii_end().ends_with(b"}") && !self.text.ends_with(b"\n") {
            return Ok(());
        }
        let mut values = serde_json::Deserializer::from_slice(&self.text).into_iter::<Json>();
        let mut taken = 0;
        while let Some(value) = values.next() {
            match value {
                Ok(json) => lists.push(List::read(&json)?),
                Err(error) if error.is_eof() => break,
                Err(error) => return Err(format!("not JSON: {error}")),
            }
            taken = values.byte_offset();
        }
        self.text.drain(..taken);
        if self.text.trim_ascii().is_empty() {
            self.text.clear();
        }
        Ok(())
    }
}

fn parse(text: &[u8]) -> Result<List, String> {
    let json: Json = serde_json::from_slice(text).map_err(|error| format!("not JSON: {error}"))?;
    List::read(&json)
}

#[cfg(test)]
mod tests {
    use super::*;
    use tansyjunction::interface::Standing;

    const ENTRY: &str = r#"{"host":"s1","dial":"127.0.0.1:9","site":"a","class":"t","block":3,"health":"up","share":1.5,
        "born_ms":1767225600123,"recovery":"off"}"#;

    #[test]
    fn a_watch_is_read_the_same_however_it_is_split() {
        let list = |version: u64| {
            format!(r#"{{"seq":{version},"whole":false,"hosts":[{}]}}"#, ENTRY.replace('\n', ""))
        };
        let body = format!("\n{}\n\n{}\n", list(41), list(42));
        let (first, second) = body.split_at(100);
        let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
        let bytes =
            format!("HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n{}{}", chunk(first), chunk(second));
        for split in 0..bytes.len() {
            let mut answer = Answer::new(([127, 0, 0, 1], 9).into(), Some(40));
            let mut lists = Vec::new();
            for part in [&bytes[..split], &bytes[split..]] {
                answer.inbox.put(part.as_bytes());
                answer.take(&mut lists).expect("it parses");
            }
            assert_eq!(
                lists.iter().map(|list| list.version).collect::<Vec<_>>(),
                [41, 42],
                "split at {split}"
            );
            let host = &lists[1].hosts[0];
            assert_eq!((host.group.as_str(), host.size, host.primary), ("3", 1.5, true));
            assert_eq!((host.started, host.standing), (Some(1_767_225_600_123_000), Standing::Serving));
        }
    }

    /// Guards against a watch that takes each line for a list.
    #[test]
    fn an_indented_list_is_read_the_same_however_it_is_split() {
        let text = format!(r#"{{"seq":41,"whole":false,"hosts":[{ENTRY}]}}"#);
        let json: Json = serde_json::from_str(&text).expect("JSON");
        let body = format!("\n{:#}\n\n{json}\n", json).repeat(2);
        let bytes = format!("HTTP/1.1 200 OK\r\n\r\n{body}");
        for split in 0..bytes.len() {
            let mut answer = Answer::new(([127, 0, 0, 1], 9).into(), Some(40));
            let mut lists = Vec::new();
            for part in [&bytes[..split], &bytes[split..]] {
                answer.inbox.put(part.as_bytes());
                answer.take(&mut lists).expect("it parses");
            }
            assert_eq!((lists.len(), lists[3].hosts[0].size), (4, 1.5), "split at {split}");
            assert!(answer.text.is_empty());
        }
        for broken in ["{\"seq\":41,\n\"whole\"\n}\n", "nothing\n", "{}\n"] {
            let mut answer = Answer::new(([127, 0, 0, 1], 9).into(), Some(40));
            answer.inbox.put(format!("HTTP/1.1 200 OK\r\n\r\n{broken}").as_bytes());
            assert!(answer.take(&mut Vec::new()).is_err(), "{broken}");
        }
    }

    #[test]
    fn what_does_not_parse_is_told() {
        let with = |old: &str, new: &str| {
            format!(r#"{{"seq":1,"whole":true,"hosts":[{}]}}"#, ENTRY.replace(old, new))
        };
        let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        for (bytes, part) in [
            (answer(&with("", "")), ""),
            (answer("{}"), "'hosts'"),
            (answer(&with("up", "well")), "'health'"),
            (answer(&with("127.0.0.1:9", "nowhere")), "'dial'"),
            (answer("[["), "JSON"),
            ("HTTP/1.1 503 No\r\n\r\n".into(), "503"),
            ("SSH-2.0\r\n\r\n".into(), "HTTP"),
            ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n".into(), "chunk"),
        ] {
            let mut reading = Answer::new(([127, 0, 0, 1], 9).into(), None);
            reading.inbox.put(bytes.as_bytes());
            let mut lists = Vec::new();
            let said = reading.take(&mut lists).err().unwrap_or_default();
            assert!(said.contains(part) && (part.is_empty() == (lists.len() == 1)), "{bytes}: {said}");
        }
    }
}
