//! Delegates: the nodes of a zone that act for it in a large fleet. They follow tables at the store
//! and sum up loads, so that what each node sends and reads does not grow with the fleet.

use xxhash_rust::xxh3::xxh3_64;

/// Delegates of one zone: when one is lost, the other goes on.
const DELEGATES: usize = 2;

/// The delegates among the nodes of a zone: all who know the same names choose the same ones.
pub fn delegates<'a>(names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &str)> = names.map(|name| (xxh3_64(name.as_bytes()), name)).collect();
    ranked.sort();
    let chosen = ranked.into_iter().take(DELEGATES);
    chosen.map(|(_, name)| name).collect()
}
