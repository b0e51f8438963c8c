//! The replicated state: the same entries in the same order give the same state on every member.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::entries::*;
use crate::seeded_faults::{self, SeededFault};

/// A removed object, kept so that followers learn of the removal and its counters never start over.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Removed {
    /// Its last version, epoch or run.
    pub last: u64,
    /// Number of the last renewal, for an attendance.
    pub number: u64,
    pub index: u64,
}

/// Kinds of named objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) enum ObjectKind {
    Document,
    Attendance,
    Duty,
}

/// Most removed objects that are kept. A follower that missed more of them is sent the whole state.
pub(crate) const MAX_REMOVED: usize = 1_024;

/// State agreed on by all gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SharedState {
    pub documents: BTreeMap<String, Document>,
    pub attending: BTreeMap<String, Attendance>,
    pub duties: BTreeMap<String, Duty>,
    /// Index of the last entry applied; on a follower, the index up to which its state is complete.
    pub index: u64,
    /// Index of the last change of a document.
    pub newest: u64,
    pub(crate) gone: BTreeMap<(ObjectKind, String), Removed>,
    /// Highest version, epoch and run among removed objects no longer in `gone`, and the index up to which some are
    /// missing.
    pub(crate) floor: [u64; 3],
    pub(crate) forgotten: u64,
    /// A follower that is sent the whole state is complete from this index on.
    pub(crate) whole_from: u64,
}

fn done(at: u64) -> Outcome {
    Outcome::Done { at }
}

fn check_length(what: &str, text: &str, most: usize) -> Result<(), Refused> {
    if text.len() <= most { Ok(()) } else { Err(Refused::TooLong { what: what.into(), most }) }
}

fn check_count(what: &str, count: usize) -> Result<(), Refused> {
    if count < MAX_OBJECTS { Ok(()) } else { Err(Refused::Full { what: what.into(), most: MAX_OBJECTS }) }
}

impl Duty {
    /// Name of the holder, also while the duty is revoked.
    pub fn holder_name(&self) -> Option<&str> {
        self.holder.as_ref().map(|(name, _)| name.as_str())
    }

    fn current_epoch(&self) -> By {
        By::Epoch { epoch: self.epoch, holder: self.holder_name().map(Into::into) }
    }

    fn fenced_outcome(&self) -> Outcome {
        Outcome::Fenced { epoch: self.epoch, holder: self.holder_name().map(Into::into) }
    }

    /// Makes the duty vacant. `loses` if against the holder's will.
    fn vacate(&mut self, index: u64, why: Vacated, loses: bool) {
        if let Some((gateway, _)) = self.holder.take()
            && loses
        {
            self.lost.push(Lost { gateway, epoch: self.epoch, index });
            if self.lost.len() > MAX_LOSSES {
                self.lost.remove(0);
            }
        }
        (self.standing, self.index, self.waits) = (Standing::Vacant { since: index, why }, index, false);
    }

    fn assign(&mut self, index: u64, to: &str, life: u64) {
        self.epoch += u64::from(!seeded_faults::is_active(SeededFault::SameEpoch));
        (self.holder, self.standing) = (Some((to.into(), life)), Standing::Held);
        (self.renewal, self.progress, self.waits, self.index) = (0, 0, false, index);
    }
}

impl SharedState {
    /// Applies the entry decided at this index. Deterministic: depends only on the state and the entry.
    pub fn apply(&mut self, index: u64, entry: &Entry) -> Outcome {
        self.index = index;
        self.apply_checked(index, entry).unwrap_or_else(Outcome::Refused)
    }

