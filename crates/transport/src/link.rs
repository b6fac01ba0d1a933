//! Links: TCP connections that carry frames of many streams.
//!
//! The dialling end holds a [`Link`] and opens streams with [`Link::open`]. The accepting end runs a
//! [`LinkServer`], which hands each opened stream to a handler as a [`ServerStream`]. Both ends send
//! pings; a link on which nothing was heard for `LinkSettings::idle_timeout` is closed, and all of
//! its streams end with [`LinkError::Lost`].

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dappleyard_wire::messages::{Frame, GoAway, Hello, NodeLoad, Peers, Ping, Pong, frame};
use dappleyard_wire::{MAXIMUM_FRAME_BYTES, PROTOCOL_VERSION};
use derive_more::{Display, Error};
use futures::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::policy::SharedPolicy;

/// Bounds and timers of links.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// Longest time to connect and exchange Hello.
    pub connect_timeout: Duration,
    /// Time between pings.
    pub ping_interval: Duration,
    /// A link on which nothing was heard for this long is lost.
    pub idle_timeout: Duration,
    /// Largest frame, bytes.
    pub maximum_frame_bytes: usize,
    /// Most streams open on one accepted link.
    pub maximum_streams: usize,
    /// Most links accepted at once.
    pub maximum_links: usize,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            ping_interval: Duration::from_millis(250),
            idle_timeout: Duration::from_millis(1000),
            maximum_frame_bytes: MAXIMUM_FRAME_BYTES,
            maximum_streams: 20_000,
            maximum_links: 4_000,
        }
    }
}

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
}

type Wired = Framed<TcpStream, LengthDelimitedCodec>;
type StreamSender = mpsc::UnboundedSender<frame::Body>;

/// Frames received on one stream; `None` after the link was lost or the stream closed.
pub type StreamReceiver = mpsc::UnboundedReceiver<frame::Body>;

fn codec(settings: &LinkSettings) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(settings.maximum_frame_bytes)
        .new_codec()
}

/// The dialling end of a link. Cloning shares the link. Not `Send`: one for each worker thread.
#[derive(Clone)]
pub struct Link {
    shared: Rc<LinkShared>,
}

struct LinkShared {
    peer: Hello,
    outgoing: mpsc::UnboundedSender<Frame>,
    streams: RefCell<HashMap<u64, StreamSender>>,
    next_stream: Cell<u64>,
    lost: watch::Sender<bool>,
    going_away: Cell<bool>,
    ready: Cell<bool>,
    peers: RefCell<Peers>,
    load: RefCell<Option<NodeLoad>>,
}

impl Link {
    /// Connects to `address` and exchanges Hello.
    pub async fn connect(
        address: &str,
        hello: Hello,
        settings: &LinkSettings,
        policy: SharedPolicy,
    ) -> Result<Link, LinkError> {
        let failed = |reason: String| LinkError::Connect {
            address: address.to_owned(),
            reason,
        };
        let handshake = async {
            while policy.path(address).cut {
                tokio::time::sleep(settings.ping_interval).await;
            }
            let socket = TcpStream::connect(address)
                .await
                .map_err(|e| failed(e.to_string()))?;
            let _ = socket.set_nodelay(true);
            let mut wired = Framed::new(socket, codec(settings));
            tokio::time::sleep(policy.path(address).delay).await;
            send_now(&mut wired, &link_frame(frame::Body::Hello(hello)))
                .await
                .map_err(failed)?;
            let answer = wired.next().await;
            let peer = match answer.map(|read| read.map(Frame::decode)) {
                Some(Ok(Ok(Frame {
                    body: Some(frame::Body::Hello(peer)),
                    ..
                }))) => peer,
                _ => return Err(failed("no Hello in answer".to_owned())),
            };
            if peer.protocol != PROTOCOL_VERSION {
                return Err(failed(format!("peer speaks protocol {}", peer.protocol)));
            }
            Ok((wired, peer))
        };
        let (wired, peer) = tokio::time::timeout(settings.connect_timeout, handshake)
            .await
            .map_err(|_| failed("timed out".to_owned()))??;
        Ok(Link::start(
            address.to_owned(),
            wired,
            peer,
            settings.clone(),
            policy,
        ))
    }

