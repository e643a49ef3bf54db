//! Orders to the engine beside the sidecar, from the configuration in force.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use cyc_config::{EngineRole, EngineState, Services, target::Weights};
use cyc_orders::{
    Adapter, Desired, Driver, Engine, EngineError, Fence, FenceCheck, Model, Observed, Order, Role,
    Step,
};
use cyc_store::Platform;
use cyc_types::{ByteSize, ModelId, Revision};
use serde_json::{Value, json};
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::watch;

use crate::{
    admission::Sidecar,
    load::LoadJson,
    target::{Error, TargetClient},
};

/// How long reading the state may take.
const OBSERVE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an order may take; loading weights takes minutes.
const ORDER_TIMEOUT: Duration = Duration::from_secs(600);
/// How long an engine's report may show the state before an order; the next order waits so long.
const REPORT_LAG: Duration = Duration::from_secs(1);
/// The version of a model for which the document names none: any loaded version will do.
const ANY_VERSION: SmolStr = SmolStr::new_static("latest");
/// The size of weights for which the document names none.
const DEFAULT_WEIGHTS: ByteSize = ByteSize::new(1 << 30);

/// Brings the engine to the state in the configuration, for as long as this incarnation is the
/// last one of its VM.
pub async fn run(sidecar: Arc<Sidecar>, platform: Arc<dyn Platform>, check: FenceCheck) {
    let mut services = sidecar.services();
    // Before the first configuration nothing is known to be unwanted.
    let Some(first) = first_state(&sidecar, &mut services).await else {
        return;
    };
    let desired = watch::Sender::new(first);
    let engine = HttpEngine {
        client: sidecar.target().clone(),
        desired: desired.subscribe(),
    };
    let driver = Driver::new(
        Arc::new(engine),
        platform,
        sidecar.me().clone(),
        check,
        sidecar.clock().clone(),
    );
    let rx = desired.subscribe();
    let mut driving = tokio::spawn(driver.run(rx));
    loop {
        let next = tokio::select! {
            end = &mut driving => {
                if let Ok(Step::Replaced) = end {
                    spdlog::warn!("orders_stopped", kv: { reason = "replaced" });
                }
                return;
            }
            next = next_state(&sidecar, &mut services) => next,
        };
        match next {
            Some(next) => {
                desired.send_if_modified(|now| {
                    let changed = *now != next;
                    *now = next;
                    changed
                });
            }
            None => return,
        }
    }
}

/// Waits for the next configuration that names a state for this target.
async fn next_state(
    sidecar: &Sidecar,
    services: &mut watch::Receiver<(Revision, SmolStr)>,
) -> Option<Desired> {
    services.changed().await.ok()?;
    first_state(sidecar, services).await
}

/// Waits until the configuration in force names a state for this target.
async fn first_state(
    sidecar: &Sidecar,
    services: &mut watch::Receiver<(Revision, SmolStr)>,
) -> Option<Desired> {
    loop {
        let text = services.borrow_and_update().1.clone();
        let parsed = Services::parse(&text).ok();
        let target = parsed.as_ref().and_then(|s| s.target(sidecar.target_id()));
        let state = target.and_then(|target| target.engine.as_ref());
        if let Some((state, services)) = state.zip(parsed.as_ref()) {
            return Some(desired(state, services));
        }
        services.changed().await.ok()?;
    }
}

/// Returns the state that the driver aims at. What a service names as its adapter is one; all else
/// is a model.
pub fn desired(state: &EngineState, services: &Services) -> Desired {
    let mut desired = Desired {
        role: match state.role {
            EngineRole::Mixed => Role::Both,
            EngineRole::Prefill => Role::Prefill,
            EngineRole::Decode => Role::Decode,
        },
        ..Desired::default()
    };
    for id in &state.models {
        let weights = state.weights.get(id).cloned().unwrap_or(Weights {
            version: ANY_VERSION,
            bytes: DEFAULT_WEIGHTS,
        });
        let Weights { version, bytes } = weights;
        let owner = services
            .services
            .iter()
            .find(|service| service.adapter.as_ref() == Some(id))
            .and_then(|service| service.model.clone());
        match owner {
            None => {
                desired.models.insert(id.clone(), Model { version, bytes });
            }
            Some(model) => {
                let adapter = Adapter {
                    model,
                    version,
                    bytes,
                };
                desired.adapters.insert(id.clone(), adapter);
            }
        }
    }
    desired
}

