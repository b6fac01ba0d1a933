//! Computes how many servers change owner when a node leaves, and how balanced ownership is.

use std::collections::BTreeMap;

use dappleyard_decide::ownership::{Cells, OwnerNode, owners_of_zone, server_key};

use super::Options;

/// Upper bound on the nodes tried as the leaving one.
const MAX_TRIALS: usize = 40;

/// Balance and movement of ownership.
#[derive(Debug, Clone, Copy, Default)]
pub struct Movement {
    /// Servers moved when one node leaves, as a multiple of the servers it owned: mean.
    pub mean_moved: f64,
    /// Same ratio: worst case.
    pub worst_moved: f64,
    /// Servers of the most loaded node, as a multiple of the mean.
    pub imbalance: f64,
}

/// Computes balance and movement for the fleet of `options`.
pub fn movement(options: &Options, cell_size: usize) -> Movement {
    let zone = |index: usize| format!("zone-{}", index % options.zones);
    let region = |index: usize| format!("region-{}", index % options.zones % options.regions);
    let mut nodes: Vec<OwnerNode> = (0..options.nodes)
        .map(|index| OwnerNode {
            node: format!("node-{index:03}"),
            zone: zone(index),
            region: region(index),
            eligible: true,
        })
        .collect();
    let zones: Vec<Vec<u64>> = (0..options.zones)
        .map(|zone| {
            let indexes = (zone..options.servers).step_by(options.zones);
            let mut keys: Vec<u64> = indexes
                .map(|index| server_key(&format!("server-{index:05}")))
                .collect();
            keys.sort_unstable();
            keys
        })
        .collect();
    let assign = |nodes: &[OwnerNode]| -> Vec<Option<String>> {
        let cells = Cells::of(nodes, cell_size);
        let mut assigned = Vec::with_capacity(options.servers);
        for (index, keys) in zones.iter().enumerate() {
            let owners = owners_of_zone(&cells.candidates(&region(index), &zone(index)), keys);
            assigned.extend(owners.into_iter().map(|owner| owner.map(str::to_owned)));
        }
        assigned
    };
    let before = assign(&nodes);
    let mut owned: BTreeMap<&str, usize> = BTreeMap::new();
    for owner in before.iter().flatten() {
        *owned.entry(owner).or_default() += 1;
    }
    let mean = options.servers as f64 / options.nodes as f64;
    let most = owned.values().max().copied().unwrap_or_default();
    let mut ratios = Vec::new();
    for index in 0..options.nodes.min(MAX_TRIALS) {
        nodes[index].eligible = false;
        let after = assign(&nodes);
        let moved = before
            .iter()
            .zip(&after)
            .filter(|(old, new)| old != new)
            .count();
        let own = owned
            .get(nodes[index].node.as_str())
            .copied()
            .unwrap_or_default();
        ratios.push(moved as f64 / own.max(1) as f64);
        nodes[index].eligible = true;
    }
    Movement {
        mean_moved: ratios.iter().sum::<f64>() / ratios.len().max(1) as f64,
        worst_moved: ratios.iter().copied().fold(0.0, f64::max),
        imbalance: most as f64 / mean,
    }
}
