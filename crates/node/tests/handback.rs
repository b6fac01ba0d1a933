//! Batch work that a stopping node gives to others.

mod support;

use std::sync::Arc;
use std::time::Duration;

use dappleyard_node::NodeHandle;
use dappleyard_settings::NodeSettings;
use dappleyard_standin::engine::{EngineHandle, EngineHost, EngineModelSettings, EngineSpec};
use dappleyard_standin::platform::{PlatformHandle, PlatformStandIn, PlatformStandInSettings};
use dappleyard_store::{Machine, MachineRole};
use dappleyard_transport::{DirectPolicy, Link, LinkSettings};
use dappleyard_wire::keys::HELD_CHUNK_PREFIX;
use dappleyard_wire::messages::{
    FileAppend, FileCreate, FileSeal, GenerateRequest, JobSubmit, Repeat, Stage, Submit, call,
    frame, reply,
};
use googletest::prelude::*;

use support::{dial, open_call, platform_settings, settings, start, wait_until_ready};

const SERVICE: &str = "llm";
const SERVER: &str = "server-0";
const TENANT: &str = "default";
/// Tokens of each answer, which take minutes.
const LONG_TOKENS: u32 = 4_000;
const STEP_MS: f64 = 50.0;
const STOP_BOUND: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(20);

fn start_engine() -> EngineHandle {
    let spec = EngineSpec {
        server: SERVER.to_owned(),
        service: SERVICE.to_owned(),
        version: "v1".to_owned(),
        adapters: Vec::new(),
        model: EngineModelSettings {
            base_ms: STEP_MS,
            ..EngineModelSettings::default()
        },
        seed: 1,
    };
    EngineHost::start(vec![spec]).unwrap()
}

fn start_platform(engine: &EngineHandle) -> PlatformHandle {
    let platform = PlatformStandIn::start(PlatformStandInSettings::default()).unwrap();
    let location = NodeSettings::default().place;
    platform.set_initial_machines(vec![Machine {
        name: SERVER.to_owned(),
        role: MachineRole::Server,
        region: location.region.as_str().into(),
        zone: location.zone.as_str().into(),
        hall: location.zone.clone(),
        address: engine.base_url(SERVER),
        service: SERVICE.into(),
        leaving: false,
    }]);
    platform
}

async fn start_node(platform: &PlatformHandle) -> NodeHandle {
    let mut settings = settings(platform_settings(platform));
    settings.stop_bound_ms = STOP_BOUND.as_millis() as u64;
    let node = start(settings, Arc::new(DirectPolicy)).await;
    wait_until_ready(&node).await;
    node
}

async fn call(link: &Link, method: call::Method) -> reply::Result {
    match open_call(link, method).receive().await {
        Ok(frame::Body::Reply(reply)) => reply.result.unwrap(),
        other => panic!("no reply: {other:?}"),
    }
}

/// Submits a job of one item.
async fn submit_job(link: &Link) {
    let tenant = TENANT.to_owned();
    let create = FileCreate {
        tenant: tenant.clone(),
        filename: "input.jsonl".to_owned(),
        purpose: "batch".to_owned(),
    };
    let reply::Result::File(file) = call(link, call::Method::FileCreate(create)).await else {
        panic!("no file");
    };
    let body = format!(
        r#"{{"model":"{SERVICE}","max_tokens":{LONG_TOKENS},"messages":[{{"role":"user","content":"x"}}]}}"#
    );
    let line = format!(
        r#"{{"custom_id":"1","method":"POST","url":"/v1/chat/completions","body":{body}}}"#
    ) + "\n";
    let file_id = file.file_id;
    let seal = FileSeal {
        file_id: file_id.clone(),
        size: line.len() as u64,
        tenant: tenant.clone(),
    };
    let append = FileAppend {
        file_id: file_id.clone(),
        offset: 0,
        data: line.into_bytes(),
        tenant: tenant.clone(),
    };
    call(link, call::Method::FileAppend(append)).await;
    call(link, call::Method::FileSeal(seal)).await;
    let submit = JobSubmit {
        tenant,
        client_key: "job".to_owned(),
        input_file_id: file_id,
        endpoint: "/v1/chat/completions".to_owned(),
        completion_window_s: 86_400,
        repeat: Repeat::Allowed as i32,
        ..JobSubmit::default()
    };
    call(link, call::Method::JobSubmit(submit)).await;
}

fn online_request() -> frame::Body {
    frame::Body::Submit(Submit {
        request: Some(GenerateRequest {
            request_id: "0".repeat(32),
            tenant: TENANT.to_owned(),
            service: SERVICE.to_owned(),
            repeat: Repeat::Allowed as i32,
            prompt: "y".to_owned(),
            prompt_tokens: 1,
            max_tokens: LONG_TOKENS,
            ..GenerateRequest::default()
        }),
        attempt: 1,
        stage: Stage::Ingress as i32,
        budget_ms: 600_000,
        ..Submit::default()
    })
}

async fn wait_for_held_chunks(platform: &PlatformHandle, count: usize) {
    while platform.rows(HELD_CHUNK_PREFIX).len() != count {
        tokio::time::sleep(POLL).await;
    }
}

/// Guards against a stop that hands chunks back only after its last online stream.
#[gtest]
#[actix_rt::test]
async fn chunks_beside_stream() {
    let engine = start_engine();
    let platform = start_platform(&engine);
    let node = start_node(&platform).await;
    let link = dial(&node, &LinkSettings::default()).await;
    submit_job(&link).await;
    wait_for_held_chunks(&platform, 1).await;
    let mut stream = link.open(online_request()).unwrap();
    let first = stream.receive().await;
    expect_that!(first, ok(matches_pattern!(frame::Body::Accepted(_))));
    let handed_back_first = tokio::select! {
        _ = node.stop() => false,
        () = wait_for_held_chunks(&platform, 0) => true,
    };
    expect_that!(handed_back_first, eq(true));
}
