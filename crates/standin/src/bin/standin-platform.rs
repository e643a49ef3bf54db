//! The platform's services in memory, over HTTP, with faults that can be switched at run time.

use std::process::ExitCode;

use cyc_standin::{
    platform,
    serve::{self, DEFAULT_LISTEN},
    store::{Faults, Store},
};
use cyc_types::{ByteSize, Millis};

mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Serves the platform's services from memory.
        cmd standin-platform {
            /// The address to listen on; port 0 takes a free one. Default: 127.0.0.1:0.
            optional --listen addr: SocketAddr
            /// How far the VM list lags, in milliseconds. Default: 0.
            optional --vm-lag-ms ms: u64
            /// Bytes of weights a second. Default: no limit.
            optional --weight-rate bytes: u64
            /// Prints the version.
            optional --version
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::StandinPlatform::from_env_or_exit();
    if flags.version {
        println!("standin-platform {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let store = match flags.weight_rate {
        Some(rate) => Store::new().with_weight_rate(ByteSize::new(rate)),
        None => Store::new(),
    };
    store.set_faults(Faults {
        vm_lag: Millis::new(flags.vm_lag_ms.unwrap_or_default()),
        ..Faults::default()
    });
    let addr = flags.listen.unwrap_or(DEFAULT_LISTEN);
    serve::exit_code(serve::run(addr, platform::router(store)).await)
}
