//! The same stories on sockets and on the virtual network: what one driver would do differently is a bug.

use rstest::rstest;
use sanddrum_net::*;
use std::cell::RefCell;
use std::rc::Rc;

/// What a core saw, shared with the story.
#[derive(Default)]
struct Seen {
    came: Vec<u8>,
    wrote: usize,
    connected: u32,
    accepted: u32,
    closed: Vec<CloseCause>,
}
type Shared<T> = Rc<RefCell<T>>;

/// Sends what it is given as the socket takes it, and keeps what comes.
struct Talker {
    to: Option<String>,
    sends: Vec<u8>,
    /// Reads nothing until told.
    deaf: Shared<bool>,
    was_deaf: bool,
    conn: Option<ConnectionId>,
    up: bool,
    seen: Shared<Seen>,
    closes_when_sent: bool,
    turned: Micros,
}

impl Talker {
    fn new(to: Option<&str>, sends: &[u8]) -> (Box<Talker>, Shared<Seen>, Shared<bool>) {
        let (seen, deaf) = (Shared::<Seen>::default(), Shared::<bool>::default());
        let (to, sends) = (to.map(String::from), sends.to_vec());
        let (s, d) = (seen.clone(), deaf.clone());
        let (was_deaf, up, closes_when_sent, turned) = (false, false, false, 0);
        let talker = Talker {
            to,
            sends,
            deaf,
            was_deaf,
            conn: None,
            up,
            seen,
            closes_when_sent,
            turned,
        };
        (Box::new(talker), s, d)
    }
    fn write(&mut self, io: &mut dyn Io) {
        let Some(conn) = self.conn.filter(|_| self.up) else {
            return;
        };
        let mut seen = self.seen.borrow_mut();
        seen.wrote += io.write(conn, &self.sends[seen.wrote..]);
        if self.closes_when_sent && seen.wrote == self.sends.len() {
            self.conn = None;
            io.close(conn);
        }
    }
}

impl Core for Talker {
    fn start(&mut self, _: Micros, io: &mut dyn Io) {
        self.conn = self.to.as_ref().map(|to| io.connect(to));
    }
    fn on_event(&mut self, _: Micros, event: Event<'_>, io: &mut dyn Io) {
        match event {
            Event::Accepted { conn, .. } => {
                (self.conn, self.up) = (Some(conn), true);
                self.seen.borrow_mut().accepted += 1;
            }
            Event::Connected { .. } => {
                self.up = true;
                self.seen.borrow_mut().connected += 1;
            }
            Event::Bytes { bytes, .. } => self.seen.borrow_mut().came.extend_from_slice(bytes),
            Event::Writable { .. } => {}
            Event::Closed { cause: how, .. } => {
                (self.conn, self.up) = (None, false);
                self.seen.borrow_mut().closed.push(how);
            }
        }
        self.write(io);
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        self.turned = now;
        let deaf = *self.deaf.borrow();
        if let Some(conn) = self.conn.filter(|_| deaf != self.was_deaf) {
            self.was_deaf = deaf;
            io.pause(conn, deaf);
        }
        self.write(io);
    }
    fn next_wakeup(&self) -> Option<Micros> {
        // Looks at its strings now and then.
        self.up.then_some(self.turned + 1000)
    }
}

enum Driver {
    Sockets(Box<EventLoop>),
    Virtual(Box<VirtualNet>),
}