    fn apply_checked(&mut self, index: u64, entry: &Entry) -> Result<Outcome, Refused> {
        match entry {
            Entry::Put { name, expected, body, by, fence } => {
                check_length("a document's name", name, MAX_NAME_BYTES)?;
                check_length("the body", body.as_deref().unwrap_or(""), MAX_BODY_BYTES)?;
                self.put(index, name, *expected, body.as_deref(), by, fence.as_ref())
            }
            Entry::Renewals(renewals) => {
                Ok(Outcome::Renewed(renewals.iter().map(|renewal| self.renew(index, renewal)).collect()))
            }
            Entry::Leave { gateway, life } => Ok(self.leave(index, gateway, *life)),
            Entry::Open { duty, scope } => self.open(index, duty, scope),
            Entry::Close { duty, epoch } => {
                let stands = self.duty(duty)?;
                let over = stands.epoch != *epoch && !seeded_faults::is_active(SeededFault::ClosesHeld);
                if over {
                    return Ok(stands.fenced_outcome());
                }
                let last = if seeded_faults::is_active(SeededFault::EpochsAnew) { 0 } else { stands.epoch };
                self.duties.remove(duty);
                self.record_removal(ObjectKind::Duty, duty, Removed { last, number: 0, index });
                Ok(done(last))
            }
            Entry::Grant { duty, after_epoch, to } => {
                let life = self.attending.get(to).map(|attends| attends.life);
                let stands = self.duty(duty)?;
                let vacant = matches!(stands.standing, Standing::Vacant { .. })
                    || seeded_faults::is_active(SeededFault::GrantsHeld);
                if stands.epoch != *after_epoch || !vacant {
                    return Ok(Outcome::Overtaken { by: stands.current_epoch() });
                }
                let life = life.ok_or_else(|| Refused::NotAttending { gateway: to.clone() })?;
                stands.assign(index, to, life);
                Ok(done(stands.epoch))
            }
            Entry::HandOn { duty, epoch, to } => {
                let life = self.attending.get(to).map(|attends| attends.life);
                let stands = self.duty(duty)?;
                if stands.epoch != *epoch || stands.holder.is_none() {
                    return Ok(stands.fenced_outcome());
                }
                match (life, &stands.standing) {
                    (Some(life), Standing::Held) => stands.assign(index, to, life),
                    _ => stands.vacate(index, Vacated::GivenBack(GivenBack::Leaves), false),
                }
                Ok(done(stands.epoch))
            }
            Entry::Release { duty, epoch, why } => {
                let stands = self.duty(duty)?;
                if stands.epoch != *epoch || stands.holder.is_none() {
                    return Ok(stands.fenced_outcome());
                }
                // A holder that releases a revoked duty has lost it nonetheless.
                let (why, loses) = match stands.standing {
                    Standing::Revoked { why } => (Vacated::Revoked(why), true),
                    _ => (Vacated::GivenBack(*why), *why == GivenBack::Unable),
                };
                stands.vacate(index, why, loses);
                Ok(done(*epoch))
            }
            Entry::Revoke { duty, epoch, progress, why } => {
                let stands = self.duty(duty)?;
                if stands.epoch != *epoch || stands.standing != Standing::Held {
                    return Ok(Outcome::Overtaken { by: stands.current_epoch() });
                }
                if *why == Revoked::Stalled && stands.progress != *progress {
                    return Ok(Outcome::Overtaken { by: By::Progress { progress: stands.progress } });
                }
                (stands.standing, stands.index) = (Standing::Revoked { why: *why }, index);
                Ok(done(*epoch))
            }
            Entry::Expire { duty, epoch, renewal } => {
                let stands = self.duty(duty)?;
                if stands.epoch != *epoch || stands.holder.is_none() {
                    return Ok(Outcome::Overtaken { by: stands.current_epoch() });
                }
                if stands.renewal != *renewal && !seeded_faults::is_active(SeededFault::AnyRenewal) {
                    return Ok(Outcome::Overtaken { by: By::Renewal { renewal: stands.renewal } });
                }
                let why = match stands.standing {
                    Standing::Revoked { why } => Vacated::Revoked(why),
                    _ => Vacated::RanOut,
                };
                stands.vacate(index, why, true);
                Ok(done(*epoch))
            }
            Entry::Absent { gateway, renewal } => {
                let attends = self.attending.get(gateway);
                let attends = attends.ok_or_else(|| Refused::NotAttending { gateway: gateway.clone() })?;
                if attends.renewal != *renewal && !seeded_faults::is_active(SeededFault::AnyRenewal) {
                    return Ok(Outcome::Overtaken { by: By::Renewal { renewal: attends.renewal } });
                }
                self.remove_attendance(index, gateway);
                Ok(done(index))
            }
        }
    }

    fn duty(&mut self, name: &str) -> Result<&mut Duty, Refused> {
        self.duties.get_mut(name).ok_or_else(|| Refused::NoSuchDuty { duty: name.into() })
    }

