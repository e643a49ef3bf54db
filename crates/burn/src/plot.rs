//! The plot of burn rates over time.

use cyc_config::Objective;
use cyc_ledger::level::MINUTE;
use cyc_plot::{Area, LABEL_AREA_PX, MARGIN_PX, PlotError, TEXT_SIZE_PX};
use cyc_proto::sidecar::RouteClass;
use cyc_types::Millis;
use plotters::prelude::*;

use crate::{
    alert::burn_rate,
    counts::{Counts, MinuteRange},
    report::Options,
};

const INTERVALS_PER_LINE: u64 = 240;
/// The minimum upper end of the y axis, as a burn rate.
const MIN_Y_MAX: f64 = 2.0;
/// The upper end of the y axis, as a multiple of the largest burn rate.
const Y_HEADROOM_FACTOR: f64 = 1.1;
/// The minimum time that a plot covers.
const MIN_DURATION: Millis = Millis::new(10 * 60_000);
/// One hour, the unit of the x axis, in milliseconds.
const HOUR_MS: f64 = 3_600_000.0;

struct Line {
    class: RouteClass,
    /// Time relative to now in hours (zero or negative), and burn rate.
    points: Vec<(f64, f64)>,
}

/// Plots the burn rate over time as SVG, with one line per route class that has an objective.
///
/// # Errors
/// [`PlotError`] if the plotting library fails.
pub fn plot(
    counts: &Counts,
    objectives: &[Objective],
    options: &Options,
) -> Result<String, PlotError> {
    let duration = plot_duration(counts, objectives, options);
    let lines: Vec<Line> = objectives
        .iter()
        .map(|objective| burn_rate_line(counts, objective, options, duration))
        .collect();
    cyc_plot::to_svg(|area| draw(area, &lines, duration, options))
}

/// Returns the time that the plot covers: the window without the time before the first count, but
/// at least [`MIN_DURATION`].
fn plot_duration(counts: &Counts, objectives: &[Objective], options: &Options) -> Millis {
    let longest_window = objectives.iter().map(|o| o.window_ms).max();
    let window = options
        .window
        .or(longest_window)
        .unwrap_or(options.long_window);
    let start = counts.first_minute().unwrap_or(u64::MAX);
    let start = Millis::new(start.saturating_mul(MINUTE.get()));
    let recorded = options.now.saturating_sub(start) + MINUTE;
    window.min(recorded).max(MIN_DURATION)
}

fn burn_rate_line(
    counts: &Counts,
    objective: &Objective,
    options: &Options,
    duration: Millis,
) -> Line {
    let points = (0..=INTERVALS_PER_LINE).map(|point| {
        let age = Millis::new(duration.get() * (INTERVALS_PER_LINE - point) / INTERVALS_PER_LINE);
        let minutes = MinuteRange::new(options.now.saturating_sub(age), options.short_window);
        let count = counts.sum(minutes, |series| series.class == objective.class);
        let x = -(age.get() as f64) / HOUR_MS;
        (x, burn_rate(&count, objective.share))
    });
    Line {
        class: objective.class,
        points: points.collect(),
    }
}

fn draw(
    area: &Area<'_>,
    lines: &[Line],
    duration: Millis,
    options: &Options,
) -> Result<(), Box<dyn std::error::Error>> {
    let x_min = -(duration.get() as f64) / HOUR_MS;
    let rates = lines.iter().flat_map(|line| &line.points);
    let largest = rates.map(|(_, rate)| *rate).fold(0.0, f64::max);
    let y_max = (largest * Y_HEADROOM_FACTOR).max(MIN_Y_MAX);
    let minutes = options.short_window.get() / MINUTE.get();
    let mut chart = ChartBuilder::on(area)
        .caption(
            "Burn rate of the error budgets",
            ("sans-serif", TEXT_SIZE_PX + 5),
        )
        .margin(MARGIN_PX)
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(x_min..0.0, 0.0..y_max)?;
    chart
        .configure_mesh()
        .x_desc("hours before now")
        .y_desc(format!("burn rate over {minutes} min (1 = budget lasts)"))
        .label_style(("sans-serif", TEXT_SIZE_PX))
        .axis_desc_style(("sans-serif", TEXT_SIZE_PX))
        .x_label_formatter(&|x| format!("{:.1}", -x))
        .y_label_formatter(&|y| format!("{y:.1}"))
        .draw()?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(
                line.points.iter().copied(),
                color.stroke_width(2),
            ))?
            .label(line.class.to_string())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color.stroke_width(2)));
    }
    let limit_line = [(x_min, 1.0), (0.0, 1.0)];
    chart
        .draw_series(LineSeries::new(limit_line, BLACK.mix(0.5)))?
        .label("limit")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 20, y)], BLACK.mix(0.5)));
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.9))
        .border_style(BLACK)
        .label_font(("sans-serif", TEXT_SIZE_PX))
        .draw()?;
    Ok(())
}
