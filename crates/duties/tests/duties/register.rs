//! Tests of the shared state and its readers: by properties, by tables, and in scenarios with a single clock.

use proptest::prelude::*;
use tansyjunction_duties::seeded_faults::{self, SeededFault};
use tansyjunction_duties::*;

fn renewal(gateway: &str, life: u64, number: u64) -> Renewal {
    let (gateway, zone, room) = (gateway.to_string(), "a".to_string(), 9);
    Renewal { gateway, life, number, taken: u64::MAX, zone, room, ..Renewal::default() }
}

fn put(name: &str, expected: u64, body: &str, fence: Option<(&str, u64)>) -> Entry {
    let fence = fence.map(|(duty, epoch)| Fence { duty: duty.into(), epoch });
    Entry::Put { name: name.into(), expected, body: Some(body.into()), by: body.into(), fence }
}

fn open(duty: &str) -> Entry {
    Entry::Open { duty: duty.into(), scope: Scope::Fleet }
}

fn grant(duty: &str, after_epoch: u64, to: &str) -> Entry {
    Entry::Grant { duty: duty.into(), after_epoch, to: to.into() }
}

/// Applies all entries in order; returns the outcomes.
fn apply(register: &mut SharedState, entries: &[Entry]) -> Vec<Outcome> {
    entries.iter().map(|entry| register.apply(register.index + 1, entry)).collect()
}

fn work(duty: &str, epoch: u64) -> Work {
    Work { duty: duty.into(), epoch, progress: 0, waits: true }
}

/// Generates entries over few names and small counters, so that many are valid.
fn entries() -> impl Strategy<Value = Entry> {
    let name = |of: &'static [&'static str]| prop::sample::select(of).prop_map(String::from);
    let (duty, gateway) = (|| name(&["x", "y"]), || name(&["n0", "n1", "n2"]));
    let small = || 0u64..4;
    let fence = prop::option::of((duty(), small()).prop_map(|(duty, epoch)| Fence { duty, epoch }));
    prop_oneof![
        (name(&["d", "e"]), small(), prop::option::of(gateway()), gateway(), fence)
            .prop_map(|(name, expected, body, by, fence)| Entry::Put { name, expected, body, by, fence }),
        prop::collection::vec((gateway(), 1u64..3, 0u64..9, 0u64..40, duty(), small()), 1..3).prop_map(
            |all| {
                let one = |(gateway, life, number, taken, duty, epoch): (String, _, _, _, String, _)| {
                    Renewal { taken, duties: vec![work(&duty, epoch)], ..renewal(&gateway, life, number) }
                };
                Entry::Renewals(all.into_iter().map(one).collect())
            }
        ),
        (gateway(), 1u64..3).prop_map(|(gateway, life)| Entry::Leave { gateway, life }),
        duty().prop_map(|duty| open(&duty)),
        (duty(), small()).prop_map(|(duty, epoch)| Entry::Close { duty, epoch }),
        (duty(), small(), gateway()).prop_map(|(duty, epoch, to)| grant(&duty, epoch, &to)),
        (duty(), small(), gateway()).prop_map(|(duty, epoch, to)| Entry::HandOn { duty, epoch, to }),
        (duty(), small()).prop_map(|(duty, epoch)| {
            let why = GivenBack::Leaves;
            Entry::Release { duty, epoch, why }
        }),
        (duty(), small()).prop_map(|(duty, epoch)| {
            let why = Revoked::Stalled;
            Entry::Revoke { duty, epoch, progress: 0, why }
        }),
        (duty(), small(), small()).prop_map(|(duty, epoch, renewal)| Entry::Expire { duty, epoch, renewal }),
        (gateway(), 0u64..40).prop_map(|(gateway, renewal)| Entry::Absent { gateway, renewal }),
    ]
}

