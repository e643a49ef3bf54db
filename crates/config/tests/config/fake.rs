//! An in-memory platform that injects faults into writes.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Mutex,
};

use async_trait::async_trait;
use cyc_config::{Head, part::AcceptedSubmission};
use cyc_store::{Body, Change, Error, Kind, Object, ObjectKey, Platform, Precondition, Result, Vm};
use cyc_types::{ByteSize, Millis, Revision, Version};
use tokio::sync::Barrier;

/// The fault injected into one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The write succeeds.
    None,
    /// The request is lost: no effect, no response.
    RequestLost,
    /// The response is lost after the write took effect.
    ResponseLost,
    /// As `ResponseLost`; another submission is accepted before the next call.
    ResponseLostThenSuperseded,
    /// The write is rejected by rate limiting, without effect.
    Throttled,
}

#[derive(Default)]
pub struct State {
    pub objects: BTreeMap<ObjectKey, (Version, Body)>,
    /// Faults of the next writes to the head, in order.
    pub head_faults: VecDeque<Fault>,
    /// Faults of the next writes to parts, in order.
    pub part_faults: VecDeque<Fault>,
    /// Keys of all objects read since the last [`Fake::take_reads`].
    pub reads: Vec<String>,
}

#[derive(Default)]
pub struct Fake {
    pub state: Mutex<State>,
    /// If set, the first two reads wait here for each other, so that two submissions start from the
    /// same head.
    pub first_reads_barrier: Option<Barrier>,
}

impl Fake {
    pub fn with_head_faults(self, faults: &[Fault]) -> Self {
        self.state.lock().expect("lock").head_faults = faults.iter().copied().collect();
        self
    }

    pub fn len(&self) -> usize {
        self.state.lock().expect("lock").objects.len()
    }

    /// Returns the keys of the objects read since the last call.
    pub fn take_reads(&self) -> Vec<String> {
        std::mem::take(&mut self.state.lock().expect("lock").reads)
    }
}

impl State {
    fn write(
        &mut self,
        key: &ObjectKey,
        body: Body,
        precondition: Precondition,
    ) -> Result<Version> {
        let current = self.objects.get(key).map(|(version, _)| *version);
        let matches = match precondition {
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => current == Some(version),
        };
        if !matches {
            return Err(Error::Conflict);
        }
        let version = Version::new(current.unwrap_or_default().get() + 1);
        self.objects.insert(key.clone(), (version, body));
        Ok(version)
    }

    /// Accepts a submission of another operator.
    fn accept_other_submission(&mut self) {
        let (version, body) = self.objects.get_mut(&Head::key()).expect("head");
        let mut head: Head = serde_json::from_slice(body).expect("head");
        head.revision = Revision::new(head.revision.get() + 1);
        head.accepted.push(AcceptedSubmission {
            revision: head.revision,
            nonce: "other".into(),
        });
        *body = serde_json::to_vec(&head).expect("json").into();
        *version = Version::new(version.get() + 1);
    }
}

#[async_trait]
impl Platform for Fake {
    async fn get(&self, key: &ObjectKey) -> Result<Option<Object>> {
        let (object, waits_at_barrier) = {
            let mut state = self.state.lock().expect("lock");
            state.reads.push(key.to_string());
            let waits_at_barrier = state.reads.len() <= 2;
            let object = state.objects.get(key).map(|(version, body)| Object {
                key: key.clone(),
                version: *version,
                body: body.clone(),
            });
            (object, waits_at_barrier)
        };
        if let (Some(barrier), true) = (&self.first_reads_barrier, waits_at_barrier) {
            barrier.wait().await;
        }
        Ok(object)
    }

    async fn put(
        &self,
        key: &ObjectKey,
        body: Body,
        precondition: Precondition,
    ) -> Result<Version> {
        let mut state = self.state.lock().expect("lock");
        let faults = if *key == Head::key() {
            &mut state.head_faults
        } else {
            &mut state.part_faults
        };
        let fault = faults.pop_front().unwrap_or(Fault::None);
        let unavailable = Error::Unavailable("lost".into());
        match fault {
            Fault::None => state.write(key, body, precondition),
            Fault::RequestLost => Err(unavailable),
            Fault::ResponseLost => state.write(key, body, precondition).and(Err(unavailable)),
            Fault::ResponseLostThenSuperseded => {
                state.write(key, body, precondition)?;
                state.accept_other_submission();
                Err(unavailable)
            }
            Fault::Throttled => Err(Error::Throttled),
        }
    }

    async fn delete(&self, key: &ObjectKey, _version: Version) -> Result<()> {
        self.state.lock().expect("lock").objects.remove(key);
        Ok(())
    }

    async fn list(&self, _kind: Kind, _prefix: &str) -> Result<Vec<Object>> {
        Ok(Vec::new())
    }

    async fn watch(&self, _: Kind, _: &str, _: Version, _: Millis) -> Result<Vec<Change>> {
        Ok(Vec::new())
    }

    async fn list_vms(&self) -> Result<Vec<Vm>> {
        Ok(Vec::new())
    }

    async fn request_weight_permit(&self, _: ByteSize) -> Result<Option<Millis>> {
        Ok(None)
    }
}
