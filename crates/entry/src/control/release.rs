//! Tells sidecars to drop receipts that the ledger has.

use std::sync::Arc;

use cyc_proto::sidecar::{ReleaseRequest, SidecarClient as _};
use cyc_types::RequestId;
use tokio::sync::mpsc;

use crate::app::App;

/// Passes on settled requests until the ledger's controller ends.
pub async fn run(app: Arc<App>, mut settled: mpsc::UnboundedReceiver<Vec<RequestId>>) {
    while let Some(requests) = settled.recv().await {
        for (sidecar, requests) in app.books.settled(&requests) {
            let req = ReleaseRequest {
                entry: app.me.clone(),
                requests,
            };
            // A sidecar that does not hear it offers the receipts again with a heartbeat.
            if let Ok(client) = sidecar.link.client().await {
                client.release(req).await.ok();
            }
        }
    }
}
