//! The plot of the burn rates.

use cyc_config::Objective;
use cyc_ledger::level::MINUTE;
use cyc_plot::{Area, LABEL_AREA, MARGIN, PlotError, TEXT};
use cyc_proto::sidecar::RouteClass;
use cyc_types::Millis;
use plotters::prelude::*;

use crate::{
    alert::burn_rate,
    counts::{Counts, Span},
    report::Options,
};

/// Points of a line.
const POINTS: u64 = 240;
/// The y axis reaches at least here.
const MIN_TOP: f64 = 2.0;
/// Space above the largest burn rate.
const HEADROOM: f64 = 1.1;
/// The shortest span that a plot covers.
const MIN_SPAN: Millis = Millis::new(10 * 60_000);
/// Milliseconds of an hour, the unit of the x axis.
const HOUR_MS: f64 = 3_600_000.0;

struct Line {
    class: RouteClass,
    /// Hours before now, and burn rate.
    points: Vec<(f64, f64)>,
}

/// Draws the burn rate over time, one line for each class with an objective, as SVG.
///
/// # Errors
/// [`PlotError`] if the library fails.
pub fn plot(
    counts: &Counts,
    objectives: &[Objective],
    options: &Options,
) -> Result<String, PlotError> {
    let span = span(counts, objectives, options);
    let lines: Vec<Line> = objectives
        .iter()
        .map(|objective| line(counts, objective, options, span))
        .collect();
    cyc_plot::to_svg(|area| draw(area, &lines, span, options))
}

/// Returns how far back the plot goes: over the window, but not before the first count.
fn span(counts: &Counts, objectives: &[Objective], options: &Options) -> Millis {
    let longest = objectives.iter().map(|o| o.window_ms).max();
    let window = options.window.or(longest).unwrap_or(options.long);
    let first = counts.first_minute().unwrap_or(u64::MAX);
    let first = Millis::new(first.saturating_mul(MINUTE.get()));
    let known = options.now.saturating_sub(first) + MINUTE;
    window.min(known).max(MIN_SPAN)
}

fn line(counts: &Counts, objective: &Objective, options: &Options, span: Millis) -> Line {
    let points = (0..=POINTS).map(|point| {
        let back = Millis::new(span.get() * (POINTS - point) / POINTS);
        let at = Span::new(options.now.saturating_sub(back), options.short);
        let count = counts.sum(at, |series| series.class == objective.class);
        let x = -(back.get() as f64) / HOUR_MS;
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
    span: Millis,
    options: &Options,
) -> Result<(), Box<dyn std::error::Error>> {
    let left = -(span.get() as f64) / HOUR_MS;
    let rates = lines.iter().flat_map(|line| &line.points);
    let largest = rates.map(|(_, rate)| *rate).fold(0.0, f64::max);
    let top = (largest * HEADROOM).max(MIN_TOP);
    let minutes = options.short.get() / MINUTE.get();
    let mut chart = ChartBuilder::on(area)
        .caption("Burn rate of the error budgets", ("sans-serif", TEXT + 5))
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(left..0.0, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("hours before now")
        .y_desc(format!("burn rate over {minutes} min (1 = budget lasts)"))
        .label_style(("sans-serif", TEXT))
        .axis_desc_style(("sans-serif", TEXT))
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
    let limit = [(left, 1.0), (0.0, 1.0)];
    chart
        .draw_series(LineSeries::new(limit, BLACK.mix(0.5)))?
        .label("limit")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 20, y)], BLACK.mix(0.5)));
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.9))
        .border_style(BLACK)
        .label_font(("sans-serif", TEXT))
        .draw()?;
    Ok(())
}
