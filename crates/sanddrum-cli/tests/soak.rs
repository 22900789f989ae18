//! The soak test in its short form, and the fleet of processes that the program plays by itself.

use rstest::rstest;
use std::process::{Command, Output};

fn sanddrum(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sanddrum"))
        .args(args)
        .output()
        .unwrap()
}
fn said(output: &Output) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    format!("{}{}", text(&output.stdout), text(&output.stderr))
}

/// Plays a soak run of six routers, which has to keep every rule. Tells what it printed.
fn keeps_every_rule(seed: &str, seconds: &str) -> String {
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
    let said = said(&output);
    assert!(output.status.success(), "{said}");
    let last = said.lines().last().unwrap_or_default();
    assert_eq!(last, format!("seed {seed}: every rule kept"), "{said}");
    said
}

#[rstest]
fn routers_keep_every_rule_through_overlapping_troubles(#[values("1", "4")] seed: &str) {
    keeps_every_rule(seed, "9");
}

/// Of these plays one has a crowd of clients, the other one signals in series and restarts; both have outages of discovery
/// for longer than the platform's clocks, in which busy servers drain.
#[rstest]
fn routers_keep_every_rule_through_outages_of_discovery(#[values("12", "13")] seed: &str) {
    let said = keeps_every_rule(seed, "24");
    assert!(
        said.contains("\"outage\":"),
        "the play has no outage: {said}"
    );
}

#[rstest]
fn a_router_that_can_not_be_started_is_told_and_not_taken_for_a_run() {
    let output = sanddrum(&[
        "lab",
        "soak",
        "--platform",
        "--seed",
        "77",
        "--program",
        "/nowhere/sanddrum-edge",
    ]);
    assert_eq!(output.status.code(), Some(3), "{}", said(&output));
}

#[rstest]
fn the_fleet_that_is_played_without_a_scenario_keeps_its_rules() {
    let output = sanddrum(&["lab", "fleet", "--json"]);
    let said = said(&output);
    assert!(output.status.success(), "{said}");
    assert!(
        said.contains("all five rules held, as seen from the traffic"),
        "{said}"
    );
}
