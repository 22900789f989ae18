//! Runs the same test cases on sockets and on the virtual network: a difference between the drivers is a bug.

use rstest::rstest;
use sanddrum_net::{
    CloseCause, ConnectionId, Core, Event, EventLoop, HostId, Io, LinkFault, LinkModel, Micros,
    NullObserver, Side, TrafficObserver, VirtualNet,
};
use std::cell::RefCell;
use std::rc::Rc;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;

type Shared<T> = Rc<RefCell<T>>;

/// What a core has sent, received and been notified of.
#[derive(Default)]
struct Recorded {
    received: Vec<u8>,
    written: usize,
    connected: u32,
    accepted: u32,
    closed: Vec<CloseCause>,
}

/// Writes its data as the connection accepts it, and records what it receives.
struct Sender {
    address: Option<String>,
    data: Vec<u8>,
    /// Set by the test to pause reading, and cleared to resume it.
    pause_requested: Shared<bool>,
    is_paused: bool,
    conn: Option<ConnectionId>,
    is_established: bool,
    recorded: Shared<Recorded>,
    closes_when_sent: bool,
    finishes_when_sent: bool,
    last_processed: Micros,
}

impl Sender {
    /// A core that connects to the address, or accepts connections if there is none.
    fn new(address: Option<&str>, data: &[u8]) -> (Box<Sender>, Shared<Recorded>) {
        let recorded = Shared::<Recorded>::default();
        let sender = Sender {
            address: address.map(String::from),
            data: data.to_vec(),
            pause_requested: Shared::default(),
            is_paused: false,
            conn: None,
            is_established: false,
            recorded: recorded.clone(),
            closes_when_sent: false,
            finishes_when_sent: false,
            last_processed: 0,
        };
        (Box::new(sender), recorded)
    }
    /// A core that accepts connections and sends nothing.
    fn receiver() -> (Box<Sender>, Shared<Recorded>) {
        Sender::new(None, b"")
    }
    fn write(&mut self, io: &mut dyn Io) {
        let Some(conn) = self.conn.filter(|_| self.is_established) else {
            return;
        };
        let mut recorded = self.recorded.borrow_mut();
        recorded.written += io.write(conn, &self.data[recorded.written..]);
        if self.closes_when_sent && recorded.written == self.data.len() {
            self.conn = None;
            io.close(conn);
        }
        if self.finishes_when_sent && recorded.written == self.data.len() {
            self.finishes_when_sent = false;
            io.finish_writing(conn);
        }
    }
}

