//! The sections of limits.

use crate::schema::{key, Occurrence, Section, ValueType};

pub(super) const SHARING: Section = Section {
    name: "sharing",
    prefix: "sharing",
    occurrence: Occurrence::Once,
    description: "limits under overload",
    keys: &[
        key(
            "shares",
            ValueType::Flag,
            Some("no"),
            "while the fleet is overloaded, customers get their shares",
        ),
        key(
            "window",
            ValueType::Duration,
            Some("1s"),
            "rates are measured over this time, as workers do; a lent share is back within \
             twice this time",
        ),
    ],
};

pub(super) const LIMITS: Section = Section {
    name: "limits",
    prefix: "limits",
    occurrence: Occurrence::Once,
    description: "bounds; each is reported by its name where it is hit",
    keys: &[
        key(
            "max-executions",
            ValueType::Integer(1.0, 100.0),
            Some("5"),
            "attempts of one request",
        ),
        key(
            "second-copies",
            ValueType::Flag,
            Some("yes"),
            "a restartable request may be hedged",
        ),
        key(
            "cancel",
            ValueType::Flag,
            Some("yes"),
            "edges may cancel executions",
        ),
        key(
            "probes",
            ValueType::Flag,
            Some("yes"),
            "edges may send health checks to workers",
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
            "an idle client connection is closed after",
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
            "a request that has begun must be complete within",
        ),
        key(
            "linger",
            ValueType::Duration,
            Some("1s"),
            "how long a rejected client is read on, so that it gets its response",
        ),
        key(
            "largest-head",
            ValueType::Bytes,
            Some("16KB"),
            "of a request",
        ),
        key(
            "largest-body",
            ValueType::Bytes,
            Some("8MB"),
            "of a request",
        ),
        key(
            "pipelined",
            ValueType::Integer(1.0, 1e4),
            Some("16"),
            "requests that one connection may have in flight",
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
            "of the worker protocol",
        ),
        key(
            "largest-list",
            ValueType::Bytes,
            Some("16MB"),
            "a response of the platform's control feed",
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
            "with this many on a connection another one is opened ahead, as one that breaks \
             costs all on it; equals streams where not set",
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
            "connections to all workers; at this many the one idle for longest is closed for \
             a new one, and none is opened ahead",
        ),
        key(
            "connect-time-out",
            ValueType::Duration,
            Some("250ms"),
            "a connection that is not established by then fails",
        ),
        key(
            "idle-close",
            ValueType::Duration,
            Some("15s"),
            "an idle connection to a worker is closed after",
        ),
        key(
            "probe-time-out",
            ValueType::Duration,
            Some("250ms"),
            "a health check unanswered by then fails",
        ),
        key(
            "order-time-out",
            ValueType::Duration,
            Some("10s"),
            "a load command unanswered by then fails",
        ),
        key(
            "list-retry-least",
            ValueType::Duration,
            Some("100ms"),
            "the first backoff before the list service is called again",
        ),
        key(
            "list-retry-most",
            ValueType::Duration,
            Some("5s"),
            "the longest backoff",
        ),
        key(
            "list-calls",
            ValueType::Number(0.1, 1e6),
            Some("100"),
            "calls a second to the list service by all edges together",
        ),
        key(
            "list-check",
            ValueType::Duration,
            Some("10s"),
            "a list service that has sent nothing for about this long is sent a health check",
        ),
        key(
            "save-least",
            ValueType::Duration,
            Some("500ms"),
            "the endpoint list is cached no more often than this",
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
            "connections to workers that are opened at a time",
        ),
        key(
            "handshakes-per-worker",
            ValueType::Integer(1.0, 1e4),
            Some("2"),
            "of them to one worker; one where it is overloaded or failed before",
        ),
        key(
            "handshake-part",
            ValueType::Number(0.0, 1.0),
            Some("25%"),
            "of a worker's capacity, for handshakes of all edges together while it is warming \
             up or they queue there; 0: any number",
        ),
        key(
            "connections-ahead",
            ValueType::Integer(0.0, 1e5),
            Some("16"),
            "most recently used workers to which a connection is kept ahead of need",
        ),
        key(
            "connect-again",
            ValueType::Integer(1.0, 1e5),
            Some("20"),
            "attempts a second, in total, to connect to workers that could not be reached \
             before",
        ),
        key(
            "left-alone-least",
            ValueType::Duration,
            Some("100ms"),
            "the first backoff after a worker could not be reached; it doubles",
        ),
        key(
            "left-alone-most",
            ValueType::Duration,
            Some("2s"),
            "the longest of these backoffs",
        ),
        key(
            "retire-within",
            ValueType::Duration,
            Some("30s"),
            "connections made under an earlier configuration are replaced within",
        ),
        key(
            "retire-at-once",
            ValueType::Integer(1.0, 1e5),
            Some("4"),
            "this many at a time",
        ),
        key(
            "late-arrivals",
            ValueType::Duration,
            Some("0s"),
            "in a graceful shutdown an edge accepts connections and requests for this long",
        ),
        key(
            "held-bodies",
            ValueType::Bytes,
            Some("1GB"),
            "bytes of the bodies of all requests in flight; more are shed unread",
        ),
        key(
            "figures-beyond",
            ValueType::Number(1.0, 1e6),
            Some("10"),
            "values that callers state may be this many times the setting; larger ones are \
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
            "a feed that is later than that is reconnected",
        ),
        key(
            "stop-within",
            ValueType::Duration,
            Some("10s"),
            "a graceful shutdown has answered all requests by then",
        ),
    ],
};
