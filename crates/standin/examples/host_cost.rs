//! Measures the CPU and memory use of a host of simulated engines under closed-loop HTTP load.
//!
//! `cargo run --release -p dappleyard-standin --example host_cost -- ENGINES BATCH ONLINE SECONDS`
//!
//! BATCH and ONLINE are the numbers of concurrent sequences per engine; online ones are streamed
//! token by token.

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
    let [engines, batch, online, seconds] = arguments[..] else {
        eprintln!("usage: host_cost ENGINES BATCH ONLINE SECONDS");
        std::process::exit(2);
    };
    let host = EngineHost::start((0..engines).map(spec).collect()).expect("a host");
    let end = Instant::now() + Duration::from_secs(seconds as u64);
    actix_rt::System::new().block_on(drive(&host, batch, online, end));
    let meters = host.meters();
    let rate = |tokens: u64| tokens as f64 / seconds as f64;
    println!("engines {engines}, batch {batch}, online {online}, {seconds} s");
    println!("batch tokens/s {:.0}", rate(meters.batch_tokens));
    println!("online tokens/s {:.0}", rate(meters.online_tokens));
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

async fn drive(host: &EngineHandle, batch: usize, online: usize, end: Instant) {
    let engine = Rc::new(HttpEngine::new(
        Duration::from_secs(1),
        Duration::from_secs(10),
    ));
    let mut loops = Vec::new();
    for server in host.servers() {
        for place in 0..batch + online {
            let priority = match place < batch {
                true => Priority::BATCH,
                false => Priority::ONLINE,
            };
            let (engine, base) = (engine.clone(), host.base_url(&server));
            loops.push(closed_loop(engine, base, place, priority, end));
        }
    }
    futures::future::join_all(loops).await;
    tokio::time::sleep(end.saturating_duration_since(Instant::now())).await;
}

async fn closed_loop(
    engine: Rc<HttpEngine>,
    base: String,
    place: usize,
    priority: Priority,
    end: Instant,
) {
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let call = call(format!("{base} {place} {number}"), priority);
        let mut events = engine.generate(&base, call).await.expect("call accepted");
        while let Some(event) = events.next().await {
            if let EngineEvent::Finished { .. } = event.expect("an event") {
                break;
            }
        }
    }
}

fn call(name: String, priority: Priority) -> GenerateCall {
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
        priority,
        resume_offset: 0,
        attach_stream: String::new(),
        attach_only: false,
        stream: priority == Priority::ONLINE,
    }
}

/// Prints the resident memory and the CPU use of each thread.
fn print_threads(seconds: usize) {
    let ticks = procfs::ticks_per_second() as f64;
    let memory = Process::myself().and_then(|process| process.statm());
    let pages = memory.expect("memory").resident;
    let megabytes = pages * procfs::page_size() / 1_048_576;
    println!("resident memory {megabytes} MB, client included");
    let tasks = Process::myself().and_then(|process| process.tasks());
    for task in tasks.expect("threads").flatten() {
        let Ok(stat) = task.stat() else { continue };
        let used = (stat.utime + stat.stime) as f64 / ticks / seconds as f64;
        println!("{:>16} {:6.1}% of a core", stat.comm, used * 100.0);
    }
}
