//! A process that is asked to stop answers each request that it takes.

mod late_streams;
#[allow(dead_code, reason = "shared with the tests of misbehaving callers")]
mod support;

use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use rustix::process::Signal;

use support::{Caller, NodeProcess, Outcome, Platform, ProcessSignals, START_TIMEOUT};

/// Time that the process has from SIGTERM.
const GRACE: Duration = Duration::from_secs(8);
/// Work time of servers, in percent of the normal one, at which a stream takes more than three seconds.
const LONG_ANSWER_PERCENT: u32 = 2_000;
/// Deadline of the streams. One that comes until the node closes its connections ends before the process does.
const DEADLINE: Duration = Duration::from_millis(2_000);
/// Deadline of streams that a stop may cut.
const LONG_DEADLINE: Duration = Duration::from_secs(5);
/// Connections that rest until they are used once more during the stop.
const RESTING_CALLERS: u32 = 60;
/// Callers that send one request after the other until the node is gone.
const BUSY_CALLERS: u32 = 4;
/// Time after SIGTERM in which the node closes its resting connections, on a busy machine.
const CLOSING: std::ops::Range<Duration> =
    Duration::from_millis(4_800)..Duration::from_millis(6_500);
/// Within this time the end of a connection may cross a request that was sent on it.
const CROSSING_TIME: Duration = Duration::from_millis(200);
/// Requests that may cross the close: one of each busy caller, and those of resting callers within the time of a crossing.
const MAX_CROSSED: u32 = BUSY_CALLERS
    + (CROSSING_TIME.as_millis() * RESTING_CALLERS as u128 / GRACE.as_millis()) as u32
    + 1;

/// What callers saw during a stop.
#[derive(Default)]
struct Record {
    answered: AtomicU32,
    /// Answered on connections that had rested.
    answered_resting: AtomicU32,
    refused: AtomicU32,
    crossed: AtomicU32,
    violations: Mutex<Vec<String>>,
}

impl Record {
    fn note(&self, platform: &Platform, request: &str, since_stop: Duration, outcome: &Outcome) {
        let runs = platform.runs(request);
        match outcome {
            Outcome::Answered(answer) if answer.is_complete() => {
                let counter = match answer.status {
                    200 => &self.answered,
                    _ => &self.refused,
                };
                counter.fetch_add(1, Ordering::Relaxed);
                if answer.status == 200 && request.starts_with("resting") {
                    self.answered_resting.fetch_add(1, Ordering::Relaxed);
                }
            }
            Outcome::Unanswered { after, received: 0 }
                if runs == 0 && *after < CROSSING_TIME && CLOSING.contains(&since_stop) =>
            {
                self.crossed.fetch_add(1, Ordering::Relaxed);
            }
            _ => {
                let text =
                    format!("{request}, {since_stop:?} after SIGTERM: {outcome:?}, {runs} runs");
                self.violations.lock().expect("the record").push(text);
            }
        }
    }
}

/// Stops a node while callers use old connections until it is gone. `more` sends further signals.
fn stop_under_load(
    platform: &Platform,
    deadline: Duration,
    more: impl Fn(ProcessSignals),
) -> Record {
    let mut node = platform.start_node();
    node.wait_until_ready();
    let (record, front) = (Record::default(), node.front());
    let mut resting: Vec<Caller> = thread::scope(|scope| {
        let connecting = (0..RESTING_CALLERS).map(|at| {
            scope.spawn(move || {
                let mut caller = Caller::connect(front).expect("a connection");
                let first = caller.stream(&format!("first-{at}"), LONG_DEADLINE);
                assert!(matches!(first, Outcome::Answered(_)), "{first:?}");
                caller
            })
        });
        let connecting: Vec<_> = connecting.collect();
        connecting
            .into_iter()
            .map(|caller| caller.join().expect("a caller"))
            .collect()
    });
    let signals = node.signals();
    let stopped = Instant::now();
    signals.send(Signal::TERM);
    let status = thread::scope(|scope| {
        // Beside the callers, the last of which sleep nearly until the end of the grace period.
        let ending = scope.spawn(|| node.wait_for_end(GRACE));
        let record = &record;
        for (at, caller) in (0..).zip(&mut resting) {
            scope.spawn(move || {
                thread::sleep(GRACE * at / RESTING_CALLERS);
                if !caller.is_closed() {
                    let request = format!("resting-{at}");
                    let outcome = caller.stream(&request, deadline);
                    record.note(platform, &request, stopped.elapsed(), &outcome);
                }
            });
        }
        for caller in 0..BUSY_CALLERS {
            scope
                .spawn(move || send_until_gone(platform, front, caller, deadline, stopped, record));
        }
        more(signals);
        ending.join().expect("the wait for the end")
    });
    expect_that!(status.map(|status| status.success()), some(eq(true)));
    expect_that!(record.crossed.load(Ordering::Relaxed), le(MAX_CROSSED));
    record
}

