//! Phases of a shard, and the evidence of each server's role.

use tansyjunction::interface::Micros;

/// Phase of a shard in a change of primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Phase {
    /// The primary accepts writes, as far as is known.
    Steady,
    /// A change is planned; writes continue while the target catches up.
    Announced,
    /// New writes are held until those in flight have ended.
    Draining,
    /// The primary is lost and no other server claims the role.
    PrimaryLost,
    /// The primary gave up its role or drains; the next one is awaited.
    Electing,
    /// A server claims the role; the first write confirms it.
    Confirmed,
    /// Held writes are being released.
    Releasing,
    /// Two servers claim the role; neither gets writes.
    Conflict,
}

impl Phase {
    /// Name in logs and status output.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Steady => "steady",
            Phase::Announced => "announced",
            Phase::Draining => "draining",
            Phase::PrimaryLost => "unplanned",
            Phase::Electing => "electing",
            Phase::Confirmed => "confirmed",
            Phase::Releasing => "releasing",
            Phase::Conflict => "in doubt",
        }
    }

    /// Whether writes go to the router without being held.
    pub fn accepts_writes(self) -> bool {
        matches!(self, Phase::Steady | Phase::Announced)
    }

    /// Whether the primary is unknown or unconfirmed, so that one trial write at a time is sent.
    pub fn seeks_primary(self) -> bool {
        matches!(self, Phase::PrimaryLost | Phase::Electing | Phase::Confirmed)
    }
}

/// Evidence of one server's role.
#[derive(Clone, Debug, Default, Hash, PartialEq, Eq)]
pub(crate) struct Evidence {
    /// When it last claimed to be primary, and when it last denied it.
    pub claimed_at: Option<Micros>,
    pub denied_at: Option<Micros>,
    /// Its last reported replication position.
    pub position: Micros,
    /// Since when it is lost (connections refused, or several failures in a row); `None` if it answered since.
    pub lost_since: Option<Micros>,
    /// Broken connections and time-outs since its last answer.
    pub failures_in_row: u32,
    /// When it last answered.
    pub answered_at: Micros,
    /// When it was last probed.
    pub probed_at: Micros,
    /// Whether it drains or is gone.
    pub leaving: bool,
    pub listed_primary: bool,
    /// Whether it was primary in an earlier term and has not confirmed since that it follows.
    pub fenced: bool,
}

impl Evidence {
    /// Whether it claims to be primary, has not denied it since, and is not lost.
    pub fn is_primary(&self) -> bool {
        self.claimed_at.is_some_and(|at| self.denied_at.is_none_or(|no| no < at)) && self.lost_since.is_none()
    }

    /// Also whether it made the claim within the given time.
    pub fn claimed_recently(&self, now: Micros, within: Micros) -> bool {
        self.is_primary() && self.claimed_at.is_some_and(|at| now <= at + within)
    }

    /// Records an answer, with its position if it reported one.
    pub fn record_answer(&mut self, now: Micros, position: Option<Micros>) {
        (self.lost_since, self.failures_in_row, self.answered_at) = (None, 0, now);
        // Positions never decrease.
        self.position = self.position.max(position.unwrap_or(0));
    }
}
