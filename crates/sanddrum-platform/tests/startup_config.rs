//! The startup configuration and the deployment settings derived from it.

use proptest::prelude::*;
use rstest::rstest;
use sanddrum_platform::StartupConfig;
use serde_json::{json, Value as Json};

fn valid_config() -> Json {
    json!({
        "name": "n3", "listen": "127.0.0.1:8080", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 300},
        "feed": "127.0.0.1:2379", "known": {"n": 0, "events": []},
        "settings": {
            "azs": ["here"], "az": 0, "me": 1, "balancers": 3, "kinds": ["slow", "fast"],
            "classes": [{"name": "job", "aim-us": 700000, "deadline-us": 2000000, "effect": "once"}],
            "family-info": {"if-cold": "miss", "placement-calls": true, "idle-life-us": 9000000, "load-wait-us": 4000000},
            "limits": {"streams-per-conn": 32, "keepalive-us": 30000000, "max-open": 500, "try-limit": 4},
            "obligations": {"cold-from": 0.2, "cold-us": 9000000, "fall-multiple": 2.5, "tip-after-us": 2000000,
                            "stop-sending-within-us": 250000},
            "stats": {"fields": ["q", "rif"], "via": "answers"},
        },
    })
}

/// The error of a configuration that can't be used.
fn read_error(config: &Json) -> String {
    StartupConfig::read(&config.to_string())
        .unwrap_err()
        .to_string()
}

#[rstest]
fn deployment_settings_are_derived_from_the_startup_configuration() {
    let config = StartupConfig::read(&valid_config().to_string()).unwrap();
    let settings = config.deployment_settings().unwrap();
    assert_eq!(settings.names("workloads"), ["job"]);
    assert_eq!(settings.text("workloads.0.effect"), "run-once");
    assert_eq!(settings.duration_us("workloads.0.time-limit-us"), 2_000_000);
    assert_eq!(
        (
            settings.integer("limits.max-open"),
            settings.integer("limits.max-clients")
        ),
        (500, 100)
    );
    assert_eq!(settings.duration_us("limits.idle-close-us"), 24_000_000);
    assert_eq!(
        (settings.text("edge.listen"), settings.text("edge.list")),
        ("127.0.0.1:8080", "127.0.0.1:2379")
    );
    assert_eq!(
        (settings.integer("me"), settings.integer("routers")),
        (1, 3)
    );
}

#[rstest]
#[case::short(1_500_000, 2_100_000)]
#[case::longer_than_the_platform_waits(11_000_000, 3_600_000)]
fn a_graceful_shutdown_ends_before_the_platform_kills_the_router(
    #[case] time_limit_us: i64,
    #[case] stop_within_us: i64,
) {
    let mut config = valid_config();
    config["settings"]["classes"][0]["deadline-us"] = json!(time_limit_us);
    let settings = StartupConfig::read(&config.to_string())
        .unwrap()
        .deployment_settings()
        .unwrap();
    assert_eq!(
        settings.duration_us("limits.stop-within-us"),
        stop_within_us
    );
}

#[rstest]
#[case("classes", json!([]))]
#[case("classes", json!([{"name": "job", "effect": "thrice"}]))]
#[case("family-info", json!({"if-cold": "perhaps"}))]
#[case("limits", json!({"cancel": "yes"}))]
fn an_error_in_the_settings_begins_with_the_rejected_key(#[case] key: &str, #[case] value: Json) {
    let mut config = valid_config();
    config["settings"][key] = value;
    let error = read_error(&config);
    assert!(error.starts_with(&format!("settings.{key}")), "{error}");
}

#[rstest]
#[case("name", json!(""))]
#[case("listen", json!("here:80"))]
#[case("feed", json!(7))]
#[case("seed", json!("none"))]
#[case("limits", json!({"sockets": 0}))]
#[case("settings", json!(null))]
#[case("known", json!({"n": "x"}))]
fn an_error_in_the_configuration_begins_with_the_rejected_key(
    #[case] key: &str,
    #[case] value: Json,
) {
    let mut config = valid_config();
    config[key] = value;
    let error = read_error(&config);
    assert!(error.starts_with(key), "{error}");
}

