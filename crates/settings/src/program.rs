//! The program's own settings: read, validated and completed with defaults.
//!
//! Without a file all settings have their defaults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use tansyjunction::interface::Micros;

use crate::council::ConsensusSettings;
use crate::ini::{Ini, Section, SettingsError};
use crate::values::{duration, flag, list, one_of, unknown, whole};

/// Log targets that have a level of their own.
pub const LOG_TARGETS: [&str; 8] =
    ["start", "clients", "servers", "discovery", "limits", "commands", "fellows", "council"];

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    Text,
    Json,
}

/// Log level.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    Off,
    Error,
    Warn,
    Info,
    Debug,
    Trace,
}

const LEVELS: [(&str, Level); 6] = [
    ("off", Level::Off),
    ("error", Level::Error),
    ("warn", Level::Warn),
    ("info", Level::Info),
    ("debug", Level::Debug),
    ("trace", Level::Trace),
];

/// `[log]`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    pub format: Format,
    pub level: Level,
    /// Levels of log targets, by name as in [`LOG_TARGETS`].
    pub levels: BTreeMap<String, Level>,
    /// Most log lines per second; further ones are counted and reported with the next line. 0: no limit.
    pub lines_a_second: u64,
}

/// `[expect]`: limits of the search for runs that violate an expectation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpectSettings {
    /// Largest replication lag before operators intervene, in microseconds; `None` if unspecified.
    pub replica_lag_allowed: Option<Micros>,
    /// Most faults in a run beyond those of its scenario.
    pub faults: usize,
    pub seeds: u64,
    /// Most runs per expectation, and the total time in microseconds.
    pub runs: u64,
    pub time_limit: Micros,
}

/// `[handover]`: holding of writes while a primary is replaced, and the operators' socket. Times in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverSettings {
    /// If off, writes go straight to the router.
    pub enabled: bool,
    /// Path of the operators' Unix socket, created with mode 0600; `None`: no socket.
    pub control: Option<PathBuf>,
    /// Most held writes of a shard and of a client; most bytes of a shard; all held bytes in percent of the memory.
    pub held_most: usize,
    pub held_client: usize,
    pub held_bytes: usize,
    pub held_memory: usize,
    pub announce_for: Micros,
    pub drain_for: Micros,
    pub switch_for: Micros,
    pub caught_up: Micros,
    /// Interval between the first releases over all gateways, and the shortest interval of this one.
    pub gap: Micros,
    pub gap_least: Micros,
    pub usual: Micros,
    pub look_every: Micros,
    pub suspect_after: Micros,
    pub doubt_for: Micros,
}

impl Default for HandoverSettings {
    fn default() -> Self {
        HandoverSettings {
            enabled: false,
            control: None,
            held_most: 2_000,
            held_client: 64,
            held_bytes: 8 << 20,
            held_memory: 12,
            announce_for: 5_000_000,
            drain_for: 1_000_000,
            switch_for: 30_000_000,
            caught_up: 1_000_000,
            gap: 4_000,
            gap_least: 200,
            usual: 2_000_000,
            look_every: 50_000,
            suspect_after: 250_000,
            doubt_for: 1_500_000,
        }
    }
}

