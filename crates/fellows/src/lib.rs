//! Gossip among gateways: which of them are alive, in which zone and region, and what each has observed of the
//! servers, with its age. A state machine without I/O, clock or threads: the host owns the socket, calls
//! [`GossipNode::receive`], [`GossipNode::run_due`] and [`GossipNode::observe`], and sends
//! [`GossipNode::take_datagrams`].
//!
//! Evidence of others ranks below a gateway's own answers. [`opinion`] counts it by observer and zone; none of it
//! makes a server count as fresh or receive a command against a rule.

pub mod evidence;
mod gossip_node;
pub mod health;
mod identity;
pub mod membership;
pub mod opinion;
pub mod seal;
pub mod seeded_faults;

pub use gossip_node::{GossipConfig, GossipNode};
pub use identity::GatewayIdentity;
