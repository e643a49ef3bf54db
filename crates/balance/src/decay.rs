//! Sums whose parts lose weight exponentially with their age.

pub use cyc_types::DecayingSum;