impl HandoverSettings {
    fn read(&mut self, section: &Section) -> Result<(), SettingsError> {
        section.only(&[
            "enabled",
            "control",
            "held_most",
            "held_client",
            "held_bytes",
            "held_memory",
            "announce_for",
            "drain_for",
            "switch_for",
            "caught_up",
            "gap",
            "gap_least",
            "usual",
            "look_every",
            "suspect_after",
            "doubt_for",
        ])?;
        self.enabled = section.value("enabled", flag)?.unwrap_or(self.enabled);
        self.control = section.entry("control").map(|entry| PathBuf::from(&entry.value));
        let path = self.control.as_ref().is_some_and(|path| !path.is_absolute());
        if path {
            return Err(section.error_at("control", "not an absolute path"));
        }
        if self.control.is_some() && !self.enabled {
            return Err(section.error_at("control", "has no effect unless 'enabled' is yes"));
        }
        let some = |text: &str| match whole(text)? {
            0 => Err("0 is too few".to_string()),
            n => Ok(n as usize),
        };
        for (key, value) in [
            ("held_most", &mut self.held_most),
            ("held_client", &mut self.held_client),
            ("held_bytes", &mut self.held_bytes),
            ("held_memory", &mut self.held_memory),
        ] {
            *value = section.value(key, some)?.unwrap_or(*value);
        }
        if self.held_memory > 50 {
            return Err(
                section.error_at("held_memory", "more than 50 percent leaves too little for the rest")
            );
        }
        for (key, value) in [
            ("announce_for", &mut self.announce_for),
            ("drain_for", &mut self.drain_for),
            ("switch_for", &mut self.switch_for),
            ("caught_up", &mut self.caught_up),
            ("gap", &mut self.gap),
            ("gap_least", &mut self.gap_least),
            ("usual", &mut self.usual),
            ("look_every", &mut self.look_every),
            ("suspect_after", &mut self.suspect_after),
            ("doubt_for", &mut self.doubt_for),
        ] {
            *value = section.value(key, duration)?.unwrap_or(*value);
        }
        Ok(())
    }
}

/// `[fellows]`: membership and gossip among gateways. Times in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// If off, nothing is sent and received datagrams are ignored.
    pub enabled: bool,
    /// Address for datagrams; `None`: the configuration's `peer_listen`.
    pub listen: Option<SocketAddr>,
    /// File with the keys.
    pub key_file: Option<PathBuf>,
    /// Addresses of other gateways by name.
    pub peers: Vec<(String, SocketAddr)>,
    /// Addresses of other gateways where they differ from those that they announce.
    pub routes: Vec<(String, SocketAddr)>,
    /// Regions in order with their zones; unnamed zones form one more region.
    pub regions: Vec<(String, Vec<String>)>,
    /// Probe interval; time from suspicion to death in the own region; factor for other regions.
    pub probe_every: Micros,
    pub suspect_for: Micros,
    pub far: u64,
    /// Intervals of gossip and of evidence.
    pub gossip_every: Micros,
    /// Largest datagram in bytes.
    pub datagram: usize,
    /// Lifetime of evidence; datagrams in transit for longer than `old_after` are rejected.
    pub keep_for: Micros,
    pub old_after: Micros,
    /// Whether others' observations are passed to the router.
    pub advise: bool,
    /// Whether all observations of servers are sent, or only problems and their end.
    pub tell_all: bool,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            enabled: false,
            listen: None,
            key_file: None,
            peers: Vec::new(),
            routes: Vec::new(),
            regions: Vec::new(),
            probe_every: 500_000,
            suspect_for: 2_000_000,
            far: 3,
            gossip_every: 200_000,
            datagram: 256,
            keep_for: 30_000_000,
            old_after: 2_000_000,
            advise: true,
            tell_all: true,
        }
    }
}

impl MembershipSettings {
    /// Smallest datagram: two names, a tag and one change.
    const DATAGRAM_LEAST: u64 = 200;
    const DATAGRAM_MOST: u64 = 1_400;

    /// Index of a zone's region.
    pub fn region(&self, zone: &str) -> usize {
        let found = self.regions.iter().position(|(_, zones)| zones.iter().any(|one| one == zone));
        found.unwrap_or(self.regions.len())
    }

