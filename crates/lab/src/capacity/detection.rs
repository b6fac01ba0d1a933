//! Measures how long the fleet takes to detect a failed node.

use std::time::{Duration, Instant};

use dappleyard_wire::messages::MemberState;

use super::hollow::HollowFleet;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const DETECTION_TIMEOUT: Duration = Duration::from_secs(45);

/// Time from a node failure until other nodes detected it, milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Detection {
    /// First of the other nodes.
    pub first_ms: Option<f64>,
    /// Half of the other nodes.
    pub half_ms: Option<f64>,
    /// All other nodes.
    pub all_ms: Option<f64>,
}

/// Isolates a node and polls the membership tables of the others.
pub async fn detect(fleet: &HollowFleet, lost: usize) -> Detection {
    let id = fleet.nodes[lost].tables.identity.node.clone();
    let others: Vec<_> = fleet
        .nodes
        .iter()
        .filter(|node| node.index != lost)
        .collect();
    fleet.isolate(lost);
    let since = Instant::now();
    let mut detection = Detection::default();
    while since.elapsed() < DETECTION_TIMEOUT && detection.all_ms.is_none() {
        tokio::time::sleep(POLL_INTERVAL).await;
        let is_down =
            |state: MemberState| matches!(state, MemberState::MemberDead | MemberState::MemberLeft);
        let known = others.iter().filter(|node| {
            let member = node.tables.members.get(&id);
            member.is_none_or(|member| is_down(member.state()))
        });
        let known = known.count();
        let elapsed = since.elapsed().as_secs_f64() * 1000.0;
        let reached = |count: usize| (known >= count).then_some(elapsed);
        detection.first_ms = detection.first_ms.or_else(|| reached(1));
        detection.half_ms = detection
            .half_ms
            .or_else(|| reached(others.len().div_ceil(2)));
        detection.all_ms = detection.all_ms.or_else(|| reached(others.len()));
    }
    detection
}
