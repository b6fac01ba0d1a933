//! Links: TCP connections that carry frames of many streams.
//!
//! The dialling end holds a [`Link`] and opens streams with [`Link::open`]. The accepting end runs a
//! [`LinkServer`], which hands each opened stream to a handler as a [`ServerStream`]. Both ends send
//! pings; a link on which nothing was heard for [`LinkSettings::idle_timeout`] is closed, and all of
//! its streams end with [`LinkError::Lost`].
//!
//! Nothing here grows without a bound: frames that wait to be sent are counted in bytes for each
//! link, frames that wait to be read for each stream, and streams and links are counted. A peer that
//! does not read loses its link; a stream that is not read ends alone.

mod announce;
mod client;
mod metrics;
mod outgoing;
mod server;
mod session;
mod settings;
mod stream;

use derive_more::{Display, Error};

pub use announce::Announcement;
pub use client::{ClientStream, Link, LossSignal};
pub use metrics::LinkMetrics;
pub use server::{LinkServer, ServerStream, ServerStreamSender};
pub use settings::LinkSettings;
pub use stream::StreamReceiver;

/// Why a link or stream ended.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum LinkError {
    /// Never connected: nothing was sent.
    #[display("no link to {address}: {reason}")]
    Connect {
        /// Address dialled.
        address: String,
        /// What was seen.
        reason: String,
    },
    /// Lost after frames may have been sent.
    #[display("the link to {peer} was lost")]
    Lost {
        /// Peer's id or address.
        peer: String,
    },
    /// The frame is larger than a link carries: it was not sent.
    #[display("a frame of {bytes} bytes is larger than a link carries")]
    TooLarge {
        /// Size of the frame, bytes.
        bytes: usize,
    },
}
