//! Tests of decisions on prepaid tokens without a network.

#[path = "prepaid/last_tokens.rs"]
mod last_tokens;
#[path = "prepaid/shortage.rs"]
mod shortage;
#[path = "prepaid/sim.rs"]
mod sim;
