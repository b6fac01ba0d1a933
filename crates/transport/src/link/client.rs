//! The dialling end of a link.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use dappleyard_wire::PROTOCOL_VERSION;
use dappleyard_wire::messages::{Frame, Hello, NodeLoad, Peers, frame};
use futures::StreamExt;
use prost::Message;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::codec::Framed;

use super::LinkError;
use super::outgoing::Outgoing;
use super::session::{FramedConnection, Session, send_now};
use super::settings::LinkSettings;
use super::stream::{StreamReceiver, StreamTable};
use crate::policy::SharedPolicy;

/// The dialling end of a link. Cloning shares the link; it is closed when the last clone and the
/// last of its streams are dropped. Not `Send`: one for each worker thread.
#[derive(Clone)]
pub struct Link {
    shared: Rc<LinkShared>,
}

struct LinkShared {
    peer: Hello,
    outgoing: Rc<Outgoing>,
    peer_status: Rc<PeerStatus>,
    streams: Rc<StreamTable>,
    next_stream: Cell<u64>,
    lost: watch::Receiver<bool>,
}

/// Latest status announced by the peer.
struct PeerStatus {
    going_away: Cell<bool>,
    ready: Cell<bool>,
    peers: RefCell<Peers>,
    load: RefCell<Option<NodeLoad>>,
}

/// Signal of a link's loss that does not keep the link open.
pub struct LossSignal(watch::Receiver<bool>);

impl LossSignal {
    /// Resolves when the link is lost.
    pub async fn wait(mut self) {
        let _ = self.0.wait_for(|lost| *lost).await;
    }
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
        let handshake = exchange_hello(address, hello, settings, &policy);
        let (connection, peer) = tokio::time::timeout(settings.connect_timeout, handshake)
            .await
            .map_err(|_| failed("timed out".to_owned()))?
            .map_err(failed)?;
        Ok(Link::start(
            address.to_owned(),
            connection,
            peer,
            settings.clone(),
            policy,
        ))
    }

    fn start(
        address: String,
        connection: FramedConnection,
        peer: Hello,
        settings: LinkSettings,
        policy: SharedPolicy,
    ) -> Link {
        let (outgoing, queue) = Outgoing::new(&address, &settings, policy.clone());
        let (lost_sender, lost) = watch::channel(false);
        let streams = StreamTable::new(settings.maximum_stream_bytes);
        let peer_status = Rc::new(PeerStatus {
            going_away: Cell::new(false),
            ready: Cell::new(true),
            peers: RefCell::default(),
            load: RefCell::default(),
        });
        let shared = Rc::new(LinkShared {
            peer,
            outgoing,
            peer_status: peer_status.clone(),
            streams: streams.clone(),
            next_stream: Cell::new(1),
            lost,
        });
        actix_rt::spawn(async move {
            let session = Session {
                settings: &settings,
                policy: &policy,
                peer: &address,
            };
            let on_frame = |received: Frame, size: usize| {
                let Some(body) = received.body else { return };
                if received.stream == 0 {
                    peer_status.apply_update(body);
                } else {
                    let _ = streams.deliver(received.stream, body, size);
                }
            };
            let ending = std::future::pending();
            session.run(connection, queue, ending, on_frame).await;
            lost_sender.send_replace(true);
            streams.clear();
        });
        Link { shared }
    }

    /// Hello of the peer.
    pub fn peer(&self) -> &Hello {
        &self.shared.peer
    }

    /// Whether the link is connected.
    pub fn is_up(&self) -> bool {
        !*self.shared.lost.borrow()
    }

    /// Whether the link is connected and the peer accepts new work.
    pub fn takes_new_work(&self) -> bool {
        let peer_status = &self.shared.peer_status;
        self.is_up() && !peer_status.going_away.get() && peer_status.ready.get()
    }

    /// Nodes announced by the peer.
    pub fn peers(&self) -> Peers {
        self.shared.peer_status.peers.borrow().clone()
    }

    /// Reads the nodes announced by the peer without copying them.
    pub fn read_peers<R>(&self, reader: impl FnOnce(&Peers) -> R) -> R {
        reader(&self.shared.peer_status.peers.borrow())
    }

    /// Latest load announced by the peer.
    pub fn load(&self) -> Option<NodeLoad> {
        self.shared.peer_status.load.borrow().clone()
    }

    /// Reads the latest load announced by the peer without copying it.
    pub fn read_load<R>(&self, reader: impl FnOnce(Option<&NodeLoad>) -> R) -> R {
        reader(self.shared.peer_status.load.borrow().as_ref())
    }

    /// Number of open streams.
    pub fn open_streams(&self) -> usize {
        self.shared.streams.len()
    }

    /// Closes the link; its streams end with [`LinkError::Lost`].
    pub fn close(&self) {
        self.shared.outgoing.close();
    }

    /// Resolves when the link is lost.
    pub async fn wait_lost(&self) {
        self.loss_signal().wait().await;
    }

    /// Returns a signal of the link's loss.
    pub fn loss_signal(&self) -> LossSignal {
        LossSignal(self.shared.lost.clone())
    }

    /// Opens a stream and sends its first frame.
    pub fn open(&self, body: frame::Body) -> Result<ClientStream, LinkError> {
        if !self.is_up() {
            return Err(LinkError::Connect {
                address: self.shared.peer.id.clone(),
                reason: "the link is down".to_owned(),
            });
        }
        let id = self.shared.next_stream.get();
        self.shared.next_stream.set(id + 1);
        let stream = ClientStream {
            id,
            receiver: self.shared.streams.insert(id),
            link: self.clone(),
        };
        stream.send(body)?;
        Ok(stream)
    }
}

