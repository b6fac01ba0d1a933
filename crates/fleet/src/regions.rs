//! Region heartbeats: one node of each region refreshes a row in the store, so that configuration
//! changes can be refused while a region is cut off.

use std::collections::BTreeSet;

use dappleyard_store::{Platform, StoreError, Transaction};
use dappleyard_tables::NodeTables;
use dappleyard_wire::keys;
use dappleyard_wire::messages::{MemberState, RegionRow};
use prost::Message;

/// Interval between writes of a region's row, milliseconds.
pub const REFRESH_MS: u64 = 3_000;
/// Age of a region's row above which the region counts as cut off, milliseconds.
pub const STALE_MS: u64 = 10_000;
const MAXIMUM_REGIONS: usize = 64;

/// A region without a recent heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StaleRegion {
    pub region: String,
    /// Time since its row was refreshed, milliseconds; `None` when it has no row.
    pub age_ms: Option<u64>,
}

/// Regions that are cut off from the store, among those with a row in the store or a member in this
/// node's tables that has not left. A configuration change must be refused while there is one.
pub async fn read_stale_regions(
    tables: &NodeTables,
    platform: &Platform,
) -> Result<Vec<StaleRegion>, StoreError> {
    let rows = platform
        .tables
        .range(keys::REGION_PREFIX, "", MAXIMUM_REGIONS)
        .await?;
    let rows: Vec<RegionRow> = rows
        .iter()
        .filter_map(|row| RegionRow::decode(row.value.as_ref()).ok())
        .collect();
    Ok(stale_regions(
        &rows,
        &known_regions(tables),
        tables.clock.unix_ms(),
    ))
}

/// The stale ones among the known regions and those with a row, at this wall-clock time.
pub fn stale_regions(
    rows: &[RegionRow],
    known: &BTreeSet<String>,
    now_unix_ms: u64,
) -> Vec<StaleRegion> {
    let with_row = rows.iter().map(|row| row.region.clone());
    let all: BTreeSet<String> = known.iter().cloned().chain(with_row).collect();
    let age = |region: &String| {
        let row = rows.iter().find(|row| row.region == *region)?;
        Some(now_unix_ms.saturating_sub(row.refreshed_unix_ms))
    };
    all.into_iter()
        .map(|region| StaleRegion {
            age_ms: age(&region),
            region,
        })
        .filter(|region| region.age_ms.is_none_or(|age| age > STALE_MS))
        .collect()
}

/// Regions with members that have not left.
fn known_regions(tables: &NodeTables) -> BTreeSet<String> {
    let members = tables.members.all();
    members
        .into_iter()
        .filter(|member| member.state() != MemberState::MemberLeft)
        .map(|member| member.region)
        .collect()
}

/// Writes a region's row. Returns the revision of the write.
pub async fn refresh(
    region: String,
    holder: String,
    lowest_revision: u64,
    unix_ms: u64,
    platform: Platform,
) -> Result<u64, StoreError> {
    let key = keys::region(&region.as_str().into());
    let row = RegionRow {
        region,
        refreshed_unix_ms: unix_ms,
        lowest_revision,
        holder,
    };
    let transaction = Transaction::default().put(key, row.encode_to_vec());
    platform.tables.transact(transaction).await
}
