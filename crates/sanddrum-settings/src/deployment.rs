//! The schema of a deployment: what edges and the decision module are configured with.

mod limits;
mod security;

use crate::schema::{key, Occurrence, Section, ValueType};
use limits::{LIMITS, SHARING};
use security::{ALLOW, AUTHORITY, DENY, DOOR, IDENTITY, RIGHTS, TLS};

/// The upper bound of numbers that have none of their own.
const UNBOUNDED: f64 = 1e15;

/// The sections of a deployment.
pub const DEPLOYMENT: &[Section] = &[
    WHOLE_DEPLOYMENT,
    WORKLOAD,
    CUSTOMER,
    FUNCTION,
    IDENTITY,
    TLS,
    AUTHORITY,
    DOOR,
    SHARING,
    RIGHTS,
    ALLOW,
    DENY,
    COPIES,
    DESIGN,
    RULES,
    LIMITS,
    EDGE,
];

const WHOLE_DEPLOYMENT: Section = Section {
    name: "deployment",
    prefix: "deployment",
    occurrence: Occurrence::Once,
    description: "the deployment as a whole",
    keys: &[
        key(
            "name",
            ValueType::Text,
            Some("sanddrum"),
            "shown in logs and metrics; nothing depends on it",
        ),
        key(
            "zones",
            ValueType::Names,
            Some("here"),
            "zones, in an order that all programs share",
        )
        .named("zones"),
        key(
            "importance-by",
            ValueType::Choice(&["request", "work"]),
            None,
            "whether importance counts by request or by work",
        )
        .named("importance-by"),
    ],
};

const WORKLOAD: Section = Section {
    name: "workload",
    prefix: "workloads",
    occurrence: Occurrence::UniqueNames,
    description: "a kind of request",
    keys: &[
        key(
            "start-target",
            ValueType::Duration,
            Some("1s"),
            "the latency objective: a response is wanted within",
        ),
        key(
            "time-limit",
            ValueType::Duration,
            Some("5s"),
            "the deadline, where the client sets none",
        ),
        key(
            "effect",
            ValueType::Choice(&["restartable", "fingerprinted", "run-once"]),
            Some("run-once"),
            "whether a request may be executed again",
        ),
        key(
            "group",
            ValueType::Choice(&["all", "zone", "cell"]),
            None,
            "which workers drop retries of fingerprinted requests",
        ),
        key(
            "repeat-window",
            ValueType::Duration,
            None,
            "for how long they do",
        ),
        key(
            "importance",
            ValueType::Number(0.0, 1e6),
            Some("1"),
            "the value of a request answered within its target",
        ),
        key(
            "late-importance",
            ValueType::Number(0.0, 1.0),
            Some("0"),
            "the share of it that a later response still has",
        ),
    ],
};

const CUSTOMER: Section = Section {
    name: "customer",
    prefix: "customers",
    occurrence: Occurrence::UniqueNames,
    description: "whose requests they are",
    keys: &[
        key(
            "share",
            ValueType::Number(0.0, 1.0),
            Some("1"),
            "its share of the service",
        ),
        key(
            "rate",
            ValueType::Number(0.0, 1e9),
            None,
            "requests a second over all edges; more are rejected",
        ),
        key(
            "in-flight",
            ValueType::Integer(0.0, 1e9),
            None,
            "requests in flight over all edges; more are rejected",
        ),
        key(
            "certificates",
            ValueType::Names,
            None,
            "names in client certificates that are this customer's; one may end in *",
        ),
    ],
};

const FUNCTION: Section = Section {
    name: "function",
    prefix: "functions",
    occurrence: Occurrence::UniqueNames,
    description: "what requests call; a name may end in *, the longest match counts",
    keys: &[
        key(
            "workload",
            ValueType::Text,
            None,
            "the workload that its requests belong to",
        ),
        key(
            "memory",
            ValueType::Memory,
            Some("256MB"),
            "of one instance",
        ),
        key(
            "lanes",
            ValueType::Integer(1.0, 1e4),
            Some("1"),
            "requests that one instance executes at a time",
        ),
        key(
            "load",
            ValueType::Duration,
            None,
            "the usual duration of a load, where known",
        ),
        key(
            "work",
            ValueType::Duration,
            None,
            "the usual duration of an execution, where known",
        ),
    ],
};

