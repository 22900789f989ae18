//! One scenario played by a real edge and by a hollow router: nothing hollow decides otherwise.

use rstest::rstest;
use sanddrum_lab::capacity::decision_host::Decision;
use sanddrum_lab::capacity::real::{hollow, real};
use sanddrum_lab::capacity::simulated::Played;
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
#[case::routers_order("(copies (on-miss miss))", 6, 60)]
#[case::nothing_ordered("(copies (orders no))", 6, 60)]
#[case::lanes_are_short("(copies (keep-alive 2s))", 6, 200)]
#[case::overload("", 6, 400)]
#[case::overload_with_orders(
    "(copies (on-miss miss) (load-window 1s) (load-free 8) (load-share 10%))",
    6,
    400
)]
#[case::connections_rest("(limits (idle-close 700ms))", 12, 60)]
#[case::few_connections("(limits (connections 1) (streams 2))", 6, 200)]
#[case::handshakes_wait("(limits (handshakes-out 2))", 60, 80)]
#[case::nothing_ahead("(limits (connections-ahead 0))", 12, 60)]
#[case::many_workers("", 150, 60)]
fn a_hollow_router_decides_what_a_real_one_does(
    #[case] more: &str,
    #[case] workers: u32,
    #[case] rate: u32,
) {
    let scenario = Scenario::read("both.sx", &scenario(more, workers, rate), 7).unwrap();
    let seen = real(scenario.clone()).unwrap();
    let mut fleet = hollow(&scenario, &seen).unwrap();
    (fleet.log, fleet.rounds) = (Some(Vec::new()), Some(Vec::new()));
    let until = seen.decisions.last().map_or(0, |(at, _)| *at);
    let hour = Instant::now() + Duration::from_secs(3600);
    assert_eq!(fleet.run_until(until, hour, &Stop::default()), Played::Done);
    let hollow: Vec<(i64, Decision)> = fleet
        .log
        .take()
        .unwrap()
        .into_iter()
        .map(|(at, _, decision)| (at, decision))
        .collect();
    let told = |round: &(i64, sanddrum::EventBatch)| format!("{round:?}");
    differs(
        "news",
        &fleet.rounds.take().unwrap(),
        &seen.rounds[..],
        told,
    );
    differs("decisions", &hollow, &seen.decisions, |decision| {
        format!("{decision:?}")
    });
    assert_eq!(hollow.len(), seen.decisions.len());
    let executed = hollow
        .iter()
        .filter(|(_, d)| matches!(d, Decision::Execute { .. }))
        .count();
    assert!(executed > 200, "{executed} executions");
    // Answers that are still on their way then.
    fleet.run_until(until + 3_000_000, hour, &Stop::default());
    assert_eq!(fleet.counts().finished as usize, seen.finished);
}

/// Fails with what is around the first that differs.
fn differs<T>(what: &str, hollow: &[T], real: &[T], told: impl Fn(&T) -> String) {
    let first = hollow
        .iter()
        .zip(real)
        .position(|(one, other)| told(one) != told(other));
    let Some(n) = first else { return };
    let around = |all: &[T]| {
        let some = all[n.saturating_sub(3)..(n + 4).min(all.len())].iter();
        some.map(|one| format!("  {}\n", told(one)))
            .collect::<String>()
    };
    panic!(
        "{what} {n} of {}:\nhollow\n{}real\n{}",
        real.len(),
        around(hollow),
        around(real)
    );
}
