//! Links between two ends: streams, announcements, loss and traffic shaping.

mod support;

use std::rc::Rc;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_transport::LinkError;
use dappleyard_transport::link::{Announcement, ServerStream};
use dappleyard_wire::messages::{NodeLoad, PeerNode, Peers, frame};
use dappleyard_wire::{ErrorKind, Ran};
use googletest::prelude::*;
use support::{AdjustablePolicy, RawPeer, chunk, echo_server, serve, settings, submit, wait_until};

/// Deadline of a caller.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Frames of an answer, more than its reader's socket takes.
const ANSWER_FRAMES: u64 = 8;
const FRAME_PIECES: usize = 8_000;

#[gtest]
#[actix_rt::test]
async fn streams_of_one_link_do_not_mix() {
    let server = echo_server(settings()).await;
    let link = server.dial().await.unwrap();
    let mut first = link.open(submit()).unwrap();
    let mut second = link.open(submit()).unwrap();
    expect_that!(first.receive().await, ok(eq(&chunk(1))));
    expect_that!(second.receive().await, ok(eq(&chunk(1))));
    second.send(chunk(2)).unwrap();
    first.send(chunk(3)).unwrap();
    expect_that!(first.receive().await, ok(eq(&chunk(3))));
    expect_that!(second.receive().await, ok(eq(&chunk(2))));
    expect_that!(link.open_streams(), eq(2));
    drop((first, second));
    expect_that!(link.open_streams(), eq(0));
}

#[gtest]
#[actix_rt::test]
async fn announcements_reach_each_link_and_their_changes_too() {
    let server = echo_server(settings()).await;
    let link = server.dial().await.unwrap();
    expect_that!(link.takes_new_work(), eq(true));
    let load = NodeLoad {
        node: "server".to_owned(),
        sequence: 7,
        ..NodeLoad::default()
    };
    server.announcement.send_modify(|now| {
        now.peers.nodes.push(PeerNode::default());
        now.load = Some(load.clone());
    });
    wait_until(|| link.load().is_some()).await;
    expect_that!(link.peers().nodes.len(), eq(1));
    server.announcement.send_modify(|now| now.ready = false);
    wait_until(|| !link.takes_new_work()).await;
    server.announcement.send_modify(|now| now.ready = true);
    wait_until(|| link.takes_new_work()).await;
    server
        .announcement
        .send_modify(|now| now.go_away_ms = Some(1_000));
    wait_until(|| !link.takes_new_work()).await;
    expect_that!(link.is_up(), eq(true));
    // After a cancelled drain the same link accepts work again.
    server.announcement.send_modify(|now| now.go_away_ms = None);
    wait_until(|| link.takes_new_work()).await;
}

#[gtest]
#[actix_rt::test]
async fn a_new_link_receives_the_full_status() {
    let server = echo_server(settings()).await;
    server.announcement.send_replace(Announcement {
        ready: false,
        go_away_ms: None,
        peers: Peers {
            nodes: vec![PeerNode::default()],
        },
        load: None,
    });
    let link = server.dial().await.unwrap();
    wait_until(|| !link.takes_new_work()).await;
    expect_that!(link.peers().nodes.len(), eq(1));
}

#[gtest]
#[actix_rt::test]
async fn streams_end_when_the_server_stops() {
    let server = echo_server(settings()).await;
    let link = server.dial().await.unwrap();
    let mut stream = link.open(submit()).unwrap();
    stream.receive().await.unwrap();
    server.serving.abort();
    expect_that!(
        stream.receive().await,
        err(matches_pattern!(LinkError::Lost { .. }))
    );
    expect_that!(link.is_up(), eq(false));
    expect_that!(
        link.open(submit()).err(),
        some(matches_pattern!(LinkError::Connect { .. }))
    );
}

/// Guards against losing the end of an answer because bytes of its reader stand unread.
#[gtest]
#[actix_rt::test]
async fn unread_bytes_at_end() {
    let answer = || chunk(FRAME_PIECES);
    let handler = Rc::new(move |stream: ServerStream| {
        for _ in 0..ANSWER_FRAMES {
            stream.send(answer()).unwrap();
        }
    });
    let server = serve(settings(), handler).await;
    let mut peer = RawPeer::connect(&server).await;
    peer.send(1, submit()).await;
    let sent = server.settings.metrics.frames_sent.clone();
    wait_until(|| sent.get() >= ANSWER_FRAMES).await;
    server.gate.close();
    server.gate.wait_idle().await;
    peer.send(2, chunk(1)).await;
    actix_rt::spawn(server.end());
    expect_that!(peer.chunks_until_end().await, ok(eq(&ANSWER_FRAMES)));
}

