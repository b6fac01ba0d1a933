//! Callers that send more than a process can hold, and keep their connections: the process lives, stays within the memory
//! and the descriptors of its machine, and answers an ordinary request.

mod crowd;
mod endless_servers;
mod own_interface;
#[path = "../planned_stop/support.rs"]
#[allow(dead_code, reason = "shared with the tests of planned stops")]
mod support;
mod usage;

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use dappleyard_platform_standin::control::TrafficLimits;
use dappleyard_platform_standin::node;
use googletest::prelude::*;
use rustix::process::Signal;

use crowd::{Crowd, Message};
use support::{Caller, NodeProcess, Outcome, Platform};
use usage::UsageWatch;

/// Memory of the machine in the test's settings. A megabyte is counted as a million bytes.
const MEMORY_MB: u64 = 64;
/// Memory of the smallest machine that the platform has.
const SMALLEST_MEMORY_MB: u64 = 120;
/// Largest body on the platform.
const LARGEST_BODY_BYTES: usize = 4 * 1024 * 1024;
const BYTES_PER_MB: u64 = 1_000_000;
const MAX_FDS: u64 = 512;
/// Descriptors that are set aside for files.
const FILE_FDS: u64 = 200;
/// Largest body that the configuration allows.
const MAX_BODY_BYTES: usize = 1_000_000;
/// Body of the item of a job, which has to fit into one transaction of the store.
const JOB_BYTES: usize = 600_000;
const CALLERS: usize = 150;
/// Callers that send heads alone, which are shorter than bodies.
const HEAD_CALLERS: usize = 1_200;
/// Callers that use up the memory for messages with the largest bodies.
const FEW_CALLERS: usize = 30;
/// More callers than a process has descriptors.
const SILENT_CALLERS: usize = 700;
/// Bytes on the wire that a legal body may take, in chunks of one byte.
const WIRE_BYTES_PER_BYTE: u64 = 6;
/// Beside these a caller gets rid of what the buffers of its connection hold.
const BUFFER_BYTES: u64 = 8 * 1024 * 1024;
/// Deadline of requests for streams.
const DEADLINE: Duration = Duration::from_secs(5);
/// Time limit of a request, which does not depend on the speed of the machine.
const TIMEOUT_MS: u64 = 30_000;
/// Time that the process has from SIGTERM.
const GRACE: Duration = Duration::from_secs(8);
/// Tries of a caller that comes back when told to.
const MAX_TRIES: usize = 50;
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Silence of servers, longer than a crowd sends.
const SILENCE: Duration = Duration::from_secs(30);

/// One such test runs at a time.
static EXCLUSIVE: Mutex<()> = Mutex::new(());

fn exclusive() -> MutexGuard<'static, ()> {
    let locked = EXCLUSIVE.lock();
    locked.unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn limits(memory_mb: u64, max_fds: u64) -> String {
    format!("[limits]\nmemory_mb = {memory_mb}\nmax_fds = {max_fds}\n")
}

/// A node on a small machine, and its use of memory and descriptors.
struct SmallNode {
    platform: Platform,
    node: NodeProcess,
    watch: UsageWatch,
    /// Memory of the machine, MB.
    memory_mb: u64,
    max_fds: u64,
}

impl SmallNode {
    fn start() -> Self {
        Self::start_with(MEMORY_MB, 4_000, MAX_BODY_BYTES)
    }

    fn start_with(memory_mb: u64, max_fds: u64, max_body_bytes: usize) -> Self {
        let traffic_limits = TrafficLimits {
            max_body_bytes,
            timeout_ms: TIMEOUT_MS,
            ..TrafficLimits::default()
        };
        let platform = Platform::start_with(traffic_limits);
        let mut node = platform.start_node_with(&limits(memory_mb, max_fds));
        node.wait_until_ready();
        let ports = vec![
            node::FRONT_PORT,
            node::READY_PORT,
            node::DIRECTORY_PORT,
            node::PEER_PORT,
            node::METRICS_PORT,
        ];
        let watch = UsageWatch::start(node.id(), node.ip(), ports);
        Self {
            platform,
            node,
            watch,
            memory_mb,
            max_fds,
        }
    }

    /// Has all servers run what they get and answer nothing.
    fn silence_servers(&self) {
        let servers = &self.platform.servers;
        for server in 0..servers.addresses().len() {
            servers.silence(server, SILENCE);
        }
    }

    fn at(&self, port: u16) -> SocketAddr {
        (self.node.ip(), port).into()
    }

