//! A fleet of real processes, each part one of its own, and a fault between them. Verdicts come from the traffic at the
//! relays and the callers; every scenario is read by the virtual network as well.

mod played;

use played::play;
use rstest::rstest;

/// Eight edges and nine workers in three zones, cold when calls begin.
const HEAD: &str = r#"
    (deployment (name "small") (zones "a" "b" "c"))
    (workload "job" (start-target 1s) (time-limit 3s) (effect restartable))
    (function "f-*" (workload "job") (memory 100MB) (lanes 2))
    (copies (keep-alive 30s) (on-miss miss) (load-window 2s) (load-free 20) (load-share 20%))
    (rules (cold-from 20%) (cold 2s) (drain-grace 2s))
    (limits (list-retry-most 500ms))
    (fleet (workers 9) (edges 8) (cores 4) (memory 5GB) TOLD)
    (list-service (notice-least 50ms) (notice-most 200ms) (silent-after 2s))
    (calls "job" (share 1) (work 20ms))
    (traffic (length 9s) (rate 90) (functions 12) (zipf 1.0) (retries 2) (retry-wait 100ms))
"#;

/// What happens, and from which second on nearly all is served again.
#[rstest]
#[case::everything_cold_at_one_instant("cold", "", 5)]
#[case::all_edges_killed(
    "all-killed",
    r#"(trouble "edge-crash" (part 100%) (at 3s) (length 300ms))"#,
    6
)]
#[case::seven_in_ten_killed(
    "seven",
    r#"(trouble "edge-crash" (part 70%) (at 3s) (length 300ms))"#,
    6
)]
#[case::back_without_lists(
    "anew",
    r#"(trouble "edge-anew" (part 70%) (at 3s) (length 300ms))"#,
    6
)]
#[case::one_stopped("stopped", r#"(trouble "edge-stop" (count 1) (at 3s) (length 2s))"#, 7)]
#[case::ended_in_order("ended", r#"(trouble "edge-end" (count 2) (at 3s) (length 1s))"#, 6)]
#[case::list_stopped(
    "list-stop",
    r#"(trouble "list-stop" (at 2s) (length 2s)) (trouble "edge-crash" (part 50%) (at 3s) (length 200ms))"#,
    7
)]
#[case::list_away_with_state(
    "list-away",
    r#"(trouble "list-away" (at 2s) (length 2s)) (trouble "edge-crash" (part 50%) (at 3s) (length 200ms))"#,
    7
)]
#[case::list_says_nothing("list-mute", r#"(trouble "link" (to list) (fault unanswered) (part 90%) (at 2s) (length 3s)) (trouble "edge-anew" (part 50%) (at 2500ms) (length 200ms))"#, 7)]
#[case::half_a_list("half-list", r#"(trouble "link" (to list) (fault slow) (size 300) (at 2s) (length 3s)) (trouble "edge-anew" (part 50%) (at 2500ms) (length 200ms))"#, 7)]
#[case::a_zone_cut("zone-cut", r#"(trouble "link" (from edges) (zone "a") (to workers) (to-zone "b") (fault silent-from) (at 3s) (length 2s))"#, 7)]
#[case::links_reset("resets", r#"(trouble "link-break" (from edges) (to workers) (at 3s)) (trouble "link-break" (from edges) (to list) (at 3s))"#, 5)]
#[case::store_stalls_at_the_start("store", r#"(trouble "store-stall" (at 500ms) (length 2s))"#, 7)]
#[case::workers_cold_twice("workers", r#"(trouble "crash" (count 4) (at 2s) (length 300ms)) (trouble "crash" (count 4) (at 4s) (length 300ms))"#, 7)]
#[case::one_restarts_every_second(
    "restless",
    r#"(trouble "edge-crash" (count 1) (at 1500ms) (length 100ms)) (trouble "edge-crash" (count 1) (at 2500ms) (length 100ms))
       (trouble "edge-crash" (count 1) (at 3500ms) (length 100ms)) (trouble "edge-crash" (count 1) (at 4500ms) (length 100ms))"#,
    6
)]
#[case::a_roll_that_meets_a_crash(
    "roll",
    r#"(trouble "edge-end" (count 1) (at 2s) (length 500ms)) (trouble "edge-end" (count 1) (at 3s) (length 500ms))
       (trouble "edge-crash" (part 50%) (at 3200ms) (length 300ms)) (trouble "edge-end" (count 1) (at 4s) (length 500ms))"#,
    7
)]
#[case::one_zones_edges_cold(
    "one-zone",
    r#"(trouble "edge-anew" (zone "a") (part 100%) (at 3s) (length 300ms))"#,
    6
)]
#[case::list_back_with_half_of_the_workers_replaced(
    "replaced",
    r#"(trouble "list-away" (at 2s) (length 2s)) (trouble "crash" (part 50%) (at 2500ms) (length 500ms))"#,
    8
)]
#[case::an_old_list_at_half_of_the_edges(
    "old-list",
    r#"(trouble "link" (part 50%) (to list) (fault silent-from) (at 1s) (length 5s)) (trouble "crash" (part 50%) (at 2s) (length 300ms))"#,
    7
)]
#[case::one_stopped_for_five_seconds(
    "stopped-long",
    r#"(trouble "edge-stop" (count 1) (at 1s) (length 5s)) (trouble "crash" (count 4) (at 3s) (length 300ms))"#,
    7
)]
#[case::store_refuses_and_edges_die("refuses", r#"(trouble "store-refuse" (at 0s) (length 1500ms)) (trouble "edge-crash" (part 50%) (at 1s) (length 200ms))"#, 7)]
fn processes_keep_the_rules_and_come_back(
    #[case] name: &str,
    #[case] troubles: &str,
    #[case] again: usize,
) {
    let scenario = format!("{}{troubles}", HEAD.replace("TOLD", ""));
    keeps_the_rules_and_comes_back(name, &scenario, again);
}

/// The same where edges are told three times too many of them, or too few.
#[rstest]
#[case::three_times_too_many("many", "3")]
#[case::a_third_of_them("third", "0.34")]
fn a_wrong_number_of_edges_breaks_nothing(#[case] name: &str, #[case] told: &str) {
    let troubles = r#"(trouble "edge-anew" (part 70%) (at 3s) (length 300ms)) (trouble "crash" (count 3) (at 3s) (length 300ms))"#;
    let head = HEAD.replace("TOLD", &format!("(edges-told {told})"));
    keeps_the_rules_and_comes_back(name, &format!("{head}{troubles}"), 7);
}

fn keeps_the_rules_and_comes_back(name: &str, scenario: &str, again: usize) {
    let played = play(name, scenario, &["fleet"]);
    assert_eq!(played.exit, Some(0), "{}", played.text);
    assert!(
        played.summary["jobs_taken"].as_u64() > Some(400),
        "{}",
        played.text
    );
    assert!(played.service(again..9) >= 0.9, "{}", played.text);
    let virtually = play(&format!("{name}-virtual"), scenario, &["run", "--virtual"]);
    assert_eq!(virtually.exit, Some(0), "{}", virtually.text);
    assert!(virtually.service(again..9) >= 0.9, "{}", virtually.text);
}
