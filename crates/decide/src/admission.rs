//! Tenant limits and early refusals.