    /// Sends one ordinary request, and then checks what must hold.
    fn check(&mut self) {
        let outcome = ask(&self.node, "ordinary");
        expect_that!(is_served(&outcome), eq(true), "{outcome:?}");
        self.check_usage();
        let status = self.node.wait_for_end(Duration::ZERO);
        expect_that!(status, none(), "the process has ended");
    }

    fn check_usage(&mut self) {
        let (memory_bytes, sockets) = self.watch.peak();
        println!("peak: {memory_bytes} bytes, {sockets} sockets");
        let memory_limit = self.memory_mb * BYTES_PER_MB;
        expect_that!(memory_bytes, le(memory_limit));
        expect_that!(sockets, le(self.max_fds - FILE_FDS));
    }
}

fn ask(node: &NodeProcess, id: &str) -> Outcome {
    let mut caller = Caller::connect(node.front()).expect("a connection");
    caller.stream(id, DEADLINE)
}

fn is_served(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered(answer) if answer.status == 200 && answer.is_complete())
}

/// A body with a length, of which `missing` bytes are not sent.
fn sized(path: &str, length: usize, missing: usize) -> Message {
    let first =
        node::unframed_head("POST", path, "crowd") + &format!("Content-Length: {length}\r\n\r\n");
    Message {
        first: first.into_bytes(),
        repeated: vec![b'x'; 16 * 1024],
        repeated_bytes: (length - missing) as u64,
        piece_bytes: usize::MAX,
    }
}

