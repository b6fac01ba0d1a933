//! A link server on a free port and a link policy that tests can change.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use dappleyard_transport::link::{Announcement, LinkServer, LinkSettings, ServerStream};
use dappleyard_transport::policy::{LinkPolicy, PathState};
use dappleyard_transport::{Link, LinkError, RequestGate};
use dappleyard_wire::PROTOCOL_VERSION;
use dappleyard_wire::messages::{Call, Chunk, Frame, Hello, ListModels, call, frame};
use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{oneshot, watch};

/// A policy with one state for all paths, which the test can change.
#[derive(Debug)]
pub struct AdjustablePolicy(Mutex<PathState>);

impl AdjustablePolicy {
    pub fn direct() -> Arc<Self> {
        Arc::new(Self(Mutex::new(PathState::DIRECT)))
    }

    pub fn set(&self, change: impl FnOnce(&mut PathState)) {
        change(&mut self.0.lock().unwrap());
    }
}

impl LinkPolicy for AdjustablePolicy {
    fn path(&self, _peer: &str) -> PathState {
        *self.0.lock().unwrap()
    }
}

pub struct TestServer {
    pub address: SocketAddr,
    pub announcement: watch::Sender<Announcement>,
    pub settings: LinkSettings,
    pub policy: Arc<AdjustablePolicy>,
    pub gate: Arc<RequestGate>,
    /// Ends the server when it is dropped.
    pub ending: oneshot::Sender<()>,
    pub serving: actix_rt::task::JoinHandle<()>,
}

pub fn settings() -> LinkSettings {
    LinkSettings {
        maximum_frame_bytes: 64 * 1024,
        ..LinkSettings::default()
    }
}

pub fn hello(id: &str) -> Hello {
    Hello {
        protocol: PROTOCOL_VERSION,
        id: id.to_owned(),
        ..Hello::default()
    }
}

pub async fn serve(settings: LinkSettings, handler: Rc<dyn Fn(ServerStream)>) -> TestServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (announcement, receiver) = watch::channel(Announcement {
        ready: true,
        ..Announcement::default()
    });
    let policy = AdjustablePolicy::direct();
    let gate = RequestGate::new();
    let server = Rc::new(LinkServer {
        hello: hello("server"),
        settings: settings.clone(),
        policy: policy.clone(),
        announcement: receiver,
        gate: gate.clone(),
    });
    let (ending, ended) = oneshot::channel();
    let serving = actix_rt::spawn(async move {
        let ending = async {
            let _ = ended.await;
        };
        server.serve_until(ending, listener, handler).await;
    });
    TestServer {
        address,
        announcement,
        settings,
        policy,
        gate,
        ending,
        serving,
    }
}

/// A server that sends one chunk on each stream and then echoes every frame.
pub async fn echo_server(settings: LinkSettings) -> TestServer {
    let handler = Rc::new(|mut stream: ServerStream| {
        actix_rt::spawn(async move {
            let _ = stream.send(chunk(1));
            while let Some(body) = stream.receiver.recv().await {
                let _ = stream.send(body);
            }
        });
    });
    serve(settings, handler).await
}

impl TestServer {
    /// Ends the server as a planned stop does.
    pub async fn end(self) {
        drop(self.ending);
        self.serving.await.unwrap();
    }

    pub async fn dial(&self) -> Result<Link, LinkError> {
        self.dial_through(AdjustablePolicy::direct()).await
    }

    pub async fn dial_through(&self, policy: Arc<AdjustablePolicy>) -> Result<Link, LinkError> {
        let address = self.address.to_string();
        Link::connect(&address, hello("client"), &settings(), policy).await
    }

    pub fn closed(&self, reason: &str) -> u64 {
        self.settings
            .metrics
            .closed
            .with_label_values(&[reason])
            .get()
    }

    pub fn rejected(&self, reason: &str) -> u64 {
        self.settings
            .metrics
            .rejected
            .with_label_values(&[reason])
            .get()
    }
}

pub fn chunk(pieces: usize) -> frame::Body {
    frame::Body::Chunk(Chunk {
        offset: 0,
        pieces: vec!["piece".to_owned(); pieces],
    })
}

pub fn submit() -> frame::Body {
    frame::Body::Call(Call {
        budget_ms: 1_000,
        method: Some(call::Method::ListModels(ListModels::default())),
    })
}

/// Polls until the condition holds; the test runner's timeout applies.
pub async fn wait_until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Encodes a frame with its length prefix.
pub fn encode_frame(stream: u64, body: frame::Body) -> Vec<u8> {
    let frame = Frame {
        stream,
        body: Some(body),
    };
    let bytes = frame.encode_to_vec();
    let mut encoded = u32::try_from(bytes.len()).unwrap().to_be_bytes().to_vec();
    encoded.extend_from_slice(&bytes);
    encoded
}

/// A peer without a session: it reads only when asked to.
pub struct RawPeer {
    pub socket: TcpStream,
}

impl RawPeer {
    /// Receive buffer of the socket, bytes.
    const RECEIVE_BUFFER_BYTES: u32 = 4_096;

    pub async fn connect(server: &TestServer) -> RawPeer {
        let socket = TcpSocket::new_v4().unwrap();
        socket
            .set_recv_buffer_size(Self::RECEIVE_BUFFER_BYTES)
            .unwrap();
        let socket = socket.connect(server.address).await.unwrap();
        let mut peer = RawPeer { socket };
        peer.send(0, frame::Body::Hello(hello("raw"))).await;
        peer.receive().await.unwrap();
        peer
    }

    pub async fn send(&mut self, stream: u64, body: frame::Body) {
        let bytes = encode_frame(stream, body);
        self.socket.write_all(&bytes).await.unwrap();
    }

    async fn receive(&mut self) -> std::io::Result<Frame> {
        let mut bytes = vec![0_u8; self.socket.read_u32().await? as usize];
        self.socket.read_exact(&mut bytes).await?;
        Ok(Frame::decode(&*bytes)?)
    }

    /// Reads until the server closes its side, and returns the number of chunks.
    pub async fn chunks_until_end(&mut self) -> std::io::Result<u64> {
        let mut chunks = 0;
        loop {
            match self.receive().await {
                Ok(received) => {
                    chunks += u64::from(matches!(received.body, Some(frame::Body::Chunk(_))));
                }
                Err(error) if error.kind() == std::io::ErrorKind::UnexpectedEof => {
                    return Ok(chunks);
                }
                Err(error) => return Err(error),
            }
        }
    }
}
