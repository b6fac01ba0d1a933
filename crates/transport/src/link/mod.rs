//! Links: TCP connections that multiplex frames of many streams.
//!
//! The dialling end holds a [`Link`] and opens streams with [`Link::open`]. The accepting end runs a
//! [`LinkServer`], which hands each opened stream to a handler as a [`ServerStream`]. Both ends send
//! pings; a link on which nothing was received for [`LinkSettings::idle_timeout`] is closed, and all
//! of its streams end with [`LinkError::Lost`].
//!
//! All queues are bounded: outgoing frames in bytes per link, incoming frames in bytes per stream, and
//! the number of links and of streams per link. A peer that does not read loses its link; a stream
//! that is not read is closed without affecting the link.

mod announce;
mod client;
mod codec;
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
    /// No connection was established, and nothing was sent.
    #[display("no link to {address}: {reason}")]
    Connect {
        /// Dialled address.
        address: String,
        /// Description of the cause.
        reason: String,
    },
    /// The link was lost; frames may have been sent.
    #[display("link to {peer} was lost")]
    Lost {
        /// Peer's id or address.
        peer: String,
    },
    /// The frame exceeds the size limit and was not sent.
    #[display("a frame of {bytes} bytes is larger than a link carries")]
    TooLarge {
        /// Size of the frame, bytes.
        bytes: usize,
    },
}
