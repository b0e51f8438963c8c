//! Membership of the gateways: exchanges datagrams, turns observations of servers into evidence, and others' evidence
//! into observations for the router. Makes no decisions.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use serde_json::{Value as Json, json};
use tansyjunction::interface::*;
use tansyjunction_fellows::evidence::{Fact, FactKind};
use tansyjunction_fellows::membership::{MembershipEvent, PeerStatus, SwimConfig, SwimMembership};
use tansyjunction_fellows::opinion;
use tansyjunction_fellows::seal::Keys;
use tansyjunction_fellows::{GatewayIdentity, GossipConfig, GossipNode};
use tansyjunction_settings::MembershipSettings as Told;
use tracing::{error, info, warn};

use super::Gateway;
use crate::run::clock::monotonic;
use crate::wire::server::ServerAnswer;

/// Interval of passing others' observations to the router: a few gossip rounds.
const OBSERVATION_INTERVAL: Micros = 500_000;
/// Most datagrams read before others get their turn.
const DATAGRAMS_PER_TURN: usize = 256;
/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// The other gateways.
pub struct Membership {
    node: GossipNode,
    socket: Rc<UdpSocket>,
    key_file: PathBuf,
    advise: bool,
    advise_due: Micros,
    /// Group of each server in the list.
    groups: BTreeMap<usize, usize>,
    regions: Vec<String>,
}

impl Membership {
    /// When the membership needs its next call.
    pub fn next(&self) -> Micros {
        self.node.next_due().min(self.advise_due)
    }

    /// A gateway's last observation of whether a server is reachable, and its age.
    pub(super) fn last_observation(&self, now: Micros, by: &str, server: &str) -> Option<(Fact, Micros)> {
        let kept = self.node.evidence().get(by, server, FactKind::Reach)?;
        Some((kept.fact, now.saturating_sub(kept.observed_at)))
    }

    /// Whether a gateway reports most of its servers as unreachable.
    pub(super) fn accuses_most(&self, gateway: &str) -> bool {
        opinion::unreliable_observers(self.node.evidence()).contains(gateway)
    }

    /// The membership.
    pub fn members(&self) -> &SwimMembership {
        self.node.members()
    }
}

