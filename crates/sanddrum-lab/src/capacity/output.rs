//! The files that a run leaves: all in one JSON file, and points and slopes as CSV. Each is written beside itself and
//! renamed, so that there is a whole one at any time.

use super::fit::figure;
use super::point::{slopes, Point, Slope};
use serde::Serialize;
use std::path::{Path, PathBuf};

/// What was measured, with what.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// All that was asked for was measured; a run that was cut short leaves `false`.
    pub complete: bool,
    pub plan: String,
    pub seed: u64,
    pub points: Vec<Point>,
}

#[derive(Serialize)]
struct Machine {
    processors: usize,
    memory_bytes: u64,
}

#[derive(Serialize)]
struct Whole<'a> {
    complete: bool,
    seed: u64,
    machine: Machine,
    plan: &'a str,
    slopes: &'a [Slope],
    points: &'a [Point],
}

#[derive(Serialize)]
struct Row<'a> {
    role: super::Role,
    play: &'a str,
    figure: &'a str,
    unit: &'a str,
    axis: &'a str,
    points: String,
    not_finished: String,
    worked_out: bool,
    shape: super::Form,
    line_at_nought: f64,
    line_slope: f64,
    line_residual: f64,
    power_factor: Option<f64>,
    power_exponent: Option<f64>,
    power_residual: Option<f64>,
}

impl Summary {
    /// All slopes, one a line, for people.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for s in slopes(&self.points) {
            let each = |points: &[(f64, f64)]| {
                let each = points
                    .iter()
                    .map(|(at, value)| format!("{}: {}", figure(*at), figure(*value)));
                each.collect::<Vec<_>>().join(", ")
            };
            let cut = match s.not_finished.is_empty() {
                true => String::new(),
                false => format!("; not finished {}", each(&s.not_finished)),
            };
            let worked_out = if s.worked_out { "; worked out" } else { "" };
            text.push_str(&format!(
                "{:?} | {} | {} [{}] by {} | {}{cut}{worked_out} | {}\n",
                s.role,
                s.play,
                s.figure,
                s.unit,
                s.axis,
                each(&s.points),
                s.fit.text()
            ));
        }
        text
    }
}

/// The folder that a run's files go to.
#[derive(Clone, Debug)]
pub struct Output {
    folder: PathBuf,
}

/// The file that has all.
pub const WHOLE: &str = "capacity.json";

impl Output {
    /// Makes the folder.
    ///
    /// # Errors
    /// It can't be made.
    pub fn new(folder: &Path) -> Result<Self, String> {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        Ok(Output {
            folder: folder.to_path_buf(),
        })
    }
    pub(crate) fn write(&self, summary: &Summary) -> Result<(), String> {
        let slopes = slopes(&summary.points);
        let whole = Whole {
            complete: summary.complete,
            seed: summary.seed,
            machine: Machine {
                processors: std::thread::available_parallelism().map_or(1, usize::from),
                memory_bytes: super::Memory::of_machine().map_or(0, |memory| memory.total),
            },
            plan: &summary.plan,
            slopes: &slopes,
            points: &summary.points,
        };
        let json = serde_json::to_vec_pretty(&whole).map_err(|e| e.to_string())?;
        self.replace(WHOLE, &json)?;
        self.replace("points.csv", &csv(&summary.points)?)?;
        let rows: Vec<Row> = slopes.iter().map(row).collect();
        self.replace("slopes.csv", &csv(&rows)?)
    }
    fn replace(&self, name: &str, bytes: &[u8]) -> Result<(), String> {
        let (beside, file) = (
            self.folder.join(format!("{name}.new")),
            self.folder.join(name),
        );
        let written = std::fs::write(&beside, bytes).and_then(|()| std::fs::rename(&beside, &file));
        written.map_err(|e| format!("{}: {e}", file.display()))
    }
}

fn row(s: &Slope) -> Row<'_> {
    let each = |points: &[(f64, f64)]| {
        points
            .iter()
            .map(|(at, value)| format!("{at}={value}"))
            .collect::<Vec<_>>()
            .join(" ")
    };
    Row {
        role: s.role,
        play: &s.play,
        figure: &s.figure,
        unit: s.unit,
        axis: s.axis,
        points: each(&s.points),
        not_finished: each(&s.not_finished),
        worked_out: s.worked_out,
        shape: s.fit.shape,
        line_at_nought: s.fit.line.0,
        line_slope: s.fit.line.1,
        line_residual: s.fit.line_residual,
        power_factor: s.fit.power.map(|(c, _)| c),
        power_exponent: s.fit.power.map(|(_, k)| k),
        power_residual: s.fit.power_residual,
    }
}

fn csv<T: Serialize>(rows: &[T]) -> Result<Vec<u8>, String> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    for row in rows {
        writer.serialize(row).map_err(|e| e.to_string())?;
    }
    writer.into_inner().map_err(|e| e.to_string())
}
