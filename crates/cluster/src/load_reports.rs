//! Load reports: those sent by this node and those received from others.

use std::collections::HashMap;

use dappleyard_clock::Instant;

use crate::loads::LoadTable;
use crate::messages::LoadEntry;
use crate::server_loads::{Source, has_content};

impl LoadTable {
    /// This node's loads, for its heartbeat.
    pub(crate) fn own_entries(&self) -> Vec<LoadEntry> {
        let now = Instant::now();
        let servers = self.servers.lock();
        let entries = servers
            .iter()
            .map(|(number, loads)| loads.own_entry(*number, now));
        entries.filter(has_content).collect()
    }

    /// Loads of this node that changed since the last call.
    pub(crate) fn take_changes(&self) -> Vec<LoadEntry> {
        let now = Instant::now();
        let mut servers = self.servers.lock();
        let changed = servers.iter_mut().filter(|(_, loads)| loads.unsent);
        changed
            .map(|(number, loads)| {
                loads.unsent = false;
                LoadEntry {
                    // Heartbeats carry this; omitted here to save bytes.
                    heard_ms: 0,
                    ..loads.own_entry(*number, now)
                }
            })
            .collect()
    }

    /// Merges a report of changed loads from another node.
    pub(crate) fn change_source(&self, source: Source, entries: Vec<LoadEntry>) {
        let now = Instant::now();
        let mut servers = self.servers.lock();
        for entry in entries {
            let loads = servers.entry(entry.server).or_default();
            loads.slowdowns.merge(source, &entry, now);
            let (_, held) = loads
                .peers
                .entry(source)
                .or_insert((now, LoadEntry::default()));
            *held = LoadEntry {
                heard_ms: held.heard_ms,
                ..entry
            };
            self.apply_reports(loads, now);
        }
    }

    /// Replaces the loads of a source. A fleet-wide sum replaces all other sources, and any other
    /// source replaces the fleet-wide sum.
    pub(crate) fn set_source(&self, source: Source, entries: Vec<LoadEntry>) {
        let now = Instant::now();
        let mut servers = self.servers.lock();
        for loads in servers.values_mut() {
            match source {
                Source::Fleet => loads.peers.clear(),
                _ => {
                    loads.peers.remove(&source);
                    loads.peers.remove(&Source::Fleet);
                }
            }
        }
        for entry in entries {
            let loads = servers.entry(entry.server).or_default();
            loads.slowdowns.merge(source, &entry, now);
            loads.peers.insert(source, (now, entry));
            self.apply_reports(loads, now);
        }
    }

    /// Merges the loads of a source at some servers; its loads at other servers stay.
    pub(crate) fn merge_source(&self, source: Source, entries: Vec<LoadEntry>) {
        let now = Instant::now();
        let mut servers = self.servers.lock();
        for entry in entries {
            let loads = servers.entry(entry.server).or_default();
            loads.slowdowns.merge(source, &entry, now);
            loads.peers.insert(source, (now, entry));
            self.apply_reports(loads, now);
        }
    }

    /// Sums of the loads of this node's zone, per server.
    pub(crate) fn zone_sums(&self) -> Vec<LoadEntry> {
        let now = Instant::now();
        let servers = self.servers.lock();
        let sums = servers.iter().map(|(number, loads)| {
            loads.sum(*number, now, |source| matches!(source, Source::Node(_)))
        });
        sums.filter(has_content).collect()
    }

    /// For each of `nodes`, the loads of all other nodes at the servers it uses; an empty list
    /// stands for all servers. Totals are computed once and recomputed only for nodes with loads at
    /// a server.
    pub(crate) fn sums_without(&self, nodes: &[(u64, &[u32])]) -> Vec<Vec<LoadEntry>> {
        let now = Instant::now();
        let servers = self.servers.lock();
        let totals: HashMap<u32, LoadEntry> = servers
            .iter()
            .map(|(number, loads)| loads.sum(*number, now, |source| *source != Source::Fleet))
            .map(|total| (total.server, total))
            .filter(|(_, total)| has_content(total))
            .collect();
        let sum_for = |node: u64, total: &LoadEntry| -> LoadEntry {
            let own = Source::Node(node);
            match servers.get(&total.server) {
                Some(loads) if loads.peers.contains_key(&own) => {
                    loads.sum(total.server, now, |source| {
                        *source != own && *source != Source::Fleet
                    })
                }
                _ => total.clone(),
            }
        };
        let sums_for = |(node, used): &(u64, &[u32])| -> Vec<LoadEntry> {
            let sums: Vec<LoadEntry> = match used.is_empty() {
                true => totals.values().map(|total| sum_for(*node, total)).collect(),
                false => used
                    .iter()
                    .filter_map(|server| totals.get(server))
                    .map(|total| sum_for(*node, total))
                    .collect(),
            };
            sums.into_iter().filter(has_content).collect()
        };
        nodes.iter().map(sums_for).collect()
    }
}
