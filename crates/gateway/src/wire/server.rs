//! A connection to a server: its startup, one statement at a time, and what the server says.

use std::net::TcpStream;
use std::ops::Range;
use std::rc::Rc;

use calloop::RegistrationToken;
use tansyjunction::interface::{DispatchEnd, Micros, Report};
use tansyjunction_hosting::{Timer, micros_from_millis};

use crate::wire::bytes::{Inbox, Outbox, Reading};
use crate::wire::frames;

/// A value of 64 KiB with its head; a longer message is nonsense.
const MESSAGE_MOST: usize = 65_536 + 256;
/// A whole answer: one such message, and the short ones round it.
const ANSWER_MOST: usize = 65_536 + 8_192;
/// Beyond this no server's figure makes sense (as a Unix time in milliseconds: in the year 5138).
const FAR: u64 = 100_000_000_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The connection is being opened.
    Connecting,
    /// The startup message is out.
    Starting,
    /// Ready for a statement.
    Ready,
    /// A statement is out.
    Busy,
}

/// What a connection is at work for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Job {
    Command { command: u64, dispatch: usize },
    Probe,
}

/// What the server said since the statement.
#[derive(Default)]
pub struct Said {
    pub ending: Option<DispatchEnd>,
    pub stated: Report,
    pub report: Option<Report>,
    /// The report that the row holds, where a probe asked for it.
    pub row: Option<Report>,
    /// When the answer was whole.
    pub at: Option<Micros>,
}

/// What was heard last.
#[derive(Debug, PartialEq)]
pub enum Heard {
    Nothing,
    /// The startup is over.
    Ready,
    /// The answer is whole; its bytes are at this place of the inbox.
    Answer(Vec<Range<usize>>),
    /// Ready for the next statement.
    Done,
    /// It makes no sense.
    Nonsense,
}

/// What passes between the gateway and a server on one connection, whatever carries it.
pub struct Talk {
    pub phase: Phase,
    pub inbox: Inbox,
    pub said: Said,
    /// The messages of the answer so far, and how far the inbox was looked through.
    answer: Vec<Range<usize>>,
    looked: usize,
}

impl Default for Talk {
    fn default() -> Self {
        Talk {
            phase: Phase::Connecting,
            inbox: Inbox::default(),
            said: Said::default(),
            answer: Vec::new(),
            looked: 0,
        }
    }
}

impl Talk {
    /// Looks at the next messages, up to one that matters.
    pub fn hear(&mut self, now: Micros) -> Heard {
        loop {
            let (kind, length) = match frames::first(&self.inbox.rest()[self.looked..], MESSAGE_MOST) {
                Ok(Some(first)) => first,
                Ok(None) => return Heard::Nothing,
                Err(_) => return Heard::Nonsense,
            };
            let here = self.looked..self.looked + length;
            self.looked = here.end;
            let body = &self.inbox.rest()[here.start + frames::HEAD..here.end];
            match (self.phase, kind) {
                (_, b'N') | (Phase::Starting, b'K') => {}
                (_, b'S') => self.said.parameter(body),
                (Phase::Starting, b'R') if body == [0; 4] => {}
                (Phase::Starting, b'Z') => {
                    self.phase = Phase::Ready;
                    self.drop_looked();
                    return Heard::Ready;
                }
                (Phase::Starting, b'E') => {
                    // Turned away before it was asked anything; else it was just not reached.
                    let ending = frames::error_code(body).map(ending_of);
                    self.said.ending = ending.filter(|ending| *ending == DispatchEnd::SentBack);
                    return Heard::Nonsense;
                }
                (Phase::Busy, b'E') if self.said.ending.is_none() => {
                    let Some(code) = frames::error_code(body) else { return Heard::Nonsense };
                    self.said.ending = Some(ending_of(code));
                    self.said.at = Some(now);
                }
                (Phase::Busy, b'T') if self.answer.is_empty() && frames::is_one_column(body) => {
                    self.answer.push(here)
                }
                (Phase::Busy, b'D') if self.answer.len() == 1 => {
                    let Some(value) = frames::column(body) else { return Heard::Nonsense };
                    self.said.row = std::str::from_utf8(value).ok().and_then(report);
                    self.answer.push(here);
                }
                (Phase::Busy, b'C')
                    if self.answer.len() == 2 && self.said.ending.is_none() && frames::is_one_row(body) =>
                {
                    self.answer.push(here);
                    self.said.ending = Some(DispatchEnd::Answered);
                    self.said.at = Some(now);
                    return Heard::Answer(self.answer.clone());
                }
                (Phase::Busy, b'Z') if self.said.ending.is_some() => {
                    self.phase = Phase::Ready;
                    self.drop_looked();
                    return Heard::Done;
                }
                _ => return Heard::Nonsense,
            }
        }
    }

