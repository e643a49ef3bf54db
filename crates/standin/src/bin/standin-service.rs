//! A plain service over HTTP, with faults that can be switched at run time.

use std::process::ExitCode;

use cyc_standin::{
    serve::{self, DEFAULT_LISTEN},
    service::{self, Service},
};

mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Answers every path with JSON and counts its runs.
        cmd standin-service {
            /// The address to listen on; port 0 takes a free one. Default: 127.0.0.1:0.
            optional --listen addr: SocketAddr
            /// The name in the answers. Default: service.
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
