//! What a figure does along its axis: a line, a power law, or neither.

use serde::Serialize;

/// Fewer points tell no slope.
const FEW_POINTS: usize = 3;
/// A figure that stays within this part of its mean counts as flat.
const FLAT: f64 = 0.05;
/// A fit that misses by more than this part of the figure, in the mean, is none.
const NO_FIT: f64 = 0.2;

/// What shape a slope has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Form {
    /// Fewer than three points.
    TooFew,
    /// The same at each size.
    Flat,
    Line,
    Power,
    /// Neither a line nor a power law comes near all points.
    Neither,
}

/// A slope's shape with both fits; residuals are relative: the root of the mean square of what a fit misses by, as a
/// part of the figure.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    pub shape: Form,
    /// `line.0 + line.1 * at`, fitted to relative misses, as sizes are decades apart.
    pub line: (f64, f64),
    pub line_residual: f64,
    /// `power.0 * at.powf(power.1)`, fitted to logarithms; none where a figure isn't above nought.
    pub power: Option<(f64, f64)>,
    pub power_residual: Option<f64>,
}

impl Fit {
    /// The residual of the shape that it has.
    pub fn residual(&self) -> f64 {
        match self.shape {
            Form::Power => self.power_residual.unwrap_or(self.line_residual),
            Form::Neither => self
                .line_residual
                .min(self.power_residual.unwrap_or(f64::INFINITY)),
            _ => self.line_residual,
        }
    }
    /// The slope in words, as `6.1 * at^0.48 (power law, residual 3 %)`.
    pub fn text(&self) -> String {
        let residual = self.residual() * 100.0;
        let (a, b) = self.line;
        match (self.shape, self.power) {
            (Form::TooFew, _) => "too few points for a slope".into(),
            (Form::Flat, _) => format!("flat at {} (residual {residual:.1} %)", figure(a)),
            (Form::Line, _) => {
                format!(
                    "{} + {} * at (line, residual {residual:.1} %)",
                    figure(a),
                    figure(b)
                )
            }
            (Form::Power, Some((c, k))) => {
                format!(
                    "{} * at^{k:.2} (power law, residual {residual:.1} %)",
                    figure(c)
                )
            }
            _ => format!("neither line nor power law (residual {residual:.0} %)"),
        }
    }
}

/// Four digits that count.
pub(crate) fn figure(n: f64) -> String {
    if n == 0.0 || !n.is_finite() {
        return n.to_string();
    }
    if n.abs() < 1e-4 {
        return format!("{n:.3e}");
    }
    let digits = (3 - n.abs().log10().floor() as i32).clamp(0, 9);
    format!("{n:.*}", digits as usize)
}

/// Fits points in the order of their axis.
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let line = line(points);
    let line_residual = residual(points, |at| line.0 + line.1 * at);
    let power = power(points);
    let power_residual = power.map(|(c, k)| residual(points, |at| c * at.powf(k)));
    let mut fit = Fit {
        shape: Form::TooFew,
        line,
        line_residual,
        power,
        power_residual,
    };
    if points.len() < FEW_POINTS {
        return fit;
    }
    let mean = points.iter().map(|p| p.1).sum::<f64>() / points.len() as f64;
    if points
        .iter()
        .all(|p| (p.1 - mean).abs() <= FLAT * mean.abs())
    {
        let line_residual = residual(points, |_| mean);
        return Fit {
            shape: Form::Flat,
            line: (mean, 0.0),
            line_residual,
            ..fit
        };
    }
    fit.shape = match power_residual {
        Some(power) if power < line_residual => Form::Power,
        _ => Form::Line,
    };
    if fit.residual() > NO_FIT {
        fit.shape = Form::Neither;
    }
    fit
}

fn residual(points: &[(f64, f64)], of: impl Fn(f64) -> f64) -> f64 {
    let misses = points
        .iter()
        .map(|(at, value)| miss(of(*at), *value).powi(2));
    (misses.sum::<f64>() / points.len().max(1) as f64).sqrt()
}

fn miss(fitted: f64, value: f64) -> f64 {
    if value == 0.0 {
        return if fitted == 0.0 { 0.0 } else { 1.0 };
    }
    (fitted - value) / value
}

/// The line with the least relative misses; a figure of nought weighs as the least of the others.
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
    // One size tells no slope; rounding leaves a little where all are the same.
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
