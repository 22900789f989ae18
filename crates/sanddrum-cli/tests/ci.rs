//! The CI script's handling of KNOWN-RED.txt, with a fake cargo that lists three test names: one fails, one passes and
//! one belongs to two tests.

use rstest::rstest;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

const CARGO: &str = r#"#!/bin/bash
echo "cargo $*" >> "$CALLS"
[ "$1" = test ] || exit 0
case "$*" in
    *--list*) printf 'a::fails: test\na::passes: test\nb::twice: test\nb::twice: test\n' ;;
    *"--exact a::fails"*) exit 101 ;;
    *"--skip "*) exit "${OTHERS:-0}" ;;
    *--exact*) exit 0 ;;
    *) exit "${REST:-0}" ;;
esac
"#;

struct Tree(PathBuf);
impl Drop for Tree {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn script() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/run")
}

/// Runs the script. Returns whether it passes, its standard output and its calls of cargo. `all` is the exit code of a
/// run of all tests.
fn run(name: &str, known_red: Option<&str>, all: &str) -> (bool, String, String) {
    run_with_others(name, known_red, all, "0")
}

/// Like [`run`]; `others` is the exit code of a run that skips the listed tests.
fn run_with_others(
    name: &str,
    known_red: Option<&str>,
    all: &str,
    others: &str,
) -> (bool, String, String) {
    let tree =
        Tree(std::env::temp_dir().join(format!("sanddrum-ci-{name}-{}", std::process::id())));
    for folder in [".ci", "bin"] {
        fs::create_dir_all(tree.0.join(folder)).unwrap();
    }
    fs::copy(script(), tree.0.join(".ci/run")).unwrap();
    let cargo = tree.0.join("bin/cargo");
    fs::write(&cargo, CARGO).unwrap();
    fs::set_permissions(&cargo, fs::Permissions::from_mode(0o755)).unwrap();
    known_red
        .into_iter()
        .for_each(|text| fs::write(tree.0.join("KNOWN-RED.txt"), text).unwrap());
    let path = format!(
        "{}:{}",
        tree.0.join("bin").display(),
        std::env::var("PATH").unwrap()
    );
    let calls = tree.0.join("calls");
    let output = Command::new("bash")
        .arg(tree.0.join(".ci/run"))
        .env("PATH", path)
        .env("CALLS", &calls)
        .env("REST", all)
        .env("OTHERS", others)
        .output()
        .unwrap();
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    (
        output.status.success(),
        stdout,
        fs::read_to_string(calls).unwrap_or_default(),
    )
}

#[rstest]
#[case::absent("absent", None)]
#[case::empty("empty", Some(""))]
#[case::only_a_comment("remark", Some("# none\n\n"))]
fn without_known_red_tests_every_failure_counts(#[case] name: &str, #[case] list: Option<&str>) {
    let (passes, stdout, calls) = run(name, list, "0");
    assert!(
        passes && calls.starts_with("cargo test --workspace --locked\n"),
        "{stdout}{calls}"
    );
    assert!(
        !run(&format!("{name}-red"), list, "101").0,
        "a test that fails"
    );
}

#[rstest]
fn a_known_red_test_that_still_fails_is_printed_and_skipped_by_its_full_name() {
    let (passes, stdout, calls) = run("red", Some("a::fails, a cause, issue 1\n"), "101");
    assert!(passes, "{stdout}{calls}");
    assert!(stdout.contains("a::fails, a cause, issue 1"));
    assert!(
        calls.contains("cargo test --workspace --locked -- --exact --skip a::fails\n"),
        "{calls}"
    );
}

#[rstest]
#[case::that_passes("intermittent-passes", "a::passes")]
#[case::that_fails("intermittent-fails", "a::fails")]
fn an_intermittent_test_is_run_printed_and_skipped(#[case] name: &str, #[case] test: &str) {
    let line = format!("{test}, intermittent: a cause, issue 1");
    let (passes, stdout, calls) = run(name, Some(&line), "0");
    assert!(passes, "{stdout}{calls}");
    assert!(stdout.contains(&line), "{stdout}");
    assert!(stdout.contains(&format!("lists {test} as intermittent; this time it ")));
    let skip = format!("cargo test --workspace --locked -- --exact --skip {test}\n");
    assert!(calls.contains(&skip), "{calls}");
    assert!(
        !run_with_others(&format!("{name}-red"), Some(&line), "0", "101").0,
        "another test that fails"
    );
}

#[rstest]
#[case::test_passes_again("again", "a::passes, a cause, issue 1")]
#[case::unknown_test("unknown", "a::gone, a cause, issue 1")]
#[case::name_of_two_tests("twice", "b::twice, a cause, issue 1")]
#[case::part_of_a_name("part", "fails, a cause, issue 1")]
#[case::more_than_three_tests(
    "many",
    "a::fails, c, 1\na::fails, c, 1\na::fails, c, 1\na::fails, c, 1"
)]
#[case::more_than_three_tests_with_intermittent_ones(
    "many-intermittent",
    "a::fails, c, 1\na::fails, intermittent: c, 1\na::fails, c, 1\na::fails, c, 1"
)]
#[case::unknown_intermittent_test("intermittent-unknown", "a::gone, intermittent: c, 1")]
#[case::intermittent_mark_not_at_the_start_of_the_cause(
    "intermittent-elsewhere",
    "a::passes, a cause intermittent: c, 1"
)]
fn an_invalid_list_fails(#[case] name: &str, #[case] list: &str) {
    let (passes, stdout, calls) = run(name, Some(list), "0");
    assert!(!passes, "{stdout}{calls}");
    assert!(!calls.contains("cargo build"), "{calls}");
}
