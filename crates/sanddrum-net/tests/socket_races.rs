//! Races between events on real sockets. Each order of events is forced: the test drives the peers step by step, and
//! the loop polls only after everything that one poll is to find has arrived.

use rstest::rstest;
use sanddrum_net::{CloseCause, ConnectionId, Core, Event, EventLoop, Io, Micros, NullObserver};
use socket2::{Domain, SockRef, Socket, Type};
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

type Shared<T> = Rc<RefCell<T>>;

/// The events that a core has received.
#[derive(Default)]
struct Recorded {
    accepted: Vec<ConnectionId>,
    connected: Vec<ConnectionId>,
    closed: Vec<(ConnectionId, CloseCause)>,
}

/// Records its events and runs a closure for each.
struct Scripted<F> {
    recorded: Shared<Recorded>,
    react: F,
}

impl<F: FnMut(&Event<'_>, &mut dyn Io)> Core for Scripted<F> {
    fn start(&mut self, _: Micros, _: &mut dyn Io) {}
    fn on_event(&mut self, _: Micros, event: Event<'_>, io: &mut dyn Io) {
        {
            let mut recorded = self.recorded.borrow_mut();
            match event {
                Event::Accepted { conn, .. } => recorded.accepted.push(conn),
                Event::Connected { conn } => recorded.connected.push(conn),
                Event::Closed { conn, cause } => recorded.closed.push((conn, cause)),
                Event::Bytes { .. } | Event::Writable { .. } => {}
            }
        }
        (self.react)(&event, io);
    }
    fn process(&mut self, _: Micros, _: &mut dyn Io) {}
    fn next_wakeup(&self) -> Option<Micros> {
        None
    }
}

fn scripted(
    react: impl FnMut(&Event<'_>, &mut dyn Io) + 'static,
) -> (Box<dyn Core>, Shared<Recorded>) {
    let recorded = Shared::<Recorded>::default();
    let core = Scripted {
        recorded: recorded.clone(),
        react,
    };
    (Box::new(core), recorded)
}

/// Opens connections at its start and forwards all events to another core.
struct Connecting {
    core: Box<dyn Core>,
    addresses: Vec<String>,
    connections: Shared<Vec<ConnectionId>>,
}

impl Core for Connecting {
    fn start(&mut self, _: Micros, io: &mut dyn Io) {
        let opened = self.addresses.iter().map(|address| io.connect(address));
        self.connections.borrow_mut().extend(opened);
    }
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        self.core.on_event(now, event, io);
    }
    fn process(&mut self, _: Micros, _: &mut dyn Io) {}
    fn next_wakeup(&self) -> Option<Micros> {
        None
    }
}

/// Runs until the condition holds; panics after about five seconds.
fn run_until(event_loop: &mut EventLoop, condition: impl Fn() -> bool) {
    for _ in 0..5000 {
        if condition() {
            return;
        }
        let at = event_loop.now() + 1000;
        event_loop.run_until(at).unwrap();
    }
    panic!("the condition did not hold within about five seconds");
}

/// Runs the loop for two milliseconds, so that it handles everything that has arrived.
fn poll(event_loop: &mut EventLoop) {
    let at = event_loop.now() + 2000;
    event_loop.run_until(at).unwrap();
}

/// A loop with one core that listens at the returned address.
fn listening(core: Box<dyn Core>) -> (EventLoop, SocketAddr) {
    let mut event_loop = EventLoop::new(Box::new(NullObserver)).unwrap();
    let (listener, address) = EventLoop::bind("127.0.0.1:0").unwrap();
    event_loop.add(core, vec![listener], None).unwrap();
    (event_loop, address.parse().unwrap())
}

