//! `[council]`: consensus among gateways: agreed documents, leases and duties.

use std::net::SocketAddr;
use std::path::PathBuf;

use tansyjunction::interface::Micros;

use crate::ini::{Section, SettingsError};
use crate::values::{duration, flag, list, unknown, whole};

/// Placeholders allowed in `switch_statement`.
const PLACEHOLDERS: [&str; 3] = ["shard", "to", "epoch"];
/// Number of renewal intervals that a lease must cover, so that some renewals may be lost.
const RENEWALS_PER_LEASE: Micros = 3;
/// Largest clock drift in percent that is accepted.
const MAX_DRIFT_PERCENT: u64 = 20;

/// Times in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsensusSettings {
    /// If off, no thread is started and no datagrams are sent or read.
    pub enabled: bool,
    /// Address for datagrams of the other gateways.
    pub listen: Option<SocketAddr>,
    /// File with the keys, in the format of `[fellows]`; may be the same file.
    pub key_file: Option<PathBuf>,
    /// Names of the voting gateways: 1, 3 or 5.
    pub seats: Vec<String>,
    /// Address of each voting gateway.
    pub addresses: Vec<(String, SocketAddr)>,
    /// Folder of this gateway's store; only voting gateways have one.
    pub store: Option<PathBuf>,
    /// Duration of leases and attendances without renewal, and the renewal interval.
    pub lease: Micros,
    pub attend_every: Micros,
    /// Largest clock drift in percent.
    pub drift: u64,
    /// A holder that renews but makes no progress while work waits loses the duty after this time.
    pub stall_for: Micros,
    /// A gateway that lost a duty involuntarily ranks last in elections for this time.
    pub flap_for: Micros,
    /// Heartbeat interval of the leader, and election timeout.
    pub beat: Micros,
    pub elect_after: Micros,
    /// Interval between requests for changes of a gateway that does not vote.
    pub ask_every: Micros,
    /// Number of log entries after which the log is compacted.
    pub compact_after: u64,
    /// Statement that makes a server the primary. `None`: an operator does it, and the conductor waits.
    pub switch_statement: Option<String>,
    /// Timeout of one attempt; an unanswered one is repeated. It may outlast a lease: the next holder uses a later
    /// epoch, after which the server rejects this one.
    pub effect_within: Micros,
    /// Timeout of each step of a change of primary, after which the change is reverted.
    pub step_within: Micros,
    /// Whether one gateway per group probes members that are down for all, and the largest age of its results.
    pub scout: bool,
    pub scout_word: Micros,
}

impl Default for ConsensusSettings {
    fn default() -> Self {
        ConsensusSettings {
            enabled: false,
            listen: None,
            key_file: None,
            seats: Vec::new(),
            addresses: Vec::new(),
            store: None,
            lease: 2_000_000,
            attend_every: 400_000,
            drift: 1,
            stall_for: 5_000_000,
            flap_for: 30_000_000,
            beat: 100_000,
            elect_after: 500_000,
            ask_every: 100_000,
            compact_after: 1_000,
            switch_statement: None,
            effect_within: 1_000_000,
            step_within: 10_000_000,
            scout: false,
            // Members that are down are probed at least every 4 s; the rest covers transit.
            scout_word: 6_000_000,
        }
    }
}

