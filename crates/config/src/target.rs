//! Targets, their concurrency limits and the desired state of engines.

use std::{collections::BTreeMap, net::SocketAddr};

use cyc_proto::sidecar::RouteClass;
use cyc_types::{AvailabilityZone, ByteSize, ModelId, ServiceId, TargetId, VmId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::Display;

/// Concurrency limits of a target by route class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Slots {
    /// Concurrent status requests.
    pub status: u32,
    /// Concurrent booking requests.
    pub booking: u32,
    /// Concurrent drafting requests.
    pub drafting: u32,
}

impl Slots {
    /// Returns the slots of one class.
    pub const fn of(self, class: RouteClass) -> u32 {
        match class {
            RouteClass::Status => self.status,
            RouteClass::Booking => self.booking,
            RouteClass::Drafting => self.drafting,
        }
    }
}

/// The phases of inference that an engine runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EngineRole {
    /// Processes prompts and generates tokens.
    #[default]
    Mixed,
    /// Processes prompts and exports the KV cache.
    Prefill,
    /// Imports the KV cache and generates tokens.
    Decode,
}

/// The weights of a model or adapter that an engine should load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Version of the weights.
    pub version: SmolStr,
    /// Size of the weights, given when a permit of the weight store is requested.
    pub bytes: ByteSize,
}

/// The desired state of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineState {
    /// The models and adapters to load.
    pub models: Vec<ModelId>,
    /// The required weights by model or adapter. For those not listed, any loaded version is
    /// accepted.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub weights: BTreeMap<ModelId, Weights>,
    /// The phases of inference that the engine runs.
    #[serde(default)]
    pub role: EngineRole,
}

/// One engine or one instance of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Unique id.
    pub id: TargetId,
    /// The services that the target serves, at least one. Invariant: all of the same kind.
    pub services: Vec<ServiceId>,
    /// The VM that it runs on; unique.
    pub vm: VmId,
    /// The availability zone of the VM.
    pub zone: AvailabilityZone,
    /// The RPC address of its sidecar; unique.
    pub addr: SocketAddr,
    /// Concurrency limits.
    pub slots: Slots,
    /// The desired state of an engine. Invariant: present if and only if the target is an engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineState>,
    /// True if the target rejects orders with a stale fencing number; default false.
    #[serde(default)]
    pub checks_fencing: bool,
}

impl Target {
    /// Creates a target of one service, with zero slots for every class.
    pub fn new(
        id: TargetId,
        service: ServiceId,
        (vm, zone): (VmId, AvailabilityZone),
        addr: SocketAddr,
    ) -> Self {
        Self {
            id,
            services: vec![service],
            vm,
            zone,
            addr,
            slots: Slots::default(),
            engine: None,
            checks_fencing: false,
        }
    }

    /// Adds a service.
    pub fn with_service(mut self, service: ServiceId) -> Self {
        self.services.push(service);
        self
    }

    /// Sets the slots.
    pub fn with_slots(mut self, slots: Slots) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the desired state of an engine.
    pub fn with_engine(mut self, engine: EngineState) -> Self {
        self.engine = Some(engine);
        self
    }

    /// Sets whether the target rejects orders with a stale fencing number.
    pub fn with_checks_fencing(mut self, checks_fencing: bool) -> Self {
        self.checks_fencing = checks_fencing;
        self
    }
}
