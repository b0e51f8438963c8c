//! Test client on one connection, with one command at a time.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::frames::{START, query, read};

/// Answer to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Only ReadyForQuery, as after the startup.
    Ready,
    Empty,
    Value(Vec<u8>),
    /// SQLSTATE of an error, and its field D.
    Error(String, Option<String>),
    /// The connection ended before ReadyForQuery.
    Ended,
}

impl Reply {
    /// Whether a retry is harmless.
    pub fn throttled(&self) -> bool {
        matches!(self, Reply::Error(code, _) if code == "53300" || code == "57P03")
    }
}

/// A connected client.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    /// Connects and waits until the server is ready; `patience` limits the wait for each answer.
    pub fn connect(address: SocketAddr, patience: Duration) -> std::io::Result<Client> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        stream.write_all(START)?;
        let mut client = Client { stream };
        match client.reply() {
            Reply::Ready => Ok(client),
            other => Err(std::io::Error::other(format!("{other:?}"))),
        }
    }

    /// Sends a statement without waiting.
    pub fn send(&mut self, statement: &str) {
        let _ = self.stream.write_all(&query(statement));
    }

    /// Sends a statement and waits for its answer.
    pub fn ask(&mut self, statement: &str) -> Reply {
        self.send(statement);
        self.reply()
    }

    /// Reads up to the next ReadyForQuery.
    pub fn reply(&mut self) -> Reply {
        let mut reply = Reply::Ready;
        loop {
            let Ok((kind, body)) = read(&mut self.stream, true) else {
                return if let Reply::Error(..) = reply { reply } else { Reply::Ended };
            };
            match kind {
                b'Z' => return reply,
                b'I' => reply = Reply::Empty,
                b'D' => reply = Reply::Value(body.get(6..).unwrap_or_default().to_vec()),
                b'E' => {
                    let field = |name: u8| {
                        let mut fields = body.split(|byte| *byte == 0);
                        let found = fields.find(|field| field.first() == Some(&name));
                        found.map(|field| String::from_utf8_lossy(&field[1..]).into_owned())
                    };
                    reply = Reply::Error(field(b'C').unwrap_or_default(), field(b'D'));
                }
                _ => {}
            }
        }
    }
}
