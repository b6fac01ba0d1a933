//! Rate limit for cold servers without coordination between nodes. Pure: time is an argument.
//!
//! Rendezvous hashing assigns a few nodes to each server, and each of them may send a fixed number
//! of requests per second. Two membership views can assign twice as many nodes, so the quotas of
//! one view add up to half of the operators' limit.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_model::ColdBounds;
use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::loads::server_number;

/// One second, in which the operators count requests, plus an allowance for network delay.
const WINDOW: Duration = Duration::from_millis(1_050);
/// Most nodes assigned to a server.
const MAX_ASSIGNED: u32 = 5;

/// How the request rate of a cold server is divided among nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdQuota {
    /// Nodes assigned to each server.
    pub nodes: u32,
    /// Requests per second that each assigned node may send.
    pub requests: u32,
}

impl ColdQuota {
    /// Divides a rate. The sum over all assigned nodes does not exceed the rate or half of the
    /// operators' limit, so that two disjoint membership views stay within the limit. At least one
    /// request per second is allowed, even if half of the limit is less.
    pub fn new(per_s: f64, bounds: ColdBounds) -> Self {
        let allowed = per_s * bounds.over + bounds.slack;
        let total = per_s.min(allowed / 2.0).floor().max(1.0) as u32;
        let nodes = total.min(MAX_ASSIGNED);
        Self {
            nodes,
            requests: total / nodes,
        }
    }
}

/// Rendezvous hash of a node for a server; the nodes with the highest values are assigned to it.
fn rank(server: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), u64::from(server_number(server)))
}

/// The rank of a node among the nodes assigned to a server, from 0; `None` if it is not among the
/// first `nodes`.
pub fn assignment_rank<'a>(
    server: &str,
    own: &str,
    others: impl Iterator<Item = &'a str>,
    nodes: u32,
) -> Option<u32> {
    let own_rank = rank(server, own);
    let before = others.filter(|name| *name != own && rank(server, name) > own_rank);
    let own_place = u32::try_from(before.count()).unwrap_or(u32::MAX);
    (own_place < nodes).then_some(own_place)
}

/// The nodes assigned to a server, with their values.
pub(crate) fn assigned_nodes<'a, T>(
    server: &str,
    mut known: Vec<(&'a str, T)>,
    nodes: u32,
) -> Vec<(&'a str, T)> {
    known.sort_by_key(|(name, _)| Reverse(rank(server, name)));
    known.truncate(nodes as usize);
    known
}

/// Requests that this node sent to cold servers within the last second.
#[derive(Debug)]
pub struct ColdQuotaUsage {
    /// No quota before this time: the previous process of this node may have used it up.
    available_from: Instant,
    sent: Mutex<HashMap<u32, VecDeque<Instant>>>,
}

impl ColdQuotaUsage {
    /// The quotas of a node that starts now: they count as used for the first second.
    pub fn new(now: Instant) -> Self {
        Self {
            available_from: now + WINDOW,
            sent: Mutex::default(),
        }
    }

    /// Whether the node has quota left for a server.
    pub fn has_left(&self, server: u32, requests: u32, now: Instant) -> bool {
        let mut sent = self.sent.lock();
        now >= self.available_from && Self::count_recent(&mut sent, server, now) < requests
    }

    /// Takes one request from the quota; `false` if it is exhausted.
    pub fn take(&self, server: u32, requests: u32, now: Instant) -> bool {
        let mut sent = self.sent.lock();
        if now < self.available_from || Self::count_recent(&mut sent, server, now) >= requests {
            return false;
        }
        sent.entry(server).or_default().push_back(now);
        true
    }

    fn count_recent(sent: &mut HashMap<u32, VecDeque<Instant>>, server: u32, now: Instant) -> u32 {
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

impl Default for ColdQuotaUsage {
    fn default() -> Self {
        Self::new(Instant::now())
    }
}
