//! Targets and what may run on them.

use std::{collections::BTreeMap, net::SocketAddr};

use cyc_proto::sidecar::RouteClass;
use cyc_types::{AvailabilityZone, ByteSize, ModelId, ServiceId, TargetId, VmId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::Display;

/// Slots of a target by route class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Slots {
    /// Status requests that run at a time.
    pub status: u32,
    /// Booking requests that run at a time.
    pub booking: u32,
    /// Drafting requests that run at a time.
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

/// The role of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EngineRole {
    /// Reads prompts and generates.
    #[default]
    Mixed,
    /// Reads prompts and exports the KV cache.
    Prefill,
    /// Imports the KV cache and generates.
    Decode,
}

/// Which weights of a model or adapter an engine should load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// The version.
    pub version: SmolStr,
    /// The size, for the permit of the weight store.
    pub bytes: ByteSize,
}

/// What an engine should hold and do.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineState {
    /// The models and adapters that it should have loaded.
    pub models: Vec<ModelId>,
    /// The weights of those models and adapters of which any loaded version will not do.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub weights: BTreeMap<ModelId, Weights>,
    /// Its role.
    #[serde(default)]
    pub role: EngineRole,
}

/// One engine or one instance of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Its id; unique.
    pub id: TargetId,
    /// The services that it takes part in, at least one. Invariant: all of one kind.
    pub services: Vec<ServiceId>,
    /// Its VM; unique.
    pub vm: VmId,
    /// The availability zone of the VM.
    pub zone: AvailabilityZone,
    /// The RPC address of its sidecar; unique.
    pub addr: SocketAddr,
    /// What may run there at a time.
    pub slots: Slots,
    /// The desired state of an engine. Invariant: present for engines only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineState>,
    /// True if the target refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

impl Target {
    /// Creates a target of one service, without slots.
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

    /// Says whether the target refuses orders with an old fencing number.
    pub fn with_checks_fencing(mut self, checks_fencing: bool) -> Self {
        self.checks_fencing = checks_fencing;
        self
    }
}
