//! Identity of a gateway.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One incarnation of a gateway. Zone and region are part of it: moving starts another incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GatewayIdentity {
    /// Stays the same across restarts; unique among running gateways.
    pub name: String,
    /// Address for datagrams.
    pub address: SocketAddr,
    pub zone: u8,
    pub region: u8,
    /// Increases with each start; the largest one of a name is current.
    pub life: u64,
    /// Drawn at random at the start: distinguishes two gateways with one name, and decides which one yields.
    pub tag: u16,
}

impl foca::Identity for GatewayIdentity {
    type Addr = String;

    fn renew(&self) -> Option<Self> {
        Some(GatewayIdentity { life: self.life + 1, ..self.clone() })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        (self.life, self.tag) > (adversary.life, adversary.tag)
    }
}
