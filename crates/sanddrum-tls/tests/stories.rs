//! Two cores that speak TLS to each other, and peers that do not.

use proptest::prelude::*;
use rcgen::{
    BasicConstraints, CertificateParams, CertificateRevocationListParams, CertifiedIssuer, DnType,
    IsCa, KeyPair, KeyUsagePurpose, RevokedCertParams, SerialNumber,
};
use rstest::rstest;
use rustls::pki_types::{pem::PemObject, CertificateDer};
use sanddrum_net::*;
use sanddrum_tls::{
    Asks, Bounds, KeyPrint, Layer, Limited, Papers, Rules, Side, CALL_FILES, DOOR_FILES,
};
use std::cell::RefCell;
use std::rc::Rc;

/// Certificates of the stories hold in 2020 to 2040; this is in 2025.
const NOW: Micros = 1_750_000_000_000_000;

#[derive(Default)]
struct Seen {
    came: Vec<u8>,
    up: u32,
    closed: Vec<CloseCause>,
    peers: Vec<PeerIdentity>,
    stale: Vec<bool>,
}
type Shared<T> = Rc<RefCell<T>>;

/// Calls a name, says something, and keeps what it hears; a listener says the same back.
struct Talker {
    calls: Option<(String, String)>,
    says: Vec<u8>,
    said: usize,
    conn: Option<ConnectionId>,
    echoes: bool,
    seen: Shared<Seen>,
}

impl Talker {
    fn calls(to: &str, name: &str, says: &[u8]) -> (Talker, Shared<Seen>) {
        let seen = Shared::<Seen>::default();
        let calls = Some((to.to_string(), name.to_string()));
        (
            Talker {
                calls,
                says: says.to_vec(),
                said: 0,
                conn: None,
                echoes: false,
                seen: seen.clone(),
            },
            seen,
        )
    }
    fn listens() -> (Talker, Shared<Seen>) {
        let seen = Shared::<Seen>::default();
        (
            Talker {
                calls: None,
                says: vec![],
                said: 0,
                conn: None,
                echoes: true,
                seen: seen.clone(),
            },
            seen,
        )
    }
    fn say(&mut self, io: &mut dyn Io) {
        if let Some(conn) = self.conn {
            self.said += io.write(conn, &self.says[self.said..]);
        }
    }
}

impl Core for Talker {
    fn start(&mut self, _: Micros, io: &mut dyn Io) {
        if let Some((to, name)) = &self.calls {
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
                self.seen.borrow_mut().up += 1;
                self.seen.borrow_mut().peers.extend(io.peer(conn));
            }
            Event::Bytes { bytes, .. } => {
                self.seen.borrow_mut().came.extend_from_slice(bytes);
                if self.echoes {
                    self.says.extend_from_slice(bytes);
                }
            }
            Event::Writable { .. } => {}
            Event::Closed { cause: how, .. } => {
                self.conn = None;
                self.seen.borrow_mut().closed.push(how);
            }
        }
        self.say(io);
    }
    fn process(&mut self, _: Micros, _: &mut dyn Io) {}
    fn next_wakeup(&self) -> Option<Micros> {
        None
    }
    fn on_credentials_changed(&mut self, _: Micros, _: ConnectionId, denied: bool, _: &mut dyn Io) {
        self.seen.borrow_mut().stale.push(denied);
    }
}

