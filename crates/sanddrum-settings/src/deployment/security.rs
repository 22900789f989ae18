//! The sections of authentication, TLS and authorization.

use crate::schema::{key, Occurrence, Section, ValueType};

pub(super) const IDENTITY: Section = Section {
    name: "identity",
    prefix: "identity",
    occurrence: Occurrence::Once,
    description: "authentication of clients",
    keys: &[
        key(
            "tokens",
            ValueType::Choice(&["off", "optional", "required"]),
            Some("off"),
            "whether clients may or must present tokens",
        ),
        key(
            "keys-file",
            ValueType::Text,
            None,
            "the set of verification keys; watched",
        ),
        key(
            "audience",
            ValueType::Text,
            Some("sanddrum"),
            "the audience that tokens must name",
        ),
        key(
            "leeway",
            ValueType::Duration,
            Some("60s"),
            "the largest accepted difference between clocks",
        ),
        key(
            "longest-token",
            ValueType::Duration,
            Some("24h"),
            "the longest accepted remaining lifetime of a token",
        ),
        key(
            "largest-token",
            ValueType::Bytes,
            Some("4KB"),
            "the largest accepted token; larger ones are rejected unread",
        ),
        key(
            "token-checks",
            ValueType::Integer(1.0, 1e7),
            Some("2000"),
            "signatures verified per second for known clients, and as many for unknown ones",
        ),
        key(
            "token-memory",
            ValueType::Integer(0.0, 1e7),
            Some("20000"),
            "verified tokens that are cached",
        ),
        key(
            "bad-tokens",
            ValueType::Integer(1.0, 1e6),
            Some("8"),
            "a connection is closed after this many invalid tokens in a row",
        ),
        key(
            "watch-every",
            ValueType::Duration,
            Some("500ms"),
            "how often the keys file is checked for changes",
        ),
        key(
            "audit-file",
            ValueType::Text,
            None,
            "the audit log: one JSON line per rejection and per change of keys",
        ),
        key(
            "audit-most",
            ValueType::Bytes,
            Some("64MB"),
            "the largest size of the audit log; one older file of that size is kept",
        ),
        key(
            "audit-rate",
            ValueType::Integer(1.0, 1e6),
            Some("200"),
            "audit lines per second; further ones are only counted",
        ),
    ],
};

pub(super) const TLS: Section = Section {
    name: "tls",
    prefix: "tls",
    occurrence: Occurrence::Once,
    description: "TLS to workers",
    keys: &[
        key(
            "workers",
            ValueType::Choice(&["plain", "verified"]),
            Some("plain"),
            "whether workers must prove their names with certificates",
        ),
        key(
            "roots-file",
            ValueType::Text,
            None,
            "PEM: the trusted certificate authorities; watched",
        ),
        key(
            "certificate-file",
            ValueType::Text,
            None,
            "PEM: the certificate chain that this edge presents to workers; watched",
        ),
        key(
            "key-file",
            ValueType::Text,
            None,
            "PEM: the private key of the certificate presented to workers; watched",
        ),
        key(
            "revoked-file",
            ValueType::Text,
            None,
            "PEM: revocation lists for workers' certificates; watched, never replaced by older ones",
        ),
        key(
            "denied-file",
            ValueType::Text,
            None,
            "fingerprints of workers' keys that are rejected, one per line; watched",
        ),
        key(
            "handshake-time-out",
            ValueType::Duration,
            Some("2s"),
            "a handshake that takes longer fails",
        ),
        key(
            "handshakes",
            ValueType::Integer(1.0, 1e6),
            Some("256"),
            "handshakes with clients in progress at a time; further connections are closed at once",
        ),
        key(
            "sessions",
            ValueType::Integer(0.0, 1e6),
            Some("4096"),
            "sessions cached for resumption",
        ),
        key(
            "waiting",
            ValueType::Bytes,
            Some("256KB"),
            "bytes of ciphertext buffered for one socket",
        ),
        key(
            "watch-every",
            ValueType::Duration,
            Some("1s"),
            "how often the files are checked for changes",
        ),
        key(
            "warn-ahead",
            ValueType::Duration,
            Some("336h"),
            "how long before the expiry of a certificate or revocation list warnings begin",
        ),
    ],
};

pub(super) const AUTHORITY: Section = Section {
    name: "authority",
    prefix: "authorities",
    occurrence: Occurrence::UniqueNames,
    description: "a trusted authority, by its common name, that may certify only these names of \
             workers",
    keys: &[key(
        "names",
        ValueType::Names,
        None,
        "complete names, or .zone.example for all names below it",
    )],
};

pub(super) const DOOR: Section = Section {
    name: "door",
    prefix: "door",
    occurrence: Occurrence::Once,
    description: "TLS on the client listener",
    keys: &[
        key(
            "speaks",
            ValueType::Choice(&["plain", "tls"]),
            Some("plain"),
            "whether clients must use TLS",
        ),
        key(
            "certificate-file",
            ValueType::Text,
            None,
            "PEM: the certificate chain that is presented to clients; watched",
        ),
        key(
            "key-file",
            ValueType::Text,
            None,
            "PEM: the private key of the certificate presented to clients; watched",
        ),
        key(
            "certificates",
            ValueType::Choice(&["off", "optional", "required"]),
            Some("off"),
            "whether clients may or must present certificates",
        ),
        key(
            "roots-file",
            ValueType::Text,
            None,
            "PEM: the trusted authorities of clients' certificates; watched",
        ),
        key(
            "revoked-file",
            ValueType::Text,
            None,
            "PEM: revocation lists for clients' certificates; watched, never replaced by older ones",
        ),
        key(
            "denied-file",
            ValueType::Text,
            None,
            "fingerprints of clients' keys that are rejected, one per line; watched",
        ),
    ],
};

pub(super) const RIGHTS: Section = Section {
    name: "rights",
    prefix: "rights",
    occurrence: Occurrence::Once,
    description: "authorization if no rule matches",
    keys: &[key(
        "default",
        ValueType::Choice(&["allow", "deny"]),
        Some("allow"),
        "whether requests that match no rule are allowed",
    )],
};

pub(super) const ALLOW: Section = Section {
    name: "allow",
    prefix: "allow",
    occurrence: Occurrence::AnyNames,
    description:
        "a customer, or a prefix of names (a-*), may execute these; a matching (deny ...) \
             takes precedence",
    keys: &[
        key(
            "functions",
            ValueType::Names,
            None,
            "functions, by name or prefix; any if not set",
        ),
        key(
            "workloads",
            ValueType::Names,
            None,
            "workloads; any if not set",
        ),
    ],
};

pub(super) const DENY: Section = Section {
    name: "deny",
    prefix: "deny",
    occurrence: Occurrence::AnyNames,
    description: "a customer, or a prefix of names (a-*), may not execute these",
    keys: &[
        key(
            "functions",
            ValueType::Names,
            None,
            "functions, by name or prefix; any if not set",
        ),
        key(
            "workloads",
            ValueType::Names,
            None,
            "workloads; any if not set",
        ),
    ],
};
