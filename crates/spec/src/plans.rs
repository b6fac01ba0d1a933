//! plans
