//! The cost of TLS handshakes on an emulated worker. They run one after another on one core, and take longer while the
//! worker warms up. Bytes that arrive on a connection are processed only once its handshake is complete.

use crate::faults::Shared;
use sanddrum_net::{ConnectionId, Core, Event, FileError, FilePart, Io, Micros};
use std::collections::{BTreeMap, VecDeque};

const MICROS_PER_SECOND: Micros = 1_000_000;
/// A capacity below this fraction of the full one does not slow handshakes down any further.
const MIN_CAPACITY_FRACTION: f64 = 0.01;

/// The cost and the number of a worker's handshakes.
#[derive(Clone, Debug, Default)]
pub struct HandshakeWork {
    /// The time that a handshake takes at full capacity.
    pub cost: Micros,
    /// The costs of started handshakes that the worker has yet to record as work, which can make a warming machine
    /// collapse.
    pub uncounted: Vec<f64>,
    /// The number of handshakes started in each second.
    pub per_second: BTreeMap<Micros, u32>,
}

/// A core whose connections wait for their handshakes.
pub struct HandshakeQueue<C> {
    core: C,
    work: Shared<HandshakeWork>,
    started_at: Micros,
    warm_up: Micros,
    initial_capacity: f64,
    /// The bytes received on connections whose handshake is not complete.
    buffered: BTreeMap<ConnectionId, Vec<u8>>,
    /// The completion time of each handshake, in order.
    queue: VecDeque<(Micros, ConnectionId)>,
    /// When all started handshakes are complete.
    busy_until: Micros,
}

impl<C: Core> HandshakeQueue<C> {
    /// Wraps a core. The machine started at `started_at` (zero or less: long ago) with the fraction `initial_capacity`
    /// of its full capacity, which it reaches after `warm_up`.
    pub fn new(
        core: C,
        work: Shared<HandshakeWork>,
        started_at: Micros,
        warm_up: Micros,
        initial_capacity: f64,
    ) -> Self {
        HandshakeQueue {
            core,
            work,
            started_at,
            warm_up,
            initial_capacity,
            buffered: BTreeMap::new(),
            queue: VecDeque::new(),
            busy_until: 0,
        }
    }

    /// The fraction of its full capacity that the machine currently has.
    fn capacity_fraction(&self, now: Micros) -> f64 {
        let age = (now - self.started_at) as f64 / self.warm_up.max(1) as f64;
        if self.started_at <= 0 || age >= 1.0 {
            1.0
        } else {
            self.initial_capacity + (1.0 - self.initial_capacity) * age
        }
    }

    fn start_handshake(&mut self, now: Micros, connection: ConnectionId) {
        let capacity = self.capacity_fraction(now).max(MIN_CAPACITY_FRACTION);
        let mut work = self.work.borrow_mut();
        let cost = work.cost as f64;
        work.uncounted.push(cost);
        *work.per_second.entry(now / MICROS_PER_SECOND).or_default() += 1;
        self.busy_until = self.busy_until.max(now) + (cost / capacity) as Micros;
        self.queue.push_back((self.busy_until, connection));
        self.buffered.insert(connection, Vec::new());
    }
}

impl<C: Core> Core for HandshakeQueue<C> {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        self.core.start(now, io);
    }

    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        match &event {
            Event::Accepted { conn, .. } => self.start_handshake(now, *conn),
            Event::Bytes { conn, bytes } => {
                if let Some(buffered) = self.buffered.get_mut(conn) {
                    return buffered.extend_from_slice(bytes);
                }
            }
            Event::Closed { conn, .. } => drop(self.buffered.remove(conn)),
            Event::Connected { .. } | Event::Writable { .. } => {}
        }
        self.core.on_event(now, event, io);
    }

    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        while let Some((_, conn)) = self.queue.front().copied().filter(|(at, _)| *at <= now) {
            self.queue.pop_front();
            let buffered = self.buffered.remove(&conn);
            if let Some(bytes) = buffered.filter(|bytes| !bytes.is_empty()) {
                self.core.on_event(
                    now,
                    Event::Bytes {
                        conn,
                        bytes: &bytes,
                    },
                    io,
                );
            }
        }
        self.core.process(now, io);
    }

    fn next_wakeup(&self) -> Option<Micros> {
        self.core
            .next_wakeup()
            .into_iter()
            .chain(self.queue.front().map(|(at, _)| *at))
            .min()
    }

    fn on_file(
        &mut self,
        now: Micros,
        name: &str,
        content: Result<&[u8], &FileError>,
        io: &mut dyn Io,
    ) {
        self.core.on_file(now, name, content, io);
    }

    fn on_file_part(&mut self, now: Micros, name: &str, part: FilePart<'_>, io: &mut dyn Io) {
        self.core.on_file_part(now, name, part, io);
    }

    fn is_done(&self) -> bool {
        self.core.is_done()
    }
}
