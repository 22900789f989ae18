//! Tests of authentication and authorization, including key sets that change while the edge runs.

mod harness;

use harness::scripted_module::Decision;
use harness::{EdgeHarness, SECOND};
use rstest::rstest;
use sanddrum_edge::KEYS_FILE;
use sanddrum_identity::{token, Claims, KeySet, SecretKey};
use sanddrum_net::{CloseCause, ConnectionId, Core, FileError, PeerIdentity};
use sanddrum_wire::{http, ExecutionStatus};

fn secret_key(kid: &str) -> SecretKey {
    let mut seed = [9; 32];
    seed[..kid.len()].copy_from_slice(kid.as_bytes());
    SecretKey::from_seed(kid, seed)
}

fn key_set() -> KeySet {
    let mut set = KeySet::default();
    ["k1", "k2"]
        .iter()
        .for_each(|kid| set.add(kid, secret_key(kid).public_key().unwrap()).unwrap());
    set
}

/// A token that is valid by the test clock, which starts at 1,000 s.
fn bearer_token(kid: &str, customer: &str) -> String {
    let (sub, aud) = (customer.to_string(), "sanddrum".to_string());
    let claims = Claims {
        sub,
        aud,
        exp: 2000,
        nbf: None,
        iat: None,
        jti: format!("{kid}-{customer}"),
    };
    format!(
        "Bearer {}",
        token::issue(&claims, &secret_key(kid)).unwrap()
    )
}

/// Settings of an edge that requires tokens.
const TOKENS: &[(&str, &str)] = &[
    ("identity.tokens", "required"),
    ("identity.keys-file", "keys.json"),
];

fn edge_with_keys() -> EdgeHarness {
    let mut harness = EdgeHarness::new(TOKENS);
    provide_keys(&mut harness, Ok(&key_set().write()));
    harness
}

fn provide_keys(harness: &mut EdgeHarness, content: Result<&[u8], &str>) {
    let content = content.map_err(|reason| FileError::Unreadable {
        path: KEYS_FILE.into(),
        source: std::io::Error::other(reason.to_owned()),
    });
    let content = content.as_ref().copied();
    harness
        .edge
        .on_file(harness.now, KEYS_FILE, content, &mut harness.io);
    harness.process();
}

/// Sends a request with this token. Returns the response's status code, or none if there is no response yet.
fn response_status(harness: &mut EdgeHarness, conn: ConnectionId, token: &str) -> Option<u16> {
    let before = harness.statuses(conn).len();
    harness.send_http_request(conn, &[("authorization", token)]);
    harness.statuses(conn).get(before).copied()
}

/// Customers that are identified by the names in their certificates.
const CUSTOMERS: &str = r#"
    (customer "school" (share 50%) (certificates "gw-*"))
    (customer "obs" (share 50%) (certificates "obs.example"))"#;

/// An edge with this certificate policy, for which tokens are optional.
fn edge_with_certificate_policy(certificates: &str) -> EdgeHarness {
    let mut harness = EdgeHarness::with_forms(
        &[
            ("door.speaks", "tls"),
            ("door.certificate-file", "door.pem"),
            ("door.key-file", "door.key"),
            ("door.roots-file", "clients.pem"),
            ("door.certificates", certificates),
            ("identity.tokens", "optional"),
            ("identity.keys-file", "keys.json"),
        ],
        CUSTOMERS,
    );
    provide_keys(&mut harness, Ok(&key_set().write()));
    harness
}

fn accept_with_certificate(harness: &mut EdgeHarness, name: &str) -> ConnectionId {
    let names = vec![name.to_string()];
    harness.io.peer_identity = Some(PeerIdentity {
        names,
        key_fingerprint: "sha256:ab".into(),
        resumed: false,
    });
    harness.accept_client()
}

#[rstest]
fn an_unauthenticated_request_is_rejected_without_reaching_the_decision_module() {
    let mut harness = edge_with_keys();
    let client = harness.accept_client();
    assert_eq!(
        response_status(&mut harness, client, "Bearer nonsense"),
        Some(401)
    );
    assert_eq!(
        response_status(&mut harness, client, "Basic abc"),
        Some(401)
    );
    let response = &harness.responses(client)[0];
    assert_eq!(response.field("sanddrum-end"), Some("pushed-back"));
    assert!(String::from_utf8_lossy(&response.body).contains("urn:sanddrum:token-malformed"));
    assert!(response.field("www-authenticate").is_some());
    assert!(harness.script.borrow().requests.is_empty());
    assert_eq!(
        response_status(&mut harness, client, &bearer_token("k1", "obs-brest")),
        None,
        "accepted"
    );
    assert_eq!(harness.request_count(), 1);
}

