//! Server connection: startup, one statement at a time, and its answer.

use std::net::TcpStream;
use std::ops::Range;
use std::rc::Rc;

use calloop::RegistrationToken;
use tansyjunction::interface::{DispatchEnd, Micros, Report};
use tansyjunction_hosting::{Timer, micros_from_millis};

use crate::wire::bytes::{Inbox, Outbox, ReadResult};
use crate::wire::frames;

/// Longest valid message: a value of 64 KiB with its header.
const MAX_MESSAGE_BYTES: usize = 65_536 + 256;
/// Longest answer: one such message with the short ones around it.
const MAX_ANSWER_BYTES: usize = 65_536 + 8_192;
/// Largest valid number from a server (as Unix time in milliseconds: the year 5138).
const MAX_VALUE: u64 = 100_000_000_000_000;

/// State of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is being opened.
    Connecting,
    /// The startup message was sent.
    Starting,
    /// An empty query was sent behind an answer. All bytes before its own answer belong to the earlier statement.
    Synchronizing,
    /// Ready for a statement.
    Ready,
    /// A statement is in progress.
    Busy,
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Job {
    Command { command: u64, dispatch: usize },
    Probe,
}

/// The server's answer since the statement.
#[derive(Default)]
pub struct ServerAnswer {
    pub ending: Option<DispatchEnd>,
    pub stated: Report,
    pub report: Option<Report>,
    /// Load report in the row, if a probe requested one.
    pub row: Option<Report>,
    /// When the answer was complete.
    pub at: Option<Micros>,
}

/// Result of reading messages.
#[derive(Debug, PartialEq)]
pub enum Event {
    /// The next message is incomplete.
    Nothing,
    /// The same, and memory for this many bytes must be reserved before more of it is read.
    NeedsMemory(usize),
    /// The startup or the synchronization is complete.
    Ready,
    /// The answer is complete, at these ranges of the inbox.
    Answer(Vec<Range<usize>>),
    /// The server has finished the statement. More bytes of its answer may follow.
    Done,
    /// Invalid data.
    Invalid,
}

/// Protocol state of a server connection, independent of the transport.
pub struct ProtocolState {
    pub phase: Phase,
    pub inbox: Inbox,
    /// Bytes that the inbox may hold: without a reservation, and with the one for the answer.
    unreserved: usize,
    reserved: usize,
    pub server_answer: ServerAnswer,
    /// Ranges of the answer's messages so far, and how far the inbox was scanned.
    answer: Vec<Range<usize>>,
    scanned: usize,
    /// The last significant message was the answer to the empty query.
    sync_answered: bool,
}

impl ProtocolState {
    /// Creates the state of a connection that is being opened; its inbox holds `unreserved` bytes without a reservation.
    pub fn new(unreserved: usize) -> Self {
        ProtocolState {
            phase: Phase::Connecting,
            inbox: Inbox::default(),
            unreserved,
            reserved: 0,
            server_answer: ServerAnswer::default(),
            answer: Vec::new(),
            scanned: 0,
            sync_answered: false,
        }
    }

    /// Starts to wait for the answer to the empty query.
    pub fn synchronize(&mut self) {
        self.phase = Phase::Synchronizing;
        self.sync_answered = false;
    }

    /// Most bytes that the inbox may hold; the rest stays in the socket.
    fn read_limit(&self) -> usize {
        self.reserved + self.unreserved
    }

    /// Reserves memory for an answer of this many bytes up to the end of the message that is incomplete.
    pub fn reserve(&mut self, bytes: usize) {
        self.reserved = bytes;
        self.inbox.reserve(bytes);
    }

    /// Waits for the rest of a message, unless the answer becomes too long with it.
    fn wait_for_message(&self) -> Event {
        let stated = frames::stated_length(&self.inbox.rest()[self.scanned..]);
        let needed = self.scanned + stated.unwrap_or(frames::HEADER_BYTES);
        if needed > MAX_ANSWER_BYTES {
            Event::Invalid
        } else if needed > self.read_limit() {
            Event::NeedsMemory(needed)
        } else {
            Event::Nothing
        }
    }

