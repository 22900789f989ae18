//! Charts of the slopes: one per figure with a line per run, over the logarithm of the axis.

use super::point::{slopes, Point, Slope};
use crate::plots::{write_line_chart, Series};
use std::collections::BTreeMap;
use std::path::Path;

/// Draws a chart of each figure with at least two points into the folder, for example
/// `router-asks-a-call-by-workers.svg`.
///
/// # Errors
/// A file can't be written.
pub fn draw(folder: &Path, points: &[Point]) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let slopes = slopes(points);
    let mut figures: BTreeMap<String, Vec<&Slope>> = BTreeMap::new();
    for slope in &slopes {
        let name = format!("{:?} {} by {}", slope.role, slope.figure, slope.axis);
        figures.entry(name).or_default().push(slope);
    }
    for (name, slopes) in figures {
        let line = |slope: &&Slope| {
            let above = slope.points.iter().filter(|(at, _)| *at > 0.0);
            let points: Vec<(f64, f64)> = above.map(|(at, value)| (at.log10(), *value)).collect();
            (points.len() > 1).then(|| Series {
                name: slope.play.clone(),
                points,
            })
        };
        let all: Vec<Series> = slopes.iter().filter_map(line).collect();
        if all.is_empty() {
            continue;
        }
        let letter = |c: char| {
            if c.is_ascii_alphanumeric() {
                c.to_ascii_lowercase()
            } else {
                '-'
            }
        };
        let words: String = name.chars().map(letter).collect();
        let words: Vec<&str> = words.split('-').filter(|word| !word.is_empty()).collect();
        let first = slopes[0];
        let file = folder.join(format!("{}.svg", words.join("-")));
        write_line_chart(
            &file,
            &name,
            (&format!("log10 of {}", first.axis), first.unit),
            &all,
        )?;
    }
    Ok(())
}
