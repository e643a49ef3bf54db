//! An accepted configuration in memory, indexed for look-ups, and its conversion to and from
//! messages.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    sync::Arc,
};

use cyc_proto::{
    peer::{ConfigPart, ConfigSnapshot},
    sidecar::ConfigPush,
};
use cyc_types::{BudgetId, ClientAccountId, Revision};
use smol_str::SmolStr;

use crate::{
    account::{Account, KeyDigest},
    document::Document,
    latest::HasRevision,
    part::{self, Head, SERVICES},
    problem::Problem,
    service::Services,
};

/// Why a configuration could not be loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadError {
    /// A platform call failed.
    Platform(cyc_store::Error),
    /// The stored or received configuration is not valid.
    Corrupt(Vec<Problem>),
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(error) => error.fmt(f),
            Self::Corrupt(problems) => {
                f.write_str("the configuration is not valid")?;
                problems
                    .iter()
                    .try_for_each(|problem| write!(f, "; {problem}"))
            }
        }
    }
}

impl std::error::Error for LoadError {}

impl From<cyc_store::Error> for LoadError {
    fn from(error: cyc_store::Error) -> Self {
        Self::Platform(error)
    }
}

impl LoadError {
    pub(crate) fn corrupt(path: &str, value: impl fmt::Display, allowed: &str) -> Self {
        Self::Corrupt(vec![Problem::new(path, value, allowed)])
    }
}

/// The account and budget that an API key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// The account.
    pub account: ClientAccountId,
    /// The budget that is charged.
    pub budget: BudgetId,
}

/// The client accounts, indexed by id and by API key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Accounts {
    by_key: HashMap<KeyDigest, KeyOwner>,
    by_id: BTreeMap<ClientAccountId, Account>,
}

impl Accounts {
    fn new(accounts: Vec<Account>) -> Self {
        let mut by_key = HashMap::new();
        for account in &accounts {
            for key in &account.keys {
                let owner = KeyOwner {
                    account: account.id.clone(),
                    budget: key.budget.clone(),
                };
                by_key.insert(key.sha256, owner);
            }
        }
        let by_id = accounts
            .into_iter()
            .map(|account| (account.id.clone(), account))
            .collect();
        Self { by_key, by_id }
    }

    /// Returns the owner of an API key, given in plain text.
    pub fn owner(&self, key: &str) -> Option<&KeyOwner> {
        self.by_key.get(&KeyDigest::of(key))
    }

    /// Returns an account by id.
    pub fn get(&self, id: &ClientAccountId) -> Option<&Account> {
        self.by_id.get(id)
    }

    /// Returns all accounts, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = &Account> {
        self.by_id.values()
    }
}

/// An accepted configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Snapshot {
    /// The head that lists its parts.
    pub head: Arc<Head>,
    /// Services, targets and objectives.
    pub services: Arc<Services>,
    /// The client accounts.
    pub accounts: Arc<Accounts>,
    /// The values of the parts by name, as JSON text.
    pub(crate) bodies: BTreeMap<SmolStr, Arc<str>>,
}

impl HasRevision for Snapshot {
    fn revision(&self) -> Revision {
        self.head.revision
    }
}

impl Snapshot {
    /// Assembles a snapshot from a head and the values of its parts.
    ///
    /// # Errors
    /// [`LoadError::Corrupt`] if the parts are not exactly those that the head lists, or if the
    /// document is not valid.
    pub(crate) fn new(head: Head, bodies: BTreeMap<SmolStr, Arc<str>>) -> Result<Self, LoadError> {
        for (name, part) in &head.parts {
            let found = bodies
                .get(name)
                .map(|body| part::digest(body))
                .unwrap_or_default();
            if found != part.sha256 {
                return Err(LoadError::corrupt(name, found, "the digest in the head"));
            }
        }
        if let Some(extra) = bodies.keys().find(|name| !head.parts.contains_key(*name)) {
            return Err(LoadError::corrupt(
                extra,
                "present",
                "a part that the head lists",
            ));
        }
        let named_bodies = bodies.iter().map(|(name, body)| (name.as_str(), &**body));
        let doc = part::join(named_bodies).map_err(|problem| LoadError::Corrupt(vec![problem]))?;
        doc.check().map_err(LoadError::Corrupt)?;
        Ok(Self {
            head: Arc::new(head),
            services: Arc::new(doc.services),
            accounts: Arc::new(Accounts::new(doc.accounts)),
            bodies,
        })
    }

    /// Returns the document, with its accounts sorted by id.
    pub fn document(&self) -> Document {
        Document {
            services: (*self.services).clone(),
            accounts: self.accounts.iter().cloned().collect(),
        }
    }

    /// Creates the message that an entry sends to a sidecar.
    pub fn to_push(&self) -> ConfigPush {
        ConfigPush {
            revision: self.revision(),
            services: self
                .bodies
                .get(SERVICES)
                .map(|body| body.to_string())
                .unwrap_or_default(),
        }
    }

    /// Creates the message that an entry sends to a peer.
    pub fn to_peer(&self) -> ConfigSnapshot {
        let parts = self.head.parts.iter().map(|(name, part)| ConfigPart {
            name: name.clone(),
            revision: part.revision,
            body: self
                .bodies
                .get(name)
                .map(|body| body.to_string())
                .unwrap_or_default(),
        });
        ConfigSnapshot {
            revision: self.revision(),
            head: serde_json::to_string(&*self.head).unwrap_or_default(),
            parts: parts.collect(),
        }
    }

    /// Creates a snapshot from the message of a peer.
    ///
    /// # Errors
    /// [`LoadError::Corrupt`] if the message is incomplete, inconsistent or not valid.
    pub fn from_peer(message: &ConfigSnapshot) -> Result<Self, LoadError> {
        let head: Head = serde_json::from_str(&message.head)
            .map_err(|error| LoadError::Corrupt(vec![Problem::from_json("head", &error)]))?;
        if head.revision != message.revision {
            let allowed = "the revision of the head";
            return Err(LoadError::corrupt("revision", message.revision, allowed));
        }
        let bodies = message
            .parts
            .iter()
            .map(|part| (part.name.clone(), part.body.as_str().into()));
        Self::new(head, bodies.collect())
    }
}

/// The services part that a sidecar received.
#[derive(Debug, Clone, PartialEq)]
pub struct ServicesSnapshot {
    /// The revision of the configuration that the services belong to.
    pub revision: Revision,
    /// The services.
    pub services: Arc<Services>,
}

impl HasRevision for ServicesSnapshot {
    fn revision(&self) -> Revision {
        self.revision
    }
}

impl ServicesSnapshot {
    /// Creates a snapshot from the message of an entry.
    ///
    /// # Errors
    /// All problems of the services part.
    pub fn from_push(push: &ConfigPush) -> Result<Self, Vec<Problem>> {
        Ok(Self {
            revision: push.revision,
            services: Arc::new(Services::parse(&push.services)?),
        })
    }
}
