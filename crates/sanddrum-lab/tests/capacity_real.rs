//! Runs a scenario with a real edge and with a simulated router, which must make the same decisions.

use rstest::rstest;
use sanddrum_lab::capacity::decision_host::Decision;
use sanddrum_lab::capacity::real_edge::{run_real_edge, simulated_fleet};
use sanddrum_lab::capacity::simulated::RunStatus;
use sanddrum_lab::capacity::Stop;
use sanddrum_lab::Scenario;
use std::time::{Duration, Instant};

fn scenario(more: &str, workers: u32, rate: u32) -> String {
    format!(
        r#"(deployment (name "both") (zones "a" "b"))
(workload "call" (start-target 1s) (time-limit 3s) (effect restartable))
(function "f-*" (workload "call") (memory 128MB) (lanes 1))
(fleet (workers {workers}) (cores 2) (memory 1GB))
(store (at-once 1000) (most 10000))
(traffic (length 5s) (rate {rate}) (functions 20) (retries 0))
(calls "call" (work 30ms))
{more}"#
    )
}

#[rstest]
#[case::workers_load("", 6, 60)]
#[case::routers_send_load_commands("(copies (on-miss miss))", 6, 60)]
#[case::no_load_commands("(copies (orders no))", 6, 60)]
#[case::concurrency_is_exhausted("(copies (keep-alive 2s))", 6, 200)]
#[case::overload("", 6, 400)]
#[case::overload_with_load_commands(
    "(copies (on-miss miss) (load-window 1s) (load-free 8) (load-share 10%))",
    6,
    400
)]
#[case::connections_become_idle("(limits (idle-close 700ms))", 12, 60)]
#[case::few_connections("(limits (connections 1) (streams 2))", 6, 200)]
#[case::handshakes_wait("(limits (handshakes-out 2))", 60, 80)]
#[case::no_prewarmed_connections("(limits (connections-ahead 0))", 12, 60)]
#[case::many_workers("", 150, 60)]
fn a_simulated_router_decides_like_a_real_edge(
    #[case] more: &str,
    #[case] workers: u32,
    #[case] rate: u32,
) {
    let scenario = Scenario::read("both.sx", &scenario(more, workers, rate), 7).unwrap();
    let observed = run_real_edge(scenario.clone()).unwrap();
    let mut fleet = simulated_fleet(&scenario, &observed).unwrap();
    (fleet.log, fleet.rounds) = (Some(Vec::new()), Some(Vec::new()));
    let until = observed.decisions.last().map_or(0, |(at, _)| *at);
    let hour = Instant::now() + Duration::from_secs(3600);
    assert_eq!(
        fleet.run_until(until, hour, &Stop::default()),
        RunStatus::Done
    );
    let simulated: Vec<(i64, Decision)> = fleet
        .log
        .take()
        .unwrap()
        .into_iter()
        .map(|(at, _, decision)| (at, decision))
        .collect();
    let text = |round: &(i64, sanddrum::EventBatch)| format!("{round:?}");
    assert_same(
        "events",
        &fleet.rounds.take().unwrap(),
        &observed.rounds[..],
        text,
    );
    assert_same("decisions", &simulated, &observed.decisions, |decision| {
        format!("{decision:?}")
    });
    assert_eq!(simulated.len(), observed.decisions.len());
    let executed = simulated
        .iter()
        .filter(|(_, d)| matches!(d, Decision::Execute { .. }))
        .count();
    assert!(executed > 200, "{executed} executions");
    // Waits for answers in transit.
    fleet.run_until(until + 3_000_000, hour, &Stop::default());
    assert_eq!(fleet.counts().finished as usize, observed.finished);
}

/// Panics at the first difference and shows the surrounding entries.
fn assert_same<T>(what: &str, simulated: &[T], real: &[T], text: impl Fn(&T) -> String) {
    let first = simulated
        .iter()
        .zip(real)
        .position(|(one, other)| text(one) != text(other));
    let Some(n) = first else { return };
    let around = |all: &[T]| {
        let some = all[n.saturating_sub(3)..(n + 4).min(all.len())].iter();
        some.map(|one| format!("  {}\n", text(one)))
            .collect::<String>()
    };
    panic!(
        "{what} {n} of {}:\nsimulated\n{}real\n{}",
        real.len(),
        around(simulated),
        around(real)
    );
}
