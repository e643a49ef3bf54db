//! The plot of an experiment: the part earned over time, one line a policy.

use cyc_plot::{Area, LABEL_AREA, MARGIN, PlotError, TEXT};
use plotters::prelude::*;

use crate::{experiment::Outcome, report::WINDOW_MS};

/// Length of a line's sample in the legend, in pixels.
const SAMPLE: i32 = 18;

/// Draws the part earned by the requests of each window, as SVG.
///
/// # Errors
/// [`PlotError`] if the library fails.
pub fn plot(outcome: &Outcome) -> Result<String, PlotError> {
    cyc_plot::to_svg(|area| draw(area, outcome))
}

fn draw(area: &Area<'_>, outcome: &Outcome) -> Result<(), Box<dyn std::error::Error>> {
    let window_s = WINDOW_MS as f64 / 1_000.0;
    let windows = outcome
        .rows
        .iter()
        .map(|(_, summary)| summary.windows.len());
    let end_s = windows.max().unwrap_or(1) as f64 * window_s;
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..end_s, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("part of the worth earned")
        .label_style(("sans-serif", TEXT))
        .draw()?;
    for (index, (policy, summary)) in outcome.rows.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = summary.windows.iter().enumerate();
        let points = points.map(|(at, part)| ((at as f64 + 0.5) * window_s, *part));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(policy.to_string())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + SAMPLE, y)], color));
    }
    chart
        .configure_series_labels()
        .label_font(("sans-serif", TEXT))
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
