//! A logical link over successive connections: frame numbers, acknowledgements, resumption.

use std::collections::VecDeque;

/// First message of each side on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Hello {
    /// Drawn at the start of the process; another process has none of the earlier state.
    pub incarnation: u64,
    /// The other side's incarnation as known here, and the last frame number received in sequence.
    pub peer: Option<u64>,
    pub received: u64,
}

/// Result of the other side's hello.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resumed<T> {
    /// The link continues; the frames of [`Link::unacknowledged`] are sent again.
    Same,
    /// The other side has restarted, or considers this side restarted: the fate of these frames is unknown.
    New { in_doubt: Vec<T> },
}

/// Result of a received frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received<T> {
    New(T),
    /// A repetition; its acknowledgement was lost.
    Again,
}

/// Protocol violation by the peer; the connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolError {
    /// A frame number is missing.
    Gap,
    /// An acknowledgement of a frame that was not sent, or lower than before.
    Ack,
    /// Too many unacknowledged frames: the sender must wait.
    Full,
}

/// One side of a link that carries `T`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Link<T> {
    incarnation: u64,
    peer: Option<u64>,
    /// Sent frames without acknowledgement, by number.
    sent: VecDeque<(u64, T)>,
    next: u64,
    acked: u64,
    received: u64,
    most: usize,
}

impl<T: Clone> Link<T> {
    /// `most`: limit of unacknowledged frames.
    pub fn new(incarnation: u64, most: usize) -> Self {
        Link { incarnation, peer: None, sent: VecDeque::new(), next: 1, acked: 0, received: 0, most }
    }

    /// The first message on a new connection.
    pub fn hello(&self) -> Hello {
        Hello { incarnation: self.incarnation, peer: self.peer, received: self.received }
    }

    /// Handles the other side's hello on a new connection.
    pub fn resume(&mut self, hello: Hello) -> Result<Resumed<T>, ProtocolError> {
        let same = self.peer == Some(hello.incarnation) && hello.peer == Some(self.incarnation);
        if same {
            self.acknowledge(hello.received)?;
            return Ok(Resumed::Same);
        }
        // Only a hello on a new connection gets here, never a late one of an earlier connection; both sides then start
        // over at number one.
        let in_doubt = self.sent.drain(..).map(|(_, body)| body).collect();
        (self.peer, self.next, self.acked, self.received) = (Some(hello.incarnation), 1, 0, 0);
        Ok(Resumed::New { in_doubt })
    }

    /// Numbers a frame and keeps it until it is acknowledged.
    pub fn send(&mut self, body: T) -> Result<u64, ProtocolError> {
        if self.sent.len() >= self.most {
            return Err(ProtocolError::Full);
        }
        let number = self.next;
        self.next += 1;
        self.sent.push_back((number, body));
        Ok(number)
    }

    /// Frames to send again after a disconnect, in order and under their numbers. `renew` updates each one first:
    /// time has passed, and a command that may have executed must be marked as such.
    pub fn unacknowledged(&mut self, mut renew: impl FnMut(&T) -> T) -> Vec<(u64, T)> {
        for (_, body) in &mut self.sent {
            *body = renew(body);
        }
        self.sent.iter().cloned().collect()
    }

    /// Handles a received frame.
    pub fn receive(&mut self, number: u64, body: T) -> Result<Received<T>, ProtocolError> {
        if number <= self.received {
            return Ok(Received::Again);
        }
        if number != self.received + 1 {
            return Err(ProtocolError::Gap);
        }
        self.received = number;
        Ok(Received::New(body))
    }

    /// Last frame number received in sequence, to be acknowledged.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Handles an acknowledgement of all frames up to this number.
    pub fn acknowledge(&mut self, number: u64) -> Result<(), ProtocolError> {
        if number >= self.next || number < self.acked {
            return Err(ProtocolError::Ack);
        }
        self.acked = number;
        while self.sent.front().is_some_and(|(sent, _)| *sent <= number) {
            self.sent.pop_front();
        }
        Ok(())
    }

    /// Number of unacknowledged frames.
    pub fn unacknowledged_count(&self) -> usize {
        self.sent.len()
    }
}
