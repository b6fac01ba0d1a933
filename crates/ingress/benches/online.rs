//! Benchmarks of server selection, of prompt-affinity lookup and of event splitting.

use std::hint::black_box;
use std::sync::Arc;

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use dappleyard_cluster::{LoadSummary, ServerSelector, ZoneDistances};
use dappleyard_ingress::{Candidate, EventSplitter, affinity_server, choose};
use dappleyard_model::ServerRecord;

const FLEETS: [usize; 3] = [12, 320, 7_900];
const EVENTS: usize = 1_000;

fn fleet(count: usize) -> Vec<Arc<ServerRecord>> {
    let server = |number: usize| ServerRecord {
        id: format!("i-{number:05}"),
        instance: format!("i-{number:05}"),
        service: "llm".to_owned(),
        address: ([10, 0, 0, 1], 8_000).into(),
        zone: ["north", "south", "west"][number % 3].to_owned(),
        version: "v1".parse().ok(),
        slots: 17,
        draining: false,
        cold_left_ms: 0,
    };
    (0..count).map(|number| Arc::new(server(number))).collect()
}

fn candidates(servers: &[Arc<ServerRecord>]) -> Vec<Candidate> {
    let candidate = |(number, server): (usize, &Arc<ServerRecord>)| Candidate {
        server: server.clone(),
        load: LoadSummary {
            online: (number % 7) as u32,
            batch: (number % 5) as u32,
            ..LoadSummary::default()
        },
    };
    servers.iter().enumerate().map(candidate).collect()
}

fn placement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement");
    for count in FLEETS {
        let servers = ServerSelector::new("node-1", "north").servers(fleet(count));
        let used = candidates(&servers.used);
        let zone_distances = ZoneDistances::single_region("north");
        let decide =
            || choose(black_box(&used), &zone_distances, None).map(|chosen| chosen.server.slots);
        let allocations = allocation_counter::measure(|| {
            black_box(decide());
        });
        println!(
            "{count} servers, {} used: {} allocations",
            used.len(),
            allocations.count_total
        );
        group.bench_function(BenchmarkId::new("choose", count), |bencher| {
            bencher.iter(|| black_box(decide()));
        });
        group.bench_function(BenchmarkId::new("home", count), |bencher| {
            bencher.iter(|| {
                black_box(affinity_server(&servers.affinity_servers, black_box(77)).is_some())
            });
        });
    }
    group.finish();
}

fn events(criterion: &mut Criterion) {
    let event = format!("id: 12\ndata: {}\n\n", "x".repeat(60));
    let stream = event.repeat(EVENTS);
    let pass = || {
        let mut splitter = EventSplitter::default();
        let mut passed = 0;
        for piece in stream.as_bytes().chunks(event.len()) {
            splitter.push(piece);
            while let Some(event) = splitter.next_event() {
                passed += event.bytes.len();
            }
        }
        passed
    };
    let allocations = allocation_counter::measure(|| {
        black_box(pass());
    });
    println!(
        "{:.2} allocations an event",
        allocations.count_total as f64 / EVENTS as f64
    );
    let mut group = criterion.benchmark_group("events");
    group.throughput(Throughput::Elements(EVENTS as u64));
    group.bench_function("split", |bencher| bencher.iter(|| black_box(pass())));
    group.finish();
}

criterion_group!(benches, placement, events);
criterion_main!(benches);
