//! Retry and hedge budgets.
