//! The requests that one node may send to cold servers, without a word from the others. Pure.
//!
//! Some nodes stand for each server, chosen by a hash of both, and each of them may send a fixed number of requests
//! in any second. Two views of who the nodes are choose at most twice as many nodes, so the parts of one view come
//! to at most half of what the operators allow. Many small parts lose less than few large ones when a node is
//! gone, and each node stands for some servers.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::ColdBounds;
use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::loads::server_number;

/// The second in which the operators count, and what a request may be late on its way: a request counts where
/// it was sent and arrived in one second, so more than the time of one look is not needed.
const WINDOW: Duration = Duration::from_millis(1_050);
/// Most nodes that stand for a server.
const MOST_STANDING: u32 = 5;

/// How the rate of a cold server is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdShare {
    /// Nodes that stand for each server.
    pub nodes: u32,
    /// Requests that each of them may send it in any second.
    pub requests: u32,
}

impl ColdShare {
    /// Divides a rate. What all nodes of one view send stays below what the server bears, and below half of what
    /// the operators count as too much, so that two views without a common node stay below it.
    pub fn new(per_s: f64, bounds: ColdBounds) -> Self {
        let allowed = per_s * bounds.over + bounds.slack;
        let total = per_s.min(allowed / 2.0).floor().max(1.0) as u32;
        let nodes = total.min(MOST_STANDING);
        Self {
            nodes,
            requests: total / nodes,
        }
    }
}

/// Rank of a node for a server; the greatest stand for it.
fn rank(server: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), u64::from(server_number(server)))
}

/// The place of a node among those that stand for a server, from 0 on; `None` when it is not among the first
/// `nodes`.
pub fn standing<'a>(
    server: &str,
    own: &str,
    others: impl Iterator<Item = &'a str>,
    nodes: u32,
) -> Option<u32> {
    let own_rank = rank(server, own);
    let before = others.filter(|name| *name != own && rank(server, name) > own_rank);
    let place = u32::try_from(before.count()).unwrap_or(u32::MAX);
    (place < nodes).then_some(place)
}

/// The nodes that stand for a server, with what belongs to each.
pub(crate) fn first<'a, T>(
    server: &str,
    mut known: Vec<(&'a str, T)>,
    nodes: u32,
) -> Vec<(&'a str, T)> {
    known.sort_by_key(|(name, _)| Reverse(rank(server, name)));
    known.truncate(nodes as usize);
    known
}

/// What this node has sent to cold servers within the last second.
#[derive(Debug)]
pub struct ColdParts {
    /// A life that ended a moment ago may have used its part.
    from: Instant,
    sent: Mutex<HashMap<u32, VecDeque<Instant>>>,
}

impl ColdParts {
    /// The parts of a node whose life begins now: they count as used for one second.
    pub fn new(now: Instant) -> Self {
        Self {
            from: now + WINDOW,
            sent: Mutex::default(),
        }
    }

    /// Whether a part has something left.
    pub fn has_left(&self, server: u32, requests: u32, now: Instant) -> bool {
        let mut sent = self.sent.lock();
        now >= self.from && Self::recent(&mut sent, server, now) < requests
    }

    /// Takes one request out of a part; `false` when nothing is left.
    pub fn take(&self, server: u32, requests: u32, now: Instant) -> bool {
        let mut sent = self.sent.lock();
        if now < self.from || Self::recent(&mut sent, server, now) >= requests {
            return false;
        }
        sent.entry(server).or_default().push_back(now);
        true
    }

    fn recent(sent: &mut HashMap<u32, VecDeque<Instant>>, server: u32, now: Instant) -> u32 {
        let Some(times) = sent.get_mut(&server) else {
            return 0;
        };
        while times
            .front()
            .is_some_and(|at| now.duration_since(*at) >= WINDOW)
        {
            times.pop_front();
        }
        if times.is_empty() {
            sent.remove(&server);
            return 0;
        }
        u32::try_from(times.len()).unwrap_or(u32::MAX)
    }
}

impl Default for ColdParts {
    fn default() -> Self {
        Self::new(Instant::now())
    }
}
