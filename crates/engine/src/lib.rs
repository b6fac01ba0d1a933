//! Interface and HTTP client of the model engines.
//!
//! The node depends only on the [`Engine`] trait. `client` implements it with `awc` over HTTP, where
//! events are newline-delimited JSON in a chunked response.

pub mod client;
pub mod port;

pub use client::HttpEngine;
pub use port::{
    CacheEvent, Engine, EngineError, EngineEvent, EngineOrder, EngineReport, EventStream,
    GenerateCall, KvExportRequest, KvState, LoadedModel, OrderKind, Priority,
};
