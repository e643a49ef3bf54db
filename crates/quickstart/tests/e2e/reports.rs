//! The operators' reports.
