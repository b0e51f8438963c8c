//! Errors of the consensus thread, with what an operator can do.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a gateway does not start with `[council]`.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("'council.seats' names {name}, but there is no 'store'")]
    NoStore { name: String },
    #[error("'council.store' is set, but {name} is not among 'seats'")]
    NoSeat { name: String },
    #[error("'council.key_file' {path}: {cause}")]
    Keys { path: PathBuf, cause: String },
    #[error("'council.listen' {address}: {cause}")]
    Listen { address: SocketAddr, cause: String },
    #[error("'council': {0}")]
    Terms(#[from] tansyjunction_duties::ConfigError),
    #[error("the consensus thread: {0}")]
    Thread(String),
}

impl StartError {
    /// What an operator can do about it.
    pub fn remedy(&self) -> &'static str {
        match self {
            StartError::NoStore { .. } => "name a folder in 'store', or take the gateway out of 'seats'",
            StartError::NoSeat { .. } => "take 'store' away, or name the gateway in 'seats' everywhere",
            StartError::Keys { .. } => "give it one key a line, 64 hexadecimal digits, readable by this user",
            StartError::Listen { .. } => "choose an address of this machine that nothing else listens at",
            StartError::Terms(fault) => fault.remedy(),
            StartError::Thread(_) => "raise the limits on threads and descriptors of this user",
        }
    }
}

/// Why an operator's request is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    #[error("consensus is disabled")]
    Off,
    #[error("the consensus thread of this gateway does not respond")]
    Silent,
    #[error("this gateway has not received the agreed documents yet")]
    NotWhole,
    #[error("'{0}' is not a council request")]
    NoSuchWord(String),
    #[error("'{0}' is missing")]
    Missing(&'static str),
    #[error("shard '{0}' has no number for a name")]
    NoNumber(String),
    #[error("there is no shard '{0}'")]
    NoShard(String),
    #[error("shard '{shard}' has no server '{server}'")]
    NoServer { server: String, shard: String },
    #[error("shard '{0}' has no known primary")]
    NoPrimary(String),
    #[error("{server} is the primary of shard '{shard}' already")]
    Leads { server: String, shard: String },
    #[error("'{0}' has characters that are not allowed in a statement")]
    BadName(String),
    #[error("a change of shard {shard} to {to} is under way: {step}")]
    UnderWay { shard: u32, to: String, step: String },
    #[error("no change of shard {0} is under way")]
    NothingUnderWay(u32),
    #[error("'{0}' belongs to a change of primary")]
    Reserved(String),
    #[error("there is no document '{0}'")]
    NoDocument(String),
    #[error("'{name}' was replaced meanwhile; it is at version {version}, by {by}")]
    Overtaken { name: String, version: u64, by: String },
    #[error("it was not decided in time; it may still be")]
    Undecided,
    #[error("it is larger than the message limit")]
    TooLong,
    #[error("refused: {0}")]
    Refused(#[from] tansyjunction_duties::Refused),
    #[error("decided otherwise: {0}")]
    Otherwise(String),
}

impl RequestError {
    /// What an operator can do about it.
    pub fn remedy(&self) -> &'static str {
        match self {
            RequestError::Off => "set 'enabled' of [council], and start the gateway anew",
            RequestError::Silent => "see its log; its disk may be slow",
            RequestError::NotWhole => {
                "wait a moment; if it stays so, check whether it reaches a voting member"
            }
            RequestError::NoSuchWord(_) => "use status, show, propose, withdraw, plan or abort",
            RequestError::Missing(_) => "add it to the request",
            RequestError::NoNumber(_) => "change its primary by `tansyjunction handover`, at each gateway",
            RequestError::NoShard(_) | RequestError::NoServer { .. } => {
                "see `tansyjunction handover status`, and discovery's list"
            }
            RequestError::NoPrimary(_) => "wait until a write or a probe has shown it; see `handover status`",
            RequestError::Leads { .. } => "nothing to do",
            RequestError::BadName(_) => "name servers with letters, digits, dots, dashes and underscores",
            RequestError::UnderWay { .. } => "wait for its end, or abort it first",
            RequestError::NothingUnderWay(_) => "see `tansyjunction council status`",
            RequestError::Reserved(_) => "use `tansyjunction council plan` and `abort`",
            RequestError::NoDocument(_) => "see `tansyjunction council status`",
            RequestError::Overtaken { .. } => "look at what is there now, and propose again",
            RequestError::Undecided => {
                "see `tansyjunction council status`: more than half of the voting members must be running"
            }
            RequestError::TooLong => "shorten it, or divide it into several documents",
            RequestError::Refused(refused) => refused.remedy(),
            RequestError::Otherwise(_) => "see `tansyjunction council status`, then repeat the request",
        }
    }
}

/// Why a server was not made the primary, or may not have been.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SwitchError {
    #[error("no server list contains {0}")]
    NoAddress(String),
    #[error("the lease ends too soon for the switch")]
    LeaseEnds,
    #[error("it was not reached: {0}")]
    NotReached(String),
    #[error("it answered with error {0}")]
    Refused(String),
    #[error("it has seen a later epoch")]
    Fenced,
    #[error("no valid answer in time: {0}")]
    NoAnswer(String),
}

impl SwitchError {
    /// What an operator can do about it.
    pub fn remedy(&self) -> &'static str {
        match self {
            SwitchError::NoAddress(_) => "see whether discovery lists the server",
            SwitchError::LeaseEnds => "nothing, if it is rare; else lengthen 'lease'",
            SwitchError::NotReached(_) => "see whether the server is up and reached from this gateway",
            SwitchError::Refused(_) => "see the server's log; correct 'switch_statement'",
            SwitchError::Fenced => "nothing: another gateway has taken over",
            SwitchError::NoAnswer(_) => "nothing, if it is rare: it is told again; else see the server's log",
        }
    }
}
