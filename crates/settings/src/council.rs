//! `[council]`: agreed documents, leases and duties that one gateway holds at a time.

use std::net::SocketAddr;
use std::path::PathBuf;

use tansyjunction::interface::Micros;

use crate::ini::{Fault, Section};
use crate::values::{duration, flag, list, unknown, whole};

/// What may stand between braces in a statement that makes a server the primary.
const PLACES: [&str; 3] = ["shard", "to", "epoch"];
/// A lease must outlive some renewals that get lost.
const RENEWALS: Micros = 3;
/// Clocks that run further apart than this are no clocks.
const DRIFT_MOST: u64 = 20;

/// Times in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Council {
    /// Off: no thread is started, nothing is sent and nothing is read.
    pub enabled: bool,
    /// Where datagrams of the other gateways are taken.
    pub listen: Option<SocketAddr>,
    /// The file with the keys, as that of `[fellows]`; may be the same one.
    pub key_file: Option<PathBuf>,
    /// Names of the gateways that vote, 1, 3 or 5.
    pub seats: Vec<String>,
    /// Where each seat is reached from here.
    pub addresses: Vec<(String, SocketAddr)>,
    /// The folder of this gateway's store; seats alone have one.
    pub store: Option<PathBuf>,
    /// How long a duty and an attendance last without being renewed, and between two renewals.
    pub lease: Micros,
    pub attend_every: Micros,
    /// How far two clocks may drift apart, in percent.
    pub drift: u64,
    /// A holder that renews while its work waits and goes on nowhere loses the duty after so long.
    pub stall_for: Micros,
    /// One that lost a duty to a fault is passed over for so long when it is given out again.
    pub flap_for: Micros,
    /// Between two beats of the leading seat, and the least silence of it before another one stands for election.
    pub beat: Micros,
    pub elect_after: Micros,
    /// Between two questions of a gateway that is no seat.
    pub ask_every: Micros,
    /// Entries that are kept before the log is cut.
    pub compact_after: u64,
    /// Makes a server the primary; None: an operator does, and the conductor waits for it.
    pub switch_statement: Option<String>,
    /// How long one try of that may take; what has no answer by then is told again. It may outlast a lease: whoever
    /// holds the duty next tells a later epoch, and the server refuses this one from then on.
    pub effect_within: Micros,
    /// How long each step of a change of primary may take before the change is taken back.
    pub step_within: Micros,
    /// Whether one gateway per group probes members that are down for all, and how old its word may be.
    pub scout: bool,
    pub scout_word: Micros,
}

impl Default for Council {
    fn default() -> Self {
        Council {
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
            // Members that are down are probed every 4 s at the least; the rest is for the way.
            scout_word: 6_000_000,
        }
    }
}

impl Council {
    pub(crate) fn read(&mut self, section: &Section) -> Result<(), Fault> {
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
            return Err(section.fault_at("store", "it is not a path from the root"));
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
            n if n > DRIFT_MOST => Err(format!("{n} is more than {DRIFT_MOST} percent")),
            n => Ok(n),
        };
        self.drift = section.value("drift", drift)?.unwrap_or(self.drift);
        let entries = |text: &str| match whole(text)? {
            n if n < 100 => Err(format!("{n} is fewer than 100")),
            n => Ok(n),
        };
        self.compact_after = section.value("compact_after", entries)?.unwrap_or(self.compact_after);
        self.switch_statement = section.value("switch_statement", statement)?;
        if self.lease < RENEWALS * self.attend_every {
            let message = format!("it is shorter than {RENEWALS} times 'attend_every'");
            return Err(section.fault_at("lease", message));
        }
        if self.elect_after < 3 * self.beat {
            return Err(section.fault_at("elect_after", "it is shorter than 3 times 'beat'"));
        }
        if self.stall_for < self.lease {
            return Err(section.fault_at("stall_for", "it is shorter than 'lease'"));
        }
        if self.enabled {
            let missing = [
                ("listen", self.listen.is_none()),
                ("key_file", self.key_file.is_none()),
                ("seats", self.seats.is_empty()),
            ];
            if let Some((key, _)) = missing.iter().find(|(_, missing)| *missing) {
                return Err(section.fault_at("enabled", format!("'{key}' is missing")));
            }
            let nowhere = |seat: &&String| !self.addresses.iter().any(|(name, _)| name == *seat);
            if let Some(seat) = self.seats.iter().find(nowhere) {
                return Err(section.fault_at("enabled", format!("'seat.{seat}' is missing")));
            }
        }
        Ok(())
    }

    fn read_seats(
        &mut self,
        section: &Section,
        address: impl Fn(&str) -> Result<SocketAddr, String> + Copy,
    ) -> Result<(), Fault> {
        let seats = |text: &str| {
            let seats = list(text)?;
            if let Some((at, twice)) = seats.iter().enumerate().find(|(at, one)| seats[..*at].contains(one)) {
                return Err(format!("'{twice}' stands there twice, at {}", at + 1));
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
                return Err(section.fault_at(&entry.key, format!("'{name}' is not among 'seats'")));
            }
            if let Some(address) = section.value(&entry.key, address)? {
                self.addresses.push((name.into(), address));
            }
        }
        Ok(())
    }
}

/// A statement with places for shard, target and epoch. A server that is not told the epoch can't refuse a holder whose
/// time is over.
fn statement(text: &str) -> Result<String, String> {
    for part in text.split('{').skip(1) {
        let name = part.split_once('}').map_or(part, |(name, _)| name);
        if !PLACES.contains(&name) {
            return Err(unknown("part", name, PLACES.into_iter()));
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
