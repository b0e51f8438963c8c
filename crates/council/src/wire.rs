//! What members tell each other. Bodies are postcard; protobuf, which the crate raft is built with, never reads what
//! came over the network.

use raft::prelude::{Entry, EntryType, Message, MessageType};
use serde::{Deserialize, Serialize};

use crate::store::{Record, Whole};

/// Version of the messages.
pub const VERSION: u8 = 1;

#[derive(Serialize, Deserialize)]
pub struct Envelope<C> {
    pub version: u8,
    /// The council that the sender belongs to; 0: to none yet.
    pub council: u64,
    pub body: Body<C>,
}

#[derive(Serialize, Deserialize)]
pub enum Body<C> {
    Raft(Raft),
    /// A whole state waits for the receiver, of so many bytes: it is to ask for them.
    Offer {
        raft: Raft,
        whole: Whole,
        bytes: u64,
    },
    /// Wants the state of this index and term from this byte on.
    Want {
        index: u64,
        term: u64,
        from: u64,
    },
    Part {
        index: u64,
        term: u64,
        from: u64,
        bytes: Vec<u8>,
    },
    /// A disk without a seat asks for one.
    Knock {
        disk: u64,
    },
    /// This disk was replaced by another one.
    Replaced {
        disk: u64,
    },
    /// Proposals, and who first made them.
    Carry {
        origin: String,
        proposals: Vec<Proposal>,
    },
    /// An entry was decided.
    Decided {
        life: u64,
        ticket: u64,
        index: u64,
        outcome: Vec<u8>,
    },
    Fetch {
        since: u64,
    },
    Changes {
        since: u64,
        whole: u64,
        term: u64,
        leader: Option<String>,
        seats: Vec<(String, bool)>,
        changes: Vec<C>,
    },
}

/// An entry on its way, told from all others by origin, life and ticket.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Proposal {
    pub life: u64,
    pub ticket: u64,
    /// All tickets below are over for their origin.
    pub done: u64,
    pub entry: Vec<u8>,
}

/// A message of Raft, without a whole state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Raft {
    kind: u8,
    pub to: u64,
    pub from: u64,
    pub term: u64,
    log_term: u64,
    pub index: u64,
    entries: Vec<Record>,
    pub commit: u64,
    commit_term: u64,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
    /// Decided entries that the receiver's disk has said to hold, to its sender, in whichever term.
    pub vouched: u64,
}

/// The kinds that travel, by their number.
const KINDS: [MessageType; 12] = [
    MessageType::MsgAppend,
    MessageType::MsgAppendResponse,
    MessageType::MsgRequestVote,
    MessageType::MsgRequestVoteResponse,
    MessageType::MsgSnapshot,
    MessageType::MsgHeartbeat,
    MessageType::MsgHeartbeatResponse,
    MessageType::MsgUnreachable,
    MessageType::MsgTransferLeader,
    MessageType::MsgTimeoutNow,
    MessageType::MsgRequestPreVote,
    MessageType::MsgRequestPreVoteResponse,
];

impl Raft {
    /// `None`: a kind that does not travel.
    pub fn of(message: &Message) -> Option<Raft> {
        let kind = KINDS.iter().position(|kind| *kind == message.get_msg_type())? as u8;
        Some(Raft {
            kind,
            to: message.to,
            from: message.from,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.entries.iter().map(Record::of).collect(),
            commit: message.commit,
            commit_term: message.commit_term,
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            context: message.context.to_vec(),
            priority: message.priority,
            vouched: 0,
        })
    }

    pub fn kind(&self) -> Option<MessageType> {
        KINDS.get(usize::from(self.kind)).copied()
    }

    /// `None`: of a kind that this program does not know.
    pub fn message(self) -> Option<Message> {
        let kind = self.kind()?;
        let mut message = Message::default();
        message.set_msg_type(kind);
        message.to = self.to;
        message.from = self.from;
        message.term = self.term;
        message.log_term = self.log_term;
        message.index = self.index;
        message.set_entries(self.entries.into_iter().map(Record::entry).collect::<Vec<Entry>>().into());
        message.commit = self.commit;
        message.commit_term = self.commit_term;
        message.request_snapshot = self.request_snapshot;
        message.reject = self.reject;
        message.reject_hint = self.reject_hint;
        message.context = self.context.into();
        message.priority = self.priority;
        Some(message)
    }
}

impl Record {
    pub fn of(entry: &Entry) -> Record {
        Record {
            index: entry.index,
            term: entry.term,
            seating: entry.get_entry_type() != EntryType::EntryNormal,
            data: entry.data.to_vec(),
            context: entry.context.to_vec(),
        }
    }

    pub fn entry(self) -> Entry {
        let mut entry = Entry { index: self.index, term: self.term, ..Entry::default() };
        let kind = if self.seating { EntryType::EntryConfChange } else { EntryType::EntryNormal };
        entry.set_entry_type(kind);
        entry.data = self.data.into();
        entry.context = self.context.into();
        entry
    }
}

/// Term, the disk that votes, and for which one: by an answer, or by asking for votes itself.
#[cfg(feature = "slips")]
pub fn vote(bytes: &[u8]) -> Option<(u64, u64, u64)> {
    let envelope: Envelope<()> = postcard::from_bytes(bytes).ok()?;
    let Body::Raft(raft) = envelope.body else { return None };
    match raft.kind()? {
        MessageType::MsgRequestVote => Some((raft.term, raft.from, raft.from)),
        MessageType::MsgRequestVoteResponse if !raft.reject => Some((raft.term, raft.from, raft.to)),
        _ => None,
    }
}