#[rstest]
fn a_key_is_rotated_and_revoked_without_a_restart() {
    let mut harness = edge_with_keys();
    let (old, new) = (
        bearer_token("k1", "obs-brest"),
        bearer_token("k2", "obs-brest"),
    );
    // Each token is sent on its own connection, as an open request delays the responses to later ones.
    let statuses = |harness: &mut EdgeHarness| {
        [&old, &new].map(|token| {
            let client = harness.accept_client();
            response_status(harness, client, token)
        })
    };
    assert_eq!(statuses(&mut harness), [None, Some(401)]);
    let mut keys = key_set();
    keys.rotate(1100).unwrap();
    provide_keys(&mut harness, Ok(&keys.write()));
    assert_eq!(
        statuses(&mut harness),
        [None, None],
        "tokens of the old key remain valid"
    );
    keys.revoke("k1").unwrap();
    provide_keys(&mut harness, Ok(&keys.write()));
    assert_eq!(statuses(&mut harness), [Some(401), None]);
}

#[rstest]
fn a_request_in_flight_is_answered_after_its_key_is_revoked() {
    let mut harness = edge_with_keys();
    let client = harness.accept_client();
    harness.plan([Decision::Dispatch(0, 5 * SECOND)]);
    assert_eq!(
        response_status(&mut harness, client, &bearer_token("k1", "obs-brest")),
        None
    );
    let worker = harness.last_connection();
    harness.connect(worker);
    let mut keys = key_set();
    keys.revoke("k1").unwrap();
    provide_keys(&mut harness, Ok(&keys.write()));
    let id = harness.attempts_to(worker)[0];
    harness.answer_attempt(worker, id, ExecutionStatus::Finished);
    harness.answer_attempt(worker, id, ExecutionStatus::Finished);
    assert_eq!(harness.statuses(client), [200]);
}

#[rstest]
#[case::empty(Ok(&b""[..]))]
#[case::unreadable(Err("no such file"))]
#[case::truncated(Ok(&br#"{"version":9,"keys":[{"kty":"OKP","#[..]))]
#[case::not_a_key_set(Ok(&b"{}"[..]))]
fn an_invalid_key_file_leaves_the_last_valid_set_in_force(#[case] content: Result<&[u8], &str>) {
    let mut harness = edge_with_keys();
    provide_keys(&mut harness, content);
    let client = harness.accept_client();
    assert_eq!(
        response_status(&mut harness, client, &bearer_token("k1", "obs-brest")),
        None
    );
    let audit = harness.io.audit_lines.join("\n");
    assert!(
        audit.contains("keys-refused") && audit.contains("\"in_force\":2"),
        "{audit}"
    );
}

#[rstest]
fn a_restart_does_not_restore_a_revoked_key() {
    let mut harness = edge_with_keys();
    let mut keys = key_set();
    keys.revoke("k1").unwrap();
    provide_keys(&mut harness, Ok(&keys.write()));
    // The edge crashes immediately; its state was saved before the key set was installed.
    let saved = harness.io.saved.clone();
    let mut restarted = EdgeHarness::with_cached_state(TOKENS, saved);
    provide_keys(&mut restarted, Ok(&key_set().write()));
    let client = restarted.accept_client();
    assert_eq!(
        response_status(&mut restarted, client, &bearer_token("k1", "obs-brest")),
        Some(503),
        "no key set is trusted"
    );
    provide_keys(&mut restarted, Ok(&keys.write()));
    let client = restarted.accept_client();
    assert_eq!(
        response_status(&mut restarted, client, &bearer_token("k1", "obs-brest")),
        Some(401)
    );
}

#[rstest]
fn a_token_must_match_the_customer_name_and_its_access_rights() {
    let forms = r#"
        (customer "obs-brest" (share 50%)) (customer "lycees" (share 50%))
        (rights (default allow))
        (deny "lycees*" (functions "f1"))"#;
    let mut harness = EdgeHarness::with_forms(TOKENS, forms);
    provide_keys(&mut harness, Ok(&key_set().write()));
    let client = harness.accept_client();
    let school_token = bearer_token("k1", "lycees-reseau");
    assert_eq!(
        response_status(&mut harness, client, &school_token),
        Some(403)
    );
    harness.send_http_request(
        client,
        &[
            ("authorization", &bearer_token("k1", "obs-brest")),
            ("sanddrum-customer", "lycees"),
        ],
    );
    assert_eq!(harness.statuses(client), [403, 403]);
    let other_function = http::encode_request(
        "POST",
        "/v1/calls/job/f2",
        &[("authorization", &school_token)],
        b"",
    );
    harness.receive(client, &other_function);
    assert_eq!(
        harness.request_count(),
        1,
        "a function that is not denied is accepted"
    );
    let audit = harness.io.audit_lines.join("\n");
    assert!(
        audit.contains("not-allowed")
            && audit.contains("lycees-reseau")
            && audit.contains("customer-mismatch")
    );
    assert!(
        !audit.contains(&school_token[7..40]),
        "tokens are not written to the audit log"
    );
}