    fn start(
        address: String,
        wired: Wired,
        peer: Hello,
        settings: LinkSettings,
        policy: SharedPolicy,
    ) -> Link {
        let (outgoing, queue) = mpsc::unbounded_channel();
        let shared = Rc::new(LinkShared {
            peer,
            outgoing,
            streams: RefCell::default(),
            next_stream: Cell::new(1),
            lost: watch::Sender::new(false),
            going_away: Cell::new(false),
            ready: Cell::new(true),
            peers: RefCell::default(),
            load: RefCell::default(),
        });
        let link = Link {
            shared: shared.clone(),
        };
        actix_rt::spawn(async move {
            let incoming = |received: Frame| shared.receive(received);
            let mut closed = shared.lost.subscribe();
            tokio::select! {
                () = run_link(wired, queue, &settings, &policy, &address, incoming) => {}
                _ = closed.wait_for(|closed| *closed) => {}
            }
            shared.streams.borrow_mut().clear();
            shared.lost.send_replace(true);
        });
        link
    }

    /// Hello of the other end.
    pub fn peer(&self) -> &Hello {
        &self.shared.peer
    }

    /// Whether the link is up.
    pub fn is_up(&self) -> bool {
        !*self.shared.lost.borrow()
    }

    /// Whether the peer has announced that it leaves, or is not ready.
    pub fn takes_new_work(&self) -> bool {
        self.is_up() && !self.shared.going_away.get() && self.shared.ready.get()
    }

    /// Nodes that the peer has told of.
    pub fn peers(&self) -> Peers {
        self.shared.peers.borrow().clone()
    }

    /// Last load that the peer has told of.
    pub fn load(&self) -> Option<NodeLoad> {
        self.shared.load.borrow().clone()
    }

    /// Closes the link; all of its streams end.
    pub fn close(&self) {
        self.shared.lost.send_replace(true);
    }

    /// Reads the last load that the peer has told of, without copying it.
    pub fn read_load<R>(&self, reader: impl FnOnce(Option<&NodeLoad>) -> R) -> R {
        reader(self.shared.load.borrow().as_ref())
    }

    /// Number of streams that are open on this link.
    pub fn open_streams(&self) -> usize {
        self.shared.streams.borrow().len()
    }

    /// Resolves when the link is lost.
    pub async fn wait_lost(&self) {
        let mut lost = self.shared.lost.subscribe();
        let _ = lost.wait_for(|lost| *lost).await;
    }

    /// Opens a stream with its first frame.
    pub fn open(&self, body: frame::Body) -> Result<ClientStream, LinkError> {
        if !self.is_up() {
            return Err(LinkError::Connect {
                address: self.shared.peer.id.clone(),
                reason: "the link is down".to_owned(),
            });
        }
        let id = self.shared.next_stream.get();
        self.shared.next_stream.set(id + 1);
        let (sender, receiver) = mpsc::unbounded_channel();
        self.shared.streams.borrow_mut().insert(id, sender);
        let stream = ClientStream {
            id,
            link: self.clone(),
            receiver,
        };
        stream.send(body)?;
        Ok(stream)
    }
}

impl LinkShared {
    fn receive(&self, received: Frame) {
        let Some(body) = received.body else { return };
        if received.stream != 0 {
            if let Some(sender) = self.streams.borrow().get(&received.stream) {
                let _ = sender.send(body);
            }
            return;
        }
        match body {
            frame::Body::GoAway(_) => self.going_away.set(true),
            frame::Body::Pong(pong) => self.ready.set(pong.ready),
            frame::Body::Peers(peers) => *self.peers.borrow_mut() = peers,
            frame::Body::Load(load) => *self.load.borrow_mut() = Some(load),
            _ => {}
        }
    }
}

/// The opening end of one stream. Dropping it forgets the stream; it sends no Cancel by itself.
pub struct ClientStream {
    id: u64,
    link: Link,
    receiver: StreamReceiver,
}

impl ClientStream {
    /// Sends a frame on this stream.
    pub fn send(&self, body: frame::Body) -> Result<(), LinkError> {
        let frame = Frame {
            stream: self.id,
            body: Some(body),
        };
        self.link
            .shared
            .outgoing
            .send(frame)
            .map_err(|_| self.lost())
    }

    /// Next frame of this stream; an error once the link is lost.
    pub async fn receive(&mut self) -> Result<frame::Body, LinkError> {
        self.receiver.recv().await.ok_or_else(|| self.lost())
    }

    fn lost(&self) -> LinkError {
        LinkError::Lost {
            peer: self.link.shared.peer.id.clone(),
        }
    }
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        self.link.shared.streams.borrow_mut().remove(&self.id);
    }
}

/// What the accepting end tells every link.
#[derive(Debug, Clone, Default)]
pub struct Announcement {
    /// The node takes new work.
    pub ready: bool,
    /// The node leaves in this many milliseconds.
    pub go_away_ms: Option<u32>,
    /// Nodes that sidecars may use.
    pub peers: Peers,
    /// The node's load.
    pub load: Option<NodeLoad>,
}

