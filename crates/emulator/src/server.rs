//! Model server on loopback with scripted answers, byte for byte.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Bytes without end come in pieces of at least this size, at this interval.
const ENDLESS_PIECE_BYTES: usize = 64 * 1024;
const ENDLESS_INTERVAL: Duration = Duration::from_millis(1);

/// One step of a scripted answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Sends bytes; `{id}` is replaced by the request identifier.
    Send(String),
    /// The same, on a connection that has carried an earlier request.
    SendIfReused(String),
    /// Sends one chunk of a chunked body with the events up to `to`, from the one after `Last-Event-Id`. The data of an
    /// event names the server's software version.
    Events { version: &'static str, to: u64 },
    /// Sends the bare bytes of the events up to `to`, from the one after `Last-Event-Id`.
    BareEvents { to: u64 },
    /// Sends bytes again and again until the peer disconnects; `{n}` is replaced by a number that rises.
    Endless(String),
    /// Waits. Ends the connection if the peer disconnects, and the wait if the peer sends a byte.
    Pause(Duration),
    /// Sends nothing until the peer disconnects or sends a byte, or an hour has passed, and closes the
    /// connection.
    Hang,
    /// Closes the connection.
    Close,
    /// Crashes the server: closes its port and drops all connections.
    Crash,
    /// Drops all connections at once and closes the port after the delay.
    DropThenCrash(Duration),
}

/// An event observed by the server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerEvent {
    /// A complete request: its head and its body.
    Request(String, Vec<u8>),
    /// The peer disconnected during an answer.
    Disconnected,
}

#[derive(Default)]
struct State {
    script: VecDeque<Vec<Reply>>,
    default_reply: Vec<Reply>,
    /// A request body and the answer to it, which precedes the script.
    reply_to_body: Option<(Vec<u8>, Vec<Reply>)>,
    /// Texts of a request head and the answers to requests with them, which precede the script.
    replies_to_head: Vec<(String, Vec<Reply>)>,
    listener: Option<TcpListener>,
    /// Connection tasks.
    tasks: Vec<tokio::task::AbortHandle>,
    ended: bool,
    seen: Vec<ServerEvent>,
    connections: u64,
    /// Number of answers in progress.
    answers_in_progress: usize,
    /// Bytes of endless answers that were sent.
    endless_bytes: usize,
}

impl State {
    /// The answer to a request.
    fn reply_to(&mut self, head: &str, body: &[u8]) -> Vec<Reply> {
        let by_body = self.reply_to_body.iter();
        let mut by_body = by_body.filter(|(told, _)| told == body);
        let by_head = self.replies_to_head.iter();
        let mut by_head = by_head.filter(|(text, _)| head.contains(text));
        if let Some((_, reply)) = by_body.next() {
            return reply.clone();
        }
        if let Some((_, reply)) = by_head.next() {
            return reply.clone();
        }
        let scripted = self.script.pop_front();
        scripted.unwrap_or_else(|| self.default_reply.clone())
    }
}

/// Counts an answer as in progress until dropped.
struct AnswerGuard(Arc<Mutex<State>>);

impl AnswerGuard {
    fn begin(state: &Arc<Mutex<State>>) -> Self {
        state.lock().answers_in_progress += 1;
        Self(state.clone())
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.0.lock().answers_in_progress -= 1;
    }
}

/// A scripted model server.
#[derive(Clone)]
pub struct EmulatedServer {
    address: SocketAddr,
    id_header: String,
    state: Arc<Mutex<State>>,
}

/// Text of the events numbered `from` to `to`, with data `token-N`.
pub fn numbered_events(from: u64, to: u64) -> String {
    (from..=to).map(event_text).collect()
}

/// Text of one event.
pub fn event_text(number: u64) -> String {
    format!("id: {number}\ndata: token-{number}\n\n")
}

/// Text of the events numbered `from` to `to` as a server of the given software version writes them.
pub fn versioned_events(version: &str, from: u64, to: u64) -> String {
    let events = from..=to;
    events
        .map(|number| format!("id: {number}\ndata: {version}-{number}\n\n"))
        .collect()
}

impl EmulatedServer {
    /// Starts a server on a free port; `id_header` names the header with the request identifier.
    pub async fn start(id_header: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Self {
            address: listener.local_addr()?,
            id_header: id_header.to_ascii_lowercase(),
            state: Arc::default(),
        };
        let acceptor = server.clone();
        server.state.lock().listener = Some(listener);
        tokio::task::spawn_local(async move {
            while let Some(stream) = acceptor.accept().await {
                acceptor.state.lock().connections += 1;
                let server = acceptor.clone();
                let serve = tokio::task::spawn_local(async move {
                    // I/O errors only end this connection.
                    let _ = server.serve(stream).await;
                });
                acceptor.state.lock().tasks.push(serve.abort_handle());
            }
        });
        Ok(server)
    }

    /// The listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Appends the answer to one request to the script.
    pub fn push_reply(&self, reply: Vec<Reply>) {
        self.state.lock().script.push_back(reply);
    }

    /// Sets the answer to requests beyond the script.
    pub fn default_reply(&self, reply: Vec<Reply>) {
        self.state.lock().default_reply = reply;
    }

    /// Sets the answer to requests with this body.
    pub fn reply_to_body(&self, body: &[u8], reply: Vec<Reply>) {
        self.state.lock().reply_to_body = Some((body.to_vec(), reply));
    }

