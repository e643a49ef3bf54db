//! The quick start: a deployment of Dala's size on loopback, one drafting request, one booking
//! with a retry through the other entry, one status check, and the spend report.

use cyc_quickstart::{Deployment, Error, Layout, Reply};

/// Tokens paid into the budget.
const PAID: u64 = 100_000;

#[tokio::main]
async fn main() -> Result<(), Error> {
    println!("starting the stand-ins, 15 sidecars and 2 entries on loopback");
    let mut deployment = Deployment::start(Layout::new_dala()).await?;
    deployment.top_up("league", "payment-1", PAID).await?;

    let (first, second) = (
        deployment.caller(0, "league"),
        deployment.caller(1, "league"),
    );
    show(
        "draft, streamed",
        &first
            .chat("Ten questions on rivers.", 24, true, &[])
            .await?,
    );
    show("booking", &first.book("kit-7-friday", "kit-7").await?);
    show(
        "the same booking again, at the other entry",
        &second.book("kit-7-friday", "kit-7").await?,
    );
    show("status check", &second.status("kit-7", &[]).await?);

    println!("stopping the entries and the sidecars gracefully");
    deployment.stop().await?;
    println!("{}", deployment.spend_report().await?);
    Ok(())
}

fn show(what: &str, reply: &Reply) {
    let text = if reply.text.is_empty() {
        &reply.answer.text
    } else {
        &reply.text
    };
    println!("{what}: {} {}", reply.answer.status, text.trim());
}
