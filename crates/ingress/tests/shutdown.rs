//! Graceful shutdown completes requests in flight.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use actix_web::{App, HttpResponse, HttpServer, web};
use dappleyard_clock::Instant;
use dappleyard_ingress::finish_requests;
use googletest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

struct HandlerState {
    in_flight: Arc<AtomicU64>,
    received: Arc<Notify>,
    answer: Arc<Notify>,
}

async fn handle(state: web::Data<HandlerState>) -> HttpResponse {
    state.in_flight.fetch_add(1, Ordering::Relaxed);
    state.received.notify_one();
    state.answer.notified().await;
    state.in_flight.fetch_sub(1, Ordering::Relaxed);
    HttpResponse::Ok().body("whole")
}

#[gtest]
fn request_during_shutdown() {
    actix_web::rt::System::new().block_on(async {
        let in_flight = Arc::new(AtomicU64::new(0));
        let (received, answer) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
        let state = web::Data::new(HandlerState {
            in_flight: in_flight.clone(),
            received: received.clone(),
            answer: answer.clone(),
        });
        let factory = move || {
            let app = App::new().app_data(state.clone());
            app.default_service(web::to(handle))
        };
        let server = HttpServer::new(factory).workers(1).disable_signals();
        let server = server.bind(("127.0.0.1", 0)).expect("a port");
        let address = server.addrs()[0];
        let server = server.run();
        let server_handle = server.handle();
        actix_web::rt::spawn(server);
        let mut caller = TcpStream::connect(address).await.expect("a connection");
        let request = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        caller.write_all(request).await.expect("send the request");
        received.notified().await;
        let closing = actix_web::rt::spawn(async move {
            finish_requests(
                &server_handle,
                &in_flight,
                Instant::now() + Duration::from_secs(20),
            )
            .await;
            server_handle.stop(false).await;
        });
        // Lets the shutdown start while the request is in flight.
        tokio::task::yield_now().await;
        answer.notify_one();
        closing.await.expect("shut down the server");
        let mut text = String::new();
        // A connection reset shows as missing text.
        let _ = caller.read_to_string(&mut text).await;
        expect_that!(text, ends_with("whole"));
    });
}
