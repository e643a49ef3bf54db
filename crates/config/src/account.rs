//! Client accounts, their API keys and budgets.

use std::{fmt, str::FromStr};

use cyc_types::{BudgetId, ClientAccountId, hash, size::ParseValueError};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use smol_str::SmolStr;

/// The SHA-256 digest of an API key, written as 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Hashes a key in plain text, as callers send it.
    pub fn of(key: &str) -> Self {
        Self(hash::sha256(&[key.as_bytes()]))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hash::hex(&self.0))
    }
}

impl FromStr for KeyDigest {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseValueError {
            expected_type: "KeyDigest",
            input: text.into(),
        };
        if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(error());
        }
        let mut digest = [0; 32];
        for (i, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| error())?;
        }
        Ok(Self(digest))
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = SmolStr::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

/// An API key of an account, by its digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApiKey {
    /// The digest of the key; unique in the document.
    pub sha256: KeyDigest,
    /// The budget that is charged. Invariant: a budget of the same account.
    pub budget: BudgetId,
}

impl ApiKey {
    /// Creates an API key from its plain text, of which only the digest is stored.
    pub fn new(key: &str, budget: BudgetId) -> Self {
        Self {
            sha256: KeyDigest::of(key),
            budget,
        }
    }
}

const fn default_share() -> u32 {
    1
}

/// A client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Unique id.
    pub id: ClientAccountId,
    /// Weight when accounts compete for slots; default 1. Invariant: 1 to 1000.
    #[serde(default = "default_share")]
    pub share: u32,
    /// API keys; may be empty.
    #[serde(default)]
    pub keys: Vec<ApiKey>,
    /// Budgets, at least one. Invariant: a budget belongs to one account only.
    pub budgets: Vec<BudgetId>,
}

impl Account {
    /// Creates an account with share 1, no budgets and no keys.
    pub fn new(id: ClientAccountId) -> Self {
        Self {
            id,
            share: default_share(),
            keys: Vec::new(),
            budgets: Vec::new(),
        }
    }

    /// Sets the weight when accounts compete for slots.
    pub fn with_share(mut self, share: u32) -> Self {
        self.share = share;
        self
    }

    /// Adds a budget.
    pub fn with_budget(mut self, budget: BudgetId) -> Self {
        self.budgets.push(budget);
        self
    }

    /// Adds an API key.
    pub fn with_key(mut self, key: ApiKey) -> Self {
        self.keys.push(key);
        self
    }
}
