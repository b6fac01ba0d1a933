//! The HTTP server of a process, over connections that a [`ConnectionGate`] can end.

use std::fmt::Debug;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::MessageBody;
use actix_http::error::DispatchError;
use actix_http::{HttpMessage, HttpService, Request, Response};
use actix_server::{Server, ServerBuilder};
use actix_service::{
    IntoServiceFactory, Service, ServiceFactory, ServiceFactoryExt, apply_fn_factory, fn_service,
    map_config,
};
use actix_web::dev::AppConfig;
use actix_web::error::ErrorInternalServerError;
use dappleyard_budget::CallerLimits;
use futures::FutureExt;
use tokio::net::{TcpSocket, TcpStream};

use crate::answer_body::AnswerBody;
use crate::body::has_body;
use crate::connection::CallerConnection;
use crate::gate::ConnectionGate;
use crate::stream::GatedStream;

/// How a server treats its connections.
#[derive(Debug, Clone, Copy)]
pub struct ServerOptions {
    /// Idle time after which a connection is closed.
    pub keep_alive: Duration,
    /// Time for the head of the first request.
    pub head: Duration,
    /// Time for which a connection that was closed for sending is still read.
    pub disconnect: Duration,
    /// Time for answers in progress in a stop, in seconds.
    pub stop_s: u64,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            keep_alive: Duration::from_secs(120),
            head: Duration::from_secs(15),
            disconnect: Duration::from_secs(1),
            stop_s: 30,
        }
    }
}

/// Connections that are accepted beyond the limit, to be refused or to replace others.
const MAX_WAITING_CONNECTIONS: usize = 32;

/// Opens a listener. A port is free at once after an earlier process.
pub fn listen(address: SocketAddr, limits: &CallerLimits) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit it.
    socket.set_recv_buffer_size(limits.receive_buffer_bytes as u32)?;
    socket.bind(address)?;
    socket.listen(limits.waiting as u32)?.into_std()
}

/// The request may have run. The panic itself is written to standard error.
fn handler_panicked() -> actix_web::Error {
    ErrorInternalServerError("internal error")
}

fn too_many_connections() -> DispatchError {
    DispatchError::Io(io::Error::other("too many connections"))
}

/// Starts a server with worker threads, on each of which `app` is called once for each listener.
pub fn serve<F, I, S, B>(
    listeners: Vec<TcpListener>,
    workers: usize,
    options: ServerOptions,
    gate: &Arc<ConnectionGate>,
    app: F,
) -> io::Result<Server>
where
    F: Fn() -> I + Send + Clone + 'static,
    I: IntoServiceFactory<S, Request>,
    S: ServiceFactory<Request, Config = AppConfig, Error = actix_web::Error> + 'static,
    S::Service: 'static,
    S::InitError: Debug,
    S::Response: Into<Response<B>>,
    <S::Service as Service<Request>>::Future: 'static,
    B: MessageBody + 'static,
{
    let mut builder = ServerBuilder::new()
        .workers(workers)
        .shutdown_timeout(options.stop_s)
        .disable_signals();
    // The gate decides; this bounds those that wait for it.
    builder =
        builder.max_concurrent_connections(gate.limits().connections + MAX_WAITING_CONNECTIONS);
    for listener in listeners {
        let local = listener.local_addr()?;
        let (gate, app) = (gate.clone(), app.clone());
        builder = builder.listen(local.to_string(), listener, move || {
            let gate = gate.clone();
            let admit = fn_service(move |stream: TcpStream| {
                let peer = stream.peer_addr().ok();
                let admitted = gate.admit(stream, local);
                async move {
                    let stream = admitted.ok_or_else(too_many_connections)?;
                    Ok::<_, DispatchError>((stream, peer))
                }
            });
            let handler = map_config(app().into_factory(), |()| AppConfig::default());
            let handler = apply_fn_factory(handler, |request: Request, service: &S::Service| {
                let connection = request.conn_data::<Arc<CallerConnection>>().cloned();
                if let Some(connection) = &connection {
                    connection.begin_request(has_body(request.headers()));
                }
                let answering = AssertUnwindSafe(service.call(request)).catch_unwind();
                async move {
                    let answer = answering.await.map_err(|_| handler_panicked())?;
                    // The answer to an error is made by the library and has no body that could end.
                    let answer = answer.inspect_err(|_| {
                        if let Some(connection) = &connection {
                            connection.end_answer();
                        }
                    });
                    let answer: Response<B> = answer?.into();
                    Ok(answer.map_body(|_, body| AnswerBody::new(body, connection)))
                }
            });
            let http = HttpService::build()
                .keep_alive(options.keep_alive)
                .client_request_timeout(options.head)
                .client_disconnect_timeout(options.disconnect)
                .h1_allow_half_closed(false)
                .local_addr(local)
                .on_connect_ext(|stream: &GatedStream, extensions| {
                    extensions.insert(stream.connection().clone());
                })
                .h1(handler.map_err(|error: actix_web::Error| error.error_response()));
            admit.and_then(http)
        })?;
    }
    Ok(builder.run())
}
