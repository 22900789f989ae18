//! A proxy on the link between a router and a worker. It holds back bytes and the ends of connections in either
//! direction, and resets connections, as a test directs. Bytes that it holds back have been accepted from their sender.
#![allow(dead_code)]

use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How often the proxy looks for input.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// What a test directs the proxy to do.
#[derive(Default)]
struct Control {
    holds_to_worker: AtomicBool,
    holds_to_router: AtomicBool,
    resets_routers: AtomicBool,
    is_stopped: AtomicBool,
}

impl Control {
    fn is_set(flag: &AtomicBool) -> bool {
        flag.load(Ordering::SeqCst)
    }
}

/// A running proxy. It ends when this value is dropped.
pub struct FaultProxy {
    control: Arc<Control>,
    /// The address to which the router connects.
    pub address: String,
}

impl FaultProxy {
    /// Starts a proxy in front of a worker.
    pub fn start(worker_address: &str) -> FaultProxy {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        listener.set_nonblocking(true).unwrap();
        let control = Arc::<Control>::default();
        let (shared, worker_address) = (control.clone(), worker_address.to_string());
        std::thread::spawn(move || run(&listener, &worker_address, &shared));
        FaultProxy { control, address }
    }

    /// Holds back everything in both directions, also on new connections, until [`release`](Self::release).
    pub fn hold(&self) {
        self.hold_to_worker();
        self.control.holds_to_router.store(true, Ordering::SeqCst);
    }

    /// Holds back what the router sends, until [`release`](Self::release).
    pub fn hold_to_worker(&self) {
        self.control.holds_to_worker.store(true, Ordering::SeqCst);
    }

    /// Delivers what was held back.
    pub fn release(&self) {
        self.control.holds_to_worker.store(false, Ordering::SeqCst);
        self.control.holds_to_router.store(false, Ordering::SeqCst);
    }

    /// Resets all connections at the router's end. The worker's end is closed once nothing is held back from it.
    pub fn reset_router_ends(&self) {
        self.control.resets_routers.store(true, Ordering::SeqCst);
        while Control::is_set(&self.control.resets_routers) {
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.control.is_stopped.store(true, Ordering::SeqCst);
    }
}

/// One direction of a connection.
struct Direction {
    from: Option<TcpStream>,
    to: Option<TcpStream>,
    held: Vec<u8>,
}

impl Direction {
    fn new(from: &TcpStream, to: &TcpStream) -> Direction {
        Direction {
            from: Some(from.try_clone().unwrap()),
            to: Some(to.try_clone().unwrap()),
            held: Vec::new(),
        }
    }

    /// Reads what the sender has sent, and delivers it and the end of the connection unless they are held back.
    fn pump(&mut self, is_held: bool) {
        let mut buffer = [0; 16 * 1024];
        while let Some(from) = &mut self.from {
            match from.read(&mut buffer) {
                Ok(count @ 1..) => self.held.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Ok(0) | Err(_) => self.from = None,
            }
        }
        if is_held {
            return;
        }
        if let Some(to) = &mut self.to {
            to.set_nonblocking(false).unwrap();
            let _ = to.write_all(&self.held);
            to.set_nonblocking(true).unwrap();
            self.held.clear();
            if self.from.is_none() {
                let _ = to.shutdown(Shutdown::Write);
                self.to = None;
            }
        }
    }
}

/// The two directions of a connection.
struct Link {
    to_worker: Direction,
    to_router: Direction,
}

impl Link {
    /// Opens the worker's end of a connection that the router has opened.
    fn open(router: TcpStream, worker_address: &str) -> Option<Link> {
        let worker = TcpStream::connect(worker_address).ok()?;
        for stream in [&router, &worker] {
            stream.set_nonblocking(true).unwrap();
            stream.set_nodelay(true).unwrap();
        }
        Some(Link {
            to_worker: Direction::new(&router, &worker),
            to_router: Direction::new(&worker, &router),
        })
    }

    fn reset_router_end(&mut self) {
        for stream in [self.to_worker.from.take(), self.to_router.to.take()] {
            let Some(stream) = stream else { continue };
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
    }

    fn is_open(&self) -> bool {
        self.to_worker.to.is_some() || self.to_router.to.is_some()
    }
}

fn run(listener: &TcpListener, worker_address: &str, control: &Control) {
    let mut links: Vec<Link> = Vec::new();
    while !Control::is_set(&control.is_stopped) {
        while let Ok((router, _)) = listener.accept() {
            links.extend(Link::open(router, worker_address));
        }
        if Control::is_set(&control.resets_routers) {
            links.iter_mut().for_each(Link::reset_router_end);
            control.resets_routers.store(false, Ordering::SeqCst);
        }
        for link in &mut links {
            link.to_worker
                .pump(Control::is_set(&control.holds_to_worker));
            link.to_router
                .pump(Control::is_set(&control.holds_to_router));
        }
        links.retain(Link::is_open);
        std::thread::sleep(POLL_INTERVAL);
    }
}