#[rstest]
fn a_connection_with_only_invalid_tokens_is_closed_and_audit_lines_are_rate_limited() {
    let mut harness = EdgeHarness::new(
        &[
            TOKENS,
            &[("identity.bad-tokens", "3"), ("identity.audit-rate", "2")],
        ]
        .concat(),
    );
    provide_keys(&mut harness, Ok(&key_set().write()));
    let client = harness.accept_client();
    for _ in 0..3 {
        assert_eq!(
            response_status(&mut harness, client, "Bearer x.y.z"),
            Some(401)
        );
    }
    assert!(harness.io.has_closed_gracefully(client));
    assert!(
        harness.io.audit_lines.len() <= 3,
        "{:?}",
        harness.io.audit_lines
    );
    harness.now += SECOND;
    let client = harness.accept_client();
    response_status(&mut harness, client, "Bearer x.y.z");
    assert!(harness
        .io
        .audit_lines
        .last()
        .unwrap()
        .contains("omitted_before"));
}

#[rstest]
fn a_certificate_identifies_the_customer_and_must_match_the_token() {
    let mut harness = edge_with_certificate_policy("optional");
    let gateway = accept_with_certificate(&mut harness, "gw-7");
    harness.send_http_request(gateway, &[]);
    assert_eq!(
        harness.script.borrow().requests.last().unwrap().customer.0,
        0
    );
    harness.send_http_request(gateway, &[("authorization", &bearer_token("k1", "school"))]);
    assert_eq!(harness.request_count(), 2);
    let observatory = accept_with_certificate(&mut harness, "obs.example");
    assert_eq!(
        response_status(&mut harness, observatory, &bearer_token("k1", "school")),
        Some(403),
        "the token belongs to another customer"
    );
    harness.send_http_request(observatory, &[("sanddrum-customer", "school")]);
    assert_eq!(
        harness.statuses(observatory).last(),
        Some(&403),
        "the request names another customer"
    );
    let laptop = accept_with_certificate(&mut harness, "laptop");
    harness.send_http_request(laptop, &[]);
    assert_eq!(harness.statuses(laptop), [403]);
    assert!(harness
        .io
        .audit_lines
        .iter()
        .any(|line| line.contains("certificate-unknown") && line.contains("sha256:ab")));
    assert_eq!(harness.request_count(), 2);
}

#[rstest]
fn a_token_does_not_replace_a_required_certificate() {
    let mut harness = edge_with_certificate_policy("required");
    let client = harness.accept_client();
    assert_eq!(
        response_status(&mut harness, client, &bearer_token("k1", "school")),
        Some(401)
    );
    let gateway = accept_with_certificate(&mut harness, "gw-7");
    assert_eq!(
        response_status(&mut harness, gateway, &bearer_token("k1", "school")),
        None,
        "accepted"
    );
}

/// The certificate is denied while a request is in flight. The request is still answered once, later requests are
/// rejected, and the connection is closed.
#[rstest]
fn a_connection_with_a_denied_certificate_is_closed_after_its_open_requests() {
    let mut harness = edge_with_certificate_policy("optional");
    let gateway = accept_with_certificate(&mut harness, "gw-7");
    harness.plan([Decision::Dispatch(0, 5 * SECOND)]);
    harness.send_http_request(gateway, &[]);
    let worker = harness.last_connection();
    harness.connect(worker);
    let id = harness.attempts_to(worker)[0];
    let now = harness.now;
    harness
        .edge
        .on_credentials_changed(now, gateway, true, &mut harness.io);
    harness.send_http_request(gateway, &[]);
    harness.answer_attempt(worker, id, ExecutionStatus::Finished);
    assert_eq!(harness.statuses(gateway), [200, 401]);
    assert!(harness
        .io
        .closed
        .iter()
        .any(|(conn, cause)| *conn == gateway && *cause == Some(CloseCause::Orderly)));
    assert_eq!(harness.request_count(), 1);
    assert!(harness
        .io
        .audit_lines
        .iter()
        .any(|line| line.contains("certificate-denied")));
}

/// A token is valid at every edge until it expires. If certificates are required, it is accepted only together
/// with a certificate of its customer.
#[rstest]
fn a_replayed_token_is_accepted_unless_certificates_are_required() {
    let token = bearer_token("k1", "obs");
    let (mut first, mut other) = (edge_with_keys(), edge_with_keys());
    for edge in [&mut first, &mut other] {
        let client = edge.accept_client();
        assert_eq!(response_status(edge, client, &token), None, "accepted");
    }
    let mut bound = edge_with_certificate_policy("required");
    let school = accept_with_certificate(&mut bound, "gw-7");
    assert_eq!(response_status(&mut bound, school, &token), Some(403));
    let token_owner = accept_with_certificate(&mut bound, "obs.example");
    assert_eq!(
        response_status(&mut bound, token_owner, &token),
        None,
        "accepted"
    );
}
