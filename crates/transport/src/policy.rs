//! Interface through which experiments shape traffic between two processes.

use std::sync::Arc;
use std::time::Duration;

/// State of the path from one process to another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PathState {
    /// One-way delay added to each frame or datagram.
    pub delay: Duration,
    /// Whether the path is partitioned: frames wait until it heals, datagrams are dropped.
    pub cut: bool,
    /// Fraction of datagrams dropped, 0 to 1.
    pub loss: f64,
}

impl PathState {
    /// A path without delay, partition or loss.
    pub const DIRECT: PathState = PathState {
        delay: Duration::ZERO,
        cut: false,
        loss: 0.0,
    };
}

/// Current state of the path to each peer. The sender queries it for each frame and datagram, so both
/// directions are shaped. `peer` is the dialled address or, at the accepting end of a link, the id in
/// the peer's Hello.
pub trait LinkPolicy: Send + Sync {
    /// State of the path from this process to `peer`.
    fn path(&self, peer: &str) -> PathState;
}

/// A policy without shaping.
#[derive(Debug, Default, Clone, Copy)]
pub struct DirectPolicy;

impl LinkPolicy for DirectPolicy {
    fn path(&self, _peer: &str) -> PathState {
        PathState::DIRECT
    }
}

pub type SharedPolicy = Arc<dyn LinkPolicy>;
