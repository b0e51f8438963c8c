//! Where this gateway meets the others: datagrams go to and from the fellows, what was seen of servers becomes
//! evidence, and what others saw becomes hearsay for the router. Nothing is decided here.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use serde_json::{Value as Json, json};
use tansyjunction::interface::*;
use tansyjunction_fellows::evidence::{Fact, Kind};
use tansyjunction_fellows::members::{Figures, Members, News, Standing};
use tansyjunction_fellows::opinion;
use tansyjunction_fellows::seal::Keys;
use tansyjunction_fellows::{Fellow, Fellows, Terms};
use tansyjunction_settings::Company as Told;
use tracing::{error, info, warn};

use super::Gateway;
use crate::run::clock::monotonic;
use crate::wire::server::Said;

/// Between two rounds of hearsay for the router: a few rounds of evidence.
const ADVISE_EVERY: Micros = 500_000;
/// Datagrams that are read before the others have their turn.
const TURN: usize = 256;
/// Longest datagram of any kind.
const DATAGRAM: usize = 65_536;

/// The other gateways.
pub struct Company {
    fellows: Fellows,
    socket: Rc<UdpSocket>,
    key_file: PathBuf,
    advise: bool,
    advise_due: Micros,
    /// Servers' groups, as the list tells.
    groups: BTreeMap<usize, usize>,
    regions: Vec<String>,
}

impl Company {
    pub fn next(&self) -> Micros {
        self.fellows.next().min(self.advise_due)
    }

    /// What a gateway said last of whether a server can be reached, and how long ago it saw it.
    pub(super) fn reach(&self, now: Micros, by: &str, server: &str) -> Option<(Fact, Micros)> {
        let kept = self.fellows.evidence().get(by, server, Kind::Reach)?;
        Some((kept.fact, now.saturating_sub(kept.at)))
    }

    /// Whether a gateway accuses most servers of which it tells.
    pub(super) fn doubts(&self, gateway: &str) -> bool {
        opinion::doubtful(self.fellows.evidence()).contains(gateway)
    }

    pub fn members(&self) -> &Members {
        self.fellows.members()
    }
}

