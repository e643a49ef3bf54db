//! Helpers shared by the end-to-end tests.

use cyc_ledger::report::{self, Report};
use cyc_quickstart::{Deployment, Error};
use serde_json::Value;

/// Computes the spend report from the platform's objects.
pub async fn spend(deployment: &Deployment) -> Result<Report, Error> {
    let objects = report::collect(&deployment.platform_client())
        .await
        .map_err(|error| Error::Refused(error.to_string()))?;
    Ok(report::report(&objects))
}

/// Number of runs at all instances of the plain service.
pub async fn service_runs(deployment: &Deployment) -> Result<u64, Error> {
    let mut runs = 0;
    for handle in &deployment.targets {
        let client = cyc_standin::client::Client::new(handle.target.addr());
        let counters: Value = client.get("/admin/counters").await?.json()?;
        runs += counters["runs"].as_u64().unwrap_or_default();
    }
    Ok(runs)
}

/// Waits until the settled tokens in the platform's record of a budget equal `tokens`.
pub async fn wait_billed(deployment: &Deployment, budget: &str, tokens: u64) -> Result<(), Error> {
    let last = std::cell::Cell::new(None);
    let waited = cyc_quickstart::deploy::wait_until("the billed tokens are settled", || async {
        last.set(settled(deployment, budget).await.ok());
        last.get() == Some(tokens)
    });
    waited.await.map_err(|error| {
        Error::Refused(format!(
            "{error}: expected {tokens} settled tokens, last read {:?}",
            last.get()
        ))
    })
}

/// Settled tokens in the platform's record of a budget.
pub async fn settled(deployment: &Deployment, budget: &str) -> Result<u64, Error> {
    Ok(record(deployment, budget).await?.settled.get())
}

/// Reads the platform's record of a budget.
pub async fn record(deployment: &Deployment, budget: &str) -> Result<cyc_budget::Record, Error> {
    let refused = |why: String| Error::Refused(why);
    let id = budget.parse().map_err(|_| refused(budget.to_owned()))?;
    let key = cyc_budget::shard::shard_key(cyc_budget::shard_of(&id, cyc_budget::SHARDS));
    let client = deployment.platform_client();
    let object = cyc_store::Platform::get(&client, &key)
        .await
        .map_err(|error| refused(error.to_string()))?
        .ok_or_else(|| refused(format!("{key} not found")))?;
    let shard: cyc_budget::Shard =
        serde_json::from_slice(&object.body).map_err(|error| refused(error.to_string()))?;
    shard
        .budgets
        .get(&id)
        .cloned()
        .ok_or_else(|| refused(format!("budget {budget} not found")))
}
