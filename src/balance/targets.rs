//! Target of a command: the primary, or a replica by freshness, zone and latency.

use super::*;

/// Members within this latency (µs) of the lowest average ping are equally near (default of the paper).
const LATENCY_WINDOW: f64 = 15.0 * MILLI as f64;
/// Delay before a write retries members that all rejected it: a fraction of the shortest election time.
const RETRY_ROUND_DELAY: Micros = 250 * MILLI;
/// Factor by which a replica may catch up faster than the clock: its apply thread is rarely under half busy.
const CATCH_UP_FACTOR: Micros = 2;
/// A read without a freshness bound is long from this many times the shortest mean time of the bounded reads.
/// Smaller differences occur by chance.
const LONG_READ_FACTOR: f64 = 3.0;

impl Router {
    /// Target of writes and fresh reads: the known primary, or else the members in turn, with a delay after each
    /// round.
    pub(super) fn write_target(
        &mut self,
        now: Micros,
        pending: &PendingCommand,
        command_group: &CommandGroup,
    ) -> Option<usize> {
        let group = self.groups.get(&pending.command.group)?;
        let max = self.number("limits.max_dispatches", 1.0) as usize;
        // Where the primary refuses connections, the last dispatch is reserved for a new primary.
        let again = |s: usize| pending.dispatches.len() + 1 < max && self.only_refused_connections(now, s);
        if let Some(primary) = group.primary.filter(|s| self.is_reachable(now, *s) || again(*s)) {
            return self.has_capacity(now, &pending.command, primary, command_group, 1.0).then_some(primary);
        }
        // A member that does not check its role would answer a fresh read with the data that it has.
        if command_group.need == Need::Fresh && !self.servers_check_freshness() {
            return None;
        }
        self.groups.get_mut(&pending.command.group)?.primary_sought_at = Some(now);
        let group = &self.groups[&pending.command.group];
        // The last dispatches are reserved for a new primary.
        if pending.dispatches.len() >= (max / 2).max(1) {
            return None;
        }
        let may_lead = |server: &usize| {
            let member = &self.members[server];
            group.primary != Some(*server)
                && member.primary_denied_at.is_none_or(|at| at + RETRY_ROUND_DELAY <= now)
                && self.is_healthy(now, *server)
                && self.has_capacity(now, &pending.command, *server, command_group, 1.0)
        };
        let untried: Vec<usize> = group.members.iter().copied().filter(may_lead).collect();
        untried.get(self.rng.below(untried.len())).copied()
    }

    /// Whether servers check by themselves if they are fresh enough for a read.
    pub(super) fn servers_check_freshness(&self) -> bool {
        matches!(self.text("guards"), "wait" | "refuse")
    }

    /// The replication position that a read requires; `None` if any will do.
    pub(super) fn required_position(
        &self,
        now: Micros,
        command: &Command,
        command_group: &CommandGroup,
    ) -> Option<Micros> {
        match command_group.need {
            Need::Bounded(bound) => Some(now.saturating_sub(bound)),
            Need::Session if self.text("session_marks") == "carried" => {
                command.last_write_age.filter(|ago| *ago > 0).map(|ago| command.arrived.saturating_sub(ago))
            }
            Need::Session => {
                let writes = command.session.and_then(|session| self.session_writes.get(&session));
                let forgotten = command.forgotten_until.map(|until| until.min(command.arrived));
                writes.map(SessionWrites::position).max(forgotten)
            }
            _ => None,
        }
    }

