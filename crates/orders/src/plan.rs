//! The next order, from the desired and the observed state.

use std::collections::BTreeMap;

use cyc_types::{ByteSize, ModelId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::{Display, EnumString, IntoStaticStr};

/// The part that an engine takes in generation.
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
    /// Processes prompts and generates.
    #[default]
    Both,
    /// Processes prompts only.
    Prefill,
    /// Generates only.
    Decode,
}

/// A model to load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// The version.
    pub version: SmolStr,
    /// The size of its weights, for the permit of the weight store.
    pub bytes: ByteSize,
}

/// An adapter to load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adapter {
    /// The model that it belongs to.
    pub model: ModelId,
    /// The version.
    pub version: SmolStr,
    /// The size of its weights.
    pub bytes: ByteSize,
}

/// The state that a target should have.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Desired {
    /// The models.
    pub models: BTreeMap<ModelId, Model>,
    /// The adapters. One whose model is not in `models` is never loaded.
    pub adapters: BTreeMap<ModelId, Adapter>,
    /// The role.
    pub role: Role,
}

/// The state that an engine reports.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observed {
    /// Versions of the loaded models.
    pub models: BTreeMap<ModelId, SmolStr>,
    /// Versions of the loaded adapters.
    pub adapters: BTreeMap<ModelId, SmolStr>,
    /// The role.
    pub role: Role,
    /// True while an order is being carried out.
    pub busy: bool,
}

/// An order. Each names a state: carrying it out again changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// The model is not loaded.
    UnloadModel {
        /// The model.
        model: ModelId,
    },
    /// The model is loaded in this version and no other.
    LoadModel {
        /// The model.
        model: ModelId,
        /// The version.
        version: SmolStr,
        /// The size of the weights.
        bytes: ByteSize,
    },
    /// The adapter is not loaded.
    UnloadAdapter {
        /// The adapter.
        adapter: ModelId,
    },
    /// The adapter is loaded in this version and no other.
    LoadAdapter {
        /// The adapter.
        adapter: ModelId,
        /// The model that it belongs to.
        model: ModelId,
        /// The version.
        version: SmolStr,
        /// The size of the weights.
        bytes: ByteSize,
    },
    /// The engine has this role.
    SetRole {
        /// The role.
        role: Role,
    },
}

impl Order {
    /// Returns the bytes that the order reads from the weight store, if any.
    pub fn weights(&self) -> Option<ByteSize> {
        match self {
            Self::LoadModel { bytes, .. } | Self::LoadAdapter { bytes, .. } => Some(*bytes),
            Self::UnloadModel { .. } | Self::UnloadAdapter { .. } | Self::SetRole { .. } => None,
        }
    }
}

/// Returns the next order, or `None` if the states agree or the engine is busy.
///
/// Unloads come first, since they free the memory that loads need; models come before their
/// adapters, and the role last, so that no work of a role arrives before its model.
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
