//! Line charts as self-contained SVG images.

use plotters::prelude::*;
use std::path::Path;

/// A named series of points, drawn as a line.
#[derive(Clone, Debug)]
pub struct Series {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

/// Writes a line chart to an SVG file.
///
/// # Errors
/// The file can't be written, or the points don't span a range of x values.
pub fn write_line_chart(
    file: &Path,
    title: &str,
    axes: (&str, &str),
    series: &[Series],
) -> Result<(), String> {
    let error_text = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
    let svg = line_chart_svg(title, axes, series).map_err(|e| error_text(&e))?;
    std::fs::write(file, svg).map_err(|e| error_text(&e))
}

/// Draws a line chart and returns it as SVG text.
///
/// # Errors
/// The points don't span a range of x values.
pub fn line_chart_svg(
    title: &str,
    (x, y): (&str, &str),
    series: &[Series],
) -> Result<String, String> {
    let error_text = |e: &dyn std::fmt::Display| e.to_string();
    let points = || series.iter().flat_map(|series| &series.points);
    let max_of = |of: &dyn Fn(&(f64, f64)) -> f64| points().map(of).fold(f64::MIN, f64::max);
    let min_x = points().map(|p| p.0).fold(f64::MAX, f64::min);
    let (max_x, max_y) = (max_of(&|p| p.0), max_of(&|p| p.1));
    if max_x <= min_x {
        return Err("a line chart needs points with at least two different x values".into());
    }
    let mut text = String::new();
    let area = SVGBackend::with_string(&mut text, (760, 420)).into_drawing_area();
    area.fill(&WHITE).map_err(|e| error_text(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(38)
        .y_label_area_size(56)
        .build_cartesian_2d(min_x..max_x, 0.0..max_y.max(f64::MIN_POSITIVE) * 1.05)
        .map_err(|e| error_text(&e))?;
    chart
        .configure_mesh()
        .x_desc(x)
        .y_desc(y)
        .light_line_style(WHITE)
        .draw()
        .map_err(|e| error_text(&e))?;
    for (n, series) in series.iter().enumerate() {
        let colour = Palette99::pick(n).stroke_width(2);
        let line_series = LineSeries::new(series.points.iter().copied(), colour);
        let drawn = chart.draw_series(line_series).map_err(|e| error_text(&e))?;
        drawn.label(&series.name).legend(move |(x, y)| {
            PathElement::new([(x, y), (x + 18, y)], Palette99::pick(n).stroke_width(2))
        });
    }
    chart
        .configure_series_labels()
        .border_style(BLACK.mix(0.3))
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(|e| error_text(&e))?;
    area.present().map_err(|e| error_text(&e))?;
    drop(chart);
    drop(area);
    Ok(text)
}
