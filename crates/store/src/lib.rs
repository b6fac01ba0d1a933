//! Ports of the platform: tables, objects, weights and the machine list.
//!
//! The traits here are what the rest of the system depends on; `client` implements them over HTTP,
//! and `gate` wraps the table and object stores with the one place for rate limits, classes of
//! call, retries and the breaker. Futures are not `Send`: each worker thread has its own client.

pub mod client;
pub mod gate;
pub mod machines;
pub mod memory;
pub mod objects;
pub mod tables;

pub use machines::{Machine, MachineList, MachineRole};
pub use memory::{Fault, MemoryPlatform};
pub use objects::{ObjectData, ObjectStore};
pub use tables::{Changes, Expect, Row, StoreError, TableStore, Transaction, Write};

use std::rc::Rc;
use std::sync::Arc;

/// The platform as one worker thread uses it.
#[derive(Clone)]
pub struct Platform {
    /// Table service, behind the store gate.
    pub tables: Rc<dyn TableStore>,
    /// Object store, behind the store gate.
    pub objects: Rc<dyn ObjectStore>,
    /// Machine list.
    pub machines: Rc<dyn MachineList>,
}

/// Makes a [`Platform`] for the worker thread that calls it; all of them share one store gate.
pub type PlatformFactory = Arc<dyn Fn() -> Platform + Send + Sync>;
