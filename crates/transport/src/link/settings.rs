//! Bounds and timers of links.

use std::sync::Arc;
use std::time::Duration;

use dappleyard_settings::LinkBounds;
use tokio_util::codec::LengthDelimitedCodec;

use super::metrics::LinkMetrics;

/// Bounds and timers of links.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// Longest time to connect and exchange Hello.
    pub connect_timeout: Duration,
    /// Time between pings.
    pub ping_interval: Duration,
    /// A link on which nothing was heard, or nothing could be written, for this long is lost.
    pub idle_timeout: Duration,
    /// Largest frame, bytes.
    pub maximum_frame_bytes: usize,
    /// Most bytes that wait to be sent on one link.
    pub maximum_queued_bytes: usize,
    /// Most bytes that wait to be read on one stream.
    pub maximum_stream_bytes: usize,
    /// Most streams open on one accepted link.
    pub maximum_streams: usize,
    /// Most links accepted at once.
    pub maximum_links: usize,
    /// Where links are counted.
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
            metrics: Arc::default(),
        }
    }
}

impl LinkSettings {
    /// The codec of frames: a length of four bytes before each.
    pub(super) fn codec(&self) -> LengthDelimitedCodec {
        LengthDelimitedCodec::builder()
            .max_frame_length(self.maximum_frame_bytes)
            .new_codec()
    }
}
