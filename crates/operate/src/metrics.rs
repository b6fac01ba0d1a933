//! Metrics of controllers and plans.

use dappleyard_tables::NodeTables;
use prometheus::{IntCounterVec, IntGauge, Opts};

/// Metrics of this crate, registered once per node.
#[derive(Clone)]
pub struct Metrics {
    /// Orders to engines, by kind and outcome (`given`, `refused`, `unreachable`, `fenced`).
    pub orders: IntCounterVec,
    /// Services whose epoch this node holds.
    pub services: IntGauge,
    /// Epoch claims and losses by outcome (`claimed`, `lost`, `held_by_another`, `failed`).
    pub epochs: IntCounterVec,
    /// Plan steps by outcome (`moved`, `unchanged`, `overtaken`, `failed`).
    pub plan_steps: IntCounterVec,
    pub plans_running: IntGauge,
    /// Rollouts by result of the health gate (`promoted`, `rolled_back`).
    pub rollouts: IntCounterVec,
    /// Rounds in which a load was blocked by the disruption budget, the load limit or a demand
    /// window.
    pub loads_held: IntCounterVec,
    /// Writes of decision records to the object store, by outcome (`written`, `failed`).
    pub journal: IntCounterVec,
}

impl Metrics {
    pub fn register(tables: &NodeTables) -> Metrics {
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)
                .expect("the names of metrics are valid");
            // Fails only in tests that start two controllers on one node.
            let _ = tables.metrics.register(Box::new(counters.clone()));
            counters
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("the names of metrics are valid");
            let _ = tables.metrics.register(Box::new(gauge.clone()));
            gauge
        };
        Metrics {
            orders: counters(
                "dappleyard_controller_orders_total",
                "Orders to engines",
                &["kind", "outcome"],
            ),
            services: gauge(
                "dappleyard_controller_services",
                "Services whose epoch this node holds",
            ),
            epochs: counters(
                "dappleyard_controller_epochs_total",
                "Claims and losses of service epochs",
                &["outcome"],
            ),
            plan_steps: counters(
                "dappleyard_plan_steps_total",
                "Looks at running plans",
                &["outcome"],
            ),
            plans_running: gauge(
                "dappleyard_plans_running",
                "Plans that run, as the plan runner sees them",
            ),
            rollouts: counters(
                "dappleyard_rollouts_total",
                "Rollouts by what the health gate said",
                &["outcome"],
            ),
            loads_held: counters(
                "dappleyard_controller_loads_held_total",
                "Rounds in which a load was held back",
                &["service"],
            ),
            journal: counters(
                "dappleyard_journal_writes_total",
                "Writes of decision records to the object store",
                &["outcome"],
            ),
        }
    }
}
