//! Validation rules for single values.

use std::net::SocketAddr;

use toml::Value;

/// Constraint on a value.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Bound {
    /// Minimum of a number, inclusive.
    AtLeast(f64),
    /// Minimum and maximum of a number, inclusive.
    Between(f64, f64),
    /// Non-empty string without whitespace or slashes.
    Name,
    /// IP address and port.
    Address,
    /// Loopback IP address and port.
    LoopbackAddress,
    /// List of IP addresses and ports.
    Addresses,
    /// `http://` URL.
    Url,
    /// One of these strings.
    OneOf(&'static [&'static str]),
}

/// Constraint on the value at a dotted key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rule {
    pub key: &'static str,
    pub bound: Bound,
}

const fn rule(key: &'static str, bound: Bound) -> Rule {
    Rule { key, bound }
}

pub const NODE_RULES: &[Rule] = &[
    rule("id", Bound::Name),
    rule("place.zone", Bound::Name),
    rule("place.region", Bound::Name),
    rule("link_listen", Bound::Address),
    rule("gossip_listen", Bound::Address),
    rule("admin_listen", Bound::Address),
    rule("workers", Bound::Between(1.0, 64.0)),
    rule("memory_mb", Bound::AtLeast(32.0)),
    rule("maximum_descriptors", Bound::AtLeast(256.0)),
    rule("stop_bound_ms", Bound::AtLeast(100.0)),
    rule("link.connect_timeout_ms", Bound::AtLeast(1.0)),
    rule("link.maximum_queued_bytes", Bound::AtLeast(65_536.0)),
    rule("link.maximum_stream_bytes", Bound::AtLeast(65_536.0)),
    rule("link.ping_interval_ms", Bound::AtLeast(10.0)),
    rule("link.idle_timeout_ms", Bound::AtLeast(20.0)),
    rule(
        "link.maximum_frame_bytes",
        Bound::Between(65_536.0, 268_435_456.0),
    ),
    rule("link.maximum_links", Bound::AtLeast(1.0)),
    rule("link.maximum_streams", Bound::AtLeast(1.0)),
    rule("platform.tables_url", Bound::Url),
    rule("platform.objects_url", Bound::Url),
    rule("platform.machines_url", Bound::Url),
    rule("platform.call_timeout_ms", Bound::AtLeast(1.0)),
    rule("platform.calls_per_s", Bound::AtLeast(0.1)),
    rule("platform.calls_burst", Bound::AtLeast(1.0)),
    rule("platform.retry_budget_percent", Bound::Between(0.0, 100.0)),
    rule("platform.breaker_failures", Bound::AtLeast(1.0)),
    rule("platform.breaker_probe_ms", Bound::AtLeast(10.0)),
    rule("fleet.seeds", Bound::Addresses),
    rule("fleet.probe_interval_ms", Bound::AtLeast(10.0)),
    rule("fleet.probe_timeout_ms", Bound::AtLeast(5.0)),
    rule("fleet.suspicion_ms", Bound::AtLeast(10.0)),
    rule("fleet.load_interval_ms", Bound::AtLeast(10.0)),
    rule("fleet.aggregate_interval_ms", Bound::AtLeast(10.0)),
    rule("fleet.machine_list_interval_ms", Bound::AtLeast(10.0)),
    rule("fleet.watchers_per_zone", Bound::AtLeast(1.0)),
    rule("fleet.watch_interval_ms", Bound::AtLeast(10.0)),
    rule("fleet.digest_interval_ms", Bound::AtLeast(10.0)),
    rule("fleet.cell_size", Bound::Between(1.0, 64.0)),
    rule("online.report_interval_ms", Bound::AtLeast(10.0)),
    rule("online.engine_connect_timeout_ms", Bound::AtLeast(1.0)),
    rule("online.owner_candidates", Bound::Between(1.0, 16.0)),
    rule("online.affinity_bound_percent", Bound::AtLeast(100.0)),
    rule("online.retry_budget_percent", Bound::Between(0.0, 100.0)),
    rule("online.leaving_bound_ms", Bound::Between(1.0, 3_000.0)),
    rule("online.maximum_streams", Bound::AtLeast(1.0)),
    rule("batch.maximum_job_items", Bound::Between(1.0, 400_000.0)),
    rule("batch.maximum_line_bytes", Bound::AtLeast(1_024.0)),
    rule("batch.chunk_minimum_items", Bound::AtLeast(1.0)),
    rule("batch.chunk_maximum_items", Bound::AtLeast(1.0)),
    rule("batch.memory_bytes", Bound::AtLeast(1_048_576.0)),
    rule(
        "batch.policy",
        Bound::OneOf(&["preempt", "shared-queue", "static-split", "online-only"]),
    ),
    rule("operate.reconcile_interval_ms", Bound::AtLeast(10.0)),
    rule("operate.load_concurrency", Bound::AtLeast(1.0)),
    rule("operate.canary_error_percent", Bound::Between(0.0, 100.0)),
];

