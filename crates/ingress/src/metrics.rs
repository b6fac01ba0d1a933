//! Prometheus metrics of one process.

use std::sync::atomic::{AtomicU64, Ordering};

use dappleyard_tenants::{QuotaTable, TenantCounts};

const BOUNDS_MS: [u64; 10] = [25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800];

/// Number of tenants with their own label. All others are summed up, which bounds the size of the
/// text.
pub(crate) const NAMED_TENANTS: usize = 20;
/// Label of that sum. Tenant names contain no space.
const OTHER_TENANTS: &str = "all others";

/// Requests by tenant in the Prometheus text format.
pub(crate) fn tenant_metrics(quotas: &QuotaTable) -> String {
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

#[derive(Debug, Default)]
pub struct Metrics {
    /// Requests received from clients.
    pub requests: AtomicU64,
    /// Requests served successfully.
    pub served: AtomicU64,
    /// Refusals that state that the request did not run.
    pub refused: AtomicU64,
    /// Requests refused as over the tenant's share.
    pub over_share: AtomicU64,
    pub failed: AtomicU64,
    /// Requests sent to servers.
    pub attempts: AtomicU64,
    pub attempts_failed: AtomicU64,
    /// Responses of servers that answer another request than the one that was sent.
    pub stray_responses: AtomicU64,
    /// Responses that were given up since the server sent bytes that break the protocol.
    pub malformed_answers: AtomicU64,
    /// Responses that were given up since the server sent more than any answer may have.
    pub answers_without_end: AtomicU64,
    /// Requests placed on servers of other regions.
    pub left_region: AtomicU64,
    /// Streams resumed at another server.
    pub resumed: AtomicU64,
    /// Streams that clients asked to resume.
    pub resumptions: AtomicU64,
    /// Those of them that were refused, since it is not certain where the stream began or it cannot
    /// be continued there.
    pub resumptions_refused: AtomicU64,
    pub connections: AtomicU64,
    /// Connections to servers that were not opened, since the process has too many.
    pub server_connections_refused: AtomicU64,
    pub jobs_accepted: AtomicU64,
    /// Jobs taken over from other nodes.
    pub jobs_claimed: AtomicU64,
    /// Jobs that other nodes took over from this one.
    pub jobs_lost: AtomicU64,
    /// Item results committed.
    pub results: AtomicU64,
    /// Runs of batch items on servers of other regions.
    pub items_left_region: AtomicU64,
    /// Batch items requeued after a failed run.
    pub items_again: AtomicU64,
    /// Requests that came after the stop was asked for.
    pub requests_while_stopping: AtomicU64,
    /// Responses cut because the process had to end.
    pub answers_cut_by_stop: AtomicU64,
    /// Responses aborted because the client did not read them.
    pub answers_unread: AtomicU64,
    /// Runs of batch items preempted by online requests.
    pub items_paused: AtomicU64,
    /// Batch items that dropped their output because no server may continue it.
    pub items_restarted: AtomicU64,
    /// Batch items that wait because their service is closed to them.
    pub items_held_back: AtomicU64,
    /// Times a service was closed to batch items because online requests waited.
    pub batch_closings: AtomicU64,
    /// Requests and items refused by the rate limit of a cold server.
    pub cold_held_back: AtomicU64,
    /// Health checks of servers of unknown warm-up state.
    pub health_questions: AtomicU64,
    /// Cold servers.
    pub servers_cold: AtomicU64,
    /// Servers of unknown warm-up state.
    pub servers_unknown: AtomicU64,
    /// Times the servers of a zone became unreachable together.
    pub zones_suspected: AtomicU64,
    /// Probes of servers in suspect zones.
    pub zone_probes: AtomicU64,
    /// Runs during which the server crashed.
    pub servers_ended: AtomicU64,
    /// Requests that this node found to have reached the crash limit.
    pub requests_blamed: AtomicU64,
    /// Prompt parts that this node found to have reached the crash limit.
    pub prompt_parts_blamed: AtomicU64,
    /// Requests refused as over the crash limit.
    pub servers_ended_refused: AtomicU64,
    /// Significant changes of a server's slowdown.
    pub pace_changes: AtomicU64,
    /// Requests refused because they would miss their target.
    pub refused_for_room: AtomicU64,
    pub room_waits: AtomicU64,
    /// Requests identified as retries after a refusal.
    pub returns_seen: AtomicU64,
    /// Retries that were refused again for the same reason.
    pub returns_refused: AtomicU64,
    first_event: [AtomicU64; BOUNDS_MS.len() + 1],
    first_event_sum_ms: AtomicU64,
}

impl Metrics {
    pub fn count(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Records the time to the first event of a response.
    pub fn note_first_event(&self, time_ms: u64) {
        let bucket = BOUNDS_MS.iter().position(|bound| time_ms <= *bound);
        Self::count(&self.first_event[bucket.unwrap_or(BOUNDS_MS.len())]);
        self.first_event_sum_ms
            .fetch_add(time_ms, Ordering::Relaxed);
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn text(&self, answers_kept_bytes: u64) -> String {
        let counters = [
            ("requests", &self.requests),
            ("served", &self.served),
            ("refused", &self.refused),
            ("over_share", &self.over_share),
            ("failed", &self.failed),
            ("attempts", &self.attempts),
            ("attempts_failed", &self.attempts_failed),
            ("stray_responses", &self.stray_responses),
            ("malformed_answers", &self.malformed_answers),
            ("answers_without_end", &self.answers_without_end),
            ("left_region", &self.left_region),
            ("resumed", &self.resumed),
            ("resumptions", &self.resumptions),
            ("resumptions_refused", &self.resumptions_refused),
            ("connections", &self.connections),
            (
                "server_connections_refused",
                &self.server_connections_refused,
            ),
            ("jobs_accepted", &self.jobs_accepted),
            ("jobs_claimed", &self.jobs_claimed),
            ("jobs_lost", &self.jobs_lost),
            ("results", &self.results),
            ("items_left_region", &self.items_left_region),
            ("items_again", &self.items_again),
            ("requests_while_stopping", &self.requests_while_stopping),
            ("answers_cut_by_stop", &self.answers_cut_by_stop),
            ("answers_unread", &self.answers_unread),
            ("items_paused", &self.items_paused),
            ("items_restarted", &self.items_restarted),
            ("batch_closings", &self.batch_closings),
            ("cold_held_back", &self.cold_held_back),
            ("health_questions", &self.health_questions),
            ("zones_suspected", &self.zones_suspected),
            ("zone_probes", &self.zone_probes),
            ("pace_changes", &self.pace_changes),
            ("servers_ended", &self.servers_ended),
            ("requests_blamed", &self.requests_blamed),
            ("prompt_parts_blamed", &self.prompt_parts_blamed),
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
