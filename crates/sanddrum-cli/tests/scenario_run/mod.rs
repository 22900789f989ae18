//! Runs a scenario with `sanddrum lab`, in virtual time or with each component as a process, and returns the outcome.

use serde_json::Value;
use std::path::PathBuf;
use std::process::{Command, Stdio};

pub struct ScenarioRun {
    pub exit: Option<i32>,
    pub summary: Value,
    pub text: String,
}

impl ScenarioRun {
    /// Fraction of the requests sent within these seconds that were answered in time.
    #[allow(dead_code)] // not used by every test that includes this module
    pub fn in_time_fraction(&self, seconds: std::ops::Range<usize>) -> f64 {
        let sums = seconds.fold((0, 0), |(sent, in_time), n| {
            let second = &self.summary["seconds"][n];
            (
                sent + second[0].as_u64().unwrap_or(0),
                in_time + second[1].as_u64().unwrap_or(0),
            )
        });
        sums.1 as f64 / (sums.0 as f64).max(1.0)
    }
    /// Number of requests sent within these seconds and answered in time.
    #[allow(dead_code)] // not used by every test that includes this module
    pub fn in_time(&self, seconds: std::ops::Range<usize>) -> u64 {
        seconds
            .filter_map(|n| self.summary["seconds"][n][1].as_u64())
            .sum()
    }
    /// Executions on workers for each finished request.
    #[allow(dead_code)] // not used by every test that includes this module
    pub fn executions_per_request(&self) -> f64 {
        self.summary["whole"]["for_each_finished"]["executions"]
            .as_f64()
            .unwrap_or(f64::MAX)
    }
}

struct Folder(PathBuf);
impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs a scenario; `command` is a subcommand of `sanddrum lab` with its arguments.
pub fn run_scenario(name: &str, scenario: &str, command: &[&str]) -> ScenarioRun {
    let folder =
        Folder(std::env::temp_dir().join(format!("sanddrum-fleet-{name}-{}", std::process::id())));
    std::fs::create_dir_all(&folder.0).unwrap();
    let file = folder.0.join("scenario.sx");
    std::fs::write(&file, scenario).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_sanddrum"))
        .args(["lab"])
        .args(&command[..1])
        .arg(&file)
        .args(&command[1..])
        .args(["--json", "--log", "off", "--seed", "5"])
        .stdin(Stdio::null())
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let summary = serde_json::from_str(text.lines().last().unwrap_or_default()).unwrap_or_default();
    let text = text + &String::from_utf8_lossy(&output.stderr);
    ScenarioRun {
        exit: output.status.code(),
        summary,
        text,
    }
}
