//! How long it takes until the loss of a node is known.

use std::time::{Duration, Instant};

use dappleyard_wire::messages::MemberState;

use super::hollow::HollowFleet;

/// Time between two looks at the tables.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for a loss to be known everywhere.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(45);

/// Times from a loss until it was known, milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Detection {
    /// To the first of the other nodes.
    pub first_ms: Option<f64>,
    /// To half of them.
    pub half_ms: Option<f64>,
    /// To all of them.
    pub all_ms: Option<f64>,
}

/// Cuts a node off and watches the others.
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
