//! Orders to the engine, and the state that they change.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::{Display, EnumString};

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum OrderAction {
    /// Loads `model` in `version`, in place of another version of it.
    LoadModel,
    /// Unloads `model`.
    UnloadModel,
    /// Loads `adapter` for `model`.
    LoadAdapter,
    /// Changes to `role`.
    SetRole,
}

/// What an engine does for a request.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Everything.
    #[default]
    Mixed,
    /// The prompt only.
    Prefill,
    /// The answer only.
    Decode,
}

/// An order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number of whoever gives the order; a newer one has a larger number.
    pub fencing: u64,
    /// What is asked for.
    pub action: OrderAction,
    /// The model, for all but `set_role`.
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

/// Why an order was not carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderError {
    /// The fencing number is smaller than one seen before.
    Fenced {
        /// The largest number seen.
        highest: u64,
    },
    /// A field that the action needs is absent.
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

/// An order as it was seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenOrder {
    /// The order.
    pub order: Order,
    /// True if it was carried out.
    pub accepted: bool,
}

/// What orders have made of the engine.
#[derive(Debug, Clone, Default)]
pub(super) struct Loaded {
    /// The version of each loaded model.
    pub(super) models: BTreeMap<SmolStr, SmolStr>,
    /// Adapters as `model:adapter`.
    pub(super) adapters: BTreeSet<SmolStr>,
    pub(super) role: Role,
    /// The largest fencing number of an order that was carried out.
    highest_fencing: u64,
}

impl Loaded {
    /// Carries out an order; the fencing number matters only if `checks_fencing`.
    pub(super) fn apply(&mut self, order: &Order, checks_fencing: bool) -> Result<(), OrderError> {
        if checks_fencing && order.fencing < self.highest_fencing {
            return Err(OrderError::Fenced {
                highest: self.highest_fencing,
            });
        }
        match order.action {
            OrderAction::LoadModel => {
                let model = field(&order.model, "model")?;
                let version = field(&order.version, "version")?;
                self.models.insert(model, version);
            }
            OrderAction::UnloadModel => {
                let model = field(&order.model, "model")?;
                self.models.remove(&model);
                let prefix = format!("{model}:");
                self.adapters.retain(|name| !name.starts_with(&prefix));
            }
            OrderAction::LoadAdapter => {
                let model = field(&order.model, "model")?;
                let adapter = field(&order.adapter, "adapter")?;
                self.adapters.insert(format!("{model}:{adapter}").into());
            }
            OrderAction::SetRole => self.role = field(&order.role, "role")?,
        }
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        Ok(())
    }

    /// Says whether requests for `model`, or `model:adapter`, can run.
    pub(super) fn serves(&self, model: &str) -> bool {
        self.models.contains_key(model) || self.adapters.contains(model)
    }
}

fn field<T: Clone>(value: &Option<T>, name: &'static str) -> Result<T, OrderError> {
    value.clone().ok_or(OrderError::MissingField(name))
}
