//! Load, latency, token and waiting-item series over the load, one value per 250 ms interval.

use std::time::Duration;

use dappleyard_report::summary::Series;

use super::batch::WaitingItems;
use super::{Counters, LatencyHistogram};
use crate::invariants::Evidence;

const INTERVAL: Duration = Duration::from_millis(250);

/// Computes all series over the time of the load.
pub fn series(evidence: &Evidence, counters: &Counters) -> Series {
    let intervals = counters
        .load_length
        .as_millis()
        .div_ceil(INTERVAL.as_millis()) as usize;
    let mut series = Series {
        interval_s: INTERVAL.as_secs_f64(),
        online_sent: vec![0; intervals],
        ttft_max_ms: vec![0.0; intervals],
        itl_p95_ms: vec![0.0; intervals],
        online_running: vec![0.0; intervals],
        batch_running: vec![0.0; intervals],
        batch_tokens_per_s: vec![0.0; intervals],
        idle_tokens_per_s: vec![0.0; intervals],
        batch_waiting_items: vec![0; intervals],
    };
    add_online(&mut series, evidence, counters);
    add_engines(&mut series, counters);
    let waiting = WaitingItems::new(evidence);
    for (index, items) in series.batch_waiting_items.iter_mut().enumerate() {
        let time = counters.load_start + INTERVAL * index as u32;
        *items = waiting.at(time).max(0) as u64;
    }
    series
}

/// Index of the interval that contains a time within the load.
fn interval(counters: &Counters, at: Duration) -> Option<usize> {
    counters
        .in_load(at)
        .then(|| ((at - counters.load_start).as_millis() / INTERVAL.as_millis()) as usize)
}

fn add_online(series: &mut Series, evidence: &Evidence, counters: &Counters) {
    let mut gaps: Vec<LatencyHistogram> = Vec::new();
    gaps.resize_with(series.online_sent.len(), LatencyHistogram::new);
    for record in evidence
        .observations
        .online
        .iter()
        .filter(|record| !record.resend)
    {
        let Some(index) = interval(counters, record.sent) else {
            continue;
        };
        series.online_sent[index] += 1;
        if let Some(first) = record.first_token_ms() {
            series.ttft_max_ms[index] = series.ttft_max_ms[index].max(first);
        }
        for gap in &record.gaps_ms {
            gaps[index].add(f64::from(*gap));
        }
    }
    for (value, gaps) in series.itl_p95_ms.iter_mut().zip(&gaps) {
        *value = gaps.percentiles().p95;
    }
}

/// Running sequences are averaged over the samples of an interval and summed over the engines.
fn add_engines(series: &mut Series, counters: &Counters) {
    for samples in &counters.samples {
        let mut seen = vec![0_u32; series.online_running.len()];
        let (mut online, mut batch) = (vec![0.0; seen.len()], vec![0.0; seen.len()]);
        for sample in samples {
            let Some(index) = interval(counters, sample.at) else {
                continue;
            };
            seen[index] += 1;
            online[index] += f64::from(sample.sample.online);
            batch[index] += f64::from(sample.sample.batch);
            let per_s = 1.0 / INTERVAL.as_secs_f64();
            series.batch_tokens_per_s[index] += sample.sample.batch_tokens as f64 * per_s;
            series.idle_tokens_per_s[index] += sample.sample.idle_tokens * per_s;
        }
        for index in 0..seen.len() {
            let count = f64::from(seen[index].max(1));
            series.online_running[index] += online[index] / count;
            series.batch_running[index] += batch[index] / count;
        }
    }
}
