#![allow(missing_docs)] // unfinished: docs/ROADMAP.md

use proptest::prelude::*;
use rstest::rstest;
use sanddrum_settings::{key, read, read_with, Occurrence, Origin, Section, ValueType};

const GOOD: &str = r#"
(deployment (name "demo") (zones "bat-a" "bat-b"))
(workload "trace-pass" (start-target 1s) (time-limit 3s) (effect restartable))
(workload "phase-pick" (effect fingerprinted) (group zone) (repeat-window 2s) (importance 5))
(function "pick-*" (workload "trace-pass") (memory 300MB) (lanes 2))
(limits (max-open 10))
(edge (zone "bat-b") (number 1) (edges 2))
"#;

#[rstest]
fn values_are_told_in_the_module_s_words_with_their_origin() {
    let l = read("demo.sx", GOOD).unwrap();
    assert_eq!(l.values.number("workloads.0.start-target-us"), Some(1e6));
    assert_eq!(l.values.text("workloads.1.group"), Some("zone"));
    assert_eq!(l.values.number("functions.0.memory-mb"), Some(300.0));
    assert_eq!(
        (l.values.number("me"), l.values.number("routers")),
        (Some(1.0), Some(2.0))
    );
    assert_eq!(
        l.origins["limits.max-open"],
        Origin::File { line: 6, column: 9 }
    );
    assert_eq!(l.origins["limits.streams"], Origin::Default);
    assert!(
        !l.contains("copies.load-window-us"),
        "what only the module knows a default for stays unsaid"
    );
}

#[rstest]
#[case::misspelt("(copies (keep-alvie 3s))", 8, 9, "did you mean keep-alive?")]
#[case::unit("(copies (keep-alive 8sec))", 8, 21, "us, ms, s, min or h")]
#[case::no_unit("(copies (keep-alive 8))", 8, 21, "as 250ms")]
#[case::unknown_section("(limit (max-open 3))", 8, 1, "did you mean limits?")]
#[case::twice("(workload \"trace-pass\")", 8, 11, "differ")]
#[case::open("(copies (orders yes)", 8, 0, "not closed")]
#[case::no_load("(copies (on-miss miss) (orders no))", 8, 9, "on-miss load")]
#[case::no_ration("(copies (load-window 5s))", 8, 9, "load-free")]
#[case::choice(
    "(workload \"x\" (effect restartible))",
    8,
    23,
    "did you mean restartable?"
)]
#[case::target("(workload \"x\" (start-target 9s))", 8, 15, "as 1s and 3s")]
#[case::fingerprint("(workload \"x\" (effect fingerprinted))", 8, 15, "repeat-window")]
#[case::function(
    "(function \"f\" (workload \"nope\"))",
    8,
    15,
    "known are trace-pass, phase-pick"
)]
#[case::share(
    "(customer \"a\" (share 60%)) (customer \"b\" (share 60%))",
    8,
    15,
    "at most 1"
)]
fn what_is_wrong_is_refused_with_its_place(
    #[case] added: &str,
    #[case] line: usize,
    #[case] column: usize,
    #[case] remedy: &str,
) {
    let problem = read("demo.sx", &format!("{GOOD}{added}")).unwrap_err();
    assert_eq!(problem.line, line, "{problem}");
    assert!(column == 0 || problem.column == column, "{problem}");
    assert!(problem.to_string().contains(remedy), "{problem}");
}

#[rstest]
fn the_command_line_sets_what_a_file_may() {
    let mut l = read("demo.sx", GOOD).unwrap();
    l.override_value("edge.listen", "127.0.0.1:0", "--listen")
        .unwrap();
    assert_eq!(l.text("edge.listen"), "127.0.0.1:0");
    assert!(l
        .override_value("limits.tik", "3s", "--set")
        .unwrap_err()
        .to_string()
        .contains("not a setting"));
}

const SIZES: &[Section] = &[Section {
    name: "sizes",
    dotted: "sizes",
    occurrence: Occurrence::Once,
    description: "",
    keys: &[key(
        "workers",
        ValueType::Integers(1.0, 1e4),
        Some("10 100"),
        "",
    )],
}];

#[rstest]
#[case::said("(sizes (workers 1 20 300))", &[1, 20, 300])]
#[case::by_default("", &[10, 100])]
#[case::none("(sizes (workers))", &[])]
fn a_list_of_whole_numbers_is_told_in_its_order(#[case] added: &str, #[case] wholes: &[u64]) {
    let l = read_with("demo.sx", &format!("{GOOD}{added}"), SIZES).unwrap();
    assert_eq!(l.integers("sizes.workers"), wholes);
}

#[rstest]
#[case::fraction("(sizes (workers 1 2.5))", 19, "workers: a whole number is wanted")]
#[case::bound(
    "(sizes (workers 1 20000))",
    19,
    "workers: 20000 is not between 1 and 10000"
)]
#[case::word("(sizes (workers many))", 17, "workers: a whole number is wanted")]
fn a_list_with_anything_else_is_refused_at_its_place(
    #[case] added: &str,
    #[case] column: usize,
    #[case] what: &str,
) {
    let problem = read_with("demo.sx", &format!("{GOOD}{added}"), SIZES).unwrap_err();
    assert_eq!((problem.line, problem.column), (8, column), "{problem}");
    assert_eq!(problem.message, what);
}

proptest! {
    #[test]
    fn no_text_makes_the_reader_panic(text in "[ ()\"a-z0-9;#'\\\\.\\[\\]\n-]{0,200}") {
        let _ = read("noise", &text);
    }
}
