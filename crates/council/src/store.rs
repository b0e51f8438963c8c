//! What a seat keeps on disk: by the crate redb, one transaction for each write, so that a crash at any moment leaves
//! either all of it or nothing. Each record carries a checksum, and the file the version of its format.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::fault::Fault;

/// Version of the file's format.
pub const FORMAT: u32 = 1;
/// Name of the file in its folder.
pub const FILE: &str = "council.redb";
/// Most memory that redb may use to read and write, in bytes: the log is read once.
const CACHE: usize = 4 << 20;
const SUM: usize = 8;

const FIXED: TableDefinition<&str, &[u8]> = TableDefinition::new("fixed");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

/// What a seat has promised.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hard {
    pub term: u64,
    /// Disk that it votes for in this term; 0: none.
    pub vote: u64,
    pub commit: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub index: u64,
    pub term: u64,
    /// It changes who sits, as `context` says.
    pub seating: bool,
    pub data: Vec<u8>,
    pub context: Vec<u8>,
}

/// The agreed state at one index, in one piece.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Whole {
    pub index: u64,
    pub term: u64,
    /// Disks that vote, and those that only receive the log so far.
    pub voters: Vec<u64>,
    pub learners: Vec<u64>,
    /// Names of all that sit, by disk.
    pub roll: BTreeMap<u64, String>,
    /// Disks that were replaced or removed; they never sit again.
    pub retired: BTreeSet<u64>,
    /// The machine and its sessions; empty: as at the beginning.
    pub body: Vec<u8>,
}

/// All that a disk holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Kept {
    /// The council that it belongs to; 0: none yet.
    pub council: u64,
    pub hard: Hard,
    pub whole: Whole,
    /// The last entry that was dropped, and its term.
    pub dropped: (u64, u64),
    pub log: Vec<Record>,
}

/// What is to be changed on disk, all of it or nothing.
#[derive(Clone, Debug, Default)]
pub struct Writes {
    pub council: Option<u64>,
    pub hard: Option<Hard>,
    pub whole: Option<Whole>,
    /// Entries up to this one, of this term, are dropped.
    pub dropped: Option<(u64, u64)>,
    /// Entries from this index on give way to `entries`.
    pub from: Option<u64>,
    pub entries: Vec<Record>,
}

/// Where a seat keeps what it must not forget.
pub trait Disk: Send {
    /// Who this disk is: drawn when it was made, never 0, and never the same on two disks.
    fn id(&self) -> u64;

    /// Reads all.
    ///
    /// # Errors
    /// It holds what cannot be read.
    fn load(&mut self) -> Result<Kept, Fault>;

    /// Writes all of it or nothing; what was written is safe when this returns.
    ///
    /// # Errors
    /// It took no write.
    fn write(&mut self, writes: &Writes) -> Result<(), Fault>;

    /// Sets aside what it holds, and begins empty, as another disk.
    ///
    /// # Errors
    /// It took no write.
    fn renew(&mut self) -> Result<(), Fault>;
}

impl Kept {
    /// Does to it what a disk does.
    pub fn take(&mut self, writes: &Writes) {
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

    /// The disk of one that founds a council alone.
    pub fn founder(disk: u64, council: u64, name: &str) -> Kept {
        let whole = Whole {
            index: 1,
            term: 1,
            voters: vec![disk],
            roll: BTreeMap::from([(disk, name.into())]),
            ..Whole::default()
        };
        let hard = Hard { term: 1, vote: 0, commit: 1 };
        Kept { council, hard, whole, dropped: (1, 1), log: Vec::new() }
    }

    fn writes(&self) -> Writes {
        Writes {
            council: Some(self.council),
            hard: Some(self.hard),
            whole: Some(self.whole.clone()),
            dropped: Some(self.dropped),
            from: Some(0),
            entries: self.log.clone(),
        }
    }

    /// Entries follow each other, and the state reaches them.
    fn check(&self) -> Result<(), Fault> {
        let follows = self.log.iter().zip(self.dropped.0 + 1..).all(|(record, index)| record.index == index);
        let last = self.dropped.0 + self.log.len() as u64;
        if !follows || self.dropped.0 > self.whole.index || self.whole.index > last || self.hard.commit > last
        {
            return Err(Fault::Damaged("its log has gaps".into()));
        }
        Ok(())
    }
}

/// A disk in memory.
#[derive(Clone, Debug)]
pub struct Memory {
    pub id: u64,
    pub kept: Kept,
}

impl Memory {
    /// An empty one; `id` is not 0.
    pub fn new(id: u64) -> Memory {
        Memory { id, kept: Kept::default() }
    }