/// The accepting end of links.
pub struct LinkServer {
    /// Hello sent on each link.
    pub hello: Hello,
    /// Bounds and timers.
    pub settings: LinkSettings,
    /// Shaping.
    pub policy: SharedPolicy,
    /// What is announced; a change is sent on every link.
    pub announcement: watch::Receiver<Announcement>,
}

/// One stream opened by a peer.
pub struct ServerStream {
    /// Hello of the peer that opened it.
    pub peer: Rc<Hello>,
    /// First frame.
    pub first: frame::Body,
    /// Frames after the first, and `None` when the peer's link is lost.
    pub receiver: StreamReceiver,
    id: u64,
    outgoing: mpsc::UnboundedSender<Frame>,
}

impl ServerStream {
    /// Sends a frame on this stream; an error once the link is lost.
    pub fn send(&self, body: frame::Body) -> Result<(), LinkError> {
        self.sender().send(body)
    }

    /// A handle that can send on this stream while it is being received from.
    pub fn sender(&self) -> ServerStreamSender {
        ServerStreamSender {
            id: self.id,
            outgoing: self.outgoing.clone(),
            peer: self.peer.clone(),
        }
    }
}

/// Sending half of a [`ServerStream`].
#[derive(Clone)]
pub struct ServerStreamSender {
    id: u64,
    outgoing: mpsc::UnboundedSender<Frame>,
    peer: Rc<Hello>,
}

impl ServerStreamSender {
    /// Sends a frame on this stream; an error once the link is lost.
    pub fn send(&self, body: frame::Body) -> Result<(), LinkError> {
        let frame = Frame {
            stream: self.id,
            body: Some(body),
        };
        self.outgoing.send(frame).map_err(|_| LinkError::Lost {
            peer: self.peer.id.clone(),
        })
    }
}

impl LinkServer {
    /// Accepts links for ever and hands each stream to `handler`, on this arbiter.
    pub async fn serve(
        self: Rc<Self>,
        listener: TcpListener,
        handler: Rc<dyn Fn(ServerStream)>,
    ) -> std::io::Result<()> {
        let open_links = Rc::new(Cell::new(0_usize));
        loop {
            let (socket, from) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    tracing::warn!(%error, "a link could not be accepted");
                    tokio::time::sleep(self.settings.ping_interval).await;
                    continue;
                }
            };
            if open_links.get() >= self.settings.maximum_links {
                continue;
            }
            open_links.set(open_links.get() + 1);
            let (server, handler, open) = (self.clone(), handler.clone(), open_links.clone());
            actix_rt::spawn(async move {
                server.serve_link(socket, from, handler).await;
                open.set(open.get() - 1);
            });
        }
    }

    async fn serve_link(
        &self,
        socket: TcpStream,
        from: SocketAddr,
        handler: Rc<dyn Fn(ServerStream)>,
    ) {
        let _ = socket.set_nodelay(true);
        let mut wired = Framed::new(socket, codec(&self.settings));
        let first = tokio::time::timeout(self.settings.connect_timeout, wired.next()).await;
        let Ok(Some(Ok(bytes))) = first else { return };
        let Ok(Frame {
            body: Some(frame::Body::Hello(peer)),
            ..
        }) = Frame::decode(bytes)
        else {
            tracing::debug!(%from, "a link began without Hello");
            return;
        };
        tokio::time::sleep(self.policy.path(&peer.id).delay).await;
        let hello = link_frame(frame::Body::Hello(self.hello.clone()));
        if send_now(&mut wired, &hello).await.is_err() || peer.protocol != PROTOCOL_VERSION {
            return;
        }
        let peer = Rc::new(peer);
        let (outgoing, queue) = mpsc::unbounded_channel();
        let announcing = actix_rt::spawn(announce(self.announcement.clone(), outgoing.clone()));
        let streams: Rc<RefCell<HashMap<u64, StreamSender>>> = Rc::default();
        let incoming = {
            let (peer, streams) = (peer.clone(), streams.clone());
            move |received: Frame| {
                let Some(body) = received.body else { return };
                if received.stream == 0 {
                    if let frame::Body::Ping(Ping { nonce }) = body {
                        let ready = self.announcement.borrow().ready;
                        let pong = frame::Body::Pong(Pong { nonce, ready });
                        let _ = outgoing.send(link_frame(pong));
                    }
                    return;
                }
                let mut open = streams.borrow_mut();
                if let Some(sender) = open.get(&received.stream) {
                    if sender.send(body).is_err() {
                        open.remove(&received.stream);
                    }
                    return;
                }
                if matches!(body, frame::Body::Cancel(_)) {
                    return;
                }
                open.retain(|_, sender| !sender.is_closed());
                if open.len() >= self.settings.maximum_streams {
                    return;
                }
                let (sender, receiver) = mpsc::unbounded_channel();
                open.insert(received.stream, sender);
                handler(ServerStream {
                    peer: peer.clone(),
                    first: body,
                    receiver,
                    id: received.stream,
                    outgoing: outgoing.clone(),
                });
            }
        };
        run_link(
            wired,
            queue,
            &self.settings,
            &self.policy,
            &peer.id,
            incoming,
        )
        .await;
        announcing.abort();
        streams.borrow_mut().clear();
    }
}

