//! Slow start across a fleet: for any number of edges, and however unevenly the traffic is spread over them, a cold
//! worker gets no more load from all edges together than the settings allow, plus a margin for random variation.

mod scenario_run;

use rstest::rstest;
use scenario_run::run_scenario;

/// A third of the workers restarts, and the request rate triples while they are cold. Later a third restarts together
/// with half of the edges.
fn scenario(edges: usize, uneven: u32) -> String {
    format!(
        r#"
    (deployment (name "young") (zones "a" "b" "c"))
    (workload "job" (start-target 1s) (time-limit 3s) (effect restartable))
    (function "f-*" (workload "job") (memory 100MB) (lanes 2))
    (copies (keep-alive 30s) (on-miss miss) (load-window 2s) (load-free 20) (load-share 20%))
    (rules (cold-from 20%) (cold 4s) (fall-multiple 2) (fall 1s) (drain-grace 2s))
    (limits (list-retry-most 500ms))
    (fleet (workers 12) (edges {edges}) (cores 2) (memory 5GB))
    (list-service (notice-least 50ms) (notice-most 200ms) (silent-after 2s))
    (calls "job" (share 1) (work 40ms))
    (traffic (length 9s) (rate 200) (functions 12) (zipf 1.0) (retries 3) (retry-wait 50ms) (heeds 0.5) (uneven {uneven}))
    (trouble "crash" (count 4) (at 2s) (length 300ms))
    (trouble "overload" (at 2500ms) (length 1500ms) (size 3))
    (trouble "edge-crash" (part 50%) (at 5s) (length 300ms))
    (trouble "crash" (count 4) (at 5s) (length 500ms))
"#
    )
}

fn assert_cold_load_within_limits(name: &str, scenario: &str, command: &[&str]) {
    let run = run_scenario(name, scenario, command);
    assert_eq!(run.exit, Some(0), "{}", run.text);
    let loads = run.summary["whole"]["cold"].as_array().unwrap();
    let loads: Vec<f64> = loads.iter().filter_map(serde_json::Value::as_f64).collect();
    assert_eq!(loads.len(), 8, "one value for each start of a worker");
    assert!(loads.iter().all(|load| *load <= 1.0), "{loads:?}");
}

#[rstest]
fn cold_workers_get_no_more_load_than_allowed_from_all_edges(
    #[values(3, 20, 30, 300)] edges: usize,
    #[values(0, 1)] uneven: u32,
) {
    assert_cold_load_within_limits(
        &format!("young-{edges}-{uneven}"),
        &scenario(edges, uneven),
        &["run", "--virtual"],
    );
}

#[rstest]
#[case::twenty_edges(20, 0)]
#[case::thirty_edges_with_uneven_traffic(30, 1)]
fn cold_workers_get_no_more_load_than_allowed_from_edge_processes(
    #[case] edges: usize,
    #[case] uneven: u32,
) {
    assert_cold_load_within_limits(
        &format!("young-processes-{edges}"),
        &scenario(edges, uneven),
        &["fleet"],
    );
}
