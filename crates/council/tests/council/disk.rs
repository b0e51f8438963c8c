//! Tests of the store file: written data is read back, and an unreadable file is moved aside and reported.

use std::path::Path;

use tansyjunction_council::store::{
    self, FILE_NAME, LogRecord, MemoryDisk, StateSnapshot, StoredHardState, WriteBatch,
};
use tansyjunction_council::{ConsensusConfig, ConsensusError, ConsensusMember, Disk, MemberEvent};

use crate::net::*;

fn record(index: u64, term: u64) -> LogRecord {
    LogRecord { index, term, seating: false, data: vec![index as u8; 100], context: Vec::new() }
}

fn names(folder: &Path) -> Vec<String> {
    let read = std::fs::read_dir(folder).expect("a folder");
    let mut names: Vec<String> =
        read.map(|entry| entry.expect("an entry").file_name().to_string_lossy().into_owned()).collect();
    names.sort();
    names
}

/// The disk of a new cluster's first member, with entries 2 to 9.
fn written(folder: &Path) -> u64 {
    store::create_cluster(folder, "n0").expect("founded");
    let (mut file, aside) = store::open(folder).expect("opened");
    assert_eq!(aside, None);
    let entries = (2..10).map(|index| record(index, 1)).collect();
    file.write(&WriteBatch { from: Some(2), entries, ..WriteBatch::default() }).expect("written");
    file.id()
}

#[test]
fn what_was_written_comes_back() {
    let folder = tempfile::tempdir().expect("a folder");
    let id = written(folder.path());
    let (mut file, _) = store::open(folder.path()).expect("opened");
    assert_eq!((file.id(), names(folder.path())), (id, vec![FILE_NAME.to_string()]));
    let kept = file.load().expect("loaded");
    assert_eq!(kept.whole.roll.get(&id).map(String::as_str), Some("n0"));
    assert_eq!((kept.log.len(), kept.dropped, kept.whole.voters), (8, (1, 1), vec![id]));
    assert_ne!(kept.council, 0);

    let whole = StateSnapshot { index: 6, term: 2, body: vec![7; 1_000], ..StateSnapshot::default() };
    let writes = WriteBatch {
        hard: Some(StoredHardState { term: 3, vote: id, commit: 6 }),
        whole: Some(whole.clone()),
        dropped: Some((4, 1)),
        from: Some(6),
        entries: vec![record(6, 2), record(7, 2)],
        council: None,
    };
    file.write(&writes).expect("written");
    drop(file);
    let kept = store::open(folder.path()).expect("opened").0.load().expect("loaded");
    assert_eq!((kept.whole, kept.dropped), (whole, (4, 1)));
    assert_eq!(kept.log, vec![record(5, 1), record(6, 2), record(7, 2)]);
    assert_eq!(kept.hard, StoredHardState { term: 3, vote: id, commit: 6 });
    assert!(matches!(store::create_cluster(folder.path(), "n0"), Err(ConsensusError::AlreadyExists { .. })));
}

#[test]
fn a_file_that_another_one_has_open_is_left_alone() {
    let folder = tempfile::tempdir().expect("a folder");
    written(folder.path());
    let open = store::open(folder.path()).expect("opened");
    assert!(matches!(store::open(folder.path()), Err(ConsensusError::CannotOpen { .. })));
    assert_eq!(names(folder.path()), [FILE_NAME]);
    drop(open);
}

/// For any content of the file, opening it returns everything written, or moves it aside and starts empty.
/// stranger.
#[test]
fn a_damaged_file_is_set_aside() {
    let folder = tempfile::tempdir().expect("a folder");
    let id = written(folder.path());
    let path = folder.path().join(FILE_NAME);
    let whole = std::fs::read(&path).expect("read");
    let mut rng = fastrand::Rng::with_seed(5);
    let (mut aside_count, mut kept_count) = (0, 0);
    for turn in 0..60 {
        let mut bytes = whole.clone();
        match turn {
            0 => bytes.clear(),
            1 => bytes.truncate(100),
            2 => bytes.truncate(whole.len() / 2),
            3 => bytes.fill(0x5a),
            4 => bytes.fill(0),
            _ => {
                let at = rng.usize(0..bytes.len() - 64);
                bytes[at..at + 64].iter_mut().for_each(|byte| *byte = rng.u8(..));
            }
        }
        std::fs::write(&path, &bytes).expect("written");
        let (mut file, aside) = store::open(folder.path()).expect("opened");
        let kept = file.load().expect("loaded");
        match aside {
            None => {
                assert_eq!((file.id(), kept.log.len()), (id, 8), "turn {turn}");
                kept_count += 1;
            }
            Some((aside, fault)) => {
                assert!(matches!(fault, ConsensusError::Damaged(_)), "{fault}");
                assert!(aside.exists() && kept.council == 0 && kept.log.is_empty() && file.id() != id);
                std::fs::remove_file(aside).expect("removed");
                aside_count += 1;
            }
        }
    }
    assert!(aside_count > 5 && kept_count > 0, "{aside_count} set aside, {kept_count} kept");
}

