//! The planner, which derives the next order from the desired and the observed state.

use std::collections::BTreeMap;

use cyc_types::{ByteSize, ModelId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::{Display, EnumString, IntoStaticStr};

/// The phases of inference that an engine runs.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Prompt processing and token generation.
    #[default]
    Both,
    /// Prompt processing only.
    Prefill,
    /// Token generation only.
    Decode,
}

/// A model to load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// The version of the weights.
    pub version: SmolStr,
    /// The size of the weights, for which the weight store grants a permit.
    pub bytes: ByteSize,
}

/// An adapter to load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adapter {
    /// The base model that the adapter applies to.
    pub model: ModelId,
    /// The version of the weights.
    pub version: SmolStr,
    /// The size of the weights, for which the weight store grants a permit.
    pub bytes: ByteSize,
}

/// The state that the configuration requires of a target.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Desired {
    /// The models to be loaded.
    pub models: BTreeMap<ModelId, Model>,
    /// The adapters to be loaded. An adapter whose model is not in `models` is never loaded.
    pub adapters: BTreeMap<ModelId, Adapter>,
    /// The role to be set.
    pub role: Role,
}

/// The state that an engine reports.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observed {
    /// The loaded models and their versions.
    pub models: BTreeMap<ModelId, SmolStr>,
    /// The loaded adapters and their versions.
    pub adapters: BTreeMap<ModelId, SmolStr>,
    /// The current role.
    pub role: Role,
    /// True while the engine executes an order.
    pub busy: bool,
}

/// An order to an engine. It names the state to reach, so executing it again has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Ensures that the model is not loaded.
    UnloadModel {
        /// The id of the model.
        model: ModelId,
    },
    /// Ensures that the model is loaded in this version only.
    LoadModel {
        /// The id of the model.
        model: ModelId,
        /// The version to load.
        version: SmolStr,
        /// The size of the weights to load.
        bytes: ByteSize,
    },
    /// Ensures that the adapter is not loaded.
    UnloadAdapter {
        /// The id of the adapter.
        adapter: ModelId,
    },
    /// Ensures that the adapter is loaded in this version only.
    LoadAdapter {
        /// The id of the adapter.
        adapter: ModelId,
        /// The base model that the adapter applies to.
        model: ModelId,
        /// The version to load.
        version: SmolStr,
        /// The size of the weights to load.
        bytes: ByteSize,
    },
    /// Ensures that the engine has this role.
    SetRole {
        /// The role to take.
        role: Role,
    },
}

impl Order {
    /// Returns the number of bytes that the order loads from the weight store, if any.
    pub fn weight_bytes(&self) -> Option<ByteSize> {
        match self {
            Self::LoadModel { bytes, .. } | Self::LoadAdapter { bytes, .. } => Some(*bytes),
            Self::UnloadModel { .. } | Self::UnloadAdapter { .. } | Self::SetRole { .. } => None,
        }
    }
}

/// Returns the next order, or `None` if no order is needed or the engine is busy.
///
/// Unloads come first because they free the memory that loads need. Models are loaded before their
/// adapters, and the role is set last, so that no work for the role arrives before the models are
/// loaded.
pub fn next_order(desired: &Desired, observed: &Observed) -> Option<Order> {
    if observed.busy {
        return None;
    }
    unload(desired, observed)
        .or_else(|| load_model(desired, observed))
        .or_else(|| load_adapter(desired, observed))
        .or_else(|| {
            let role = desired.role;
            (observed.role != role).then_some(Order::SetRole { role })
        })
}

fn unload(desired: &Desired, observed: &Observed) -> Option<Order> {
    let adapter = observed
        .adapters
        .keys()
        .find(|id| !desired.adapters.contains_key(*id));
    let model = observed
        .models
        .keys()
        .find(|id| !desired.models.contains_key(*id));
    let adapter = adapter.map(|id| Order::UnloadAdapter {
        adapter: id.clone(),
    });
    adapter.or_else(|| model.map(|id| Order::UnloadModel { model: id.clone() }))
}

fn load_model(desired: &Desired, observed: &Observed) -> Option<Order> {
    let is_missing = |id: &ModelId, model: &Model| observed.models.get(id) != Some(&model.version);
    let (id, model) = desired
        .models
        .iter()
        .find(|(id, model)| is_missing(id, model))?;
    Some(Order::LoadModel {
        model: id.clone(),
        version: model.version.clone(),
        bytes: model.bytes,
    })
}

fn load_adapter(desired: &Desired, observed: &Observed) -> Option<Order> {
    let is_missing = |id: &ModelId, adapter: &Adapter| {
        let has_model = observed.models.contains_key(&adapter.model);
        has_model && observed.adapters.get(id) != Some(&adapter.version)
    };
    let (id, adapter) = desired.adapters.iter().find(|(id, a)| is_missing(id, a))?;
    Some(Order::LoadAdapter {
        adapter: id.clone(),
        model: adapter.model.clone(),
        version: adapter.version.clone(),
        bytes: adapter.bytes,
    })
}