impl Core for Sender {
    fn start(&mut self, _: Micros, io: &mut dyn Io) {
        self.conn = self.address.as_ref().map(|address| io.connect(address));
    }
    fn on_event(&mut self, _: Micros, event: Event<'_>, io: &mut dyn Io) {
        match event {
            Event::Accepted { conn, .. } => {
                (self.conn, self.is_established) = (Some(conn), true);
                self.recorded.borrow_mut().accepted += 1;
            }
            Event::Connected { .. } => {
                self.is_established = true;
                self.recorded.borrow_mut().connected += 1;
            }
            Event::Bytes { bytes, .. } => {
                self.recorded.borrow_mut().received.extend_from_slice(bytes);
            }
            Event::Writable { .. } => {}
            Event::Closed { cause, .. } => {
                (self.conn, self.is_established) = (None, false);
                self.recorded.borrow_mut().closed.push(cause);
            }
        }
        self.write(io);
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        self.last_processed = now;
        let pause = *self.pause_requested.borrow();
        if let Some(conn) = self.conn.filter(|_| pause != self.is_paused) {
            self.is_paused = pause;
            io.pause(conn, pause);
        }
        self.write(io);
    }
    fn next_wakeup(&self) -> Option<Micros> {
        // Checks every millisecond whether the test has requested a pause.
        self.is_established
            .then_some(self.last_processed + MILLISECOND)
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
        let observer = Box::new(NullObserver);
        if on_sockets {
            Driver::Sockets(Box::new(EventLoop::new(observer).unwrap()))
        } else {
            Driver::Virtual(Box::new(VirtualNet::new(seed, SECOND, links, observer)))
        }
    }
    /// Adds a core with a listener, and returns the host and the listener's address.
    fn add_listening(&mut self, core: Box<dyn Core>) -> (HostId, String) {
        match self {
            Driver::Sockets(event_loop) => {
                let (listener, address) = EventLoop::bind("127.0.0.1:0").unwrap();
                let host = event_loop.add(core, vec![listener], None).unwrap();
                (host, address)
            }
            Driver::Virtual(net) => (net.add(0, &["a:1"], core), "a:1".into()),
        }
    }
    fn add(&mut self, core: Box<dyn Core>) -> HostId {
        match self {
            Driver::Sockets(event_loop) => event_loop.add(core, vec![], None).unwrap(),
            Driver::Virtual(net) => net.add(0, &[], core),
        }
    }
    /// An address at which nothing listens.
    fn unused_address(&self) -> String {
        match self {
            Driver::Sockets(_) => EventLoop::bind("127.0.0.1:0").unwrap().1,
            Driver::Virtual(_) => "nowhere:1".to_string(),
        }
    }
    /// Runs until the condition holds; panics after about five seconds.
    fn run_until(&mut self, condition: impl Fn() -> bool) {
        for _ in 0..5000 {
            if condition() {
                return;
            }
            self.step();
        }
        panic!("the condition did not hold within about five seconds");
    }
    /// Runs for a millisecond.
    fn step(&mut self) {
        match self {
            Driver::Sockets(event_loop) => {
                let at = event_loop.now() + MILLISECOND;
                event_loop.run_until(at).unwrap();
            }
            Driver::Virtual(net) => {
                let at = net.now() + MILLISECOND;
                net.run_until(at);
            }
        }
    }
    fn kill(&mut self, host: HostId) {
        match self {
            Driver::Sockets(event_loop) => event_loop.kill(host),
            Driver::Virtual(net) => net.kill(host),
        }
    }
    fn freeze(&mut self, host: HostId, frozen: bool) {
        match self {
            Driver::Sockets(event_loop) => event_loop.freeze(host, frozen),
            Driver::Virtual(net) => net.freeze(host, frozen),
        }
    }
    fn reset_on_next_write(&mut self, host: HostId) {
        match self {
            Driver::Sockets(event_loop) => event_loop.reset_on_next_write(host),
            Driver::Virtual(net) => net.reset_on_next_write(host),
        }
    }
}

/// Bytes that vary with their position, so that lost or reordered data is detected.
fn test_data(len: usize) -> Vec<u8> {
    (0..len).map(|n| (n * 7 + n / 251) as u8).collect()
}

#[rstest]
fn bytes_arrive_completely_and_in_order_before_the_close(#[values(true, false)] sockets: bool) {
    let mut driver = Driver::new(sockets, 1);
    let (server, server_recorded) = Sender::receiver();
    let (_, address) = driver.add_listening(server);
    let data = test_data(300_000);
    let (mut client, _) = Sender::new(Some(&address), &data);
    client.closes_when_sent = true;
    driver.add(client);
    driver.run_until(|| !server_recorded.borrow().closed.is_empty());
    assert_eq!(server_recorded.borrow().closed, [CloseCause::Orderly]);
    assert!(server_recorded.borrow().received == data);
}