pub const SIDECAR_RULES: &[Rule] = &[
    rule("id", Bound::Name),
    rule("place.zone", Bound::Name),
    rule("place.region", Bound::Name),
    rule("listen", Bound::LoopbackAddress),
    rule("nodes", Bound::Addresses),
    rule("links", Bound::AtLeast(1.0)),
    rule("default_tenant", Bound::Name),
    rule("default_deadline_ms", Bound::AtLeast(1.0)),
    rule("maximum_body_bytes", Bound::AtLeast(1_024.0)),
    rule("maximum_file_bytes", Bound::AtLeast(1_024.0)),
    rule("body_timeout_ms", Bound::AtLeast(1.0)),
    rule("maximum_requests", Bound::AtLeast(1.0)),
    rule("maximum_uploads", Bound::AtLeast(1.0)),
    rule("default_max_tokens", Bound::AtLeast(1.0)),
    rule("maximum_output_tokens", Bound::Between(1.0, 1_000_000.0)),
    rule("maximum_gap_pieces", Bound::AtLeast(1.0)),
    rule("retry_budget_percent", Bound::Between(0.0, 100.0)),
    rule("maximum_attempts", Bound::Between(1.0, 100.0)),
    rule("workers", Bound::Between(1.0, 64.0)),
    rule("memory_mb", Bound::AtLeast(32.0)),
    rule("maximum_descriptors", Bound::AtLeast(256.0)),
    rule("stop_bound_ms", Bound::AtLeast(100.0)),
    rule("link.maximum_queued_bytes", Bound::AtLeast(65_536.0)),
    rule("link.maximum_stream_bytes", Bound::AtLeast(65_536.0)),
    rule("link.ping_interval_ms", Bound::AtLeast(10.0)),
    rule("link.idle_timeout_ms", Bound::AtLeast(20.0)),
    rule(
        "link.maximum_frame_bytes",
        Bound::Between(65_536.0, 268_435_456.0),
    ),
];

impl Bound {
    /// Describes how a value violates the constraint; `None` if it does not.
    pub fn problem(&self, value: &Value) -> Option<String> {
        match self {
            Bound::AtLeast(least) => number(value, |n| n >= *least, &format!("at least {least}")),
            Bound::Between(least, most) => {
                let wanted = format!("from {least} to {most}");
                number(value, |n| n >= *least && n <= *most, &wanted)
            }
            Bound::Name => text(value, is_name, "a name without spaces or slashes"),
            Bound::Address => text(
                value,
                is_address,
                "an IP address and port, such as 10.0.0.1:7700",
            ),
            Bound::LoopbackAddress => text(
                value,
                is_loopback,
                "a loopback address and port, such as 127.0.0.1:8080",
            ),
            Bound::Addresses => value
                .as_array()?
                .iter()
                .find_map(|v| Bound::Address.problem(v)),
            Bound::Url => text(
                value,
                |t| t.starts_with("http://"),
                "a URL that starts with http://",
            ),
            Bound::OneOf(names) => text(
                value,
                |t| names.contains(&t),
                &format!("one of {}", names.join(", ")),
            ),
        }
    }
}

fn number(value: &Value, holds: impl Fn(f64) -> bool, wanted: &str) -> Option<String> {
    let number = value
        .as_float()
        .or_else(|| value.as_integer().map(|n| n as f64))?;
    (!holds(number)).then(|| format!("must be {wanted}, not {number}"))
}

fn text(value: &Value, holds: impl Fn(&str) -> bool, wanted: &str) -> Option<String> {
    let text = value.as_str()?;
    (!holds(text)).then(|| format!("must be {wanted}, not {text:?}"))
}

fn is_name(text: &str) -> bool {
    !text.is_empty() && !text.contains(|c: char| c.is_whitespace() || c == '/')
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok()
}

fn is_loopback(text: &str) -> bool {
    text.parse::<SocketAddr>()
        .is_ok_and(|address| address.ip().is_loopback())
}
