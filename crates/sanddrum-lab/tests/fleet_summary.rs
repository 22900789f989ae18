//! Tests the fleet summary on traffic logs written by hand.

use rstest::rstest;
use sanddrum_lab::fleet_summary::{amplification, edge_service_range, inversions};
use sanddrum_lab::recorder::{ClientAttempt, Log};
use sanddrum_lab::Scenario;
use sanddrum_net::Micros;

fn scenario() -> Scenario {
    let text = r#"(deployment (name "w") (zones "a"))
        (workload "important" (start-target 1s) (time-limit 3s) (effect restartable) (importance 4))
        (workload "minor" (start-target 1s) (time-limit 3s) (effect restartable) (importance 1))
        (function "i-*" (workload "important") (memory 9MB) (lanes 2))
        (function "m-*" (workload "minor") (memory 9MB) (lanes 2))
        (calls "important" (share 0.5) (work 20ms)) (calls "minor" (share 0.5) (work 10ms))"#;
    Scenario::read("test", text, 1).unwrap_or_else(|e| panic!("{e}"))
}
/// Client attempts of a workload that were answered with this status in this second.
fn client_attempts(workload: &str, second: Micros, status: u16, count: u64) -> Vec<ClientAttempt> {
    let at = second * 1_000_000 + 500;
    let attempt = |n: u64| ClientAttempt {
        call: n + (at as u64 + u64::from(status)) * 1000 + workload.len() as u64 * 100,
        workload: workload.into(),
        edge: format!("edge-{}", n % 2),
        call_started_at: at,
        answers: vec![(at, status)],
        ..ClientAttempt::default()
    };
    (0..count).map(attempt).collect()
}

#[rstest]
#[case::only_minor_requests_are_rejected(&[("important", 1, 200, 5), ("minor", 1, 503, 9)], 0.0)]
#[case::minor_requests_are_served_in_another_second(&[("important", 1, 503, 5), ("minor", 2, 200, 9)], 0.0)]
#[case::part_of_the_rejected_importance_is_displaced(&[("important", 1, 503, 5), ("minor", 1, 200, 4)], 0.4)]
#[case::all_of_the_rejected_importance_is_displaced(&[("important", 1, 503, 5), ("minor", 1, 200, 40)], 1.0)]
fn priority_inversions_are_the_rejected_importance_that_less_important_requests_displaced(
    #[case] answered: &[(&str, Micros, u16, u64)],
    #[case] expected: f64,
) {
    let attempts = answered
        .iter()
        .flat_map(|(workload, at, status, n)| client_attempts(workload, *at, *status, *n));
    let log = Log {
        client_attempts: attempts.collect(),
        ..Log::default()
    };
    assert!((inversions(&log, &scenario()) - expected).abs() < 1e-9);
}

#[rstest]
fn the_range_of_service_over_edges_is_reported() {
    let mut all = client_attempts("important", 1, 200, 200);
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
