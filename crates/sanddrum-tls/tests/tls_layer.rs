//! TLS connections between two cores, and peers that do not complete a handshake.

use proptest::prelude::*;
use rcgen::{
    BasicConstraints, CertificateParams, CertificateRevocationListParams, CertifiedIssuer, DnType,
    IsCa, KeyPair, KeyUsagePurpose, RevokedCertParams, SerialNumber,
};
use rstest::rstest;
use rustls::pki_types::{pem::PemObject, CertificateDer};
use sanddrum_net::*;
use sanddrum_tls::{
    ClientAuth, KeyFingerprint, NameConstraint, ReloadableConfig, TlsLayer, TlsLimits, TlsMaterial,
    TlsOptions, INBOUND_FILES, OUTBOUND_FILES,
};
use std::cell::RefCell;
use std::rc::Rc;

/// The current time of these tests, in 2025. Their authorities are valid from 2020 to 2040.
const NOW: Micros = 1_750_000_000_000_000;

/// The events that a core was given.
#[derive(Default)]
struct Recorded {
    received: Vec<u8>,
    established: u32,
    closed: Vec<CloseCause>,
    peers: Vec<PeerIdentity>,
    /// For each connection with outdated credentials: whether they were revoked.
    outdated: Vec<bool>,
}
type Shared<T> = Rc<RefCell<T>>;

/// A client that connects to an address and a name and sends data, or a server that echoes what it receives.
struct TestPeer {
    connects_to: Option<(String, String)>,
    data: Vec<u8>,
    sent: usize,
    conn: Option<ConnectionId>,
    echoes: bool,
    recorded: Shared<Recorded>,
}

impl TestPeer {
    fn client(to: &str, name: &str, data: &[u8]) -> (TestPeer, Shared<Recorded>) {
        let recorded = Shared::<Recorded>::default();
        let connects_to = Some((to.to_string(), name.to_string()));
        (
            TestPeer {
                connects_to,
                data: data.to_vec(),
                sent: 0,
                conn: None,
                echoes: false,
                recorded: recorded.clone(),
            },
            recorded,
        )
    }
    fn server() -> (TestPeer, Shared<Recorded>) {
        let recorded = Shared::<Recorded>::default();
        (
            TestPeer {
                connects_to: None,
                data: vec![],
                sent: 0,
                conn: None,
                echoes: true,
                recorded: recorded.clone(),
            },
            recorded,
        )
    }
    fn send(&mut self, io: &mut dyn Io) {
        if let Some(conn) = self.conn {
            self.sent += io.write(conn, &self.data[self.sent..]);
        }
    }
}

impl Core for TestPeer {
    fn start(&mut self, _: Micros, io: &mut dyn Io) {
        if let Some((to, name)) = &self.connects_to {
            match name.as_str() {
                "" => drop(io.connect(to)),
                name => drop(io.connect_named(to, name)),
            }
        }
    }
    fn on_event(&mut self, _: Micros, event: Event<'_>, io: &mut dyn Io) {
        match event {
            Event::Accepted { conn, .. } | Event::Connected { conn } => {
                self.conn = Some(conn);
                self.recorded.borrow_mut().established += 1;
                self.recorded.borrow_mut().peers.extend(io.peer(conn));
            }
            Event::Bytes { bytes, .. } => {
                self.recorded.borrow_mut().received.extend_from_slice(bytes);
                if self.echoes {
                    self.data.extend_from_slice(bytes);
                }
            }
            Event::Writable { .. } => {}
            Event::Closed { cause, .. } => {
                self.conn = None;
                self.recorded.borrow_mut().closed.push(cause);
            }
        }
        self.send(io);
    }
    fn process(&mut self, _: Micros, _: &mut dyn Io) {}
    fn next_wakeup(&self) -> Option<Micros> {
        None
    }
    fn on_credentials_changed(
        &mut self,
        _: Micros,
        _: ConnectionId,
        revoked: bool,
        _: &mut dyn Io,
    ) {
        self.recorded.borrow_mut().outdated.push(revoked);
    }
}