struct Authority(CertifiedIssuer<'static, KeyPair>);

type Own = (Vec<u8>, Vec<u8>);

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
    fn leaf(&self, name: &str, last_year: i32) -> Own {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(vec![name.to_string()]).unwrap();
        params.serial_number = Some(SerialNumber::from(last_year as u64));
        params.not_before = rcgen::date_time_ymd(2020, 1, 1);
        params.not_after = rcgen::date_time_ymd(last_year, 1, 1);
        let leaf = params.signed_by(&key, &self.0).unwrap();
        (leaf.pem().into_bytes(), key.serialize_pem().into_bytes())
    }
    /// A list, made in this year, that revokes the leaves that end in these.
    fn revokes(&self, made: i32, last_years: &[i32]) -> Vec<u8> {
        let revoked = |year: &i32| RevokedCertParams {
            serial_number: SerialNumber::from(*year as u64),
            revocation_time: rcgen::date_time_ymd(2021, 1, 1),
            reason_code: None,
            invalidity_date: None,
        };
        let params = CertificateRevocationListParams {
            this_update: rcgen::date_time_ymd(made, 1, 1),
            next_update: rcgen::date_time_ymd(2040, 1, 1),
            crl_number: SerialNumber::from(made as u64),
            issuing_distribution_point: None,
            revoked_certs: last_years.iter().map(revoked).collect(),
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
    fn papers(&self, own: Option<Own>) -> Papers {
        Papers {
            roots: self.roots(),
            own,
            ..Papers::default()
        }
    }
    fn side(&self, own: Option<Own>, callers: Asks) -> Side {
        side(self.papers(own), callers)
    }
    fn print(own: &Own) -> String {
        let der = CertificateDer::from_pem_slice(&own.0).unwrap();
        KeyPrint::of_certificate(&der).unwrap().to_string()
    }
}
fn side(papers: Papers, callers: Asks) -> Side {
    Side::new(
        papers,
        Rules {
            callers,
            sessions: 16,
            ..Rules::default()
        },
    )
    .unwrap()
}
fn serves(core: impl Core + 'static, side: Side) -> Box<dyn Core> {
    Box::new(Layer::new(core, bounds()).with_doors(side))
}
fn dials(core: impl Core + 'static, side: Side) -> Box<dyn Core> {
    Box::new(Layer::new(core, bounds()).with_calls(side))
}

const NAME: &str = "worker7.bat-a.example.org";

fn bounds() -> Bounds {
    Bounds {
        handshake_time_out: 2_000_000,
        handshakes: 3,
        waiting: 20_000,
        warn_ahead: 0,
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
fn bytes_go_both_ways_whole(#[values(1, 2, 3)] seed: u64) {
    let authority = Authority::new();
    let says: Vec<u8> = (0..200_000u32).map(|n| ((n * 31) >> 3) as u8).collect();
    let (server, heard) = Talker::listens();
    let (client, seen) = Talker::calls("a:1", NAME, &says);
    let mut net = net(seed);
    let served = authority.side(Some(authority.leaf(NAME, 2040)), Asks::No);
    net.add(0, &["a:1"], serves(server, served));
    net.add(1, &[], dials(client, authority.side(None, Asks::No)));
    run(&mut net, 10);
    assert!(heard.borrow().came == says && seen.borrow().came == says);
    assert!(seen.borrow().closed.is_empty());
}

#[rstest]
fn they_talk_on_sockets_too() {
    let authority = Authority::new();
    let (server, heard) = Talker::listens();
    let mut driver = EventLoop::new(Box::new(NullObserver)).unwrap();
    let (door, at) = EventLoop::bind("127.0.0.1:0").unwrap();
    let served = authority.side(Some(authority.leaf(NAME, 2040)), Asks::No);
    driver
        .add(serves(server, served), vec![door], None)
        .unwrap();
    let (client, seen) = Talker::calls(&at, NAME, b"hello");
    driver
        .add(dials(client, authority.side(None, Asks::No)), vec![], None)
        .unwrap();
    let until = driver.now() + 10_000_000;
    while seen.borrow().came.is_empty() && driver.now() < until {
        let next = driver.now() + 5_000;
        driver.run_until(next).unwrap();
    }
    assert_eq!(
        (
            heard.borrow().came.as_slice(),
            seen.borrow().came.as_slice()
        ),
        (&b"hello"[..], &b"hello"[..])
    );
}

#[rstest]
#[case::another_name("worker8.bat-a.example.org", 2040, false)]
#[case::a_wildcard("*.bat-a.example.org", 2040, false)]
#[case::expired(NAME, 2022, false)]
#[case::its_own(NAME, 2040, true)]
fn a_worker_has_to_own_its_name_now(
    #[case] shown: &str,
    #[case] last_year: i32,
    #[case] good: bool,
) {
    let authority = Authority::new();
    let (server, heard) = Talker::listens();
    let (client, seen) = Talker::calls("a:1", NAME, b"secret");
    let mut net = net(1);
    let served = authority.side(Some(authority.leaf(shown, last_year)), Asks::No);
    net.add(0, &["a:1"], serves(server, served));
    net.add(0, &[], dials(client, authority.side(None, Asks::No)));
    run(&mut net, 3);
    assert_eq!(heard.borrow().came.is_empty(), !good);
    let closed = if good {
        vec![]
    } else {
        vec![CloseCause::Refused]
    };
    assert_eq!(
        (seen.borrow().up, seen.borrow().closed.clone()),
        (u32::from(good), closed)
    );
}

#[rstest]
fn a_foreign_authority_is_not_trusted_in_either_direction() {
    let (ours, theirs) = (Authority::new(), Authority::new());
    for (roots, own) in [
        (&theirs, None),
        (&ours, Some(theirs.leaf("edge-0", 2040))),
        (&ours, None),
    ] {
        let (server, heard) = Talker::listens();
        let (client, seen) = Talker::calls("a:1", NAME, b"secret");
        let mut net = net(1);
        let served = ours.side(Some(ours.leaf(NAME, 2040)), Asks::Must);
        net.add(0, &["a:1"], serves(server, served));
        net.add(0, &[], dials(client, roots.side(own, Asks::No)));
        run(&mut net, 3);
        assert!(heard.borrow().came.is_empty() && heard.borrow().up == 0);
        assert_eq!(seen.borrow().closed.len(), 1);
    }
}

#[rstest]
fn callers_that_speak_plainly_or_not_at_all_cost_a_bounded_while(
    #[values(true, false)] says: bool,
) {
    let authority = Authority::new();
    let (server, heard) = Talker::listens();
    let mut net = net(1);
    let served = authority.side(Some(authority.leaf(NAME, 2040)), Asks::No);
    net.add(0, &["a:1"], serves(server, served));
    let callers: Vec<_> = (0..5)
        .map(|_| {
            let (client, seen) = Talker::calls(
                "a:1",
                "",
                if says { b"GET / HTTP/1.1\r\n\r\n" } else { b"" },
            );
            net.add(0, &[], Box::new(client));
            seen
        })
        .collect();
    run(&mut net, 1);
    let closed = callers
        .iter()
        .filter(|seen| !seen.borrow().closed.is_empty())
        .count();
    assert_eq!(
        closed,
        if says { 5 } else { 2 },
        "no more than three handshakes wait"
    );
    run(&mut net, 3);
    assert!(callers.iter().all(|seen| !seen.borrow().closed.is_empty()));
    assert_eq!(heard.borrow().up, 0);
    let (client, seen) = Talker::calls("a:1", NAME, b"now");
    net.add(0, &[], dials(client, authority.side(None, Asks::No)));
    run(&mut net, 1);
    assert_eq!(seen.borrow().came, b"now");
}

#[rstest]
fn a_stream_cut_short_is_not_an_orderly_end() {
    let authority = Authority::new();
    let (server, _) = Talker::listens();
    let (client, seen) = Talker::calls("a:1", NAME, b"x");
    let mut net = net(1);
    let served = authority.side(Some(authority.leaf(NAME, 2040)), Asks::No);
    let host = net.add(0, &["a:1"], serves(server, served));
    net.add(0, &[], dials(client, authority.side(None, Asks::No)));
    run(&mut net, 1);
    assert_eq!(seen.borrow().came, b"x");
    net.kill(host);
    run(&mut net, 1);
    assert_eq!(seen.borrow().closed, [CloseCause::Reset]);
}

#[rstest]
fn a_key_that_is_not_the_certificates_is_refused_at_once() {
    let authority = Authority::new();
    let ((chain, _), (_, other)) = (authority.leaf(NAME, 2040), authority.leaf(NAME, 2040));
    assert!(Side::new(authority.papers(Some((chain, other))), Rules::default()).is_err());
}

/// The certificate and its key are replaced one file after the other while a connection is up.
#[rstest]
fn a_certificate_is_swapped_while_a_connection_is_up() {
    let (old, new) = (Authority::new(), Authority::new());
    let (server, heard) = Talker::listens();
    let (client, seen) = Talker::calls("a:1", NAME, b"one");
    let mut net = net(1);
    let served = old.side(Some(old.leaf(NAME, 2040)), Asks::No);
    let host = net.add(0, &["a:1"], serves(server, served));
    net.add(0, &[], dials(client, old.side(None, Asks::No)));
    run(&mut net, 1);
    let roots: String = format!("{}{}", old.0.pem(), new.0.pem());
    let (chain, key) = new.leaf(NAME, 2040);
    let (torn, _) = chain.split_at(chain.len() / 2);
    net.deliver_file(host, DOOR_FILES[0], Ok(roots.as_bytes()));
    net.deliver_file(host, DOOR_FILES[1], Ok(torn));
    net.deliver_file(host, DOOR_FILES[2], Ok(&key));
    let late = |net: &mut VirtualNet, authority: &Authority| {
        let (client, seen) = Talker::calls("a:1", NAME, b"two");
        net.add(0, &[], dials(client, authority.side(None, Asks::No)));
        run(net, 1);
        let came = seen.borrow().came.clone();
        came
    };
    assert_eq!(
        late(&mut net, &old),
        b"two",
        "the last good one, as the new one is torn"
    );
    let unreadable = FileError::Unreadable {
        path: DOOR_FILES[1].into(),
        source: std::io::Error::other("unreadable"),
    };
    net.deliver_file(host, DOOR_FILES[1], Err(&unreadable));
    assert_eq!(late(&mut net, &old), b"two");
    net.deliver_file(host, DOOR_FILES[1], Ok(&chain));
    assert_eq!(
        late(&mut net, &new),
        b"two",
        "new connections are met with the new one"
    );
    assert_eq!(
        late(&mut net, &old),
        b"",
        "and who trusts only the old root finds nobody"
    );
    assert!(seen.borrow().closed.is_empty(), "what was up is still up");
    assert_eq!(seen.borrow().came, b"one");
    assert!(heard.borrow().came.len() >= 12);
}

// ---- Whom a side believes

/// One call of a worker that shows this, by somebody with these papers; whether a byte arrived.
fn reaches(shown: Own, serving: &Authority, papers: Papers, limited: Vec<Limited>) -> bool {
    let (server, heard) = Talker::listens();
    let (client, _) = Talker::calls("a:1", NAME, b"secret");
    let mut net = net(1);
    net.add(
        0,
        &["a:1"],
        serves(server, serving.side(Some(shown), Asks::No)),
    );
    let rules = Rules {
        sessions: 16,
        limited,
        ..Rules::default()
    };
    net.add(0, &[], dials(client, Side::new(papers, rules).unwrap()));
    run(&mut net, 3);
    let came = heard.borrow().came == b"secret";
    came
}

#[rstest]
#[case::its_zone(".bat-a.example.org", true)]
#[case::another_zone(".bat-b.example.org", false)]
#[case::a_name_that_only_ends_alike("7.bat-a.example.org", false)]
#[case::the_whole_name(NAME, true)]
fn an_authority_may_be_limited_to_some_names(#[case] limit: &str, #[case] good: bool) {
    let (wide, narrow) = (Authority::named("wide"), Authority::named("narrow"));
    let limited = vec![Limited {
        authority: "narrow".into(),
        names: vec![limit.into()],
    }];
    let papers = Papers {
        roots: [wide.roots(), narrow.roots()].concat(),
        ..Papers::default()
    };
    assert_eq!(
        reaches(
            narrow.leaf(NAME, 2040),
            &narrow,
            papers.clone(),
            limited.clone()
        ),
        good
    );
    assert!(
        reaches(wide.leaf(NAME, 2040), &wide, papers, limited),
        "the other one is not limited"
    );
}

#[rstest]
fn a_revoked_certificate_and_a_denied_key_are_not_believed() {
    let authority = Authority::new();
    let (lost, kept) = (authority.leaf(NAME, 2038), authority.leaf(NAME, 2039));
    let revoked = Papers {
        revoked: authority.revokes(2024, &[2038]),
        ..authority.papers(None)
    };
    assert!(!reaches(lost.clone(), &authority, revoked.clone(), vec![]));
    assert!(reaches(kept.clone(), &authority, revoked, vec![]));
    let line = format!(
        "# stolen\n{} from the rack in hall 2\n",
        Authority::print(&lost)
    );
    let denied = Papers {
        denied: line.into_bytes(),
        ..authority.papers(None)
    };
    assert!(!reaches(lost, &authority, denied.clone(), vec![]));
    assert!(reaches(kept, &authority, denied, vec![]));
}

/// A connection is up when its peer's key is denied: the core hears of it, and new connections are refused although a
/// session of before is remembered. Older lists do not bring anything back.
#[rstest]
fn what_was_believed_before_a_revocation_is_judged_anew() {
    let authority = Authority::new();
    let shown = authority.leaf(NAME, 2038);
    let (server, _) = Talker::listens();
    let (client, seen) = Talker::calls("a:1", NAME, b"one");
    let mut net = net(1);
    net.add(
        0,
        &["a:1"],
        serves(server, authority.side(Some(shown), Asks::No)),
    );
    let papers = Papers {
        revoked: authority.revokes(2023, &[]),
        ..authority.papers(None)
    };
    let edge = net.add(0, &[], dials(client, side(papers, Asks::No)));
    run(&mut net, 1);
    assert_eq!(seen.borrow().came, b"one");
    net.deliver_file(edge, CALL_FILES[3], Ok(&authority.revokes(2022, &[2038])));
    net.deliver_file(edge, CALL_FILES[3], Ok(b"-----BEGIN X509 CRL-----\ntorn"));
    run(&mut net, 1);
    assert!(
        seen.borrow().stale.is_empty(),
        "an older list and a torn one change nothing"
    );
    net.deliver_file(edge, CALL_FILES[3], Ok(&authority.revokes(2024, &[2038])));
    run(&mut net, 1);
    assert_eq!(seen.borrow().stale, [true]);
    assert!(
        seen.borrow().closed.is_empty(),
        "what is out on it may still be answered"
    );
}

/// Calls again and again, one call after the other.
struct Again {
    to: String,
    left: u32,
    resumed: Shared<Vec<bool>>,
    refused: Shared<u32>,
}
impl Core for Again {
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
                self.left -= 1;
                if self.left > 0 {
                    io.connect_named(&self.to, NAME);
                }
            }
            Event::Closed { .. } => *self.refused.borrow_mut() += 1,
            Event::Accepted { .. } | Event::Writable { .. } => {}
        }
    }
    fn on_file(&mut self, _: Micros, _: &str, _: Result<&[u8], &FileError>, io: &mut dyn Io) {
        self.left += 1;
        io.connect_named(&self.to, NAME);
    }
    fn process(&mut self, _: Micros, _: &mut dyn Io) {}
    fn next_wakeup(&self) -> Option<Micros> {
        None
    }
}

#[rstest]
fn a_session_is_taken_up_again_but_never_over_a_change_of_belief() {
    let (ours, other) = (Authority::new(), Authority::new());
    let shown = ours.leaf(NAME, 2038);
    let (resumed, refused) = (Shared::<Vec<bool>>::default(), Shared::<u32>::default());
    let (server, _) = Talker::listens();
    let mut net = net(1);
    net.add(
        0,
        &["a:1"],
        serves(server, ours.side(Some(shown.clone()), Asks::No)),
    );
    let again = Again {
        to: "a:1".into(),
        left: 3,
        resumed: resumed.clone(),
        refused: refused.clone(),
    };
    let edge = net.add(0, &[], dials(again, ours.side(None, Asks::No)));
    run(&mut net, 2);
    assert_eq!(*resumed.borrow(), [false, true, true]);
    net.deliver_file(
        edge,
        CALL_FILES[0],
        Ok(&[ours.roots(), other.roots()].concat()),
    );
    net.deliver_file(edge, "go", Ok(b""));
    run(&mut net, 1);
    assert_eq!(
        *resumed.borrow(),
        [false, true, true, false],
        "roots have changed"
    );
    net.deliver_file(edge, CALL_FILES[4], Ok(Authority::print(&shown).as_bytes()));
    net.deliver_file(edge, "go", Ok(b""));
    run(&mut net, 1);
    assert_eq!(
        (resumed.borrow().len(), *refused.borrow()),
        (4, 1),
        "no ticket of before is of use"
    );
}

/// Roots change in two steps while workers of the old and of the new authority stand side by side.
#[rstest]
fn roots_are_rotated_in_two_steps() {
    let (old, new) = (Authority::named("old"), Authority::named("new"));
    let both = [old.roots(), new.roots()].concat();
    for (roots, of_old, of_new) in [
        (old.roots(), true, false),
        (both, true, true),
        (new.roots(), false, true),
    ] {
        let papers = Papers {
            roots,
            ..Papers::default()
        };
        assert_eq!(
            reaches(old.leaf(NAME, 2040), &old, papers.clone(), vec![]),
            of_old
        );
        assert_eq!(reaches(new.leaf(NAME, 2040), &new, papers, vec![]), of_new);
    }
}

#[rstest]
#[case::a_day_behind(-1)]
#[case::a_day_ahead(1)]
fn clocks_off_by_a_day_strike_only_what_ends_within_it(#[case] days: i64) {
    let authority = Authority::new();
    let shown = authority.leaf(NAME, 2026);
    let year_ends: Micros = 1_767_225_600_000_000; // 2026-01-01
    for (truth, good) in [
        (year_ends - 40 * 3600 * 1_000_000, true),
        (year_ends - 12 * 3600 * 1_000_000, days < 0),
    ] {
        let (server, heard) = Talker::listens();
        let (client, _) = Talker::calls("a:1", NAME, b"x");
        let links = LinkModel {
            split_probability: 0.5,
            window_bytes: 30_000,
            ..LinkModel::default()
        };
        let mut net = VirtualNet::new(
            1,
            truth + days * 86_400 * 1_000_000,
            links,
            Box::new(NullObserver),
        );
        net.add(
            0,
            &["a:1"],
            serves(server, authority.side(Some(shown.clone()), Asks::No)),
        );
        net.add(0, &[], dials(client, authority.side(None, Asks::No)));
        run(&mut net, 3);
        assert_eq!(!heard.borrow().came.is_empty(), good);
    }
}

/// Writes these bytes, one at each of its wakes.
struct Drips {
    bytes: Vec<u8>,
    conn: Option<ConnectionId>,
    next: Micros,
    every: Micros,
    ended: Shared<Option<Micros>>,
}
impl Core for Drips {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        self.conn = Some(io.connect("a:1"));
        self.next = now + self.every;
    }
    fn on_event(&mut self, now: Micros, event: Event<'_>, _: &mut dyn Io) {
        if let Event::Closed { .. } = event {
            *self.ended.borrow_mut() = Some(now);
            self.conn = None;
        }
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        if let (Some(conn), true) = (self.conn, now >= self.next && !self.bytes.is_empty()) {
            io.write(conn, &[self.bytes.remove(0)]);
            self.next = now + self.every;
        }
    }
    fn next_wakeup(&self) -> Option<Micros> {
        (self.conn.is_some() && !self.bytes.is_empty()).then_some(self.next)
    }
}

