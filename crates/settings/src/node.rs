//! Settings of a node.

use serde::{Deserialize, Serialize};

use crate::batch::BatchSettings;
use crate::fleet::FleetSettings;
use crate::online::OnlineSettings;
use crate::operate::OperateSettings;
use crate::platform::PlatformSettings;

/// Where a process runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Place {
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
}

impl Default for Place {
    fn default() -> Self {
        Self {
            zone: "zone-1".to_owned(),
            region: "region-1".to_owned(),
        }
    }
}

/// Bounds and timers of links between processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkBounds {
    /// Longest time to connect, milliseconds.
    pub connect_timeout_ms: u64,
    /// Time between pings, milliseconds.
    pub ping_interval_ms: u64,
    /// Silence after which a link is lost, milliseconds.
    pub idle_timeout_ms: u64,
    /// Largest frame, bytes.
    pub maximum_frame_bytes: usize,
    /// Most bytes that wait to be sent on one link; a peer that reads more slowly loses it.
    pub maximum_queued_bytes: usize,
    /// Most bytes that wait to be read on one stream; a stream read more slowly is ended.
    pub maximum_stream_bytes: usize,
    /// Most links accepted at once.
    pub maximum_links: usize,
    /// Most streams on one accepted link.
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

/// Settings of a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodeSettings {
    /// Node id, unique in the fleet.
    pub id: String,
    /// Where it runs.
    pub place: Place,
    /// TCP address of links from sidecars and nodes; port 0 takes a free one.
    pub link_listen: String,
    /// UDP address of gossip.
    pub gossip_listen: String,
    /// HTTP address of metrics, health and the operators' interface.
    pub admin_listen: String,
    /// Worker threads of the request path.
    pub workers: usize,
    /// Longest time that a planned stop may take, milliseconds.
    pub stop_bound_ms: u64,
    /// Bounds of links.
    pub link: LinkBounds,
    /// Platform.
    pub platform: PlatformSettings,
    /// Membership, ownership, configuration.
    pub fleet: FleetSettings,
    /// Online path.
    pub online: OnlineSettings,
    /// Batch path.
    pub batch: BatchSettings,
    /// Controllers and plans.
    pub operate: OperateSettings,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            id: "node-1".to_owned(),
            place: Place::default(),
            link_listen: "127.0.0.1:7700".to_owned(),
            gossip_listen: "127.0.0.1:7701".to_owned(),
            admin_listen: "127.0.0.1:7702".to_owned(),
            workers: 2,
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
