//! Servers that send bytes without end, in place of an answer or within one, until the node closes the connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use dappleyard_platform_standin::{control, node};
use googletest::prelude::*;

use crate::crowd::Crowd;
use crate::support::{Caller, START_TIMEOUT};
use crate::{CALLERS, SmallNode, exclusive, sized};

const FAULTY_PORT: u16 = 17_690;
const SLOTS: usize = CALLERS;
/// Deadline of requests that are sent until one reaches the faulty server.
const FIRST_DEADLINE: Duration = Duration::from_millis(500);
const PIECE_BYTES: usize = 64 * 1024;

/// What a faulty server sends to each request: a beginning, and a part that is repeated.
#[derive(Clone)]
struct Endless {
    first: String,
    repeated: &'static str,
}

impl Endless {
    /// Answers each request so, in threads that end with the test process. Returns whether a connection has come.
    fn serve(self, address: SocketAddr) -> Arc<AtomicBool> {
        let listener = TcpListener::bind(address).expect("a port");
        let is_reached = Arc::new(AtomicBool::new(false));
        let reached = is_reached.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                reached.store(true, Ordering::Relaxed);
                let endless = self.clone();
                thread::spawn(move || endless.send(stream));
            }
        });
        is_reached
    }

    fn send(self, mut stream: TcpStream) {
        // The node closes the connection in the end.
        let _ = stream.read(&mut [0; PIECE_BYTES]);
        let piece = self.repeated.repeat(PIECE_BYTES / self.repeated.len());
        let mut sent = stream.write_all(self.first.as_bytes());
        while sent.is_ok() {
            sent = stream.write_all(piece.as_bytes());
        }
    }
}

/// Has a crowd send requests while all servers are faulty, and then checks the node beside its usual servers.
fn survives(first: &str, repeated: &'static str) {
    let _exclusive = exclusive();
    for path in ["/chat/x", "/order/x"] {
        let mut node = SmallNode::start();
        let address = node.at(FAULTY_PORT);
        let endless = Endless {
            first: first.to_owned(),
            repeated,
        };
        let is_reached = endless.serve(address);
        let (rows, servers) = (&node.platform.rows, &node.platform.servers);
        for (_, id, _) in rows.table("servers") {
            rows.remove("servers", "", &id);
        }
        let entry = format!(
            r#"{{"service":"llm","address":"{address}","zone":"north","version":"v1","slots":{SLOTS},
              "state":"ready","cold_left_ms":0,"seq":1,"born":1}}"#
        );
        rows.write("servers", "", "i-faulty", entry);
        let until = Instant::now() + START_TIMEOUT;
        while !is_reached.load(Ordering::Relaxed) {
            assert!(Instant::now() < until, "the node does not use the server");
            let mut caller = Caller::connect(node.node.front()).expect("a connection");
            caller.stream("first", FIRST_DEADLINE);
        }
        let crowd = Crowd::send(node.at(node::FRONT_PORT), CALLERS, &sized(path, 2, 0));
        rows.remove("servers", "", "i-faulty");
        control::list_servers(rows, servers);
        drop(crowd);
        node.check();
    }
}

/// The beginning of an answer to the crowd, up to the end of these lines.
fn answer(more: &str) -> String {
    node::answer_head("200 OK", "crowd") + more
}

// Guards against memory for bytes that begin no answer.
#[gtest]
fn no_head() {
    survives("", "\u{1}garbage");
}

#[gtest]
fn empty_lines() {
    survives("", "\r\n");
}

#[gtest]
fn field_without_end() {
    survives("HTTP/1.1 200 OK\r\nX-More: ", "xxxxxxxx");
}

#[gtest]
fn fields_without_end() {
    survives(&answer(""), "X-More: more\r\n");
}

#[gtest]
fn interim_heads() {
    survives("", "HTTP/1.1 100 Continue\r\n\r\n");
}

// Guards against memory for bytes that belong to no event of an answer.
#[gtest]
fn size_line() {
    survives(
        &answer("Transfer-Encoding: chunked\r\n\r\n"),
        "0000000000000000",
    );
}

#[gtest]
fn size_extension() {
    survives(&answer("Transfer-Encoding: chunked\r\n\r\n5;"), "xxxxxxxx");
}

#[gtest]
fn trailers() {
    survives(
        &answer("Transfer-Encoding: chunked\r\n\r\n0\r\n"),
        "X-More: more\r\n",
    );
}

#[gtest]
fn event_without_end() {
    survives(
        &answer("Content-Type: text/event-stream\r\n\r\n"),
        "data: xxxxxxxx",
    );
}

#[gtest]
fn comments_without_end() {
    survives(&answer("Content-Type: text/event-stream\r\n\r\n"), ": x\n");
}

#[gtest]
fn body_without_end() {
    survives(&answer("Content-Length: 1000000000000\r\n\r\n"), "xxxxxxxx");
}

#[gtest]
fn failure_without_end() {
    let head = node::answer_head("500 Failed", "crowd");
    survives(
        &(head + "Content-Length: 1000000000000\r\n\r\n"),
        "xxxxxxxx",
    );
}
