//! A client's connection: its messages one after the other, and the answers to them.

use std::collections::VecDeque;
use std::net::TcpStream;
use std::ops::Range;
use std::rc::Rc;

use calloop::RegistrationToken;
use tansyjunction::interface::Micros;
use tansyjunction_hosting::Timer;

use crate::wire::bytes::{Inbox, Outbox, Reading, has_ended};
use crate::wire::frames;

/// A value of 64 KiB in hexadecimal, with its statement.
pub const MESSAGE_MOST: usize = 2 * 65_536 + 4_096;
/// Beyond this a length is taken for lost framing and not skipped.
const SKIP_MOST: usize = 64 * 1_024 * 1_024;
/// Read beyond the command in hand, to notice that its client leaves; the rest waits in the socket. The larger figure
/// holds while there is room: it finds an end behind what was sent ahead, on any system.
const AHEAD: usize = 4_096;
const AHEAD_MOST: usize = 512 * 1_024;
/// Longest startup message, as PostgreSQL has it.
const OPENING_MOST: usize = 10_000;
/// How long a startup or a message may take to come in whole: far longer than a slow client's, and short enough that
/// silent ones by the hundred hold their descriptors for a moment only.
const WHOLE_WITHIN: Micros = 2_500_000;
/// The same for an overlong message that is skipped, which keeps coming.
const SKIPPED_WITHIN: Micros = 5_000_000;
/// How long a client may leave an answer unread.
const READ_WITHIN: Micros = 10_000_000;
/// How long a connection that was ended here waits for the other side's end.
pub const LINGER: Micros = 1_000_000;

const STARTUP: u32 = 196_608;
const SSL: u32 = 80_877_103;
const GSS: u32 = 80_877_104;

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Opening,
    Open,
    /// Nothing more is answered; the connection ends once the client has ended its side.
    Closing,
}

/// The command in hand; its message stays at the front of the inbox until it is over.
pub struct InHand {
    pub command: u64,
    pub id: String,
    pub length: usize,
    pub wait_at: Range<usize>,
}

/// What the next message asks for.
pub enum Next {
    /// It has not come in whole.
    Wait,
    /// It was answered here.
    Answered,
    /// It was the startup.
    Opened,
    /// A query of so many bytes stands at the front.
    Query(usize),
    /// The connection is of no more use.
    Close,
}

pub struct Client {
    pub stream: Rc<TcpStream>,
    pub token: RegistrationToken,
    pub inbox: Inbox,
    /// How many bytes of the inbox came when, the first ones first.
    came: VecDeque<(usize, Micros)>,
    pub outbox: Outbox,
    phase: Phase,
    pub in_hand: Option<InHand>,
    /// Bytes of an overlong message still to be dropped.
    skip: usize,
    /// After an error in the extended protocol, until Sync.
    until_sync: bool,
    /// What stands at the front came in whole and waits for the gateway.
    kept: bool,
    /// More may wait in the socket than was read.
    more: bool,
    /// When it last had a command in hand, or came.
    pub used: Micros,
    /// Messages taken so far, and until when what it is in the middle of may go on.
    taken: u64,
    minded: Option<(Micros, u64)>,
    pub limit: Timer,
}

impl Client {
    pub fn new(stream: Rc<TcpStream>, token: RegistrationToken, now: Micros) -> Self {
        Client {
            stream,
            token,
            inbox: Inbox::default(),
            came: VecDeque::new(),
            outbox: Outbox::default(),
            phase: Phase::Opening,
            in_hand: None,
            skip: 0,
            until_sync: false,
            kept: false,
            more: false,
            used: now,
            taken: 0,
            minded: None,
            limit: Timer::default(),
        }
    }

    /// Without a command, and with nothing begun.
    pub fn is_idle(&self) -> bool {
        self.in_hand.is_none() && self.inbox.rest().is_empty() && self.outbox.is_empty()
    }

    /// What came in whole waits until the gateway serves.
    pub fn is_kept(&self) -> bool {
        self.kept
    }

    /// Its connection was ended here.
    pub fn is_closing(&self) -> bool {
        self.phase == Phase::Closing
    }

    /// Without a startup, and none that came in whole.
    pub fn is_silent(&self) -> bool {
        let opening = frames::opening(self.inbox.rest(), OPENING_MOST);
        self.phase == Phase::Opening && matches!(opening, Ok(None))
    }

