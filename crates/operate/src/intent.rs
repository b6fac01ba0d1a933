//! Intents: what an operator wants, before the system has said what it would mean.
//!
//! The JSON form is `{"intent": "rollout", "service": ..., "version": ...}`; unknown fields are
//! refused. Nothing acts on an intent: it becomes a plan, and the plan acts once it is confirmed.

use serde::{Deserialize, Serialize};

/// Share of servers that get a new version first when the intent names none, percent.
pub const DEFAULT_CANARY_PERCENT: u32 = 10;

/// What an operator wants.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "intent", rename_all = "snake_case")]
pub enum Intent {
    /// Bring a new version of a service's model to all its servers.
    Rollout(Rollout),
    /// Take servers out of service.
    Drain(DrainTarget),
    /// Take drained servers back into service.
    Undrain(DrainTarget),
    /// Set a tenant's limits and standing approvals.
    Tenant(TenantLimits),
    /// Declare a demand window.
    Window(DemandWindow),
    /// Withdraw a demand window.
    RemoveWindow(WindowName),
    /// Create or change a service: versions, adapters, replicas, budgets, limits.
    ModelSet(ModelSet),
    /// Let a planned batch job run.
    BatchJob(BatchJob),
}

/// Bring a new version to all servers of a service, canaries first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Service.
    pub service: String,
    /// New version.
    pub version: String,
    /// Share of servers that get it first, percent.
    #[serde(default = "default_canary_percent")]
    pub canary_percent: u32,
}

fn default_canary_percent() -> u32 {
    DEFAULT_CANARY_PERCENT
}

/// What a drain is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainKind {
    /// One server.
    Server,
    /// One node of the system.
    Node,
    /// All servers of a hall.
    Hall,
    /// All servers of a zone.
    Zone,
}

impl DrainKind {
    /// Name in keys and on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            DrainKind::Server => "server",
            DrainKind::Node => "node",
            DrainKind::Hall => "hall",
            DrainKind::Zone => "zone",
        }
    }
}

/// Servers or a node, by name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainTarget {
    /// Kind.
    pub kind: DrainKind,
    /// Name.
    pub name: String,
}

/// A tenant's limits; fields that are left out keep their value.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantLimits {
    /// Tenant.
    pub tenant: String,
    /// Requests a second over the whole fleet; 0 lifts the limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<f64>,
    /// Requests at once above that rate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_burst: Option<f64>,
    /// Tokens of all requests in progress; 0 lifts the limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent_tokens: Option<u64>,
    /// Share of batch work relative to other tenants.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub batch_weight: Option<u32>,
    /// Batch jobs up to this many items run without a person's confirmation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub standing_batch_items: Option<u32>,
}

/// A time of known demand: batch work shrinks, and models are warm before it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DemandWindow {
    /// Name.
    pub name: String,
    /// Service.
    pub service: String,
    /// Start each day, seconds after midnight UTC.
    #[serde(default)]
    pub start_s: u32,
    /// End each day, seconds after midnight UTC; before the start it is on the next day.
    #[serde(default)]
    pub end_s: u32,
    /// Days as a bit set with Monday at bit 0.
    #[serde(default = "every_day")]
    pub days: u32,
    /// Batch width during the window, percent of the usual.
    #[serde(default)]
    pub batch_percent: u32,
    /// How long before the start models are loaded, seconds.
    #[serde(default)]
    pub warm_before_s: u32,
    /// Start of a window that comes once, seconds since 1970; 0 for a daily one.
    #[serde(default)]
    pub starts_unix_s: u64,
    /// End of a window that comes once, seconds since 1970; 0 for a daily one.
    #[serde(default)]
    pub ends_unix_s: u64,
}

/// Bit set of all seven days.
pub const EVERY_DAY: u32 = 0b111_1111;

fn every_day() -> u32 {
    EVERY_DAY
}

/// A demand window by name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WindowName {
    /// Name.
    pub name: String,
}

/// A service as it should be; fields that are left out keep their value.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSet {
    /// Service.
    pub service: String,
    /// Version of its model; for a service that exists use a rollout instead.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Adapters that each server loads.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapters: Option<Vec<String>>,
    /// Servers that carry it; 0 for all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replicas: Option<u32>,
    /// How much slower an online step may become through batch work, percent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub online_slowdown_percent: Option<u32>,
    /// Servers of each zone that may be unavailable at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_unavailable_zone: Option<u32>,
    /// Servers that may be unavailable at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_unavailable_total: Option<u32>,
    /// Longest prompt, tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_prompt_tokens: Option<u32>,
    /// Longest answer, tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_output_tokens: Option<u32>,
}

/// A batch job that waits for a confirmation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchJob {
    /// Tenant.
    pub tenant: String,
    /// Job id.
    pub job: String,
}

impl Intent {
    /// Name of the intent's kind, as in its JSON form.
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

    /// The intent in one phrase.
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