    /// Handles messages up to the next significant one.
    pub fn next_event(&mut self, now: Micros) -> Event {
        loop {
            let (kind, length) = match frames::first(&self.inbox.rest()[self.scanned..], MAX_MESSAGE_BYTES) {
                Ok(Some(first)) => first,
                Ok(None) => return self.wait_for_message(),
                Err(_) => return Event::Invalid,
            };
            let here = self.scanned..self.scanned + length;
            self.scanned = here.end;
            let body = &self.inbox.rest()[here.start + frames::HEADER_BYTES..here.end];
            match (self.phase, kind) {
                (Phase::Synchronizing, b'Z') if self.sync_answered => {
                    (self.phase, self.sync_answered) = (Phase::Ready, false);
                    self.drop_scanned();
                    return Event::Ready;
                }
                (Phase::Synchronizing, _) => {
                    if !self.skip_leftover(kind) {
                        return Event::Invalid;
                    }
                }
                (_, b'N') | (Phase::Starting, b'K') => {}
                (_, b'S') => self.server_answer.parameter(body),
                (Phase::Starting, b'R') if body == [0; 4] => {}
                (Phase::Starting, b'Z') => {
                    self.phase = Phase::Ready;
                    self.drop_scanned();
                    return Event::Ready;
                }
                (Phase::Starting, b'E') => {
                    // Rejected before a statement was sent; otherwise the server was just not reached.
                    let ending = frames::error_code(body).map(end_by_code);
                    self.server_answer.ending = ending.filter(|ending| *ending == DispatchEnd::SentBack);
                    return Event::Invalid;
                }
                // A repeated answer to the empty query; it cannot be taken for the statement's.
                (Phase::Busy, b'I') if self.is_unanswered() => self.sync_answered = true,
                (Phase::Busy, b'Z') if self.sync_answered => self.sync_answered = false,
                (Phase::Busy, b'E') if self.server_answer.ending.is_none() => {
                    let Some(code) = frames::error_code(body) else { return Event::Invalid };
                    self.server_answer.ending = Some(end_by_code(code));
                    self.server_answer.at = Some(now);
                }
                (Phase::Busy, b'T') if self.answer.is_empty() && frames::is_one_column(body) => {
                    self.answer.push(here)
                }
                (Phase::Busy, b'D') if self.answer.len() == 1 => {
                    let Some(value) = frames::column(body) else { return Event::Invalid };
                    self.server_answer.row = std::str::from_utf8(value).ok().and_then(parse_report);
                    self.answer.push(here);
                }
                (Phase::Busy, b'C')
                    if self.answer.len() == 2
                        && self.server_answer.ending.is_none()
                        && frames::is_one_row(body) =>
                {
                    self.answer.push(here);
                    self.server_answer.ending = Some(DispatchEnd::Answered);
                    self.server_answer.at = Some(now);
                    return Event::Answer(self.answer.clone());
                }
                (Phase::Busy, b'Z') if self.server_answer.ending.is_some() => {
                    self.phase = Phase::Ready;
                    self.drop_scanned();
                    return Event::Done;
                }
                _ => return Event::Invalid,
            }
        }
    }

    /// Drops a message that precedes the end of the synchronization; false if it is invalid.
    fn skip_leftover(&mut self, kind: u8) -> bool {
        self.drop_scanned();
        match kind {
            b'I' => self.sync_answered = true,
            b'S' | b'N' => {}
            b'T' | b'D' | b'C' | b'E' | b'Z' => self.sync_answered = false,
            _ => return false,
        }
        true
    }

    /// Whether no part of the statement's answer has arrived.
    fn is_unanswered(&self) -> bool {
        self.answer.is_empty() && self.server_answer.ending.is_none()
    }

    fn drop_scanned(&mut self) {
        self.inbox.consume(self.scanned);
        self.reserved = 0;
        self.scanned = 0;
        self.answer.clear();
    }
}

/// A server connection.
pub struct ServerConnection {
    pub server: usize,
    pub stream: Rc<TcpStream>,
    pub token: RegistrationToken,
    pub protocol: ProtocolState,
    pub outbox: Outbox,
    pub job: Option<Job>,
    /// When it last became idle, and when the statement was written.
    pub idle_since: Micros,
    pub written: Option<Micros>,
    /// Timeout of the connection, or end of its idle time.
    pub due: Timer,
    /// Timeout of its job, which may be later while the connection is being opened.
    pub job_due: Micros,
    /// More data may be in the socket.
    pub more: bool,
    pub ended: bool,
    /// Whether it replaces one that broke while being opened, or must not be replaced.
    pub reopened: bool,
}

