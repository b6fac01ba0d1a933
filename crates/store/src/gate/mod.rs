//! Store gate: all calls of a node to the table service and the object store go through it.
//!
//! All worker threads share one [`StoreGate`]. It limits the call rate by priority class, retries calls that changed
//! nothing within a budget, stops calling a store that does not answer, and merges small writes into one transaction. It
//! never retries a write whose answer was lost: only the caller can find out whether it took effect.

mod breaker;
mod budget;
mod caller;
mod class;
mod group;
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
use caller::StoreCaller;
use group::GroupCommit;
use metrics::GateMetrics;
use objects::GatedObjects;
use tables::GatedTables;

/// Gate shared by all worker threads of a node.
pub struct StoreGate {
    tables: Arc<StoreCaller>,
    objects: Arc<StoreCaller>,
    group_commit_ms: u64,
}

impl StoreGate {
    /// Creates a gate and registers its metrics.
    pub fn new(settings: &PlatformSettings, registry: &prometheus::Registry) -> Arc<StoreGate> {
        let metrics = GateMetrics::register(registry);
        Arc::new(StoreGate {
            tables: Arc::new(StoreCaller::new("tables", settings, metrics.clone())),
            objects: Arc::new(StoreCaller::new("objects", settings, metrics)),
            group_commit_ms: settings.group_commit_ms,
        })
    }

    /// Wraps a factory so that its platforms go through this gate.
    pub fn wrap(self: &Arc<Self>, factory: PlatformFactory) -> PlatformFactory {
        let gate = self.clone();
        Arc::new(move || gate.gated(factory()))
    }

    /// Whether the breaker of the table service is closed.
    pub fn tables_available(&self) -> bool {
        self.tables.is_available()
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
