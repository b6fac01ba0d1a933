//! Who calls, and how much each tenant may ask of all nodes together.
//!
//! [`identify`] tells whose request it is. [`QuotaTable`] holds the credit of each tenant: every node
//! tells how many requests it let pass, the delegates of each zone keep the sum, and tell the nodes of
//! their zone what is left. A node decides by what it was told and by what it has let pass since, so that no
//! request waits for another node. Nothing here performs I/O.

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
pub use identity::{Caller, KeyRefusal, Standing, identify};
pub use ledger::Ledger;
pub use messages::{CreditLevel, PassedCount};
pub use numbers::tenant_number;
pub use table::{QuotaTable, Shortage, TenantCounts};
