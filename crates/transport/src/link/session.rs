//! The life of one connection after Hello: frames both ways until it ends.

use std::time::Duration;

use bytes::Bytes;
use dappleyard_clock::Instant;
use dappleyard_wire::messages::{Frame, Ping, frame};
use futures::stream::{SplitSink, SplitStream};
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::outgoing::{OutgoingQueue, Queued, encode};
use super::settings::LinkSettings;
use crate::policy::SharedPolicy;

/// A connection that carries frames.
pub(super) type Wired = Framed<TcpStream, LengthDelimitedCodec>;

/// Shortest pause between two looks at a path that is cut.
const CUT_LOOK: Duration = Duration::from_millis(5);

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Nobody here uses it any more.
    LocalEnd,
    /// The peer closed it, or it broke.
    PeerEnd,
    /// Nothing was heard for the idle timeout.
    Idle,
    /// Nothing could be written for the idle timeout.
    Stalled,
    /// More frames waited than the bound allows.
    SlowPeer,
    /// The peer sent a frame larger than the bound.
    Oversize,
    /// The peer sent bytes that are no frame.
    Garbage,
}

impl CloseReason {
    /// Label in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            CloseReason::LocalEnd => "local_end",
            CloseReason::PeerEnd => "peer_end",
            CloseReason::Idle => "idle",
            CloseReason::Stalled => "stalled",
            CloseReason::SlowPeer => "slow_peer",
            CloseReason::Oversize => "oversize",
            CloseReason::Garbage => "garbage",
        }
    }
}

/// One connection and its way to the peer.
pub(super) struct Session<'a> {
    pub settings: &'a LinkSettings,
    pub policy: &'a SharedPolicy,
    /// Name by which the policy knows the path.
    pub peer: &'a str,
}

impl Session<'_> {
    /// Moves frames both ways until the connection ends; `incoming` is given each frame with its
    /// size in bytes.
    pub async fn run(&self, wired: Wired, queue: OutgoingQueue, incoming: impl Fn(Frame, usize)) {
        let metrics = &self.settings.metrics;
        metrics.open.inc();
        let (sink, source) = wired.split();
        let state = queue.state.clone();
        let reason = tokio::select! {
            reason = self.send_all(sink, queue) => reason,
            reason = self.receive_all(source, incoming) => reason,
            reason = state.wait_end() => reason,
        };
        metrics.open.dec();
        metrics.count_closed(reason.name());
    }

    async fn receive_all(
        &self,
        mut source: SplitStream<Wired>,
        incoming: impl Fn(Frame, usize),
    ) -> CloseReason {
        loop {
            let next = tokio::time::timeout(self.settings.idle_timeout, source.next()).await;
            let bytes = match next {
                Err(_) => return CloseReason::Idle,
                Ok(None) => return CloseReason::PeerEnd,
                Ok(Some(Err(error))) if error.kind() == std::io::ErrorKind::InvalidData => {
                    return CloseReason::Oversize;
                }
                Ok(Some(Err(_))) => return CloseReason::PeerEnd,
                Ok(Some(Ok(bytes))) => bytes,
            };
            let size = bytes.len();
            self.settings.metrics.count_received(size);
            match Frame::decode(bytes) {
                Ok(received) => incoming(received, size),
                Err(_) => return CloseReason::Garbage,
            }
        }
    }

    /// Writes queued frames in order, each after the path's delay; holds them while it is cut.
    async fn send_all(
        &self,
        mut sink: SplitSink<Wired, Bytes>,
        mut queue: OutgoingQueue,
    ) -> CloseReason {
        let mut pings = tokio::time::interval(self.settings.ping_interval);
        loop {
            // Queued frames first: a ping made now is due later than they are, and would hold them up.
            let queued = tokio::select! {
                biased;
                queued = queue.frames.recv() => match queued {
                    Some(queued) => queued,
                    None => return CloseReason::LocalEnd,
                },
                _ = pings.tick() => self.ping(),
            };
            let mut next = Some(queued);
            while let Some(queued) = next {
                let size = queued.bytes.len();
                if let Err(reason) = self.write(&mut sink, queued).await {
                    return reason;
                }
                queue.state.written(size);
                next = queue.frames.try_recv().ok();
            }
            if let Err(reason) = self.within_idle_timeout(sink.flush()).await {
                return reason;
            }
        }
    }

    async fn write(
        &self,
        sink: &mut SplitSink<Wired, Bytes>,
        queued: Queued,
    ) -> Result<(), CloseReason> {
        if queued.due > Instant::now() {
            self.within_idle_timeout(sink.flush()).await?;
            dappleyard_clock::sleep_until(queued.due).await;
        }
        while self.policy.path(self.peer).cut {
            tokio::time::sleep(CUT_LOOK).await;
        }
        self.settings.metrics.count_sent(queued.bytes.len());
        self.within_idle_timeout(sink.feed(queued.bytes)).await
    }

    async fn within_idle_timeout(
        &self,
        writing: impl Future<Output = std::io::Result<()>>,
    ) -> Result<(), CloseReason> {
        match tokio::time::timeout(self.settings.idle_timeout, writing).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(CloseReason::PeerEnd),
            Err(_) => Err(CloseReason::Stalled),
        }
    }

    fn ping(&self) -> Queued {
        Queued {
            due: Instant::now() + self.policy.path(self.peer).delay,
            bytes: encode(0, frame::Body::Ping(Ping { nonce: 0 })),
        }
    }
}

/// Writes one frame of the link itself, outside a session.
pub(super) async fn send_now(wired: &mut Wired, body: frame::Body) -> Result<(), String> {
    let sent = wired.send(encode(0, body)).await;
    sent.map_err(|error| error.to_string())
}
