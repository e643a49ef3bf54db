//! Tells sidecars to drop receipts that are in the ledger.

use std::sync::Arc;

use cyc_proto::sidecar::{ReleaseRequest, SidecarClient as _};
use cyc_types::RequestId;
use tokio::sync::mpsc;

use crate::app::App;

/// Processes settled requests until the ledger's flusher ends.
pub async fn run(app: Arc<App>, mut settled: mpsc::UnboundedReceiver<Vec<RequestId>>) {
    while let Some(requests) = settled.recv().await {
        for (sidecar, requests) in app.pending.take_receipt_holders(&requests) {
            let req = ReleaseRequest {
                entry: app.incarnation.clone(),
                requests,
            };
            // A sidecar that misses this message sends the receipts again with a heartbeat reply.
            if let Ok(client) = sidecar.link.client().await {
                client.release(req).await.ok();
            }
        }
    }
}
