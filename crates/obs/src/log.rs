//! Logs, one `key=value` line for each record: on standard error, or on standard output by a
//! thread of their own that never holds up the process.

use std::{fmt, fmt::Write as _, num::NonZeroUsize, sync::Arc, time::UNIX_EPOCH};

use cyc_settings::LogLevel;
use spdlog::{
    Level, LevelFilter, Logger, Record, StringBuf, ThreadPool,
    formatter::{Formatter, FormatterContext},
    sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink},
};

/// Why logs could not be started.
#[derive(Debug)]
pub struct Error(spdlog::Error);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "logs cannot be started: {}", self.0)
    }
}

impl std::error::Error for Error {}

/// Writes `ts_ms=… level=… msg="…"` and then the record's own keys and values.
#[derive(Debug, Clone, Default)]
pub struct KeyValueFormatter;

impl Formatter for KeyValueFormatter {
    fn format(
        &self,
        record: &Record,
        dest: &mut StringBuf,
        _cx: &mut FormatterContext,
    ) -> spdlog::Result<()> {
        write_record(record, dest).map_err(spdlog::Error::FormatRecord)
    }
}

fn write_record(record: &Record, dest: &mut StringBuf) -> fmt::Result {
    let ts = record.time().duration_since(UNIX_EPOCH).unwrap_or_default();
    write!(
        dest,
        "ts_ms={} level={}",
        ts.as_millis(),
        record.level().as_str()
    )?;
    // The Debug form quotes the text and escapes line ends, so that a record stays on its line.
    write!(dest, " msg={:?}", record.payload())?;
    for (key, value) in record.key_values() {
        write!(dest, " {}={:?}", key.as_str(), value.to_string())?;
    }
    writeln!(dest)
}

/// Returns the filter that lets `level` and more severe records through.
pub const fn filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Trace => LevelFilter::MoreSevereEqual(Level::Trace),
        LogLevel::Debug => LevelFilter::MoreSevereEqual(Level::Debug),
        LogLevel::Info => LevelFilter::MoreSevereEqual(Level::Info),
        LogLevel::Warn => LevelFilter::MoreSevereEqual(Level::Warn),
        LogLevel::Error => LevelFilter::MoreSevereEqual(Level::Error),
        LogLevel::Off => LevelFilter::Off,
    }
}

/// Makes a logger on standard error the default of the process.
///
/// # Errors
/// [`Error`] if the library refuses the logger.
pub fn start_logs(level: LogLevel) -> Result<(), Error> {
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(KeyValueFormatter)
        .build_arc()
        .map_err(Error)?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(filter(level))
        .flush_level_filter(LevelFilter::All)
        .build()
        .map_err(Error)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Records that wait for the thread that writes them; further ones are dropped.
const QUEUE: NonZeroUsize = NonZeroUsize::new(1_024).unwrap();

/// Makes a logger on standard output the default of the process. A thread of its own writes the
/// lines; when it falls behind by a thousand records, new ones are dropped.
///
/// # Errors
/// [`Error`] if the library refuses the logger.
pub fn start_stdout_logs(level: LogLevel) -> Result<(), Error> {
    let stdout = StdStreamSink::builder()
        .stdout()
        .formatter(KeyValueFormatter)
        .build_arc()
        .map_err(Error)?;
    let pool = ThreadPool::builder()
        .capacity(QUEUE)
        .build_arc()
        .map_err(Error)?;
    let sink = AsyncPoolSink::builder()
        .sink(stdout)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        // A dropped record has nowhere else to go.
        .error_handler(|_| {})
        .build_arc()
        .map_err(Error)?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(filter(level))
        .error_handler(|_| {})
        .build()
        .map_err(Error)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Writes what waits and ends the logs of the process.
pub fn finish_logs() {
    let logger = spdlog::default_logger();
    logger.flush();
    if let Ok(empty) = Logger::builder().build() {
        spdlog::set_default_logger(Arc::new(empty));
    }
}
