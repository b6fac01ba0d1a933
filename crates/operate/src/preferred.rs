//! Chooses the node for work that one node of the fleet should do. This is not leader election: two
//! nodes may both be preferred for a short time, which must be safe.

use dappleyard_tables::NodeTables;
use dappleyard_wire::hash::{hash_bytes, rendezvous_weight};
use dappleyard_wire::messages::MemberState;

/// Node chosen for a resource by rendezvous hashing among the alive members that are not draining.
pub fn preferred_node(tables: &NodeTables, resource: &str) -> Option<String> {
    let key = hash_bytes(resource.as_bytes());
    let own_node = tables.identity.node.to_string();
    let own = tables.takes_new_work().then_some(own_node.clone());
    let members = tables.members.all().into_iter();
    let others = members
        .filter(|member| member.node != own_node && !member.draining)
        .filter(|member| member.state() == MemberState::MemberAlive)
        .map(|member| member.node);
    others
        .chain(own)
        .max_by_key(|node| rendezvous_weight(key, node))
}

pub fn is_preferred(tables: &NodeTables, resource: &str) -> bool {
    preferred_node(tables, resource).is_some_and(|node| node == tables.identity.node.as_str())
}