struct Authority(CertifiedIssuer<'static, KeyPair>);

/// A certificate chain and its private key.
type CertifiedKey = (Vec<u8>, Vec<u8>);

impl Authority {
    fn new() -> Authority {
        Authority::named("authority")
    }
    fn named(name: &str) -> Authority {
        let mut params = CertificateParams::new(vec![]).unwrap();
        params.distinguished_name.push(DnType::CommonName, name);
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        params.not_before = rcgen::date_time_ymd(2020, 1, 1);
        params.not_after = rcgen::date_time_ymd(2040, 1, 1);
        Authority(CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap())
    }
    /// A certificate for this name, valid until the beginning of a year, which is also its serial number.
    fn leaf(&self, name: &str, expiry_year: i32) -> CertifiedKey {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(vec![name.to_string()]).unwrap();
        params.serial_number = Some(SerialNumber::from(expiry_year as u64));
        params.not_before = rcgen::date_time_ymd(2020, 1, 1);
        params.not_after = rcgen::date_time_ymd(expiry_year, 1, 1);
        let leaf = params.signed_by(&key, &self.0).unwrap();
        (leaf.pem().into_bytes(), key.serialize_pem().into_bytes())
    }
    /// A revocation list issued in `issued_year` for the certificates that expire in `expiry_years`.
    fn revocation_list(&self, issued_year: i32, expiry_years: &[i32]) -> Vec<u8> {
        let revoked = |year: &i32| RevokedCertParams {
            serial_number: SerialNumber::from(*year as u64),
            revocation_time: rcgen::date_time_ymd(2021, 1, 1),
            reason_code: None,
            invalidity_date: None,
        };
        let params = CertificateRevocationListParams {
            this_update: rcgen::date_time_ymd(issued_year, 1, 1),
            next_update: rcgen::date_time_ymd(2040, 1, 1),
            crl_number: SerialNumber::from(issued_year as u64),
            issuing_distribution_point: None,
            revoked_certs: expiry_years.iter().map(revoked).collect(),
            key_identifier_method: rcgen::KeyIdMethod::Sha256,
        };
        params
            .signed_by(&self.0)
            .unwrap()
            .pem()
            .unwrap()
            .into_bytes()
    }
    fn roots(&self) -> Vec<u8> {
        self.0.pem().into_bytes()
    }
    fn material(&self, certified_key: Option<CertifiedKey>) -> TlsMaterial {
        TlsMaterial {
            roots: self.roots(),
            certified_key,
            ..TlsMaterial::default()
        }
    }
    fn config(
        &self,
        certified_key: Option<CertifiedKey>,
        client_auth: ClientAuth,
    ) -> ReloadableConfig {
        config(self.material(certified_key), client_auth)
    }
    fn fingerprint(certified_key: &CertifiedKey) -> String {
        let der = CertificateDer::from_pem_slice(&certified_key.0).unwrap();
        KeyFingerprint::of_certificate(&der).unwrap().to_string()
    }
}
fn config(material: TlsMaterial, client_auth: ClientAuth) -> ReloadableConfig {
    ReloadableConfig::new(
        material,
        TlsOptions {
            client_auth,
            session_cache_size: 16,
            ..TlsOptions::default()
        },
    )
    .unwrap()
}
fn tls_server(core: impl Core + 'static, config: ReloadableConfig) -> Box<dyn Core> {
    Box::new(TlsLayer::new(core, limits()).with_inbound(config))
}
fn tls_client(core: impl Core + 'static, config: ReloadableConfig) -> Box<dyn Core> {
    Box::new(TlsLayer::new(core, limits()).with_outbound(config))
}

const NAME: &str = "worker7.bat-a.example.org";

fn limits() -> TlsLimits {
    TlsLimits {
        handshake_timeout: 2_000_000,
        max_handshakes: 3,
        max_buffered: 20_000,
        expiry_warning: 0,
    }
}
fn net(seed: u64) -> VirtualNet {
    let links = LinkModel {
        split_probability: 0.5,
        window_bytes: 30_000,
        ..LinkModel::default()
    };
    VirtualNet::new(seed, NOW, links, Box::new(NullObserver))
}
fn run(net: &mut VirtualNet, seconds: i64) {
    let until = net.now() + seconds * 1_000_000;
    net.run_until(until);
}

#[rstest]
fn data_arrives_complete_in_both_directions(#[values(1, 2, 3)] seed: u64) {
    let authority = Authority::new();
    let data: Vec<u8> = (0..200_000u32).map(|n| ((n * 31) >> 3) as u8).collect();
    let (server, at_server) = TestPeer::server();
    let (client, at_client) = TestPeer::client("a:1", NAME, &data);
    let mut net = net(seed);
    let server_config = authority.config(Some(authority.leaf(NAME, 2040)), ClientAuth::Disabled);
    net.add(0, &["a:1"], tls_server(server, server_config));
    net.add(
        1,
        &[],
        tls_client(client, authority.config(None, ClientAuth::Disabled)),
    );
    run(&mut net, 10);
    assert!(at_server.borrow().received == data && at_client.borrow().received == data);
    assert!(at_client.borrow().closed.is_empty());
}

#[rstest]
fn data_arrives_in_both_directions_on_sockets() {
    let authority = Authority::new();
    let (server, at_server) = TestPeer::server();
    let mut driver = EventLoop::new(Box::new(NullObserver)).unwrap();
    let (listener, address) = EventLoop::bind("127.0.0.1:0").unwrap();
    let server_config = authority.config(Some(authority.leaf(NAME, 2040)), ClientAuth::Disabled);
    driver
        .add(tls_server(server, server_config), vec![listener], None)
        .unwrap();
    let (client, at_client) = TestPeer::client(&address, NAME, b"hello");
    driver
        .add(
            tls_client(client, authority.config(None, ClientAuth::Disabled)),
            vec![],
            None,
        )
        .unwrap();
    let until = driver.now() + 10_000_000;
    while at_client.borrow().received.is_empty() && driver.now() < until {
        let next = driver.now() + 5_000;
        driver.run_until(next).unwrap();
    }
    assert_eq!(
        (
            at_server.borrow().received.as_slice(),
            at_client.borrow().received.as_slice()
        ),
        (&b"hello"[..], &b"hello"[..])
    );
}

#[rstest]
#[case::another_name("worker8.bat-a.example.org", 2040, false)]
#[case::a_wildcard("*.bat-a.example.org", 2040, false)]
#[case::expired(NAME, 2022, false)]
#[case::valid(NAME, 2040, true)]
fn a_worker_needs_a_valid_certificate_for_its_literal_name(
    #[case] name: &str,
    #[case] expiry_year: i32,
    #[case] accepted: bool,
) {
    let authority = Authority::new();
    let (server, at_server) = TestPeer::server();
    let (client, at_client) = TestPeer::client("a:1", NAME, b"secret");
    let mut net = net(1);
    let server_config = authority.config(
        Some(authority.leaf(name, expiry_year)),
        ClientAuth::Disabled,
    );
    net.add(0, &["a:1"], tls_server(server, server_config));
    net.add(
        0,
        &[],
        tls_client(client, authority.config(None, ClientAuth::Disabled)),
    );
    run(&mut net, 3);
    assert_eq!(at_server.borrow().received.is_empty(), !accepted);
    let closed = if accepted {
        vec![]
    } else {
        vec![CloseCause::Refused]
    };
    assert_eq!(
        (
            at_client.borrow().established,
            at_client.borrow().closed.clone()
        ),
        (u32::from(accepted), closed)
    );
}

#[rstest]
fn certificates_of_a_foreign_authority_are_rejected_in_both_directions() {
    let (ours, theirs) = (Authority::new(), Authority::new());
    for (client_authority, certified_key) in [
        (&theirs, None),
        (&ours, Some(theirs.leaf("edge-0", 2040))),
        (&ours, None),
    ] {
        let (server, at_server) = TestPeer::server();
        let (client, at_client) = TestPeer::client("a:1", NAME, b"secret");
        let mut net = net(1);
        let server_config = ours.config(Some(ours.leaf(NAME, 2040)), ClientAuth::Required);
        net.add(0, &["a:1"], tls_server(server, server_config));
        net.add(
            0,
            &[],
            tls_client(
                client,
                client_authority.config(certified_key, ClientAuth::Disabled),
            ),
        );
        run(&mut net, 3);
        assert!(at_server.borrow().received.is_empty() && at_server.borrow().established == 0);
        assert_eq!(at_client.borrow().closed.len(), 1);
    }
}

#[rstest]
fn clients_that_send_plaintext_or_nothing_are_disconnected_and_limited_in_number(
    #[values(true, false)] sends: bool,
) {
    let authority = Authority::new();
    let (server, at_server) = TestPeer::server();
    let mut net = net(1);
    let server_config = authority.config(Some(authority.leaf(NAME, 2040)), ClientAuth::Disabled);
    net.add(0, &["a:1"], tls_server(server, server_config));
    let clients: Vec<_> = (0..5)
        .map(|_| {
            let (client, at_client) = TestPeer::client(
                "a:1",
                "",
                if sends {
                    b"GET / HTTP/1.1\r\n\r\n"
                } else {
                    b""
                },
            );
            net.add(0, &[], Box::new(client));
            at_client
        })
        .collect();
    run(&mut net, 1);
    let closed = clients
        .iter()
        .filter(|at_client| !at_client.borrow().closed.is_empty())
        .count();
    assert_eq!(
        closed,
        if sends { 5 } else { 2 },
        "no more than three handshakes are in flight"
    );
    run(&mut net, 3);
    assert!(clients
        .iter()
        .all(|at_client| !at_client.borrow().closed.is_empty()));
    assert_eq!(at_server.borrow().established, 0);
    let (client, at_client) = TestPeer::client("a:1", NAME, b"now");
    net.add(
        0,
        &[],
        tls_client(client, authority.config(None, ClientAuth::Disabled)),
    );
    run(&mut net, 1);
    assert_eq!(at_client.borrow().received, b"now");
}

#[rstest]
fn a_connection_that_ends_without_close_notify_counts_as_reset() {
    let authority = Authority::new();
    let (server, _) = TestPeer::server();
    let (client, at_client) = TestPeer::client("a:1", NAME, b"x");
    let mut net = net(1);
    let server_config = authority.config(Some(authority.leaf(NAME, 2040)), ClientAuth::Disabled);
    let host = net.add(0, &["a:1"], tls_server(server, server_config));
    net.add(
        0,
        &[],
        tls_client(client, authority.config(None, ClientAuth::Disabled)),
    );
    run(&mut net, 1);
    assert_eq!(at_client.borrow().received, b"x");
    net.kill(host);
    run(&mut net, 1);
    assert_eq!(at_client.borrow().closed, [CloseCause::Reset]);
}

#[rstest]
fn a_key_that_does_not_match_the_certificate_is_rejected() {
    let authority = Authority::new();
    let ((chain, _), (_, other_key)) = (authority.leaf(NAME, 2040), authority.leaf(NAME, 2040));
    assert!(ReloadableConfig::new(
        authority.material(Some((chain, other_key))),
        TlsOptions::default()
    )
    .is_err());
}

/// Certificate and key are replaced one file after the other, with a truncated and an unreadable file in between.
#[rstest]
fn a_replaced_certificate_applies_to_new_connections_once_all_files_are_valid() {
    let (old, new) = (Authority::new(), Authority::new());
    let (server, at_server) = TestPeer::server();
    let (client, at_client) = TestPeer::client("a:1", NAME, b"one");
    let mut net = net(1);
    let server_config = old.config(Some(old.leaf(NAME, 2040)), ClientAuth::Disabled);
    let host = net.add(0, &["a:1"], tls_server(server, server_config));
    net.add(
        0,
        &[],
        tls_client(client, old.config(None, ClientAuth::Disabled)),
    );
    run(&mut net, 1);
    let roots: String = format!("{}{}", old.0.pem(), new.0.pem());
    let (chain, key) = new.leaf(NAME, 2040);
    let (truncated, _) = chain.split_at(chain.len() / 2);
    net.deliver_file(host, INBOUND_FILES[0], Ok(roots.as_bytes()));
    net.deliver_file(host, INBOUND_FILES[1], Ok(truncated));
    net.deliver_file(host, INBOUND_FILES[2], Ok(&key));
    let echoed_to = |net: &mut VirtualNet, authority: &Authority| {
        let (client, at_client) = TestPeer::client("a:1", NAME, b"two");
        net.add(
            0,
            &[],
            tls_client(client, authority.config(None, ClientAuth::Disabled)),
        );
        run(net, 1);
        let received = at_client.borrow().received.clone();
        received
    };
    assert_eq!(
        echoed_to(&mut net, &old),
        b"two",
        "the old certificate stays in force while the new one is truncated"
    );
    let unreadable = FileError::Unreadable {
        path: INBOUND_FILES[1].into(),
        source: std::io::Error::other("unreadable"),
    };
    net.deliver_file(host, INBOUND_FILES[1], Err(&unreadable));
    assert_eq!(echoed_to(&mut net, &old), b"two");
    net.deliver_file(host, INBOUND_FILES[1], Ok(&chain));
    assert_eq!(
        echoed_to(&mut net, &new),
        b"two",
        "new connections use the new certificate"
    );
    assert_eq!(
        echoed_to(&mut net, &old),
        b"",
        "a client that trusts only the old root rejects it"
    );
    assert!(
        at_client.borrow().closed.is_empty(),
        "the established connection stays open"
    );
    assert_eq!(at_client.borrow().received, b"one");
    assert!(at_server.borrow().received.len() >= 12);
}

// ---- Verification of peers

/// Whether a client with this material and these constraints accepts a server with this certificate and sends it data.
fn accepts(
    certified_key: CertifiedKey,
    server_authority: &Authority,
    client_material: TlsMaterial,
    name_constraints: Vec<NameConstraint>,
) -> bool {
    let (server, at_server) = TestPeer::server();
    let (client, _) = TestPeer::client("a:1", NAME, b"secret");
    let mut net = net(1);
    net.add(
        0,
        &["a:1"],
        tls_server(
            server,
            server_authority.config(Some(certified_key), ClientAuth::Disabled),
        ),
    );
    let options = TlsOptions {
        session_cache_size: 16,
        name_constraints,
        ..TlsOptions::default()
    };
    let client_config = ReloadableConfig::new(client_material, options).unwrap();
    net.add(0, &[], tls_client(client, client_config));
    run(&mut net, 3);
    let arrived = at_server.borrow().received == b"secret";
    arrived
}

#[rstest]
#[case::its_zone(".bat-a.example.org", true)]
#[case::another_zone(".bat-b.example.org", false)]
#[case::a_suffix_without_a_dot("7.bat-a.example.org", false)]
#[case::the_full_name(NAME, true)]
fn a_constrained_authority_is_trusted_only_for_its_names(
    #[case] permitted: &str,
    #[case] accepted: bool,
) {
    let unconstrained = Authority::named("unconstrained");
    let constrained = Authority::named("constrained");
    let constraints = vec![NameConstraint {
        authority: "constrained".into(),
        names: vec![permitted.into()],
    }];
    let material = TlsMaterial {
        roots: [unconstrained.roots(), constrained.roots()].concat(),
        ..TlsMaterial::default()
    };
    assert_eq!(
        accepts(
            constrained.leaf(NAME, 2040),
            &constrained,
            material.clone(),
            constraints.clone()
        ),
        accepted
    );
    assert!(
        accepts(
            unconstrained.leaf(NAME, 2040),
            &unconstrained,
            material,
            constraints
        ),
        "the other authority is not constrained"
    );
}

#[rstest]
fn a_revoked_certificate_and_a_denied_key_are_rejected() {
    let authority = Authority::new();
    let (stolen, other) = (authority.leaf(NAME, 2038), authority.leaf(NAME, 2039));
    let revoked = TlsMaterial {
        revocation_lists: authority.revocation_list(2024, &[2038]),
        ..authority.material(None)
    };
    assert!(!accepts(
        stolen.clone(),
        &authority,
        revoked.clone(),
        vec![]
    ));
    assert!(accepts(other.clone(), &authority, revoked, vec![]));
    let line = format!(
        "# stolen\n{} from the rack in hall 2\n",
        Authority::fingerprint(&stolen)
    );
    let denied = TlsMaterial {
        denied_keys: line.into_bytes(),
        ..authority.material(None)
    };
    assert!(!accepts(stolen, &authority, denied.clone(), vec![]));
    assert!(accepts(other, &authority, denied, vec![]));
}

/// The peer's certificate is revoked while a connection is established: the core has to be notified. A truncated
/// revocation list, or one older than the one in force, must have no effect.
#[rstest]
fn established_connections_are_verified_again_after_a_revocation() {
    let authority = Authority::new();
    let certified_key = authority.leaf(NAME, 2038);
    let (server, _) = TestPeer::server();
    let (client, at_client) = TestPeer::client("a:1", NAME, b"one");
    let mut net = net(1);
    net.add(
        0,
        &["a:1"],
        tls_server(
            server,
            authority.config(Some(certified_key), ClientAuth::Disabled),
        ),
    );
    let material = TlsMaterial {
        revocation_lists: authority.revocation_list(2023, &[]),
        ..authority.material(None)
    };
    let edge = net.add(
        0,
        &[],
        tls_client(client, config(material, ClientAuth::Disabled)),
    );
    run(&mut net, 1);
    assert_eq!(at_client.borrow().received, b"one");
    net.deliver_file(
        edge,
        OUTBOUND_FILES[3],
        Ok(&authority.revocation_list(2022, &[2038])),
    );
    net.deliver_file(
        edge,
        OUTBOUND_FILES[3],
        Ok(b"-----BEGIN X509 CRL-----\ntorn"),
    );
    run(&mut net, 1);
    assert!(
        at_client.borrow().outdated.is_empty(),
        "an older list and a truncated one are rejected"
    );
    net.deliver_file(
        edge,
        OUTBOUND_FILES[3],
        Ok(&authority.revocation_list(2024, &[2038])),
    );
    run(&mut net, 1);
    assert_eq!(at_client.borrow().outdated, [true]);
    assert!(
        at_client.borrow().closed.is_empty(),
        "requests in flight may still be answered"
    );
}

/// Opens connections one after the other, each once the one before has received data.
struct Reconnecting {
    to: String,
    remaining: u32,
    /// For each established connection: whether its handshake resumed a session.
    resumed: Shared<Vec<bool>>,
    rejected: Shared<u32>,
}
impl Core for Reconnecting {
    fn start(&mut self, _: Micros, io: &mut dyn Io) {
        io.connect_named(&self.to, NAME);
    }
    fn on_event(&mut self, _: Micros, event: Event<'_>, io: &mut dyn Io) {
        match event {
            Event::Connected { conn } => {
                self.resumed
                    .borrow_mut()
                    .push(io.peer(conn).unwrap().resumed);
                io.write(conn, b"x");
            }
            Event::Bytes { conn, .. } => {
                io.close(conn);
                self.remaining -= 1;
                if self.remaining > 0 {
                    io.connect_named(&self.to, NAME);
                }
            }
            Event::Closed { .. } => *self.rejected.borrow_mut() += 1,
            Event::Accepted { .. } | Event::Writable { .. } => {}
        }
    }
    fn on_file(&mut self, _: Micros, _: &str, _: Result<&[u8], &FileError>, io: &mut dyn Io) {
        self.remaining += 1;
        io.connect_named(&self.to, NAME);
    }
    fn process(&mut self, _: Micros, _: &mut dyn Io) {}
    fn next_wakeup(&self) -> Option<Micros> {
        None
    }
}

#[rstest]
fn sessions_are_resumed_but_not_after_a_change_of_roots_or_denied_keys() {
    let (ours, other) = (Authority::new(), Authority::new());
    let certified_key = ours.leaf(NAME, 2038);
    let (resumed, rejected) = (Shared::<Vec<bool>>::default(), Shared::<u32>::default());
    let (server, _) = TestPeer::server();
    let mut net = net(1);
    net.add(
        0,
        &["a:1"],
        tls_server(
            server,
            ours.config(Some(certified_key.clone()), ClientAuth::Disabled),
        ),
    );
    let client = Reconnecting {
        to: "a:1".into(),
        remaining: 3,
        resumed: resumed.clone(),
        rejected: rejected.clone(),
    };
    let edge = net.add(
        0,
        &[],
        tls_client(client, ours.config(None, ClientAuth::Disabled)),
    );
    run(&mut net, 2);
    assert_eq!(*resumed.borrow(), [false, true, true]);
    net.deliver_file(
        edge,
        OUTBOUND_FILES[0],
        Ok(&[ours.roots(), other.roots()].concat()),
    );
    net.deliver_file(edge, "go", Ok(b""));
    run(&mut net, 1);
    assert_eq!(
        *resumed.borrow(),
        [false, true, true, false],
        "not resumed, as the roots have changed"
    );
    net.deliver_file(
        edge,
        OUTBOUND_FILES[4],
        Ok(Authority::fingerprint(&certified_key).as_bytes()),
    );
    net.deliver_file(edge, "go", Ok(b""));
    run(&mut net, 1);
    assert_eq!(
        (resumed.borrow().len(), *rejected.borrow()),
        (4, 1),
        "rejected, as the key is denied: no earlier session is resumed"
    );
}

/// Workers have certificates of the old or the new authority while roots are rotated: first both are trusted, then
/// only the new one.
#[rstest]
fn roots_are_rotated_in_two_steps() {
    let (old, new) = (Authority::named("old"), Authority::named("new"));
    let both = [old.roots(), new.roots()].concat();
    for (roots, accepts_old, accepts_new) in [
        (old.roots(), true, false),
        (both, true, true),
        (new.roots(), false, true),
    ] {
        let material = TlsMaterial {
            roots,
            ..TlsMaterial::default()
        };
        assert_eq!(
            accepts(old.leaf(NAME, 2040), &old, material.clone(), vec![]),
            accepts_old
        );
        assert_eq!(
            accepts(new.leaf(NAME, 2040), &new, material, vec![]),
            accepts_new
        );
    }
}

#[rstest]
#[case::a_day_behind(-1)]
#[case::a_day_ahead(1)]
fn a_clock_off_by_a_day_affects_only_certificates_that_expire_within_it(#[case] days: i64) {
    let authority = Authority::new();
    let certified_key = authority.leaf(NAME, 2026);
    let expiry: Micros = 1_767_225_600_000_000; // 2026-01-01
    for (true_time, accepted) in [
        (expiry - 40 * 3600 * 1_000_000, true),
        (expiry - 12 * 3600 * 1_000_000, days < 0),
    ] {
        let (server, at_server) = TestPeer::server();
        let (client, _) = TestPeer::client("a:1", NAME, b"x");
        let links = LinkModel {
            split_probability: 0.5,
            window_bytes: 30_000,
            ..LinkModel::default()
        };
        let mut net = VirtualNet::new(
            1,
            true_time + days * 86_400 * 1_000_000,
            links,
            Box::new(NullObserver),
        );
        net.add(
            0,
            &["a:1"],
            tls_server(
                server,
                authority.config(Some(certified_key.clone()), ClientAuth::Disabled),
            ),
        );
        net.add(
            0,
            &[],
            tls_client(client, authority.config(None, ClientAuth::Disabled)),
        );
        run(&mut net, 3);
        assert_eq!(!at_server.borrow().received.is_empty(), accepted);
    }
}

/// Writes bytes one at a time at a fixed interval.
struct SlowWriter {
    bytes: Vec<u8>,
    conn: Option<ConnectionId>,
    next: Micros,
    interval: Micros,
    closed_at: Shared<Option<Micros>>,
}
impl Core for SlowWriter {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        self.conn = Some(io.connect("a:1"));
        self.next = now + self.interval;
    }
    fn on_event(&mut self, now: Micros, event: Event<'_>, _: &mut dyn Io) {
        if let Event::Closed { .. } = event {
            *self.closed_at.borrow_mut() = Some(now);
            self.conn = None;
        }
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        if let (Some(conn), true) = (self.conn, now >= self.next && !self.bytes.is_empty()) {
            io.write(conn, &[self.bytes.remove(0)]);
            self.next = now + self.interval;
        }
    }
    fn next_wakeup(&self) -> Option<Micros> {
        (self.conn.is_some() && !self.bytes.is_empty()).then_some(self.next)
    }
}

