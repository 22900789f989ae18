//! Translation of the platform's settings and load reports.

use rstest::rstest;
use sanddrum::Value;
use sanddrum_platform_config::{decision_settings, load_report};
use serde_json::{json, Value as Json};

#[rstest]
fn keys_and_codes_are_translated_at_any_depth() {
    let platform_settings = json!({
        "classes": [{"name": "job", "aim-us": 700000, "effect": "once"}, {"name": "other", "effect": "by_key"}],
        "family-info": {"if-cold": "miss", "placement-calls": true, "new-key": null},
        "balancers": 3,
    });
    let settings = decision_settings(&platform_settings).unwrap();
    assert_eq!(settings.number("workloads.count"), Some(2.0));
    assert_eq!(
        settings.number("workloads.0.start-target-us"),
        Some(700_000.0)
    );
    assert_eq!(settings.text("workloads.0.effect"), Some("run-once"));
    assert_eq!(settings.text("workloads.1.effect"), Some("fingerprinted"));
    assert_eq!(settings.flag("copies.orders"), Some(true));
    assert_eq!(settings.0.get("routers"), Some(&Value::Number(3.0)));
    assert!(!settings.0.contains_key("copies.new-key"));
}

#[rstest]
#[case::unknown_effect("classes", json!([{"effect": "twice"}]), "classes.0.effect")]
#[case::unknown_key_scope("classes", json!([{"key-scope": "rack"}]), "classes.0.key-scope")]
#[case::effect_that_is_a_boolean("classes", json!([{"effect": true}]), "classes.0.effect")]
#[case::no_classes("classes", json!([]), "classes")]
#[case::unknown_response_to_a_cold_miss("family-info", json!({"if-cold": "fetch"}), "family-info.if-cold")]
#[case::flag_that_is_a_string("limits", json!({"cancel": "true"}), "limits.cancel")]
#[case::negative_duration("obligations", json!({"cold-us": -1}), "obligations.cold-us")]
#[case::duration_that_is_a_string("obligations", json!({"cold-us": "5s"}), "obligations.cold-us")]
#[case::unknown_membership_mode("membership-mode", json!("ask"), "membership-mode")]
fn an_error_begins_with_the_key_of_the_invalid_value(
    #[case] key: &str,
    #[case] value: Json,
    #[case] rejected_key: &str,
) {
    let mut platform_settings = json!({"classes": [{"name": "job", "effect": "once"}]});
    platform_settings[key] = value;
    let error = decision_settings(&platform_settings)
        .unwrap_err()
        .to_string();
    assert!(error.starts_with(&format!("{rejected_key}: ")), "{error}");
}

#[rstest]
fn names_and_unknown_keys_are_kept_unchanged() {
    let platform_settings = json!({
        "classes": [{"name": "once", "effect": "repeatable"}], "azs": ["az"], "tenants": [{"name": "worth"}],
        "prices": {"membership-mode": 0.1}, "new-key": {"deeper": "by_key"},
    });
    let settings = decision_settings(&platform_settings).unwrap();
    assert_eq!(settings.text("workloads.0.name"), Some("once"));
    assert_eq!(
        (settings.text("zones.0"), settings.text("customers.0.name")),
        (Some("az"), Some("worth"))
    );
    assert_eq!(settings.text("new-key.deeper"), Some("by_key"));
    assert_eq!(settings.number("prices.membership-mode"), Some(0.1));
}

#[rstest]
fn load_reports_accept_both_names_of_a_value_and_skip_unknown_names() {
    let values = [
        ("inflight", Some(7.0)),
        ("q", Some(2.0)),
        ("unknown", Some(1.0)),
    ];
    let report = load_report(values.into_iter());
    assert_eq!(
        (report.in_flight, report.queued, report.busy),
        (Some(7.0), Some(2.0), None)
    );
}
