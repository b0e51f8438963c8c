//! Fencing where effects are executed: epochs older than the newest one seen are rejected.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::seeded_faults::{self, SeededFault};

/// Highest epoch seen of each duty. Must be persisted before the effect that raised it is executed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EpochFence {
    highest: BTreeMap<String, u64>,
}

/// An effect of an earlier epoch.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an effect of {duty} at epoch {epoch} comes after one at epoch {highest}")]
pub struct StaleEpoch {
    pub duty: String,
    pub epoch: u64,
    pub highest: u64,
}

impl StaleEpoch {
    /// What an operator can do about it.
    pub fn remedy(&self) -> &'static str {
        "nothing: another holder has taken over, and the late effect was not carried out"
    }
}

impl EpochFence {
    /// Checks an effect before it is executed. The same epoch may occur repeatedly.
    ///
    /// # Errors
    ///
    /// A later epoch was seen: the effect must not be executed.
    pub fn check(&mut self, duty: &str, epoch: u64) -> Result<(), StaleEpoch> {
        let highest = self.highest.get(duty).copied().unwrap_or(0);
        if epoch < highest && !seeded_faults::is_active(SeededFault::NoFence) {
            return Err(StaleEpoch { duty: duty.into(), epoch, highest });
        }
        if epoch > highest {
            self.highest.insert(duty.into(), epoch);
        }
        Ok(())
    }

    /// Highest epoch seen of a duty; 0 if none.
    pub fn highest(&self, duty: &str) -> u64 {
        self.highest.get(duty).copied().unwrap_or(0)
    }
}
