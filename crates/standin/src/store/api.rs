//! The implementation of [`Platform`] for in-process callers.

use async_trait::async_trait;
use cyc_store::{Body, Change, Kind, Object, ObjectKey, Platform, Precondition, Result, Vm};
use cyc_types::{ByteSize, Millis, Version};
use tokio::time::Instant;

use super::{Call, Operation, Store, permit_weight_load};

#[async_trait]
impl Platform for Store {
    async fn get(&self, key: &ObjectKey) -> Result<Option<Object>> {
        let call = Call::new(Operation::Get, key.kind, &key.name);
        let key = key.clone();
        self.call(call, move |_, state| Ok(state.objects.get(&key)))
            .await
    }

    async fn put(
        &self,
        key: &ObjectKey,
        body: Body,
        precondition: Precondition,
    ) -> Result<Version> {
        let call = Call::new(Operation::Put, key.kind, &key.name);
        let key = key.clone();
        self.call(call, move |_, state| {
            state.objects.put(&key, body, precondition)
        })
        .await
    }

    async fn delete(&self, key: &ObjectKey, version: Version) -> Result<()> {
        let call = Call::new(Operation::Delete, key.kind, &key.name);
        let key = key.clone();
        self.call(call, move |_, state| state.objects.delete(&key, version))
            .await
    }

    async fn list(&self, kind: Kind, prefix: &str) -> Result<Vec<Object>> {
        let call = Call::new(Operation::List, kind, prefix);
        let prefix = prefix.to_owned();
        self.call(call, move |_, state| Ok(state.objects.list(kind, &prefix)))
            .await
    }

    async fn watch(
        &self,
        kind: Kind,
        prefix: &str,
        since: Version,
        wait: Millis,
    ) -> Result<Vec<Change>> {
        let call = Call::new(Operation::Watch, kind, prefix);
        let deadline = Instant::now() + wait.duration();
        let mut notified = self.inner.watch_notifier.subscribe();
        let counted_call = call.clone();
        self.call(counted_call, |_, _| Ok(())).await?;
        loop {
            notified.mark_unchanged();
            if let Some(outcome) = self.poll_changes(&call, since) {
                return outcome;
            }
            let changed = tokio::time::timeout_at(deadline, notified.changed()).await;
            if changed.is_err() {
                return Ok(Vec::new());
            }
        }
    }

    async fn list_vms(&self) -> Result<Vec<Vm>> {
        self.call(Call::without_kind(Operation::Vms), |inner, state| {
            let lag = state.faults.faults.vm_lag;
            Ok(state.vms.visible(inner.clock.now(), lag))
        })
        .await
    }

    async fn request_weight_permit(&self, bytes: ByteSize) -> Result<Option<Millis>> {
        self.call(
            Call::without_kind(Operation::WeightPermit),
            move |inner, state| Ok(permit_weight_load(inner, state, bytes)),
        )
        .await
    }
}
