//! Memory that callers' messages may use in a process, and who yields when it is used up.
//!
//! Each message has an account, which is charged for the bytes that the process holds of it: while it is read, while it
//! waits and runs, and while it is kept for a retry. When the budget is used up, unfinished messages that make no progress
//! are given up, the largest first; if there are none, the charge is refused. A part of the budget is left to small messages,
//! so that large ones cannot lock them out.

mod budget;
mod ledger;
mod limits;

pub use budget::{Account, MemoryBudget, MemoryShort};
pub use ledger::{Charge, Ledger, MessageId};
pub use limits::{BudgetLimits, CallerLimits};
