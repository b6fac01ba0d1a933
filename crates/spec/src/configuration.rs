//! configuration