    fn read(&mut self, section: &Section) -> Result<(), SettingsError> {
        section.only(&[
            "enabled",
            "listen",
            "key_file",
            "peer.",
            "route.",
            "region.",
            "probe_every",
            "suspect_for",
            "far",
            "gossip_every",
            "datagram",
            "keep_for",
            "old_after",
            "advise",
            "tell",
        ])?;
        let address =
            |text: &str| text.parse().map_err(|_| format!("'{text}' is not an address with a port"));
        self.enabled = section.value("enabled", flag)?.unwrap_or(self.enabled);
        self.listen = section.value("listen", address)?;
        self.key_file = section.entry("key_file").map(|entry| PathBuf::from(&entry.value));
        for entry in &section.entries {
            if let Some(name) = entry.key.strip_prefix("peer.")
                && let Some(address) = section.value(&entry.key, address)?
            {
                self.peers.push((name.into(), address));
            } else if let Some(name) = entry.key.strip_prefix("route.")
                && let Some(address) = section.value(&entry.key, address)?
            {
                self.routes.push((name.into(), address));
            } else if let Some(name) = entry.key.strip_prefix("region.")
                && let Some(zones) = section.value(&entry.key, list)?
            {
                let twice = zones.iter().find(|zone| self.region(zone) < self.regions.len());
                if let Some(zone) = twice {
                    return Err(section.error_at(&entry.key, format!("zone '{zone}' is in two regions")));
                }
                self.regions.push((name.into(), zones));
            }
        }
        let some = |text: &str| match duration(text)? {
            0 => Err("0 is too short".to_string()),
            time => Ok(time),
        };
        for (key, value) in [
            ("probe_every", &mut self.probe_every),
            ("suspect_for", &mut self.suspect_for),
            ("gossip_every", &mut self.gossip_every),
            ("keep_for", &mut self.keep_for),
            ("old_after", &mut self.old_after),
        ] {
            *value = section.value(key, some)?.unwrap_or(*value);
        }
        self.far = section.value("far", whole)?.unwrap_or(self.far).clamp(1, 100);
        let within = |text: &str| match whole(text)? {
            n if (Self::DATAGRAM_LEAST..=Self::DATAGRAM_MOST).contains(&n) => Ok(n as usize),
            n => Err(format!("{n} is not from {} to {}", Self::DATAGRAM_LEAST, Self::DATAGRAM_MOST)),
        };
        self.datagram = section.value("datagram", within)?.unwrap_or(self.datagram);
        self.advise = section.value("advise", flag)?.unwrap_or(self.advise);
        let tells = [("all", true), ("trouble", false)];
        self.tell_all = section.value("tell", |text| one_of("way", text, &tells))?.unwrap_or(self.tell_all);
        if self.suspect_for < self.probe_every {
            return Err(section.error_at("suspect_for", "it is shorter than 'probe_every'"));
        }
        if self.enabled && self.key_file.is_none() {
            return Err(section.error_at("enabled", "'key_file' is missing"));
        }
        Ok(())
    }
}

/// All settings of the program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramSettings {
    pub log: LogSettings,
    pub expect: ExpectSettings,
    pub handover: HandoverSettings,
    pub fellows: MembershipSettings,
    pub council: ConsensusSettings,
    /// Path of the operators' socket.
    pub control: Option<PathBuf>,
}

impl Default for ProgramSettings {
    fn default() -> Self {
        let levels = BTreeMap::new();
        ProgramSettings {
            log: LogSettings { format: Format::Text, level: Level::Info, levels, lines_a_second: 20 },
            handover: HandoverSettings::default(),
            fellows: MembershipSettings::default(),
            council: ConsensusSettings::default(),
            control: None,
            expect: ExpectSettings {
                replica_lag_allowed: None,
                faults: 1,
                seeds: 4,
                runs: 20_000,
                time_limit: 10_000_000,
            },
        }
    }
}

impl ProgramSettings {
    /// Reads the file at `path`; `None`: all defaults.
    pub fn open(path: Option<&Path>) -> Result<ProgramSettings, SettingsError> {
        path.map_or(Ok(ProgramSettings::default()), |path| ProgramSettings::read(&Ini::open(path)?))
    }

