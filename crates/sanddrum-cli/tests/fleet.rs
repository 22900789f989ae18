//! A fleet with each component as its own process, with one or more faults per test. The checks rest on the traffic
//! seen by the relays and the clients; every scenario also runs on the virtual network.

mod scenario_run;

use rstest::rstest;
use scenario_run::run_scenario;

/// Eight edges and nine workers in three zones; the workers are cold when the traffic starts. CONFIGURED_EDGES is
/// replaced by the setting `edges-told`, or by nothing if the edges are configured with the real number of edges.
const SCENARIO_HEAD: &str = r#"
    (deployment (name "small") (zones "a" "b" "c"))
    (workload "job" (start-target 1s) (time-limit 3s) (effect restartable))
    (function "f-*" (workload "job") (memory 100MB) (lanes 2))
    (copies (keep-alive 30s) (on-miss miss) (load-window 2s) (load-free 20) (load-share 20%))
    (rules (cold-from 20%) (cold 2s) (drain-grace 2s))
    (limits (list-retry-most 500ms))
    (fleet (workers 9) (edges 8) (cores 4) (memory 5GB) CONFIGURED_EDGES)
    (list-service (notice-least 50ms) (notice-most 200ms) (silent-after 2s))
    (calls "job" (share 1) (work 20ms))
    (traffic (length 9s) (rate 90) (functions 12) (zipf 1.0) (retries 2) (retry-wait 100ms))
"#;

/// Each case has a name, the injected faults, and the second from which on at least 90% of the requests are served in
/// time again.
#[rstest]
#[case::everything_starts_cold("cold", "", 5)]
#[case::all_edges_crash(
    "all-killed",
    r#"(trouble "edge-crash" (part 100%) (at 3s) (length 300ms))"#,
    6
)]
#[case::seven_in_ten_edges_crash(
    "seven",
    r#"(trouble "edge-crash" (part 70%) (at 3s) (length 300ms))"#,
    6
)]
#[case::edges_restart_without_cached_lists(
    "anew",
    r#"(trouble "edge-anew" (part 70%) (at 3s) (length 300ms))"#,
    6
)]
#[case::one_edge_is_suspended(
    "stopped",
    r#"(trouble "edge-stop" (count 1) (at 3s) (length 2s))"#,
    7
)]
#[case::two_edges_shut_down_gracefully(
    "ended",
    r#"(trouble "edge-end" (count 2) (at 3s) (length 1s))"#,
    6
)]
#[case::discovery_service_is_suspended_and_edges_crash(
    "list-stop",
    r#"(trouble "list-stop" (at 2s) (length 2s)) (trouble "edge-crash" (part 50%) (at 3s) (length 200ms))"#,
    7
)]
#[case::discovery_service_is_down_and_edges_crash(
    "list-away",
    r#"(trouble "list-away" (at 2s) (length 2s)) (trouble "edge-crash" (part 50%) (at 3s) (length 200ms))"#,
    7
)]
#[case::discovery_service_does_not_answer("list-mute", r#"(trouble "link" (to list) (fault unanswered) (part 90%) (at 2s) (length 3s)) (trouble "edge-anew" (part 50%) (at 2500ms) (length 200ms))"#, 7)]
#[case::endpoint_lists_arrive_slowly("half-list", r#"(trouble "link" (to list) (fault slow) (size 300) (at 2s) (length 3s)) (trouble "edge-anew" (part 50%) (at 2500ms) (length 200ms))"#, 7)]
#[case::connections_between_two_zones_fall_silent("zone-cut", r#"(trouble "link" (from edges) (zone "a") (to workers) (to-zone "b") (fault silent-from) (at 3s) (length 2s))"#, 7)]
#[case::connections_are_reset("resets", r#"(trouble "link-break" (from edges) (to workers) (at 3s)) (trouble "link-break" (from edges) (to list) (at 3s))"#, 5)]
#[case::function_store_stalls_at_the_start(
    "store",
    r#"(trouble "store-stall" (at 500ms) (length 2s))"#,
    7
)]
#[case::workers_crash_twice("workers", r#"(trouble "crash" (count 4) (at 2s) (length 300ms)) (trouble "crash" (count 4) (at 4s) (length 300ms))"#, 7)]
#[case::an_edge_crashes_every_second(
    "restless",
    r#"(trouble "edge-crash" (count 1) (at 1500ms) (length 100ms)) (trouble "edge-crash" (count 1) (at 2500ms) (length 100ms))
       (trouble "edge-crash" (count 1) (at 3500ms) (length 100ms)) (trouble "edge-crash" (count 1) (at 4500ms) (length 100ms))"#,
    6
)]
#[case::edges_crash_during_a_rolling_restart(
    "roll",
    r#"(trouble "edge-end" (count 1) (at 2s) (length 500ms)) (trouble "edge-end" (count 1) (at 3s) (length 500ms))
       (trouble "edge-crash" (part 50%) (at 3200ms) (length 300ms)) (trouble "edge-end" (count 1) (at 4s) (length 500ms))"#,
    7
)]
#[case::edges_of_one_zone_restart_without_cached_lists(
    "one-zone",
    r#"(trouble "edge-anew" (zone "a") (part 100%) (at 3s) (length 300ms))"#,
    6
)]
#[case::half_of_the_workers_restart_while_the_discovery_service_is_down(
    "replaced",
    r#"(trouble "list-away" (at 2s) (length 2s)) (trouble "crash" (part 50%) (at 2500ms) (length 500ms))"#,
    8
)]
#[case::half_of_the_edges_have_an_outdated_list(
    "old-list",
    r#"(trouble "link" (part 50%) (to list) (fault silent-from) (at 1s) (length 5s)) (trouble "crash" (part 50%) (at 2s) (length 300ms))"#,
    7
)]
#[case::one_edge_is_suspended_for_five_seconds(
    "stopped-long",
    r#"(trouble "edge-stop" (count 1) (at 1s) (length 5s)) (trouble "crash" (count 4) (at 3s) (length 300ms))"#,
    7
)]
#[case::function_store_rejects_and_edges_crash("refuses", r#"(trouble "store-refuse" (at 0s) (length 1500ms)) (trouble "edge-crash" (part 50%) (at 1s) (length 200ms))"#, 7)]
fn fleets_of_processes_keep_the_rules_and_recover(
    #[case] name: &str,
    #[case] faults: &str,
    #[case] recovered_by: usize,
) {
    let scenario = format!("{}{faults}", SCENARIO_HEAD.replace("CONFIGURED_EDGES", ""));
    assert_keeps_the_rules_and_recovers(name, &scenario, recovered_by);
}

