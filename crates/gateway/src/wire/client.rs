//! Client connection: reads messages one by one and writes the answers.

use std::collections::VecDeque;
use std::net::TcpStream;
use std::ops::Range;
use std::rc::Rc;

use calloop::RegistrationToken;
use tansyjunction::interface::Micros;
use tansyjunction_hosting::Timer;

use crate::memory::name_hash::NameHash;
use crate::wire::bytes::{Inbox, Outbox, ReadResult, discard, has_ended};
use crate::wire::frames;

/// Longest message: a value of 64 KiB in hexadecimal with its statement.
pub const MAX_MESSAGE_BYTES: usize = 2 * 65_536 + 4_096;
/// Longest message that is skipped; a larger length means that framing is lost.
const MAX_SKIPPED_BYTES: usize = 64 * 1_024 * 1_024;
/// Most bytes read beyond the pending command while there is memory, to notice that its client leaves. An end behind
/// more than that may not come through: the system closes the receive window over a few unread bytes.
const MAX_READ_AHEAD_BYTES: usize = 576 * 1_024;
/// Most bytes of a skipped message that are read at once.
const MAX_DISCARD_BYTES: usize = MAX_MESSAGE_BYTES;
/// Most arrival times recorded for bytes ahead of their turn; beyond it they are recorded less finely.
const MAX_ARRIVALS: usize = 256;
/// Longest startup message, as in PostgreSQL.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Timeout of an incomplete startup or message: far longer than slow clients need, and short enough that hundreds of
/// silent ones hold their descriptors only briefly. For the startup and the first message it counts from the connection:
/// clients that cannot be served are owed an error within 3 s of connecting, or 6 s with an overlong message.
const MESSAGE_TIMEOUT: Micros = 2_500_000;
/// The same for an overlong message that is skipped and keeps arriving.
const OVERLONG_TIMEOUT: Micros = 5_000_000;
/// Least time for a first message that begins late: clients send far faster than that, and are not slow by beginning late.
const MIN_MESSAGE_TIME: Micros = 500_000;
/// How long a client may leave an answer unread.
const READ_TIMEOUT: Micros = 10_000_000;
/// How long a connection that was shut down here waits for the client's end.
pub const LINGER: Micros = 1_000_000;

const STARTUP_CODE: u32 = 196_608;
const SSL_REQUEST_CODE: u32 = 80_877_103;
const GSS_REQUEST_CODE: u32 = 80_877_104;

/// State of the connection.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Startup,
    Open,
    /// No more answers; the connection closes once the client has shut down its side.
    Closing,
}

/// The pending command; its message stays at the front of the inbox until it is finished.
pub struct InHand {
    pub command: u64,
    pub id: NameHash,
    /// Position of the `id` in the message.
    pub id_at: Range<usize>,
    pub length: usize,
    pub wait_at: Range<usize>,
}

/// A message that is read without being stored.
struct SkippedMessage {
    /// Bytes still to be read.
    left: usize,
    /// Whether it is longer than any valid message.
    overlong: bool,
    /// Encoded answer once all have been read.
    answer: Vec<u8>,
}

/// Memory that the message at the front needs.
#[derive(Clone, Copy)]
pub struct MemoryRequest {
    /// Total of bytes to reserve. It grows with the bytes that have come, so that a stated length alone takes no memory.
    pub bytes: usize,
    /// Length of the whole message.
    pub length: usize,
}

/// What a client is in the middle of while a timeout applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IncompleteWork {
    /// The client has not closed a connection that was shut down here.
    Linger,
    /// An answer was not accepted by the socket.
    UnreadAnswer,
    Message,
    OverlongMessage,
}

/// Result of handling the next message.
pub enum Next {
    /// It is incomplete.
    Wait,
    /// It is incomplete, and memory must be reserved before more of it is read.
    NeedsMemory(MemoryRequest),
    /// It was answered here.
    Answered,
    /// It was the startup.
    Opened,
    /// A query of this length is at the front.
    Query(usize),
    /// The connection is to be closed.
    Close,
}