/// A ClientHello that offers TLS 1.2 and nothing above (RFC 5246, section 7.4.1.2).
fn tls12_hello() -> Vec<u8> {
    let mut body = vec![3, 3];
    body.extend([7; 32]);
    body.extend([0, 0, 4, 0xc0, 0x2b, 0xc0, 0x2f, 1, 0]);
    let mut hello = vec![1, 0, 0, body.len() as u8];
    hello.extend(body);
    let mut record = vec![22, 3, 1, 0, hello.len() as u8];
    record.extend(hello);
    record
}

#[rstest]
#[case::one_byte_a_second(1_000_000, vec![22, 3, 1, 0, 200, 1, 0, 0, 196, 3, 3])]
#[case::an_older_version(1_000, tls12_hello())]
fn clients_with_slow_or_outdated_handshakes_are_disconnected_within_the_timeout(
    #[case] interval: Micros,
    #[case] bytes: Vec<u8>,
) {
    let authority = Authority::new();
    let (server, at_server) = TestPeer::server();
    let closed_at = Shared::<Option<Micros>>::default();
    let mut net = net(1);
    net.add(
        0,
        &["a:1"],
        tls_server(
            server,
            authority.config(Some(authority.leaf(NAME, 2040)), ClientAuth::Disabled),
        ),
    );
    net.add(
        0,
        &[],
        Box::new(SlowWriter {
            bytes,
            conn: None,
            next: 0,
            interval,
            closed_at: closed_at.clone(),
        }),
    );
    run(&mut net, 5);
    assert!(closed_at.borrow().is_some_and(|at| at <= NOW + 2_100_000));
    assert_eq!(at_server.borrow().established, 0);
}

