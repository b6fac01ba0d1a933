//! Settings of membership, ownership and configuration spread.

use serde::{Deserialize, Serialize};

/// Settings of membership, ownership and configuration spread.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSettings {
    /// Gossip addresses (host:port) tried at start, besides the machine list.
    pub seeds: Vec<String>,
    /// Time between two probes of a member, milliseconds.
    pub probe_interval_ms: u64,
    /// Wait for a direct acknowledgement, milliseconds.
    pub probe_timeout_ms: u64,
    /// Members asked to probe one that did not answer.
    pub indirect_probes: usize,
    /// Time from suspicion to death without a refutation, milliseconds.
    pub suspicion_ms: u64,
    /// Time between load reports to the members of the cell, milliseconds.
    pub load_interval_ms: u64,
    /// Time between load aggregates to other cells, milliseconds.
    pub aggregate_interval_ms: u64,
    /// Time between readings of the machine list, milliseconds.
    pub machine_list_interval_ms: u64,
    /// Nodes of each zone that poll the change feed.
    pub watchers_per_zone: usize,
    /// Time between polls of the change feed by a watcher, milliseconds.
    pub watch_interval_ms: u64,
    /// Time between digests to a random member, milliseconds.
    pub digest_interval_ms: u64,
    /// Longest time without hearing from a member or the store before the node withdraws, milliseconds.
    pub vouch_ms: u64,
    /// Most nodes of one cell.
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
