//! Builds documents in Rust.
//!
//! ```
//! use cyc_config::{Account, ApiKey, Builder};
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let account = Account::new("school-league".parse()?)
//!     .with_budget("school-league".parse()?)
//!     .with_key(ApiKey::new("a key that callers send", "school-league".parse()?));
//! match Builder::new().with_account(account).build() {
//!     Ok(doc) => println!("{}", doc.to_json()),
//!     Err(problems) => problems.iter().for_each(|problem| eprintln!("{problem}")),
//! }
//! # Ok(())
//! # }
//! ```

use crate::{
    account::Account,
    document::Document,
    problem::Problem,
    service::{Objective, Policy, Service},
    target::Target,
};

/// Assembles a document; [`Builder::build`] validates it.
#[derive(Debug, Clone, Default)]
pub struct Builder {
    doc: Document,
}

impl Builder {
    /// Creates a builder with an empty document.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the limits on retries, hedging and ejection.
    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.doc.services.policy = policy;
        self
    }

    /// Adds a service.
    pub fn with_service(mut self, service: Service) -> Self {
        self.doc.services.services.push(service);
        self
    }

    /// Adds a target.
    pub fn with_target(mut self, target: Target) -> Self {
        self.doc.services.targets.push(target);
        self
    }

    /// Adds a service-level objective.
    pub fn with_objective(mut self, objective: Objective) -> Self {
        self.doc.services.objectives.push(objective);
        self
    }

    /// Adds a client account.
    pub fn with_account(mut self, account: Account) -> Self {
        self.doc.accounts.push(account);
        self
    }

    /// Validates the document and returns it.
    ///
    /// # Errors
    /// All problems of the document.
    pub fn build(self) -> Result<Document, Vec<Problem>> {
        self.doc.check()?;
        Ok(self.doc)
    }
}
