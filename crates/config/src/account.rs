//! Client accounts, their API keys and budgets.

use std::{fmt, str::FromStr};

use cyc_types::{BudgetId, ClientAccountId, hash, size::ParseValueError};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use smol_str::SmolStr;

/// The SHA-256 digest of an API key. Text form: 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of the key that a caller sent.
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
        let wrong = || ParseValueError {
            wanted: "KeyDigest",
            given: text.into(),
        };
        if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(wrong());
        }
        let mut digest = [0; 32];
        for (i, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| wrong())?;
        }
        Ok(Self(digest))
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = SmolStr::deserialize(from)?;
        text.parse().map_err(de::Error::custom)
    }
}

/// A key that callers of an account send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApiKey {
    /// The digest of the key; unique in the document.
    pub sha256: KeyDigest,
    /// The budget that pays. Invariant: one of the account's.
    pub budget: BudgetId,
}

impl ApiKey {
    /// Creates an entry for `key`; only its digest is kept.
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
    /// Its id; unique.
    pub id: ClientAccountId,
    /// Its weight when accounts compete for slots; 1 if left out. Invariant: at least 1.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Its keys.
    #[serde(default)]
    pub keys: Vec<ApiKey>,
    /// Its budgets, at least one. Invariant: no other account has any of them.
    pub budgets: Vec<BudgetId>,
}

impl Account {
    /// Creates an account with share 1 and no keys.
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

    /// Adds a key.
    pub fn with_key(mut self, key: ApiKey) -> Self {
        self.keys.push(key);
        self
    }
}
