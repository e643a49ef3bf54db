//! Tests of the simulation.

#[path = "model/engine.rs"]
mod engine;
#[path = "model/experiment.rs"]
mod experiment;
#[path = "model/paces.rs"]
mod paces;
#[path = "model/scenario.rs"]
mod scenario;
