//! Plots as SVG files.

use std::path::Path;

use derive_more::{Display, Error};
use plotters::prelude::*;

/// Width and height of a plot.
const SIZE_PX: (u32, u32) = (960, 540);

/// Space between two groups of bars, as a fraction of the width of a group.
const GROUP_GAP: f64 = 0.2;

/// A plot could not be drawn or written.
#[derive(Debug, Display, Error)]
#[display("drawing the plot: {reason}")]
pub struct Error {
    /// Message of the plotting library.
    #[error(not(source))]
    reason: String,
}

impl<E: std::error::Error + Send + Sync> From<DrawingAreaErrorKind<E>> for Error {
    fn from(e: DrawingAreaErrorKind<E>) -> Self {
        Self { reason: e.to_string() }
    }
}

/// A bar chart with groups of bars.
#[derive(Clone, Debug)]
pub struct Bars {
    /// Title of the plot.
    pub title: String,
    /// Label of the vertical axis.
    pub unit: String,
    /// Names of the bars of each group.
    pub names: Vec<String>,
    /// Groups by name, each with one value for each entry of `names`.
    pub groups: Vec<(String, Vec<f64>)>,
}

/// A line chart.
#[derive(Clone, Debug)]
pub struct Lines {
    /// Title of the plot.
    pub title: String,
    /// Labels of the horizontal and the vertical axis.
    pub units: (String, String),
    /// Points of each line, by name.
    pub lines: Vec<(String, Vec<(f64, f64)>)>,
}

/// One row of [`Bands`].
#[derive(Clone, Debug)]
pub struct Band {
    /// Label of the row.
    pub name: String,
    /// Start and end of the band on the horizontal axis.
    pub span: (f64, f64),
    /// Index of the group; rows of one group have the same colour.
    pub group: usize,
}

/// A chart of horizontal bands, the first row at the top.
#[derive(Clone, Debug)]
pub struct Bands {
    /// Title of the plot.
    pub title: String,
    /// Label of the horizontal axis.
    pub unit: String,
    /// Rows from top to bottom.
    pub rows: Vec<Band>,
}

/// Height of a row of bands.
const ROW_HEIGHT_PX: u32 = 16;

/// Draws bands into an SVG file.
pub fn bands(path: &Path, bands: &Bands) -> Result<(), Error> {
    let count = bands.rows.len();
    let height =
        u32::try_from(count).unwrap_or(u32::MAX / ROW_HEIGHT_PX - 120) * ROW_HEIGHT_PX + 120;
    let area = SVGBackend::new(path, (SIZE_PX.0, height)).into_drawing_area();
    area.fill(&WHITE)?;
    let right = bands.rows.iter().map(|b| b.span.1).fold(f64::MIN_POSITIVE, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(&bands.title, ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(140)
        .build_cartesian_2d(0.0..right, count as f64..0.0)?;
    let label = |y: &f64| match bands.rows.get(*y as usize) {
        Some(band) if (y.fract() - 0.5).abs() < 0.01 => band.name.clone(),
        _ => String::new(),
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(count * 2 + 1)
        .y_label_formatter(&label)
        .x_desc(&bands.unit)
        .draw()?;
    let rectangles = bands.rows.iter().enumerate().map(|(row, band)| {
        let color = Palette99::pick(band.group).to_rgba();
        let (top, bottom) = (row as f64 + 0.1, row as f64 + 0.9);
        Rectangle::new([(band.span.0, top), (band.span.1, bottom)], color.filled())
    });
    chart.draw_series(rectangles)?;
    area.present()?;
    Ok(())
}

/// Draws bars into an SVG file.
pub fn bars(path: &Path, bars: &Bars) -> Result<(), Error> {
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let values = bars.groups.iter().flat_map(|(_, values)| values);
    let top = values.copied().fold(0.0, f64::max).max(f64::MIN_POSITIVE) * 1.1;
    let count = bars.groups.len();
    let mut chart = ChartBuilder::on(&area)
        .caption(&bars.title, ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..count as f64, 0.0..top)?;
    let label = |x: &f64| match bars.groups.get(*x as usize) {
        Some((name, _)) if (x.fract() - 0.5).abs() < 0.01 => name.clone(),
        _ => String::new(),
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(count * 2 + 1)
        .x_label_formatter(&label)
        .y_desc(&bars.unit)
        .draw()?;
    let width = (1.0 - GROUP_GAP) / bars.names.len().max(1) as f64;
    for (index, name) in bars.names.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let rectangles = bars.groups.iter().enumerate().map(|(group, (_, values))| {
            let left = group as f64 + GROUP_GAP / 2.0 + index as f64 * width;
            let height = values.get(index).copied().unwrap_or_default();
            Rectangle::new([(left, 0.0), (left + width, height)], color.filled())
        });
        chart
            .draw_series(rectangles)?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled()));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

/// Draws lines into an SVG file.
pub fn lines(path: &Path, lines: &Lines) -> Result<(), Error> {
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let points = || lines.lines.iter().flat_map(|(_, points)| points);
    let right = points().map(|(x, _)| *x).fold(f64::MIN_POSITIVE, f64::max) * 1.05;
    let top = points().map(|(_, y)| *y).fold(f64::MIN_POSITIVE, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(&area)
        .caption(&lines.title, ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(&lines.units.0).y_desc(&lines.units.1).draw()?;
    for (index, (name, points)) in lines.lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 12, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