/// A client connection.
pub struct Client {
    pub stream: Rc<TcpStream>,
    pub token: RegistrationToken,
    pub inbox: Inbox,
    /// Arrival times of the bytes in the inbox, the first ones first.
    arrivals: VecDeque<(usize, Micros)>,
    pub outbox: Outbox,
    phase: Phase,
    pub in_hand: Option<InHand>,
    /// Bytes that the inbox may hold without a reservation, and with the one for the message at the front.
    unreserved: usize,
    reserved: usize,
    skipped: Option<SkippedMessage>,
    /// After an error in the extended protocol: skips messages until Sync.
    until_sync: bool,
    /// The message at the front is complete and waits until the gateway serves.
    message_waits: bool,
    /// More data may be in the socket.
    more: bool,
    /// When it last had a command, or connected.
    pub last_used: Micros,
    connected_at: Micros,
    /// Number of messages handled, and of those of the startup among them.
    handled: u64,
    startup_messages: u64,
    /// What it is in the middle of, and the number of messages before; since when.
    timeout_set: Option<(IncompleteWork, u64)>,
    timeout_set_at: Micros,
    pub limit: Timer,
}

impl Client {
    /// Creates the connection.
    pub fn new(stream: Rc<TcpStream>, token: RegistrationToken, now: Micros, unreserved: usize) -> Self {
        Client {
            stream,
            token,
            inbox: Inbox::default(),
            arrivals: VecDeque::new(),
            outbox: Outbox::default(),
            phase: Phase::Startup,
            in_hand: None,
            unreserved,
            reserved: 0,
            skipped: None,
            until_sync: false,
            message_waits: false,
            more: false,
            last_used: now,
            connected_at: now,
            handled: 0,
            startup_messages: 0,
            timeout_set: None,
            timeout_set_at: now,
            limit: Timer::default(),
        }
    }

    /// Whether it has no command and no incomplete message.
    pub fn is_idle(&self) -> bool {
        self.in_hand.is_none()
            && self.skipped.is_none()
            && self.inbox.rest().is_empty()
            && self.outbox.is_empty()
    }

    /// Memory used by messages that came in, in bytes.
    pub fn message_memory(&self) -> usize {
        self.inbox.memory() + self.arrivals.capacity() * size_of::<(usize, Micros)>()
    }

    /// Whether a complete message waits until the gateway serves.
    pub fn has_waiting_message(&self) -> bool {
        self.message_waits
    }

    /// Whether it was shut down here.
    pub fn is_closing(&self) -> bool {
        self.phase == Phase::Closing
    }

    /// Whether it has not sent a complete startup.
    pub fn lacks_startup(&self) -> bool {
        let opening = frames::opening(self.inbox.rest(), MAX_STARTUP_BYTES);
        self.phase == Phase::Startup && matches!(opening, Ok(None))
    }

    /// What it is in the middle of, if a timeout applies.
    fn incomplete_work(&self) -> Option<IncompleteWork> {
        match self.phase {
            Phase::Closing if self.outbox.is_empty() => Some(IncompleteWork::Linger),
            _ if self.in_hand.is_some() || self.message_waits => None,
            _ if !self.outbox.is_empty() => Some(IncompleteWork::UnreadAnswer),
            _ if self.skipped.as_ref().is_some_and(|skipped| skipped.overlong) => {
                Some(IncompleteWork::OverlongMessage)
            }
            Phase::Open if self.skipped.is_none() && self.inbox.rest().is_empty() => None,
            _ => Some(IncompleteWork::Message),
        }
    }

    /// When work that begins now has to be complete.
    fn deadline(&self, work: IncompleteWork, now: Micros) -> Micros {
        match work {
            IncompleteWork::Linger => now + LINGER,
            IncompleteWork::UnreadAnswer => now + READ_TIMEOUT,
            IncompleteWork::Message => self.message_deadline(now, MESSAGE_TIMEOUT),
            IncompleteWork::OverlongMessage => self.message_deadline(now, OVERLONG_TIMEOUT),
        }
    }

    fn message_deadline(&self, now: Micros, timeout: Micros) -> Micros {
        let from_connection = self.connected_at + timeout;
        if self.phase == Phase::Startup {
            from_connection
        } else if self.handled == self.startup_messages && now < from_connection {
            from_connection.max(now + MIN_MESSAGE_TIME)
        } else {
            now + timeout
        }
    }