#[test]
fn a_newer_format_is_set_aside() {
    let folder = tempfile::tempdir().expect("a folder");
    written(folder.path());
    let base = redb::Database::open(folder.path().join(FILE_NAME)).expect("opened");
    let write = base.begin_write().expect("begun");
    let table = redb::TableDefinition::<&str, &[u8]>::new("fixed");
    let newer = (store::FORMAT_VERSION + 1).to_le_bytes();
    write.open_table(table).expect("a table").insert("format", newer.as_slice()).expect("put");
    write.commit().expect("committed");
    drop(base);
    let (mut file, aside) = store::open(folder.path()).expect("opened");
    let (aside, fault) = aside.expect("set aside");
    assert_eq!(
        fault,
        ConsensusError::UnknownFormat { found: store::FORMAT_VERSION + 1, known: store::FORMAT_VERSION }
    );
    assert!(aside.ends_with(format!("{FILE_NAME}.newer-1")), "{aside:?}");
    assert_eq!(file.load().expect("loaded").council, 0);
}

#[test]
fn a_council_of_one_goes_on_from_its_file() {
    let folder = tempfile::tempdir().expect("a folder");
    store::create_cluster(folder.path(), "n0").expect("founded");
    let (mut values, mut now) = (Vec::new(), 1_000 * SECOND);
    for life in 0..3 {
        let file = store::open(folder.path()).expect("opened").0;
        let terms = ConsensusConfig { compact_after: 8, ..terms(1) };
        let mut council: ConsensusMember<Book> =
            ConsensusMember::seat(now, "n0", terms, Box::new(file), life).expect("a seat");
        for value in 0..10 {
            let ticket = council.propose(now, Value(100 * life + value, Vec::new()));
            while !council
                .take_decided()
                .iter()
                .any(|(decided, outcome)| *decided == ticket && outcome.is_ok())
            {
                now = now.max(council.next_due());
                council.process(now).expect("settled");
            }
            values.push(100 * life + value);
        }
        assert!(council.status().log.1 - council.status().log.0 < 12, "{:?}", council.status());
        let taken: Vec<u64> = council.state().taken.iter().map(|(_, value)| *value).collect();
        assert_eq!(taken, values);
    }
    assert!(matches!(
        ConsensusMember::<Book>::seat(
            now,
            "n1",
            terms(3),
            Box::new(store::open(folder.path()).expect("opened").0),
            1
        ),
        Err(ConsensusError::Settings(_))
    ));
}

/// A killed process leaves the file as it is at that moment, with everything written.
#[test]
fn a_killed_process_leaves_all_that_was_written() {
    let (folder, copy) = (tempfile::tempdir().expect("a folder"), tempfile::tempdir().expect("a folder"));
    store::create_cluster(folder.path(), "n0").expect("founded");
    let mut file = store::open(folder.path()).expect("opened").0;
    let mut rng = fastrand::Rng::with_seed(11);
    let mut expected = file.load().expect("loaded");
    for term in 2..60 {
        let last = expected.dropped.0 + expected.log.len() as u64;
        let from = rng.u64(last.saturating_sub(3).max(expected.dropped.0 + 1)..=last + 1);
        let mut writes = WriteBatch {
            hard: Some(StoredHardState { term, vote: rng.u64(..), commit: from - 1 }),
            from: Some(from),
            entries: (from..from + rng.u64(1..9)).map(|index| record(index, term)).collect(),
            ..WriteBatch::default()
        };
        if term % 7 == 0 {
            writes.dropped = Some((from - 1, term - 1));
            let body = vec![3; rng.usize(0..50_000)];
            writes.whole =
                Some(StateSnapshot { index: from - 1, term: term - 1, body, ..expected.whole.clone() });
        }
        file.write(&writes).expect("written");
        expected.apply(&writes);
        std::fs::copy(folder.path().join(FILE_NAME), copy.path().join(FILE_NAME)).expect("copied");
        let (mut left, aside) = store::open(copy.path()).expect("opened");
        assert_eq!((aside, left.id()), (None, file.id()), "term {term}");
        assert_eq!(left.load().expect("loaded"), expected, "term {term}");
    }
}

