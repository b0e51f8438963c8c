//! Persistent state of a member in a redb database. Each write is one transaction, so that a crash leaves all of it or
//! nothing. Each record has a checksum, and the file a format version.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::ConsensusError;

/// Version of the file format.
pub const FORMAT_VERSION: u32 = 1;
/// File name in the store's folder.
pub const FILE_NAME: &str = "council.redb";
/// Cache size of redb in bytes; small, since the log is read only once.
const CACHE_BYTES: usize = 4 << 20;
/// Bytes of the checksum after each record.
const CHECKSUM_BYTES: usize = 8;

const VALUES_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("fixed");
const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

/// Raft's hard state: what a member has promised.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHardState {
    pub term: u64,
    /// The disk it voted for in this term; 0 if none.
    pub vote: u64,
    pub commit: u64,
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    pub index: u64,
    pub term: u64,
    /// Whether it changes the membership, as described in `context`.
    pub seating: bool,
    pub data: Vec<u8>,
    pub context: Vec<u8>,
}

/// Snapshot of the replicated state at an index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateSnapshot {
    pub index: u64,
    pub term: u64,
    /// Disks that vote, and disks that only receive the log so far.
    pub voters: Vec<u64>,
    pub learners: Vec<u64>,
    /// Names of all members, by disk.
    pub roll: BTreeMap<u64, String>,
    /// Disks that were replaced or removed; they never become members again.
    pub retired: BTreeSet<u64>,
    /// The state machine and its sessions; empty for the initial state.
    pub body: Vec<u8>,
}

/// Everything that a disk holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredState {
    /// Id of the cluster that it belongs to; 0: none yet.
    pub council: u64,
    pub hard: StoredHardState,
    pub whole: StateSnapshot,
    /// The last entry that was dropped, and its term.
    pub dropped: (u64, u64),
    pub log: Vec<LogRecord>,
}

/// Changes to a disk, written atomically.
#[derive(Clone, Debug, Default)]
pub struct WriteBatch {
    pub council: Option<u64>,
    pub hard: Option<StoredHardState>,
    pub whole: Option<StateSnapshot>,
    /// Index and term up to which entries are removed.
    pub dropped: Option<(u64, u64)>,
    /// Entries from this index on are replaced by `entries`.
    pub from: Option<u64>,
    pub entries: Vec<LogRecord>,
}

/// Persistent storage of a member.
pub trait Disk: Send {
    /// Id of this disk: drawn at random when it was created, never 0, and unique.
    fn id(&self) -> u64;

    /// Reads the stored state.
    ///
    /// # Errors
    /// The content is invalid.
    fn load(&mut self) -> Result<StoredState, ConsensusError>;

    /// Writes all changes or none; they are durable when this returns.
    ///
    /// # Errors
    /// The write failed.
    fn write(&mut self, writes: &WriteBatch) -> Result<(), ConsensusError>;

    /// Moves the content aside and starts empty, as another disk.
    ///
    /// # Errors
    /// The write failed.
    fn replace(&mut self) -> Result<(), ConsensusError>;
}

impl StoredState {
    /// Applies changes in the same way as a disk.
    pub fn apply(&mut self, writes: &WriteBatch) {
        self.council = writes.council.unwrap_or(self.council);
        self.hard = writes.hard.unwrap_or(self.hard);
        if let Some(whole) = &writes.whole {
            self.whole = whole.clone();
        }
        if let Some(from) = writes.from {
            self.log.retain(|record| record.index < from);
        }
        self.log.extend(writes.entries.iter().cloned());
        if let Some(dropped) = writes.dropped {
            self.dropped = dropped;
            self.log.retain(|record| record.index > dropped.0);
        }
    }

    /// Initial state of the first member of a new cluster.
    pub fn founder(disk: u64, council: u64, name: &str) -> StoredState {
        let whole = StateSnapshot {
            index: 1,
            term: 1,
            voters: vec![disk],
            roll: BTreeMap::from([(disk, name.into())]),
            ..StateSnapshot::default()
        };
        let hard = StoredHardState { term: 1, vote: 0, commit: 1 };
        StoredState { council, hard, whole, dropped: (1, 1), log: Vec::new() }
    }

    fn writes(&self) -> WriteBatch {
        WriteBatch {
            council: Some(self.council),
            hard: Some(self.hard),
            whole: Some(self.whole.clone()),
            dropped: Some(self.dropped),
            from: Some(0),
            entries: self.log.clone(),
        }
    }

