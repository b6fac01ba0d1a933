//! What callers ask for.

use serde::{Deserialize, Serialize};

/// A log-normal distribution of lengths, cut at both ends.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lengths {
    /// Median, tokens.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Shortest, tokens.
    pub least: u32,
    /// Longest, tokens.
    pub most: u32,
}

/// Online load: busy seconds with quiet ones between them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnlineScenario {
    /// Tenant of these requests.
    pub tenant: String,
    /// Requests a second in quiet times, over the fleet.
    pub quiet_per_s: f64,
    /// Requests a second in a burst.
    pub busy_per_s: f64,
    /// Mean length of quiet times, seconds.
    pub quiet_s: f64,
    /// Mean length of bursts, seconds.
    pub busy_s: f64,
    /// Conversations that the requests belong to.
    pub sessions: u32,
    /// Tokens that the conversations of one topic share at the start of the prompt.
    pub shared_prefix: u32,
    /// Topics, each with its own shared start.
    pub topics: u32,
    /// Prompt lengths, shared start included.
    pub prompt: Lengths,
    /// Answer lengths.
    pub output: Lengths,
    /// Deadline of a request, milliseconds.
    pub deadline_ms: u32,
}

/// Must-not-repeat requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnceScenario {
    /// Requests a second.
    pub per_s: f64,
    /// Share that the client sends again with the same key, percent.
    pub resend_percent: u32,
    /// Time after the first sending at which it is sent again, milliseconds, at most.
    pub resend_within_ms: u64,
}

/// Requests of a tenant with a low limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RefusedScenario {
    pub tenant: String,
    /// Requests a second that it sends.
    pub per_s: f64,
    /// Requests a second that it is allowed.
    pub allowed_per_s: f64,
}

/// Batch load: heaps of jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchScenario {
    /// Tenants that the jobs are spread over.
    pub tenants: Vec<String>,
    /// Time between two heaps, seconds.
    pub every_s: f64,
    /// First heap, seconds after the start.
    pub first_s: f64,
    /// No heap after this part of the run, percent, so that the work can be finished.
    pub until_percent: u32,
    /// Jobs in a heap.
    pub jobs: u32,
    /// Items of a job, the mean; each job has between half and one and a half times as many.
    pub items: u32,
    /// Tokens of the instruction that a job's items share.
    pub shared_prefix: u32,
    /// Prompt lengths, instruction included.
    pub prompt: Lengths,
    /// Answer lengths.
    pub output: Lengths,
    /// Jobs that are cancelled while they run, one in this many; 0 for none.
    pub cancel_every: u32,
    /// Jobs that are submitted twice with the same key, one in this many; 0 for none.
    pub resend_every: u32,
    /// Time between two looks at a job, milliseconds.
    pub poll_ms: u64,
}
