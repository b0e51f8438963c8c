//! Datagrams that prove who wrote them, and each of which counts once: a keyed hash, a window against repeats and a
//! bound on how long one was on its way. What does not verify costs one hash and changes nothing.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tansyjunction::interface::Micros;

use crate::slips::{self, Slip};

/// Bytes of the hash that travel.
const TAG: usize = 16;
/// How far behind the newest a datagram may come and still count.
const WINDOW: u64 = 64;
/// How much faster than ours another clock may run: a hundredth.
const DRIFT: u64 = 100;
/// Senders that are kept track of; far more than there are gateways.
const SENDERS: usize = 8_192;
const MILLI: Micros = 1_000;

/// The keys in use: the first seals, all open, so that a key can be changed while all run: add the new one everywhere,
/// then put it first everywhere, then take the old one away.
#[derive(Clone)]
pub struct Keys(Vec<[u8; 32]>);

impl Keys {
    /// One key a line, 64 hexadecimal digits; blank lines and those that begin with `#` are skipped.
    ///
    /// Errors name the line.
    pub fn read(text: &str) -> Result<Keys, String> {
        let mut keys = Vec::new();
        for (place, line) in text.lines().map(str::trim).enumerate() {
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let digit = |at: usize| line.get(at..at + 2).and_then(|two| u8::from_str_radix(two, 16).ok());
            let bytes: Option<Vec<u8>> = (0..line.len()).step_by(2).map(digit).collect();
            let key = bytes.and_then(|bytes| <[u8; 32]>::try_from(bytes).ok());
            keys.push(key.ok_or(format!("line {} is not 64 hexadecimal digits", place + 1))?);
        }
        if keys.is_empty() { Err("there is no key in it".into()) } else { Ok(Keys(keys)) }
    }

    /// Keys of the same file for another use: what is sealed for one use opens for no other.
    pub fn for_use(&self, context: &str) -> Keys {
        Keys(self.0.iter().map(|key| blake3::derive_key(context, key)).collect())
    }

    fn tag(key: &[u8; 32], bytes: &[u8]) -> [u8; TAG] {
        let mut tag = [0; TAG];
        tag.copy_from_slice(&blake3::keyed_hash(key, bytes).as_bytes()[..TAG]);
        tag
    }
}

/// What stands before the body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub from: String,
    pub life: u64,
    count: u64,
    /// Milliseconds of the sender's own clock since some moment of this life.
    sent: u64,
}

/// Why a datagram does not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refused {
    /// It is not sealed with a key of ours, or makes no sense.
    Unsealed,
    /// It came before.
    Again,
    /// It is of an earlier life of its sender, or of another gateway under its name.
    Earlier,
    /// It was on its way for too long.
    Old,
}

struct Sender {
    life: u64,
    newest: u64,
    /// Bit n: the one n before the newest has come.
    seen: u64,
    /// The least that our clock was ahead of its, and when it was told.
    least: i64,
    at: Micros,
}

/// Seals what goes out and opens what comes in.
pub struct Seals {
    keys: Keys,
    name: String,
    life: u64,
    count: u64,
    began: Micros,
    old_after: Micros,
    senders: BTreeMap<String, Sender>,
}

impl Seals {
    /// `old_after`: a datagram that was on its way for longer than this, beyond the quickest one of its sender, does
    /// not count.
    pub fn new(keys: Keys, name: &str, life: u64, now: Micros, old_after: Micros) -> Self {
        let senders = BTreeMap::new();
        Seals { keys, name: name.into(), life, count: 0, began: now, old_after, senders }
    }

    /// Other keys from now on.
    pub fn rekey(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Another life: counting goes on, so that nothing that was sent before could come again.
    pub fn renew(&mut self, life: u64) {
        self.life = life;
    }

    /// Bytes that sealing adds at most to a body of a sender with this name.
    pub fn overhead(name: &str) -> usize {
        name.len() + 2 + 3 * 10 + TAG
    }

    pub fn seal(&mut self, now: Micros, body: &[u8]) -> Vec<u8> {
        self.count += 1;
        let sent = now.saturating_sub(self.began) / MILLI;
        let head = Head { from: self.name.clone(), life: self.life, count: self.count, sent };
        let mut bytes = postcard::to_stdvec(&head).unwrap_or_default();
        bytes.extend_from_slice(body);
        let tag = Keys::tag(&self.keys.0[0], &bytes);
        bytes.extend_from_slice(&tag);
        bytes
    }

    /// The head, the body, and how long beyond the quickest one of its sender it was on its way.
    pub fn open<'a>(&mut self, now: Micros, bytes: &'a [u8]) -> Result<(Head, &'a [u8], Micros), Refused> {
        let (sealed, tag) = bytes.split_last_chunk::<TAG>().ok_or(Refused::Unsealed)?;
        let same = |key: &[u8; 32]| {
            blake3::Hash::from(*blake3::keyed_hash(key, sealed).as_bytes()).as_bytes()[..TAG] == tag[..]
        };
        if !self.keys.0.iter().any(same) && !slips::is(Slip::AnyTag) {
            return Err(Refused::Unsealed);
        }
        let (head, body) = postcard::take_from_bytes::<Head>(sealed).map_err(|_| Refused::Unsealed)?;
        let ahead = (now / MILLI) as i64 - head.sent.min(i64::MAX as u64) as i64;
        let known = self.senders.get(&head.from);
        if known.is_some_and(|sender| sender.life > head.life) && !slips::is(Slip::EarlierCounts) {
            return Err(Refused::Earlier);
        }
        if known.is_none() && self.senders.len() >= SENDERS {
            return Err(Refused::Again);
        }
        let fresh = known.is_none_or(|sender| sender.life < head.life);
        if fresh {
            let sender = Sender { life: head.life, newest: head.count, seen: 1, least: ahead, at: now };
            self.senders.insert(head.from.clone(), sender);
            return Ok((head, body, 0));
        }
        let Some(sender) = self.senders.get_mut(&head.from) else { return Err(Refused::Again) };
        if head.count > sender.newest {
            let step = head.count - sender.newest;
            sender.seen = if step < WINDOW { sender.seen << step | 1 } else { 1 };
            sender.newest = head.count;
        } else {
            let back = sender.newest - head.count;
            if !slips::is(Slip::NoWindow) && (back >= WINDOW || sender.seen & (1 << back) != 0) {
                return Err(Refused::Again);
            }
            sender.seen |= 1 << back.min(WINDOW - 1);
        }
        // Guards against datagrams that lay somewhere for long and would pass old evidence off as new: no clock but the
        // two own ones is needed. The least may rise by what the clocks may drift apart.
        let drift = (now.saturating_sub(sender.at) / DRIFT / MILLI) as i64;
        (sender.least, sender.at) = (ahead.min(sender.least + drift), now);
        let late = (ahead - sender.least).max(0) as Micros * MILLI;
        if late > self.old_after && !slips::is(Slip::OldCounts) {
            Err(Refused::Old)
        } else {
            Ok((head, body, late))
        }
    }

    /// The body of a datagram that opened before, or was refused as of an earlier life.
    pub fn body(bytes: &[u8]) -> Option<&[u8]> {
        let (sealed, _) = bytes.split_last_chunk::<TAG>()?;
        postcard::take_from_bytes::<Head>(sealed).ok().map(|(_, body)| body)
    }
}
