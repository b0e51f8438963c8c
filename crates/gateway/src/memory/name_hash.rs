//! Hashes that stand for names. Clients choose names as long as a message, which would fill the memory.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Hash of a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NameHash(u64);

impl NameHash {
    /// The hash of `name`.
    pub fn of(name: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        NameHash(hasher.finish())
    }
}
