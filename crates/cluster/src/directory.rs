//! Which nodes a caller is sent to.

/// Most addresses of one answer.
const MOST_ADDRESSES: usize = 64;
/// Nodes that the caller's zone needs so that it is served by its own zone alone.
const ENOUGH_IN_ZONE: usize = 1;

/// Addresses for a caller of a zone: nodes of that zone, or all where it has none.
pub fn addresses_for(zone: Option<&str>, ready: &[(String, String)]) -> Vec<String> {
    let near: Vec<&String> = ready
        .iter()
        .filter(|(_, node_zone)| zone == Some(node_zone))
        .map(|(address, _)| address)
        .collect();
    let chosen: Vec<&String> = match near.len() >= ENOUGH_IN_ZONE {
        true => near,
        false => ready.iter().map(|(address, _)| address).collect(),
    };
    chosen.into_iter().take(MOST_ADDRESSES).cloned().collect()
}