const COPIES: Section = Section {
    name: "copies",
    prefix: "copies",
    occurrence: Occurrence::Once,
    description: "what workers do with instances of functions",
    keys: &[
        key(
            "keep-alive",
            ValueType::Duration,
            Some("8s"),
            "the least time that workers keep an idle instance",
        ),
        key(
            "on-miss",
            ValueType::Choice(&["load", "miss"]),
            Some("load"),
            "what a worker does on a cold miss",
        ),
        key(
            "orders",
            ValueType::Flag,
            Some("yes"),
            "edges may send load and unload commands",
        ),
        key(
            "load-window",
            ValueType::Duration,
            None,
            "rule 5: the window of the budget of load commands",
        ),
        key(
            "load-free",
            ValueType::Number(0.0, UNBOUNDED),
            None,
            "rule 5: load commands in a window that are free",
        ),
        key(
            "load-share",
            ValueType::Number(0.0, 1.0),
            None,
            "rule 5: and for each request admitted in it",
        ),
    ],
};

const DESIGN: Section = Section {
    name: "design",
    prefix: "design",
    occurrence: Occurrence::Once,
    description: "the design's options, for all functions",
    keys: &[
        key(
            "keep-alive",
            ValueType::Duration,
            None,
            "renew idle instances for longer than workers keep them",
        ),
        key(
            "pre-warmed",
            ValueType::Integer(0.0, 16.0),
            None,
            "instances of each function that are kept warm, by all edges together",
        ),
        key(
            "drop-after",
            ValueType::Duration,
            None,
            "unload instances that have been idle for this long",
        ),
    ],
};

const RULES: Section = Section {
    name: "rules",
    prefix: "rules",
    occurrence: Occurrence::Once,
    description: "the parameters of the rules",
    keys: &[
        key(
            "drain-grace",
            ValueType::Duration,
            Some("2s"),
            "rule 3: no new requests to a draining worker after",
        ),
        key(
            "cold-from",
            ValueType::Number(0.01, 1.0),
            Some("0.2"),
            "rule 4: a worker starts with this share of its capacity",
        ),
        key(
            "cold",
            ValueType::Duration,
            Some("10s"),
            "rule 4: and is warmed up after",
        ),
        key(
            "fall-multiple",
            ValueType::Number(1.0, 100.0),
            Some("3"),
            "rule 4: it collapses at this multiple of its capacity",
        ),
        key(
            "fall",
            ValueType::Duration,
            Some("3s"),
            "rule 4: sent for this long",
        ),
    ],
};

const EDGE: Section = Section {
    name: "edge",
    prefix: "edge",
    occurrence: Occurrence::Once,
    description: "one edge; the command line sets most of them where a file serves several",
    keys: &[
        key(
            "name",
            ValueType::Text,
            Some("edge-0"),
            "as workers and logs know it",
        ),
        key(
            "listen",
            ValueType::Address,
            Some("127.0.0.1:8080"),
            "the client listener",
        ),
        key(
            "list",
            ValueType::Address,
            Some("127.0.0.1:8090"),
            "the discovery service",
        ),
        key(
            "zone",
            ValueType::Text,
            None,
            "its zone; the first one where not set",
        ),
        key(
            "state-file",
            ValueType::Text,
            None,
            "the file that caches the endpoint list over a restart",
        ),
        key(
            "number",
            ValueType::Integer(0.0, 1e6),
            Some("0"),
            "its number among the edges",
        )
        .named("me"),
        key(
            "edges",
            ValueType::Integer(1.0, 1e6),
            Some("1"),
            "how many edges there are",
        )
        .named("routers"),
    ],
};
