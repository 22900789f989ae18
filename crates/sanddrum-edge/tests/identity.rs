//! Who may call, with keys that change while the edge runs.

mod host;

use host::{Do, Host, S};
use rstest::rstest;
use sanddrum_edge::KEYS_FILE;
use sanddrum_identity::token;
use sanddrum_identity::{Claims, KeySet, SecretKey};
use sanddrum_net::{CloseCause, ConnectionId, Core, FileError, PeerIdentity};
use sanddrum_wire::{http, ExecutionStatus};

fn key(kid: &str) -> SecretKey {
    let mut seed = [9; 32];
    seed[..kid.len()].copy_from_slice(kid.as_bytes());
    SecretKey::from_seed(kid, seed)
}
fn set() -> KeySet {
    let mut set = KeySet::default();
    ["k1", "k2"]
        .iter()
        .for_each(|kid| set.add(kid, key(kid).public_key().unwrap()).unwrap());
    set
}
/// The story's clock begins at 1,000 s.
fn signed(kid: &str, customer: &str) -> String {
    let (sub, aud) = (customer.to_string(), "sanddrum".to_string());
    let claims = Claims {
        sub,
        aud,
        exp: 2000,
        nbf: None,
        iat: None,
        jti: format!("{kid}-{customer}"),
    };
    format!("Bearer {}", token::issue(&claims, &key(kid)).unwrap())
}
const TOKENS: &[(&str, &str)] = &[
    ("identity.tokens", "required"),
    ("identity.keys-file", "keys.json"),
];

fn host() -> Host {
    let mut h = Host::new(TOKENS);
    gives(&mut h, Ok(&set().write()));
    h
}
fn gives(h: &mut Host, content: Result<&[u8], &str>) {
    let content = content.map_err(|reason| FileError::Unreadable {
        path: KEYS_FILE.into(),
        source: std::io::Error::other(reason.to_owned()),
    });
    h.edge
        .on_file(h.now, KEYS_FILE, content.as_ref().copied(), &mut h.io);
    h.turn();
}
fn calls(h: &mut Host, conn: ConnectionId, token: &str) -> Option<u16> {
    let before = h.statuses(conn).len();
    h.calls(conn, &[("authorization", token)]);
    h.statuses(conn).get(before).copied()
}

#[rstest]
fn a_refusal_is_a_final_answer_and_no_job() {
    let mut h = host();
    let client = h.client();
    assert_eq!(calls(&mut h, client, "Bearer nonsense"), Some(401));
    assert_eq!(calls(&mut h, client, "Basic abc"), Some(401));
    let answer = &h.answers(client)[0];
    assert_eq!(answer.field("sanddrum-end"), Some("pushed-back"));
    assert!(String::from_utf8_lossy(&answer.body).contains("urn:sanddrum:token-malformed"));
    assert!(answer.field("www-authenticate").is_some());
    assert!(h.strings.borrow().jobs.is_empty());
    assert_eq!(
        calls(&mut h, client, &signed("k1", "obs-brest")),
        None,
        "taken"
    );
    assert_eq!(h.strings.borrow().jobs.len(), 1);
}

#[rstest]
fn a_key_is_rotated_and_revoked_without_a_restart() {
    let mut h = host();
    let (old, new) = (signed("k1", "obs-brest"), signed("k2", "obs-brest"));
    // Each from a client of its own, as an open call holds back the answers behind it.
    let both = |h: &mut Host| {
        [&old, &new].map(|token| {
            let client = h.client();
            calls(h, client, token)
        })
    };
    assert_eq!(both(&mut h), [None, Some(401)]);
    let mut keys = set();
    keys.rotate(1100).unwrap();
    gives(&mut h, Ok(&keys.write()));
    assert_eq!(
        both(&mut h),
        [None, None],
        "a gateway still holds a token of the old one"
    );
    keys.revoke("k1").unwrap();
    gives(&mut h, Ok(&keys.write()));
    assert_eq!(both(&mut h), [Some(401), None]);
}

