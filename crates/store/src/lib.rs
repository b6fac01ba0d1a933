//! Traits and clients of the platform's services: tables, objects and the machine list.
//!
//! `client` implements the traits over HTTP, `memory` in memory, and `gate` wraps the table and object stores with rate
//! limits, call classes, retries and a circuit breaker. Futures are not `Send`: each worker thread has its own clients.

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

/// Platform clients of one worker thread.
#[derive(Clone)]
pub struct Platform {
    pub tables: Rc<dyn TableStore>,
    pub objects: Rc<dyn ObjectStore>,
    pub machines: Rc<dyn MachineList>,
}

/// Creates a [`Platform`] for the calling worker thread.
pub type PlatformFactory = Arc<dyn Fn() -> Platform + Send + Sync>;