async fn announce(
    mut announcement: watch::Receiver<Announcement>,
    outgoing: mpsc::UnboundedSender<Frame>,
) {
    loop {
        let current = announcement.borrow_and_update().clone();
        let mut bodies = vec![frame::Body::Peers(current.peers)];
        bodies.extend(current.load.map(frame::Body::Load));
        bodies.extend(
            current
                .go_away_ms
                .map(|leave_in_ms| frame::Body::GoAway(GoAway { leave_in_ms })),
        );
        bodies.push(frame::Body::Pong(Pong {
            nonce: 0,
            ready: current.ready,
        }));
        for body in bodies {
            if outgoing.send(link_frame(body)).is_err() {
                return;
            }
        }
        if announcement.changed().await.is_err() {
            return;
        }
    }
}

fn link_frame(body: frame::Body) -> Frame {
    Frame {
        stream: 0,
        body: Some(body),
    }
}

async fn send_now(wired: &mut Wired, frame: &Frame) -> Result<(), String> {
    wired
        .send(Bytes::from(frame.encode_to_vec()))
        .await
        .map_err(|error| error.to_string())
}

/// Moves frames both ways until the link is lost or the local queue is closed.
async fn run_link(
    wired: Wired,
    queue: mpsc::UnboundedReceiver<Frame>,
    settings: &LinkSettings,
    policy: &SharedPolicy,
    peer: &str,
    incoming: impl Fn(Frame),
) {
    let (sink, mut source) = wired.split();
    let sending = send_frames(sink, queue, settings, policy, peer);
    let receiving = async {
        loop {
            match tokio::time::timeout(settings.idle_timeout, source.next()).await {
                Ok(Some(Ok(bytes))) => match Frame::decode(bytes) {
                    Ok(received) => incoming(received),
                    Err(_) => return,
                },
                _ => return,
            }
        }
    };
    tokio::select! {
        () = sending => {}
        () = receiving => {}
    }
}

type Sink = futures::stream::SplitSink<Wired, Bytes>;

/// Sends queued frames in order, each after the path's delay; holds all of them while it is cut.
async fn send_frames(
    mut sink: Sink,
    mut queue: mpsc::UnboundedReceiver<Frame>,
    settings: &LinkSettings,
    policy: &SharedPolicy,
    peer: &str,
) {
    let (delayed_sender, mut delayed) = mpsc::unbounded_channel::<(Instant, Bytes)>();
    let accept = async {
        let mut pings = tokio::time::interval(settings.ping_interval);
        loop {
            let frame = tokio::select! {
                queued = queue.recv() => match queued { Some(frame) => frame, None => return },
                _ = pings.tick() => link_frame(frame::Body::Ping(Ping { nonce: 0 })),
            };
            let mut bytes = BytesMut::with_capacity(frame.encoded_len());
            if frame.encode(&mut bytes).is_err() {
                return;
            }
            let due = Instant::now() + policy.path(peer).delay;
            if delayed_sender.send((due, bytes.freeze())).is_err() {
                return;
            }
        }
    };
    let deliver = async {
        while let Some((due, bytes)) = delayed.recv().await {
            if due > Instant::now() {
                tokio::time::sleep_until(due).await;
            }
            while policy.path(peer).cut {
                tokio::time::sleep(settings.ping_interval / 4).await;
            }
            if sink.feed(bytes).await.is_err() {
                return;
            }
            while let Ok((due, bytes)) = delayed.try_recv() {
                if due > Instant::now() {
                    if sink.flush().await.is_err() {
                        return;
                    }
                    tokio::time::sleep_until(due).await;
                }
                if sink.feed(bytes).await.is_err() {
                    return;
                }
            }
            if sink.flush().await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = accept => {}
        () = deliver => {}
    }
}

impl From<&dappleyard_settings::LinkBounds> for LinkSettings {
    fn from(bounds: &dappleyard_settings::LinkBounds) -> Self {
        Self {
            connect_timeout: Duration::from_millis(bounds.connect_timeout_ms),
            ping_interval: Duration::from_millis(bounds.ping_interval_ms),
            idle_timeout: Duration::from_millis(bounds.idle_timeout_ms),
            maximum_frame_bytes: bounds.maximum_frame_bytes,
            maximum_streams: bounds.maximum_streams,
            maximum_links: bounds.maximum_links,
        }
    }
}
