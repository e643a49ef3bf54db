//! Budgets and bills under failure.