#[rstest]
fn a_job_whose_key_is_revoked_while_it_is_out_gets_its_answer_once() {
    let mut h = host();
    let client = h.client();
    h.strings.borrow_mut().deeds.push(Do::Execute(0, 5 * S));
    assert_eq!(calls(&mut h, client, &signed("k1", "obs-brest")), None);
    let worker = h.io.connects.last().unwrap().0;
    h.up(worker);
    let mut keys = set();
    keys.revoke("k1").unwrap();
    gives(&mut h, Ok(&keys.write()));
    let id = h.executions_read(worker)[0];
    h.done(worker, id, ExecutionStatus::Finished);
    h.done(worker, id, ExecutionStatus::Finished);
    assert_eq!(h.statuses(client), [200]);
}

#[rstest]
#[case::emptied(Ok(&b""[..]))]
#[case::unreadable(Err("no such file"))]
#[case::half_written(Ok(&br#"{"version":9,"keys":[{"kty":"OKP","#[..]))]
#[case::another_thing(Ok(&b"{}"[..]))]
fn a_bad_key_file_leaves_the_last_good_one_in_force(#[case] content: Result<&[u8], &str>) {
    let mut h = host();
    gives(&mut h, content);
    let client = h.client();
    assert_eq!(calls(&mut h, client, &signed("k1", "obs-brest")), None);
    let audit = h.io.audit.join("\n");
    assert!(
        audit.contains("keys-refused") && audit.contains("\"in_force\":2"),
        "{audit}"
    );
}

#[rstest]
fn a_restart_never_brings_a_revoked_key_back() {
    let mut h = host();
    let mut keys = set();
    keys.revoke("k1").unwrap();
    gives(&mut h, Ok(&keys.write()));
    // It dies at once; what it had kept was kept before the set was in force.
    let kept = h.io.saved.clone();
    let mut again = Host::bare(TOKENS, kept);
    gives(&mut again, Ok(&set().write()));
    let client = again.client();
    assert_eq!(
        calls(&mut again, client, &signed("k1", "obs-brest")),
        Some(503),
        "it has no keys that it trusts"
    );
    gives(&mut again, Ok(&keys.write()));
    let client = again.client();
    assert_eq!(
        calls(&mut again, client, &signed("k1", "obs-brest")),
        Some(401)
    );
}

#[rstest]
fn a_token_and_a_name_must_agree_and_a_school_may_not_run_what_is_reserved() {
    let more = r#"
        (customer "obs-brest" (share 50%)) (customer "lycees" (share 50%))
        (rights (default allow))
        (deny "lycees*" (functions "f1"))"#;
    let mut h = Host::with(TOKENS, more);
    gives(&mut h, Ok(&set().write()));
    let client = h.client();
    let school = signed("k1", "lycees-reseau");
    assert_eq!(calls(&mut h, client, &school), Some(403));
    h.calls(
        client,
        &[
            ("authorization", &signed("k1", "obs-brest")),
            ("sanddrum-customer", "lycees"),
        ],
    );
    assert_eq!(h.statuses(client), [403, 403]);
    let two = http::encode_request(
        "POST",
        "/v1/calls/job/f2",
        &[("authorization", &school)],
        b"",
    );
    h.says(client, &two);
    assert_eq!(
        h.strings.borrow().jobs.len(),
        1,
        "what is not reserved is taken"
    );
    let audit = h.io.audit.join("\n");
    assert!(
        audit.contains("not-allowed")
            && audit.contains("lycees-reseau")
            && audit.contains("customer-mismatch")
    );
    assert!(!audit.contains(&school[7..40]), "no token is told");
}

#[rstest]
fn a_connection_that_sends_only_bad_tokens_is_closed_and_the_audit_is_bounded() {
    let mut h = Host::new(
        &[
            TOKENS,
            &[("identity.bad-tokens", "3"), ("identity.audit-rate", "2")],
        ]
        .concat(),
    );
    gives(&mut h, Ok(&set().write()));
    let client = h.client();
    for _ in 0..3 {
        assert_eq!(calls(&mut h, client, "Bearer x.y.z"), Some(401));
    }
    assert!(h.io.closed.contains(&(client, Some(CloseCause::Orderly))));
    assert!(h.io.audit.len() <= 3, "{:?}", h.io.audit);
    h.now += S;
    let client = h.client();
    calls(&mut h, client, "Bearer x.y.z");
    assert!(h.io.audit.last().unwrap().contains("omitted_before"));
}

// ---- Client certificates

const SCHOOL: &str = r#"
    (customer "school" (share 50%) (certificates "gw-*"))
    (customer "obs" (share 50%) (certificates "obs.example"))"#;

