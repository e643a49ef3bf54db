//! The text form of the report, a table.

use std::fmt;

use crate::report::{Report, Row};

/// Replaces the availability zone and the service in the sum of a class.
const ALL: &str = "all";
/// Replaces the values that a class without an objective does not have.
const NONE: &str = "-";

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<9} {:<16} {:<16}", "class", "zone", "service")?;
        write!(f, " {:>9} {:>9} {:>9}", "total", "good", "left %")?;
        write!(f, " {:>9} {:>9}  verdict", "burn 5m", "burn 1h")?;
        self.rows.iter().try_for_each(|row| write_row(f, row))
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, row: &Row) -> fmt::Result {
    let class: &str = row.class.into();
    let zone = row.zone.as_ref().map_or(ALL, |zone| zone.as_str());
    let service = row.service.as_ref().map_or(ALL, |id| id.as_str());
    write!(f, "\n{class:<9} {zone:<16} {service:<16}")?;
    let left = row.budget_left.map(|left| left * 100.0);
    write!(
        f,
        " {:>9} {:>9} {:>9}",
        row.total,
        row.good,
        format_number(left)
    )?;
    let (short, long) = (format_number(row.burn_short), format_number(row.burn_long));
    write!(f, " {short:>9} {long:>9}  {}", row.verdict)
}

fn format_number(value: Option<f64>) -> String {
    value.map_or_else(|| NONE.into(), |value| format!("{value:.2}"))
}