/// Guards against a caller that waits until its deadline for a handler that has panicked.
#[gtest]
#[actix_rt::test]
async fn panicking_handler() {
    let handler = |stream: ServerStream| {
        actix_rt::spawn(stream.answer(async { panic!("a fault") }));
    };
    let server = serve(settings(), Rc::new(handler)).await;
    let link = server.dial().await.unwrap();
    let mut stream = link.open(submit()).unwrap();
    let answer = tokio::time::timeout(CALL_TIMEOUT, stream.receive()).await;
    let failed = matches!(&answer, Ok(Ok(frame::Body::Refused(refused)))
        if refused.ran == Ran::Maybe as i32);
    expect_that!(failed, eq(true), "{answer:?}");
}

#[gtest]
#[actix_rt::test]
async fn a_link_is_closed_when_its_last_clone_is_dropped() {
    let server = echo_server(settings()).await;
    let link = server.dial().await.unwrap();
    let clone = link.clone();
    drop(link);
    expect_that!(server.closed("peer_end"), eq(0));
    drop(clone);
    wait_until(|| server.closed("peer_end") == 1).await;
    expect_that!(server.settings.metrics.open.get(), eq(0));
}

#[gtest]
#[actix_rt::test]
async fn a_partition_is_detected_by_the_idle_timeout() {
    let server = echo_server(settings()).await;
    let link = server.dial().await.unwrap();
    tokio::time::pause();
    let cut_at = Instant::now();
    server.policy.set(|path| path.cut = true);
    link.wait_lost().await;
    expect_that!(cut_at.elapsed(), ge(settings().idle_timeout));
    wait_until(|| server.closed("peer_end") + server.closed("idle") == 1).await;
}

#[gtest]
#[actix_rt::test]
async fn frames_are_held_during_a_partition_and_delivered_in_order_after_it() {
    let server = echo_server(settings()).await;
    let policy = AdjustablePolicy::direct();
    let link = server.dial_through(policy.clone()).await.unwrap();
    let mut stream = link.open(submit()).unwrap();
    stream.receive().await.unwrap();
    policy.set(|path| path.cut = true);
    stream.send(chunk(2)).unwrap();
    stream.send(chunk(3)).unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    policy.set(|path| path.cut = false);
    expect_that!(stream.receive().await, ok(eq(&chunk(2))));
    expect_that!(stream.receive().await, ok(eq(&chunk(3))));
}

#[gtest]
#[actix_rt::test]
async fn a_partition_between_two_queued_frames_holds_the_second() {
    let mut long_timeout = settings();
    long_timeout.idle_timeout = Duration::from_secs(600);
    let server = echo_server(long_timeout).await;
    let policy = AdjustablePolicy::direct();
    let link = server.dial_through(policy.clone()).await.unwrap();
    let mut stream = link.open(submit()).unwrap();
    stream.receive().await.unwrap();
    stream.send(chunk(2)).unwrap();
    let second_due = Duration::from_secs(20);
    policy.set(|path| path.delay = second_due);
    stream.send(chunk(3)).unwrap();
    expect_that!(stream.receive().await, ok(eq(&chunk(2))));
    policy.set(|path| path.cut = true);
    tokio::time::pause();
    let held = tokio::time::timeout(second_due * 2, stream.receive()).await;
    expect_that!(held.is_err(), eq(true));
    policy.set(|path| path.cut = false);
    expect_that!(stream.receive().await, ok(eq(&chunk(3))));
}

#[gtest]
#[actix_rt::test]
async fn a_delay_is_added_to_each_frame_but_not_summed_over_frames() {
    let server = echo_server(settings()).await;
    let policy = AdjustablePolicy::direct();
    let link = server.dial_through(policy.clone()).await.unwrap();
    let mut stream = link.open(submit()).unwrap();
    stream.receive().await.unwrap();
    tokio::time::pause();
    let delay = Duration::from_millis(40);
    policy.set(|path| path.delay = delay);
    let sent_at = Instant::now();
    for _ in 0..20 {
        stream.send(chunk(2)).unwrap();
    }
    for _ in 0..20 {
        stream.receive().await.unwrap();
    }
    expect_that!(sent_at.elapsed(), ge(delay));
    expect_that!(sent_at.elapsed(), lt(delay * 10));
}

