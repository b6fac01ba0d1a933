//! Counters of one process.

use std::sync::atomic::{AtomicU64, Ordering};

use dappleyard_tenants::{QuotaTable, TenantCounts};

/// Upper bounds of the latency histogram, milliseconds.
const BOUNDS_MS: [u64; 10] = [25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800];

/// Tenants that are counted by name; all others are summed, so that the text does not grow with their
/// number.
pub(crate) const NAMED_TENANTS: usize = 20;
/// Name of that sum; no tenant's, since it holds a blank.
const OTHER_TENANTS: &str = "all others";

/// Requests by tenant in the Prometheus text format.
pub(crate) fn tenant_text(quotas: &QuotaTable) -> String {
    let (named, others) = quotas.busiest(NAMED_TENANTS);
    let named = named.iter().map(|(name, counts)| (name.as_str(), *counts));
    let all: Vec<(&str, TenantCounts)> = named.chain([(OTHER_TENANTS, others)]).collect();
    let mut text = String::new();
    text.push_str("# TYPE dappleyard_tenant_asked_total counter\n");
    for (name, counts) in &all {
        let value = counts.asked;
        text.push_str(&format!(
            "dappleyard_tenant_asked_total{{tenant={name:?}}} {value}\n"
        ));
    }
    text.push_str("# TYPE dappleyard_tenant_over_quota_total counter\n");
    for (name, counts) in &all {
        let value = counts.over_quota;
        text.push_str(&format!(
            "dappleyard_tenant_over_quota_total{{tenant={name:?}}} {value}\n"
        ));
    }
    text
}

/// Counters and histograms of one process.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Requests taken from callers.
    pub requests: AtomicU64,
    /// Requests answered with success.
    pub served: AtomicU64,
    /// Answers of the node's own that promise "not run".
    pub refused: AtomicU64,
    /// Requests refused because their tenant had all of its share.
    pub over_share: AtomicU64,
    /// Other failures.
    pub failed: AtomicU64,
    /// Attempts at servers.
    pub attempts: AtomicU64,
    /// Attempts that failed.
    pub attempts_failed: AtomicU64,
    /// Attempts at servers of other regions.
    pub left_region: AtomicU64,
    /// Streams taken up at another server.
    pub resumed: AtomicU64,
    /// Connections opened to servers.
    pub connections: AtomicU64,
    /// Jobs accepted.
    pub jobs_accepted: AtomicU64,
    /// Jobs claimed from other nodes.
    pub jobs_claimed: AtomicU64,
    /// Results committed.
    pub results: AtomicU64,
    /// Runs of items at servers of other regions.
    pub items_left_region: AtomicU64,
    /// Items that went back to wait after a run broke.
    pub items_again: AtomicU64,
    /// Answers that were ended since their callers did not read them.
    pub answers_unread: AtomicU64,
    /// Runs of items that were paused for online requests.
    pub items_paused: AtomicU64,
    /// Items that wait now while their service is closed to items.
    pub items_held_back: AtomicU64,
    /// Times that a service was closed to items since online requests waited.
    pub batch_closings: AtomicU64,
    /// Requests and items held back from servers that may be cold.
    pub cold_held_back: AtomicU64,
    /// Questions to servers of how cold they are.
    pub health_questions: AtomicU64,
    /// Servers that are cold now.
    pub servers_cold: AtomicU64,
    /// Servers of which nobody knows whether they are cold.
    pub servers_unknown: AtomicU64,
    /// Times that the servers of a zone were doubted together.
    pub zones_suspected: AtomicU64,
    /// Servers of doubted zones that were tried.
    pub zone_probes: AtomicU64,
    /// Runs under which a server ended.
    pub servers_ended: AtomicU64,
    /// Requests that run no more since servers ended under them, as this node found.
    pub requests_blamed: AtomicU64,
    /// Requests that were refused for that.
    pub servers_ended_refused: AtomicU64,
    /// Times that a server's pace was found to differ much from what was believed.
    pub pace_changes: AtomicU64,
    /// Requests refused since there was no room for them in time.
    pub refused_for_room: AtomicU64,
    /// Requests that waited for a slot.
    pub room_waits: AtomicU64,
    /// Requests whose callers were refused before.
    pub returns_seen: AtomicU64,
    /// Those of them that were refused for room again.
    pub returns_refused: AtomicU64,
    first_event: [AtomicU64; BOUNDS_MS.len() + 1],
    first_event_sum_ms: AtomicU64,
}

