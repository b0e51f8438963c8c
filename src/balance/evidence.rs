//! Evidence about members: server lists, probes, reports and observations of peers, and who is the primary.

use super::*;

/// Weight of each new round trip in the average ping (initial value of the design).
const PING_WEIGHT: f64 = 0.2;
/// Half-life of the counts of probes and lost probes: a few probe intervals.
const PROBE_LOSS_HALF_LIFE: Micros = 10 * SECOND;
/// Age assumed for a role in the server list: lists arrive seconds late and must not override newer evidence.
const SERVER_LIST_AGE: Micros = 5 * SECOND;

impl Router {
    /// Applies a server list or changes to it. A whole list removes servers that it omits; `None` means that the
    /// request failed.
    pub fn update_server_list(&mut self, now: Micros, entries: Option<&[ServerListEntry]>, whole: bool) {
        let Some(entries) = entries else {
            self.list_request_due = Some(now + SECOND);
            return;
        };
        // Where removal is advisory, a list may omit live servers or be empty; their answers are better evidence.
        let advice = self.flag("rules.gone_is_advice", false);
        if whole && !advice {
            for (server, member) in &mut self.members {
                member.serving &= entries.iter().any(|entry| entry.server == *server);
            }
        }
        let room =
            (INITIAL_LIMIT_ALL_ROUTERS / self.number("routers", 1.0)).clamp(1.0, INITIAL_LIMIT_PER_ROUTER);
        // Hundreds of routers would probe every member at the start. Where servers check freshness themselves,
        // ordinary answers tell as much, and the first probe is put off.
        let thin = self.servers_check_freshness() && self.number("routers", 1.0) > INITIAL_LIMIT_ALL_ROUTERS;
        for entry in entries {
            let gone = entry.state == ServerState::Gone;
            if gone && !advice {
                let known = self.members.get_mut(&entry.server);
                if let Some(member) = known.filter(|m| m.serving || !m.in_flight.is_empty()) {
                    (member.serving, member.listed_primary) = (false, entry.primary);
                } else {
                    // It was already removed and has nothing in flight: forget it, so that its number can be reused.
                    self.members.remove(&entry.server);
                    for group in self.groups.values_mut() {
                        group.members.retain(|server| *server != entry.server);
                        group.primary = group.primary.filter(|server| *server != entry.server);
                    }
                    self.session_replicas.retain(|_, tie| tie.0 != entry.server);
                }
                self.update_primary(now, entry.group);
                continue;
            }
            let group = self.groups.entry(entry.group).or_default();
            if !group.members.contains(&entry.server) {
                group.members.push(entry.server);
                group.members.sort_unstable();
            }
            let new = || Member {
                concurrency_limit: room,
                last_probe_at: thin.then_some(now),
                ..Member::default()
            };
            let member = self.members.entry(entry.server).or_insert_with(new);
            if entry.state == ServerState::Serving && entry.started != member.started {
                // A new process: the health of the previous one no longer matters.
                (member.started, member.down, member.failures) =
                    (entry.started, false, DecayingSum::default());
            }
            member.serving = entry.state == ServerState::Serving || gone && member.serving;
            if !gone {
                (member.group, member.zone, member.size) = (entry.group, entry.zone, entry.size.max(0.01));
            }
            if entry.primary && !member.listed_primary {
                member.primary_claimed_at =
                    member.primary_claimed_at.max(Some(now.saturating_sub(SERVER_LIST_AGE)));
            }
            member.listed_primary = entry.primary;
            self.update_primary(now, entry.group);
        }
        let serving = |value: fn(&Member) -> usize| {
            let members = self.members.values().filter(|m| m.serving);
            members.map(value).collect::<BTreeSet<_>>().len().max(1) as f64
        };
        let size = self.members.values().filter(|m| m.serving).map(|m| m.size).sum();
        self.stats.serving =
            ServingMembers { size, groups: serving(|m| m.group), zones: serving(|m| m.zone) };
    }

