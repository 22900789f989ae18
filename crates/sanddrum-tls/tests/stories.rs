//! Two cores that speak TLS to each other, and peers that do not.

use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use rstest::rstest;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};
use sanddrum_net::*;
use sanddrum_tls::{Bounds, Layer, Terms};
use std::cell::RefCell;
use std::rc::Rc;

/// Certificates of the stories hold in 2020 to 2040; this is in 2025.
const NOW: Micros = 1_750_000_000_000_000;

#[derive(Default)]
struct Seen {
    came: Vec<u8>,
    up: u32,
    closed: Vec<Closed>,
}
type Shared<T> = Rc<RefCell<T>>;

/// Calls a name, says something, and keeps what it hears; a listener says the same back.
struct Talker {
    calls: Option<(String, String)>,
    says: Vec<u8>,
    said: usize,
    conn: Option<Conn>,
    echoes: bool,
    seen: Shared<Seen>,
}

impl Talker {
    fn calls(to: &str, name: &str, says: &[u8]) -> (Talker, Shared<Seen>) {
        let seen = Shared::<Seen>::default();
        let calls = Some((to.to_string(), name.to_string()));
        (Talker { calls, says: says.to_vec(), said: 0, conn: None, echoes: false, seen: seen.clone() }, seen)
    }
    fn listens() -> (Talker, Shared<Seen>) {
        let seen = Shared::<Seen>::default();
        (Talker { calls: None, says: vec![], said: 0, conn: None, echoes: true, seen: seen.clone() }, seen)
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
    fn event(&mut self, _: Micros, event: Event<'_>, io: &mut dyn Io) {
        match event {
            Event::Accepted { conn, .. } | Event::Connected { conn } => {
                self.conn = Some(conn);
                self.seen.borrow_mut().up += 1;
            }
            Event::Bytes { bytes, .. } => {
                self.seen.borrow_mut().came.extend_from_slice(bytes);
                if self.echoes {
                    self.says.extend_from_slice(bytes);
                }
            }
            Event::Writable { .. } => {}
            Event::Closed { how, .. } => {
                self.conn = None;
                self.seen.borrow_mut().closed.push(how);
            }
        }
        self.say(io);
    }
    fn turn(&mut self, _: Micros, _: &mut dyn Io) {}
    fn wake(&self) -> Option<Micros> {
        None
    }
}

struct Authority(CertifiedIssuer<'static, KeyPair>);

type Own = (Vec<CertificateDer<'static>>, PrivateKeyDer<'static>);

impl Authority {
    fn new() -> Authority {
        let mut params = CertificateParams::new(vec![]).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.not_before = rcgen::date_time_ymd(2020, 1, 1);
        params.not_after = rcgen::date_time_ymd(2040, 1, 1);
        Authority(CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap())
    }
    fn root(&self) -> CertificateDer<'static> {
        self.0.der().clone()
    }
    fn leaf(&self, name: &str, last_year: i32) -> Own {
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(vec![name.to_string()]).unwrap();
        params.not_before = rcgen::date_time_ymd(2020, 1, 1);
        params.not_after = rcgen::date_time_ymd(last_year, 1, 1);
        let leaf = params.signed_by(&key, &self.0).unwrap();
        (vec![leaf.der().clone()], PrivatePkcs8KeyDer::from(key.serialize_der()).into())
    }
    fn terms(&self, own: Option<Own>, callers: bool) -> Terms {
        Terms::new(&[self.root()], own, callers, 16).unwrap()
    }
}

const NAME: &str = "worker7.bat-a.example.org";

fn pem(leaf: &Own) -> (Vec<u8>, Vec<u8>) {
    let text = |tag: &str, der: &[u8]| {
        let digits: Vec<String> = der.chunks(3).map(base64).collect();
        format!("-----BEGIN {tag}-----\n{}\n-----END {tag}-----\n", digits.concat()).into_bytes()
    };
    (text("CERTIFICATE", &leaf.0[0]), text("PRIVATE KEY", leaf.1.secret_der()))
}
/// RFC 4648, section 4, three bytes at a time.
fn base64(three: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let bits = three.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - three.len()));
    let digit = |n: usize| char::from(DIGITS[(bits >> (18 - 6 * n)) as usize & 63]);
    (0..4).map(|n| if n <= three.len() { digit(n) } else { '=' }).collect()
}