/// The part of the state that followers have.
fn told(register: &SharedState) -> impl PartialEq + std::fmt::Debug + use<> {
    let counts = |attends: &Attendance| Attendance { number: 0, renewal: 0, ..attends.clone() };
    let attending: Vec<_> =
        register.attending.iter().map(|(name, attends)| (name.clone(), counts(attends))).collect();
    let counts = |duty: &Duty| Duty { renewal: 0, progress: 0, waits: false, ..duty.clone() };
    let duties: Vec<_> = register.duties.iter().map(|(name, duty)| (name.clone(), counts(duty))).collect();
    (register.documents.clone(), attending, duties, register.newest, register.index)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_same_entries_lead_to_the_same_state_and_counts_only_grow(
        all in prop::collection::vec(entries(), 1..80),
        split in 0usize..80,
        most in 1usize..600,
    ) {
        let (mut register, mut follower) = (SharedState::default(), SharedState::default());
        let mut highest: std::collections::BTreeMap<String, [u64; 2]> = Default::default();
        let mut bound: std::collections::BTreeMap<String, u64> = Default::default();
        for (at, entry) in all.iter().enumerate() {
            apply(&mut register, std::slice::from_ref(entry));
            let epochs = register.duties.iter().map(|(name, duty)| (name, 0, duty.epoch));
            let versions = register.documents.iter().map(|(name, document)| (name, 1, document.version));
            for (name, kind, count) in epochs.chain(versions) {
                let highest = &mut highest.entry(name.clone()).or_default()[kind];
                prop_assert!(count >= *highest, "{name} went back to {count} from {highest}");
                *highest = count;
            }
            for (name, document) in &register.documents {
                // A binding version stays binding until another one is decided.
                let version = document.version;
                prop_assert!(bound.get(name) != Some(&version) || register.is_binding(name, version));
                if register.is_binding(name, version) {
                    bound.insert(name.clone(), version);
                }
            }
            // A follower that receives parts of any size has the same state once it is complete.
            if at % (1 + split) == 0 {
                while follower.index < register.index {
                    let parts = register.changes_since(follower.index, most);
                    parts.iter().for_each(|part| follower.apply_change(part));
                }
                prop_assert!(follower.is_complete());
                prop_assert_eq!(told(&follower), told(&register));
            }
        }
        let mut again = SharedState::default();
        apply(&mut again, &all[..split.min(all.len())]);
        let kept = postcard::to_stdvec(&again).expect("it can be written");
        let mut again: SharedState = postcard::from_bytes(&kept).expect("it can be read");
        apply(&mut again, &all[split.min(all.len())..]);
        prop_assert_eq!(again, register);
    }

    #[test]
    fn of_proposals_for_one_version_one_wins_and_the_others_learn_by_what(
        order in Just(vec!["p", "q", "r"]).prop_shuffle(),
        before in 0usize..5,
    ) {
        let mut register = SharedState::default();
        (0..before).for_each(|version| {
            apply(&mut register, &[put("d", version as u64, "o", None)]);
        });
        let all: Vec<Entry> = order.iter().map(|by| put("d", before as u64, by, None)).collect();
        let version = before as u64 + 1;
        let lost = Outcome::Overtaken { by: By::Version { version, by: order[0].into() } };
        let won = Outcome::Done { at: version };
        prop_assert_eq!(apply(&mut register, &all), [won, lost.clone(), lost]);
        prop_assert_eq!(&register.documents["d"].body, order[0]);
    }
}

/// A state in which n0 holds duty x at epoch 1, and n1 attends.
fn held() -> SharedState {
    let mut register = SharedState::default();
    let both = Entry::Renewals(vec![renewal("n0", 1, 1), renewal("n1", 1, 1)]);
    apply(&mut register, &[both, open("x"), grant("x", 0, "n0")]);
    register
}

fn last(register: &mut SharedState, entries: &[Entry]) -> Outcome {
    apply(register, entries).pop().expect("an outcome")
}

fn expire(epoch: u64) -> Entry {
    Entry::Expire { duty: "x".into(), epoch, renewal: 0 }
}