impl ConsensusSettings {
    pub(crate) fn read(&mut self, section: &Section) -> Result<(), SettingsError> {
        section.only(&[
            "enabled",
            "listen",
            "key_file",
            "seats",
            "seat.",
            "store",
            "lease",
            "attend_every",
            "drift",
            "stall_for",
            "flap_for",
            "beat",
            "elect_after",
            "ask_every",
            "compact_after",
            "switch_statement",
            "effect_within",
            "step_within",
            "scout",
            "scout_word",
        ])?;
        let address =
            |text: &str| text.parse().map_err(|_| format!("'{text}' is not an address with a port"));
        self.enabled = section.value("enabled", flag)?.unwrap_or(self.enabled);
        self.listen = section.value("listen", address)?;
        self.key_file = section.entry("key_file").map(|entry| PathBuf::from(&entry.value));
        self.store = section.entry("store").map(|entry| PathBuf::from(&entry.value));
        if self.store.as_ref().is_some_and(|path| !path.is_absolute()) {
            return Err(section.error_at("store", "not an absolute path"));
        }
        self.read_seats(section, address)?;
        let some = |text: &str| match duration(text)? {
            0 => Err("0 is too short".to_string()),
            time => Ok(time),
        };
        for (key, value) in [
            ("lease", &mut self.lease),
            ("attend_every", &mut self.attend_every),
            ("stall_for", &mut self.stall_for),
            ("flap_for", &mut self.flap_for),
            ("beat", &mut self.beat),
            ("elect_after", &mut self.elect_after),
            ("ask_every", &mut self.ask_every),
            ("effect_within", &mut self.effect_within),
            ("step_within", &mut self.step_within),
            ("scout_word", &mut self.scout_word),
        ] {
            *value = section.value(key, some)?.unwrap_or(*value);
        }
        self.scout = section.value("scout", flag)?.unwrap_or(self.scout);
        let drift = |text: &str| match whole(text)? {
            n if n > MAX_DRIFT_PERCENT => Err(format!("{n} is more than {MAX_DRIFT_PERCENT} percent")),
            n => Ok(n),
        };
        self.drift = section.value("drift", drift)?.unwrap_or(self.drift);
        let entries = |text: &str| match whole(text)? {
            n if n < 100 => Err(format!("{n} is fewer than 100")),
            n => Ok(n),
        };
        self.compact_after = section.value("compact_after", entries)?.unwrap_or(self.compact_after);
        self.switch_statement = section.value("switch_statement", statement)?;
        if self.lease < RENEWALS_PER_LEASE * self.attend_every {
            let message = format!("it is shorter than {RENEWALS_PER_LEASE} times 'attend_every'");
            return Err(section.error_at("lease", message));
        }
        if self.elect_after < 3 * self.beat {
            return Err(section.error_at("elect_after", "it is shorter than 3 times 'beat'"));
        }
        if self.stall_for < self.lease {
            return Err(section.error_at("stall_for", "it is shorter than 'lease'"));
        }
        if self.enabled {
            let missing = [
                ("listen", self.listen.is_none()),
                ("key_file", self.key_file.is_none()),
                ("seats", self.seats.is_empty()),
            ];
            if let Some((key, _)) = missing.iter().find(|(_, missing)| *missing) {
                return Err(section.error_at("enabled", format!("'{key}' is missing")));
            }
            let nowhere = |seat: &&String| !self.addresses.iter().any(|(name, _)| name == *seat);
            if let Some(seat) = self.seats.iter().find(nowhere) {
                return Err(section.error_at("enabled", format!("'seat.{seat}' is missing")));
            }
        }
        Ok(())
    }

    fn read_seats(
        &mut self,
        section: &Section,
        address: impl Fn(&str) -> Result<SocketAddr, String> + Copy,
    ) -> Result<(), SettingsError> {
        let seats = |text: &str| {
            let seats = list(text)?;
            if let Some((at, twice)) = seats.iter().enumerate().find(|(at, one)| seats[..*at].contains(one)) {
                return Err(format!("'{twice}' is listed twice, at {}", at + 1));
            }
            match seats.len() {
                1 | 3 | 5 => Ok(seats),
                n => Err(format!("there are 1, 3 or 5 of them, not {n}")),
            }
        };
        self.seats = section.value("seats", seats)?.unwrap_or_default();
        for entry in &section.entries {
            let Some(name) = entry.key.strip_prefix("seat.") else { continue };
            if !self.seats.iter().any(|seat| seat == name) {
                return Err(section.error_at(&entry.key, format!("'{name}' is not among 'seats'")));
            }
            if let Some(address) = section.value(&entry.key, address)? {
                self.addresses.push((name.into(), address));
            }
        }
        Ok(())
    }
}

/// A statement with placeholders for shard, target and epoch. Without the epoch the server could not reject a holder
/// whose lease has expired.
fn statement(text: &str) -> Result<String, String> {
    for part in text.split('{').skip(1) {
        let name = part.split_once('}').map_or(part, |(name, _)| name);
        if !PLACEHOLDERS.contains(&name) {
            return Err(unknown("part", name, PLACEHOLDERS.into_iter()));
        }
    }
    match text.contains("{epoch}") && text.contains("{to}") {
        true => Ok(text.into()),
        false => {
            Err("without {epoch} a server can't refuse a holder whose time is over; {to} is needed too"
                .into())
        }
    }
}