fn bounds() -> Bounds {
    Bounds { handshake_time_out: 2_000_000, handshakes: 3, waiting: 20_000, sessions: 16 }
}
fn net(seed: u64) -> VirtualNet {
    let links = Links { split: 0.5, window: 30_000, ..Links::default() };
    VirtualNet::new(seed, NOW, links, Box::new(NoTap))
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
    let served = authority.terms(Some(authority.leaf(NAME, 2040)), false);
    net.add(0, &["a:1"], Box::new(Layer::new(server, served, bounds())));
    net.add(1, &[], Box::new(Layer::new(client, authority.terms(None, false), bounds())));
    run(&mut net, 10);
    assert!(heard.borrow().came == says && seen.borrow().came == says);
    assert!(seen.borrow().closed.is_empty());
}

#[rstest]
fn they_talk_on_sockets_too() {
    let authority = Authority::new();
    let (server, heard) = Talker::listens();
    let mut driver = EventLoop::new(Box::new(NoTap)).unwrap();
    let (door, at) = EventLoop::bind("127.0.0.1:0").unwrap();
    let served = authority.terms(Some(authority.leaf(NAME, 2040)), false);
    driver.add(Box::new(Layer::new(server, served, bounds())), vec![door], None).unwrap();
    let (client, seen) = Talker::calls(&at, NAME, b"hello");
    driver.add(Box::new(Layer::new(client, authority.terms(None, false), bounds())), vec![], None).unwrap();
    let until = driver.now() + 10_000_000;
    while seen.borrow().came.is_empty() && driver.now() < until {
        let next = driver.now() + 5_000;
        driver.run_until(next).unwrap();
    }
    assert_eq!(
        (heard.borrow().came.as_slice(), seen.borrow().came.as_slice()),
        (&b"hello"[..], &b"hello"[..])
    );
}

#[rstest]
#[case::another_name("worker8.bat-a.example.org", 2040, false)]
#[case::a_wildcard("*.bat-a.example.org", 2040, true)]
#[case::expired(NAME, 2022, false)]
#[case::its_own(NAME, 2040, true)]
fn a_worker_has_to_own_its_name_now(#[case] shown: &str, #[case] last_year: i32, #[case] good: bool) {
    let authority = Authority::new();
    let (server, heard) = Talker::listens();
    let (client, seen) = Talker::calls("a:1", NAME, b"secret");
    let mut net = net(1);
    let served = authority.terms(Some(authority.leaf(shown, last_year)), false);
    net.add(0, &["a:1"], Box::new(Layer::new(server, served, bounds())));
    net.add(0, &[], Box::new(Layer::new(client, authority.terms(None, false), bounds())));
    run(&mut net, 3);
    assert_eq!(heard.borrow().came.is_empty(), !good);
    let closed = if good { vec![] } else { vec![Closed::Refused] };
    assert_eq!((seen.borrow().up, seen.borrow().closed.clone()), (u32::from(good), closed));
}

#[rstest]
fn a_foreign_authority_is_not_trusted_in_either_direction() {
    let (ours, theirs) = (Authority::new(), Authority::new());
    for (roots, own) in [(&theirs, None), (&ours, Some(theirs.leaf("edge-0", 2040))), (&ours, None)] {
        let (server, heard) = Talker::listens();
        let (client, seen) = Talker::calls("a:1", NAME, b"secret");
        let mut net = net(1);
        let served = ours.terms(Some(ours.leaf(NAME, 2040)), true);
        net.add(0, &["a:1"], Box::new(Layer::new(server, served, bounds())));
        net.add(0, &[], Box::new(Layer::new(client, roots.terms(own, false), bounds())));
        run(&mut net, 3);
        assert!(heard.borrow().came.is_empty() && heard.borrow().up == 0);
        assert_eq!(seen.borrow().closed.len(), 1);
    }
}

