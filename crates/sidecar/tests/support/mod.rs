//! Scripted nodes, and a sidecar on a free port.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_settings::SidecarSettings;
use dappleyard_sidecar::SidecarHandle;
use dappleyard_transport::link::{Announcement, LinkServer, LinkSettings, ServerStream};
use dappleyard_transport::policy::{DirectPolicy, SharedPolicy};
use dappleyard_wire::messages::{Accepted, Chunk, Finish, Hello, Submit, frame};
use dappleyard_wire::{ErrorKind, Failure, PROTOCOL_VERSION};
use tokio::net::TcpListener;
use tokio::sync::watch;

const ATTEMPTS: &str = "dappleyard_sidecar_attempts_total";

/// Handler of each stream of a scripted node.
pub type Script = Rc<dyn Fn(ServerStream)>;

/// A node that handles streams with a script.
pub struct ScriptedNode {
    pub address: String,
    pub announcement: watch::Sender<Announcement>,
    serving: actix_rt::task::JoinHandle<()>,
}

impl ScriptedNode {
    pub async fn start(id: &str, script: Script) -> ScriptedNode {
        ScriptedNode::start_at(id, "127.0.0.1:0", script).await
    }

    pub async fn start_at(id: &str, address: &str, script: Script) -> ScriptedNode {
        let listener = TcpListener::bind(address).await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (announcement, receiver) = watch::channel(Announcement {
            ready: true,
            ..Announcement::default()
        });
        let server = Rc::new(LinkServer {
            hello: Hello {
                protocol: PROTOCOL_VERSION,
                id: id.to_owned(),
                zone: "zone-1".to_owned(),
                region: "region-1".to_owned(),
                incarnation: 1,
                sidecar: false,
            },
            settings: LinkSettings::default(),
            policy: policy(),
            announcement: receiver,
            gate: dappleyard_transport::RequestGate::new(),
        });
        let serving = actix_rt::spawn(async move {
            let _ = server.serve(listener, script).await;
        });
        ScriptedNode {
            address,
            announcement,
            serving,
        }
    }

    /// Aborting it stops the node and its links.
    pub fn abort_handle(&self) -> tokio::task::AbortHandle {
        self.serving.abort_handle()
    }
}

pub fn policy() -> SharedPolicy {
    Arc::new(DirectPolicy)
}

/// Text of a token, determined by version and offset.
pub fn piece(version: &str, offset: u32) -> String {
    format!("{version}-{offset} ")
}

pub fn pieces(version: &str, from: u32, to: u32) -> Vec<String> {
    (from..to).map(|offset| piece(version, offset)).collect()
}

pub fn text(version: &str, total: u32) -> String {
    pieces(version, 0, total).concat()
}

pub fn accepted(version: &str) -> frame::Body {
    frame::Body::Accepted(Accepted {
        server: "server-1".to_owned(),
        version: version.to_owned(),
        engine_stream: "stream-1".to_owned(),
        node: "node-1".to_owned(),
    })
}

pub fn chunk(version: &str, from: u32, to: u32) -> frame::Body {
    frame::Body::Chunk(Chunk {
        offset: from,
        pieces: pieces(version, from, to),
    })
}

pub fn finish(version: &str, total: u32) -> frame::Body {
    frame::Body::Finish(Finish {
        total_tokens: total,
        prompt_tokens: 5,
        cached_tokens: 1,
        reason: "stop".to_owned(),
        version: version.to_owned(),
        ..Finish::default()
    })
}

pub fn refused(kind: ErrorKind, retry_after_ms: u32) -> frame::Body {
    let failure = Failure::not_run(kind, "scripted").retry_after(retry_after_ms);
    frame::Body::Refused(failure.to_refused())
}

/// A script that replies to each submission with these frames. Also returns the submissions.
pub fn sending_script(frames: Vec<frame::Body>) -> (Script, Rc<RefCell<Vec<Submit>>>) {
    let seen: Rc<RefCell<Vec<Submit>>> = Rc::default();
    let record = seen.clone();
    let script: Script = Rc::new(move |stream: ServerStream| {
        if let frame::Body::Submit(submit) = &stream.first {
            record.borrow_mut().push(submit.clone());
        }
        for frame in &frames {
            let _ = stream.send(frame.clone());
        }
    });
    (script, seen)
}

/// A script that generates from the requested offset to `total`. Also returns the submissions.
pub fn answering_script(version: &'static str, total: u32) -> (Script, Rc<RefCell<Vec<Submit>>>) {
    let seen: Rc<RefCell<Vec<Submit>>> = Rc::default();
    let record = seen.clone();
    let script: Script = Rc::new(move |stream: ServerStream| {
        let frame::Body::Submit(submit) = &stream.first else {
            return;
        };
        record.borrow_mut().push(submit.clone());
        let _ = stream.send(accepted(version));
        let _ = stream.send(chunk(version, submit.resume_offset, total));
        let _ = stream.send(finish(version, total));
    });
    (script, seen)
}

pub fn settings(nodes: &[&ScriptedNode]) -> SidecarSettings {
    SidecarSettings {
        listen: "127.0.0.1:0".to_owned(),
        nodes: nodes.iter().map(|node| node.address.clone()).collect(),
        workers: 1,
        ..SidecarSettings::default()
    }
}

