//! Restricts requests to their home regions.

use std::collections::BTreeSet;
use std::sync::Arc;

use dappleyard_cluster::{Exclusion, ServerSet};
use dappleyard_model::{
    Configuration, HomeRegions, RegionName, RunOrigin, ServerRecord, Topology, may_run_at,
};

use crate::node::Node;

/// Servers that a request may be placed on, before the checks of its home regions and of where its
/// run began. Usually those this node uses; all servers if the node is outside the home regions, or
/// uses no server that passes these checks.
pub fn candidate_servers<'a>(
    servers: &'a ServerSet,
    homes: &HomeRegions,
    origin: Option<&RunOrigin>,
    node: &Node,
) -> std::slice::Iter<'a, Arc<ServerRecord>> {
    let places = &node.settings.places;
    let in_home = |zone: &str| homes.allows_zone(zone, places);
    let is_allowed =
        |server: &Arc<ServerRecord>| in_home(&server.zone) && may_run_at(origin, server);
    let is_restricted = homes.is_restricted() || origin.is_some();
    match !is_restricted || (in_home(&node.settings.zone) && servers.used.iter().any(is_allowed)) {
        true => servers.used.iter(),
        false => servers.all.iter(),
    }
}

/// Refuses a server outside the home regions.
pub(crate) fn check_exclusion(
    node: &Node,
    server: &ServerRecord,
    homes: &HomeRegions,
) -> Option<Exclusion> {
    let allowed = homes.allows_zone(&server.zone, &node.settings.places);
    (!allowed).then_some(Exclusion::OutsideHomes)
}

/// Regions whose nodes a client may be directed to: its own, and those that are home to every route
/// it asks for. `None` stands for all. Requests are restricted wherever they arrive, so a client in
/// another region is still served at home.
pub fn directory_regions(
    homes: &[HomeRegions],
    zone: Option<&str>,
    places: &Topology,
) -> Option<BTreeSet<RegionName>> {
    if homes.is_empty() {
        return None;
    }
    let own = zone.and_then(|zone| places.region(zone));
    let regions = places.zones().map(|(_, region)| region);
    let near = |region: &&RegionName| {
        Some(*region) == own || homes.iter().all(|homes| homes.allows_region(region))
    };
    Some(regions.filter(near).cloned().collect())
}

/// Home regions of a host's routes; empty if any route is unrestricted.
pub(crate) fn host_homes(
    configuration: Option<&Configuration>,
    host: Option<&str>,
) -> Vec<HomeRegions> {
    match (configuration, host) {
        (Some(configuration), Some(host)) => configuration.home_regions_of_host(host),
        _ => Vec::new(),
    }
}