/// A file that cannot be read must not be ignored silently.
#[test]
fn an_entry_of_a_newer_program_stops_the_seat() {
    let mut memory = MemoryDisk::founder(5, 6, "n0");
    let unknown = LogRecord { data: vec![0xff; 30], ..record(2, 1) };
    memory.kept.log.push(unknown);
    memory.kept.hard.commit = 2;
    let fault = ConsensusMember::<Book>::seat(0, "n0", terms(1), Box::new(memory), 1).err();
    assert!(matches!(fault, Some(ConsensusError::Entry { index: 2, .. })), "{fault:?}");
    assert!(fault.is_some_and(|fault| fault.remedy().contains("update this one")));
}

/// Two clusters created by mistake do not mix, and report each other.
#[test]
fn two_councils_keep_apart() {
    let mut net = Net::new(3, terms(3), 3, 0);
    net.gathered(3);
    net.kill(1, u64::MAX);
    net.plate(1, |plate| plate.memory = MemoryDisk::founder(77, 78, "n1"));
    net.start(1);
    net.run_for(10 * SECOND);
    assert_eq!(net.council(1).status().seats.into_keys().collect::<Vec<_>>(), ["n1"]);
    let news = net.nodes[1].council.as_mut().expect("it is up").take_events();
    let council = net.council(0).status().council;
    assert!(
        news.iter().any(
            |news| matches!(news, MemberEvent::ForeignCluster { council: other, .. } if *other == council)
        )
    );
}

/// Two of three disks are lost: a new cluster is created from the third with all its data, and others join it.
/// join.
#[test]
fn a_council_is_founded_again_from_one_disk() {
    let folder = tempfile::tempdir().expect("a folder");
    store::create_cluster(folder.path(), "n0").expect("founded");
    let terms = ConsensusConfig { compact_after: 8, proposal_timeout: SECOND, ..terms(3) };
    let mut net = Net::new(3, terms.clone(), 3, 1);
    net.gathered(3);
    let values: Vec<u64> = (0..21).map(|turn| net.propose(turn % 4, 10)).collect();
    net.run_for(2 * SECOND);
    assert!(values.iter().all(|value| net.judge.acknowledged.contains_key(value)));
    let copy = net.copy(0);

    // The same with a file.
    let mut file = store::open(folder.path()).expect("opened").0;
    let (id, kept) = (file.id(), &copy.kept);
    let whole = StateSnapshot { voters: vec![id, 8, 9], ..kept.whole.clone() };
    file.write(&WriteBatch {
        council: Some(kept.council),
        hard: Some(StoredHardState { vote: 0, ..kept.hard }),
        whole: Some(whole),
        dropped: Some(kept.dropped),
        from: Some(0),
        entries: kept.log.clone(),
    })
    .expect("written");
    drop(file);
    store::recover_cluster(folder.path(), "n0").expect("founded again");
    let mut file = store::open(folder.path()).expect("opened").0;
    let kept = file.load().expect("loaded");
    assert!(kept.council != copy.kept.council && kept.whole.voters == [id]);
    for number in 0..3 {
        net.kill(number, net.now + 1);
        let memory = MemoryDisk::new(90 + number as u64);
        net.plate(number, |plate| plate.memory = memory);
    }
    net.plate(0, |plate| plate.memory = MemoryDisk { id, kept });
    net.run_for(20 * SECOND);
    net.gathered(3);
    net.heal();
    assert_eq!(net.judge.broken, []);
    let taken: Vec<u64> = net.council(3).state().taken.iter().map(|(_, value)| *value).collect();
    assert!(values.iter().all(|value| taken.contains(value)), "{taken:?}");

    let empty = tempfile::tempdir().expect("a folder");
    drop(store::open(empty.path()).expect("opened"));
    assert!(matches!(store::recover_cluster(empty.path(), "n0"), Err(ConsensusError::NeverMember { .. })));
}
