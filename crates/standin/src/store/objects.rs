//! The stored objects with their versions, and the latest change of each object.

use std::collections::BTreeMap;

use cyc_store::{
    Body, Change, Error, Kind, MAX_VALUE_SIZE, Object, ObjectKey, Precondition, Result,
};
use cyc_types::{ByteSize, Version};

/// All objects. The methods do not wait, and faults do not apply to them.
#[derive(Debug, Default)]
pub(super) struct Objects {
    /// The version of the last change; all objects share this counter.
    last_version: Version,
    objects: BTreeMap<ObjectKey, (Version, Body)>,
    /// The latest change of each object, including deleted ones.
    changes: BTreeMap<Version, Change>,
    /// The key in `changes` of the latest change of each object.
    change_versions: BTreeMap<ObjectKey, Version>,
}

impl Objects {
    pub(super) fn get(&self, key: &ObjectKey) -> Option<Object> {
        let (version, body) = self.objects.get(key)?;
        Some(Object {
            key: key.clone(),
            version: *version,
            body: body.clone(),
        })
    }

    pub(super) fn put(
        &mut self,
        key: &ObjectKey,
        body: Body,
        precondition: Precondition,
    ) -> Result<Version> {
        let size = ByteSize::new(body.len() as u64);
        if size > MAX_VALUE_SIZE {
            return Err(Error::TooLarge(size));
        }
        if std::str::from_utf8(&body).is_err() {
            return Err(Error::Malformed("the value is not UTF-8".into()));
        }
        let found = self.objects.get(key).map(|(version, _)| *version);
        let condition_met = match precondition {
            Precondition::Absent => found.is_none(),
            Precondition::Version(version) => found == Some(version),
        };
        if !condition_met {
            return Err(Error::Conflict);
        }
        let version = self.record_change(key, false);
        self.objects.insert(key.clone(), (version, body));
        Ok(version)
    }

    pub(super) fn delete(&mut self, key: &ObjectKey, version: Version) -> Result<()> {
        match self.objects.get(key) {
            Some((found, _)) if *found == version => {}
            _ => return Err(Error::Conflict),
        }
        self.objects.remove(key);
        self.record_change(key, true);
        Ok(())
    }

    pub(super) fn list(&self, kind: Kind, prefix: &str) -> Vec<Object> {
        let from = ObjectKey::new(kind, prefix);
        let in_prefix = |key: &ObjectKey| key.kind == kind && key.name.starts_with(prefix);
        self.objects
            .range(from..)
            .take_while(|(key, _)| in_prefix(key))
            .map(|(key, (version, body))| Object {
                key: key.clone(),
                version: *version,
                body: body.clone(),
            })
            .collect()
    }

    /// The latest change of each object that changed after `since`, oldest first.
    pub(super) fn changes(&self, kind: Kind, prefix: &str, since: Version) -> Vec<Change> {
        self.changes
            .range(since.next()..)
            .map(|(_, change)| change)
            .filter(|change| change.key.kind == kind && change.key.name.starts_with(prefix))
            .cloned()
            .collect()
    }

    fn record_change(&mut self, key: &ObjectKey, deleted: bool) -> Version {
        self.last_version = self.last_version.next();
        let version = self.last_version;
        if let Some(old) = self.change_versions.insert(key.clone(), version) {
            self.changes.remove(&old);
        }
        let change = Change {
            key: key.clone(),
            version,
            deleted,
        };
        self.changes.insert(version, change);
        version
    }
}
