//! CPU time of the online path on one node, from submission to the last frame: admission, placement at
//! the ingress and owner stages, dispatch and relay of 120 tokens. Engines answer immediately; links and
//! engine HTTP are not included.

#[path = "../tests/support/mod.rs"]
mod support;

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use dappleyard_wire::messages::{Submit, frame};
use support::{Node, request};

const SERVERS: usize = 20;
const TOKENS: u32 = 120;

fn submission(number: u64) -> Submit {
    let mut submit = request(&format!("r{number}"));
    let inner = submit.request.as_mut().expect("a request");
    inner.prefix_hash = number % 100 + 1;
    inner.max_tokens = TOKENS;
    submit
}

fn relay(criterion: &mut Criterion) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let node = local.block_on(&runtime, async { Node::new(SERVERS) });
    node.engine.answer_immediately(TOKENS);
    let mut group = criterion.benchmark_group("relay");
    group.throughput(Throughput::Elements(u64::from(TOKENS)));
    let mut number = 0_u64;
    group.bench_function("120 tokens", |bencher| {
        bencher.iter(|| {
            number += 1;
            let submit = submission(number);
            local.block_on(&runtime, async {
                for server in 0..SERVERS {
                    node.report(&format!("s{server}"), support::VERSION);
                }
                let mut client = node.submit(submit);
                let mut tokens = 0;
                while let Some(body) = client.next().await {
                    match body {
                        frame::Body::Chunk(chunk) => tokens += chunk.pieces.len(),
                        frame::Body::Finish(_) => break,
                        frame::Body::Refused(refused) => panic!("{}", refused.message),
                        _ => {}
                    }
                }
                assert_eq!(tokens, TOKENS as usize);
            });
            node.engine.clear_calls();
        });
    });
    group.finish();
}

criterion_group!(benches, relay);
criterion_main!(benches);
