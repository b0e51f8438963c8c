//! Errors after which a member cannot continue, and what an operator can do.

use std::path::PathBuf;

/// A member cannot continue. It has sent nothing that its disk does not hold.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConsensusError {
    #[error("invalid settings of [council]: {0}")]
    Settings(String),
    #[error("{path} cannot be opened: {cause}")]
    CannotOpen { path: PathBuf, cause: String },
    #[error("a write to the consensus store failed: {0}")]
    Write(String),
    #[error("the consensus store is damaged: {0}")]
    Damaged(String),
    #[error("the consensus store has format {found}, this program supports {known}")]
    UnknownFormat { found: u32, known: u32 },
    #[error("{path} already exists and belongs to a cluster")]
    AlreadyExists { path: PathBuf },
    #[error("{path} has never been a member of a cluster")]
    NeverMember { path: PathBuf },
    #[error("entry {index} cannot be decoded by this program: {cause}")]
    Entry { index: u64, cause: String },
    #[error("this disk ends at entry {ends}, but it has acknowledged entry {vouched}: it is an older copy")]
    OutdatedDisk { ends: u64, vouched: u64 },
    #[error("the replicated state cannot be decoded by this program: {0}")]
    State(String),
    #[error("Raft rejected an operation: {0}")]
    Consensus(String),
}

impl ConsensusError {
    /// What an operator can do.
    pub fn remedy(&self) -> &'static str {
        match self {
            ConsensusError::Settings(_) => "correct the settings of [council]",
            ConsensusError::CannotOpen { .. } => {
                "check that the folder exists, is writable, and that no other gateway uses the same store"
            }
            ConsensusError::Write(_) => "make room on the disk or replace it, then start the gateway again",
            ConsensusError::Damaged(_) => {
                "move the file aside and start again: the gateway joins as a new member"
            }
            ConsensusError::UnknownFormat { .. } => {
                "run the newer program, or move the file aside and start again"
            }
            ConsensusError::AlreadyExists { .. } => "to create a new cluster, move the old file aside first",
            ConsensusError::NeverMember { .. } => "use the store of a former member, or create a new cluster",
            ConsensusError::Entry { .. } | ConsensusError::State(_) => {
                "another gateway runs a newer program: update this one"
            }
            ConsensusError::OutdatedDisk { .. } => {
                "move the file aside and start again: the gateway joins as a new member"
            }
            ConsensusError::Consensus(_) => "restart the gateway; if the error persists, move its file aside",
        }
    }
}