/// A seeded fault, the guarantee that it violates, and whether it does.
type Promise = (SeededFault, &'static str, fn() -> bool);

fn promises() -> Vec<Promise> {
    vec![
        (SeededFault::GrantsHeld, "a duty that is held is not granted", || {
            !matches!(last(&mut held(), &[grant("x", 1, "n1")]), Outcome::Done { .. })
        }),
        (SeededFault::OldEpoch, "a renewal of an older epoch renews nothing", || {
            let mut register = held();
            apply(&mut register, &[expire(1), grant("x", 1, "n0")]);
            let late = Renewal { duties: vec![work("x", 1)], ..renewal("n0", 1, 2) };
            last(&mut register, &[Entry::Renewals(vec![late])]);
            register.duties["x"].renewal == 0
        }),
        (SeededFault::AnyWriter, "who held a duty once writes nothing under it", || {
            let mut register = held();
            apply(&mut register, &[expire(1), grant("x", 1, "n1")]);
            let fenced = last(&mut register, &[put("d", 0, "late", Some(("x", 1)))]);
            fenced == Outcome::Fenced { epoch: 2, holder: Some("n1".into()) }
        }),
        (SeededFault::AnyVersion, "nothing replaces a version that its proposer has not seen", || {
            let mut register = SharedState::default();
            apply(&mut register, &[put("d", 0, "one", None), put("d", 0, "two", None)]);
            register.documents["d"].body == "one"
        }),
        (SeededFault::OlderWords, "what a gateway said last counts, in whatever order it comes", || {
            let mut register = SharedState::default();
            let says = |number, word: &str| {
                let says = [("shard/0".to_string(), word.to_string())].into();
                Entry::Renewals(vec![Renewal { says, ..renewal("n0", 1, number) }])
            };
            apply(&mut register, &[says(2, "leads b"), says(1, "drained 7")]);
            register.attending["n0"].says["shard/0"] == "leads b"
        }),
        (SeededFault::Patient, "one that renews and does nothing loses its duty to another", || {
            let (mut register, mut grantor) = (held(), LeaseGrantor::new(LeaseConfig::default()));
            let mut lost = false;
            for number in 2..20 {
                let now = number * 500_000;
                let idle = Renewal { duties: vec![work("x", 1)], ..renewal("n0", 1, number) };
                let entry = Entry::Renewals(vec![idle, renewal("n1", 1, number)]);
                apply(&mut register, std::slice::from_ref(&entry));
                grantor.on_applied(now, &register, &entry);
                let leads = ElectionEvidence { is_leader: true, ..ElectionEvidence::default() };
                let due = grantor.due_proposals(now, &register, &leads);
                lost |= due.iter().any(|entry| matches!(entry, Entry::Revoke { why: Revoked::Stalled, .. }));
                apply(&mut register, &due);
            }
            lost
        }),
    ]
}

#[test]
fn each_promise_of_the_register_holds_and_its_mistake_is_found() {
    for (slip, promise, holds) in promises() {
        assert!(holds(), "{promise}");
        assert!(!seeded_faults::with_fault(Some(slip), holds), "{slip:?} was not found: {promise}");
    }
}

/// Gateways as (name, zone, health, capacity, losses of x), and suspected ones.
fn elected(
    scope: Scope,
    all: &[(&str, &str, u8, u8, u32)],
    suspects: &[&str],
) -> Result<String, NoCandidate> {
    let mut register = SharedState::default();
    let mut evidence = ElectionEvidence::default();
    for (name, zone, health, room, lost) in all {
        let (zone, health, room) = (zone.to_string(), *health, *room);
        apply(&mut register, &[Entry::Renewals(vec![Renewal { zone, health, room, ..renewal(name, 1, 1) }])]);
        evidence.recent_losses.entry("x".into()).or_default().insert(name.to_string(), *lost);
    }
    apply(&mut register, &[Entry::Open { duty: "x".into(), scope }, open("y"), grant("y", 0, "n0")]);
    evidence.suspected = suspects.iter().map(|name| name.to_string()).collect();
    elect(&register, &evidence, "x")
}

#[test]
fn who_is_fit_is_elected_in_order_of_what_matters() {
    let won = |name: &str| Ok(name.to_string());
    let fleet = || Scope::Fleet;
    let (well, ill) = (("n1", "a", 0, 9, 0), ("n1", "a", 3, 9, 0));
    // n0 holds another duty already.
    assert_eq!(elected(fleet(), &[("n0", "a", 0, 9, 0), well, ("n2", "a", 0, 9, 0)], &[]), won("n1"));
    assert_eq!(elected(Scope::Zone("b".into()), &[well, ("n2", "b", 1, 9, 0)], &[]), won("n2"));
    assert_eq!(elected(Scope::Zone("c".into()), &[well, ("n2", "b", 1, 9, 0)], &[]), won("n1"));
    assert_eq!(elected(fleet(), &[ill, ("n2", "a", 2, 9, 0)], &[]), won("n2"));
    assert_eq!(elected(fleet(), &[well, ("n2", "a", 0, 9, 0)], &["n1"]), won("n2"));
    assert_eq!(elected(fleet(), &[("n1", "a", 0, 0, 0), ("n2", "a", 0, 1, 0)], &[]), won("n2"));
    assert_eq!(elected(fleet(), &[("n1", "a", 0, 9, 1), ("n2", "a", 2, 9, 0)], &[]), won("n2"));
    assert_eq!(elected(fleet(), &[("n1", "a", 0, 9, 1)], &[]), won("n1"));
    assert_eq!(elected(fleet(), &[], &[]), Err(NoCandidate::NoneAttends));
    assert_eq!(elected(fleet(), &[ill], &[]), Err(NoCandidate::NoneHealthy { attend: 1 }));
    assert_eq!(elected(fleet(), &[well], &["n1"]), Err(NoCandidate::AllSuspected { attend: 1 }));
    assert_eq!(elected(fleet(), &[("n1", "a", 0, 0, 0)], &[]), Err(NoCandidate::NoCapacity { attend: 1 }));
    assert_eq!(
        elected(fleet(), &[("n1", "a", 0, 9, 2)], &[]),
        Err(NoCandidate::AllFlapping { duty: "x".into() })
    );
    assert_eq!(
        elect(&held(), &ElectionEvidence::default(), "x"),
        Err(NoCandidate::NotVacant { duty: "x".into() })
    );
}

#[test]
fn who_gains_and_loses_a_duty_in_turn_is_passed_over_until_flap_for_is_over() {
    let (mut register, terms) = (held(), LeaseConfig { flap_window: 20_000_000, ..LeaseConfig::default() });
    let mut grantor = LeaseGrantor::new(terms);
    let mut holders = Vec::new();
    for number in 2..80 {
        let now = number * 500_000;
        // Each holder in turn is cut off at once for the duty, and all go on attending.
        let entry = Entry::Renewals(vec![renewal("n0", 1, number), renewal("n1", 1, number)]);
        apply(&mut register, std::slice::from_ref(&entry));
        grantor.on_applied(now, &register, &entry);
        for entry in grantor.due_proposals(
            now,
            &register,
            &ElectionEvidence { is_leader: true, ..ElectionEvidence::default() },
        ) {
            apply(&mut register, std::slice::from_ref(&entry));
            grantor.on_applied(now, &register, &entry);
            if let Entry::Grant { to, .. } = entry {
                holders.push((now / 1_000_000, to));
            }
        }
    }
    // Each in turn, twice at most; then none until the first loss is 20 s old.
    let names: Vec<&str> = holders.iter().map(|(_, name)| name.as_str()).collect();
    assert_eq!(names, ["n1", "n0", "n1", "n0", "n1"], "{holders:?}");
    assert!(holders[3].0 - holders[0].0 >= 19 && holders[2].0 < 12, "{holders:?}");
}

#[test]
fn a_conductor_can_end_in_each_step_and_the_next_resumes_from_the_document() {
    // Step in which the first conductor stops, and after which of its writes.
    for ends_after in 0..4 {
        let mut register = held();
        let announce = Plan::announce(&register, 0, ["a", "b"], "new disks", "op").expect("no other");
        apply(&mut register, &[announce]);
        let leads = ElectionEvidence { is_leader: true, ..ElectionEvidence::default() };
        let mut grantor = LeaseGrantor::new(LeaseConfig::default());
        let due = grantor.due_proposals(0, &register, &leads);
        assert_eq!(due, [Entry::Open { duty: conductor_duty_of(0), scope: Scope::Shard(0) }]);
        apply(&mut register, &due);
        apply(&mut register, &[grant("conductor/0", 0, "n0")]);
        let (mut fences, mut primary, mut told, mut writes) =
            (EpochFence::default(), "a".to_string(), None, 0);
        let (mut me, mut epoch) = ("n0", 1);
        let mut steps = Vec::new();
        for number in 2..40 {
            let plan = Plan::read(&register, 0).expect("a plan").0;
            let word = match plan.step {
                Step::Announced => ShardReport::Drained { number: plan.number },
                _ => ShardReport::Leads { server: primary.clone() },
            };
            let says = |name| Renewal { says: [word.to_entry(0)].into(), ..renewal(name, 1, number) };
            apply(&mut register, &[Entry::Renewals(vec![says("n0"), says("n1")])]);
            if me == "n0" && writes == ends_after {
                let duty = &register.duties["conductor/0"];
                let (duty, renewal) = ("conductor/0".to_string(), duty.renewal);
                apply(
                    &mut register,
                    &[Entry::Expire { duty, epoch, renewal }, grant("conductor/0", 1, "n1")],
                );
                (me, epoch, told) = ("n1", 2, None);
            }
            let seen = ConductorView {
                step_timeout: 1_000,
                switch_result: told.clone(),
                ..ConductorView::default()
            };
            match next_action(&register, 0, me, epoch, &seen) {
                ConductorAction::Propose(entry) => {
                    assert!(matches!(last(&mut register, &[entry]), Outcome::Done { .. }));
                    steps.push(Plan::read(&register, 0).expect("a plan").0.step);
                    writes += 1;
                }
                ConductorAction::SendSwitch(switch) => {
                    assert_eq!(fences.check("0", switch.epoch), Ok(()));
                    primary.clone_from(&switch.to);
                    told = Some((switch.to, SwitchResult::Confirmed));
                }
                ConductorAction::Close(entry) => {
                    assert!(matches!(last(&mut register, &[entry]), Outcome::Done { .. }));
                    break;
                }
                other => panic!("{ends_after}: {other:?}"),
            }
        }
        assert_eq!(steps, [Step::Switching, Step::Switched, Step::Done], "{ends_after}");
        assert_eq!((primary.as_str(), register.duties.len()), ("b", 1));
    }
}

#[test]
fn terms_that_do_not_go_together_are_refused_with_a_remedy() {
    let good = LeaseConfig::default();
    assert_eq!(good.check(), Ok(()));
    let faults = [
        LeaseConfig { lease: 1_000_000, ..good.clone() },
        LeaseConfig { drift: 100_000, ..good.clone() },
        LeaseConfig { renew_interval: 0, ..good.clone() },
        LeaseConfig { stall_timeout: 1_999_999, ..good.clone() },
    ];
    let remedies: std::collections::BTreeSet<&str> =
        faults.iter().map(|terms| terms.check().expect_err("a fault").remedy()).collect();
    assert_eq!(remedies.len(), faults.len());
    // 2 s with clocks of 1 % drift each, and 20 ms.
    assert_eq!(good.expires_after(), 2_040_405 + 20_000);
    // That, 0.5 s standby delay and 0.5 s retry interval by a slow clock; two round trips; the command.
    let waits: u64 = (2_060_405 + 1_000_000) * 100 / 99 + 1;
    assert_eq!(good.contradiction_bound(10_000, 1_000_000), waits + 20_000 + 1_000_000);
}
