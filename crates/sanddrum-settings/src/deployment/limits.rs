//! The sections of limits and of sharing under overload.

use crate::schema::{key, Occurrence, Section, ValueType};

pub(super) const SHARING: Section = Section {
    name: "sharing",
    prefix: "sharing",
    occurrence: Occurrence::Once,
    description: "sharing of the service under overload",
    keys: &[
        key(
            "shares",
            ValueType::Flag,
            Some("no"),
            "whether each customer gets its share while the fleet is overloaded",
        ),
        key(
            "window",
            ValueType::Duration,
            Some("1s"),
            "the window over which rates are measured, as workers do; a share lent to others is \
             returned within twice this time",
        ),
    ],
};

pub(super) const LIMITS: Section = Section {
    name: "limits",
    prefix: "limits",
    occurrence: Occurrence::Once,
    description: "limits; each is reported under its name when it is hit",
    keys: &[
        key(
            "max-executions",
            ValueType::Integer(1.0, 100.0),
            Some("5"),
            "attempts per request",
        ),
        key(
            "second-copies",
            ValueType::Flag,
            Some("yes"),
            "whether restartable requests may be hedged",
        ),
        key(
            "cancel",
            ValueType::Flag,
            Some("yes"),
            "whether edges may cancel executions",
        ),
        key(
            "probes",
            ValueType::Flag,
            Some("yes"),
            "whether edges may send health checks to workers",
        ),
        key(
            "max-retry-after",
            ValueType::Duration,
            Some("2s"),
            "the longest Retry-After that clients honour",
        ),
        key(
            "answer-ahead",
            ValueType::Duration,
            Some("20ms"),
            "how long before the client's deadline a final response is sent",
        ),
        key(
            "max-functions",
            ValueType::Integer(1.0, 1e7),
            Some("100000"),
            "functions that an edge tracks by name",
        ),
        key(
            "max-open",
            ValueType::Integer(1.0, 1e7),
            Some("20000"),
            "requests in flight on an edge; more are shed unread",
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
            "how long a client connection may be idle before it is closed",
        ),
        key(
            "time-to-speak",
            ValueType::Duration,
            Some("200ms"),
            "at max-clients, a connection that has sent nothing for this long is closed first",
        ),
        key(
            "head-time-out",
            ValueType::Duration,
            Some("10s"),
            "how long a client may take to send a complete request",
        ),
        key(
            "linger",
            ValueType::Duration,
            Some("1s"),
            "how long the edge keeps reading from a rejected client, so that it gets its response",
        ),
        key(
            "largest-head",
            ValueType::Bytes,
            Some("16KB"),
            "the largest head of a request",
        ),
        key(
            "largest-body",
            ValueType::Bytes,
            Some("8MB"),
            "the largest body of a request",
        ),
        key(
            "pipelined",
            ValueType::Integer(1.0, 1e4),
            Some("16"),
            "requests in flight on one client connection",
        ),
        key(
            "waiting-per-client",
            ValueType::Bytes,
            Some("16MB"),
            "bytes of responses buffered for a slow client",
        ),
        key(
            "waiting-per-worker",
            ValueType::Bytes,
            Some("16MB"),
            "bytes buffered for one slow connection to a worker",
        ),
        key(
            "largest-frame",
            ValueType::Bytes,
            Some("16MB"),
            "the largest frame of the worker protocol",
        ),
        key(
            "worker-frames",
            ValueType::Bytes,
            Some("1GB"),
            "memory of frames of which only part has been received, from all workers; beyond it the \
             connection with the largest one is reset",
        ),
        key(
            "largest-list",
            ValueType::Bytes,
            Some("16MB"),
            "the largest response of the platform's control feed",
        ),
        key(
            "streams",
            ValueType::Integer(1.0, 1e5),
            Some("64"),
            "requests in flight on one connection to a worker",
        ),
        key(
            "streams-wanted",
            ValueType::Integer(1.0, 1e5),
            None,
            "with this many requests in flight on a connection another one is opened ahead of \
             need, as a connection that breaks fails all requests on it; equals streams if not set",
        ),
        key(
            "connections",
            ValueType::Integer(1.0, 1e3),
            Some("4"),
            "connections to one worker",
        ),
        key(
            "all-connections",
            ValueType::Integer(1.0, 1e6),
            Some("100000"),
            "connections to all workers together; at this many the one that has been idle for \
             longest is closed for a new one, and none is opened ahead of need",
        ),
        key(
            "connect-time-out",
            ValueType::Duration,
            Some("250ms"),
            "how long a connection may take to be established",
        ),
        key(
            "idle-close",
            ValueType::Duration,
            Some("15s"),
            "how long a connection to a worker may be idle before it is closed",
        ),
        key(
            "probe-time-out",
            ValueType::Duration,
            Some("250ms"),
            "how long a worker may take to respond to a health check",
        ),
        key(
            "order-time-out",
            ValueType::Duration,
            Some("10s"),
            "how long a worker may take to respond to a load command",
        ),
        key(
            "list-retry-least",
            ValueType::Duration,
            Some("100ms"),
            "the first backoff before the discovery service is retried",
        ),
        key(
            "list-retry-most",
            ValueType::Duration,
            Some("5s"),
            "the longest backoff before the discovery service is retried",
        ),
        key(
            "list-calls",
            ValueType::Number(0.1, 1e6),
            Some("100"),
            "requests per second to the discovery service by all edges together",
        ),
        key(
            "list-check",
            ValueType::Duration,
            Some("10s"),
            "a discovery service that has sent nothing for about this long is sent a health check",
        ),
        key(
            "save-least",
            ValueType::Duration,
            Some("500ms"),
            "the minimum time between two writes of the cached endpoint list",
        ),
        key(
            "repeats",
            ValueType::Number(0.0, 1.0),
            Some("10%"),
            "while the fleet is overloaded, client retries admitted for each first attempt; \
                 100%: any number",
        ),
        key(
            "handshakes-out",
            ValueType::Integer(1.0, 1e5),
            Some("32"),
            "handshakes with workers in flight at a time",
        ),
        key(
            "handshakes-per-worker",
            ValueType::Integer(1.0, 1e4),
            Some("2"),
            "handshakes in flight with one worker; 1 if it is overloaded, throttled or failed before",
        ),
        key(
            "handshake-part",
            ValueType::Number(0.0, 1.0),
            Some("25%"),
            "the fraction of a worker's capacity for the handshakes of all edges together while \
             it is warming up or they queue there; 0: any number",
        ),
        key(
            "connections-ahead",
            ValueType::Integer(0.0, 1e5),
            Some("16"),
            "how many of the recently most used workers have a connection kept open in advance",
        ),
        key(
            "connect-again",
            ValueType::Integer(1.0, 1e5),
            Some("20"),
            "attempts per second, in total, to connect to workers that could not be reached \
             before",
        ),
        key(
            "left-alone-least",
            ValueType::Duration,
            Some("100ms"),
            "the first backoff after a worker could not be reached; it doubles with each failure",
        ),
        key(
            "left-alone-most",
            ValueType::Duration,
            Some("2s"),
            "the longest backoff after a worker could not be reached",
        ),
        key(
            "retire-within",
            ValueType::Duration,
            Some("30s"),
            "the time within which connections made under an earlier configuration are replaced",
        ),
        key(
            "retire-at-once",
            ValueType::Integer(1.0, 1e5),
            Some("4"),
            "connections made under an earlier configuration that are replaced at a time",
        ),
        key(
            "late-arrivals",
            ValueType::Duration,
            Some("0s"),
            "how long an edge still accepts connections and requests in a graceful shutdown",
        ),
        key(
            "held-bodies",
            ValueType::Bytes,
            Some("1GB"),
            "bytes of the bodies of all requests in flight; further requests are shed unread",
        ),
        key(
            "unread-responses",
            ValueType::Bytes,
            Some("1GB"),
            "memory of responses that clients have not read, over FastCGI; beyond it the connection \
             with the most is reset",
        ),
        key(
            "partial-requests",
            ValueType::Bytes,
            Some("1GB"),
            "memory of the requests of which only part has been received, over FastCGI; of the \
             client that takes most of it for longest, the oldest is shed",
        ),
        key(
            "figures-beyond",
            ValueType::Number(1.0, 1e6),
            Some("10"),
            "how many times its setting a value stated by a caller may be; larger values are \
             rejected",
        ),
        key(
            "feed-wait",
            ValueType::Duration,
            Some("1s"),
            "how long a control feed may hold a poll before it responds without events",
        ),
        key(
            "feed-silence",
            ValueType::Duration,
            Some("500ms"),
            "how long after feed-wait a control feed may take to respond before it is reconnected",
        ),
        key(
            "stop-within",
            ValueType::Duration,
            Some("10s"),
            "how long a graceful shutdown may take to answer all requests",
        ),
    ],
};
