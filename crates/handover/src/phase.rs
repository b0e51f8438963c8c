//! Phases of a shard, and the evidence for them.

use tansyjunction::interface::Micros;

/// Where a shard is in a change of primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Phase {
    /// Its primary takes writes, as far as is known.
    Steady,
    /// A change is planned; writes go on while the target catches up.
    Announced,
    /// New writes are held until those that are out have ended.
    Draining,
    /// The primary is lost; nobody else has claimed its place.
    Unplanned,
    /// The primary has given its role back, or was drained: the next one is awaited.
    Electing,
    /// Somebody leads; the first write shows whether that is so.
    Confirmed,
    /// What was held goes out.
    Releasing,
    /// Two claim to lead: neither gets a write.
    InDoubt,
}

impl Phase {
    pub fn name(self) -> &'static str {
        match self {
            Phase::Steady => "steady",
            Phase::Announced => "announced",
            Phase::Draining => "draining",
            Phase::Unplanned => "unplanned",
            Phase::Electing => "electing",
            Phase::Confirmed => "confirmed",
            Phase::Releasing => "releasing",
            Phase::InDoubt => "in doubt",
        }
    }

    /// Writes go straight to the router.
    pub fn open(self) -> bool {
        matches!(self, Phase::Steady | Phase::Announced)
    }

    /// A primary is sought: one write at a time shows the way.
    pub fn seeking(self) -> bool {
        matches!(self, Phase::Unplanned | Phase::Electing | Phase::Confirmed)
    }
}

/// What is known of one server's role.
#[derive(Clone, Debug, Default, Hash, PartialEq, Eq)]
pub(crate) struct Evidence {
    /// When it last claimed to lead, and where it stood then; when it last denied it.
    pub claimed: Option<Micros>,
    pub denied: Option<Micros>,
    /// Where it stands, as far as told.
    pub position: Micros,
    /// Since when it is lost: refused, or broken or silent more than once; None: it was heard since.
    pub lost: Option<Micros>,
    /// Breaks and silences since it was last heard.
    pub breaks: u32,
    /// When it was last heard.
    pub heard_at: Micros,
    /// When it was last asked how it stands.
    pub looked: Micros,
    /// It drains or is gone.
    pub leaving: bool,
    pub listed_primary: bool,
    /// It led in an earlier term and has not said since that it follows.
    pub fenced: bool,
}

impl Evidence {
    /// It claims to lead, has not denied it since, and is there.
    pub fn leads(&self) -> bool {
        self.claimed.is_some_and(|at| self.denied.is_none_or(|no| no < at)) && self.lost.is_none()
    }

    /// The same, and it was heard to claim it within so long.
    pub fn leads_of_late(&self, now: Micros, within: Micros) -> bool {
        self.leads() && self.claimed.is_some_and(|at| now <= at + within)
    }

    pub fn heard(&mut self, now: Micros, position: Option<Micros>) {
        (self.lost, self.breaks, self.heard_at) = (None, 0, now);
        // Positions never go back.
        self.position = self.position.max(position.unwrap_or(0));
    }
}
