//! Plots the results of an experiment: the ratio of credit earned over time, with a line per policy.

use cyc_plot::{Area, LABEL_AREA_PX, MARGIN_PX, PlotError, TEXT_SIZE_PX};
use plotters::prelude::*;

use crate::{experiment::Outcome, report::WINDOW_MS};

/// Length of the line beside a policy's name in the legend.
const LEGEND_LINE_PX: i32 = 18;

/// Plots the mean ratio of credit earned in each window, as SVG.
///
/// # Errors
/// [`PlotError`] if the plotting library fails.
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
        .margin(MARGIN_PX)
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(0.0..end_s, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("part of the worth earned")
        .label_style(("sans-serif", TEXT_SIZE_PX))
        .draw()?;
    for (index, (policy, summary)) in outcome.rows.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = summary.windows.iter().enumerate();
        let points = points.map(|(window, ratio)| ((window as f64 + 0.5) * window_s, *ratio));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(policy.to_string())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE_PX, y)], color));
    }
    chart
        .configure_series_labels()
        .label_font(("sans-serif", TEXT_SIZE_PX))
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
