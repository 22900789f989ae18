//! The schema of a deployment: the settings of edges and of the decision module.

mod limits;
mod security;

use crate::schema::{key, Occurrence, Section, ValueType};
use limits::{LIMITS, SHARING};
use security::{ALLOW, AUTHORITY, DENY, DOOR, IDENTITY, RIGHTS, TLS};

/// The upper bound of numbers without a specific one.
const UNBOUNDED: f64 = 1e15;

/// The sections of a deployment.
pub const DEPLOYMENT: &[Section] = &[
    DEPLOYMENT_SECTION,
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

const DEPLOYMENT_SECTION: Section = Section {
    name: "deployment",
    prefix: "deployment",
    occurrence: Occurrence::Once,
    description: "the deployment as a whole",
    keys: &[
        key(
            "name",
            ValueType::Text,
            Some("sanddrum"),
            "the deployment's name in logs and metrics; nothing else depends on it",
        ),
        key(
            "zones",
            ValueType::Names,
            Some("here"),
            "all zones, in the same order for all programs",
        )
        .with_dotted_name("zones"),
        key(
            "importance-by",
            ValueType::Choice(&["request", "work"]),
            None,
            "whether importance is the value of a request or of a unit of work",
        )
        .with_dotted_name("importance-by"),
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
            "the latency objective: the time within which a response has its full value",
        ),
        key(
            "time-limit",
            ValueType::Duration,
            Some("5s"),
            "the deadline of a request whose client sets none",
        ),
        key(
            "effect",
            ValueType::Choice(&["restartable", "fingerprinted", "run-once"]),
            Some("run-once"),
            "whether a request may be executed more than once",
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
            "how long workers drop retries of a fingerprinted request",
        ),
        key(
            "importance",
            ValueType::Number(0.0, 1e6),
            Some("1"),
            "the priority weight: the value of a request answered within its start target",
        ),
        key(
            "late-importance",
            ValueType::Number(0.0, 1.0),
            Some("0"),
            "the fraction of its importance that a request answered later still has",
        ),
    ],
};

const CUSTOMER: Section = Section {
    name: "customer",
    prefix: "customers",
    occurrence: Occurrence::UniqueNames,
    description: "a customer, to which requests belong",
    keys: &[
        key(
            "share",
            ValueType::Number(0.0, 1.0),
            Some("1"),
            "the fraction of the service that the customer is entitled to",
        ),
        key(
            "rate",
            ValueType::Number(0.0, 1e9),
            None,
            "requests per second at all edges together; more are rejected",
        ),
        key(
            "in-flight",
            ValueType::Integer(0.0, 1e9),
            None,
            "requests in flight at all edges together; more are rejected",
        ),
        key(
            "certificates",
            ValueType::Names,
            None,
            "names in client certificates that identify this customer; a name may end in *",
        ),
    ],
};

const FUNCTION: Section = Section {
    name: "function",
    prefix: "functions",
    occurrence: Occurrence::UniqueNames,
    description:
        "a function that requests execute; its name may end in *, and the longest match applies",
    keys: &[
        key(
            "workload",
            ValueType::Text,
            None,
            "the workload that the function's requests belong to",
        ),
        key(
            "memory",
            ValueType::Memory,
            Some("256MB"),
            "the memory of one instance",
        ),
        key(
            "lanes",
            ValueType::Integer(1.0, 1e4),
            Some("1"),
            "the concurrency of an instance: requests that it executes at a time",
        ),
        key(
            "load",
            ValueType::Duration,
            None,
            "the usual duration of a load, if known",
        ),
        key(
            "work",
            ValueType::Duration,
            None,
            "the usual duration of an execution, if known",
        ),
    ],
};

const COPIES: Section = Section {
    name: "copies",
    prefix: "copies",
    occurrence: Occurrence::Once,
    description: "how workers load and keep instances of functions",
    keys: &[
        key(
            "keep-alive",
            ValueType::Duration,
            Some("8s"),
            "the minimum time that workers keep an idle instance",
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
            "whether edges may send load and unload commands",
        ),
        key(
            "load-window",
            ValueType::Duration,
            None,
            "the window of the budget for load commands (rule 5)",
        ),
        key(
            "load-free",
            ValueType::Number(0.0, UNBOUNDED),
            None,
            "load commands that an edge may send in a window without any request (rule 5)",
        ),
        key(
            "load-share",
            ValueType::Number(0.0, 1.0),
            None,
            "further load commands that it may send for each request admitted in the window (rule 5)",
        ),
    ],
};

const DESIGN: Section = Section {
    name: "design",
    prefix: "design",
    occurrence: Occurrence::Once,
    description: "options of the decision module, for all functions",
    keys: &[
        key(
            "keep-alive",
            ValueType::Duration,
            None,
            "how long idle instances are renewed after the last request, if longer than workers keep them",
        ),
        key(
            "pre-warmed",
            ValueType::Integer(0.0, 16.0),
            None,
            "instances of each function that all edges together keep pre-warmed",
        ),
        key(
            "drop-after",
            ValueType::Duration,
            None,
            "instances that have been idle for this long are unloaded",
        ),
    ],
};

const RULES: Section = Section {
    name: "rules",
    prefix: "rules",
    occurrence: Occurrence::Once,
    description: "the parameters of the rules for draining and warming up workers",
    keys: &[
        key(
            "drain-grace",
            ValueType::Duration,
            Some("2s"),
            "how long a draining worker may still get new requests (rule 3)",
        ),
        key(
            "cold-from",
            ValueType::Number(0.01, 1.0),
            Some("0.2"),
            "the fraction of its capacity that a worker has when it starts (rule 4)",
        ),
        key(
            "cold",
            ValueType::Duration,
            Some("10s"),
            "how long a worker warms up after its start (rule 4)",
        ),
        key(
            "fall-multiple",
            ValueType::Number(1.0, 100.0),
            Some("3"),
            "a worker that is warming up collapses at this multiple of its current capacity (rule 4)",
        ),
        key(
            "fall",
            ValueType::Duration,
            Some("3s"),
            "the time over which work sent to a worker counts toward its collapse (rule 4)",
        ),
    ],
};

const EDGE: Section = Section {
    name: "edge",
    prefix: "edge",
    occurrence: Occurrence::Once,
    description: "one edge; the command line sets most of these if several edges share a file",
    keys: &[
        key(
            "name",
            ValueType::Text,
            Some("edge-0"),
            "the edge's name, as shown to workers and in logs",
        ),
        key(
            "listen",
            ValueType::Address,
            Some("127.0.0.1:8080"),
            "the address of the client listener",
        ),
        key(
            "list",
            ValueType::Address,
            Some("127.0.0.1:8090"),
            "the address of the discovery service",
        ),
        key(
            "zone",
            ValueType::Text,
            None,
            "the edge's zone; the first one if not set",
        ),
        key(
            "state-file",
            ValueType::Text,
            None,
            "the file that caches the endpoint list across restarts",
        ),
        key(
            "number",
            ValueType::Integer(0.0, 1e6),
            Some("0"),
            "the edge's number among all edges, from 0",
        )
        .with_dotted_name("me"),
        key(
            "edges",
            ValueType::Integer(1.0, 1e6),
            Some("1"),
            "the number of edges",
        )
        .with_dotted_name("routers"),
    ],
};
