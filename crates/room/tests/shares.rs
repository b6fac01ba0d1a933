//! Fair shares of slots among tenants, and a simulation of nodes with delayed information.

use std::collections::VecDeque;
use std::time::Duration;

use dappleyard_room::{Claim, OverShare, Shares};
use googletest::prelude::*;
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MEAN_DURATION: Duration = Duration::from_millis(670);

fn claim(requests: u32, weight: f64) -> Claim {
    Claim { requests, weight }
}

/// Slots granted to each claim.
fn granted(claims: &[Claim], others: u32, slots: u32) -> Vec<f64> {
    let shares = Shares::new(claims, others, slots);
    let part = |held: &Claim| {
        let share = shares.of(held.weight).unwrap_or(f64::INFINITY);
        share.min(f64::from(held.requests))
    };
    claims.iter().map(part).collect()
}

fn many(most: usize) -> impl Strategy<Value = Vec<Claim>> {
    let one = (0_u32..500, 0.5_f64..500.0).prop_map(|(requests, weight)| claim(requests, weight));
    prop::collection::vec(one, 1..most)
}

#[gtest]
fn room_for_all() {
    let claims = [claim(100, 1.0), claim(20, 9.0)];
    let shares = Shares::new(&claims, 8, 128);
    expect_that!(shares.is_short(), eq(false));
    expect_that!(shares.admit(claims[0], MEAN_DURATION, 0.5), ok(eq(())));
}

#[gtest]
fn no_slots() {
    expect_that!(Shares::new(&[claim(9, 1.0)], 0, 0).is_short(), eq(false));
}

#[gtest]
fn unused_shares_are_redistributed() {
    // With equal weights, demands of 10 and 20 are below a third of the slots, so the third tenant
    // gets the rest.
    let claims = [claim(10, 1.0), claim(20, 1.0), claim(400, 1.0)];
    expect_that!(
        granted(&claims, 0, 100),
        elements_are![near(10.0, 1e-9), near(20.0, 1e-9), near(70.0, 1e-9)]
    );
}

#[gtest]
fn weights_divide_the_rest() {
    let claims = [claim(10, 5.0), claim(400, 1.0), claim(400, 2.0)];
    expect_that!(
        granted(&claims, 0, 100),
        elements_are![near(10.0, 1e-9), near(30.0, 1e-9), near(60.0, 1e-9)]
    );
}

#[gtest]
fn unreported_requests_come_first() {
    let claims = [claim(100, 1.0), claim(100, 1.0)];
    expect_that!(granted(&claims, 40, 100)[0], near(30.0, 1e-9));
    expect_that!(granted(&claims, 400, 100)[0], near(0.0, 1e-9));
}

#[gtest]
fn every_tenant_is_served() {
    // 2,000 tenants compete for 448 slots, one of them with zero weight.
    let mut claims = vec![claim(1, 1.0); 1_999];
    claims.push(claim(0, 0.0));
    let shares = Shares::new(&claims, 0, 448);
    for held in &claims {
        expect_that!(shares.admit(*held, MEAN_DURATION, 0.5), ok(eq(())));
    }
}

#[gtest]
fn refusals_say_when() {
    let claims = [claim(110, 1.0), claim(50, 1.0)];
    let shares = Shares::new(&claims, 0, 100);
    let refused = |point| {
        shares
            .admit(claims[0], MEAN_DURATION, point)
            .expect_err("a refusal")
    };
    let OverShare {
        requests,
        share,
        slots,
        ..
    } = refused(0.0);
    expect_that!((requests, share, slots), eq((110, 50.0, 100)));
    // 59 of the 110 requests are too many; they end within 59/110 of the mean duration.
    expect_that!(
        refused(0.0).retry_after,
        eq(MEAN_DURATION.mul_f64(59.0 / 110.0))
    );
    expect_that!(
        refused(1.0).retry_after,
        eq(MEAN_DURATION.mul_f64(59.0 / 110.0 + 1.0))
    );
    expect_that!(
        refused(0.0).to_string(),
        eq("110 requests under way, share 50.0 of 100 slots")
    );
}

