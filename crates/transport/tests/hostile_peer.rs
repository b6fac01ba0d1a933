//! A peer that violates the protocol loses its own link and does not affect others.

mod support;

use std::rc::Rc;
use std::time::Duration;

use dappleyard_transport::link::ServerStream;
use dappleyard_wire::messages::{Cancel, frame};
use googletest::prelude::*;
use support::{
    RawPeer, TestServer, chunk, echo_server, encode_frame, hello, serve, settings, submit,
    wait_until,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

async fn connect_raw(server: &TestServer) -> TcpStream {
    TcpStream::connect(server.address).await.unwrap()
}

async fn expect_other_links_work(server: &TestServer) {
    let link = server.dial().await.unwrap();
    let mut stream = link.open(submit()).unwrap();
    expect_that!(stream.receive().await, ok(eq(&chunk(1))));
}

#[gtest]
#[actix_rt::test]
async fn malformed_hello_is_rejected() {
    let server = echo_server(settings()).await;
    let mut socket = connect_raw(&server).await;
    let bytes = b"GET / HTTP/1.1\r\nHost: nobody\r\n\r\n";
    socket.write_all(bytes).await.unwrap();
    wait_until(|| server.rejected("garbage") == 1).await;
    expect_other_links_work(&server).await;
}

#[gtest]
#[actix_rt::test]
async fn a_silent_connection_is_rejected_after_the_timeout() {
    let server = echo_server(settings()).await;
    let _socket = connect_raw(&server).await;
    tokio::time::sleep(Duration::from_millis(1)).await;
    tokio::time::pause();
    wait_until(|| server.rejected("no_hello_in_time") == 1).await;
}

#[gtest]
#[actix_rt::test]
async fn another_protocol_version_is_rejected() {
    let server = echo_server(settings()).await;
    let mut other = hello("raw");
    other.protocol = 99;
    let mut socket = connect_raw(&server).await;
    let greeting = encode_frame(0, frame::Body::Hello(other));
    socket.write_all(&greeting).await.unwrap();
    wait_until(|| server.rejected("protocol") == 1).await;
}

#[gtest]
#[actix_rt::test]
async fn a_malformed_frame_closes_only_its_link() {
    let server = echo_server(settings()).await;
    let mut socket = RawPeer::connect(&server).await.socket;
    socket
        .write_all(&[0, 0, 0, 5, 255, 255, 255, 255, 255])
        .await
        .unwrap();
    wait_until(|| server.closed("garbage") == 1).await;
    expect_other_links_work(&server).await;
}

#[gtest]
#[actix_rt::test]
async fn an_oversize_frame_closes_only_its_link() {
    let server = echo_server(settings()).await;
    let mut socket = RawPeer::connect(&server).await.socket;
    socket.write_all(&[127, 0, 0, 0, 1, 2, 3]).await.unwrap();
    wait_until(|| server.closed("oversize") == 1).await;
    expect_other_links_work(&server).await;
}

#[gtest]
#[actix_rt::test]
async fn frames_of_streams_that_are_not_open_are_dropped_and_counted() {
    let server = echo_server(settings()).await;
    let mut socket = RawPeer::connect(&server).await.socket;
    let cancel = frame::Body::Cancel(Cancel::default());
    for body in [encode_frame(5, cancel), encode_frame(6, chunk(1))] {
        socket.write_all(&body).await.unwrap();
    }
    let dropped = server
        .settings
        .metrics
        .frames_dropped
        .with_label_values(&["no_stream"]);
    wait_until(|| dropped.get() == 2).await;
}

#[gtest]
#[actix_rt::test]
async fn a_closed_stream_is_not_opened_again() {
    let handled = Rc::new(std::cell::Cell::new(0));
    let count = handled.clone();
    let handler = Rc::new(move |_: ServerStream| count.set(count.get() + 1));
    let server = serve(settings(), handler).await;
    let mut socket = RawPeer::connect(&server).await.socket;
    for _ in 0..3 {
        socket.write_all(&encode_frame(4, submit())).await.unwrap();
    }
    let dropped = server
        .settings
        .metrics
        .frames_dropped
        .with_label_values(&["no_stream"]);
    wait_until(|| dropped.get() == 2).await;
    expect_that!(handled.get(), eq(1));
}

#[gtest]
#[actix_rt::test]
async fn a_peer_that_does_not_read_loses_its_link() {
    let mut bounds = settings();
    bounds.maximum_queued_bytes = 1_000_000;
    // On a busy machine filling the queue may take longer than the default idle timeout.
    bounds.idle_timeout = Duration::from_secs(3_600);
    let handler = Rc::new(|stream: ServerStream| {
        actix_rt::spawn(async move {
            while stream.send(chunk(1_000)).is_ok() {
                tokio::task::yield_now().await;
            }
        });
    });
    let server = serve(bounds, handler).await;
    let mut socket = RawPeer::connect(&server).await.socket;
    socket.write_all(&encode_frame(1, submit())).await.unwrap();
    wait_until(|| server.closed("slow_peer") == 1).await;
    drop(socket);
}

#[gtest]
#[actix_rt::test]
async fn links_beyond_the_bound_are_rejected() {
    let mut bounds = settings();
    bounds.maximum_links = 1;
    let server = echo_server(bounds).await;
    let first = server.dial().await.unwrap();
    expect_that!(server.dial().await.err(), some(anything()));
    expect_that!(server.rejected("too_many"), eq(1));
    expect_that!(first.is_up(), eq(true));
}
