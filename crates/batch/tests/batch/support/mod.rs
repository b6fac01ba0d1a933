//! In-memory platform and engine with fault injection.
#![allow(dead_code)]

pub mod engine;
pub mod harness;
pub mod platform;
pub mod suspension;
