//! Per-thread engine clients.

use std::rc::Rc;
use std::time::Duration;

use dappleyard_engine::{Engine, HttpEngine};
use dappleyard_settings::OnlineSettings;

/// A client with the timeouts of the settings. Must be called on the thread that uses it.
pub fn client(settings: &OnlineSettings) -> Rc<dyn Engine> {
    Rc::new(HttpEngine::new(
        Duration::from_millis(settings.engine_connect_timeout_ms),
        Duration::from_millis(settings.engine_idle_timeout_ms),
    ))
}
