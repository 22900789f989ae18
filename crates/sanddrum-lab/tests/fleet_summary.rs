//! The fleet summary, from traffic logs written by hand.

use rstest::rstest;
use sanddrum_lab::fleet_summary::{amplification, edge_service_range, inversions};
use sanddrum_lab::recorder::{ClientAttempt, Log};
use sanddrum_lab::Scenario;
use sanddrum_net::Micros;

fn scenario() -> Scenario {
    let text = r#"(deployment (name "w") (zones "a"))
        (workload "dear" (start-target 1s) (time-limit 3s) (effect restartable) (importance 4))
        (workload "cheap" (start-target 1s) (time-limit 3s) (effect restartable) (importance 1))
        (function "d-*" (workload "dear") (memory 9MB) (lanes 2))
        (function "c-*" (workload "cheap") (memory 9MB) (lanes 2))
        (calls "dear" (share 0.5) (work 20ms)) (calls "cheap" (share 0.5) (work 10ms))"#;
    Scenario::read("whole", text, 1).unwrap_or_else(|e| panic!("{e}"))
}
/// Tries of a workload answered so in a second.
fn tries(workload: &str, second: Micros, status: u16, count: u64) -> Vec<ClientAttempt> {
    let at = second * 1_000_000 + 500;
    let call = |n: u64| ClientAttempt {
        call: n + (at as u64 + u64::from(status)) * 1000 + workload.len() as u64 * 100,
        workload: workload.into(),
        edge: format!("edge-{}", n % 2),
        call_started_at: at,
        answers: vec![(at, status)],
        ..ClientAttempt::default()
    };
    (0..count).map(call).collect()
}

#[rstest]
#[case::the_cheap_are_turned_away(&[("dear", 1, 200, 5), ("cheap", 1, 503, 9)], 0.0)]
#[case::in_another_second(&[("dear", 1, 503, 5), ("cheap", 2, 200, 9)], 0.0)]
#[case::as_much_as_fits(&[("dear", 1, 503, 5), ("cheap", 1, 200, 4)], 0.4)]
#[case::all_of_it(&[("dear", 1, 503, 5), ("cheap", 1, 200, 40)], 1.0)]
fn priority_inversions_are_the_rejected_value_that_cheaper_work_displaced(
    #[case] seen: &[(&str, Micros, u16, u64)],
    #[case] part: f64,
) {
    let tries = seen
        .iter()
        .flat_map(|(workload, at, status, n)| tries(workload, *at, *status, *n));
    let log = Log {
        client_attempts: tries.collect(),
        ..Log::default()
    };
    assert!((inversions(&log, &scenario()) - part).abs() < 1e-9);
}

#[rstest]
fn the_range_of_service_over_edges_is_reported() {
    let mut all = tries("dear", 1, 200, 200);
    all.iter_mut()
        .filter(|t| t.edge == "edge-1")
        .step_by(4)
        .for_each(|t| t.answers[0].1 = 503);
    let log = Log {
        client_attempts: all,
        ..Log::default()
    };
    assert_eq!(edge_service_range(&log, &scenario()), (0.75, 1.0));
    assert_eq!(amplification(&log)["executions"], 0.0);
}
