//! Bad orders of events on real sockets, each forced: the other sides are steered step by step by the story, and the
//! loop polls only once everything that it is to find at one time is there.

use rstest::rstest;
use sanddrum_net::*;
use socket2::{Domain, SockRef, Socket, Type};
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

type Shared<T> = Rc<RefCell<T>>;

#[derive(Default)]
struct Seen {
    accepted: Vec<ConnectionId>,
    connected: Vec<ConnectionId>,
    closed: Vec<(ConnectionId, CloseCause)>,
    bytes: usize,
}

/// Keeps what it sees, and does what the story has it do at an event.
struct Scripted<F> {
    seen: Shared<Seen>,
    does: F,
}

impl<F: FnMut(&Event<'_>, &mut dyn Io)> Core for Scripted<F> {
    fn start(&mut self, _: Micros, _: &mut dyn Io) {}
    fn on_event(&mut self, _: Micros, event: Event<'_>, io: &mut dyn Io) {
        {
            let mut seen = self.seen.borrow_mut();
            match event {
                Event::Accepted { conn, .. } => seen.accepted.push(conn),
                Event::Connected { conn } => seen.connected.push(conn),
                Event::Closed { conn, cause: how } => seen.closed.push((conn, how)),
                Event::Bytes { bytes, .. } => seen.bytes += bytes.len(),
                Event::Writable { .. } => {}
            }
        }
        (self.does)(&event, io);
    }
    fn process(&mut self, _: Micros, _: &mut dyn Io) {}
    fn next_wakeup(&self) -> Option<Micros> {
        None
    }
}

fn scripted(does: impl FnMut(&Event<'_>, &mut dyn Io) + 'static) -> (Box<dyn Core>, Shared<Seen>) {
    let seen = Shared::<Seen>::default();
    (
        Box::new(Scripted {
            seen: seen.clone(),
            does,
        }),
        seen,
    )
}

/// Until it is so; a story that would wait for ever fails.
fn until(driver: &mut EventLoop, so: impl Fn() -> bool) {
    for _ in 0..5000 {
        if so() {
            return;
        }
        let at = driver.now() + 1000;
        driver.run_until(at).unwrap();
    }
    panic!("it never came about");
}
/// A few polls that find what is there.
fn look(driver: &mut EventLoop) {
    let at = driver.now() + 2000;
    driver.run_until(at).unwrap();
}
/// A loop with one core behind one door.
fn behind_a_door(core: Box<dyn Core>) -> (EventLoop, SocketAddr) {
    let mut driver = EventLoop::new(Box::new(NullObserver)).unwrap();
    let (listener, at) = EventLoop::bind("127.0.0.1:0").unwrap();
    driver.add(core, vec![listener], None).unwrap();
    (driver, at.parse().unwrap())
}
fn reset(socket: TcpStream) {
    SockRef::from(&socket)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

/// A listener that lets dials hang: its backlog is full.
fn full_listener() -> (Socket, SocketAddr, Vec<Socket>) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener
        .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
        .unwrap();
    listener.listen(0).unwrap();
    let at = listener.local_addr().unwrap().as_socket().unwrap();
    let mut waiting = Vec::new();
    loop {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        // A dial that hangs shows that there is no more room.
        if socket
            .connect_timeout(&at.into(), Duration::from_millis(100))
            .is_err()
        {
            return (listener, at, waiting);
        }
        waiting.push(socket);
    }
}

#[rstest]
fn a_dial_is_not_taken_for_the_connection_that_ended_in_the_same_poll() {
    let first = TcpListener::bind("127.0.0.1:0").unwrap();
    let second = TcpListener::bind("127.0.0.1:0").unwrap();
    let (hangs, hangs_at, waiting) = full_listener();
    let dials = Shared::<Vec<ConnectionId>>::default();
    let core_dials = dials.clone();
    // When the first connection says something, the second is left for a dial to a third.
    let (core, seen) = scripted(move |event, io| {
        if matches!(event, Event::Bytes { .. }) {
            io.reset(core_dials.borrow()[1]);
            let third = io.connect(&hangs_at.to_string());
            core_dials.borrow_mut().push(third);
        }
    });
    let mut driver = EventLoop::new(Box::new(NullObserver)).unwrap();
    let ats = [
        first.local_addr().unwrap().to_string(),
        second.local_addr().unwrap().to_string(),
    ];
    struct Starts(Box<dyn Core>, [String; 2], Shared<Vec<ConnectionId>>);
    impl Core for Starts {
        fn start(&mut self, _: Micros, io: &mut dyn Io) {
            self.2
                .borrow_mut()
                .extend(self.1.iter().map(|at| io.connect(at)));
        }
        fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
            self.0.on_event(now, event, io);
        }
        fn process(&mut self, _: Micros, _: &mut dyn Io) {}
        fn next_wakeup(&self) -> Option<Micros> {
            None
        }
    }
    driver
        .add(Box::new(Starts(core, ats, dials.clone())), vec![], None)
        .unwrap();
    until(&mut driver, || seen.borrow().connected.len() == 2);
    let (mut says, hangs_up) = (first.accept().unwrap().0, second.accept().unwrap().0);
    // Both are there before the loop looks: what is said on the first, then the reset of the second.
    says.write_all(b"now").unwrap();
    reset(hangs_up);
    until(&mut driver, || dials.borrow().len() == 3);
    let third = dials.borrow()[2];
    assert!(
        !seen.borrow().closed.iter().any(|(conn, _)| *conn == third),
        "{:?}",
        seen.borrow().closed
    );
    // Room at last, and the dial comes up.
    drop(waiting);
    hangs.accept().unwrap();
    until(&mut driver, || seen.borrow().connected.contains(&third));
}

