//! Settings given over a scenario's own: each takes effect, or is refused by its name.

mod played;

use played::play;
use rstest::rstest;
use sanddrum_lab::Experiment;

const SCENARIO: &str = r#"
    (deployment (name "small") (zones "a" "b"))
    (workload "job" (start-target 1s) (time-limit 3s) (effect restartable))
    (function "f-*" (workload "job") (memory 100MB) (lanes 2))
    (fleet (workers 4) (edges 2) (cores 4) (memory 5GB))
    (calls "job" (share 1) (work 20ms))
    (traffic (length 2s) (rate 20) (functions 4))
"#;

/// The summary's first line tells the fleet.
#[rstest]
#[case::none("none", &[], "4 workers, 2 edges, 2 s of requests")]
#[case::edges("edges", &["--set", "fleet.edges=3"], "4 workers, 3 edges, 2 s of requests")]
#[case::workers("workers", &["--set", "fleet.workers=6"], "6 workers, 2 edges, 2 s of requests")]
#[case::length("length", &["--set", "traffic.length=1s"], "4 workers, 2 edges, 1 s of requests")]
#[case::two("two", &["--set", "fleet.edges=3", "--set", "fleet.workers=6"], "6 workers, 3 edges, 2 s of requests")]
#[case::edges_of_their_own("own", &["--edges", "5"], "4 workers, 5 edges, 2 s of requests")]
fn an_override_takes_effect(#[case] name: &str, #[case] set: &[&str], #[case] told: &str) {
    let played = play(
        &format!("set-{name}"),
        SCENARIO,
        &[&["run", "--virtual"], set].concat(),
    );
    assert!(
        played
            .text
            .lines()
            .next()
            .is_some_and(|line| line.contains(told)),
        "{}",
        played.text
    );
    assert_eq!(played.exit, Some(0), "{}", played.text);
}

#[rstest]
#[case::of_the_edge("edge.edges=9", "edge.edges")]
#[case::no_setting("fleet.egdes=9", "did you mean fleet.edges?")]
#[case::of_a_named_section("calls.share=2", "calls.share")]
#[case::no_number("fleet.edges=many", "fleet.edges=many")]
#[case::beyond_its_bounds("fleet.workers=0", "fleet.workers=0")]
#[case::no_value("fleet.edges", "it has no =")]
fn an_override_that_can_have_no_effect_is_refused(#[case] set: &str, #[case] told: &str) {
    for how in [&["run", "--virtual"][..], &["fleet"]] {
        let name = format!("refused-{}", set.replace('=', "-"));
        let played = play(&name, SCENARIO, &[how, &["--set", set]].concat());
        assert_eq!(played.exit, Some(2), "{}", played.text);
        assert!(played.text.contains(told), "{}", played.text);
    }
}

#[rstest]
fn two_that_say_the_same_are_refused() {
    let how = ["run", "--virtual", "--edges", "3", "--set", "fleet.edges=4"];
    let played = play("refused-twice", SCENARIO, &how);
    assert_eq!(played.exit, Some(2), "{}", played.text);
    assert!(played.text.contains("--set fleet.edges"), "{}", played.text);
}

/// A stand-in as a process is told as well; it would have read the file alone.
#[rstest]
fn a_part_of_a_fleet_of_processes_reads_them() {
    let played = play(
        "refused-part",
        SCENARIO,
        &["part", "--set", "fleet.egdes=9"],
    );
    assert_eq!(played.exit, Some(2), "{}", played.text);
}

/// An experiment's variant is the same text with other settings.
#[rstest]
fn a_variants_settings_take_effect() {
    let variants = r#"(variant "as built") (variant "shorter" (set "traffic.length=1s"))"#;
    let experiment =
        Experiment::read("story", &(SCENARIO.to_string() + variants), Some(1)).unwrap();
    let figures = experiment.run_all(1, |_| ()).unwrap();
    let seconds: Vec<usize> = figures.iter().map(|of| of[0].seconds.len()).collect();
    assert_eq!(seconds, [2, 1]);
}

#[rstest]
fn a_variants_unknown_setting_is_refused() {
    let variants = r#"(variant "as built") (variant "another" (set "edge.edges=4"))"#;
    let problem =
        Experiment::read("story", &(SCENARIO.to_string() + variants), Some(1)).unwrap_err();
    assert!(
        problem.to_string().starts_with("another: edge.edges=4"),
        "{problem}"
    );
}