/// The same with edges that are configured with three times the real number of edges, or a third of it.
#[rstest]
#[case::three_times_the_real_number("many", "3")]
#[case::a_third_of_the_real_number("third", "0.34")]
fn a_wrong_number_of_edges_breaks_nothing(#[case] name: &str, #[case] factor: &str) {
    let faults = r#"(trouble "edge-anew" (part 70%) (at 3s) (length 300ms)) (trouble "crash" (count 3) (at 3s) (length 300ms))"#;
    let head = SCENARIO_HEAD.replace("CONFIGURED_EDGES", &format!("(edges-told {factor})"));
    assert_keeps_the_rules_and_recovers(name, &format!("{head}{faults}"), 7);
}

fn assert_keeps_the_rules_and_recovers(name: &str, scenario: &str, recovered_by: usize) {
    let run = run_scenario(name, scenario, &["fleet"]);
    assert_eq!(run.exit, Some(0), "{}", run.text);
    assert!(
        run.summary["jobs_taken"].as_u64() > Some(400),
        "{}",
        run.text
    );
    assert!(run.in_time_fraction(recovered_by..9) >= 0.9, "{}", run.text);
    let virtual_run = run_scenario(&format!("{name}-virtual"), scenario, &["run", "--virtual"]);
    assert_eq!(virtual_run.exit, Some(0), "{}", virtual_run.text);
    assert!(
        virtual_run.in_time_fraction(recovered_by..9) >= 0.9,
        "{}",
        virtual_run.text
    );
}