    /// Target of a read without a need for the primary.
    pub(super) fn read_target(
        &mut self,
        now: Micros,
        pending: &PendingCommand,
        command_group: &CommandGroup,
    ) -> Option<usize> {
        let command = &pending.command;
        let group = self.groups.get(&command.group)?;
        let waited = now.saturating_sub(command.arrived);
        // A new router waits for the first probe results, up to the response target.
        let heard = |m: &Member| m.average_ping.is_some() || m.last_probe_at.is_some() && !m.probe_in_flight;
        let unheard = !group.members.iter().any(|server| heard(&self.members[server]));
        let expected = self.flag("limits.probes", false) && unheard && waited < command_group.response_target;
        if expected || count_failed(pending) >= MAX_READ_ATTEMPTS {
            return None;
        }
        let tried = |server: usize| pending.dispatches.iter().any(|d| d.server == server);
        let guarded = self.servers_check_freshness();
        let bound = self.required_position(now, command, command_group);
        let usable = |server: &usize| !tried(*server) && self.is_healthy(now, *server);
        let replicas: Vec<usize> =
            group.members.iter().copied().filter(|s| group.primary != Some(*s)).filter(usable).collect();
        let fresh = |s: &usize| bound.is_none_or(|b| self.is_fresh_enough(now, *s, b, guarded));
        let fresh: Vec<usize> = replicas.iter().copied().filter(fresh).collect();
        let room = |s: &usize| self.has_capacity(now, command, *s, command_group, 1.0);
        let tie = command.session.and_then(|session| self.session_replicas.get(&session)).copied();
        if let Some((server, tied_group, epoch)) = tie
            && (tied_group, epoch) == (command.command_group, group.primary_epoch)
            && fresh.contains(&server)
            && room(&server)
        {
            return Some(server);
        }
        let (crowded, many) = (
            command_group.response_target as f64 * LONG_WAIT_SHARE,
            self.number("routers", 1.0) > INITIAL_LIMIT_ALL_ROUTERS,
        );
        // Reads that many low-traffic routers spill over must not go to a primary that is late with its writes.
        let primary = group
            .primary
            .filter(|s| usable(s) && self.has_capacity(now, command, *s, command_group, PRIMARY_READ_SHARE));
        let wait = |s: &usize| self.expected_wait(now, &self.members[s]);
        let primary = primary.filter(|s| !many || group.shed_share <= 0.0 && wait(s) < crowded);
        // A long read may stop its replica from applying the log, so the one furthest behind with capacity
        // gets it.
        if self.is_long_read(command_group) {
            let spare = |s: &usize| room(s) && wait(s) < crowded;
            // The most advanced replica is left to reads with a bound, if there is another. The rank is the lag
            // last reported, then the list order, so that many routers choose the same replicas.
            let by = |member: &Member| {
                member.position_reported_at.saturating_sub(member.position) / LOAD_REPORT_AGE
            };
            let lag = |s: &usize| (by(&self.members[s]), Reverse(*s));
            let ahead = fresh.iter().copied().min_by_key(lag);
            let only = fresh.len() < 2;
            let behind = fresh.iter().copied().filter(|s| only || ahead != Some(*s)).filter(spare);
            let behind = behind.max_by_key(lag);
            // Rather than reject long reads while the primary idles, it takes a few; bounded reads need it more.
            let quiet = |s: usize| {
                self.has_capacity(now, command, s, command_group, PRIMARY_READ_SHARE / 2.0) && spare(&s)
            };
            // A lone replica that served long reads would never apply the log nor serve a read with a bound.
            let lead = primary.filter(|s| fresh.is_empty() || quiet(*s));
            return if only { lead.or(behind) } else { behind.or(lead) };
        }
        let roomy: Vec<usize> = fresh.iter().copied().filter(room).collect();
        if !roomy.is_empty() {
            // Where all replicas have long waits and the primary has not, the primary takes the read.
            let least = roomy.iter().map(wait).fold(f64::INFINITY, f64::min);
            if let Some(primary) = primary.filter(|s| wait(s) + crowded < least) {
                return Some(primary);
            }
            return self.nearest(now, &roomy, command_group);
        }
        // A low-traffic router may know of no fresh replica and would send all reads to the primary. Where
        // servers do not check freshness, the nearest candidate is probed once for its position instead.
        if let Some(bound) =
            bound.filter(|_| !guarded && self.stats.probes_report_role && waited as f64 <= crowded)
        {
            let asked =
                replicas.iter().map(|s| &self.members[s]).find(|m| m.last_probe_at >= Some(command.arrived));
            let out = asked.map(|member| member.probe_in_flight);
            let may = |s: &usize| {
                self.is_fresh_enough(now, *s, bound, true)
                    && self.has_capacity(now, command, *s, command_group, 1.0)
            };
            let may: Vec<usize> = replicas.iter().copied().filter(|s| out.is_none() && may(s)).collect();
            let ask = self.nearest(now, &may, command_group);
            self.queue_probes.extend(ask);
            if ask.is_some() || out == Some(true) {
                return None;
            }
        }
        // No replica is left: the primary takes the read. Where servers check the bound, the most advanced
        // replica is tried first.
        if guarded
            && fresh.is_empty()
            && !pending.dispatches.iter().any(|d| d.ended == Some(DispatchEnd::Missed))
        {
            let hopeless = |s: &usize| bound.is_some_and(|b| self.cannot_be_fresh(now, *s, b));
            let may = |s: &usize| self.has_capacity(now, command, *s, command_group, 1.0) && !hopeless(s);
            let advanced = replicas.iter().copied().filter(may);
            return advanced.max_by_key(|s| (self.members[s].position, *s)).or(primary);
        }
        primary
    }

