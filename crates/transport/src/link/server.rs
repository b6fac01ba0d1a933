//! The accepting end of links.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use dappleyard_wire::messages::{Frame, Hello, Ping, Pong, Reply, frame};
use dappleyard_wire::{ErrorKind, Failure, PROTOCOL_VERSION, Ran};
use futures::StreamExt;
use prost::Message;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::codec::Framed;

use super::LinkError;
use super::announce::{Announcement, announce};
use super::outgoing::Outgoing;
use super::session::{END_TIMEOUT, FramedConnection, Session, send_now};
use super::settings::LinkSettings;
use super::stream::{Delivery, StreamReceiver, StreamTable};
use crate::gate::{RequestGate, RequestGuard};
use crate::panics::catch_panic;
use crate::policy::SharedPolicy;

/// Retry delay advised to a peer whose stream was refused, milliseconds.
const REFUSED_RETRY_AFTER_MS: u32 = 200;

/// The accepting end of links.
pub struct LinkServer {
    /// Hello sent on each link.
    pub hello: Hello,
    /// Limits and timeouts.
    pub settings: LinkSettings,
    /// Traffic shaping.
    pub policy: SharedPolicy,
    /// Status to announce; changes are sent on every link.
    pub announcement: watch::Receiver<Announcement>,
    /// Admits streams, and counts each until its last frame is flushed.
    pub gate: Arc<RequestGate>,
}

/// One stream opened by a peer.
pub struct ServerStream {
    /// Hello of the peer that opened it.
    pub peer: Rc<Hello>,
    /// First frame: a Submit or a Call.
    pub first: frame::Body,
    /// Receiver of the frames after the first.
    pub receiver: StreamReceiver,
    id: u64,
    outgoing: Rc<Outgoing>,
    guard: RequestGuard,
}

impl ServerStream {
    /// Sends a frame on this stream; an error once the link is lost.
    pub fn send(&self, body: frame::Body) -> Result<(), LinkError> {
        self.sender().send(body)
    }

    /// Sends the handler's reply or failure as the last frame; a failure as well if it panics.
    pub async fn answer(self, handler: impl Future<Output = Result<Reply, Failure>>) {
        let body = match catch_panic(handler).await.flatten() {
            Ok(reply) => frame::Body::Reply(reply),
            Err(failure) => frame::Body::Refused(failure.to_refused()),
        };
        let _ = self.send(body);
    }

    /// Returns a sender that is independent of the receiver.
    pub fn sender(&self) -> ServerStreamSender {
        ServerStreamSender {
            id: self.id,
            outgoing: self.outgoing.clone(),
            guard: self.guard.clone(),
        }
    }
}

/// Sending half of a [`ServerStream`].
#[derive(Clone)]
pub struct ServerStreamSender {
    id: u64,
    outgoing: Rc<Outgoing>,
    guard: RequestGuard,
}

impl ServerStreamSender {
    /// Sends a frame on this stream; an error once the link is lost. An oversize frame is replaced by a
    /// Refused frame, so that the peer does not wait for the answer.
    pub fn send(&self, body: frame::Body) -> Result<(), LinkError> {
        let sent = self.send_counted(body);
        if let Err(LinkError::TooLarge { bytes }) = &sent {
            let message =
                format!("the answer has a frame of {bytes} bytes, more than a link carries");
            let failure = Failure::maybe_ran(ErrorKind::Internal, message);
            let _ = self.send_counted(frame::Body::Refused(failure.to_refused()));
        }
        sent
    }

    fn send_counted(&self, body: frame::Body) -> Result<(), LinkError> {
        let guard = Some(self.guard.clone());
        self.outgoing.send_counted(self.id, body, guard)
    }
}

impl LinkServer {
    /// Accepts links and passes each stream to `handler` on this arbiter. Dropping the future closes
    /// all links.
    pub async fn serve(
        self: Rc<Self>,
        listener: TcpListener,
        handler: Rc<dyn Fn(ServerStream)>,
    ) -> std::io::Result<()> {
        let never = std::future::pending();
        self.serve_until(never, listener, handler).await;
        Ok(())
    }