    /// Sets the answer to requests whose head contains a text.
    pub fn reply_to_head(&self, text: &str, reply: Vec<Reply>) {
        let mut state = self.state.lock();
        state.replies_to_head.push((text.to_owned(), reply));
    }

    /// Crashes the server: closes its port and drops all connections.
    pub fn crash(&self) {
        self.state.lock().listener = None;
        self.drop_connections();
    }

    /// Drops all connections and leaves the port open.
    pub fn drop_connections(&self) {
        let mut state = self.state.lock();
        state.ended = true;
        state.tasks.drain(..).for_each(|task| task.abort());
    }

    /// The next connection; `None` once the port is closed.
    async fn accept(&self) -> Option<TcpStream> {
        std::future::poll_fn(|context| match &self.state.lock().listener {
            Some(listener) => listener.poll_accept(context).map(Some),
            None => std::task::Poll::Ready(None),
        })
        .await?
        .ok()
        .map(|(stream, _)| stream)
    }

    /// Whether the server crashed or dropped its connections.
    pub fn has_ended(&self) -> bool {
        self.state.lock().ended
    }

    /// Events observed by the server, in order.
    pub fn observed_events(&self) -> Vec<ServerEvent> {
        self.state.lock().seen.clone()
    }

    /// Number of complete requests received.
    pub fn requests(&self) -> usize {
        let state = self.state.lock();
        let requests = state.seen.iter();
        requests
            .filter(|seen| matches!(seen, ServerEvent::Request(..)))
            .count()
    }

    /// Number of answers in progress.
    pub fn answers_in_progress(&self) -> usize {
        self.state.lock().answers_in_progress
    }

    /// Bytes of endless answers that were sent.
    pub fn endless_bytes(&self) -> usize {
        self.state.lock().endless_bytes
    }

    /// Number of accepted connections.
    pub fn connections(&self) -> u64 {
        self.state.lock().connections
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut buffer = Vec::new();
        let mut is_reused = false;
        loop {
            let Some((head, body)) = read_request(&mut stream, &mut buffer).await? else {
                return Ok(());
            };
            let id = header(&head, &self.id_header).unwrap_or_default();
            let last_event = header(&head, "last-event-id")
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0);
            let reply = {
                let mut state = self.state.lock();
                let reply = state.reply_to(&head, &body);
                state.seen.push(ServerEvent::Request(head, body));
                reply
            };
            let _answering = AnswerGuard::begin(&self.state);
            for step in reply {
                match step {
                    Reply::Send(text) => {
                        stream
                            .write_all(text.replace("{id}", &id).as_bytes())
                            .await?;
                    }
                    Reply::SendIfReused(text) if is_reused => {
                        let text = text.replace("{id}", &id);
                        stream.write_all(text.as_bytes()).await?;
                    }
                    Reply::SendIfReused(_) => {}
                    Reply::Events { version, to } => {
                        let events = versioned_events(version, last_event + 1, to);
                        let chunk = format!("{:x}\r\n{events}\r\n", events.len());
                        stream.write_all(chunk.as_bytes()).await?;
                    }
                    Reply::BareEvents { to } => {
                        let events = numbered_events(last_event + 1, to);
                        stream.write_all(events.as_bytes()).await?;
                    }
                    Reply::Endless(text) => return self.send_endlessly(&mut stream, &text).await,
                    Reply::Pause(time) => {
                        if self.disconnected_within(&mut stream, time).await {
                            return Ok(());
                        }
                    }
                    Reply::Hang => {
                        self.disconnected_within(&mut stream, Duration::from_secs(3600))
                            .await;
                        return Ok(());
                    }
                    Reply::Close => return stream.shutdown().await,
                    Reply::Crash => {
                        self.crash();
                        // The crash aborts this task at the next await.
                        std::future::pending::<()>().await;
                    }
                    Reply::DropThenCrash(later) => {
                        let server = self.clone();
                        tokio::task::spawn_local(async move {
                            tokio::time::sleep(later).await;
                            server.crash();
                        });
                        self.drop_connections();
                        std::future::pending::<()>().await;
                    }
                }
            }
            is_reused = true;
        }
    }

    /// Sends bytes until the peer disconnects, at most 64 KiB each millisecond.
    async fn send_endlessly(&self, stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
        let mut number = 1_u64;
        loop {
            let mut piece = String::new();
            while piece.len() < ENDLESS_PIECE_BYTES {
                piece.push_str(&text.replace("{n}", &number.to_string()));
                number += 1;
            }
            stream.write_all(piece.as_bytes()).await?;
            self.state.lock().endless_bytes += piece.len();
            tokio::time::sleep(ENDLESS_INTERVAL).await;
        }
    }

    async fn disconnected_within(&self, stream: &mut TcpStream, time: Duration) -> bool {
        let mut byte = [0_u8; 1];
        match tokio::time::timeout(time, stream.read(&mut byte)).await {
            Ok(Ok(0) | Err(_)) => {
                self.state.lock().seen.push(ServerEvent::Disconnected);
                true
            }
            _ => false,
        }
    }
}

async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<(String, Vec<u8>)>> {
    loop {
        let end = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        if let Some(end) = end {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = header(&head, "content-length")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let rest = buffer.split_off(end + 4 + length);
                let body = buffer[end + 4..].to_vec();
                *buffer = rest;
                return Ok(Some((head, body)));
            }
        }
        let mut piece = [0_u8; 4096];
        let length = stream.read(&mut piece).await?;
        if length == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&piece[..length]);
    }
}

fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}