    /// Checks that entries are contiguous and connect to the snapshot.
    fn check(&self) -> Result<(), ConsensusError> {
        let follows = self.log.iter().zip(self.dropped.0 + 1..).all(|(record, index)| record.index == index);
        let last = self.dropped.0 + self.log.len() as u64;
        if !follows || self.dropped.0 > self.whole.index || self.whole.index > last || self.hard.commit > last
        {
            return Err(ConsensusError::Damaged("its log has gaps".into()));
        }
        Ok(())
    }
}

/// An in-memory disk.
#[derive(Clone, Debug)]
pub struct MemoryDisk {
    pub id: u64,
    pub kept: StoredState,
}

impl MemoryDisk {
    /// Creates an empty disk; `id` must not be 0.
    pub fn new(id: u64) -> MemoryDisk {
        MemoryDisk { id, kept: StoredState::default() }
    }

    /// Creates the disk of the first member of a new cluster.
    pub fn founder(id: u64, council: u64, name: &str) -> MemoryDisk {
        MemoryDisk { id, kept: StoredState::founder(id, council, name) }
    }
}

impl Disk for MemoryDisk {
    fn id(&self) -> u64 {
        self.id
    }

    fn load(&mut self) -> Result<StoredState, ConsensusError> {
        Ok(self.kept.clone())
    }

    fn write(&mut self, writes: &WriteBatch) -> Result<(), ConsensusError> {
        self.kept.apply(writes);
        Ok(())
    }

    fn replace(&mut self) -> Result<(), ConsensusError> {
        *self = MemoryDisk::new(draw_id()?);
        Ok(())
    }
}

/// Draws a unique id.
fn draw_id() -> Result<u64, ConsensusError> {
    let drawn = getrandom::u64().map_err(|cause| ConsensusError::Write(cause.to_string()))?;
    Ok(drawn.max(1))
}

/// A disk in a redb file.
pub struct FileDisk {
    folder: PathBuf,
    database: Option<Database>,
    id: u64,
}

fn encode_checked<T: Serialize>(value: &T) -> Result<Vec<u8>, ConsensusError> {
    let mut bytes = postcard::to_stdvec(value).map_err(|cause| ConsensusError::Write(cause.to_string()))?;
    let sum = blake3::hash(&bytes);
    bytes.extend_from_slice(&sum.as_bytes()[..CHECKSUM_BYTES]);
    Ok(bytes)
}

fn decode_checked<T: DeserializeOwned>(what: &str, bytes: &[u8]) -> Result<T, ConsensusError> {
    let damaged = || ConsensusError::Damaged(format!("{what} does not match its checksum"));
    let (bytes, sum) =
        bytes.split_at_checked(bytes.len().wrapping_sub(CHECKSUM_BYTES)).ok_or_else(damaged)?;
    if blake3::hash(bytes).as_bytes()[..CHECKSUM_BYTES] != *sum {
        return Err(damaged());
    }
    postcard::from_bytes(bytes).map_err(|cause| ConsensusError::Damaged(format!("{what}: {cause}")))
}

fn write_error(cause: impl std::fmt::Display) -> ConsensusError {
    ConsensusError::Write(cause.to_string())
}

fn damaged_error(cause: impl std::fmt::Display) -> ConsensusError {
    ConsensusError::Damaged(cause.to_string())
}

impl FileDisk {
    fn create(folder: &Path, kept: impl FnOnce(u64, u64) -> StoredState) -> Result<FileDisk, ConsensusError> {
        let path = folder.join(FILE_NAME);
        let closed = |cause: &dyn std::fmt::Display| ConsensusError::CannotOpen {
            path: path.clone(),
            cause: cause.to_string(),
        };
        std::fs::create_dir_all(folder).map_err(|cause| closed(&cause))?;
        // The file is renamed only once it is complete: a crash before leaves nothing that looks damaged.
        let unfinished = folder.join(format!("{FILE_NAME}.new"));
        if unfinished.exists() {
            std::fs::remove_file(&unfinished).map_err(|cause| closed(&cause))?;
        }
        let base = redb::Builder::new()
            .set_cache_size(CACHE_BYTES)
            .create(&unfinished)
            .map_err(|cause| closed(&cause))?;
        let mut file = FileDisk { folder: folder.into(), database: Some(base), id: draw_id()? };
        file.write_batch(&kept(file.id, draw_id()?).writes(), true)?;
        file.database = None;
        std::fs::rename(&unfinished, &path).map_err(|cause| closed(&cause))?;
        // The rename must be durable too: a member never forgets that it was one.
        std::fs::File::open(folder).and_then(|dir| dir.sync_all()).map_err(|cause| closed(&cause))?;
        FileDisk::open(folder)
    }

