//! Tests of the service level report and its plot.

use cyc_burn::{Counts, Options, Report, Verdict, alert, plot, report};
use cyc_config::Objective;
use cyc_ledger::{
    LevelCount, Segment, Series,
    level::{Count, MINUTE},
};
use cyc_proto::sidecar::RouteClass;
use cyc_types::{Incarnation, Millis};
use googletest::prelude::*;

/// The current minute, counted from the Unix epoch.
const NOW_MINUTE: u64 = 1_000_000;
const HOUR: Millis = Millis::new(3_600_000);

fn objective(class: RouteClass, share: f64) -> Objective {
    Objective {
        class,
        latency_ms: Millis::new(250),
        share,
        window_ms: Millis::new(24 * HOUR.get()),
    }
}

fn level_count(minute: u64, class: RouteClass, zone: &str, total: u64, good: u64) -> LevelCount {
    LevelCount {
        minute,
        series: Series {
            class,
            service: "desk".parse().unwrap(),
            zone: zone.parse().unwrap(),
        },
        count: Count {
            total,
            good,
            ..Count::default()
        },
    }
}

fn counts(levels: &[LevelCount]) -> Counts {
    // Each entry writes its own segments; counts of the same minute are summed.
    let segments = levels.iter().zip(1..).map(|(level, number)| {
        let writer = Incarnation::new("vm-entry".parse().unwrap(), number);
        let mut segment = Segment::new(writer, 1, Millis::ZERO);
        segment.levels.push(level.clone());
        segment
    });
    Counts::new(&segments.collect::<Vec<_>>())
}

fn options() -> Options {
    Options::new(Millis::new(NOW_MINUTE * MINUTE.get() + 30_000))
}

fn sample() -> (Counts, Vec<Objective>) {
    use RouteClass::{Booking, Status};
    let levels = [
        level_count(NOW_MINUTE, Status, "almaty-a", 100, 90),
        level_count(NOW_MINUTE, Status, "almaty-b", 100, 100),
        level_count(NOW_MINUTE, Status, "almaty-a", 50, 50),
        level_count(NOW_MINUTE - 30, Status, "almaty-a", 250, 230),
        // Outside the window of the objective.
        level_count(NOW_MINUTE - 24 * 60, Status, "almaty-a", 999, 0),
        level_count(NOW_MINUTE, Booking, "almaty-a", 7, 6),
    ];
    (counts(&levels), vec![objective(Status, 0.9)])
}

#[gtest]
fn counts_are_summed_by_class_zone_and_service() -> googletest::Result<()> {
    let (counts, objectives) = sample();
    let report = report(&counts, &objectives, &options());
    let rows: Vec<_> = report
        .rows
        .iter()
        .map(|row| {
            let zone = row.zone.as_ref().map(|zone| zone.as_str());
            (row.class, zone, row.total, row.good)
        })
        .collect();
    use RouteClass::{Booking, Status};
    let expected = vec![
        (Status, None, 500, 470),
        (Status, Some("almaty-a"), 400, 370),
        (Status, Some("almaty-b"), 100, 100),
        (Booking, None, 7, 6),
        (Booking, Some("almaty-a"), 7, 6),
    ];
    expect_that!(rows, eq(&expected));
    let status_sum = &report.rows[0];
    // Bad requests: 30 of the 50 allowed in 500; 10 of 250 in 5 min; 30 of 500 in 1 h.
    expect_that!(status_sum.budget_left, some(near(0.4, 1e-9)));
    expect_that!(status_sum.burn_short, some(near(0.4, 1e-9)));
    expect_that!(status_sum.burn_long, some(near(0.6, 1e-9)));
    expect_that!(status_sum.verdict, eq(Verdict::Ok));
    let booking = &report.rows[3];
    expect_that!(booking.verdict, eq(Verdict::NoObjective));
    expect_that!(booking.budget_left, none());
    Ok(())
}

#[gtest]
fn a_window_override_does_not_affect_the_alert_windows() -> googletest::Result<()> {
    let (counts, objectives) = sample();
    let default_window = report(&counts, &objectives, &options());
    let wide_window = options().with_window(Some(Millis::new(48 * HOUR.get())));
    let wide_window = report(&counts, &objectives, &wide_window);
    expect_that!(wide_window.rows[0].total, eq(1_499));
    expect_that!(
        wide_window.rows[0].burn_long,
        eq(default_window.rows[0].burn_long)
    );
    expect_that!(wide_window.rows[0].budget_left, some(lt(0.0)));
    Ok(())
}

#[gtest]
fn alerts_require_a_high_burn_rate_in_both_windows() -> googletest::Result<()> {
    let day = Millis::new(24 * HOUR.get());
    let month = Millis::new(30 * day.get());
    expect_that!(alert::page_threshold(0.999, month, HOUR), near(14.4, 1e-9));
    expect_that!(alert::page_threshold(0.9, month, HOUR), near(5.0, 1e-9));
    expect_that!(alert::page_threshold(0.999, day, HOUR), near(1.0, 1e-9));
    for (short, long, verdict) in [
        (0.0, 0.0, Verdict::Ok),
        (1.0, 1.0, Verdict::Ok),
        (99.0, 0.9, Verdict::Ok),
        (0.9, 99.0, Verdict::Ok),
        (1.1, 99.0, Verdict::Ticket),
        (99.0, 1.1, Verdict::Ticket),
        (14.5, 14.5, Verdict::Page),
    ] {
        expect_that!(alert::verdict(short, long, 14.4), eq(verdict));
    }
    Ok(())
}

#[gtest]
fn an_empty_report_has_no_burn_rate() -> googletest::Result<()> {
    let empty = Counts::default();
    let objectives = [objective(RouteClass::Status, 0.9)];
    expect_that!(report(&empty, &objectives, &options()).rows, is_empty());
    expect_that!(alert::burn_rate(&Count::default(), 0.9), eq(0.0));
    let svg = plot(&empty, &objectives, &options())?;
    expect_that!(svg, contains_substring("</svg>"));
    Ok(())
}

#[gtest]
fn table_and_json_have_equal_values() -> googletest::Result<()> {
    let (counts, objectives) = sample();
    let report: Report = report(&counts, &objectives, &options());
    let json = serde_json::to_value(&report)?;
    let table = report.to_string();
    let lines: Vec<Vec<&str>> = table
        .lines()
        .skip(1)
        .map(|line| line.split_whitespace().collect())
        .collect();
    let rows = json["rows"].as_array().or_fail()?;
    expect_that!(lines.len(), eq(rows.len()));
    for (line, row) in lines.iter().zip(rows) {
        expect_that!(row["class"], eq(line[0]));
        expect_that!(row["zone"].as_str().unwrap_or("all"), eq(line[1]));
        expect_that!(row["service"].as_str().unwrap_or("all"), eq(line[2]));
        expect_that!(row["total"].to_string(), eq(line[3]));
        expect_that!(row["good"].to_string(), eq(line[4]));
        expect_that!(row["verdict"], eq(line[8]));
    }
    Ok(())
}

#[gtest]
fn the_plot_labels_axes_and_classes() -> googletest::Result<()> {
    let (counts, _) = sample();
    let objectives = [
        objective(RouteClass::Status, 0.9),
        objective(RouteClass::Booking, 0.9),
    ];
    let svg = plot(&counts, &objectives, &options())?;
    for text in [
        "status",
        "booking",
        "hours before now",
        "burn rate over 5 min",
    ] {
        expect_that!(svg, contains_substring(text));
    }
    // One line per class and one for the limit.
    expect_that!(svg.matches("<polyline").count(), ge(3));
    Ok(())
}