proptest! {
    #[test]
    fn slots_are_filled(claims in many(2_000), slots in 1_u32..2_000) {
        let wanted: f64 = claims.iter().map(|held| f64::from(held.requests)).sum();
        let sum: f64 = granted(&claims, 0, slots).iter().sum();
        prop_assert!((sum - wanted.min(f64::from(slots))).abs() < 1e-6 * f64::from(slots));
    }

    #[test]
    fn least_are_served_first(claims in many(84), slots in 1_u32..2_000) {
        // Each tenant gets its demand or the highest share per weight.
        let granted = granted(&claims, 0, slots);
        let height = |at: usize| granted[at] / claims[at].weight;
        let highest = (0..claims.len()).map(height).fold(0.0, f64::max);
        for (at, held) in claims.iter().enumerate() {
            let whole = granted[at] >= f64::from(held.requests) - 1e-6;
            prop_assert!(whole || height(at) >= highest - 1e-6);
        }
    }

    #[test]
    fn order_is_irrelevant(claims in many(84), slots in 1_u32..2_000) {
        let turned: Vec<Claim> = claims.iter().rev().copied().collect();
        let (one, other) = (Shares::new(&claims, 0, slots), Shares::new(&turned, 0, slots));
        let (one, other) = (one.of(1.0).unwrap_or(-1.0), other.of(1.0).unwrap_or(-1.0));
        prop_assert!((one - other).abs() < 1e-6 * one.abs().max(1.0));
    }

    #[test]
    fn others_demand_takes_no_guarantee(claims in many(84), more in 1_u32..10_000, slots in 1_u32..2_000) {
        // A tenant's demand cannot reduce others below their share by weight.
        let mut greedy = claims.clone();
        greedy[0].requests += more;
        let weights: f64 = claims.iter().map(|held| held.weight).sum();
        for (held, part) in greedy.iter().zip(granted(&greedy, 0, slots)) {
            let fair = f64::from(slots) * held.weight / weights;
            prop_assert!(part >= fair.min(f64::from(held.requests)) - 1e-6);
        }
    }
}

/// Simulates nodes in front of servers with one common queue. Each knows its own counts and
/// outdated counts of the others.
struct Fleet {
    nodes: usize,
    /// Whether the nodes are partitioned into two halves.
    partitioned: bool,
    slots: u32,
    /// Arrivals per second and weight of each tenant.
    tenants: Vec<(f64, f64)>,
    /// Delay of information, in milliseconds.
    information_delay: usize,
    /// A node that fails halfway through; its last counts stay.
    failed_node: Option<usize>,
}

/// Outcome of one tenant's requests.
#[derive(Debug, Clone, Copy, Default)]
struct TenantOutcome {
    asked: u32,
    refused: u32,
    /// Requests that waited too long for a slot.
    late: u32,
}

impl TenantOutcome {
    fn plus(self, other: TenantOutcome) -> TenantOutcome {
        TenantOutcome {
            asked: self.asked + other.asked,
            refused: self.refused + other.refused,
            late: self.late + other.late,
        }
    }
}

/// Length of the simulation, in milliseconds.
const STEPS: usize = 8_000;
/// Longest wait for a slot, in milliseconds, with which the first event can come within 300 ms.
const MAX_WAIT: usize = 210;

impl Fleet {
    /// One tenant within its quota requests more than the slots, and 83 tenants request half of
    /// them.
    fn with_large_tenant() -> Self {
        let mut tenants = vec![(400.0, 170.0)];
        tenants.extend([(2.5, 11.0); 83]);
        Self {
            nodes: 8,
            partitioned: false,
            slots: 248,
            tenants,
            information_delay: 100,
            failed_node: None,
        }
    }

    fn hears(&self, node: usize, other: usize) -> bool {
        !self.partitioned || (node < self.nodes / 2) == (other < self.nodes / 2)
    }

