//! Graceful shutdown by a signal while a client connects. This file has only one test, as signals affect the whole
//! process.

use rstest::rstest;
use sanddrum_net::{ConnectionId, Core, Event, EventLoop, Io, Micros, NullObserver, Shutdown};
use signal_hook::consts::SIGTERM;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;

/// Echoes the first bytes of each connection. Its shutdown is complete once every connection is answered.
#[derive(Default)]
struct Echo {
    is_shutting_down: bool,
    unanswered: BTreeSet<ConnectionId>,
}

impl Core for Echo {
    fn start(&mut self, _: Micros, _: &mut dyn Io) {}
    fn on_event(&mut self, _: Micros, event: Event<'_>, io: &mut dyn Io) {
        match event {
            Event::Accepted { conn, .. } => {
                self.unanswered.insert(conn);
            }
            // Later bytes may still be delivered, if they arrive before the loop's last poll.
            Event::Bytes { conn, bytes } if self.unanswered.remove(&conn) => {
                io.write(conn, bytes);
            }
            _ => {}
        }
    }
    fn process(&mut self, _: Micros, _: &mut dyn Io) {}
    fn next_wakeup(&self) -> Option<Micros> {
        None
    }
    fn shut_down(&mut self, _: Micros, _: &mut dyn Io) {
        self.is_shutting_down = true;
    }
    fn is_done(&self) -> bool {
        self.is_shutting_down && self.unanswered.is_empty()
    }
}

#[rstest]
fn clients_that_connected_before_the_listener_closed_are_answered_and_not_reset() {
    let mut event_loop = EventLoop::new(Box::new(NullObserver)).unwrap();
    event_loop.catch_signals().unwrap();
    let (listener, address) = EventLoop::bind("127.0.0.1:0").unwrap();
    event_loop
        .add(Box::new(Echo::default()), vec![listener], None)
        .unwrap();
    // Runs one step, so that nothing is pending from the start.
    let soon = event_loop.now() + 1;
    event_loop.run_until(soon).unwrap();
    // The signal is raised first, then the client connects, and only then does the loop poll.
    signal_hook::low_level::raise(SIGTERM).unwrap();
    let mut client = TcpStream::connect(&address).unwrap();
    client.write_all(b"ping").unwrap();
    let reader = thread::spawn(move || {
        let mut answer = [0; 4];
        client.read_exact(&mut answer).unwrap();
        // The core ignores further input, but such input must not cause a reset.
        client.write_all(b"more").unwrap();
        let mut rest = Vec::new();
        client.read_to_end(&mut rest).unwrap();
        assert!(
            rest.is_empty(),
            "expected an orderly close without data after the answer"
        );
        answer
    });
    assert_eq!(event_loop.run().unwrap(), Shutdown::Graceful);
    drop(event_loop);
    assert_eq!(&reader.join().unwrap(), b"ping");
}