/// The head of a ClientHello that offers TLS 1.2 and nothing above (RFC 5246, section 7.4.1.2).
fn old_hello() -> Vec<u8> {
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
#[case::an_older_version(1_000, old_hello())]
fn slow_and_old_callers_are_ended_in_time(#[case] every: Micros, #[case] bytes: Vec<u8>) {
    let authority = Authority::new();
    let (server, heard) = Talker::listens();
    let ended = Shared::<Option<Micros>>::default();
    let mut net = net(1);
    net.add(
        0,
        &["a:1"],
        serves(
            server,
            authority.side(Some(authority.leaf(NAME, 2040)), Asks::No),
        ),
    );
    net.add(
        0,
        &[],
        Box::new(Drips {
            bytes,
            conn: None,
            next: 0,
            every,
            ended: ended.clone(),
        }),
    );
    run(&mut net, 5);
    assert!(ended.borrow().is_some_and(|at| at <= NOW + 2_100_000));
    assert_eq!(heard.borrow().up, 0);
}

#[rstest]
fn a_core_is_told_what_its_caller_has_proved() {
    let authority = Authority::new();
    let (ours, theirs) = (
        authority.leaf(NAME, 2040),
        authority.leaf("GW1.example.org", 2039),
    );
    for (asks, own, peers) in [
        (Asks::May, None, vec![String::new()]),
        (
            Asks::May,
            Some(theirs.clone()),
            vec![Authority::print(&theirs)],
        ),
        (Asks::Must, None, vec![]),
    ] {
        let (server, heard) = Talker::listens();
        let (client, _) = Talker::calls("a:1", NAME, b"x");
        let mut net = net(1);
        net.add(
            0,
            &["a:1"],
            serves(server, authority.side(Some(ours.clone()), asks)),
        );
        net.add(0, &[], dials(client, authority.side(own, Asks::No)));
        run(&mut net, 3);
        let heard = heard.borrow();
        assert_eq!(
            heard
                .peers
                .iter()
                .map(|peer| peer.key_fingerprint.clone())
                .collect::<Vec<_>>(),
            peers
        );
        if peers == [Authority::print(&theirs)] {
            assert_eq!(heard.peers[0].names, ["gw1.example.org"]);
        }
    }
}

proptest! {
    /// Files of any content, and good ones that are cut or have a byte changed, are told what is wrong with them.
    #[test]
    fn no_file_breaks_a_side(file in 0usize..5, at in any::<prop::sample::Index>(), byte in any::<u8>(), cut in any::<bool>(), junk in any::<Vec<u8>>()) {
        let authority = Authority::new();
        let own = authority.leaf(NAME, 2040);
        let print = Authority::print(&own).into_bytes();
        let good = [authority.roots(), own.0.clone(), own.1.clone(), authority.revokes(2024, &[]), print];
        let mut bytes = good[file].clone();
        let at = at.index(bytes.len());
        if cut { bytes.truncate(at) } else { bytes[at] = byte }
        let (talker, heard) = Talker::listens();
        let mut net = net(1);
        let host = net.add(0, &["a:1"], serves(talker, authority.side(Some(own), Asks::May)));
        for content in [&junk[..], &bytes[..], &good[file][..]] {
            net.deliver_file(host, DOOR_FILES[file], Ok(content));
        }
        // Whatever came before, with the good file back all is well; a denied key is the server's own and hurts nobody.
        let (client, seen) = Talker::calls("a:1", NAME, b"x");
        net.add(0, &[], dials(client, authority.side(None, Asks::No)));
        run(&mut net, 1);
        prop_assert!(heard.borrow().came == b"x" && seen.borrow().came == b"x");
    }
}

#[rstest]
fn what_ends_and_when_is_told_and_what_does_not_hold_is_not_shown() {
    let authority = Authority::named("bat-a");
    let papers = Papers {
        revoked: authority.revokes(2024, &[]),
        ..authority.papers(Some(authority.leaf(NAME, 2026)))
    };
    let side = side(papers, Asks::No);
    let year = |year: i64| (year - 2025) * 365 * 86_400 * 1_000_000 + 1_735_689_600_000_000;
    let ends: Vec<(&str, bool)> = side
        .terms()
        .expiries()
        .iter()
        .map(|e| (e.what.as_str(), e.at < year(2027)))
        .collect();
    assert!(
        ends.contains(&("certificate", true)) && ends.contains(&("authority bat-a", false)),
        "{ends:?}"
    );
    assert_eq!(ends.len(), 3, "and the list");
    for (at, holds) in [(year(2019), false), (year(2025), true), (year(2030), false)] {
        assert_eq!(side.terms().hold(at).is_ok(), holds);
    }
}

/// An expired certificate is put in the good one's place: callers go on finding the good one.
#[rstest]
fn an_expired_certificate_does_not_take_the_good_ones_place() {
    let authority = Authority::new();
    let (server, heard) = Talker::listens();
    let mut net = net(1);
    let host = net.add(
        0,
        &["a:1"],
        serves(
            server,
            authority.side(Some(authority.leaf(NAME, 2040)), Asks::No),
        ),
    );
    let (chain, key) = authority.leaf(NAME, 2022);
    net.deliver_file(host, DOOR_FILES[1], Ok(&chain));
    net.deliver_file(host, DOOR_FILES[2], Ok(&key));
    let (client, _) = Talker::calls("a:1", NAME, b"x");
    net.add(0, &[], dials(client, authority.side(None, Asks::No)));
    run(&mut net, 1);
    assert_eq!(heard.borrow().came, b"x");
}

/// Writes a long message in its turns, as it has room, and not while it is told of something.
struct InTurns {
    conn: Option<ConnectionId>,
    left: usize,
    blocked: bool,
}
impl Core for InTurns {
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
        // Later than all that a handshake brings.
        let may = now >= NOW + 1_000_000 && !self.blocked && self.left > 0;
        if let Some(conn) = self.conn.filter(|_| may) {
            let took = io.write(conn, &vec![7; self.left]);
            self.left -= took;
            self.blocked = self.left > 0;
        }
    }
    fn next_wakeup(&self) -> Option<Micros> {
        (self.left > 0 && !self.blocked).then_some(NOW + 1_000_000)
    }
}

/// The network takes at once all that the layer has: the core still hears that there is room again.
#[rstest]
#[case::the_network_has_room(10_000_000)]
#[case::it_has_little(30_000)]
fn a_message_longer_than_what_may_wait_goes_through(#[case] window: usize) {
    let authority = Authority::new();
    let (mut server, heard) = Talker::listens();
    // Nothing comes back that would have the layer look again.
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
        serves(
            server,
            authority.side(Some(authority.leaf(NAME, 2040)), Asks::No),
        ),
    );
    let core = InTurns {
        conn: None,
        left: 3_000_000,
        blocked: false,
    };
    net.add(0, &[], dials(core, authority.side(None, Asks::No)));
    run(&mut net, 20);
    assert_eq!(heard.borrow().came.len(), 3_000_000);
}
