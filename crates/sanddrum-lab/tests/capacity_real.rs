//! One scenario played by a real edge and by a hollow router: nothing hollow decides otherwise.

use rstest::rstest;
use sanddrum_lab::capacity::hollow::Played;
use sanddrum_lab::capacity::host::Decision;
use sanddrum_lab::capacity::real::{hollow, real};
use sanddrum_lab::capacity::Stop;
use sanddrum_lab::Scenario;
use std::time::{Duration, Instant};

fn scenario(more: &str, rate: u32) -> String {
    format!(
        r#"(deployment (name "both") (zones "a" "b"))
(workload "call" (start-target 1s) (time-limit 3s) (effect restartable))
(function "f-*" (workload "call") (memory 128MB) (lanes 1))
(limits (connections-ahead 0))
(fleet (workers 6) (cores 2) (memory 1GB))
(store (at-once 1000) (most 10000))
(traffic (length 5s) (rate {rate}) (functions 20) (retries 0))
(calls "call" (work 30ms))
{more}"#
    )
}

#[rstest]
#[case::workers_load("", 60)]
#[case::routers_order("(copies (on-miss miss))", 60)]
#[case::nothing_ordered("(copies (orders no))", 60)]
#[case::lanes_are_short("(copies (keep-alive 2s))", 200)]
#[case::overload("", 400)]
#[case::overload_with_orders("(copies (on-miss miss) (load-window 1s) (load-free 8) (load-share 10%))", 400)]
fn a_hollow_router_decides_what_a_real_one_does(#[case] more: &str, #[case] rate: u32) {
    let scenario = Scenario::read("both.sx", &scenario(more, rate), 7).unwrap();
    let seen = real(scenario.clone()).unwrap();
    let mut fleet = hollow(&scenario, &seen).unwrap();
    (fleet.log, fleet.rounds) = (Some(Vec::new()), Some(Vec::new()));
    let until = seen.decisions.last().map_or(0, |(at, _)| *at);
    let hour = Instant::now() + Duration::from_secs(3600);
    assert_eq!(fleet.run_until(until, hour, &Stop::default()), Played::Done);
    let hollow: Vec<(i64, Decision)> =
        fleet.log.take().unwrap().into_iter().map(|(at, _, decision)| (at, decision)).collect();
    let told = |round: &(i64, sanddrum::Round)| format!("{round:?}");
    differs("news", &fleet.rounds.take().unwrap(), &seen.rounds[..], told);
    differs("decisions", &hollow, &seen.decisions, |decision| format!("{decision:?}"));
    assert_eq!(hollow.len(), seen.decisions.len());
    let executed = hollow.iter().filter(|(_, d)| matches!(d, Decision::Execute { .. })).count();
    assert!(executed > 200, "{executed} executions");
    // Answers that are still on their way then.
    fleet.run_until(until + 3_000_000, hour, &Stop::default());
    assert_eq!(fleet.counts().finished as usize, seen.finished);
}

/// Fails with what is around the first that differs.
fn differs<T>(what: &str, hollow: &[T], real: &[T], told: impl Fn(&T) -> String) {
    let first = hollow.iter().zip(real).position(|(one, other)| told(one) != told(other));
    let Some(n) = first else { return };
    let around = |all: &[T]| {
        let some = all[n.saturating_sub(3)..(n + 4).min(all.len())].iter();
        some.map(|one| format!("  {}\n", told(one))).collect::<String>()
    };
    panic!("{what} {n} of {}:\nhollow\n{}real\n{}", real.len(), around(hollow), around(real));
}
