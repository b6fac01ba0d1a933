//! Requests that meet the stop of a sidecar.

mod support;

use std::rc::Rc;
use std::time::{Duration, Instant};

use dappleyard_settings::SidecarSettings;
use dappleyard_sidecar::SidecarHandle;
use dappleyard_transport::link::ServerStream;
use dappleyard_wire::messages::{Chunk, frame};
use googletest::prelude::*;
use support::{
    Script, ScriptedNode, accepted, answering_script, chat_body, chunk, finish, post, settings,
    start_sidecar, wait_until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Notify;

/// Time for a stop that was just requested to begin.
const STOP_BEGINS: Duration = Duration::from_millis(50);

/// Time between two callers that send late.
const NEXT_CALLER: Duration = Duration::from_millis(20);
/// Small, so that the sidecar keeps most of a large answer.
const RECEIVE_BUFFER_BYTES: u32 = 65_536;
/// Time for which a caller leaves its answer unread.
const UNREAD: Duration = Duration::from_millis(1_500);

const PIECES: &str = "dappleyard_sidecar_pieces_total";
const ANSWERS: &str = "dappleyard_sidecar_answers_total";

/// A caller's connection that is kept for further requests.
struct KeptConnection(TcpStream);

impl KeptConnection {
    /// Connects and gets one answer, so that the connection rests.
    async fn open(base: &str) -> KeptConnection {
        let mut kept = KeptConnection::connect(base).await;
        let (first, rest) = request();
        kept.send(&(first + &rest)).await;
        assert_that!(kept.answer().await, some(starts_with("HTTP/1.1 200")));
        kept
    }

    async fn connect(base: &str) -> KeptConnection {
        let address = base.trim_start_matches("http://");
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
        let connecting = socket.connect(address.parse().unwrap());
        KeptConnection(connecting.await.unwrap())
    }

    async fn send(&mut self, bytes: &str) {
        // A connection that the sidecar has closed shows in the answer.
        let _ = self.0.write_all(bytes.as_bytes()).await;
    }

    /// Head and body of one answer; `None` if the connection ends before it is whole.
    async fn answer(&mut self) -> Option<String> {
        let mut answer = Vec::new();
        loop {
            let byte = self.0.read_u8().await.ok()?;
            answer.push(byte);
            if answer.ends_with(b"\r\n\r\n") {
                break;
            }
        }
        let head = String::from_utf8(answer).unwrap().to_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))?;
        let mut body = vec![0; length.parse().unwrap()];
        self.0.read_exact(&mut body).await.ok()?;
        Some(head.replace("http/1.1", "HTTP/1.1") + &String::from_utf8(body).unwrap())
    }
}

/// A request in two parts.
fn request() -> (String, String) {
    let body = chat_body(false);
    let head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n".to_owned();
    let rest = format!("Content-Length: {}\r\n\r\n{body}", body.len());
    (head, rest)
}

async fn answering_sidecar() -> (ScriptedNode, SidecarHandle, String) {
    let (script, _) = answering_script("v1", 3);
    let node = ScriptedNode::start("node-1", script).await;
    let (sidecar, base) = start_sidecar(settings(&[&node])).await;
    (node, sidecar, base)
}

/// A script with an answer larger than the buffers of a socket. Also returns the bytes of its text.
fn large_answer_script() -> (Script, usize) {
    const PIECES: u32 = 60;
    let piece = "x".repeat(200_000);
    let text_bytes = piece.len() * PIECES as usize;
    let script: Script = Rc::new(move |stream: ServerStream| {
        let _ = stream.send(accepted("v1"));
        for offset in 0..PIECES {
            let pieces = vec![piece.clone()];
            let _ = stream.send(frame::Body::Chunk(Chunk { offset, pieces }));
        }
        let _ = stream.send(finish("v1", PIECES));
    });
    (script, text_bytes)
}

/// A script that ends its streamed answers when notified, and others at once.
fn held_script(release: &Rc<Notify>) -> Script {
    let (answering, _) = answering_script("v1", 3);
    let release = release.clone();
    let begun = std::cell::Cell::new(false);
    Rc::new(move |stream: ServerStream| {
        if begun.replace(true) {
            return answering(stream);
        }
        let release = release.clone();
        actix_rt::spawn(async move {
            let _ = stream.send(accepted("v1"));
            let _ = stream.send(chunk("v1", 0, 1));
            release.notified().await;
            let _ = stream.send(chunk("v1", 1, 3));
            let _ = stream.send(finish("v1", 3));
        });
    })
}