    fn run(&self, seed: u64, shared: bool) -> Vec<TenantOutcome> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut outcomes = vec![TenantOutcome::default(); self.tenants.len()];
        // Counts by node and tenant, the newest at the back.
        let idle = vec![vec![0_u32; self.tenants.len()]; self.nodes];
        let mut counts = VecDeque::from(vec![idle; self.information_delay + 1]);
        // End time, node and tenant of each running request.
        let mut running: VecDeque<(usize, usize, usize)> = VecDeque::new();
        // Arrival time, node and tenant of each waiting request.
        let mut waiting: VecDeque<(usize, usize, usize)> = VecDeque::new();
        for step in 0..STEPS {
            let mut now = counts.back().expect("counts").clone();
            while running.front().is_some_and(|(end, _, _)| *end <= step) {
                let (_, node, tenant) = running.pop_front().expect("a run");
                now[node][tenant] -= 1;
            }
            for (tenant, (rate, weight)) in self.tenants.iter().enumerate() {
                if !rng.random_bool(rate / 1_000.0) {
                    continue;
                }
                let mut node = rng.random_range(0..self.nodes);
                if self.failed_node == Some(node) && step > STEPS / 2 {
                    node = (node + 1) % self.nodes;
                }
                outcomes[tenant].asked += 1;
                let known = self.known(node, &now, &counts[0]);
                let shares = self.shares(&known);
                let held = claim(known[tenant], *weight);
                if shared && shares.admit(held, MEAN_DURATION, 0.5).is_err() {
                    outcomes[tenant].refused += 1;
                    continue;
                }
                now[node][tenant] += 1;
                waiting.push_back((step, node, tenant));
            }
            while running.len() < self.slots as usize && !waiting.is_empty() {
                let (came, node, tenant) = waiting.pop_front().expect("a request");
                outcomes[tenant].late += u32::from(step - came > MAX_WAIT);
                running.push_back((step + MEAN_DURATION.as_millis() as usize, node, tenant));
            }
            counts.push_back(now);
            counts.pop_front();
        }
        outcomes
    }

    fn known(&self, node: usize, now: &[Vec<u32>], before: &[Vec<u32>]) -> Vec<u32> {
        let heard = (0..self.nodes).filter(|other| self.hears(node, *other));
        let told = heard.map(|other| {
            if other == node {
                &now[other]
            } else {
                &before[other]
            }
        });
        told.fold(vec![0; self.tenants.len()], |sum, counts| {
            sum.iter()
                .zip(counts)
                .map(|(sum, more)| sum + more)
                .collect()
        })
    }

    fn shares(&self, known: &[u32]) -> Shares {
        let claims: Vec<Claim> = known
            .iter()
            .zip(&self.tenants)
            .map(|(requests, (_, weight))| claim(*requests, *weight))
            .collect();
        Shares::new(&claims, 0, self.slots)
    }
}

fn small_tenants(outcomes: &[TenantOutcome]) -> TenantOutcome {
    outcomes[1..]
        .iter()
        .fold(TenantOutcome::default(), |sum, outcome| sum.plus(*outcome))
}

#[gtest]
fn small_tenants_are_unaffected() {
    let fleet = Fleet::with_large_tenant();
    let (with, without) = (fleet.run(1, true), fleet.run(1, false));
    // 139 of the 248 slots suffice for the small tenants; without shares most of their requests are
    // late.
    expect_that!(
        small_tenants(&without).late * 2,
        gt(small_tenants(&without).asked)
    );
    expect_that!(small_tenants(&with).refused, eq(0));
    // At most 5 % are late, since shares react with the delay of the information.
    expect_that!(
        small_tenants(&with).late * 20,
        le(small_tenants(&with).asked)
    );
    // The large tenant gets the rest: 109 slots serve about 1,300 requests in eight seconds.
    expect_that!(with[0].asked - with[0].refused, gt(1_100));
}

#[gtest]
fn network_partition() {
    // Each half knows half of the requests but all slots, so it may admit too many requests but
    // never refuses too many.
    let mut fleet = Fleet::with_large_tenant();
    fleet.partitioned = true;
    expect_that!(small_tenants(&fleet.run(2, true)).refused, eq(0));
}

#[gtest]
fn node_failure() {
    let mut fleet = Fleet::with_large_tenant();
    fleet.failed_node = Some(3);
    let outcomes = fleet.run(3, true);
    expect_that!(small_tenants(&outcomes).refused, eq(0));
    expect_that!(outcomes[0].asked - outcomes[0].refused, gt(1_000));
}
