//! Figures over time as self-contained SVG pictures.

use plotters::prelude::*;
use std::path::Path;

/// A named line through points.
#[derive(Clone, Debug)]
pub struct Line {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

/// Draws lines into a file.
///
/// # Errors
/// The file can't be written, or there is nothing to draw.
pub fn lines(file: &Path, title: &str, axes: (&str, &str), all: &[Line]) -> Result<(), String> {
    let told = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
    let svg = svg(title, axes, all).map_err(|e| told(&e))?;
    std::fs::write(file, svg).map_err(|e| told(&e))
}

/// Draws lines; the text of the picture.
///
/// # Errors
/// There is nothing to draw.
pub fn svg(title: &str, (x, y): (&str, &str), all: &[Line]) -> Result<String, String> {
    let told = |e: &dyn std::fmt::Display| e.to_string();
    let points = || all.iter().flat_map(|line| &line.points);
    let most = |of: &dyn Fn(&(f64, f64)) -> f64| points().map(of).fold(f64::MIN, f64::max);
    let least_x = points().map(|p| p.0).fold(f64::MAX, f64::min);
    let (most_x, most_y) = (most(&|p| p.0), most(&|p| p.1));
    if most_x <= least_x {
        return Err("there are not two points to draw".into());
    }
    let mut text = String::new();
    let area = SVGBackend::with_string(&mut text, (760, 420)).into_drawing_area();
    area.fill(&WHITE).map_err(|e| told(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(38)
        .y_label_area_size(56)
        .build_cartesian_2d(least_x..most_x, 0.0..most_y.max(f64::MIN_POSITIVE) * 1.05)
        .map_err(|e| told(&e))?;
    chart
        .configure_mesh()
        .x_desc(x)
        .y_desc(y)
        .light_line_style(WHITE)
        .draw()
        .map_err(|e| told(&e))?;
    for (n, line) in all.iter().enumerate() {
        let colour = Palette99::pick(n).stroke_width(2);
        let series = LineSeries::new(line.points.iter().copied(), colour);
        let drawn = chart.draw_series(series).map_err(|e| told(&e))?;
        drawn.label(&line.name).legend(move |(x, y)| {
            PathElement::new([(x, y), (x + 18, y)], Palette99::pick(n).stroke_width(2))
        });
    }
    chart
        .configure_series_labels()
        .border_style(BLACK.mix(0.3))
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(|e| told(&e))?;
    area.present().map_err(|e| told(&e))?;
    drop(chart);
    drop(area);
    Ok(text)
}
