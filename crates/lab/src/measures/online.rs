//! Online goodput, token latencies and refusals, and the engine steps until batch work yields.

use std::collections::BTreeMap;

use dappleyard_report::summary::{Measures, Percentiles};

use super::{Counters, LatencyHistogram};
use crate::invariants::Evidence;
use crate::recorder::OnlineRecord;

/// Error kinds of requests refused by a tenant limit.
const LIMIT_KINDS: [&str; 2] = ["rate_limit_exceeded", "concurrency_limit_exceeded"];

/// Computes the online measures.
pub fn fill(measures: &mut Measures, evidence: &Evidence, counters: &Counters) {
    let (mut first_token, mut gaps, mut refusals) = (
        LatencyHistogram::new(),
        LatencyHistogram::new(),
        LatencyHistogram::new(),
    );
    for record in &evidence.observations.online {
        if let Some(refusal) = record.refusal() {
            *measures
                .refused_by_kind
                .entry(refusal.kind.clone())
                .or_default() += 1;
            refusals.add((record.ended - record.sent).as_secs_f64() * 1_000.0);
        }
        if refused_by_tenant_limit(record) {
            continue;
        }
        measures.online_requests += 1;
        measures.online_refused += u64::from(record.refusal().is_some());
        measures.online_whole += u64::from(record.is_whole());
        // The response to a resend is replayed at once from the stored result.
        if record.resend {
            continue;
        }
        if let Some(milliseconds) = record.first_token_ms() {
            first_token.add(milliseconds);
        }
        for gap in &record.gaps_ms {
            gaps.add(f64::from(*gap));
        }
    }
    measures.goodput_per_s = counters.per_second(measures.online_whole as f64);
    measures.ttft_ms = first_token.percentiles();
    measures.itl_ms = gaps.percentiles();
    measures.ttft_curve = first_token.curve();
    measures.itl_curve = gaps.curve();
    measures.refusal_ms = refusals.percentiles();
    measures.steps_to_yield = steps(&counters.meters.probe.steps);
    measures.never_yielded = counters.meters.probe.never;
}

/// Requests refused by a tenant limit do not count as load of the system.
fn refused_by_tenant_limit(record: &OnlineRecord) -> bool {
    record
        .refusal()
        .is_some_and(|refusal| LIMIT_KINDS.contains(&refusal.kind.as_str()))
}

fn steps(counts: &BTreeMap<u32, u64>) -> Percentiles {
    let total: u64 = counts.values().sum();
    let at = |quantile: f64| {
        let wanted = (total as f64 * quantile).ceil() as u64;
        let mut seen = 0;
        counts
            .iter()
            .find(|(_, count)| {
                seen += **count;
                seen >= wanted
            })
            .map_or(0.0, |(steps, _)| f64::from(*steps))
    };
    Percentiles {
        count: total,
        p50: at(0.50),
        p95: at(0.95),
        p99: at(0.99),
        max: counts
            .keys()
            .next_back()
            .map_or(0.0, |steps| f64::from(*steps)),
    }
}
