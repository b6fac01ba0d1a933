//! Datagrams between two sockets: delivery, loss, delay and malformed input.

mod support;

use std::sync::Arc;
use std::time::Duration;

use dappleyard_clock::Instant;
use dappleyard_transport::DatagramSocket;
use dappleyard_transport::datagram::Received;
use dappleyard_wire::messages::{Datagram, Probe, datagram};
use googletest::prelude::*;
use support::AdjustablePolicy;

async fn socket(policy: &Arc<AdjustablePolicy>) -> DatagramSocket {
    let address = "127.0.0.1:0".parse().unwrap();
    DatagramSocket::bind(address, policy.clone()).await.unwrap()
}

fn datagram_with_sequence(sequence: u64) -> Datagram {
    Datagram {
        from: "node-1".to_owned(),
        sequence,
        body: Some(datagram::Body::Probe(Probe::default())),
        ..Datagram::default()
    }
}

async fn next_sequence(socket: &DatagramSocket) -> u64 {
    match socket.receive().await.unwrap() {
        Received::Message { datagram, .. } => datagram.sequence,
        Received::Malformed { .. } => panic!("malformed"),
    }
}

#[gtest]
#[actix_rt::test]
async fn a_datagram_arrives_with_its_size_and_sender() {
    let policy = AdjustablePolicy::direct();
    let (sender, receiver) = (socket(&policy).await, socket(&policy).await);
    let size = sender.send(
        receiver.local_address().unwrap(),
        &datagram_with_sequence(7),
    );
    let Received::Message {
        from,
        datagram,
        bytes,
    } = receiver.receive().await.unwrap()
    else {
        panic!("malformed");
    };
    expect_that!(*datagram, eq(&datagram_with_sequence(7)));
    expect_that!(bytes, eq(size));
    expect_that!(from, eq(sender.local_address().unwrap()));
}

#[gtest]
#[actix_rt::test]
async fn malformed_datagrams_are_reported_and_later_ones_are_received() {
    let policy = AdjustablePolicy::direct();
    let (sender, receiver) = (socket(&policy).await, socket(&policy).await);
    let to = receiver.local_address().unwrap();
    let raw = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let long = vec![0xff_u8; 60_000];
    for bytes in [&b"\xff\xff\xff garbage"[..], &long] {
        raw.send_to(bytes, to).unwrap();
        expect_that!(
            receiver.receive().await.unwrap(),
            matches_pattern!(Received::Malformed {
                from: eq(&raw.local_addr().unwrap())
            })
        );
    }
    sender.send(to, &datagram_with_sequence(1));
    expect_that!(next_sequence(&receiver).await, eq(1));
}

#[gtest]
#[actix_rt::test]
async fn datagrams_on_a_partitioned_or_lossy_path_are_dropped() {
    let policy = AdjustablePolicy::direct();
    let (sender, receiver) = (socket(&policy).await, socket(&policy).await);
    let to = receiver.local_address().unwrap();
    policy.set(|path| path.cut = true);
    sender.send(to, &datagram_with_sequence(1));
    policy.set(|path| path.cut = false);
    policy.set(|path| path.loss = 1.0);
    sender.send(to, &datagram_with_sequence(2));
    policy.set(|path| path.loss = 0.0);
    sender.send(to, &datagram_with_sequence(3));
    expect_that!(next_sequence(&receiver).await, eq(3));
}

#[gtest]
#[actix_rt::test]
async fn a_path_delay_is_applied_to_a_datagram() {
    let policy = AdjustablePolicy::direct();
    let (sender, receiver) = (socket(&policy).await, socket(&policy).await);
    tokio::time::pause();
    let delay = Duration::from_secs(5);
    policy.set(|path| path.delay = delay);
    let sent_at = Instant::now();
    sender.send(
        receiver.local_address().unwrap(),
        &datagram_with_sequence(1),
    );
    expect_that!(next_sequence(&receiver).await, eq(1));
    expect_that!(sent_at.elapsed(), ge(delay));
}
