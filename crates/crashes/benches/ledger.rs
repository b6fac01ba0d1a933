//! Benchmark of what the ledger costs a sound request, from its permit to its whole answer.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dappleyard_clock::Instant;
use dappleyard_crashes::{Fingerprint, Ledger, PromptPartId, RequestFeatures, RequestParts};

/// Shared parts in the prompt of a request.
const PARTS: [u64; 3] = [0, 1, 3];
/// Suspects in the ledger.
const SUSPECTS: [u64; 2] = [0, 4_000];

fn request(number: u64, parts: u64) -> RequestFeatures {
    let fingerprint = Fingerprint::of(&RequestParts {
        caller: "tenant",
        method: "POST",
        host: "shop.example",
        target: "/chat/x",
        body: &number.to_be_bytes(),
    });
    RequestFeatures::new(fingerprint, (0..parts).map(PromptPartId))
}

/// A ledger with suspected requests and prompt parts.
fn ledger(suspects: u64, now: Instant) -> Ledger {
    let mut ledger = Ledger::new(1);
    for number in 0..suspects {
        let part = PromptPartId(1_000 + number);
        let suspect = RequestFeatures::new(request(number, 0).request(), [part]);
        ledger.note_ended(&suspect, "i-1", None, now);
    }
    ledger
}

fn sound_request(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("ledger");
    let now = Instant::now();
    for suspects in SUSPECTS {
        for parts in PARTS {
            let mut ledger = ledger(suspects, now);
            let features = request(u64::MAX, parts);
            let served = || {
                black_box(ledger.refusal(&features, now));
                black_box(ledger.permit(&features, now));
                black_box(ledger.begin(&features, "i-2", now));
                ledger.end(&features, "i-2", now);
                black_box(ledger.note_served(&features, now))
            };
            let name = BenchmarkId::new(format!("{parts} parts"), format!("{suspects} suspects"));
            let mut served = served;
            group.bench_function(name, |bencher| bencher.iter(&mut served));
        }
    }
    let memory = allocation_counter::measure(|| {
        black_box(ledger(SUSPECTS[1], now));
    });
    println!(
        "{} suspects, of two features each: {} bytes at most",
        SUSPECTS[1], memory.bytes_max
    );
    group.finish();
}

criterion_group!(benches, sound_request);
criterion_main!(benches);
