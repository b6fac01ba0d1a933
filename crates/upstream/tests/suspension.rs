//! Idle connections expire while the machine is suspended.

use std::time::Duration;

use dappleyard_clock::simulate_suspension;
use dappleyard_emulator::{EmulatedServer, Reply};
use dappleyard_upstream::{Connection, IdleLimit, Pool};
use googletest::prelude::*;

const IDLE: IdleLimit = IdleLimit {
    default: Duration::from_secs(10),
    margin: Duration::ZERO,
};

#[gtest]
fn idle_connections_expire() {
    actix_rt::System::new().block_on(async {
        let server = EmulatedServer::start("id").await.expect("a server");
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_owned();
        server.default_reply(vec![Reply::Send(head)]);
        let pool = Pool::new(IDLE, 4);
        for suspended in [Duration::ZERO, 2 * IDLE.default] {
            let limit = Duration::from_secs(2);
            let opened = Connection::open(server.address(), limit).await;
            let mut connection = opened.expect("a connection");
            let answer = connection.send(b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n").await;
            expect_that!(answer.is_ok(), eq(true));
            expect_that!(connection.whole_body(16).await.is_ok(), eq(true));
            pool.put(server.address(), connection);
            simulate_suspension(suspended);
            let taken = pool.take(server.address());
            expect_that!(taken.is_some(), eq(suspended.is_zero()));
        }
    });
}
