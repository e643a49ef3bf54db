//! Tests of the simulation.

#[path = "model/engine.rs"]
mod engine;
#[path = "model/experiment.rs"]
mod experiment;
#[path = "model/scenario.rs"]
mod scenario;