/// Names that an operator may choose.
fn name() -> impl Strategy<Value = String> {
    "[a-zA-Z0-9é][a-zA-Z0-9é _.\"'\\\\;()-]{0,20}"
}

fn class() -> impl Strategy<Value = Json> {
    let effect = prop_oneof![Just("repeatable"), Just("by_key"), Just("once")];
    let scope = prop_oneof![
        Just(None),
        Just(Some("all")),
        Just(Some("zone")),
        Just(Some("cell"))
    ];
    let durations_us = (0..20_000_000u64, 1..20_000_000u64, 0..10_000_000u64);
    (name(), durations_us, effect, scope, 0.0..1e4f64).prop_map(
        |(name, (aim, deadline, window), effect, scope, worth)| {
            json!({"name": name, "aim-us": aim, "deadline-us": deadline, "effect": effect, "key-scope": scope,
                   "repeat-window-us": window, "worth": worth, "late-value": 0.3})
        },
    )
}

fn classes_with_unique_names() -> impl Strategy<Value = Vec<Json>> {
    prop::collection::vec(class(), 1..6).prop_map(|mut classes| {
        for (index, class) in classes.iter_mut().enumerate() {
            class["name"] = json!(format!("{}{index}", class["name"].as_str().unwrap()));
        }
        classes
    })
}

fn family_info() -> impl Strategy<Value = Json> {
    let durations_us = (0..30_000_000u64, 0..30_000_000u64);
    (any::<bool>(), any::<bool>(), durations_us).prop_map(
        |(is_miss, placement_calls, (idle_life, load_wait))| {
            json!({
                "if-cold": if is_miss { "miss" } else { "load" }, "placement-calls": placement_calls,
                "idle-life-us": idle_life, "load-wait-us": load_wait,
            })
        },
    )
}

fn obligations() -> impl Strategy<Value = Json> {
    let durations_us = (0..30_000_000u64, 0..9_000_000u64, 0..9_000_000u64);
    (0.0..1.5f64, 0.0..9.0f64, durations_us).prop_map(
        |(cold_from, fall_multiple, (cold, tip_after, stop_sending))| {
            json!({
                "cold-from": cold_from, "cold-us": cold, "fall-multiple": fall_multiple,
                "tip-after-us": tip_after, "stop-sending-within-us": stop_sending,
            })
        },
    )
}

fn limits() -> impl Strategy<Value = Json> {
    let counts = (0..100_000u64, 0..50u64, 0..1_000_000u64);
    let durations_us = (0..90_000_000u64, 0..2_000_000u64, 0..9_000_000u64);
    (counts, durations_us).prop_map(
        |((streams, tries, max_open), (keep_alive, connect_timeout, retry_after))| {
            json!({
                "streams-per-conn": streams, "try-limit": tries, "max-open": max_open,
                "keepalive-us": keep_alive, "connect-timeout-us": connect_timeout,
                "max-retry-after-us": retry_after,
            })
        },
    )
}

proptest! {
    #[test]
    fn settings_that_are_valid_on_the_platform_are_valid_for_the_edge(
        classes in classes_with_unique_names(),
        zones in prop::collection::btree_set(name(), 1..4),
        family_info in family_info(),
        obligations in obligations(),
        limits in limits(),
        (sockets, memory_mb) in (8u64..100_000, 1.0..1e5f64),
        (router, router_count) in (0usize..400, 1usize..400),
    ) {
        let mut config = valid_config();
        config["limits"] = json!({"sockets": sockets, "memory_mb": memory_mb});
        let settings = &mut config["settings"];
        settings["classes"] = json!(classes);
        settings["azs"] = json!(zones);
        settings["az"] = json!(zones.len() - 1);
        settings["family-info"] = family_info;
        settings["obligations"] = obligations;
        settings["limits"] = limits;
        settings["me"] = json!(router);
        settings["balancers"] = json!(router_count);
        let deployment_settings = StartupConfig::read(&config.to_string())
            .unwrap()
            .deployment_settings();
        match deployment_settings {
            Ok(settings) => prop_assert_eq!(settings.names("workloads").len(), classes.len()),
            Err(error) => return Err(TestCaseError::fail(error.to_string())),
        }
    }
}