impl Metrics {
    /// Adds one to a counter.
    pub fn count(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes the time to the first event of an answer.
    pub fn note_first_event(&self, time_ms: u64) {
        let bucket = BOUNDS_MS.iter().position(|bound| time_ms <= *bound);
        Self::count(&self.first_event[bucket.unwrap_or(BOUNDS_MS.len())]);
        self.first_event_sum_ms
            .fetch_add(time_ms, Ordering::Relaxed);
    }

    /// The figures in the Prometheus text format, and the bytes of answers that the node keeps.
    pub fn text(&self, answers_kept_bytes: u64) -> String {
        let counters = [
            ("requests", &self.requests),
            ("served", &self.served),
            ("refused", &self.refused),
            ("over_share", &self.over_share),
            ("failed", &self.failed),
            ("attempts", &self.attempts),
            ("attempts_failed", &self.attempts_failed),
            ("left_region", &self.left_region),
            ("resumed", &self.resumed),
            ("connections", &self.connections),
            ("jobs_accepted", &self.jobs_accepted),
            ("jobs_claimed", &self.jobs_claimed),
            ("results", &self.results),
            ("items_left_region", &self.items_left_region),
            ("items_again", &self.items_again),
            ("answers_unread", &self.answers_unread),
            ("items_paused", &self.items_paused),
            ("batch_closings", &self.batch_closings),
            ("cold_held_back", &self.cold_held_back),
            ("health_questions", &self.health_questions),
            ("zones_suspected", &self.zones_suspected),
            ("zone_probes", &self.zone_probes),
            ("pace_changes", &self.pace_changes),
            ("servers_ended", &self.servers_ended),
            ("requests_blamed", &self.requests_blamed),
            ("servers_ended_refused", &self.servers_ended_refused),
            ("refused_for_room", &self.refused_for_room),
            ("room_waits", &self.room_waits),
            ("returns_seen", &self.returns_seen),
            ("returns_refused", &self.returns_refused),
        ];
        let kept = AtomicU64::new(answers_kept_bytes);
        let gauges = [
            ("servers_cold", &self.servers_cold),
            ("servers_temperature_unknown", &self.servers_unknown),
            ("items_held_back", &self.items_held_back),
            ("answers_kept_bytes", &kept),
        ];
        let mut text = String::new();
        for (name, gauge) in gauges {
            let value = gauge.load(Ordering::Relaxed);
            text.push_str(&format!(
                "# TYPE dappleyard_{name} gauge\ndappleyard_{name} {value}\n"
            ));
        }
        for (name, counter) in counters {
            let value = counter.load(Ordering::Relaxed);
            text.push_str(&format!(
                "# TYPE dappleyard_{name}_total counter\ndappleyard_{name}_total {value}\n"
            ));
        }
        text.push_str("# TYPE dappleyard_first_event_ms histogram\n");
        let mut sum = 0;
        for (position, bucket) in self.first_event.iter().enumerate() {
            sum += bucket.load(Ordering::Relaxed);
            let bound = BOUNDS_MS
                .get(position)
                .map_or_else(|| "+Inf".to_owned(), u64::to_string);
            text.push_str(&format!(
                "dappleyard_first_event_ms_bucket{{le=\"{bound}\"}} {sum}\n"
            ));
        }
        let total = self.first_event_sum_ms.load(Ordering::Relaxed);
        text.push_str(&format!(
            "dappleyard_first_event_ms_sum {total}\ndappleyard_first_event_ms_count {sum}\n"
        ));
        text
    }
}
