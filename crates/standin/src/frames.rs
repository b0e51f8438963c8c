//! PostgreSQL messages as needed by the stand-ins.

use std::io::{Read, Result, Write};

/// Startup message of a client.
pub const START: &[u8] = b"\0\0\0\x20\0\x03\0\0user\0svc\0database\0main\0\0";

/// Body of an empty query.
const EMPTY_STATEMENT: &[u8] = b"\0";
/// An empty query.
pub const EMPTY_QUERY: &[u8] = b"Q\0\0\0\x05\0";

/// Encodes a message.
pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

/// Encodes a query.
pub fn query(statement: &str) -> Vec<u8> {
    message(b'Q', &[statement.as_bytes(), b"\0"].concat())
}

/// Encodes an answer of one row with one binary column.
pub fn row(value: &[u8]) -> Vec<u8> {
    let column = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat();
    let columns = b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";
    [message(b'T', columns), message(b'D', &column), message(b'C', b"SELECT 1\0")].concat()
}

/// Encodes an ErrorResponse.
pub fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0M{text}\0\0").as_bytes())
}

/// Encodes a ParameterStatus.
pub fn status(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// Reads the next message with its type, or a startup message without one.
pub fn read(stream: &mut impl Read, with_kind: bool) -> Result<(u8, Vec<u8>)> {
    let mut head = vec![0; if with_kind { 5 } else { 4 }];
    stream.read_exact(&mut head)?;
    let length = head[head.len() - 4..].iter().fold(0_usize, |sum, byte| sum << 8 | usize::from(*byte));
    let mut body = vec![0; length.saturating_sub(4).min(1 << 20)];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// The same on a server: the next message of a client that is no empty query. Those are answered at once.
pub fn read_statement(stream: &mut (impl Read + Write)) -> Result<(u8, Vec<u8>)> {
    loop {
        let (kind, body) = read(stream, true)?;
        if (kind, &body[..]) != (b'Q', EMPTY_STATEMENT) {
            return Ok((kind, body));
        }
        stream.write_all(&empty_answer())?;
    }
}

/// Encodes the answer to an empty query.
pub fn empty_answer() -> Vec<u8> {
    [message(b'I', b""), message(b'Z', b"I")].concat()
}

/// The value of a name in a statement's comment.
pub fn named<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = statement.rsplit_once("/*")?.1.split("*/").next()?;
    comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
}
