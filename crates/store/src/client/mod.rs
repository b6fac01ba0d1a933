//! HTTP clients of the platform's services, with JSON bodies.
//!
//! Errors state what is known about the effect of a call. If the connection failed or the service answered 503, it is
//! [`StoreError::Unavailable`]. If the call was sent but its answer was lost or late, it is [`StoreError::Ambiguous`] for
//! a write and `Unavailable` for a read, which changes nothing.

mod http;
mod machines;
mod objects;
pub mod protocol;
mod tables;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dappleyard_settings::PlatformSettings;

use crate::{Platform, PlatformFactory};
use http::Http;
use machines::HttpMachineList;
use objects::HttpObjectStore;
use tables::HttpTableStore;

/// Creates a factory of clients without the store gate.
pub fn factory(settings: &PlatformSettings) -> PlatformFactory {
    let settings = settings.clone();
    Arc::new(move || direct(&settings))
}

/// Creates clients without the store gate for the calling thread.
pub fn direct(settings: &PlatformSettings) -> Platform {
    let http = Rc::new(Http::new(Duration::from_millis(settings.call_timeout_ms)));
    Platform {
        tables: Rc::new(HttpTableStore::new(http.clone(), &settings.tables_url)),
        objects: Rc::new(HttpObjectStore::new(http.clone(), &settings.objects_url)),
        machines: Rc::new(HttpMachineList::new(http, &settings.machines_url)),
    }
}
