//! The adapter must pass the same settings to the decision module as an edge that the platform starts.

use sanddrum_simulator_adapter::start_settings;
use serde_json::json;

#[test]
fn adapter_and_edge_pass_equal_settings_to_the_decision_module() {
    let settings = json!({
        "azs": ["here"], "az": 0, "me": 1, "balancers": 3, "kinds": ["fast"], "value-by": "request",
        "classes": [{"name": "job", "aim-us": 700000, "deadline-us": 2000000, "effect": "by_key",
                     "key-scope": "all", "late-value": 0.3, "worth": 5.0, "repeat-window-us": 4000000}],
        "family-info": {"if-cold": "miss", "placement-calls": true, "idle-life-us": 9000000,
                        "ram-mb-by-kind": [9216.0], "tells-crowd": false},
        "limits": {"cancel": true, "may-duplicate": false, "try-limit": 5, "max-retry-after-us": 1000000},
        "obligations": {"cold-from": 0.2, "cold-us": 9000000, "tip-after-us": 2000000},
        "stats": {"fields": ["q", "rif"], "via": "answers"},
    });
    let message = json!(["power-on", "router_1", 7, settings]);
    let adapter_settings = start_settings(&message.to_string()).unwrap();
    let configuration = json!({
        "name": "n1", "listen": "127.0.0.1:80", "feed": "127.0.0.1:81", "seed": "7", "settings": settings,
        "limits": {"sockets": 256, "memory_mb": 32}, "known": {"n": 0, "events": []},
    });
    let edge_settings = sanddrum_platform::StartupConfig::read(&configuration.to_string())
        .unwrap()
        .decision_settings();
    assert_eq!(adapter_settings.0, edge_settings.0);
    assert_eq!(
        adapter_settings.text("workloads.0.effect"),
        Some("fingerprinted")
    );
}
