//! The platform's keys and codes, and the decision module's names for them.

/// The values that a key may have: the platform's code and the decision module's code.
pub(crate) type Codes = &'static [(&'static str, &'static str)];

/// Keys of the platform, each followed by the decision module's name for it. Other keys have the same name in both.
const KEY_NAMES: [(&str, &str); 37] = [
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

/// Keys whose strings are codes. Strings of other keys are names and stay unchanged.
const CODED_KEYS: [(&str, Codes); 7] = [
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

/// Keys whose values are booleans.
const FLAG_KEYS: [&str; 8] = [
    "cancel",
    "may-duplicate",
    "peers",
    "placement-calls",
    "probes",
    "retry-after",
    "tells-crowd",
    "warm-notes",
];

/// The type of a key's values.
#[derive(Clone, Copy, Debug)]
pub(crate) enum KeyType {
    /// One of these codes.
    Code(Codes),
    /// A boolean.
    Flag,
    /// Microseconds, at least zero.
    Duration,
    /// Any value.
    Any,
}

impl KeyType {
    /// The type of the key with this name on the platform.
    pub fn of(key: &str) -> KeyType {
        if let Some((_, codes)) = CODED_KEYS.iter().find(|(name, _)| *name == key) {
            KeyType::Code(codes)
        } else if FLAG_KEYS.contains(&key) {
            KeyType::Flag
        } else if key.ends_with("-us") {
            KeyType::Duration
        } else {
            KeyType::Any
        }
    }

    /// Describes the values that a key of this type may have, for error messages.
    pub fn expected_values(self) -> String {
        match self {
            KeyType::Code(codes) => {
                let platform_codes: Vec<&str> = codes.iter().map(|(code, _)| *code).collect();
                platform_codes.join(", ")
            }
            KeyType::Flag => "true, false".to_string(),
            KeyType::Duration | KeyType::Any => "a number of microseconds, at least 0".to_string(),
        }
    }
}

/// The decision module's name for a key of the platform; unknown keys keep their names.
pub(crate) fn decision_key(key: &str) -> &str {
    KEY_NAMES
        .iter()
        .find(|(platform_name, _)| *platform_name == key)
        .map_or(key, |(_, decision_name)| decision_name)
}