/// Starts a sidecar and waits until it is ready.
pub async fn start_sidecar(settings: SidecarSettings) -> (SidecarHandle, String) {
    let handle = dappleyard_sidecar::start(settings, policy()).unwrap();
    let base = format!("http://{}", handle.address());
    let client = awc::Client::default();
    for _ in 0..500 {
        let answer = client.get(format!("{base}/readyz")).send().await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            return (handle, base);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the sidecar did not become ready");
}

pub struct Response {
    pub status: u16,
    pub headers: awc::http::header::HeaderMap,
    pub body: String,
}

impl Response {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("no JSON: {}", self.body))
    }

    /// Data of the server-sent events.
    pub fn events(&self) -> Vec<String> {
        self.body
            .split("\n\n")
            .filter_map(|event| event.strip_prefix("data: "))
            .map(str::to_owned)
            .collect()
    }

    /// Text of a streamed chat.
    pub fn streamed_text(&self) -> String {
        self.events()
            .iter()
            .filter_map(|event| serde_json::from_str::<serde_json::Value>(event).ok())
            .filter_map(|event| {
                let content = event["choices"][0]["delta"]["content"].as_str();
                content.map(str::to_owned)
            })
            .collect()
    }
}

pub async fn post(url: &str, headers: &[(&str, &str)], body: impl Into<String>) -> Response {
    let mut request = awc::Client::builder()
        .timeout(Duration::from_secs(20))
        .finish()
        .post(url);
    for (name, value) in headers {
        request = request.insert_header((*name, *value));
    }
    received(request.send_body(body.into()).await.unwrap()).await
}

pub async fn get(url: &str) -> Response {
    received(awc::Client::default().get(url).send().await.unwrap()).await
}

async fn received<S>(mut answer: awc::ClientResponse<S>) -> Response
where
    S: futures::Stream<Item = Result<actix_web::web::Bytes, awc::error::PayloadError>> + Unpin,
{
    let body = answer.body().limit(64 << 20).await.unwrap();
    Response {
        status: answer.status().as_u16(),
        headers: answer.headers().clone(),
        body: String::from_utf8(body.to_vec()).unwrap(),
    }
}

pub fn chat_body(stream: bool) -> String {
    serde_json::json!({
        "model": "fittings-llm",
        "messages": [
            {"role": "system", "content": "You match parts."},
            {"role": "user", "content": "Which rudder stock fits?"}
        ],
        "max_tokens": 64,
        "stream": stream,
        "stream_options": {"include_usage": stream}
    })
    .to_string()
}

/// Polls until the condition holds; the test runner limits the time of the whole test.
pub async fn wait_until(mut holds: impl AsyncFnMut() -> bool) {
    while !holds().await {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Sends a chat and closes the connection once an attempt has begun.
pub async fn send_and_disconnect(base: &str, body: &str, headers: &[(&str, &str)]) {
    use tokio::io::AsyncWriteExt;
    let address = base.trim_start_matches("http://");
    let mut socket = tokio::net::TcpStream::connect(address).await.unwrap();
    let extra: String = headers
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let before = metric(base, ATTEMPTS).await;
    socket.write_all(request.as_bytes()).await.unwrap();
    wait_until(async || metric(base, ATTEMPTS).await > before).await;
    drop(socket);
}

/// First value of a metric; 0 if absent.
pub async fn metric(base: &str, name: &str) -> u64 {
    let metrics = get(&format!("{base}/metrics")).await.body;
    let line = metrics.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
        .unwrap_or(0)
}

/// Waits until the sidecar has this many links.
pub async fn wait_links(base: &str, links: u64) {
    wait_until(async || metric(base, "dappleyard_sidecar_links").await == links).await;
}

/// A script that keeps one uploaded file in memory.
pub fn file_store_script() -> Script {
    use dappleyard_wire::messages::{FileData, FileState, Reply, call, reply};
    let content: Rc<RefCell<Vec<u8>>> = Rc::default();
    let sealed: Rc<RefCell<bool>> = Rc::default();
    Rc::new(move |stream: ServerStream| {
        let frame::Body::Call(call) = &stream.first else {
            return;
        };
        let file = |size: usize, sealed: bool| {
            reply::Result::File(FileState {
                file_id: "file-1".to_owned(),
                filename: "a.jsonl".to_owned(),
                purpose: "batch".to_owned(),
                size: size as u64,
                created_unix_s: 1,
                sealed,
            })
        };
        let mut held = content.borrow_mut();
        let result = match call.method.clone() {
            Some(call::Method::FileCreate(_)) => {
                held.clear();
                file(0, false)
            }
            Some(call::Method::FileAppend(part)) => {
                held.truncate(part.offset as usize);
                held.extend_from_slice(&part.data);
                file(held.len(), false)
            }
            Some(call::Method::FileSeal(seal)) => {
                *sealed.borrow_mut() = seal.size == held.len() as u64;
                file(held.len(), *sealed.borrow())
            }
            Some(call::Method::FileStat(_)) => file(held.len(), *sealed.borrow()),
            Some(call::Method::FileRead(read)) => {
                let from = (read.offset as usize).min(held.len());
                let to = (from + 1_000).min(held.len());
                reply::Result::Data(FileData {
                    offset: read.offset,
                    data: held[from..to].to_vec(),
                    end: to == held.len(),
                })
            }
            _ => return,
        };
        let result = Some(result);
        let _ = stream.send(frame::Body::Reply(Reply { result }));
    })
}
