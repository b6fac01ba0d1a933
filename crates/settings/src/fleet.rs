//! Settings of membership, ownership and configuration distribution.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSettings {
    /// Gossip addresses (host:port) to contact at startup, in addition to the machine list.
    pub seeds: Vec<String>,
    /// Interval between probes, in milliseconds.
    pub probe_interval_ms: u64,
    /// Timeout of a direct probe, in milliseconds.
    pub probe_timeout_ms: u64,
    /// Members asked to probe a member that did not respond.
    pub indirect_probes: usize,
    /// Time until a suspected member is declared dead unless it refutes, in milliseconds.
    pub suspicion_ms: u64,
    /// Interval between load reports within the cell, in milliseconds.
    pub load_interval_ms: u64,
    /// Interval between load aggregates to other cells, in milliseconds.
    pub aggregate_interval_ms: u64,
    /// Poll interval of the machine list, in milliseconds.
    pub machine_list_interval_ms: u64,
    /// Nodes per zone that poll the change feed.
    pub watchers_per_zone: usize,
    /// Poll interval of the change feed, in milliseconds.
    pub watch_interval_ms: u64,
    /// Interval between digests to a random member, in milliseconds.
    pub digest_interval_ms: u64,
    /// Maximum time without a response from a member or the store before the node withdraws, in
    /// milliseconds.
    pub vouch_ms: u64,
    /// Maximum nodes per cell.
    pub cell_size: usize,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            probe_interval_ms: 1_000,
            probe_timeout_ms: 300,
            indirect_probes: 3,
            suspicion_ms: 3_000,
            load_interval_ms: 500,
            aggregate_interval_ms: 2_000,
            machine_list_interval_ms: 2_000,
            watchers_per_zone: 2,
            watch_interval_ms: 1_000,
            digest_interval_ms: 2_000,
            vouch_ms: 8_000,
            cell_size: 16,
        }
    }
}
