//! Overrides of a scenario's settings: each takes effect, or is rejected with its name.

mod scenario_run;

use rstest::rstest;
use sanddrum_lab::Experiment;
use scenario_run::run_scenario;

const SCENARIO: &str = r#"
    (deployment (name "small") (zones "a" "b"))
    (workload "job" (start-target 1s) (time-limit 3s) (effect restartable))
    (function "f-*" (workload "job") (memory 100MB) (lanes 2))
    (fleet (workers 4) (edges 2) (cores 4) (memory 5GB))
    (calls "job" (share 1) (work 20ms))
    (traffic (length 2s) (rate 20) (functions 4))
"#;

/// The first line of the output describes the fleet.
#[rstest]
#[case::none("none", &[], "4 workers, 2 edges, 2 s of requests")]
#[case::edges("edges", &["--set", "fleet.edges=3"], "4 workers, 3 edges, 2 s of requests")]
#[case::workers("workers", &["--set", "fleet.workers=6"], "6 workers, 2 edges, 2 s of requests")]
#[case::length("length", &["--set", "traffic.length=1s"], "4 workers, 2 edges, 1 s of requests")]
#[case::two_overrides("two", &["--set", "fleet.edges=3", "--set", "fleet.workers=6"], "6 workers, 3 edges, 2 s of requests")]
#[case::edges_by_their_own_flag("own", &["--edges", "5"], "4 workers, 5 edges, 2 s of requests")]
fn an_override_takes_effect(#[case] name: &str, #[case] set: &[&str], #[case] fleet: &str) {
    let run = run_scenario(
        &format!("set-{name}"),
        SCENARIO,
        &[&["run", "--virtual"], set].concat(),
    );
    assert!(
        run.text
            .lines()
            .next()
            .is_some_and(|line| line.contains(fleet)),
        "{}",
        run.text
    );
    assert_eq!(run.exit, Some(0), "{}", run.text);
}

#[rstest]
#[case::edge_setting("edge.edges=9", "edge.edges")]
#[case::unknown_setting("fleet.egdes=9", "did you mean fleet.edges?")]
#[case::setting_of_a_named_section("calls.share=2", "calls.share")]
#[case::not_a_number("fleet.edges=many", "fleet.edges=many")]
#[case::out_of_range("fleet.workers=0", "fleet.workers=0")]
#[case::missing_value("fleet.edges", "it has no =")]
fn an_override_without_effect_is_rejected(#[case] set: &str, #[case] message: &str) {
    for command in [&["run", "--virtual"][..], &["fleet"]] {
        let name = format!("refused-{}", set.replace('=', "-"));
        let run = run_scenario(&name, SCENARIO, &[command, &["--set", set]].concat());
        assert_eq!(run.exit, Some(2), "{}", run.text);
        assert!(run.text.contains(message), "{}", run.text);
    }
}

#[rstest]
fn two_overrides_of_the_same_setting_are_rejected() {
    let command = ["run", "--virtual", "--edges", "3", "--set", "fleet.edges=4"];
    let run = run_scenario("refused-twice", SCENARIO, &command);
    assert_eq!(run.exit, Some(2), "{}", run.text);
    assert!(run.text.contains("--set fleet.edges"), "{}", run.text);
}

/// An emulated component that runs as a process gets the overrides as arguments, because its scenario file does not
/// contain them.
#[rstest]
fn a_component_process_rejects_an_unknown_override() {
    let run = run_scenario(
        "refused-part",
        SCENARIO,
        &["part", "--set", "fleet.egdes=9"],
    );
    assert_eq!(run.exit, Some(2), "{}", run.text);
}

/// A variant of an experiment is the same scenario with other settings.
#[rstest]
fn a_variants_settings_take_effect() {
    let variants = r#"(variant "as built") (variant "shorter" (set "traffic.length=1s"))"#;
    let experiment =
        Experiment::read("scenario", &(SCENARIO.to_string() + variants), Some(1)).unwrap();
    let results = experiment.run_all(1, |_| ()).unwrap();
    let seconds: Vec<usize> = results.iter().map(|runs| runs[0].seconds.len()).collect();
    assert_eq!(seconds, [2, 1]);
}

#[rstest]
fn an_unknown_setting_of_a_variant_is_rejected() {
    let variants = r#"(variant "as built") (variant "another" (set "edge.edges=4"))"#;
    let problem =
        Experiment::read("scenario", &(SCENARIO.to_string() + variants), Some(1)).unwrap_err();
    assert!(
        problem.to_string().starts_with("another: edge.edges=4"),
        "{problem}"
    );
}