#[rstest]
fn a_server_learns_the_verified_identity_of_its_client() {
    let authority = Authority::new();
    let (server_key, client_key) = (
        authority.leaf(NAME, 2040),
        authority.leaf("GW1.example.org", 2039),
    );
    for (client_auth, certified_key, fingerprints) in [
        (ClientAuth::Optional, None, vec![String::new()]),
        (
            ClientAuth::Optional,
            Some(client_key.clone()),
            vec![Authority::fingerprint(&client_key)],
        ),
        (ClientAuth::Required, None, vec![]),
    ] {
        let (server, at_server) = TestPeer::server();
        let (client, _) = TestPeer::client("a:1", NAME, b"x");
        let mut net = net(1);
        net.add(
            0,
            &["a:1"],
            tls_server(
                server,
                authority.config(Some(server_key.clone()), client_auth),
            ),
        );
        net.add(
            0,
            &[],
            tls_client(
                client,
                authority.config(certified_key, ClientAuth::Disabled),
            ),
        );
        run(&mut net, 3);
        let at_server = at_server.borrow();
        assert_eq!(
            at_server
                .peers
                .iter()
                .map(|peer| peer.key_fingerprint.clone())
                .collect::<Vec<_>>(),
            fingerprints
        );
        if fingerprints == [Authority::fingerprint(&client_key)] {
            assert_eq!(at_server.peers[0].names, ["gw1.example.org"]);
        }
    }
}