/// Sends requests until the node refuses connections.
fn send_until_gone(
    platform: &Platform,
    front: std::net::SocketAddr,
    caller: u32,
    deadline: Duration,
    stopped: Instant,
    record: &Record,
) {
    let mut connection = None;
    for sent in 0.. {
        let Some(mut caller_connection) = connection.take().or_else(|| Caller::connect(front).ok())
        else {
            return;
        };
        let request = format!("busy-{caller}-{sent}");
        let outcome = caller_connection.stream(&request, deadline);
        record.note(platform, &request, stopped.elapsed(), &outcome);
        if matches!(&outcome, Outcome::Answered(answer) if answer.keeps_connection) {
            connection = Some(caller_connection);
        }
    }
}

/// Sends a request that crashes servers until it has crashed one more, and waits until the node has counted that.
fn crash_server(platform: &Platform, node: &mut NodeProcess) {
    let (crashed, until) = (platform.crashes(), Instant::now() + START_TIMEOUT);
    while platform.crashes() == crashed {
        assert!(Instant::now() < until, "no server crashed");
        send_crashing(node);
        thread::sleep(Duration::from_millis(50));
    }
    platform.list_restarted_servers();
    node.wait_for_record("server_ended");
}

fn send_crashing(node: &NodeProcess) -> Option<Outcome> {
    let mut caller = Caller::connect(node.front()).ok()?;
    Some(caller.crashing_order())
}

/// Guards against a count of crashes that begins anew when all nodes stop.
#[gtest]
fn crashes_across_stop() {
    let platform = Platform::start();
    let mut node = platform.start_node();
    crash_server(&platform, &mut node);
    crash_server(&platform, &mut node);
    node.signal(Signal::TERM);
    let status = node.wait_for_end(GRACE);
    expect_that!(status.map(|status| status.success()), some(eq(true)));
    let mut node = platform.start_node();
    crash_server(&platform, &mut node);
    platform.wait_for_servers();
    let outcome = send_crashing(&node);
    assert!(
        matches!(&outcome, Some(Outcome::Answered(answer)) if answer.status == 502),
        "{outcome:?}"
    );
    expect_that!(platform.crashes(), eq(3));
}

/// Guards against requests on old connections that a stopping node takes late and cuts, or never answers.
#[gtest]
fn requests_until_the_end() {
    let platform = Platform::start();
    let record = stop_under_load(&platform, DEADLINE, |_| ());
    expect_that!(*record.violations.lock().expect("the record"), is_empty());
    // Those that are used before the connections are closed, more than half of the time.
    let resting = record.answered_resting.load(Ordering::Relaxed);
    expect_that!(resting, gt(RESTING_CALLERS / 2));
}

/// Guards against long answers that a stopping node begins late and cuts.
#[gtest]
fn long_answers() {
    let platform = Platform::start();
    for server in 0..platform.servers.addresses().len() {
        platform
            .servers
            .slow(server, LONG_ANSWER_PERCENT, Duration::from_secs(60));
    }
    let record = stop_under_load(&platform, LONG_DEADLINE, |_| ());
    expect_that!(*record.violations.lock().expect("the record"), is_empty());
    expect_that!(record.refused.load(Ordering::Relaxed), gt(0));
}

/// Guards against a stop that a second SIGTERM, a SIGHUP or a store that is away cuts short.
#[gtest]
fn stop_beside_other_signals() {
    let platform = Platform::start();
    let record = stop_under_load(&platform, DEADLINE, |signals| {
        for signal in [Signal::HUP, Signal::TERM, Signal::HUP, Signal::TERM] {
            thread::sleep(Duration::from_millis(500));
            signals.send(signal);
            platform.rows.set_down(true);
        }
    });
    expect_that!(*record.violations.lock().expect("the record"), is_empty());
}

/// Guards against the end of a process by a SIGHUP that arrives before it has installed its signal handlers.
#[gtest]
fn reload_during_start() {
    let platform = Platform::start();
    let mut node = platform.start_node();
    node.wait_for_record("start");
    node.signal(Signal::HUP);
    node.wait_until_ready();
    expect_that!(node.wait_for_end(Duration::from_millis(200)), none());
}

/// Guards against the end of a process by a SIGTERM that arrives before it has installed its signal handlers.
#[gtest]
fn stop_during_start() {
    let platform = Platform::start();
    let mut node = platform.start_node();
    node.wait_for_record("start");
    node.signal(Signal::TERM);
    node.wait_for_record("stop");
    let status = node.wait_for_end(GRACE);
    expect_that!(status.map(|status| status.success()), some(eq(true)));
}
