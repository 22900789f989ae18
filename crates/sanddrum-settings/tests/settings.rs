//! Reading and checking settings: values have an origin, errors a position and a remedy.

use proptest::prelude::*;
use rstest::rstest;
use sanddrum_settings::{
    key, quote, read, read_with, Occurrence, Origin, Position, Section, SettingsError, ValueType,
};

const FILE: &str = "demo.sx";

/// Valid settings of seven lines, the first of which is empty; text that tests append begins in line 8.
const VALID: &str = r#"
(deployment (name "demo") (zones "bat-a" "bat-b"))
(workload "trace-pass" (start-target 1s) (time-limit 3s) (effect restartable))
(workload "phase-pick" (effect fingerprinted) (group zone) (repeat-window 2s) (importance 5))
(function "pick-*" (workload "trace-pass") (memory 300MB) (lanes 2))
(limits (max-open 10))
(edge (zone "bat-b") (number 1) (edges 2))
"#;
const FIRST_ADDED_LINE: usize = 8;

/// The error for the valid settings with invalid text appended.
fn error_with(added: &str, further_sections: &[Section]) -> SettingsError {
    read_with(FILE, &format!("{VALID}{added}"), further_sections).unwrap_err()
}

#[rstest]
fn values_have_dotted_names_units_and_origins() {
    let settings = read(FILE, VALID).unwrap();
    let values = &settings.values;
    assert_eq!(values.number("workloads.0.start-target-us"), Some(1e6));
    assert_eq!(values.text("workloads.1.group"), Some("zone"));
    assert_eq!(values.number("functions.0.memory-mb"), Some(300.0));
    assert_eq!(
        (values.number("me"), values.number("routers")),
        (Some(1.0), Some(2.0))
    );
    assert_eq!(
        settings.origins["limits.max-open"],
        Origin::File { line: 6, column: 9 }
    );
    assert_eq!(settings.origins["limits.streams"], Origin::Default);
    assert!(
        !settings.contains("copies.load-window-us"),
        "a setting without a default of its own stays absent"
    );
}

#[rstest]
#[case::misspelled_key("(copies (keep-alvie 3s))", 8, 9, "did you mean keep-alive?")]
#[case::unknown_unit("(copies (keep-alive 8sec))", 8, 21, "us, ms, s, min or h")]
#[case::missing_unit("(copies (keep-alive 8))", 8, 21, "such as 250ms")]
#[case::unknown_section("(limit (max-open 3))", 8, 1, "did you mean limits?")]
#[case::duplicate_name("(workload \"trace-pass\")", 8, 11, "names must be unique")]
#[case::unclosed_form("(copies (orders yes)", 8, 0, "not closed")]
#[case::no_way_to_load("(copies (on-miss miss) (orders no))", 8, 9, "on-miss load")]
#[case::zero_load_budget("(copies (load-window 5s))", 8, 9, "load-free")]
#[case::misspelled_choice(
    "(workload \"x\" (effect restartible))",
    8,
    23,
    "did you mean restartable?"
)]
#[case::start_target_above_time_limit(
    "(workload \"x\" (start-target 9s))",
    8,
    15,
    "for example 1s and 3s"
)]
#[case::fingerprinted_without_window(
    "(workload \"x\" (effect fingerprinted))",
    8,
    15,
    "repeat-window"
)]
#[case::function_of_unknown_workload(
    "(function \"f\" (workload \"nope\"))",
    8,
    15,
    "known workloads: trace-pass, phase-pick"
)]
#[case::shares_above_one(
    "(customer \"a\" (share 60%)) (customer \"b\" (share 60%))",
    8,
    15,
    "at most 1"
)]
fn an_error_has_a_position_and_a_remedy(
    #[case] added: &str,
    #[case] line: usize,
    #[case] column: usize,
    #[case] remedy: &str,
) {
    let error = error_with(added, &[]);
    let position = error.position.expect("a position");
    assert_eq!(position.line, line, "{error}");
    assert!(column == 0 || position.column == column, "{error}");
    assert!(error.to_string().contains(remedy), "{error}");
}

#[rstest]
fn only_known_settings_can_be_overridden() {
    let mut settings = read(FILE, VALID).unwrap();
    settings
        .override_value("edge.listen", "127.0.0.1:0", "--listen")
        .unwrap();
    assert_eq!(settings.text("edge.listen"), "127.0.0.1:0");
    let error = settings
        .override_value("limits.tik", "3s", "--set")
        .unwrap_err();
    assert!(error.to_string().contains("not a setting"));
}

const SIZES: &[Section] = &[Section {
    name: "sizes",
    prefix: "sizes",
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
#[case::in_file("(sizes (workers 1 20 300))", &[1, 20, 300])]
#[case::default("", &[10, 100])]
#[case::empty("(sizes (workers))", &[])]
fn a_list_of_integers_keeps_its_order(#[case] added: &str, #[case] expected: &[u64]) {
    let settings = read_with(FILE, &format!("{VALID}{added}"), SIZES).unwrap();
    assert_eq!(settings.integers("sizes.workers"), expected);
}

#[rstest]
#[case::fraction("(sizes (workers 1 2.5))", 19, "workers: expected an integer")]
#[case::above_upper_bound(
    "(sizes (workers 1 20000))",
    19,
    "workers: 20000 is not between 1 and 10000"
)]
#[case::word("(sizes (workers many))", 17, "workers: expected an integer")]
fn an_invalid_element_of_a_list_is_rejected_at_its_position(
    #[case] added: &str,
    #[case] column: usize,
    #[case] message: &str,
) {
    let error = error_with(added, SIZES);
    let expected_position = Position {
        line: FIRST_ADDED_LINE,
        column,
    };
    assert_eq!(error.position, Some(expected_position), "{error}");
    assert_eq!(error.message, message);
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics_the_reader(text in "[ ()\"a-z0-9;#'\\\\.\\[\\]\n-]{0,200}") {
        let _ = read("noise", &text);
    }
}

/// Settings with a zone of this name.
fn settings_with_zone(name: &str) -> String {
    let zones = format!("(deployment (zones {}))", quote(name));
    format!("{zones} (workload \"w\" (effect restartable))")
}

/// A zone's name of any characters, among them those that strings of other languages escape in another way.
fn any_name() -> impl Strategy<Value = String> {
    let special = prop::sample::select(vec![
        '\u{a0}', '\u{301}', '"', '\\', '(', '[', ';', '\n', '\r', '\t', '\0', '\u{7f}', '\u{feff}',
    ]);
    prop::collection::vec(prop_oneof![special, any::<char>()], 1..60)
        .prop_map(|characters| characters.into_iter().collect())
}

proptest! {
    /// Review, case 10: a name with a no-break space was written with an escape that reading rejects.
    #[test]
    fn a_quoted_name_is_read_unchanged(name in any_name()) {
        let settings = read(FILE, &settings_with_zone(&name)).unwrap();
        prop_assert_eq!(settings.names("zones"), [name]);
    }
}

#[rstest]
fn brackets_in_strings_and_comments_do_not_count_as_nesting() {
    let brackets = "([".repeat(40);
    let zone = settings_with_zone(&brackets);
    let text = format!("{zone} ; {brackets} \"\n(limits (max-open 10))");
    let settings = read(FILE, &text).unwrap();
    assert_eq!(settings.names("zones"), std::slice::from_ref(&brackets));
    assert_eq!(settings.integer("limits.max-open"), 10);
    let nested = format!("(deployment {brackets})");
    let error = read(FILE, &nested).unwrap_err();
    assert!(error.to_string().contains("nested too deeply"), "{error}");
}
