//! Fenced orders and model version loads.

use std::sync::Arc;

use dappleyard_decide::fence::{OrderPosition, admits};
use dappleyard_engine::{EngineOrder, LoadedModel, OrderKind};

use super::{EngineModel, Refusal};

/// Progress of a version load.
#[derive(Debug, Clone, PartialEq)]
pub enum LoadPhase {
    /// No load in progress.
    None,
    /// Waits for running and waiting sequences to end.
    Draining { model: LoadedModel },
    /// Waits for the caller to query the weight store for the duration.
    QueryingSource { model: LoadedModel },
    /// Reads the weights.
    Reading {
        model: LoadedModel,
        /// End of the load, microseconds.
        until_us: u64,
        /// Result of the load.
        outcome: Result<(), String>,
    },
}

impl LoadPhase {
    /// The version being loaded.
    pub fn version(&self) -> Option<&str> {
        match self {
            LoadPhase::None => None,
            LoadPhase::Draining { model }
            | LoadPhase::QueryingSource { model }
            | LoadPhase::Reading { model, .. } => Some(&model.version),
        }
    }
}

impl EngineModel {
    /// Applies an order. Rejects one whose (epoch, sequence) is not greater than that of the last
    /// applied order.
    pub fn order(&mut self, now_us: u64, order: &EngineOrder) -> Result<(), Refusal> {
        self.catch_up(now_us);
        let offered = OrderPosition {
            epoch: order.epoch,
            sequence: order.sequence,
        };
        if !admits(self.position, offered) {
            return Err(Refusal::new(409, "a later order was applied"));
        }
        match &order.kind {
            OrderKind::SetAccepting { accepting } => self.accepting = *accepting,
            OrderKind::LoadAdapter { adapter } => {
                let Some(model) = &mut self.model else {
                    return Err(Refusal::new(503, "the engine is loading a model"));
                };
                if !model.adapters.contains(adapter) {
                    model.adapters.push(adapter.clone());
                }
            }
            OrderKind::LoadVersion { service, version } => self.begin_load(service, version),
        }
        self.position = offered;
        Ok(())
    }

    /// Service and version for which the caller must query the weight store.
    pub fn load_to_query(&self) -> Option<(&str, &str)> {
        match &self.load {
            LoadPhase::QueryingSource { model } => Some((&model.service, &model.version)),
            _ => None,
        }
    }

    /// Sets the end time and result of the pending load, as reported by the weight store.
    pub fn set_load_result(&mut self, until_us: u64, outcome: Result<(), String>) {
        if let LoadPhase::QueryingSource { model } = &self.load {
            self.load = LoadPhase::Reading {
                model: model.clone(),
                until_us,
                outcome,
            };
        }
    }

    /// End of the load in progress, microseconds.
    pub(super) fn load_due(&self) -> Option<u64> {
        match &self.load {
            LoadPhase::Reading { until_us, .. } => Some(*until_us),
            _ => None,
        }
    }

    fn begin_load(&mut self, service: &str, version: &str) {
        self.load_failure.clear();
        let adapters = match &self.model {
            Some(model) if model.service == service => model.adapters.clone(),
            _ => Vec::new(),
        };
        let same = self
            .model
            .as_ref()
            .is_some_and(|model| model.service == service && model.version == version);
        if same {
            self.load = LoadPhase::None;
            return;
        }
        self.previous = self.model.take().or(self.previous.take());
        self.load = LoadPhase::Draining {
            model: LoadedModel {
                service: service.to_owned(),
                version: version.to_owned(),
                adapters,
            },
        };
    }

    pub(super) fn advance_load(&mut self, now_us: u64) {
        let idle = self.running.is_empty() && self.waiting.is_empty();
        match &self.load {
            LoadPhase::Draining { model } if idle => {
                self.load = LoadPhase::QueryingSource {
                    model: model.clone(),
                };
            }
            LoadPhase::Reading { until_us, .. } if *until_us <= now_us => self.end_load(),
            _ => {}
        }
    }

    fn end_load(&mut self) {
        let load = std::mem::replace(&mut self.load, LoadPhase::None);
        let LoadPhase::Reading { model, outcome, .. } = load else {
            return;
        };
        match outcome {
            Ok(()) => {
                self.version = Arc::from(model.version.as_str());
                self.model = Some(model);
                self.previous = None;
                self.memory.clear_cache();
                self.finished.clear();
            }
            Err(failure) => {
                self.load_failure = failure;
                self.model = self.previous.take();
            }
        }
    }
}
