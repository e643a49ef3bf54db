//! `cyclamen burn`: the report on service levels, error budgets and burn rates.

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

const MINUTE_MS: u64 = 60_000;
/// The longest window: 400 days.
const MAX_WINDOW_MINUTES: u64 = 400 * 24 * 60;

/// A length of time in the syntax of the command line: a number with `m`, `h` or `d` for minutes,
/// hours or days.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Window(Millis);

/// The error for a text that is not a valid window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowError {
    /// The invalid text.
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
    /// Returns the window's length.
    pub const fn length(self) -> Millis {
        self.0
    }
}

impl FromStr for Window {
    type Err = WindowError;

    fn from_str(text: &str) -> Result<Self, WindowError> {
        let invalid = || WindowError { given: text.into() };
        let (number, minutes) = [("m", 1), ("h", 60), ("d", 24 * 60)]
            .into_iter()
            .find_map(|(unit, minutes)| Some((text.strip_suffix(unit)?, minutes)))
            .ok_or_else(invalid)?;
        let number: u64 = number.parse().map_err(|_| invalid())?;
        match number.checked_mul(minutes) {
            Some(minutes @ 1..=MAX_WINDOW_MINUTES) => Ok(Self(Millis::new(minutes * MINUTE_MS))),
            _ => Err(invalid()),
        }
    }
}

/// Reports the service levels, and writes a plot to `file` if given.
pub async fn run(
    addr: SocketAddr,
    window: Option<Window>,
    file: Option<PathBuf>,
    as_json: bool,
) -> Output {
    let (objectives, counts) = match load(addr).await {
        Ok(loaded) => loaded,
        Err(output) => return output,
    };
    let now = Clock::System.wall_time();
    let options = Options::new(now).with_window(window.map(Window::length));
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

async fn load(addr: SocketAddr) -> Result<(Vec<Objective>, Counts), Output> {
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
    let counts = cyc_burn::report::load_counts(&platform).await;
    let counts = counts.map_err(|error| platform_error(addr, &error))?;
    Ok((snapshot.services.objectives.clone(), counts))
}