    pub fn founder(id: u64, council: u64, name: &str) -> Memory {
        Memory { id, kept: Kept::founder(id, council, name) }
    }
}

impl Disk for Memory {
    fn id(&self) -> u64 {
        self.id
    }

    fn load(&mut self) -> Result<Kept, Fault> {
        Ok(self.kept.clone())
    }

    fn write(&mut self, writes: &Writes) -> Result<(), Fault> {
        self.kept.take(writes);
        Ok(())
    }

    fn renew(&mut self) -> Result<(), Fault> {
        *self = Memory::new(draw()?);
        Ok(())
    }
}

/// A number that nobody else draws.
fn draw() -> Result<u64, Fault> {
    let drawn = getrandom::u64().map_err(|cause| Fault::Write(cause.to_string()))?;
    Ok(drawn.max(1))
}

/// A disk in a file of redb.
pub struct File {
    folder: PathBuf,
    base: Option<Database>,
    id: u64,
}

fn sealed<T: Serialize>(value: &T) -> Result<Vec<u8>, Fault> {
    let mut bytes = postcard::to_stdvec(value).map_err(|cause| Fault::Write(cause.to_string()))?;
    let sum = blake3::hash(&bytes);
    bytes.extend_from_slice(&sum.as_bytes()[..SUM]);
    Ok(bytes)
}

fn unsealed<T: DeserializeOwned>(what: &str, bytes: &[u8]) -> Result<T, Fault> {
    let damaged = || Fault::Damaged(format!("{what} does not match its checksum"));
    let (bytes, sum) = bytes.split_at_checked(bytes.len().wrapping_sub(SUM)).ok_or_else(damaged)?;
    if blake3::hash(bytes).as_bytes()[..SUM] != *sum {
        return Err(damaged());
    }
    postcard::from_bytes(bytes).map_err(|cause| Fault::Damaged(format!("{what}: {cause}")))
}

fn unwritten(cause: impl std::fmt::Display) -> Fault {
    Fault::Write(cause.to_string())
}

fn damaged(cause: impl std::fmt::Display) -> Fault {
    Fault::Damaged(cause.to_string())
}

impl File {
    fn create(folder: &Path, kept: impl FnOnce(u64, u64) -> Kept) -> Result<File, Fault> {
        let path = folder.join(FILE);
        let closed =
            |cause: &dyn std::fmt::Display| Fault::Closed { path: path.clone(), cause: cause.to_string() };
        std::fs::create_dir_all(folder).map_err(|cause| closed(&cause))?;
        // It gets its name only when it is whole: a crash in between leaves nothing that could be taken for damaged.
        let unfinished = folder.join(format!("{FILE}.new"));
        if unfinished.exists() {
            std::fs::remove_file(&unfinished).map_err(|cause| closed(&cause))?;
        }
        let base =
            redb::Builder::new().set_cache_size(CACHE).create(&unfinished).map_err(|cause| closed(&cause))?;
        let mut file = File { folder: folder.into(), base: Some(base), id: draw()? };
        file.put(&kept(file.id, draw()?).writes(), true)?;
        file.base = None;
        std::fs::rename(&unfinished, &path).map_err(|cause| closed(&cause))?;
        // The name must outlive a crash too: whoever has a seat never forgets that it had one.
        std::fs::File::open(folder).and_then(|dir| dir.sync_all()).map_err(|cause| closed(&cause))?;
        File::open(folder)
    }

