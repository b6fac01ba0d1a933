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
        let mut life = self.life.lock();
        let now_us = self.now_us();
        let Some(mut model) = life.model.take() else {
            return;
        };
        model.lose(now_us);
        life.next_stream = model.next_stream();
        life.past.push(model);
        life.hung = false;
        life.due_us = None;
        for (_, sink) in life.sinks.drain() {
            // Sending fails if the reader was dropped.
            let _ = sink.sender.send(Delivery::EngineLost);
        }
    }

    /// Restarts a killed engine with empty state.
    pub(in crate::engine) fn revive(&self) {
        let mut life = self.life.lock();
        if life.model.is_none() {
            let now_us = self.now_us();
            life.model = Some(EngineModel::new(&self.spec, now_us, life.next_stream));
        }
    }

    /// Makes the engine hang, or resumes it.
    pub(in crate::engine) fn set_hung(&self, hung: bool) {
        let mut life = self.life.lock();
        let was_hung = life.hung;
        life.hung = hung && life.model.is_some();
        if was_hung && !hung {
            let now_us = self.now_us();
            if let Some(model) = &mut life.model {
                model.resume_after_hang(now_us);
            }
            self.pump_if_unscheduled(&mut life, now_us);
        }
    }

    pub(in crate::engine) fn is_hung(&self) -> bool {
        self.life.lock().hung
    }

    pub(in crate::engine) fn is_alive(&self) -> bool {
        self.life.lock().model.is_some()
    }

    pub(in crate::engine) fn records(&self) -> Vec<RunRecord> {
        let life = self.life.lock();
        let lives = life.past.iter().chain(life.model.iter());
        lives.flat_map(|model| model.records().all()).collect()
    }

    pub(in crate::engine) fn records_dropped(&self) -> u64 {
        let life = self.life.lock();
        let lives = life.past.iter().chain(life.model.iter());
        lives.map(|model| model.records().dropped()).sum()
    }

    pub(in crate::engine) fn orders(&self) -> Vec<OrderRecord> {
        self.life.lock().orders.clone()
    }

    /// Calls `read` with the meters of the engine, those before restarts included, oldest first.
    pub(in crate::engine) fn with_meters<R>(&self, read: impl FnOnce(&[&Meter]) -> R) -> R {
        let mut life = self.life.lock();
        let now_us = self.now_us();
        if let Ok(model) = life.answering() {
            model.meter(now_us);
        }
        let lives = life.past.iter().chain(life.model.iter());
        let meters: Vec<&Meter> = lives.map(EngineModel::meter_as_it_stands).collect();
        read(&meters)
    }
}