pub(super) fn read_keys(path: &std::path::Path) -> Result<Keys, String> {
    let said = |message: String| format!("'fellows.key_file' {}: {message}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| said(error.to_string()))?;
    Keys::read(&text).map_err(said)
}

impl Gateway {
    /// Joins the membership if the settings enable it.
    pub fn open_membership(&mut self, told: &Told) -> Result<(), String> {
        let (true, Some(key_file)) = (told.enabled, &told.key_file) else { return Ok(()) };
        let listen = told.listen.or(self.deployment.peer_listen);
        let address = listen.ok_or("'fellows.listen' is missing, and so is 'peer_listen'")?;
        let said = |error: std::io::Error| format!("'fellows.listen' {address}: {error}");
        let keys = read_keys(key_file)?;
        let socket = Rc::new(UdpSocket::bind(address).map_err(said)?);
        socket.set_nonblocking(true).map_err(said)?;
        let source = Generic::new(socket.clone(), Interest::READ, Mode::Level);
        let ready = |_, _: &mut _, gateway: &mut Gateway| {
            gateway.membership_ready();
            Ok(PostAction::Continue)
        };
        self.handle.insert_source(source, ready).map_err(|error| format!("'fellows.listen': {error}"))?;
        let now = self.clock.now();
        let zone = self.deployment.zones.iter().position(|zone| *zone == self.deployment.zone);
        // If the settings name no gateways, the configuration's peers are used, where each is named by its index.
        let (mut name, mut peers) = (self.deployment.name.clone(), told.peers.clone());
        let mut routes: BTreeMap<String, SocketAddr> = told.routes.iter().cloned().collect();
        if peers.is_empty() && !self.deployment.peers.is_empty() {
            name = self.deployment.number.to_string();
            let numbered = self.deployment.peers.iter().enumerate();
            peers = numbered.map(|(number, address)| (number.to_string(), *address)).collect();
            routes.extend(peers.iter().cloned());
        }
        let me = GatewayIdentity {
            name,
            address,
            zone: zone.unwrap_or(self.deployment.zones.len()) as u8,
            region: told.region(&self.deployment.zone) as u8,
            life: now / 1_000,
            tag: std::process::id() as u16,
        };
        let members = SwimConfig {
            probe_interval: told.probe_every,
            suspicion_time: told.suspect_for,
            remote_region_factor: told.far as u32,
            gossip_interval: told.gossip_every,
            routes,
            ..SwimConfig::default()
        };
        let terms = GossipConfig {
            members,
            max_datagram: told.datagram,
            keep_for: told.keep_for,
            max_transit_time: told.old_after,
            evidence_interval: told.gossip_every,
            send_all: told.tell_all,
            ..GossipConfig::default()
        };
        let seed = self.deployment.seed ^ now;
        let fellows = GossipNode::new(now, me, peers, keys, terms, seed);
        info!(target: "fellows", %address, zone = self.deployment.zone, "joined the membership as {}", self.deployment.name);
        self.membership = Some(Membership {
            node: fellows,
            socket,
            key_file: key_file.clone(),
            advise: told.advise,
            advise_due: now + OBSERVATION_INTERVAL,
            groups: BTreeMap::new(),
            regions: told.regions.iter().map(|(name, _)| name.clone()).collect(),
        });
        Ok(())
    }

    fn membership_ready(&mut self) {
        let now = self.clock.now();
        let Some(membership) = &mut self.membership else { return };
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..DATAGRAMS_PER_TURN {
            match membership.socket.recv_from(&mut bytes) {
                Ok((length, _)) => membership.node.receive(now, &bytes[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                // An earlier datagram was refused: its receiver is gone, which the failure detector notices.
                Err(_) => {}
            }
        }
        self.send_membership();
    }

    /// Runs the timers of the membership.
    pub(super) fn run_membership(&mut self) {
        let now = self.clock.now();
        let Some(membership) = self.membership.as_mut().filter(|membership| membership.next() <= now) else {
            return;
        };
        if membership.node.next_due() <= now {
            membership.node.run_due(now);
        }
        self.send_membership();
        self.share_observations(now);
    }

    fn send_membership(&mut self) {
        let Some(membership) = &mut self.membership else { return };
        for (to, bytes) in membership.node.take_datagrams() {
            // Datagrams that the socket does not accept are lost.
            let _ = membership.socket.send_to(&bytes, to);
        }
        let score = membership.node.members().health();
        let mono = monotonic();
        for news in membership.node.take_events() {
            let where_is =
                |fellow: &GatewayIdentity| (fellow.name.clone(), fellow.zone, fellow.region, fellow.life);
            match news {
                MembershipEvent::Up(fellow) => {
                    let (fellow, zone, region, life) = where_is(&fellow);
                    info!(target: "fellows", what = "up", mono, fellow, zone, region, life, "a gateway is up");
                }
                MembershipEvent::Down(fellow) => {
                    let left = membership.node.has_left(&fellow.name);
                    let (fellow, zone, region, life) = where_is(&fellow);
                    let dark = format!("{:?}", membership.node.dark_zones());
                    let what = if left { "left" } else { "down" };
                    warn!(target: "fellows", what, mono, fellow, zone, region, life, dark, score, "a gateway is down or has left");
                }
                MembershipEvent::Renewed(life) => {
                    info!(target: "fellows", what = "renewed", mono, life, "rejoined with a new incarnation number");
                }
                MembershipEvent::Paused(time) => {
                    warn!(target: "fellows", what = "paused", mono, ms = time / 1_000, score, "this process was paused");
                }
                MembershipEvent::Deaf => {
                    warn!(target: "fellows", what = "deaf", mono, score, "no other gateway is reachable")
                }
                MembershipEvent::Hears => {
                    info!(target: "fellows", what = "hears", mono, score, "other gateways are reachable again")
                }
                MembershipEvent::Yields(address) => {
                    error!(target: "fellows", what = "yields", mono, %address, "another gateway uses the same name");
                }
            }
        }
    }

    /// Passes others' observations to the router, for servers of which there are any.
    fn share_observations(&mut self, now: Micros) {
        let Some(membership) = self.membership.as_mut().filter(|membership| membership.advise_due <= now)
        else {
            return;
        };
        membership.advise_due = now + OBSERVATION_INTERVAL;
        if !membership.advise {
            return;
        }
        for server in membership.groups.keys() {
            if let Some(waits) = self.router.wait_while_warming_up(now, *server) {
                let waits = u16::try_from(waits / 1_000).unwrap_or(u16::MAX);
                membership.node.observe(now, self.servers_named.name(*server), Fact::Waits(waits));
            }
        }
        let own = membership.node.members().me().name.clone();
        let opinions = membership.node.opinions(now);
        let mut groups: BTreeMap<usize, Vec<&str>> = BTreeMap::new();
        for (server, group) in &membership.groups {
            groups.entry(*group).or_default().push(self.servers_named.name(*server));
        }
        for members in groups.values() {
            let leader = opinion::agreed_primary(membership.node.evidence(), &own, members);
            for member in members {
                let opinion = opinions.get(*member);
                let bad = opinion.and_then(|opinion| opinion.bad_since());
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

    fn observe(&mut self, now: Micros, server: usize, ending: DispatchEnd, said: Report) {
        let scouts = self.holds_probing_duty(server);
        let Some(membership) = &mut self.membership else { return };
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
                // The others rely on its age.
                Fact::Refuses | Fact::Hangs if scouts => {
                    membership.node.observe_as_reference(now, name, fact)
                }
                _ => membership.node.observe(now, name, fact),
            }
        }
    }

    /// Records the end of a dispatch as evidence of its server. The position in a write's answer is its commit.
    pub(super) fn observe_outcome(
        &mut self,
        now: Micros,
        command: u64,
        dispatch: usize,
        ending: DispatchEnd,
        said: &ServerAnswer,
    ) {
        let Some(held) = self.commands.get(command).filter(|_| self.membership.is_some()) else { return };
        let Some(server) = held.dispatches.get(dispatch).map(|d| d.server) else { return };
        let write = self.deployment.command_groups[held.command.command_group].primary;
        let position = said.stated.position.filter(|_| !write);
        self.observe(now, server, ending, Report { position, ..said.stated });
    }

    pub(super) fn observe_probe(&mut self, now: Micros, server: usize, ending: DispatchEnd, said: Report) {
        if self.membership.is_some() {
            self.observe(now, server, ending, said);
        }
    }

    pub(super) fn membership_on_list(&mut self, now: Micros, entries: &[ServerListEntry]) {
        let Some(membership) = &mut self.membership else { return };
        for entry in entries {
            if entry.state == tansyjunction::interface::ServerState::Gone {
                membership.groups.remove(&entry.server);
            } else {
                membership.groups.insert(entry.server, entry.group);
            }
            if entry.state != tansyjunction::interface::ServerState::Serving {
                membership.node.observe(now, self.servers_named.name(entry.server), Fact::Drains);
            }
        }
    }

    /// Leaves the membership after SIGTERM.
    pub(super) fn leave_membership(&mut self, now: Micros) {
        if let Some(membership) = &mut self.membership {
            membership.node.leave(now);
            self.send_membership();
        }
    }

    /// Reads the keys again after SIGHUP.
    pub(super) fn reload_membership_keys(&mut self) {
        let Some(membership) = &mut self.membership else { return };
        match read_keys(&membership.key_file) {
            Ok(keys) => membership.node.set_keys(keys),
            Err(message) => error!(target: "fellows", "the key file was not reloaded: {message}"),
        }
    }

    /// Status for operators: members, evidence with ages, and suspicions.
    pub(super) fn membership_status(&self, now: Micros) -> Result<Json, String> {
        let membership = self.membership.as_ref().ok_or("fellows are switched off")?;
        let fellows = &membership.node;
        let age = |at: Micros| now.saturating_sub(at) / 1_000;
        let zone = |zone: u8| self.deployment.zones.get(usize::from(zone)).cloned().unwrap_or_default();
        let region = |region: u8| membership.regions.get(usize::from(region)).cloned().unwrap_or_default();
        let members = fellows.members().all().map(|seen| {
            let standing = match seen.standing {
                PeerStatus::Alive => "alive",
                PeerStatus::Suspect => "suspect",
                PeerStatus::Down if fellows.has_left(&seen.identity.name) => "left",
                PeerStatus::Down => "down",
            };
            json!({
                "name": seen.identity.name, "address": seen.identity.address.to_string(),
                "zone": zone(seen.identity.zone), "region": region(seen.identity.region), "life": seen.identity.life,
                "standing": standing, "for_ms": age(seen.since), "suspected_by": seen.suspected_by,
            })
        });
        let evidence = fellows.evidence().all().map(|(source, subject, kept)| {
            json!({
                "source": source, "zone": zone(kept.zone), "subject": subject,
                "fact": format!("{:?}", kept.fact), "age_ms": age(kept.observed_at),
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
            "sent": counts.sent, "sent_bytes": counts.sent_bytes, "heard": counts.received,
            "refused": refused.collect::<serde_json::Map<String, Json>>(),
        }))
    }
}
