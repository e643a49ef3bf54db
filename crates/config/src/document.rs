//! The configuration document that an operator submits.

use serde::{Deserialize, Serialize};

use crate::{account::Account, check, problem::Problem, service::Services};

/// The complete configuration: services, targets, objectives and client accounts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Services, targets and objectives.
    pub services: Services,
    /// Client accounts. Invariant: ids, keys and budgets are unique.
    #[serde(default)]
    pub accounts: Vec<Account>,
}

impl Document {
    /// Parses and validates JSON text.
    ///
    /// # Errors
    /// All problems of the document, or one if the text does not parse.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        let doc: Self = serde_json::from_str(text)
            .map_err(|error| vec![Problem::from_json("document", &error)])?;
        doc.check()?;
        Ok(doc)
    }

    /// Validates everything that the types do not enforce.
    ///
    /// # Errors
    /// All problems of the document.
    pub fn check(&self) -> Result<(), Vec<Problem>> {
        let mut problems = check::services(&self.services);
        problems.extend(check::accounts(&self.accounts));
        problems.extend(check::part_sizes(self));
        if problems.is_empty() {
            Ok(())
        } else {
            Err(problems)
        }
    }

    /// Formats the document as indented JSON.
    pub fn to_json(&self) -> String {
        // Cannot fail: all map keys of the document are strings.
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}
