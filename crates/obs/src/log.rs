//! Logging, one line of `key=value` pairs per record: to standard error, or to standard output by a
//! dedicated thread so that slow output never blocks the process.

use std::{fmt, fmt::Write as _, num::NonZeroUsize, sync::Arc, time::UNIX_EPOCH};

use cyc_settings::LogLevel;
use spdlog::{
    Level, LevelFilter, Logger, Record, StringBuf, ThreadPool,
    formatter::{Formatter, FormatterContext},
    sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink},
};

/// Why logging could not be started.
#[derive(Debug)]
pub struct Error(spdlog::Error);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot start logging: {}", self.0)
    }
}

impl std::error::Error for Error {}

/// Formats a record as `ts_ms=… level=… msg="…"`, followed by the keys and values of the record.
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
    let timestamp = record.time().duration_since(UNIX_EPOCH).unwrap_or_default();
    write!(
        dest,
        "ts_ms={} level={}",
        timestamp.as_millis(),
        record.level().as_str()
    )?;
    // The `Debug` form quotes the text and escapes line breaks, which keeps a record on one line.
    write!(dest, " msg={:?}", record.payload())?;
    for (key, value) in record.key_values() {
        write!(dest, " {}={:?}", key.as_str(), value.to_string())?;
    }
    writeln!(dest)
}

/// Returns the filter that passes records of severity `level` and above.
pub const fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Trace => LevelFilter::MoreSevereEqual(Level::Trace),
        LogLevel::Debug => LevelFilter::MoreSevereEqual(Level::Debug),
        LogLevel::Info => LevelFilter::MoreSevereEqual(Level::Info),
        LogLevel::Warn => LevelFilter::MoreSevereEqual(Level::Warn),
        LogLevel::Error => LevelFilter::MoreSevereEqual(Level::Error),
        LogLevel::Off => LevelFilter::Off,
    }
}

/// Installs a logger to standard error as the default of the process.
///
/// # Errors
/// [`Error`] if the logging library rejects the logger.
pub fn start_stderr_logs(level: LogLevel) -> Result<(), Error> {
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(KeyValueFormatter)
        .build_arc()
        .map_err(Error)?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(level_filter(level))
        .flush_level_filter(LevelFilter::All)
        .build()
        .map_err(Error)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// The maximum number of records queued for the writing thread; further records are dropped.
const QUEUE_CAPACITY: NonZeroUsize = NonZeroUsize::new(1_024).unwrap();

/// Installs a logger to standard output as the default of the process. A dedicated thread writes
/// the records; while 1,024 of them are queued, new ones are dropped.
///
/// # Errors
/// [`Error`] if the logging library rejects the logger.
pub fn start_stdout_logs(level: LogLevel) -> Result<(), Error> {
    let stdout = StdStreamSink::builder()
        .stdout()
        .formatter(KeyValueFormatter)
        .build_arc()
        .map_err(Error)?;
    let pool = ThreadPool::builder()
        .capacity(QUEUE_CAPACITY)
        .build_arc()
        .map_err(Error)?;
    let sink = AsyncPoolSink::builder()
        .sink(stdout)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        // Dropped records are not reported: the log is the only place to report them.
        .error_handler(|_| {})
        .build_arc()
        .map_err(Error)?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(level_filter(level))
        .error_handler(|_| {})
        .build()
        .map_err(Error)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Writes the queued records and stops the logging of the process.
pub fn finish_logs() {
    let logger = spdlog::default_logger();
    logger.flush();
    if let Ok(no_sink_logger) = Logger::builder().build() {
        spdlog::set_default_logger(Arc::new(no_sink_logger));
    }
}
