//! Bytes on their way in and out of a socket that never blocks.

use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::TcpStream;

use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Read at a time; also what an idle connection does not keep.
const CHUNK: usize = 16 * 1_024;

/// What a read from a socket came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// Nothing more for now.
    Dry,
    /// The limit is reached; more may be there.
    Full,
    /// The other side has ended.
    Ended,
    /// The connection broke: a reset is no end, what came before it may be a part.
    Broken,
}

/// Whether the other side has ended, also behind bytes that are still unread. Where the system does not tell, it
/// looks as if it went on: then only reading on finds the end.
pub fn has_ended(stream: &TcpStream) -> bool {
    let mut there = [PollFd::new(stream, PollFlags::RDHUP)];
    let told = poll(&mut there, Some(&Timespec::default())).is_ok_and(|count| count > 0);
    told && there[0].revents().contains(PollFlags::RDHUP)
}

/// Bytes read and not used yet.
#[derive(Default)]
pub struct Inbox {
    bytes: Vec<u8>,
    used: usize,
}

impl Inbox {
    pub fn rest(&self) -> &[u8] {
        &self.bytes[self.used..]
    }

    /// How much memory it holds.
    pub fn kept(&self) -> usize {
        self.bytes.capacity()
    }

    /// Gives up the first `count` bytes; an empty box gives its memory back.
    pub fn consume(&mut self, count: usize) {
        // Guards against a sum beyond all: whoever drops all that is left names the greatest count.
        self.used = self.used.saturating_add(count).min(self.bytes.len());
        if self.used == self.bytes.len() {
            (self.bytes, self.used) = (Vec::new(), 0);
        }
    }

    /// Reads what is there, until `most` bytes are kept.
    pub fn read(&mut self, mut stream: &TcpStream, most: usize) -> Reading {
        let mut chunk = [0; CHUNK];
        loop {
            if self.bytes.len() - self.used >= most {
                return Reading::Full;
            }
            match stream.read(&mut chunk) {
                Ok(0) => return Reading::Ended,
                Ok(count) => self.put(&chunk[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Reading::Dry,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Reading::Broken,
            }
        }
    }

    pub fn put(&mut self, bytes: &[u8]) {
        if self.used > 0 {
            self.bytes.drain(..self.used);
            self.used = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }
}

/// Bytes that a socket has not taken yet.
#[derive(Default)]
pub struct Outbox {
    bytes: Vec<u8>,
}

impl Outbox {
    pub fn holding(bytes: Vec<u8>) -> Self {
        Outbox { bytes }
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Writes the parts behind what still waits, in one gathered write where the socket takes it.
    pub fn write(&mut self, mut stream: &TcpStream, parts: &[&[u8]]) -> io::Result<()> {
        let mut slices: Vec<IoSlice> =
            std::iter::once(&self.bytes[..]).chain(parts.iter().copied()).map(IoSlice::new).collect();
        let mut left = &mut slices[..];
        while left.iter().any(|slice| !slice.is_empty()) {
            match stream.write_vectored(left) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => IoSlice::advance_slices(&mut left, count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.bytes = left.iter().flat_map(|slice| slice.iter().copied()).collect();
        Ok(())
    }

    /// Writes on after the socket was full.
    pub fn flush(&mut self, stream: &TcpStream) -> io::Result<()> {
        self.write(stream, &[])
    }
}