proptest! {
    /// Files are replaced by arbitrary content, and by valid content that is truncated or has a byte changed: nothing
    /// panics, and connections can be made once the valid file is back.
    #[test]
    fn invalid_files_do_not_break_a_configuration(file in 0usize..5, at in any::<prop::sample::Index>(), byte in any::<u8>(), cut in any::<bool>(), arbitrary in any::<Vec<u8>>()) {
        let authority = Authority::new();
        let certified_key = authority.leaf(NAME, 2040);
        let denied_keys = Authority::fingerprint(&certified_key).into_bytes();
        let valid = [authority.roots(), certified_key.0.clone(), certified_key.1.clone(), authority.revocation_list(2024, &[]), denied_keys];
        let mut bytes = valid[file].clone();
        let at = at.index(bytes.len());
        if cut { bytes.truncate(at) } else { bytes[at] = byte }
        let (server, at_server) = TestPeer::server();
        let mut net = net(1);
        let host = net.add(0, &["a:1"], tls_server(server, authority.config(Some(certified_key), ClientAuth::Optional)));
        for content in [&arbitrary[..], &bytes[..], &valid[file][..]] {
            net.deliver_file(host, INBOUND_FILES[file], Ok(content));
        }
        // The denied key is the server's own: it is not checked against its own list.
        let (client, at_client) = TestPeer::client("a:1", NAME, b"x");
        net.add(0, &[], tls_client(client, authority.config(None, ClientAuth::Disabled)));
        run(&mut net, 1);
        prop_assert!(at_server.borrow().received == b"x" && at_client.borrow().received == b"x");
    }
}

