//! An in-memory platform over HTTP, with injected faults that can be changed at run time.

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
        /// Serves an in-memory platform: objects, VM list and weight store.
        cmd standin-platform {
            /// Listen address; port 0 selects a free port. Default: 127.0.0.1:0.
            optional --listen addr: SocketAddr
            /// Lag of the VM list, in milliseconds. Default: 0.
            optional --vm-lag-ms ms: u64
            /// Rate of the weight store, in bytes per second. Default: no limit.
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