    fn drop_looked(&mut self) {
        self.inbox.consume(self.looked);
        self.looked = 0;
        self.answer.clear();
    }
}

/// A connection to a server.
pub struct Line {
    pub server: usize,
    pub stream: Rc<TcpStream>,
    pub token: RegistrationToken,
    pub talk: Talk,
    pub outbox: Outbox,
    pub job: Option<Job>,
    /// When it was last without a job, and when the statement was written.
    pub rested: Micros,
    pub written: Option<Micros>,
    /// When it is given up, or closed if it idles.
    pub due: Timer,
    /// When its job is given up, which may be later while the connection is being opened.
    pub job_due: Micros,
    pub ended: bool,
    /// It stands for one that broke while it was opened, or is not to be opened once more.
    pub reopened: bool,
}

impl Line {
    pub fn new(server: usize, stream: Rc<TcpStream>, token: RegistrationToken, now: Micros) -> Self {
        Line {
            server,
            stream,
            token,
            talk: Talk::default(),
            outbox: Outbox::default(),
            job: None,
            rested: now,
            written: None,
            due: Timer::default(),
            job_due: 0,
            ended: false,
            reopened: false,
        }
    }

    /// Reads what is there.
    pub fn read(&mut self) {
        self.ended |= self.talk.inbox.read(&self.stream, ANSWER_MOST) != Reading::Dry;
    }

    /// Whether an idle connection is still good: nothing was said, and the server has not ended it.
    pub fn is_quiet(&mut self) -> bool {
        self.read();
        !self.ended && self.talk.inbox.rest().is_empty()
    }
}

impl Said {
    /// How a job ended: as the server said, or else by what happened to the connection.
    pub fn ending_by(&self, probe: bool, written: bool, happened: DispatchEnd) -> DispatchEnd {
        match self.ending {
            Some(ending) => ending,
            // Guards against a probe that found no way through in its time being told as a refused connection, which
            // keeps a member shut after the way is back.
            None if probe && happened == DispatchEnd::TimedOut => happened,
            // What was not written whole can't have run.
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
                    value.parse().ok().filter(|ms| (1..FAR).contains(ms)).map(micros_from_millis)
            }
            Some(("health", value)) => self.report = report(value).or(self.report),
            _ => {}
        }
    }
}

/// How a dispatch ended by the code of its error.
fn ending_of(code: &str) -> DispatchEnd {
    match code {
        "25006" | "72000" => DispatchEnd::Missed,
        "53300" => DispatchEnd::SentBack,
        _ => DispatchEnd::Errored,
    }
}

