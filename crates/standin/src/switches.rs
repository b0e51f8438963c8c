//! Switches of primary ordered by statements, `SELECT switch /* shard=0,to=s1,epoch=4 */`: fencing of earlier epochs, a
//! record of all orders, and ways to make their outcome uncertain.

use std::collections::BTreeMap;
use std::sync::MutexGuard;
use std::time::Duration;

use crate::frames::named;
use crate::store::{Liveness, Shared, State, Store};

/// Result of an ordered switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwitchResult {
    /// It is in progress or waits.
    Open,
    Done,
    /// The server is primary already: nothing was done, and lower epochs are rejected from now on.
    Again,
    /// A higher epoch was seen before it was done: nothing was done.
    Fenced,
    /// The server does not belong to the shard or is not running.
    Unfit,
}

/// A statement that ordered a switch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ordered {
    pub shard: usize,
    pub to: usize,
    pub epoch: u64,
    /// Times since the store's start: arrival, and completion or rejection.
    pub came: Duration,
    pub ended: Option<Duration>,
    pub end: SwitchResult,
}

/// Where statements of the next epoch are held until released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldPoint {
    Before,
    /// After the switch, before the answer.
    After,
}

#[derive(Default)]
pub(crate) struct Switches {
    /// Highest epoch seen for each shard.
    seen: BTreeMap<usize, u64>,
    record: Vec<Ordered>,
    /// Where statements are held, and for which epoch once one has arrived.
    waits: Option<(HoldPoint, Option<u64>)>,
}

impl Switches {
    fn held(&mut self, place: HoldPoint, epoch: u64) -> bool {
        match &mut self.waits {
            Some((at, first)) if *at == place => *first.get_or_insert(epoch) >= epoch,
            _ => false,
        }
    }
}

impl Shared {
    /// Executes a statement; `None` if it orders no switch.
    pub(crate) fn ordered(&self, statement: &str) -> Option<SwitchResult> {
        let number = |name: &str| named(statement, name)?.trim().parse::<u64>().ok();
        let (shard, epoch) = (number("shard")? as usize, number("epoch")?);
        let to = named(statement, "to")?.trim().strip_prefix('s')?.parse::<usize>().ok()?;
        let mut state = self.lock();
        let place = state.switches.record.len();
        let came = self.began.elapsed();
        state.switches.record.push(Ordered { shard, to, epoch, came, ended: None, end: SwitchResult::Open });
        drop(self.until_let_go(state, HoldPoint::Before, epoch));
        let end = self.fenced_switch(shard, to, epoch);
        let mut state = self.lock();
        let found = &mut state.switches.record[place];
        (found.ended, found.end) = (Some(self.began.elapsed()), end);
        drop(self.until_let_go(state, HoldPoint::After, epoch));
        Some(end)
    }

    fn until_let_go<'a>(
        &'a self,
        mut state: MutexGuard<'a, State>,
        at: HoldPoint,
        epoch: u64,
    ) -> MutexGuard<'a, State> {
        while !state.over && state.switches.held(at, epoch) {
            let waited = self.turned.wait_timeout(state, Duration::from_millis(20));
            state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
        state
    }

    fn fenced_switch(&self, shard: usize, to: usize, epoch: u64) -> SwitchResult {
        let mut state = self.lock();
        let seen = state.switches.seen.entry(shard).or_default();
        if epoch < *seen {
            return SwitchResult::Fenced;
        }
        *seen = epoch;
        match state.servers.get(to) {
            Some(found) if found.shard != shard || found.being != Liveness::Up => return SwitchResult::Unfit,
            // A primary that is closing is being replaced by a lower epoch, which will be rejected.
            Some(found) if found.leads && !found.replaced && !found.rejecting_writes => {
                return SwitchResult::Again;
            }
            Some(_) => {}
            None => return SwitchResult::Unfit,
        }
        drop(state);
        self.step_down(shard);
        std::thread::sleep(self.shape.gap);
        let mut state = self.lock();
        // The switch may have been overtaken while its old primary completed its writes.
        if state.switches.seen.get(&shard).is_some_and(|seen| *seen > epoch) {
            return SwitchResult::Fenced;
        }
        state.set_primary(shard, to);
        SwitchResult::Done
    }
}

