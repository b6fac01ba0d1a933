//! What a node knows of configuration, servers, loads and peers.
//!
//! Liveness comes from heartbeats between nodes; addresses and everything that must be right come
//! from the row store.

mod cadence;
mod cold_loads;
mod cold_parts;
mod crash_news;
mod crash_rows;
mod delegates;
pub mod directory;
mod eligibility;
mod evacuated_work;
mod evacuations;
mod follow;
mod gossip;
mod health;
mod large_fleet;
mod life_signs;
mod load_sources;
mod loads;
mod messages;
mod orders;
mod outcomes;
mod pace;
mod peer_rows;
mod peers;
mod receiving;
mod server_loads;
mod servers;
mod standing;
mod store_clock;
mod strangers;
mod temperature;
mod view;
mod waiting;
mod ways;
mod zone_delegates;
mod zone_digest;
mod zone_suspicion;

pub use cadence::{Duties, duties};
pub use cold_parts::{ColdParts, ColdShare, standing};
pub use crash_rows::{CRASHES_TABLE, keep_refused};
pub use delegates::{Candidate, delegates, is_strong, told_by};
pub use eligibility::Exclusion;
pub use evacuated_work::ToldZones;
pub use evacuations::{Evacuation, EvacuationChange, Evacuations, ZoneRow};
pub use follow::{Contact, TableSink, follow};
pub use gossip::{Gossip, GossipSettings, GossipTables};
pub use health::StoreHealth;
pub use loads::{InFlight, LoadTable, WorkKind, node_number};
pub use messages::{Heartbeat, LifeSign, LifeSigns, LoadChange, LoadEntry, NodeRow, ZoneWork};
pub use orders::ConfigurationSink;
pub use outcomes::{Ejection, OutcomeCounts, Outcomes};
pub use pace::ChangePace;
pub use peers::{ALL_HEARD, NODES_TABLE, PeerStatus, PeerTable, RelayPeer, Worker};
pub use server_loads::LoadSummary;
pub use servers::{ServerSet, Standpoint};
pub use store_clock::StoreClock;
pub use temperature::{Checked, Teller, Temperature, Thermal};
pub use view::{ServersSink, View};
pub use waiting::{Allowance, WaitingItems};
pub use ways::{WayWeights, Ways};
pub use zone_digest::{SERVERS_TOLD, ZoneDigest};
pub use zone_suspicion::{ServerSign, SuspicionChange, ZoneSuspicion};
