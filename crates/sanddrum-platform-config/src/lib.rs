//! The settings and load reports of the users' platform in our words. The simulator's adapter and the router both read
//! them here, so that the decision module gets equal settings in both. It knows words and nothing of policy.

#![allow(clippy::too_many_lines)] // unfinished: docs/ROADMAP.md

pub use sanddrum_wire::stable_id;

use sanddrum::{LoadReport, Settings, Value};
use serde_json::Value as Json;

/// The settings' keys that differ from ours.
const WORDS: [(&str, &str); 37] = [
    ("aim-us", "start-target-us"),
    ("answer-slack-us", "answer-slack-us"),
    ("az", "zone"),
    ("azs", "zones"),
    ("balancers", "routers"),
    ("blend", "goal"),
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
    ("may-duplicate", "second-copies"),
    ("obligations", "rules"),
    ("over-share-worth", "over-share-importance"),
    ("placement-calls", "orders"),
    ("ram-mb-by-kind", "kind-memory-mb"),
    ("repeat-window-us", "repeat-window-us"),
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

/// Keys whose texts are codes, each code with our word for it. Other texts are names and are kept to the letter.
const CODES: [(&str, &[(&str, &str)]); 7] = [
    (
        "effect",
        &[
            ("repeatable", "restartable"),
            ("by_key", "fingerprinted"),
            ("once", "run-once"),
        ],
    ),
    (
        "key-scope",
        &[("all", "all"), ("zone", "zone"), ("cell", "cell")],
    ),
    ("if-cold", &[("load", "load"), ("miss", "miss")]),
    (
        "membership-mode",
        &[("automatic", "automatic"), ("subscribe", "subscribe")],
    ),
    (
        "via",
        &[("answers", "answers"), ("probe", "probe"), ("none", "none")],
    ),
    ("value-by", &[("request", "request"), ("work", "work")]),
    (
        "weight-kind",
        &[
            ("none", "none"),
            ("nominal", "nominal"),
            ("rough", "rough"),
            ("live", "live"),
        ],
    ),
];

/// Keys that allow something or not.
const FLAGS: [&str; 8] = [
    "cancel",
    "may-duplicate",
    "peers",
    "placement-calls",
    "probes",
    "retry-after",
    "tells-crowd",
    "warm-notes",
];

/// Flattens one value of the settings: `wire` is its dotted name as the platform words it, `at` as we do.
fn flatten(wire: &str, at: &str, value: &Json, into: &mut Settings) -> Result<(), String> {
    let join = |to: &str, name: &str| {
        if to.is_empty() {
            name.to_string()
        } else {
            format!("{to}.{name}")
        }
    };
    let key = wire.rsplit('.').next().unwrap_or_default();
    let codes = CODES
        .iter()
        .find(|(name, _)| *name == key)
        .map(|(_, codes)| *codes);
    let plain = match value {
        Json::Object(map) => {
            for (name, v) in map {
                let own = WORDS
                    .iter()
                    .find(|(wire, _)| wire == name)
                    .map_or(name.as_str(), |(_, own)| own);
                flatten(&join(wire, name), &join(at, own), v, into)?;
            }
            return Ok(());
        }
        Json::Array(list) => {
            for (n, v) in list.iter().enumerate() {
                flatten(
                    &join(wire, &n.to_string()),
                    &join(at, &n.to_string()),
                    v,
                    into,
                )?;
            }
            into.0
                .insert(join(at, "count"), Value::Number(list.len() as f64));
            return Ok(());
        }
        Json::Null => return Ok(()),
        Json::Bool(b) => Value::Flag(*b),
        Json::String(text) => {
            let own = codes.map(|codes| {
                codes
                    .iter()
                    .find(|(code, _)| code == text)
                    .map(|(_, own)| *own)
            });
            Value::Text(
                own.unwrap_or(Some(text))
                    .ok_or_else(|| unusable(wire, value))?
                    .to_string(),
            )
        }
        Json::Number(n) => Value::Number(n.as_f64().unwrap_or_default()),
    };
    let fits = match &plain {
        Value::Flag(_) => codes.is_none() && !key.ends_with("-us"),
        Value::Text(_) => !FLAGS.contains(&key) && !key.ends_with("-us"),
        // Prices bear the names of what they are for, and are numbers.
        Value::Number(n) => {
            let price = wire.starts_with("prices.");
            price
                || (codes.is_none()
                    && !FLAGS.contains(&key)
                    && (!key.ends_with("-us") || *n >= 0.0))
        }
    };
    if !fits {
        return Err(unusable(wire, value));
    }
    into.0.insert(at.to_string(), plain);
    Ok(())
}

fn unusable(wire: &str, value: &Json) -> String {
    let key = wire.rsplit('.').next().unwrap_or_default();
    let wanted = match CODES.iter().find(|(name, _)| *name == key) {
        Some((_, codes)) => codes
            .iter()
            .map(|(code, _)| *code)
            .collect::<Vec<_>>()
            .join(", "),
        None if FLAGS.contains(&key) => "true, false".to_string(),
        None => "a number of microseconds, nought or more".to_string(),
    };
    format!("{wire}: {value} can't be used; wanted: {wanted}")
}

/// The settings as dotted names with plain values, in our words. Keys that are not known are kept under their own
/// names, and what is missing or null is left out.
///
/// # Errors
/// A value that can't be used, by the name of its key: a code that none of the known ones is, or a value of
/// another kind. Guards against an unknown effect or answer to a miss being taken for another.
pub fn decision_settings(info: &Json) -> Result<Settings, String> {
    let some = |list: &Json| list.as_array().is_some_and(|list| !list.is_empty());
    if info.get("classes").is_some_and(|list| !some(list)) {
        return Err("classes: a list with at least one entry is wanted".into());
    }
    let mut map = Settings::default();
    flatten("", "", info, &mut map)?;
    Ok(map)
}

/// The names of a list in the settings, as the platform writes them: `classes`, `kinds`, `azs`.
pub fn list_names(info: &Json, list: &str) -> Vec<String> {
    let each = info[list].as_array().into_iter().flatten();
    each.filter_map(|v| v.as_str().or(v["name"].as_str()).map(String::from))
        .collect()
}

/// What each value of a load report is called, in the order of the reports.
pub fn load_report_fields(info: &Json) -> Vec<String> {
    let fields = info["stats"]["fields"].as_array();
    fields
        .into_iter()
        .flatten()
        .filter_map(|v| v.as_str().map(String::from))
        .collect()
}

/// A load report; values of other names are skipped.
pub fn load_report<'a>(values: impl Iterator<Item = (&'a str, Option<f64>)>) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in values {
        let place = match name {
            "rif" | "inflight" => &mut report.in_flight,
            "q" | "queue" => &mut report.queued,
            "busy" | "util" => &mut report.busy,
            "lat_ms" | "latency_ms" => &mut report.latency_ms,
            "rate" | "qps" => &mut report.finished_per_s,
            "fail_rate" | "eps" => &mut report.errors_per_s,
            "x0" => &mut report.memory_pinned,
            "x1" => &mut report.loads_in_progress,
            _ => continue,
        };
        *place = value;
    }
    report
}
