//! Seeded arrivals: the time, sender and content of each request and job.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};

use super::words;
use crate::scenario::{BatchScenario, Lengths, OnlineScenario, Scenario};

/// RNG streams: each kind of arrival has its own, so that changing one does not shift the others.
#[derive(Clone, Copy)]
enum RngStream {
    Bursts = 1,
    Online = 2,
    Once = 3,
    Refused = 4,
    Batch = 5,
}

/// Tenant of at-most-once requests.
pub const ONCE_TENANT: &str = "orders";

#[derive(Debug, Clone, PartialEq)]
pub struct OnlineArrival {
    pub at: Duration,
    /// Unique in the run; the user message starts with it, so that prompts differ.
    pub name: String,
    /// Index of the sidecar it is sent to.
    pub sidecar: usize,
    pub tenant: String,
    pub session: String,
    /// System message, shared by the sessions of a topic.
    pub system: String,
    pub user: String,
    pub max_tokens: u32,
    pub deadline_ms: u32,
    /// Set for an at-most-once request.
    pub once: Option<OnceArrival>,
}

/// Key and resend of an at-most-once request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OnceArrival {
    pub key: String,
    /// Delay after which the client sends it again, whether or not it received a response.
    pub resend_after: Option<Duration>,
}

#[derive(Debug, Clone, PartialEq)]
pub struct JobArrival {
    pub at: Duration,
    /// Unique in the run; also the idempotency key.
    pub name: String,
    /// Index of the sidecar it is sent to.
    pub sidecar: usize,
    pub tenant: String,
    pub items: u32,
    /// Delay from acceptance to cancellation.
    pub cancel_after: Option<Duration>,
    /// Whether it is submitted a second time with the same key.
    pub resend: bool,
    seed: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemPlan {
    pub custom_id: String,
    /// System message, shared by the items of a job.
    pub system: String,
    pub user: String,
    pub max_tokens: u32,
}

#[derive(Debug, Clone, PartialEq)]
pub struct LoadPlan {
    /// Online requests, ordered by time.
    pub online: Vec<OnlineArrival>,
    /// Jobs, ordered by time.
    pub jobs: Vec<JobArrival>,
    /// Start and end of each burst of online load.
    pub bursts: Vec<(Duration, Duration)>,
}

impl LoadPlan {
    /// Draws the arrivals of a scenario.
    pub fn draw(scenario: &Scenario, seed: u64, length: Duration) -> LoadPlan {
        let bursts = draw_bursts(&scenario.online, seed, length);
        let mut online = draw_online(scenario, seed, length, &bursts);
        online.extend(draw_once(scenario, seed, length));
        online.extend(draw_refused(scenario, seed, length));
        online.sort_by_key(|arrival| arrival.at);
        LoadPlan {
            online,
            jobs: draw_jobs(scenario, seed, length),
            bursts,
        }
    }
}

impl JobArrival {
    pub fn items(&self, batch: &BatchScenario) -> Vec<ItemPlan> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let system = words::text(self.seed, batch.shared_prefix);
        (0..self.items)
            .map(|index| {
                let prompt = draw_length(&batch.prompt, &mut rng);
                let unique_words = prompt.saturating_sub(batch.shared_prefix).max(1);
                let custom_id = format!("{}-item-{index}", self.name);
                ItemPlan {
                    user: format!("{custom_id} {}", words::text(rng.random(), unique_words)),
                    custom_id,
                    system: system.clone(),
                    max_tokens: draw_length(&batch.output, &mut rng),
                }
            })
            .collect()
    }
}

fn rng(seed: u64, stream: RngStream) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream as u64);
    rng
}

/// Exponentially distributed time between events with a mean rate of `per_s` per second.
fn draw_gap(per_s: f64, rng: &mut ChaCha8Rng) -> Duration {
    let seconds = Exp::new(per_s).map_or(f64::INFINITY, |gap| gap.sample(rng));
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

fn draw_length(lengths: &Lengths, rng: &mut ChaCha8Rng) -> u32 {
    let drawn = LogNormal::new(lengths.median.ln(), lengths.sigma)
        .map_or(lengths.median, |spread| spread.sample(rng));
    (drawn as u32).clamp(lengths.least, lengths.most)
}

/// Arrival times of a Poisson process within an interval.
fn poisson(per_s: f64, from: Duration, to: Duration, rng: &mut ChaCha8Rng) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut at = from;
    loop {
        at = at.saturating_add(draw_gap(per_s, rng));
        if at >= to {
            return times;
        }
        times.push(at);
    }
}

/// Bursts and the gaps between them last 0.5 to 1.5 times their mean.
fn draw_bursts(online: &OnlineScenario, seed: u64, length: Duration) -> Vec<(Duration, Duration)> {
    let mut rng = rng(seed, RngStream::Bursts);
    let mut bursts = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        let start = at + jittered(online.quiet_s, &mut rng);
        let end = start + jittered(online.busy_s, &mut rng);
        if start < length {
            bursts.push((start, end.min(length)));
        }
        at = end;
    }
    bursts
}

