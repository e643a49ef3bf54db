//! Calendar months in UTC, by which the reports are grouped.

use std::{fmt, str::FromStr};

use cyc_types::{Millis, size::ParseValueError};
use serde::{Serialize, Serializer};

const MILLIS_PER_DAY: u64 = 86_400_000;

/// A calendar month. Text form: `2026-12`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Month {
    /// Year of the Gregorian calendar.
    pub year: u64,
    /// Invariant: 1 to 12.
    pub month: u64,
}

impl Month {
    /// The month that a wall-clock time (milliseconds since the Unix epoch) falls into.
    pub fn of(at: Millis) -> Self {
        // Years start in March here, so that the leap day is the last day of a year. There are
        // 719_468 days from 0000-03-01 to the Unix epoch, and 146_097 in an era of 400 years. The
        // divisors of `day_of_era` correct for the leap days of 4, 100 and 400 years.
        let days = at.get() / MILLIS_PER_DAY + 719_468;
        let era = days / 146_097;
        let day_of_era = days % 146_097;
        let year_of_era =
            (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
        let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
        let from_march = (5 * day_of_year + 2) / 153;
        let month = (from_march + 2) % 12 + 1;
        Self {
            year: year_of_era + era * 400 + u64::from(month <= 2),
            month,
        }
    }
}

impl fmt::Display for Month {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:04}-{:02}", self.year, self.month)
    }
}

impl FromStr for Month {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let read = || {
            let (year, month) = text.split_once('-')?;
            let is_number = |part: &str| part.bytes().all(|byte| byte.is_ascii_digit());
            let is_well_formed =
                year.len() == 4 && month.len() == 2 && is_number(year) && is_number(month);
            let month = Self {
                year: year.parse().ok()?,
                month: month.parse().ok()?,
            };
            (is_well_formed && (1..=12).contains(&month.month)).then_some(month)
        };
        read().ok_or_else(|| ParseValueError {
            expected_type: "a month as in 2026-12",
            input: text.into(),
        })
    }
}

impl Serialize for Month {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}
