//! Orders to the engine (load, unload, set role) and the serving state that they change.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::{Display, EnumString};

/// The change that an order requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum OrderAction {
    /// Loads `model` in `version`, replacing any other version of it.
    LoadModel,
    /// Unloads `model` and its adapters.
    UnloadModel,
    /// Loads `adapter` for `model`.
    LoadAdapter,
    /// Changes the role to `role`.
    SetRole,
}

/// The phases of a request that an engine executes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// The prompt phase only.
    Prefill,
    /// The generation phase only.
    Decode,
}

/// The request body of `POST /v1/orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number of the sender; a later owner has a larger one.
    pub fencing: u64,
    /// The requested change.
    pub action: OrderAction,
    /// The model, for all actions but `set_role`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<SmolStr>,
    /// The version of the model, for `load_model`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SmolStr>,
    /// The adapter, for `load_adapter`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<SmolStr>,
    /// The role, for `set_role`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<Role>,
}

/// The reason for which an order was not applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderError {
    /// The fencing number is smaller than that of an order applied before.
    Fenced {
        /// The largest fencing number of an applied order.
        highest: u64,
    },
    /// A field that the action requires is absent.
    MissingField(&'static str),
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fenced { highest } => write!(f, "an order with fencing {highest} was seen"),
            Self::MissingField(field) => write!(f, "the order needs `{field}`"),
        }
    }
}

impl std::error::Error for OrderError {}

/// A received order and its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedOrder {
    /// The order.
    pub order: Order,
    /// True if the order was applied.
    pub accepted: bool,
}

/// The loaded models and adapters and the role, as changed by orders.
#[derive(Debug, Clone, Default)]
pub(super) struct ServingState {
    /// The version of each loaded model.
    pub(super) models: BTreeMap<SmolStr, SmolStr>,
    /// Adapters as `model:adapter`.
    pub(super) adapters: BTreeSet<SmolStr>,
    pub(super) role: Role,
    /// The largest fencing number of an applied order.
    highest_fencing: u64,
}

impl ServingState {
    /// Applies an order; the fencing number is checked only if `checks_fencing` is set.
    pub(super) fn apply(&mut self, order: &Order, checks_fencing: bool) -> Result<(), OrderError> {
        if checks_fencing && order.fencing < self.highest_fencing {
            return Err(OrderError::Fenced {
                highest: self.highest_fencing,
            });
        }
        match order.action {
            OrderAction::LoadModel => {
                let model = required_field(&order.model, "model")?;
                let version = required_field(&order.version, "version")?;
                self.models.insert(model, version);
            }
            OrderAction::UnloadModel => {
                let model = required_field(&order.model, "model")?;
                self.models.remove(&model);
                let prefix = format!("{model}:");
                self.adapters.retain(|name| !name.starts_with(&prefix));
            }
            OrderAction::LoadAdapter => {
                let model = required_field(&order.model, "model")?;
                let adapter = required_field(&order.adapter, "adapter")?;
                self.adapters.insert(format!("{model}:{adapter}").into());
            }
            OrderAction::SetRole => self.role = required_field(&order.role, "role")?,
        }
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        Ok(())
    }

    /// True if `model`, given as a model or as `model:adapter`, is loaded.
    pub(super) fn is_loaded(&self, model: &str) -> bool {
        self.models.contains_key(model) || self.adapters.contains(model)
    }
}

fn required_field<T: Clone>(value: &Option<T>, name: &'static str) -> Result<T, OrderError> {
    value.clone().ok_or(OrderError::MissingField(name))
}
