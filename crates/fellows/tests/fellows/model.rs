//! Model check of merging: three gateways observe, send, repeat, restart and receive messages in any order, late or
//! never.

use std::collections::BTreeSet;

use stateright::{Checker, Model, Property};
use tansyjunction_fellows::evidence::{EvidenceStore, Fact, Item};

const NOW: u64 = 50_000_000;
const GATEWAYS: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    stores: Vec<EvidenceStore>,
    /// All messages ever sent, by number.
    said: Vec<Item>,
    /// Messages received by each gateway.
    heard: Vec<BTreeSet<usize>>,
    /// Each gateway's incarnation and last number.
    lives: Vec<(u64, u32)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    /// A gateway observes the server.
    See(usize, Fact),
    /// It restarts as another incarnation without state.
    Anew(usize),
    /// The message of this number arrives, possibly again.
    Hear(usize, usize),
}

struct Small {
    words: usize,
    lives: u64,
}

impl Small {
    fn merged(items: impl Iterator<Item = Item>) -> Vec<(String, Fact, u64, u32)> {
        let mut store = EvidenceStore::new(30_000_000, 8);
        items.for_each(|item| {
            store.merge(NOW, &item, 0);
        });
        Small::content(&store)
    }

    fn content(store: &EvidenceStore) -> Vec<(String, Fact, u64, u32)> {
        store.all().map(|(source, _, kept)| (source.into(), kept.fact, kept.life, kept.seq)).collect()
    }
}

impl Model for Small {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        vec![World {
            stores: vec![EvidenceStore::new(30_000_000, 8); GATEWAYS],
            said: Vec::new(),
            heard: vec![BTreeSet::new(); GATEWAYS],
            lives: vec![(1, 0); GATEWAYS],
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Act>) {
        for gateway in 0..GATEWAYS {
            if world.said.len() < self.words && gateway < 2 {
                actions.extend([Fact::Answers, Fact::Refuses].map(|fact| Act::See(gateway, fact)));
            }
            if world.lives[gateway].0 < self.lives && gateway == 0 {
                actions.push(Act::Anew(gateway));
            }
            for number in 0..world.said.len() {
                actions.push(Act::Hear(gateway, number));
            }
        }
    }

    fn next_state(&self, world: &World, act: Act) -> Option<World> {
        let mut next = world.clone();
        match act {
            Act::See(gateway, fact) => {
                let (life, seq) = &mut next.lives[gateway];
                *seq += 1;
                let (source, subject) = (format!("n{gateway}"), "s".to_string());
                let item = Item { source, zone: 0, life: *life, seq: *seq, subject, fact, age: 0 };
                next.stores[gateway].merge(NOW, &item, 0);
                next.heard[gateway].insert(next.said.len());
                next.said.push(item);
            }
            Act::Anew(gateway) => {
                next.lives[gateway] = (next.lives[gateway].0 + 1, 0);
                next.stores[gateway] = EvidenceStore::new(30_000_000, 8);
                next.heard[gateway].clear();
            }
            Act::Hear(gateway, number) => {
                next.stores[gateway].merge(NOW, &next.said[number], 0);
                next.heard[gateway].insert(number);
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            // Gateways that received the same messages have the same state, in any order and number.
            Property::always("the same words lead to the same knowledge", |_, world: &World| {
                world.stores.iter().zip(&world.heard).all(|(store, heard)| {
                    Small::content(store)
                        == Small::merged(heard.iter().map(|number| world.said[*number].clone()))
                })
            }),
            Property::always("no earlier life speaks over a later one", |_, world: &World| {
                world.stores.iter().zip(&world.heard).all(|(store, heard)| {
                    store.all().all(|(source, _, kept)| {
                        let latest = heard
                            .iter()
                            .map(|number| &world.said[*number])
                            .filter(|item| item.source == source);
                        latest.map(|item| (item.life, item.seq)).max() == Some((kept.life, kept.seq))
                    })
                })
            }),
            Property::sometimes("a later life is heard by all", |_, world: &World| {
                let heard = |store: &EvidenceStore| {
                    store.all().any(|(source, _, kept)| source == "n0" && kept.life == 2)
                };
                world.stores.iter().all(heard)
            }),
        ]
    }
}

#[test]
fn whatever_the_order_all_that_heard_the_same_know_the_same() {
    let checker = Small { words: 3, lives: 2 }.checker().spawn_bfs().join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 10_000, "{}", checker.unique_state_count());
}
