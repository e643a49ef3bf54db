//! The operators' command `cyclamen`.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    cyc_cli::run(std::env::args_os().skip(1).collect())
        .await
        .print()
}
