//! Latency added by sidecar and node: sends each request both directly and through a sidecar.

use std::time::Duration;

use dappleyard_engine::HttpEngine;

use super::request::{Outcome, Request, send_to_engine, send_to_sidecar};
use super::{quantile, sorted_ms};
use crate::error::LabError;
use crate::load::client::client;

/// Unmeasured requests that warm up connections and caches.
const WARM_UP: u32 = 20;

/// Parameters of the measurement.
pub struct Plan {
    /// Base URL of the sidecar.
    pub sidecar: String,
    /// Base URL of the engine.
    pub engine: String,
    /// Requests per path.
    pub requests: u32,
    /// Tokens of each response.
    pub tokens: u32,
}

#[derive(Default)]
struct Samples {
    first: Vec<Duration>,
    total: Vec<Duration>,
    failed: u32,
}

impl Samples {
    fn add(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Whole { first, total, .. } => {
                self.first.push(first);
                self.total.push(total);
            }
            Outcome::Refused { .. } => self.failed += 1,
        }
    }
}

/// Measures both paths and prints the quantiles.
pub async fn measure(plan: &Plan) -> Result<(), LabError> {
    let engine = HttpEngine::new(Duration::from_secs(2), Duration::from_secs(10));
    let caller = client();
    let (mut direct, mut through) = (Samples::default(), Samples::default());
    for index in 0..WARM_UP + plan.requests {
        let request = Request {
            text: format!("Which rudder stock fits hull number {index}?"),
            tokens: plan.tokens,
            deadline_ms: None,
        };
        let by_engine = send_to_engine(&engine, &plan.engine, &request).await;
        let by_sidecar = send_to_sidecar(&caller, &plan.sidecar, &request).await;
        if index >= WARM_UP {
            direct.add(by_engine);
            through.add(by_sidecar);
        }
    }
    if direct.first.is_empty() || through.first.is_empty() {
        return Err(LabError::failed("no request succeeded on both paths"));
    }
    println!(
        "{} requests each way, {} tokens, one at a time; failed: {} direct, {} through",
        plan.requests, plan.tokens, direct.failed, through.failed
    );
    print_line("first token, ms", &direct.first, &through.first);
    print_line("whole answer, ms", &direct.total, &through.total);
    Ok(())
}

fn print_line(name: &str, direct: &[Duration], through: &[Duration]) {
    let direct = sorted_ms(direct.iter().copied());
    let through = sorted_ms(through.iter().copied());
    let shown: Vec<String> = [0.5, 0.9, 0.99]
        .into_iter()
        .map(|share| {
            let (from, to) = (quantile(&direct, share), quantile(&through, share));
            format!(
                "p{:.0} {from:.2} -> {to:.2} ({:+.2})",
                share * 100.0,
                to - from
            )
        })
        .collect();
    println!("{name:18} {}", shown.join("   "));
}