impl ServerConnection {
    /// Creates a connection that is being opened.
    pub fn new(
        server: usize,
        stream: Rc<TcpStream>,
        token: RegistrationToken,
        now: Micros,
        unreserved: usize,
    ) -> Self {
        ServerConnection {
            server,
            stream,
            token,
            protocol: ProtocolState::new(unreserved),
            outbox: Outbox::default(),
            job: None,
            idle_since: now,
            written: None,
            due: Timer::default(),
            job_due: 0,
            more: false,
            ended: false,
            reopened: false,
        }
    }

    /// Reads available data, as much as the inbox may hold.
    pub fn read(&mut self) {
        let result = self.protocol.inbox.read(&self.stream, self.protocol.read_limit());
        self.more = result == ReadResult::Full;
        self.ended |= matches!(result, ReadResult::Ended | ReadResult::Reset);
    }

    /// Memory used by its buffers in bytes.
    pub fn memory(&self) -> usize {
        self.protocol.inbox.memory() + self.outbox.memory()
    }

    /// Whether an idle connection is usable: no data arrived, and the server has not closed it.
    pub fn is_quiet(&mut self) -> bool {
        self.read();
        !self.ended && self.protocol.inbox.rest().is_empty()
    }
}

impl ServerAnswer {
    /// How a job ended: as the server answered, or else by what happened to the connection.
    pub fn ending_by(&self, probe: bool, written: bool, happened: DispatchEnd) -> DispatchEnd {
        match self.ending {
            Some(ending) => ending,
            // A probe that timed out while connecting is not a refused connection, which would keep the member out
            // after the network recovers.
            None if probe && happened == DispatchEnd::TimedOut => happened,
            // An incompletely written statement cannot have executed.
            None if !written && happened != DispatchEnd::Unsent => DispatchEnd::Unconnected,
            None => happened,
        }
    }

    fn parameter(&mut self, body: &[u8]) {
        match frames::parameter(body) {
            Some(("recovery", "off")) => self.stated.primary = Some(true),
            Some(("recovery", "on")) => self.stated.primary = Some(false),
            Some(("lsn_ms", value)) => {
                self.stated.position =
                    value.parse().ok().filter(|ms| (1..MAX_VALUE).contains(ms)).map(micros_from_millis)
            }
            Some(("health", value)) => self.report = parse_report(value).or(self.report),
            _ => {}
        }
    }
}

/// End of a dispatch by its SQLSTATE.
fn end_by_code(code: &str) -> DispatchEnd {
    match code {
        "25006" | "72000" => DispatchEnd::Missed,
        "53300" => DispatchEnd::SentBack,
        _ => DispatchEnd::Errored,
    }
}

