//! Buffers for non-blocking sockets.

use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::TcpStream;

use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Bytes per read.
const CHUNK_BYTES: usize = 16 * 1_024;

/// Most bytes by which a buffer grows beyond what it is given.
const MAX_GROWTH_BYTES: usize = 4 * 1_024;

/// Result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// No more data for now.
    Drained,
    /// The limit is reached; more data may be available.
    Full,
    /// The other side has shut down.
    Ended,
    /// The connection was reset: the data before may be incomplete.
    Reset,
}

/// Whether the other side has shut down, possibly behind unread data. Where the system cannot tell, false: then only
/// reading finds the end.
pub fn has_ended(stream: &TcpStream) -> bool {
    let mut there = [PollFd::new(stream, PollFlags::RDHUP)];
    let told = poll(&mut there, Some(&Timespec::default())).is_ok_and(|count| count > 0);
    told && there[0].revents().contains(PollFlags::RDHUP)
}

/// Received bytes that are not consumed yet.
#[derive(Default)]
pub struct Inbox {
    bytes: Vec<u8>,
    used: usize,
}

impl Inbox {
    /// The unconsumed bytes.
    pub fn rest(&self) -> &[u8] {
        &self.bytes[self.used..]
    }

    /// Memory used in bytes.
    pub fn memory(&self) -> usize {
        self.bytes.capacity()
    }

    /// Removes the first `count` bytes, and releases memory that the rest does not need.
    pub fn consume(&mut self, count: usize) {
        // Dropping all that is left is requested with the largest count, which must not overflow.
        self.used = self.used.saturating_add(count).min(self.bytes.len());
        if self.rest().len() <= self.bytes.capacity() / 2 {
            (self.bytes, self.used) = (self.rest().to_vec(), 0);
        }
    }

    /// Makes room for `total` bytes at once, so that reading them takes no more memory than that.
    pub fn reserve(&mut self, total: usize) {
        let missing = total.saturating_sub(self.rest().len());
        self.bytes.drain(..self.used);
        self.used = 0;
        self.bytes.reserve_exact(missing);
    }

    /// Reads available data until `most` bytes are stored.
    pub fn read(&mut self, stream: &TcpStream, most: usize) -> ReadResult {
        let room = most.saturating_sub(self.rest().len());
        read_chunks(stream, room, |bytes| self.append(bytes))
    }

    /// Appends bytes.
    pub fn append(&mut self, bytes: &[u8]) {
        if self.used > 0 {
            self.bytes.drain(..self.used);
            self.used = 0;
        }
        // Doubling would take twice the memory of a long message for a few bytes behind it.
        if self.bytes.capacity() - self.bytes.len() < bytes.len() {
            self.bytes.reserve_exact(bytes.len().max(self.bytes.len().min(MAX_GROWTH_BYTES)));
        }
        self.bytes.extend_from_slice(bytes);
    }
}

/// Reads up to `most` available bytes and passes them on.
fn read_chunks(mut stream: &TcpStream, most: usize, mut pass_on: impl FnMut(&[u8])) -> ReadResult {
    let mut chunk = [0; CHUNK_BYTES];
    let mut left = most;
    while left > 0 {
        match stream.read(&mut chunk[..left.min(CHUNK_BYTES)]) {
            Ok(0) => return ReadResult::Ended,
            Ok(count) => {
                pass_on(&chunk[..count]);
                left -= count;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadResult::Drained,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return ReadResult::Reset,
        }
    }
    ReadResult::Full
}

/// Reads up to `most` available bytes without storing them, and returns their number.
pub fn discard(stream: &TcpStream, most: usize) -> (usize, ReadResult) {
    let mut count = 0;
    let result = read_chunks(stream, most, |bytes| count += bytes.len());
    (count, result)
}

/// Bytes that the socket has not accepted yet.
#[derive(Default)]
pub struct Outbox {
    bytes: Vec<u8>,
}

impl Outbox {
    /// Starts with bytes to be written.
    pub fn with_bytes(bytes: Vec<u8>) -> Self {
        Outbox { bytes }
    }

    /// Whether everything was written.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Memory used in bytes.
    pub fn memory(&self) -> usize {
        self.bytes.capacity()
    }

    /// Writes the parts after the pending bytes, with one vectored write if the socket accepts it.
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
        let rest: Vec<&[u8]> = left.iter().map(|slice| &slice[..]).collect();
        self.bytes = rest.concat();
        Ok(())
    }

    /// Continues writing after the socket was full.
    pub fn flush(&mut self, stream: &TcpStream) -> io::Result<()> {
        self.write(stream, &[])
    }
}

#[cfg(test)]
mod tests;
