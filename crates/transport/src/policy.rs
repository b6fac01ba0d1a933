//! The port through which an experiment shapes traffic between two processes.

use std::sync::Arc;
use std::time::Duration;

/// State of the path from one process to another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkState {
    /// One-way delay added to each frame or datagram.
    pub delay: Duration,
    /// Nothing passes: frames wait until the path is whole, datagrams are dropped.
    pub cut: bool,
    /// Share of datagrams dropped, 0 to 1.
    pub loss: f64,
}

impl LinkState {
    /// A path without delay, cut or loss.
    pub const DIRECT: LinkState = LinkState {
        delay: Duration::ZERO,
        cut: false,
        loss: 0.0,
    };
}

/// Says what the path to a peer is like at this moment. Asked for each frame and datagram by the
/// sender, so both directions are shaped. `peer` is the address dialled, or for the accepting end
/// of a TCP link the id in the peer's Hello.
pub trait LinkPolicy: Send + Sync {
    /// State of the path from the process that holds this policy to `peer`.
    fn path(&self, peer: &str) -> LinkState;
}

/// No shaping.
#[derive(Debug, Default, Clone, Copy)]
pub struct DirectPolicy;

impl LinkPolicy for DirectPolicy {
    fn path(&self, _peer: &str) -> LinkState {
        LinkState::DIRECT
    }
}

/// A shared policy.
pub type SharedPolicy = Arc<dyn LinkPolicy>;
