//! Authenticated datagrams, each accepted once: a keyed hash, a replay window, and a limit on the time in transit. An
//! invalid one costs one hash and changes nothing.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tansyjunction::interface::Micros;

use crate::seeded_faults::{self, SeededFault};

/// Bytes of the authentication tag.
const TAG_BYTES: usize = 16;
/// Size of the replay window.
const REPLAY_WINDOW: u64 = 64;
/// Largest clock drift as a divisor: 1 %.
const DRIFT_DIVISOR: u64 = 100;
/// Most senders with state; far more than there are gateways.
const MAX_SENDERS: usize = 8_192;
const MILLI: Micros = 1_000;

/// The keys in use: the first one seals, all of them open. To rotate keys while running, add the new one everywhere,
/// then move it to the front everywhere, then remove the old one.
#[derive(Clone)]
pub struct Keys(Vec<[u8; 32]>);

impl Keys {
    /// Parses one key per line of 64 hexadecimal digits; blank lines and lines that begin with `#` are skipped.
    ///
    /// Returns the invalid line.
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

    /// Derives keys for another purpose: datagrams sealed for one purpose are invalid for any other.
    pub fn for_use(&self, context: &str) -> Keys {
        Keys(self.0.iter().map(|key| blake3::derive_key(context, key)).collect())
    }

    fn tag(key: &[u8; 32], bytes: &[u8]) -> [u8; TAG_BYTES] {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&blake3::keyed_hash(key, bytes).as_bytes()[..TAG_BYTES]);
        tag
    }
}

/// Header before the body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedHeader {
    pub from: String,
    pub life: u64,
    count: u64,
    /// Milliseconds on the sender's clock since some moment of this incarnation.
    sent: u64,
}

/// Why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// It has no valid tag, or is malformed.
    Unsealed,
    /// It is a repetition.
    Again,
    /// It is from an earlier incarnation of its sender, or from another gateway of its name.
    Earlier,
    /// It was in transit for too long.
    Old,
}

struct SenderState {
    life: u64,
    newest: u64,
    /// Bit n: the datagram n before the newest was received.
    seen: u64,
    /// Smallest offset of our clock to the sender's, and when it was updated.
    min_offset: i64,
    at: Micros,
}

/// Seals outgoing and opens incoming datagrams.
pub struct DatagramSealer {
    keys: Keys,
    name: String,
    life: u64,
    count: u64,
    began: Micros,
    old_after: Micros,
    senders: BTreeMap<String, SenderState>,
}

impl DatagramSealer {
    /// Datagrams are rejected if their time in transit exceeds that of their sender's fastest one by more than
    /// `old_after`.
    pub fn new(keys: Keys, name: &str, life: u64, now: Micros, old_after: Micros) -> Self {
        let senders = BTreeMap::new();
        DatagramSealer { keys, name: name.into(), life, count: 0, began: now, old_after, senders }
    }

    /// Replaces the keys.
    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Starts another incarnation; numbering continues, so that earlier datagrams cannot be replayed.
    pub fn start_incarnation(&mut self, life: u64) {
        self.life = life;
    }

    /// Most bytes added to a body of a sender with this name.
    pub fn overhead(name: &str) -> usize {
        name.len() + 2 + 3 * 10 + TAG_BYTES
    }

    /// Seals a datagram body.
    pub fn seal(&mut self, now: Micros, body: &[u8]) -> Vec<u8> {
        self.count += 1;
        let sent = now.saturating_sub(self.began) / MILLI;
        let head = SealedHeader { from: self.name.clone(), life: self.life, count: self.count, sent };
        let mut bytes = postcard::to_stdvec(&head).unwrap_or_default();
        bytes.extend_from_slice(body);
        let tag = Keys::tag(&self.keys.0[0], &bytes);
        bytes.extend_from_slice(&tag);
        bytes
    }

    /// Opens a datagram: header, body, and time in transit beyond the sender's fastest one.
    pub fn open<'a>(
        &mut self,
        now: Micros,
        bytes: &'a [u8],
    ) -> Result<(SealedHeader, &'a [u8], Micros), RejectReason> {
        let (sealed, tag) = bytes.split_last_chunk::<TAG_BYTES>().ok_or(RejectReason::Unsealed)?;
        let same = |key: &[u8; 32]| {
            blake3::Hash::from(*blake3::keyed_hash(key, sealed).as_bytes()).as_bytes()[..TAG_BYTES] == tag[..]
        };
        if !self.keys.0.iter().any(same) && !seeded_faults::is_active(SeededFault::AnyTag) {
            return Err(RejectReason::Unsealed);
        }
        let (head, body) =
            postcard::take_from_bytes::<SealedHeader>(sealed).map_err(|_| RejectReason::Unsealed)?;
        let ahead = (now / MILLI) as i64 - head.sent.min(i64::MAX as u64) as i64;
        let known = self.senders.get(&head.from);
        if known.is_some_and(|sender| sender.life > head.life)
            && !seeded_faults::is_active(SeededFault::EarlierCounts)
        {
            return Err(RejectReason::Earlier);
        }
        if known.is_none() && self.senders.len() >= MAX_SENDERS {
            return Err(RejectReason::Again);
        }
        let fresh = known.is_none_or(|sender| sender.life < head.life);
        if fresh {
            let sender =
                SenderState { life: head.life, newest: head.count, seen: 1, min_offset: ahead, at: now };
            self.senders.insert(head.from.clone(), sender);
            return Ok((head, body, 0));
        }
        let Some(sender) = self.senders.get_mut(&head.from) else { return Err(RejectReason::Again) };
        if head.count > sender.newest {
            let step = head.count - sender.newest;
            sender.seen = if step < REPLAY_WINDOW { sender.seen << step | 1 } else { 1 };
            sender.newest = head.count;
        } else {
            let back = sender.newest - head.count;
            if !seeded_faults::is_active(SeededFault::NoWindow)
                && (back >= REPLAY_WINDOW || sender.seen & (1 << back) != 0)
            {
                return Err(RejectReason::Again);
            }
            sender.seen |= 1 << back.min(REPLAY_WINDOW - 1);
        }
        // Delayed datagrams must not make old evidence look new. Only the two own clocks are used; the smallest
        // offset may grow by the clock drift.
        let drift = (now.saturating_sub(sender.at) / DRIFT_DIVISOR / MILLI) as i64;
        (sender.min_offset, sender.at) = (ahead.min(sender.min_offset + drift), now);
        let late = (ahead - sender.min_offset).max(0) as Micros * MILLI;
        if late > self.old_after && !seeded_faults::is_active(SeededFault::OldCounts) {
            Err(RejectReason::Old)
        } else {
            Ok((head, body, late))
        }
    }

    /// The body of a datagram that was opened before, or rejected as of an earlier incarnation.
    pub fn body(bytes: &[u8]) -> Option<&[u8]> {
        let (sealed, _) = bytes.split_last_chunk::<TAG_BYTES>()?;
        postcard::take_from_bytes::<SealedHeader>(sealed).ok().map(|(_, body)| body)
    }
}
