//! The frame loop of one connection after the handshake.

use std::time::Duration;

use bytes::Bytes;
use dappleyard_clock::Instant;
use dappleyard_wire::messages::{Frame, Ping, frame};
use futures::stream::{SplitSink, SplitStream};
use futures::{FutureExt, SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use super::codec::FrameCodec;
use super::outgoing::{OutgoingQueue, Queued, encode};
use super::settings::LinkSettings;
use crate::gate::RequestGuard;
use crate::policy::SharedPolicy;

/// A connection that carries frames.
pub(super) type FramedConnection = Framed<TcpStream, FrameCodec>;

/// Polling interval while the path is partitioned.
const PARTITION_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time for the peer to read what was sent and to close its side.
pub(super) const END_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why a connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// This end closed it or no longer uses it.
    LocalEnd,
    /// The peer closed it or an I/O error occurred.
    PeerEnd,
    /// Nothing was received for the idle timeout.
    Idle,
    /// A write made no progress for the idle timeout.
    Stalled,
    /// The outgoing queue exceeded its limit.
    SlowPeer,
    /// The peer sent a frame larger than the limit.
    Oversize,
    /// There is no memory for the frame that arrives.
    MemoryShort,
    /// The peer sent bytes that do not decode as a frame.
    Garbage,
}

impl CloseReason {
    /// Metric label.
    pub const fn name(self) -> &'static str {
        match self {
            CloseReason::LocalEnd => "local_end",
            CloseReason::PeerEnd => "peer_end",
            CloseReason::Idle => "idle",
            CloseReason::Stalled => "stalled",
            CloseReason::SlowPeer => "slow_peer",
            CloseReason::Oversize => "oversize",
            CloseReason::MemoryShort => "memory_short",
            CloseReason::Garbage => "garbage",
        }
    }
}

/// A connection with its settings and policy.
pub(super) struct Session<'a> {
    pub settings: &'a LinkSettings,
    pub policy: &'a SharedPolicy,
    /// Name of the path in the policy.
    pub peer: &'a str,
}

impl Session<'_> {
    /// Sends and receives frames until the connection ends, or until `ending` resolves and all queued
    /// frames are sent; `on_frame` is called with each received frame and its size in bytes.
    pub async fn run(
        &self,
        connection: FramedConnection,
        queue: OutgoingQueue,
        ending: impl Future<Output = ()>,
        on_frame: impl Fn(Frame, usize),
    ) {
        let metrics = &self.settings.metrics;
        metrics.open.inc();
        let (mut sink, mut source) = connection.split();
        let state = queue.state.clone();
        let reason = tokio::select! {
            reason = self.send_all(&mut sink, queue, ending) => reason,
            reason = self.receive_all(&mut source, &on_frame) => reason,
            reason = state.wait_closed() => reason,
        };
        metrics.open.dec();
        metrics.count_closed(reason.name());
        if reason == CloseReason::LocalEnd {
            let ended = self.end(&mut sink, &mut source, &on_frame);
            let _ = tokio::time::timeout(END_TIMEOUT, ended).await;
        }
    }

    /// Closes the sending side and reads on until the peer has closed its own: a socket that is closed
    /// while received bytes stand unread resets the connection, and what was flushed may be lost.
    async fn end(
        &self,
        sink: &mut SplitSink<FramedConnection, Bytes>,
        source: &mut SplitStream<FramedConnection>,
        on_frame: &impl Fn(Frame, usize),
    ) {
        if sink.close().await.is_ok() {
            self.receive_all(source, on_frame).await;
        }
    }

    async fn receive_all(
        &self,
        source: &mut SplitStream<FramedConnection>,
        on_frame: &impl Fn(Frame, usize),
    ) -> CloseReason {
        loop {
            let next = tokio::time::timeout(self.settings.idle_timeout, source.next()).await;
            let bytes = match next {
                Err(_) => return CloseReason::Idle,
                Ok(None) => return CloseReason::PeerEnd,
                Ok(Some(Err(error))) if error.kind() == std::io::ErrorKind::OutOfMemory => {
                    return CloseReason::MemoryShort;
                }
                Ok(Some(Err(error))) if error.kind() == std::io::ErrorKind::InvalidData => {
                    return CloseReason::Oversize;
                }
                Ok(Some(Err(_))) => return CloseReason::PeerEnd,
                Ok(Some(Ok(bytes))) => bytes,
            };
            let size = bytes.len();
            self.settings.metrics.count_received(size);
            match Frame::decode(bytes) {
                Ok(received) => on_frame(received, size),
                Err(_) => return CloseReason::Garbage,
            }
        }
    }

    /// Writes queued frames in order, each after the path's delay; pauses while the path is
    /// partitioned. Takes no further frames once `ending` has resolved.
    async fn send_all(
        &self,
        sink: &mut SplitSink<FramedConnection, Bytes>,
        mut queue: OutgoingQueue,
        ending: impl Future<Output = ()>,
    ) -> CloseReason {
        let mut ending = std::pin::pin!(ending.fuse());
        let mut pings = tokio::time::interval(self.settings.ping_interval);
        let mut unflushed = Vec::new();
        loop {
            // Queued frames first: a new ping is due later than they are and would delay them.
            let queued = tokio::select! {
                biased;
                queued = queue.frames.recv() => match queued {
                    Some(queued) => queued,
                    None => return CloseReason::LocalEnd,
                },
                () = &mut ending => {
                    queue.frames.close();
                    continue;
                }
                _ = pings.tick() => self.ping(),
            };
            let mut next = Some(queued);
            while let Some(queued) = next {
                let size = queued.bytes.len();
                if let Err(reason) = self.write(sink, queued, &mut unflushed).await {
                    return reason;
                }
                queue.state.written(size);
                next = queue.frames.try_recv().ok();
            }
            if let Err(reason) = self.flush(sink, &mut unflushed).await {
                return reason;
            }
        }
    }

    async fn write(
        &self,
        sink: &mut SplitSink<FramedConnection, Bytes>,
        queued: Queued,
        unflushed: &mut Vec<RequestGuard>,
    ) -> Result<(), CloseReason> {
        if queued.due > Instant::now() {
            self.flush(sink, unflushed).await?;
            dappleyard_clock::sleep_until(queued.due).await;
        }
        while self.policy.path(self.peer).cut {
            tokio::time::sleep(PARTITION_POLL_INTERVAL).await;
        }
        self.settings.metrics.count_sent(queued.bytes.len());
        unflushed.extend(queued.guard);
        self.within_idle_timeout(sink.feed(queued.bytes)).await
    }

    /// Flushes the sink, and releases the guards of the frames in it.
    async fn flush(
        &self,
        sink: &mut SplitSink<FramedConnection, Bytes>,
        unflushed: &mut Vec<RequestGuard>,
    ) -> Result<(), CloseReason> {
        self.within_idle_timeout(sink.flush()).await?;
        unflushed.clear();
        Ok(())
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
            guard: None,
        }
    }
}

/// Writes one control frame directly, before a session runs.
pub(super) async fn send_now(
    connection: &mut FramedConnection,
    body: frame::Body,
) -> Result<(), String> {
    let sent = connection.send(encode(0, body)).await;
    sent.map_err(|error| error.to_string())
}
