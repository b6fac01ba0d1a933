//! A node's view of configuration, servers, loads and peers.
//!
//! Liveness comes from heartbeats between nodes; addresses and all data that requires consistency
//! come from the row store.

mod cadence;
mod change_throttle;
mod cold_assignment;
mod cold_quota;
mod crash_news;
mod crash_rows;
mod delegates;
mod demand;
pub mod directory;
mod eligibility;
mod evacuated_work;
mod evacuations;
mod follow;
mod gossip;
mod health;
mod large_fleet;
mod liveness;
mod load_reports;
mod loads;
mod messages;
mod orders;
mod outcomes;
mod peer_rows;
mod peers;
mod receiving;
mod registration;
mod roster;
mod server_digest;
mod server_loads;
mod servers;
mod servers_sink;
mod shared_slowdown;
mod slowdown;
mod store_clock;
mod stream_news;
mod unlisted;
mod version_rows;
mod versions;
mod view;
mod waiting;
mod warmup;
mod warmup_loads;
mod zone_delegates;
mod zone_digest;
mod zone_distances;
mod zone_suspicion;

pub use cadence::{DueMessages, due_messages, rounds_until_due};
pub use change_throttle::ChangeThrottle;
pub use cold_quota::{ColdQuota, ColdQuotaUsage, assignment_rank};
pub use crash_rows::{CRASHES_TABLE, store_counts, sync_refused_requests};
pub use delegates::{Candidate, cross_region_receivers, delegates, is_strong};
pub use demand::{DemandTable, WaitGuard, Work};
pub use eligibility::Exclusion;
pub use evacuated_work::ReportedZoneWork;
pub use evacuations::{Evacuation, EvacuationChange, Evacuations, ZoneRow};
pub use follow::{Contact, TableSink, follow};
pub use gossip::{Gossip, GossipSettings, GossipTables};
pub use health::StoreHealth;
pub use loads::{InFlight, LoadTable, WorkKind, node_number};
pub use messages::{
    Heartbeat, LivenessRecord, LivenessRecords, LoadChange, LoadEntry, NodeRow, ZoneWork,
};
pub use orders::ConfigurationSink;
pub use outcomes::{Ejection, OutcomeCounts, Outcomes};
pub use peer_rows::node_key;
pub use peers::{MAX_FULL_MESH_NODES, NODES_TABLE, PeerStatus, PeerTable, RelayPeer, Worker};
pub use registration::Registration;
pub use roster::Roster;
pub use server_loads::LoadSummary;
pub use servers::{ServerSelector, ServerSet};
pub use servers_sink::ServersSink;
pub use slowdown::{Slowdown, SlowdownEstimate};
pub use store_clock::StoreClock;
pub use version_rows::{VERSIONS_TABLE, sync_versions};
pub use versions::OriginStatus;
pub use view::View;
pub use waiting::{Allowance, WaitingItems};
pub use warmup::{WarmupReport, WarmupSource, WarmupState, WarmupTracker};
pub use zone_digest::{MAX_SERVERS_PER_MESSAGE, ZoneDigest};
pub use zone_distances::{DistanceWeights, ZoneDistances};
pub use zone_suspicion::{ServerObservation, SuspicionChange, ZoneSuspicion};
