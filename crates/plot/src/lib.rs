//! Dimensions, text size and SVG output shared by the plots.

use std::{error::Error, fmt};

use plotters::{
    backend::SVGBackend,
    coord::Shift,
    drawing::{DrawingArea, IntoDrawingArea as _},
    style::WHITE,
};

/// The width and height of a plot.
const SIZE_PX: (u32, u32) = (960, 480);
/// The margin around a chart, in pixels.
pub const MARGIN_PX: u32 = 16;
/// The space for the labels of an axis, in pixels.
pub const LABEL_AREA_PX: u32 = 52;
/// The font size of labels, in pixels.
pub const TEXT_SIZE_PX: u32 = 15;

/// The drawing area of a plot.
pub type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Why a plot could not be drawn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlotError(String);

impl fmt::Display for PlotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot draw the plot: {}", self.0)
    }
}

impl Error for PlotError {}

/// Runs `draw` on a white drawing area and returns the result as SVG.
///
/// # Errors
/// [`PlotError`] if `draw` or the plotting library fails.
pub fn to_svg(
    draw: impl FnOnce(&Area<'_>) -> Result<(), Box<dyn Error>>,
) -> Result<String, PlotError> {
    let mut svg = String::new();
    let render = || -> Result<(), Box<dyn Error>> {
        let area = SVGBackend::with_string(&mut svg, SIZE_PX).into_drawing_area();
        area.fill(&WHITE)?;
        draw(&area)?;
        Ok(area.present()?)
    };
    render().map_err(|error| PlotError(error.to_string()))?;
    Ok(svg)
}
