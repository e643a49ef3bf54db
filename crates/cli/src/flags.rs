//! The flags of the command line, with their help texts.

use std::path::PathBuf;

use cyc_ledger::month::Month;
use cyc_types::ClientAccountId;

use crate::{
    burn::Window,
    config_check::{ConfigAction, Format},
    experiment::Policies,
};

xflags::xflags! {
    /// The operators' command of cyclamenlead.
    ///
    /// Exit codes: 0 success, 1 refused or conflict, 2 usage or invalid input, 3 unavailable.
    ///
    /// Examples:
    ///   cyclamen check etc/dala/entry.ini etc/dala/document.json
    ///   cyclamen config check new.json --against in-force.json
    ///   cyclamen submit etc/dala/document.json --platform 10.20.9.1:9000 --expect 4
    ///   cyclamen submit etc/dala/document.json --platform 10.20.9.1:9000 --wait --key-file key.txt
    ///   cyclamen topup league 500000 --account league --id payment-17 --platform 10.20.9.1:9000
    ///   cyclamen status --platform 10.20.9.1:9000 --key-file key.txt
    ///   cyclamen --json show --platform 10.20.9.1:9000
    ///   cyclamen spend --platform 10.20.9.1:9000 --account league --month 2026-12
    ///   cyclamen burn --platform 10.20.9.1:9000 --window 6h --plot burn.svg
    ///   cyclamen experiment etc/experiments/half-dead.ini --seeds 8 --plot half-dead.svg
    cmd cyclamen {
        /// Prints results as JSON.
        optional --json

        /// Checks settings (`.ini`, with a `[target]` section for a sidecar) and documents (`.json`).
        cmd check {
            /// The files.
            repeated file: PathBuf
        }

        /// `config check FILE` reports errors, entries that never match and limits that contradict
        /// each other, before a rollout. Exit codes: 0 none, 1 findings, 2 unreadable.
        cmd config {
            /// `check`.
            required action: ConfigAction
            /// The configuration: a document of this project or of the users' platform.
            required file: PathBuf
            /// The configuration in force, to report what changes and who notices.
            optional --against file: PathBuf
            /// Settings of an entry on the users' platform, which have the retry budget.
            optional --settings file: PathBuf
            /// `text`, the default, or `json`.
            optional --format format: Format
        }

        /// Submits a document as the next revision.
        cmd submit {
            /// The document.
            required document: PathBuf
            /// The platform's IP address and port.
            required --platform addr: String
            /// The revision that must be in force; 0 for none.
            optional --expect revision: String
            /// Waits until the document is in force at every registered entry and at the sidecars
            /// that they can reach. Requires --key-file.
            optional --wait
            /// A file with the key that all processes share.
            optional --key-file file: PathBuf
        }

        /// Prints what each account paid, what was billed and what was refused.
        cmd spend {
            /// The platform's IP address and port.
            required --platform addr: String
            /// Only this client account.
            optional --account account: ClientAccountId
            /// Only this month, in UTC. The balance is always the current one.
            optional --month month: Month
        }

        /// Prints service levels, error budgets and burn rates.
        cmd burn {
            /// The platform's IP address and port.
            required --platform addr: String
            /// The window of totals and error budgets, as in 30m, 6h, 7d; by default that of the
            /// objective.
            optional --window window: Window
            /// Writes the burn rates over time to this file, as SVG.
            optional --plot file: PathBuf
        }

        /// Simulates a scenario under several policies and compares the results for callers.
        cmd experiment {
            /// The scenario (`.ini`).
            required scenario: PathBuf
            /// Policies, separated by commas: round_robin, least_loaded, first_version, product;
            /// all by default.
            optional --policies list: Policies
            /// Number of seeds per policy, counted from 1; 4 by default.
            optional --seeds count: u64
            /// Writes the fraction of credit earned over time to this file, as SVG.
            optional --plot file: PathBuf
        }

        /// Prints the document in force.
        cmd show {
            /// The platform's IP address and port.
            required --platform addr: String
        }

        /// Pays tokens into a budget. A repetition with the same id does not pay again.
        cmd topup {
            /// The budget; created if it does not exist.
            required budget: String
            /// The number of tokens, a whole number.
            required tokens: String
            /// The client account that pays.
            required --account account: String
            /// The id of the payment.
            required --id id: String
            /// The platform's IP address and port.
            required --platform addr: String
        }

        /// Prints the state of all entries, sidecars and open grants.
        cmd status {
            /// The platform's IP address and port.
            required --platform addr: String
            /// A file with the key that all processes share.
            required --key-file file: PathBuf
        }
    }
}
