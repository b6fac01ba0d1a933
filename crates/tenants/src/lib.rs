//! Caller identification and fleet-wide request quotas per tenant.
//!
//! [`identify`] maps an API key to a tenant. [`QuotaTable`] holds the credit of each tenant: every node reports how
//! many requests it has admitted, and the delegates of each zone add up these counts and report the remaining credit
//! to the nodes of their zone. A node decides based on the last report and on what it has admitted since, so a
//! request never waits for another node. This crate performs no I/O.

mod account;
mod counts;
mod growth;
mod identity;
mod ledger;
mod messages;
mod numbers;
mod reports;
mod table;

pub use account::{Refill, tolerance};
pub use counts::ZonePassed;
pub use identity::{Caller, ConfigurationStatus, KeyRefusal, identify};
pub use ledger::Ledger;
pub use messages::{CreditLevel, PassedCount};
pub use numbers::tenant_number;
pub use table::{QuotaTable, Shortage, TenantCounts};