    /// Serves until `ending` resolves; then ends each link once its queued frames are sent, and returns
    /// when the peers have closed their sides, or after [`END_TIMEOUT`].
    pub async fn serve_until(
        self: Rc<Self>,
        ending: impl Future<Output = ()>,
        listener: TcpListener,
        handler: Rc<dyn Fn(ServerStream)>,
    ) {
        let end = watch::Sender::new(false);
        let mut links = JoinSet::new();
        let mut ending = std::pin::pin!(ending);
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                Some(_) = links.join_next() => continue,
                () = &mut ending => break,
            };
            match accepted {
                Ok(_) if links.len() >= self.settings.maximum_links => {
                    self.settings.metrics.count_rejected("too_many");
                }
                Ok((socket, from)) => {
                    let (server, handler) = (self.clone(), handler.clone());
                    let end = end.subscribe();
                    links.spawn_local(server.serve_link(socket, from, handler, end));
                }
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a link");
                    tokio::time::sleep(self.settings.ping_interval).await;
                }
            }
        }
        drop(listener);
        end.send_replace(true);
        let ended = async { while links.join_next().await.is_some() {} };
        let _ = tokio::time::timeout(END_TIMEOUT, ended).await;
    }

    async fn serve_link(
        self: Rc<Self>,
        socket: TcpStream,
        from: SocketAddr,
        handler: Rc<dyn Fn(ServerStream)>,
        end: watch::Receiver<bool>,
    ) {
        let _ = socket.set_nodelay(true);
        let mut connection = Framed::new(socket, self.settings.hello_codec());
        let hello = tokio::select! {
            hello = self.exchange_hello(&mut connection) => hello,
            () = wait_for_end(end.clone()) => return,
        };
        let peer = match hello {
            Ok(peer) => Rc::new(peer),
            Err(reason) => {
                self.settings.metrics.count_rejected(reason);
                tracing::debug!(%from, reason, "link rejected");
                return;
            }
        };
        let maximum_bytes = self.settings.maximum_frame_bytes;
        connection.codec_mut().allow(maximum_bytes);
        let (outgoing, queue) = Outgoing::new(&peer.id, &self.settings, self.policy.clone());
        let announce_task = actix_rt::spawn(announce(self.announcement.clone(), outgoing.clone()));
        let accepted = AcceptedLink {
            server: &self,
            peer: peer.clone(),
            streams: StreamTable::new(self.settings.maximum_stream_bytes),
            outgoing,
            last_opened: Cell::new(0),
            handler,
        };
        let session = Session {
            settings: &self.settings,
            policy: &self.policy,
            peer: &peer.id,
        };
        let on_frame = |received: Frame, size: usize| accepted.receive(received, size);
        let ending = wait_for_end(end);
        session.run(connection, queue, ending, on_frame).await;
        announce_task.abort();
        accepted.streams.clear();
    }

    async fn exchange_hello(
        &self,
        connection: &mut FramedConnection,
    ) -> Result<Hello, &'static str> {
        let first = tokio::time::timeout(self.settings.connect_timeout, connection.next()).await;
        let bytes = match first {
            Err(_) => return Err("no_hello_in_time"),
            Ok(None) => return Err("closed"),
            Ok(Some(Err(_))) => return Err("garbage"),
            Ok(Some(Ok(bytes))) => bytes,
        };
        let Ok(Frame {
            body: Some(frame::Body::Hello(peer)),
            ..
        }) = Frame::decode(bytes)
        else {
            return Err("garbage");
        };
        tokio::time::sleep(self.policy.path(&peer.id).delay).await;
        let hello = frame::Body::Hello(self.hello.clone());
        send_now(connection, hello).await.map_err(|_| "closed")?;
        if peer.protocol != PROTOCOL_VERSION {
            return Err("protocol");
        }
        Ok(peer)
    }
}

struct AcceptedLink<'a> {
    server: &'a LinkServer,
    peer: Rc<Hello>,
    streams: Rc<StreamTable>,
    outgoing: Rc<Outgoing>,
    last_opened: Cell<u64>,
    handler: Rc<dyn Fn(ServerStream)>,
}

impl AcceptedLink<'_> {
    fn receive(&self, received: Frame, size: usize) {
        let Some(body) = received.body else { return };
        if received.stream == 0 {
            return self.receive_on_link(&body);
        }
        let opens = matches!(body, frame::Body::Submit(_) | frame::Body::Call(_));
        if opens && received.stream > self.last_opened.get() {
            self.last_opened.set(received.stream);
            return self.open(received.stream, body);
        }
        let metrics = &self.server.settings.metrics;
        match self.streams.deliver(received.stream, body, size) {
            Delivery::Delivered => {}
            Delivery::Unknown => metrics.count_dropped("no_stream"),
            Delivery::Overflow => metrics.count_dropped("stream_not_read"),
        }
    }

    fn receive_on_link(&self, body: &frame::Body) {
        if let frame::Body::Ping(Ping { nonce }) = body {
            let ready = self.server.announcement.borrow().takes_new_work();
            let pong = Pong {
                nonce: *nonce,
                ready,
            };
            let _ = self.outgoing.send(0, frame::Body::Pong(pong));
        }
    }

    fn open(&self, id: u64, first: frame::Body) {
        if self.streams.len() >= self.server.settings.maximum_streams {
            self.server.settings.metrics.streams_refused.inc();
            let message = "too many streams are open on this link";
            return self.refuse(id, &Failure::not_run(ErrorKind::Overloaded, message));
        }
        let Some(guard) = self.server.gate.enter() else {
            let message = "the node stops; use another node";
            let failure = Failure::not_run(ErrorKind::NotReady, message);
            return self.refuse(id, &failure.after(ran_before(&first)));
        };
        (self.handler)(ServerStream {
            peer: self.peer.clone(),
            first,
            receiver: self.streams.insert(id),
            id,
            outgoing: self.outgoing.clone(),
            guard,
        });
    }

    fn refuse(&self, id: u64, failure: &Failure) {
        let refused = failure.clone().retry_after(REFUSED_RETRY_AFTER_MS);
        let body = frame::Body::Refused(refused.to_refused());
        let _ = self.outgoing.send(id, body);
    }
}

async fn wait_for_end(mut end: watch::Receiver<bool>) {
    let _ = end.wait_for(|ended| *ended).await;
}

/// Whether earlier attempts of a submission ran.
fn ran_before(first: &frame::Body) -> Ran {
    match first {
        frame::Body::Submit(submit) => submit.ran_before(),
        _ => Ran::No,
    }
}