#[rstest]
fn expiries_are_listed_and_a_certificate_outside_its_validity_period_is_rejected() {
    let authority = Authority::named("bat-a");
    let material = TlsMaterial {
        revocation_lists: authority.revocation_list(2024, &[]),
        ..authority.material(Some(authority.leaf(NAME, 2026)))
    };
    let config = config(material, ClientAuth::Disabled);
    let year = |year: i64| (year - 2025) * 365 * 86_400 * 1_000_000 + 1_735_689_600_000_000;
    let expiries: Vec<(&str, bool)> = config
        .current()
        .expiries()
        .iter()
        .map(|e| (e.item.as_str(), e.at < year(2027)))
        .collect();
    assert!(
        expiries.contains(&("certificate", true)) && expiries.contains(&("authority bat-a", false)),
        "{expiries:?}"
    );
    assert_eq!(expiries.len(), 3, "and the revocation list");
    for (at, valid) in [(year(2019), false), (year(2025), true), (year(2030), false)] {
        assert_eq!(config.current().check_validity(at).is_ok(), valid);
    }
}

#[rstest]
fn an_expired_certificate_does_not_replace_a_valid_one() {
    let authority = Authority::new();
    let (server, at_server) = TestPeer::server();
    let mut net = net(1);
    let host = net.add(
        0,
        &["a:1"],
        tls_server(
            server,
            authority.config(Some(authority.leaf(NAME, 2040)), ClientAuth::Disabled),
        ),
    );
    let (chain, key) = authority.leaf(NAME, 2022);
    net.deliver_file(host, INBOUND_FILES[1], Ok(&chain));
    net.deliver_file(host, INBOUND_FILES[2], Ok(&key));
    let (client, _) = TestPeer::client("a:1", NAME, b"x");
    net.add(
        0,
        &[],
        tls_client(client, authority.config(None, ClientAuth::Disabled)),
    );
    run(&mut net, 1);
    assert_eq!(at_server.borrow().received, b"x");
}

