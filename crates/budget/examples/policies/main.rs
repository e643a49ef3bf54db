//! Overspend and false refusals of the grant policies, in paused time over the store stand-in.
//!
//! `cargo run -p cyc-budget --example policies`

mod bench;
mod connection;
mod sizes;

use cyc_budget::{Policy, policy::Options};
use cyc_types::Tokens;

use bench::{Fault, RunResults};
use sizes::{DALA, HANBIT};

/// Size of a fixed draw: about one minute of use of a small account.
const FIXED_DRAW: Tokens = Tokens::new(10_000);

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!(
        "| size | fault | policy | requests | overspend tokens | false refusals | falsely refused tokens | tokens left |"
    );
    println!("| --- | --- | --- | ---: | ---: | ---: | ---: | ---: |");
    for size in [DALA, HANBIT] {
        for fault in Fault::ALL {
            let policies = [
                (Policy::Equal, false),
                (Policy::Fixed, false),
                (Policy::Adaptive, false),
                (Policy::Adaptive, true),
            ];
            for (policy, lending) in policies {
                let draws = Options {
                    policy,
                    fixed: FIXED_DRAW,
                    ..Options::default()
                };
                let results = run(&size, fault, draws, lending)?;
                let suffix = if lending { ", lending" } else { "" };
                println!(
                    "| {} | {} | {policy}{suffix} | {} | {} | {} | {} | {} |",
                    size.name,
                    fault.name(),
                    results.requests,
                    results.overspent_tokens,
                    results.refused,
                    results.refused_tokens,
                    results.left_tokens,
                );
            }
        }
    }
    Ok(())
}

fn run(
    size: &sizes::Size,
    fault: Fault,
    draws: Options,
    lending: bool,
) -> Result<RunResults, Box<dyn std::error::Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()?;
    runtime.block_on(bench::run(size, fault, draws, lending))
}
