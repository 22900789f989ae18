//! The settings and load reports of the users' platform in our words. The simulator's adapter and the router both read
//! them here, so that the decision module gets equal settings in both. It knows words and nothing of policy.

pub use sanddrum_wire::id_of;

use sanddrum::{Report, Settings, Value};
use serde_json::Value as Json;

/// The settings' words that differ from ours.
const WORDS: [(&str, &str); 41] = [
    ("aim-us", "start-target-us"),
    ("answer-slack-us", "answer-slack-us"),
    ("az", "zone"),
    ("azs", "zones"),
    ("balancers", "routers"),
    ("blend", "goal"),
    ("by_key", "fingerprinted"),
    ("classes", "workloads"),
    ("client-habits", "clients"),
    ("deadline-us", "time-limit-us"),
    ("family-info", "copies"),
    ("idle-life-us", "keep-alive-us"),
    ("idle-memory-cost", "memory-price"),
    ("if-cold", "on-miss"),
    ("key-scope", "group"),
    ("load-span-us", "load-window-us"),
    ("load-wait-us", "order-time-out-us"),
    ("loads-anyway", "load-free"),
    ("loads-per-request", "load-share"),
    ("lookup_miss", "miss"),
    ("may-duplicate", "second-copies"),
    ("obligations", "rules"),
    ("once", "run-once"),
    ("over-share-worth", "over-share-importance"),
    ("placement-calls", "orders"),
    ("ram-mb-by-kind", "kind-memory-mb"),
    ("repeat-window-us", "repeat-window-us"),
    ("repeatable", "restartable"),
    ("rng-seed", "seed"),
    ("stats", "reports"),
    ("stop-sending-within-us", "drain-grace-us"),
    ("team", "customer"),
    ("tenants", "customers"),
    ("tip-after-us", "fall-us"),
    ("try-limit", "max-executions"),
    ("value-by", "importance-by"),
    ("warm-notes", "tells-warm"),
    ("weight-kind", "sizes"),
    ("worst-class", "worst-workload"),
    ("worst-tenant", "worst-customer"),
    ("worth", "importance"),
];

fn ours(word: &str) -> &str {
    WORDS.iter().find(|(wire, _)| *wire == word).map_or(word, |(_, own)| own)
}

/// Flattens one value of the settings.
fn flatten(at: &str, value: &Json, into: &mut Settings) {
    let join = |name: &str| if at.is_empty() { name.to_string() } else { format!("{at}.{name}") };
    let plain = match value {
        Json::Object(map) => {
            map.iter().for_each(|(name, v)| flatten(&join(ours(name)), v, into));
            return;
        }
        Json::Array(list) => {
            list.iter().enumerate().for_each(|(n, v)| flatten(&join(&n.to_string()), v, into));
            into.0.insert(join("count"), Value::Number(list.len() as f64));
            return;
        }
        Json::Bool(b) => Value::Flag(*b),
        Json::String(s) => Value::Text(ours(s).to_string()),
        Json::Number(n) => Value::Number(n.as_f64().unwrap_or_default()),
        Json::Null => return,
    };
    into.0.insert(at.to_string(), plain);
}

/// The settings as dotted names with plain values, in our words.
pub fn settings(info: &Json) -> Settings {
    let mut map = Settings::default();
    flatten("", info, &mut map);
    map
}

/// The names of a list in the settings, as the platform writes them: `classes`, `kinds`, `azs`.
pub fn names(info: &Json, list: &str) -> Vec<String> {
    let each = info[list].as_array().into_iter().flatten();
    each.filter_map(|v| v.as_str().or(v["name"].as_str()).map(String::from)).collect()
}

/// What each value of a load report is called, in the order of the reports.
pub fn report_fields(info: &Json) -> Vec<String> {
    let fields = info["stats"]["fields"].as_array();
    fields.into_iter().flatten().filter_map(|v| v.as_str().map(String::from)).collect()
}

/// A load report; values of other names are skipped.
pub fn report<'a>(values: impl Iterator<Item = (&'a str, Option<f64>)>) -> Report {
    let mut report = Report::default();
    for (name, value) in values {
        let place = match name {
            "rif" | "inflight" => &mut report.held,
            "q" | "queue" => &mut report.queued,
            "busy" | "util" => &mut report.busy,
            "lat_ms" | "latency_ms" => &mut report.latency_ms,
            "rate" | "qps" => &mut report.finished_per_s,
            "fail_rate" | "eps" => &mut report.errors_per_s,
            "x0" => &mut report.memory_pinned,
            "x1" => &mut report.loads,
            _ => continue,
        };
        *place = value;
    }
    report
}
