//! The plot of an experiment: the part earned over time, one line a policy.

use std::fmt;

use plotters::prelude::*;

use crate::experiment::Outcome;

/// Width and height of the picture in pixels.
const SIZE: (u32, u32) = (960, 480);
/// Margin around the chart in pixels.
const MARGIN: u32 = 16;
/// Room for the labels of the axes in pixels.
const LABEL_AREA: u32 = 52;
/// Size of the text in pixels.
const TEXT: u32 = 15;
/// Length of a line's sample in the legend, in pixels.
const SAMPLE: i32 = 18;

/// Why a plot could not be drawn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlotError(String);

impl fmt::Display for PlotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the plot cannot be drawn: {}", self.0)
    }
}

impl std::error::Error for PlotError {}

/// Draws the part earned by the requests of each window, as SVG.
///
/// # Errors
/// [`PlotError`] if the library fails.
pub fn plot(outcome: &Outcome, window_s: f64) -> Result<String, PlotError> {
    let mut svg = String::new();
    draw(&mut svg, outcome, window_s).map_err(|error| PlotError(error.to_string()))?;
    Ok(svg)
}

fn draw(
    svg: &mut String,
    outcome: &Outcome,
    window_s: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let windows = outcome
        .rows
        .iter()
        .map(|(_, summary)| summary.windows.len());
    let end_s = windows.max().unwrap_or(1) as f64 * window_s;
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
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
    area.present()?;
    Ok(())
}