/// The engine over HTTP.
struct HttpEngine {
    client: TargetClient,
    desired: watch::Receiver<Desired>,
}

#[async_trait]
impl Engine for HttpEngine {
    async fn observe(&self) -> Result<Observed, EngineError> {
        let reading = self.client.read("/v1/load");
        let json = tokio::time::timeout(OBSERVE_TIMEOUT, reading)
            .await
            .map_err(|_| EngineError::NoAnswer("timeout".into()))?
            .map_err(|error| EngineError::NoAnswer(error.to_string()))?;
        let load: LoadJson = serde_json::from_value(json)
            .map_err(|error| EngineError::NoAnswer(error.to_string()))?;
        Ok(observed(&load, &self.desired.borrow()))
    }

    async fn order(&self, order: &Order, fence: Fence) -> Result<(), EngineError> {
        let Some(body) = order_body(order, fence) else {
            return Err(EngineError::NotSent("engines take no such order".into()));
        };
        let posting = self.client.post("/v1/orders", &body);
        let answer = tokio::time::timeout(ORDER_TIMEOUT, posting)
            .await
            .map_err(|_| EngineError::NoAnswer("timeout".into()))?;
        match answer {
            Ok((200..=299, _)) => {
                tokio::time::sleep(REPORT_LAG).await;
                Ok(())
            }
            Ok((409, text)) => Err(EngineError::Fenced(seen_fence(&text, fence))),
            Ok((status @ 400..=499, text)) => {
                Err(EngineError::Refused(format!("{status}: {text}")))
            }
            Ok((status, text)) => Err(EngineError::NoAnswer(format!("{status}: {text}"))),
            Err(Error::NotSent(why)) => Err(EngineError::NotSent(why)),
            Err(error) => Err(EngineError::NoAnswer(error.to_string())),
        }
    }
}

/// Returns the state in the driver's terms. Engines do not say the version of an adapter and take
/// no order to unload one alone, so a wanted adapter has the wanted version and others are left
/// out; they go with their model.
fn observed(load: &LoadJson, desired: &Desired) -> Observed {
    let version_of = |id: &ModelId, loaded: &SmolStr| match desired.models.get(id) {
        Some(model) if model.version == ANY_VERSION => ANY_VERSION,
        _ => loaded.clone(),
    };
    let models = load.models.iter().filter_map(|(name, version)| {
        let id: ModelId = name.parse().ok()?;
        let version = version_of(&id, version);
        Some((id, version))
    });
    let is_loaded = |id: &ModelId, adapter: &Adapter| {
        let name = adapter_name(&adapter.model, id);
        load.adapters.contains(&name)
    };
    let adapters = desired
        .adapters
        .iter()
        .filter(|(id, adapter)| is_loaded(id, adapter))
        .map(|(id, adapter)| (id.clone(), adapter.version.clone()));
    Observed {
        models: models.collect(),
        adapters: adapters.collect(),
        role: match load.role.as_deref() {
            Some("prefill") => Role::Prefill,
            Some("decode") => Role::Decode,
            _ => Role::Both,
        },
        busy: false,
    }
}

/// Returns how engines name an adapter.
fn adapter_name(model: &ModelId, adapter: &ModelId) -> SmolStr {
    format_smolstr!("{model}:{adapter}")
}

fn order_body(order: &Order, fence: Fence) -> Option<Value> {
    let fencing = fence.get();
    Some(match order {
        Order::LoadModel { model, version, .. } => json!({
            "fencing": fencing, "action": "load_model", "model": model, "version": version,
        }),
        Order::UnloadModel { model } => json!({
            "fencing": fencing, "action": "unload_model", "model": model,
        }),
        Order::LoadAdapter { adapter, model, .. } => json!({
            "fencing": fencing, "action": "load_adapter", "model": model, "adapter": adapter,
        }),
        Order::UnloadAdapter { .. } => return None,
        Order::SetRole { role } => {
            let role = match role {
                Role::Both => "mixed",
                Role::Prefill => "prefill",
                Role::Decode => "decode",
            };
            json!({ "fencing": fencing, "action": "set_role", "role": role })
        }
    })
}

/// Returns the largest fencing number that the engine says it has seen; that of the order itself
/// if it says none.
fn seen_fence(text: &str, sent: Fence) -> Fence {
    let numbers = text.split(|c: char| !c.is_ascii_digit());
    numbers
        .filter_map(|digits| digits.parse().ok())
        .max()
        .unwrap_or(sent)
}
