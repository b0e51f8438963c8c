//! A client on one connection, one command at a time.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::frames::{START, message, read};

/// What a client was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Value(Vec<u8>),
    Empty,
    /// A new try does no harm, best after so long.
    Throttled(Duration),
    Failed(String),
    /// The connection ended first.
    Ended,
}

pub struct Client {
    stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr, patience: Duration) -> std::io::Result<Client> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        stream.write_all(START)?;
        let mut client = Client { stream };
        client.reply();
        Ok(client)
    }

    /// Sends a statement and waits for its answer.
    pub fn ask(&mut self, statement: &str) -> Reply {
        let sent = self.stream.write_all(&message(b'Q', format!("{statement}\0").as_bytes()));
        if sent.is_err() { Reply::Ended } else { self.reply() }
    }

    fn reply(&mut self) -> Reply {
        let mut reply = Reply::Empty;
        loop {
            let Ok((kind, body)) = read(&mut self.stream, true) else { return Reply::Ended };
            match kind {
                b'Z' => return reply,
                b'D' => reply = Reply::Value(body.get(6..).unwrap_or_default().to_vec()),
                b'E' => {
                    let field = |name: u8| {
                        let mut fields = body.split(|byte| *byte == 0);
                        let found = fields.find(|field| field.first() == Some(&name));
                        found.map(|field| String::from_utf8_lossy(&field[1..]).into_owned())
                    };
                    let code = field(b'C').unwrap_or_default();
                    let back = field(b'D').and_then(|millis| millis.parse().ok()).unwrap_or(0);
                    reply = match code.as_str() {
                        "53300" | "57P03" => Reply::Throttled(Duration::from_millis(back)),
                        _ => Reply::Failed(code),
                    };
                }
                _ => {}
            }
        }
    }
}
