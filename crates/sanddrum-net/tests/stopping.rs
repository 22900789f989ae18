//! A signal and what connects at the same time. One story only: signals are the whole process's.

use rstest::rstest;
use sanddrum_net::*;
use signal_hook::consts::SIGTERM;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;

/// Answers what each connection says first, and ends once asked to and idle.
#[derive(Default)]
struct Echo {
    stopping: bool,
    open: BTreeSet<ConnectionId>,
}

impl Core for Echo {
    fn start(&mut self, _: Micros, _: &mut dyn Io) {}
    fn on_event(&mut self, _: Micros, event: Event<'_>, io: &mut dyn Io) {
        match event {
            Event::Accepted { conn, .. } => drop(self.open.insert(conn)),
            // What is said behind that may still be told, if it comes before the loop's last look.
            Event::Bytes { conn, bytes } if self.open.remove(&conn) => drop(io.write(conn, bytes)),
            _ => {}
        }
    }
    fn process(&mut self, _: Micros, _: &mut dyn Io) {}
    fn next_wakeup(&self) -> Option<Micros> {
        None
    }
    fn shut_down(&mut self, _: Micros, _: &mut dyn Io) {
        self.stopping = true;
    }
    fn is_done(&self) -> bool {
        self.stopping && self.open.is_empty()
    }
}

#[rstest]
fn who_connected_before_the_door_closed_is_answered_and_nothing_is_reset_by_the_end() {
    let mut driver = EventLoop::new(Box::new(NullObserver)).unwrap();
    driver.catch_signals().unwrap();
    let (listener, at) = EventLoop::bind("127.0.0.1:0").unwrap();
    driver
        .add(Box::new(Echo::default()), vec![listener], None)
        .unwrap();
    // One turn, so that nothing is left of the start.
    let soon = driver.now() + 1;
    driver.run_until(soon).unwrap();
    // The signal is there first, then the client, then the loop looks.
    signal_hook::low_level::raise(SIGTERM).unwrap();
    let mut client = TcpStream::connect(&at).unwrap();
    client.write_all(b"asks").unwrap();
    let reads = thread::spawn(move || {
        let mut got = Vec::new();
        let mut piece = [0; 4];
        client.read_exact(&mut piece).unwrap();
        // What is said behind the answer is nobody's any more, but destroys nothing.
        client.write_all(b"more").unwrap();
        client.read_to_end(&mut got).unwrap();
        assert!(
            got.is_empty(),
            "an orderly end, and nothing behind the answer"
        );
        piece
    });
    assert_eq!(driver.run().unwrap(), Shutdown::Graceful);
    drop(driver);
    assert_eq!(&reads.join().unwrap(), b"asks");
}