#[gtest]
#[actix_rt::test]
async fn streams_beyond_the_bound_are_refused_at_once() {
    let mut bounds = settings();
    bounds.maximum_streams = 1;
    let server = echo_server(bounds).await;
    let link = server.dial().await.unwrap();
    let mut first = link.open(submit()).unwrap();
    first.receive().await.unwrap();
    let mut second = link.open(submit()).unwrap();
    let Ok(frame::Body::Refused(refused)) = second.receive().await else {
        panic!("the stream was not refused");
    };
    expect_that!(refused.kind, eq(ErrorKind::Overloaded as u32));
    expect_that!(refused.ran, eq(0));
}

#[gtest]
#[actix_rt::test]
async fn an_oversize_frame_is_not_sent_and_the_stream_stays_usable() {
    let server = echo_server(settings()).await;
    let link = server.dial().await.unwrap();
    let mut stream = link.open(submit()).unwrap();
    stream.receive().await.unwrap();
    expect_that!(
        stream.send(chunk(20_000)),
        err(matches_pattern!(LinkError::TooLarge { .. }))
    );
    stream.send(chunk(2)).unwrap();
    expect_that!(stream.receive().await, ok(eq(&chunk(2))));
}

#[gtest]
#[actix_rt::test]
async fn an_oversize_answer_is_replaced_by_a_refusal() {
    let handler = Rc::new(|stream: ServerStream| drop(stream.send(chunk(20_000))));
    let server = serve(settings(), handler).await;
    let link = server.dial().await.unwrap();
    let mut stream = link.open(submit()).unwrap();
    let received = stream.receive().await;
    expect_that!(
        received,
        ok(matches_pattern!(frame::Body::Refused(anything())))
    );
}

#[gtest]
#[actix_rt::test]
async fn a_stream_that_is_not_read_is_closed_without_closing_the_link() {
    let mut bounds = settings();
    bounds.maximum_stream_bytes = 10_000;
    let handler = Rc::new(|stream: ServerStream| {
        actix_rt::spawn(async move {
            let _open = stream;
            std::future::pending::<()>().await;
        });
    });
    let server = serve(bounds, handler).await;
    let link = server.dial().await.unwrap();
    let flooded = link.open(submit()).unwrap();
    for _ in 0..10 {
        flooded.send(chunk(200)).unwrap();
    }
    let dropped = server
        .settings
        .metrics
        .frames_dropped
        .with_label_values(&["stream_not_read"]);
    wait_until(|| dropped.get() == 1).await;
    expect_that!(link.is_up(), eq(true));
}

/// Guards against a stream that begins after its node has decided to end.
#[gtest]
#[actix_rt::test]
async fn closed_gate_refuses() {
    let server = echo_server(settings()).await;
    let link = server.dial().await.unwrap();
    let mut begun = link.open(submit()).unwrap();
    expect_that!(begun.receive().await, ok(eq(&chunk(1))));
    server.gate.close();
    let mut late = link.open(submit()).unwrap();
    let Ok(frame::Body::Refused(refused)) = late.receive().await else {
        panic!("a stream began after the gate was closed");
    };
    expect_that!(refused.kind, eq(ErrorKind::NotReady as u32));
    expect_that!(refused.ran(), eq(Ran::No));
    expect_that!(refused.retry_after_ms, gt(0));
    begun.send(chunk(2)).unwrap();
    expect_that!(begun.receive().await, ok(eq(&chunk(2))));
}

/// Guards against counting an answer as sent while its frame is still queued.
#[gtest]
#[actix_rt::test]
async fn queued_frame_counts() {
    let handler = Rc::new(|stream: ServerStream| drop(stream.send(chunk(1))));
    let server = serve(settings(), handler).await;
    let link = server.dial().await.unwrap();
    server.policy.set(|path| path.cut = true);
    let mut stream = link.open(submit()).unwrap();
    wait_until(|| server.gate.in_progress() > 0).await;
    server.gate.close();
    let idle = tokio::time::timeout(Duration::from_millis(100), server.gate.wait_idle());
    expect_that!(idle.await.is_err(), eq(true));
    server.policy.set(|path| path.cut = false);
    server.gate.wait_idle().await;
    expect_that!(stream.receive().await, ok(eq(&chunk(1))));
}
