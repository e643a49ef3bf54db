//! The parts of a document and the head that names them.

use std::collections::BTreeMap;

use cyc_store::{Kind, ObjectKey};
use cyc_types::{ClientAccountId, Revision, hash};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::{account::Account, document::Document, problem::Problem, service::Services};

/// The name of the part with services, targets and objectives.
pub const SERVICES: &str = "services";
/// The name of the head object.
pub const HEAD: &str = "head";
/// The parts that the accounts are spread over.
pub const ACCOUNT_PARTS: u32 = 16;
/// How many earlier submissions a head remembers.
pub const MAX_HISTORY: usize = 64;

/// The value of one part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Its name: [`SERVICES`] or `accounts-<k>`.
    pub name: SmolStr,
    /// Its value, as JSON text.
    pub body: String,
}

impl Part {
    /// Returns the digest of the value, as in [`PartRef::sha256`].
    pub fn digest(&self) -> SmolStr {
        digest(&self.body)
    }
}

/// Returns the digest of a part's value.
pub(crate) fn digest(body: &str) -> SmolStr {
    hash::hex(&hash::sha256(&[body.as_bytes()])).into()
}

/// Where the value of a part is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRef {
    /// The revision that last changed the part.
    pub revision: Revision,
    /// The name of the object, `<part>@<revision>.<nonce>`; the object never changes.
    pub object: SmolStr,
    /// The SHA-256 digest of its value.
    pub sha256: SmolStr,
}

/// An accepted submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The revision that it became.
    pub revision: Revision,
    /// The random number by which the submitter knows it.
    pub nonce: SmolStr,
}

/// The object that accepts a document.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The revision; it grows by one with each accepted document.
    pub revision: Revision,
    /// The parts by name. A part of no accounts is left out.
    pub parts: BTreeMap<SmolStr, PartRef>,
    /// The last submissions, the newest last. Invariant: at most [`MAX_HISTORY`].
    pub accepted: Vec<Accepted>,
}

impl Head {
    /// Returns the name of the head object.
    pub fn key() -> ObjectKey {
        ObjectKey::new(Kind::Config, HEAD)
    }

    /// Returns the revision that a submission became, if the head remembers it.
    pub fn revision_of(&self, nonce: &str) -> Option<Revision> {
        let accepted = self
            .accepted
            .iter()
            .find(|accepted| accepted.nonce == nonce);
        accepted.map(|accepted| accepted.revision)
    }
}

/// Returns the name of the part that an account is in.
pub fn part_of(account: &ClientAccountId) -> SmolStr {
    let k = hash::bucket(account.as_str().as_bytes(), ACCOUNT_PARTS);
    format_smolstr!("accounts-{k}")
}

/// Splits a document; the same document always gives the same parts.
pub fn parts(doc: &Document) -> Vec<Part> {
    let mut by_name: BTreeMap<SmolStr, Vec<&Account>> = BTreeMap::new();
    for account in &doc.accounts {
        by_name
            .entry(part_of(&account.id))
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

/// Puts a document together from the values of its parts.
///
/// # Errors
/// A problem that names the part, if a value is not of its form or the services are missing.
pub fn join<'a>(parts: impl Iterator<Item = (&'a str, &'a str)>) -> Result<Document, Problem> {
    let mut services: Option<Services> = None;
    let mut accounts: Vec<Account> = Vec::new();
    for (name, body) in parts {
        let wrong = |error| Problem::from_json(name, &error);
        if name == SERVICES {
            services = Some(serde_json::from_str(body).map_err(wrong)?);
        } else {
            let more: Vec<Account> = serde_json::from_str(body).map_err(wrong)?;
            accounts.extend(more);
        }
    }
    accounts.sort_by(|a, b| a.id.cmp(&b.id));
    match services {
        Some(services) => Ok(Document { services, accounts }),
        None => Err(Problem::new(SERVICES, "missing", "the services part")),
    }
}