    /// Validates parsed settings.
    pub fn read(ini: &Ini) -> Result<ProgramSettings, SettingsError> {
        let mut program = ProgramSettings::default();
        for section in &ini.sections {
            match section.name.as_str() {
                "log" => program.log.read(section)?,
                "expect" => program.expect.read(section)?,
                "handover" => program.handover.read(section)?,
                "fellows" => program.fellows.read(section)?,
                "council" => program.council.read(section)?,
                "control" => {
                    section.only(&["socket"])?;
                    program.control = section.entry("socket").map(|entry| PathBuf::from(&entry.value));
                    if program.control.as_ref().is_some_and(|path| !path.is_absolute()) {
                        return Err(section.error_at("socket", "not an absolute path"));
                    }
                }
                other => {
                    let known = ["log", "expect", "handover", "fellows", "council", "control"].into_iter();
                    return Err(section.error(unknown("section", other, known)));
                }
            }
        }
        // The older key, from before the section for the socket existed.
        program.control = program.control.take().or(program.handover.control.clone());
        if program.council.enabled && !program.handover.enabled {
            let section = ini.sections.iter().find(|section| section.name == "council");
            if let Some(section) = section {
                return Err(
                    section.error_at("enabled", "a conductor needs [handover] 'enabled' at each gateway")
                );
            }
        }
        let fellows = program.fellows.enabled && !program.fellows.peers.is_empty();
        if program.council.scout && !(program.council.enabled && fellows) {
            let section = ini.sections.iter().find(|section| section.name == "council");
            if let Some(section) = section {
                let message =
                    "a scout needs [council] and [fellows] 'enabled', and the fellows' names: 'peer.NAME'";
                return Err(section.error_at("scout", message));
            }
        }
        Ok(program)
    }
}

impl LogSettings {
    fn read(&mut self, section: &Section) -> Result<(), SettingsError> {
        section.only(&["format", "level", "level.", "lines_a_second"])?;
        let formats = [("text", Format::Text), ("json", Format::Json)];
        if let Some(format) = section.value("format", |text| one_of("format", text, &formats))? {
            self.format = format;
        }
        let level = |text: &str| one_of("level", text, &LEVELS);
        if let Some(level) = section.value("level", level)? {
            self.level = level;
        }
        for entry in &section.entries {
            let Some(part) = entry.key.strip_prefix("level.") else { continue };
            if !LOG_TARGETS.contains(&part) {
                return Err(section.error_at(&entry.key, unknown("part", part, LOG_TARGETS.into_iter())));
            }
            if let Some(level) = section.value(&entry.key, level)? {
                self.levels.insert(part.into(), level);
            }
        }
        if let Some(lines) = section.value("lines_a_second", whole)? {
            self.lines_a_second = lines;
        }
        Ok(())
    }
}

impl ExpectSettings {
    /// More faults cannot be searched in acceptable time.
    const FAULTS_MOST: u64 = 4;

