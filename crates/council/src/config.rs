//! Configuration of a deployment.

use std::collections::BTreeSet;

use crate::ConsensusError;

/// A time in microseconds on the gateway's monotonic clock.
pub type Micros = u64;

/// Consensus settings; the same on all gateways of a deployment.
#[derive(Clone, Debug)]
pub struct ConsensusConfig {
    /// Names of the gateways that may be voting members: one, three or five.
    pub seats: Vec<String>,
    /// Heartbeat interval of the leader, and resolution of all timers.
    pub heartbeat_interval: Micros,
    /// Election timeout: at least three heartbeats. Randomized up to twice as long, by seed.
    pub election_timeout: Micros,
    /// Interval between a follower's requests for changes, and between retries of a proposal.
    pub retry_interval: Micros,
    /// A proposal not decided within this time is abandoned; it may still be decided.
    pub proposal_timeout: Micros,
    /// A member's disk that was silent for this long may be replaced by another one under the same name.
    pub replace_after: Micros,
    /// Number of applied entries after which a snapshot is written and the log compacted.
    pub compact_after: u64,
    /// Largest message body in bytes.
    pub max_message_bytes: usize,
}

impl Default for ConsensusConfig {
    fn default() -> Self {
        ConsensusConfig {
            seats: Vec::new(),
            heartbeat_interval: 100_000,
            election_timeout: 1_000_000,
            retry_interval: 200_000,
            proposal_timeout: 5_000_000,
            replace_after: 5_000_000,
            compact_after: 4_096,
            max_message_bytes: 60_000,
        }
    }
}

impl ConsensusConfig {
    /// Checks the settings against each other.
    ///
    /// # Errors
    /// Returns the first contradiction.
    pub fn check(&self) -> Result<(), ConsensusError> {
        let bad = |what: &str| Err(ConsensusError::Settings(what.into()));
        let names: BTreeSet<&String> = self.seats.iter().collect();
        if !matches!(self.seats.len(), 1 | 3 | 5) || names.len() != self.seats.len() {
            return bad("one, three or five seats, each named once");
        }
        if self.heartbeat_interval == 0
            || self.retry_interval == 0
            || self.election_timeout < 3 * self.heartbeat_interval
        {
            return bad("elect_after is at least three beats, and no time is zero");
        }
        if self.max_message_bytes < 1_200 || self.compact_after == 0 {
            return bad("a message has at least 1,200 bytes, and compact_after is not zero");
        }
        Ok(())
    }
}