impl Driver {
    fn new(on_sockets: bool, seed: u64) -> Driver {
        let links = LinkModel {
            window_bytes: 10_000,
            split_probability: 0.5,
            ..LinkModel::default()
        };
        match on_sockets {
            true => Driver::Sockets(Box::new(EventLoop::new(Box::new(NullObserver)).unwrap())),
            false => Driver::Virtual(Box::new(VirtualNet::new(
                seed,
                1_000_000,
                links,
                Box::new(NullObserver),
            ))),
        }
    }
    /// A core with a door; gives the door's address.
    fn listens(&mut self, core: Box<dyn Core>) -> (HostId, String) {
        match self {
            Driver::Sockets(driver) => {
                let (listener, at) = EventLoop::bind("127.0.0.1:0").unwrap();
                (driver.add(core, vec![listener], None).unwrap(), at)
            }
            Driver::Virtual(net) => (net.add(0, &["a:1"], core), "a:1".into()),
        }
    }
    fn adds(&mut self, core: Box<dyn Core>) -> HostId {
        match self {
            Driver::Sockets(driver) => driver.add(core, vec![], None).unwrap(),
            Driver::Virtual(net) => net.add(0, &[], core),
        }
    }
    /// Until it is so; a story that would wait for ever fails.
    fn until(&mut self, so: impl Fn() -> bool) {
        for _ in 0..5000 {
            if so() {
                return;
            }
            self.step();
        }
        panic!("it never came about");
    }
    fn step(&mut self) {
        match self {
            Driver::Sockets(driver) => {
                let at = driver.now() + 1000;
                driver.run_until(at).unwrap();
            }
            Driver::Virtual(net) => {
                let at = net.now() + 1000;
                net.run_until(at);
            }
        }
    }
    fn kill(&mut self, host: HostId) {
        match self {
            Driver::Sockets(driver) => driver.kill(host),
            Driver::Virtual(net) => net.kill(host),
        }
    }
    fn freeze(&mut self, host: HostId, frozen: bool) {
        match self {
            Driver::Sockets(driver) => driver.freeze(host, frozen),
            Driver::Virtual(net) => net.freeze(host, frozen),
        }
    }
    fn tear(&mut self, host: HostId) {
        match self {
            Driver::Sockets(driver) => driver.reset_on_next_write(host),
            Driver::Virtual(net) => net.reset_on_next_write(host),
        }
    }
}

fn much(len: usize) -> Vec<u8> {
    (0..len).map(|n| (n * 7 + n / 251) as u8).collect()
}

#[rstest]
fn bytes_arrive_whole_and_in_order_then_the_end(#[values(true, false)] sockets: bool) {
    let mut d = Driver::new(sockets, 1);
    let (server, got, _) = Talker::new(None, b"");
    let (_, at) = d.listens(server);
    let sends = much(300_000);
    let (mut client, _, _) = Talker::new(Some(&at), &sends);
    client.closes_when_sent = true;
    d.adds(client);
    d.until(|| !got.borrow().closed.is_empty());
    assert_eq!(got.borrow().closed, [CloseCause::Orderly]);
    assert!(got.borrow().came == sends);
}

#[rstest]
fn nobody_there_is_refused(#[values(true, false)] sockets: bool) {
    let mut d = Driver::new(sockets, 2);
    let (_, at) = match &mut d {
        Driver::Sockets(..) => (0, EventLoop::bind("127.0.0.1:0").unwrap().1),
        Driver::Virtual(_) => (0, "nowhere:1".to_string()),
    };
    let (client, seen, _) = Talker::new(Some(&at), b"x");
    d.adds(client);
    d.until(|| !seen.borrow().closed.is_empty());
    assert_eq!(
        (seen.borrow().closed.as_slice(), seen.borrow().connected),
        (&[CloseCause::Refused][..], 0)
    );
}

#[rstest]
fn a_killed_core_breaks_its_connections(#[values(true, false)] sockets: bool) {
    let mut d = Driver::new(sockets, 3);
    let (server, got, _) = Talker::new(None, b"hello");
    let (host, at) = d.listens(server);
    let (client, seen, _) = Talker::new(Some(&at), b"x");
    d.adds(client);
    d.until(|| !seen.borrow().came.is_empty() && !got.borrow().came.is_empty());
    d.kill(host);
    d.until(|| !seen.borrow().closed.is_empty());
    assert_eq!(seen.borrow().closed.len(), 1);
}

#[rstest]
fn a_paused_core_slows_the_other_side_down_and_loses_nothing(#[values(true, false)] sockets: bool) {
    let mut d = Driver::new(sockets, 4);
    let (server, got, deaf) = Talker::new(None, b"");
    *deaf.borrow_mut() = true;
    let (_, at) = d.listens(server);
    let sends = much(40_000_000);
    let (client, seen, _) = Talker::new(Some(&at), &sends);
    d.adds(client);
    d.until(|| got.borrow().accepted == 1);
    (0..200).for_each(|_| d.step());
    let stuck = seen.borrow().wrote;
    assert!(stuck < sends.len(), "what is under way is bounded");
    *deaf.borrow_mut() = false;
    d.until(|| got.borrow().came.len() > stuck);
    let n = got.borrow().came.len();
    assert!(got.borrow().came == sends[..n]);
}

