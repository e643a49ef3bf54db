//! The report on service levels.

use std::{fmt, net::SocketAddr, path::PathBuf, str::FromStr};

use cyc_burn::{Counts, Options, report};
use cyc_config::{LoadError, Objective, store};
use cyc_store::HttpPlatform;
use cyc_types::{Clock, Millis};
use serde_json::json;

use crate::{
    output::{Exit, Output, write_plot},
    spend::platform_error,
};

/// Milliseconds of a minute.
const MINUTE_MS: u64 = 60_000;
/// The longest window: 400 days, in minutes.
const MAX_MINUTES: u64 = 400 * 24 * 60;

/// A span of time: a number with `m`, `h` or `d` for minutes, hours or days.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Window(Millis);

/// Why a text is not a window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowError {
    /// The text.
    pub given: String,
}

impl fmt::Display for WindowError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let given = &self.given;
        write!(f, "`{given}`: allowed: 1m to 400d, as in 30m, 6h, 7d")
    }
}

impl std::error::Error for WindowError {}

impl Window {
    /// Returns the span.
    pub const fn span(self) -> Millis {
        self.0
    }
}

impl FromStr for Window {
    type Err = WindowError;

    fn from_str(text: &str) -> Result<Self, WindowError> {
        let wrong = || WindowError { given: text.into() };
        let (number, minutes) = [("m", 1), ("h", 60), ("d", 24 * 60)]
            .into_iter()
            .find_map(|(unit, minutes)| Some((text.strip_suffix(unit)?, minutes)))
            .ok_or_else(wrong)?;
        let number: u64 = number.parse().map_err(|_| wrong())?;
        match number.checked_mul(minutes) {
            Some(minutes @ 1..=MAX_MINUTES) => Ok(Self(Millis::new(minutes * MINUTE_MS))),
            _ => Err(wrong()),
        }
    }
}

/// Prints the service levels, and plots them to `file` if there is one.
pub async fn burn(
    addr: SocketAddr,
    window: Option<Window>,
    file: Option<PathBuf>,
    as_json: bool,
) -> Output {
    let (objectives, counts) = match read(addr).await {
        Ok(read) => read,
        Err(output) => return output,
    };
    let now = Clock::System.wall();
    let options = Options::new(now).with_window(window.map(Window::span));
    if let Some(file) = file
        && let Err(output) = write_plot(&file, cyc_burn::plot(&counts, &objectives, &options))
    {
        return output;
    }
    let report = report(&counts, &objectives, &options);
    let text = if as_json {
        json!({ "now_ms": now, "rows": report.rows }).to_string()
    } else {
        report.to_string()
    };
    Output::new(Exit::Ok, text)
}

async fn read(addr: SocketAddr) -> Result<(Vec<Objective>, Counts), Output> {
    let platform = HttpPlatform::new(addr);
    let snapshot = match store::load(&platform, None).await {
        Ok(Some(snapshot)) => snapshot,
        Ok(None) => {
            let why = "no configuration is in force, so there are no objectives";
            return Err(Output::error(Exit::Refused, why));
        }
        Err(LoadError::Platform(error)) => return Err(platform_error(addr, &error)),
        Err(error) => return Err(Output::error(Exit::Refused, error.to_string())),
    };
    let counts = cyc_burn::report::collect(&platform).await;
    let counts = counts.map_err(|error| platform_error(addr, &error))?;
    Ok((snapshot.services.objectives.clone(), counts))
}