    fn read(&mut self, section: &Section) -> Result<(), SettingsError> {
        section.only(&["replica_lag_allowed", "faults", "seeds", "runs", "time_limit"])?;
        self.replica_lag_allowed = section.value("replica_lag_allowed", duration)?;
        let few = |text: &str| match whole(text)? {
            n if n > Self::FAULTS_MOST => Err(format!("{n} is more than {}", Self::FAULTS_MOST)),
            n => Ok(n as usize),
        };
        let some =
            |text: &str| whole(text).and_then(|n| if n > 0 { Ok(n) } else { Err("0 is too few".into()) });
        self.faults = section.value("faults", few)?.unwrap_or(self.faults);
        self.seeds = section.value("seeds", some)?.unwrap_or(self.seeds);
        self.runs = section.value("runs", some)?.unwrap_or(self.runs);
        self.time_limit = section.value("time_limit", duration)?.unwrap_or(self.time_limit);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn absent_keys_take_their_defaults_and_faults_name_theirs() {
        let read = |text: &str| Ini::read("t.ini", text).and_then(|ini| ProgramSettings::read(&ini));
        assert_eq!(read(""), Ok(ProgramSettings::default()));
        let set = read(
            "[log]\nformat = json\nlevel = warn\nlevel.servers = debug\nlines_a_second = 5\n[expect]\nfaults = 2\n\
             replica_lag_allowed = 3s\ntime_limit = 1m",
        );
        let set = set.expect("it is well");
        assert_eq!((set.log.format, set.log.level, set.log.lines_a_second), (Format::Json, Level::Warn, 5));
        assert_eq!(set.log.levels.get("servers"), Some(&Level::Debug));
        let expect = &set.expect;
        assert_eq!((expect.faults, expect.seeds, expect.time_limit), (2, 4, 60_000_000));
        assert_eq!(expect.replica_lag_allowed, Some(3_000_000));
        for (text, said) in [
            ("[lug]", "t.ini:1 [lug]: no such section; the nearest is 'log'"),
            ("[log]\nfrmat = text", "t.ini:2 [log] 'frmat': no such key; the nearest is 'format'"),
            ("[log]\nformat = xml", "t.ini:2 [log] 'format': no such format; there are text, json"),
            ("[log]\nlevel = inf", "t.ini:2 [log] 'level': no such level; the nearest is 'info'"),
            ("[log]\nlevel.client = info", "[log] 'level.client': no such part; the nearest is 'clients'"),
            ("[log]\nlines_a_second = few", "'lines_a_second': 'few' is not a whole number"),
            ("[expect]\nfaults = 9", "'faults': 9 is more than 4"),
            ("[expect]\nseeds = 0", "'seeds': 0 is too few"),
            ("[expect]\ntime_limit = 10", "'time_limit': '10' is not a time"),
            ("[handover]\ncontrol = x", "'control': not an absolute path"),
            ("[handover]\ncontrol = /x", "'control': has no effect unless 'enabled' is yes"),
            ("[handover]\nheld_most = 0", "'held_most': 0 is too few"),
            ("[handover]\nheld_memory = 60", "'held_memory': more than 50 percent"),
            ("[handover]\nlook = 1s", "'look': no such key"),
            ("[fellows]\nenabled = yes", "'enabled': 'key_file' is missing"),
            ("[fellows]\npeer.n1 = here", "'peer.n1': 'here' is not an address"),
            ("[fellows]\nregion.a = x\nregion.b = y, x", "'region.b': zone 'x' is in two regions"),
            ("[fellows]\ndatagram = 20", "'datagram': 20 is not from 200 to 1400"),
            ("[fellows]\nprobe_every = 0", "'probe_every': 0 is too short"),
            ("[fellows]\nsuspect_for = 10ms", "'suspect_for': it is shorter than 'probe_every'"),
            ("[control]\nsocket = x", "'socket': not an absolute path"),
            ("[council]\nenabled = yes", "'enabled': 'listen' is missing"),
            ("[council]\nseats = n0, n1", "'seats': there are 1, 3 or 5 of them, not 2"),
            ("[council]\nseats = n0, n1, n1", "'seats': 'n1' is listed twice"),
            ("[council]\nseats = n0\nseat.n1 = 127.0.0.1:1", "'seat.n1': 'n1' is not among 'seats'"),
            ("[council]\nstore = x", "'store': not an absolute path"),
            ("[council]\nlease = 300ms", "'lease': it is shorter than 3 times 'attend_every'"),
            ("[council]\nscout = maybe", "'scout'"),
            ("[council]\nscout = yes", "'scout': a scout needs [council] and [fellows]"),
            ("[council]\nscout_word = 0s", "'scout_word': 0 is too short"),
            ("[council]\ndrift = 60", "'drift': 60 is more than 20 percent"),
            (
                "[council]\nswitch_statement = SELECT {shrad}",
                "'switch_statement': no such part; the nearest is",
            ),
            (
                "[council]\nswitch_statement = SELECT {to}",
                "'switch_statement': without {epoch} a server can't",
            ),
            (
                "[council]\nenabled = yes\nlisten = 127.0.0.1:1\nkey_file = /k\nseats = n0\nseat.n0 = 127.0.0.1:1",
                "'enabled': a conductor needs [handover]",
            ),
        ] {
            let fault = read(text).expect_err(text).to_string();
            assert!(fault.contains(said), "{fault}");
        }
    }
}
