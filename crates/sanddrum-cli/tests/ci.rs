//! The CI script's handling of KNOWN-RED.txt, with a stand-in for cargo that knows three tests, of which one fails.

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

/// Whether the script passes, what it prints, and how it called cargo. `all` is the exit code of a run of all tests.
fn run(name: &str, known_red: Option<&str>, all: &str) -> (bool, String, String) {
    run_with_others(name, known_red, all, "0")
}

/// As [`run`]; `others` is the exit code of a run that skips the tests that are listed.
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
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    (
        output.status.success(),
        said,
        fs::read_to_string(calls).unwrap_or_default(),
    )
}

#[rstest]
#[case::absent("absent", None)]
#[case::empty("empty", Some(""))]
#[case::only_a_remark("remark", Some("# none\n\n"))]
fn without_known_red_tests_all_tests_count(#[case] name: &str, #[case] list: Option<&str>) {
    let (passes, said, calls) = run(name, list, "0");
    assert!(
        passes && calls.starts_with("cargo test --workspace --locked\n"),
        "{said}{calls}"
    );
    assert!(
        !run(&format!("{name}-red"), list, "101").0,
        "one that fails"
    );
}

#[rstest]
fn one_that_still_fails_is_printed_and_passed_over_by_its_full_name() {
    let (passes, said, calls) = run("red", Some("a::fails, a cause, issue 1\n"), "101");
    assert!(passes, "{said}{calls}");
    assert!(said.contains("a::fails, a cause, issue 1"));
    assert!(
        calls.contains("cargo test --workspace --locked -- --exact --skip a::fails\n"),
        "{calls}"
    );
}

#[rstest]
#[case::and_passes("intermittent-passes", "a::passes")]
#[case::and_fails("intermittent-fails", "a::fails")]
fn an_intermittent_test_is_run_printed_and_passed_over(#[case] name: &str, #[case] test: &str) {
    let line = format!("{test}, intermittent: a cause, issue 1");
    let (passes, said, calls) = run(name, Some(&line), "0");
    assert!(passes, "{said}{calls}");
    assert!(said.contains(&line), "{said}");
    assert!(said.contains(&format!("lists {test} as intermittent; this time it ")));
    let skip = format!("cargo test --workspace --locked -- --exact --skip {test}\n");
    assert!(calls.contains(&skip), "{calls}");
    assert!(
        !run_with_others(&format!("{name}-red"), Some(&line), "0", "101").0,
        "another test that fails"
    );
}

#[rstest]
#[case::that_passes_again("again", "a::passes, a cause, issue 1")]
#[case::that_no_test_has("unknown", "a::gone, a cause, issue 1")]
#[case::that_two_tests_have("twice", "b::twice, a cause, issue 1")]
#[case::that_is_part_of_a_name("part", "fails, a cause, issue 1")]
#[case::among_more_than_three(
    "many",
    "a::fails, c, 1\na::fails, c, 1\na::fails, c, 1\na::fails, c, 1"
)]
#[case::among_more_than_three_with_intermittent_ones(
    "many-intermittent",
    "a::fails, c, 1\na::fails, intermittent: c, 1\na::fails, c, 1\na::fails, c, 1"
)]
#[case::intermittent_that_no_test_has("intermittent-unknown", "a::gone, intermittent: c, 1")]
#[case::with_the_word_elsewhere_than_at_the_start_of_its_cause(
    "intermittent-elsewhere",
    "a::passes, a cause intermittent: c, 1"
)]
fn a_name_fails(#[case] name: &str, #[case] list: &str) {
    let (passes, said, calls) = run(name, Some(list), "0");
    assert!(!passes, "{said}{calls}");
    assert!(!calls.contains("cargo build"), "{calls}");
}