#[rstest]
fn an_answer_is_delivered_though_its_connection_is_closed_with_input_unread() {
    let (core, _) = scripted(|event, io| {
        if let Event::Bytes { conn, .. } = event {
            io.write(*conn, b"the answer");
            io.close(*conn);
        }
    });
    let (mut driver, at) = behind_a_door(core);
    let mut client = TcpStream::connect(at).unwrap();
    // More than is read at once is there when the answer is written.
    client.write_all(&vec![7; 200_000]).unwrap();
    for _ in 0..10 {
        look(&mut driver);
    }
    client.shutdown(std::net::Shutdown::Write).unwrap();
    let mut got = Vec::new();
    let end = client.read_to_end(&mut got);
    assert!(end.is_ok(), "{end:?} after {} bytes", got.len());
    assert_eq!(got, b"the answer");
}

#[rstest]
fn a_paused_connection_that_can_not_be_written_any_more_is_told_as_reset() {
    let (core, seen) = scripted(|event, io| match event {
        Event::Accepted { conn, .. } => {
            while io.write(*conn, &[7; 100_000]) > 0 {}
            io.pause(*conn, true);
        }
        Event::Writable { conn } => drop(io.write(*conn, &[7; 100_000])),
        _ => {}
    });
    let (mut driver, at) = behind_a_door(core);
    let client = TcpStream::connect(at).unwrap();
    until(&mut driver, || seen.borrow().accepted.len() == 1);
    reset(client);
    until(&mut driver, || {
        seen.borrow()
            .closed
            .iter()
            .any(|(_, how)| *how == CloseCause::Reset)
    });
}

#[rstest]
fn those_read_out_are_bounded_and_the_first_goes_for_one_more() {
    let (core, seen) = scripted(|event, io| {
        if let Event::Accepted { conn, .. } = event {
            io.close(*conn);
        }
    });
    let (mut driver, at) = behind_a_door(core);
    let mut clients: Vec<TcpStream> = (0..40).map(|_| TcpStream::connect(at).unwrap()).collect();
    until(&mut driver, || seen.borrow().accepted.len() == 40);
    // Nobody has closed. The first is gone for good, and a write to it is answered by a reset; the last is read out.
    let mut first = clients.remove(0);
    let gone = (0..1000).any(|_| {
        look(&mut driver);
        first.write_all(b"x").is_err()
    });
    assert!(gone);
    let mut last = clients.pop().unwrap();
    assert_eq!(last.read(&mut [0; 8]).unwrap(), 0);
    for _ in 0..10 {
        last.write_all(b"x").unwrap();
        look(&mut driver);
    }
}
