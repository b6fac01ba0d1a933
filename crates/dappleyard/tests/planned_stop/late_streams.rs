//! A stopping node refuses the streams that it may have to cut, and serves the others.

use std::thread;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use rustix::process::Signal;

use crate::support::{Caller, NodeProcess, Outcome, Platform};

/// Work time of servers, in percent of the normal one, at which an event takes 120 ms.
const WORK_PERCENT: u32 = 1_500;
const TOKENS_PER_EVENT: u32 = 7;
const SHORT_EVENTS: u32 = 4;
/// A stream of 3.5 s.
const LONG_EVENTS: u32 = 29;
const DEADLINE: Duration = Duration::from_secs(4);
/// A deadline that passes before the process ends all that is under way.
const NEAR_DEADLINE: Duration = Duration::from_millis(2_500);
/// When the streams are sent, after SIGTERM. The process ends all that is under way before `DEADLINE` has passed.
const SENT_AFTER: Duration = Duration::from_millis(4_300);

/// A node that has served so many short streams before it is asked to stop.
fn stop_after(platform: &Platform, short_streams: u32) -> (NodeProcess, Instant) {
    for server in 0..platform.servers.addresses().len() {
        platform
            .servers
            .slow(server, WORK_PERCENT, Duration::from_secs(60));
    }
    let mut node = platform.start_node();
    node.wait_until_ready();
    let front = node.front();
    thread::scope(|scope| {
        for at in 0..short_streams {
            scope.spawn(move || {
                let before = send(front, &format!("before-{at}"), SHORT_EVENTS, DEADLINE);
                assert_eq!(before, (200, SHORT_EVENTS));
            });
        }
    });
    node.signal(Signal::TERM);
    (node, Instant::now() + SENT_AFTER)
}

/// Sends a stream's request on a new connection. Returns the status and the number of events; the status is 0 if the
/// answer is not whole.
fn send(front: std::net::SocketAddr, id: &str, events: u32, deadline: Duration) -> (u16, u32) {
    let mut caller = Caller::connect(front).expect("a connection");
    match caller.sized_order(id, events * TOKENS_PER_EVENT, deadline) {
        Outcome::Answered(answer) => (answer.status, answer.events as u32),
        Outcome::Unanswered { .. } => (0, 0),
    }
}

/// What becomes of a long stream, of a short one, and of a short one with a near deadline, which come late in the stop of a
/// node with such a history.
fn late_streams(short_streams: u32) -> [(u16, u32); 3] {
    let platform = Platform::start();
    let (node, send_at) = stop_after(&platform, short_streams);
    thread::sleep(send_at.saturating_duration_since(Instant::now()));
    let front = node.front();
    thread::scope(|scope| {
        let long = scope.spawn(|| send(front, "long", LONG_EVENTS, DEADLINE));
        let short = scope.spawn(|| send(front, "short", SHORT_EVENTS, DEADLINE));
        let near = scope.spawn(|| send(front, "near", SHORT_EVENTS, NEAR_DEADLINE));
        [long, short, near].map(|stream| stream.join().expect("a caller"))
    })
}

/// Only the stream that surely ends before the process does is served.
fn expect_near_deadline_served(short_streams: u32) {
    let expected = [(503, 0), (503, 0), (200, SHORT_EVENTS)];
    expect_that!(late_streams(short_streams), eq(expected));
}

/// Guards against a stream that a stopping node accepts and cuts, since it has seen no stream yet.
#[gtest]
fn without_history() {
    expect_near_deadline_served(0);
}

/// Guards against a stream that a stopping node accepts and cuts, since the few that it has seen were short.
#[gtest]
fn few_short_ones() {
    expect_near_deadline_served(20);
}

/// Guards against a stream that a stopping node accepts and cuts, since all that it has seen were short.
#[gtest]
fn many_short_ones() {
    expect_near_deadline_served(60);
}