#[rstest]
fn the_end_of_the_output_is_confirmed_by_the_close_of_the_peer(
    #[values(true, false)] sockets: bool,
) {
    let mut driver = Driver::new(sockets, 1);
    let (server, server_recorded) = Sender::receiver();
    let (_, address) = driver.add_listening(server);
    let data = test_data(300_000);
    let (mut client, client_recorded) = Sender::new(Some(&address), &data);
    client.finishes_when_sent = true;
    driver.add(client);
    driver.run_until(|| !client_recorded.borrow().closed.is_empty());
    assert_eq!(client_recorded.borrow().closed, [CloseCause::Orderly]);
    assert_eq!(server_recorded.borrow().closed, [CloseCause::Orderly]);
    assert!(server_recorded.borrow().received == data);
}

#[rstest]
fn connecting_to_an_unused_address_is_refused(#[values(true, false)] sockets: bool) {
    let mut driver = Driver::new(sockets, 2);
    let address = driver.unused_address();
    let (client, recorded) = Sender::new(Some(&address), b"x");
    driver.add(client);
    driver.run_until(|| !recorded.borrow().closed.is_empty());
    assert_eq!(
        (
            recorded.borrow().closed.as_slice(),
            recorded.borrow().connected
        ),
        (&[CloseCause::Refused][..], 0)
    );
}

#[rstest]
fn killing_a_core_breaks_its_connections(#[values(true, false)] sockets: bool) {
    let mut driver = Driver::new(sockets, 3);
    let (server, server_recorded) = Sender::new(None, b"hello");
    let (host, address) = driver.add_listening(server);
    let (client, client_recorded) = Sender::new(Some(&address), b"x");
    driver.add(client);
    driver.run_until(|| {
        !client_recorded.borrow().received.is_empty()
            && !server_recorded.borrow().received.is_empty()
    });
    driver.kill(host);
    driver.run_until(|| !client_recorded.borrow().closed.is_empty());
    assert_eq!(client_recorded.borrow().closed.len(), 1);
}

#[rstest]
fn a_paused_core_slows_its_peer_down_and_loses_no_data(#[values(true, false)] sockets: bool) {
    let mut driver = Driver::new(sockets, 4);
    let (server, server_recorded) = Sender::receiver();
    let pause_requested = server.pause_requested.clone();
    *pause_requested.borrow_mut() = true;
    let (_, address) = driver.add_listening(server);
    let data = test_data(40_000_000);
    let (client, client_recorded) = Sender::new(Some(&address), &data);
    driver.add(client);
    driver.run_until(|| server_recorded.borrow().accepted == 1);
    for _ in 0..200 {
        driver.step();
    }
    let written_while_paused = client_recorded.borrow().written;
    assert!(
        written_while_paused < data.len(),
        "bytes in flight are bounded"
    );
    *pause_requested.borrow_mut() = false;
    driver.run_until(|| server_recorded.borrow().received.len() > written_while_paused);
    let received = &server_recorded.borrow().received;
    assert!(*received == data[..received.len()]);
}

#[rstest]
fn a_frozen_host_answers_nothing_until_it_is_thawed(#[values(true, false)] sockets: bool) {
    let mut driver = Driver::new(sockets, 5);
    let (server, server_recorded) = Sender::receiver();
    let (host, address) = driver.add_listening(server);
    let (first, first_recorded) = Sender::new(Some(&address), b"before");
    driver.add(first);
    driver.run_until(|| server_recorded.borrow().received == b"before");
    driver.freeze(host, true);
    let (second, second_recorded) = Sender::new(Some(&address), b"while frozen");
    driver.add(second);
    for _ in 0..100 {
        driver.step();
    }
    assert_eq!(server_recorded.borrow().accepted, 1);
    assert!(
        first_recorded.borrow().closed.is_empty() && second_recorded.borrow().closed.is_empty()
    );
    driver.freeze(host, false);
    driver.run_until(|| server_recorded.borrow().received == b"beforewhile frozen");
}

