//! Metrics of the fleet part.

use dappleyard_wire::messages::datagram::Body;
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

pub struct Metrics {
    /// Bytes of datagrams, by direction.
    pub bytes: IntCounterVec,
    /// Datagrams, by direction and kind.
    pub datagrams: IntCounterVec,
    /// Datagrams that could not be decoded.
    pub malformed: IntCounter,
    /// Members suspected, by own probes or by gossip.
    pub suspicions: IntCounter,
    pub own_suspicions: IntCounter,
    pub false_suspicions: IntCounter,
    /// Members declared dead that were alive without a restart.
    pub false_deaths: IntCounter,
    /// Suspicions and deaths of this node that it refuted.
    pub refutations: IntCounter,
    /// Time from suspicion to death, for deaths that this node declared, seconds.
    pub detection: Histogram,
    /// Alive or suspected members, this node included.
    pub members: IntGauge,
    /// Configuration revision applied on this node.
    pub revision: IntGauge,
    /// Configuration changes applied, by source.
    pub applied: IntCounterVec,
    pub owned_servers: IntGauge,
    /// Transitions of the node to the withdrawn state.
    pub withdrawals: IntCounter,
    /// Calls to the platform and snapshot requests to peers, by call and result.
    pub calls: IntCounterVec,
}

impl Metrics {
    /// Creates and registers the metrics. Those whose names are already registered are not exported.
    pub fn new(registry: &Registry) -> Metrics {
        let vector = |name: &str, help: &str, labels: &[&str]| {
            let made = IntCounterVec::new(Opts::new(name, help), labels).expect("a valid name");
            let _ = registry.register(Box::new(made.clone()));
            made
        };
        let counter = |name: &str, help: &str| {
            let made = IntCounter::new(name, help).expect("a valid name");
            let _ = registry.register(Box::new(made.clone()));
            made
        };
        let gauge = |name: &str, help: &str| {
            let made = IntGauge::new(name, help).expect("a valid name");
            let _ = registry.register(Box::new(made.clone()));
            made
        };
        let detection = HistogramOpts::new(
            "dappleyard_fleet_detection_seconds",
            "Time from suspicion to death, for deaths declared by this node",
        )
        .buckets(vec![0.5, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 12.0, 20.0]);
        let detection = Histogram::with_opts(detection).expect("a valid name");
        let _ = registry.register(Box::new(detection.clone()));
        Metrics {
            bytes: vector(
                "dappleyard_fleet_bytes_total",
                "Bytes of gossip datagrams",
                &["direction"],
            ),
            datagrams: vector(
                "dappleyard_fleet_datagrams_total",
                "Gossip datagrams",
                &["direction", "kind"],
            ),
            malformed: counter(
                "dappleyard_fleet_malformed_total",
                "Datagrams that could not be read",
            ),
            suspicions: counter("dappleyard_fleet_suspicions_total", "Members suspected"),
            own_suspicions: counter(
                "dappleyard_fleet_own_suspicions_total",
                "Members suspected by own probes",
            ),
            false_suspicions: counter(
                "dappleyard_fleet_false_suspicions_total",
                "Suspicions that turned out false",
            ),
            false_deaths: counter(
                "dappleyard_fleet_false_deaths_total",
                "Members believed dead that turned out alive",
            ),
            refutations: counter(
                "dappleyard_fleet_refutations_total",
                "Statements about this node that it refuted",
            ),
            detection,
            members: gauge("dappleyard_fleet_members", "Members believed alive"),
            revision: gauge(
                "dappleyard_fleet_configuration_revision",
                "Configuration revision in force",
            ),
            applied: vector(
                "dappleyard_fleet_configuration_applied_total",
                "Configuration changes applied",
                &["source"],
            ),
            owned_servers: gauge("dappleyard_fleet_owned_servers", "Servers owned"),
            withdrawals: counter(
                "dappleyard_fleet_withdrawals_total",
                "Times that the node withdrew",
            ),
            calls: vector(
                "dappleyard_fleet_calls_total",
                "Calls to the platform",
                &["call", "result"],
            ),
        }
    }

    pub fn count_datagram(&self, direction: &str, body: Option<&Body>, bytes: usize) {
        self.bytes
            .with_label_values(&[direction])
            .inc_by(bytes as u64);
        self.datagrams
            .with_label_values(&[direction, kind_name(body)])
            .inc();
    }

    pub fn count_call<T, E>(&self, call: &str, result: &Result<T, E>) {
        let result = if result.is_ok() { "ok" } else { "error" };
        self.calls.with_label_values(&[call, result]).inc();
    }
}

fn kind_name(body: Option<&Body>) -> &'static str {
    match body {
        None => "updates",
        Some(Body::Probe(_)) => "probe",
        Some(Body::Ack(_)) => "ack",
        Some(Body::IndirectProbe(_)) => "indirect_probe",
        Some(Body::Load(_)) => "load",
        Some(Body::Digest(_)) => "digest",
        Some(Body::Entries(_)) => "entries",
        Some(Body::Aggregate(_)) => "aggregate",
    }
}
