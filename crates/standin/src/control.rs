//! HTTP control interface for stand-ins that run as a separate process: injects faults and returns
//! records. For experiments only.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::{App, HttpResponse, HttpServer, web};
use dappleyard_store::Machine;
use serde::Deserialize;

use crate::engine::EngineHandle;
use crate::platform::{Fault, PlatformHandle, Service};
use crate::server::{self, RunningServer};

struct Handles {
    engines: Arc<EngineHandle>,
    platform: PlatformHandle,
}

type Shared = web::Data<Handles>;

/// Body of `PUT /control/faults/{service}`; an empty object clears its faults.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FaultBody {
    refusing: bool,
    unreachable: bool,
    delay_ms: u64,
    answer_lost: f64,
}

/// A running control interface.
pub struct ControlHandle(RunningServer);

impl ControlHandle {
    pub fn address(&self) -> SocketAddr {
        self.0.address()
    }

    pub fn stop(&self) {
        self.0.stop();
    }
}

/// Starts the control interface; port 0 selects a free port.
pub fn start(
    listen: &str,
    engines: Arc<EngineHandle>,
    platform: PlatformHandle,
) -> std::io::Result<ControlHandle> {
    let listen = listen.to_owned();
    let server = server::start("stand-ins-control", move || {
        let handles = web::Data::new(Handles { engines, platform });
        HttpServer::new(move || App::new().app_data(handles.clone()).configure(configure))
            .workers(1)
            .disable_signals()
            .bind(listen.as_str())
            .map(|server| (server.addrs(), server.run()))
    })?;
    Ok(ControlHandle(server))
}

fn configure(config: &mut web::ServiceConfig) {
    config.service(
        web::scope("/control")
            .route("/engines/{server}/{action}", web::post().to(engine))
            .route("/faults/{service}", web::put().to(fault))
            .route("/machines", web::put().to(put_machine))
            .route("/machines/{name}", web::delete().to(remove_machine))
            .route("/records", web::get().to(records))
            .route("/meters", web::get().to(meters))
            .route("/table-counts", web::get().to(table_counts)),
    );
}

async fn engine(handles: Shared, path: web::Path<(String, String)>) -> HttpResponse {
    let (server, action) = path.into_inner();
    let engines = &handles.engines;
    match action.as_str() {
        "kill" => engines.kill(&server),
        "revive" => engines.restart(&server),
        "hang" => engines.set_hung(&server, true),
        "go-on" => engines.set_hung(&server, false),
        _ => return HttpResponse::NotFound().body("kill, revive, hang or go-on"),
    }
    HttpResponse::Ok().finish()
}

async fn fault(
    handles: Shared,
    service: web::Path<String>,
    body: web::Json<FaultBody>,
) -> HttpResponse {
    let service = match service.as_str() {
        "tables" => Service::Tables,
        "objects" => Service::Objects,
        "machines" => Service::Machines,
        _ => return HttpResponse::NotFound().body("tables, objects or machines"),
    };
    let fault = Fault {
        refusing: body.refusing,
        unreachable: body.unreachable,
        delay: Duration::from_millis(body.delay_ms),
        answer_lost: body.answer_lost,
    };
    handles.platform.set_fault(service, fault);
    HttpResponse::Ok().finish()
}

async fn put_machine(handles: Shared, machine: web::Json<Machine>) -> HttpResponse {
    handles.platform.put_machine(machine.into_inner());
    HttpResponse::Ok().finish()
}

async fn remove_machine(handles: Shared, name: web::Path<String>) -> HttpResponse {
    handles.platform.remove_machine(&name);
    HttpResponse::Ok().finish()
}

async fn records(handles: Shared) -> HttpResponse {
    HttpResponse::Ok().json(handles.engines.records())
}

async fn meters(handles: Shared) -> HttpResponse {
    HttpResponse::Ok().json(handles.engines.meters())
}

async fn table_counts(handles: Shared) -> HttpResponse {
    HttpResponse::Ok().json(handles.platform.table_counts())
}