/// An edge whose clients may show certificates beside tokens.
fn asking(certificates: &str) -> Host {
    let mut h = Host::with(
        &[
            ("door.speaks", "tls"),
            ("door.certificate-file", "door.pem"),
            ("door.key-file", "door.key"),
            ("door.roots-file", "clients.pem"),
            ("door.certificates", certificates),
            ("identity.tokens", "optional"),
            ("identity.keys-file", "keys.json"),
        ],
        SCHOOL,
    );
    gives(&mut h, Ok(&set().write()));
    h
}
fn shows(h: &mut Host, name: &str) -> ConnectionId {
    let names = vec![name.to_string()];
    h.io.peer_of_next = Some(PeerIdentity {
        names,
        key_fingerprint: "sha256:ab".into(),
        resumed: false,
    });
    h.client()
}

#[rstest]
fn a_certificate_says_who_calls_and_agrees_with_the_token() {
    let mut h = asking("optional");
    let gateway = shows(&mut h, "gw-7");
    h.calls(gateway, &[]);
    assert_eq!(h.strings.borrow().jobs.last().unwrap().customer.0, 0);
    h.calls(gateway, &[("authorization", &signed("k1", "school"))]);
    assert_eq!(h.strings.borrow().jobs.len(), 2);
    let observatory = shows(&mut h, "obs.example");
    assert_eq!(
        calls(&mut h, observatory, &signed("k1", "school")),
        Some(403),
        "a school's token"
    );
    h.calls(observatory, &[("sanddrum-customer", "school")]);
    assert_eq!(
        h.statuses(observatory).last(),
        Some(&403),
        "the call names another"
    );
    let laptop = shows(&mut h, "laptop");
    h.calls(laptop, &[]);
    assert_eq!(h.statuses(laptop), [403]);
    assert!(h
        .io
        .audit
        .iter()
        .any(|line| line.contains("certificate-unknown") && line.contains("sha256:ab")));
    assert_eq!(h.strings.borrow().jobs.len(), 2);
}

#[rstest]
fn where_one_is_required_no_token_stands_in_for_it() {
    let mut h = asking("required");
    let client = h.client();
    assert_eq!(calls(&mut h, client, &signed("k1", "school")), Some(401));
    let gateway = shows(&mut h, "gw-7");
    assert_eq!(
        calls(&mut h, gateway, &signed("k1", "school")),
        None,
        "taken"
    );
}

/// Its key is denied while its job is out: the answer still comes, once; nothing new is taken, and the connection ends.
#[rstest]
fn a_certificate_is_denied_while_its_job_is_out() {
    let mut h = asking("optional");
    let gateway = shows(&mut h, "gw-7");
    h.strings.borrow_mut().deeds.push(Do::Execute(0, 5 * S));
    h.calls(gateway, &[]);
    let worker = h.io.connects.last().unwrap().0;
    h.up(worker);
    let id = h.executions_read(worker)[0];
    let now = h.now;
    h.edge.on_credentials_changed(now, gateway, true, &mut h.io);
    h.calls(gateway, &[]);
    h.done(worker, id, ExecutionStatus::Finished);
    assert_eq!(h.statuses(gateway), [200, 401]);
    assert!(h
        .io
        .closed
        .iter()
        .any(|(conn, how)| *conn == gateway && *how == Some(CloseCause::Orderly)));
    assert_eq!(h.strings.borrow().jobs.len(), 1);
    assert!(h
        .io
        .audit
        .iter()
        .any(|line| line.contains("certificate-denied")));
}

/// A token is good at every edge within its time; bound to a certificate's customer it is of use to nobody else.
#[rstest]
fn a_token_replayed_at_another_edge_is_taken_there_unless_certificates_are_required() {
    let token = signed("k1", "obs");
    let (mut first, mut other) = (host(), host());
    for edge in [&mut first, &mut other] {
        let client = edge.client();
        assert_eq!(calls(edge, client, &token), None, "taken");
    }
    let mut bound = asking("required");
    let school = shows(&mut bound, "gw-7");
    assert_eq!(calls(&mut bound, school, &token), Some(403));
    let owner = shows(&mut bound, "obs.example");
    assert_eq!(calls(&mut bound, owner, &token), None, "taken");
}
