//! `sanddrum lab capacity` as a process: invalid plans, complete runs and interrupted runs.

use rstest::rstest;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// A temporary folder of one test, deleted on drop.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("sanddrum-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn capacity(folder: &Folder) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sanddrum"));
    command
        .args(["lab", "capacity", "--out"])
        .arg(folder.0.join("out"));
    command
}

fn read_results(folder: &Folder) -> serde_json::Value {
    serde_json::from_slice(&std::fs::read(folder.0.join("out/capacity.json")).unwrap()).unwrap()
}

#[rstest]
fn an_invalid_plan_is_rejected_before_anything_is_written() {
    let folder = Folder::new("capacity-bad");
    let plan = folder.0.join("plan.sx");
    let text = "(deployment) (workload \"w\") (function \"f-*\" (workload \"w\"))\n(router-plays (workers))";
    std::fs::write(&plan, text).unwrap();
    let output = capacity(&folder).arg(&plan).output().unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    assert!(
        stderr.contains("plan.sx:2:15: router-plays.workers: no size is named"),
        "{stderr}"
    );
    assert!(!folder.0.join("out").exists());
}

#[rstest]
fn the_short_plan_completes_and_writes_all_files() {
    let folder = Folder::new("capacity-short");
    let output = capacity(&folder)
        .arg("--short")
        .arg("--plots")
        .arg(folder.0.join("plots"))
        .output()
        .unwrap();
    let (stderr, stdout) = (
        String::from_utf8(output.stderr).unwrap(),
        String::from_utf8(output.stdout).unwrap(),
    );
    assert_eq!(output.status.code(), Some(0), "{stderr}");
    let results = read_results(&folder);
    assert_eq!(results["complete"], true);
    let slopes = results["slopes"].as_array().unwrap();
    for play in [
        "router among others, orders on",
        "real edge",
        "edge process",
        "many routers, calm",
    ] {
        assert!(slopes.iter().any(|slope| slope["play"] == play), "{play}");
    }
    assert!(slopes
        .iter()
        .any(|slope| slope["figure"] == "cold start, 99 in 100"));
    assert_eq!(stdout.lines().count(), slopes.len());
    let plot = folder
        .0
        .join("plots/router-processor-time-a-call-by-workers.svg");
    assert!(std::fs::read_to_string(plot).unwrap().starts_with("<svg"));
    for name in ["points.csv", "slopes.csv"] {
        let rows = std::fs::read_to_string(folder.0.join("out").join(name)).unwrap();
        let expected = results[name.trim_end_matches(".csv")]
            .as_array()
            .unwrap()
            .len();
        assert_eq!(rows.lines().count(), expected + 1, "{name}");
    }
}

#[rstest]
fn a_signal_stops_a_run_and_keeps_the_points_measured_so_far() {
    let folder = Folder::new("capacity-cut");
    let mut run = capacity(&folder)
        .args(["--only", "router"])
        .stderr(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn();
    let run = run.as_mut().unwrap();
    let progress = BufReader::new(run.stderr.take().unwrap());
    let mut points = progress
        .lines()
        .map(Result::unwrap)
        .filter(|line| line.contains("processor time a call"));
    points
        .next()
        .expect("a point is reported once it is measured");
    kill_process(Pid::from_child(run), Signal::INT).unwrap();
    points.for_each(drop);
    assert_eq!(run.wait().unwrap().code(), Some(1));
    let results = read_results(&folder);
    assert_eq!(results["complete"], false);
    assert!(!results["points"].as_array().unwrap().is_empty());
}