    /// Whether the group's reads need no fresh data and take so long that reads with a bound are delayed by them.
    pub(super) fn is_long_read(&self, command_group: &CommandGroup) -> bool {
        let bounded =
            self.command_groups.iter().filter(|k| matches!(k.need, Need::Bounded(_) | Need::Session));
        command_group.need == Need::Any
            && command_group.mean_time
                > bounded.map(|k| k.mean_time).fold(f64::INFINITY, f64::min) * LONG_READ_FACTOR
    }

    /// Picks at random among the members near the lowest ping, in the own zone if possible.
    pub(super) fn nearest(
        &mut self,
        now: Micros,
        servers: &[usize],
        command_group: &CommandGroup,
    ) -> Option<usize> {
        let cost = |server: &usize| {
            let member = &self.members[server];
            member.average_ping.unwrap_or(0.0) + self.expected_wait(now, member)
        };
        let crowded = command_group.response_target as f64 * LONG_WAIT_SHARE;
        let own = |server: &&usize| self.members[*server].zone == self.zone;
        let lowest = servers.iter().map(cost).fold(f64::INFINITY, f64::min);
        let near: Vec<usize> =
            servers.iter().filter(own).copied().filter(|s| cost(s) < lowest + crowded).collect();
        let pool = if near.is_empty() { servers.to_vec() } else { near };
        let lowest = pool.iter().map(cost).fold(f64::INFINITY, f64::min);
        // Waits vary by about the time of one command; pings do not.
        let window = LATENCY_WINDOW + command_group.prompt_time;
        let pool: Vec<usize> = pool.into_iter().filter(|s| cost(s) <= lowest + window).collect();
        pool.get(self.rng.below(pool.len())).copied()
    }

    /// Whether a replica has reached the position `bound`: it is known to, or, where it checks by itself, is not
    /// known to be behind.
    pub(super) fn is_fresh_enough(&self, now: Micros, server: usize, bound: Micros, guarded: bool) -> bool {
        let member = &self.members[&server];
        if !guarded || member.position >= bound {
            return member.position >= bound;
        }
        // Between reports its lag is assumed constant. After a miss it is assumed no smaller than the miss showed.
        let likely = member.position + now.saturating_sub(member.position_reported_at);
        !member.known_behind(now, bound) && (member.position == 0 || likely >= bound)
    }

    /// Whether a replica cannot have reached `bound` even if it caught up fast, so that a read there would miss.
    pub(super) fn cannot_be_fresh(&self, now: Micros, server: usize, bound: Micros) -> bool {
        let member = &self.members[&server];
        let gained = now.saturating_sub(member.position_reported_at) + LOAD_REPORT_AGE;
        member.position > 0 && member.position + CATCH_UP_FACTOR * gained < bound
            || member.known_behind(now, bound)
    }
}