    fn open(folder: &Path) -> Result<FileDisk, ConsensusError> {
        let path = folder.join(FILE_NAME);
        // Without this check redb panics if bytes of a cleanly closed file have changed.
        let base = redb::Builder::new()
            .set_cache_size(CACHE_BYTES)
            .set_check_integrity_on_open(true)
            .open(&path)
            .map_err(|cause| match cause {
                redb::DatabaseError::Storage(redb::StorageError::Corrupted(cause)) => {
                    ConsensusError::Damaged(cause)
                }
                redb::DatabaseError::Storage(redb::StorageError::Io(cause))
                    if cause.kind() == std::io::ErrorKind::InvalidData
                        || cause.kind() == std::io::ErrorKind::UnexpectedEof =>
                {
                    ConsensusError::Damaged(cause.to_string())
                }
                redb::DatabaseError::UpgradeRequired(format) => {
                    ConsensusError::Damaged(format!("a file of redb's format {format}"))
                }
                cause => ConsensusError::CannotOpen { path: path.clone(), cause: cause.to_string() },
            })?;
        let mut file = FileDisk { folder: folder.into(), database: Some(base), id: 0 };
        let format = u32::from_le_bytes(
            file.read_value_bytes("format")?
                .try_into()
                .map_err(|_| ConsensusError::Damaged("the version of its format is missing".into()))?,
        );
        if format != FORMAT_VERSION {
            return Err(ConsensusError::UnknownFormat { found: format, known: FORMAT_VERSION });
        }
        file.id = decode_checked("disk", &file.read_value_bytes("disk")?)?;
        file.load()?;
        Ok(file)
    }

    fn database(&self) -> Result<&Database, ConsensusError> {
        self.database.as_ref().ok_or_else(|| ConsensusError::Write("the file is closed".into()))
    }

    fn read_value_bytes(&self, name: &str) -> Result<Vec<u8>, ConsensusError> {
        let read = self.database()?.begin_read().map_err(damaged_error)?;
        let fixed = read.open_table(VALUES_TABLE).map_err(damaged_error)?;
        let found = fixed.get(name).map_err(damaged_error)?;
        found
            .map(|bytes| bytes.value().to_vec())
            .ok_or_else(|| damaged_error(format_args!("{name} is missing")))
    }

    fn read_value<T: DeserializeOwned>(&self, name: &str) -> Result<T, ConsensusError> {
        decode_checked(name, &self.read_value_bytes(name)?)
    }

    fn write_batch(&self, writes: &WriteBatch, first: bool) -> Result<(), ConsensusError> {
        let write = self.database()?.begin_write().map_err(write_error)?;
        {
            let mut fixed = write.open_table(VALUES_TABLE).map_err(write_error)?;
            let mut set = |name: &str, bytes: Vec<u8>| {
                fixed.insert(name, bytes.as_slice()).map(|_| ()).map_err(write_error)
            };
            if first {
                set("format", FORMAT_VERSION.to_le_bytes().to_vec())?;
                set("disk", encode_checked(&self.id)?)?;
            }
            if let Some(council) = &writes.council {
                set("council", encode_checked(council)?)?;
            }
            if let Some(hard) = &writes.hard {
                set("hard", encode_checked(hard)?)?;
            }
            if let Some(whole) = &writes.whole {
                set("whole", encode_checked(whole)?)?;
            }
            if let Some(dropped) = &writes.dropped {
                set("dropped", encode_checked(dropped)?)?;
            }
            let mut log = write.open_table(LOG_TABLE).map_err(write_error)?;
            if let Some(from) = writes.from {
                log.retain_in(from.., |_, _| false).map_err(write_error)?;
            }
            for record in &writes.entries {
                log.insert(record.index, encode_checked(record)?.as_slice()).map_err(write_error)?;
            }
            if let Some((upto, _)) = writes.dropped {
                log.retain_in(..=upto, |_, _| false).map_err(write_error)?;
            }
        }
        write.commit().map_err(write_error)
    }

