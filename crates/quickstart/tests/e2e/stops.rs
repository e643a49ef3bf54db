//! Planned stops, leaving targets and restarts.
