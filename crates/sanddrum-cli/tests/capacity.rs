//! `sanddrum lab capacity` as a process: bad plans, and a run that is cut short.

use rstest::rstest;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// A folder of this test's own that goes with it.
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

fn written(folder: &Folder) -> serde_json::Value {
    serde_json::from_slice(&std::fs::read(folder.0.join("out/capacity.json")).unwrap()).unwrap()
}

#[rstest]
fn a_plan_that_cannot_be_is_refused_before_anything_is_written() {
    let folder = Folder::new("capacity-bad");
    let plan = folder.0.join("plan.sx");
    let text = "(deployment) (workload \"w\") (function \"f-*\" (workload \"w\"))\n(router-plays (workers))";
    std::fs::write(&plan, text).unwrap();
    let ran = capacity(&folder).arg(&plan).output().unwrap();
    let told = String::from_utf8(ran.stderr).unwrap();
    assert_eq!(ran.status.code(), Some(2), "{told}");
    assert!(
        told.contains("plan.sx:2:15: router-plays.workers: no size is named"),
        "{told}"
    );
    assert!(!folder.0.join("out").exists());
}

#[rstest]
fn the_short_plan_runs_to_its_end_and_leaves_all_files() {
    let folder = Folder::new("capacity-short");
    let ran = capacity(&folder)
        .arg("--short")
        .arg("--plots")
        .arg(folder.0.join("plots"))
        .output()
        .unwrap();
    let (told, text) = (
        String::from_utf8(ran.stderr).unwrap(),
        String::from_utf8(ran.stdout).unwrap(),
    );
    assert_eq!(ran.status.code(), Some(0), "{told}");
    let written = written(&folder);
    assert_eq!(written["complete"], true);
    let slopes = written["slopes"].as_array().unwrap();
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
    assert_eq!(text.lines().count(), slopes.len());
    let picture = folder
        .0
        .join("plots/router-processor-time-a-call-by-workers.svg");
    assert!(std::fs::read_to_string(picture)
        .unwrap()
        .starts_with("<svg"));
    for name in ["points.csv", "slopes.csv"] {
        let rows = std::fs::read_to_string(folder.0.join("out").join(name)).unwrap();
        let wanted = written[name.trim_end_matches(".csv")]
            .as_array()
            .unwrap()
            .len();
        assert_eq!(rows.lines().count(), wanted + 1, "{name}");
    }
}

#[rstest]
fn a_signal_cuts_a_run_short_and_leaves_what_was_measured() {
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
    points.next().expect("a point is told once it is measured");
    kill_process(Pid::from_child(run), Signal::INT).unwrap();
    points.for_each(drop);
    assert_eq!(run.wait().unwrap().code(), Some(1));
    let written = written(&folder);
    assert_eq!(written["complete"], false);
    assert!(!written["points"].as_array().unwrap().is_empty());
}
