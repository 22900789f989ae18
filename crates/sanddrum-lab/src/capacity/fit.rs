//! Fits a line and a power law to the points of a slope.

use serde::Serialize;

/// A slope needs at least this many points.
const MIN_POINTS: usize = 3;
/// A slope is flat if all values are within this fraction of their mean.
const FLAT_TOLERANCE: f64 = 0.05;
/// A fit with a larger relative residual is rejected.
const MAX_RESIDUAL: f64 = 0.2;

/// The shape of a slope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FitShape {
    /// Fewer than three points.
    TooFew,
    /// Nearly the same value at each size.
    Flat,
    Line,
    Power,
    /// Neither a line nor a power law fits the points.
    Neither,
}

/// The shape of a slope and both fits. Residuals are root mean squares of the relative errors.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    pub shape: FitShape,
    /// `line.0 + line.1 * at`. Minimizes relative errors, because sizes are decades apart.
    pub line: (f64, f64),
    pub line_residual: f64,
    /// `power.0 * at.powf(power.1)`, fitted to logarithms; `None` unless all positions and values are above zero.
    pub power: Option<(f64, f64)>,
    pub power_residual: Option<f64>,
}

impl Fit {
    /// The residual of the chosen shape; of the better fit if neither was chosen.
    pub fn residual(&self) -> f64 {
        match self.shape {
            FitShape::Power => self.power_residual.unwrap_or(self.line_residual),
            FitShape::Neither => self
                .line_residual
                .min(self.power_residual.unwrap_or(f64::INFINITY)),
            _ => self.line_residual,
        }
    }
    /// The slope in words, for example `6.1 * at^0.48 (power law, residual 3.0 %)`.
    pub fn text(&self) -> String {
        let residual = self.residual() * 100.0;
        let (a, b) = self.line;
        match (self.shape, self.power) {
            (FitShape::TooFew, _) => "too few points for a slope".into(),
            (FitShape::Flat, _) => {
                format!("flat at {} (residual {residual:.1} %)", format_value(a))
            }
            (FitShape::Line, _) => {
                format!(
                    "{} + {} * at (line, residual {residual:.1} %)",
                    format_value(a),
                    format_value(b)
                )
            }
            (FitShape::Power, Some((c, k))) => {
                format!(
                    "{} * at^{k:.2} (power law, residual {residual:.1} %)",
                    format_value(c)
                )
            }
            _ => format!("neither line nor power law (residual {residual:.0} %)"),
        }
    }
}

/// Formats a number with four significant digits.
pub(crate) fn format_value(n: f64) -> String {
    if n == 0.0 || !n.is_finite() {
        return n.to_string();
    }
    if n.abs() < 1e-4 {
        return format!("{n:.3e}");
    }
    let digits = (3 - n.abs().log10().floor() as i32).clamp(0, 9);
    format!("{n:.*}", digits as usize)
}

/// Fits the points of a slope.
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let line = line(points);
    let line_residual = residual(points, |at| line.0 + line.1 * at);
    let power = power(points);
    let power_residual = power.map(|(c, k)| residual(points, |at| c * at.powf(k)));
    let mut fit = Fit {
        shape: FitShape::TooFew,
        line,
        line_residual,
        power,
        power_residual,
    };
    if points.len() < MIN_POINTS {
        return fit;
    }
    let mean = points.iter().map(|p| p.1).sum::<f64>() / points.len() as f64;
    if points
        .iter()
        .all(|p| (p.1 - mean).abs() <= FLAT_TOLERANCE * mean.abs())
    {
        let line_residual = residual(points, |_| mean);
        return Fit {
            shape: FitShape::Flat,
            line: (mean, 0.0),
            line_residual,
            ..fit
        };
    }
    fit.shape = match power_residual {
        Some(power) if power < line_residual => FitShape::Power,
        _ => FitShape::Line,
    };
    if fit.residual() > MAX_RESIDUAL {
        fit.shape = FitShape::Neither;
    }
    fit
}

fn residual(points: &[(f64, f64)], of: impl Fn(f64) -> f64) -> f64 {
    let squares = points
        .iter()
        .map(|(at, value)| relative_error(of(*at), *value).powi(2));
    (squares.sum::<f64>() / points.len().max(1) as f64).sqrt()
}

fn relative_error(fitted: f64, value: f64) -> f64 {
    if value == 0.0 {
        return if fitted == 0.0 { 0.0 } else { 1.0 };
    }
    (fitted - value) / value
}

/// The line with the least relative errors; a zero has the weight of the smallest nonzero value.
fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let least = points
        .iter()
        .map(|p| p.1.abs())
        .filter(|v| *v > 0.0)
        .fold(f64::MAX, f64::min);
    let weight = |value: f64| {
        1.0 / value
            .abs()
            .max(least.min(1e300))
            .max(f64::MIN_POSITIVE)
            .powi(2)
    };
    if least == f64::MAX {
        return (0.0, 0.0);
    }
    let sum =
        |of: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(|p| weight(p.1) * of(p)).sum::<f64>();
    let (w, x, y) = (sum(&|_| 1.0), sum(&|p| p.0), sum(&|p| p.1));
    let (xx, xy) = (sum(&|p| p.0 * p.0), sum(&|p| p.0 * p.1));
    let spread = w * xx - x * x;
    // A single size has no slope. The threshold allows for rounding where all positions are equal.
    if spread <= 1e-12 * w * xx {
        return (y / w, 0.0);
    }
    let b = (w * xy - x * y) / spread;
    ((y - b * x) / w, b)
}

fn power(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    if points.len() < 2 || points.iter().any(|(at, value)| *at <= 0.0 || *value <= 0.0) {
        return None;
    }
    let logs: Vec<(f64, f64)> = points
        .iter()
        .map(|(at, value)| (at.ln(), value.ln()))
        .collect();
    let n = logs.len() as f64;
    let (x, y) = (
        logs.iter().map(|p| p.0).sum::<f64>() / n,
        logs.iter().map(|p| p.1).sum::<f64>() / n,
    );
    let spread: f64 = logs.iter().map(|p| (p.0 - x).powi(2)).sum();
    let k = logs.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / spread;
    (spread > 1e-12).then(|| ((y - k * x).exp(), k))
}