/// Parses a load report; `None` if it has no known value or an invalid one, since then the rest is unreliable too.
fn parse_report(text: &str) -> Option<Report> {
    let mut report = Report::default();
    for part in text.split(',') {
        let (name, value) = part.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|value| value.abs() < MAX_VALUE as f64)?;
        match name.trim() {
            // Unix time in seconds.
            "x0" => report.position = Some((value.clamp(0.0, MAX_VALUE as f64 / 1e3) * 1e6) as Micros),
            "x1" => report.primary = Some(value == 1.0),
            "queue" | "pending" => report.queue = Some(value),
            "util" | "cpu_share" => report.busy = Some(value),
            _ => {}
        }
    }
    (report != Report::default()).then_some(report)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn message(kind: u8, body: &[u8]) -> Vec<u8> {
        [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
    }

    /// RowDescription of one column named v.
    const COLUMN: &[u8] = b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";

    #[test]
    fn an_exchange_is_heard_the_same_however_it_is_split() {
        let row = [message(b'T', COLUMN), message(b'D', b"\0\x01\0\0\0\x02hi"), message(b'C', b"SELECT 1\0")]
            .concat();
        let told = [message(b'S', b"recovery\0off\0"), message(b'S', b"lsn_ms\x001767225600123\0")].concat();
        let health = message(b'S', b"health\0x0=1767225600.5,x1=0,pending=3\0");
        let bytes = [row.clone(), told, health, message(b'Z', b"I")].concat();
        for split in 0..bytes.len() {
            let mut talk = ProtocolState { phase: Phase::Busy, ..ProtocolState::new(MAX_ANSWER_BYTES) };
            let mut heard = Vec::new();
            for part in [&bytes[..split], &bytes[split..]] {
                talk.inbox.append(part);
                loop {
                    match talk.next_event(7) {
                        Event::Nothing => break,
                        Event::Answer(parts) => {
                            let whole: Vec<u8> =
                                parts.iter().flat_map(|p| talk.inbox.rest()[p.clone()].to_vec()).collect();
                            assert_eq!(whole, row, "split at {split}");
                            heard.push("answer");
                        }
                        Event::Done => heard.push("done"),
                        other => panic!("split at {split}: {other:?}"),
                    }
                }
            }
            assert_eq!(heard, ["answer", "done"], "split at {split}");
            let said = &talk.server_answer;
            assert_eq!((said.ending, said.at), (Some(DispatchEnd::Answered), Some(7)));
            assert_eq!(
                (said.stated.primary, said.stated.position),
                (Some(true), Some(1_767_225_600_123_000))
            );
            let report = said.report.expect("a report");
            assert_eq!((report.position, report.primary), (Some(1_767_225_600_500_000), Some(false)));
            assert_eq!((report.queue, report.busy), (Some(3.0), None));
            assert!(talk.inbox.rest().is_empty() && talk.phase == Phase::Ready);
        }
    }

    /// Guards against a part of one answer that is read as that of the next statement (incident 21), and against a
    /// statement that fails because of a repeated answer to the empty query before it.
    #[test]
    fn what_precedes_the_end_of_a_synchronization_belongs_to_no_later_statement() {
        let answer = |value: &[u8]| {
            let column = [&b"\0\x01\0\0\0\x02"[..], value].concat();
            [message(b'T', COLUMN), message(b'D', &column), message(b'C', b"SELECT 1\0")].concat()
        };
        let (ready, synchronized) = (message(b'Z', b"I"), [message(b'I', b""), message(b'Z', b"I")].concat());
        let copy = [answer(b"hi"), message(b'S', b"lsn_ms\x007\0"), ready.clone()].concat();
        let refusal = [message(b'E', b"C53300\0\0"), ready.clone()].concat();
        for (what, leftover, event) in [
            ("nothing", vec![], Event::Ready),
            ("a copy", copy.clone(), Event::Ready),
            ("two copies", [copy.clone(), copy.clone()].concat(), Event::Ready),
            ("the copy of a refusal", refusal, Event::Ready),
            ("an end alone", ready.clone(), Event::Ready),
            ("half a copy", copy[..copy.len() - 9].to_vec(), Event::Invalid),
            ("noise", b"G\0\0\0\x05x".to_vec(), Event::Invalid),
        ] {
            let mut talk = ProtocolState { phase: Phase::Busy, ..ProtocolState::new(MAX_ANSWER_BYTES) };
            talk.synchronize();
            let next = |byte: u8| {
                talk.inbox.append(&[byte]);
                talk.next_event(0)
            };
            let bytes = [leftover, synchronized.clone()].concat();
            let heard = bytes.into_iter().map(next).find(|heard| *heard != Event::Nothing);
            let heard = heard.expect("an event");
            assert_eq!(heard, event, "{what}");
            assert!(talk.server_answer.stated.position.is_none(), "{what}");
            if heard != Event::Ready {
                continue;
            }
            talk.phase = Phase::Busy;
            talk.inbox.append(&[synchronized.clone(), answer(b"ho"), ready.clone()].concat());
            let Event::Answer(parts) = talk.next_event(0) else { panic!("{what}: no answer") };
            let value = parts.get(1).map(|part| &talk.inbox.rest()[part.end - 2..part.end]);
            assert_eq!(value, Some(&b"ho"[..]), "{what}");
            assert_eq!(talk.next_event(0), Event::Done, "{what}");
        }
    }

    #[test]
    fn senseless_figures_are_not_believed() {
        for (text, position, queue) in [
            ("x0=1767225600.5,queue=2", Some(1_767_225_600_500_000), Some(2.0)),
            ("x0=nan,queue=inf", None, None),
            ("x0=1e300,queue=-1e300", None, None),
            ("x0=-5", Some(0), None),
            ("x0=1767225600.5,queue=x", None, None),
            ("%%%,queue=2", None, None),
            ("x0=9e13", Some(MAX_VALUE * 1_000), None),
        ] {
            let report = parse_report(text).unwrap_or_default();
            assert_eq!((report.position, report.queue), (position, queue), "{text}");
        }
        for (text, position) in [("7", Some(7_000)), ("0", None), ("-7", None), ("99999999999999999", None)] {
            let mut said = ServerAnswer::default();
            said.parameter(format!("lsn_ms\0{text}\0").as_bytes());
            assert_eq!(said.stated.position, position, "{text}");
        }
    }

    #[test]
    fn what_was_not_said_is_told_by_the_connection() {
        use DispatchEnd::*;
        // The server's answer, whether it is a probe, whether completely written, what happened, and the expected end.
        for (said, probe, written, happened, ending) in [
            (None, false, true, TimedOut, TimedOut),
            (None, false, true, Reset, Reset),
            (None, false, true, Recalled, Recalled),
            (None, false, false, TimedOut, Unconnected),
            (None, false, false, Reset, Unconnected),
            (None, false, false, Recalled, Unconnected),
            (None, false, false, Unsent, Unsent),
            (None, true, false, TimedOut, TimedOut),
            (None, true, false, Reset, Unconnected),
            (Some(Answered), false, true, Reset, Answered),
            (Some(SentBack), false, false, Reset, SentBack),
        ] {
            let heard = ServerAnswer { ending: said, ..ServerAnswer::default() };
            let case = format!("{said:?} {probe} {written} {happened:?}");
            assert_eq!(heard.ending_by(probe, written, happened), ending, "{case}");
        }
    }

    #[test]
    fn what_comes_back_tells_how_a_dispatch_ended() {
        let error = |code: &str| message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes());
        let row = message(b'T', COLUMN);
        let answer = |columns: &[u8], value: &[u8], tag: &[u8]| {
            [message(b'T', columns), message(b'D', value), message(b'C', tag)].concat()
        };
        let (one, done) = (&b"\0\x01\0\0\0\x02hi"[..], &b"SELECT 1\0"[..]);
        let whole = answer(COLUMN, one, done);
        let parts = vec![0..row.len(), row.len()..whole.len() - 14, whole.len() - 14..whole.len()];
        for (what, said, heard, ending) in [
            ("a write at a replica", error("25006"), Event::Done, Some(DispatchEnd::Missed)),
            ("too far behind", error("72000"), Event::Done, Some(DispatchEnd::Missed)),
            ("an error", error("XX000"), Event::Done, Some(DispatchEnd::Errored)),
            ("another error", error("57P03"), Event::Done, Some(DispatchEnd::Errored)),
            (
                "an error half way",
                [row.clone(), error("XX000")].concat(),
                Event::Done,
                Some(DispatchEnd::Errored),
            ),
            ("turned away", error("53300"), Event::Done, Some(DispatchEnd::SentBack)),
            ("ready without an answer", vec![], Event::Invalid, None),
            ("an answer without a row", [row, message(b'C', b"SELECT 0\0")].concat(), Event::Invalid, None),
            ("a length below its own", b"E\0\0\0\x01".to_vec(), Event::Invalid, None),
            ("a length beyond all", b"E\x7f\0\0\x01".to_vec(), Event::Invalid, None),
            ("an empty error", message(b'E', b""), Event::Invalid, None),
            ("an error without an end", message(b'E', b"C53300\0"), Event::Invalid, None),
            ("an answer", whole.clone(), Event::Answer(parts), Some(DispatchEnd::Answered)),
            ("a row described as two", answer(b"\0\x02", one, done), Event::Invalid, None),
            ("a description cut short", answer(&COLUMN[..15], one, done), Event::Invalid, None),
            ("two columns", answer(COLUMN, b"\0\x02\0\0\0\x02hi", done), Event::Invalid, None),
            (
                "a value longer than its row",
                answer(COLUMN, b"\0\x01\0\0\0\x03hi", done),
                Event::Invalid,
                None,
            ),
            (
                "a value shorter than its row",
                answer(COLUMN, b"\0\x01\0\0\0\x01hi", done),
                Event::Invalid,
                None,
            ),
            ("a value below zero", answer(COLUMN, b"\0\x01\xff\xff\xff\xffhi", done), Event::Invalid, None),
            ("no value", answer(COLUMN, b"\0\x01\0", done), Event::Invalid, None),
            ("another tag", answer(COLUMN, one, b"SELECT 2\0"), Event::Invalid, None),
            ("a tag without an end", answer(COLUMN, one, b"SELECT 1"), Event::Invalid, None),
            ("a value beyond all", b"D\xb2\xd0\x5e\x0a\0\x01".to_vec(), Event::Invalid, None),
            ("a startup out of turn", message(b'R', &[0; 4]), Event::Invalid, None),
        ] {
            let mut talk = ProtocolState { phase: Phase::Busy, ..ProtocolState::new(MAX_ANSWER_BYTES) };
            talk.inbox.append(&[said, message(b'Z', b"I")].concat());
            assert_eq!(talk.next_event(0), heard, "{what}");
            assert_eq!(talk.server_answer.ending, ending, "{what}");
        }
    }
}
