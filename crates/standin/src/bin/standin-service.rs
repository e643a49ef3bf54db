//! A plain service over HTTP, with injected faults that can be changed at run time.

use std::process::ExitCode;

use cyc_standin::{
    serve::{self, DEFAULT_LISTEN},
    service::{self, Service},
};

mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Answers requests to every path with JSON and counts their execution.
        cmd standin-service {
            /// Listen address; port 0 selects a free port. Default: 127.0.0.1:0.
            optional --listen addr: SocketAddr
            /// Service name in the answers. Default: service.
            optional --name name: String
            /// Prints the version.
            optional --version
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::StandinService::from_env_or_exit();
    if flags.version {
        println!("standin-service {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let service = Service::new(flags.name.as_deref().unwrap_or("service"));
    let addr = flags.listen.unwrap_or(DEFAULT_LISTEN);
    serve::exit_code(serve::run(addr, service::router(service)).await)
}
