//! Intents: changes requested by an operator.
//!
//! The JSON form is `{"intent": "rollout", "service": ..., "version": ...}`; unknown fields are
//! rejected. An intent is turned into a plan, which takes effect once it is confirmed.

use serde::{Deserialize, Serialize};

/// Default share of servers that load a new version first.
pub const DEFAULT_CANARY_PERCENT: u32 = 10;

/// A requested change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "intent", rename_all = "snake_case")]
pub enum Intent {
    /// Deploy a new model version to all servers of a service.
    Rollout(Rollout),
    /// Take servers out of service.
    Drain(DrainTarget),
    /// Return drained servers to service.
    Undrain(DrainTarget),
    /// Set a tenant's limits and standing approvals.
    Tenant(TenantLimits),
    /// Declare a demand window.
    Window(DemandWindow),
    /// Remove a demand window.
    RemoveWindow(WindowName),
    /// Create or change a service: versions, adapters, replicas, budgets, limits.
    ModelSet(ModelSet),
    /// Approve a planned batch job.
    BatchJob(BatchJob),
}

/// Deploys a new version to all servers of a service, canaries first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    pub service: String,
    pub version: String,
    /// Share of servers that load the version first.
    #[serde(default = "default_canary_percent")]
    pub canary_percent: u32,
}

fn default_canary_percent() -> u32 {
    DEFAULT_CANARY_PERCENT
}

/// Kind of a drain target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainKind {
    Server,
    /// One node of the serving system.
    Node,
    /// All servers of a hall.
    Hall,
    /// All servers of a zone.
    Zone,
}

impl DrainKind {
    /// Name in row keys and on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            DrainKind::Server => "server",
            DrainKind::Node => "node",
            DrainKind::Hall => "hall",
            DrainKind::Zone => "zone",
        }
    }
}

/// Servers or a node to drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainTarget {
    pub kind: DrainKind,
    pub name: String,
}

/// Limits of a tenant; omitted fields keep their value.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantLimits {
    pub tenant: String,
    /// Requests per second over the whole fleet; 0 for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<f64>,
    /// Burst size.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_burst: Option<f64>,
    /// Tokens of all requests in progress; 0 for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent_tokens: Option<u64>,
    /// Weight in fair sharing of batch capacity.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub batch_weight: Option<u32>,
    /// Batch jobs up to this many items need no confirmation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub standing_batch_items: Option<u32>,
}

/// A period of expected demand: batch work is reduced and models are loaded in advance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DemandWindow {
    pub name: String,
    pub service: String,
    /// Daily start, seconds after midnight UTC.
    #[serde(default)]
    pub start_s: u32,
    /// Daily end, seconds after midnight UTC; on the next day if before the start.
    #[serde(default)]
    pub end_s: u32,
    /// Bit set of weekdays, Monday at bit 0.
    #[serde(default = "every_day")]
    pub days: u32,
    /// Batch concurrency during the window, as a percentage of the normal value.
    #[serde(default)]
    pub batch_percent: u32,
    /// Time before the start at which models are loaded.
    #[serde(default)]
    pub warm_before_s: u32,
    /// Start of a one-time window; 0 for a daily window.
    #[serde(default)]
    pub starts_unix_s: u64,
    /// End of a one-time window; 0 for a daily window.
    #[serde(default)]
    pub ends_unix_s: u64,
}

pub const EVERY_DAY: u32 = 0b111_1111;

fn every_day() -> u32 {
    EVERY_DAY
}

/// Name of a demand window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WindowName {
    pub name: String,
}

/// Settings of a service; omitted fields keep their value.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSet {
    pub service: String,
    /// Model version of a new service; an existing service is changed by a rollout.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Adapters that each server loads.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapters: Option<Vec<String>>,
    /// Number of servers that load the service; 0 for all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replicas: Option<u32>,
    /// Allowed slowdown of online steps caused by batch work.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub online_slowdown_percent: Option<u32>,
    /// Limit on unavailable servers per zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_unavailable_zone: Option<u32>,
    /// Limit on unavailable servers in total.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_unavailable_total: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_prompt_tokens: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_output_tokens: Option<u32>,
}

/// A batch job that needs confirmation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchJob {
    pub tenant: String,
    pub job: String,
}

impl Intent {
    /// Value of the `intent` field in the JSON form.
    pub const fn kind(&self) -> &'static str {
        match self {
            Intent::Rollout(_) => "rollout",
            Intent::Drain(_) => "drain",
            Intent::Undrain(_) => "undrain",
            Intent::Tenant(_) => "tenant",
            Intent::Window(_) => "window",
            Intent::RemoveWindow(_) => "remove_window",
            Intent::ModelSet(_) => "model_set",
            Intent::BatchJob(_) => "batch_job",
        }
    }

    pub fn summary(&self) -> String {
        match self {
            Intent::Rollout(rollout) => format!(
                "roll out {} of {}, {} % canaries first",
                rollout.version, rollout.service, rollout.canary_percent
            ),
            Intent::Drain(target) => format!("drain {} {}", target.kind.name(), target.name),
            Intent::Undrain(target) => {
                format!("take {} {} back", target.kind.name(), target.name)
            }
            Intent::Tenant(limits) => format!("set the limits of tenant {}", limits.tenant),
            Intent::Window(window) => {
                format!(
                    "declare demand window {} for {}",
                    window.name, window.service
                )
            }
            Intent::RemoveWindow(window) => format!("withdraw demand window {}", window.name),
            Intent::ModelSet(set) => format!("set up service {}", set.service),
            Intent::BatchJob(job) => format!("let batch job {} of {} run", job.job, job.tenant),
        }
    }
}
