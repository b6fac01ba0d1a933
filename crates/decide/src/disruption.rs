//! Disruption budgets.
