//! Graceful shutdown while the peer of an outbound connection is silent. This file has only one test, as signals affect
//! the whole process.

use rstest::rstest;
use sanddrum_net::{Core, Event, EventLoop, Io, Micros, NullObserver, Shutdown};
use signal_hook::consts::SIGTERM;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// How long the shutdown may take; a closed connection waits for its peer for half a second.
const MAX_SHUTDOWN_TIME: Duration = Duration::from_millis(250);

/// Opens a connection and closes it as soon as it is established.
struct Connecting {
    address: String,
    is_closed: bool,
    is_shutting_down: bool,
}

impl Core for Connecting {
    fn start(&mut self, _: Micros, io: &mut dyn Io) {
        io.connect(&self.address);
    }
    fn on_event(&mut self, _: Micros, event: Event<'_>, io: &mut dyn Io) {
        if let Event::Connected { conn } = event {
            io.close(conn);
            self.is_closed = true;
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
        self.is_shutting_down && self.is_closed
    }
}

/// Guards against a shutdown that waits for a worker which does not read the end of a connection.
#[rstest]
fn a_silent_peer_of_an_outbound_connection_does_not_delay_the_end() {
    let peer = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut event_loop = EventLoop::new(Box::new(NullObserver)).unwrap();
    event_loop.catch_signals().unwrap();
    let core = Connecting {
        address: peer.local_addr().unwrap().to_string(),
        is_closed: false,
        is_shutting_down: false,
    };
    event_loop.add(Box::new(core), vec![], None).unwrap();
    let _silent = peer.accept().unwrap();
    signal_hook::low_level::raise(SIGTERM).unwrap();
    let began = Instant::now();
    assert_eq!(event_loop.run().unwrap(), Shutdown::Graceful);
    let took = began.elapsed();
    assert!(took < MAX_SHUTDOWN_TIME, "the shutdown took {took:?}");
}