#[rstest]
fn reset_on_next_write_breaks_the_connection_in_the_middle_of_the_data(
    #[values(true, false)] sockets: bool,
) {
    let mut driver = Driver::new(sockets, 6);
    let (server, server_recorded) = Sender::receiver();
    let (_, address) = driver.add_listening(server);
    let (client, client_recorded) = Sender::new(Some(&address), &test_data(1000));
    let host = driver.add(client);
    driver.reset_on_next_write(host);
    driver.run_until(|| {
        !server_recorded.borrow().closed.is_empty() && !client_recorded.borrow().closed.is_empty()
    });
    assert!(server_recorded.borrow().received.len() < 1000);
    assert_eq!(client_recorded.borrow().closed, [CloseCause::Reset]);
}

/// Records the time and size of each receive.
#[derive(Clone, Default)]
struct ArrivalTimes(Shared<Vec<(Micros, usize)>>);

impl TrafficObserver for ArrivalTimes {
    fn opened(&mut self, _: Micros, _: HostId, _: ConnectionId, _: Side, _: &str) {}
    fn received(&mut self, now: Micros, _: HostId, _: ConnectionId, bytes: &[u8]) {
        self.0.borrow_mut().push((now, bytes.len()));
    }
    fn sent(&mut self, _: Micros, _: HostId, _: ConnectionId, _: &[u8]) {}
    fn closed(&mut self, _: Micros, _: HostId, _: ConnectionId) {}
}

#[rstest]
fn equal_seeds_give_equal_timelines_and_different_seeds_do_not() {
    let timeline = |seed| {
        let times = ArrivalTimes::default();
        let links = LinkModel {
            loss_probability: 0.1,
            ..LinkModel::default()
        };
        let mut net = VirtualNet::new(seed, 0, links, Box::new(times.clone()));
        net.add(0, &["a:1"], Sender::receiver().0);
        let data = test_data(2_000_000);
        net.add(1, &[], Sender::new(Some("a:1"), &data).0);
        net.run_until(20 * SECOND);
        times.0.take()
    };
    let first = timeline(1);
    let received: usize = first.iter().map(|(_, bytes)| bytes).sum();
    assert_eq!(received, 2_000_000);
    assert_eq!(first, timeline(1));
    assert_ne!(first, timeline(2));
}

/// Half a second after its start, writes twenty bytes, one every ten milliseconds.
#[derive(Default)]
struct SlowWriter {
    conn: Option<ConnectionId>,
    next_write: Micros,
    written: u32,
}

impl SlowWriter {
    const BYTES: u32 = 20;
}

impl Core for SlowWriter {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        self.conn = Some(io.connect("a:1"));
        self.next_write = now + 500 * MILLISECOND;
    }
    fn on_event(&mut self, _: Micros, _: Event<'_>, _: &mut dyn Io) {}
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        let is_due = now >= self.next_write && self.written < SlowWriter::BYTES;
        if let Some(conn) = self.conn.filter(|_| is_due) {
            io.write(conn, b"x");
            self.next_write = now + 10 * MILLISECOND;
            self.written += 1;
        }
    }
    fn next_wakeup(&self) -> Option<Micros> {
        (self.written < SlowWriter::BYTES).then_some(self.next_write)
    }
}

#[rstest]
fn a_link_delay_is_added_to_each_message_once() {
    let start = SECOND;
    let links = LinkModel {
        split_probability: 0.0,
        ..LinkModel::default()
    };
    let mut net = VirtualNet::new(1, start, links, Box::new(NullObserver));
    let (server, recorded) = Sender::receiver();
    let to = net.add(0, &["a:1"], server);
    let from = net.add(0, &[], Box::new(SlowWriter::default()));
    let fault = LinkFault {
        delay: 250 * MILLISECOND,
        ..LinkFault::default()
    };
    net.set_link_fault(from, to, Some(fault));
    // The last byte is written after 690 ms and arrives 250 ms later.
    net.run_until(start + 690 * MILLISECOND);
    assert!(recorded.borrow().received.len() < 20);
    net.run_until(start + 950 * MILLISECOND);
    assert_eq!(recorded.borrow().received.len(), 20);
}