#[rstest]
fn callers_that_speak_plainly_or_not_at_all_cost_a_bounded_while(#[values(true, false)] says: bool) {
    let authority = Authority::new();
    let (server, heard) = Talker::listens();
    let mut net = net(1);
    let served = authority.terms(Some(authority.leaf(NAME, 2040)), false);
    net.add(0, &["a:1"], Box::new(Layer::new(server, served, bounds())));
    let callers: Vec<_> = (0..5)
        .map(|_| {
            let (client, seen) = Talker::calls("a:1", "", if says { b"GET / HTTP/1.1\r\n\r\n" } else { b"" });
            net.add(0, &[], Box::new(client));
            seen
        })
        .collect();
    run(&mut net, 1);
    let closed = callers.iter().filter(|seen| !seen.borrow().closed.is_empty()).count();
    assert_eq!(closed, if says { 5 } else { 2 }, "no more than three handshakes wait");
    run(&mut net, 3);
    assert!(callers.iter().all(|seen| !seen.borrow().closed.is_empty()));
    assert_eq!(heard.borrow().up, 0);
    let (client, seen) = Talker::calls("a:1", NAME, b"now");
    net.add(0, &[], Box::new(Layer::new(client, authority.terms(None, false), bounds())));
    run(&mut net, 1);
    assert_eq!(seen.borrow().came, b"now");
}

#[rstest]
fn a_stream_cut_short_is_not_an_orderly_end() {
    let authority = Authority::new();
    let (server, _) = Talker::listens();
    let (client, seen) = Talker::calls("a:1", NAME, b"x");
    let mut net = net(1);
    let served = authority.terms(Some(authority.leaf(NAME, 2040)), false);
    let host = net.add(0, &["a:1"], Box::new(Layer::new(server, served, bounds())));
    net.add(0, &[], Box::new(Layer::new(client, authority.terms(None, false), bounds())));
    run(&mut net, 1);
    assert_eq!(seen.borrow().came, b"x");
    net.kill(host);
    run(&mut net, 1);
    assert_eq!(seen.borrow().closed, [Closed::Reset]);
}

#[rstest]
fn a_key_that_is_not_the_certificates_is_refused_at_once() {
    let authority = Authority::new();
    let ((chain, _), (_, other)) = (authority.leaf(NAME, 2040), authority.leaf(NAME, 2040));
    assert!(Terms::new(&[authority.root()], Some((chain, other)), false, 16).is_err());
}

/// The certificate and its key are replaced one file after the other while a connection is up.
#[rstest]
fn a_certificate_is_swapped_while_a_connection_is_up() {
    let (old, new) = (Authority::new(), Authority::new());
    let (server, heard) = Talker::listens();
    let (client, seen) = Talker::calls("a:1", NAME, b"one");
    let mut net = net(1);
    let served = old.terms(Some(old.leaf(NAME, 2040)), false);
    let host = net.add(0, &["a:1"], Box::new(Layer::new(server, served, bounds())));
    net.add(0, &[], Box::new(Layer::new(client, old.terms(None, false), bounds())));
    run(&mut net, 1);
    let roots: String = format!("{}{}", old.0.pem(), new.0.pem());
    let (chain, key) = pem(&new.leaf(NAME, 2040));
    let (torn, _) = chain.split_at(chain.len() / 2);
    net.give_file(host, sanddrum_tls::ROOTS, Ok(roots.as_bytes()));
    net.give_file(host, sanddrum_tls::CHAIN, Ok(torn));
    net.give_file(host, sanddrum_tls::KEY, Ok(&key));
    let late = |net: &mut VirtualNet, authority: &Authority| {
        let (client, seen) = Talker::calls("a:1", NAME, b"two");
        net.add(0, &[], Box::new(Layer::new(client, authority.terms(None, false), bounds())));
        run(net, 1);
        let came = seen.borrow().came.clone();
        came
    };
    assert_eq!(late(&mut net, &old), b"two", "the last good one, as the new one is torn");
    net.give_file(host, sanddrum_tls::CHAIN, Err("unreadable"));
    assert_eq!(late(&mut net, &old), b"two");
    net.give_file(host, sanddrum_tls::CHAIN, Ok(&chain));
    assert_eq!(late(&mut net, &new), b"two", "new connections are met with the new one");
    assert_eq!(late(&mut net, &old), b"", "and who trusts only the old root finds nobody");
    assert!(seen.borrow().closed.is_empty(), "what was up is still up");
    assert_eq!(seen.borrow().came, b"one");
    assert!(heard.borrow().came.len() >= 12);
}
