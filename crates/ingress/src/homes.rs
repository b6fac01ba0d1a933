//! Keeps requests that are bound to home regions within them.

use std::collections::BTreeSet;
use std::sync::Arc;

use dappleyard_cluster::{Exclusion, ServerSet};
use dappleyard_model::{Configuration, Homes, Places, RegionName, ServerRecord};

use crate::node::Node;

/// Servers that a request is placed among before its homes are looked at: those that the node uses. A node
/// that stands outside the homes uses hardly any server in them, so it looks at all.
pub fn reached<'a>(
    servers: &'a ServerSet,
    homes: &Homes,
    node: &Node,
) -> std::slice::Iter<'a, Arc<ServerRecord>> {
    let places = &node.settings.places;
    let in_home = |zone: &str| homes.allow(zone, places);
    let used = || servers.used.iter();
    match !homes.bind() || (in_home(&node.settings.zone) && used().any(|held| in_home(&held.zone)))
    {
        true => used(),
        false => servers.all.iter(),
    }
}

/// Why a request may not be sent to a server: this stands outside its homes.
pub(crate) fn refusal(node: &Node, server: &ServerRecord, homes: &Homes) -> Option<Exclusion> {
    let allowed = homes.allow(&server.zone, &node.settings.places);
    (!allowed).then_some(Exclusion::OutsideHomes)
}

/// Regions whose nodes a caller of a zone may be sent to when the routes that it asks for have these homes: its
/// own and those of all homes. `None` stands for all. Requests are bound wherever they arrive, so that a caller
/// that is sent elsewhere is still served at home.
pub fn regions_for(
    homes: &[Homes],
    zone: Option<&str>,
    places: &Places,
) -> Option<BTreeSet<RegionName>> {
    if homes.is_empty() {
        return None;
    }
    let own = zone.and_then(|zone| places.region(zone));
    let regions = places.zones().map(|(_, region)| region);
    let near = |region: &&RegionName| {
        Some(*region) == own || homes.iter().all(|homes| homes.allow_region(region))
    };
    Some(regions.filter(near).cloned().collect())
}

/// Homes of a host's routes, for callers that ask where to go; none where some route of it has no homes.
pub(crate) fn of_host(configuration: Option<&Configuration>, host: Option<&str>) -> Vec<Homes> {
    match (configuration, host) {
        (Some(configuration), Some(host)) => configuration.homes_of_host(host),
        _ => Vec::new(),
    }
}
