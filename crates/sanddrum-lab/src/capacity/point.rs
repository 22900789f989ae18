//! Measured points, and the slopes fitted to them.

use super::fit::{fit, Fit};
use serde::Serialize;

/// The part of the deployment whose cost a point measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    Router,
    Worker,
    Store,
    ListService,
    Configuration,
    StartTarget,
}

/// Where the value of a point comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// Measured in a benchmark run.
    Played,
    /// Computed from the counters of other runs.
    WorkedOut,
    /// The run exceeded its limit on real time; the value covers the part measured until then and is left out of
    /// slopes.
    NotFinished,
}

/// The value of one figure at one size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Point {
    pub role: Role,
    /// The benchmark run, for example `router among others, orders off`.
    pub play: String,
    /// What was measured, for example `processor time a call`.
    pub figure: String,
    /// The unit of the value, for example `us`.
    pub unit: &'static str,
    /// The quantity that is varied, for example `workers`.
    pub axis: &'static str,
    /// The position on the axis.
    pub at: f64,
    pub value: f64,
    pub source: Source,
}

/// The values of one figure along its axis, and their fit.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    pub role: Role,
    pub play: String,
    pub figure: String,
    pub unit: &'static str,
    pub axis: &'static str,
    /// Position and value, sorted by position; the mean where a size was measured several times.
    pub points: Vec<(f64, f64)>,
    /// Position and partial value of the sizes that were not finished.
    pub not_finished: Vec<(f64, f64)>,
    pub worked_out: bool,
    pub fit: Fit,
}

/// Groups points of the same role, play, figure, axis and unit into slopes, in the order of their first point.
pub fn slopes(points: &[Point]) -> Vec<Slope> {
    let mut slopes: Vec<Slope> = Vec::new();
    for p in points {
        let same = |s: &Slope| {
            (s.role, &s.play, &s.figure, s.axis, s.unit)
                == (p.role, &p.play, &p.figure, p.axis, p.unit)
        };
        let n = slopes.iter().position(same).unwrap_or_else(|| {
            slopes.push(Slope {
                role: p.role,
                play: p.play.clone(),
                figure: p.figure.clone(),
                unit: p.unit,
                axis: p.axis,
                points: Vec::new(),
                not_finished: Vec::new(),
                worked_out: false,
                fit: fit(&[]),
            });
            slopes.len() - 1
        });
        let slope = &mut slopes[n];
        slope.worked_out |= p.source == Source::WorkedOut;
        match p.source {
            Source::NotFinished => slope.not_finished.push((p.at, p.value)),
            _ => slope.points.push((p.at, p.value)),
        }
    }
    for slope in &mut slopes {
        slope.points = means(std::mem::take(&mut slope.points));
        slope.fit = fit(&slope.points);
    }
    slopes
}

fn means(mut points: Vec<(f64, f64)>) -> Vec<(f64, f64)> {
    points.sort_by(|a, b| a.0.total_cmp(&b.0));
    let groups = points.chunk_by(|a, b| a.0 == b.0);
    groups
        .map(|g| (g[0].0, g.iter().map(|p| p.1).sum::<f64>() / g.len() as f64))
        .collect()
}
