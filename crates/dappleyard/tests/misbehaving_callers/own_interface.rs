//! The same for the processes of the product's own interface: sidecar and node.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use dappleyard_wire::PROTOCOL_VERSION;
use dappleyard_wire::messages::{Frame, Hello, frame};
use googletest::prelude::*;
use prost::Message as _;

use crate::crowd::{Crowd, Message};
use crate::usage::UsageWatch;
use crate::{BYTES_PER_MB, CALLERS, MAX_BODY_BYTES, MEMORY_MB, SILENT_CALLERS, exclusive};

const READ_TIMEOUT: Duration = Duration::from_secs(10);
const IP: Ipv4Addr = Ipv4Addr::LOCALHOST;

/// A process, and the address that callers use.
struct OwnProcess {
    process: Child,
    address: SocketAddr,
    watch: UsageWatch,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((IP, 0)).expect("a port");
    listener.local_addr().expect("its address")
}

impl OwnProcess {
    fn start(arguments: &[&str], address: SocketAddr) -> Self {
        let settings = std::env::temp_dir().join(format!("dappleyard-own-{address}.toml"));
        let memory = format!("memory_mb = {MEMORY_MB}\n");
        std::fs::write(&settings, memory).expect("a settings file");
        let mut process = Command::new(env!("CARGO_BIN_EXE_dappleyard"))
            .args(arguments)
            .arg("--config")
            .arg(&settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program runs");
        while TcpStream::connect(address).is_err() {
            let status = process.try_wait().expect("the status");
            assert!(status.is_none(), "the process has ended: {status:?}");
        }
        let watch = UsageWatch::start(process.id(), IP, vec![address.port()]);
        Self {
            process,
            address,
            watch,
        }
    }

    fn sidecar() -> Self {
        let address = free_address();
        Self::start(&["sidecar", "--listen", &address.to_string()], address)
    }

    /// A node, and the port for operators.
    fn admin() -> Self {
        let (address, any) = (free_address(), "127.0.0.1:0");
        let admin = address.to_string();
        let arguments = ["node", "--link", any, "--gossip", any, "--admin", &admin];
        Self::start(&arguments, address)
    }

    /// A node, and the port for links from sidecars and nodes.
    fn link() -> Self {
        let (address, any) = (free_address(), "127.0.0.1:0");
        let link = address.to_string();
        let arguments = ["node", "--link", &link, "--gossip", any, "--admin", any];
        Self::start(&arguments, address)
    }

    fn check_usage(&mut self) {
        let (memory_bytes, sockets) = self.watch.peak();
        println!("peak: {memory_bytes} bytes, {sockets} sockets");
        expect_that!(memory_bytes, le(MEMORY_MB * BYTES_PER_MB));
        expect_that!(self.process.try_wait().expect("the status"), none());
    }

    /// Sends one ordinary request, and then checks what must hold.
    fn check(&mut self) {
        let text = self.get("/healthz");
        expect_that!(text, starts_with("HTTP/1.1 200"));
        self.check_usage();
    }

    fn get(&self, path: &str) -> String {
        let mut caller = TcpStream::connect(self.address).expect("a connection");
        let timeout = Some(READ_TIMEOUT);
        caller.set_read_timeout(timeout).expect("a socket");
        let request = format!("GET {path} HTTP/1.1\r\nHost: own\r\nConnection: close\r\n\r\n");
        caller.write_all(request.as_bytes()).expect("a request");
        let mut text = String::new();
        // The text so far says what happened.
        let _ = caller.read_to_string(&mut text);
        text
    }
}

impl Drop for OwnProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn unfinished(path: &str, content_type: &str) -> Message {
    let first = format!(
        "POST {path} HTTP/1.1\r\nHost: own\r\nContent-Type: {content_type}\r\n\
         Content-Length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    Message {
        first: first.into_bytes(),
        repeated: vec![b'x'; 16 * 1024],
        repeated_bytes: MAX_BODY_BYTES as u64 - 1,
        piece_bytes: usize::MAX,
    }
}

fn survives(start: fn() -> OwnProcess, callers: usize, message: &Message) {
    let _exclusive = exclusive();
    let mut process = start();
    let crowd = Crowd::send(process.address, callers, message);
    process.check();
    drop(crowd);
}

// Guards against memory that grows with the bodies of all callers together.
#[gtest]
fn sidecar_generations() {
    let message = unfinished("/v1/chat/completions", "application/json");
    survives(OwnProcess::sidecar, CALLERS, &message);
}

#[gtest]
fn sidecar_batches() {
    let message = unfinished("/v1/batches", "application/json");
    survives(OwnProcess::sidecar, CALLERS, &message);
}

#[gtest]
fn sidecar_files() {
    let mut message = unfinished("/v1/files", "multipart/form-data; boundary=b");
    let part = b"--b\r\nContent-Disposition: form-data; name=\"file\"; filename=\"f\"\r\n\r\n";
    message.first.extend_from_slice(part);
    message.repeated_bytes -= part.len() as u64;
    survives(OwnProcess::sidecar, CALLERS, &message);
}

// Guards against bodies of requests that have none.
#[gtest]
fn sidecar_unused_bodies() {
    survives(
        OwnProcess::sidecar,
        CALLERS,
        &unfinished("/none", "text/plain"),
    );
}

#[gtest]
fn sidecar_heads() {
    let message = Message {
        first: b"GET /healthz HTTP/1.1\r\nHost: own\r\nX-More: ".to_vec(),
        repeated: vec![b'x'; 16 * 1024],
        repeated_bytes: 100_000,
        piece_bytes: usize::MAX,
    };
    survives(OwnProcess::sidecar, SILENT_CALLERS, &message);
}

#[gtest]
fn admin_bodies() {
    let message = unfinished("/v1/plans", "application/json");
    survives(OwnProcess::admin, CALLERS, &message);
}

#[gtest]
fn admin_unused_bodies() {
    survives(
        OwnProcess::admin,
        CALLERS,
        &unfinished("/none", "text/plain"),
    );
}

const FRAME_BYTES: u32 = 4_000_000;

/// Sends a frame without its last byte, after these bytes.
fn survives_frames(before: Vec<u8>) {
    let _exclusive = exclusive();
    let mut process = OwnProcess::link();
    let mut first = before;
    first.extend_from_slice(&FRAME_BYTES.to_be_bytes());
    let message = Message {
        first,
        repeated: vec![b'x'; 16 * 1024],
        repeated_bytes: u64::from(FRAME_BYTES) - 1,
        piece_bytes: usize::MAX,
    };
    let crowd = Crowd::send(process.address, CALLERS, &message);
    process.check_usage();
    drop(crowd);
}

// Guards against frames of strangers, which are as large as those of the product itself.
#[gtest]
fn link_frames() {
    survives_frames(Vec::new());
}

// Guards against the same from peers that have said who they are.
#[gtest]
fn link_frames_of_peers() {
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        id: "crowd".to_owned(),
        ..Hello::default()
    };
    let frame = Frame {
        body: Some(frame::Body::Hello(hello)),
        ..Frame::default()
    };
    let encoded = frame.encode_to_vec();
    let length = u32::try_from(encoded.len()).expect("a short frame");
    survives_frames([&length.to_be_bytes(), encoded.as_slice()].concat());
}
