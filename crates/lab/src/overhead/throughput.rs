//! Tokens per core of sidecars and nodes, with many concurrent streams.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use futures::future::join_all;

use super::processes::cpu_seconds;
use super::request::{Outcome, Request, send_to_sidecar};
use crate::error::LabError;
use crate::load::client::client;

const TOKENS: u32 = 100;

/// Parameters of the measurement.
pub struct Plan {
    pub sidecar: String,
    /// Concurrent streams.
    pub streams: u32,
    pub time: Duration,
    /// File with the processes of `scripts/fleet`.
    pub processes: PathBuf,
}

/// Measures throughput and prints it per role.
pub async fn measure(plan: &Plan) -> Result<(), LabError> {
    let before = cpu_seconds(&plan.processes)?;
    let started = Instant::now();
    let caller = client();
    let streams = (0..plan.streams).map(|stream| run_stream(&caller, plan, stream, started));
    let counts = join_all(streams).await;
    let elapsed = started.elapsed().as_secs_f64();
    let after = cpu_seconds(&plan.processes)?;
    let tokens: u64 = counts.iter().map(|(tokens, _)| tokens).sum();
    let refused: u32 = counts.iter().map(|(_, refused)| refused).sum();
    println!(
        "{} streams at once, {elapsed:.1} s: {:.0} tokens/s, {refused} refused",
        plan.streams,
        tokens as f64 / elapsed
    );
    for (role, seconds) in &after {
        let used = seconds - before.get(role).copied().unwrap_or(0.0);
        println!(
            "{role:10} {:.2} cores, {:.0} tokens/s for each core",
            used / elapsed,
            tokens as f64 / used
        );
    }
    Ok(())
}

/// Sends requests one after another until the time is over; counts tokens and refusals.
async fn run_stream(
    caller: &awc::Client,
    plan: &Plan,
    stream: u32,
    started: Instant,
) -> (u64, u32) {
    let (mut tokens, mut refused, mut index) = (0, 0, 0);
    while started.elapsed() < plan.time {
        index += 1;
        let request = Request {
            text: format!("Quote {index} of stream {stream}"),
            tokens: TOKENS,
            deadline_ms: None,
        };
        match send_to_sidecar(caller, &plan.sidecar, &request).await {
            Outcome::Whole { .. } => tokens += u64::from(TOKENS),
            Outcome::Refused { .. } => refused += 1,
        }
    }
    (tokens, refused)
}