    fn put(
        &mut self,
        index: u64,
        name: &str,
        expected: u64,
        body: Option<&str>,
        by: &str,
        fence: Option<&Fence>,
    ) -> Result<Outcome, Refused> {
        if let Some(fence) = fence
            && !seeded_faults::is_active(SeededFault::AnyWriter)
        {
            // A revoked holder may not write, even if its lease has not expired yet.
            let stands = self.duty(&fence.duty)?;
            if stands.epoch != fence.epoch || stands.standing != Standing::Held {
                return Ok(stands.fenced_outcome());
            }
        }
        let stands = self.documents.get(name);
        let version = stands.map_or(0, |document| document.version);
        if version != expected && !seeded_faults::is_active(SeededFault::AnyVersion) {
            let by = stands.map_or(String::new(), |document| document.by.clone());
            return Ok(Outcome::Overtaken { by: By::Version { version, by } });
        }
        match (body, stands) {
            (Some(body), _) => {
                if stands.is_none() {
                    check_count("documents", self.documents.len())?;
                }
                let version = version.max(self.take_last_count(ObjectKind::Document, name)) + 1;
                let (body, by, fence) = (body.into(), by.into(), fence.cloned());
                let document = Document { version, body, by, fence, index };
                self.documents.insert(name.into(), document);
                self.newest = index;
                Ok(done(version))
            }
            (None, Some(_)) => {
                self.documents.remove(name);
                self.record_removal(ObjectKind::Document, name, Removed { last: version, number: 0, index });
                self.newest = index;
                Ok(done(version))
            }
            (None, None) => Ok(done(0)),
        }
    }

    fn open(&mut self, index: u64, name: &str, scope: &Scope) -> Result<Outcome, Refused> {
        check_length("a duty's name", name, MAX_NAME_BYTES)?;
        if let Some(stands) = self.duties.get(name) {
            let same = stands.scope == *scope;
            return same.then(|| done(stands.epoch)).ok_or(Refused::OtherScope { duty: name.into() });
        }
        check_count("duties", self.duties.len())?;
        let epoch = self.take_last_count(ObjectKind::Duty, name);
        let standing = Standing::Vacant { since: index, why: Vacated::New };
        let (scope, holder, lost) = (scope.clone(), None, Vec::new());
        let duty =
            Duty { scope, epoch, holder, renewal: 0, standing, progress: 0, waits: false, lost, index };
        self.duties.insert(name.into(), duty);
        Ok(done(epoch))
    }

    fn renew(&mut self, index: u64, renewal: &Renewal) -> Renewed {
        let attends = self.renew_attendance(index, renewal);
        let duties = renewal.duties.iter().map(|work| {
            let held = attends.clone().and_then(|()| self.renew_duty(renewal, work));
            (work.duty.clone(), work.epoch, held)
        });
        let duties = duties.collect();
        Renewed {
            gateway: renewal.gateway.clone(),
            life: renewal.life,
            number: renewal.number,
            attends,
            duties,
        }
    }

    fn renew_attendance(&mut self, index: u64, renewal: &Renewal) -> Result<(), Refused> {
        let name = &renewal.gateway;
        check_length("a gateway's name", name, MAX_NAME_BYTES)?;
        check_length("a zone's name", &renewal.zone, MAX_NAME_BYTES)?;
        let said = renewal.says.iter().map(|(key, value)| key.len() + value.len()).sum::<usize>();
        if said > MAX_REPORT_BYTES {
            return Err(Refused::TooLong { what: "what a gateway says".into(), most: MAX_REPORT_BYTES });
        }
        let newest = self.newest;
        let stands = self.attending.get(name);
        match stands {
            // The earlier run may still act by the documents it knew, until its attendance has expired.
            Some(stands) if stands.life < renewal.life && !seeded_faults::is_active(SeededFault::AnyLife) => {
                return Err(Refused::EarlierStays { known: stands.life });
            }
            Some(stands) if stands.life > renewal.life => {
                return Err(Refused::LaterLife { known: stands.life });
            }
            Some(stands)
                if stands.life == renewal.life
                    && stands.number >= renewal.number
                    && !seeded_faults::is_active(SeededFault::OlderWords) =>
            {
                return Err(Refused::NewerRenewal { known: stands.number });
            }
            Some(_) => {}
            None => {
                let gone = self.gone.get(&(ObjectKind::Attendance, name.clone()));
                let (life, number) = gone.map_or((0, 0), |gone| (gone.last, gone.number));
                if life > renewal.life {
                    return Err(Refused::LaterLife { known: life });
                }
                if life == renewal.life && number >= renewal.number {
                    return Err(Refused::NewerRenewal { known: number });
                }
                // Otherwise a document adopted by all would no longer be.
                if renewal.taken < newest && !seeded_faults::is_active(SeededFault::AttendsBehind) {
                    return Err(Refused::Behind { newest });
                }
                check_count("attendances", self.attending.len())?;
                self.take_last_count(ObjectKind::Attendance, name);
            }
        }
        let mut next = Attendance {
            life: renewal.life,
            number: renewal.number,
            renewal: index,
            taken: renewal.taken.min(newest),
            zone: renewal.zone.clone(),
            health: renewal.health,
            room: renewal.room,
            says: renewal.says.clone(),
            index,
        };
        if let Some(stands) = self.attending.get(name) {
            next.taken = next.taken.max(stands.taken);
            // Followers are sent only changes other than of counters.
            let counts = Attendance {
                number: next.number,
                renewal: next.renewal,
                index: next.index,
                ..stands.clone()
            };
            if counts == next {
                next.index = stands.index;
            }
        }
        self.attending.insert(name.clone(), next);
        Ok(())
    }