/// Writes a long message as far as the connection takes it, in `process` only and never while it handles an event.
struct ProcessWriter {
    conn: Option<ConnectionId>,
    remaining: usize,
    blocked: bool,
}
impl Core for ProcessWriter {
    fn start(&mut self, _: Micros, io: &mut dyn Io) {
        io.connect_named("a:1", NAME);
    }
    fn on_event(&mut self, _: Micros, event: Event<'_>, _: &mut dyn Io) {
        match event {
            Event::Connected { conn } => self.conn = Some(conn),
            Event::Writable { .. } => self.blocked = false,
            _ => {}
        }
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        // After the last message of the handshake.
        let may_write = now >= NOW + 1_000_000 && !self.blocked && self.remaining > 0;
        if let Some(conn) = self.conn.filter(|_| may_write) {
            let taken = io.write(conn, &vec![7; self.remaining]);
            self.remaining -= taken;
            self.blocked = self.remaining > 0;
        }
    }
    fn next_wakeup(&self) -> Option<Micros> {
        (self.remaining > 0 && !self.blocked).then_some(NOW + 1_000_000)
    }
}

/// A core's write is short although the network takes all ciphertext at once, so that the driver reports no
/// `Writable`: the layer has to, or the rest of the message is never written.
#[rstest]
#[case::a_large_network_window(10_000_000)]
#[case::a_small_network_window(30_000)]
fn a_message_larger_than_the_buffer_is_delivered(#[case] window: usize) {
    let authority = Authority::new();
    let (mut server, at_server) = TestPeer::server();
    // Nothing is echoed that would make the layer check its buffer again.
    server.echoes = false;
    let mut net = VirtualNet::new(
        1,
        NOW,
        LinkModel {
            window_bytes: window,
            ..LinkModel::default()
        },
        Box::new(NullObserver),
    );
    net.add(
        0,
        &["a:1"],
        tls_server(
            server,
            authority.config(Some(authority.leaf(NAME, 2040)), ClientAuth::Disabled),
        ),
    );
    let core = ProcessWriter {
        conn: None,
        remaining: 3_000_000,
        blocked: false,
    };
    net.add(
        0,
        &[],
        tls_client(core, authority.config(None, ClientAuth::Disabled)),
    );
    run(&mut net, 20);
    assert_eq!(at_server.borrow().received.len(), 3_000_000);
}
