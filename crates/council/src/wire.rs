//! Messages between members. Encoded with postcard; protobuf, a dependency of the crate `raft`, never parses input from
//! the network.

use raft::prelude::{Entry, EntryType, Message, MessageType};
use serde::{Deserialize, Serialize};

use crate::store::{LogRecord, StateSnapshot};

/// Version of the message format.
pub const MESSAGE_VERSION: u8 = 1;

/// A message with its version and cluster.
#[derive(Serialize, Deserialize)]
pub struct Envelope<C> {
    pub version: u8,
    /// Cluster of the sender; 0 if it has none yet.
    pub council: u64,
    pub body: Body<C>,
}

/// Content of a message.
#[derive(Serialize, Deserialize)]
pub enum Body<C> {
    Raft(RaftMessage),
    /// Offers a snapshot of this many bytes, which the receiver requests in parts.
    Offer {
        raft: RaftMessage,
        whole: StateSnapshot,
        bytes: u64,
    },
    /// Requests the snapshot of this index and term from this byte on.
    Want {
        index: u64,
        term: u64,
        from: u64,
    },
    /// A part of a snapshot.
    Part {
        index: u64,
        term: u64,
        from: u64,
        bytes: Vec<u8>,
    },
    /// A disk that is not a member asks to join.
    Knock {
        disk: u64,
    },
    /// Tells a disk that it was replaced.
    Replaced {
        disk: u64,
    },
    /// Forwards proposals of `origin`.
    Carry {
        origin: String,
        proposals: Vec<Proposal>,
    },
    /// Reports the outcome of a proposal.
    Decided {
        life: u64,
        ticket: u64,
        index: u64,
        outcome: Vec<u8>,
    },
    /// Requests changes of the state after an index.
    Fetch {
        since: u64,
    },
    /// Changes of the state, with the current membership.
    Changes {
        since: u64,
        whole: u64,
        term: u64,
        leader: Option<String>,
        seats: Vec<(String, bool)>,
        changes: Vec<C>,
    },
}

/// A proposed entry, identified by origin, process run and ticket.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Proposal {
    pub life: u64,
    pub ticket: u64,
    /// The origin no longer waits for lower tickets.
    pub done: u64,
    pub entry: Vec<u8>,
}

/// A Raft message without a snapshot.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RaftMessage {
    kind: u8,
    pub to: u64,
    pub from: u64,
    pub term: u64,
    log_term: u64,
    pub index: u64,
    entries: Vec<LogRecord>,
    pub commit: u64,
    commit_term: u64,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
    /// Committed index that the receiver's disk has acknowledged to this sender, in any term.
    pub vouched: u64,
}

/// Message types sent over the network, by their number.
const MESSAGE_TYPES: [MessageType; 12] = [
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

impl RaftMessage {
    /// Converts a message of the crate `raft`; `None` if its type is never sent.
    pub fn from_message(message: &Message) -> Option<RaftMessage> {
        let kind = MESSAGE_TYPES.iter().position(|kind| *kind == message.get_msg_type())? as u8;
        Some(RaftMessage {
            kind,
            to: message.to,
            from: message.from,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.entries.iter().map(LogRecord::of).collect(),
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

    /// The message type; `None` if unknown.
    pub fn message_type(&self) -> Option<MessageType> {
        MESSAGE_TYPES.get(usize::from(self.kind)).copied()
    }

    /// Converts to a message of the crate `raft`; `None` if the type is unknown.
    pub fn into_message(self) -> Option<Message> {
        let kind = self.message_type()?;
        let mut message = Message::default();
        message.set_msg_type(kind);
        message.to = self.to;
        message.from = self.from;
        message.term = self.term;
        message.log_term = self.log_term;
        message.index = self.index;
        message.set_entries(self.entries.into_iter().map(LogRecord::entry).collect::<Vec<Entry>>().into());
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

impl LogRecord {
    /// Converts an entry of the crate `raft`.
    pub fn of(entry: &Entry) -> LogRecord {
        LogRecord {
            index: entry.index,
            term: entry.term,
            seating: entry.get_entry_type() != EntryType::EntryNormal,
            data: entry.data.to_vec(),
            context: entry.context.to_vec(),
        }
    }

    /// Converts to an entry of the crate `raft`.
    pub fn entry(self) -> Entry {
        let mut entry = Entry { index: self.index, term: self.term, ..Entry::default() };
        let kind = if self.seating { EntryType::EntryConfChange } else { EntryType::EntryNormal };
        entry.set_entry_type(kind);
        entry.data = self.data.into();
        entry.context = self.context.into();
        entry
    }
}

/// Term, voting disk, and the disk it votes for, in a vote or a request for votes.
#[cfg(feature = "seeded-faults")]
pub fn vote(bytes: &[u8]) -> Option<(u64, u64, u64)> {
    let envelope: Envelope<()> = postcard::from_bytes(bytes).ok()?;
    let Body::Raft(raft) = envelope.body else { return None };
    match raft.message_type()? {
        MessageType::MsgRequestVote => Some((raft.term, raft.from, raft.from)),
        MessageType::MsgRequestVoteResponse if !raft.reject => Some((raft.term, raft.from, raft.to)),
        _ => None,
    }
}