    /// What it is in the middle of, told by how long that may take and by the messages before it.
    fn in_the_middle(&self) -> Option<(Micros, u64)> {
        let within = match self.phase {
            Phase::Closing if self.outbox.is_empty() => LINGER,
            _ if self.in_hand.is_some() || self.kept => return None,
            _ if !self.outbox.is_empty() => READ_WITHIN,
            _ if self.skip > 0 => SKIPPED_WITHIN,
            Phase::Open if self.inbox.rest().is_empty() => return None,
            _ => WHOLE_WITHIN,
        };
        Some((within, self.taken))
    }

    /// When it is to be given up, where that changed. Guards against clients that never finish what they began.
    pub fn mind(&mut self) -> Option<Option<Micros>> {
        let middle = self.in_the_middle();
        let changed = std::mem::replace(&mut self.minded, middle) != middle;
        changed.then(|| middle.map(|(within, _)| within))
    }

    /// Reads what is there; false: the client has ended. One that ends its side right behind a whole command has gone
    /// too: by the protocol's page a client stays for as long as it waits, and what it sent before is not answered.
    pub fn read(&mut self, now: Micros) -> bool {
        // Guards against clients that send ahead or do not read, whose bytes would fill the memory.
        let most = match &self.in_hand {
            Some(in_hand) => in_hand.length + AHEAD,
            None if !self.outbox.is_empty() => AHEAD,
            None => MESSAGE_MOST + frames::HEAD,
        };
        self.read_until(now, most)
    }

    /// Whether the last reading left something in the socket; what is dropped is not minded.
    pub fn leaves_unread(&self) -> bool {
        self.more && self.phase != Phase::Closing
    }

    /// Looks for the end behind what [`Client::read`] left unread, reading on where there is `room`; false: the
    /// client has ended. Guards against attempts for a client that left behind what it had sent ahead.
    pub fn looks_ahead(&mut self, now: Micros, room: bool) -> bool {
        let in_hand = self.in_hand.as_ref().filter(|_| room);
        let most = in_hand.map(|in_hand| in_hand.length + AHEAD_MOST);
        most.is_none_or(|most| self.read_until(now, most)) && !(self.more && has_ended(&self.stream))
    }

    fn read_until(&mut self, now: Micros, most: usize) -> bool {
        let before = self.inbox.rest().len();
        let reading = self.inbox.read(&self.stream, most);
        self.note_came(self.inbox.rest().len() - before, now);
        self.more = reading == Reading::Full;
        if self.phase == Phase::Closing {
            self.drop_front(usize::MAX);
        }
        !matches!(reading, Reading::Ended | Reading::Broken)
    }

    /// Takes the next message; commands once the gateway `takes` them, empty queries once it is `ready`.
    pub fn next(&mut self, now: Micros, takes: bool, ready: bool) -> Next {
        self.kept = false;
        if self.phase == Phase::Closing {
            return self.wait(now);
        }
        if self.in_hand.is_some() || !self.outbox.is_empty() {
            return Next::Wait;
        }
        if self.skip > 0 {
            let count = self.skip.min(self.inbox.rest().len());
            self.skip -= count;
            self.drop_front(count);
            if self.skip > 0 {
                return self.wait(now);
            }
            self.taken += 1;
            return self
                .answer(&[&frames::error("ERROR", "54000", "the message is too long", None), frames::READY]);
        }
        if self.phase == Phase::Opening {
            return self.opening(now);
        }
        let (kind, length) = match frames::first(self.inbox.rest(), MESSAGE_MOST) {
            Ok(Some(first)) => first,
            Ok(None) => return self.wait(now),
            Err(Some(length)) if length <= SKIP_MOST => {
                self.skip = length;
                return Next::Answered;
            }
            Err(_) => return self.refuse("08P01", "the length of a message makes no sense"),
        };
        let blank = |body: &[u8]| {
            let text = body.strip_suffix(b"\0");
            text.is_some_and(|text| text.iter().all(|b| b.is_ascii_whitespace() || *b == b';'))
        };
        match kind {
            b'Q' if blank(&self.inbox.rest()[frames::HEAD..length]) => {
                if !ready {
                    return self.keep();
                }
                self.consume(length);
                self.answer(&[frames::EMPTY_QUERY, frames::READY])
            }
            b'Q' if !takes => self.keep(),
            b'Q' => Next::Query(length),
            b'X' => Next::Close,
            b'S' => {
                self.consume(length);
                self.until_sync = false;
                self.answer(&[frames::READY])
            }
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'F' => {
                self.consume(length);
                if std::mem::replace(&mut self.until_sync, kind != b'F') {
                    return Next::Answered;
                }
                let error = frames::error("ERROR", "0A000", "only simple queries are served", None);
                self.answer(&[&error, if kind == b'F' { frames::READY } else { b"" }])
            }
            _ => self.refuse("08P01", "a message of an unknown type"),
        }
    }