    fn open(folder: &Path) -> Result<File, Fault> {
        let path = folder.join(FILE);
        // Without the check redb panics where bytes of a file that was closed cleanly have changed.
        let base = redb::Builder::new()
            .set_cache_size(CACHE)
            .set_check_integrity_on_open(true)
            .open(&path)
            .map_err(|cause| match cause {
            redb::DatabaseError::Storage(redb::StorageError::Corrupted(cause)) => Fault::Damaged(cause),
            redb::DatabaseError::Storage(redb::StorageError::Io(cause))
                if cause.kind() == std::io::ErrorKind::InvalidData
                    || cause.kind() == std::io::ErrorKind::UnexpectedEof =>
            {
                Fault::Damaged(cause.to_string())
            }
            redb::DatabaseError::UpgradeRequired(format) => {
                Fault::Damaged(format!("a file of redb's format {format}"))
            }
            cause => Fault::Closed { path: path.clone(), cause: cause.to_string() },
        })?;
        let mut file = File { folder: folder.into(), base: Some(base), id: 0 };
        let format = u32::from_le_bytes(
            file.fixed_bytes("format")?
                .try_into()
                .map_err(|_| Fault::Damaged("the version of its format is missing".into()))?,
        );
        if format != FORMAT {
            return Err(Fault::Newer { found: format, known: FORMAT });
        }
        file.id = unsealed("disk", &file.fixed_bytes("disk")?)?;
        file.load()?;
        Ok(file)
    }

    fn base(&self) -> Result<&Database, Fault> {
        self.base.as_ref().ok_or_else(|| Fault::Write("the file is closed".into()))
    }

    fn fixed_bytes(&self, name: &str) -> Result<Vec<u8>, Fault> {
        let read = self.base()?.begin_read().map_err(damaged)?;
        let fixed = read.open_table(FIXED).map_err(damaged)?;
        let found = fixed.get(name).map_err(damaged)?;
        found.map(|bytes| bytes.value().to_vec()).ok_or_else(|| damaged(format_args!("{name} is missing")))
    }

    fn fixed<T: DeserializeOwned>(&self, name: &str) -> Result<T, Fault> {
        unsealed(name, &self.fixed_bytes(name)?)
    }

    fn put(&self, writes: &Writes, first: bool) -> Result<(), Fault> {
        let write = self.base()?.begin_write().map_err(unwritten)?;
        {
            let mut fixed = write.open_table(FIXED).map_err(unwritten)?;
            let mut set = |name: &str, bytes: Vec<u8>| {
                fixed.insert(name, bytes.as_slice()).map(|_| ()).map_err(unwritten)
            };
            if first {
                set("format", FORMAT.to_le_bytes().to_vec())?;
                set("disk", sealed(&self.id)?)?;
            }
            if let Some(council) = &writes.council {
                set("council", sealed(council)?)?;
            }
            if let Some(hard) = &writes.hard {
                set("hard", sealed(hard)?)?;
            }
            if let Some(whole) = &writes.whole {
                set("whole", sealed(whole)?)?;
            }
            if let Some(dropped) = &writes.dropped {
                set("dropped", sealed(dropped)?)?;
            }
            let mut log = write.open_table(LOG).map_err(unwritten)?;
            if let Some(from) = writes.from {
                log.retain_in(from.., |_, _| false).map_err(unwritten)?;
            }
            for record in &writes.entries {
                log.insert(record.index, sealed(record)?.as_slice()).map_err(unwritten)?;
            }
            if let Some((upto, _)) = writes.dropped {
                log.retain_in(..=upto, |_, _| false).map_err(unwritten)?;
            }
        }
        write.commit().map_err(unwritten)
    }

