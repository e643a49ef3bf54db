//! The command line.

use std::{net::SocketAddr, path::PathBuf};

use cyc_types::Revision;

xflags::xflags! {
    /// Checks and submits the configuration of cyclamenlead.
    ///
    /// Exit codes: 0 done, 1 refused or conflict, 2 usage or invalid input, 3 platform unavailable.
    ///
    /// Examples:
    ///   cyclamen check etc/dala/entry.ini etc/dala/document.json
    ///   cyclamen submit etc/dala/document.json --platform 10.20.9.1:9000 --expect 4
    ///   cyclamen --json show --platform 10.20.9.1:9000
    cmd cyclamen {
        /// Prints results as JSON.
        optional --json

        /// Checks settings (`.ini`, with a `[target]` section for a sidecar) and documents (`.json`).
        cmd check {
            /// The files.
            repeated file: PathBuf
        }

        /// Submits a document as the next revision.
        cmd submit {
            /// The document.
            required document: PathBuf
            /// The platform's IP number and port.
            required --platform addr: SocketAddr
            /// The revision that must be in force; 0 for none.
            optional --expect revision: Revision
        }

        /// Prints the document in force.
        cmd show {
            /// The platform's IP number and port.
            required --platform addr: SocketAddr
        }
    }
}
