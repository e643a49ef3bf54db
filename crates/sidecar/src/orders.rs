//! Sends orders to the engine until it has the state that the configuration in force names.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use cyc_config::{EngineRole, EngineState, Services, target::Weights};
use cyc_orders::{
    Adapter, Desired, Engine, EngineError, Fence, FenceCheck, Model, Observed, Order, Reconciler,
    Role, Step,
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

/// Timeout of reading the state of the engine.
const OBSERVE_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of one order; loading weights takes minutes.
const ORDER_TIMEOUT: Duration = Duration::from_secs(600);
/// How long the load report of an engine may still show the state before an order. The next order
/// is delayed by this time.
const REPORT_LAG: Duration = Duration::from_secs(1);
/// Version of a model without a configured version: any loaded version is accepted.
const ANY_VERSION: SmolStr = SmolStr::new_static("latest");
/// Assumed size of weights without a configured size.
const DEFAULT_WEIGHTS_SIZE: ByteSize = ByteSize::new(1 << 30);

/// Keeps the engine in the configured state, until this incarnation is replaced by a newer one on
/// its VM.
pub async fn run(sidecar: Arc<Sidecar>, platform: Arc<dyn Platform>, check: FenceCheck) {
    let mut services = sidecar.services();
    // Without a configuration nothing may be unloaded, so the reconciler starts after the first
    // one.
    let Some(first) = wait_for_state(&sidecar, &mut services).await else {
        return;
    };
    let desired = watch::Sender::new(first);
    let engine = HttpEngine {
        client: sidecar.target().clone(),
        desired: desired.subscribe(),
    };
    let reconciler = Reconciler::new(
        Arc::new(engine),
        platform,
        sidecar.incarnation().clone(),
        check,
        sidecar.clock().clone(),
    );
    let rx = desired.subscribe();
    let mut reconciler_task = tokio::spawn(reconciler.run(rx));
    loop {
        let next = tokio::select! {
            end = &mut reconciler_task => {
                if let Ok(Step::Replaced) = end {
                    spdlog::warn!("orders_stopped", kv: { reason = "replaced" });
                }
                return;
            }
            next = wait_for_next_state(&sidecar, &mut services) => next,
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
async fn wait_for_next_state(
    sidecar: &Sidecar,
    services: &mut watch::Receiver<(Revision, SmolStr)>,
) -> Option<Desired> {
    services.changed().await.ok()?;
    wait_for_state(sidecar, services).await
}

/// Waits until the configuration in force names a state for this target.
async fn wait_for_state(
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

/// Converts the configured state to the reconciler's type. Weights that a service names as its
/// adapter are an adapter; all others are a model.
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
            bytes: DEFAULT_WEIGHTS_SIZE,
        });
        let Weights { version, bytes } = weights;
        let base_model = services
            .services
            .iter()
            .find(|service| service.adapter.as_ref() == Some(id))
            .and_then(|service| service.model.clone());
        match base_model {
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
        let request = self.client.get_json("/v1/load");
        let json = tokio::time::timeout(OBSERVE_TIMEOUT, request)
            .await
            .map_err(|_| EngineError::NoAnswer("timeout".into()))?
            .map_err(|error| EngineError::NoAnswer(error.to_string()))?;
        let load: LoadJson = serde_json::from_value(json)
            .map_err(|error| EngineError::NoAnswer(error.to_string()))?;
        Ok(observed(&load, &self.desired.borrow()))
    }

    async fn order(&self, order: &Order, fence: Fence) -> Result<(), EngineError> {
        let Some(body) = order_body(order, fence) else {
            return Err(EngineError::NotSent(
                "engines cannot unload an adapter without its model".into(),
            ));
        };
        let request = self.client.post_json("/v1/orders", &body);
        let answer = tokio::time::timeout(ORDER_TIMEOUT, request)
            .await
            .map_err(|_| EngineError::NoAnswer("timeout".into()))?;
        match answer {
            Ok((200..=299, _)) => {
                tokio::time::sleep(REPORT_LAG).await;
                Ok(())
            }
            Ok((409, text)) => Err(EngineError::Fenced(fence_in_reply(&text, fence))),
            Ok((status @ 400..=499, text)) => {
                Err(EngineError::Refused(format!("{status}: {text}")))
            }
            Ok((status, text)) => Err(EngineError::NoAnswer(format!("{status}: {text}"))),
            Err(Error::NotSent(reason)) => Err(EngineError::NotSent(reason)),
            Err(error) => Err(EngineError::NoAnswer(error.to_string())),
        }
    }
}

/// Converts a load report to the reconciler's type. Engines do not report the version of an adapter
/// and cannot unload one without its model. So a loaded adapter that is desired is taken to have
/// the desired version, and others are left out; they are unloaded with their model.
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

/// The name of an adapter in the load report of an engine.
fn adapter_name(model: &ModelId, adapter: &ModelId) -> SmolStr {
    format_smolstr!("{model}:{adapter}")
}

/// Returns the JSON body of an order, or `None` if engines have no such order.
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

/// Returns the largest fencing number in the engine's reply, or `sent` if there is none.
fn fence_in_reply(text: &str, sent: Fence) -> Fence {
    let numbers = text.split(|c: char| !c.is_ascii_digit());
    numbers
        .filter_map(|digits| digits.parse().ok())
        .max()
        .unwrap_or(sent)
}
