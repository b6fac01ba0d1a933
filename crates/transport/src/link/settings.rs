//! Limits and timeouts of links.

use std::sync::Arc;
use std::time::Duration;

use dappleyard_budget::{BudgetLimits, MemoryBudget};
use dappleyard_settings::LinkBounds;

use super::codec::FrameCodec;
use super::metrics::LinkMetrics;

/// Limits and timeouts of links.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// Maximum time to connect and exchange Hello.
    pub connect_timeout: Duration,
    /// Interval between pings.
    pub ping_interval: Duration,
    /// Time without reads, or without progress on a write, after which a link is closed.
    pub idle_timeout: Duration,
    /// Maximum frame size, bytes.
    pub maximum_frame_bytes: usize,
    /// Maximum bytes queued for sending on one link.
    pub maximum_queued_bytes: usize,
    /// Maximum received bytes buffered on one stream.
    pub maximum_stream_bytes: usize,
    /// Maximum open streams on one accepted link.
    pub maximum_streams: usize,
    /// Maximum accepted links.
    pub maximum_links: usize,
    /// Memory for frames on accepted links that have not arrived whole.
    pub budget: Arc<MemoryBudget>,
    /// Metrics of all links with these settings.
    pub metrics: Arc<LinkMetrics>,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self::from(&LinkBounds::default())
    }
}

impl From<&LinkBounds> for LinkSettings {
    fn from(bounds: &LinkBounds) -> Self {
        Self {
            connect_timeout: Duration::from_millis(bounds.connect_timeout_ms),
            ping_interval: Duration::from_millis(bounds.ping_interval_ms),
            idle_timeout: Duration::from_millis(bounds.idle_timeout_ms),
            maximum_frame_bytes: bounds.maximum_frame_bytes,
            maximum_queued_bytes: bounds.maximum_queued_bytes,
            maximum_stream_bytes: bounds.maximum_stream_bytes,
            maximum_streams: bounds.maximum_streams,
            maximum_links: bounds.maximum_links,
            budget: MemoryBudget::new(UNBOUNDED),
            metrics: Arc::default(),
        }
    }
}

/// Limits where the process states none.
const UNBOUNDED: BudgetLimits = BudgetLimits {
    total_bytes: usize::MAX / 2,
    reserve_bytes: 0,
};
/// Largest frame of a peer that has not said who it is, bytes.
const MAXIMUM_HELLO_BYTES: usize = 16 * 1024;

impl LinkSettings {
    /// Codec of a link that this process opens.
    pub(super) fn codec(&self) -> FrameCodec {
        FrameCodec::new(self.maximum_frame_bytes, None)
    }

    /// Codec of an accepted link, until its peer has said who it is.
    pub(super) fn hello_codec(&self) -> FrameCodec {
        let maximum_bytes = self.maximum_frame_bytes.min(MAXIMUM_HELLO_BYTES);
        FrameCodec::new(maximum_bytes, Some(self.budget.open()))
    }
}
