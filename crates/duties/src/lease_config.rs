//! Lease times and limits from the settings, and bounds derived from them.

use tansyjunction::interface::Micros;

/// Times of leases and elections.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// How long a holder may act after it requested a renewal that was decided. The same holds for attendance.
    pub lease: Micros,
    /// Largest clock drift in millionths; 10,000 is 1 %.
    pub drift: u64,
    /// Added to lease and drift before a lease is considered expired: covers clock rounding and one event loop
    /// iteration.
    pub margin: Micros,
    /// Interval between renewals of a gateway.
    pub renew_interval: Micros,
    /// A holder that has work and makes no progress for this long loses the duty.
    pub stall_timeout: Micros,
    /// A holder that reports itself unhealthy for this long loses the duty.
    pub unhealthy_timeout: Micros,
    /// A gateway that lost a duty ranks behind all others for this long; one that lost it twice is not elected.
    pub flap_window: Micros,
    /// Additional delay of proposals by members that are not the leader.
    pub standby_delay: Micros,
    /// Interval after which an undecided proposal is repeated.
    pub retry_interval: Micros,
    /// Timeout of each step of a change of primary, after which it is aborted or passed on.
    pub step_timeout: Micros,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        LeaseConfig {
            lease: 2_000_000,
            drift: 10_000,
            margin: 20_000,
            renew_interval: 500_000,
            stall_timeout: 5_000_000,
            unhealthy_timeout: 2_000_000,
            flap_window: 60_000_000,
            standby_delay: 500_000,
            retry_interval: 500_000,
            step_timeout: 30_000_000,
        }
    }
}

/// Lease settings that contradict each other.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    #[error("lease is {lease} us, which is not three times attend_every ({attend_every} us)")]
    LeaseTooShort { lease: Micros, attend_every: Micros },
    #[error("drift is {drift} millionths; it must be below 100,000")]
    DriftTooLarge { drift: u64 },
    #[error("{what} must be more than 0")]
    Zero { what: &'static str },
    #[error("stall_for ({stall_for} us) is below the lease ({lease} us)")]
    StallTimeoutTooShort { stall_for: Micros, lease: Micros },
}

impl ConfigError {
    /// What an operator can do about it.
    pub fn remedy(&self) -> &'static str {
        match self {
            ConfigError::LeaseTooShort { .. } => "lengthen the lease, or renew more often",
            ConfigError::DriftTooLarge { .. } => "a clock that wrong must be repaired; set 10,000 or less",
            ConfigError::Zero { .. } => "leave it out, to have the default",
            ConfigError::StallTimeoutTooShort { .. } => "set stall_for to the lease or more",
        }
    }
}

const MILLION: u64 = 1_000_000;

impl LeaseConfig {
    /// Checks the settings against each other.
    ///
    /// # Errors
    ///
    /// Returns the first contradiction; [`ConfigError::remedy`] says what an operator can do.
    pub fn check(&self) -> Result<(), ConfigError> {
        let LeaseConfig { lease, drift, renew_interval: attend_every, stall_timeout: stall_for, .. } = *self;
        let zeros = [("lease", lease), ("attend_every", attend_every), ("again", self.retry_interval)];
        if let Some((what, _)) = zeros.into_iter().find(|(_, value)| *value == 0) {
            return Err(ConfigError::Zero { what });
        }
        if drift >= MILLION / 10 {
            return Err(ConfigError::DriftTooLarge { drift });
        }
        if lease < 3 * attend_every {
            return Err(ConfigError::LeaseTooShort { lease, attend_every });
        }
        if stall_for < lease {
            return Err(ConfigError::StallTimeoutTooShort { stall_for, lease });
        }
        Ok(())
    }

    /// How long a member waits by its own clock before a lease counts as expired. The slowest holder's clock counts the
    /// lease in lease / (1 - drift) of true time, which the fastest member's clock counts as (1 + drift) times as much.
    pub fn expires_after(&self) -> Micros {
        let longest = u128::from(self.lease) * u128::from(MILLION + self.drift);
        longest.div_ceil(u128::from(MILLION - self.drift)) as Micros + self.margin
    }

    /// Longest true time from a holder's last renewal until some member has proposed the expiry of its lease.
    fn expiry_known_after(&self) -> Micros {
        let waits = self.expires_after() + self.standby_delay + self.retry_interval;
        (u128::from(waits) * u128::from(MILLION)).div_ceil(u128::from(MILLION - self.drift)) as Micros
    }

    /// Longest time in µs for which two gateways may act by different versions of a document after a new one was
    /// decided: either every attending gateway adopts it (one renewal interval and a round trip), or its attendance
    /// expires (lease, drift, margin and a round trip for the decision). A command begun before may take
    /// `longest_command` more.
    pub fn contradiction_bound(&self, round_trip: Micros, longest_command: Micros) -> Micros {
        let takes_up = self.renew_interval + 2 * round_trip;
        let is_out = self.expiry_known_after() + 2 * round_trip;
        takes_up.max(is_out) + longest_command
    }

    /// Longest time in µs for which a duty has no holder after its holder was lost, while there is a leader and a
    /// candidate: expiry of the lease, counted from its last renewal, the grant, and the first renewal of the next
    /// holder.
    pub fn vacancy_bound(&self, round_trip: Micros) -> Micros {
        self.expiry_known_after() + 5 * round_trip
    }
}
