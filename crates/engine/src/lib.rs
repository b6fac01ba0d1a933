//! Port and HTTP client of the model engines.
//!
//! [`Engine`] is what the node depends on. `client` implements it with `awc` against the HTTP
//! interface of the engines: newline-delimited JSON events in a chunked answer.

pub mod client;
pub mod port;

pub use client::HttpEngine;
pub use port::{
    CacheEvent, Engine, EngineError, EngineEvent, EngineOrder, EngineReport, EventStream,
    GenerateCall, KvQuery, KvState, LoadedModel, OrderKind, Priority,
};
