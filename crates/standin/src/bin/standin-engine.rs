//! A model engine over HTTP, with injected faults that can be changed at run time.

use std::process::ExitCode;

use cyc_standin::{
    engine::{self, Engine, Faults, Options},
    serve::{self, DEFAULT_LISTEN},
};
use cyc_types::Millis;

mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Serves a model engine whose text depends only on the prompt.
        cmd standin-engine {
            /// Listen address; port 0 selects a free port. Default: 127.0.0.1:0.
            optional --listen addr: SocketAddr
            /// Model loaded at start. Default: writer.
            optional --model name: String
            /// Version of that model. Default: 1.
            optional --model-version version: String
            /// Time per token of a run that is alone in the batch, in milliseconds. Default: 1.
            optional --token-ms ms: u64
            /// Increase of that time for each further run in the batch, in percent. Default: 5.
            optional --batch-slowdown-percent percent: u64
            /// Prefill time per prompt block that is not cached, in milliseconds. Default: 1.
            optional --prefill-block-ms ms: u64
            /// Maximum number of runs in the batch. Default: 16.
            optional --slots count: usize
            /// Capacity of the prefix cache in blocks. Default: 1024.
            optional --cache-blocks count: usize
            /// Tokens of an answer whose prompt requests no number. Default: 16.
            optional --default-tokens count: u64
            /// Time to load a model or an adapter, in milliseconds. Default: 0.
            optional --load-model-ms ms: u64
            /// Whether orders with a stale fencing number are refused. Default: true.
            optional --checks-fencing checks: bool
            /// Lag of the load report, in milliseconds. Default: 0.
            optional --load-lag-ms ms: u64
            /// Delay before cache events are published, in milliseconds. Default: 0.
            optional --events-late-ms ms: u64
            /// Prints the version.
            optional --version
        }
    }
}

fn options(flags: &flags::StandinEngine) -> Options {
    let default = Options::default();
    let millis = |value: Option<u64>, default: Millis| value.map_or(default, Millis::new);
    Options {
        model: flags.model.as_ref().map_or(default.model, Into::into),
        version: flags
            .model_version
            .as_ref()
            .map_or(default.version, Into::into),
        token_time: millis(flags.token_ms, default.token_time),
        batch_slowdown_percent: flags
            .batch_slowdown_percent
            .unwrap_or(default.batch_slowdown_percent),
        prefill_block_time: millis(flags.prefill_block_ms, default.prefill_block_time),
        slots: flags.slots.unwrap_or(default.slots),
        cache_blocks: flags.cache_blocks.unwrap_or(default.cache_blocks),
        default_tokens: flags.default_tokens.unwrap_or(default.default_tokens),
        load_time: millis(flags.load_model_ms, default.load_time),
        checks_fencing: flags.checks_fencing.unwrap_or(default.checks_fencing),
        clock: default.clock,
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::StandinEngine::from_env_or_exit();
    if flags.version {
        println!("standin-engine {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let engine = Engine::new(options(&flags));
    engine.set_faults(Faults {
        load_lag: Millis::new(flags.load_lag_ms.unwrap_or_default()),
        events_late: Millis::new(flags.events_late_ms.unwrap_or_default()),
        ..Faults::default()
    });
    let addr = flags.listen.unwrap_or(DEFAULT_LISTEN);
    serve::exit_code(serve::run(addr, engine::router(engine)).await)
}
