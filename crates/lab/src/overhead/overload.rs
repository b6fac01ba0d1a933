//! Goodput and refusals under overload.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

use super::request::{Outcome, Request, send_to_sidecar};
use super::{quantile, sorted_ms};
use crate::error::LabError;
use crate::load::client::client;

/// Pause between phases in which queues drain.
const PAUSE: Duration = Duration::from_secs(3);

/// Parameters of the measurement.
pub struct Plan {
    pub sidecar: String,
    /// Requests per second, one phase per rate.
    pub rates: Vec<f64>,
    /// Duration of each phase.
    pub time: Duration,
    /// Tokens of each response.
    pub tokens: u32,
    pub deadline_ms: u32,
    pub seed: u64,
}

/// Runs one phase per rate and prints its results.
pub async fn measure(plan: &Plan) -> Result<(), LabError> {
    println!(
        "answers of {} tokens, deadline {} ms, open loop, {:?} each rate",
        plan.tokens, plan.deadline_ms, plan.time
    );
    for rate in &plan.rates {
        let outcomes = phase(plan, *rate).await?;
        print_phase(plan, *rate, &outcomes);
        tokio::time::sleep(PAUSE).await;
    }
    Ok(())
}

async fn phase(plan: &Plan, rate: f64) -> Result<Vec<Outcome>, LabError> {
    let gaps = Exp::new(rate).map_err(|error| LabError::usage(format!("rate {rate}: {error}")))?;
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let caller = client();
    let started = Instant::now();
    let mut due = Duration::ZERO;
    let mut running = Vec::new();
    while due < plan.time {
        due += Duration::from_secs_f64(gaps.sample(&mut rng));
        tokio::time::sleep(due.saturating_sub(started.elapsed())).await;
        let (caller, sidecar) = (caller.clone(), plan.sidecar.clone());
        let request = Request {
            text: format!("Quote {} at rate {rate}", running.len()),
            tokens: plan.tokens,
            deadline_ms: Some(plan.deadline_ms),
        };
        running.push(actix_rt::spawn(async move {
            send_to_sidecar(&caller, &sidecar, &request).await
        }));
    }
    let ended = futures::future::join_all(running).await;
    Ok(ended.into_iter().filter_map(Result::ok).collect())
}

fn print_phase(plan: &Plan, rate: f64, outcomes: &[Outcome]) {
    let whole = sorted_ms(outcomes.iter().filter_map(|outcome| match outcome {
        Outcome::Whole { total, .. } => Some(*total),
        Outcome::Refused { .. } => None,
    }));
    let mut refusals: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    for outcome in outcomes {
        if let Outcome::Refused { kind, after } = outcome {
            refusals.entry(kind).or_default().push(*after);
        }
    }
    println!(
        "{rate:6.0}/s: {} sent, goodput {:.1}/s, whole answer p50 {:.0} p99 {:.0} ms",
        outcomes.len(),
        whole.len() as f64 / plan.time.as_secs_f64(),
        quantile(&whole, 0.5),
        quantile(&whole, 0.99)
    );
    for (kind, times) in refusals {
        let times = sorted_ms(times.into_iter());
        println!(
            "          {} {kind}, after p50 {:.1} p99 {:.1} ms",
            times.len(),
            quantile(&times, 0.5),
            quantile(&times, 0.99)
        );
    }
}
