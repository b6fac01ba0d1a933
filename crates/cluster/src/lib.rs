//! What a node knows of configuration, servers, loads and peers.
//!
//! Liveness comes from heartbeats between nodes; addresses and everything that must be right come
//! from the row store.

pub mod directory;
mod follow;
mod gossip;
mod loads;
mod messages;
mod peers;
mod servers;
mod view;

pub use follow::{TableSink, follow};
pub use gossip::{Gossip, GossipSettings};
pub use loads::{InFlight, LoadSummary, LoadTable, WorkKind, node_number};
pub use messages::NodeRow;
pub use peers::{NODES_TABLE, PeerStatus, PeerTable};
pub use servers::{ServerSet, Standpoint};
pub use view::{ConfigurationSink, ServersSink, View};