    /// Records the end of a probe that took `took` µs.
    pub fn on_probe_result(
        &mut self,
        now: Micros,
        server: usize,
        took: Micros,
        end: DispatchEnd,
        report: Option<Report>,
    ) {
        let Some(member) = self.members.get_mut(&server) else { return };
        member.probe_in_flight = false;
        // Probes may get lost while commands are answered. Where most are lost, they are no evidence.
        let (sent, seen) = (member.last_probe_at.unwrap_or(now), &mut self.stats);
        seen.recent_probes.add(now, PROBE_LOSS_HALF_LIFE, 1.0);
        seen.recent_lost_probes.add(
            now,
            PROBE_LOSS_HALF_LIFE,
            if end == DispatchEnd::TimedOut { 1.0 } else { 0.0 },
        );
        let lost = seen.recent_lost_probes.read(now, PROBE_LOSS_HALF_LIFE);
        seen.most_probes_lost = lost > MAX_FAILURE_RATIO * seen.recent_probes.read(now, PROBE_LOSS_HALF_LIFE);
        match end {
            DispatchEnd::Answered => {
                member.down = false;
                let ping = member.average_ping.unwrap_or(took as f64);
                member.average_ping = Some(ping + PING_WEIGHT * (took as f64 - ping));
            }
            DispatchEnd::Unconnected | DispatchEnd::Reset => member.connection_failed(now, sent, end),
            // A probe that was never sent, was garbled, or was lost alone does not take a member out.
            DispatchEnd::Unsent | DispatchEnd::Recalled => {}
            _ => member.down = !seen.most_probes_lost && member.answered_at <= sent,
        }
        if let Some(report) = report {
            self.stats.probes_report_role |= report.primary.is_some();
            self.apply_report(now, server, report, now.saturating_sub(LOAD_REPORT_AGE));
        }
    }

    /// Applies what other routers observed of a server, so that this router need not learn it by failures of its
    /// own. It ranks below all evidence seen here. Where servers do not check freshness themselves, a reported
    /// primary is ignored, since a wrong one could cause a stale read.
    pub fn on_peer_observation(&mut self, now: Micros, observation: &PeerObservation) {
        let (guarded, probes) = (self.servers_check_freshness(), self.flag("limits.probes", false));
        let Some(member) = self.members.get_mut(&observation.server) else { return };
        let leads = observation
            .leading_at
            .filter(|at| member.primary_denied_at.is_none_or(|no| no + SERVER_LIST_AGE < *at));
        member.primary_claimed_at = member.primary_claimed_at.max(leads.filter(|_| guarded));
        let heard = member.answered_at.max(member.position_reported_at);
        member.down |= probes && observation.unusable_at.is_some_and(|at| heard < at);
        // A longer wait seen by others lowers the load here; a shorter one does not raise it.
        if observation.mean_wait > member.decayed_wait(now) {
            (member.average_wait, member.average_wait_at) = (observation.mean_wait, now);
        }
        let group = member.group;
        self.update_primary(now, group);
    }

    /// Applies a server's report about itself, true as of `as_of` unless it states a position.
    pub(super) fn apply_report(&mut self, now: Micros, server: usize, report: Report, as_of: Micros) {
        let Some(member) = self.members.get_mut(&server) else { return };
        if let Some(position) = report.position {
            // A replica that stands still reports the same position again and is then known to fall behind.
            if position > member.position {
                (member.position, member.missed_position) = (position, None);
            }
            member.position_reported_at = now;
        }
        if let Some(queue) = report.queue {
            (member.queue_length, member.queue_reported_at, self.stats.queues_reported) =
                (queue, Some(now), true);
        }
        let group = member.group;
        // Reports may arrive seconds late. A primary's position is its current time, so it tells when it led.
        let claim = Some(report.position.filter(|_| as_of < now).unwrap_or(as_of));
        match report.primary {
            Some(true) => member.primary_claimed_at = member.primary_claimed_at.max(claim),
            Some(false) => member.primary_denied_at = member.primary_denied_at.max(Some(as_of)),
            None => return,
        }
        self.update_primary(now, group);
    }

    /// Determines the primary of a group from the newest evidence: the latest claim not denied since.
    pub(super) fn update_primary(&mut self, now: Micros, group: usize) {
        let Some(group) = self.groups.get_mut(&group) else { return };
        let claims = group.members.iter().filter_map(|server| {
            let member = &self.members[server];
            let claim =
                member.primary_claimed_at.filter(|at| member.primary_denied_at.is_none_or(|no| no < *at));
            claim.filter(|_| member.serving).map(|at| (at, *server))
        });
        let primary = claims.max().map(|(_, server)| server);
        if primary != group.primary {
            // A new epoch voids all session affinities of the group.
            (group.primary, group.primary_changed_at) = (primary, now);
            group.primary_epoch += 1;
        }
    }
}
