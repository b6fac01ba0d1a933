//! Checks that the affected regions can apply a change. Each region writes a freshness row while it
//! follows the configuration.

use std::collections::BTreeMap;

use dappleyard_store::TableStore;
use dappleyard_wire::keys::REGION_PREFIX;
use dappleyard_wire::messages::RegionRow;
use dappleyard_wire::{ErrorKind, Failure};

use crate::intent::{DrainKind, Intent};
use crate::snapshot::{decode, store_failure};
use crate::status::FleetStatus;

const MAX_REGIONS: usize = 100;

/// Regions affected by an intent. Changes to services, tenants and windows affect every region.
pub fn affected_regions(intent: &Intent, status: &FleetStatus) -> Vec<String> {
    let mut regions: Vec<String> = match intent {
        Intent::Drain(target) | Intent::Undrain(target) if target.kind == DrainKind::Node => status
            .nodes
            .iter()
            .filter(|node| node.node == target.name)
            .map(|node| node.region.clone())
            .collect(),
        Intent::Drain(target) | Intent::Undrain(target) => {
            crate::plans::changes::drained_servers(target, status)
                .map(|server| server.region.clone())
                .collect()
        }
        Intent::BatchJob(_) => Vec::new(),
        _ => status
            .nodes
            .iter()
            .filter(|node| node.member != "left")
            .map(|node| node.region.clone())
            .collect(),
    };
    regions.sort();
    regions.dedup();
    regions
}

/// Rejects a change that affects a region whose freshness row is too old or missing.
pub async fn check_fresh(
    tables: &dyn TableStore,
    regions: &[String],
    now_unix_ms: u64,
    fresh_ms: u64,
) -> Result<(), Failure> {
    let rows = tables
        .range(REGION_PREFIX, "", MAX_REGIONS)
        .await
        .map_err(|error| store_failure(&error))?;
    let mut ages = BTreeMap::new();
    for row in rows {
        let region: RegionRow = decode(&row.key, &row.value)?;
        let age_ms = now_unix_ms.saturating_sub(region.refreshed_unix_ms);
        ages.insert(region.region, age_ms);
    }
    // A missing row is accepted until the first region has written one.
    let any_region_reported = !ages.is_empty();
    for region in regions {
        match ages.get(region) {
            Some(age_ms) if *age_ms <= fresh_ms => {}
            Some(age_ms) => {
                let seconds = *age_ms as f64 / 1000.0;
                return Err(unreachable(region, &format!("for {seconds:.0} s")));
            }
            None if any_region_reported => return Err(unreachable(region, "yet")),
            None => {}
        }
    }
    Ok(())
}

fn unreachable(region: &str, since: &str) -> Failure {
    Failure::not_run(
        ErrorKind::RegionUnreachable,
        format!(
            "region {region} has not confirmed configuration {since}, so the change cannot be in force there; \
             wait until it is back, or plan a change that does not touch it"
        ),
    )
}