/// Guards against a stop that waits without bound, or that cuts an answer and does not say so.
#[gtest]
#[actix_rt::test]
async fn stop_bound_reached() {
    let node = ScriptedNode::start("node-1", held_script(&Rc::default())).await;
    let bounded = SidecarSettings {
        stop_bound_ms: 1_000,
        ..settings(&[&node])
    };
    let (sidecar, base) = start_sidecar(bounded).await;
    let url = format!("{base}/v1/chat/completions");
    let _streaming = actix_rt::spawn(async move { post(&url, &[], chat_body(true)).await });
    wait_until(async || support::metric(&base, PIECES).await == 1).await;
    let begun = Instant::now();
    expect_that!(sidecar.stop().await, eq(false));
    expect_that!(begun.elapsed(), lt(Duration::from_secs(5)));
}

/// Guards against ending while a finished answer still stands in a buffer of the process.
#[gtest]
#[actix_rt::test]
async fn unread_answer_at_stop() {
    let (script, text_bytes) = large_answer_script();
    let node = ScriptedNode::start("node-1", script).await;
    let mut roomy = settings(&[&node]);
    roomy.link.maximum_stream_bytes = 2 * text_bytes;
    let (sidecar, base) = start_sidecar(roomy).await;
    let mut caller = KeptConnection::connect(&base).await;
    let (first, rest) = request();
    caller.send(&(first + &rest)).await;
    wait_until(async || support::metric(&base, ANSWERS).await == 1).await;
    let stopping = actix_rt::spawn(async move { sidecar.stop().await });
    tokio::time::sleep(UNREAD).await;
    // Connections of a test outlive the stop; those of a process do not.
    expect_that!(stopping.is_finished(), eq(false));
    let answer = caller.answer().await.unwrap_or_default();
    expect_that!(answer.len(), gt(text_bytes));
    expect_that!(stopping.await.unwrap(), eq(true));
}

/// Guards against closing a connection whose request is being read when the stop begins.
#[gtest]
#[actix_rt::test]
async fn partial_request_at_stop() {
    let (_node, sidecar, base) = answering_sidecar().await;
    let mut caller = KeptConnection::open(&base).await;
    let (first, rest) = request();
    caller.send(&first).await;
    let stopping = actix_rt::spawn(async move { sidecar.stop().await });
    tokio::time::sleep(STOP_BEGINS).await;
    caller.send(&rest).await;
    let answer = caller.answer().await;
    expect_that!(answer, some(starts_with("HTTP/1.1 200")));
    expect_that!(answer, some(contains_substring("connection: close")));
    stopping.await.unwrap();
}

/// Guards against closing a resting connection before its caller was told of the stop.
#[gtest]
#[actix_rt::test]
async fn resting_connection_at_stop() {
    let (_node, sidecar, base) = answering_sidecar().await;
    let mut caller = KeptConnection::open(&base).await;
    let stopping = actix_rt::spawn(async move { sidecar.stop().await });
    tokio::time::sleep(STOP_BEGINS).await;
    let (first, rest) = request();
    caller.send(&(first + &rest)).await;
    let answer = caller.answer().await;
    expect_that!(answer, some(starts_with("HTTP/1.1 200")));
    expect_that!(answer, some(contains_substring("connection: close")));
    stopping.await.unwrap();
}

/// Guards against a request that comes after the last one served and gets no answer.
#[gtest]
#[actix_rt::test]
async fn late_request_refused() {
    let release = Rc::new(Notify::new());
    let node = ScriptedNode::start("node-1", held_script(&release)).await;
    let (sidecar, base) = start_sidecar(settings(&[&node])).await;
    let url = format!("{base}/v1/chat/completions");
    let streaming = actix_rt::spawn(async move { post(&url, &[], chat_body(true)).await });
    wait_until(async || support::metric(&base, PIECES).await == 1).await;
    let mut callers = Vec::new();
    for _ in 0..100 {
        callers.push(KeptConnection::open(&base).await);
    }
    let stopping = actix_rt::spawn(async move { sidecar.stop().await });
    let mut refused = None;
    for mut caller in callers {
        let (first, rest) = request();
        caller.send(&(first + &rest)).await;
        let answer = caller.answer().await;
        assert_that!(answer, some(anything()));
        refused = answer.filter(|answer| !answer.starts_with("HTTP/1.1 200"));
        if refused.is_some() {
            break;
        }
        tokio::time::sleep(NEXT_CALLER).await;
    }
    for part in [
        "HTTP/1.1 503",
        "x-dappleyard-ran: no",
        "retry-after: 1",
        "connection: close",
    ] {
        expect_that!(refused, some(contains_substring(part)));
    }
    release.notify_one();
    expect_that!(streaming.await.unwrap().events().last(), some(eq("[DONE]")));
    stopping.await.unwrap();
}
