//! Connections that always have more input do not hold up other connections, timers and writes.

use rstest::rstest;
use sanddrum_net::{ConnectionId, Core, Event, EventLoop, Io, Micros, NullObserver};
use std::cell::RefCell;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What a core was called for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Accepted(ConnectionId),
    Bytes(ConnectionId),
    Process,
}

/// Records its calls, and takes some time to handle more than one received byte.
struct SlowCore {
    calls: Rc<RefCell<Vec<Call>>>,
    handling_time: Duration,
    /// How long the next call of `process` takes.
    stall: Rc<RefCell<Duration>>,
}

impl Core for SlowCore {
    fn start(&mut self, _: Micros, _: &mut dyn Io) {}
    fn on_event(&mut self, _: Micros, event: Event<'_>, _: &mut dyn Io) {
        match event {
            Event::Accepted { conn, .. } => self.calls.borrow_mut().push(Call::Accepted(conn)),
            Event::Bytes { conn, bytes } => {
                self.calls.borrow_mut().push(Call::Bytes(conn));
                let began = Instant::now();
                while bytes.len() > 1 && began.elapsed() < self.handling_time {}
            }
            _ => {}
        }
    }
    fn process(&mut self, _: Micros, _: &mut dyn Io) {
        self.calls.borrow_mut().push(Call::Process);
        std::thread::sleep(self.stall.take());
    }
    fn next_wakeup(&self) -> Option<Micros> {
        None
    }
}

/// A loop with a core that takes `handling_time` for each large read.
struct Harness {
    event_loop: EventLoop,
    address: String,
    calls: Rc<RefCell<Vec<Call>>>,
    stall: Rc<RefCell<Duration>>,
}

impl Harness {
    fn new(handling_time: Duration) -> Harness {
        let (calls, stall) = (Rc::default(), Rc::default());
        let core = SlowCore {
            calls: Rc::clone(&calls),
            handling_time,
            stall: Rc::clone(&stall),
        };
        let mut event_loop = EventLoop::new(Box::new(NullObserver)).unwrap();
        let (listener, address) = EventLoop::bind("127.0.0.1:0").unwrap();
        event_loop
            .add(Box::new(core), vec![listener], None)
            .unwrap();
        Harness {
            event_loop,
            address,
            calls,
            stall,
        }
    }
    fn run_for(&mut self, span: Micros) {
        let until = self.event_loop.now() + span;
        self.event_loop.run_until(until).unwrap();
    }
    /// Connects, and returns the socket with the loop's id of the connection.
    fn connect(&mut self) -> (TcpStream, ConnectionId) {
        let socket = TcpStream::connect(&self.address).unwrap();
        for _ in 0..5_000 {
            self.run_for(1_000);
            let accepted = self
                .calls
                .borrow()
                .iter()
                .rev()
                .find_map(|call| match call {
                    Call::Accepted(conn) => Some(*conn),
                    _ => None,
                });
            if let Some(conn) = accepted {
                self.calls.borrow_mut().clear();
                return (socket, conn);
            }
        }
        panic!("the connection was not accepted");
    }
}

/// Writes until the socket accepts no more, which is far more than one read takes.
fn fill(socket: &mut TcpStream) {
    socket.set_nonblocking(true).unwrap();
    loop {
        match socket.write(&[b'x'; 65_536]) {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => return,
            Err(error) => panic!("{error}"),
        }
    }
}

/// Guards against connections that are read in the order in which the system reports them: a client at full speed was
/// read before one that sends now and then, which waited for all of its input.
#[rstest]
fn a_connection_that_seldom_sends_is_read_before_one_that_always_has_more() {
    let mut harness = Harness::new(Duration::from_millis(1));
    let (mut flooding, flooding_conn) = harness.connect();
    let (mut usual, usual_conn) = harness.connect();
    fill(&mut flooding);
    for _ in 0..10 {
        // Long enough that the time in which the test itself may be held up does not count against the usual connection.
        harness.run_for(20_000);
        fill(&mut flooding);
        assert!(harness.calls.borrow().contains(&Call::Bytes(flooding_conn)));
        harness.calls.borrow_mut().clear();
        usual.write_all(b"x").unwrap();
        harness.run_for(1_000);
        let is_read = |call: &&Call| matches!(call, Call::Bytes(_));
        let calls = harness.calls.borrow();
        let first = calls.iter().find(is_read).copied();
        assert_eq!(first, Some(Call::Bytes(usual_conn)), "{calls:?}");
    }
}

/// Guards against a turn of the loop that is extended by the time that its own input takes: a long turn counted as a
/// stall of the process, after which each connection was read up to 16 times in each of three polls.
#[rstest]
fn a_stall_does_not_make_the_loop_read_on_while_input_keeps_arriving() {
    // The reading time of a turn after a stall is 40 ms.
    const MAX_READS: usize = 40 + 2;
    let mut harness = Harness::new(Duration::from_millis(1));
    let mut flooding: Vec<_> = (0..8).map(|_| harness.connect().0).collect();
    for _ in 0..3 {
        flooding.iter_mut().for_each(fill);
        *harness.stall.borrow_mut() = Duration::from_millis(200);
        harness.run_for(1_000);
        harness.calls.borrow_mut().clear();
        harness.run_for(100_000);
        let calls = harness.calls.borrow();
        let reads_per_turn = calls
            .split(|call| *call == Call::Process)
            .map(<[Call]>::len);
        let most = reads_per_turn.max().unwrap_or_default();
        assert!(most <= MAX_READS, "{most} reads in a turn");
    }
}