    /// The new deadline, if it has changed. Limits clients that never finish a message.
    pub fn changed_deadline(&mut self, now: Micros) -> Option<Option<Micros>> {
        let work = self.incomplete_work().map(|work| (work, self.handled));
        let changed = std::mem::replace(&mut self.timeout_set, work) != work;
        if changed {
            self.timeout_set_at = now;
        }
        changed.then(|| work.map(|(work, _)| self.deadline(work, now)))
    }

    /// Whether it has been in the middle of a message behind the startup since `before` or longer.
    pub fn lacks_rest_since(&self, before: Micros) -> bool {
        let work = self.timeout_set.map(|(work, _)| work);
        let begun = matches!(work, Some(IncompleteWork::Message | IncompleteWork::OverlongMessage));
        self.phase == Phase::Open && begun && self.timeout_set_at <= before && !self.has_whole_message()
    }

    /// Reads available data; false if the client has gone. A client that shuts down its side right after a complete
    /// command has gone too: by the protocol it stays while it waits, and earlier commands are not answered.
    pub fn read(&mut self, now: Micros) -> bool {
        self.read_until(now, self.read_limit())
    }

    /// Most bytes that the inbox may hold; the rest stays in the socket. Clients that send ahead, send long messages or
    /// do not read would fill the memory.
    fn read_limit(&self) -> usize {
        match &self.in_hand {
            Some(in_hand) => in_hand.length + self.unreserved,
            None => self.reserved.max(self.unreserved),
        }
    }

    /// Reserves memory for this many bytes of the message at the front.
    pub fn reserve(&mut self, bytes: usize) {
        self.reserved = bytes;
        self.inbox.reserve(bytes);
    }

    /// Whether the last read left data in the socket; skipped data does not count.
    pub fn has_unread(&self) -> bool {
        self.more && self.phase != Phase::Closing
    }

    /// Looks for the client's end behind unread data, reading up to `ahead` bytes beyond the pending command; false if
    /// it has gone. Prevents attempts for a client that left after sending ahead.
    pub fn check_for_end(&mut self, now: Micros, ahead: usize) -> bool {
        let most = self.in_hand.as_ref().map(|in_hand| in_hand.length + ahead.min(MAX_READ_AHEAD_BYTES));
        let deeper = most.filter(|most| *most > self.read_limit());
        deeper.is_none_or(|most| self.read_until(now, most)) && !(self.more && has_ended(&self.stream))
    }

    fn read_until(&mut self, now: Micros, most: usize) -> bool {
        let reading = if self.phase == Phase::Closing {
            discard(&self.stream, MAX_DISCARD_BYTES).1
        } else if let Some(skipped) = &mut self.skipped {
            let (count, reading) = discard(&self.stream, skipped.left.min(MAX_DISCARD_BYTES));
            skipped.left -= count;
            reading
        } else {
            let before = self.inbox.rest().len();
            let reading = self.inbox.read(&self.stream, most);
            self.record_arrival(self.inbox.rest().len() - before, now);
            reading
        };
        self.more = reading == ReadResult::Full;
        !matches!(reading, ReadResult::Ended | ReadResult::Reset)
    }

