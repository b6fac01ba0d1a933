//! Compares strategies to enforce quotas across nodes on the same arrivals: refusals below the quota, requests beyond
//! it, and waiting time. Run with
//! `cargo run --release -p dappleyard-tenants --example quota_ways`.

#[path = "../tests/support/mod.rs"]
mod support;

use support::{Fleet, Strategy, over_quota_tenants, skewed_tenants};

const NODES: usize = 61;
const ZONES: usize = 3;
const SEEDS: u64 = 3;

/// Load and faults of a run.
#[derive(Debug, Clone, Copy)]
enum Scenario {
    Calm,
    Greedy,
    Restart,
    Cut,
}

fn run_scenario(strategy: Strategy, scenario: Scenario, seed: u64) -> Fleet {
    let demands = match scenario {
        Scenario::Calm => skewed_tenants(73, 350.0, 1.6),
        _ => over_quota_tenants(&[1.0, 5.0, 20.0, 40.0]),
    };
    let mut fleet = Fleet::new(strategy, NODES, ZONES, demands, seed);
    fleet.warm_up();
    fleet.run(7_000);
    match scenario {
        Scenario::Restart => (0..NODES).for_each(|node| fleet.restart(node)),
        Scenario::Cut => fleet.set_partition(|node| match node % 3 {
            0 => node + 1,
            _ => 0,
        }),
        Scenario::Calm | Scenario::Greedy => {}
    }
    fleet.run(13_000);
    fleet
}

fn main() {
    println!(
        "way          course   refused below quota   most over limit   over tolerance   waited, mean ms"
    );
    for strategy in [
        Strategy::CountsTold,
        Strategy::EqualShares,
        Strategy::HomeNode,
    ] {
        for scenario in [
            Scenario::Calm,
            Scenario::Greedy,
            Scenario::Restart,
            Scenario::Cut,
        ] {
            let (mut asked, mut refused, mut waited) = (0, 0, 0);
            let (mut over_limit, mut over_tolerance) = (f64::MIN, f64::MIN);
            for seed in 0..SEEDS {
                for outcome in run_scenario(strategy, scenario, seed).outcomes() {
                    asked += outcome.asked;
                    refused += outcome.refused_under_quota;
                    waited += outcome.waited_ms;
                    over_limit = over_limit.max(outcome.over_limit);
                    over_tolerance = over_tolerance.max(outcome.over_tolerance);
                }
            }
            let share = 100.0 * refused as f64 / asked as f64;
            let wait = waited as f64 / asked as f64;
            println!(
                "{:12} {:8} {refused:8} ({share:5.2} %) {over_limit:17.0} {over_tolerance:16.0} {wait:17.1}",
                format!("{strategy:?}"),
                format!("{scenario:?}")
            );
        }
    }
}