/// A body of chunks, each of `chunk_bytes`, without its end.
fn chunked(path: &str, chunk_bytes: usize, length: usize) -> Message {
    let mut chunk = format!("{chunk_bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + chunk_bytes, b'x');
    chunk.extend_from_slice(b"\r\n");
    let chunks = length / chunk_bytes;
    let repeated_bytes = (chunk.len() * chunks) as u64;
    let at_once = (16 * 1024 / chunk.len()).max(1);
    Message {
        first: (node::unframed_head("POST", path, "crowd") + "Transfer-Encoding: chunked\r\n\r\n")
            .into_bytes(),
        repeated: chunk.repeat(at_once),
        repeated_bytes,
        piece_bytes: usize::MAX,
    }
}

/// `first` and then `repeated` for as long as the connection takes it.
fn endless(first: String, repeated: &[u8]) -> Message {
    let at_once = (16 * 1024 / repeated.len()).max(1);
    Message {
        first: first.into_bytes(),
        repeated: repeated.repeat(at_once),
        repeated_bytes: u64::MAX,
        piece_bytes: usize::MAX,
    }
}

/// Has a crowd send a message to a port, and checks the node while all are connected.
fn survives(port: u16, callers: usize, message: &Message) {
    let _exclusive = exclusive();
    let mut node = SmallNode::start();
    let crowd = Crowd::send(node.at(port), callers, message);
    node.check();
    drop(crowd);
}

/// The same for a message without end, of which the node must not read more than a legal request needs.
fn cuts_off(port: u16, message: &Message) {
    let _exclusive = exclusive();
    let mut node = SmallNode::start();
    let crowd = Crowd::send(node.at(port), CALLERS, message);
    let limit = WIRE_BYTES_PER_BYTE * MAX_BODY_BYTES as u64 + BUFFER_BYTES;
    expect_that!(crowd.most_sent(), le(limit));
    node.check();
    drop(crowd);
}

// Guards against memory that grows with the bodies of all callers together.
#[gtest]
fn unfinished_bodies() {
    survives(
        node::FRONT_PORT,
        CALLERS,
        &sized("/chat/x", MAX_BODY_BYTES, 1),
    );
}

#[gtest]
fn unfinished_bodies_in_pieces() {
    let mut message = sized("/chat/x", MAX_BODY_BYTES, 1);
    message.piece_bytes = 1_000;
    survives(node::FRONT_PORT, CALLERS, &message);
}

#[gtest]
fn unfinished_large_chunks() {
    let message = chunked("/chat/x", MAX_BODY_BYTES / 2, MAX_BODY_BYTES);
    survives(node::FRONT_PORT, CALLERS, &message);
}

// Guards against memory for each piece of a body, beside its bytes.
#[gtest]
fn unfinished_tiny_chunks() {
    let message = chunked("/chat/x", 1, MAX_BODY_BYTES / 4);
    survives(node::FRONT_PORT, CALLERS, &message);
}

#[gtest]
fn announced_too_long() {
    let first =
        node::unframed_head("POST", "/chat/x", "crowd") + "Content-Length: 1000000000000\r\n\r\n";
    cuts_off(node::FRONT_PORT, &endless(first, &[b'x'; 16 * 1024]));
}

#[gtest]
fn chunks_without_end() {
    let first =
        node::unframed_head("POST", "/chat/x", "crowd") + "Transfer-Encoding: chunked\r\n\r\n";
    let mut chunk = b"4000\r\n".to_vec();
    chunk.resize(chunk.len() + 0x4000, b'x');
    chunk.extend_from_slice(b"\r\n");
    cuts_off(node::FRONT_PORT, &endless(first, &chunk));
}

// Guards against framing that is read without a bound since it adds no byte to the body.
#[gtest]
fn chunk_extension_without_end() {
    let first =
        node::unframed_head("POST", "/chat/x", "crowd") + "Transfer-Encoding: chunked\r\n\r\n1;";
    cuts_off(node::FRONT_PORT, &endless(first, b"x"));
}

#[gtest]
fn trailers_without_end() {
    let first =
        node::unframed_head("POST", "/chat/x", "crowd") + "Transfer-Encoding: chunked\r\n\r\n0\r\n";
    cuts_off(node::FRONT_PORT, &endless(first, b"x-more: 1\r\n"));
}

#[gtest]
fn unfinished_heads() {
    let mut message = endless(
        node::unframed_head("POST", "/chat/x", "crowd") + "X-More: ",
        b"x",
    );
    message.repeated_bytes = 100_000;
    survives(node::FRONT_PORT, HEAD_CALLERS, &message);
}

// Guards against memory for requests that wait at servers, and for the copies that are kept for a retry.
#[gtest]
fn whole_bodies_that_wait() {
    let _exclusive = exclusive();
    let mut node = SmallNode::start();
    node.silence_servers();
    let message = sized("/chat/x", MAX_BODY_BYTES, 0);
    let crowd = Crowd::send(node.at(node::FRONT_PORT), CALLERS, &message);
    node.platform.servers.end_silence();
    node.check();
    drop(crowd);
}

// Guards against requests that are read beside one that waits.
#[gtest]
fn bytes_after_a_request() {
    let _exclusive = exclusive();
    let mut node = SmallNode::start();
    node.silence_servers();
    let message = endless(node::stream_request("crowd", DEADLINE), b"GET /");
    let crowd = Crowd::send(node.at(node::FRONT_PORT), CALLERS, &message);
    node.platform.servers.end_silence();
    node.check();
    drop(crowd);
}

#[gtest]
fn unfinished_submissions() {
    survives(
        node::FRONT_PORT,
        CALLERS,
        &sized("/jobs/x", MAX_BODY_BYTES, 1),
    );
}

/// Submits large jobs of one item each, one after the other; returns how many are accepted.
fn submit_jobs(address: SocketAddr) -> usize {
    let item = |number: usize| {
        let body = "eHh4".repeat(JOB_BYTES / 3);
        format!(
            "{{\"items\":[{{\"id\":\"item-{number}\",\"path\":\"/jobs/x\",\"headers\":{{}},\"body\":\"{body}\",\"tokens\":10}}]}}"
        )
    };
    let accepted = (0..CALLERS).filter(|number| {
        let body = item(*number);
        let first = node::unframed_head("POST", "/jobs/x", &format!("job-{number}"));
        let request = format!("{first}Content-Length: {}\r\n\r\n{body}", body.len());
        let mut caller = Caller::connect(address).expect("a connection");
        let outcome = caller.exchange(&request);
        matches!(outcome, Outcome::Answered(answer) if answer.status == 202)
    });
    accepted.count()
}

// Guards against memory that grows with the items of accepted jobs.
#[gtest]
fn accepted_jobs() {
    let _exclusive = exclusive();
    let mut node = SmallNode::start();
    node.silence_servers();
    let accepted = submit_jobs(node.at(node::FRONT_PORT));
    expect_that!(accepted, ge(1));
    node.platform.servers.end_silence();
    node.check();
}

#[gtest]
fn bodies_at_other_ports() {
    for port in [
        node::READY_PORT,
        node::DIRECTORY_PORT,
        node::METRICS_PORT,
        node::PEER_PORT,
    ] {
        survives(port, CALLERS, &sized("/", MAX_BODY_BYTES, 1));
    }
}

// Guards against bodies of calls that have none.
#[gtest]
fn bodies_of_job_calls() {
    let first = node::unframed_head("DELETE", node::JOB_PATH, "crowd");
    let first = first + &format!("Content-Length: {MAX_BODY_BYTES}\r\n\r\n");
    let message = Message {
        first: first.into_bytes(),
        ..sized("/chat/x", MAX_BODY_BYTES, 1)
    };
    survives(node::FRONT_PORT, CALLERS, &message);
}

// Guards against bodies that are read only to be refused while the process stops.
#[gtest]
fn bodies_during_a_stop() {
    let _exclusive = exclusive();
    let mut node = SmallNode::start();
    node.node.signal(Signal::TERM);
    // Until shortly before the node closes its connections.
    thread::sleep(Duration::from_millis(4_000));
    let message = sized("/chat/x", MAX_BODY_BYTES, 1);
    let crowd = Crowd::send(node.at(node::FRONT_PORT), CALLERS, &message);
    let status = node.node.wait_for_end(GRACE);
    expect_that!(status.map(|status| status.success()), some(eq(true)));
    node.check_usage();
    drop(crowd);
}

// Guards against callers that use up the descriptors by being connected.
#[gtest]
fn silent_callers() {
    let _exclusive = exclusive();
    let mut node = SmallNode::start_with(MEMORY_MB, MAX_FDS, MAX_BODY_BYTES);
    let nothing = Message {
        first: Vec::new(),
        repeated: b"x".to_vec(),
        repeated_bytes: 0,
        piece_bytes: 1,
    };
    let crowd = Crowd::send(node.at(node::FRONT_PORT), SILENT_CALLERS, &nothing);
    node.check();
    drop(crowd);
}

// A limit that refuses a legal request in calm would be no mend.
#[gtest]
fn largest_body_in_calm() {
    let _exclusive = exclusive();
    let mut node = SmallNode::start_with(SMALLEST_MEMORY_MB, 3_075, LARGEST_BODY_BYTES);
    let sized = sized("/chat/x", LARGEST_BODY_BYTES, 0);
    let chunked = chunked("/chat/x", 1, LARGEST_BODY_BYTES);
    let end: (&[u8], &[u8]) = (b"", b"0\r\n\r\n");
    for (message, end) in [(sized, end.0), (chunked, end.1)] {
        let mut caller = Caller::connect(node.node.front()).expect("a connection");
        let mut request = message.first.clone();
        let repeats = message.repeated_bytes as usize / message.repeated.len() + 1;
        let mut body = message.repeated.repeat(repeats);
        body.truncate(message.repeated_bytes as usize);
        request.extend_from_slice(&body);
        request.extend_from_slice(end);
        let request = String::from_utf8(request).expect("text");
        let outcome = caller.exchange(&request);
        expect_that!(is_served(&outcome), eq(true), "{outcome:?}");
    }
    node.check();
}

// Guards against requests that wait, each with connections of its own to servers, and use up the descriptors.
#[gtest]
fn waiting_callers() {
    let _exclusive = exclusive();
    let mut node = SmallNode::start_with(MEMORY_MB, MAX_FDS, MAX_BODY_BYTES);
    node.silence_servers();
    let message = sized("/chat/x", 2, 0);
    let crowd = Crowd::send(node.at(node::FRONT_PORT), SILENT_CALLERS, &message);
    node.platform.servers.end_silence();
    // While all connections have whole requests on them, a caller is turned away and comes back.
    let ordinary = node::stream_request("ordinary", DEADLINE);
    expect_that!(status_in_the_end(&node.node, &ordinary), some(eq(200)));
    node.check();
    drop(crowd);
}

/// Sends a request until it is not told to come back; returns the status.
fn status_in_the_end(node: &NodeProcess, request: &str) -> Option<u16> {
    for _ in 0..MAX_TRIES {
        let mut caller = Caller::connect(node.front()).expect("a connection");
        match caller.exchange(request) {
            Outcome::Answered(answer) if answer.status != 503 => return Some(answer.status),
            Outcome::Unanswered { received, .. } if received > 0 => return None,
            // Told to come back, or the connection was closed before the request was read.
            _ => thread::sleep(RETRY_DELAY),
        }
    }
    None
}

// Guards against a parsed submission that takes many times the memory of its text.
#[gtest]
fn submission_of_numbers() {
    let _exclusive = exclusive();
    let mut node = SmallNode::start_with(SMALLEST_MEMORY_MB, 3_075, LARGEST_BODY_BYTES);
    let unfinished = sized("/chat/x", LARGEST_BODY_BYTES, 1);
    let crowd = Crowd::send(node.at(node::FRONT_PORT), FEW_CALLERS, &unfinished);
    for text in [
        "[0",
        "{\"items\":[0",
        "{\"items\":[{\"id\":\"a\",\"headers\":[0",
    ] {
        let first = node::unframed_head("POST", "/jobs/x", "numbers");
        let body = text.to_owned() + &",0".repeat(LARGEST_BODY_BYTES / 2 - 50);
        let request = format!("{first}Content-Length: {}\r\n\r\n{body}", body.len());
        expect_that!(status_in_the_end(&node.node, &request), some(eq(400)));
    }
    node.check();
    drop(crowd);
}