    /// Gives the file another name, which tells why.
    fn set_aside(folder: &Path, why: &str) -> Result<PathBuf, Fault> {
        let path = folder.join(FILE);
        let aside = (1u32..)
            .map(|count| folder.join(format!("{FILE}.{why}-{count}")))
            .find(|aside| !aside.exists())
            .unwrap_or_else(|| folder.join(format!("{FILE}.{why}")));
        std::fs::rename(&path, &aside).map_err(|cause| Fault::Closed { path, cause: cause.to_string() })?;
        Ok(aside)
    }
}

impl Disk for File {
    fn id(&self) -> u64 {
        self.id
    }

    fn load(&mut self) -> Result<Kept, Fault> {
        let (council, hard) = (self.fixed("council")?, self.fixed("hard")?);
        let (whole, dropped) = (self.fixed("whole")?, self.fixed("dropped")?);
        let read = self.base()?.begin_read().map_err(damaged)?;
        let log = read.open_table(LOG).map_err(damaged)?;
        let log = log.iter().map_err(damaged)?.map(|found| {
            let (index, bytes) = found.map_err(damaged)?;
            unsealed(&format!("entry {}", index.value()), bytes.value())
        });
        let kept = Kept { council, hard, whole, dropped, log: log.collect::<Result<_, Fault>>()? };
        kept.check()?;
        Ok(kept)
    }

    fn write(&mut self, writes: &Writes) -> Result<(), Fault> {
        self.put(writes, false)
    }

    fn renew(&mut self) -> Result<(), Fault> {
        self.base = None;
        File::set_aside(&self.folder, "replaced")?;
        *self = File::create(&self.folder.clone(), |_, _| Kept::default())?;
        Ok(())
    }
}

/// Makes a disk in `folder` that founds a council of one, `name`.
///
/// # Errors
/// The folder cannot be written, or there is a disk already.
pub fn found(folder: &Path, name: &str) -> Result<(), Fault> {
    let path = folder.join(FILE);
    if path.exists() {
        return Err(Fault::Founded { path });
    }
    File::create(folder, |disk, council| Kept::founder(disk, council, name)).map(drop)
}

/// Makes the disk in `folder`, whose council has lost the majority of its disks for good, that of another council,
/// which `name` founds alone with all that this disk holds. What only the lost ones held is lost; of several disks
/// that are left the one that is decided furthest is to be taken, and the others are set aside.
///
/// # Errors
/// There is no disk that has sat, or it cannot be read or written.
pub fn refound(folder: &Path, name: &str) -> Result<(), Fault> {
    let mut file = File::open(folder)?;
    let mut kept = file.load()?;
    if kept.council == 0 {
        return Err(Fault::Stranger { path: folder.join(FILE) });
    }
    kept.council = draw()?;
    (kept.whole.voters, kept.whole.learners) = (vec![file.id], Vec::new());
    kept.whole.roll = BTreeMap::from([(file.id, name.into())]);
    for record in kept.log.iter_mut().filter(|record| record.seating) {
        // Nobody else is seated by what the log says of the other council.
        *record = Record { seating: false, data: Vec::new(), context: Vec::new(), ..record.clone() };
    }
    file.write(&kept.writes())
}

/// A file that was set aside: where it is now, and why.
pub type Aside = (PathBuf, Fault);

/// Opens the disk in `folder`, or makes an empty one: a stranger's. One that is damaged, or of another format than this
/// program's, is set aside under another name, which is given back with the reason.
///
/// # Errors
/// The folder cannot be written, or another process has the file open.
pub fn open(folder: &Path) -> Result<(File, Option<Aside>), Fault> {
    if !folder.join(FILE).exists() {
        return Ok((File::create(folder, |_, _| Kept::default())?, None));
    }
    let (fault, why) = match File::open(folder) {
        Ok(file) => return Ok((file, None)),
        Err(fault @ Fault::Damaged(_)) => (fault, "damaged"),
        Err(fault @ Fault::Newer { .. }) => (fault, "newer"),
        Err(fault) => return Err(fault),
    };
    let aside = File::set_aside(folder, why)?;
    Ok((File::create(folder, |_, _| Kept::default())?, Some((aside, fault))))
}