#[rstest]
fn a_silent_machine_answers_nothing_and_is_heard_again_later(#[values(true, false)] sockets: bool) {
    let mut d = Driver::new(sockets, 5);
    let (server, got, _) = Talker::new(None, b"");
    let (host, at) = d.listens(server);
    let (client, seen, _) = Talker::new(Some(&at), b"before");
    d.adds(client);
    d.until(|| got.borrow().came == b"before");
    d.freeze(host, true);
    let (second, other, _) = Talker::new(Some(&at), b"while silent");
    d.adds(second);
    (0..100).for_each(|_| d.step());
    assert_eq!(got.borrow().accepted, 1);
    assert!(seen.borrow().closed.is_empty() && other.borrow().closed.is_empty());
    d.freeze(host, false);
    d.until(|| got.borrow().came == b"beforewhile silent");
}

#[rstest]
fn a_torn_connection_breaks_in_the_middle_of_what_is_written(#[values(true, false)] sockets: bool) {
    let mut d = Driver::new(sockets, 6);
    let (server, got, _) = Talker::new(None, b"");
    let (_, at) = d.listens(server);
    let (client, seen, _) = Talker::new(Some(&at), &much(1000));
    let host = d.adds(client);
    d.tear(host);
    d.until(|| !got.borrow().closed.is_empty() && !seen.borrow().closed.is_empty());
    assert!(got.borrow().came.len() < 1000);
    assert_eq!(seen.borrow().closed, [CloseCause::Reset]);
}

#[rstest]
fn equal_seeds_give_equal_timelines_and_others_do_not() {
    #[derive(Clone, Default)]
    struct Times(Rc<RefCell<Vec<(Micros, usize)>>>);
    impl TrafficObserver for Times {
        fn opened(&mut self, _: Micros, _: HostId, _: ConnectionId, _: Side, _: &str) {}
        fn received(&mut self, now: Micros, _: HostId, _: ConnectionId, bytes: &[u8]) {
            self.0.borrow_mut().push((now, bytes.len()));
        }
        fn sent(&mut self, _: Micros, _: HostId, _: ConnectionId, _: &[u8]) {}
        fn closed(&mut self, _: Micros, _: HostId, _: ConnectionId) {}
    }
    let play = |seed| {
        let times = Times::default();
        let links = LinkModel {
            loss_probability: 0.1,
            ..LinkModel::default()
        };
        let mut net = VirtualNet::new(seed, 0, links, Box::new(times.clone()));
        net.add(0, &["a:1"], Talker::new(None, b"").0);
        net.add(1, &[], Talker::new(Some("a:1"), &much(2_000_000)).0);
        net.run_until(20_000_000);
        let times = times.0.borrow().clone();
        times
    };
    let first = play(1);
    assert_eq!(first.iter().map(|(_, n)| n).sum::<usize>(), 2_000_000);
    assert_eq!(first, play(1));
    assert_ne!(first, play(2));
}

#[rstest]
fn a_way_that_delays_delays_each_piece_once() {
    let (listens, came, _) = Talker::new(None, b"");
    /// Says a byte every ten milliseconds.
    struct Drips(Option<ConnectionId>, Micros, u32);
    impl Core for Drips {
        fn start(&mut self, now: Micros, io: &mut dyn Io) {
            (self.0, self.1) = (Some(io.connect("a:1")), now + 500_000);
        }
        fn on_event(&mut self, _: Micros, _: Event<'_>, _: &mut dyn Io) {}
        fn process(&mut self, now: Micros, io: &mut dyn Io) {
            if let Some(conn) = self.0.filter(|_| now >= self.1 && self.2 < 20) {
                io.write(conn, b"x");
                (self.1, self.2) = (now + 10_000, self.2 + 1);
            }
        }
        fn next_wakeup(&self) -> Option<Micros> {
            (self.2 < 20).then_some(self.1)
        }
    }
    let mut net = VirtualNet::new(
        1,
        1_000_000,
        LinkModel {
            split_probability: 0.0,
            ..LinkModel::default()
        },
        Box::new(NullObserver),
    );
    let to = net.add(0, &["a:1"], listens);
    let from = net.add(0, &[], Box::new(Drips(None, 0, 0)));
    net.set_link_fault(
        from,
        to,
        Some(LinkFault {
            delay: 250_000,
            ..LinkFault::default()
        }),
    );
    // The last of them is said after 700 ms, and is there a quarter of a second later.
    net.run_until(1_000_000 + 690_000);
    assert!(came.borrow().came.len() < 20);
    net.run_until(1_000_000 + 950_000);
    assert_eq!(came.borrow().came.len(), 20);
}
