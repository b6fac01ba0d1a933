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
use super::session::{Session, Wired, send_now};
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
    told: Rc<Told>,
    streams: Rc<StreamTable>,
    next_stream: Cell<u64>,
    lost: watch::Receiver<bool>,
}

/// What the peer has told about itself.
struct Told {
    going_away: Cell<bool>,
    ready: Cell<bool>,
    peers: RefCell<Peers>,
    load: RefCell<Option<NodeLoad>>,
}

/// Tells when a link is lost, without keeping it open.
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
        let handshake = shake_hands(address, hello, settings, &policy);
        let (wired, peer) = tokio::time::timeout(settings.connect_timeout, handshake)
            .await
            .map_err(|_| failed("timed out".to_owned()))?
            .map_err(failed)?;
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
        let (outgoing, queue) = Outgoing::new(&address, &settings, policy.clone());
        let (lost_sender, lost) = watch::channel(false);
        let streams = StreamTable::new(settings.maximum_stream_bytes);
        let told = Rc::new(Told {
            going_away: Cell::new(false),
            ready: Cell::new(true),
            peers: RefCell::default(),
            load: RefCell::default(),
        });
        let shared = Rc::new(LinkShared {
            peer,
            outgoing,
            told: told.clone(),
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
            let incoming = |received: Frame, size: usize| {
                let Some(body) = received.body else { return };
                if received.stream == 0 {
                    told.hear(body);
                } else {
                    let _ = streams.deliver(received.stream, body, size);
                }
            };
            session.run(wired, queue, incoming).await;
            lost_sender.send_replace(true);
            streams.clear();
        });
        Link { shared }
    }

    /// Hello of the other end.
    pub fn peer(&self) -> &Hello {
        &self.shared.peer
    }

    /// Whether the link is up.
    pub fn is_up(&self) -> bool {
        !*self.shared.lost.borrow()
    }

    /// Whether the link is up and the peer takes new work.
    pub fn takes_new_work(&self) -> bool {
        let told = &self.shared.told;
        self.is_up() && !told.going_away.get() && told.ready.get()
    }

    /// Nodes that the peer has told of.
    pub fn peers(&self) -> Peers {
        self.shared.told.peers.borrow().clone()
    }

    /// Reads the nodes that the peer has told of, without copying them.
    pub fn read_peers<R>(&self, reader: impl FnOnce(&Peers) -> R) -> R {
        reader(&self.shared.told.peers.borrow())
    }

    /// Last load that the peer has told of.
    pub fn load(&self) -> Option<NodeLoad> {
        self.shared.told.load.borrow().clone()
    }

    /// Reads the last load that the peer has told of, without copying it.
    pub fn read_load<R>(&self, reader: impl FnOnce(Option<&NodeLoad>) -> R) -> R {
        reader(self.shared.told.load.borrow().as_ref())
    }

    /// Number of streams that are open on this link.
    pub fn open_streams(&self) -> usize {
        self.shared.streams.len()
    }

    /// Closes the link; its streams end as with a link that was lost.
    pub fn close(&self) {
        self.shared.outgoing.close();
    }

    /// Resolves when the link is lost.
    pub async fn wait_lost(&self) {
        self.loss_signal().wait().await;
    }

    /// A signal of the link's loss that does not keep the link open.
    pub fn loss_signal(&self) -> LossSignal {
        LossSignal(self.shared.lost.clone())
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
        let stream = ClientStream {
            id,
            receiver: self.shared.streams.insert(id),
            link: self.clone(),
        };
        stream.send(body)?;
        Ok(stream)
    }
}

async fn shake_hands(
    address: &str,
    hello: Hello,
    settings: &LinkSettings,
    policy: &SharedPolicy,
) -> Result<(Wired, Hello), String> {
    while policy.path(address).cut {
        tokio::time::sleep(settings.ping_interval).await;
    }
    let socket = TcpStream::connect(address)
        .await
        .map_err(|error| error.to_string())?;
    let _ = socket.set_nodelay(true);
    let mut wired = Framed::new(socket, settings.codec());
    tokio::time::sleep(policy.path(address).delay).await;
    send_now(&mut wired, frame::Body::Hello(hello)).await?;
    let answer = wired.next().await;
    let peer = match answer.map(|read| read.map(Frame::decode)) {
        Some(Ok(Ok(Frame {
            body: Some(frame::Body::Hello(peer)),
            ..
        }))) => peer,
        _ => return Err("no Hello in answer".to_owned()),
    };
    if peer.protocol != PROTOCOL_VERSION {
        return Err(format!("peer speaks protocol {}", peer.protocol));
    }
    Ok((wired, peer))
}

impl Told {
    fn hear(&self, body: frame::Body) {
        match body {
            frame::Body::GoAway(_) => self.going_away.set(true),
            frame::Body::Pong(pong) => {
                self.ready.set(pong.ready);
                // A peer that takes new work again no longer goes away: its drain was taken back.
                self.going_away.set(self.going_away.get() && !pong.ready);
            }
            frame::Body::Peers(peers) => *self.peers.borrow_mut() = peers,
            frame::Body::Load(load) => *self.load.borrow_mut() = Some(load),
            _ => {}
        }
    }
}

/// The opening end of one stream. Dropping it forgets the stream; it sends no Cancel by itself.
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
