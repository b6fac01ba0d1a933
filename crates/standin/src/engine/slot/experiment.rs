//! Fault injection and access to records, for tests and experiments.

use super::{Delivery, Slot};
use crate::engine::host::OrderRecord;
use crate::engine::meter::Meter;
use crate::engine::model::EngineModel;
use crate::engine::record::RunRecord;

impl Slot {
    pub(in crate::engine) fn set_publication_faults(
        &self,
        extra_delay_us: u64,
        events_dropped: bool,
    ) {
        let set = |model: &mut EngineModel, _| {
            model.set_publication_faults(extra_delay_us, events_dropped);
        };
        // Has no effect on a killed or hanging engine.
        let _ = self.with_model(set);
    }

    /// Kills the engine: drops its state and aborts the connections of its readers.
    pub(in crate::engine) fn kill(&self) {
        let mut inner = self.inner.lock();
        let now_us = self.now_us();
        let Some(mut model) = inner.model.take() else {
            return;
        };
        model.end_as_lost(now_us);
        inner.next_stream = model.next_stream();
        inner.retired.push(model);
        inner.hung = false;
        inner.due_us = None;
        for (_, sink) in inner.sinks.drain() {
            // Sending fails if the reader was dropped.
            let _ = sink.sender.send(Delivery::EngineLost);
        }
    }

    /// Restarts a killed engine with empty state.
    pub(in crate::engine) fn restart(&self) {
        let mut inner = self.inner.lock();
        if inner.model.is_none() {
            let now_us = self.now_us();
            inner.model = Some(EngineModel::new(&self.spec, now_us, inner.next_stream));
        }
    }

    /// Makes the engine hang, or resumes it.
    pub(in crate::engine) fn set_hung(&self, hung: bool) {
        let mut inner = self.inner.lock();
        let was_hung = inner.hung;
        inner.hung = hung && inner.model.is_some();
        if was_hung && !hung {
            let now_us = self.now_us();
            if let Some(model) = &mut inner.model {
                model.resume_after_hang(now_us);
            }
            self.advance_if_unscheduled(&mut inner, now_us);
        }
    }

    pub(in crate::engine) fn is_hung(&self) -> bool {
        self.inner.lock().hung
    }

    pub(in crate::engine) fn is_alive(&self) -> bool {
        self.inner.lock().model.is_some()
    }

    pub(in crate::engine) fn records(&self) -> Vec<RunRecord> {
        let inner = self.inner.lock();
        let models = inner.retired.iter().chain(inner.model.iter());
        models.flat_map(|model| model.records().all()).collect()
    }

    pub(in crate::engine) fn records_dropped(&self) -> u64 {
        let inner = self.inner.lock();
        let models = inner.retired.iter().chain(inner.model.iter());
        models.map(|model| model.records().dropped()).sum()
    }

    pub(in crate::engine) fn orders(&self) -> Vec<OrderRecord> {
        self.inner.lock().orders.clone()
    }

    /// Calls `read` with the meters of the engine, those before restarts included, oldest first.
    pub(in crate::engine) fn with_meters<R>(&self, read: impl FnOnce(&[&Meter]) -> R) -> R {
        let mut inner = self.inner.lock();
        let now_us = self.now_us();
        if let Ok(model) = inner.responsive_model() {
            model.meter(now_us);
        }
        let models = inner.retired.iter().chain(inner.model.iter());
        let meters: Vec<&Meter> = models.map(EngineModel::meter_without_update).collect();
        read(&meters)
    }
}
