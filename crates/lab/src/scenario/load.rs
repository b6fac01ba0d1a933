//! Load of a scenario.

use serde::{Deserialize, Serialize};

/// A log-normal distribution of lengths, clamped at both ends.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lengths {
    /// Median, tokens.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Minimum, tokens.
    pub least: u32,
    /// Maximum, tokens.
    pub most: u32,
}

/// Online load: bursts separated by quiet periods.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnlineScenario {
    pub tenant: String,
    /// Requests per second in quiet periods, over the fleet.
    pub quiet_per_s: f64,
    /// Requests per second in bursts, over the fleet.
    pub busy_per_s: f64,
    /// Mean length of quiet periods, seconds.
    pub quiet_s: f64,
    /// Mean length of bursts, seconds.
    pub busy_s: f64,
    /// Number of sessions that the requests belong to.
    pub sessions: u32,
    /// Length of the prompt prefix shared by the sessions of a topic, tokens.
    pub shared_prefix: u32,
    /// Number of topics, each with its own shared prefix.
    pub topics: u32,
    /// Prompt lengths, including the shared prefix.
    pub prompt: Lengths,
    /// Response lengths.
    pub output: Lengths,
    /// Deadline of a request, milliseconds.
    pub deadline_ms: u32,
}

/// At-most-once requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnceScenario {
    /// Requests per second.
    pub per_s: f64,
    /// Share of requests that the client sends again with the same key, percent.
    pub resend_percent: u32,
    /// Maximum delay of the resend, milliseconds.
    pub resend_within_ms: u64,
}

/// Requests of a tenant with a low rate limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RefusedScenario {
    pub tenant: String,
    /// Requests sent per second.
    pub per_s: f64,
    /// Rate limit of the tenant, requests per second.
    pub allowed_per_s: f64,
}

/// Batch load: jobs submitted in waves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchScenario {
    /// Each job belongs to a random one of these tenants.
    pub tenants: Vec<String>,
    /// Time between two waves, seconds.
    pub every_s: f64,
    /// First wave, seconds after the start of the load.
    pub first_s: f64,
    /// No wave starts after this share of the run, percent, so that the work can finish.
    pub until_percent: u32,
    /// Jobs per wave.
    pub jobs: u32,
    /// Mean number of items per job; each job has 0.5 to 1.5 times as many.
    pub items: u32,
    /// Length of the prompt prefix shared by the items of a job, tokens.
    pub shared_prefix: u32,
    /// Prompt lengths, including the shared prefix.
    pub prompt: Lengths,
    /// Response lengths.
    pub output: Lengths,
    /// One in this many jobs is cancelled while it runs; 0 for none.
    pub cancel_every: u32,
    /// One in this many jobs is submitted twice with the same key; 0 for none.
    pub resend_every: u32,
    /// Interval between polls of a job, milliseconds.
    pub poll_ms: u64,
}
