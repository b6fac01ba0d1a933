//! What a host of engines costs the machine: closed loop of batch sequences over HTTP.
//!
//! `cargo run --release -p dappleyard-standin --example host_cost -- ENGINES WIDTH SECONDS`

use std::rc::Rc;
use std::time::{Duration, Instant};

use dappleyard_engine::{Engine, EngineEvent, GenerateCall, HttpEngine, Priority};
use dappleyard_standin::engine::{EngineHandle, EngineHost, EngineModelSettings, EngineSpec};
use futures::StreamExt;
use procfs::process::Process;

fn main() {
    let arguments: Vec<usize> = std::env::args()
        .skip(1)
        .map(|argument| argument.parse().expect("a number"))
        .collect();
    let [engines, width, seconds] = arguments[..] else {
        eprintln!("usage: host_cost ENGINES WIDTH SECONDS");
        std::process::exit(2);
    };
    let host = EngineHost::start((0..engines).map(spec).collect()).expect("a host");
    let end = Instant::now() + Duration::from_secs(seconds as u64);
    actix_rt::System::new().block_on(drive(&host, width, end));
    let meters = host.meters();
    let made = meters.batch_tokens as f64 / seconds as f64;
    println!("engines {engines}, width {width}, {seconds} s: {made:.0} batch tokens/s");
    println!(
        "late by {:.2}% of the engines' time",
        meters.stalled_us as f64 / 1e4 / (engines * seconds) as f64
    );
    print_threads(seconds);
}

fn spec(number: usize) -> EngineSpec {
    EngineSpec {
        server: format!("server-{number}"),
        service: "service".to_owned(),
        version: "v1".to_owned(),
        adapters: Vec::new(),
        model: EngineModelSettings::default(),
        seed: number as u64,
    }
}

async fn drive(host: &EngineHandle, width: usize, end: Instant) {
    let engine = Rc::new(HttpEngine::new(
        Duration::from_secs(1),
        Duration::from_secs(10),
    ));
    let mut loops = Vec::new();
    for server in host.servers() {
        for place in 0..width {
            let (engine, base) = (engine.clone(), host.base(&server));
            loops.push(closed_loop(engine, base, place, end));
        }
    }
    futures::future::join_all(loops).await;
}

async fn closed_loop(engine: Rc<HttpEngine>, base: String, place: usize, end: Instant) {
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let call = call(format!("{base} {place} {number}"));
        let mut events = engine.generate(&base, call).await.expect("taken in");
        while let Some(event) = events.next().await {
            if let EngineEvent::Finished { .. } = event.expect("an event") {
                break;
            }
        }
    }
}

fn call(name: String) -> GenerateCall {
    GenerateCall {
        request_id: name.clone(),
        attempt: 1,
        service: "service".to_owned(),
        version: String::new(),
        adapter: String::new(),
        prompt: name,
        prompt_tokens: 600,
        prefix_hash: 0,
        prefix_tokens: 0,
        max_tokens: 200,
        priority: Priority::BATCH,
        resume_offset: 0,
        attach_stream: String::new(),
        attach_only: false,
        stream: false,
    }
}

/// Processor time of each thread, as a share of one core.
fn print_threads(seconds: usize) {
    let ticks = procfs::ticks_per_second() as f64;
    let tasks = Process::myself().and_then(|process| process.tasks());
    for task in tasks.expect("threads").flatten() {
        let Ok(stat) = task.stat() else { continue };
        let used = (stat.utime + stat.stime) as f64 / ticks / seconds as f64;
        println!("{:>16} {:6.1}% of a core", stat.comm, used * 100.0);
    }
}