/// Closes a socket so that its peer sees a reset.
fn reset(socket: TcpStream) {
    SockRef::from(&socket)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

/// A listener with a full backlog, so that connecting to it hangs, and the sockets that fill the backlog.
fn full_listener() -> (Socket, SocketAddr, Vec<Socket>) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
    listener.bind(&any_port.into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let mut backlog = Vec::new();
    loop {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        // A connection attempt that hangs shows that the backlog is full.
        let timeout = Duration::from_millis(100);
        if socket.connect_timeout(&address.into(), timeout).is_err() {
            return (listener, address, backlog);
        }
        backlog.push(socket);
    }
}

#[rstest]
fn a_connection_being_opened_does_not_receive_events_of_one_that_ended_in_the_same_poll() {
    let first = TcpListener::bind("127.0.0.1:0").unwrap();
    let second = TcpListener::bind("127.0.0.1:0").unwrap();
    let (full, full_address, backlog) = full_listener();
    let connections = Shared::<Vec<ConnectionId>>::default();
    let core_connections = connections.clone();
    // When bytes arrive on the first connection, the second is replaced by one to the full listener.
    let (core, recorded) = scripted(move |event, io| {
        if matches!(event, Event::Bytes { .. }) {
            io.reset(core_connections.borrow()[1]);
            let third = io.connect(&full_address.to_string());
            core_connections.borrow_mut().push(third);
        }
    });
    let mut event_loop = EventLoop::new(Box::new(NullObserver)).unwrap();
    let addresses = [&first, &second].map(|socket| socket.local_addr().unwrap().to_string());
    let connecting = Connecting {
        core,
        addresses: addresses.into(),
        connections: connections.clone(),
    };
    event_loop.add(Box::new(connecting), vec![], None).unwrap();
    run_until(&mut event_loop, || recorded.borrow().connected.len() == 2);
    let (mut first_peer, second_peer) = (first.accept().unwrap().0, second.accept().unwrap().0);
    // Both arrive before the loop polls: bytes on the first connection, then the reset of the second.
    first_peer.write_all(b"now").unwrap();
    reset(second_peer);
    run_until(&mut event_loop, || connections.borrow().len() == 3);
    let third = connections.borrow()[2];
    assert!(
        !recorded
            .borrow()
            .closed
            .iter()
            .any(|(conn, _)| *conn == third),
        "{:?}",
        recorded.borrow().closed
    );
    // Once the backlog has free space, the third connection is established.
    drop(backlog);
    full.accept().unwrap();
    run_until(&mut event_loop, || {
        recorded.borrow().connected.contains(&third)
    });
}

#[rstest]
fn an_answer_is_delivered_even_if_the_connection_is_closed_with_unread_input() {
    let (core, _) = scripted(|event, io| {
        if let Event::Bytes { conn, .. } = event {
            io.write(*conn, b"the answer");
            io.close(*conn);
        }
    });
    let (mut event_loop, address) = listening(core);
    let mut client = TcpStream::connect(address).unwrap();
    // More input than a single read returns has arrived when the answer is written.
    client.write_all(&vec![7; 200_000]).unwrap();
    for _ in 0..10 {
        poll(&mut event_loop);
    }
    client.shutdown(std::net::Shutdown::Write).unwrap();
    let mut answer = Vec::new();
    let end = client.read_to_end(&mut answer);
    assert!(end.is_ok(), "{end:?} after {} bytes", answer.len());
    assert_eq!(answer, b"the answer");
}

#[rstest]
fn a_paused_connection_whose_write_fails_is_reported_as_reset() {
    let (core, recorded) = scripted(|event, io| match event {
        Event::Accepted { conn, .. } => {
            while io.write(*conn, &[7; 100_000]) > 0 {}
            io.pause(*conn, true);
        }
        Event::Writable { conn } => {
            io.write(*conn, &[7; 100_000]);
        }
        _ => {}
    });
    let (mut event_loop, address) = listening(core);
    let client = TcpStream::connect(address).unwrap();
    run_until(&mut event_loop, || recorded.borrow().accepted.len() == 1);
    reset(client);
    run_until(&mut event_loop, || {
        recorded
            .borrow()
            .closed
            .iter()
            .any(|(_, cause)| *cause == CloseCause::Reset)
    });
}

/// Guards against a reset that counts as an orderly end because a write has seen it before the read that reports it.
#[rstest]
fn a_reset_that_a_write_has_seen_is_reported_as_reset() {
    let accepted = Shared::<Vec<ConnectionId>>::default();
    let core_accepted = accepted.clone();
    // When bytes arrive on the first connection, something is written on the second.
    let (core, recorded) = scripted(move |event, io| match event {
        Event::Accepted { conn, .. } => core_accepted.borrow_mut().push(*conn),
        Event::Bytes { .. } => {
            let second = core_accepted.borrow()[1];
            io.write(second, b"a request");
        }
        _ => {}
    });
    let (mut event_loop, address) = listening(core);
    let mut first = TcpStream::connect(address).unwrap();
    run_until(&mut event_loop, || accepted.borrow().len() == 1);
    let second = TcpStream::connect(address).unwrap();
    run_until(&mut event_loop, || accepted.borrow().len() == 2);
    // Both arrive before the loop polls: bytes on the first connection, then the reset of the second.
    first.write_all(b"now").unwrap();
    reset(second);
    run_until(&mut event_loop, || !recorded.borrow().closed.is_empty());
    let second = accepted.borrow()[1];
    assert_eq!(recorded.borrow().closed, [(second, CloseCause::Reset)]);
}

#[rstest]
fn lingering_connections_are_bounded_and_the_oldest_is_dropped() {
    let (core, recorded) = scripted(|event, io| {
        if let Event::Accepted { conn, .. } = event {
            io.close(*conn);
        }
    });
    let (mut event_loop, address) = listening(core);
    let mut clients: Vec<TcpStream> = (0..40)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    run_until(&mut event_loop, || recorded.borrow().accepted.len() == 40);
    // No client has closed its connection. The oldest one is dropped, so a write to it is answered by a reset; the
    // input of the newest is still drained.
    let mut oldest = clients.remove(0);
    let is_dropped = (0..1000).any(|_| {
        poll(&mut event_loop);
        oldest.write_all(b"x").is_err()
    });
    assert!(is_dropped);
    let mut newest = clients.pop().unwrap();
    assert_eq!(newest.read(&mut [0; 8]).unwrap(), 0);
    for _ in 0..10 {
        newest.write_all(b"x").unwrap();
        poll(&mut event_loop);
    }
}