    /// The message at the front is done with.
    pub fn consume(&mut self, length: usize) {
        self.drop_front(length);
        self.taken += 1;
    }

    fn note_came(&mut self, count: usize, now: Micros) {
        match self.came.back_mut() {
            // Bounded by the bytes kept and by time: what comes byte by byte is noted by the millisecond.
            Some((bytes, at)) if now < *at + 1_000 => *bytes += count,
            _ if count > 0 => self.came.push_back((count, now)),
            _ => {}
        }
    }

    fn drop_front(&mut self, count: usize) {
        self.inbox.consume(count);
        let mut left = count;
        while let Some((bytes, _)) = self.came.front_mut() {
            if *bytes > left {
                *bytes -= left;
                return;
            }
            left -= *bytes;
            self.came.pop_front();
        }
    }

    /// When the last byte of the message at the front came. Guards against requests that wait behind others on their
    /// connection and are then given all of their time once more: their clients leave before that.
    pub fn came(&self, length: usize) -> Option<Micros> {
        let mut bytes = 0;
        let whole = |(count, _): &&(usize, Micros)| {
            bytes += count;
            bytes >= length
        };
        self.came.iter().find(whole).map(|(_, at)| *at)
    }

    /// What came in whole waits. Guards against a first empty query that is told to have come too late.
    fn keep(&mut self) -> Next {
        self.kept = true;
        Next::Wait
    }

    /// Waits for more, which may already be in the socket.
    fn wait(&mut self, now: Micros) -> Next {
        if !self.more {
            return Next::Wait;
        }
        if self.read(now) { Next::Answered } else { Next::Close }
    }

    fn opening(&mut self, now: Micros) -> Next {
        match frames::opening(self.inbox.rest(), OPENING_MOST) {
            Ok(None) => self.wait(now),
            Ok(Some((SSL | GSS, length))) => {
                self.consume(length);
                self.answer(&[b"N"])
            }
            Ok(Some((STARTUP, length))) => {
                self.consume(length);
                self.phase = Phase::Open;
                match self.answer(&[frames::WELCOME, frames::READY]) {
                    Next::Close => Next::Close,
                    _ => Next::Opened,
                }
            }
            Ok(Some((code, _))) if code >> 16 == 3 => self.refuse("0A000", "only protocol 3.0 is served"),
            // Cancel requests come on connections of their own and are not answered.
            Ok(Some(_)) => Next::Close,
            Err(()) => self.refuse("08P01", "the startup message makes no sense"),
        }
    }

    /// Ends the connection with a last word.
    pub fn refuse(&mut self, code: &str, message: &str) -> Next {
        let error = frames::error("FATAL", code, message, None);
        if let Next::Close = self.answer(&[&error]) {
            return Next::Close;
        }
        self.close_gently();
        Next::Answered
    }

    /// Writes an answer; what the socket does not take follows when it does.
    pub fn answer(&mut self, parts: &[&[u8]]) -> Next {
        if self.outbox.write(&self.stream, parts).is_err() { Next::Close } else { Next::Answered }
    }

    /// Writes on after the socket was full; false: the connection has broken.
    pub fn flush(&mut self) -> bool {
        if self.outbox.is_empty() {
            return true;
        }
        let written = self.outbox.flush(&self.stream).is_ok();
        if self.phase == Phase::Closing && self.outbox.is_empty() {
            self.end_sending();
        }
        written
    }

    /// The command in hand has been answered.
    pub fn answered(&mut self) -> Option<InHand> {
        let in_hand = self.in_hand.take()?;
        self.consume(in_hand.length);
        Some(in_hand)
    }

    /// Ends this side and drops what comes. Guards against a reset that would overtake the last answer.
    pub fn close_gently(&mut self) {
        self.phase = Phase::Closing;
        self.drop_front(usize::MAX);
        // Guards against an end that cuts off an answer which the socket has not taken yet.
        if self.outbox.is_empty() {
            self.end_sending();
        }
    }

    fn end_sending(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }
}
