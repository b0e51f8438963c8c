//! What keeps the council's part of a gateway from doing what it was asked, and what an operator can do.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a gateway does not start with `[council]`.
#[derive(Debug, thiserror::Error)]
pub enum Start {
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
    #[error("the council's thread: {0}")]
    Thread(String),
}

impl Start {
    pub fn remedy(&self) -> &'static str {
        match self {
            Start::NoStore { .. } => "name a folder in 'store', or take the gateway out of 'seats'",
            Start::NoSeat { .. } => "take 'store' away, or name the gateway in 'seats' everywhere",
            Start::Keys { .. } => "give it one key a line, 64 hexadecimal digits, readable by this user",
            Start::Listen { .. } => "choose an address of this machine that nothing else listens at",
            Start::Terms(fault) => fault.remedy(),
            Start::Thread(_) => "raise the limits on threads and descriptors of this user",
        }
    }
}

/// Why an operator's word was not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unable {
    #[error("the council is switched off")]
    Off,
    #[error("the council's part of this gateway does not answer")]
    Silent,
    #[error("this gateway has not heard the agreed documents yet")]
    NotWhole,
    #[error("'{0}' is not a word of the council")]
    NoSuchWord(String),
    #[error("'{0}' is missing")]
    Missing(&'static str),
    #[error("shard '{0}' has no number for a name")]
    NoNumber(String),
    #[error("there is no shard '{0}'")]
    NoShard(String),
    #[error("shard '{shard}' has no server '{server}'")]
    NoServer { server: String, shard: String },
    #[error("nobody is known to lead shard '{0}'")]
    NoPrimary(String),
    #[error("{server} leads shard '{shard}' already")]
    Leads { server: String, shard: String },
    #[error("'{0}' can't stand in a statement")]
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
    #[error("it is longer than a message may be")]
    TooLong,
    #[error("refused: {0}")]
    Refused(#[from] tansyjunction_duties::Refused),
    #[error("decided otherwise: {0}")]
    Otherwise(String),
}

impl Unable {
    pub fn remedy(&self) -> &'static str {
        match self {
            Unable::Off => "set 'enabled' of [council], and start the gateway anew",
            Unable::Silent => "see its log; its disk may be slow",
            Unable::NotWhole => "wait a moment; if it stays so, see whether it reaches a seat",
            Unable::NoSuchWord(_) => "say status, show, propose, withdraw, plan or abort",
            Unable::Missing(_) => "say it with the word",
            Unable::NoNumber(_) => "change its primary by `tansyjunction handover`, at each gateway",
            Unable::NoShard(_) | Unable::NoServer { .. } => {
                "see `tansyjunction handover status`, and discovery's list"
            }
            Unable::NoPrimary(_) => "wait until a write or a probe has shown it; see `handover status`",
            Unable::Leads { .. } => "nothing is to be done",
            Unable::BadName(_) => "name servers with letters, digits, dots, dashes and underscores",
            Unable::UnderWay { .. } => "wait for its end, or abort it first",
            Unable::NothingUnderWay(_) => "see `tansyjunction council status`",
            Unable::Reserved(_) => "use `tansyjunction council plan` and `abort`",
            Unable::NoDocument(_) => "see `tansyjunction council status`",
            Unable::Overtaken { .. } => "look at what is there now, and propose again",
            Unable::Undecided => {
                "see `tansyjunction council status`: more than half of the seats must be there"
            }
            Unable::TooLong => "shorten it, or divide it into several documents",
            Unable::Refused(refused) => refused.remedy(),
            Unable::Otherwise(_) => "see `tansyjunction council status`, then say it again",
        }
    }
}

/// Why a server was not made the primary, or may not have been.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unswitched {
    #[error("no list names {0}")]
    NoAddress(String),
    #[error("the lease ends before it could be told")]
    LeaseEnds,
    #[error("it was not reached: {0}")]
    NotReached(String),
    #[error("it answered with error {0}")]
    Refused(String),
    #[error("it has seen a later epoch")]
    Fenced,
    #[error("its answer did not come in time or makes no sense: {0}")]
    NoAnswer(String),
}

impl Unswitched {
    pub fn remedy(&self) -> &'static str {
        match self {
            Unswitched::NoAddress(_) => "see whether discovery lists the server",
            Unswitched::LeaseEnds => "nothing, if it is rare; else lengthen 'lease'",
            Unswitched::NotReached(_) => "see whether the server is up and reached from this gateway",
            Unswitched::Refused(_) => "see the server's log; correct 'switch_statement'",
            Unswitched::Fenced => "nothing: another gateway has taken over",
            Unswitched::NoAnswer(_) => "nothing, if it is rare: it is told again; else see the server's log",
        }
    }
}
