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
    let map = sanddrum_dialect::settings(&info);
    assert_eq!(map.number("workloads.count"), Some(2.0));
    assert_eq!(map.number("workloads.0.start-target-us"), Some(700_000.0));
    assert_eq!(map.text("workloads.0.effect"), Some("run-once"));
    assert_eq!(map.text("workloads.1.effect"), Some("fingerprinted"));
    assert_eq!(map.flag("copies.orders"), Some(true));
    assert_eq!(map.0.get("routers"), Some(&Value::Number(3.0)));
    assert!(!map.0.contains_key("copies.new-key"));
}

#[rstest]
fn reports_are_read_by_either_name_and_new_values_skipped() {
    let report = sanddrum_dialect::report(
        [("inflight", Some(7.0)), ("q", Some(2.0)), ("fresh", Some(1.0))].into_iter(),
    );
    assert_eq!((report.held, report.queued, report.busy), (Some(7.0), Some(2.0), None));
}
