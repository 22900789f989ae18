//! The slow start holds for the fleet: whatever the number of edges and however uneven their parts, no cold worker gets
//! more from all of them together than the settings allow it and chance brings.

mod played;

use played::play;
use rstest::rstest;

/// A third of the workers starts anew, and while they are cold clients come back together with three times the calls;
/// then a third starts anew while half of the edges do.
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

fn holds(name: &str, scenario: &str, how: &[&str]) {
    let played = play(name, scenario, how);
    assert_eq!(played.exit, Some(0), "{}", played.text);
    let parts = played.summary["whole"]["cold"].as_array().unwrap();
    let parts: Vec<f64> = parts.iter().filter_map(serde_json::Value::as_f64).collect();
    assert_eq!(parts.len(), 8, "each start of a worker is told");
    assert!(parts.iter().all(|part| *part <= 1.0), "{parts:?}");
}

#[rstest]
fn no_cold_worker_gets_more_than_it_is_allowed_from_all_edges(
    #[values(3, 20, 30, 300)] edges: usize,
    #[values(0, 1)] uneven: u32,
) {
    holds(
        &format!("young-{edges}-{uneven}"),
        &scenario(edges, uneven),
        &["run", "--virtual"],
    );
}

#[rstest]
#[case::twenty(20, 0)]
#[case::thirty_of_uneven_parts(30, 1)]
fn nor_from_all_edges_as_processes(#[case] edges: usize, #[case] uneven: u32) {
    holds(
        &format!("young-processes-{edges}"),
        &scenario(edges, uneven),
        &["fleet"],
    );
}
