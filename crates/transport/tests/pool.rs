//! The link pool: shared dials, lost links, failed dials and unary calls.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use dappleyard_transport::link::ServerStream;
use dappleyard_transport::{CallError, LinkError, LinkPool};
use dappleyard_wire::messages::{Call, ListModels, Reply, call, frame};
use dappleyard_wire::{ErrorKind, Failure};
use googletest::prelude::*;
use support::{AdjustablePolicy, echo_server, hello, serve, settings, submit, wait_until};
use tokio::net::TcpListener;

fn pool() -> LinkPool {
    LinkPool::new(hello("client"), settings(), AdjustablePolicy::direct())
}

fn list_models() -> Call {
    Call {
        budget_ms: 0,
        method: Some(call::Method::ListModels(ListModels::default())),
    }
}

#[gtest]
#[actix_rt::test]
async fn requests_at_the_same_time_share_one_dial() {
    let server = echo_server(settings()).await;
    let (pool, address) = (pool(), server.address.to_string());
    let (first, second) = futures::join!(pool.get(&address), pool.get(&address));
    let (first, second) = (first.unwrap(), second.unwrap());
    let _stream = first.open(submit()).unwrap();
    expect_that!(second.open_streams(), eq(1));
}

#[gtest]
#[actix_rt::test]
async fn a_lost_link_is_not_reused() {
    let server = echo_server(settings()).await;
    let listener = server.address;
    let pool = pool();
    let link = pool.get(&listener.to_string()).await.unwrap();
    server.serving.abort();
    wait_until(|| !link.is_up()).await;
    expect_that!(pool.get(&listener.to_string()).await.is_err(), is_true());
}

#[gtest]
#[actix_rt::test]
async fn a_failed_dial_is_cached() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let pool = pool();
    let first = pool.get(&address).await.err();
    expect_that!(first, some(matches_pattern!(LinkError::Connect { .. })));
    let listener = TcpListener::bind(&address).await.unwrap();
    expect_that!(pool.get(&address).await.err(), eq(&first));
    drop(listener);
}

#[gtest]
#[actix_rt::test]
async fn a_call_gets_its_reply_a_refusal_or_no_reply_in_time() {
    let calls = Rc::new(Cell::new(0));
    let counted = calls.clone();
    let held: Rc<Cell<Option<ServerStream>>> = Rc::default();
    let handler = Rc::new(move |stream: ServerStream| {
        counted.set(counted.get() + 1);
        let refusal = Failure::not_run(ErrorKind::NotReady, "not now").to_refused();
        match counted.get() {
            1 => drop(stream.send(frame::Body::Reply(Reply::default()))),
            2 => drop(stream.send(frame::Body::Refused(refusal))),
            _ => held.set(Some(stream)),
        }
    });
    let server = serve(settings(), handler).await;
    let (pool, address) = (pool(), server.address.to_string());
    let reply_timeout = Duration::from_millis(100);
    let reply = pool.call(&address, list_models(), reply_timeout).await;
    expect_that!(reply, ok(eq(&Reply::default())));
    let refused = pool.call(&address, list_models(), reply_timeout).await;
    expect_that!(
        refused,
        err(matches_pattern!(CallError::Refused(anything())))
    );
    let silent = pool.call(&address, list_models(), reply_timeout).await;
    expect_that!(silent, err(matches_pattern!(CallError::NoReply { .. })));
    expect_that!(calls.get(), eq(3));
}
