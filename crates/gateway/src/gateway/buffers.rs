//! Reservation of memory for long messages and answers: what finds none stays in its socket or is rejected.

use tracing::warn;

use super::Gateway;
use super::commands::final_error;
use crate::memory::buffers::{BufferLimits, BufferUse};
use crate::wire::client::MemoryRequest;

impl Gateway {
    pub(super) fn buffer_limits(&self) -> BufferLimits {
        BufferLimits::new(self.deployment.memory, self.deployment.sockets)
    }

    fn buffer_use(&self) -> BufferUse {
        let mut used = self.clients.buffer_use();
        used.other += self.servers.buffer_bytes();
        used
    }

    /// Reserves memory for a client's message. Without any left, the message is read without being stored, and rejected:
    /// a command that nothing was sent for may be tried again.
    pub(super) fn reserve_message(&mut self, key: u64, request: MemoryRequest) {
        let MemoryRequest { bytes, length } = request;
        let (limits, mut used) = (self.buffer_limits(), self.buffer_use());
        let Some(client) = self.clients.get(key) else { return };
        used.messages -= client.message_memory();
        if limits.admits_message(used, bytes) {
            client.reserve(bytes);
        } else {
            warn!(target: "limits", "no memory left for a client's message of {length} bytes");
            client.skip(length, final_error(self.router.reject_unread()));
        }
    }

    /// Reserves memory for an answer of this many bytes. Without any left, the rest stays in the socket until other
    /// buffers are released or its dispatch times out.
    pub(super) fn reserve_answer(&mut self, key: u64, bytes: usize) -> bool {
        let admitted = self.buffer_limits().admits_answer(self.buffer_use(), bytes);
        let Some(connection) = self.servers.get(key) else { return false };
        if admitted {
            connection.protocol.reserve(bytes);
        } else {
            self.unread_answers.push_back(key);
        }
        admitted
    }

    /// Continues to read the answers that found no memory.
    pub(super) fn read_unread_answers(&mut self) {
        for waiting in (1..=self.unread_answers.len()).rev() {
            let Some(key) = self.unread_answers.pop_front() else { return };
            self.read_connection(key);
            if self.unread_answers.len() >= waiting {
                // It found no memory again.
                return;
            }
        }
    }

    /// Bytes of what a client sent ahead that may be read now, to notice its end.
    pub(super) fn read_ahead(&self) -> usize {
        self.buffer_limits().read_ahead(self.buffer_use())
    }

    /// Whether the rest of a statement that its server's socket has not accepted may be kept.
    pub(super) fn may_keep_unwritten(&self) -> bool {
        let within = self.buffer_limits().admits_answer(self.buffer_use(), 0);
        if !within {
            warn!(target: "limits", "no memory left for a statement that its server does not read");
        }
        within
    }
}
