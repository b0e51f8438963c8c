//! Diagnosis: why a command does not go to each member. It reports the results of the router's own checks and
//! decides nothing.

use super::*;

impl Router {
    /// Average recent wait in µs at a member that is still warming up and answers; `None` for other members.
    pub fn wait_while_warming_up(&self, now: Micros, server: usize) -> Option<Micros> {
        let member = self.members.get(&server)?;
        let answers = member.started.is_some_and(|at| member.latest_answered_sent_at > at);
        (answers && self.warm_up_share(now, member) < 1.0).then(|| member.decayed_wait(now) as Micros)
    }

    /// What each member of the command's group lacks for it now, by server number. Empty where the command group or
    /// the group is unknown.
    pub fn diagnose(&self, now: Micros, pending: &PendingCommand) -> Vec<MemberDiagnosis> {
        let command = &pending.command;
        let (Some(command_group), Some(group)) =
            (self.command_groups.get(command.command_group), self.groups.get(&command.group))
        else {
            return Vec::new();
        };
        let read = !matches!(command_group.need, Need::Write | Need::Fresh);
        let bound = if read { self.required_position(now, command, command_group) } else { None };
        let lacking = |server: &usize| {
            let (member, primary) = (&self.members[server], group.primary == Some(*server));
            let share = if read && primary { PRIMARY_READ_SHARE } else { 1.0 };
            let tried = read && pending.dispatches.iter().any(|d| d.server == *server);
            let behind =
                |b| !primary && !self.is_fresh_enough(now, *server, b, self.servers_check_freshness());
            let lack = if !member.serving {
                MissingRequirement::Serving
            } else if member.down || member.recently_refused(now) {
                MissingRequirement::Reach
            } else if !self.is_healthy(now, *server) {
                MissingRequirement::Wellness
            } else if !read && !primary {
                MissingRequirement::Role
            } else if tried {
                MissingRequirement::AnotherTry
            } else if bound.is_some_and(behind) {
                MissingRequirement::Freshness
            } else if self.has_capacity(now, command, *server, command_group, share) {
                MissingRequirement::Nothing
            } else if !self.slow_start_admits(now, command, *server, command_group) {
                MissingRequirement::Warmth
            } else {
                MissingRequirement::Room
            };
            MemberDiagnosis {
                server: *server,
                primary,
                cold: self.warm_up_share(now, member) < 1.0,
                missing: lack,
            }
        };
        group.members.iter().map(lacking).collect()
    }
}
