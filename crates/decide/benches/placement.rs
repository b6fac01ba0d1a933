//! Time and allocations per placement decision in fleets of different sizes.
//!
//! `two levels` ranks the owner nodes of a cell and then the servers of one node, as in production.
//! `flat` ranks all servers at once, for comparison.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dappleyard_decide::placement::{Affinity, Candidate, rank};
use dappleyard_wire::hash::rendezvous_weight;

const FLEETS: [usize; 3] = [20, 320, 7_900];
const SERVERS_PER_NODE: usize = 20;
const NODES_PER_CELL: usize = 16;
const AFFINITY: Affinity = Affinity {
    bound_percent: Some(125),
};

/// Candidates of one level.
struct Level {
    names: Vec<String>,
    servers: u32,
}

impl Level {
    fn new(kind: &str, count: usize, servers: usize) -> Level {
        Level {
            names: (0..count)
                .map(|index| format!("{kind}-{index:05}"))
                .collect(),
            servers: u32::try_from(servers).expect("a small number"),
        }
    }

    /// Ranks all candidates of the level, reusing `buffer`.
    fn decide(&self, key: u64, buffer: &mut Vec<Candidate>) -> usize {
        buffer.clear();
        let numbered = self.names.iter().zip(0_u32..);
        buffer.extend(numbered.map(|(name, index)| Candidate {
            weight: rendezvous_weight(key, name),
            servers: self.servers,
            sequences: 26 * self.servers + (index * 7) % 13,
            wait_ms: 0,
        }));
        let mut best = [0, 0];
        rank(buffer, AFFINITY, &mut best);
        best[0]
    }
}

struct Fleet {
    flat: Level,
    owners: Level,
    servers: Level,
}

impl Fleet {
    fn new(servers: usize) -> Fleet {
        let nodes = servers.div_ceil(SERVERS_PER_NODE);
        Fleet {
            flat: Level::new("server", servers, 1),
            owners: Level::new("node", nodes.min(NODES_PER_CELL), SERVERS_PER_NODE),
            servers: Level::new("server", servers.min(SERVERS_PER_NODE), 1),
        }
    }

    fn two_levels(&self, key: u64, buffer: &mut Vec<Candidate>) -> (usize, usize) {
        (
            self.owners.decide(key, buffer),
            self.servers.decide(key, buffer),
        )
    }
}

fn placement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement");
    for servers in FLEETS {
        let fleet = Fleet::new(servers);
        let mut buffer = Vec::with_capacity(servers);
        let mut key = 1_u64;
        group.bench_function(BenchmarkId::new("two levels", servers), |bencher| {
            bencher.iter(|| {
                key = key.wrapping_add(0x9E37_79B9_7F4A_7C15);
                black_box(fleet.two_levels(key, &mut buffer))
            });
        });
        group.bench_function(BenchmarkId::new("flat", servers), |bencher| {
            bencher.iter(|| {
                key = key.wrapping_add(0x9E37_79B9_7F4A_7C15);
                black_box(fleet.flat.decide(key, &mut buffer))
            });
        });
        let two = allocation_counter::measure(|| {
            black_box(fleet.two_levels(black_box(7), &mut buffer));
        });
        let flat = allocation_counter::measure(|| {
            black_box(fleet.flat.decide(black_box(7), &mut buffer));
        });
        println!(
            "allocations per decision at {servers} servers: two levels {}, flat {}",
            two.count_total, flat.count_total
        );
    }
    group.finish();
}

criterion_group!(benches, placement);
criterion_main!(benches);