impl Store {
    /// All statements that ordered a switch, in order of arrival.
    pub fn ordered(&self) -> Vec<Ordered> {
        self.shared.lock().switches.record.clone()
    }

    /// Holds statements of the next epoch and of lower ones from now on; higher ones pass.
    pub fn hold_switches(&self, at: HoldPoint) {
        self.shared.lock().switches.waits = Some((at, None));
    }

    /// Releases the held statements.
    pub fn release_switches(&self) {
        self.shared.lock().switches.waits = None;
        self.shared.turned.notify_all();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::client::{Client, Reply};
    use crate::store::StoreConfig;

    fn order(store: &Store, to: usize, epoch: u64) -> Reply {
        let patience = Duration::from_secs(5);
        let mut client = Client::connect(store.addresses[to], patience).expect("it connects");
        client.ask(&format!("SELECT switch /* shard=0,to=s{to},epoch={epoch} */"))
    }

    fn ends(store: &Store) -> Vec<(u64, SwitchResult)> {
        store.ordered().iter().map(|one| (one.epoch, one.end)).collect()
    }

    #[test]
    fn a_switch_of_an_overtaken_epoch_is_refused_and_one_that_comes_again_does_nothing() {
        let store = Store::start(StoreConfig::default()).expect("a store");
        assert!(matches!(order(&store, 1, 3), Reply::Value(_)));
        assert!(matches!(order(&store, 1, 3), Reply::Value(_)));
        assert!(matches!(order(&store, 2, 2), Reply::Error(code, _) if code == "55000"));
        assert_eq!(store.leader(0), Some(1));
        // Told to stay primary, under a newer epoch.
        assert!(matches!(order(&store, 1, 4), Reply::Value(_)));
        assert!(matches!(order(&store, 2, 3), Reply::Error(..)));
        assert_eq!(store.leader(0), Some(1));
        let made = [
            (3, SwitchResult::Done),
            (3, SwitchResult::Again),
            (2, SwitchResult::Fenced),
            (4, SwitchResult::Again),
            (3, SwitchResult::Fenced),
        ];
        assert_eq!(ends(&store), made);
        assert!(matches!(order(&store, 4, 5), Reply::Error(code, _) if code == "22023"));
    }

    /// The first switch is held while that of the next epoch completes.
    #[test]
    fn a_switch_that_waited_while_the_next_was_done_is_refused() {
        let store = Store::start(StoreConfig::default()).expect("a store");
        store.hold_switches(HoldPoint::Before);
        std::thread::scope(|scope| {
            let first = scope.spawn(|| order(&store, 1, 1));
            while store.ordered().is_empty() {
                std::thread::sleep(Duration::from_millis(1));
            }
            assert!(matches!(order(&store, 2, 2), Reply::Value(_)));
            store.release_switches();
            assert!(matches!(first.join().expect("an end"), Reply::Error(..)));
        });
        assert_eq!(
            (ends(&store), store.leader(0)),
            (vec![(1, SwitchResult::Fenced), (2, SwitchResult::Done)], Some(2))
        );
    }

    /// Both are in progress: the lower epoch has closed the old primary and is overtaken before it completes.
    #[test]
    fn of_two_switches_under_way_the_higher_epoch_s_stays() {
        let shape = StoreConfig { gap: Duration::from_millis(200), ..StoreConfig::default() };
        let store = Store::start(shape).expect("a store");
        std::thread::scope(|scope| {
            let first = scope.spawn(|| order(&store, 1, 1));
            while store.leader(0).is_some() {
                std::thread::sleep(Duration::from_millis(1));
            }
            assert!(matches!(order(&store, 2, 2), Reply::Value(_)));
            assert!(matches!(first.join().expect("an end"), Reply::Error(..)));
        });
        assert_eq!(store.leader(0), Some(2));
    }
}
