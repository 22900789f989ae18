//! One measured figure, and the slopes that several of them make.

use super::fit::{fit, Fit};
use serde::Serialize;

/// Whose cost it is.
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

/// Where a figure comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// Measured in a play.
    Played,
    /// Worked out from the counters of other plays.
    WorkedOut,
    /// The play passed its bound on real time: what was measured until then. Left out of slopes.
    NotFinished,
}

/// One figure at one size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Point {
    pub role: Role,
    /// Which play, as `router alone, orders off`.
    pub play: String,
    /// What was measured, as `processor time a call`.
    pub figure: String,
    /// Its unit, as `us`.
    pub unit: &'static str,
    /// What grows along the slope, as `workers`.
    pub axis: &'static str,
    /// How many of them.
    pub at: f64,
    pub value: f64,
    pub source: Source,
}

/// A figure over its axis.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    pub role: Role,
    pub play: String,
    pub figure: String,
    pub unit: &'static str,
    pub axis: &'static str,
    /// Where and what, in the order of the axis; the mean where a size was measured several times.
    pub points: Vec<(f64, f64)>,
    /// Sizes that were not finished, with what was measured until then.
    pub not_finished: Vec<(f64, f64)>,
    pub worked_out: bool,
    pub fit: Fit,
}

/// Points of one role, play, figure and axis make a slope, in the order they first came.
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