async fn exchange_hello(
    address: &str,
    hello: Hello,
    settings: &LinkSettings,
    policy: &SharedPolicy,
) -> Result<(FramedConnection, Hello), String> {
    while policy.path(address).cut {
        tokio::time::sleep(settings.ping_interval).await;
    }
    let socket = TcpStream::connect(address)
        .await
        .map_err(|error| error.to_string())?;
    let _ = socket.set_nodelay(true);
    let mut connection = Framed::new(socket, settings.codec());
    tokio::time::sleep(policy.path(address).delay).await;
    send_now(&mut connection, frame::Body::Hello(hello)).await?;
    let answer = connection.next().await;
    let peer = match answer.map(|read| read.map(Frame::decode)) {
        Some(Ok(Ok(Frame {
            body: Some(frame::Body::Hello(peer)),
            ..
        }))) => peer,
        _ => return Err("peer did not answer with Hello".to_owned()),
    };
    if peer.protocol != PROTOCOL_VERSION {
        return Err(format!("unsupported protocol version {}", peer.protocol));
    }
    Ok((connection, peer))
}

impl PeerStatus {
    fn apply_update(&self, body: frame::Body) {
        match body {
            frame::Body::GoAway(_) => self.going_away.set(true),
            frame::Body::Pong(pong) => {
                self.ready.set(pong.ready);
                // A ready pong after GoAway means that the drain was cancelled.
                self.going_away.set(self.going_away.get() && !pong.ready);
            }
            frame::Body::Peers(peers) => *self.peers.borrow_mut() = peers,
            frame::Body::Load(load) => *self.load.borrow_mut() = Some(load),
            _ => {}
        }
    }
}

/// The opening end of one stream. Dropping it removes the stream without sending Cancel.
pub struct ClientStream {
    id: u64,
    receiver: StreamReceiver,
    link: Link,
}

impl ClientStream {
    /// Sends a frame on this stream.
    pub fn send(&self, body: frame::Body) -> Result<(), LinkError> {
        if !self.link.is_up() {
            return Err(self.lost());
        }
        self.link.shared.outgoing.send(self.id, body)
    }

    /// Receives the next frame; an error once the link is lost.
    pub async fn receive(&mut self) -> Result<frame::Body, LinkError> {
        self.receiver.recv().await.ok_or_else(|| self.lost())
    }

    fn lost(&self) -> LinkError {
        LinkError::Lost {
            peer: self.link.shared.peer.id.clone(),
        }
    }
}
