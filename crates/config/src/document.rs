//! The whole document that an operator submits.

use serde::{Deserialize, Serialize};

use crate::{account::Account, check, problem::Problem, service::Services};

/// The operators' document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Services, targets and objectives.
    pub services: Services,
    /// Client accounts. Invariant: ids, keys and budgets differ.
    #[serde(default)]
    pub accounts: Vec<Account>,
}

impl Document {
    /// Reads and checks JSON text.
    ///
    /// # Errors
    /// All faults of the document; one if the text is not JSON of the documented form.
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        let doc: Self = serde_json::from_str(text)
            .map_err(|error| vec![Problem::from_json("document", &error)])?;
        doc.check()?;
        Ok(doc)
    }

    /// Checks everything that the types do not.
    ///
    /// # Errors
    /// All faults of the document.
    pub fn check(&self) -> Result<(), Vec<Problem>> {
        let mut problems = check::services(&self.services);
        problems.extend(check::accounts(&self.accounts));
        problems.extend(check::sizes(self));
        if problems.is_empty() {
            Ok(())
        } else {
            Err(problems)
        }
    }

    /// Returns the document as JSON text.
    pub fn to_json(&self) -> String {
        // The document holds no maps with keys that are not text, so this cannot fail.
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}
