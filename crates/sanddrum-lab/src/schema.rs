//! What a scenario file says beside its deployment.

use sanddrum_settings::{key, Kind, Section};

const KINDS: &[&str] = &[
    "crash",
    "hang",
    "silent",
    "slow",
    "lose-answers",
    "load-fails",
    "garble",
    "drain",
    "zone-loss",
    "flush",
    "tear",
    "store-stall",
    "store-refuse",
    "list-away",
    "list-lag",
    "edge-crash",
    "overload",
    "hot-functions",
    "greedy-customer",
    "key-new",
    "key-rotate",
    "key-revoke",
    "certificates",
    "roots",
    "impostor",
];

pub const SCENARIO: &[Section] = &[
    Section {
        name: "fleet",
        dotted: "fleet",
        named: false,
        repeats: false,
        about: "stand-in workers and edges",
        keys: &[
            key("workers", Kind::Whole(1.0, 1e5), Some("12"), "spread over the zones in turn"),
            key("edges", Kind::Whole(1.0, 1e4), Some("2"), "spread over the zones in turn"),
            key("cores", Kind::Whole(1.0, 1e3), Some("4"), "of a worker"),
            key("speed", Kind::Number(0.01, 100.0), Some("1"), "of a core"),
            key(
                "slow-part",
                Kind::Number(0.0, 1.0),
                Some("0"),
                "the part of workers that are of a slower kind",
            ),
            key("slow-speed", Kind::Number(0.01, 100.0), Some("0.6"), "the speed of their cores"),
            key(
                "cell-size",
                Kind::Whole(1.0, 1e3),
                Some("4"),
                "workers that share the marks of jobs they have seen",
            ),
            key("queue", Kind::Whole(0.0, 1e5), Some("24"), "jobs that wait at a worker; more are full"),
            key("memory", Kind::Memory, Some("6GB"), "of a worker, for copies"),
            key("loads-at-once", Kind::Whole(1.0, 100.0), Some("4"), "at a worker; twice as many wait"),
            key("start-per-mb", Kind::Span, Some("400us"), "the part of a load after its fetch"),
            key("report-every", Kind::Span, Some("250ms"), "how old a load report may be"),
            key("handshake", Kind::Span, Some("0s"), "what a TLS handshake takes on one of its cores"),
            key("beat-every", Kind::Span, Some("200ms"), "how often a worker tells that it runs"),
            key(
                "tells-crowd",
                Kind::Flag,
                Some("no"),
                "answers tell how many jobs of the function were held",
            ),
        ],
    },
    Section {
        name: "store",
        dotted: "store",
        named: false,
        repeats: false,
        about: "the stand-in store of functions",
        keys: &[
            key("at-once", Kind::Whole(1.0, 1e5), Some("12"), "fetches served at full pace"),
            key("most", Kind::Whole(1.0, 1e5), Some("120"), "fetches in hand; more are turned away"),
            key("per-mb", Kind::Span, Some("800us"), "of a fetch at full pace"),
        ],
    },
    Section {
        name: "list-service",
        dotted: "list-service",
        named: false,
        repeats: false,
        about: "the stand-in list service",
        keys: &[
            key("notice-least", Kind::Span, Some("200ms"), "changes are told after"),
            key("notice-most", Kind::Span, Some("1s"), "and at the latest after"),
            key("silent-after", Kind::Span, Some("4s"), "a process unheard for so long counts as gone"),
            key("changes-kept", Kind::Whole(1.0, 1e6), Some("256"), "for edges that come back"),
        ],
    },
    Section {
        name: "traffic",
        dotted: "traffic",
        named: false,
        repeats: false,
        about: "what clients do",
        keys: &[
            key("length", Kind::Span, Some("20s"), "calls are made for so long"),
            key("rate", Kind::Number(0.0, 1e6), Some("100"), "calls a second, in the mean, open loop"),
            key("functions", Kind::Whole(1.0, 1e6), Some("24"), "of each workload"),
            key("zipf", Kind::Number(0.0, 5.0), Some("1.1"), "how uneven their popularity is"),
            key("retries", Kind::Whole(0.0, 10.0), Some("1"), "a call's further tries"),
            key("retry-wait", Kind::Span, Some("100ms"), "before a further try, where no time was told"),
            key("heeds", Kind::Number(0.0, 1.0), Some("0.8"), "the part of clients that heed the told time"),
        ],
    },
    Section {
        name: "gateways",
        dotted: "gateways",
        named: false,
        repeats: false,
        about: "callers that show tokens, as the deployment's identity asks for them",
        keys: &[
            key("token-lasts", Kind::Span, Some("60s"), "a token's own time"),
            key("renewed-every", Kind::Span, Some("5s"), "how long a gateway goes on with the token it has"),
            key(
                "keys-reach-edges",
                Kind::Span,
                Some("100ms"),
                "how long a new key set takes to an edge at most",
            ),
        ],
    },
    Section {
        name: "calls",
        dotted: "calls",
        named: true,
        repeats: false,
        about: "the calls of one workload",
        keys: &[
            key("share", Kind::Number(0.0, 1.0), Some("1"), "its part of all calls"),
            key("work", Kind::Span, Some("30ms"), "of a call, in the mean"),
            key("hints", Kind::Flag, Some("no"), "clients hint at the work"),
        ],
    },
    Section {
        name: "trouble",
        dotted: "troubles",
        named: true,
        repeats: true,
        about: "what goes wrong; the name is its kind",
        keys: &[
            key("at", Kind::Span, Some("0s"), "when it begins"),
            key("length", Kind::Span, Some("5s"), "how long it lasts"),
            key("part", Kind::Number(0.0, 1.0), None, "the part of workers or edges struck; one at least"),
            key("count", Kind::Whole(1.0, 1e5), None, "or how many"),
            key("zone", Kind::Text, None, "struck are those in this zone"),
            key(
                "size",
                Kind::Number(0.0, 1e6),
                Some("2"),
                "how bad: times slower, times the load, part lost",
            ),
        ],
    },
];

/// The kinds of trouble that can be scripted.
pub fn kinds() -> &'static [&'static str] {
    KINDS
}
