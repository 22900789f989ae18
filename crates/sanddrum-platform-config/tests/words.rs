#![allow(missing_docs)] // unfinished: docs/ROADMAP.md

use rstest::rstest;
use sanddrum::Value;
use serde_json::json;

#[rstest]
fn settings_come_out_in_our_words_at_any_depth() {
    let info = json!({
        "classes": [{"name": "job", "aim-us": 700000, "effect": "once"}, {"name": "other", "effect": "by_key"}],
        "family-info": {"if-cold": "miss", "placement-calls": true, "new-key": null},
        "balancers": 3,
    });
    let map = sanddrum_platform_config::decision_settings(&info).unwrap();
    assert_eq!(map.number("workloads.count"), Some(2.0));
    assert_eq!(map.number("workloads.0.start-target-us"), Some(700_000.0));
    assert_eq!(map.text("workloads.0.effect"), Some("run-once"));
    assert_eq!(map.text("workloads.1.effect"), Some("fingerprinted"));
    assert_eq!(map.flag("copies.orders"), Some(true));
    assert_eq!(map.0.get("routers"), Some(&Value::Number(3.0)));
    assert!(!map.0.contains_key("copies.new-key"));
}

#[rstest]
#[case::an_unknown_effect("classes", json!([{"effect": "twice"}]), "classes.0.effect")]
#[case::an_unknown_group("classes", json!([{"key-scope": "rack"}]), "classes.0.key-scope")]
#[case::an_effect_of_another_kind("classes", json!([{"effect": true}]), "classes.0.effect")]
#[case::no_workload("classes", json!([]), "classes")]
#[case::an_unknown_answer_to_a_miss("family-info", json!({"if-cold": "fetch"}), "family-info.if-cold")]
#[case::a_flag_that_is_a_text("limits", json!({"cancel": "true"}), "limits.cancel")]
#[case::a_negative_span("obligations", json!({"cold-us": -1}), "obligations.cold-us")]
#[case::a_span_that_is_a_text("obligations", json!({"cold-us": "5s"}), "obligations.cold-us")]
#[case::an_unknown_way_to_the_list("membership-mode", json!("ask"), "membership-mode")]
fn what_can_not_be_used_is_refused_by_its_key(
    #[case] key: &str,
    #[case] value: serde_json::Value,
    #[case] named: &str,
) {
    let mut info = json!({"classes": [{"name": "job", "effect": "once"}]});
    info[key] = value;
    let why = sanddrum_platform_config::decision_settings(&info).unwrap_err();
    assert!(why.starts_with(&format!("{named}: ")), "{why}");
}

#[rstest]
fn names_are_kept_to_the_letter_and_new_keys_under_their_own() {
    let info = json!({
        "classes": [{"name": "once", "effect": "repeatable"}], "azs": ["az"], "tenants": [{"name": "worth"}],
        "prices": {"membership-mode": 0.1}, "new-key": {"deeper": "by_key"},
    });
    let map = sanddrum_platform_config::decision_settings(&info).unwrap();
    assert_eq!(map.text("workloads.0.name"), Some("once"));
    assert_eq!(
        (map.text("zones.0"), map.text("customers.0.name")),
        (Some("az"), Some("worth"))
    );
    assert_eq!(map.text("new-key.deeper"), Some("by_key"));
    assert_eq!(map.number("prices.membership-mode"), Some(0.1));
}

#[rstest]
fn reports_are_read_by_either_name_and_new_values_skipped() {
    let report = sanddrum_platform_config::load_report(
        [
            ("inflight", Some(7.0)),
            ("q", Some(2.0)),
            ("fresh", Some(1.0)),
        ]
        .into_iter(),
    );
    assert_eq!(
        (report.in_flight, report.queued, report.busy),
        (Some(7.0), Some(2.0), None)
    );
}
