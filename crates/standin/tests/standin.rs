//! Contract tests of the stand-ins, with table-driven fault cases.

#[path = "standin/engine.rs"]
mod engine;
#[path = "standin/platform.rs"]
mod platform;
#[path = "standin/programs.rs"]
mod programs;
#[path = "standin/relay.rs"]
mod relay;
#[path = "standin/service.rs"]
mod service;
