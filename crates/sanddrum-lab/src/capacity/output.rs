//! The result files of a run: a JSON file with all results, and CSV files of points and slopes. Each file is written
//! under a temporary name and renamed, so that a complete file exists at any time.

use super::fit::format_value;
use super::point::{slopes, Point, Slope};
use serde::Serialize;
use std::path::{Path, PathBuf};

/// The results of a run, with the plan and the seed that produced them.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Everything that was requested has been measured; `false` after an interrupted run.
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
struct Results<'a> {
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
    shape: super::FitShape,
    line_at_nought: f64,
    line_slope: f64,
    line_residual: f64,
    power_factor: Option<f64>,
    power_exponent: Option<f64>,
    power_residual: Option<f64>,
}

impl Summary {
    /// A human-readable table of all slopes, one per line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for s in slopes(&self.points) {
            let each = |points: &[(f64, f64)]| {
                let each = points
                    .iter()
                    .map(|(at, value)| format!("{}: {}", format_value(*at), format_value(*value)));
                each.collect::<Vec<_>>().join(", ")
            };
            let not_finished = match s.not_finished.is_empty() {
                true => String::new(),
                false => format!("; not finished {}", each(&s.not_finished)),
            };
            let worked_out = if s.worked_out { "; worked out" } else { "" };
            text.push_str(&format!(
                "{:?} | {} | {} [{}] by {} | {}{not_finished}{worked_out} | {}\n",
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

/// The folder of the result files.
#[derive(Clone, Debug)]
pub struct Output {
    folder: PathBuf,
}

/// The file with all results.
pub const RESULTS_FILE: &str = "capacity.json";

impl Output {
    /// Creates the folder if it doesn't exist.
    ///
    /// # Errors
    /// The folder can't be created.
    pub fn new(folder: &Path) -> Result<Self, String> {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        Ok(Output {
            folder: folder.to_path_buf(),
        })
    }
    pub(crate) fn write(&self, summary: &Summary) -> Result<(), String> {
        let slopes = slopes(&summary.points);
        let results = Results {
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
        let json = serde_json::to_vec_pretty(&results).map_err(|e| e.to_string())?;
        self.replace(RESULTS_FILE, &json)?;
        self.replace("points.csv", &csv(&summary.points)?)?;
        let rows: Vec<Row> = slopes.iter().map(row).collect();
        self.replace("slopes.csv", &csv(&rows)?)
    }
    fn replace(&self, name: &str, bytes: &[u8]) -> Result<(), String> {
        let (temporary, file) = (
            self.folder.join(format!("{name}.new")),
            self.folder.join(name),
        );
        let written =
            std::fs::write(&temporary, bytes).and_then(|()| std::fs::rename(&temporary, &file));
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
