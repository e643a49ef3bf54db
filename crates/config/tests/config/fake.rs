//! A platform in memory with faults on the update of the head.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Mutex,
};

use async_trait::async_trait;
use cyc_config::{Head, part::Accepted};
use cyc_store::{Body, Change, Error, Expect, Kind, Object, ObjectKey, Platform, Result, Vm};
use cyc_types::{ByteSize, Millis, Revision, Version};
use tokio::sync::Barrier;

/// What happens to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The call works.
    None,
    /// The call has no effect and no answer.
    LostBefore,
    /// The call takes effect and has no answer.
    LostAfter,
    /// As `LostAfter`; then another operator's submission is accepted.
    LostThenOvertaken,
    /// The call is refused for its rate.
    Throttled,
}

/// The state of the fake.
#[derive(Default)]
pub struct State {
    pub objects: BTreeMap<ObjectKey, (Version, Body)>,
    /// Faults of the next writes of the head.
    pub head_faults: VecDeque<Fault>,
    /// Faults of the next writes of parts.
    pub part_faults: VecDeque<Fault>,
    /// Names of all objects read.
    pub reads: Vec<String>,
}

/// The fake.
#[derive(Default)]
pub struct Fake {
    pub state: Mutex<State>,
    /// The first two reads of the head wait here for each other, if set.
    pub gate: Option<Barrier>,
}

impl Fake {
    pub fn with_head_faults(self, faults: &[Fault]) -> Self {
        self.state.lock().expect("lock").head_faults = faults.iter().copied().collect();
        self
    }

    /// Returns the number of objects.
    pub fn len(&self) -> usize {
        self.state.lock().expect("lock").objects.len()
    }

    /// Returns and forgets the names of the objects read.
    pub fn take_reads(&self) -> Vec<String> {
        std::mem::take(&mut self.state.lock().expect("lock").reads)
    }
}

impl State {
    fn write(&mut self, key: &ObjectKey, body: Body, expect: Expect) -> Result<Version> {
        let current = self.objects.get(key).map(|(version, _)| *version);
        let holds = match expect {
            Expect::Absent => current.is_none(),
            Expect::Version(version) => current == Some(version),
        };
        if !holds {
            return Err(Error::Conflict);
        }
        let version = Version::new(current.unwrap_or_default().get() + 1);
        self.objects.insert(key.clone(), (version, body));
        Ok(version)
    }

    fn overtake(&mut self) {
        let (version, body) = self.objects.get_mut(&Head::key()).expect("head");
        let mut head: Head = serde_json::from_slice(body).expect("head");
        head.revision = Revision::new(head.revision.get() + 1);
        head.accepted.push(Accepted {
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
        let (object, early) = {
            let mut state = self.state.lock().expect("lock");
            state.reads.push(key.to_string());
            let early = state.reads.len() <= 2;
            let object = state.objects.get(key).map(|(version, body)| Object {
                key: key.clone(),
                version: *version,
                body: body.clone(),
            });
            (object, early)
        };
        if let (Some(gate), true) = (&self.gate, early) {
            gate.wait().await;
        }
        Ok(object)
    }

    async fn put(&self, key: &ObjectKey, body: Body, expect: Expect) -> Result<Version> {
        let mut state = self.state.lock().expect("lock");
        let faults = if *key == Head::key() {
            &mut state.head_faults
        } else {
            &mut state.part_faults
        };
        let fault = faults.pop_front().unwrap_or(Fault::None);
        let lost = Error::Unavailable("lost".into());
        match fault {
            Fault::None => state.write(key, body, expect),
            Fault::LostBefore => Err(lost),
            Fault::LostAfter => state.write(key, body, expect).and(Err(lost)),
            Fault::LostThenOvertaken => {
                state.write(key, body, expect)?;
                state.overtake();
                Err(lost)
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

    async fn vms(&self) -> Result<Vec<Vm>> {
        Ok(Vec::new())
    }

    async fn weight_permit(&self, _: ByteSize) -> Result<Option<Millis>> {
        Ok(None)
    }
}