fn jittered(seconds: f64, rng: &mut ChaCha8Rng) -> Duration {
    Duration::from_secs_f64(seconds * rng.random_range(0.5..1.5))
}

fn draw_online(
    scenario: &Scenario,
    seed: u64,
    length: Duration,
    bursts: &[(Duration, Duration)],
) -> Vec<OnlineArrival> {
    let online = &scenario.online;
    let mut rng = rng(seed, RngStream::Online);
    let mut times = poisson(online.quiet_per_s, Duration::ZERO, length, &mut rng);
    let added = (online.busy_per_s - online.quiet_per_s).max(0.0);
    for (start, end) in bursts {
        times.extend(poisson(added, *start, *end, &mut rng));
    }
    times.sort();
    times
        .into_iter()
        .enumerate()
        .map(|(index, at)| {
            let name = format!("online-{index}");
            draw_request(scenario, seed, at, name, &mut rng)
        })
        .collect()
}

fn draw_once(scenario: &Scenario, seed: u64, length: Duration) -> Vec<OnlineArrival> {
    let once = &scenario.once;
    let mut rng = rng(seed, RngStream::Once);
    poisson(once.per_s, Duration::ZERO, length, &mut rng)
        .into_iter()
        .enumerate()
        .map(|(index, at)| {
            let name = format!("once-{index}");
            let mut request = draw_request(scenario, seed, at, name, &mut rng);
            let resend = rng.random_range(0..100) < once.resend_percent;
            let wait = rng.random_range(0..=once.resend_within_ms);
            request.tenant = ONCE_TENANT.to_owned();
            request.once = Some(OnceArrival {
                key: format!("order-{seed}-{index}"),
                resend_after: resend.then_some(Duration::from_millis(wait)),
            });
            request
        })
        .collect()
}

fn draw_refused(scenario: &Scenario, seed: u64, length: Duration) -> Vec<OnlineArrival> {
    let mut rng = rng(seed, RngStream::Refused);
    poisson(scenario.refused.per_s, Duration::ZERO, length, &mut rng)
        .into_iter()
        .enumerate()
        .map(|(index, at)| {
            let name = format!("limited-{index}");
            let mut request = draw_request(scenario, seed, at, name, &mut rng);
            request.tenant.clone_from(&scenario.refused.tenant);
            request
        })
        .collect()
}

fn draw_request(
    scenario: &Scenario,
    seed: u64,
    at: Duration,
    name: String,
    rng: &mut ChaCha8Rng,
) -> OnlineArrival {
    let online = &scenario.online;
    let session = rng.random_range(0..online.sessions);
    let topic = u64::from(session % online.topics);
    let prompt = draw_length(&online.prompt, rng);
    let unique_words = prompt.saturating_sub(online.shared_prefix).max(1);
    OnlineArrival {
        at,
        sidecar: session as usize % scenario.sidecar_count(),
        tenant: online.tenant.clone(),
        session: format!("session-{session}"),
        system: words::text(seed ^ topic, online.shared_prefix),
        user: format!("{name} {}", words::text(rng.random(), unique_words)),
        max_tokens: draw_length(&online.output, rng),
        deadline_ms: online.deadline_ms,
        once: None,
        name,
    }
}

fn draw_jobs(scenario: &Scenario, seed: u64, length: Duration) -> Vec<JobArrival> {
    let batch = &scenario.batch;
    let mut rng = rng(seed, RngStream::Batch);
    let last = length.mul_f64(f64::from(batch.until_percent) / 100.0);
    let mut jobs = Vec::new();
    let mut wave_at = Duration::from_secs_f64(batch.first_s);
    while wave_at < last {
        for _ in 0..batch.jobs {
            let number = jobs.len() as u32 + 1;
            let at = wave_at + Duration::from_millis(rng.random_range(0..300));
            jobs.push(draw_job(scenario, seed, at, number, &mut rng));
        }
        wave_at += jittered(batch.every_s, &mut rng).clamp(
            Duration::from_secs_f64(batch.every_s * 0.9),
            Duration::from_secs_f64(batch.every_s * 1.1),
        );
    }
    jobs.sort_by_key(|job| job.at);
    jobs
}

fn draw_job(
    scenario: &Scenario,
    seed: u64,
    at: Duration,
    number: u32,
    rng: &mut ChaCha8Rng,
) -> JobArrival {
    let batch = &scenario.batch;
    let one_in = |every: u32| every > 0 && number.is_multiple_of(every);
    let tenant = rng.random_range(0..batch.tenants.len());
    let cancel_after = Duration::from_millis(rng.random_range(300..2_500));
    JobArrival {
        at,
        name: format!("job-{seed}-{number}"),
        sidecar: rng.random_range(0..scenario.sidecar_count()),
        tenant: batch.tenants[tenant].clone(),
        items: rng.random_range(batch.items / 2..=batch.items + batch.items / 2),
        cancel_after: one_in(batch.cancel_every).then_some(cancel_after),
        resend: one_in(batch.resend_every),
        seed: rng.random(),
    }
}
