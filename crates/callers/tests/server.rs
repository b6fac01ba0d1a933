//! The HTTP server of a process.

use std::sync::Arc;

use actix_web::{App, HttpResponse, web};
use dappleyard_budget::CallerLimits;
use dappleyard_callers::{ConnectionGate, ServerOptions, listen, serve};
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn panic() -> HttpResponse {
    panic!("a fault of the handler")
}

/// Guards against a request that gets no answer because its handler has panicked.
#[gtest]
fn panicking_handler() {
    actix_web::rt::System::new().block_on(async {
        let factory = || App::new().default_service(web::to(panic));
        let listener = listen(
            ([127, 0, 0, 1], 0).into(),
            &CallerLimits::of_machine(120, 3_075),
        )
        .expect("a port");
        let address = listener.local_addr().expect("an address");
        let gate = Arc::new(ConnectionGate::default());
        let server =
            serve(vec![listener], 1, ServerOptions::default(), &gate, factory).expect("a server");
        let handle = server.handle();
        actix_web::rt::spawn(server);
        let mut caller = TcpStream::connect(address).await.expect("a connection");
        let request = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        caller.write_all(request).await.expect("send the request");
        let mut answer = String::new();
        // A connection reset shows as missing text.
        let _ = caller.read_to_string(&mut answer).await;
        expect_that!(answer, starts_with("HTTP/1.1 500 "));
        drop(handle.stop(false));
    });
}
