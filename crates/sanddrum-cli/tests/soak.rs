//! A short soak run, and `sanddrum lab fleet` with its built-in scenario.

use rstest::rstest;
use std::process::{Command, Output};

fn sanddrum(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sanddrum"))
        .args(args)
        .output()
        .unwrap()
}
fn output_text(output: &Output) -> String {
    let decode = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    format!("{}{}", decode(&output.stdout), decode(&output.stderr))
}

/// Runs a soak of six routers, which has to keep every rule. Returns the output.
fn run_soak_without_violations(seed: &str, seconds: &str) -> String {
    let output = sanddrum(&[
        "lab",
        "soak",
        "--platform",
        "--seed",
        seed,
        "--seconds",
        seconds,
        "--routers",
        "6",
    ]);
    let text = output_text(&output);
    assert!(output.status.success(), "{text}");
    let last = text.lines().last().unwrap_or_default();
    assert_eq!(last, format!("seed {seed}: every rule kept"), "{text}");
    text
}

#[rstest]
fn routers_keep_every_rule_under_overlapping_faults(#[values("1", "4")] seed: &str) {
    run_soak_without_violations(seed, "9");
}

/// One of these seeds has a surge of clients, the other series of signals and restarts. Both have discovery outages
/// that outlast the platform's timers, during which busy servers drain.
#[rstest]
fn routers_keep_every_rule_during_discovery_outages(#[values("12", "13")] seed: &str) {
    let text = run_soak_without_violations(seed, "24");
    assert!(
        text.contains("\"outage\":"),
        "the run has no outage: {text}"
    );
}

#[rstest]
fn a_router_that_cannot_be_started_is_a_runtime_error_and_not_a_failed_run() {
    let output = sanddrum(&[
        "lab",
        "soak",
        "--platform",
        "--seed",
        "77",
        "--program",
        "/nowhere/sanddrum-edge",
    ]);
    assert_eq!(output.status.code(), Some(3), "{}", output_text(&output));
}

#[rstest]
fn the_built_in_fleet_scenario_keeps_every_rule() {
    let output = sanddrum(&["lab", "fleet", "--json"]);
    let text = output_text(&output);
    assert!(output.status.success(), "{text}");
    assert!(
        text.contains("all five rules held, as seen from the traffic"),
        "{text}"
    );
}