/// A load report; None: it names nothing known, or holds what can't be read, so that the rest is no evidence either.
fn report(text: &str) -> Option<Report> {
    let mut report = Report::default();
    for part in text.split(',') {
        let (name, value) = part.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|value| value.abs() < FAR as f64)?;
        match name.trim() {
            // Seconds of Unix time.
            "x0" => report.position = Some((value.clamp(0.0, FAR as f64 / 1e3) * 1e6) as Micros),
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

    /// One column named v.
    const COLUMN: &[u8] = b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";

    #[test]
    fn an_exchange_is_heard_the_same_however_it_is_split() {
        let row = [message(b'T', COLUMN), message(b'D', b"\0\x01\0\0\0\x02hi"), message(b'C', b"SELECT 1\0")]
            .concat();
        let told = [message(b'S', b"recovery\0off\0"), message(b'S', b"lsn_ms\x001767225600123\0")].concat();
        let health = message(b'S', b"health\0x0=1767225600.5,x1=0,pending=3\0");
        let bytes = [row.clone(), told, health, message(b'Z', b"I")].concat();
        for split in 0..bytes.len() {
            let mut talk = Talk { phase: Phase::Busy, ..Talk::default() };
            let mut heard = Vec::new();
            for part in [&bytes[..split], &bytes[split..]] {
                talk.inbox.put(part);
                loop {
                    match talk.hear(7) {
                        Heard::Nothing => break,
                        Heard::Answer(parts) => {
                            let whole: Vec<u8> =
                                parts.iter().flat_map(|p| talk.inbox.rest()[p.clone()].to_vec()).collect();
                            assert_eq!(whole, row, "split at {split}");
                            heard.push("answer");
                        }
                        Heard::Done => heard.push("done"),
                        other => panic!("split at {split}: {other:?}"),
                    }
                }
            }
            assert_eq!(heard, ["answer", "done"], "split at {split}");
            let said = &talk.said;
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

    #[test]
    fn senseless_figures_are_not_believed() {
        for (text, position, queue) in [
            ("x0=1767225600.5,queue=2", Some(1_767_225_600_500_000), Some(2.0)),
            ("x0=nan,queue=inf", None, None),
            ("x0=1e300,queue=-1e300", None, None),
            ("x0=-5", Some(0), None),
            ("x0=1767225600.5,queue=x", None, None),
            ("%%%,queue=2", None, None),
            ("x0=9e13", Some(FAR * 1_000), None),
        ] {
            let report = report(text).unwrap_or_default();
            assert_eq!((report.position, report.queue), (position, queue), "{text}");
        }
        for (text, position) in [("7", Some(7_000)), ("0", None), ("-7", None), ("99999999999999999", None)] {
            let mut said = Said::default();
            said.parameter(format!("lsn_ms\0{text}\0").as_bytes());
            assert_eq!(said.stated.position, position, "{text}");
        }
    }

    #[test]
    fn what_was_not_said_is_told_by_the_connection() {
        use DispatchEnd::*;
        // What the server said, whether a probe, whether written whole, what happened, and the ending.
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
            let heard = Said { ending: said, ..Said::default() };
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
            ("a write at a replica", error("25006"), Heard::Done, Some(DispatchEnd::Missed)),
            ("too far behind", error("72000"), Heard::Done, Some(DispatchEnd::Missed)),
            ("an error", error("XX000"), Heard::Done, Some(DispatchEnd::Errored)),
            ("another error", error("57P03"), Heard::Done, Some(DispatchEnd::Errored)),
            (
                "an error half way",
                [row.clone(), error("XX000")].concat(),
                Heard::Done,
                Some(DispatchEnd::Errored),
            ),
            ("turned away", error("53300"), Heard::Done, Some(DispatchEnd::SentBack)),
            ("ready without an answer", vec![], Heard::Nonsense, None),
            ("an answer without a row", [row, message(b'C', b"SELECT 0\0")].concat(), Heard::Nonsense, None),
            ("a length below its own", b"E\0\0\0\x01".to_vec(), Heard::Nonsense, None),
            ("a length beyond all", b"E\x7f\0\0\x01".to_vec(), Heard::Nonsense, None),
            ("an empty error", message(b'E', b""), Heard::Nonsense, None),
            ("an error without an end", message(b'E', b"C53300\0"), Heard::Nonsense, None),
            ("an answer", whole.clone(), Heard::Answer(parts), Some(DispatchEnd::Answered)),
            ("a row described as two", answer(b"\0\x02", one, done), Heard::Nonsense, None),
            ("a description cut short", answer(&COLUMN[..15], one, done), Heard::Nonsense, None),
            ("two columns", answer(COLUMN, b"\0\x02\0\0\0\x02hi", done), Heard::Nonsense, None),
            (
                "a value longer than its row",
                answer(COLUMN, b"\0\x01\0\0\0\x03hi", done),
                Heard::Nonsense,
                None,
            ),
            (
                "a value shorter than its row",
                answer(COLUMN, b"\0\x01\0\0\0\x01hi", done),
                Heard::Nonsense,
                None,
            ),
            ("a value below zero", answer(COLUMN, b"\0\x01\xff\xff\xff\xffhi", done), Heard::Nonsense, None),
            ("no value", answer(COLUMN, b"\0\x01\0", done), Heard::Nonsense, None),
            ("another tag", answer(COLUMN, one, b"SELECT 2\0"), Heard::Nonsense, None),
            ("a tag without an end", answer(COLUMN, one, b"SELECT 1"), Heard::Nonsense, None),
            ("a value beyond all", b"D\xb2\xd0\x5e\x0a\0\x01".to_vec(), Heard::Nonsense, None),
            ("a startup out of turn", message(b'R', &[0; 4]), Heard::Nonsense, None),
        ] {
            let mut talk = Talk { phase: Phase::Busy, ..Talk::default() };
            talk.inbox.put(&[said, message(b'Z', b"I")].concat());
            assert_eq!(talk.hear(0), heard, "{what}");
            assert_eq!(talk.said.ending, ending, "{what}");
        }
    }
}
