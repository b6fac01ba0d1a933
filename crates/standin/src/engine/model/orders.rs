//! Fenced orders, and loads of versions.

use std::sync::Arc;

use dappleyard_decide::fence::{OrderPosition, admits};
use dappleyard_engine::{EngineOrder, LoadedModel, OrderKind};

use super::{EngineModel, Refusal};

/// Where a load stands.
#[derive(Debug, Clone, PartialEq)]
pub enum LoadPhase {
    /// Nothing is being loaded.
    None,
    /// Running work ends first.
    Draining {
        /// What is to be loaded.
        model: LoadedModel,
    },
    /// The shell asks the weight store how long the load takes.
    Asking {
        /// What is to be loaded.
        model: LoadedModel,
    },
    /// The weights are being read.
    Reading {
        /// What is being loaded.
        model: LoadedModel,
        /// When the load ends, microseconds.
        until_us: u64,
        /// How it ends.
        outcome: Result<(), String>,
    },
}

impl LoadPhase {
    /// Version being loaded.
    pub fn version(&self) -> Option<&str> {
        match self {
            LoadPhase::None => None,
            LoadPhase::Draining { model }
            | LoadPhase::Asking { model }
            | LoadPhase::Reading { model, .. } => Some(&model.version),
        }
    }
}

impl EngineModel {
    /// Applies a fenced order; a lower or equal (epoch, sequence) is refused.
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

    /// Service and version that the shell is to ask the weight store for.
    pub fn wanted_load(&self) -> Option<(&str, &str)> {
        match &self.load {
            LoadPhase::Asking { model } => Some((&model.service, &model.version)),
            _ => None,
        }
    }

    /// The weight store's answer: when the load ends, and how.
    pub fn set_load(&mut self, until_us: u64, outcome: Result<(), String>) {
        if let LoadPhase::Asking { model } = &self.load {
            self.load = LoadPhase::Reading {
                model: model.clone(),
                until_us,
                outcome,
            };
        }
    }

    /// When the load at hand ends, microseconds.
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
                self.load = LoadPhase::Asking {
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
