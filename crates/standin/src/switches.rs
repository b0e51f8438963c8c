//! Switches of primary that are ordered by a statement, `SELECT switch /* shard=0,to=s1,epoch=4 */`: the fence that
//! refuses who was overtaken, the record of all, and what makes their ends uncertain.

use std::collections::BTreeMap;
use std::sync::MutexGuard;
use std::time::Duration;

use crate::frames::named;
use crate::store::{Being, Shared, State, Store};

/// What became of an ordered switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It is under way, or waits.
    Open,
    Done,
    /// The server leads already: nothing was done, and lower epochs are refused from now on.
    Again,
    /// A higher epoch was seen before it was done: nothing was done.
    Fenced,
    /// The server is none of the shard's, or does not run.
    Unfit,
}

/// One statement that ordered a switch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ordered {
    pub shard: usize,
    pub to: usize,
    pub epoch: u64,
    /// Since the store's start: when it came, and when it was done or refused.
    pub came: Duration,
    pub ended: Option<Duration>,
    pub end: End,
}

/// Where statements of the first epoch that comes after the word stand still, until they are let go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waits {
    Before,
    /// It is done, and its answer is kept back.
    After,
}

#[derive(Default)]
pub(crate) struct Switches {
    /// The highest epoch that was seen for each shard.
    seen: BTreeMap<usize, u64>,
    record: Vec<Ordered>,
    /// Where they wait, and for which epoch, once one came.
    waits: Option<(Waits, Option<u64>)>,
}

impl Switches {
    fn held(&mut self, place: Waits, epoch: u64) -> bool {
        match &mut self.waits {
            Some((at, first)) if *at == place => *first.get_or_insert(epoch) >= epoch,
            _ => false,
        }
    }
}

impl Shared {
    /// Does what a statement orders. None: it orders nothing that can be read.
    pub(crate) fn ordered(&self, statement: &str) -> Option<End> {
        let number = |name: &str| named(statement, name)?.trim().parse::<u64>().ok();
        let (shard, epoch) = (number("shard")? as usize, number("epoch")?);
        let to = named(statement, "to")?.trim().strip_prefix('s')?.parse::<usize>().ok()?;
        let mut state = self.lock();
        let place = state.switches.record.len();
        let came = self.began.elapsed();
        state.switches.record.push(Ordered { shard, to, epoch, came, ended: None, end: End::Open });
        drop(self.until_let_go(state, Waits::Before, epoch));
        let end = self.fenced_switch(shard, to, epoch);
        let mut state = self.lock();
        let found = &mut state.switches.record[place];
        (found.ended, found.end) = (Some(self.began.elapsed()), end);
        drop(self.until_let_go(state, Waits::After, epoch));
        Some(end)
    }

    fn until_let_go<'a>(
        &'a self,
        mut state: MutexGuard<'a, State>,
        at: Waits,
        epoch: u64,
    ) -> MutexGuard<'a, State> {
        while !state.over && state.switches.held(at, epoch) {
            let waited = self.turned.wait_timeout(state, Duration::from_millis(20));
            state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
        state
    }

    fn fenced_switch(&self, shard: usize, to: usize, epoch: u64) -> End {
        let mut state = self.lock();
        let seen = state.switches.seen.entry(shard).or_default();
        if epoch < *seen {
            return End::Fenced;
        }
        *seen = epoch;
        match state.servers.get(to) {
            Some(found) if found.shard != shard || found.being != Being::Up => return End::Unfit,
            // One that closes is being replaced by a lower epoch, which will find itself overtaken.
            Some(found) if found.leads && !found.deposed && !found.closing => return End::Again,
            Some(_) => {}
            None => return End::Unfit,
        }
        drop(state);
        self.give_up(shard);
        std::thread::sleep(self.shape.gap);
        let mut state = self.lock();
        // Guards against a switch that was overtaken while its old primary ended what it had.
        if state.switches.seen.get(&shard).is_some_and(|seen| *seen > epoch) {
            return End::Fenced;
        }
        state.crown(shard, to);
        End::Done
    }
}

impl Store {
    /// All statements that ordered a switch, as they came.
    pub fn ordered(&self) -> Vec<Ordered> {
        self.shared.lock().switches.record.clone()
    }

    /// From now on statements of the next epoch that comes, and of lower ones, wait there; those of higher ones don't.
    pub fn keep_switches(&self, at: Waits) {
        self.shared.lock().switches.waits = Some((at, None));
    }

    /// Those that wait go on.
    pub fn let_switches_go(&self) {
        self.shared.lock().switches.waits = None;
        self.shared.turned.notify_all();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::client::{Client, Reply};
    use crate::store::Shape;

    fn order(store: &Store, to: usize, epoch: u64) -> Reply {
        let patience = Duration::from_secs(5);
        let mut client = Client::connect(store.addresses[to], patience).expect("it connects");
        client.ask(&format!("SELECT switch /* shard=0,to=s{to},epoch={epoch} */"))
    }

    fn ends(store: &Store) -> Vec<(u64, End)> {
        store.ordered().iter().map(|one| (one.epoch, one.end)).collect()
    }

    #[test]
    fn a_switch_of_an_overtaken_epoch_is_refused_and_one_that_comes_again_does_nothing() {
        let store = Store::start(Shape::default()).expect("a store");
        assert!(matches!(order(&store, 1, 3), Reply::Value(_)));
        assert!(matches!(order(&store, 1, 3), Reply::Value(_)));
        assert!(matches!(order(&store, 2, 2), Reply::Error(code, _) if code == "55000"));
        assert_eq!(store.leader(0), Some(1));
        // Told to stay, under a newer epoch.
        assert!(matches!(order(&store, 1, 4), Reply::Value(_)));
        assert!(matches!(order(&store, 2, 3), Reply::Error(..)));
        assert_eq!(store.leader(0), Some(1));
        let made = [(3, End::Done), (3, End::Again), (2, End::Fenced), (4, End::Again), (3, End::Fenced)];
        assert_eq!(ends(&store), made);
        assert!(matches!(order(&store, 4, 5), Reply::Error(code, _) if code == "22023"));
    }

    /// It came first, stood still, and the next epoch's was done meanwhile.
    #[test]
    fn a_switch_that_waited_while_the_next_was_done_is_refused() {
        let store = Store::start(Shape::default()).expect("a store");
        store.keep_switches(Waits::Before);
        std::thread::scope(|scope| {
            let first = scope.spawn(|| order(&store, 1, 1));
            while store.ordered().is_empty() {
                std::thread::sleep(Duration::from_millis(1));
            }
            assert!(matches!(order(&store, 2, 2), Reply::Value(_)));
            store.let_switches_go();
            assert!(matches!(first.join().expect("an end"), Reply::Error(..)));
        });
        assert_eq!((ends(&store), store.leader(0)), (vec![(1, End::Fenced), (2, End::Done)], Some(2)));
    }

    /// Both are under way at once: the lower one has closed the old primary and is overtaken before it is done.
    #[test]
    fn of_two_switches_under_way_the_higher_epoch_s_stays() {
        let shape = Shape { gap: Duration::from_millis(200), ..Shape::default() };
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
