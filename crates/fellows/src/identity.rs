//! Who a gateway is to the others.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One gateway in one of its lives. Zone and region are part of it: one that moves begins another life.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fellow {
    /// The same after a restart; no two that run at once may share it.
    pub name: String,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    pub zone: u8,
    pub region: u8,
    /// Grows with each start; of two lives under one name the larger is the present one.
    pub life: u64,
    /// Drawn at the start: tells two that were given one name apart, and which of them yields.
    pub tag: u16,
}

impl foca::Identity for Fellow {
    type Addr = String;

    fn renew(&self) -> Option<Self> {
        Some(Fellow { life: self.life + 1, ..self.clone() })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        (self.life, self.tag) > (adversary.life, adversary.tag)
    }
}
