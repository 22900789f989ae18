//! What may be set, in which unit, within which bounds, and what it is for.

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueType {
    /// A span of time with a unit; kept in microseconds, its dotted name ends in `-us`.
    Duration,
    /// An amount of memory; kept in MB, its dotted name ends in `-mb`.
    Memory,
    /// A number of bytes; its dotted name ends in `-bytes`.
    Bytes,
    /// A number, or a percentage, within bounds.
    Number(f64, f64),
    Integer(f64, f64),
    /// Whole numbers within bounds, one after the other.
    Integers(f64, f64),
    Flag,
    Text,
    Choice(&'static [&'static str]),
    /// An IP address and a port.
    Address,
    /// Names, one after the other.
    Names,
}

impl ValueType {
    pub(crate) fn is_list(self) -> bool {
        matches!(self, ValueType::Names | ValueType::Integers(..))
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Key {
    pub name: &'static str,
    pub value_type: ValueType,
    /// Taken where the file says nothing; where there is none either, the reader's own counts.
    pub default: Option<&'static str>,
    pub description: &'static str,
    /// The dotted name, where it is not the section's and the key's.
    pub dotted: Option<&'static str>,
}

/// How often a section may occur in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Occurrence {
    /// At most once, without a name.
    Once,
    /// Any number of times; the first part is a name, and names are unique.
    UniqueNames,
    /// Any number of times; the first part is a name, and names may be equal.
    AnyNames,
}

impl Occurrence {
    /// Whether the first part of the section is its name.
    pub fn is_named(self) -> bool {
        self != Occurrence::Once
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Section {
    pub name: &'static str,
    /// What the dotted names of its keys begin with.
    pub dotted: &'static str,
    /// How often it may occur in a file.
    pub occurrence: Occurrence,
    pub keys: &'static [Key],
    pub description: &'static str,
}

pub const fn key(
    name: &'static str,
    value_type: ValueType,
    default: Option<&'static str>,
    description: &'static str,
) -> Key {
    Key {
        name,
        value_type,
        default,
        description,
        dotted: None,
    }
}

const fn as_is(key: Key, dotted: &'static str) -> Key {
    Key {
        dotted: Some(dotted),
        ..key
    }
}

const ANY: f64 = 1e15;

/// A deployment: what edges and the decision module are told.
pub const DEPLOYMENT: &[Section] = &[
    Section {
        name: "deployment",
        dotted: "deployment",
        occurrence: Occurrence::Once,
        description: "the whole",
        keys: &[
            key("name", ValueType::Text, Some("sanddrum"), "shown in logs and metrics; nothing depends on it"),
            as_is(
                key("zones", ValueType::Names, Some("here"), "zones, in an order that all programs share"),
                "zones",
            ),
            as_is(
                key(
                    "importance-by",
                    ValueType::Choice(&["request", "work"]),
                    None,
                    "whether importance counts by job or by work",
                ),
                "importance-by",
            ),
        ],
    },
    Section {
        name: "workload",
        dotted: "workloads",
        occurrence: Occurrence::UniqueNames,
        description: "a kind of job",
        keys: &[
            key("start-target", ValueType::Duration, Some("1s"), "wanted within"),
            key("time-limit", ValueType::Duration, Some("5s"), "given up after, where the client does not say"),
            key(
                "effect",
                ValueType::Choice(&["restartable", "fingerprinted", "run-once"]),
                Some("run-once"),
                "whether a job may run again",
            ),
            key(
                "group",
                ValueType::Choice(&["all", "zone", "cell"]),
                None,
                "which workers drop repeats of fingerprinted jobs",
            ),
            key("repeat-window", ValueType::Duration, None, "for how long they do"),
            key(
                "importance",
                ValueType::Number(0.0, 1e6),
                Some("1"),
                "what a job answered within its target is worth",
            ),
            key(
                "late-importance",
                ValueType::Number(0.0, 1.0),
                Some("0"),
                "the part of it that a later answer still earns",
            ),
        ],
    },
    Section {
        name: "customer",
        dotted: "customers",
        occurrence: Occurrence::UniqueNames,
        description: "who asks",
        keys: &[
            key("share", ValueType::Number(0.0, 1.0), Some("1"), "its part of the service"),
            key("rate", ValueType::Number(0.0, 1e9), None, "jobs a second over all edges; more are pushed back"),
            key("in-flight", ValueType::Integer(0.0, 1e9), None, "jobs held at a time over all edges; more are pushed back"),
            key("certificates", ValueType::Names, None, "names in client certificates that are this customer's; a * may end one"),
        ],
    },
    Section {
        name: "function",
        dotted: "functions",
        occurrence: Occurrence::UniqueNames,
        description: "what is called; a name may end in *, the longest that fits counts",
        keys: &[
            key("workload", ValueType::Text, None, "the workload that its jobs belong to"),
            key("memory", ValueType::Memory, Some("256MB"), "of one loaded copy"),
            key("lanes", ValueType::Integer(1.0, 1e4), Some("1"), "jobs that one copy runs at a time"),
            key("load", ValueType::Duration, None, "what a load usually takes, where known"),
            key("work", ValueType::Duration, None, "what a job usually takes, where known"),
        ],
    },
    Section {
        name: "identity",
        dotted: "identity",
        occurrence: Occurrence::Once,
        description: "who calls",
        keys: &[
            key("tokens", ValueType::Choice(&["off", "optional", "required"]), Some("off"), "whether callers show tokens"),
            key("keys-file", ValueType::Text, None, "the set of verifying keys, watched for changes"),
            key("audience", ValueType::Text, Some("sanddrum"), "tokens are for this one"),
            key("leeway", ValueType::Duration, Some("60s"), "by how much clocks may differ"),
            key("longest-token", ValueType::Duration, Some("24h"), "how long a token may last from now"),
            key("largest-token", ValueType::Bytes, Some("4KB"), "longer ones are refused unread"),
            key("token-checks", ValueType::Integer(1.0, 1e7), Some("2000"), "signatures checked a second for known callers, and as many for strangers"),
            key("token-memory", ValueType::Integer(0.0, 1e7), Some("20000"), "checked tokens that are remembered"),
            key("bad-tokens", ValueType::Integer(1.0, 1e6), Some("8"), "after so many in a row a connection is closed"),
            key("watch-every", ValueType::Duration, Some("500ms"), "how often the keys file is looked at"),
            key("audit-file", ValueType::Text, None, "one JSON line for each refusal and change of keys"),
            key("audit-most", ValueType::Bytes, Some("64MB"), "its size; one more of that size is kept"),
            key("audit-rate", ValueType::Integer(1.0, 1e6), Some("200"), "lines a second; the rest is counted"),
        ],
    },
    Section {
        name: "tls",
        dotted: "tls",
        occurrence: Occurrence::Once,
        description: "TLS toward workers",
        keys: &[
            key("workers", ValueType::Choice(&["plain", "verified"]), Some("plain"), "whether workers have to prove their names"),
            key("roots-file", ValueType::Text, None, "PEM: authorities whose word on names is trusted; watched"),
            key("certificate-file", ValueType::Text, None, "PEM: the chain that this edge shows to workers; watched"),
            key("key-file", ValueType::Text, None, "PEM: its key; watched"),
            key("revoked-file", ValueType::Text, None, "PEM: revocation lists of the authorities; watched, never older"),
            key("denied-file", ValueType::Text, None, "prints of keys that are not believed, a line each; watched"),
            key("handshake-time-out", ValueType::Duration, Some("2s"), "a handshake that is not done by then is given up"),
            key("handshakes", ValueType::Integer(1.0, 1e6), Some("256"), "handshakes with callers under way; more are closed at once"),
            key("sessions", ValueType::Integer(0.0, 1e6), Some("4096"), "sessions remembered to be taken up again"),
            key("waiting", ValueType::Bytes, Some("256KB"), "ciphertext that waits for one socket"),
            key("watch-every", ValueType::Duration, Some("1s"), "how often the files are looked at"),
            key("warn-ahead", ValueType::Duration, Some("336h"), "so long before a certificate or a list ends there are warnings"),
        ],
    },
    Section {
        name: "authority",
        dotted: "authorities",
        occurrence: Occurrence::UniqueNames,
        description: "a trusted authority, by its common name, that may speak for some workers' names only",
        keys: &[key("names", ValueType::Names, None, "whole names, or .zone.example for all below it")],
    },
    Section {
        name: "door",
        dotted: "door",
        occurrence: Occurrence::Once,
        description: "TLS at the client door",
        keys: &[
            key("speaks", ValueType::Choice(&["plain", "tls"]), Some("plain"), "what clients have to speak"),
            key("certificate-file", ValueType::Text, None, "PEM: the chain that clients are shown; watched"),
            key("key-file", ValueType::Text, None, "PEM: its key; watched"),
            key("certificates", ValueType::Choice(&["off", "optional", "required"]), Some("off"), "whether clients show certificates"),
            key("roots-file", ValueType::Text, None, "PEM: authorities of the clients' certificates; watched"),
            key("revoked-file", ValueType::Text, None, "PEM: their revocation lists; watched, never older"),
            key("denied-file", ValueType::Text, None, "prints of clients' keys that are not believed; watched"),
        ],
    },
    Section {
        name: "sharing",
        dotted: "sharing",
        occurrence: Occurrence::Once,
        description: "limits under load",
        keys: &[
            key("shares", ValueType::Flag, Some("no"), "while the fleet is pressed, customers get their shares"),
            key("window", ValueType::Duration, Some("1s"), "paces are taken over this, as workers do; a lent share is back within two"),
        ],
    },
    Section {
        name: "rights",
        dotted: "rights",
        occurrence: Occurrence::Once,
        description: "who may run what, where no line fits",
        keys: &[key("default", ValueType::Choice(&["allow", "deny"]), Some("allow"), "what holds then")],
    },
    Section {
        name: "allow",
        dotted: "allow",
        occurrence: Occurrence::AnyNames,
        description: "a customer, or names that begin alike (a-*), may run these; one (deny ...) that fits outweighs it",
        keys: &[
            key("functions", ValueType::Names, None, "functions, by name or beginning; any where not said"),
            key("workloads", ValueType::Names, None, "workloads; any where not said"),
        ],
    },
    Section {
        name: "deny",
        dotted: "deny",
        occurrence: Occurrence::AnyNames,
        description: "a customer, or names that begin alike (a-*), may not run these",
        keys: &[
            key("functions", ValueType::Names, None, "functions, by name or beginning; any where not said"),
            key("workloads", ValueType::Names, None, "workloads; any where not said"),
        ],
    },
    Section {
        name: "copies",
        dotted: "copies",
        occurrence: Occurrence::Once,
        description: "what workers do with loaded copies",
        keys: &[
            key("keep-alive", ValueType::Duration, Some("8s"), "the least time that workers keep an idle copy"),
            key(
                "on-miss",
                ValueType::Choice(&["load", "miss"]),
                Some("load"),
                "what a worker does that lacks the function",
            ),
            key("orders", ValueType::Flag, Some("yes"), "edges may have copies held and unloaded"),
            key("load-window", ValueType::Duration, None, "rule 5: the window of the ration of orders to load"),
            key(
                "load-free",
                ValueType::Number(0.0, ANY),
                None,
                "rule 5: orders to load in a window that are free",
            ),
            key("load-share", ValueType::Number(0.0, 1.0), None, "rule 5: and for each job taken in it"),
        ],
    },
    Section {
        name: "design",
        dotted: "design",
        occurrence: Occurrence::Once,
        description: "the design's options, for all functions",
        keys: &[
            key("keep-alive", ValueType::Duration, None, "renew idle copies for longer than workers keep them"),
            key(
                "pre-warmed",
                ValueType::Integer(0.0, 16.0),
                None,
                "copies of each function held ahead, by all edges together",
            ),
            key("drop-after", ValueType::Duration, None, "have copies unloaded that nobody asked for so long"),
        ],
    },
    Section {
        name: "rules",
        dotted: "rules",
        occurrence: Occurrence::Once,
        description: "the figures of the rules",
        keys: &[
            key("drain-grace", ValueType::Duration, Some("2s"), "rule 3: nothing new to a draining worker after"),
            key(
                "cold-from",
                ValueType::Number(0.01, 1.0),
                Some("0.2"),
                "rule 4: a worker starts with this part of its capacity",
            ),
            key("cold", ValueType::Duration, Some("10s"), "rule 4: and is warm after"),
            key(
                "fall-multiple",
                ValueType::Number(1.0, 100.0),
                Some("3"),
                "rule 4: it falls when sent so many times what it can do",
            ),
            key("fall", ValueType::Duration, Some("3s"), "rule 4: for so long"),
        ],
    },
    Section {
        name: "limits",
        dotted: "limits",
        occurrence: Occurrence::Once,
        description: "bounds; each shows by its name where it is hit",
        keys: &[
            key("max-executions", ValueType::Integer(1.0, 100.0), Some("5"), "executions of one job"),
            key("second-copies", ValueType::Flag, Some("yes"), "a restartable job may run twice at a time"),
            key("cancel", ValueType::Flag, Some("yes"), "edges may take executions back"),
            key("probes", ValueType::Flag, Some("yes"), "edges may probe workers"),
            key("max-retry-after", ValueType::Duration, Some("2s"), "the longest time to come back that clients heed"),
            key(
                "answer-ahead",
                ValueType::Duration,
                Some("20ms"),
                "a final answer is given so long before the client's time is up, for its way back",
            ),
            key(
                "max-functions",
                ValueType::Integer(1.0, 1e7),
                Some("100000"),
                "functions that an edge knows by name",
            ),
            key(
                "max-open",
                ValueType::Integer(1.0, 1e7),
                Some("20000"),
                "jobs held by an edge; more are pushed back unseen",
            ),
            key(
                "max-clients",
                ValueType::Integer(1.0, 1e6),
                Some("20000"),
                "client connections; more are closed at once",
            ),
            key(
                "client-idle",
                ValueType::Duration,
                Some("60s"),
                "a client connection that asks nothing is closed after",
            ),
            key("time-to-speak", ValueType::Duration, Some("200ms"), "where clients take all places, one that has said nothing for so long makes room first"),
            key("head-time-out", ValueType::Duration, Some("10s"), "a request that has begun must be whole within"),
            key(
                "linger",
                ValueType::Duration,
                Some("1s"),
                "how long a refused client is read out, so that it gets its answer",
            ),
            key("largest-head", ValueType::Bytes, Some("16KB"), "of a request"),
            key("largest-body", ValueType::Bytes, Some("8MB"), "of a request"),
            key("pipelined", ValueType::Integer(1.0, 1e4), Some("16"), "requests that one connection may have open"),
            key(
                "waiting-per-client",
                ValueType::Bytes,
                Some("16MB"),
                "bytes of answers that a client is slow to read",
            ),
            key(
                "waiting-per-worker",
                ValueType::Bytes,
                Some("16MB"),
                "bytes that one connection to a worker is slow to take",
            ),
            key("largest-frame", ValueType::Bytes, Some("16MB"), "of the worker protocol"),
            key("largest-list", ValueType::Bytes, Some("16MB"), "an answer of the platform's control feed"),
            key(
                "streams",
                ValueType::Integer(1.0, 1e5),
                Some("64"),
                "executions that one connection to a worker carries",
            ),
            key(
                "streams-wanted",
                ValueType::Integer(1.0, 1e5),
                None,
                "with so many on a connection another is made ahead, as one that breaks costs all on it; as streams where not said",
            ),
            key("connections", ValueType::Integer(1.0, 1e3), Some("4"), "connections to one worker"),
            key(
                "all-connections",
                ValueType::Integer(1.0, 1e6),
                Some("100000"),
                "connections to all workers; at so many the one idle for longest makes room, and none is made ahead",
            ),
            key("connect-time-out", ValueType::Duration, Some("250ms"), "a connection not up by then is given up"),
            key(
                "idle-close",
                ValueType::Duration,
                Some("15s"),
                "a connection to a worker that carries nothing is closed after",
            ),
            key("probe-time-out", ValueType::Duration, Some("250ms"), "a probe unanswered by then is given up"),
            key("order-time-out", ValueType::Duration, Some("10s"), "an order unanswered by then is given up"),
            key(
                "list-retry-least",
                ValueType::Duration,
                Some("100ms"),
                "first wait before the list service is called again",
            ),
            key("list-retry-most", ValueType::Duration, Some("5s"), "and the longest"),
            key("list-calls", ValueType::Number(0.1, 1e6), Some("100"), "calls a second that the list service is to bear from all edges together"),
            key("list-check", ValueType::Duration, Some("10s"), "a list service that has said nothing for about so long is asked whether it is there"),
            key("save-least", ValueType::Duration, Some("500ms"), "the worker list is kept no more often than this"),
            key("repeats", ValueType::Number(0.0, 1.0), Some("10%"), "while the fleet is pressed, clients' repeats taken for each first try; 100%: any number"),
            key("handshakes-out", ValueType::Integer(1.0, 1e5), Some("32"), "connections to workers that are being made at a time"),
            key("handshakes-per-worker", ValueType::Integer(1.0, 1e4), Some("2"), "of them to one worker; one where it is pressed or failed before"),
            key("handshake-part", ValueType::Number(0.0, 1.0), Some("25%"), "of what a worker can do, for handshakes of all edges together while it is cold or they queue there; 0: any number"),
            key("connections-ahead", ValueType::Integer(0.0, 1e5), Some("16"), "workers, used most of late, to which a connection is kept ahead of need"),
            key("connect-again", ValueType::Integer(1.0, 1e5), Some("20"), "tries a second, in all, at workers that could not be reached when last tried"),
            key("left-alone-least", ValueType::Duration, Some("100ms"), "a worker that could not be reached is left alone so long, then twice as long"),
            key("left-alone-most", ValueType::Duration, Some("2s"), "and no longer than that"),
            key("retire-within", ValueType::Duration, Some("30s"), "connections made on past terms are replaced within"),
            key("retire-at-once", ValueType::Integer(1.0, 1e5), Some("4"), "so many at a time"),
            key("late-arrivals", ValueType::Duration, Some("0s"), "an edge asked to end goes on listening and taking jobs for so long"),
            key("held-bodies", ValueType::Bytes, Some("1GB"), "bytes of the bodies of all jobs held; more are pushed back unseen"),
            key("figures-beyond", ValueType::Number(1.0, 1e6), Some("10"), "what callers state may be so many times what is set for it; more is taken for nonsense"),
            key("feed-wait", ValueType::Duration, Some("1s"), "how long a control feed may keep a question before it answers that nothing is new"),
            key("feed-silence", ValueType::Duration, Some("500ms"), "a feed that is later than that is called anew"),
            key("stop-within", ValueType::Duration, Some("10s"), "an edge asked to end has answered all by then"),
        ],
    },
    Section {
        name: "edge",
        dotted: "edge",
        occurrence: Occurrence::Once,
        description: "one edge; most are given on the command line where a file serves several",
        keys: &[
            key("name", ValueType::Text, Some("edge-0"), "as workers and logs know it"),
            key("listen", ValueType::Address, Some("127.0.0.1:8080"), "the client door"),
            key("list", ValueType::Address, Some("127.0.0.1:8090"), "the list service"),
            key("zone", ValueType::Text, None, "the zone that it is in; the first one where not said"),
            key("state-file", ValueType::Text, None, "where the last list is kept over a restart"),
            as_is(key("number", ValueType::Integer(0.0, 1e6), Some("0"), "its own number among the edges"), "me"),
            as_is(key("edges", ValueType::Integer(1.0, 1e6), Some("1"), "how many there are"), "routers"),
        ],
    },
];
