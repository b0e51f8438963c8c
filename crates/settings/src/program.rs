//! The program's own settings: the one place where they are read, checked and given defaults.
//!
//! Without a file all of them have the values that the program had before there was one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use tansyjunction::interface::Micros;

use crate::council::Council;
use crate::ini::{Fault, Ini, Section};
use crate::values::{duration, flag, list, one_of, unknown, whole};

/// The parts of the program whose log lines have a level of their own.
pub const PARTS: [&str; 8] =
    ["start", "clients", "servers", "discovery", "limits", "commands", "fellows", "council"];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    Text,
    Json,
}

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
pub struct Logging {
    pub format: Format,
    pub level: Level,
    /// Levels of single parts, by their names in [`PARTS`].
    pub levels: BTreeMap<String, Level>,
    /// Lines in any one second; what goes beyond is counted and told with the next line. 0: no bound.
    pub lines_a_second: u64,
}

/// `[expect]`: bounds of the search for runs that break an expectation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expecting {
    /// How far any replica may fall behind before operators step in, in microseconds; None: not stated.
    pub replica_lag_allowed: Option<Micros>,
    /// Faults beyond those of the world that a run may meet.
    pub faults: usize,
    pub seeds: u64,
    /// Runs of one expectation, and the time for all of them, in microseconds.
    pub runs: u64,
    pub time_limit: Micros,
}

/// `[handover]`: what is held while a primary is replaced, and where operators announce changes. Times in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handing {
    /// Off: writes go straight to the router, as without this part of the program.
    pub enabled: bool,
    /// A Unix socket for operators, made with mode 0600; None: there is none.
    pub control: Option<PathBuf>,
    /// Held writes of a shard, and of one client; bytes of a shard; all of them as a part of the memory, in percent.
    pub held_most: usize,
    pub held_client: usize,
    pub held_bytes: usize,
    pub held_memory: usize,
    pub announce_for: Micros,
    pub drain_for: Micros,
    pub switch_for: Micros,
    pub caught_up: Micros,
    /// Between the first releases of all gateways together, and the least between two of this one.
    pub gap: Micros,
    pub gap_least: Micros,
    pub usual: Micros,
    pub look_every: Micros,
    pub suspect_after: Micros,
    pub doubt_for: Micros,
}

