//! Limits on the memory of the buffers of all connections. What exceeds them stays in the sockets or is rejected.

/// Share of the process's memory that all buffers may use together.
const TOTAL_DIVISOR: usize = 2;
/// Share that messages of clients may use; the rest of the total stays free for their answers.
const MESSAGE_DIVISOR: usize = 4;
/// Share that bytes sent ahead of their turn may use.
const AHEAD_DIVISOR: usize = 16;
/// Share that the unreserved bytes of all connections may use.
const UNRESERVED_DIVISOR: usize = 32;
/// Bounds of the unreserved bytes of a connection. The lower one holds the header of any message.
const MIN_UNRESERVED_BYTES: usize = 64;
const MAX_UNRESERVED_BYTES: usize = 4 * 1_024;

/// Memory in use by the buffers of all connections, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BufferUse {
    /// Messages of clients.
    pub messages: usize,
    /// Answers of servers, and whatever the sockets have not accepted yet.
    pub other: usize,
}

/// Limits on the memory of all buffers, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct BufferLimits {
    memory: usize,
    sockets: usize,
}

impl BufferLimits {
    /// Limits for a process that may use `memory` bytes and `sockets` descriptors.
    pub fn new(memory: usize, sockets: usize) -> Self {
        BufferLimits { memory, sockets }
    }

    /// Bytes that any connection may buffer without a reservation. Enough for most commands and answers, and little
    /// on all connections together.
    pub fn unreserved(&self) -> usize {
        let share = self.memory / UNRESERVED_DIVISOR / self.sockets.max(1);
        share.clamp(MIN_UNRESERVED_BYTES, MAX_UNRESERVED_BYTES)
    }

    /// Whether `bytes` may be reserved for a client's message.
    pub fn admits_message(&self, used: BufferUse, bytes: usize) -> bool {
        used.messages + bytes <= self.memory / MESSAGE_DIVISOR && self.admits_answer(used, bytes)
    }

    /// Whether `bytes` may be reserved for a server's answer, or for the rest of a statement.
    pub fn admits_answer(&self, used: BufferUse, bytes: usize) -> bool {
        used.messages + used.other + bytes <= self.memory / TOTAL_DIVISOR
    }

    /// Bytes that may be read ahead of their turn on one connection.
    pub fn read_ahead(&self, used: BufferUse) -> usize {
        (self.memory / AHEAD_DIVISOR).saturating_sub(used.messages)
    }
}

#[cfg(test)]
mod tests;
