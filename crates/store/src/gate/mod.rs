//! The store gate: the one place through which a node calls the table service and the object store.
//!
//! All worker threads of a node share one [`StoreGate`]. It limits the rate, lets the calls that
//! protect promises go before the others, repeats calls that changed nothing within a budget, stops
//! calling a store that does not answer, and joins small writes into one transaction. It never
//! repeats a write whose answer was lost: only the caller knows how to read back what became of it.

mod breaker;
mod budget;
mod class;
mod group;
mod lane;
mod limiter;
mod metrics;
mod objects;
mod tables;

use std::rc::Rc;
use std::sync::Arc;

use dappleyard_settings::PlatformSettings;

pub use breaker::{Admission, Breaker};
pub use budget::RetryBudget;
pub use class::CallClass;
pub use limiter::Limiter;

use crate::{Platform, PlatformFactory};
use group::GroupCommit;
use lane::Lane;
use metrics::GateMetrics;
use objects::GatedObjects;
use tables::GatedTables;

/// The gate that all worker threads of a node share.
pub struct StoreGate {
    tables: Arc<Lane>,
    objects: Arc<Lane>,
    group_commit_ms: u64,
}

impl StoreGate {
    /// A gate; its metrics go into `registry`.
    pub fn new(settings: &PlatformSettings, registry: &prometheus::Registry) -> Arc<StoreGate> {
        let metrics = GateMetrics::register(registry);
        Arc::new(StoreGate {
            tables: Arc::new(Lane::new("tables", settings, metrics.clone())),
            objects: Arc::new(Lane::new("objects", settings, metrics)),
            group_commit_ms: settings.group_commit_ms,
        })
    }

    /// A factory whose platforms go through this gate.
    pub fn wrap(self: &Arc<Self>, factory: PlatformFactory) -> PlatformFactory {
        let gate = self.clone();
        Arc::new(move || gate.gated(factory()))
    }

    /// Whether the table service answered lately: `false` while its breaker is open.
    pub fn tables_answer(&self) -> bool {
        self.tables.answers()
    }

    fn gated(&self, platform: Platform) -> Platform {
        let grouped = GroupCommit::new(platform.tables, self.tables.clone(), self.group_commit_ms);
        Platform {
            tables: Rc::new(GatedTables::new(grouped, self.tables.clone())),
            objects: Rc::new(GatedObjects::new(platform.objects, self.objects.clone())),
            machines: platform.machines,
        }
    }
}