impl Default for Handing {
    fn default() -> Self {
        Handing {
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

impl Handing {
    fn read(&mut self, section: &Section) -> Result<(), Fault> {
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
            return Err(section.fault_at("control", "it is not a path from the root"));
        }
        if self.control.is_some() && !self.enabled {
            return Err(section.fault_at("control", "it serves nothing unless 'enabled' is yes"));
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
                section.fault_at("held_memory", "more than 50 percent leaves too little for the rest")
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

/// `[fellows]`: the other gateways, and what is told among them. Times in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Company {
    /// Off: nothing is sent and nothing that comes is looked at.
    pub enabled: bool,
    /// Where datagrams are taken; None: at the configuration's `peer_listen`.
    pub listen: Option<SocketAddr>,
    /// The file with the keys.
    pub key_file: Option<PathBuf>,
    /// Where others may be found, by their names.
    pub peers: Vec<(String, SocketAddr)>,
    /// Where others are reached from here, where that is not the address that they give themselves.
    pub routes: Vec<(String, SocketAddr)>,
    /// Regions in their order, each with its zones; zones that none names make up one more.
    pub regions: Vec<(String, Vec<String>)>,
    /// Between two probes; from suspicion to death, in the own region; how many times longer in another.
    pub probe_every: Micros,
    pub suspect_for: Micros,
    pub far: u64,
    /// Between two rounds of gossip, and of evidence.
    pub gossip_every: Micros,
    /// Longest datagram, in bytes.
    pub datagram: usize,
    /// Evidence is forgotten after so long; a datagram that was on its way for longer than `old_after` counts for
    /// nothing.
    pub keep_for: Micros,
    pub old_after: Micros,
    /// Whether the router hears what others saw.
    pub advise: bool,
    /// Whether all that is seen of servers is told, or only trouble and its end.
    pub tell_all: bool,
}

impl Default for Company {
    fn default() -> Self {
        Company {
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

impl Company {
    /// Least that a datagram must hold: two names, a seal and one change.
    const DATAGRAM_LEAST: u64 = 200;
    const DATAGRAM_MOST: u64 = 1_400;

    /// The place of a zone's region.
    pub fn region(&self, zone: &str) -> usize {
        let found = self.regions.iter().position(|(_, zones)| zones.iter().any(|one| one == zone));
        found.unwrap_or(self.regions.len())
    }

    fn read(&mut self, section: &Section) -> Result<(), Fault> {
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
                    return Err(section.fault_at(&entry.key, format!("zone '{zone}' is in two regions")));
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
            return Err(section.fault_at("suspect_for", "it is shorter than 'probe_every'"));
        }
        if self.enabled && self.key_file.is_none() {
            return Err(section.fault_at("enabled", "'key_file' is missing"));
        }
        Ok(())
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Program {
    pub log: Logging,
    pub expect: Expecting,
    pub handover: Handing,
    pub fellows: Company,
    pub council: Council,
    /// Operators' socket.
    pub control: Option<PathBuf>,
}

impl Default for Program {
    fn default() -> Self {
        let levels = BTreeMap::new();
        Program {
            log: Logging { format: Format::Text, level: Level::Info, levels, lines_a_second: 20 },
            handover: Handing::default(),
            fellows: Company::default(),
            council: Council::default(),
            control: None,
            expect: Expecting {
                replica_lag_allowed: None,
                faults: 1,
                seeds: 4,
                runs: 20_000,
                time_limit: 10_000_000,
            },
        }
    }
}

impl Program {
    /// Reads the file at `path`; None: all is as without one.
    pub fn open(path: Option<&Path>) -> Result<Program, Fault> {
        path.map_or(Ok(Program::default()), |path| Program::read(&Ini::open(path)?))
    }

    pub fn read(ini: &Ini) -> Result<Program, Fault> {
        let mut program = Program::default();
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
                        return Err(section.fault_at("socket", "it is not a path from the root"));
                    }
                }
                other => {
                    let known = ["log", "expect", "handover", "fellows", "council", "control"].into_iter();
                    return Err(section.fault(unknown("section", other, known)));
                }
            }
        }
        // The key that was there before there was a section for the socket.
        program.control = program.control.take().or(program.handover.control.clone());
        if program.council.enabled && !program.handover.enabled {
            let section = ini.sections.iter().find(|section| section.name == "council");
            if let Some(section) = section {
                return Err(
                    section.fault_at("enabled", "a conductor needs [handover] 'enabled' at each gateway")
                );
            }
        }
        let fellows = program.fellows.enabled && !program.fellows.peers.is_empty();
        if program.council.scout && !(program.council.enabled && fellows) {
            let section = ini.sections.iter().find(|section| section.name == "council");
            if let Some(section) = section {
                let message =
                    "a scout needs [council] and [fellows] 'enabled', and the fellows' names: 'peer.NAME'";
                return Err(section.fault_at("scout", message));
            }
        }
        Ok(program)
    }
}

impl Logging {
    fn read(&mut self, section: &Section) -> Result<(), Fault> {
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
            if !PARTS.contains(&part) {
                return Err(section.fault_at(&entry.key, unknown("part", part, PARTS.into_iter())));
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

impl Expecting {
    /// Faults beyond this many can't be searched through in any time that somebody waits.
    const FAULTS_MOST: u64 = 4;

    fn read(&mut self, section: &Section) -> Result<(), Fault> {
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
        let read = |text: &str| Ini::read("t.ini", text).and_then(|ini| Program::read(&ini));
        assert_eq!(read(""), Ok(Program::default()));
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
            ("[handover]\ncontrol = x", "'control': it is not a path from the root"),
            ("[handover]\ncontrol = /x", "'control': it serves nothing unless 'enabled' is yes"),
            ("[handover]\nheld_most = 0", "'held_most': 0 is too few"),
            ("[handover]\nheld_memory = 60", "'held_memory': more than 50 percent"),
            ("[handover]\nlook = 1s", "'look': no such key"),
            ("[fellows]\nenabled = yes", "'enabled': 'key_file' is missing"),
            ("[fellows]\npeer.n1 = here", "'peer.n1': 'here' is not an address"),
            ("[fellows]\nregion.a = x\nregion.b = y, x", "'region.b': zone 'x' is in two regions"),
            ("[fellows]\ndatagram = 20", "'datagram': 20 is not from 200 to 1400"),
            ("[fellows]\nprobe_every = 0", "'probe_every': 0 is too short"),
            ("[fellows]\nsuspect_for = 10ms", "'suspect_for': it is shorter than 'probe_every'"),
            ("[control]\nsocket = x", "'socket': it is not a path from the root"),
            ("[council]\nenabled = yes", "'enabled': 'listen' is missing"),
            ("[council]\nseats = n0, n1", "'seats': there are 1, 3 or 5 of them, not 2"),
            ("[council]\nseats = n0, n1, n1", "'seats': 'n1' stands there twice"),
            ("[council]\nseats = n0\nseat.n1 = 127.0.0.1:1", "'seat.n1': 'n1' is not among 'seats'"),
            ("[council]\nstore = x", "'store': it is not a path from the root"),
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
