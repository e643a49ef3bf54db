//! The parts into which a document is split for storage, and the head object that lists them.

use std::collections::BTreeMap;

use cyc_store::{Kind, ObjectKey};
use cyc_types::{ClientAccountId, Revision, hash};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::{account::Account, document::Document, problem::Problem, service::Services};

/// Name of the part with services, targets and objectives.
pub const SERVICES: &str = "services";
/// Name of the head object.
pub const HEAD: &str = "head";
/// Number of parts over which accounts are distributed by the hash of their id.
pub const ACCOUNT_PART_COUNT: u32 = 16;
/// Largest number of accepted submissions that a head lists. A submitter that got no response can
/// no longer learn whether its submission was accepted once the list has dropped it.
pub const MAX_ACCEPTED_HISTORY: usize = 64;

/// The name and value of one part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// [`SERVICES`], or `accounts-<k>` with `k` below [`ACCOUNT_PART_COUNT`].
    pub name: SmolStr,
    /// The value as JSON text.
    pub body: String,
}

impl Part {
    /// Computes the digest of the value, as stored in [`PartRef::sha256`].
    pub fn digest(&self) -> SmolStr {
        digest(&self.body)
    }
}

/// Computes the SHA-256 digest of a part's value in hexadecimal.
pub(crate) fn digest(body: &str) -> SmolStr {
    hash::hex(&hash::sha256(&[body.as_bytes()])).into()
}

/// Reference to the object that holds the value of a part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRef {
    /// The revision that last changed the part.
    pub revision: Revision,
    /// The name of the object, `<part>@<revision>.<nonce>`. The object is immutable.
    pub object: SmolStr,
    /// The SHA-256 digest of the value in hexadecimal.
    pub sha256: SmolStr,
}

/// A submission that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedSubmission {
    /// The revision that the submission created.
    pub revision: Revision,
    /// The random number that identifies the submission to its submitter.
    pub nonce: SmolStr,
}

/// The head object: lists the parts of the current document. A document is accepted when the head
/// is updated to refer to its parts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The current revision, which grows by one with each accepted document.
    pub revision: Revision,
    /// The parts by name. Account parts without accounts are omitted.
    pub parts: BTreeMap<SmolStr, PartRef>,
    /// The last accepted submissions, newest last. Invariant: at most [`MAX_ACCEPTED_HISTORY`].
    pub accepted: Vec<AcceptedSubmission>,
}

impl Head {
    /// Returns the key of the head object.
    pub fn key() -> ObjectKey {
        ObjectKey::new(Kind::Config, HEAD)
    }

    /// Returns the revision that the submission with this nonce created, if the head still lists
    /// it.
    pub fn revision_of(&self, nonce: &str) -> Option<Revision> {
        let accepted = self
            .accepted
            .iter()
            .find(|accepted| accepted.nonce == nonce);
        accepted.map(|accepted| accepted.revision)
    }
}

/// Returns the name of the part that holds an account.
pub fn account_part_name(account: &ClientAccountId) -> SmolStr {
    let k = hash::bucket(account.as_str().as_bytes(), ACCOUNT_PART_COUNT);
    format_smolstr!("accounts-{k}")
}

/// Splits a document into parts. Deterministic: equal documents give equal parts.
pub fn split(doc: &Document) -> Vec<Part> {
    let mut by_name: BTreeMap<SmolStr, Vec<&Account>> = BTreeMap::new();
    for account in &doc.accounts {
        by_name
            .entry(account_part_name(&account.id))
            .or_default()
            .push(account);
    }
    let mut parts = vec![Part {
        name: SERVICES.into(),
        body: serde_json::to_string(&doc.services).unwrap_or_default(),
    }];
    for (name, mut accounts) in by_name {
        accounts.sort_by(|a, b| a.id.cmp(&b.id));
        let body = serde_json::to_string(&accounts).unwrap_or_default();
        parts.push(Part { name, body });
    }
    parts
}

/// Reassembles a document from the names and values of its parts; does not validate it.
///
/// # Errors
/// A problem that names the part, if a value does not parse or the services part is missing.
pub fn join<'a>(parts: impl Iterator<Item = (&'a str, &'a str)>) -> Result<Document, Problem> {
    let mut services: Option<Services> = None;
    let mut accounts: Vec<Account> = Vec::new();
    for (name, body) in parts {
        let parse_error = |error| Problem::from_json(name, &error);
        if name == SERVICES {
            services = Some(serde_json::from_str(body).map_err(parse_error)?);
        } else {
            let part_accounts: Vec<Account> = serde_json::from_str(body).map_err(parse_error)?;
            accounts.extend(part_accounts);
        }
    }
    accounts.sort_by(|a, b| a.id.cmp(&b.id));
    match services {
        Some(services) => Ok(Document { services, accounts }),
        None => Err(Problem::new(SERVICES, "missing", "the services part")),
    }
}