    /// Handles the next message: commands once the gateway `takes` them, empty queries once it is `ready`.
    pub fn next(&mut self, now: Micros, takes: bool, ready: bool) -> Next {
        self.message_waits = false;
        if self.phase == Phase::Closing {
            return self.wait(now);
        }
        if self.in_hand.is_some() || !self.outbox.is_empty() {
            return Next::Wait;
        }
        if let Some(answered) = self.answer_skipped() {
            return answered;
        }
        if self.skipped.is_some() {
            return self.wait(now);
        }
        if self.phase == Phase::Startup {
            return self.opening(now);
        }
        let (kind, length) = match frames::first(self.inbox.rest(), MAX_MESSAGE_BYTES) {
            Ok(Some(first)) => first,
            Ok(None) => {
                let length = frames::stated_length(self.inbox.rest());
                return self.wait_for_message(now, length);
            }
            Err(Some(length)) if length <= MAX_SKIPPED_BYTES => {
                self.skip(length, frames::error("ERROR", "54000", "the message is too long", None));
                return Next::Answered;
            }
            Err(_) => return self.refuse("08P01", "the length of a message makes no sense"),
        };
        let blank = |body: &[u8]| {
            let text = body.strip_suffix(b"\0");
            text.is_some_and(|text| text.iter().all(|b| b.is_ascii_whitespace() || *b == b';'))
        };
        match kind {
            b'Q' if blank(&self.inbox.rest()[frames::HEADER_BYTES..length]) => {
                if !ready {
                    return self.keep_message();
                }
                self.consume(length);
                self.answer(&[frames::EMPTY_QUERY, frames::READY])
            }
            b'Q' if !takes => self.keep_message(),
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

    /// Removes the message at the front.
    pub fn consume(&mut self, length: usize) {
        self.drop_front(length);
        self.reserved = 0;
        self.handled += 1;
    }

    /// Reads the message at the front, of this whole length, without storing it, and answers it then.
    pub fn skip(&mut self, length: usize, answer: Vec<u8>) {
        let came = length.min(self.inbox.rest().len());
        self.drop_front(came);
        self.reserved = 0;
        let overlong = length > MAX_MESSAGE_BYTES;
        self.skipped = Some(SkippedMessage { left: length - came, overlong, answer });
    }

    fn record_arrival(&mut self, count: usize, now: Micros) {
        match self.arrivals.back_mut() {
            // Bounded: arrival times are recorded once per millisecond.
            Some((bytes, at)) if now < *at + 1_000 => *bytes += count,
            _ if count > 0 => {
                if self.arrivals.len() == MAX_ARRIVALS {
                    self.merge_arrivals();
                }
                self.arrivals.push_back((count, now));
            }
            _ => {}
        }
    }

    /// Halves the number of arrival times. Bytes get the earlier of two, so that no command counts as younger than it is.
    fn merge_arrivals(&mut self) {
        let pairs = self.arrivals.make_contiguous().chunks(2);
        let merged = pairs.map(|pair| (pair.iter().map(|(bytes, _)| bytes).sum(), pair[0].1));
        self.arrivals = merged.collect();
    }

    fn drop_front(&mut self, count: usize) {
        self.inbox.consume(count);
        let mut left = count;
        while let Some((bytes, _)) = self.arrivals.front_mut() {
            if *bytes > left {
                *bytes -= left;
                return;
            }
            left -= *bytes;
            self.arrivals.pop_front();
        }
    }

    /// Arrival time of the last byte of the message at the front. The timeout of pipelined commands counts from it,
    /// not from their turn: their clients leave before that.
    pub fn arrived_at(&self, length: usize) -> Option<Micros> {
        let mut bytes = 0;
        let whole = |(count, _): &&(usize, Micros)| {
            bytes += count;
            bytes >= length
        };
        self.arrivals.iter().find(whole).map(|(_, at)| *at)
    }

    /// Keeps a complete message waiting, so that its timeout for completion no longer applies.
    fn keep_message(&mut self) -> Next {
        self.message_waits = true;
        Next::Wait
    }

    /// Waits for the rest of the message at the front, of this length if its header has come.
    fn wait_for_message(&mut self, now: Micros, length: Option<usize>) -> Next {
        // A message has arrived with its last byte; when the earlier ones came no longer matters.
        if let Some((_, at)) = self.arrivals.back().copied() {
            self.arrivals = VecDeque::from([(self.inbox.rest().len(), at)]);
        }
        let limit = self.read_limit();
        match length {
            Some(length) if length > limit && self.inbox.rest().len() >= limit => {
                Next::NeedsMemory(MemoryRequest { bytes: length.min(2 * limit), length })
            }
            _ => self.wait(now),
        }
    }

    /// Waits for more data, which may already be in the socket.
    fn wait(&mut self, now: Micros) -> Next {
        if !self.more {
            return Next::Wait;
        }
        if self.read(now) { Next::Answered } else { Next::Close }
    }

    fn opening(&mut self, now: Micros) -> Next {
        match frames::opening(self.inbox.rest(), MAX_STARTUP_BYTES) {
            Ok(None) => {
                let length = frames::stated_opening_length(self.inbox.rest());
                self.wait_for_message(now, length)
            }
            Ok(Some((SSL_REQUEST_CODE | GSS_REQUEST_CODE, length))) => {
                self.consume(length);
                self.answer(&[b"N"])
            }
            Ok(Some((STARTUP_CODE, length))) => {
                self.consume(length);
                self.phase = Phase::Open;
                self.startup_messages = self.handled;
                match self.answer(&[frames::WELCOME, frames::READY]) {
                    Next::Close => Next::Close,
                    _ => Next::Opened,
                }
            }
            Ok(Some((code, _))) if code >> 16 == 3 => self.refuse("0A000", "only protocol 3.0 is served"),
            // Cancel requests use separate connections and are not answered.
            Ok(Some(_)) => Next::Close,
            Err(()) => self.refuse("08P01", "the startup message makes no sense"),
        }
    }

    /// Sends a final error and shuts down the connection. Only for a message at the front that cannot be read: what is
    /// behind it cannot be told apart.
    pub fn refuse(&mut self, code: &str, message: &str) -> Next {
        let error = frames::error("FATAL", code, message, None);
        if let Next::Close = self.answer(&[&error]) {
            return Next::Close;
        }
        self.close_input();
        Next::Answered
    }

    /// Ends a connection whose time is over: for an incomplete message with an error, else as [`Client::shut_down`]. A
    /// command in progress has a timeout of its own.
    pub fn time_out(&mut self) -> Next {
        if self.in_hand.is_some() {
            return Next::Answered;
        }
        if !self.has_whole_message() {
            return self.refuse("08P01", "it did not come in whole in time");
        }
        self.shut_down();
        Next::Answered
    }

    /// Whether a query, or a message that is skipped, was read whole and is not answered.
    fn has_whole_message(&self) -> bool {
        self.skipped.as_ref().is_some_and(|skipped| skipped.left == 0) || self.whole_query().is_some()
    }

    /// Length of the message at the front if it is a whole query that was not begun.
    fn whole_query(&self) -> Option<usize> {
        if self.phase != Phase::Open || self.in_hand.is_some() {
            return None;
        }
        match frames::first(self.inbox.rest(), MAX_MESSAGE_BYTES) {
            Ok(Some((b'Q', length))) => Some(length),
            _ => None,
        }
    }

    /// Answers a skipped message once it was read whole; `None` if there is none.
    fn answer_skipped(&mut self) -> Option<Next> {
        let skipped = self.skipped.take_if(|skipped| skipped.left == 0)?;
        self.handled += 1;
        Some(self.answer(&[&skipped.answer, frames::READY]))
    }

    /// Answers the whole queries that were read and that nothing was sent for: their clients may try them elsewhere.
    fn reject_unserved(&mut self) {
        self.answer_skipped();
        while let Some(length) = self.whole_query() {
            self.consume(length);
            let error = frames::error("ERROR", "57P03", "this connection ends; nothing was sent", None);
            // If the client has gone, nobody waits for the answers.
            self.answer(&[&error, frames::READY]);
        }
    }

    /// Writes an answer; what the socket does not accept is written later.
    pub fn answer(&mut self, parts: &[&[u8]]) -> Next {
        if self.outbox.write(&self.stream, parts).is_err() { Next::Close } else { Next::Answered }
    }

    /// Continues writing after the socket was full; false if the connection broke.
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

    /// Records the answer to the pending command.
    pub fn answered(&mut self) -> Option<InHand> {
        let in_hand = self.in_hand.take()?;
        self.consume(in_hand.length);
        Some(in_hand)
    }

    /// Shuts down this side, with an error for each query that was read whole and not begun.
    pub fn shut_down(&mut self) {
        self.reject_unserved();
        self.close_input();
    }

    /// Shuts down this side and drops further input, so that no reset overtakes the last answer.
    fn close_input(&mut self) {
        self.phase = Phase::Closing;
        self.drop_front(usize::MAX);
        // A shutdown now would cut off an answer that the socket has not accepted yet.
        if self.outbox.is_empty() {
            self.end_sending();
        }
    }

    fn end_sending(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }
}
