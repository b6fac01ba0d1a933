//! HTTP clients of the platform's services: JSON bodies, one client for each worker thread.
//!
//! A failure tells what is known of the change. Not connected, or refused by the service:
//! [`StoreError::Unavailable`]. Sent, and the answer lost or late: [`StoreError::Ambiguous`] for a
//! write, `Unavailable` for a read, which changes nothing.

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

/// Makes direct clients, without the store gate, for the worker thread that calls the factory.
pub fn factory(settings: &PlatformSettings) -> PlatformFactory {
    let settings = settings.clone();
    Arc::new(move || direct(&settings))
}

/// Direct clients for the calling thread.
pub fn direct(settings: &PlatformSettings) -> Platform {
    let http = Rc::new(Http::new(Duration::from_millis(settings.call_timeout_ms)));
    Platform {
        tables: Rc::new(HttpTableStore::new(http.clone(), &settings.tables_url)),
        objects: Rc::new(HttpObjectStore::new(http.clone(), &settings.objects_url)),
        machines: Rc::new(HttpMachineList::new(http, &settings.machines_url)),
    }
}
