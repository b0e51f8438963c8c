//! One logical link, over as many connections as it takes: numbers, acknowledgements, resumption.

use std::collections::VecDeque;

/// What a side says when a connection is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Hello {
    /// A number that its process drew at its start: another one has nothing of what the last one knew.
    pub incarnation: u64,
    /// The other side's incarnation as it knows it, and the last of its numbers that it took in turn.
    pub peer: Option<u64>,
    pub received: u64,
}

/// What the other side's hello means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resumed<T> {
    /// The link goes on: what [`Link::again`] gives is sent again.
    Same,
    /// The other side begins anew, or takes this one for new: nobody knows what became of these.
    New { in_doubt: Vec<T> },
}

/// What became of a frame that came in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Taken<T> {
    New(T),
    /// It was taken before; its acknowledgement was lost.
    Again,
}

/// What no honest peer does; the connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// A number was left out.
    Gap,
    /// An acknowledgement of what was never sent, or of less than before.
    Ack,
    /// More is unacknowledged than the link may keep: the sender must wait.
    Full,
}

/// One side of a link. `T` is what it carries.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Link<T> {
    incarnation: u64,
    peer: Option<u64>,
    /// Sent and not acknowledged, by number.
    sent: VecDeque<(u64, T)>,
    next: u64,
    acked: u64,
    received: u64,
    most: usize,
}

impl<T: Clone> Link<T> {
    /// `most`: how many frames may be unacknowledged.
    pub fn new(incarnation: u64, most: usize) -> Self {
        Link { incarnation, peer: None, sent: VecDeque::new(), next: 1, acked: 0, received: 0, most }
    }

    pub fn hello(&self) -> Hello {
        Hello { incarnation: self.incarnation, peer: self.peer, received: self.received }
    }

    /// A connection is up and the other side has said its hello.
    pub fn resume(&mut self, hello: Hello) -> Result<Resumed<T>, Broken> {
        let same = self.peer == Some(hello.incarnation) && hello.peer == Some(self.incarnation);
        if same {
            self.acked(hello.received)?;
            return Ok(Resumed::Same);
        }
        // Guards against a late hello of before that resets a link which both sides have agreed on: only one that comes
        // on a new connection reaches this, and both sides then begin at one.
        let in_doubt = self.sent.drain(..).map(|(_, body)| body).collect();
        (self.peer, self.next, self.acked, self.received) = (Some(hello.incarnation), 1, 0, 0);
        Ok(Resumed::New { in_doubt })
    }

    /// Numbers what is to be sent, and keeps it until it is acknowledged.
    pub fn send(&mut self, body: T) -> Result<u64, Broken> {
        if self.sent.len() >= self.most {
            return Err(Broken::Full);
        }
        let number = self.next;
        self.next += 1;
        self.sent.push_back((number, body));
        Ok(number)
    }

    /// What is to be sent again after a break, in its order and under its old numbers. `renew` makes it anew first:
    /// time has passed since, and a command that may have run must not be sent as one that did not.
    pub fn again(&mut self, mut renew: impl FnMut(&T) -> T) -> Vec<(u64, T)> {
        for (_, body) in &mut self.sent {
            *body = renew(body);
        }
        self.sent.iter().cloned().collect()
    }

    /// A frame came in.
    pub fn take(&mut self, number: u64, body: T) -> Result<Taken<T>, Broken> {
        if number <= self.received {
            return Ok(Taken::Again);
        }
        if number != self.received + 1 {
            return Err(Broken::Gap);
        }
        self.received = number;
        Ok(Taken::New(body))
    }

    /// The last number taken in turn, to be told to the other side.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// The other side has taken all up to this number.
    pub fn acked(&mut self, number: u64) -> Result<(), Broken> {
        if number >= self.next || number < self.acked {
            return Err(Broken::Ack);
        }
        self.acked = number;
        while self.sent.front().is_some_and(|(sent, _)| *sent <= number) {
            self.sent.pop_front();
        }
        Ok(())
    }

    /// How many frames are unacknowledged.
    pub fn open(&self) -> usize {
        self.sent.len()
    }
}
