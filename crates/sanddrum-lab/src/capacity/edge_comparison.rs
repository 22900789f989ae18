//! Compares a real edge's core with a simulated router that gets the same requests, at sizes that suit both.

use super::decision_host::Decision;
use super::real_edge::{run_real_edge, simulated_fleet};
use super::simulated::RunStatus;
use super::{Plan, Point, Role, Sink, Source, Stop};
use crate::Scenario;
use std::time::{Duration, Instant};

/// A scenario with a single edge, the plan's request rate per router and the model's workers.
fn scenario(plan: &Plan, workers: u64) -> Result<Scenario, String> {
    let l = &plan.settings;
    let zones: Vec<String> = l
        .names("zones")
        .iter()
        .map(|zone| format!("{zone:?}"))
        .collect();
    let text = format!(
        r#"(deployment (name "beside") (zones {}))
(workload "call" (start-target {}us) (time-limit {}us) (effect restartable))
(function "f-*" (workload "call") (memory {}MB) (lanes {}))
(copies (keep-alive {}us) (on-miss {}))
(fleet (workers {workers}) (edges 1) (cores {}) (memory {}MB) (queue {}) (beat-every 1s))
(store (at-once 100000) (most 100000))
(traffic (length {}us) (rate {}) (functions 2000) (zipf {}) (retries 0))
(calls "call" (work {}us))"#,
        zones.join(" "),
        l.duration_us("workloads.0.start-target-us"),
        l.duration_us("workloads.0.time-limit-us"),
        l.number("functions.0.memory-mb"),
        l.integer("functions.0.lanes"),
        l.duration_us("copies.keep-alive-us"),
        l.text("copies.on-miss"),
        l.integer("model.cores"),
        l.number("model.memory-mb"),
        l.integer("model.queue"),
        l.duration_us("router-plays.length-us"),
        l.number("capacity.calls") / l.number("capacity.routers"),
        l.number("model.zipf"),
        l.duration_us("model.work-us"),
    );
    Scenario::read("beside.sx", &text, plan.seed).map_err(|e| e.to_string())
}

/// Runs a real edge and a simulated router at each size and checks that they make the same decisions.
///
/// # Errors
/// A scenario can't be set up, or the simulated router made different decisions.
pub(crate) fn run(plan: &Plan, sink: &mut Sink, stop: &Stop) -> Result<(), String> {
    for workers in plan.settings.integers("router-plays.real-workers") {
        if stop.is_set() {
            return Ok(());
        }
        sink.progress(&format!(
            "comparing a real edge with a simulated router, {workers} workers"
        ));
        let scenario = scenario(plan, workers)?;
        let observed = run_real_edge(scenario.clone())?;
        let mut fleet = simulated_fleet(&scenario, &observed)?;
        fleet.log = Some(Vec::new());
        let until = observed.decisions.last().map_or(0, |(at, _)| *at);
        let limit = Duration::from_micros(
            plan.settings.duration_us("capacity.time-a-point-us").max(0) as u64,
        );
        let status = fleet.run_until(until, Instant::now() + limit, stop);
        let log = fleet.log.take().unwrap_or_default();
        let same = |(simulated, real): &(&(i64, usize, Decision), &(i64, Decision))| {
            (simulated.0, &simulated.2) == (real.0, &real.1)
        };
        if let Some((simulated, real)) =
            log.iter().zip(&observed.decisions).find(|pair| !same(pair))
        {
            let (simulated, real) = ((simulated.0, &simulated.2), (real.0, &real.1));
            return Err(format!(
                "{workers} workers: the simulated router decided {simulated:?} where the edge decided {real:?}"
            ));
        }
        if status == RunStatus::Done && log.len() != observed.decisions.len() {
            let (simulated, real) = (log.len(), observed.decisions.len());
            return Err(format!(
                "{workers} workers: the simulated router made {simulated} decisions, the edge {real}"
            ));
        }
        let source = match status {
            RunStatus::Done => Source::Played,
            RunStatus::OutOfTime => Source::NotFinished,
            RunStatus::Stopped => return Ok(()),
        };
        let requests = observed.requests.len().max(1) as f64;
        let per_request = |predicate: fn(&Decision) -> bool| {
            observed
                .decisions
                .iter()
                .filter(|(_, decision)| predicate(decision))
                .count() as f64
                / requests
        };
        let counts = fleet.counts();
        let per_simulated_request = |n: u64| n as f64 / counts.requests.max(1) as f64;
        let load_queries = per_request(|d| matches!(d, Decision::Hold { copies: 0, .. }));
        let load_commands =
            per_request(|d| matches!(d, Decision::Hold { copies, .. } if *copies > 0));
        let health_checks = per_request(|d| matches!(d, Decision::Probe { .. }));
        let us_per_request = |nanoseconds: u64| nanoseconds as f64 / 1e3 / requests;
        let simulated_us = per_simulated_request(counts.nanoseconds) / 1e3;
        for (play, figure, unit, value) in [
            (
                "real edge",
                "processor time a call",
                "us",
                us_per_request(observed.edge_nanoseconds),
            ),
            (
                "real edge",
                "processor time a call, its module",
                "us",
                us_per_request(observed.module_nanoseconds),
            ),
            ("real edge", "asks a call", "", load_queries),
            ("real edge", "orders a call", "", load_commands),
            ("real edge", "probes a call", "", health_checks),
            (
                "hollow, the same calls",
                "processor time a call, its module",
                "us",
                simulated_us,
            ),
            (
                "hollow, the same calls",
                "asks a call",
                "",
                per_simulated_request(counts.load_queries),
            ),
            (
                "hollow, the same calls",
                "orders a call",
                "",
                per_simulated_request(counts.load_commands),
            ),
            (
                "hollow, the same calls",
                "probes a call",
                "",
                per_simulated_request(counts.health_checks),
            ),
        ] {
            sink.point(Point {
                role: Role::Router,
                play: play.into(),
                figure: figure.into(),
                unit,
                axis: "workers",
                at: workers as f64,
                value,
                source: if play == "real edge" {
                    Source::Played
                } else {
                    source
                },
            })?;
        }
    }
    Ok(())
}