    /// Renames the file; the new name contains the reason.
    fn move_aside(folder: &Path, why: &str) -> Result<PathBuf, ConsensusError> {
        let path = folder.join(FILE_NAME);
        let aside = (1u32..)
            .map(|count| folder.join(format!("{FILE_NAME}.{why}-{count}")))
            .find(|aside| !aside.exists())
            .unwrap_or_else(|| folder.join(format!("{FILE_NAME}.{why}")));
        std::fs::rename(&path, &aside)
            .map_err(|cause| ConsensusError::CannotOpen { path, cause: cause.to_string() })?;
        Ok(aside)
    }
}

impl Disk for FileDisk {
    fn id(&self) -> u64 {
        self.id
    }

    fn load(&mut self) -> Result<StoredState, ConsensusError> {
        let (council, hard) = (self.read_value("council")?, self.read_value("hard")?);
        let (whole, dropped) = (self.read_value("whole")?, self.read_value("dropped")?);
        let read = self.database()?.begin_read().map_err(damaged_error)?;
        let log = read.open_table(LOG_TABLE).map_err(damaged_error)?;
        let log = log.iter().map_err(damaged_error)?.map(|found| {
            let (index, bytes) = found.map_err(damaged_error)?;
            decode_checked(&format!("entry {}", index.value()), bytes.value())
        });
        let kept =
            StoredState { council, hard, whole, dropped, log: log.collect::<Result<_, ConsensusError>>()? };
        kept.check()?;
        Ok(kept)
    }

    fn write(&mut self, writes: &WriteBatch) -> Result<(), ConsensusError> {
        self.write_batch(writes, false)
    }

    fn replace(&mut self) -> Result<(), ConsensusError> {
        self.database = None;
        FileDisk::move_aside(&self.folder, "replaced")?;
        *self = FileDisk::create(&self.folder.clone(), |_, _| StoredState::default())?;
        Ok(())
    }
}

/// Creates the disk of the first member, `name`, of a new cluster.
///
/// # Errors
/// The folder cannot be written, or already has a disk.
pub fn create_cluster(folder: &Path, name: &str) -> Result<(), ConsensusError> {
    let path = folder.join(FILE_NAME);
    if path.exists() {
        return Err(ConsensusError::AlreadyExists { path });
    }
    FileDisk::create(folder, |disk, council| StoredState::founder(disk, council, name)).map(drop)
}

/// Recovers a cluster that has lost the majority of its disks for good: turns the disk in `folder` into that of a new
/// cluster with `name` as its only member and all that this disk holds. Data held only by the lost disks is lost. Of
/// several remaining disks, choose the one with the highest commit index and move the others aside.
///
/// # Errors
/// There is no disk that was a member, or it cannot be read or written.
pub fn recover_cluster(folder: &Path, name: &str) -> Result<(), ConsensusError> {
    let mut file = FileDisk::open(folder)?;
    let mut kept = file.load()?;
    if kept.council == 0 {
        return Err(ConsensusError::NeverMember { path: folder.join(FILE_NAME) });
    }
    kept.council = draw_id()?;
    (kept.whole.voters, kept.whole.learners) = (vec![file.id], Vec::new());
    kept.whole.roll = BTreeMap::from([(file.id, name.into())]);
    for record in kept.log.iter_mut().filter(|record| record.seating) {
        // Membership changes of the old cluster in the log have no effect.
        *record = LogRecord { seating: false, data: Vec::new(), context: Vec::new(), ..record.clone() };
    }
    file.write(&kept.writes())
}

/// A file that was moved aside: its new path and the reason.
pub type MovedAside = (PathBuf, ConsensusError);

/// Opens the disk in `folder`, or creates an empty one, which is not a member. A damaged file, or one of another format
/// version, is moved aside and returned with the reason.
/// # Errors
/// The folder cannot be written, or another process has the file open.
pub fn open(folder: &Path) -> Result<(FileDisk, Option<MovedAside>), ConsensusError> {
    if !folder.join(FILE_NAME).exists() {
        return Ok((FileDisk::create(folder, |_, _| StoredState::default())?, None));
    }
    let (fault, why) = match FileDisk::open(folder) {
        Ok(file) => return Ok((file, None)),
        Err(fault @ ConsensusError::Damaged(_)) => (fault, "damaged"),
        Err(fault @ ConsensusError::UnknownFormat { .. }) => (fault, "newer"),
        Err(fault) => return Err(fault),
    };
    let aside = FileDisk::move_aside(folder, why)?;
    Ok((FileDisk::create(folder, |_, _| StoredState::default())?, Some((aside, fault))))
}
