//! Settings of a node.

use serde::{Deserialize, Serialize};

use crate::batch::BatchSettings;
use crate::fleet::FleetSettings;
use crate::online::OnlineSettings;
use crate::operate::OperateSettings;
use crate::platform::PlatformSettings;

/// Location of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Location {
    pub zone: String,
    pub region: String,
}

impl Default for Location {
    fn default() -> Self {
        Self {
            zone: "zone-1".to_owned(),
            region: "region-1".to_owned(),
        }
    }
}

/// Limits and timeouts of links between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkBounds {
    /// Connect timeout, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Ping interval, in milliseconds.
    pub ping_interval_ms: u64,
    /// Time without received data after which a link is closed, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Maximum frame size, in bytes.
    pub maximum_frame_bytes: usize,
    /// Maximum bytes queued for sending on a link. The link is closed if a slow peer exceeds it.
    pub maximum_queued_bytes: usize,
    /// Maximum unread bytes of a stream. The stream is closed if a slow reader exceeds it.
    pub maximum_stream_bytes: usize,
    /// Maximum accepted links.
    pub maximum_links: usize,
    /// Maximum streams per accepted link.
    pub maximum_streams: usize,
}

impl Default for LinkBounds {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 500,
            ping_interval_ms: 250,
            idle_timeout_ms: 1_000,
            maximum_frame_bytes: 4_194_304,
            maximum_queued_bytes: 16_777_216,
            maximum_stream_bytes: 8_388_608,
            maximum_links: 4_000,
            maximum_streams: 20_000,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeSettings {
    /// Node id, unique in the fleet.
    pub id: String,
    pub place: Location,
    /// TCP listen address for links from sidecars and nodes; port 0 selects a free port.
    pub link_listen: String,
    /// UDP listen address for gossip.
    pub gossip_listen: String,
    /// HTTP listen address for metrics, health checks and the operator API.
    pub admin_listen: String,
    /// Worker threads of the request path.
    pub workers: usize,
    /// Memory of the machine for this process, in megabytes. A sixth of it is for messages of callers.
    pub memory_mb: usize,
    /// Descriptors that the process may open. Half of those that are not for files are for callers.
    pub maximum_descriptors: usize,
    /// Timeout of a graceful shutdown, in milliseconds.
    pub stop_bound_ms: u64,
    pub link: LinkBounds,
    pub platform: PlatformSettings,
    pub fleet: FleetSettings,
    pub online: OnlineSettings,
    pub batch: BatchSettings,
    pub operate: OperateSettings,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            id: "node-1".to_owned(),
            place: Location::default(),
            link_listen: "127.0.0.1:7700".to_owned(),
            gossip_listen: "127.0.0.1:7701".to_owned(),
            admin_listen: "127.0.0.1:7702".to_owned(),
            workers: 2,
            memory_mb: 1_024,
            maximum_descriptors: 10_000,
            stop_bound_ms: 30_000,
            link: LinkBounds::default(),
            platform: PlatformSettings::default(),
            fleet: FleetSettings::default(),
            online: OnlineSettings::default(),
            batch: BatchSettings::default(),
            operate: OperateSettings::default(),
        }
    }
}
