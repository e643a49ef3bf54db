//! What the plots of the product share: their size and text, and the way from a drawing to SVG.

use std::{error::Error, fmt};

use plotters::{
    backend::SVGBackend,
    coord::Shift,
    drawing::{DrawingArea, IntoDrawingArea as _},
    style::WHITE,
};

/// Width and height of a picture in pixels.
const SIZE: (u32, u32) = (960, 480);
/// Margin around a chart in pixels.
pub const MARGIN: u32 = 16;
/// Room for the labels of the axes in pixels.
pub const LABEL_AREA: u32 = 52;
/// Size of the text in pixels.
pub const TEXT: u32 = 15;

/// The picture that is drawn on.
pub type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Why a plot could not be drawn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlotError(String);

impl fmt::Display for PlotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the plot cannot be drawn: {}", self.0)
    }
}

impl Error for PlotError {}

/// Returns what `draw` draws on a white picture, as SVG.
///
/// # Errors
/// [`PlotError`] if the library fails.
pub fn to_svg(
    draw: impl FnOnce(&Area<'_>) -> Result<(), Box<dyn Error>>,
) -> Result<String, PlotError> {
    let mut svg = String::new();
    let drawn = || -> Result<(), Box<dyn Error>> {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        draw(&area)?;
        Ok(area.present()?)
    };
    drawn().map_err(|error| PlotError(error.to_string()))?;
    Ok(svg)
}
