//! The quick start: starts a deployment of Dala's size on loopback, sends a drafting request, a
//! booking with a retry through the other entry and a status check, and prints the spend report.

use cyc_quickstart::{Deployment, Error, Layout, Reply};

/// Tokens paid into the budget.
const TOP_UP_TOKENS: u64 = 100_000;

#[tokio::main]
async fn main() -> Result<(), Error> {
    println!("starting the platform and target stand-ins, 15 sidecars and 2 entries on loopback");
    let mut deployment = Deployment::start(Layout::new_dala()).await?;
    deployment
        .top_up("league", "payment-1", TOP_UP_TOKENS)
        .await?;

    let (first, second) = (
        deployment.caller(0, "league"),
        deployment.caller(1, "league"),
    );
    print_reply(
        "streamed draft",
        &first
            .chat("Ten questions on rivers.", 24, true, &[])
            .await?,
    );
    print_reply("booking", &first.book("kit-7-friday", "kit-7").await?);
    print_reply(
        "retry of the booking through the other entry",
        &second.book("kit-7-friday", "kit-7").await?,
    );
    print_reply("status check", &second.status("kit-7", &[]).await?);

    println!("stopping the entries and the sidecars gracefully");
    deployment.stop().await?;
    println!("{}", deployment.spend_report().await?);
    Ok(())
}

fn print_reply(label: &str, reply: &Reply) {
    let text = if reply.text.is_empty() {
        &reply.answer.text
    } else {
        &reply.text
    };
    println!("{label}: {} {}", reply.answer.status, text.trim());
}