pub(super) fn read_keys(path: &std::path::Path) -> Result<Keys, String> {
    let said = |message: String| format!("'fellows.key_file' {}: {message}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| said(error.to_string()))?;
    Keys::read(&text).map_err(said)
}

impl Gateway {
    /// Joins the others as the settings say; leaves all as it is where they do not.
    pub fn open_company(&mut self, told: &Told) -> Result<(), String> {
        let (true, Some(key_file)) = (told.enabled, &told.key_file) else { return Ok(()) };
        let listen = told.listen.or(self.deployment.peer_listen);
        let address = listen.ok_or("'fellows.listen' is missing, and so is 'peer_listen'")?;
        let said = |error: std::io::Error| format!("'fellows.listen' {address}: {error}");
        let keys = read_keys(key_file)?;
        let socket = Rc::new(UdpSocket::bind(address).map_err(said)?);
        socket.set_nonblocking(true).map_err(said)?;
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        let ready = |_, _: &mut _, gateway: &mut Gateway| {
            gateway.company_ready();
            Ok(PostAction::Continue)
        };
        self.handle.insert_source(source, ready).map_err(|error| format!("'fellows.listen': {error}"))?;
        let now = self.clock.now();
        let zone = self.deployment.zones.iter().position(|zone| *zone == self.deployment.zone);
        // Where the settings name nobody, the configuration's list of peers serves, in which each goes by its number.
        let (mut name, mut peers) = (self.deployment.name.clone(), told.peers.clone());
        let mut routes: BTreeMap<String, SocketAddr> = told.routes.iter().cloned().collect();
        if peers.is_empty() && !self.deployment.peers.is_empty() {
            name = self.deployment.number.to_string();
            let numbered = self.deployment.peers.iter().enumerate();
            peers = numbered.map(|(number, address)| (number.to_string(), *address)).collect();
            routes.extend(peers.iter().cloned());
        }
        let me = Fellow {
            name,
            address,
            zone: zone.unwrap_or(self.deployment.zones.len()) as u8,
            region: told.region(&self.deployment.zone) as u8,
            life: now / 1_000,
            tag: std::process::id() as u16,
        };
        let members = Figures {
            period: told.probe_every,
            suspect_for: told.suspect_for,
            far: told.far as u32,
            gossip: told.gossip_every,
            routes,
            ..Figures::default()
        };
        let terms = Terms {
            members,
            most: told.datagram,
            keep_for: told.keep_for,
            old_after: told.old_after,
            tell_every: told.gossip_every,
            tell_all: told.tell_all,
            ..Terms::default()
        };
        let seed = self.deployment.seed ^ now;
        let fellows = Fellows::new(now, me, peers, keys, terms, seed);
        info!(target: "fellows", %address, zone = self.deployment.zone, "among the gateways as {}", self.deployment.name);
        self.company = Some(Company {
            fellows,
            socket,
            key_file: key_file.clone(),
            advise: told.advise,
            advise_due: now + ADVISE_EVERY,
            groups: BTreeMap::new(),
            regions: told.regions.iter().map(|(name, _)| name.clone()).collect(),
        });
        Ok(())
    }

    fn company_ready(&mut self) {
        let now = self.clock.now();
        let Some(company) = &mut self.company else { return };
        let mut bytes = [0; DATAGRAM];
        for _ in 0..TURN {
            match company.socket.recv_from(&mut bytes) {
                Ok((length, _)) => company.fellows.heard(now, &bytes[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                // A refused datagram of before: whoever it was for is gone, which membership finds out.
                Err(_) => {}
            }
        }
        self.send_company();
    }

    /// Does what is due among the gateways.
    pub(super) fn settle_company(&mut self) {
        let now = self.clock.now();
        let Some(company) = self.company.as_mut().filter(|company| company.next() <= now) else { return };
        if company.fellows.next() <= now {
            company.fellows.settle(now);
        }
        self.send_company();
        self.advise(now);
    }

    fn send_company(&mut self) {
        let Some(company) = &mut self.company else { return };
        for (to, bytes) in company.fellows.take_out() {
            // What the socket does not take is lost, as datagrams are.
            let _ = company.socket.send_to(&bytes, to);
        }
        let score = company.fellows.members().health();
        let mono = monotonic();
        for news in company.fellows.take_news() {
            let where_is = |fellow: &Fellow| (fellow.name.clone(), fellow.zone, fellow.region, fellow.life);
            match news {
                News::Up(fellow) => {
                    let (fellow, zone, region, life) = where_is(&fellow);
                    info!(target: "fellows", what = "up", mono, fellow, zone, region, life, "a gateway lives");
                }
                News::Down(fellow) => {
                    let left = company.fellows.left(&fellow.name);
                    let (fellow, zone, region, life) = where_is(&fellow);
                    let dark = format!("{:?}", company.fellows.dark_zones());
                    let what = if left { "left" } else { "down" };
                    warn!(target: "fellows", what, mono, fellow, zone, region, life, dark, score, "a gateway is gone");
                }
                News::Renewed(life) => {
                    info!(target: "fellows", what = "renewed", mono, life, "another life under the same name");
                }
                News::Paused(time) => {
                    warn!(target: "fellows", what = "paused", mono, ms = time / 1_000, score, "this process stood still");
                }
                News::Deaf => {
                    warn!(target: "fellows", what = "deaf", mono, score, "no other gateway is heard")
                }
                News::Hears => {
                    info!(target: "fellows", what = "hears", mono, score, "others are heard again")
                }
                News::Yields(address) => {
                    error!(target: "fellows", what = "yields", mono, %address, "another gateway keeps this one's name");
                }
            }
        }
    }

    /// Tells the router what others saw. Only a server of which others tell is spoken of.
    fn advise(&mut self, now: Micros) {
        let Some(company) = self.company.as_mut().filter(|company| company.advise_due <= now) else { return };
        company.advise_due = now + ADVISE_EVERY;
        if !company.advise {
            return;
        }
        for server in company.groups.keys() {
            if let Some(waits) = self.router.waits_at_cold(now, *server) {
                let waits = u16::try_from(waits / 1_000).unwrap_or(u16::MAX);
                company.fellows.saw(now, self.servers_named.name(*server), Fact::Waits(waits));
            }
        }
        let own = company.fellows.members().me().name.clone();
        let opinions = company.fellows.opinions(now);
        let mut groups: BTreeMap<usize, Vec<&str>> = BTreeMap::new();
        for (server, group) in &company.groups {
            groups.entry(*group).or_default().push(self.servers_named.name(*server));
        }
        for members in groups.values() {
            let leader = opinion::leader(company.fellows.evidence(), &own, members);
            for member in members {
                let opinion = opinions.get(*member);
                let bad = opinion.and_then(|opinion| opinion.bad());
                let waiting = opinion.and_then(|opinion| opinion.waits).map_or(0.0, |ms| f64::from(ms) * 1e3);
                let leads = leader.filter(|(name, _)| name == member).map(|(_, at)| at);
                let Some(server) = self.servers_named.find(member) else { continue };
                if bad.is_some() || leads.is_some() || waiting > 0.0 {
                    self.router.on_peer_observation(
                        now,
                        &PeerObservation { server, leading_at: leads, unusable_at: bad, mean_wait: waiting },
                    );
                }
            }
        }
        self.router_due = now;
    }

    fn saw(&mut self, now: Micros, server: usize, ending: DispatchEnd, said: Report) {
        let scouts = self.scouts(server);
        let Some(company) = &mut self.company else { return };
        let name = self.servers_named.name(server);
        let reach = match ending {
            DispatchEnd::Answered | DispatchEnd::Errored | DispatchEnd::SentBack | DispatchEnd::Missed => {
                Some(Fact::Answers)
            }
            DispatchEnd::Unconnected => Some(Fact::Refuses),
            DispatchEnd::TimedOut => Some(Fact::Hangs),
            DispatchEnd::Reset | DispatchEnd::Recalled | DispatchEnd::Unsent => None,
        };
        let role = said.primary.map(|leads| if leads { Fact::Leads } else { Fact::Follows });
        for fact in [reach, role, said.position.map(Fact::At)].into_iter().flatten() {
            match fact {
                // The others go by the age of it.
                Fact::Refuses | Fact::Hangs if scouts => company.fellows.confirmed(now, name, fact),
                _ => company.fellows.saw(now, name, fact),
            }
        }
    }

    /// What the end of a dispatch tells of its server. The position that comes with a write is its commit's.
    pub(super) fn saw_outcome(
        &mut self,
        now: Micros,
        command: u64,
        dispatch: usize,
        ending: DispatchEnd,
        said: &Said,
    ) {
        let Some(held) = self.commands.get(command).filter(|_| self.company.is_some()) else { return };
        let Some(server) = held.dispatches.get(dispatch).map(|d| d.server) else { return };
        let write = self.deployment.command_groups[held.command.command_group].primary;
        let position = said.stated.position.filter(|_| !write);
        self.saw(now, server, ending, Report { position, ..said.stated });
    }

    pub(super) fn saw_probe(&mut self, now: Micros, server: usize, ending: DispatchEnd, said: Report) {
        if self.company.is_some() {
            self.saw(now, server, ending, said);
        }
    }

    pub(super) fn list_tells_company(&mut self, now: Micros, entries: &[ServerListEntry]) {
        let Some(company) = &mut self.company else { return };
        for entry in entries {
            if entry.state == tansyjunction::interface::ServerState::Gone {
                company.groups.remove(&entry.server);
            } else {
                company.groups.insert(entry.server, entry.group);
            }
            if entry.state != tansyjunction::interface::ServerState::Serving {
                company.fellows.saw(now, self.servers_named.name(entry.server), Fact::Drains);
            }
        }
    }

    /// SIGTERM has come.
    pub(super) fn leave_company(&mut self, now: Micros) {
        if let Some(company) = &mut self.company {
            company.fellows.leave(now);
            self.send_company();
        }
    }

    /// SIGHUP has come: the keys may have changed.
    pub(super) fn rekey_company(&mut self) {
        let Some(company) = &mut self.company else { return };
        match read_keys(&company.key_file) {
            Ok(keys) => company.fellows.rekey(keys),
            Err(message) => error!(target: "fellows", "the keys stay as they were: {message}"),
        }
    }

    /// For operators: members, evidence with its ages, who suspects whom.
    pub(super) fn company_status(&self, now: Micros) -> Result<Json, String> {
        let company = self.company.as_ref().ok_or("fellows are switched off")?;
        let fellows = &company.fellows;
        let age = |at: Micros| now.saturating_sub(at) / 1_000;
        let zone = |zone: u8| self.deployment.zones.get(usize::from(zone)).cloned().unwrap_or_default();
        let region = |region: u8| company.regions.get(usize::from(region)).cloned().unwrap_or_default();
        let members = fellows.members().all().map(|seen| {
            let standing = match seen.standing {
                Standing::Alive => "alive",
                Standing::Suspect => "suspect",
                Standing::Down if fellows.left(&seen.fellow.name) => "left",
                Standing::Down => "down",
            };
            json!({
                "name": seen.fellow.name, "address": seen.fellow.address.to_string(),
                "zone": zone(seen.fellow.zone), "region": region(seen.fellow.region), "life": seen.fellow.life,
                "standing": standing, "for_ms": age(seen.since), "suspected_by": seen.suspected_by,
            })
        });
        let evidence = fellows.evidence().all().map(|(source, subject, kept)| {
            json!({
                "source": source, "zone": zone(kept.zone), "subject": subject,
                "fact": format!("{:?}", kept.fact), "age_ms": age(kept.at),
            })
        });
        let counts = fellows.counts();
        let refused = counts.refused.iter().map(|(why, count)| (format!("{why:?}"), json!(count)));
        let me = fellows.members().me();
        Ok(json!({
            "gateway": me.name, "zone": zone(me.zone), "region": region(me.region), "life": me.life,
            "health": fellows.members().health(), "yields": fellows.members().yields(),
            "dark": fellows.dark_zones().into_iter().map(|(_, dark)| zone(dark)).collect::<Vec<_>>(),
            "members": members.collect::<Vec<_>>(), "evidence": evidence.collect::<Vec<_>>(),
            "sent": counts.sent, "sent_bytes": counts.sent_bytes, "heard": counts.heard,
            "refused": refused.collect::<serde_json::Map<String, Json>>(),
        }))
    }
}