    fn renew_duty(&mut self, renewal: &Renewal, work: &Work) -> Result<(), Refused> {
        let stands = self.duty(&work.duty)?;
        let holds = stands.holder.as_ref().is_some_and(|(name, life)| {
            *name == renewal.gateway
                && (*life == renewal.life || seeded_faults::is_active(SeededFault::AnyLife))
        });
        if !holds || (stands.epoch != work.epoch && !seeded_faults::is_active(SeededFault::OldEpoch)) {
            return Err(Refused::NotHolder { duty: work.duty.clone(), epoch: stands.epoch });
        }
        if let Standing::Revoked { why } = stands.standing
            && !seeded_faults::is_active(SeededFault::RenewsRevoked)
        {
            return Err(Refused::TakenAway { duty: work.duty.clone(), why });
        }
        (stands.renewal, stands.progress, stands.waits) = (stands.renewal + 1, work.progress, work.waits);
        Ok(())
    }

    fn leave(&mut self, index: u64, gateway: &str, life: u64) -> Outcome {
        match self.attending.get(gateway) {
            Some(stands) if stands.life == life => {
                self.remove_attendance(index, gateway);
                let holds = |duty: &&mut Duty| {
                    duty.holder.as_ref().is_some_and(|(name, its)| name == gateway && *its == life)
                };
                for duty in self.duties.values_mut().filter(holds) {
                    duty.vacate(index, Vacated::GivenBack(GivenBack::Leaves), false);
                }
                done(index)
            }
            Some(stands) => Outcome::Overtaken { by: By::Life { life: stands.life } },
            None => done(index),
        }
    }

    fn remove_attendance(&mut self, index: u64, gateway: &str) {
        if let Some(stands) = self.attending.remove(gateway) {
            let gone = Removed { last: stands.life, number: stands.number, index };
            self.record_removal(ObjectKind::Attendance, gateway, gone);
        }
    }

    /// Records a removed object. The oldest records are dropped, and their highest counters become the floor for all
    /// names.
    pub(crate) fn record_removal(&mut self, kind: ObjectKind, name: &str, gone: Removed) {
        self.gone.insert((kind, name.into()), gone);
        while self.gone.len() > MAX_REMOVED {
            let oldest = self.gone.iter().min_by_key(|(_, gone)| gone.index).map(|(key, _)| key.clone());
            let Some(oldest) = oldest else { return };
            if let Some(gone) = self.gone.remove(&oldest) {
                let floor = &mut self.floor[oldest.0 as usize];
                *floor = gone.last.max(*floor);
                self.forgotten = self.forgotten.max(gone.index);
            }
        }
    }

    /// Takes the last counter of a removed object, from which a new one of this name continues.
    fn take_last_count(&mut self, kind: ObjectKind, name: &str) -> u64 {
        let last = self.gone.remove(&(kind, name.into())).map(|gone| gone.last);
        last.unwrap_or(self.floor[kind as usize])
    }

    /// Whether this version of a document is the newest and was adopted by every attending gateway. It stays so until
    /// another version is decided, since a gateway must adopt it before it attends.
    pub fn is_binding(&self, name: &str, version: u64) -> bool {
        self.is_complete()
            && self.documents.get(name).is_some_and(|document| {
                document.version == version
                    && self.attending.values().all(|attends| attends.taken >= document.index)
            })
    }

    /// Gateways that have not adopted the newest version of a document.
    pub fn lagging_gateways(&self, name: &str) -> Vec<&str> {
        let Some(document) = self.documents.get(name) else { return Vec::new() };
        let lag = self.attending.iter().filter(|(_, attends)| attends.taken < document.index);
        lag.map(|(name, _)| name.as_str()).collect()
    }

    /// Whether a follower has received the complete state; nothing may be decided by an incomplete one.
    pub fn is_complete(&self) -> bool {
        self.index > 0 && self.index >= self.whole_from
    }

    /// Duties held by this run of a gateway, with their epochs.
    pub fn held_by(&self, gateway: &str, life: u64) -> impl Iterator<Item = (&str, u64)> {
        let holds = move |duty: &Duty| {
            duty.standing == Standing::Held
                && duty.holder.as_ref().is_some_and(|(name, its)| name == gateway && *its == life)
        };
        self.duties
            .iter()
            .filter(move |(_, duty)| holds(duty))
            .map(|(name, duty)| (name.as_str(), duty.epoch))
    }
}
